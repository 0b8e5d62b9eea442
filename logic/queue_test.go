package logic

import (
	"math/rand/v2"
	"slices"
	"testing"
)

// newLoadHarness starts a scheduler with four nodes of two kinds for random loads.
func newLoadHarness(t *testing.T, seed uint64) *harness {
	t.Helper()
	cl := testCluster()
	cl.SlowStartLimit = 0
	cl.JobClasses[1].NodeKind, cl.JobClasses[1].PriorityWeight = 0, 0.5
	cl.JobClasses[2].Spread, cl.JobClasses[2].MaxPerScope, cl.JobClasses[2].PriorityWeight = PerNode, 1, 0.5
	cl.FleetPrice = float64(seed % 2)
	x := newHarness(t, cl, 3)
	x.scheduler.OnListBegin(x.now, ListChanges)
	x.scheduler.OnListNode(x.now, ListEntry{Node: 13, Availability: Ready, FreeCores: 64, FreeMemory: 128, Kind: 1})
	x.scheduler.OnListEnd(x.now)
	last := &x.scheduler.nodes.all[3]
	last.warmingUntil, last.health.lastAnswerAt = 0, x.now
	return x
}

// drawRequest runs a round with one random request.
func (x *harness) drawRequest(rng *rand.Rand, id uint32) {
	x.now += 100 * rng.Float64()
	size := float64(1 + rng.IntN(12))
	x.scheduler.OnRequest(x.now, Request{
		Allocation: id, Class: rng.IntN(3), Deadline: x.now + 3000 + 4000*rng.Float64(), Service: uint64(1 + rng.IntN(5)),
		Cores: size, Memory: 2 * size * rng.Float64(),
	})
	if rng.IntN(3) == 0 {
		x.scheduler.OnTimer(x.now, timerTick)
	}
	x.scheduler.OnTimer(x.now, timerScan)
	x.scheduler.Decide(x.now)
}

// drawOutcome delivers a random start or outcome of one attempt in flight, and reports whether there is one.
func (x *harness) drawOutcome(rng *rand.Rand) bool {
	inFlight := slices.DeleteFunc(slices.Clone(x.scheduler.allocations.all), func(a allocation) bool { return !a.inFlight })
	if len(inFlight) == 0 {
		return false
	}
	a := inFlight[rng.IntN(len(inFlight))]
	attempt := uint8(a.attempts - 1)
	if !a.running && rng.IntN(2) == 0 {
		x.scheduler.OnStarted(x.now, a.id, attempt, 50)
		return true
	}
	outcome := []Outcome{Completed, Rejected, Errored, TimedOut, Unreachable}[rng.IntN(5)]
	report := []float64{40 * rng.Float64(), 80 * rng.Float64()}
	x.scheduler.OnOutcome(x.now, AttemptResult{
		Allocation: a.id, Node: x.scheduler.nodes.all[a.node].id, Attempt: attempt, Duration: 50,
		Reason:  []Reason{ReasonUnknown, InsufficientCores, InsufficientMemory, NotAccepting}[rng.IntN(4)],
		Outcome: outcome, Report: report,
	})
	return true
}

// checkPlaced fails the test if an allocation waits although some node accepts it.
func (x *harness) checkPlaced(seed uint64) {
	x.t.Helper()
	s := x.scheduler
	for _, i := range s.queue.waiting {
		a := &s.allocations.all[i]
		for n := range s.nodes.all {
			if node := &s.nodes.all[n]; node.availability == Ready && s.nodeAccepts(a, node) && s.allocationAllows(a, n, node) {
				x.t.Fatalf("seed %d: allocation %d waits, but node %d accepts it", seed, a.id, node.id)
			}
		}
	}
}

// checkSums fails the test if a cached sum differs from the sum of the last report and the changes since.
func (x *harness) checkSums(seed uint64) {
	x.t.Helper()
	for n := range x.scheduler.nodes.all {
		node := &x.scheduler.nodes.all[n]
		cached := node.capacity.allocated()
		node.capacity.sumValid = false
		if summed := node.capacity.allocated(); cached != summed {
			x.t.Fatalf("seed %d: node %d: resources summed from the changes are %+v, but the cached sum is %+v", seed, node.id, summed, cached)
		}
	}
}

// TestQueueFullyPlaced runs random loads on few nodes. After each round no allocation may wait that some node accepts, and cached sums have to
// equal the sum of the last report and the changes since.
func TestQueueFullyPlaced(t *testing.T) {
	skipped, sent := 0, 0
	for seed := range uint64(200) {
		rng := rand.New(rand.NewPCG(seed, 1))
		x := newLoadHarness(t, seed)
		for id := uint32(1); id < 120; id++ {
			x.drawRequest(rng, id)
			skipped += len(x.scheduler.queue.waiting) - len(x.scheduler.queue.unplaceable)
			x.checkPlaced(seed)
			x.checkSums(seed)
			if x.drawOutcome(rng) {
				sent++
			}
		}
	}
	if skipped < 1000 || sent < 1000 {
		t.Errorf("got %d skipped allocations and %d outcomes, want at least 1000 of each for a meaningful result", skipped, sent)
	}
}
