package logic

import (
	"math"
	"testing"
)

// TestUnavailableNodes checks that a node that is draining, is unavailable or is missing from a full list gets no new attempt (rule 3).
func TestUnavailableNodes(t *testing.T) {
	for _, c := range []struct {
		name  string
		setUp func(*harness)
		want  int
	}{
		{"ready", func(x *harness) {}, 1},
		{"draining", func(x *harness) { x.updateNode(10, Draining, 0) }, 0},
		{"unavailable", func(x *harness) { x.updateNode(10, Unavailable, 0) }, 0},
		{"missing from a full list", func(x *harness) { x.scheduler.OnListBegin(x.now, ListFull); x.scheduler.OnListEnd(x.now) }, 0},
		{"poll failed", func(x *harness) { x.scheduler.OnListBegin(x.now, ListFailed); x.scheduler.OnListEnd(x.now) }, 1},
	} {
		t.Run(c.name, func(t *testing.T) {
			x := newHarness(t, testCluster(), 1)
			c.setUp(x)
			x.request(1, 0, 5)
			x.expect("attempt", c.want)
		})
	}
}

// TestSpread checks that attempts in flight and recovered allocations count for the spread constraint, and allocations that have ended do not
// (rule 5).
func TestSpread(t *testing.T) {
	for _, c := range []struct {
		name  string
		scope SpreadScope
		max   int
		want  int
	}{
		{"one per node", PerNode, 1, 7},
		{"two per node", PerNode, 2, 15},
		{"one per cell", PerCell, 1, 3},
		{"one per zone", PerZone, 1, 1},
		{"no constraint", Anywhere, 1, 20},
	} {
		t.Run(c.name, func(t *testing.T) {
			cl := testCluster()
			cl.JobClasses[0].Spread, cl.JobClasses[0].MaxPerScope = c.scope, c.max
			x := newHarness(t, cl, 8)
			x.scheduler.OnRecovered(x.now, Recovered{Request: Request{Allocation: 99, Service: 5, Cores: 1, Memory: 2}, Node: 10})
			for id := range uint32(20) {
				x.request(id, 0, 5)
			}
			x.expect("attempt", c.want)
			x.scheduler.OnOutcome(x.now, AttemptResult{
				Allocation: 99, Node: 10, Duration: 9, Answered: true,
				Reason: Evicted, Outcome: ConnectionLost,
			})
			x.advance(100)
			x.expect("attempt", min(c.want+1, 20))
		})
	}
}

// TestCapacityFilter checks that a node gets no allocation beyond its overcommit limits of cores and memory.
func TestCapacityFilter(t *testing.T) {
	for _, c := range []struct {
		name          string
		cores, memory float64 // free resources in the report
		want          int
	}{
		{"empty", 40, 80, 1},
		{"too few cores", -39.5, 80, 0},
		{"just fits", -39, 80, 1},
		{"too little memory", 40, -39, 0},
		{"no report", math.NaN(), 0, 1},
	} {
		t.Run(c.name, func(t *testing.T) {
			x := newHarness(t, testCluster(), 1)
			if !math.IsNaN(c.cores) {
				x.scheduler.OnProbeResult(x.now, ProbeResult{
					Node: 10, Outcome: Completed, Duration: 1,
					Report: []float64{c.cores, c.memory},
				})
			}
			x.request(1, 0, 5)
			x.expect("attempt", c.want)
		})
	}
}

// TestUnansweredLimit checks the limit on own unanswered attempts at a node, and the backoff of a node whose queue is full.
func TestUnansweredLimit(t *testing.T) {
	for _, c := range []struct {
		name   string
		reason Reason
		delay  float64
		want   int
	}{
		{"no reason", ReasonUnknown, 0, maxUnanswered},
		{"queue full, during the backoff", QueueFull, queueFullBackoff - 1, maxUnanswered - 1},
		{"queue full, after the backoff", QueueFull, queueFullBackoff + 1, maxUnanswered},
	} {
		t.Run(c.name, func(t *testing.T) {
			x := newHarness(t, testCluster(), 1)
			for id := range uint32(40) {
				x.request(id, 0, 5)
			}
			x.expect("attempt", maxUnanswered)
			x.complete(0, 0, Rejected, c.reason)
			x.scheduler.Decide(x.now + scanInterval)
			x.scheduler.Decide(x.now + max(2*scanInterval, c.delay))
			if got := len(x.scheduler.nodes.all[0].unanswered); got != c.want {
				t.Errorf("got %d unanswered attempts, want %d", got, c.want)
			}
		})
	}
}
