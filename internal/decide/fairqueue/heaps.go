package fairqueue

// waitingRequest is a request that waits in its tenant's queue.
type waitingRequest struct {
	Request
	order    uint64 // requests of equal urgency are admitted in ascending order
	cost     float64
	position int  // index in its tenant's queue
	removed  bool // it has left its tenant's queue; its entry in the expiry heap is removed later
}

// expiryHeap holds the waiting requests of all tenants by deadline, because requests expire in another order than that of the queues.
type expiryHeap []*waitingRequest

func (h expiryHeap) Len() int { return len(h) }

func (h expiryHeap) Less(i, j int) bool { return h[i].Deadline < h[j].Deadline }

func (h expiryHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

func (h *expiryHeap) Push(x any) { *h = append(*h, x.(*waitingRequest)) }

func (h *expiryHeap) Pop() any {
	last := len(*h) - 1
	r := (*h)[last]
	(*h)[last] = nil
	*h = (*h)[:last]
	return r
}

// tenantHeap holds the tenants whose next waiting request may be admitted, by virtual clock, so that an admission need not scan thousands
// of tenants. A tenant that has reached its rate limit or its limit of open requests is left out until a request may be admitted again.
type tenantHeap struct {
	queue *Queue
	slots []int
}

func (h tenantHeap) Len() int { return len(h.slots) }

func (h tenantHeap) Less(i, j int) bool {
	x, y := &h.queue.tenants[h.slots[i]], &h.queue.tenants[h.slots[j]]
	return x.clock < y.clock || x.clock == y.clock && h.slots[i] < h.slots[j]
}

func (h tenantHeap) Swap(i, j int) {
	h.slots[i], h.slots[j] = h.slots[j], h.slots[i]
	h.queue.tenants[h.slots[i]].heapPosition = i + 1
	h.queue.tenants[h.slots[j]].heapPosition = j + 1
}

func (h *tenantHeap) Push(x any) {
	slot := x.(int)
	h.slots = append(h.slots, slot)
	h.queue.tenants[slot].heapPosition = len(h.slots)
}

func (h *tenantHeap) Pop() any {
	last := len(h.slots) - 1
	slot := h.slots[last]
	h.slots = h.slots[:last]
	h.queue.tenants[slot].heapPosition = 0
	return slot
}

// tokenWait is a tenant that waits for the next token of its rate limit, and the time at which it has one.
type tokenWait struct {
	readyAt float64
	tenant  int
}

// tokenHeap holds the tenants that wait for a token, by the time of their next token.
type tokenHeap []tokenWait

func (h tokenHeap) Len() int { return len(h) }

func (h tokenHeap) Less(i, j int) bool { return h[i].readyAt < h[j].readyAt }

func (h tokenHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

func (h *tokenHeap) Push(x any) { *h = append(*h, x.(tokenWait)) }

func (h *tokenHeap) Pop() any {
	last := len(*h) - 1
	wait := (*h)[last]
	*h = (*h)[:last]
	return wait
}

// tenantQueue is a heap of a tenant's waiting requests, by urgency and order.
type tenantQueue []*waitingRequest

func (q tenantQueue) Len() int { return len(q) }

func (q tenantQueue) Less(i, j int) bool {
	return q[i].Urgency > q[j].Urgency || q[i].Urgency == q[j].Urgency && q[i].order < q[j].order
}

func (q tenantQueue) Swap(i, j int) {
	q[i], q[j] = q[j], q[i]
	q[i].position, q[j].position = i, j
}

func (q *tenantQueue) Push(x any) {
	r := x.(*waitingRequest)
	r.position = len(*q)
	*q = append(*q, r)
}

func (q *tenantQueue) Pop() any {
	last := len(*q) - 1
	r := (*q)[last]
	(*q)[last] = nil
	*q = (*q)[:last]
	return r
}
