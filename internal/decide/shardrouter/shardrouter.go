// Package shardrouter decides, for a process of several shards, who acts for which allocation: where an ask goes, what becomes of
// a shard's allocations when it is fenced, leaves or is added, who answers for one that is quiet. It holds the table of shard ownership,
// the table of shards, the watch over them and each one's gate.
//
// It is free of I/O and has no goroutines; whoever shares it among cores holds it by one lock for each call. What it
// decides is to be carried out under the same hold, so that whoever asks next comes after.
package shardrouter

import (
	"cmp"
	"fmt"
	"slices"

	"ravenpond/internal/decide/admit"
	"ravenpond/internal/decide/handover"
	"ravenpond/internal/decide/shardownership"
	"ravenpond/internal/decide/shares"
	"ravenpond/internal/decide/watchdog"
	"ravenpond/logic"
)

// Times in ms.
const (
	findFor = 15000 // in which what ran at a fenced shard may be found: its nodes may be away just then
	restFor = 2500  // of a service that must be spread, after a fence: until its next shard has heard from the nodes what runs
)

// Terms are what a router begins with.
type Terms struct {
	Jobs         []logic.JobClass
	Way          shares.Way
	Shards, Most int     // that begin, and that may run
	Open         int     // allocations open at once, of all shards together
	Margin, Step float64 // ms: an answer leaves so long before its expiry; a round at most so often
	Epoch        uint32  // the first, higher than in any earlier life
	Trusted      bool    // planted: any epoch gets leave
	Hosts        bool    // tenants come and go, and asks wait for their turn
}

// Router names, for one process, the shard that acts for each allocation.
type Router struct {
	terms     Terms
	ownership *shardownership.Table
	table     *shares.Table
	dog       *watchdog.Watchdog
	gates     []admit.Gate
	lost      map[shardownership.Name]lost // what ran at a shard that is no more, until it is found
	lostBy    map[shardownership.Try]shardownership.Name
	resting   map[uint64]float64 // services that get nothing new, until a time
	leaves    map[int]bool       // shards that are to end
	gone      map[int]bool       // and those that have, or never began
	fresh     map[int]float64    // when shards that were added began
	line      *line              // in front of all, where tenants come and go
}

type lost struct {
	shardownership.Ask
	try   shardownership.Try
	until float64
}

// New makes a router.
func New(now float64, terms Terms) *Router {
	weights := make([]float64, terms.Most)
	for i := range weights {
		weights[i] = 1
	}
	d := &Router{
		terms: terms, ownership: shardownership.NewTable(terms.Jobs, terms.Epoch), table: shares.New(terms.Way, weights),
		dog: watchdog.New(now, terms.Most), gates: make([]admit.Gate, terms.Most), lost: map[shardownership.Name]lost{}, lostBy: map[shardownership.Try]shardownership.Name{},
		resting: map[uint64]float64{}, leaves: map[int]bool{}, gone: map[int]bool{}, fresh: map[int]float64{},
	}
	d.ownership.Trusted = terms.Trusted
	if terms.Hosts {
		d.begin()
	}
	for i := terms.Shards; i < terms.Most; i++ {
		d.gone[i] = true
		d.table.Down(i)
		d.dog.Rest(i)
	}
	return d
}

func (r *Router) spread(job int) bool { return r.terms.Jobs[job].Spread != logic.Anywhere }

// OpenEach is how many allocations one of so many shards may have open.
func (r *Router) OpenEach(shards int) int { return min(r.terms.Open, (r.terms.Open+shards-1)/shards*2) }

// Ask finds the shard for an ask: the one that acts for its key already, with an epoch of 0, else the one where its service
// belongs, under a new epoch. why says why there is none. unread is how long the ask lay on its way, and queue tells of a
// shard how long it has been at one thing, beyond what is common, and how many asks wait there.
func (r *Router) Ask(now float64, n shardownership.Name, a shardownership.Ask, unread float64,
	queue func(shard int) (stuck float64, ahead int),
) (at int, epoch uint32, why string) {
	at, known := r.ownership.Look(now, n)
	switch {
	case known == shardownership.Barring:
		return 0, 0, "earlier-try-out"
	case known == shardownership.Known:
		return at, 0, ""
	case r.ownership.Open() >= r.terms.Open:
		return 0, 0, "full"
	case now < r.resting[a.Service]:
		return 0, 0, "shard-fenced"
	}
	if _, runs := r.lost[n]; runs { // at a node that has not told yet who goes on with it: a try now would be a second start
		return 0, 0, "shard-fenced"
	}
	if at = r.table.Find(a.Service, n.Tenant, r.spread(a.Job)); at < 0 {
		return 0, 0, "no-shard"
	}
	if stuck, ahead := queue(at); !r.gates[at].Enter(now, max(unread, stuck), ahead) {
		return 0, 0, "behind"
	}
	r.table.Join(at, a.Service)
	a.Entered = now
	return at, r.ownership.Take(n, at, a), ""
}

// Worked tells a shard's gate what a round took in which so many asks were worked off.
func (r *Router) Worked(shard int, took float64, asks int) { r.gates[shard].Worked(took, asks) }

// Send asks leave for a try, Settle notes its outcome, Final asks leave for the final answer, Owned notes who is told from now on.
func (r *Router) Send(n shardownership.Name, shard int, epoch uint32, try shardownership.Try) bool {
	return r.ownership.Send(n, shard, epoch, try)
}

// ActsFor tells whether a shard acts for an allocation under an epoch.
func (r *Router) ActsFor(n shardownership.Name, shard int, epoch uint32) bool {
	return r.ownership.ActsFor(n, shard, epoch)
}

// Settle notes a try's outcome; never tells that it is proven not to have run.
func (r *Router) Settle(n shardownership.Name, shard int, epoch uint32, never bool) {
	r.ownership.Settle(n, shard, epoch, never)
}

// Final notes that the final answer leaves, and whether it is that the allocation is served; false if it must not.
func (r *Router) Final(now float64, n shardownership.Name, shard int, epoch uint32, served bool) bool {
	if !r.ownership.Answer(n, shard, epoch, served) {
		return false
	}
	if r.line != nil && served {
		r.line.fill.Answered(now, now-r.ownership.Entry(n).Entered, r.line.queue.Lines() > 0)
	}
	return true
}

// Owned notes that another ask is the one to be told of an allocation.
func (r *Router) Owned(n shardownership.Name, shard int, epoch, owner uint32, ref uint64) {
	r.ownership.Owned(n, shard, epoch, owner, ref)
}

// Adopt gives what a node runs to a shard, and tells who waits to hear of it; false if another acts for it.
func (r *Router) Adopt(n shardownership.Name, shard int, a shardownership.Ask, try shardownership.Try) (epoch, owner uint32, ref uint64, ok bool) {
	before := r.ownership.Len()
	if epoch, ok = r.ownership.Found(n, shard, a, try); !ok {
		return 0, 0, 0, false
	}
	if r.ownership.Len() > before {
		r.table.Join(shard, a.Service)
	}
	gone, was := r.lost[n]
	if was {
		r.unlose(n)
		r.ownership.Owned(n, shard, epoch, gone.Owner, gone.Ref)
	}
	return epoch, gone.Owner, gone.Ref, true
}

// lose notes that something runs that no shard knows of, unlose that this is over.
func (r *Router) lose(now float64, n shardownership.Name, a shardownership.Ask, try shardownership.Try) {
	r.lost[n] = lost{a, try, now + findFor}
	r.lostBy[try] = n
}

func (r *Router) unlose(n shardownership.Name) {
	delete(r.lostBy, r.lost[n].try)
	delete(r.lost, n)
}

// Ended notes that a try is over which no shard knows of: its owner is to hear how, rather than at last that it was not found.
func (r *Router) Ended(try shardownership.Try) (a shardownership.Ask, ok bool) {
	n, ok := r.lostBy[try]
	if ok {
		a = r.lost[n].Ask
		r.unlose(n)
	}
	return a, ok
}

// Drop ends an allocation that a shard acts for.
func (r *Router) Drop(n shardownership.Name, shard int, service uint64, epoch uint32) {
	if r.ownership.Drop(n, shard, epoch) {
		r.table.Leave(shard, service)
	}
}

// Home is the shard that a try which a node holds belongs to: the one that holds it by that very try, else the one that
// made it, else, if that one's life is over, where its service belongs; -1 if none lives. Only the first is sure to know
// of it: one that was handed on may have been lost with the shard that got it, and its maker gave it away for good.
func (r *Router) Home(n shardownership.Name, ticket uint64, no uint8, service uint64, own int) (at int, knows bool) {
	if at, ok := r.ownership.Holder(n, ticket, no); ok && r.table.Lives(at) {
		return at, true
	}
	if own >= 0 {
		return own, false
	}
	return r.table.Find(service, n.Tenant, true), false
}

// Fate is what becomes of an allocation whose shard is no more, or gave it away.
type Fate struct {
	shardownership.Orphan
	To    int    // the shard that goes on with one that moves
	Epoch uint32 // and under which epoch
}

// Fence ends all that a shard acts for, as it is not to be trusted any more: what it held moves, is declined or failed, or
// runs on and will be found.
func (r *Router) Fence(now float64, shard int) []Fate {
	r.dog.Fence(now, shard)
	r.table.Down(shard)
	var all []Fate
	for _, o := range r.ownership.Fence(now, shard, r.terms.Margin+10*r.terms.Step) {
		f, service := Fate{Orphan: o}, o.Entry.Service
		r.table.Leave(shard, service)
		spread := r.spread(o.Entry.Job)
		if spread { // its next home must first hear what runs, or the spread would be broken
			r.resting[service] = now + restFor
		}
		if f.Fate == shardownership.Moves {
			to, ok := 0, false
			if !spread {
				to, ok = r.table.Place(service, o.Name.Tenant, false)
			}
			if f.Fate = shardownership.Declines; ok {
				f.Fate, f.To, f.Epoch = shardownership.Moves, to, r.ownership.Take(o.Name, to, o.Entry.Ask)
			}
		}
		if f.Fate == shardownership.Continues && o.Entry.Served { // else its owner knows already that it was not
			r.lose(now, o.Name, o.Entry.Ask, o.Entry.Last)
		}
		all = append(all, f)
	}
	return all
}

// Look takes each shard's last sign of life and how long its events wait. It tells which shards to fence and which to
// start again, what to answer for those that are quiet, which of those they are, and what ran and was not found again.
func (r *Router) Look(now float64, beats, waited []float64) (fence, start, quiet []int, answer []Fate, lost []shardownership.Ask) {
	for i, w := range waited {
		r.table.Seen(i, w)
	}
	fence, start = r.dog.Look(now, beats)
	for i := range beats {
		if !r.gone[i] && watchdog.Quiet(now, beats[i]) {
			quiet = append(quiet, i)
			for _, o := range r.ownership.Overdue(now, i, r.Within()) {
				answer = append(answer, Fate{Orphan: o})
			}
		}
	}
	r.ownership.Forget(now)
	for service, until := range r.resting {
		if now > until {
			delete(r.resting, service)
		}
	}
	for n, a := range r.lost {
		if now > a.until {
			r.unlose(n)
			lost = append(lost, a.Ask)
		}
	}
	slices.SortFunc(lost, func(x, y shardownership.Ask) int {
		return cmp.Or(cmp.Compare(x.Owner, y.Owner), cmp.Compare(x.Ref, y.Ref))
	})
	return fence, start, quiet, answer, lost
}

// Within is how long before an expiry one answers for a quiet shard.
func (r *Router) Within() float64 { return r.terms.Margin * 3 / 4 }

// Started notes that a shard is in its next life, whose epochs begin so high. One that is to end ends all the same.
func (r *Router) Started(shard int, epoch uint32) {
	r.ownership.Epoch = max(r.ownership.Epoch, epoch)
	r.table.Up(shard)
	if r.leaves[shard] {
		r.table.Leaves(shard)
	}
}

// Resize wants so many shards, those with the lowest indices: it tells which begin and which leave.
func (r *Router) Resize(now float64, n int) (begin, leave []int, err error) {
	if n < 1 || n > r.terms.Most {
		return nil, nil, fmt.Errorf("%d shards: 1 to %d may run until the next start", n, r.terms.Most)
	}
	for i := range r.terms.Most {
		switch {
		case i >= n && !r.gone[i] && !r.leaves[i]:
			r.leaves[i] = true
			r.table.Leaves(i)
			leave = append(leave, i)
		case i < n && r.leaves[i]: // called back
			delete(r.leaves, i)
			if r.table.Lives(i) {
				r.table.Up(i)
			}
		case i < n && r.gone[i]:
			delete(r.gone, i)
			r.fresh[i] = now
			r.dog.Begin(now, i)
			begin = append(begin, i)
		}
	}
	return begin, leave, nil
}

// Gone tells whether a shard has left or never began, Leaving whether it is to end.
func (r *Router) Gone(shard int) bool { return r.gone[shard] }

// Leaving tells whether a shard is to end.
func (r *Router) Leaving(shard int) bool { return r.leaves[shard] }

// Gives tells whether shards have something to give just now: one that leaves, or to one that was added.
func (r *Router) Gives(now float64, shard int) bool {
	for i, began := range r.fresh {
		if !handover.Fresh(now, began) {
			delete(r.fresh, i)
		}
	}
	return r.leaves[shard] || len(r.fresh) > 0
}

// Goes tells whether a service at a shard belongs to another by now.
func (r *Router) Goes(shard int, service uint64, tenant int) bool {
	due := r.table.Due(service, tenant)
	if due < 0 || due == shard {
		return false
	}
	_, fresh := r.fresh[due]
	return r.leaves[shard] || fresh
}

// Rest lets services get nothing new for a moment, so that they come to an end of what is out.
func (r *Router) Rest(now float64, services []uint64) {
	for _, s := range services {
		r.resting[s] = max(r.resting[s], now+2*handover.LookEach())
	}
}

// Item is one that a shard gives away.
type Item struct {
	Name  shardownership.Name
	Ask   shardownership.Ask
	Epoch uint32
	Runs  bool
}

// Hand gives one service's allocations from a shard to where they belong now, in order. That may be the giver itself, as the
// number of shards changed since it looked, or no other lives any more: it is handed them like any other. One that was lost by
// a fence meanwhile continues and needs nothing.
func (r *Router) Hand(now float64, from int, items []Item) (all []Fate) {
	if len(items) == 0 {
		return nil
	}
	service := items[0].Ask.Service
	to := r.table.Due(service, items[0].Name.Tenant)
	if to < 0 {
		to = from
	}
	r.ownership.NextEpoch()
	for _, it := range items {
		f := Fate{Orphan: shardownership.Orphan{Name: it.Name, Entry: shardownership.Entry{Ask: it.Ask}, Fate: shardownership.Continues}}
		if epoch, ok := r.ownership.Hand(it.Name, from, it.Epoch, to); ok {
			f.Fate, f.To, f.Epoch = shardownership.Moves, to, epoch
			r.table.Join(to, service)
			r.table.Leave(from, service)
			if it.Runs { // until the other has it
				r.lose(now, it.Name, it.Ask, r.ownership.Entry(it.Name).Last)
			}
		} else {
			r.Drop(it.Name, from, service, it.Epoch)
		}
		all = append(all, f)
	}
	return all
}

// Left notes that a shard that was to end holds nothing more; false if it is not to end any more. What slipped in just
// then is answered.
func (r *Router) Left(now float64, shard int) (all []Fate, ok bool) {
	if !r.leaves[shard] {
		return nil, false
	}
	delete(r.leaves, shard)
	r.gone[shard] = true
	r.table.Down(shard)
	r.dog.Rest(shard)
	for _, o := range r.ownership.Fence(now, shard, 0) {
		r.table.Leave(shard, o.Entry.Service)
		if o.Fate == shardownership.Moves { // it never reached the engine
			o.Fate = shardownership.Declines
		}
		all = append(all, Fate{Orphan: o})
	}
	return all, true
}

// Uses is how many of a tenant's allocations are open here by which its limit is held.
func (r *Router) Uses(now float64, tenant int) int { return r.ownership.Uses(now, tenant) }

// Open is the number of allocations that are not answered yet.
func (r *Router) Open() int { return r.ownership.Open() }

// Epoch is that of what is taken now.
func (r *Router) Epoch() uint32 { return r.ownership.Epoch }

// Check holds what the shards hold, each by its name and epoch, against what the router has.
func (r *Router) Check(each func(f func(shard int, n shardownership.Name, epoch uint32))) error {
	held, open := map[shardownership.Name]bool{}, 0
	var fault error
	each(func(shard int, n shardownership.Name, epoch uint32) {
		held[n] = true
		if en := r.ownership.Entry(n); fault != nil {
			return
		} else if en == nil {
			fault = fmt.Errorf("shard %d holds allocation %x that the ownership table does not know", shard, n.Token)
		} else if en.Shard != shard || en.Epoch != epoch {
			fault = fmt.Errorf("shard %d holds allocation %x by epoch %d, the ownership table has it at %d by %d", shard, n.Token, epoch,
				en.Shard, en.Epoch)
		}
	})
	for i := range r.terms.Most {
		open += r.table.Open(i)
	}
	switch {
	case fault != nil:
		return fault
	case len(held) != r.ownership.Len():
		return fmt.Errorf("shards hold %d allocations, the ownership table %d", len(held), r.ownership.Len())
	case open != r.ownership.Len():
		return fmt.Errorf("the table of shards counts %d allocations, the ownership table %d", open, r.ownership.Len())
	}
	return nil
}
