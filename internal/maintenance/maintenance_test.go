package maintenance

import (
	"errors"
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"ravenpond/internal/decide/calendar"
	"ravenpond/internal/decide/drainpace"
	"ravenpond/internal/state/maintenancestore"
)

var start = time.Date(2026, 3, 2, 10, 0, 0, 0, time.UTC)

// fakeExecutor records the calls of a Controller, and simulates the allocations on each node.
type fakeExecutor struct {
	draining map[string]bool
	running  map[string][]int // allocations by node and job class
	lines    []string
	evicted  int
}

func (e *fakeExecutor) SetDraining(nodes []string, draining bool) {
	for _, n := range nodes {
		if draining {
			e.draining[n] = true
		} else {
			delete(e.draining, n)
		}
	}
}

func (e *fakeExecutor) CountRunning(nodes []string) (byJob []int, fleet int) {
	byJob = make([]int, 2)
	for n, jobs := range e.running {
		for job, c := range jobs {
			fleet += c
			if slices.Contains(nodes, n) {
				byJob[job] += c
			}
		}
	}
	return byJob, fleet
}

func (e *fakeExecutor) Evict(nodes []string, job, limit int) int {
	for _, n := range nodes {
		for e.running[n][job] > 0 && limit > 0 {
			e.running[n][job]--
			limit--
			e.evicted++
		}
	}
	return 0
}

func (e *fakeExecutor) Log(line string) { e.lines = append(e.lines, line) }

// fixture is a Controller with a fake executor and a store in a folder.
type fixture struct {
	folder     string
	store      *maintenancestore.Store
	controller *Controller
	executor   *fakeExecutor
}

func newFixture(t *testing.T, windows ...calendar.Window) fixture {
	t.Helper()
	dir := t.TempDir()
	s, err := maintenancestore.Open(dir)
	if err != nil {
		t.Fatal(err)
	}
	noError(t, s.AddEvents(&calendar.Calendar{Windows: windows}, start))
	executor := &fakeExecutor{draining: map[string]bool{}, running: map[string][]int{"n1": {30, 2}, "n2": {20, 0}, "n3": {50, 5}}}
	return fixture{dir, s, newController(s, executor), executor}
}

func newController(s Store, executor *fakeExecutor) *Controller {
	return &Controller{
		Store: s, Executor: executor, Limits: calendar.Limits{Fleet: 0.5, Zone: 1, Kind: 1, LoadMargin: 1},
		Policies: []drainpace.Policy{drainpace.Late, drainpace.RunOut},
	}
}

func testFleet() (all []calendar.Node) {
	for i := 1; i <= 4; i++ {
		all = append(all, calendar.Node{ID: fmt.Sprint("n", i), Zone: "z", Cell: fmt.Sprint("c", i/3), Kind: "k", Cores: 1, Memory: 1})
	}
	return all
}

// window returns a window of an hour that takes node n1 out of service.
func window(id string) calendar.Window {
	return calendar.Window{ID: id, Target: "n1", Start: start, Duration: time.Hour, Lead: 10 * time.Minute}
}

// tickRange calls Tick for every second between two times, given in minutes after start.
func tickRange(t *testing.T, c *Controller, from, to int, lost map[string]bool) {
	t.Helper()
	for s := from * 60; s < to*60; s++ {
		noError(t, c.Tick(start.Add(time.Duration(s)*time.Second), testFleet(), lost))
	}
}

func TestDrainFollowsWindow(t *testing.T) {
	r := newFixture(t, window("a"))
	s, controller, executor := r.store, r.controller, r.executor
	tickRange(t, controller, -12, -10, nil)
	if len(executor.draining) != 0 {
		t.Error("the drain began before the lead of the window")
	}
	tickRange(t, controller, -10, -5, nil)
	if !executor.draining["n1"] || executor.evicted != 0 {
		t.Errorf("draining %v and %d evicted in the first half of the lead, want n1 draining and no eviction", executor.draining, executor.evicted)
	}
	tickRange(t, controller, -5, 0, nil)
	if executor.running["n1"][0] != 0 || executor.running["n1"][1] != 2 {
		t.Errorf("allocations on n1 at the start of the window: got %v, want [0 2]", executor.running["n1"])
	}
	tickRange(t, controller, 0, 61, nil)
	if len(executor.draining) != 0 || len(executor.lines) != 2 {
		t.Errorf("draining %v after the window with log lines %q, want no draining node and 2 lines", executor.draining, executor.lines)
	}
	if unfinished, _ := s.UnfinishedDrains(); len(unfinished) != 0 {
		t.Errorf("got unfinished drains %+v after the window, want none", unfinished)
	}
}

func TestRestartAfterKill(t *testing.T) {
	for _, at := range []string{"opened", "announced", "closed"} {
		t.Run(at, func(t *testing.T) {
			r := newFixture(t, window("a"))
			dir, s, controller, executor := r.folder, r.store, r.controller, r.executor
			controller.Store = &failingStore{Store: s, at: at}
			var err error
			for s := -11 * 60; s < 62*60 && err == nil; s++ {
				err = controller.Tick(start.Add(time.Duration(s)*time.Second), testFleet(), nil)
			}
			if !errors.Is(err, errKilled) {
				t.Fatal("the process was not killed by the failing store: ", err)
			}
			noError(t, s.Close())
			s, err = maintenancestore.Open(dir)
			if err != nil {
				t.Fatal(err)
			}
			defer func() { noError(t, s.Close()) }()
			restarted := &fakeExecutor{draining: map[string]bool{}, running: executor.running} // the next incarnation starts without state in memory
			controller = newController(s, restarted)
			tickRange(t, controller, 20, 21, nil)
			if at != "closed" && !restarted.draining["n1"] {
				t.Error("the next incarnation did not announce the drain of n1")
			}
			tickRange(t, controller, 59, 63, nil)
			drains, _ := s.Drains()
			if len(restarted.draining) != 0 || len(drains) != 1 || drains[0].Stage != maintenancestore.Closed {
				t.Errorf("draining %v with drains %+v after the window, want no draining node and one closed drain", restarted.draining, drains)
			}
		})
	}
}

var errKilled = errors.New("killed")

// failingStore simulates a process that is killed between two steps: at the given stage it returns errKilled.
type failingStore struct {
	*maintenancestore.Store
	at string
}

func (f *failingStore) BeginDrain(v calendar.Verdict, now time.Time) (maintenancestore.Drain, bool, error) {
	drain, isNew, err := f.Store.BeginDrain(v, now)
	if f.at == "opened" && err == nil {
		err = errKilled
	}
	return drain, isNew, err
}

func (f *failingStore) AdvanceDrain(window string, scheduledStart time.Time, stage maintenancestore.Stage, now time.Time) error {
	if f.at == "announced" && stage == maintenancestore.Announced || f.at == "closed" && stage == maintenancestore.Closed {
		return errKilled
	}
	return f.Store.AdvanceDrain(window, scheduledStart, stage, now)
}

func TestCancelledWhileDraining(t *testing.T) {
	r := newFixture(t, window("a"))
	s, controller, executor := r.store, r.controller, r.executor
	tickRange(t, controller, -10, -8, nil)
	noError(t, s.CancelWindow("a", time.Time{}, start))
	tickRange(t, controller, -8, -7, nil)
	if len(executor.draining) != 0 || !strings.Contains(executor.lines[len(executor.lines)-1], "cancelled") {
		t.Errorf("draining %v, log lines %q, want no draining node and a line that says cancelled", executor.draining, executor.lines)
	}
}

func TestEvictionIsSuspendedWhileNodesAreLost(t *testing.T) {
	r := newFixture(t, window("a"))
	controller, executor := r.controller, r.executor
	tickRange(t, controller, -11, -1, map[string]bool{"n3": true, "n4": true})
	if !executor.draining["n1"] || executor.evicted != 0 || !strings.Contains(strings.Join(executor.lines, ""), "2 nodes lost") {
		t.Errorf("draining %v, %d evicted, log lines %q, want n1 draining, no eviction and 2 nodes reported lost", executor.draining, executor.evicted, executor.lines)
	}
	tickRange(t, controller, -1, 2, nil) // no nodes are lost any more
	if executor.running["n1"][0] != 0 {
		t.Error("allocations of the first job class were not evicted after the lost nodes returned")
	}
}

func TestNodeOfTwoWindows(t *testing.T) {
	b := window("b")
	b.Duration = 2 * time.Hour
	r := newFixture(t, window("a"), b)
	controller, executor := r.controller, r.executor
	tickRange(t, controller, -10, 70, nil)
	if !executor.draining["n1"] {
		t.Error("n1 returned to service while another window includes it")
	}
	tickRange(t, controller, 70, 122, nil)
	if len(executor.draining) != 0 {
		t.Error("n1 is still draining after both windows ended")
	}
}

// noError fails the test at once if err is not nil.
func noError(tb testing.TB, err error) {
	tb.Helper()
	if err != nil {
		tb.Fatal(err)
	}
}
