package shardrouter

import (
	"testing"

	"ravenpond/internal/decide/shardownership"
)

// drainSpreadService routes two requests of a service whose tasks must be spread, marks them as running, and has their shard drain. It returns
// the shard and what it holds.
func (r *Router) drainSpreadService(t *testing.T, service uint64) (source int, items []HandoverItem) {
	t.Helper()
	for key := 1; key <= 2; key++ {
		claim := r.mustRoute(t, 0, key, spread, service)
		r.markRunning(claim, shardownership.Attempt{Node: 3, Ticket: uint64(key)})
		source = claim.Shard
		items = append(items, HandoverItem{
			ID: claim.ID, Epoch: claim.Epoch, Running: true, Request: shardownership.Request{JobClass: spread, Service: service},
		})
	}
	r.draining[source] = true
	r.placement.MarkDraining(source)
	return source, items
}

// TestSpreadServiceStaysTogether hands over a service whose tasks must be spread, and then its new shard becomes slow. The service's next
// request must still go to the shard that holds the tasks.
//
// The test guards against a node that gets one task more of a service than its spread allows, which happened when the number of shards changed
// under load. A handover counted the tasks at their new shard but left the service without a home. Its next request went to the shard with
// the highest score by weight, which was another one as soon as events waited over 5 ms at a shard, and that shard counted none of the tasks.
func TestSpreadServiceStaysTogether(t *testing.T) {
	for service := range uint64(40) {
		r := newRouter(4)
		source, items := r.drainSpreadService(t, service)
		target := r.HandOver(100, source, items)[0].Shard
		delays := make([]float64, 4)
		delays[target] = 500
		for range 20 {
			r.CheckHealth(200, []float64{200, 200, 200, 200}, delays)
		}
		if d := r.Route(300, arrival(3, spread, service, 5000), idle); d.Shard != target {
			t.Errorf("service %d: shard %d holds its tasks, but its next request went to shard %d", service, target, d.Shard)
		}
	}
}

// TestSpreadServiceMovesWhole begins the handover of a service whose tasks must be spread while a request for it waits in its shard's inbox,
// where the shard's engine does not know of it yet. The service must stay until it can move as a whole, and get no new allocations while it
// moves.
//
// The test guards against a node that gets one task more of a service than its spread allows, which happened when the number of shards changed
// under load. The shard handed over the tasks that it knew, then read the request and placed it without counting them. The longer events
// wait, the more likely this is.
func TestSpreadServiceMovesWhole(t *testing.T) {
	const service = 7
	r := newRouter(4)
	source, items := r.drainSpreadService(t, service)
	inInbox := r.mustRoute(t, 50, 3, spread, service)
	if inInbox.Shard != source {
		t.Fatalf("request routed to shard %d, want shard %d, which holds its service", inInbox.Shard, source)
	}
	if r.BeginHandover(100, source, service, len(items)) {
		t.Error("the handover began without the request in the inbox")
	}
	next := func(now float64) Decision { return r.Route(now, arrival(4, spread, service, now+5000), idle) }
	if d := next(150); !d.IsRejected() {
		t.Error("a service that waits for its handover got a new allocation, want it paused")
	}
	items = append(items, HandoverItem{ID: inInbox.ID, Epoch: inInbox.Epoch, Request: shardownership.Request{JobClass: spread, Service: service}})
	if !r.BeginHandover(1000, source, service, len(items)) {
		t.Fatal("the handover did not begin although the shard knows all of the service's allocations")
	}
	if d := next(1001); !d.IsRejected() {
		t.Error("a service got a new allocation during its handover")
	}
	target := r.HandOver(1002, source, items)[0].Shard
	r.EndHandover(service)
	if d := next(1003); d.IsRejected() || d.Shard != target || target == source {
		t.Errorf("moved from shard %d to %d: next request got shard %d, reason %q, want the new shard, no reason", source, target, d.Shard, d.Reason)
	}
	if !r.BeginHandover(1004, target, service, 4) {
		t.Fatal("a second handover did not begin")
	}
	r.Fence(1005, target)
	if len(r.moving) > 0 {
		t.Error("the handover of a service goes on after its shard was fenced")
	}
}
