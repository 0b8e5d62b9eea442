package shardrouter

import (
	"testing"

	"ravenpond/internal/decide/shardownership"
)

// drainSpreadService routes two requests of a spread service, whose tasks run, and drains their shard. It returns what the shard holds.
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

// TestSpreadServiceStaysTogether hands a spread service over and has its new shard be slow before the service's next request: the request goes
// to the shard that holds the tasks.
//
// Callers saw one task more of a service on a node than its spread allows (rule 5) while the number of shards changed under load. A handover
// counted the tasks at their new shard but left the service without a home. Its next request went to the shard that is drawn for it by weight,
// another one as soon as events waited over 5 ms at a shard, and that shard counted none of the tasks.
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
			t.Errorf("service %d: its tasks are at shard %d, its next request goes to %d", service, target, d.Shard)
		}
	}
}

// TestSpreadServiceMovesWhole begins to hand a spread service over while a request for it waits in its shard's inbox, which the shard knows
// nothing of: the service stays until it can move as a whole, and gets nothing new while it moves.
//
// Callers saw one task more of a service on a node than its spread allows (rule 5) while the number of shards changed under load. The shard
// gave the tasks that it knew away, then read the request and placed it without counting them. The longer events wait, the likelier it is.
func TestSpreadServiceMovesWhole(t *testing.T) {
	const service = 7
	r := newRouter(4)
	source, items := r.drainSpreadService(t, service)
	inInbox := r.mustRoute(t, 50, 3, spread, service)
	if inInbox.Shard != source {
		t.Fatalf("routed to %d, its service is at %d", inInbox.Shard, source)
	}
	if r.BeginHandover(100, source, service, len(items)) {
		t.Error("given without the request in the inbox")
	}
	next := func(now float64) Decision { return r.Route(now, arrival(4, spread, service, now+5000), idle) }
	if d := next(150); !d.IsRejected() {
		t.Error("a service that waits for its handover is not paused")
	}
	items = append(items, HandoverItem{ID: inInbox.ID, Epoch: inInbox.Epoch, Request: shardownership.Request{JobClass: spread, Service: service}})
	if !r.BeginHandover(1000, source, service, len(items)) {
		t.Fatal("not given though the shard knows all of it")
	}
	if d := next(1001); !d.IsRejected() {
		t.Error("a service that moves gets something new")
	}
	target := r.HandOver(1002, source, items)[0].Shard
	r.EndHandover(service)
	if d := next(1003); d.IsRejected() || d.Shard != target || target == source {
		t.Errorf("moved from %d to %d, the next request goes to %d, %s", source, target, d.Shard, d.Reason)
	}
	if !r.BeginHandover(1004, target, service, 4) {
		t.Fatal("not given again")
	}
	r.Fence(1005, target)
	if len(r.moving) > 0 {
		t.Error("a service moves for ever from a shard that was fenced")
	}
}
