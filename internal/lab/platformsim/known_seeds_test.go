package platformsim

import (
	"fmt"
	"testing"
)

// TestSeedsThatBroke plays seeds that broke a rule, each as it is.
//
// 3264 and 5376: an attempt begins 101 and 105 ms after its client had withdrawn the request, where 100 are allowed. The scheduler is in a flood
// on a few percent of a core: the withdrawal lies unread while the turn before it is worked off, and the attempt is sent in that turn.
func TestSeedsThatBroke(t *testing.T) {
	for _, seed := range []uint64{3264, 5376} {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			if r := Play(seed, Faults{}); r.Failure != "" {
				t.Errorf("%.1500s", r.Failure)
			}
		})
	}
}
