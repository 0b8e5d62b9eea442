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

// HandOver gives a service's allocations from a shard to the one where they belong now, in order. That may be the giver itself, because
// the number of shards changed meanwhile, no other shard runs, or the giver left out a task of a service that moves as a whole, which is
// then paused: they get a new epoch like any other. An allocation for which the giver
// does not act any more gets the disposition Continue.
func (r *Router) HandOver(now float64, from int, items []HandoverItem) []OrphanDecision {
	if len(items) == 0 {
		return nil
	}
	to := r.placement.TargetOf(items[0].Request.Service, items[0].ID.Tenant)
	switch {
	case to < 0:
		to = from
	case r.splitsSpread(from, items):
		to = from
		r.PauseServices(now, []uint64{items[0].Request.Service})
	}
	r.ownership.NextEpoch()
	var decisions []OrphanDecision
	for _, item := range items {
		decisions = append(decisions, r.handOverItem(now, from, to, item))
	}
	return decisions
}

// splitsSpread reports whether tasks of a service that must be spread would be at two shards after a handover: a request for the service is
// on its way to the giver, which has not read it and leaves it out. Neither shard would count the other's tasks.
func (r *Router) splitsSpread(from int, items []HandoverItem) bool {
	held, spread := r.ownership.CountService(from, items[0].Request.Service, r.isSpread)
	return spread && held > len(items)
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
		r.addLost(now, item.ID, item.Request, r.ownership.Entry(item.ID).LastAttempt)
	}
	return d
}
