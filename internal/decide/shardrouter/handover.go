package shardrouter

import (
	"ravenpond/internal/decide/handover"
	"ravenpond/internal/decide/shardownership"
)

// HandoverItem is an allocation that a shard hands over.
type HandoverItem struct {
	ID      shardownership.ID
	Request shardownership.Request
	Epoch   uint32
	Running bool
}

// HasHandover reports whether a shard may have services to hand over now: it is draining, or a shard was added recently.
func (r *Router) HasHandover(now float64, shard int) bool {
	for added, at := range r.addedAt {
		if !handover.IsNewlyAdded(now, at) {
			delete(r.addedAt, added)
		}
	}
	return r.draining[shard] || len(r.addedAt) > 0
}

// BelongsElsewhere reports whether a shard is to hand a service over: the service's target is another shard, and either the shard is
// draining or the target was added recently.
func (r *Router) BelongsElsewhere(shard int, service uint64, tenant int) bool {
	target := r.placement.TargetOf(service, tenant)
	if target < 0 || target == shard {
		return false
	}
	_, isNew := r.addedAt[target]
	return r.draining[shard] || isNew
}

// PauseServices rejects new requests of services for two handover polls, so that their open attempts complete.
func (r *Router) PauseServices(now float64, services []uint64) {
	for _, service := range services {
		r.pausedUntil[service] = max(r.pausedUntil[service], now+2*handover.PollInterval())
	}
}

// BeginHandover reports whether a shard may hand a service over now. known is the number of the service's allocations that the shard's engine
// knows.
//
// A service that must be spread is handed over as a whole, because no shard would count the tasks that another one has, and it gets no new
// allocations until EndHandover. If the ownership table has more or fewer allocations of it than the engine, for example because a request
// still waits in the shard's inbox, the service stays for now and is paused, so that no further requests arrive.
func (r *Router) BeginHandover(now float64, shard int, service uint64, known int) bool {
	held, spread := r.ownership.CountService(shard, service, r.isSpread)
	if spread && held != known {
		r.PauseServices(now, []uint64{service})
		return false
	}
	if spread {
		r.moving[service] = shard
	}
	return true
}

// EndHandover records that the handover of a service is over, whether or not anything was handed over.
func (r *Router) EndHandover(service uint64) { delete(r.moving, service) }

// HandOver assigns a service's allocations, in order, from the source shard to the shard to which the service belongs now. That may be the
// source itself, because the number of shards has changed meanwhile or no other shard runs; the allocations get a new epoch all the same. An
// allocation that the source no longer owns, or that must not be handed over, gets the disposition Continue.
func (r *Router) HandOver(now float64, from int, items []HandoverItem) []OrphanDecision {
	if len(items) == 0 {
		return nil
	}
	to := r.placement.TargetOf(items[0].Request.Service, items[0].ID.Tenant)
	if to < 0 {
		to = from
	}
	r.ownership.NextEpoch()
	var decisions []OrphanDecision
	for _, item := range items {
		decisions = append(decisions, r.handOverItem(now, from, to, item))
	}
	return decisions
}

func (r *Router) handOverItem(now float64, from, to int, item HandoverItem) OrphanDecision {
	claim := shardownership.Claim{ID: item.ID, Shard: from, Epoch: item.Epoch}
	d := OrphanDecision{Orphan: shardownership.Orphan{ID: item.ID, Entry: shardownership.Entry{Request: item.Request}, Disposition: shardownership.Continue}}
	epoch, ok := r.ownership.HandOver(claim, to)
	if !ok {
		r.Remove(claim, item.Request.Service)
		return d
	}
	d.Disposition, d.Shard, d.Epoch = shardownership.Reassign, to, epoch
	r.placement.Move(from, to, item.Request.Service)
	if item.Running { // it awaits recovery until the new owner has taken it over
		r.addUnrecovered(now, item.ID, item.Request, r.ownership.Entry(item.ID).LastAttempt)
	}
	return d
}
