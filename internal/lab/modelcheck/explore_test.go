package modelcheck

import (
	"fmt"
	"strings"
	"testing"
)

// TestExplore goes through all that can become of an allocation of each effect, as far as the size of the test allows.
func TestExplore(t *testing.T) {
	for job, name := range []string{"restartable", "tokened, zone", "tokened, all", "run-once"} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			r := Model{Job: job, Faults: 2, Depth: 14}.Explore(3000)
			if r.Failure != "" {
				t.Errorf("%s\n%s", r.Failure, strings.Join(r.Path, "\n"))
			}
			if r.States < 3000 {
				t.Errorf("%+v", r)
			}
			t.Logf("%d states, %d paths, depth %d", r.States, r.Paths, r.Deepest)
		})
	}
}

// TestPlanted plants faults, each of which must be found.
func TestPlanted(t *testing.T) {
	for plant, job := range map[Fault]int{StaleEpochs: 3, MovesSentAttempts: 0, DeclinesUnknown: 3} {
		t.Run(fmt.Sprint(plant), func(t *testing.T) {
			t.Parallel()
			r := Model{Job: job, Faults: 2, Depth: 14, Fault: plant}.Explore(20000)
			if r.Failure == "" {
				t.Errorf("not found in %d states, %d deep", r.States, r.Deepest)
			}
			t.Logf("after %d states, %d steps deep: %s", r.States, len(r.Path), r.Failure)
		})
	}
}
