package fairqueue

import (
	"container/heap"
	"math"
)

const (
	minRetryAfter  = 50    // ms
	maxRetryAfter  = 60000 // ms
	intervalWeight = 0.2   // weight of the latest interval in the mean interval between a tenant's admissions
	idleCredit     = 0.02  // cost by which the clock of a returning idle tenant is set behind the others: it is served first for one burst
	minInterval    = 0.01  // ms
	tokenRounding  = 1e-9  // fraction of a token that may be missing due to rounding
)

// tenant is the limits and the state of one tenant.
type tenant struct {
	Limits
	known          bool
	clock          float64 // virtual clock: cost of admitted requests divided by the share
	open           int
	tokens         float64 // of the rate limit
	refilledAt     float64
	queue          tenantQueue
	meanInterval   float64 // mean ms between the tenant's latest admissions; 0 means unknown
	lastAdmittedAt float64
	waitingSince   float64 // time since which the queue has not been empty
	heapPosition   int     // position in a tenantHeap, from 1; 0 means that the tenant is in none
	aboveShare     bool    // the tenant belongs in the heap of tenants above their share
	held           float64 // fraction of the capacity that the tenant's open requests and running tasks hold
	awaitsToken    bool    // the tenant is in the heap of tenants that wait for tokens
}

// tenant returns the record of a tenant, which is created if there is none.
func (q *Queue) tenant(slot int) *tenant {
	for len(q.tenants) <= slot {
		q.tenants = append(q.tenants, tenant{})
	}
	return &q.tenants[slot]
}

// AddHeld adds resources to those that a tenant holds, or subtracts them: factor is 1 or -1.
func (q *Queue) AddHeld(slot int, cores, memory, factor float64) {
	q.tenant(slot).held += factor * q.cost(cores, memory)
	q.updateHeaps(slot)
}

// AddOpen adjusts the number of a tenant's open requests by delta. The number can change other than by an admission, because work was
// recovered, moved or completed.
func (q *Queue) AddOpen(slot, delta int) {
	q.tenant(slot).open += delta
	q.open += delta
	q.updateHeaps(slot)
}

// Release records that an admitted request of a tenant is no longer open.
func (q *Queue) Release(slot int) { q.AddOpen(slot, -1) }

// SetLimits adds a tenant or changes its limits. Open and waiting requests that exceed lower limits stay.
func (q *Queue) SetLimits(now float64, slot int, limits Limits) {
	t := q.tenant(slot)
	if !t.known {
		t.known, t.clock, t.refilledAt = true, q.clock, now
		t.Blocked = true // its share is not yet part of the sum of shares
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

// maxTokens returns the capacity of a tenant's token bucket.
func (t *tenant) maxTokens() float64 {
	if t.Rate <= 0 {
		return math.Inf(1)
	}
	return max(1, t.Burst)
}

// refill adds the tokens that have accrued since the last call.
func (t *tenant) refill(now float64) {
	if t.Rate > 0 {
		t.tokens = min(t.maxTokens(), t.tokens+(now-t.refilledAt)/1000*t.Rate)
	}
	t.refilledAt = now
}

// mayPass reports whether the tenant's limits allow the admission of a request now.
func (t *tenant) mayPass() bool {
	return !t.Blocked && t.tokens >= 1 && (t.MaxOpen <= 0 || t.open < t.MaxOpen)
}

// exceedsShare reports whether a tenant holds its share of the capacity or more.
func (q *Queue) exceedsShare(t *tenant) bool { return t.held*q.shares >= t.Share }

// advanceClock sets the clock of an idle tenant forward to that of the others, less a small credit.
func (q *Queue) advanceClock(t *tenant) {
	if t.open == 0 && len(t.queue) == 0 {
		t.clock = max(t.clock, q.clock-idleCredit/t.weight())
	}
}

// weight returns the tenant's share, or a small positive value so that it can be a divisor.
func (t *tenant) weight() float64 { return max(t.Share, 1e-9) }

// charge records the admission of a tenant's request of the given cost.
func (q *Queue) charge(now float64, t *tenant, cost float64) {
	t.open++
	q.open++
	q.free, q.available = q.free-cost, q.available-cost
	t.tokens--
	q.clock = max(q.clock, t.clock)
	t.clock += cost / t.weight()
	if t.lastAdmittedAt > 0 && (len(t.queue) > 0 || t.meanInterval > 0) {
		interval := now - max(t.lastAdmittedAt, t.waitingSince)
		t.meanInterval += intervalWeight * (max(minInterval, interval) - t.meanInterval)
	}
	t.lastAdmittedAt, q.lastAdmittedAt = now, now
}

// estimateWait estimates from the tenant's mean interval between admissions how many ms a new request of the given urgency would wait. It
// returns 0 if the interval is unknown.
func (t *tenant) estimateWait(urgency int) float64 {
	if t.meanInterval == 0 && t.Rate <= 0 {
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

// waitFor estimates how many ms it takes until a number of the tenant's requests have been admitted.
func (t *tenant) waitFor(requests int) float64 {
	interval := t.meanInterval
	if t.Rate > 0 {
		interval = max(interval, 1000/t.Rate)
	}
	return float64(requests) * interval
}

// retryAfter returns after how many ms a tenant with a full queue may submit again, which is when half of its queue is expected to be empty.
func (t *tenant) retryAfter(now float64) float64 {
	half := t.waitFor((len(t.queue) + 1) / 2)
	if t.meanInterval == 0 || now-t.lastAdmittedAt > 4*t.meanInterval { // no request of the queue has been admitted lately
		half = max(half, now-t.lastAdmittedAt)
	}
	return clampRetryAfter(half)
}

func clampRetryAfter(ms float64) float64 { return min(maxRetryAfter, max(minRetryAfter, ms)) }

// updateHeaps updates the position of a tenant in the heaps after a change of its queue, clock, holdings or limits.
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

// heapOf returns the heap of tenants above their share, or of those below it.
func (q *Queue) heapOf(aboveShare bool) *tenantHeap {
	if aboveShare {
		return &q.aboveShare
	}
	return &q.belowShare
}

// refillWaiting refills the tenants whose next token has accrued, and returns them to the tenant heaps.
func (q *Queue) refillWaiting(now float64) {
	for len(q.tokenWaits) > 0 && q.tokenWaits[0].readyAt <= now {
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
