package shardrouter

import (
	"cmp"
	"slices"

	"ravenpond/internal/decide/shardownership"
)

// recoveryTimeout is how long, in ms, a running allocation may await recovery: its node may be disconnected and report it late.
const recoveryTimeout = 15000

// unrecoveredAllocation runs at a node, but no shard's engine knows of it yet, because its shard was fenced or handed it over.
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

// Recovery describes a recovered allocation: its epoch, the client that is notified of it, and the client's number of the request. Client and
// Ref are 0 if no client is to be notified.
type Recovery struct {
	Epoch  uint32
	Client uint32
	Ref    uint64
}

// Recover assigns an allocation that a node reports as running to a shard. It returns false if another shard owns the allocation.
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

// OnUnrecoveredEnded records the end of an attempt whose allocation awaits recovery. It returns the request, so that the client is notified of the
// end, and false if no such allocation awaits recovery.
func (r *Router) OnUnrecoveredEnded(attempt shardownership.Attempt) (request shardownership.Request, ok bool) {
	id, ok := r.unrecoveredByAttempt[attempt]
	if ok {
		request = r.unrecovered[id].Request
		r.removeUnrecovered(id)
	}
	return request, ok
}

// expireUnrecovered removes the allocations that were not recovered in time, and returns their requests in order of clients and Ref.
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
