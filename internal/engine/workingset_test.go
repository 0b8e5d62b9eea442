package engine

import (
	"slices"
	"strings"
	"testing"

	"ravenpond/logic"
)

// dials returns the recorded dials and clears the recorded effects.
func (h *harness) dials() (nodes []string) {
	for _, line := range h.lines {
		if strings.HasPrefix(line, "dial ") {
			nodes = append(nodes, line)
		}
	}
	h.lines = nil
	return nodes
}

// excludeAll moves all nodes out of the working set and returns the nodes that the engine released.
func (h *harness) excludeAll() (released []uint32) {
	all := []uint32{1, 2, 3, 4}
	h.engine.SetOutsideWorkingSet(h.now, all, true)
	for _, id := range all {
		if h.engine.Release(h.now, id) {
			released = append(released, id)
		}
	}
	return released
}

// TestReleaseKeepsConnectionToTask runs a task on a node outside the working set. The node must be kept connected until the task ends, unless its
// release is forced.
func TestReleaseKeepsConnectionToTask(t *testing.T) {
	for _, forced := range []bool{false, true} {
		h := newHarness(t, true)
		h.allocate(newRequest(1, 1, Task{JobClass: restartable, Service: 7, Token: 7, Cores: 1, Memory: 1}, 5000))
		h.engine.Round(h.now)
		node := h.lastOffer.node
		if err := h.reportStart(100); err != nil {
			t.Fatal(err)
		}
		if released := h.excludeAll(); len(released) != 3 || slices.Contains(released, node) {
			t.Fatalf("released nodes %v, want the three other than node %d, which runs a task", released, node)
		}
		if forced {
			h.engine.ForceRelease(h.now, node)
		}
		h.advance(5000)
		h.dials()
		for _, id := range []uint32{1, 2, 3, 4} {
			h.engine.OnDisconnected(h.now, id)
		}
		h.advance(200)
		if redialled := len(h.dials()); (redialled == 1) == forced {
			t.Fatalf("%d nodes redialled, want 1 unless the release was forced (forced: %t)", redialled, forced)
		}
		if forced {
			continue
		}
		h.engine.OnConnected(h.now, node, 1, 0)
		err := h.engine.OnHeld(h.now, node, HeldTask{
			Attempt: h.lastOffer.attempt,
			Running: true,
			Task:    Task{JobClass: restartable, Service: 7, Token: 7, Cores: 1, Memory: 1},
		})
		if err != nil {
			t.Fatal(err)
		}
		h.engine.OnHeldAll(h.now, node)
		if err := h.engine.OnOutcome(h.now, node, Outcome{Attempt: h.lastOffer.attempt, Result: logic.Completed, Reason: logic.ReasonUnknown}); err != nil {
			t.Fatal(err)
		}
		h.engine.Round(h.now)
		if !h.engine.Release(h.now, node) {
			t.Error("node was not released after its task ended")
		}
	}
}

// TestOutsideWorkingSetGetsNothing moves all nodes out of the working set, so that they get no tasks, and then one node back. That node is not
// paced as one that is warming up.
func TestOutsideWorkingSetGetsNothing(t *testing.T) {
	h := newHarness(t, true)
	h.excludeAll()
	for number := range uint64(10) {
		h.allocate(newRequest(1, number+1, Task{JobClass: restartable, Service: number, Token: number, Cores: 1, Memory: 1}, 5000))
	}
	h.now += 20
	h.engine.Round(h.now)
	if len(h.offers) > 0 {
		t.Fatalf("got offers %v to nodes outside the working set, want none", h.offers)
	}
	if d := h.engine.Demand(h.now+150, 100); !d.Shortage[len(d.Shortage)-1] || d.Cores != 0 {
		t.Errorf("got demand %+v while nothing can be placed, want a shortage and no cores", d)
	}
	h.engine.SetOutsideWorkingSet(h.now, []uint32{2}, false)
	h.now += 30
	h.engine.Round(h.now)
	if h.offers[2] == 0 || len(h.offers) != 1 {
		t.Errorf("got offers %v, want offers to node 2 only, which is back in the working set", h.offers)
	}
	if d := h.engine.Demand(h.now, 100); d.Cores == 0 {
		t.Errorf("got demand %+v after tasks were placed, want cores", d)
	}
}

// TestReleasedNodeIsDialledAgain has a released node enter the working set again. It must be dialled then, and not before.
func TestReleasedNodeIsDialledAgain(t *testing.T) {
	h := newHarness(t, true)
	if released := h.excludeAll(); len(released) != 4 {
		t.Fatalf("released nodes %v, want all 4", released)
	}
	h.engine.OnDisconnected(h.now, 3)
	h.advance(1000)
	h.engine.BeginList(h.now, logic.ListChanges) // a list update must not reconnect a released node
	h.engine.AddListEntry(ListEntry{Node: 3, Address: "a", Availability: logic.Ready, FreeCores: 8, FreeMemory: 32, Zone: 1, Cell: 1})
	h.engine.EndList()
	h.advance(1000)
	if dialled := h.dials(); len(dialled) > 0 {
		t.Fatalf("got dials %v while the node is outside the working set, want none", dialled)
	}
	h.engine.SetOutsideWorkingSet(h.now, []uint32{3}, false)
	h.advance(20)
	if dialled := h.dials(); !slices.Equal(dialled, []string{"dial 3"}) {
		t.Errorf("got dials %v, want only one, to node 3", dialled)
	}
}

// TestEnterWorkingSet has a node enter the working set that either has been on the list for long or is new to it. Only the new one is paced as
// a node that is warming up.
func TestEnterWorkingSet(t *testing.T) {
	for _, isNew := range []bool{false, true} {
		h := newHarness(t, true)
		h.excludeAll()
		h.engine.BeginWorkingSet(h.now, isNew)
		h.engine.AddListEntry(ListEntry{Node: 9, Address: "b", Availability: logic.Ready, FreeCores: 16, FreeMemory: 32})
		h.engine.OnConnected(h.now, 9, 1, 0)
		h.engine.OnHeldAll(h.now, 9)
		h.now += 30 // the slow-start limit of 20 is below the number of requests
		for number := range uint64(40) {
			h.allocate(newRequest(1, number+1, Task{JobClass: restartable, Service: number, Token: number, Cores: 0.1, Memory: 0.1}, 5000))
		}
		offered := map[uint64]bool{}
		for range 200 {
			h.now += 10
			h.engine.Round(h.now)
			if !h.lastOffer.attempt.IsZero() && !offered[h.lastOffer.attempt.Ticket] {
				offered[h.lastOffer.attempt.Ticket] = true
			}
			for ticket := range offered {
				_ = h.engine.OnStarted(h.now, 9, AttemptID{Ticket: ticket}, 10)
			}
		}
		if (h.offers[9] > 20) == isNew {
			t.Errorf("new %t: %d offers within 2 s, want more than 20 only if the node is not new", isNew, h.offers[9])
		}
	}
}

// offersAfter advances to wait ms after start, makes 40 requests, and returns how many offers node 9 has after another 200 ms.
func (h *harness) offersAfter(start, wait float64) int {
	h.now = start + wait
	for number := range uint64(40) {
		h.allocate(newRequest(1, number+1, Task{JobClass: restartable, Service: number, Token: number, Cores: 0.1, Memory: 0.1}, 5000))
	}
	for range 20 {
		h.advance(10)
		for number := range uint32(60) {
			_ = h.engine.OnStarted(h.now, 9, AttemptID{Ticket: 1<<32 | uint64(number)}, 10)
		}
	}
	return h.offers[9]
}

// TestClockSkewOfNodeStart has a node enter the working set right before its warm-up ends by the list's clock. It must be paced for longer, by
// the largest difference between clocks, because it may still be cold.
func TestClockSkewOfNodeStart(t *testing.T) {
	const warmUp, slowStartLimit = 8000, 20
	for _, known := range []bool{false, true} { // whether the node was known before, as one outside the working set
		h := newHarness(t, true)
		h.excludeAll()
		h.advance(10_000)
		start := h.now - warmUp + 20
		if known {
			h.engine.SetOutsideWorkingSet(h.now, []uint32{9}, true)
		}
		h.engine.BeginWorkingSet(h.now, false)
		h.engine.AddListEntry(ListEntry{Node: 9, Address: "b", Availability: logic.Ready, StartedAt: start, FreeCores: 16, FreeMemory: 32})
		h.engine.OnConnected(h.now, 9, 1, 0)
		h.engine.OnHeldAll(h.now, 9)
		h.engine.SetOutsideWorkingSet(h.now, []uint32{9}, false)
		if offers := h.offersAfter(start, warmUp+30); offers == 0 || offers > slowStartLimit {
			t.Errorf("known before %t: %d offers to a node that may be cold, want at least 1 and at most the slow-start limit", known, offers)
		}
	}
}

// TestUnsentToNodeThatJustStarted has attempts wait for the connection to a warm node that restarts before it connects. The engine sends
// nothing to nodes that are warming up, so none of the attempts may be sent.
func TestUnsentToNodeThatJustStarted(t *testing.T) {
	h := newHarness(t, true)
	h.advance(10_000)
	h.engine.SetSchedulerCount(0)
	h.engine.SetOutsideWorkingSet(h.now, []uint32{2, 3, 4}, true)
	h.engine.OnDisconnected(h.now, 1)
	for number := range uint64(40) {
		h.allocate(newRequest(1, number+1, Task{JobClass: restartable, Service: number, Token: number, Cores: 0.1, Memory: 0.1}, 5000))
	}
	h.advance(20)
	if waiting := len(h.engine.nodes[h.engine.nodeIndex[1]].allocations); waiting == 0 {
		t.Fatal("no attempt waits for the connection to the node")
	}
	h.engine.OnConnected(h.now, 1, 2, h.now-5)
	h.engine.OnHeldAll(h.now, 1)
	h.advance(200)
	if h.offers[1] > 0 {
		t.Errorf("%d offers to a cold node, want 0", h.offers[1])
	}
}
