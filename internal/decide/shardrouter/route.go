package shardrouter

import "ravenpond/internal/decide/shardownership"

// Reason states why a request was rejected. Its text is sent to clients.
type Reason uint8

// Reasons of a rejection.
const (
	NoReason        Reason = iota // the request was accepted or queued
	AttemptOpen                   // a fenced shard had an attempt open, so that the allocation may have been started
	Full                          // the limit of open allocations is reached
	ShardFenced                   // after a fence or during a handover it is not known yet what runs of the allocation or its service
	NoShard                       // no shard accepts new allocations
	ShardOverloaded               // its shard is overloaded
	OverShare                     // the fair queue shed it: its tenant is blocked, its tenant's queue is full, or its turn would come too late
	TooLate                       // its tenant's turn did not come in time for its deadline
	NotAccepted                   // its tenant accepts no new requests, or the process is shutting down
)

func (r Reason) String() string {
	return [...]string{"", "earlier-try-out", "full", "shard-fenced", "no-shard", "behind", "over-share", "too-late", "not-taken"}[r]
}

// Arrival is a request that the process has read from a client.
type Arrival struct {
	ID        shardownership.ID
	Request   shardownership.Request
	ReadDelay float64 // ms that it waited to be read, beyond the usual delay of its client
}

// ShardLoad returns for how many ms beyond the usual a shard has been processing its current event, and how many requests wait at it.
type ShardLoad func(shard int) (stalled float64, waiting int)

// Decision is the router's decision about a request.
type Decision struct {
	ID         shardownership.ID
	Request    shardownership.Request
	Queued     bool    // it waits for its tenant's turn, and Dequeue decides later
	Shard      int     // the shard that owns the allocation
	Epoch      uint32  // 0: the shard owns the allocation already, by an earlier request of the same ID
	Reason     Reason  // why it is rejected
	RetryAfter float64 // ms after which the client may retry; 0: unknown
}

// IsRejected reports whether the request was neither routed nor queued.
func (d *Decision) IsRejected() bool { return d.Reason != NoReason }

// Route returns the shard for a request: the owner if the allocation has one, else the shard to which its service belongs. In the latter
// case it assigns the allocation to that shard.
func (r *Router) Route(now float64, a Arrival, load ShardLoad) Decision {
	d := Decision{ID: a.ID, Request: a.Request}
	shard, state := r.ownership.Lookup(now, a.ID)
	if state == shardownership.Assigned {
		d.Shard = shard
		return d
	}
	if d.Reason = r.reasonToReject(now, a, state); d.IsRejected() {
		return d
	}
	shard = r.placement.Choose(a.Request.Service, a.ID.Tenant, r.isSpread(a.Request.JobClass))
	if shard < 0 {
		d.Reason = NoShard
		return d
	}
	if stalled, waiting := load(shard); !r.gates[shard].Admit(now, max(a.ReadDelay, stalled), waiting) {
		d.Reason = ShardOverloaded
		return d
	}
	r.placement.Add(shard, a.Request.Service)
	a.Request.AssignedAt = now
	d.Shard, d.Epoch = shard, r.ownership.Assign(a.ID, shard, a.Request)
	return d
}

// reasonToReject returns why an allocation without an owner must not be assigned to any shard, NoReason if it may be.
func (r *Router) reasonToReject(now float64, a Arrival, state shardownership.State) Reason {
	switch {
	case state == shardownership.Barred:
		return AttemptOpen
	case r.ownership.Open() >= r.config.MaxOpen:
		return Full
	case r.isPaused(now, a.Request.Service):
		return ShardFenced
	}
	if _, isMoving := r.moving[a.Request.Service]; isMoving {
		return ShardFenced
	}
	if _, isUnrecovered := r.unrecovered[a.ID]; isUnrecovered { // it runs, but its node has not reported it yet: an attempt now would start it twice
		return ShardFenced
	}
	return NoReason
}

// OnRound tells a shard's admission gate how long a round of the shard's event loop took, in ms, and how many requests it handled.
func (r *Router) OnRound(shard int, duration float64, requests int) {
	r.gates[shard].OnRound(duration, requests)
}

// PermitAttempt reports whether an attempt may be sent, and records it as open if so. An attempt must not be sent without a permit.
func (r *Router) PermitAttempt(c shardownership.Claim, a shardownership.Attempt) bool {
	return r.ownership.PermitAttempt(c, a)
}

// CompleteAttempt records the outcome of an attempt. neverRan is true if the attempt provably did not run.
func (r *Router) CompleteAttempt(c shardownership.Claim, neverRan bool) {
	r.ownership.CompleteAttempt(c, neverRan)
}

// PermitAnswer reports whether the final answer may be sent, and records it as sent if so. It must not be sent without a permit. served is
// true if the answer says that the allocation runs.
func (r *Router) PermitAnswer(now float64, c shardownership.Claim, served bool) bool {
	if !r.ownership.PermitAnswer(c, served) {
		return false
	}
	if r.queue != nil && served {
		r.queue.fill.OnAnswer(now, now-r.ownership.Entry(c.ID).AssignedAt, r.queue.fair.TotalWaiting() > 0)
	}
	return true
}

// IsOwner reports whether a shard owns an allocation under an epoch.
func (r *Router) IsOwner(c shardownership.Claim) bool { return r.ownership.IsOwner(c) }

// OpenRequests returns the requests of the allocations that a shard owns and that have no final answer yet.
func (r *Router) OpenRequests(shard int) map[shardownership.RequestKey]bool {
	return r.ownership.OpenRequests(shard)
}

// SetClient changes the client that is notified of an allocation.
func (r *Router) SetClient(c shardownership.Claim, client uint32, ref uint64) {
	r.ownership.SetClient(c, client, ref)
}

// Remove removes an allocation of a service that has ended. It does nothing if the claim is not valid.
func (r *Router) Remove(c shardownership.Claim, service uint64) {
	if r.ownership.Remove(c) {
		r.placement.Remove(c.Shard, service)
	}
}

// ReportedAttempt identifies an attempt that a node reports.
type ReportedAttempt struct {
	ID      shardownership.ID
	Ticket  uint64
	Number  uint8
	Service uint64
	Shard   int // the shard that sent the attempt; -1: that incarnation of the shard has ended
}

// ShardOf returns the shard that a reported attempt belongs to, -1 if there is none: the owner of the allocation if this is its last attempt,
// else the shard that sent the attempt, else the shard to which the service belongs. knows is true if the shard certainly knows of the
// attempt; a shard that only sent it may have handed the allocation over since.
func (r *Router) ShardOf(p ReportedAttempt) (shard int, knows bool) {
	if shard, ok := r.ownership.HolderOf(p.ID, p.Ticket, p.Number); ok && r.placement.IsUp(shard) {
		return shard, true
	}
	if p.Shard >= 0 {
		return p.Shard, false
	}
	return r.placement.Choose(p.Service, p.ID.Tenant, true), false
}
