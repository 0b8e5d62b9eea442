package baseline

import (
	"slices"
	"testing"

	"ravenpond/logic"
)

// recorder implements logic.Effects: it keeps attempts and counts final answers.
type recorder struct {
	attempts     map[uint32][]uint32
	shed, failed int
}

func (d *recorder) StartAttempt(alloc, node uint32, _ float64) {
	d.attempts[alloc] = append(d.attempts[alloc], node)
}
func (d *recorder) Shed(uint32, float64)     { d.shed++ }
func (d *recorder) Fail(uint32)              { d.failed++ }
func (d *recorder) Cancel(uint32, uint8)     {}
func (d *recorder) Migrate(uint32)           {}
func (d *recorder) Probe(uint32)             {}
func (d *recorder) WatchList(bool)           {}
func (d *recorder) ReloadList()              {}
func (d *recorder) SetTimer(float64, uint64) {}
func (d *recorder) Log(string)               {}

// testCluster has three job classes, one of each retry semantics.
func testCluster() *logic.Cluster {
	return &logic.Cluster{MaxAttempts: 3, KindCores: []float64{10}, KindMemory: []float64{10}, JobClasses: []logic.JobClass{
		{Semantics: logic.Restartable, NodeKind: -1},
		{Semantics: logic.Idempotent, IdempotencyScope: logic.ScopeZone, IdempotencyWindow: 1000, NodeKind: -1},
		{Semantics: logic.AtMostOnce, NodeKind: -1},
	}}
}

// listNodes delivers six ready nodes in two zones, of which the last has the most room, and a draining one.
func listNodes(policy logic.EventHandler) {
	policy.OnListBegin(0, logic.ListFull)
	for i := range uint32(6) {
		policy.OnListNode(0, logic.ListEntry{Node: i + 1, Availability: logic.Ready, FreeCores: float64(i), FreeMemory: 10, Zone: int(i / 3)})
	}
	policy.OnListNode(0, logic.ListEntry{Node: 7, Availability: logic.Draining, FreeCores: 10, FreeMemory: 10})
	policy.OnListEnd(0)
}

// complete delivers an outcome of the last attempt of an allocation.
func (d *recorder) complete(policy logic.EventHandler, now float64, alloc uint32, outcome logic.Outcome, why logic.Reason) {
	attempts := d.attempts[alloc]
	last := len(attempts) - 1
	policy.OnOutcome(now, logic.AttemptResult{
		Allocation: alloc, Node: attempts[last], Attempt: uint8(last), Duration: 100, Reason: why, Outcome: outcome,
	})
}

// TestPolicies checks of each policy that it keeps the rules of retry semantics and gives final answers.
func TestPolicies(t *testing.T) {
	for _, name := range PolicyNames {
		t.Run(name, func(t *testing.T) { checkPolicy(t, name) })
	}
}

func checkPolicy(t *testing.T, name string) {
	t.Helper()
	d := &recorder{attempts: map[uint32][]uint32{}}
	p := Factory(name)(d, 0, 1, testCluster())
	listNodes(p)
	for class := range 3 {
		p.OnRequest(0, logic.Request{Allocation: uint32(class + 1), Class: class, Deadline: 5000, Service: 9, Cores: 1, Memory: 1})
	}
	p.Decide(0)
	if name == leastLoaded && d.attempts[1][0] != 6 {
		t.Errorf("attempt at node %d", d.attempts[1][0])
	}
	for id := range uint32(3) {
		d.complete(p, 100, id+1, logic.TimedOut, logic.ReasonUnknown)
	}
	p.Decide(100)
	if len(d.attempts[1]) != 2 || len(d.attempts[2]) != 2 || len(d.attempts[3]) != 1 || d.failed != 1 {
		t.Errorf("attempts %v, %d failed", d.attempts, d.failed)
	}
	if first, second := d.attempts[2][0], d.attempts[2][1]; (first-1)/3 != (second-1)/3 || second == first {
		t.Errorf("idempotent attempt at %d, then %d", first, second)
	}
	d.complete(p, 1500, 2, logic.TimedOut, logic.ReasonUnknown)
	p.Decide(1500)
	if d.failed != 2 {
		t.Error("idempotent allocation attempted after its window")
	}
	d.complete(p, 1600, 1, logic.Rejected, logic.InsufficientCores)
	p.Decide(6000)
	if d.shed != 1 {
		t.Errorf("%d shed after the deadline", d.shed)
	}
	for _, nodes := range d.attempts {
		if slices.Contains(nodes, 7) {
			t.Error("attempt at a draining node")
		}
	}
}
