package scale

import (
	"context"
	"fmt"
	"os"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"go.uber.org/goleak"

	"ravenpond/internal/lab/scale/hollow"
	"ravenpond/internal/lab/scale/result"
	"ravenpond/internal/lab/spawn"
)

// TestMain also runs as the hollow and the real processes, which the rig starts with the test binary.
func TestMain(m *testing.M) {
	spawn.Main(func() int {
		if len(os.Args) < 3 || os.Args[1] != "lab" {
			goleak.VerifyTestMain(m)
			return 0
		}
		run := hollow.RunNodes
		if os.Args[2] == SchedulersCommand {
			run = hollow.RunSchedulers
		}
		if err := run(context.Background(), os.Stdin, os.Stdout); err != nil {
			fmt.Fprintln(os.Stderr, err)
			return 1
		}
		return 0
	})
}

// smallTrial returns a trial that is short enough for CI.
func smallTrial(t *testing.T, nodes int) Trial {
	sizes := Base()
	sizes.Nodes, sizes.Schedulers, sizes.RunningTasks = nodes, 1+hollow.Seeds, 20
	return Trial{Command: []string{os.Args[0]}, Sizes: sizes, Dimension: Nodes, Run: 1, Seed: 7, Real: 1, WarmUp: time.Second, MeasureFor: 3 * time.Second, Dir: t.TempDir()}
}

// play runs phases and returns their results by scenario.
func play(t *testing.T, trial Trial, names ...string) map[string]*result.Result {
	t.Helper()
	phases, err := Phases(names)
	if err != nil {
		t.Error(err)
		return nil
	}
	r, err := Start(context.Background(), trial)
	if err != nil {
		t.Error(err)
		return nil
	}
	results := map[string]*result.Result{}
	for _, phase := range phases {
		phase.Starts = min(phase.Starts, 30)
		all, err := r.Measure(context.Background(), phase)
		if err != nil {
			t.Error(err)
			break
		}
		results[phase.Scenario] = all[0]
	}
	if err := r.Stop(); err != nil {
		t.Error(err)
	}
	return results
}

// TestResourceBounds runs two sizes and checks by counts what a real process needs. A run with an injected fault has to fail the checks.
func TestResourceBounds(t *testing.T) {
	var small, large, planted map[string]*result.Result
	var runs sync.WaitGroup
	runs.Go(func() { small = play(t, smallTrial(t, 40), Rest, Starts) })
	runs.Go(func() { large = play(t, smallTrial(t, 80), Rest, Starts) })
	runs.Go(func() {
		trial := smallTrial(t, 80)
		trial.Plant.OwnConnections = true
		planted = play(t, trial, Rest)
	})
	runs.Wait()
	if t.Failed() {
		return
	}
	b := DefaultBounds()
	breaches := slices.Concat(b.CheckRest(small[Rest]), b.CheckRest(large[Rest]), b.CheckStarts(small[Rest], small[Starts]), b.CheckStarts(large[Rest], large[Starts]),
		b.CheckGrowth(small[Rest], large[Rest]))
	for _, breach := range breaches {
		t.Error(breach)
	}
	found := slices.Concat(b.CheckRest(planted[Rest]), b.CheckGrowth(small[Rest], planted[Rest]))
	for _, want := range []string{"connections to nodes", "goroutines:", "descriptors more", "goroutines more"} {
		if !slices.ContainsFunc(found, func(breach string) bool { return strings.Contains(breach, want) }) {
			t.Errorf("a second connection to each node: got no breach with %q in %q, want one", want, found)
		}
	}
}
