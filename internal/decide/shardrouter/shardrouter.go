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

	"ravenpond/internal/decide/admission"
	"ravenpond/internal/decide/handover"
	"ravenpond/internal/decide/shardownership"
	"ravenpond/internal/decide/shardplacement"
	"ravenpond/internal/decide/watchdog"
	"ravenpond/logic"
)

// Times in ms.
const (
	findFor = 15000 // in which what ran at a fenced shard may be found: its nodes may be away just then
	restFor = 2500  // of a service that must be spread, after a fence: until its next shard has heard from the nodes what runs
)

// Config are what a router begins with.
type Config struct {
	JobClasses                  []logic.JobClass
	Placement                   shardplacement.Policy
	Shards, MaxShards           int     // that begin, and that may run
	MaxOpen                     int     // allocations open at once, of all shards together
	AnswerMargin, RoundInterval float64 // ms: an answer leaves so long before its expiry; a round at most so often
	FirstEpoch                  uint32  // the first, higher than in any earlier life
	FaultAnyEpoch               bool    // planted: any epoch gets leave
	MultiTenant                 bool    // tenants come and go, and asks wait for their turn
}

// Router names, for one process, the shard that acts for each allocation.
type Router struct {
	config        Config
	ownership     *shardownership.Table
	placement     *shardplacement.Table
	watchdog      *watchdog.Watchdog
	gates         []admission.Gate
	lost          map[shardownership.ID]lostAllocation // what ran at a shard that is no more, until it is found
	lostByAttempt map[shardownership.Attempt]shardownership.ID
	pausedUntil   map[uint64]float64 // services that get nothing new, until a time
	draining      map[int]bool       // shards that are to end
	stopped       map[int]bool       // and those that have, or never began
	addedAt       map[int]float64    // when shards that were added began
	queue         *tenantQueue       // in front of all, where tenants come and go
}

type lostAllocation struct {
	shardownership.Request
	attempt shardownership.Attempt
	until   float64
}

// New makes a router.
func New(now float64, terms Config) *Router {
	weights := make([]float64, terms.MaxShards)
	for i := range weights {
		weights[i] = 1
	}
	d := &Router{
		config: terms, ownership: shardownership.NewTable(terms.JobClasses, terms.FirstEpoch), placement: shardplacement.New(terms.Placement, weights),
		watchdog: watchdog.New(now, terms.MaxShards), gates: make([]admission.Gate, terms.MaxShards), lost: map[shardownership.ID]lostAllocation{}, lostByAttempt: map[shardownership.Attempt]shardownership.ID{},
		pausedUntil: map[uint64]float64{}, draining: map[int]bool{}, stopped: map[int]bool{}, addedAt: map[int]float64{},
	}
	d.ownership.FaultAnyEpoch = terms.FaultAnyEpoch
	if terms.MultiTenant {
		d.startQueue()
	}
	for i := terms.Shards; i < terms.MaxShards; i++ {
		d.stopped[i] = true
		d.placement.MarkDown(i)
		d.watchdog.Unwatch(i)
	}
	return d
}

func (r *Router) isSpread(job int) bool { return r.config.JobClasses[job].Spread != logic.Anywhere }

// MaxOpenPerShard is how many allocations one of so many shards may have open.
func (r *Router) MaxOpenPerShard(shards int) int {
	return min(r.config.MaxOpen, (r.config.MaxOpen+shards-1)/shards*2)
}

// Route finds the shard for an ask: the one that acts for its key already, with an epoch of 0, else the one where its service
// belongs, under a new epoch. why says why there is none. unread is how long the ask lay on its way, and queue tells of a
// shard how long it has been at one thing, beyond what is common, and how many asks wait there.
func (r *Router) Route(now float64, n shardownership.ID, a shardownership.Request, unread float64,
	queue func(shard int) (stuck float64, ahead int),
) (at int, epoch uint32, why string) {
	at, known := r.ownership.Lookup(now, n)
	switch {
	case known == shardownership.Barred:
		return 0, 0, "earlier-try-out"
	case known == shardownership.Assigned:
		return at, 0, ""
	case r.ownership.Open() >= r.config.MaxOpen:
		return 0, 0, "full"
	case now < r.pausedUntil[a.Service]:
		return 0, 0, "shard-fenced"
	}
	if _, runs := r.lost[n]; runs { // at a node that has not told yet who goes on with it: a try now would be a second start
		return 0, 0, "shard-fenced"
	}
	if at = r.placement.Choose(a.Service, n.Tenant, r.isSpread(a.JobClass)); at < 0 {
		return 0, 0, "no-shard"
	}
	if stuck, ahead := queue(at); !r.gates[at].Admit(now, max(unread, stuck), ahead) {
		return 0, 0, "behind"
	}
	r.placement.Add(at, a.Service)
	a.AssignedAt = now
	return at, r.ownership.Assign(n, at, a), ""
}

// OnRound tells a shard's gate what a round took in which so many asks were worked off.
func (r *Router) OnRound(shard int, took float64, asks int) { r.gates[shard].OnRound(took, asks) }

// PermitAttempt asks leave for a try, Settle notes its outcome, Final asks leave for the final answer, Owned notes who is told from now on.
func (r *Router) PermitAttempt(n shardownership.ID, shard int, epoch uint32, try shardownership.Attempt) bool {
	return r.ownership.PermitAttempt(n, shard, epoch, try)
}

// IsOwner tells whether a shard acts for an allocation under an epoch.
func (r *Router) IsOwner(n shardownership.ID, shard int, epoch uint32) bool {
	return r.ownership.IsOwner(n, shard, epoch)
}

// CompleteAttempt notes a try's outcome; never tells that it is proven not to have run.
func (r *Router) CompleteAttempt(n shardownership.ID, shard int, epoch uint32, never bool) {
	r.ownership.CompleteAttempt(n, shard, epoch, never)
}

// PermitAnswer notes that the final answer leaves, and whether it is that the allocation is served; false if it must not.
func (r *Router) PermitAnswer(now float64, n shardownership.ID, shard int, epoch uint32, served bool) bool {
	if !r.ownership.PermitAnswer(n, shard, epoch, served) {
		return false
	}
	if r.queue != nil && served {
		r.queue.fill.OnAnswer(now, now-r.ownership.Entry(n).AssignedAt, r.queue.queue.TotalWaiting() > 0)
	}
	return true
}

// SetClient notes that another ask is the one to be told of an allocation.
func (r *Router) SetClient(n shardownership.ID, shard int, epoch, owner uint32, ref uint64) {
	r.ownership.SetClient(n, shard, epoch, owner, ref)
}

// Recover gives what a node runs to a shard, and tells who waits to hear of it; false if another acts for it.
func (r *Router) Recover(n shardownership.ID, shard int, a shardownership.Request, try shardownership.Attempt) (epoch, owner uint32, ref uint64, ok bool) {
	before := r.ownership.Len()
	if epoch, ok = r.ownership.Recover(n, shard, a, try); !ok {
		return 0, 0, 0, false
	}
	if r.ownership.Len() > before {
		r.placement.Add(shard, a.Service)
	}
	gone, was := r.lost[n]
	if was {
		r.removeLost(n)
		r.ownership.SetClient(n, shard, epoch, gone.Client, gone.Ref)
	}
	return epoch, gone.Client, gone.Ref, true
}

// addLost notes that something runs that no shard knows of, unlose that this is over.
func (r *Router) addLost(now float64, n shardownership.ID, a shardownership.Request, try shardownership.Attempt) {
	r.lost[n] = lostAllocation{a, try, now + findFor}
	r.lostByAttempt[try] = n
}

func (r *Router) removeLost(n shardownership.ID) {
	delete(r.lostByAttempt, r.lost[n].attempt)
	delete(r.lost, n)
}

// OnLostEnded notes that a try is over which no shard knows of: its owner is to hear how, rather than at last that it was not found.
func (r *Router) OnLostEnded(try shardownership.Attempt) (a shardownership.Request, ok bool) {
	n, ok := r.lostByAttempt[try]
	if ok {
		a = r.lost[n].Request
		r.removeLost(n)
	}
	return a, ok
}

// Remove ends an allocation that a shard acts for.
func (r *Router) Remove(n shardownership.ID, shard int, service uint64, epoch uint32) {
	if r.ownership.Remove(n, shard, epoch) {
		r.placement.Remove(shard, service)
	}
}

// ShardOf is the shard that a try which a node holds belongs to: the one that holds it by that very try, else the one that
// made it, else, if that one's life is over, where its service belongs; -1 if none lives. Only the first is sure to know
// of it: one that was handed on may have been lost with the shard that got it, and its maker gave it away for good.
func (r *Router) ShardOf(n shardownership.ID, ticket uint64, no uint8, service uint64, own int) (at int, knows bool) {
	if at, ok := r.ownership.Holder(n, ticket, no); ok && r.placement.IsUp(at) {
		return at, true
	}
	if own >= 0 {
		return own, false
	}
	return r.placement.Choose(service, n.Tenant, true), false
}

// OrphanDecision is what becomes of an allocation whose shard is no more, or gave it away.
type OrphanDecision struct {
	shardownership.Orphan
	Shard int    // the shard that goes on with one that moves
	Epoch uint32 // and under which epoch
}

// Fence ends all that a shard acts for, as it is not to be trusted any more: what it held moves, is declined or failed, or
// runs on and will be found.
func (r *Router) Fence(now float64, shard int) []OrphanDecision {
	r.watchdog.Fence(now, shard)
	r.placement.MarkDown(shard)
	var all []OrphanDecision
	for _, o := range r.ownership.Fence(now, shard, r.config.AnswerMargin+10*r.config.RoundInterval) {
		f, service := OrphanDecision{Orphan: o}, o.Entry.Service
		r.placement.Remove(shard, service)
		spread := r.isSpread(o.Entry.JobClass)
		if spread { // its next home must first hear what runs, or the spread would be broken
			r.pausedUntil[service] = now + restFor
		}
		if f.Disposition == shardownership.Reassign {
			to, ok := 0, false
			if !spread {
				to, ok = r.placement.Place(service, o.ID.Tenant, false)
			}
			if f.Disposition = shardownership.Shed; ok {
				f.Disposition, f.Shard, f.Epoch = shardownership.Reassign, to, r.ownership.Assign(o.ID, to, o.Entry.Request)
			}
		}
		if f.Disposition == shardownership.Continue && o.Entry.Served { // else its owner knows already that it was not
			r.addLost(now, o.ID, o.Entry.Request, o.Entry.LastAttempt)
		}
		all = append(all, f)
	}
	return all
}

// CheckHealth takes each shard's last sign of life and how long its events wait. It tells which shards to fence and which to
// start again, what to answer for those that are quiet, which of those they are, and what ran and was not found again.
func (r *Router) CheckHealth(now float64, beats, waited []float64) (fence, start, quiet []int, answer []OrphanDecision, lost []shardownership.Request) {
	for i, w := range waited {
		r.placement.OnDelay(i, w)
	}
	fence, start = r.watchdog.Check(now, beats)
	for i := range beats {
		if !r.stopped[i] && watchdog.IsSilent(now, beats[i]) {
			quiet = append(quiet, i)
			for _, o := range r.ownership.ShedOverdue(now, i, r.OverdueMargin()) {
				answer = append(answer, OrphanDecision{Orphan: o})
			}
		}
	}
	r.ownership.ExpireBars(now)
	for service, until := range r.pausedUntil {
		if now > until {
			delete(r.pausedUntil, service)
		}
	}
	for n, a := range r.lost {
		if now > a.until {
			r.removeLost(n)
			lost = append(lost, a.Request)
		}
	}
	slices.SortFunc(lost, func(x, y shardownership.Request) int {
		return cmp.Or(cmp.Compare(x.Client, y.Client), cmp.Compare(x.Ref, y.Ref))
	})
	return fence, start, quiet, answer, lost
}

// OverdueMargin is how long before an expiry one answers for a quiet shard.
func (r *Router) OverdueMargin() float64 { return r.config.AnswerMargin * 3 / 4 }

// OnShardStarted notes that a shard is in its next life, whose epochs begin so high. One that is to end ends all the same.
func (r *Router) OnShardStarted(shard int, epoch uint32) {
	r.ownership.Epoch = max(r.ownership.Epoch, epoch)
	r.placement.MarkUp(shard)
	if r.draining[shard] {
		r.placement.MarkDraining(shard)
	}
}

// Resize wants so many shards, those with the lowest indices: it tells which begin and which leave.
func (r *Router) Resize(now float64, n int) (begin, leave []int, err error) {
	if n < 1 || n > r.config.MaxShards {
		return nil, nil, fmt.Errorf("%d shards: 1 to %d may run until the next start", n, r.config.MaxShards)
	}
	for i := range r.config.MaxShards {
		switch {
		case i >= n && !r.stopped[i] && !r.draining[i]:
			r.draining[i] = true
			r.placement.MarkDraining(i)
			leave = append(leave, i)
		case i < n && r.draining[i]: // called back
			delete(r.draining, i)
			if r.placement.IsUp(i) {
				r.placement.MarkUp(i)
			}
		case i < n && r.stopped[i]:
			delete(r.stopped, i)
			r.addedAt[i] = now
			r.watchdog.Watch(now, i)
			begin = append(begin, i)
		}
	}
	return begin, leave, nil
}

// IsStopped tells whether a shard has left or never began, Leaving whether it is to end.
func (r *Router) IsStopped(shard int) bool { return r.stopped[shard] }

// IsDraining tells whether a shard is to end.
func (r *Router) IsDraining(shard int) bool { return r.draining[shard] }

// HasHandover tells whether shards have something to give just now: one that leaves, or to one that was added.
func (r *Router) HasHandover(now float64, shard int) bool {
	for i, began := range r.addedAt {
		if !handover.IsNewlyAdded(now, began) {
			delete(r.addedAt, i)
		}
	}
	return r.draining[shard] || len(r.addedAt) > 0
}

// BelongsElsewhere tells whether a service at a shard belongs to another by now.
func (r *Router) BelongsElsewhere(shard int, service uint64, tenant int) bool {
	due := r.placement.TargetOf(service, tenant)
	if due < 0 || due == shard {
		return false
	}
	_, fresh := r.addedAt[due]
	return r.draining[shard] || fresh
}

// PauseServices lets services get nothing new for a moment, so that they come to an end of what is out.
func (r *Router) PauseServices(now float64, services []uint64) {
	for _, s := range services {
		r.pausedUntil[s] = max(r.pausedUntil[s], now+2*handover.PollInterval())
	}
}

// HandoverItem is one that a shard gives away.
type HandoverItem struct {
	ID      shardownership.ID
	Request shardownership.Request
	Epoch   uint32
	Running bool
}

// HandOver gives one service's allocations from a shard to where they belong now, in order. That may be the giver itself, as the
// number of shards changed since it looked, or no other lives any more: it is handed them like any other. One that was lost by
// a fence meanwhile continues and needs nothing.
func (r *Router) HandOver(now float64, from int, items []HandoverItem) (all []OrphanDecision) {
	if len(items) == 0 {
		return nil
	}
	service := items[0].Request.Service
	to := r.placement.TargetOf(service, items[0].ID.Tenant)
	if to < 0 {
		to = from
	}
	r.ownership.NextEpoch()
	for _, it := range items {
		f := OrphanDecision{Orphan: shardownership.Orphan{ID: it.ID, Entry: shardownership.Entry{Request: it.Request}, Disposition: shardownership.Continue}}
		if epoch, ok := r.ownership.HandOver(it.ID, from, it.Epoch, to); ok {
			f.Disposition, f.Shard, f.Epoch = shardownership.Reassign, to, epoch
			r.placement.Add(to, service)
			r.placement.Remove(from, service)
			if it.Running { // until the other has it
				r.addLost(now, it.ID, it.Request, r.ownership.Entry(it.ID).LastAttempt)
			}
		} else {
			r.Remove(it.ID, from, service, it.Epoch)
		}
		all = append(all, f)
	}
	return all
}

// OnDrained notes that a shard that was to end holds nothing more; false if it is not to end any more. What slipped in just
// then is answered.
func (r *Router) OnDrained(now float64, shard int) (all []OrphanDecision, ok bool) {
	if !r.draining[shard] {
		return nil, false
	}
	delete(r.draining, shard)
	r.stopped[shard] = true
	r.placement.MarkDown(shard)
	r.watchdog.Unwatch(shard)
	for _, o := range r.ownership.Fence(now, shard, 0) {
		r.placement.Remove(shard, o.Entry.Service)
		if o.Disposition == shardownership.Reassign { // it never reached the engine
			o.Disposition = shardownership.Shed
		}
		all = append(all, OrphanDecision{Orphan: o})
	}
	return all, true
}

// TenantOpen is how many of a tenant's allocations are open here by which its limit is held.
func (r *Router) TenantOpen(now float64, tenant int) int { return r.ownership.TenantOpen(now, tenant) }

// Open is the number of allocations that are not answered yet.
func (r *Router) Open() int { return r.ownership.Open() }

// Epoch is that of what is taken now.
func (r *Router) Epoch() uint32 { return r.ownership.Epoch }

// CheckInvariants holds what the shards hold, each by its name and epoch, against what the router has.
func (r *Router) CheckInvariants(each func(f func(shard int, n shardownership.ID, epoch uint32))) error {
	held, open := map[shardownership.ID]bool{}, 0
	var fault error
	each(func(shard int, n shardownership.ID, epoch uint32) {
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
	for i := range r.config.MaxShards {
		open += r.placement.Open(i)
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
