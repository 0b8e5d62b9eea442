package logic

import (
	"fmt"
	"testing"
)

// requestWhileRejecting requests an allocation and rejects each attempt at node 10 with the reason that reject returns; an attempt at another
// node runs to completion.
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

// TestRejectionBackoff checks the backoff of a node that rejects everything for a reason other than lack of cores or memory, as a node does
// that drains without this scheduler having learned of it. The backoff grows and the node gets no second attempt of an allocation, also if
// later rejections come without a reason; it ends when the node becomes ready again. Rejections without a reason alone have no effect, because
// they may be due to lack of cores or memory.
func TestRejectionBackoff(t *testing.T) {
	for _, c := range []struct {
		name     string
		first    Reason
		then     Reason
		min, max int // attempts at the node within 3 s, with one request every 20 ms
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
				t.Errorf("got %d attempts at the node, want %d to %d", rejected, c.min, c.max)
			}
			x.updateNode(10, Unavailable, 0)
			x.updateNode(10, Ready, x.now)
			if x.scheduler.nodes.all[0].backoffUntil > x.now || x.scheduler.nodes.all[0].rejections > 0 {
				t.Error("got a backoff or counted rejections after the node became ready again, want none")
			}
		})
	}
}

// TestDegradedService checks that a node with degraded service gets no new allocations for some time, and that it is used again after it has
// given full service.
func TestDegradedService(t *testing.T) {
	for _, c := range []struct {
		name   string
		served []float64
		delay  float64
		want   bool // whether the node is expected to be used
	}{
		{"no measurement", nil, 0, true},
		{"full service", []float64{1, 1}, 0, true},
		{"no service", []float64{0}, 0, false},
		{"half service", []float64{0.5, 0.5}, 0, false},
		{"old measurement", []float64{0, 0}, degradationDecay + 1, true},
		{"full service again", []float64{0, 0, 1, 1, 1, 1, 1, 1, 1, 1}, 0, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			x := newHarness(t, testCluster(), 4)
			x.scheduler.OnRecovered(x.now, Recovered{Request: Request{Allocation: 1000, Service: 7, Cores: 1, Memory: 2}, Node: 10})
			for _, v := range c.served {
				x.scheduler.OnTaskMetric(x.now, TaskSample{Allocation: 1000, Node: 10, Metric: ServedShare, Value: v})
			}
			x.now += c.delay
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
				t.Errorf("node with the measurements used: got %t, want the opposite", used)
			}
		})
	}
}

// TestFailureHistory checks that a node at which one job class fails is used only for other job classes, also after an answered health check,
// which proves only that the node can be reached. The node is used again as failures decay, and nodes are used even if all of them fail.
func TestFailureHistory(t *testing.T) {
	for _, c := range []struct {
		name    string
		failing int // number of nodes, of four, at which the last attempts of job class 0 failed
		class   int
		delay   float64
		want    bool // whether the first node is expected to be used
	}{
		{"no node fails", 0, 0, 0, true},
		{"first node fails", 1, 0, 0, false},
		{"first node fails another class", 1, 1, 0, true},
		{"failures decayed", 1, 0, failureDecayInterval*historyLength + 1000, true},
		{"all nodes fail", 4, 0, 0, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			x := newHarness(t, testCluster(), 4)
			for i := range c.failing {
				for range historyLength {
					x.scheduler.nodes.all[i].health.record(0, 0)
				}
			}
			x.scheduler.OnProbeResult(x.now, ProbeResult{Node: 10, Outcome: Completed, Duration: 1})
			x.advance(c.delay)
			used := false
			for id := range uint32(18) {
				x.request(id, c.class, uint64(id))
				used = used || x.effects.lastNode() == 10
			}
			x.expect("attempt", 18)
			if used != c.want {
				t.Errorf("first node used: got %t, want the opposite", used)
			}
		})
	}
}

// TestOutcomeEffects checks which outcomes count as failures of a job class at a node, and which make the node count as unreachable.
func TestOutcomeEffects(t *testing.T) {
	for _, c := range []struct {
		outcome     Outcome
		failure     bool // whether it counts as a failure of the job class
		unreachable bool // whether it makes the node unreachable
	}{
		{TimedOut, true, false},
		{Errored, true, false},
		{ConnectionLost, true, false},
		{Rejected, false, false},
		{Unreachable, false, true},
		{NotSent, false, false},
		{Cancelled, false, false},
	} {
		t.Run(fmt.Sprint(c.outcome), func(t *testing.T) {
			x := newHarness(t, testCluster(), 1)
			x.request(1, 0, 5)
			x.complete(1, 0, c.outcome, ReasonUnknown)
			node := &x.scheduler.nodes.all[0]
			if got := node.health.failureRate(0) > 0; got != c.failure || node.health.unreachable != c.unreachable || node.health.failureRate(1) > 0 {
				t.Errorf("got failure rate %v (of another job class: %v), unreachable %t; want as in the case, and 0 for the other class",
					node.health.failureRate(0), node.health.failureRate(1), node.health.unreachable)
			}
		})
	}
}

// TestFaultyAllocation checks that an allocation that fails with errors at each node counts as faulty itself, and that its errors do not count
// against the nodes. Failures of other allocations still count, and errors at only two nodes count against these nodes.
func TestFaultyAllocation(t *testing.T) {
	for _, c := range []struct {
		name     string
		before   int // earlier failures of the job class at each node
		outcome  Outcome
		attempts int
		want     float64 // sum of the failure rates of all nodes
	}{
		{"errors at all nodes", 0, Errored, 4, 0},
		{"errors at two nodes", 0, Errored, 2, 0.5},
		{"time-outs at all nodes", 0, TimedOut, 4, 1},
		{"errors at all nodes after other failures", 1, Errored, 4, 1},
	} {
		t.Run(c.name, func(t *testing.T) {
			x := newHarness(t, testCluster(), 4)
			for i := range 4 * c.before {
				x.scheduler.nodes.all[i%4].health.record(0, 0)
			}
			x.request(1, 0, 5)
			for attempt := range c.attempts {
				x.complete(1, uint8(attempt), c.outcome, ReasonUnknown)
			}
			rateSum := 0.0
			for i := range x.scheduler.nodes.all {
				rateSum += x.scheduler.nodes.all[i].health.failureRate(0)
			}
			if rateSum != c.want {
				t.Errorf("sum of failure rates: got %v, want %v", rateSum, c.want)
			}
		})
	}
}

// TestFaultyAfterSuccess checks that an error of a faulty allocation is removed from a node's history also if other allocations succeeded at the
// node between the error and the detection of the fault. These successes stay in the history.
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
			if rate := x.scheduler.nodes.all[i].health.failureRate(0); rate != 0 {
				t.Errorf("%d successes after each error: got failure rate %v of node %d, want 0", successes, rate, i)
			}
		}
	}
}

// TestPause checks that no node counts as unresponsive because of a pause of the scheduler, after which timers fire before answers that arrived
// in the meantime.
func TestPause(t *testing.T) {
	x := newHarness(t, testCluster(), 1)
	x.request(1, 0, 5)
	x.now += 4000
	x.scheduler.OnTimer(x.now, timerTick) // in the same round, before the answer
	x.scheduler.OnStarted(x.now, 1, 0, 150)
	x.scheduler.Decide(x.now)
	x.expect("probe", 0)
	if x.scheduler.nodes.all[0].health.unreachable {
		t.Error("got an unreachable node after a pause of the scheduler, want a reachable one")
	}
}

// TestUnresponsiveNode checks that a node that does not answer counts as unreachable before its attempts time out, and as reachable after an
// answered probe.
func TestUnresponsiveNode(t *testing.T) {
	for _, c := range []struct {
		name        string
		silence     float64
		unreachable bool
	}{{"short silence", 500, false}, {"long silence", 4000, true}} {
		t.Run(c.name, func(t *testing.T) {
			x := newHarness(t, testCluster(), 2)
			x.request(1, 0, 5)
			node := &x.scheduler.nodes.all[x.scheduler.nodes.index[x.effects.lastNode()]]
			x.advance(c.silence)
			if node.health.unreachable != c.unreachable {
				t.Errorf("unreachable after the silence: got %t, want the opposite", node.health.unreachable)
			}
			x.advance(1200)
			x.scheduler.OnProbeResult(x.now, ProbeResult{Node: node.id, Outcome: Completed, Duration: 1})
			if node.health.unreachable {
				t.Error("got an unreachable node after an answered probe, want a reachable one")
			}
		})
	}
}
