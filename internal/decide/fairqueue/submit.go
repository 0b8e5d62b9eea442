package fairqueue

import (
	"container/heap"
	"math"
	"slices"
)

// Submit admits, queues or sheds a request. If it is shed, retryAfter says after how many ms to submit it again. A request whose turn
// cannot come before its deadline is shed at once.
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
	q.nextOrder++
	q.push(&waitingRequest{Request: r, order: q.nextOrder, cost: cost})
	return Queued, 0
}

// Return takes back an admitted request that found no place. It is the first of its urgency again, costs nothing, and is no longer open.
func (q *Queue) Return(now float64, r Request) {
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

// Next admits the next waiting request: of the tenant whose clock is farthest behind, first among those below their share. It returns
// false if there is no capacity or no request may pass. Requests that have expired are given to expired, to be answered.
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

// Expire gives the requests whose deadline has passed to expired, to be answered. The caller calls it or Next by Due.
func (q *Queue) Expire(now float64, expired func(id uint64)) {
	for len(q.expiries) > 0 && (q.expiries[0].removed || q.expiries[0].Deadline <= now) {
		if r := heap.Pop(&q.expiries).(*waitingRequest); !r.removed {
			expired(q.removeAt(&q.tenants[r.Tenant], r.position))
		}
	}
}

// Due returns when Next may have something by time alone: a token accrues or a request expires. It is infinite if neither does.
func (q *Queue) Due(now float64) float64 {
	for len(q.expiries) > 0 && q.expiries[0].removed {
		heap.Pop(&q.expiries)
	}
	due := math.Inf(1)
	if len(q.expiries) > 0 {
		due = q.expiries[0].Deadline
	}
	if len(q.tokenWaits) > 0 {
		due = min(due, q.tokenWaits[0].at)
	}
	return max(due, now)
}

// Remove takes out a waiting request, because it was withdrawn; false if it does not wait.
func (q *Queue) Remove(id uint64) bool {
	r := q.waiting[id]
	if r == nil {
		return false
	}
	q.removeAt(&q.tenants[r.Tenant], r.position)
	return true
}

// RemoveAll takes out all waiting requests of a tenant and gives them to removed in their order, to be answered.
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

// removeAt removes the request at a position of a tenant's queue.
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
	minCompactedExpiries = 64 // entries of the expiry heap below which it is not compacted
	maxExpiryFactor      = 4  // entries of the expiry heap for each waiting request above which it is compacted
)

// compactExpiries drops removed requests from the expiry heap if they are most of it.
func (q *Queue) compactExpiries() {
	if len(q.expiries) <= minCompactedExpiries || len(q.expiries) <= maxExpiryFactor*len(q.waiting) {
		return
	}
	q.expiries = slices.DeleteFunc(q.expiries, func(r *waitingRequest) bool { return r.removed })
	heap.Init(&q.expiries)
}
