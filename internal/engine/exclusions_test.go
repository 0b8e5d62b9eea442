package engine

import (
	"fmt"
	"strings"
	"testing"

	"ravenpond/logic"
)

// TestMaintenance excludes a node for maintenance while an attempt is in flight to it, for each job class. The attempt must be recalled, and
// another attempt may be made at another node only after the first has been returned.
func TestMaintenance(t *testing.T) {
	for jobClass := range 4 {
		for _, c := range []struct {
			name   string
			answer func(h *harness) error
			want   string
		}{
			{"attempt is returned", func(h *harness) error { return h.reportEnd(logic.Rejected) }, "offer 1.1"},
			{"task runs after all", func(h *harness) error { return h.reportStart(9) }, "answer 1 served"},
		} {
			t.Run(fmt.Sprintf("%s/%d", c.name, jobClass), func(t *testing.T) {
				testExcludedNode(t, jobClass, c.answer, c.want)
			})
		}
	}
	t.Run("tasks are migrated, except those that run at most once", testMigrateFrom)
}

// testExcludedNode excludes a node with an attempt in flight, has the node answer the recall, and ends the exclusion.
func testExcludedNode(t *testing.T, jobClass int, answer func(h *harness) error, want string) {
	t.Helper()
	h := newHarness(t, true)
	h.request(1, jobClass, 5000)
	h.takeEffects()
	node := h.lastOffer.node
	h.engine.SetMaintenance(h.now, []uint32{node}, true)
	h.advance(300)
	h.expect("effects of the exclusion", h.takeEffects(), "recall 1.0")
	if err := answer(h); err != nil {
		t.Fatal(err)
	}
	h.advance(100)
	h.expect("effects of the node's answer", h.takeEffects(), want)
	if want == "offer 1.1" && h.lastOffer.node == node {
		t.Error("second attempt was made at the excluded node")
	}
	for number := range uint64(20) {
		h.request(10+number, restartable, 5000)
		if h.lastOffer.node == node && want == "offer 1.1" {
			t.Fatal("a new task was offered to the excluded node")
		}
	}
	h.engine.BeginList(h.now, logic.ListChanges) // an update that lists the node as ready does not end the exclusion
	h.engine.AddListEntry(ListEntry{Node: node, Address: "a", Availability: logic.Ready, FreeCores: 16, FreeMemory: 32})
	h.engine.EndList()
	before := h.offers[node]
	for number := range uint64(20) {
		h.request(40+number, restartable, 5000)
	}
	if h.offers[node] != before {
		t.Error("a task was offered to the excluded node after the list had it as ready")
	}
	h.engine.SetMaintenance(h.now, []uint32{node}, false)
	for number := range uint64(60) {
		h.request(70+number, restartable, 5000)
		_ = h.reportStart(5)
	}
	if h.offers[node] == before {
		t.Error("no task was offered to the node after its exclusion ended")
	}
}

// testMigrateFrom migrates the tasks from all nodes, except those that run at most once.
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
		stopped += h.engine.MigrateFrom(h.now, node+1, []bool{true, true, true, false}, 9) // stops no task a second time
	}
	if stopped != 2 || strings.Contains(h.takeEffects(), "stop 3.0") {
		t.Errorf("%d tasks stopped, want 2, and not the one that runs at most once", stopped)
	}
}

// TestMaintenanceIsNoListUpdate guards against a change of maintenance windows being taken as an update of the node list, so that the list is
// polled late.
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
		t.Errorf("first poll of the list at %g ms, with a maintenance window at %g ms, want the same time", polledAt[false], polledAt[true])
	}
}

// listWatcher records when the engine last started to watch the list.
type listWatcher struct {
	*harness
	at float64
}

func (w *listWatcher) WatchList(bool) { w.at = w.now }
