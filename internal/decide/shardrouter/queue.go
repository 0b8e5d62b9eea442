package shardrouter

import (
	"maps"
	"math"
	"slices"

	"ravenpond/internal/decide/fairqueue"
	"ravenpond/internal/decide/shardownership"
	"ravenpond/internal/decide/tenancy"
)

const (
	minOpenPerShard = 2 // requests that may be open per shard, whatever the free capacity
	retryInterval   = 5 // ms after which a request is routed again that its shard rejected as overloaded
)

// tenantQueue holds requests until their tenant's turn. Requests are routed after that, without regard to their tenants. A request whose shard
// is overloaded returns to the queue, at no cost to its tenant.
type tenantQueue struct {
	fair     *fairqueue.Queue
	fill     *fairqueue.FillController
	urgency  []int // by job class
	lastID   uint64
	waiting  map[uint64]queuedRequest // by ID in the fair queue, which lastID counts
	byClient map[shardownership.RequestKey]uint64
	retryAt  float64 // when to route again after a shard was overloaded; 0: none was

	capacity     Resources   // total of the nodes that accept work
	heldByOthers Resources   // estimate of what other processes hold
	held         Resources   // held by this process's shards, for open and running allocations
	recentHeld   []Resources // values of held at the latest answers of the node list
}

// queuedRequest is a request that waits.
type queuedRequest struct {
	Arrival
	queuedAt float64
}

// startQueue creates the queue and has the ownership table report changes to it.
func (r *Router) startQueue() {
	q := &tenantQueue{
		fair:     fairqueue.New(1, 1, r.config.MaxOpen),
		fill:     fairqueue.NewFillController(),
		urgency:  urgencies(r.config),
		waiting:  map[uint64]queuedRequest{},
		byClient: map[shardownership.RequestKey]uint64{},
	}
	q.fair.SetFreeCapacity(0, 0, minOpenPerShard*r.config.MaxShards)
	r.ownership.OnOpenChange = q.fair.AddOpen
	r.ownership.OnHeldChange = func(tenant int, request *shardownership.Request, by float64) {
		q.fair.AddHeld(tenant, request.Cores, request.Memory, by)
		q.held.Cores += by * request.Cores
		q.held.Memory += by * request.Memory
	}
	r.queue = q
}

// urgencies returns the urgency of each job class: the rank of its priority weight, the lowest being 0.
func urgencies(config Config) []int {
	weights := make([]float64, len(config.JobClasses))
	for i := range config.JobClasses {
		weights[i] = config.JobClasses[i].PriorityWeight
	}
	sorted := slices.Sorted(slices.Values(weights))
	ranks := make([]int, len(weights))
	for i, weight := range weights {
		ranks[i] = slices.Index(sorted, weight)
	}
	return ranks
}

// Submit routes a request, or queues it until its tenant's turn.
func (r *Router) Submit(now float64, a Arrival, load ShardLoad) Decision {
	if r.queue == nil {
		return r.Route(now, a, load)
	}
	if _, state := r.ownership.Lookup(now, a.ID); state != shardownership.Unassigned { // the allocation has an owner or is barred: no need to wait
		return r.Route(now, a, load)
	}
	r.queue.lastID++
	id := r.queue.lastID
	r.updateFree()
	verdict, retryAfter := r.queue.fair.Submit(now, r.fairRequest(id, a))
	switch verdict {
	case fairqueue.Admitted:
		return r.routeAdmitted(now, id, queuedRequest{a, now}, load)
	case fairqueue.Queued:
		r.queue.add(id, queuedRequest{a, now})
		return Decision{ID: a.ID, Request: a.Request, Queued: true}
	}
	return Decision{ID: a.ID, Request: a.Request, Reason: OverShare, RetryAfter: retryAfter}
}

// fairRequest converts a request for the fair queue. It expires there AnswerMargin before its deadline, in time for an answer.
func (r *Router) fairRequest(id uint64, a Arrival) fairqueue.Request {
	return fairqueue.Request{
		ID:       id,
		Tenant:   a.ID.Tenant,
		Urgency:  r.queue.urgency[a.Request.JobClass],
		Cores:    a.Request.Cores,
		Memory:   a.Request.Memory,
		Deadline: a.Request.Deadline - r.config.AnswerMargin,
	}
}

// routeAdmitted routes a request whose turn has come. If its shard is overloaded and its deadline allows a retry, the request returns to the
// queue.
func (r *Router) routeAdmitted(now float64, id uint64, request queuedRequest, load ShardLoad) Decision {
	d := r.Route(now, request.Arrival, load)
	if fair := r.fairRequest(id, request.Arrival); d.Reason == ShardOverloaded && fair.Deadline > now+retryInterval {
		r.queue.fair.Requeue(now, fair)
		r.queue.add(id, request)
		r.queue.retryAt = now + retryInterval
		return Decision{ID: request.ID, Request: request.Request, Queued: true}
	}
	r.queue.fair.Release(request.ID.Tenant) // an assigned allocation is counted as open by the ownership table
	return d
}

// Dequeue returns the decisions for the requests whose turn has come and for those that expired.
func (r *Router) Dequeue(now float64, load ShardLoad) []Decision {
	q := r.queue
	if q == nil || len(q.waiting) == 0 {
		return nil
	}
	var decisions []Decision
	expired := func(id uint64) {
		request := q.remove(id)
		decisions = append(decisions, Decision{ID: request.ID, Request: request.Request, Reason: TooLate})
	}
	if now < q.retryAt {
		q.fair.Expire(now, expired)
		return decisions
	}
	q.retryAt = 0
	r.updateFree()
	for {
		id, ok := q.fair.Next(now, expired)
		if !ok {
			return decisions
		}
		request := q.remove(id)
		request.ReadDelay = 0 // it was read long ago, so this delay no longer shows how long requests wait at the socket
		d := r.routeAdmitted(now, id, request, load)
		if d.Queued {
			return decisions
		}
		decisions = append(decisions, d)
	}
}

// Due returns the time at which Dequeue should be called again even if nothing ends before, +Inf if no request waits.
func (r *Router) Due(now float64) float64 {
	if r.queue == nil || len(r.queue.waiting) == 0 {
		return math.Inf(1)
	}
	due := r.queue.fair.Due(now)
	if r.queue.retryAt > 0 {
		due = min(due, r.queue.retryAt)
	}
	return due
}

// MayDequeue reports whether Dequeue is worth a call now that an allocation has ended: requests wait, and no retry delay is running.
func (r *Router) MayDequeue(now float64) bool {
	return r.queue != nil && len(r.queue.waiting) > 0 && now >= r.queue.retryAt
}

// Withdraw removes a waiting request that its client has cancelled. It returns false if the request does not wait.
func (r *Router) Withdraw(client uint32, ref uint64) bool {
	if r.queue == nil {
		return false
	}
	id, ok := r.queue.byClient[shardownership.RequestKey{Client: client, Ref: ref}]
	if ok {
		r.queue.fair.Remove(id)
		r.queue.remove(id)
	}
	return ok
}

// WithdrawClient removes all waiting requests of a client.
func (r *Router) WithdrawClient(client uint32) {
	if r.queue == nil {
		return
	}
	var refs []uint64
	for key := range r.queue.byClient {
		if key.Client == client {
			refs = append(refs, key.Ref)
		}
	}
	slices.Sort(refs)
	for _, ref := range refs {
		r.Withdraw(client, ref)
	}
}

// RejectWaiting rejects all waiting requests, because the process is about to end. It returns the decisions in order of arrival.
func (r *Router) RejectWaiting() []Decision {
	if r.queue == nil {
		return nil
	}
	var rejected []Decision
	for _, id := range slices.Sorted(maps.Keys(r.queue.waiting)) {
		request := r.queue.waiting[id]
		r.queue.fair.Remove(id)
		r.queue.remove(id)
		rejected = append(rejected, Decision{ID: request.ID, Request: request.Request, Reason: NotAccepted})
	}
	return rejected
}

// SetTenant applies a tenant's policy. If the tenant accepts no new requests any more, its waiting requests are rejected, and their decisions
// returned.
func (r *Router) SetTenant(now float64, slot int, policy tenancy.Policy) []Decision {
	r.queue.fair.SetLimits(now, slot, policy.Limits)
	if policy.AcceptsNew {
		return nil
	}
	var rejected []Decision
	r.queue.fair.RemoveAll(slot, func(id uint64) {
		request := r.queue.remove(id)
		rejected = append(rejected, Decision{ID: request.ID, Request: request.Request, Reason: NotAccepted})
	})
	return rejected
}

// TenantCount returns the number of a tenant's waiting requests, open allocations, and allocations that await recovery.
func (r *Router) TenantCount(slot int) int {
	count := r.queue.fair.Waiting(slot) + r.queue.fair.Open(slot)
	for id := range r.unrecovered {
		if id.Tenant == slot {
			count++
		}
	}
	return count
}

// OldestWait returns how long the oldest waiting request has waited, in ms, and how many wait.
func (r *Router) OldestWait(now float64) (oldest float64, waiting int) {
	if r.queue == nil {
		return 0, 0
	}
	for _, request := range r.queue.waiting {
		oldest = max(oldest, now-request.queuedAt)
	}
	return oldest, len(r.queue.waiting)
}

func (q *tenantQueue) add(id uint64, request queuedRequest) {
	q.waiting[id] = request
	q.byClient[shardownership.RequestKey{Client: request.Request.Client, Ref: request.Request.Ref}] = id
}

func (q *tenantQueue) remove(id uint64) queuedRequest {
	request := q.waiting[id]
	delete(q.waiting, id)
	delete(q.byClient, shardownership.RequestKey{Client: request.Request.Client, Ref: request.Request.Ref})
	return request
}
