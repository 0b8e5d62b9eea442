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

// fakeExecutor write down what is asked of them and hold what runs at each node.
type fakeExecutor struct {
	draining map[string]bool
	running  map[string][]int // by job type
	lines    []string
	evicted  int
}

func (h *fakeExecutor) SetDraining(nodes []string, out bool) {
	for _, n := range nodes {
		if out {
			h.draining[n] = true
		} else {
			delete(h.draining, n)
		}
	}
}

func (h *fakeExecutor) CountRunning(nodes []string) ([]int, int) {
	there, all := make([]int, 2), 0
	for n, jobs := range h.running {
		for job, c := range jobs {
			all += c
			if slices.Contains(nodes, n) {
				there[job] += c
			}
		}
	}
	return there, all
}

func (h *fakeExecutor) Evict(nodes []string, job, most int) int {
	for _, n := range nodes {
		for h.running[n][job] > 0 && most > 0 {
			h.running[n][job]--
			most--
			h.evicted++
		}
	}
	return 0
}

func (h *fakeExecutor) Log(line string) { h.lines = append(h.lines, line) }

func newController(t *testing.T, windows ...calendar.Window) (string, *maintenancestore.Store, *Controller, *fakeExecutor) {
	dir := t.TempDir()
	s, err := maintenancestore.Open(dir)
	if err != nil {
		t.Fatal(err)
	}
	if err := s.AddEvents(&calendar.Calendar{Windows: windows}, start); err != nil {
		t.Fatal(err)
	}
	h := &fakeExecutor{draining: map[string]bool{}, running: map[string][]int{"n1": {30, 2}, "n2": {20, 0}, "n3": {50, 5}}}
	return dir, s, controllerOn(s, h), h
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

func window(id, node string) calendar.Window {
	return calendar.Window{ID: id, Target: node, Start: start, Duration: time.Hour, Lead: 10 * time.Minute}
}

// tickRange lets a keeper tick every second from one minute to another.
func tickRange(t *testing.T, k *Controller, from, to int, lost map[string]bool) {
	t.Helper()
	for s := from * 60; s < to*60; s++ {
		if err := k.Tick(start.Add(time.Duration(s)*time.Second), fleet(), lost); err != nil {
			t.Fatal(err)
		}
	}
}

func TestCourse(t *testing.T) {
	_, s, k, h := newController(t, window("a", "n1"))
	tickRange(t, k, -12, -10, nil)
	if len(h.draining) != 0 {
		t.Error("out before its time")
	}
	tickRange(t, k, -10, -5, nil)
	if !h.draining["n1"] || h.evicted != 0 {
		t.Errorf("out %v, %d moved in the first half of the lead", h.draining, h.evicted)
	}
	tickRange(t, k, -5, 0, nil)
	if h.running["n1"][0] != 0 || h.running["n1"][1] != 2 {
		t.Errorf("left there at the start: %v", h.running["n1"])
	}
	tickRange(t, k, 0, 61, nil)
	if len(h.draining) != 0 || len(h.lines) != 2 {
		t.Errorf("out %v after the end, lines %q", h.draining, h.lines)
	}
	if open, _ := s.UnfinishedDrains(); len(open) != 0 {
		t.Errorf("open: %+v", open)
	}
}

func TestKilled(t *testing.T) {
	for _, at := range []string{"opened", "told", "closed"} {
		t.Run(at, func(t *testing.T) {
			dir, s, k, h := newController(t, window("a", "n1"))
			k.Store = &failingStore{Store: s, at: at}
			var err error
			for s := -11 * 60; s < 62*60 && err == nil; s++ {
				err = k.Tick(start.Add(time.Duration(s)*time.Second), fleet(), nil)
			}
			if !errors.Is(err, errKilled) {
				t.Fatal("not killed: ", err)
			}
			s.Close()
			s, err = maintenancestore.Open(dir)
			if err != nil {
				t.Fatal(err)
			}
			defer s.Close()
			h2 := &fakeExecutor{draining: map[string]bool{}, running: h.running} // the next life knows nothing
			k = controllerOn(s, h2)
			tickRange(t, k, 20, 21, nil)
			if at != "closed" && !h2.draining["n1"] {
				t.Error("forgotten by the next life")
			}
			tickRange(t, k, 59, 63, nil)
			begun, _ := s.Drains()
			if len(h2.draining) != 0 || len(begun) != 1 || begun[0].Stage != maintenancestore.Closed {
				t.Errorf("out %v, %+v", h2.draining, begun)
			}
		})
	}
}

var errKilled = errors.New("killed")

// failingStore dies between two steps.
type failingStore struct {
	*maintenancestore.Store
	at string
}

func (f *failingStore) BeginDrain(v calendar.Verdict, now time.Time) (maintenancestore.Drain, bool, error) {
	b, fresh, err := f.Store.BeginDrain(v, now)
	if f.at == "opened" && err == nil {
		err = errKilled
	}
	return b, fresh, err
}

func (f *failingStore) AdvanceDrain(w string, n time.Time, s maintenancestore.Stage, now time.Time) error {
	if f.at == "told" && s == maintenancestore.Announced || f.at == "closed" && s == maintenancestore.Closed {
		return errKilled
	}
	return f.Store.AdvanceDrain(w, n, s, now)
}

func TestCancelledWhileDraining(t *testing.T) {
	_, s, k, h := newController(t, window("a", "n1"))
	tickRange(t, k, -10, -8, nil)
	if err := s.CancelWindow("a", time.Time{}, start); err != nil {
		t.Fatal(err)
	}
	tickRange(t, k, -8, -7, nil)
	if len(h.draining) != 0 || !strings.Contains(h.lines[len(h.lines)-1], "cancelled") {
		t.Errorf("out %v, %q", h.draining, h.lines)
	}
}

func TestHallLost(t *testing.T) {
	_, _, k, h := newController(t, window("a", "n1"))
	tickRange(t, k, -11, -1, map[string]bool{"n3": true, "n4": true})
	if !h.draining["n1"] || h.evicted != 0 || !strings.Contains(strings.Join(h.lines, ""), "2 nodes lost") {
		t.Errorf("out %v, %d moved, %q", h.draining, h.evicted, h.lines)
	}
	tickRange(t, k, -1, 2, nil) // the hall is back
	if h.running["n1"][0] != 0 {
		t.Error("work not moved off when the hall was back")
	}
}

func TestSharedNode(t *testing.T) {
	b := window("b", "n1")
	b.Duration = 2 * time.Hour
	_, _, k, h := newController(t, window("a", "n1"), b)
	tickRange(t, k, -10, 70, nil)
	if !h.draining["n1"] {
		t.Error("back while another window holds it")
	}
	tickRange(t, k, 70, 122, nil)
	if len(h.draining) != 0 {
		t.Error("still out")
	}
}
