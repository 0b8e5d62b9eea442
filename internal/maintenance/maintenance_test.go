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

func (h *fakeExecutor) SetDraining(nodes []string, draining bool) {
	for _, n := range nodes {
		if draining {
			h.draining[n] = true
		} else {
			delete(h.draining, n)
		}
	}
}

func (h *fakeExecutor) CountRunning(nodes []string) (byJob []int, fleet int) {
	byJob = make([]int, 2)
	for n, jobs := range h.running {
		for job, c := range jobs {
			fleet += c
			if slices.Contains(nodes, n) {
				byJob[job] += c
			}
		}
	}
	return byJob, fleet
}

func (h *fakeExecutor) Evict(nodes []string, job, limit int) int {
	for _, n := range nodes {
		for h.running[n][job] > 0 && limit > 0 {
			h.running[n][job]--
			limit--
			h.evicted++
		}
	}
	return 0
}

func (h *fakeExecutor) Log(line string) { h.lines = append(h.lines, line) }

// rig is a controller on a store in a folder.
type rig struct {
	folder     string
	store      *maintenancestore.Store
	controller *Controller
	executor   *fakeExecutor
}

func newRig(t *testing.T, windows ...calendar.Window) rig {
	t.Helper()
	dir := t.TempDir()
	s, err := maintenancestore.Open(dir)
	if err != nil {
		t.Fatal(err)
	}
	noError(t, s.AddEvents(&calendar.Calendar{Windows: windows}, start))
	h := &fakeExecutor{draining: map[string]bool{}, running: map[string][]int{"n1": {30, 2}, "n2": {20, 0}, "n3": {50, 5}}}
	return rig{dir, s, controllerOn(s, h), h}
}

func controllerOn(s Store, h *fakeExecutor) *Controller {
	return &Controller{
		Store: s, Executor: h, Limits: calendar.Limits{Fleet: 0.5, Zone: 1, Kind: 1, LoadMargin: 1},
		Policies: []drainpace.Policy{drainpace.Late, drainpace.RunOut},
	}
}

func fleet() (all []calendar.Node) {
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
		noError(t, c.Tick(start.Add(time.Duration(s)*time.Second), fleet(), lost))
	}
}

func TestWindow(t *testing.T) {
	r := newRig(t, window("a"))
	s, k, h := r.store, r.controller, r.executor
	tickRange(t, k, -12, -10, nil)
	if len(h.draining) != 0 {
		t.Error("the drain begins before its time")
	}
	tickRange(t, k, -10, -5, nil)
	if !h.draining["n1"] || h.evicted != 0 {
		t.Errorf("draining %v, %d evicted in the first half of the lead", h.draining, h.evicted)
	}
	tickRange(t, k, -5, 0, nil)
	if h.running["n1"][0] != 0 || h.running["n1"][1] != 2 {
		t.Errorf("running at the start of the window: %v", h.running["n1"])
	}
	tickRange(t, k, 0, 61, nil)
	if len(h.draining) != 0 || len(h.lines) != 2 {
		t.Errorf("draining %v after the end, lines %q", h.draining, h.lines)
	}
	if unfinished, _ := s.UnfinishedDrains(); len(unfinished) != 0 {
		t.Errorf("unfinished: %+v", unfinished)
	}
}

func TestKilled(t *testing.T) {
	for _, at := range []string{"opened", "announced", "closed"} {
		t.Run(at, func(t *testing.T) {
			r := newRig(t, window("a"))
			dir, s, k, h := r.folder, r.store, r.controller, r.executor
			k.Store = &failingStore{Store: s, at: at}
			var err error
			for s := -11 * 60; s < 62*60 && err == nil; s++ {
				err = k.Tick(start.Add(time.Duration(s)*time.Second), fleet(), nil)
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
			h2 := &fakeExecutor{draining: map[string]bool{}, running: h.running} // the next incarnation knows nothing
			k = controllerOn(s, h2)
			tickRange(t, k, 20, 21, nil)
			if at != "closed" && !h2.draining["n1"] {
				t.Error("the next incarnation does not announce the drain")
			}
			tickRange(t, k, 59, 63, nil)
			drains, _ := s.Drains()
			if len(h2.draining) != 0 || len(drains) != 1 || drains[0].Stage != maintenancestore.Closed {
				t.Errorf("draining %v, %+v", h2.draining, drains)
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
	r := newRig(t, window("a"))
	s, k, h := r.store, r.controller, r.executor
	tickRange(t, k, -10, -8, nil)
	noError(t, s.CancelWindow("a", time.Time{}, start))
	tickRange(t, k, -8, -7, nil)
	if len(h.draining) != 0 || !strings.Contains(h.lines[len(h.lines)-1], "cancelled") {
		t.Errorf("draining %v, %q", h.draining, h.lines)
	}
}

func TestNodesLost(t *testing.T) {
	r := newRig(t, window("a"))
	k, h := r.controller, r.executor
	tickRange(t, k, -11, -1, map[string]bool{"n3": true, "n4": true})
	if !h.draining["n1"] || h.evicted != 0 || !strings.Contains(strings.Join(h.lines, ""), "2 nodes lost") {
		t.Errorf("draining %v, %d evicted, %q", h.draining, h.evicted, h.lines)
	}
	tickRange(t, k, -1, 2, nil) // the nodes are back
	if h.running["n1"][0] != 0 {
		t.Error("work is not evicted when the nodes are back")
	}
}

func TestSharedNode(t *testing.T) {
	b := window("b")
	b.Duration = 2 * time.Hour
	r := newRig(t, window("a"), b)
	k, h := r.controller, r.executor
	tickRange(t, k, -10, 70, nil)
	if !h.draining["n1"] {
		t.Error("the node is back while another window holds it")
	}
	tickRange(t, k, 70, 122, nil)
	if len(h.draining) != 0 {
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
