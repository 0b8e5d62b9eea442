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
	leastBack = 50    // ms, of a time to come back
	mostBack  = 60000 //
	recall    = 0.2   // weight of the last passing in a tenant's pace
	ahead     = 0.02  // of the clock that an idle tenant may be behind the others: one burst of its own goes first
)

// Limits are the limits of a tenant.
type Limits struct {
	Share float64 // above 0; only the proportion to others matters
	Rate  float64 // requests per second that may pass; 0: as many as its share allows
	Burst float64 // requests that may pass at once after an idle time, at least 1 if there is a rate
	Open  int     `json:"Open"` // requests that may be open at once; 0: as many as there is room for
	Wait  int     `json:"Wait"` // requests that may wait in its queue
	Stop  bool    `json:"Stop"` // nothing new passes or waits: paused, or being removed
}

// Answer is the decision about a request.
type Answer uint8

const (
	Passes   Answer = iota // it goes on to be placed
	Waits                  // it waits in its tenant's queue
	Declined               // it does neither: come back later
)

// tenant is a tenant's limits and state.
type tenant struct {
	Limits
	known   bool
	clock   float64 // cost by share
	open    int
	tokens  float64
	filled  float64 // when they were last
	queue   tenantQueue
	gap     float64 // ms between passings lately, 0: not known
	passed  float64 // the last
	waiting float64 // since when something does
	turn    int     // its place among the turns, from 1; 0: it has none
	over    bool    // and those are of who holds more than its share
	held    float64 // part of all that it holds, open or running
	slow    bool    // it waits for a token
}

// Queue holds the queues of all tenants.
type Queue struct {
	cores, memory float64 // of all machines
	window        int     // that may be open at once, of all tenants together
	free          float64 // part of all that may still be taken
	there         float64 // and what is there of it
	least         int     // that may be open whatever is free, if they pass slowly: who counts wrong must not stand still
	last          float64 // when one passed
	tenants       []tenant
	open          int
	clock         float64 // of the one that passed last
	order, before uint64  // of the next that comes, and of the next that comes back
	waits         map[uint64]*request
	expiries      expiryHeap
	under, over   tenantHeap // of tenants that hold less than their share, and of the others
	shares        float64
	calm          float64 // when one that holds less than its share last asked
	tokenWaits    tokenHeap
}

// New makes a queue in front of machines of so much room altogether; so many may be open at once.
func New(cores, memory float64, window int) *Queue {
	q := &Queue{
		free: math.Inf(1), there: math.Inf(1), cores: max(cores, 1e-9), memory: max(memory, 1e-9), window: window, waits: map[uint64]*request{},
		order: 1 << 62, before: 1 << 62,
	}
	q.under.q, q.over.q = q, q
	q.calm, q.last = math.Inf(-1), math.Inf(-1)
	return q
}

// Room changes how much there is and how many may be open: a smaller window shrinks as what is open ends.
func (q *Queue) Room(cores, memory float64, window int) {
	q.cores, q.memory, q.window = max(cores, 1e-9), max(memory, 1e-9), window
}

// Free tells what part of all may still be taken, what part is there at all, and how many may be open even if that is nothing.
// What passes takes of both until it is told anew.
func (q *Queue) Free(part, there float64, least int) { q.free, q.there, q.least = part, there, least }

// reserve is the part of all that is kept free for who holds less than its share, as long as such ask at all: room that is there
// when they come, as machines that are full to the brim take long to take one more.
const (
	reserve    = 0.06
	reserveFor = 10000 // ms
	trickle    = 20    // ms between two that pass although there is nothing left: answers are quick, so a number alone holds nobody
)

// isFull reports whether there is no room for requests of tenants above their share (over), or below it.
func (q *Queue) isFull(now float64, over bool) bool {
	left := q.there // a calm tenant is not held back for what makes others slow
	if over {
		left = min(left, q.free)
		if now-q.calm < reserveFor {
			left -= reserve
		}
	}
	return q.open >= q.window || left <= 0 && (q.open >= q.least || now-q.last < trickle)
}

// exceedsShare reports whether a tenant holds its share or more.
func (q *Queue) exceedsShare(n *tenant) bool { return n.held*q.shares >= n.Share }

// Hold notes that a tenant holds so much more, or less.
func (q *Queue) Hold(t int, cores, memory, by float64) {
	for len(q.tenants) <= t {
		q.tenants = append(q.tenants, tenant{})
	}
	q.tenants[t].held += by * max(cores/q.cores, memory/q.memory)
	q.enqueueTenant(t)
}

// Set adds a tenant or changes its limits. What is open beyond a smaller one stays; what waits beyond it does too.
func (q *Queue) Set(now float64, t int, l Limits) {
	for len(q.tenants) <= t {
		q.tenants = append(q.tenants, tenant{})
	}
	n := &q.tenants[t]
	if !n.known {
		n.known, n.clock, n.filled = true, q.clock, now
		n.Stop = true // counts for nothing yet
		n.tokens = math.Inf(1)
	}
	q.refill(now, n)
	if !n.Stop {
		q.shares -= n.Share
	}
	if n.Limits = l; !l.Stop {
		q.shares += l.Share
	}
	n.tokens = min(n.tokens, n.most())
	q.enqueueTenant(t)
}

func (t *tenant) most() float64 {
	if t.Rate <= 0 {
		return math.Inf(1)
	}
	return max(1, t.Burst)
}

// refill adds the tokens that time has brought.
func (q *Queue) refill(now float64, t *tenant) {
	if t.Rate > 0 {
		t.tokens = min(t.most(), t.tokens+(now-t.filled)/1000*t.Rate)
	}
	t.filled = now
}

// mayPass tells whether a tenant's next may pass now.
func (t *tenant) mayPass() bool {
	return !t.Stop && t.tokens >= 1 && (t.Open <= 0 || t.open < t.Open)
}

// Ask takes an ask: its tenant's more urgent job types go first in its line. back is when to come back, in ms, if it is
// declined. One whose turn can't come before its expiry is declined at once.
func (q *Queue) Ask(now float64, t int, id uint64, urgency int, cores, memory, expiry float64) (a Answer, back float64) {
	if t < 0 || t >= len(q.tenants) || !q.tenants[t].known {
		return Declined, mostBack
	}
	n := &q.tenants[t]
	if n.Stop {
		return Declined, mostBack
	}
	q.refill(now, n)
	cost := max(cores/q.cores, memory/q.memory)
	over := q.exceedsShare(n)
	if !over {
		q.calm = now
	}
	if len(n.queue) == 0 && n.mayPass() && !q.isFull(now, over) {
		q.wake(n)
		q.charge(now, n, cost)
		return Passes, 0
	}
	if len(n.queue) >= n.Wait {
		return Declined, q.back(now, n, len(n.queue))
	}
	if turn := q.turn(now, n, urgency); now+turn >= expiry {
		return Declined, min(mostBack, max(leastBack, turn))
	}
	if len(n.queue) == 0 {
		q.wake(n)
		n.waiting = now
	}
	q.order++
	q.put(&request{id: id, tenant: t, urgency: urgency, order: q.order, cost: cost, expiry: expiry})
	return Waits, 0
}

// Return takes back an ask that passed but found no place where it went: it is the first of its urgency again, costs nothing,
// and is open no more.
func (q *Queue) Return(now float64, t int, id uint64, urgency int, cores, memory, expiry float64) {
	n := &q.tenants[t]
	cost := max(cores/q.cores, memory/q.memory)
	q.free, q.there = q.free+cost, q.there+cost
	n.clock -= cost / max(n.Share, 1e-9)
	n.tokens = min(n.most(), n.tokens+1)
	if len(n.queue) == 0 {
		n.waiting = now
	}
	q.put(&request{id: id, tenant: t, urgency: urgency, order: q.before, cost: cost, expiry: expiry})
	q.before--
	q.Done(t)
}

func (q *Queue) put(a *request) {
	heap.Push(&q.tenants[a.tenant].queue, a)
	heap.Push(&q.expiries, a)
	q.waits[a.id] = a
	q.enqueueTenant(a.tenant)
}

// enqueueTenant updates a tenant's position in the heaps after a change of its queue, clock or limits.
func (q *Queue) enqueueTenant(t int) {
	n := &q.tenants[t]
	wants := len(n.queue) > 0 && !n.Stop && (n.Limits.Open <= 0 || n.open < n.Limits.Open)
	if wants && n.tokens < 1 {
		wants = false
		if !n.slow {
			n.slow = true
			heap.Push(&q.tokenWaits, tokenWait{n.filled + (1-n.tokens)/n.Rate*1000, t})
		}
	}
	over := q.exceedsShare(n)
	if n.turn > 0 && (!wants || over != n.over) {
		heap.Remove(q.turns(n.over), n.turn-1)
	}
	switch n.over = over; {
	case wants && n.turn == 0:
		heap.Push(q.turns(over), t)
	case wants:
		heap.Fix(q.turns(over), n.turn-1)
	}
}

func (q *Queue) turns(over bool) *tenantHeap {
	if over {
		return &q.over
	}
	return &q.under
}

// wake puts the clock of a tenant that was idle to that of the others, but for a little.
func (q *Queue) wake(n *tenant) {
	if n.open == 0 && len(n.queue) == 0 {
		n.clock = max(n.clock, q.clock-ahead/max(n.Share, 1e-9))
	}
}

// turn foretells when the next ask of an urgency would pass, in ms from now, by the pace of its tenant.
func (q *Queue) turn(now float64, n *tenant, urgency int) float64 {
	before := 0
	for _, a := range n.queue {
		if a.urgency >= urgency {
			before++
		}
	}
	if n.gap == 0 && n.Rate <= 0 {
		return 0 // nothing is known: it may try
	}
	return q.wait(n, before+1)
}

func (q *Queue) wait(n *tenant, places int) float64 {
	gap := n.gap
	if n.Rate > 0 {
		gap = max(gap, 1000/n.Rate)
	}
	return float64(places) * gap
}

// back is when a tenant whose line is full may come back: when half of it should have gone.
func (q *Queue) back(now float64, n *tenant, in int) float64 {
	half := q.wait(n, (in+1)/2)
	if n.gap == 0 || now-n.passed > 4*n.gap { // it does not move just now
		half = max(half, now-n.passed)
	}
	return min(mostBack, max(leastBack, half))
}

// charge records that a request of a tenant passes.
func (q *Queue) charge(now float64, n *tenant, cost float64) {
	n.open++
	q.open++
	q.free, q.there = q.free-cost, q.there-cost
	n.tokens--
	q.clock = max(q.clock, n.clock)
	n.clock += cost / max(n.Share, 1e-9)
	if n.passed > 0 && (len(n.queue) > 0 || n.gap > 0) {
		since := now - max(n.passed, n.waiting)
		n.gap += recall * (max(0.01, since) - n.gap)
	}
	n.passed, q.last = now, now
}

// Lapse gives the asks whose time is up, to be answered: whoever holds the queue calls it by Due.
func (q *Queue) Lapse(now float64, lapsed func(id uint64)) {
	for len(q.expiries) > 0 && (q.expiries[0].gone || q.expiries[0].expiry <= now) {
		if a := heap.Pop(&q.expiries).(*request); !a.gone {
			lapsed(q.take(&q.tenants[a.tenant], a.place))
		}
	}
}

// Next gives the ask that goes on now, of the tenant that is furthest behind; none if there is no room, or nobody may.
// Asks that expired are given by lapsed, to be answered.
func (q *Queue) Next(now float64, lapsed func(id uint64)) (id uint64, ok bool) {
	q.Lapse(now, lapsed)
	for len(q.tokenWaits) > 0 && q.tokenWaits[0].at <= now {
		t := heap.Pop(&q.tokenWaits).(tokenWait).tenant
		q.tenants[t].slow = false
		q.refill(now, &q.tenants[t])
		if n := &q.tenants[t]; n.tokens < 1 && n.tokens > 1-1e-9 { // but for rounding it is there
			n.tokens = 1
		}
		q.enqueueTenant(t)
	}
	turns := &q.under
	if len(turns.at) == 0 {
		turns = &q.over
	}
	if len(turns.at) == 0 || q.isFull(now, turns == &q.over) {
		return 0, false
	}
	t := turns.at[0]
	n := &q.tenants[t]
	q.refill(now, n)
	cost := n.queue[0].cost
	id = q.take(n, 0)
	q.charge(now, n, cost)
	if len(n.queue) == 0 {
		n.waiting = 0
	}
	q.enqueueTenant(t)
	return id, true
}

func (q *Queue) take(n *tenant, place int) uint64 {
	a := n.queue[place]
	heap.Remove(&n.queue, place)
	delete(q.waits, a.id)
	a.gone = true
	if len(q.expiries) > 64 && len(q.expiries) > 4*len(q.waits) { // those that left their lines early are not kept for long
		q.expiries = slices.DeleteFunc(q.expiries, func(a *request) bool { return a.gone })
		heap.Init(&q.expiries)
	}
	q.enqueueTenant(a.tenant)
	return a.id
}

// Due is when Next may have something by time alone: a rate brings a token, or an ask expires. Infinite if neither.
func (q *Queue) Due(now float64) float64 {
	for len(q.expiries) > 0 && q.expiries[0].gone {
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

// Drop takes an ask that waits out of its line, as one that was withdrawn; false if it does not wait.
func (q *Queue) Drop(id uint64) bool {
	a := q.waits[id]
	if a == nil {
		return false
	}
	q.take(&q.tenants[a.tenant], a.place)
	return true
}

// Empty takes all that waits out of a tenant's line, in its order: to be answered, as the tenant is removed.
func (q *Queue) Empty(t int, each func(id uint64)) {
	if t < len(q.tenants) {
		for n := &q.tenants[t]; len(n.queue) > 0; {
			each(q.take(n, 0))
		}
	}
}

// Done notes that one that passed is open no more.
func (q *Queue) Done(t int) { q.Count(t, -1) }

// Count notes that so many more of a tenant's are open than passed here: work that was found, or moved.
func (q *Queue) Count(t, by int) {
	for len(q.tenants) <= t {
		q.tenants = append(q.tenants, tenant{})
	}
	q.tenants[t].open += by
	q.open += by
	q.enqueueTenant(t)
}

// AllOpen counts those of all tenants.
func (q *Queue) AllOpen() int { return q.open }

// Lines is the number of asks that wait.
func (q *Queue) Lines() int { return len(q.waits) }

// Open and Waiting count a tenant's.
func (q *Queue) Open(t int) int { return q.tenants[t].open }

// Waiting is the length of its line.
func (q *Queue) Waiting(t int) int { return len(q.tenants[t].queue) }

// Part is a process's part of a limit that holds for all processes together, by its number among them. The parts sum up to
// the limit, so no process needs to ask another, and what all let pass never exceeds it. While a process is down its
// part is not used by the others: that is the price.
func Part(limit, processes, index int) int {
	if processes <= 0 || index < 0 || index >= processes {
		return 0
	}
	part := limit / processes
	if index < limit%processes {
		part++
	}
	return part
}
