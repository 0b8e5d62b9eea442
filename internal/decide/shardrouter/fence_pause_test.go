package shardrouter

import (
	"testing"

	"ravenpond/internal/decide/shardownership"
)

// TestSpreadServiceWaitsForRestart fences the shard of a service whose tasks must be spread. The service gets no new allocation until the shard
// has started again and the nodes have had time to report what runs, however late the start comes, within the limit of recovery.
//
// The test guards against a node that gets one task more of a service than its spread allows. The pause after a fence was 2.5 s, and on a busy
// machine the start took longer: the service's next shard placed tasks and counted none of those that ran.
func TestSpreadServiceWaitsForRestart(t *testing.T) {
	const service, fencedAt = 7, 100
	for _, c := range []struct {
		name      string
		startedAt float64 // 0: never
		resumesAt float64
	}{
		{"start in time", fencedAt + 300, fencedAt + pauseAfterFence},
		{"late start", fencedAt + 2600, fencedAt + 2600 + pauseAfterStart},
		{"no start", 0, fencedAt + recoveryTimeout},
	} {
		t.Run(c.name, func(t *testing.T) {
			r := newRouter(4)
			claim := r.mustRoute(t, 0, 1, spread, service)
			r.markRunning(claim, shardownership.Attempt{Node: 3, Ticket: 1})
			r.Fence(fencedAt, claim.Shard)
			for now := float64(fencedAt); now < c.startedAt; now += 50 {
				if d := r.Route(now, arrival(2, spread, service, now+5000), idle); d.Reason != ShardFenced {
					t.Fatalf("at %g ms: got reason %q before the start at %g ms, want the service paused", now, d.Reason, c.startedAt)
				}
			}
			if c.startedAt > 0 {
				r.OnShardStarted(c.startedAt, claim.Shard, 9)
			}
			for now := max(c.startedAt, fencedAt); now < c.resumesAt; now += 50 {
				if d := r.Route(now, arrival(2, spread, service, now+5000), idle); d.Reason != ShardFenced {
					t.Fatalf("at %g ms: got reason %q, want the service paused until %g ms", now, d.Reason, c.resumesAt)
				}
			}
			if d := r.Route(c.resumesAt+1, arrival(2, spread, service, c.resumesAt+5000), idle); d.IsRejected() {
				t.Errorf("after the pause: got reason %q, want the request routed", d.Reason)
			}
		})
	}
}
