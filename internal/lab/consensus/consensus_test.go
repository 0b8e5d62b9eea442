package consensus

import (
	"runtime"
	"testing"

	"ravenpond/internal/decide/consensus"
)

// TestSeeds simulates schedulers that agree on the cluster state among kills, pauses, cuts, loss and full disks.
func TestSeeds(t *testing.T) {
	versions, answered := uint64(0), 0
	for _, r := range Seeds(t.Context(), 1, 25, runtime.NumCPU(), consensus.Faults{}) {
		if r.Failure != "" {
			t.Errorf("seed %d: %.1200s", r.Seed, r.Failure)
		}
		versions, answered = versions+r.Versions, answered+r.Answered
	}
	if versions < 500 || answered < 300 {
		t.Errorf("%d versions, %d answers: the seeds show too little", versions, answered)
	}
	if one, two := Play(7, consensus.Faults{}), Play(7, consensus.Faults{}); one != two {
		t.Errorf("played twice: %+v and %+v", one, two)
	}
}

// TestInjectedFaults puts faults into the consensus: the seeds have to find each.
func TestInjectedFaults(t *testing.T) {
	for _, c := range []struct {
		name  string
		fault consensus.Faults
		from  uint64 // the first seed
	}{
		{"answers are sent before they are written", consensus.Faults{SendBeforeWrite: true}, 1},
		{"one voter makes a lease valid", consensus.Faults{SingleVoter: true}, 1},
		{"a lease never expires", consensus.Faults{EndlessLease: true}, 1},
		{"a voter that lost its disk votes", consensus.Faults{VoteAfterLoss: true}, 14},
	} {
		t.Run(c.name, func(t *testing.T) {
			for seed := c.from; seed < c.from+40; seed++ {
				if r := Play(seed, c.fault); r.Failure != "" {
					t.Logf("found by seed %d: %.120s", r.Seed, r.Failure)
					return
				}
			}
			t.Error("not found in 40 seeds")
		})
	}
}

// TestRest bounds what consensus costs while nothing happens: a follower polls three voters twice a second whatever the number of
// processes, and nothing is written.
func TestRest(t *testing.T) {
	for _, n := range []int{3, 12, 50} {
		c := MeasureAtRest(1, n)
		t.Logf("%d processes: %+v", n, c)
		if c.Follower > 6.5 || c.Writes > 0 || c.Voter > 20+2.2*float64(n) {
			t.Errorf("%d processes: %+v", n, c)
		}
	}
}
