package engine

import (
	"fmt"
	"strings"
	"testing"

	"ravenpond/logic"
)

// TestMaintenance takes a node out while an attempt is in flight to it, for each job class: the attempt is recalled, and another
// one goes elsewhere only once it has come back.
func TestMaintenance(t *testing.T) {
	for jobClass := range 4 {
		for _, c := range []struct {
			name   string
			answer func(h *harness) error
			want   string
		}{
			{"handed back", func(h *harness) error { return h.reportEnd(logic.Rejected) }, "offer 1.1"},
			{"runs after all", func(h *harness) error { return h.reportStart(9) }, "answer 1 served"},
		} {
			t.Run(fmt.Sprintf("%s/%d", c.name, jobClass), func(t *testing.T) {
				testExcludedNode(t, jobClass, c.answer, c.want)
			})
		}
	}
	t.Run("work is moved off, run-once is not", testMigrateFrom)
}

// testExcludedNode takes a node out whose attempt is answered in one of two ways, and brings it back.
func testExcludedNode(t *testing.T, jobClass int, answer func(h *harness) error, want string) {
	t.Helper()
	h := newHarness(t, true)
	h.request(1, jobClass, 5000)
	h.takeEffects()
	node := h.lastOffer.node
	h.engine.SetMaintenance(h.now, []uint32{node}, true)
	h.advance(300)
	h.expect("at the opening", h.takeEffects(), "recall 1.0")
	if err := answer(h); err != nil {
		t.Fatal(err)
	}
	h.advance(100)
	h.expect("after", h.takeEffects(), want)
	if want == "offer 1.1" && h.lastOffer.node == node {
		t.Error("offered again to the node that is out")
	}
	for number := range uint64(20) {
		h.request(10+number, restartable, 5000)
		if h.lastOffer.node == node && want == "offer 1.1" {
			t.Fatal("offered to the node that is out")
		}
	}
	h.engine.BeginList(h.now, logic.ListChanges) // an update by which it is ready changes nothing
	h.engine.AddListEntry(ListEntry{Node: node, Address: "a", Availability: logic.Ready, FreeCores: 16, FreeMemory: 32})
	h.engine.EndList()
	before := h.offers[node]
	for number := range uint64(20) {
		h.request(40+number, restartable, 5000)
	}
	if h.offers[node] != before {
		t.Error("offered to the node that is out, once the list had it ready")
	}
	h.engine.SetMaintenance(h.now, []uint32{node}, false)
	for number := range uint64(60) {
		h.request(70+number, restartable, 5000)
		_ = h.reportStart(5)
	}
	if h.offers[node] == before {
		t.Error("not offered to again once it is back")
	}
}

// testMigrateFrom stops the tasks at all nodes, but for those that run at most once.
func testMigrateFrom(t *testing.T) {
	t.Helper()
	h := newHarness(t, true)
	for number, jobClass := range []int{restartable, idempotentInZone, atMostOnce} {
		h.request(uint64(number+1), jobClass, 5000)
		if err := h.reportStart(5); err != nil {
			t.Fatal(err)
		}
	}
	h.takeEffects()
	stopped := 0
	for node := range uint32(4) {
		stopped += h.engine.MigrateFrom(h.now, node+1, []bool{true, true, true, false}, 9)
		stopped += h.engine.MigrateFrom(h.now, node+1, []bool{true, true, true, false}, 9) // each once
	}
	if stopped != 2 || strings.Contains(h.takeEffects(), "stop 3.0") {
		t.Errorf("%d stopped", stopped)
	}
}

// TestMaintenanceIsNoListUpdate guards against a change of the calendar counting as an update of the list, which then is polled late.
func TestMaintenanceIsNoListUpdate(t *testing.T) {
	polledAt := map[bool]float64{}
	for _, calendar := range []bool{false, true} {
		h := newHarness(t, true)
		h.engine.config.Cluster.PollsList = true
		watcher := &listWatcher{harness: h}
		h.engine.effects = watcher
		if calendar {
			h.engine.SetMaintenance(h.now, []uint32{1}, true)
		}
		for h.now < 30000 && watcher.at == 0 {
			h.advance(10)
		}
		polledAt[calendar] = watcher.at
	}
	if polledAt[false] != polledAt[true] || polledAt[true] == 0 {
		t.Errorf("first asked for the list at %g, with a calendar at %g", polledAt[false], polledAt[true])
	}
}

// listWatcher notes when the engine watched the list last.
type listWatcher struct {
	*harness
	at float64
}

func (w *listWatcher) WatchList(bool) { w.at = w.now }
