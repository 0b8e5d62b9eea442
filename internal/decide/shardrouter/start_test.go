package shardrouter

import (
	"slices"
	"testing"
)

// TestSlowShardStart adds shards and takes longer to start them than a shard may be silent: none is fenced or started meanwhile. Then
// one can't be started, and is to be started again.
//
// The whole process ended with "index out of range" in the check of its shards, and callers lost all that was open. A shard was watched from
// the moment at which the number of shards was changed. To start one writes its incarnation to the disk; where that took over two seconds for
// those before it, the check asked to fence a shard that did not exist yet.
func TestSlowShardStart(t *testing.T) {
	r := newRouter(1)
	change := r.mustResize(t, 0, 4)
	now := 0.0
	check := func() Health {
		now += 100
		return r.CheckHealth(now, []float64{now}, []float64{0}) // only the first runs
	}
	for now < 6000 {
		if h := check(); len(h.Fence) > 0 || len(h.Restart) > 0 {
			t.Fatalf("at %.0f ms: fence %v, start %v, while they are started", now, h.Fence, h.Restart)
		}
	}
	r.OnStartFailed(now, change.Start[0])
	for end := now + 1000; ; {
		if h := check(); len(h.Restart) > 0 {
			if !slices.Equal(h.Restart, change.Start[:1]) {
				t.Errorf("%v are to be started", h.Restart)
			}
			return
		}
		if now > end {
			t.Fatal("a shard that could not be started is forgotten")
		}
	}
}
