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
	minOpenPerShard = 2 // requests that may be open for each shard, whatever the free capacity
	retryInterval   = 5 // ms after which a shard that was behind is asked again
)

// tenantQueue holds requests until their tenant's turn, before they are routed: from there on no tenant is looked at. A request that its
// shard rejects as Behind returns to the queue and costs its tenant nothing.
type tenantQueue struct {
	fair     *fairqueue.Queue
	fill     *fairqueue.FillController
	urgency  []int // by job class
	lastID   uint64
	waiting  map[uint64]queuedRequest // by ID in the fair queue
	byClient map[shardownership.RequestKey]uint64
	retryAt  float64 // when to ask a shard again that was behind; 0: none was

	capacity     Resources   // of the nodes that accept work
	heldByOthers Resources   // held by other processes, as estimated
	held         Resources   // held by this process's shards, open or running
	recentHeld   []Resources // held, at the latest answers of the node list
}

// queuedRequest is a request that waits.
type queuedRequest struct {
	Arrival
	queuedAt float64
}

// startQueue makes the queue and connects it with the ownership table.
func (r *Router) startQueue() {
	q := &tenantQueue{
		fair:     fairqueue.New(1, 1, r.config.MaxOpen),
		fill:     fairqueue.NewFillController(),
		urgency:  urgencies(r.config),
		waiting:  map[uint64]queuedRequest{},
		byClient: map[shardownership.RequestKey]uint64{},
	}
	q.fair.SetFree(0, 0, minOpenPerShard*r.config.MaxShards)
	r.ownership.OnOpenChange = q.fair.AddOpen
	r.ownership.OnHeldChange = func(tenant int, request *shardownership.Request, by float64) {
		q.fair.AddHeld(tenant, request.Cores, request.Memory, by)
		q.held.Cores += by * request.Cores
		q.held.Memory += by * request.Memory
	}
	r.queue = q
}

// urgencies returns the urgency of each job class: the rank of its priority weight, from 0.
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
	if _, state := r.ownership.Lookup(now, a.ID); state != shardownership.Unassigned { // it does not wait for what a shard acts for already
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

// fairRequest returns a request as the fair queue takes it. It expires there in time for an answer.
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

// routeAdmitted routes a request whose turn has come. If its shard is behind and there is time, it returns to the queue.
func (r *Router) routeAdmitted(now float64, id uint64, request queuedRequest, load ShardLoad) Decision {
	d := r.Route(now, request.Arrival, load)
	if fair := r.fairRequest(id, request.Arrival); d.Reason == Behind && fair.Deadline > now+retryInterval {
		r.queue.fair.Return(now, fair)
		r.queue.add(id, request)
		r.queue.retryAt = now + retryInterval
		return Decision{ID: request.ID, Request: request.Request, Queued: true}
	}
	r.queue.fair.Release(request.ID.Tenant) // if a shard took it, the ownership table counts it now
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
		request.Unread = 0 // it was read long ago: its time in this queue says nothing about the queue at the socket
		d := r.routeAdmitted(now, id, request, load)
		if d.Queued {
			return decisions
		}
		decisions = append(decisions, d)
	}
}

// Due returns when Dequeue may have something by time alone, infinite if it has not.
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

// MayDequeue reports whether requests wait that may go on now that something has ended.
func (r *Router) MayDequeue(now float64) bool {
	return r.queue != nil && len(r.queue.waiting) > 0 && now >= r.queue.retryAt
}

// Withdraw removes a waiting request that its client gives up; false if it does not wait.
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

// RejectWaiting ends the waiting of all requests, as the process is about to end, and returns decisions for them.
func (r *Router) RejectWaiting() []Decision {
	if r.queue == nil {
		return nil
	}
	var rejected []Decision
	for _, id := range slices.Sorted(maps.Keys(r.queue.waiting)) {
		request := r.queue.waiting[id]
		r.queue.fair.Remove(id)
		r.queue.remove(id)
		rejected = append(rejected, Decision{ID: request.ID, Request: request.Request, Reason: NotTaken})
	}
	return rejected
}

// SetTenant applies a tenant's policy. It returns decisions for the waiting requests of a tenant that takes nothing any more.
func (r *Router) SetTenant(now float64, slot int, policy tenancy.Policy) []Decision {
	r.queue.fair.SetLimits(now, slot, policy.Limits)
	if policy.AcceptsNew {
		return nil
	}
	var rejected []Decision
	r.queue.fair.RemoveAll(slot, func(id uint64) {
		request := r.queue.remove(id)
		rejected = append(rejected, Decision{ID: request.ID, Request: request.Request, Reason: NotTaken})
	})
	return rejected
}

// TenantCount returns how much there is of a tenant: waiting requests, open allocations, and lost ones.
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
