package baseline

import (
	"slices"
	"testing"

	"ravenpond/logic"
)

// recorder implements logic.Effects: it records attempts and counts final answers.
type recorder struct {
	attempts     map[uint32][]uint32
	shed, failed int
}

func (r *recorder) StartAttempt(alloc, node uint32, _ float64) {
	r.attempts[alloc] = append(r.attempts[alloc], node)
}
func (r *recorder) Shed(uint32, float64)     { r.shed++ }
func (r *recorder) Fail(uint32)              { r.failed++ }
func (r *recorder) Cancel(uint32, uint8)     {}
func (r *recorder) Migrate(uint32)           {}
func (r *recorder) Probe(uint32)             {}
func (r *recorder) WatchList(bool)           {}
func (r *recorder) ReloadList()              {}
func (r *recorder) SetTimer(float64, uint64) {}
func (r *recorder) Log(string)               {}

// testCluster has three job classes, one of each retry semantics.
func testCluster() *logic.Cluster {
	return &logic.Cluster{MaxAttempts: 3, KindCores: []float64{10}, KindMemory: []float64{10}, JobClasses: []logic.JobClass{
		{Semantics: logic.Restartable, NodeKind: -1},
		{Semantics: logic.Idempotent, IdempotencyScope: logic.ScopeZone, IdempotencyWindow: 1000, NodeKind: -1},
		{Semantics: logic.AtMostOnce, NodeKind: -1},
	}}
}

// listNodes delivers a list of six ready nodes in two zones, of which the last has the most free cores, and a draining node.
func listNodes(policy logic.EventHandler) {
	policy.OnListBegin(0, logic.ListFull)
	for i := range uint32(6) {
		policy.OnListNode(0, logic.ListEntry{Node: i + 1, Availability: logic.Ready, FreeCores: float64(i), FreeMemory: 10, Zone: int(i / 3)})
	}
	policy.OnListNode(0, logic.ListEntry{Node: 7, Availability: logic.Draining, FreeCores: 10, FreeMemory: 10})
	policy.OnListEnd(0)
}

// complete delivers the outcome of the last attempt of an allocation.
func (r *recorder) complete(policy logic.EventHandler, now float64, alloc uint32, outcome logic.Outcome, reason logic.Reason) {
	attempts := r.attempts[alloc]
	last := len(attempts) - 1
	policy.OnOutcome(now, logic.AttemptResult{
		Allocation: alloc, Node: attempts[last], Attempt: uint8(last), Duration: 100, Reason: reason, Outcome: outcome,
	})
}

// TestPolicies checks that each policy keeps the rules of retry semantics and gives final answers.
func TestPolicies(t *testing.T) {
	for _, name := range PolicyNames {
		t.Run(name, func(t *testing.T) { checkPolicy(t, name) })
	}
}

func checkPolicy(t *testing.T, name string) {
	t.Helper()
	r := &recorder{attempts: map[uint32][]uint32{}}
	p := Factory(name)(r, 0, 1, testCluster())
	listNodes(p)
	for class := range 3 {
		p.OnRequest(0, logic.Request{Allocation: uint32(class + 1), Class: class, Deadline: 5000, Service: 9, Cores: 1, Memory: 1})
	}
	p.Decide(0)
	if name == leastLoaded && r.attempts[1][0] != 6 {
		t.Errorf("got first attempt at node %d, want 6, the least loaded", r.attempts[1][0])
	}
	for id := range uint32(3) {
		r.complete(p, 100, id+1, logic.TimedOut, logic.ReasonUnknown)
	}
	p.Decide(100)
	if len(r.attempts[1]) != 2 || len(r.attempts[2]) != 2 || len(r.attempts[3]) != 1 || r.failed != 1 {
		t.Errorf("got attempts %v and %d failed, want 2, 2 and 1 attempts of allocations 1, 2 and 3, and 1 failed", r.attempts, r.failed)
	}
	if first, second := r.attempts[2][0], r.attempts[2][1]; (first-1)/3 != (second-1)/3 || second == first {
		t.Errorf("got idempotent attempts at nodes %d and %d, want two nodes of one zone", first, second)
	}
	r.complete(p, 1500, 2, logic.TimedOut, logic.ReasonUnknown)
	p.Decide(1500)
	if r.failed != 2 {
		t.Error("idempotent allocation attempted again after its window, want it failed")
	}
	r.complete(p, 1600, 1, logic.Rejected, logic.InsufficientCores)
	p.Decide(6000)
	if r.shed != 1 {
		t.Errorf("got %d shed after the deadline, want 1", r.shed)
	}
	for _, nodes := range r.attempts {
		if slices.Contains(nodes, 7) {
			t.Error("got an attempt at the draining node 7, want none")
		}
	}
}
