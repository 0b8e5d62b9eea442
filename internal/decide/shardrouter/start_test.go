package shardrouter

import (
	"slices"
	"testing"
)

// TestSlowShardStart adds shards whose start takes longer than a shard may be silent. None of them may be fenced or started again meanwhile.
// Then the start of one fails, and it must be started again.
//
// The test guards against a panic "index out of range" in the check of the shards, which ended the whole process and lost all open requests.
// A shard used to be watched from the moment at which the number of shards was changed. Starting a shard writes its incarnation to the disk.
// If that took over two seconds for the shards before it, the check asked to fence a shard that did not exist yet.
func TestSlowShardStart(t *testing.T) {
	r := newRouter(1)
	change := r.mustResize(t, 0, 4)
	now := 0.0
	check := func() Health {
		now += 100
		return r.CheckHealth(now, []float64{now}, []float64{0}) // only the first shard runs
	}
	for now < 6000 {
		if h := check(); len(h.Fence) > 0 || len(h.Restart) > 0 {
			t.Fatalf("at %.0f ms, during the start: got fence %v, restart %v, want none", now, h.Fence, h.Restart)
		}
	}
	r.OnStartFailed(now, change.Start[0])
	for end := now + 1000; ; {
		if h := check(); len(h.Restart) > 0 {
			if !slices.Equal(h.Restart, change.Start[:1]) {
				t.Errorf("got restart %v, want only the shard whose start failed", h.Restart)
			}
			return
		}
		if now > end {
			t.Fatal("a shard whose start failed was not started again within 1000 ms")
		}
	}
}
