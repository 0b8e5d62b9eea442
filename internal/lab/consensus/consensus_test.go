package consensus

import (
	"context"
	"runtime"
	"testing"

	"ravenpond/internal/decide/consensus"
)

// TestSeeds plays schedulers that agree on a book among kills, stops, cuts, loss and full disks.
func TestSeeds(t *testing.T) {
	versions, answered := uint64(0), 0
	for _, v := range Seeds(context.Background(), 1, 25, runtime.NumCPU(), consensus.Faults{}) {
		if v.Failure != "" {
			t.Errorf("seed %d: %.1200s", v.Seed, v.Failure)
		}
		versions, answered = versions+v.Versions, answered+v.Answered
	}
	if versions < 500 || answered < 300 {
		t.Errorf("%d versions, %d answers: the seeds show too little", versions, answered)
	}
	if one, two := Play(7, consensus.Faults{}), Play(7, consensus.Faults{}); one != two {
		t.Errorf("played twice: %+v and %+v", one, two)
	}
}

// TestPlanted plants faults in the council and looks that the seeds find each.
func TestPlanted(t *testing.T) {
	for _, c := range []struct {
		name  string
		plant consensus.Faults
		from  uint64 // seeds from here on
	}{
		{"answered before it is written", consensus.Faults{SendBeforeWrite: true}, 1},
		{"one steward's word makes sure", consensus.Faults{SingleVoter: true}, 1},
		{"a lease that nothing ends", consensus.Faults{EndlessLease: true}, 1},
		{"a steward that lost its disk votes", consensus.Faults{VoteAfterLoss: true}, 14},
	} {
		t.Run(c.name, func(t *testing.T) {
			for seed := c.from; seed < c.from+40; seed++ {
				if v := Play(seed, c.plant); v.Failure != "" {
					t.Logf("found by seed %d: %.120s", v.Seed, v.Failure)
					return
				}
			}
			t.Error("not found in 40 seeds")
		})
	}
}

// TestRest holds what the book costs while nothing happens: who follows asks three stewards twice a second whatever the number of
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
