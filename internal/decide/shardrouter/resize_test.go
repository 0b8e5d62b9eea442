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
			t.Errorf("Resize to %d shards succeeded, want an error", n)
		}
	}
}

func TestResize(t *testing.T) {
	r := newRouter(1)
	for key := range 40 {
		r.mustRoute(t, 0, key, restartable, uint64(key))
	}
	if change := r.mustResize(t, 0, 3); !slices.Equal(change.Start, []int{1, 2}) || len(change.Drain) > 0 || r.IsStopped(1) || !r.IsStopped(3) {
		t.Fatalf("resize to 3: got start %v, drain %v, want start [1 2], drain none, only shard 3 stopped", change.Start, change.Drain)
	}
	r.OnShardStarted(0, 1, 5)
	r.OnShardStarted(0, 2, 6)
	checkAddedShards(t, r)
	if change := r.mustResize(t, 9000, 2); !slices.Equal(change.Drain, []int{2}) || !r.IsDraining(2) {
		t.Errorf("resize to 2: got drain %v, want [2]", change.Drain)
	}
	if change := r.mustResize(t, 9000, 3); len(change.Start) > 0 || r.IsDraining(2) {
		t.Error("resize to 3: want the drain of shard 2 cancelled and no shard started")
	}
	r.mustResize(t, 9000, 2)
	checkDrained(t, r)
	if change := r.mustResize(t, 9200, 3); !slices.Equal(change.Start, []int{2}) {
		t.Errorf("resize to 3: got start %v, want [2]", change.Start)
	}
}

// checkDrained drains shard 2, which holds nothing.
func checkDrained(t *testing.T, r *Router) {
	t.Helper()
	if rest, ok := r.OnDrained(9100, 2); !ok || len(rest) > 0 || !r.IsStopped(2) {
		t.Errorf("got %v, %v, want none, true, and shard 2 stopped", rest, ok)
	}
	if _, ok := r.OnDrained(9100, 2); ok {
		t.Error("a shard that has ended was drained again")
	}
}

// checkAddedShards checks that shards that were added at 0 ms receive some of 40 services of shard 0 for a limited time.
func checkAddedShards(t *testing.T, r *Router) {
	t.Helper()
	moving := 0
	for service := range uint64(40) {
		if r.BelongsElsewhere(0, service, 0) {
			moving++
		}
	}
	if moving < 15 || moving > 38 || !r.HasHandover(100, 0) || r.HasHandover(9000, 0) {
		t.Errorf("got %d of 40 services that belong to added shards, want 15 to 38, and a handover at 100 ms but not at 9000 ms", moving)
	}
}

// TestHandOverToItself changes the set of shards after a shard has decided to hand a service over, so that the service belongs to that same
// shard again. The shard must keep the allocation under a new epoch, and the allocation must not await recovery forever.
func TestHandOverToItself(t *testing.T) {
	for name, change := range map[string]func(r *Router, source int){
		"drain cancelled":    func(r *Router, _ int) { _, _ = r.Resize(30, 2) },
		"other shard fenced": func(r *Router, source int) { r.Fence(30, 1-source) },
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
				t.Fatal("a service of a draining shard does not belong elsewhere")
			}
			change(r, claim.Shard)
			request := shardownership.Request{JobClass: atMostOnce, Service: service}
			moved := r.HandOver(40, claim.Shard, []HandoverItem{{ID: idOf(1), Request: request, Epoch: claim.Epoch, Running: true}})
			if len(moved) != 1 || moved[0].Disposition != shardownership.Reassign || moved[0].Shard != claim.Shard || moved[0].Epoch <= claim.Epoch {
				t.Fatalf("got decisions %+v, want one that reassigns to the same shard under a higher epoch", moved)
			}
			if _, ok := r.Recover(idOf(1), claim.Shard, request, attempt); !ok {
				t.Error("the owner could not recover the allocation")
			}
			if _, ok := r.OnUnrecoveredEnded(attempt); ok {
				t.Error("the allocation was recovered but still awaits recovery")
			}
		})
	}
}
