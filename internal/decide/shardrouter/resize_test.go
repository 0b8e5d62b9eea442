package shardrouter

import (
	"slices"
	"testing"

	"ravenpond/internal/decide/shardownership"
)

func (r *Router) mustResize(t *testing.T, now float64, shards int) Resize {
	t.Helper()
	change, err := r.Resize(now, shards)
	if err != nil {
		t.Fatal(err)
	}
	return change
}

func TestResizeOutOfRange(t *testing.T) {
	r := newRouter(1)
	for _, n := range []int{0, 5} {
		if _, err := r.Resize(0, n); err == nil {
			t.Errorf("%d shards were taken", n)
		}
	}
}

func TestResize(t *testing.T) {
	r := newRouter(1)
	for key := range 40 {
		r.mustRoute(t, 0, key, restartable, uint64(key))
	}
	if change := r.mustResize(t, 0, 3); !slices.Equal(change.Start, []int{1, 2}) || len(change.Drain) > 0 || r.IsStopped(1) || !r.IsStopped(3) {
		t.Fatalf("%v start, %v drain", change.Start, change.Drain)
	}
	r.OnShardStarted(0, 1, 5)
	r.OnShardStarted(0, 2, 6)
	checkAddedShards(t, r)
	if change := r.mustResize(t, 9000, 2); !slices.Equal(change.Drain, []int{2}) || !r.IsDraining(2) {
		t.Errorf("%v drain", change.Drain)
	}
	if change := r.mustResize(t, 9000, 3); len(change.Start) > 0 || r.IsDraining(2) {
		t.Error("not called back")
	}
	r.mustResize(t, 9000, 2)
	checkDrained(t, r)
	if change := r.mustResize(t, 9200, 3); !slices.Equal(change.Start, []int{2}) {
		t.Errorf("%v start again", change.Start)
	}
}

// checkDrained drains shard 2, which holds nothing.
func checkDrained(t *testing.T, r *Router) {
	t.Helper()
	if rest, ok := r.OnDrained(9100, 2); !ok || len(rest) > 0 || !r.IsStopped(2) {
		t.Errorf("%v, %v", rest, ok)
	}
	if _, ok := r.OnDrained(9100, 2); ok {
		t.Error("drained twice")
	}
}

// checkAddedShards checks that shards that were added at 0 draw some of 40 services of shard 0 for a while.
func checkAddedShards(t *testing.T, r *Router) {
	t.Helper()
	moving := 0
	for service := range uint64(40) {
		if r.BelongsElsewhere(0, service, 0) {
			moving++
		}
	}
	if moving < 15 || moving > 38 || !r.HasHandover(100, 0) || r.HasHandover(9000, 0) {
		t.Errorf("%d of 40 services belong to shards that were added", moving)
	}
}

// TestHandOverToItself has the number of shards change between the giver's decision and the handover: the giver keeps what it gives under a
// new epoch, and it is not lost.
func TestHandOverToItself(t *testing.T) {
	for name, change := range map[string]func(r *Router, giver int){
		"called back after it looked":      func(r *Router, _ int) { _, _ = r.Resize(30, 2) },
		"the other fenced after it looked": func(r *Router, giver int) { r.Fence(30, 1-giver) },
	} {
		t.Run(name, func(t *testing.T) {
			r := newRouter(2)
			service := uint64(0)
			for r.placement.TargetOf(service, 0) != 1 {
				service++
			}
			claim := r.mustRoute(t, 0, 1, atMostOnce, service)
			attempt := shardownership.Attempt{Node: 3, Ticket: 9}
			r.markRunning(claim, attempt)
			_, _ = r.Resize(10, 1)
			if !r.BelongsElsewhere(claim.Shard, service, 0) {
				t.Fatal("a draining shard keeps what it has")
			}
			change(r, claim.Shard)
			request := shardownership.Request{JobClass: atMostOnce, Service: service}
			moved := r.HandOver(40, claim.Shard, []HandoverItem{{ID: idOf(1), Request: request, Epoch: claim.Epoch, Running: true}})
			if len(moved) != 1 || moved[0].Disposition != shardownership.Reassign || moved[0].Shard != claim.Shard || moved[0].Epoch <= claim.Epoch {
				t.Fatalf("%+v", moved)
			}
			if _, ok := r.Recover(idOf(1), claim.Shard, request, attempt); !ok {
				t.Error("it cannot recover it")
			}
			if _, ok := r.OnLostEnded(attempt); ok {
				t.Error("it is held, yet counts as lost")
			}
		})
	}
}
