package shardrouter

import (
	"math"
	"slices"

	"ravenpond/internal/decide/fairqueue"
	"ravenpond/internal/decide/shardownership"
	"ravenpond/internal/decide/tenancy"
)

// Where tenants come and go, an ask that nobody acts for yet waits here for its tenant's turn, before it is placed on a shard:
// beyond this point nobody looks at whose it is. What a shard will not take, as it is behind, comes back and costs its
// tenant nothing.

const (
	leastOpen = 2   // for each shard that may run, whatever room there is
	retry     = 5   // ms after which a shard that was behind is asked again
	heed      = 0.1 // weight of the list's last word, twice a second, in what others hold
	listLag   = 5   // words of the list by which it may be behind
)

type tenantQueue struct {
	queue      *fairqueue.Queue
	fill       *fairqueue.FillController
	urgency    []int // by job type
	lastID     uint64
	waiting    map[uint64]queuedRequest
	byClient   map[clientRef]uint64
	retryAt    float64     // when to ask a shard that was behind, 0: none was
	capacity   Resources   // of the nodes that take work
	others     Resources   // of it, what other processes hold
	held       Resources   // by what this process's shards act for, open or running
	recentHeld []Resources // that, at the last words of the list
}

// Resources is of cores and memory.
type Resources struct{ Cores, Memory float64 }

type clientRef struct {
	client uint32
	ref    uint64
}

type queuedRequest struct {
	id      shardownership.ID
	request shardownership.Request
	unread  float64
	since   float64
}

// startQueue makes the line.
func (r *Router) startQueue() {
	values := make([]float64, len(r.config.JobClasses))
	for i := range r.config.JobClasses {
		values[i] = r.config.JobClasses[i].PriorityWeight
	}
	order := slices.Clone(values)
	slices.Sort(order)
	l := &tenantQueue{fill: fairqueue.NewFillController(), waiting: map[uint64]queuedRequest{}, byClient: map[clientRef]uint64{}}
	for _, v := range values {
		l.urgency = append(l.urgency, slices.Index(order, v))
	}
	l.queue = fairqueue.New(1, 1, r.config.MaxOpen)
	l.queue.SetFree(0, 0, leastOpen*r.config.MaxShards)
	r.ownership.OnOpenChange = l.queue.AddOpen
	r.ownership.OnHeldChange = func(tenant int, a *shardownership.Request, by float64) {
		l.queue.AddHeld(tenant, a.Cores, a.Memory, by)
		l.held.Cores, l.held.Memory = l.held.Cores+by*a.Cores, l.held.Memory+by*a.Memory
	}
	r.queue = l
}

// ShardLoad tells of a shard how long it has been at one thing, beyond what is common, and how many asks wait there.
type ShardLoad func(shard int) (stuck float64, ahead int)

// Decision is what becomes of an ask.
type Decision struct {
	ID         shardownership.ID
	Request    shardownership.Request
	Queued     bool    // its turn comes, or it is answered later
	Shard      int     // the shard that acts for it
	Epoch      uint32  // 0: for another ask of the same key
	Reason     string  // it is declined
	RetryAfter float64 // ms after which to ask again, if it is known
}

// Submit takes an ask, as Ask does, and has it wait for its tenant's turn where tenants come and go.
func (r *Router) Submit(now float64, n shardownership.ID, a shardownership.Request, unread float64, queue ShardLoad) Decision {
	e := Decision{ID: n, Request: a}
	l := r.queue
	hosts := l != nil
	if hosts { // what a shard acts for already goes past the lines
		_, state := r.ownership.Lookup(now, n)
		hosts = state == shardownership.Unassigned
	}
	if !hosts {
		e.Shard, e.Epoch, e.Reason = r.Route(now, n, a, unread, queue)
		return e
	}
	l.lastID++
	id := l.lastID
	r.updateFree()
	verdict, back := l.queue.Submit(now, n.Tenant, id, l.urgency[a.JobClass], a.Cores, a.Memory, a.Deadline-r.config.AnswerMargin)
	w := queuedRequest{n, a, unread, now}
	switch verdict {
	case fairqueue.Shed:
		e.Reason, e.RetryAfter = "over-share", back
	case fairqueue.Queued:
		l.add(id, w)
		e.Queued = true
	case fairqueue.Admitted:
		return r.routeAdmitted(now, id, w, queue)
	}
	return e
}

// updateFree tells the queue what may still be taken: all but what this process holds, what others do, and the part that is to stay. What
// others hold may be less than nothing: what this process holds at nodes that take no work any more.
func (r *Router) updateFree() {
	l := r.queue
	if l.capacity.Cores <= 0 || l.capacity.Memory <= 0 {
		return
	}
	held := max(0, (l.held.Cores+l.others.Cores)/l.capacity.Cores, (l.held.Memory+l.others.Memory)/l.capacity.Memory)
	l.queue.SetFree(l.fill.Level()-held, 1-held, leastOpen*r.config.MaxShards)
}

func (l *tenantQueue) add(id uint64, w queuedRequest) {
	l.waiting[id] = w
	l.byClient[clientRef{w.request.Client, w.request.Ref}] = id
}

func (l *tenantQueue) remove(id uint64) (w queuedRequest) {
	w = l.waiting[id]
	delete(l.waiting, id)
	delete(l.byClient, clientRef{w.request.Client, w.request.Ref})
	return w
}

// routeAdmitted has an ask that passed go to a shard.
func (r *Router) routeAdmitted(now float64, id uint64, w queuedRequest, queue ShardLoad) Decision {
	l, e := r.queue, Decision{ID: w.id, Request: w.request}
	e.Shard, e.Epoch, e.Reason = r.Route(now, w.id, w.request, w.unread, queue)
	if e.Reason == "behind" && w.request.Deadline-r.config.AnswerMargin > now+retry {
		l.queue.Return(now, w.id.Tenant, id, l.urgency[w.request.JobClass], w.request.Cores, w.request.Memory, w.request.Deadline-r.config.AnswerMargin)
		l.add(id, w)
		l.retryAt = now + retry
		return Decision{ID: w.id, Request: w.request, Queued: true}
	}
	l.queue.Release(w.id.Tenant) // the ownership table counts it now, if a shard has it
	return e
}

// Dequeue gives the asks whose turn has come, placed or declined, and those whose time is up.
func (r *Router) Dequeue(now float64, queue ShardLoad) (all []Decision) {
	l := r.queue
	if l == nil || len(l.waiting) == 0 {
		return nil
	}
	lapsed := func(id uint64) {
		w := l.remove(id)
		all = append(all, Decision{ID: w.id, Request: w.request, Reason: "too-late"})
	}
	if now < l.retryAt {
		l.queue.Expire(now, lapsed)
		return all
	}
	l.retryAt = 0
	r.updateFree()
	for {
		id, ok := l.queue.Next(now, lapsed)
		if !ok {
			return all
		}
		w := l.remove(id)
		w.unread = 0 // it was read long ago: what it waited here is no sign of a pile before the door
		e := r.routeAdmitted(now, id, w, queue)
		if e.Queued {
			return all
		}
		all = append(all, e)
	}
}

// Due is when Pump may have something by time alone, infinite if not.
func (r *Router) Due(now float64) float64 {
	if r.queue == nil || len(r.queue.waiting) == 0 {
		return math.Inf(1)
	}
	due := r.queue.queue.Due(now)
	if r.queue.retryAt > 0 {
		due = min(due, r.queue.retryAt)
	}
	return due
}

// MayDequeue tells whether asks wait, so that what has just ended may let one go on.
func (r *Router) MayDequeue(now float64) bool {
	l := r.queue
	return l != nil && len(l.waiting) > 0 && now >= l.retryAt
}

// Withdraw takes an ask that waits out of its line, as its owner gives it up; false if it does not wait.
func (r *Router) Withdraw(owner uint32, ref uint64) bool {
	if r.queue == nil {
		return false
	}
	id, ok := r.queue.byClient[clientRef{owner, ref}]
	if ok {
		r.queue.queue.Remove(id)
		r.queue.remove(id)
	}
	return ok
}

// WithdrawClient takes all asks of an owner out of the lines.
func (r *Router) WithdrawClient(owner uint32) {
	if r.queue == nil {
		return
	}
	var refs []uint64
	for k := range r.queue.byClient {
		if k.client == owner {
			refs = append(refs, k.ref)
		}
	}
	slices.Sort(refs)
	for _, ref := range refs {
		r.Withdraw(owner, ref)
	}
}

// SetTenant takes what a tenant's state asks of this process. What waits of one that takes nothing any more is given back, to be
// declined at once.
func (r *Router) SetTenant(now float64, slot int, duty tenancy.Policy) (declined []Decision) {
	l := r.queue
	l.queue.SetLimits(now, slot, duty.Limits)
	if duty.AcceptsNew {
		return nil
	}
	l.queue.RemoveAll(slot, func(id uint64) {
		w := l.remove(id)
		declined = append(declined, Decision{ID: w.id, Request: w.request, Reason: "not-taken"})
	})
	return declined
}

// OnCapacity tells how much room there is at the nodes that take work, and how much of it nobody asks for, by the list, if it says so. The
// list is late, so what other processes hold is no more than the difference of the two over some seconds, and while this one's own
// load grows or falls the difference says nothing; what it holds it knows itself.
func (r *Router) OnCapacity(all, unasked Resources, says bool) {
	l := r.queue
	if l == nil || !(all.Cores > 0) || !(all.Memory > 0) {
		return
	}
	if l.recentHeld = append(l.recentHeld, l.held); len(l.recentHeld) > listLag {
		l.recentHeld = l.recentHeld[1:]
	}
	least, most := l.held, l.held
	for _, p := range l.recentHeld {
		least = Resources{min(least.Cores, p.Cores), min(least.Memory, p.Memory)}
		most = Resources{max(most.Cores, p.Cores), max(most.Memory, p.Memory)}
	}
	// What the list says was so at some time lately, when this process held no less than the least and no more than the most.
	toward := func(others *float64, asked, least, most float64) {
		if !says { // then it is as if nobody else held anything
			asked, least, most = 0, 0, 0
		}
		to := min(max(*others, asked-most), asked-least)
		if l.capacity.Cores == 0 {
			*others = to
		}
		*others += heed * (to - *others)
	}
	toward(&l.others.Cores, all.Cores-unasked.Cores, least.Cores, most.Cores)
	toward(&l.others.Memory, all.Memory-unasked.Memory, least.Memory, most.Memory)
	l.capacity = all
	l.queue.SetCapacity(all.Cores, all.Memory, r.config.MaxOpen)
}

// TenantCount counts what there is of a tenant: asks that wait, allocations that are open, and what ran at a fenced shard and is not
// found yet.
func (r *Router) TenantCount(slot int) int {
	n := r.queue.queue.Waiting(slot) + r.queue.queue.Open(slot)
	for name := range r.lost {
		if name.Tenant == slot {
			n++
		}
	}
	return n
}

// OldestWait is how long the oldest ask in the lines has waited, and how many wait.
func (r *Router) OldestWait(now float64) (ms float64, n int) {
	if r.queue == nil {
		return 0, 0
	}
	for _, w := range r.queue.waiting {
		ms = max(ms, now-w.since)
	}
	return ms, len(r.queue.waiting)
}

// FillLevel is how much of the room may be taken just now, and how much of it is held by this process.
func (r *Router) FillLevel() (may, held float64) {
	return r.queue.fill.Level(), max(r.queue.held.Cores/max(1e-9, r.queue.capacity.Cores), r.queue.held.Memory/max(1e-9, r.queue.capacity.Memory))
}
