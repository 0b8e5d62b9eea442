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

type line struct {
	queue   *fairqueue.Queue
	fill    *fairqueue.Fill
	urgency []int // by job type
	ids     uint64
	waits   map[uint64]waiting
	by      map[asked]uint64
	again   float64 // when to ask a shard that was behind, 0: none was
	room    Room    // of the nodes that take work
	others  Room    // of it, what other processes hold
	held    Room    // by what this process's shards act for, open or running
	past    []Room  // that, at the last words of the list
}

// Room is of cores and memory.
type Room struct{ Cores, Memory float64 }

type asked struct {
	owner uint32
	ref   uint64
}

type waiting struct {
	name   shardownership.Name
	ask    shardownership.Ask
	unread float64
	since  float64
}

// begin makes the line.
func (r *Router) begin() {
	values := make([]float64, len(r.terms.Jobs))
	for i := range r.terms.Jobs {
		values[i] = r.terms.Jobs[i].PriorityWeight
	}
	order := slices.Clone(values)
	slices.Sort(order)
	l := &line{fill: fairqueue.NewFill(), waits: map[uint64]waiting{}, by: map[asked]uint64{}}
	for _, v := range values {
		l.urgency = append(l.urgency, slices.Index(order, v))
	}
	l.queue = fairqueue.New(1, 1, r.terms.Open)
	l.queue.Free(0, 0, leastOpen*r.terms.Most)
	r.ownership.Count = l.queue.Count
	r.ownership.Held = func(tenant int, a *shardownership.Ask, by float64) {
		l.queue.Hold(tenant, a.Cores, a.Memory, by)
		l.held.Cores, l.held.Memory = l.held.Cores+by*a.Cores, l.held.Memory+by*a.Memory
	}
	r.line = l
}

// Queue tells of a shard how long it has been at one thing, beyond what is common, and how many asks wait there.
type Queue func(shard int) (stuck float64, ahead int)

// Entry is what becomes of an ask.
type Entry struct {
	Name  shardownership.Name
	Ask   shardownership.Ask
	Waits bool    // its turn comes, or it is answered later
	At    int     // the shard that acts for it
	Epoch uint32  // 0: for another ask of the same key
	Why   string  // it is declined
	Back  float64 // ms after which to ask again, if it is known
}

// Enter takes an ask, as Ask does, and has it wait for its tenant's turn where tenants come and go.
func (r *Router) Enter(now float64, n shardownership.Name, a shardownership.Ask, unread float64, queue Queue) Entry {
	e := Entry{Name: n, Ask: a}
	l := r.line
	hosts := l != nil
	if hosts { // what a shard acts for already goes past the lines
		_, state := r.ownership.Look(now, n)
		hosts = state == shardownership.New
	}
	if !hosts {
		e.At, e.Epoch, e.Why = r.Ask(now, n, a, unread, queue)
		return e
	}
	l.ids++
	id := l.ids
	r.free()
	verdict, back := l.queue.Ask(now, n.Tenant, id, l.urgency[a.Job], a.Cores, a.Memory, a.Expiry-r.terms.Margin)
	w := waiting{n, a, unread, now}
	switch verdict {
	case fairqueue.Declined:
		e.Why, e.Back = "over-share", back
	case fairqueue.Waits:
		l.keep(id, w)
		e.Waits = true
	case fairqueue.Passes:
		return r.place(now, id, w, queue)
	}
	return e
}

// free tells the queue what may still be taken: all but what this process holds, what others do, and the part that is to stay. What
// others hold may be less than nothing: what this process holds at nodes that take no work any more.
func (r *Router) free() {
	l := r.line
	if l.room.Cores <= 0 || l.room.Memory <= 0 {
		return
	}
	held := max(0, (l.held.Cores+l.others.Cores)/l.room.Cores, (l.held.Memory+l.others.Memory)/l.room.Memory)
	l.queue.Free(l.fill.Part()-held, 1-held, leastOpen*r.terms.Most)
}

func (l *line) keep(id uint64, w waiting) {
	l.waits[id] = w
	l.by[asked{w.ask.Owner, w.ask.Ref}] = id
}

func (l *line) drop(id uint64) (w waiting) {
	w = l.waits[id]
	delete(l.waits, id)
	delete(l.by, asked{w.ask.Owner, w.ask.Ref})
	return w
}

// place has an ask that passed go to a shard.
func (r *Router) place(now float64, id uint64, w waiting, queue Queue) Entry {
	l, e := r.line, Entry{Name: w.name, Ask: w.ask}
	e.At, e.Epoch, e.Why = r.Ask(now, w.name, w.ask, w.unread, queue)
	if e.Why == "behind" && w.ask.Expiry-r.terms.Margin > now+retry {
		l.queue.Return(now, w.name.Tenant, id, l.urgency[w.ask.Job], w.ask.Cores, w.ask.Memory, w.ask.Expiry-r.terms.Margin)
		l.keep(id, w)
		l.again = now + retry
		return Entry{Name: w.name, Ask: w.ask, Waits: true}
	}
	l.queue.Done(w.name.Tenant) // the ownership table counts it now, if a shard has it
	return e
}

// Pump gives the asks whose turn has come, placed or declined, and those whose time is up.
func (r *Router) Pump(now float64, queue Queue) (all []Entry) {
	l := r.line
	if l == nil || len(l.waits) == 0 {
		return nil
	}
	lapsed := func(id uint64) {
		w := l.drop(id)
		all = append(all, Entry{Name: w.name, Ask: w.ask, Why: "too-late"})
	}
	if now < l.again {
		l.queue.Lapse(now, lapsed)
		return all
	}
	l.again = 0
	r.free()
	for {
		id, ok := l.queue.Next(now, lapsed)
		if !ok {
			return all
		}
		w := l.drop(id)
		w.unread = 0 // it was read long ago: what it waited here is no sign of a pile before the door
		e := r.place(now, id, w, queue)
		if e.Waits {
			return all
		}
		all = append(all, e)
	}
}

// Due is when Pump may have something by time alone, infinite if not.
func (r *Router) Due(now float64) float64 {
	if r.line == nil || len(r.line.waits) == 0 {
		return math.Inf(1)
	}
	due := r.line.queue.Due(now)
	if r.line.again > 0 {
		due = min(due, r.line.again)
	}
	return due
}

// Freed tells whether asks wait, so that what has just ended may let one go on.
func (r *Router) Freed(now float64) bool {
	l := r.line
	return l != nil && len(l.waits) > 0 && now >= l.again
}

// Forgo takes an ask that waits out of its line, as its owner gives it up; false if it does not wait.
func (r *Router) Forgo(owner uint32, ref uint64) bool {
	if r.line == nil {
		return false
	}
	id, ok := r.line.by[asked{owner, ref}]
	if ok {
		r.line.queue.Drop(id)
		r.line.drop(id)
	}
	return ok
}

// OwnerGone takes all asks of an owner out of the lines.
func (r *Router) OwnerGone(owner uint32) {
	if r.line == nil {
		return
	}
	var refs []uint64
	for k := range r.line.by {
		if k.owner == owner {
			refs = append(refs, k.ref)
		}
	}
	slices.Sort(refs)
	for _, ref := range refs {
		r.Forgo(owner, ref)
	}
}

// Tenant takes what a tenant's state asks of this process. What waits of one that takes nothing any more is given back, to be
// declined at once.
func (r *Router) Tenant(now float64, slot int, duty tenancy.Duty) (declined []Entry) {
	l := r.line
	l.queue.Set(now, slot, duty.Limits)
	if duty.Takes {
		return nil
	}
	l.queue.Empty(slot, func(id uint64) {
		w := l.drop(id)
		declined = append(declined, Entry{Name: w.name, Ask: w.ask, Why: "not-taken"})
	})
	return declined
}

// Listed tells how much room there is at the nodes that take work, and how much of it nobody asks for, by the list, if it says so. The
// list is late, so what other processes hold is no more than the difference of the two over some seconds, and while this one's own
// load grows or falls the difference says nothing; what it holds it knows itself.
func (r *Router) Listed(all, unasked Room, says bool) {
	l := r.line
	if l == nil || !(all.Cores > 0) || !(all.Memory > 0) {
		return
	}
	if l.past = append(l.past, l.held); len(l.past) > listLag {
		l.past = l.past[1:]
	}
	least, most := l.held, l.held
	for _, p := range l.past {
		least = Room{min(least.Cores, p.Cores), min(least.Memory, p.Memory)}
		most = Room{max(most.Cores, p.Cores), max(most.Memory, p.Memory)}
	}
	// What the list says was so at some time lately, when this process held no less than the least and no more than the most.
	toward := func(others *float64, asked, least, most float64) {
		if !says { // then it is as if nobody else held anything
			asked, least, most = 0, 0, 0
		}
		to := min(max(*others, asked-most), asked-least)
		if l.room.Cores == 0 {
			*others = to
		}
		*others += heed * (to - *others)
	}
	toward(&l.others.Cores, all.Cores-unasked.Cores, least.Cores, most.Cores)
	toward(&l.others.Memory, all.Memory-unasked.Memory, least.Memory, most.Memory)
	l.room = all
	l.queue.Room(all.Cores, all.Memory, r.terms.Open)
}

// Holds counts what there is of a tenant: asks that wait, allocations that are open, and what ran at a fenced shard and is not
// found yet.
func (r *Router) Holds(slot int) int {
	n := r.line.queue.Waiting(slot) + r.line.queue.Open(slot)
	for name := range r.lost {
		if name.Tenant == slot {
			n++
		}
	}
	return n
}

// Longest is how long the oldest ask in the lines has waited, and how many wait.
func (r *Router) Longest(now float64) (ms float64, n int) {
	if r.line == nil {
		return 0, 0
	}
	for _, w := range r.line.waits {
		ms = max(ms, now-w.since)
	}
	return ms, len(r.line.waits)
}

// Filled is how much of the room may be taken just now, and how much of it is held by this process.
func (r *Router) Filled() (may, held float64) {
	return r.line.fill.Part(), max(r.line.held.Cores/max(1e-9, r.line.room.Cores), r.line.held.Memory/max(1e-9, r.line.room.Memory))
}
