// Package shardrouter decides, for a process of several shards, who acts for which allocation: where an ask goes, what becomes of
// a shard's allocations when it is fenced, leaves or is added, who answers for one that is quiet. It holds the ledger of owners,
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

// Terms are what a desk begins with.
type Terms struct {
	Jobs         []logic.JobType
	Way          shares.Way
	Shards, Most int     // that begin, and that may run
	Open         int     // allocations open at once, of all shards together
	Margin, Step float64 // ms: an answer leaves so long before its expiry; a round at most so often
	Epoch        uint32  // the first, higher than in any earlier life
	Trusted      bool    // planted: any epoch gets leave
	Hosts        bool    // tenants come and go, and asks wait for their turn
}

// Desk is the process's.
type Desk struct {
	terms   Terms
	ledger  *shardownership.Ledger
	table   *shares.Table
	dog     *watchdog.Dog
	gates   []admit.Gate
	lost    map[shardownership.Name]lost // what ran at a shard that is no more, until it is found
	lostBy  map[shardownership.Try]shardownership.Name
	resting map[uint64]float64 // services that get nothing new, until a time
	leaves  map[int]bool       // shards that are to end
	gone    map[int]bool       // and those that have, or never began
	fresh   map[int]float64    // when shards that were added began
	line    *line              // in front of all, where tenants come and go
}

type lost struct {
	shardownership.Ask
	try   shardownership.Try
	until float64
}

// New makes a desk.
func New(now float64, terms Terms) *Desk {
	weights := make([]float64, terms.Most)
	for i := range weights {
		weights[i] = 1
	}
	d := &Desk{terms: terms, ledger: shardownership.Table(terms.Jobs, terms.Epoch), table: shares.New(terms.Way, weights),
		dog: watchdog.New(now, terms.Most), gates: make([]admit.Gate, terms.Most), lost: map[shardownership.Name]lost{}, lostBy: map[shardownership.Try]shardownership.Name{},
		resting: map[uint64]float64{}, leaves: map[int]bool{}, gone: map[int]bool{}, fresh: map[int]float64{}}
	d.ledger.Trusted = terms.Trusted
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

func (d *Desk) spread(job int) bool { return d.terms.Jobs[job].Spread != logic.Anywhere }

// OpenEach is how many allocations one of so many shards may have open.
func (d *Desk) OpenEach(shards int) int { return min(d.terms.Open, (d.terms.Open+shards-1)/shards*2) }

// Ask finds the shard for an ask: the one that acts for its key already, with an epoch of 0, else the one where its service
// belongs, under a new epoch. why says why there is none. unread is how long the ask lay on its way, and queue tells of a
// shard how long it has been at one thing, beyond what is common, and how many asks wait there.
func (d *Desk) Ask(now float64, n shardownership.Name, a shardownership.Ask, unread float64,
	queue func(shard int) (stuck float64, ahead int)) (at int, epoch uint32, why string) {
	at, known := d.ledger.Look(now, n)
	switch {
	case known == shardownership.Barring:
		return 0, 0, "earlier-try-out"
	case known == shardownership.Known:
		return at, 0, ""
	case d.ledger.Open() >= d.terms.Open:
		return 0, 0, "full"
	case now < d.resting[a.Service]:
		return 0, 0, "shard-fenced"
	}
	if _, runs := d.lost[n]; runs { // at a node that has not told yet who goes on with it: a try now would be a second start
		return 0, 0, "shard-fenced"
	}
	if at = d.table.Find(a.Service, n.Tenant, d.spread(a.Job)); at < 0 {
		return 0, 0, "no-shard"
	}
	if stuck, ahead := queue(at); !d.gates[at].Enter(now, max(unread, stuck), ahead) {
		return 0, 0, "behind"
	}
	d.table.Join(at, a.Service)
	a.Entered = now
	return at, d.ledger.Take(n, at, a), ""
}

// Worked tells a shard's gate what a round took in which so many asks were worked off.
func (d *Desk) Worked(shard int, took float64, asks int) { d.gates[shard].Worked(took, asks) }

// Send asks leave for a try, Settle notes its outcome, Final asks leave for the final answer, Owned notes who is told from now on.
func (d *Desk) Send(n shardownership.Name, shard int, epoch uint32, try shardownership.Try) bool {
	return d.ledger.Send(n, shard, epoch, try)
}

// Settle notes a try's outcome; never tells that it is proven not to have run.
func (d *Desk) Settle(n shardownership.Name, shard int, epoch uint32, never bool) {
	d.ledger.Settle(n, shard, epoch, never)
}

// Final notes that the final answer leaves, and whether it is that the allocation is served; false if it must not.
func (d *Desk) Final(now float64, n shardownership.Name, shard int, epoch uint32, served bool) bool {
	if !d.ledger.Answer(n, shard, epoch, served) {
		return false
	}
	if d.line != nil && served {
		d.line.fill.Answered(now, now-d.ledger.Entry(n).Entered, d.line.queue.Lines() > 0)
	}
	return true
}

// Owned notes that another ask is the one to be told of an allocation.
func (d *Desk) Owned(n shardownership.Name, shard int, epoch, owner uint32, ref uint64) {
	d.ledger.Owned(n, shard, epoch, owner, ref)
}

// Adopt gives what a node runs to a shard, and tells who waits to hear of it; false if another acts for it.
func (d *Desk) Adopt(n shardownership.Name, shard int, a shardownership.Ask, try shardownership.Try) (epoch, owner uint32, ref uint64, ok bool) {
	before := d.ledger.Len()
	if epoch, ok = d.ledger.Found(n, shard, a, try); !ok {
		return 0, 0, 0, false
	}
	if d.ledger.Len() > before {
		d.table.Join(shard, a.Service)
	}
	gone, was := d.lost[n]
	if was {
		d.unlose(n)
		d.ledger.Owned(n, shard, epoch, gone.Owner, gone.Ref)
	}
	return epoch, gone.Owner, gone.Ref, true
}

// lose notes that something runs that no shard knows of, unlose that this is over.
func (d *Desk) lose(now float64, n shardownership.Name, a shardownership.Ask, try shardownership.Try) {
	d.lost[n] = lost{a, try, now + findFor}
	d.lostBy[try] = n
}

func (d *Desk) unlose(n shardownership.Name) {
	delete(d.lostBy, d.lost[n].try)
	delete(d.lost, n)
}

// Ended notes that a try is over which no shard knows of: its owner is to hear how, rather than at last that it was not found.
func (d *Desk) Ended(try shardownership.Try) (a shardownership.Ask, ok bool) {
	n, ok := d.lostBy[try]
	if ok {
		a = d.lost[n].Ask
		d.unlose(n)
	}
	return a, ok
}

// Drop ends an allocation that a shard acts for.
func (d *Desk) Drop(n shardownership.Name, shard int, service uint64, epoch uint32) {
	if d.ledger.Drop(n, shard, epoch) {
		d.table.Leave(shard, service)
	}
}

// Home is the shard that a try which a node holds belongs to: the one that holds it by that very try, else the one that
// made it, else, if that one's life is over, where its service belongs; -1 if none lives. Only the first is sure to know
// of it: one that was handed on may have been lost with the shard that got it, and its maker gave it away for good.
func (d *Desk) Home(n shardownership.Name, ticket uint64, no uint8, service uint64, own int) (at int, knows bool) {
	if at, ok := d.ledger.Holder(n, ticket, no); ok && d.table.Lives(at) {
		return at, true
	}
	if own >= 0 {
		return own, false
	}
	return d.table.Find(service, n.Tenant, true), false
}

// Fate is what becomes of an allocation whose shard is no more, or gave it away.
type Fate struct {
	shardownership.Orphan
	To    int    // the shard that goes on with one that moves
	Epoch uint32 // and under which epoch
}

// Fence ends all that a shard acts for, as it is not to be trusted any more: what it held moves, is declined or failed, or
// runs on and will be found.
func (d *Desk) Fence(now float64, shard int) []Fate {
	d.dog.Fence(now, shard)
	d.table.Down(shard)
	var all []Fate
	for _, o := range d.ledger.Fence(now, shard, d.terms.Margin+10*d.terms.Step) {
		f, service := Fate{Orphan: o}, o.Entry.Service
		d.table.Leave(shard, service)
		spread := d.spread(o.Entry.Job)
		if spread { // its next home must first hear what runs, or the spread would be broken
			d.resting[service] = now + restFor
		}
		if f.Fate == shardownership.Moves {
			to, ok := 0, false
			if !spread {
				to, ok = d.table.Place(service, o.Name.Tenant, false)
			}
			if f.Fate = shardownership.Declines; ok {
				f.Fate, f.To, f.Epoch = shardownership.Moves, to, d.ledger.Take(o.Name, to, o.Entry.Ask)
			}
		}
		if f.Fate == shardownership.Continues && o.Entry.Served { // else its owner knows already that it was not
			d.lose(now, o.Name, o.Entry.Ask, o.Entry.Last)
		}
		all = append(all, f)
	}
	return all
}

// Look takes each shard's last sign of life and how long its events wait. It tells which shards to fence and which to
// start again, what to answer for those that are quiet, which of those they are, and what ran and was not found again.
func (d *Desk) Look(now float64, beats, waited []float64) (fence, start, quiet []int, answer []Fate, lost []shardownership.Ask) {
	for i, w := range waited {
		d.table.Seen(i, w)
	}
	fence, start = d.dog.Look(now, beats)
	for i := range beats {
		if !d.gone[i] && watchdog.Quiet(now, beats[i]) {
			quiet = append(quiet, i)
			for _, o := range d.ledger.Overdue(now, i, d.Within()) {
				answer = append(answer, Fate{Orphan: o})
			}
		}
	}
	d.ledger.Forget(now)
	for service, until := range d.resting {
		if now > until {
			delete(d.resting, service)
		}
	}
	for n, a := range d.lost {
		if now > a.until {
			d.unlose(n)
			lost = append(lost, a.Ask)
		}
	}
	slices.SortFunc(lost, func(x, y shardownership.Ask) int {
		return cmp.Or(cmp.Compare(x.Owner, y.Owner), cmp.Compare(x.Ref, y.Ref))
	})
	return fence, start, quiet, answer, lost
}

// Within is how long before an expiry one answers for a quiet shard.
func (d *Desk) Within() float64 { return d.terms.Margin * 3 / 4 }

// Started notes that a shard is in its next life, whose epochs begin so high. One that is to end ends all the same.
func (d *Desk) Started(shard int, epoch uint32) {
	d.ledger.Epoch = max(d.ledger.Epoch, epoch)
	d.table.Up(shard)
	if d.leaves[shard] {
		d.table.Leaves(shard)
	}
}

// Resize wants so many shards, those with the lowest indices: it tells which begin and which leave.
func (d *Desk) Resize(now float64, n int) (begin, leave []int, err error) {
	if n < 1 || n > d.terms.Most {
		return nil, nil, fmt.Errorf("%d shards: 1 to %d may run until the next start", n, d.terms.Most)
	}
	for i := range d.terms.Most {
		switch {
		case i >= n && !d.gone[i] && !d.leaves[i]:
			d.leaves[i] = true
			d.table.Leaves(i)
			leave = append(leave, i)
		case i < n && d.leaves[i]: // called back
			delete(d.leaves, i)
			if d.table.Lives(i) {
				d.table.Up(i)
			}
		case i < n && d.gone[i]:
			delete(d.gone, i)
			d.fresh[i] = now
			d.dog.Begin(now, i)
			begin = append(begin, i)
		}
	}
	return begin, leave, nil
}

// Gone tells whether a shard has left or never began, Leaving whether it is to end.
func (d *Desk) Gone(shard int) bool { return d.gone[shard] }

// Leaving tells whether a shard is to end.
func (d *Desk) Leaving(shard int) bool { return d.leaves[shard] }

// Gives tells whether shards have something to give just now: one that leaves, or to one that was added.
func (d *Desk) Gives(now float64, shard int) bool {
	for i, began := range d.fresh {
		if !handover.Fresh(now, began) {
			delete(d.fresh, i)
		}
	}
	return d.leaves[shard] || len(d.fresh) > 0
}

// Goes tells whether a service at a shard belongs to another by now.
func (d *Desk) Goes(shard int, service uint64, tenant int) bool {
	due := d.table.Due(service, tenant)
	if due < 0 || due == shard {
		return false
	}
	_, fresh := d.fresh[due]
	return d.leaves[shard] || fresh
}

// Rest lets services get nothing new for a moment, so that they come to an end of what is out.
func (d *Desk) Rest(now float64, services []uint64) {
	for _, s := range services {
		d.resting[s] = max(d.resting[s], now+2*handover.LookEach())
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
func (d *Desk) Hand(now float64, from int, items []Item) (all []Fate) {
	if len(items) == 0 {
		return nil
	}
	service := items[0].Ask.Service
	to := d.table.Due(service, items[0].Name.Tenant)
	if to < 0 {
		to = from
	}
	d.ledger.NextEpoch()
	for _, it := range items {
		f := Fate{Orphan: shardownership.Orphan{Name: it.Name, Entry: shardownership.Entry{Ask: it.Ask}, Fate: shardownership.Continues}}
		if epoch, ok := d.ledger.Hand(it.Name, from, it.Epoch, to); ok {
			f.Fate, f.To, f.Epoch = shardownership.Moves, to, epoch
			d.table.Join(to, service)
			d.table.Leave(from, service)
			if it.Runs { // until the other has it
				d.lose(now, it.Name, it.Ask, d.ledger.Entry(it.Name).Last)
			}
		} else {
			d.Drop(it.Name, from, service, it.Epoch)
		}
		all = append(all, f)
	}
	return all
}

// Left notes that a shard that was to end holds nothing more; false if it is not to end any more. What slipped in just
// then is answered.
func (d *Desk) Left(now float64, shard int) (all []Fate, ok bool) {
	if !d.leaves[shard] {
		return nil, false
	}
	delete(d.leaves, shard)
	d.gone[shard] = true
	d.table.Down(shard)
	d.dog.Rest(shard)
	for _, o := range d.ledger.Fence(now, shard, 0) {
		d.table.Leave(shard, o.Entry.Service)
		if o.Fate == shardownership.Moves { // it never reached the engine
			o.Fate = shardownership.Declines
		}
		all = append(all, Fate{Orphan: o})
	}
	return all, true
}

// Uses is how many of a tenant's allocations are open here by which its limit is held.
func (d *Desk) Uses(now float64, tenant int) int { return d.ledger.Uses(now, tenant) }

// Open is the number of allocations that are not answered yet.
func (d *Desk) Open() int { return d.ledger.Open() }

// Epoch is that of what is taken now.
func (d *Desk) Epoch() uint32 { return d.ledger.Epoch }

// Check holds what the shards hold, each by its name and epoch, against what the desk has.
func (d *Desk) Check(each func(f func(shard int, n shardownership.Name, epoch uint32))) error {
	held, open := map[shardownership.Name]bool{}, 0
	var fault error
	each(func(shard int, n shardownership.Name, epoch uint32) {
		held[n] = true
		if en := d.ledger.Entry(n); fault != nil {
			return
		} else if en == nil {
			fault = fmt.Errorf("shard %d holds allocation %x that the ledger does not know", shard, n.Token)
		} else if en.Shard != shard || en.Epoch != epoch {
			fault = fmt.Errorf("shard %d holds allocation %x by epoch %d, the ledger has it at %d by %d", shard, n.Token, epoch,
				en.Shard, en.Epoch)
		}
	})
	for i := range d.terms.Most {
		open += d.table.Open(i)
	}
	switch {
	case fault != nil:
		return fault
	case len(held) != d.ledger.Len():
		return fmt.Errorf("shards hold %d allocations, the ledger %d", len(held), d.ledger.Len())
	case open != d.ledger.Len():
		return fmt.Errorf("the table of shards counts %d allocations, the ledger %d", open, d.ledger.Len())
	}
	return nil
}
