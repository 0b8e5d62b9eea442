package consensus

import (
	"runtime"
	"testing"

	"ravenpond/internal/decide/consensus"
)

// TestSeeds simulates schedulers that agree on the cluster state through kills, pauses, cuts, loss and full disks, and that a seed played
// twice has the same result.
func TestSeeds(t *testing.T) {
	versions, answered := uint64(0), 0
	for _, r := range Seeds(t.Context(), 1, 25, runtime.NumCPU(), consensus.Faults{}) {
		if r.Failure != "" {
			t.Errorf("seed %d: %.1200s", r.Seed, r.Failure)
		}
		versions, answered = versions+r.Versions, answered+r.Answered
	}
	if versions < 500 || answered < 300 {
		t.Errorf("got %d versions and %d answers in all seeds, want at least 500 and 300", versions, answered)
	}
	if one, two := Play(7, consensus.Faults{}), Play(7, consensus.Faults{}); one != two {
		t.Errorf("seed 7 played twice: got %+v and %+v, want the same", one, two)
	}
}

// TestInjectedFaults injects faults into the consensus, each of which has to be found within 40 seeds.
func TestInjectedFaults(t *testing.T) {
	for _, c := range []struct {
		name  string
		fault consensus.Faults
		from  uint64 // the first seed
	}{
		{"answers are sent before the state is written", consensus.Faults{SendBeforeWrite: true}, 1},
		{"a single voter is enough to make a lease valid", consensus.Faults{SingleVoter: true}, 1},
		{"a lease never expires", consensus.Faults{EndlessLease: true}, 1},
		{"a voter votes after it lost its disk", consensus.Faults{VoteAfterLoss: true}, 14},
	} {
		t.Run(c.name, func(t *testing.T) {
			for seed := c.from; seed < c.from+40; seed++ {
				if r := Play(seed, c.fault); r.Failure != "" {
					t.Logf("found by seed %d: %.120s", r.Seed, r.Failure)
					return
				}
			}
			t.Error("no violation in 40 seeds, want the injected fault to be found")
		})
	}
}

// TestCostAtRest bounds the cost of consensus while nothing changes: a follower polls three voters twice a second whatever the number of
// processes, and nothing is written.
func TestCostAtRest(t *testing.T) {
	for _, n := range []int{3, 12, 50} {
		c := MeasureAtRest(1, n)
		t.Logf("%d processes: %+v", n, c)
		if c.Follower > 6.5 || c.Writes > 0 || c.Voter > 20+2.2*float64(n) {
			t.Errorf("%d processes: got cost %+v, want at most 6.5 messages/s per follower, 20 plus 2.2 per process for a voter, and no writes", n, c)
		}
	}
}
