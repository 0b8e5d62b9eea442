package shardrouter

import (
	"cmp"
	"slices"

	"ravenpond/internal/decide/shardownership"
)

// recoveryTimeout is how long, in ms, an allocation that ran at a fenced shard may take to be reported by its node, which may be away.
const recoveryTimeout = 15000

// lostAllocation runs at a node, but no shard knows of it.
type lostAllocation struct {
	shardownership.Request
	attempt shardownership.Attempt
	until   float64
}

func (r *Router) addLost(now float64, id shardownership.ID, request shardownership.Request, attempt shardownership.Attempt) {
	r.lost[id] = lostAllocation{request, attempt, now + recoveryTimeout}
	r.lostByAttempt[attempt] = id
}

func (r *Router) removeLost(id shardownership.ID) {
	delete(r.lostByAttempt, r.lost[id].attempt)
	delete(r.lost, id)
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
	lost, wasLost := r.lost[id]
	if wasLost {
		r.removeLost(id)
		r.ownership.SetClient(shardownership.Claim{ID: id, Shard: shard, Epoch: epoch}, lost.Client, lost.Ref)
	}
	return Recovery{epoch, lost.Client, lost.Ref}, true
}

// OnLostEnded records the end of an attempt whose allocation no shard knows of, and returns its request, so that the client is notified
// of the end; false if there is none.
func (r *Router) OnLostEnded(attempt shardownership.Attempt) (request shardownership.Request, ok bool) {
	id, ok := r.lostByAttempt[attempt]
	if ok {
		request = r.lost[id].Request
		r.removeLost(id)
	}
	return request, ok
}

// expireLost returns the requests of allocations that were not recovered in time, in order of their clients.
func (r *Router) expireLost(now float64) []shardownership.Request {
	var expired []shardownership.Request
	for id, lost := range r.lost {
		if now > lost.until {
			r.removeLost(id)
			expired = append(expired, lost.Request)
		}
	}
	slices.SortFunc(expired, func(x, y shardownership.Request) int {
		return cmp.Or(cmp.Compare(x.Client, y.Client), cmp.Compare(x.Ref, y.Ref))
	})
	return expired
}
