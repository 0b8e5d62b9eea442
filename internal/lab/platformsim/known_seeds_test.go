package platformsim

import (
	"fmt"
	"testing"
)

// TestSeedsThatBroke plays seeds that violated a rule, without injected faults in the scheduler.
//
// 3264 and 5376: an attempt begins 101 and 105 ms after its client withdrew the request, where 100 ms are allowed. The scheduler is overloaded and
// has a few percent of a core: the withdrawal stays unread while the previous turn of its event loop runs, and the attempt is sent in that turn.
func TestSeedsThatBroke(t *testing.T) {
	for _, seed := range []uint64{3264, 5376} {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			if r := Play(seed, Faults{}); r.Failure != "" {
				t.Errorf("%.1500s", r.Failure)
			}
		})
	}
}
