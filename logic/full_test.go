package logic

import (
	"math/rand/v2"
	"slices"
	"testing"
)

// TestFull plays loads by seeds on few nodes: after each round nothing waits that some node would take, and sums that are
// kept are what the changes since the last report come to.
func TestFull(t *testing.T) {
	spared, sent := 0, 0
	for seed := range uint64(200) {
		rng := rand.New(rand.NewPCG(seed, 1))
		cl := testCluster()
		cl.SlowStartLimit = 0
		cl.JobClasses[1].NodeKind, cl.JobClasses[1].PriorityWeight = 0, 0.5
		cl.JobClasses[2].Spread, cl.JobClasses[2].MaxPerScope, cl.JobClasses[2].PriorityWeight = PerNode, 1, 0.5
		cl.FleetPrice = float64(seed % 2)
		x := newHarness(t, cl, 3)
		x.scheduler.OnListBegin(x.now, ListChanges)
		x.scheduler.OnListNode(x.now, ListEntry{Node: 13, Availability: Ready, FreeCores: 64, FreeMemory: 128, Kind: 1})
		x.scheduler.OnListEnd(x.now)
		x.scheduler.nodes.all[3].warmingUntil, x.scheduler.nodes.all[3].health.lastAnswerAt = 0, x.now
		for id := uint32(1); id < 120; id++ {
			x.now += 100 * rng.Float64()
			size := float64(1 + rng.IntN(12))
			x.scheduler.OnRequest(x.now, Request{
				Allocation: id, Class: rng.IntN(3),
				Deadline: x.now + 3000 + 4000*rng.Float64(), Service: uint64(1 + rng.IntN(5)), Cores: size,
				Memory: 2 * size * rng.Float64(),
			})
			if rng.IntN(3) == 0 {
				x.scheduler.OnTimer(x.now, timerTick)
			}
			x.scheduler.OnTimer(x.now, timerScan)
			x.scheduler.Decide(x.now)
			spared += len(x.scheduler.queue.waiting) - len(x.scheduler.queue.unplaceable)
			for _, i := range x.scheduler.queue.waiting {
				a := &x.scheduler.allocations.all[i]
				for n := range x.scheduler.nodes.all {
					if nd := &x.scheduler.nodes.all[n]; nd.availability == Ready && x.scheduler.nodeAccepts(a, nd) && x.scheduler.allocationAllows(a, n, nd) {
						t.Fatalf("seed %d: %d waits, and node %d would take it", seed, a.id, nd.id)
					}
				}
			}
			for n := range x.scheduler.nodes.all {
				nd := &x.scheduler.nodes.all[n]
				kept := nd.capacity.allocated()
				nd.capacity.sumValid = false
				if summed := nd.capacity.allocated(); kept != summed {
					t.Fatalf("seed %d: node %d holds %g and %g, kept as %g and %g", seed, nd.id, summed.cores, summed.memory, kept.cores, kept.memory)
				}
			}
			if out := slices.DeleteFunc(slices.Clone(x.scheduler.allocations.all), func(a allocation) bool { return !a.inFlight }); len(out) > 0 {
				sent++
				a := out[rng.IntN(len(out))]
				nd := x.scheduler.nodes.all[a.node].id
				try := uint8(a.attempts - 1)
				if !a.running && rng.IntN(2) == 0 {
					x.scheduler.OnStarted(x.now, a.id, try, 50)
				} else {
					v := []Outcome{Completed, Rejected, Errored, TimedOut, Unreachable}[rng.IntN(5)]
					report := []float64{40 * rng.Float64(), 80 * rng.Float64()}
					x.scheduler.OnOutcome(x.now, AttemptResult{
						Allocation: a.id, Node: nd, Attempt: try, Duration: 50,
						Reason: []Reason{ReasonUnknown, InsufficientCores, InsufficientMemory, NotAccepting}[rng.IntN(4)], Outcome: v, Report: report,
					})
				}
			}
		}
	}
	if spared < 1000 || sent < 1000 {
		t.Errorf("%d were spared a look, %d outcomes: too little to tell", spared, sent)
	}
}

// TestLead holds the few best against a whole sort that keeps the order of equals.
func TestLead(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 2))
	for range 2000 {
		all := make([]candidate, rng.IntN(12))
		for i := range all {
			all[i] = candidate{i, float64(rng.IntN(4))}
		}
		want := slices.Clone(all)
		slices.SortStableFunc(want, func(x, y candidate) int { return int(y.score - x.score) })
		selectTop(all, 3)
		if n := min(3, len(all)); !slices.Equal(all[:n], want[:n]) {
			t.Fatalf("%v, want %v first", all, want)
		}
	}
}
