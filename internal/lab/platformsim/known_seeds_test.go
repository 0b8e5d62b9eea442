package platformsim

import (
	"fmt"
	"testing"
)

// TestSeedsThatBroke plays seeds that violated a rule, without injected faults in the scheduler.
//
// 3264, 5376, 104608 and 104744: an attempt begins 101 to 123 ms after its client withdrew the request, where 100 ms are allowed. The scheduler is
// overloaded and has a few percent of a core: the withdrawal lies unread in its socket behind other events when the attempt is sent.
//
// 4392: a request is answered 77 ms after its deadline, where 50 ms are allowed, by an overloaded scheduler.
func TestSeedsThatBroke(t *testing.T) {
	for _, seed := range []uint64{3264, 4392, 5376, 104608, 104744} {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			if r := Play(seed, Faults{}); r.Failure != "" {
				t.Errorf("%.1500s", r.Failure)
			}
		})
	}
}
