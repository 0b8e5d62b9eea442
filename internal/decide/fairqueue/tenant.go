package fairqueue

import (
	"container/heap"
	"math"
)

const (
	minRetryAfter = 50    // ms
	maxRetryAfter = 60000 // ms
	gapWeight     = 0.2   // weight of the last request in the mean time between a tenant's requests
	idleCredit    = 0.02  // of the virtual clock by which an idle tenant may be behind the others: one burst of its own goes first
	minGap        = 0.01  // ms
	tokenRounding = 1e-9  // by which a token may be short due to rounding
)

// tenant is a tenant's limits and state.
type tenant struct {
	Limits
	known          bool
	clock          float64 // virtual: cost of its requests over its share
	open           int
	tokens         float64 // of its rate limit
	refilledAt     float64
	queue          tenantQueue
	gap            float64 // mean ms between its latest requests that passed; 0: unknown
	lastAdmittedAt float64
	waitingSince   float64 // since when a request has waited
	heapPosition   int     // position in a tenantHeap, from 1; 0: in none
	aboveShare     bool    // the heap is that of tenants above their share
	held           float64 // fraction of the capacity that it holds, open or running
	awaitsToken    bool    // it is in the heap of tenants that wait for tokens
}

// tenant returns a tenant's record, and makes it if there is none.
func (q *Queue) tenant(slot int) *tenant {
	for len(q.tenants) <= slot {
		q.tenants = append(q.tenants, tenant{})
	}
	return &q.tenants[slot]
}

// AddHeld records that a tenant holds more resources, or less, by a factor of 1 or -1.
func (q *Queue) AddHeld(slot int, cores, memory, by float64) {
	q.tenant(slot).held += by * q.cost(cores, memory)
	q.updateHeaps(slot)
}

// AddOpen records that more of a tenant's requests are open, or fewer, than were admitted here: work was recovered, moved or completed.
func (q *Queue) AddOpen(slot, by int) {
	q.tenant(slot).open += by
	q.open += by
	q.updateHeaps(slot)
}

// Release records that an admitted request of a tenant is no longer open.
func (q *Queue) Release(slot int) { q.AddOpen(slot, -1) }

// SetLimits adds a tenant or changes its limits. Requests that are open or wait beyond lower limits stay.
func (q *Queue) SetLimits(now float64, slot int, limits Limits) {
	t := q.tenant(slot)
	if !t.known {
		t.known, t.clock, t.refilledAt = true, q.clock, now
		t.Blocked = true // its share does not count yet
		t.tokens = math.Inf(1)
	}
	t.refill(now)
	if !t.Blocked {
		q.shares -= t.Share
	}
	t.Limits = limits
	if !limits.Blocked {
		q.shares += limits.Share
	}
	t.tokens = min(t.tokens, t.maxTokens())
	q.updateHeaps(slot)
}

// maxTokens returns how many tokens a tenant may save up.
func (t *tenant) maxTokens() float64 {
	if t.Rate <= 0 {
		return math.Inf(1)
	}
	return max(1, t.Burst)
}

// refill adds the tokens that have accrued.
func (t *tenant) refill(now float64) {
	if t.Rate > 0 {
		t.tokens = min(t.maxTokens(), t.tokens+(now-t.refilledAt)/1000*t.Rate)
	}
	t.refilledAt = now
}

// mayPass reports whether a tenant's limits let a request pass now.
func (t *tenant) mayPass() bool {
	return !t.Blocked && t.tokens >= 1 && (t.MaxOpen <= 0 || t.open < t.MaxOpen)
}

// exceedsShare reports whether a tenant holds its share or more.
func (q *Queue) exceedsShare(t *tenant) bool { return t.held*q.shares >= t.Share }

// advanceClock sets the clock of an idle tenant to that of the others, less a small credit.
func (q *Queue) advanceClock(t *tenant) {
	if t.open == 0 && len(t.queue) == 0 {
		t.clock = max(t.clock, q.clock-idleCredit/t.weight())
	}
}

// weight returns the tenant's share as a divisor.
func (t *tenant) weight() float64 { return max(t.Share, 1e-9) }

// charge records that a tenant's request passes.
func (q *Queue) charge(now float64, t *tenant, cost float64) {
	t.open++
	q.open++
	q.free, q.available = q.free-cost, q.available-cost
	t.tokens--
	q.clock = max(q.clock, t.clock)
	t.clock += cost / t.weight()
	if t.lastAdmittedAt > 0 && (len(t.queue) > 0 || t.gap > 0) {
		gap := now - max(t.lastAdmittedAt, t.waitingSince)
		t.gap += gapWeight * (max(minGap, gap) - t.gap)
	}
	t.lastAdmittedAt, q.lastAdmittedAt = now, now
}

// estimateWait returns after how many ms the tenant's next request of an urgency would pass, by the tenant's pace; 0 if that is unknown.
func (t *tenant) estimateWait(urgency int) float64 {
	if t.gap == 0 && t.Rate <= 0 {
		return 0
	}
	ahead := 0
	for _, r := range t.queue {
		if r.Urgency >= urgency {
			ahead++
		}
	}
	return t.waitFor(ahead + 1)
}

// waitFor returns how many ms it takes until a number of the tenant's requests have passed.
func (t *tenant) waitFor(requests int) float64 {
	gap := t.gap
	if t.Rate > 0 {
		gap = max(gap, 1000/t.Rate)
	}
	return float64(requests) * gap
}

// retryAfter returns after how many ms a tenant whose queue is full may submit again: when half of the queue should have passed.
func (t *tenant) retryAfter(now float64) float64 {
	half := t.waitFor((len(t.queue) + 1) / 2)
	if t.gap == 0 || now-t.lastAdmittedAt > 4*t.gap { // the queue does not move now
		half = max(half, now-t.lastAdmittedAt)
	}
	return clampRetryAfter(half)
}

func clampRetryAfter(ms float64) float64 { return min(maxRetryAfter, max(minRetryAfter, ms)) }

// updateHeaps updates a tenant's position in the heaps after a change of its queue, clock or limits.
func (q *Queue) updateHeaps(slot int) {
	t := &q.tenants[slot]
	mayPass := len(t.queue) > 0 && !t.Blocked && (t.MaxOpen <= 0 || t.open < t.MaxOpen)
	if mayPass && t.tokens < 1 {
		mayPass = false
		if !t.awaitsToken {
			t.awaitsToken = true
			heap.Push(&q.tokenWaits, tokenWait{t.refilledAt + (1-t.tokens)/t.Rate*1000, slot})
		}
	}
	aboveShare := q.exceedsShare(t)
	if t.heapPosition > 0 && (!mayPass || aboveShare != t.aboveShare) {
		heap.Remove(q.heapOf(t.aboveShare), t.heapPosition-1)
	}
	t.aboveShare = aboveShare
	switch {
	case !mayPass:
	case t.heapPosition == 0:
		heap.Push(q.heapOf(aboveShare), slot)
	default:
		heap.Fix(q.heapOf(aboveShare), t.heapPosition-1)
	}
}

// heapOf returns the heap of tenants above or below their share.
func (q *Queue) heapOf(aboveShare bool) *tenantHeap {
	if aboveShare {
		return &q.aboveShare
	}
	return &q.belowShare
}

// refillWaiting returns tenants to the heaps whose next token has accrued.
func (q *Queue) refillWaiting(now float64) {
	for len(q.tokenWaits) > 0 && q.tokenWaits[0].at <= now {
		slot := heap.Pop(&q.tokenWaits).(tokenWait).tenant
		t := &q.tenants[slot]
		t.awaitsToken = false
		t.refill(now)
		if t.tokens < 1 && t.tokens > 1-tokenRounding {
			t.tokens = 1
		}
		q.updateHeaps(slot)
	}
}
