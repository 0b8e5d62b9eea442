package shardrouter

import "ravenpond/internal/decide/shardownership"

// Reason is why a request was not taken. Its text goes to clients.
type Reason uint8

// Reasons.
const (
	NoReason    Reason = iota // the request was taken, or waits
	AttemptOpen               // a shard that was fenced may have started it
	Full                      // as many allocations are open as may be
	ShardFenced               // what runs of it, or of its service, is not known yet after a fence
	NoShard                   // no shard runs
	Behind                    // its shard is behind with its work
	OverShare                 // its tenant has used its share
	TooLate                   // its turn does not come before its deadline
	NotTaken                  // its tenant takes nothing any more
)

func (r Reason) String() string {
	return [...]string{"", "earlier-try-out", "full", "shard-fenced", "no-shard", "behind", "over-share", "too-late", "not-taken"}[r]
}

// Arrival is a request that has arrived.
type Arrival struct {
	ID      shardownership.ID
	Request shardownership.Request
	Unread  float64 // ms for which it lay unread on its way
}

// ShardLoad returns how long a shard has been at one event, beyond what is usual, and how many requests wait there.
type ShardLoad func(shard int) (stuck float64, waiting int)

// Decision is what becomes of a request.
type Decision struct {
	ID         shardownership.ID
	Request    shardownership.Request
	Queued     bool    // it waits for its tenant's turn
	Shard      int     // the shard that acts for it
	Epoch      uint32  // 0: the shard acts for an earlier request of the same ID
	Reason     Reason  // why it is not taken
	RetryAfter float64 // ms after which the client may ask again; 0: unknown
}

// IsRejected reports whether the request is not taken.
func (d *Decision) IsRejected() bool { return d.Reason != NoReason }

// Route finds the shard for a request: the one that acts for its ID already, else the one to which its service belongs.
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
	if stuck, waiting := load(shard); !r.gates[shard].Admit(now, max(a.Unread, stuck), waiting) {
		d.Reason = Behind
		return d
	}
	r.placement.Add(shard, a.Request.Service)
	a.Request.AssignedAt = now
	d.Shard, d.Epoch = shard, r.ownership.Assign(a.ID, shard, a.Request)
	return d
}

// reasonToReject returns why no shard may take a request for which none acts.
func (r *Router) reasonToReject(now float64, a Arrival, state shardownership.State) Reason {
	switch {
	case state == shardownership.Barred:
		return AttemptOpen
	case r.ownership.Open() >= r.config.MaxOpen:
		return Full
	case now < r.pausedUntil[a.Request.Service]:
		return ShardFenced
	}
	if _, isMoving := r.moving[a.Request.Service]; isMoving {
		return ShardFenced
	}
	if _, isUnrecovered := r.unrecovered[a.ID]; isUnrecovered { // it runs at a node that has not reported it yet: an attempt now would start it twice
		return ShardFenced
	}
	return NoReason
}

// OnRound tells a shard's admission gate how long a round took, in ms, and how many requests it handled.
func (r *Router) OnRound(shard int, duration float64, requests int) {
	r.gates[shard].OnRound(duration, requests)
}

// PermitAttempt permits an attempt, which must not be sent without.
func (r *Router) PermitAttempt(c shardownership.Claim, a shardownership.Attempt) bool {
	return r.ownership.PermitAttempt(c, a)
}

// CompleteAttempt records the outcome of an attempt. neverRan says that it provably did not run.
func (r *Router) CompleteAttempt(c shardownership.Claim, neverRan bool) {
	r.ownership.CompleteAttempt(c, neverRan)
}

// PermitAnswer permits the final answer, which must not leave without, and records whether it is that the allocation runs.
func (r *Router) PermitAnswer(now float64, c shardownership.Claim, served bool) bool {
	if !r.ownership.PermitAnswer(c, served) {
		return false
	}
	if r.queue != nil && served {
		r.queue.fill.OnAnswer(now, now-r.ownership.Entry(c.ID).AssignedAt, r.queue.fair.TotalWaiting() > 0)
	}
	return true
}

// IsOwner reports whether a shard acts for an allocation under an epoch.
func (r *Router) IsOwner(c shardownership.Claim) bool { return r.ownership.IsOwner(c) }

// OpenRequests returns the requests at a shard that have no answer and for which the shard acts.
func (r *Router) OpenRequests(shard int) map[shardownership.RequestKey]bool {
	return r.ownership.OpenRequests(shard)
}

// SetClient changes the client that is notified of an allocation.
func (r *Router) SetClient(c shardownership.Claim, client uint32, ref uint64) {
	r.ownership.SetClient(c, client, ref)
}

// Remove ends an allocation of a service. It does nothing if the claim does not hold.
func (r *Router) Remove(c shardownership.Claim, service uint64) {
	if r.ownership.Remove(c) {
		r.placement.Remove(c.Shard, service)
	}
}

// Placed identifies an attempt that a node reports.
type Placed struct {
	ID      shardownership.ID
	Ticket  uint64
	Number  uint8
	Service uint64
	Shard   int // the shard that made the attempt, if it still runs; -1: its incarnation has ended
}

// ShardOf returns the shard that a reported attempt belongs to, -1 if none runs: the shard that holds the allocation by this attempt, else
// the one that made it, else the one to which its service belongs. knows reports that the shard is sure to know of the attempt; one that
// made it may have given it away.
func (r *Router) ShardOf(p Placed) (shard int, knows bool) {
	if shard, ok := r.ownership.HolderOf(p.ID, p.Ticket, p.Number); ok && r.placement.IsUp(shard) {
		return shard, true
	}
	if p.Shard >= 0 {
		return p.Shard, false
	}
	return r.placement.Choose(p.Service, p.ID.Tenant, true), false
}
