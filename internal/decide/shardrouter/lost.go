package shardrouter

import (
	"cmp"
	"slices"

	"ravenpond/internal/decide/shardownership"
)

// recoveryTimeout is how long, in ms, an allocation that ran at a fenced shard may take to be reported by its node, which may be away.
const recoveryTimeout = 15000

// unrecoveredAllocation runs at a node, but no shard knows of it.
type unrecoveredAllocation struct {
	shardownership.Request
	attempt   shardownership.Attempt
	recoverBy float64
}

func (r *Router) addUnrecovered(now float64, id shardownership.ID, request shardownership.Request, attempt shardownership.Attempt) {
	r.unrecovered[id] = unrecoveredAllocation{request, attempt, now + recoveryTimeout}
	r.unrecoveredByAttempt[attempt] = id
}

func (r *Router) removeUnrecovered(id shardownership.ID) {
	delete(r.unrecoveredByAttempt, r.unrecovered[id].attempt)
	delete(r.unrecovered, id)
}

// Recovery is a recovered allocation's epoch, and the client that waits for news of it; 0 if none does.
type Recovery struct {
	Epoch  uint32
	Client uint32
	Ref    uint64
}

// Recover gives an allocation that a node reports as running to a shard; false if another shard acts for it.
func (r *Router) Recover(id shardownership.ID, shard int, request shardownership.Request, attempt shardownership.Attempt) (Recovery, bool) {
	before := r.ownership.Len()
	epoch, ok := r.ownership.Recover(id, shard, request, attempt)
	if !ok {
		return Recovery{}, false
	}
	if r.ownership.Len() > before {
		r.placement.Add(shard, request.Service)
	}
	previous, wasUnrecovered := r.unrecovered[id]
	if wasUnrecovered {
		r.removeUnrecovered(id)
		r.ownership.SetClient(shardownership.Claim{ID: id, Shard: shard, Epoch: epoch}, previous.Client, previous.Ref)
	}
	return Recovery{epoch, previous.Client, previous.Ref}, true
}

// OnLostEnded records the end of an attempt whose allocation no shard knows of, and returns its request, so that the client is notified
// of the end; false if there is none.
func (r *Router) OnLostEnded(attempt shardownership.Attempt) (request shardownership.Request, ok bool) {
	id, ok := r.unrecoveredByAttempt[attempt]
	if ok {
		request = r.unrecovered[id].Request
		r.removeUnrecovered(id)
	}
	return request, ok
}

// expireUnrecovered returns the requests of allocations that were not recovered in time, in order of their clients.
func (r *Router) expireUnrecovered(now float64) []shardownership.Request {
	var expired []shardownership.Request
	for id, allocation := range r.unrecovered {
		if now > allocation.recoverBy {
			r.removeUnrecovered(id)
			expired = append(expired, allocation.Request)
		}
	}
	slices.SortFunc(expired, func(x, y shardownership.Request) int {
		return cmp.Or(cmp.Compare(x.Client, y.Client), cmp.Compare(x.Ref, y.Ref))
	})
	return expired
}
