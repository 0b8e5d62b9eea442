package logic

import (
	"fmt"
	"testing"
)

// requestWhileRejecting asks for an allocation and has each attempt at node 10 rejected for a reason; an attempt at another node runs.
func (x *harness) requestWhileRejecting(id uint32, reject func() Reason) {
	before := x.effects.count("attempt")
	x.request(id, 0, uint64(id))
	for attempt := uint8(0); x.effects.count("attempt") > before; attempt++ {
		before = x.effects.count("attempt")
		if x.effects.lastNode() != 10 {
			x.scheduler.OnStarted(x.now, id, attempt, 50)
			x.scheduler.OnOutcome(x.now, AttemptResult{
				Allocation: id, Node: 11, Attempt: attempt, Duration: 100, Answered: true, Outcome: Completed,
			})
			break
		}
		x.complete(id, attempt, Rejected, reject())
	}
}

// TestRejectionBackoff checks a node that rejects everything for a reason other than lack of room, as one does that drains without this
// scheduler's knowledge: its backoff grows and it takes no allocation's attempts twice, also when it gives no reason any more; its return
// ends that. A rejection without a reason alone may be for lack of room, and has no effect.
func TestRejectionBackoff(t *testing.T) {
	for _, c := range []struct {
		name     string
		first    Reason
		then     Reason
		min, max int // attempts at it within 3 s of one allocation each 20 ms
	}{
		{"not accepting", NotAccepting, NotAccepting, 3, 8},
		{"not accepting, then no reason", NotAccepting, ReasonUnknown, 3, 8},
		{"no reason", ReasonUnknown, ReasonUnknown, 20, 600},
	} {
		t.Run(c.name, func(t *testing.T) {
			x := newHarness(t, testCluster(), 2)
			rejected := 0
			reject := func() Reason {
				if rejected++; rejected == 1 {
					return c.first
				}
				return c.then
			}
			for id := range uint32(150) {
				x.requestWhileRejecting(id, reject)
				x.now += scanInterval
			}
			if rejected < c.min || rejected > c.max {
				t.Errorf("%d attempts at the node, want %d to %d", rejected, c.min, c.max)
			}
			x.updateNode(10, Unavailable, 0)
			x.updateNode(10, Ready, x.now)
			if x.scheduler.nodes.all[0].backoffUntil > x.now || x.scheduler.nodes.all[0].rejections > 0 {
				t.Error("it still backs off after its return")
			}
		})
	}
}

// TestDegradedService checks that degraded service on a node keeps others off it for a while, and that one that serves in full again is used.
func TestDegradedService(t *testing.T) {
	for _, c := range []struct {
		name   string
		served []float64
		after  float64
		want   bool // whether the node is used
	}{
		{"no measurement", nil, 0, true},
		{"served in full", []float64{1, 1}, 0, true},
		{"not served", []float64{0}, 0, false},
		{"half served", []float64{0.5, 0.5}, 0, false},
		{"forgotten", []float64{0, 0}, degradationDecay + 1, true},
		{"served again", []float64{0, 0, 1, 1, 1, 1, 1, 1, 1, 1}, 0, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			x := newHarness(t, testCluster(), 4)
			x.scheduler.OnRecovered(x.now, Recovered{Request: Request{Allocation: 1000, Service: 7, Cores: 1, Memory: 2}, Node: 10})
			for _, v := range c.served {
				x.scheduler.OnTaskMetric(x.now, TaskSample{Allocation: 1000, Node: 10, Metric: ServedShare, Value: v})
			}
			x.now += c.after
			used := false
			for id := range uint32(40) {
				x.request(id, 0, uint64(id))
				used = used || x.effects.lastNode() == 10
				x.scheduler.OnStarted(x.now, id, 0, 50)
				x.scheduler.OnOutcome(x.now, AttemptResult{
					Allocation: id, Node: x.effects.lastNode(), Duration: 100,
					Answered: true, Outcome: Completed,
				})
			}
			if x.expect("attempt", 40); used != c.want {
				t.Errorf("the node is used: %t", used)
			}
		})
	}
}

// TestFailureHistory checks that a node that fails one job class is left to others, also after an answered health check, which proves only that
// it can be reached; it comes back as failures decay, and if all nodes fail, work goes on.
func TestFailureHistory(t *testing.T) {
	for _, c := range []struct {
		name  string
		bad   int // how many of four nodes failed their last attempts of job class 0
		class int
		later float64
		want  bool // whether the first node is used
	}{
		{"none fails", 0, 0, 0, true},
		{"one fails", 1, 0, 0, false},
		{"serves others", 1, 1, 0, true},
		{"forgotten", 1, 0, failureDecayInterval*historyLength + 1000, true},
		{"all fail", 4, 0, 0, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			x := newHarness(t, testCluster(), 4)
			for i := range c.bad {
				for range historyLength {
					x.scheduler.nodes.all[i].health.record(0, 0)
				}
			}
			x.scheduler.OnProbeResult(x.now, ProbeResult{Node: 10, Outcome: Completed, Duration: 1})
			x.advance(c.later)
			used := false
			for id := range uint32(18) {
				x.request(id, c.class, uint64(id))
				used = used || x.effects.lastNode() == 10
			}
			x.expect("attempt", 18)
			if used != c.want {
				t.Errorf("first node used: %t", used)
			}
		})
	}
}

// TestOutcomeEffects checks which outcomes count as failures of a job class at a node, and which as unreachable.
func TestOutcomeEffects(t *testing.T) {
	for _, c := range []struct {
		v           Outcome
		risk        bool
		unreachable bool
	}{
		{TimedOut, true, false},
		{Errored, true, false},
		{ConnectionLost, true, false},
		{Rejected, false, false},
		{Unreachable, false, true},
		{NotSent, false, false},
		{Cancelled, false, false},
	} {
		t.Run(fmt.Sprint(c.v), func(t *testing.T) {
			x := newHarness(t, testCluster(), 1)
			x.request(1, 0, 5)
			x.complete(1, 0, c.v, ReasonUnknown)
			node := &x.scheduler.nodes.all[0]
			if got := node.health.failureRate(0) > 0; got != c.risk || node.health.unreachable != c.unreachable || node.health.failureRate(1) > 0 {
				t.Errorf("failure rate %v, of another class %v, unreachable %t", node.health.failureRate(0), node.health.failureRate(1), node.health.unreachable)
			}
		})
	}
}

// TestFaultyAllocation checks that an allocation that errs wherever it goes is taken to be faulty itself and no node is judged by it. Failures
// before it still count, and errors at two nodes alone count against them.
func TestFaultyAllocation(t *testing.T) {
	for _, c := range []struct {
		name     string
		before   int // failures of the job class at each node
		v        Outcome
		attempts int
		want     float64 // failure rates of all nodes together
	}{
		{"errs everywhere", 0, Errored, 4, 0},
		{"errs at two", 0, Errored, 2, 0.5},
		{"times out everywhere", 0, TimedOut, 4, 1},
		{"after failures of others", 1, Errored, 4, 1},
	} {
		t.Run(c.name, func(t *testing.T) {
			x := newHarness(t, testCluster(), 4)
			for i := range 4 * c.before {
				x.scheduler.nodes.all[i%4].health.record(0, 0)
			}
			x.request(1, 0, 5)
			for attempt := range c.attempts {
				x.complete(1, uint8(attempt), c.v, ReasonUnknown)
			}
			risk := 0.0
			for i := range x.scheduler.nodes.all {
				risk += x.scheduler.nodes.all[i].health.failureRate(0)
			}
			if risk != c.want {
				t.Errorf("failure rates %v, want %v", risk, c.want)
			}
		})
	}
}

// TestFaultyAfterSuccess has nodes serve others between a faulty allocation's error and the moment in which it is found to be faulty: the error
// is taken back, and the successes since stay.
func TestFaultyAfterSuccess(t *testing.T) {
	for successes := range 3 {
		x := newHarness(t, testCluster(), 4)
		x.request(1, 0, 5)
		for attempt := range 3 {
			x.complete(1, uint8(attempt), Errored, ReasonUnknown)
			for i := range x.scheduler.nodes.all {
				for range successes {
					x.scheduler.nodes.all[i].health.record(0, 1)
				}
			}
		}
		x.complete(1, 3, Errored, ReasonUnknown)
		for i := range x.scheduler.nodes.all {
			if risk := x.scheduler.nodes.all[i].health.failureRate(0); risk != 0 {
				t.Errorf("%d successes since: failure rate %v of node %d, want 0", successes, risk, i)
			}
		}
	}
}

// TestPause checks a scheduler that was paused: it finds answers behind its timers and takes no node to be silent for that.
func TestPause(t *testing.T) {
	x := newHarness(t, testCluster(), 1)
	x.request(1, 0, 5)
	x.now += 4000
	x.scheduler.OnTimer(x.now, timerTick) // in the same round, before the answer
	x.scheduler.OnStarted(x.now, 1, 0, 150)
	x.scheduler.Decide(x.now)
	x.expect("probe", 0)
	if x.scheduler.nodes.all[0].health.unreachable {
		t.Error("a node was taken to be silent while the scheduler was paused")
	}
}

// TestSilence checks that a node that answers nothing is left out before its attempts time out, and comes back with an answered probe.
func TestSilence(t *testing.T) {
	for _, c := range []struct {
		name        string
		silence     float64
		unreachable bool
	}{{"answers soon", 500, false}, {"silent", 4000, true}} {
		t.Run(c.name, func(t *testing.T) {
			x := newHarness(t, testCluster(), 2)
			x.request(1, 0, 5)
			node := &x.scheduler.nodes.all[x.scheduler.nodes.index[x.effects.lastNode()]]
			x.advance(c.silence)
			if node.health.unreachable != c.unreachable {
				t.Errorf("unreachable: %t", node.health.unreachable)
			}
			x.advance(1200)
			x.scheduler.OnProbeResult(x.now, ProbeResult{Node: node.id, Outcome: Completed, Duration: 1})
			if node.health.unreachable {
				t.Error("a node that answers stays unreachable")
			}
		})
	}
}
