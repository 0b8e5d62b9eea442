package modelcheck

import (
	"fmt"
	"strings"
	"testing"
)

// TestExplore explores an allocation of each job class, up to 3000 states, without a violation.
func TestExplore(t *testing.T) {
	for job, name := range []string{"restartable", "idempotent, zone", "idempotent, all", "at most once"} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			r := Model{Job: job, Faults: 2, Depth: 14}.Explore(3000)
			if r.Failure != "" {
				t.Errorf("got failure %q, want none; path:\n%s", r.Failure, strings.Join(r.Path, "\n"))
			}
			if r.States < 3000 {
				t.Errorf("got %+v, want at least 3000 states", r)
			}
			t.Logf("%d states, %d paths, depth %d", r.States, r.Paths, r.Deepest)
		})
	}
}

// TestInjectedFaults injects faults, each of which has to be found.
func TestInjectedFaults(t *testing.T) {
	for plant, job := range map[Fault]int{StaleEpochs: 3, MovesSentAttempts: 0, DeclinesUnknown: 3} {
		t.Run(fmt.Sprint(plant), func(t *testing.T) {
			t.Parallel()
			r := Model{Job: job, Faults: 2, Depth: 14, Fault: plant}.Explore(20000)
			if r.Failure == "" {
				t.Errorf("got no failure in %d states up to depth %d, want one", r.States, r.Deepest)
			}
			t.Logf("found after %d states, on a path of %d steps: %s", r.States, len(r.Path), r.Failure)
		})
	}
}
