package logic

import "testing"

// TestUncertainNodeEndsRetries guards against repeats of a keyed allocation outside its scope: after an attempt that may have run at another node than the
// one it was sent to, it gets no further one. One that never ran, and repeats that all nodes recognise, are not affected.
func TestUncertainNodeEndsRetries(t *testing.T) {
	for _, c := range []struct {
		name    string
		scope   IdempotencyScope
		outcome Outcome
		attempt int
		failed  int
	}{
		{"an error", ScopeZone, Errored, 1, 1},
		{"rejected", ScopeZone, Rejected, 2, 0},
		{"an error, recognised by all nodes", ScopeAll, Errored, 2, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			cluster := testCluster()
			cluster.JobClasses[1].IdempotencyScope = c.scope
			x := newHarness(t, cluster, 4)
			x.request(1, 1, 1)
			x.scheduler.OnOutcome(x.now, AttemptResult{Allocation: 1, Node: x.effects.lastNode(), NodeUncertain: true, Outcome: c.outcome, Reason: NotAccepting})
			x.scheduler.Decide(x.now)
			x.advance(scanInterval)
			x.expect("attempt", c.attempt)
			x.expect("fail", c.failed)
		})
	}
}

// TestRetryAvoidsUncertainNodes checks that a keyed allocation that may have run is sent again only to a node of its zone that is known to be reached.
func TestRetryAvoidsUncertainNodes(t *testing.T) {
	x := newHarness(t, testCluster(), 4)
	x.request(1, 1, 1)
	first := x.effects.lastNode()
	for id := uint32(10); id < 14; id++ {
		x.scheduler.SetNodeIdentity(x.now, id, false)
	}
	x.complete(1, 0, Errored, ReasonUnknown)
	x.advance(scanInterval)
	x.expect("attempt", 1)
	x.expect("fail", 0)
	known := 10 + (first-10+1)%4
	x.scheduler.SetNodeIdentity(x.now, known, true)
	x.advance(scanInterval)
	x.expect("attempt", 2)
	if got := x.effects.lastNode(); got != known {
		t.Errorf("got the retry at node %d, want %d", got, known)
	}
	x.request(2, 1, 2)
	x.expect("attempt", 3)
}
