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
		cl := cluster()
		cl.SlowStartLimit = 0
		cl.JobClasses[1].NodeKind, cl.JobClasses[1].PriorityWeight = 0, 0.5
		cl.JobClasses[2].Spread, cl.JobClasses[2].MaxPerScope, cl.JobClasses[2].PriorityWeight = PerNode, 1, 0.5
		cl.FleetPrice = float64(seed % 2)
		x := start(t, cl, 3)
		x.s.OnListBegin(x.now, ListChanges)
		x.s.OnListNode(x.now, 13, Ready, 0, 64, 128, 0, 0, 1)
		x.s.OnListEnd(x.now)
		x.s.nodes[3].recentUntil, x.s.nodes[3].heard = 0, x.now
		for id := uint32(1); id < 120; id++ {
			x.now += 100 * rng.Float64()
			size := float64(1 + rng.IntN(12))
			x.s.OnRequest(x.now, id, rng.IntN(3), 0, x.now+3000+4000*rng.Float64(), uint64(1+rng.IntN(5)), size, 2*size*rng.Float64())
			if rng.IntN(3) == 0 {
				x.s.OnTimer(x.now, keyTick)
			}
			x.s.OnTimer(x.now, keyScan)
			x.s.Decide(x.now)
			spared += len(x.s.waiting) - len(x.s.full)
			for _, i := range x.s.waiting {
				a := &x.s.allocs[i]
				for n := range x.s.nodes {
					if nd := &x.s.nodes[n]; nd.avail == Ready && x.s.admits(a, nd) && x.s.permits(a, n, nd) {
						t.Fatalf("seed %d: %d waits, and node %d would take it", seed, a.id, nd.id)
					}
				}
			}
			for n := range x.s.nodes {
				nd := &x.s.nodes[n]
				c, m := x.s.taken(nd)
				nd.summed = false
				if c2, m2 := x.s.taken(nd); c != c2 || m != m2 {
					t.Fatalf("seed %d: node %d holds %g and %g, kept as %g and %g", seed, nd.id, c2, m2, c, m)
				}
			}
			if out := slices.DeleteFunc(slices.Clone(x.s.allocs), func(a alloc) bool { return !a.out }); len(out) > 0 {
				sent++
				a := out[rng.IntN(len(out))]
				nd := x.s.nodes[a.nd].id
				try := uint8(a.tries - 1)
				if !a.placed && rng.IntN(2) == 0 {
					x.s.OnStarted(x.now, a.id, try, 50)
				} else {
					v := []Outcome{Completed, Rejected, Errored, TimedOut, Unreachable}[rng.IntN(5)]
					report := []float64{40 * rng.Float64(), 80 * rng.Float64()}
					x.s.OnOutcome(x.now, a.id, nd, try, 50, false, []Reason{ReasonUnknown, InsufficientCores, InsufficientMemory, NotAccepting}[rng.IntN(4)], v, report)
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
		all := make([]scored, rng.IntN(12))
		for i := range all {
			all[i] = scored{i, float64(rng.IntN(4))}
		}
		want := slices.Clone(all)
		slices.SortStableFunc(want, func(x, y scored) int { return int(y.score - x.score) })
		lead(all, 3)
		if n := min(3, len(all)); !slices.Equal(all[:n], want[:n]) {
			t.Fatalf("%v, want %v first", all, want)
		}
	}
}
