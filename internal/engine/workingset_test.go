package engine

import (
	"slices"
	"strings"
	"testing"

	"ravenpond/logic"
)

// dials is which nodes were dialled since the last look.
func (s *script) dials() (nodes []string) {
	for _, line := range s.lines {
		if strings.HasPrefix(line, "dial ") {
			nodes = append(nodes, line)
		}
	}
	s.lines = nil
	return nodes
}

// setAsideAll sets all nodes aside and tells which the engine releases.
func (s *script) setAsideAll() (released []uint32) {
	all := []uint32{1, 2, 3, 4}
	s.e.SetOutsideWorkingSet(s.now, all, true)
	for _, id := range all {
		if s.e.Release(s.now, id) {
			released = append(released, id)
		}
	}
	return released
}

// TestReleaseKeepsTheWayToATask runs a task at a node that is set aside: the node is kept connected until the task ends.
func TestReleaseKeepsTheWayToATask(t *testing.T) {
	for _, abandons := range []bool{false, true} {
		s := begin(t, false)
		if err := s.e.Allocate(s.now, 1, 1, restartable, 0, 7, 7, 1, 1, 5000, 1); err != nil {
			t.Fatal(err)
		}
		s.e.Round(s.now)
		nd := s.last.nd
		if err := s.e.OnStarted(s.now, nd, s.last.ticket, s.last.try, 100); err != nil {
			t.Fatal(err)
		}
		if released := s.setAsideAll(); len(released) != 3 || slices.Contains(released, nd) {
			t.Fatalf("%v released while a task runs at %d", released, nd)
		}
		if abandons {
			s.e.ForceRelease(s.now, nd)
		}
		s.pass(5000)
		s.dials()
		for _, id := range []uint32{1, 2, 3, 4} {
			s.e.OnDisconnected(s.now, id, "broken")
		}
		s.pass(200)
		if redialled := len(s.dials()); (redialled == 1) == abandons {
			t.Fatalf("%d nodes dialled again, way given up: %t", redialled, abandons)
		}
		if abandons {
			continue
		}
		s.e.OnConnected(s.now, nd, 1, 0)
		if err := s.e.OnHeld(s.now, nd, s.last.ticket, s.last.try, true, restartable, 0, 7, 7, 1, 1); err != nil {
			t.Fatal(err)
		}
		s.e.OnHeldAll(s.now, nd)
		if err := s.e.OnOutcome(s.now, nd, s.last.ticket, s.last.try, logic.Completed, logic.ReasonUnknown, nil); err != nil {
			t.Fatal(err)
		}
		s.e.Round(s.now)
		if !s.e.Release(s.now, nd) {
			t.Error("not released after the task ended")
		}
	}
}

// TestSetAsideGetsNothing sets nodes aside and takes one back, which is not paced as cold.
func TestSetAsideGetsNothing(t *testing.T) {
	s := begin(t, false)
	s.setAsideAll()
	for ref := range uint64(10) {
		if err := s.e.Allocate(s.now, 1, ref+1, restartable, 0, ref, ref, 1, 1, 5000, 1); err != nil {
			t.Fatal(err)
		}
	}
	s.now += 20
	s.e.Round(s.now)
	if len(s.seen) > 0 {
		t.Fatalf("offers to nodes set aside: %v", s.seen)
	}
	if d := s.e.Demand(s.now+150, 100); !d.Short[len(d.Short)-1] || d.Cores != 0 {
		t.Errorf("no shortage while nothing can be placed: %+v", d)
	}
	s.e.SetOutsideWorkingSet(s.now, []uint32{2}, false)
	s.now += 30
	s.e.Round(s.now)
	if s.seen[2] == 0 || len(s.seen) != 1 {
		t.Errorf("offers %v after node 2 came back", s.seen)
	}
	if d := s.e.Demand(s.now, 100); d.Cores == 0 {
		t.Errorf("nothing counts as asked for: %+v", d)
	}
}

// TestReleasedIsDialledAgain has a node that was released enter the set anew.
func TestReleasedIsDialledAgain(t *testing.T) {
	s := begin(t, false)
	if released := s.setAsideAll(); len(released) != 4 {
		t.Fatalf("%v released", released)
	}
	s.e.OnDisconnected(s.now, 3, "left the working set")
	s.pass(1000)
	s.e.BeginList(s.now, logic.ListChanges) // news of a node that was released does not keep it
	s.e.AddListNode(3, "a", logic.Ready, 0, 8, 32, 1, 1, 0)
	s.e.EndList()
	s.pass(1000)
	if dialled := s.dials(); len(dialled) > 0 {
		t.Fatalf("%v while outside the set", dialled)
	}
	s.e.SetOutsideWorkingSet(s.now, []uint32{3}, false)
	s.pass(20)
	if dialled := s.dials(); !slices.Equal(dialled, []string{"dial 3"}) {
		t.Errorf("dialled %v", dialled)
	}
}

// TestEnterNodes has a node be told of that the list has had for long, and one that is new to the list: the new one
// is paced as cold.
func TestEnterNodes(t *testing.T) {
	for _, isNew := range []bool{false, true} {
		s := begin(t, false)
		s.setAsideAll()
		s.e.BeginWorkingSet(s.now, isNew)
		s.e.AddListNode(9, "b", logic.Ready, 0, 16, 32, 0, 0, 0)
		s.e.OnConnected(s.now, 9, 1, 0)
		s.e.OnHeldAll(s.now, 9)
		s.now += 30 // the cold budget of 20 is under that
		for ref := range uint64(40) {
			if err := s.e.Allocate(s.now, 1, ref+1, restartable, 0, ref, ref, 0.1, 0.1, 5000, 1); err != nil {
				t.Fatal(err)
			}
		}
		offered := map[uint64]bool{}
		for range 200 {
			s.now += 10
			s.e.Round(s.now)
			if s.last.ticket != 0 && !offered[s.last.ticket] {
				offered[s.last.ticket] = true
			}
			for ticket := range offered {
				_ = s.e.OnStarted(s.now, 9, ticket, 0, 10)
			}
		}
		if (s.seen[9] > 20) == isNew {
			t.Errorf("new %t: %d offers within 2 s", isNew, s.seen[9])
		}
	}
}

// offersAfter lets a node of the set that began a life at a time get as much as it may for a while, and tells how much
// that is.
func (s *script) offersAfter(start, wait float64) int {
	s.now = start + wait
	for ref := range uint64(40) {
		if err := s.e.Allocate(s.now, 1, ref+1, restartable, 0, ref, ref, 0.1, 0.1, 5000, 1); err != nil {
			s.t.Fatal(err)
		}
	}
	for range 20 {
		s.pass(10)
		for ref := range uint32(60) {
			_ = s.e.OnStarted(s.now, 9, 1<<32|uint64(ref), 0, 10)
		}
	}
	return s.seen[9]
}

// TestStartByAnotherClock has a node enter the set right before its time as a cold one is over by the list's clock: it is
// paced for as long as clocks may differ.
func TestStartByAnotherClock(t *testing.T) {
	const coldFor, coldBears = 8000, 20
	for _, back := range []bool{false, true} { // from outside, where the engine knows it
		s := begin(t, false)
		s.setAsideAll()
		s.pass(10_000)
		start := s.now - coldFor + 20
		if back {
			s.e.SetOutsideWorkingSet(s.now, []uint32{9}, true)
		}
		s.e.BeginWorkingSet(s.now, false)
		s.e.AddListNode(9, "b", logic.Ready, start, 16, 32, 0, 0, 0)
		s.e.OnConnected(s.now, 9, 1, 0)
		s.e.OnHeldAll(s.now, 9)
		s.e.SetOutsideWorkingSet(s.now, []uint32{9}, false)
		if offers := s.offersAfter(start, coldFor+30); offers == 0 || offers > coldBears {
			t.Errorf("known before %t: %d offers to a node that may be cold", back, offers)
		}
	}
}

// TestHeldForANodeThatJustStarted has attempts wait for the connection to a warm node that was started anew meanwhile, of
// an engine that takes no part in cold nodes: none is sent.
func TestHeldForANodeThatJustStarted(t *testing.T) {
	s := begin(t, false)
	s.pass(10_000)
	s.e.SetSchedulerCount(0)
	s.e.SetOutsideWorkingSet(s.now, []uint32{2, 3, 4}, true)
	s.e.OnDisconnected(s.now, 1, "restart")
	for ref := range uint64(40) {
		if err := s.e.Allocate(s.now, 1, ref+1, restartable, 0, ref, ref, 0.1, 0.1, 5000, 1); err != nil {
			t.Fatal(err)
		}
	}
	s.pass(20)
	if held := len(s.e.nodes[s.e.nodeIndex[1]].allocations); held == 0 {
		t.Fatal("no attempt waits for the node")
	}
	s.e.OnConnected(s.now, 1, 2, s.now-5)
	s.e.OnHeldAll(s.now, 1)
	s.pass(200)
	if s.seen[1] > 0 {
		t.Errorf("%d offers to a cold node", s.seen[1])
	}
}
