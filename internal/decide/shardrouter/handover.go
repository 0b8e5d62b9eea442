package shardrouter

import (
	"ravenpond/internal/decide/handover"
	"ravenpond/internal/decide/shardownership"
)

// HandoverItem is an allocation that a shard gives away.
type HandoverItem struct {
	ID      shardownership.ID
	Request shardownership.Request
	Epoch   uint32
	Running bool
}

// HasHandover reports whether a shard has something to give away now: it drains, or another was added lately.
func (r *Router) HasHandover(now float64, shard int) bool {
	for added, at := range r.addedAt {
		if !handover.IsNewlyAdded(now, at) {
			delete(r.addedAt, added)
		}
	}
	return r.draining[shard] || len(r.addedAt) > 0
}

// BelongsElsewhere reports whether a service at a shard belongs to another shard now.
func (r *Router) BelongsElsewhere(shard int, service uint64, tenant int) bool {
	target := r.placement.TargetOf(service, tenant)
	if target < 0 || target == shard {
		return false
	}
	_, isNew := r.addedAt[target]
	return r.draining[shard] || isNew
}

// PauseServices gives services nothing new for two polls of a handover, so that their open attempts complete.
func (r *Router) PauseServices(now float64, services []uint64) {
	for _, service := range services {
		r.pausedUntil[service] = max(r.pausedUntil[service], now+2*handover.PollInterval())
	}
}

// BeginHandover reports whether a shard may give away a service, of which it knows a number of allocations. From then until EndHandover
// the service gets nothing new.
//
// A service that must be spread is given as a whole: tasks at two shards are counted by neither. While a request for it waits in the inbox of
// its shard, which knows nothing of it yet, the service stays, and is paused so that nothing more comes.
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

// EndHandover records that a service has been given away, or was not after all.
func (r *Router) EndHandover(service uint64) { delete(r.moving, service) }

// HandOver gives a service's allocations from a shard to the one where they belong now, in order. That may be the giver itself, because
// the number of shards changed meanwhile or no other shard runs: they get a new epoch like any other. An allocation for which the giver
// does not act any more gets the disposition Continue.
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
	if item.Running { // it counts as lost until the other shard has it
		r.addUnrecovered(now, item.ID, item.Request, r.ownership.Entry(item.ID).LastAttempt)
	}
	return d
}
