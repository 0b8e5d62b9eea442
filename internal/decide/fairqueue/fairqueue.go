// Package fairqueue decides whose allocation goes on to be placed next, among tenants that share a scheduler. Each has a share,
// a rate, a number that may be open at once and a bounded line; what is beyond that is declined at once with an honest
// time to come back. It guards against one tenant's flood starving another's calm work, and against limits that leave
// machines idle while somebody waits.
//
// Shares are of the dominant resource: an allocation costs the larger of its parts of all cores and of all memory, and
// each tenant's cost runs on a clock of its own, slower the larger its share. Who is behind goes first. A tenant that was
// idle begins at the clock of those who were not, so that idle time can be lent but not saved up.
package fairqueue

import (
	"container/heap"
	"math"
	"slices"
)

const (
	minRetryAfter = 50    // ms, of a time to come back
	maxRetryAfter = 60000 //
	gapWeight     = 0.2   // weight of the last passing in a tenant's pace
	idleCredit    = 0.02  // of the clock that an idle tenant may be behind the others: one burst of its own goes first
)

// Limits are the limits of a tenant.
type Limits struct {
	Share      float64 // above 0; only the proportion to others matters
	Rate       float64 // requests per second that may pass; 0: as many as its share allows
	Burst      float64 // requests that may pass at once after an idle time, at least 1 if there is a rate
	MaxOpen    int     `json:"Open"` // requests that may be open at once; 0: as many as there is room for
	MaxWaiting int     `json:"Wait"` // requests that may wait in its queue
	Blocked    bool    `json:"Stop"` // nothing new passes or waits: paused, or being removed
}

// Verdict is the decision about a request.
type Verdict uint8

const (
	Admitted Verdict = iota // it goes on to be placed
	Queued                  // it waits in its tenant's queue
	Shed                    // it does neither: come back later
)

// tenant is a tenant's limits and state.
type tenant struct {
	Limits
	known          bool
	clock          float64 // cost by share
	open           int
	tokens         float64
	refilledAt     float64 // when they were last
	queue          tenantQueue
	gap            float64 // ms between passings lately, 0: not known
	lastAdmittedAt float64 // the last
	waitingSince   float64 // since when something does
	heapPosition   int     // its place among the turns, from 1; 0: it has none
	aboveShare     bool    // and those are of who holds more than its share
	held           float64 // part of all that it holds, open or running
	awaitsToken    bool    // it waits for a token
}

// Queue holds the queues of all tenants.
type Queue struct {
	cores, memory              float64 // of all machines
	window                     int     // that may be open at once, of all tenants together
	free                       float64 // part of all that may still be taken
	available                  float64 // and what is there of it
	minOpen                    int     // that may be open whatever is free, if they pass slowly: who counts wrong must not stand still
	lastAdmittedAt             float64 // when one passed
	tenants                    []tenant
	open                       int
	clock                      float64 // of the one that passed last
	nextOrder, nextReturnOrder uint64  // of the next that comes, and of the next that comes back
	waiting                    map[uint64]*request
	expiries                   expiryHeap
	belowShare, aboveShare     tenantHeap // of tenants that hold less than their share, and of the others
	shares                     float64
	lastBelowShareAt           float64 // when one that holds less than its share last asked
	tokenWaits                 tokenHeap
}

// New makes a queue in front of machines of so much room altogether; so many may be open at once.
func New(cores, memory float64, window int) *Queue {
	q := &Queue{
		free: math.Inf(1), available: math.Inf(1), cores: max(cores, 1e-9), memory: max(memory, 1e-9), window: window, waiting: map[uint64]*request{},
		nextOrder: 1 << 62, nextReturnOrder: 1 << 62,
	}
	q.belowShare.queue, q.aboveShare.queue = q, q
	q.lastBelowShareAt, q.lastAdmittedAt = math.Inf(-1), math.Inf(-1)
	return q
}

// SetCapacity changes how much there is and how many may be open: a smaller window shrinks as what is open ends.
func (q *Queue) SetCapacity(cores, memory float64, window int) {
	q.cores, q.memory, q.window = max(cores, 1e-9), max(memory, 1e-9), window
}

// SetFree tells what part of all may still be taken, what part is there at all, and how many may be open even if that is nothing.
// What passes takes of both until it is told anew.
func (q *Queue) SetFree(part, there float64, least int) {
	q.free, q.available, q.minOpen = part, there, least
}

// reserve is the part of all that is kept free for who holds less than its share, as long as such ask at all: room that is there
// when they come, as machines that are full to the brim take long to take one more.
const (
	reserveFraction = 0.06
	reserveDuration = 10000 // ms
	trickleInterval = 20    // ms between two that pass although there is nothing left: answers are quick, so a number alone holds nobody
)

// isFull reports whether there is no room for requests of tenants above their share (over), or below it.
func (q *Queue) isFull(now float64, over bool) bool {
	left := q.available // a calm tenant is not held back for what makes others slow
	if over {
		left = min(left, q.free)
		if now-q.lastBelowShareAt < reserveDuration {
			left -= reserveFraction
		}
	}
	return q.open >= q.window || left <= 0 && (q.open >= q.minOpen || now-q.lastAdmittedAt < trickleInterval)
}

// exceedsShare reports whether a tenant holds its share or more.
func (q *Queue) exceedsShare(n *tenant) bool { return n.held*q.shares >= n.Share }

// AddHeld notes that a tenant holds so much more, or less.
func (q *Queue) AddHeld(t int, cores, memory, by float64) {
	for len(q.tenants) <= t {
		q.tenants = append(q.tenants, tenant{})
	}
	q.tenants[t].held += by * max(cores/q.cores, memory/q.memory)
	q.enqueueTenant(t)
}

// SetLimits adds a tenant or changes its limits. What is open beyond a smaller one stays; what waits beyond it does too.
func (q *Queue) SetLimits(now float64, t int, l Limits) {
	for len(q.tenants) <= t {
		q.tenants = append(q.tenants, tenant{})
	}
	n := &q.tenants[t]
	if !n.known {
		n.known, n.clock, n.refilledAt = true, q.clock, now
		n.Blocked = true // counts for nothing yet
		n.tokens = math.Inf(1)
	}
	q.refill(now, n)
	if !n.Blocked {
		q.shares -= n.Share
	}
	if n.Limits = l; !l.Blocked {
		q.shares += l.Share
	}
	n.tokens = min(n.tokens, n.maxTokens())
	q.enqueueTenant(t)
}

func (t *tenant) maxTokens() float64 {
	if t.Rate <= 0 {
		return math.Inf(1)
	}
	return max(1, t.Burst)
}

// refill adds the tokens that time has brought.
func (q *Queue) refill(now float64, t *tenant) {
	if t.Rate > 0 {
		t.tokens = min(t.maxTokens(), t.tokens+(now-t.refilledAt)/1000*t.Rate)
	}
	t.refilledAt = now
}

// mayPass tells whether a tenant's next may pass now.
func (t *tenant) mayPass() bool {
	return !t.Blocked && t.tokens >= 1 && (t.MaxOpen <= 0 || t.open < t.MaxOpen)
}

// Submit takes an ask: its tenant's more urgent job types go first in its line. back is when to come back, in ms, if it is
// declined. One whose turn can't come before its expiry is declined at once.
func (q *Queue) Submit(now float64, t int, id uint64, urgency int, cores, memory, expiry float64) (a Verdict, back float64) {
	if t < 0 || t >= len(q.tenants) || !q.tenants[t].known {
		return Shed, maxRetryAfter
	}
	n := &q.tenants[t]
	if n.Blocked {
		return Shed, maxRetryAfter
	}
	q.refill(now, n)
	cost := max(cores/q.cores, memory/q.memory)
	over := q.exceedsShare(n)
	if !over {
		q.lastBelowShareAt = now
	}
	if len(n.queue) == 0 && n.mayPass() && !q.isFull(now, over) {
		q.advanceClock(n)
		q.charge(now, n, cost)
		return Admitted, 0
	}
	if len(n.queue) >= n.MaxWaiting {
		return Shed, q.retryAfter(now, n, len(n.queue))
	}
	if turn := q.estimateWait(now, n, urgency); now+turn >= expiry {
		return Shed, min(maxRetryAfter, max(minRetryAfter, turn))
	}
	if len(n.queue) == 0 {
		q.advanceClock(n)
		n.waitingSince = now
	}
	q.nextOrder++
	q.push(&request{id: id, tenant: t, urgency: urgency, order: q.nextOrder, cost: cost, expiry: expiry})
	return Queued, 0
}

// Return takes back an ask that passed but found no place where it went: it is the first of its urgency again, costs nothing,
// and is open no more.
func (q *Queue) Return(now float64, t int, id uint64, urgency int, cores, memory, expiry float64) {
	n := &q.tenants[t]
	cost := max(cores/q.cores, memory/q.memory)
	q.free, q.available = q.free+cost, q.available+cost
	n.clock -= cost / max(n.Share, 1e-9)
	n.tokens = min(n.maxTokens(), n.tokens+1)
	if len(n.queue) == 0 {
		n.waitingSince = now
	}
	q.push(&request{id: id, tenant: t, urgency: urgency, order: q.nextReturnOrder, cost: cost, expiry: expiry})
	q.nextReturnOrder--
	q.Release(t)
}

func (q *Queue) push(a *request) {
	heap.Push(&q.tenants[a.tenant].queue, a)
	heap.Push(&q.expiries, a)
	q.waiting[a.id] = a
	q.enqueueTenant(a.tenant)
}

// enqueueTenant updates a tenant's position in the heaps after a change of its queue, clock or limits.
func (q *Queue) enqueueTenant(t int) {
	n := &q.tenants[t]
	wants := len(n.queue) > 0 && !n.Blocked && (n.Limits.MaxOpen <= 0 || n.open < n.Limits.MaxOpen)
	if wants && n.tokens < 1 {
		wants = false
		if !n.awaitsToken {
			n.awaitsToken = true
			heap.Push(&q.tokenWaits, tokenWait{n.refilledAt + (1-n.tokens)/n.Rate*1000, t})
		}
	}
	over := q.exceedsShare(n)
	if n.heapPosition > 0 && (!wants || over != n.aboveShare) {
		heap.Remove(q.heapOf(n.aboveShare), n.heapPosition-1)
	}
	switch n.aboveShare = over; {
	case wants && n.heapPosition == 0:
		heap.Push(q.heapOf(over), t)
	case wants:
		heap.Fix(q.heapOf(over), n.heapPosition-1)
	}
}

func (q *Queue) heapOf(over bool) *tenantHeap {
	if over {
		return &q.aboveShare
	}
	return &q.belowShare
}

// advanceClock puts the clock of a tenant that was idle to that of the others, but for a little.
func (q *Queue) advanceClock(n *tenant) {
	if n.open == 0 && len(n.queue) == 0 {
		n.clock = max(n.clock, q.clock-idleCredit/max(n.Share, 1e-9))
	}
}

// estimateWait foretells when the next ask of an urgency would pass, in ms from now, by the pace of its tenant.
func (q *Queue) estimateWait(now float64, n *tenant, urgency int) float64 {
	before := 0
	for _, a := range n.queue {
		if a.urgency >= urgency {
			before++
		}
	}
	if n.gap == 0 && n.Rate <= 0 {
		return 0 // nothing is known: it may try
	}
	return q.waitFor(n, before+1)
}

func (q *Queue) waitFor(n *tenant, places int) float64 {
	gap := n.gap
	if n.Rate > 0 {
		gap = max(gap, 1000/n.Rate)
	}
	return float64(places) * gap
}

// retryAfter is when a tenant whose line is full may come back: when half of it should have gone.
func (q *Queue) retryAfter(now float64, n *tenant, in int) float64 {
	half := q.waitFor(n, (in+1)/2)
	if n.gap == 0 || now-n.lastAdmittedAt > 4*n.gap { // it does not move just now
		half = max(half, now-n.lastAdmittedAt)
	}
	return min(maxRetryAfter, max(minRetryAfter, half))
}

// charge records that a request of a tenant passes.
func (q *Queue) charge(now float64, n *tenant, cost float64) {
	n.open++
	q.open++
	q.free, q.available = q.free-cost, q.available-cost
	n.tokens--
	q.clock = max(q.clock, n.clock)
	n.clock += cost / max(n.Share, 1e-9)
	if n.lastAdmittedAt > 0 && (len(n.queue) > 0 || n.gap > 0) {
		since := now - max(n.lastAdmittedAt, n.waitingSince)
		n.gap += gapWeight * (max(0.01, since) - n.gap)
	}
	n.lastAdmittedAt, q.lastAdmittedAt = now, now
}

// Expire gives the asks whose time is up, to be answered: whoever holds the queue calls it by Due.
func (q *Queue) Expire(now float64, expired func(id uint64)) {
	for len(q.expiries) > 0 && (q.expiries[0].removed || q.expiries[0].expiry <= now) {
		if a := heap.Pop(&q.expiries).(*request); !a.removed {
			expired(q.remove(&q.tenants[a.tenant], a.position))
		}
	}
}

// Next gives the ask that goes on now, of the tenant that is furthest behind; none if there is no room, or nobody may.
// Asks that expired are given by lapsed, to be answered.
func (q *Queue) Next(now float64, expired func(id uint64)) (id uint64, ok bool) {
	q.Expire(now, expired)
	for len(q.tokenWaits) > 0 && q.tokenWaits[0].at <= now {
		t := heap.Pop(&q.tokenWaits).(tokenWait).tenant
		q.tenants[t].awaitsToken = false
		q.refill(now, &q.tenants[t])
		if n := &q.tenants[t]; n.tokens < 1 && n.tokens > 1-1e-9 { // but for rounding it is there
			n.tokens = 1
		}
		q.enqueueTenant(t)
	}
	turns := &q.belowShare
	if len(turns.tenants) == 0 {
		turns = &q.aboveShare
	}
	if len(turns.tenants) == 0 || q.isFull(now, turns == &q.aboveShare) {
		return 0, false
	}
	t := turns.tenants[0]
	n := &q.tenants[t]
	q.refill(now, n)
	cost := n.queue[0].cost
	id = q.remove(n, 0)
	q.charge(now, n, cost)
	if len(n.queue) == 0 {
		n.waitingSince = 0
	}
	q.enqueueTenant(t)
	return id, true
}

func (q *Queue) remove(n *tenant, place int) uint64 {
	a := n.queue[place]
	heap.Remove(&n.queue, place)
	delete(q.waiting, a.id)
	a.removed = true
	if len(q.expiries) > 64 && len(q.expiries) > 4*len(q.waiting) { // those that left their lines early are not kept for long
		q.expiries = slices.DeleteFunc(q.expiries, func(a *request) bool { return a.removed })
		heap.Init(&q.expiries)
	}
	q.enqueueTenant(a.tenant)
	return a.id
}

// Due is when Next may have something by time alone: a rate brings a token, or an ask expires. Infinite if neither.
func (q *Queue) Due(now float64) float64 {
	for len(q.expiries) > 0 && q.expiries[0].removed {
		heap.Pop(&q.expiries)
	}
	due := math.Inf(1)
	if len(q.expiries) > 0 {
		due = q.expiries[0].expiry
	}
	if len(q.tokenWaits) > 0 {
		due = min(due, q.tokenWaits[0].at)
	}
	return max(due, now)
}

// Remove takes an ask that waits out of its line, as one that was withdrawn; false if it does not wait.
func (q *Queue) Remove(id uint64) bool {
	a := q.waiting[id]
	if a == nil {
		return false
	}
	q.remove(&q.tenants[a.tenant], a.position)
	return true
}

// RemoveAll takes all that waits out of a tenant's line, in its order: to be answered, as the tenant is removed.
func (q *Queue) RemoveAll(t int, each func(id uint64)) {
	if t < len(q.tenants) {
		for n := &q.tenants[t]; len(n.queue) > 0; {
			each(q.remove(n, 0))
		}
	}
}

// Release notes that one that passed is open no more.
func (q *Queue) Release(t int) { q.AddOpen(t, -1) }

// AddOpen notes that so many more of a tenant's are open than passed here: work that was found, or moved.
func (q *Queue) AddOpen(t, by int) {
	for len(q.tenants) <= t {
		q.tenants = append(q.tenants, tenant{})
	}
	q.tenants[t].open += by
	q.open += by
	q.enqueueTenant(t)
}

// TotalOpen counts those of all tenants.
func (q *Queue) TotalOpen() int { return q.open }

// TotalWaiting is the number of asks that wait.
func (q *Queue) TotalWaiting() int { return len(q.waiting) }

// Open and Waiting count a tenant's.
func (q *Queue) Open(t int) int { return q.tenants[t].open }

// Waiting is the length of its line.
func (q *Queue) Waiting(t int) int { return len(q.tenants[t].queue) }

// DivideLimit is a process's part of a limit that holds for all processes together, by its number among them. The parts sum up to
// the limit, so no process needs to ask another, and what all let pass never exceeds it. While a process is down its
// part is not used by the others: that is the price.
func DivideLimit(limit, processes, index int) int {
	if processes <= 0 || index < 0 || index >= processes {
		return 0
	}
	part := limit / processes
	if index < limit%processes {
		part++
	}
	return part
}
