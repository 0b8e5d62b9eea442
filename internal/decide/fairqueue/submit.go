package fairqueue

import (
	"container/heap"
	"math"
	"slices"
)

// Submit admits, queues or sheds a request. If the request is shed, retryAfter is the number of ms after which to submit it again. A request
// that is not expected to be admitted before its deadline is shed at once.
func (q *Queue) Submit(now float64, r Request) (verdict Verdict, retryAfter float64) {
	if r.Tenant < 0 || r.Tenant >= len(q.tenants) || !q.tenants[r.Tenant].known {
		return Shed, maxRetryAfter
	}
	t := &q.tenants[r.Tenant]
	if t.Blocked {
		return Shed, maxRetryAfter
	}
	t.refill(now)
	cost := q.cost(r.Cores, r.Memory)
	aboveShare := q.exceedsShare(t)
	if !aboveShare {
		q.lastBelowShareAt = now
	}
	if len(t.queue) == 0 && t.mayPass() && !q.isFull(now, aboveShare) {
		q.advanceClock(t)
		q.charge(now, t, cost)
		return Admitted, 0
	}
	if len(t.queue) >= t.MaxWaiting {
		return Shed, t.retryAfter(now)
	}
	if wait := t.estimateWait(r.Urgency); now+wait >= r.Deadline {
		return Shed, clampRetryAfter(wait)
	}
	if len(t.queue) == 0 {
		q.advanceClock(t)
		t.waitingSince = now
	}
	q.lastOrder++
	q.push(&waitingRequest{Request: r, order: q.lastOrder, cost: cost})
	return Queued, 0
}

// Requeue puts an admitted request that could not be placed back into its tenant's queue, as the first of its urgency. The request is no
// longer open, and its cost and its token are refunded.
func (q *Queue) Requeue(now float64, r Request) {
	t := &q.tenants[r.Tenant]
	cost := q.cost(r.Cores, r.Memory)
	q.free, q.available = q.free+cost, q.available+cost
	t.clock -= cost / t.weight()
	t.tokens = min(t.maxTokens(), t.tokens+1)
	if len(t.queue) == 0 {
		t.waitingSince = now
	}
	q.push(&waitingRequest{Request: r, order: q.nextReturnOrder, cost: cost})
	q.nextReturnOrder--
	q.Release(r.Tenant)
}

// Next admits the next waiting request, which is that of the tenant with the lowest virtual clock; tenants below their share precede all
// others. It returns false if there is no capacity or no request may be admitted. It calls expired for each request that has expired, so
// that the caller can answer it.
func (q *Queue) Next(now float64, expired func(id uint64)) (id uint64, ok bool) {
	q.Expire(now, expired)
	q.refillWaiting(now)
	tenants := &q.belowShare
	if len(tenants.slots) == 0 {
		tenants = &q.aboveShare
	}
	if len(tenants.slots) == 0 || q.isFull(now, tenants == &q.aboveShare) {
		return 0, false
	}
	slot := tenants.slots[0]
	t := &q.tenants[slot]
	t.refill(now)
	cost := t.queue[0].cost
	id = q.removeAt(t, 0)
	q.charge(now, t, cost)
	if len(t.queue) == 0 {
		t.waitingSince = 0
	}
	q.updateHeaps(slot)
	return id, true
}

// Expire removes the requests whose deadline has passed and calls expired for each, so that the caller can answer it. The caller has to call
// Expire or Next at the time that Due returns.
func (q *Queue) Expire(now float64, expired func(id uint64)) {
	for len(q.expiries) > 0 && (q.expiries[0].removed || q.expiries[0].Deadline <= now) {
		if r := heap.Pop(&q.expiries).(*waitingRequest); !r.removed {
			expired(q.removeAt(&q.tenants[r.Tenant], r.position))
		}
	}
}

// Due returns the next time at which a token accrues or a request expires, so that Next may have a result without any other call. It is
// infinite if neither will happen.
func (q *Queue) Due(now float64) float64 {
	for len(q.expiries) > 0 && q.expiries[0].removed {
		heap.Pop(&q.expiries)
	}
	due := math.Inf(1)
	if len(q.expiries) > 0 {
		due = q.expiries[0].Deadline
	}
	if len(q.tokenWaits) > 0 {
		due = min(due, q.tokenWaits[0].readyAt)
	}
	return max(due, now)
}

// Remove removes a waiting request that was withdrawn. It returns false if the request does not wait.
func (q *Queue) Remove(id uint64) bool {
	r := q.waiting[id]
	if r == nil {
		return false
	}
	q.removeAt(&q.tenants[r.Tenant], r.position)
	return true
}

// RemoveAll removes all waiting requests of a tenant and calls removed for each in queue order, so that the caller can answer them.
func (q *Queue) RemoveAll(slot int, removed func(id uint64)) {
	if slot >= len(q.tenants) {
		return
	}
	for t := &q.tenants[slot]; len(t.queue) > 0; {
		removed(q.removeAt(t, 0))
	}
}

func (q *Queue) push(r *waitingRequest) {
	heap.Push(&q.tenants[r.Tenant].queue, r)
	heap.Push(&q.expiries, r)
	q.waiting[r.ID] = r
	q.updateHeaps(r.Tenant)
}

// removeAt removes the request at a position of a tenant's queue and returns its ID.
func (q *Queue) removeAt(t *tenant, position int) (id uint64) {
	r := t.queue[position]
	heap.Remove(&t.queue, position)
	delete(q.waiting, r.ID)
	r.removed = true
	q.compactExpiries()
	q.updateHeaps(r.Tenant)
	return r.ID
}

const (
	minCompactedExpiries = 64 // number of entries up to which the expiry heap is not compacted
	maxExpiryFactor      = 4  // entries per waiting request above which the expiry heap is compacted
)

// compactExpiries drops removed requests from the expiry heap if they make up most of it.
func (q *Queue) compactExpiries() {
	if len(q.expiries) <= minCompactedExpiries || len(q.expiries) <= maxExpiryFactor*len(q.waiting) {
		return
	}
	q.expiries = slices.DeleteFunc(q.expiries, func(r *waitingRequest) bool { return r.removed })
	heap.Init(&q.expiries)
}
