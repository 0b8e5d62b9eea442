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

// fakeExecutor records what it is to execute, and holds what runs at each node.
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

// fixture is a controller on a store in a folder.
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

// window is an hour in which node n1 is out.
func window(id string) calendar.Window {
	return calendar.Window{ID: id, Target: "n1", Start: start, Duration: time.Hour, Lead: 10 * time.Minute}
}

// tickRange has a controller tick every second from one minute to another.
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
		t.Error("the drain begins before its time")
	}
	tickRange(t, controller, -10, -5, nil)
	if !executor.draining["n1"] || executor.evicted != 0 {
		t.Errorf("draining %v, %d evicted in the first half of the lead", executor.draining, executor.evicted)
	}
	tickRange(t, controller, -5, 0, nil)
	if executor.running["n1"][0] != 0 || executor.running["n1"][1] != 2 {
		t.Errorf("running at the start of the window: %v", executor.running["n1"])
	}
	tickRange(t, controller, 0, 61, nil)
	if len(executor.draining) != 0 || len(executor.lines) != 2 {
		t.Errorf("draining %v after the end, lines %q", executor.draining, executor.lines)
	}
	if unfinished, _ := s.UnfinishedDrains(); len(unfinished) != 0 {
		t.Errorf("unfinished: %+v", unfinished)
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
				t.Fatal("not killed: ", err)
			}
			noError(t, s.Close())
			s, err = maintenancestore.Open(dir)
			if err != nil {
				t.Fatal(err)
			}
			defer func() { noError(t, s.Close()) }()
			restarted := &fakeExecutor{draining: map[string]bool{}, running: executor.running} // the next incarnation knows nothing
			controller = newController(s, restarted)
			tickRange(t, controller, 20, 21, nil)
			if at != "closed" && !restarted.draining["n1"] {
				t.Error("the next incarnation does not announce the drain")
			}
			tickRange(t, controller, 59, 63, nil)
			drains, _ := s.Drains()
			if len(restarted.draining) != 0 || len(drains) != 1 || drains[0].Stage != maintenancestore.Closed {
				t.Errorf("draining %v, %+v", restarted.draining, drains)
			}
		})
	}
}

var errKilled = errors.New("killed")

// failingStore has the process killed between two steps.
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
		t.Errorf("draining %v, %q", executor.draining, executor.lines)
	}
}

func TestEvictionIsSuspendedWhileNodesAreLost(t *testing.T) {
	r := newFixture(t, window("a"))
	controller, executor := r.controller, r.executor
	tickRange(t, controller, -11, -1, map[string]bool{"n3": true, "n4": true})
	if !executor.draining["n1"] || executor.evicted != 0 || !strings.Contains(strings.Join(executor.lines, ""), "2 nodes lost") {
		t.Errorf("draining %v, %d evicted, %q", executor.draining, executor.evicted, executor.lines)
	}
	tickRange(t, controller, -1, 2, nil) // the nodes are back
	if executor.running["n1"][0] != 0 {
		t.Error("work is not evicted when the nodes are back")
	}
}

func TestNodeOfTwoWindows(t *testing.T) {
	b := window("b")
	b.Duration = 2 * time.Hour
	r := newFixture(t, window("a"), b)
	controller, executor := r.controller, r.executor
	tickRange(t, controller, -10, 70, nil)
	if !executor.draining["n1"] {
		t.Error("the node is back while another window holds it")
	}
	tickRange(t, controller, 70, 122, nil)
	if len(executor.draining) != 0 {
		t.Error("the node is still draining")
	}
}

// noError ends the test if an error has occurred.
func noError(tb testing.TB, err error) {
	tb.Helper()
	if err != nil {
		tb.Fatal(err)
	}
}
