package workingset

import "testing"

// simulateShortage reports a shortage of all kinds for 5 s. It returns the largest number of nodes that were added within one second, and the
// time in ms until the set had grown by half, 0 if it never had.
func simulateShortage(faults Faults) (maxPerSecond int, grownAfter float64) {
	c, s := newSingleSet(30, 14000, Config{MinNodes: 480, Coverage: 1, Faults: faults})
	usual, startedAt := s.Size(), c.now
	var added []int
	for range 50 {
		s.OnShortage(AnyKind)
		n := len(s.Step(c.now).Added)
		added = append(added, n)
		if grownAfter == 0 && s.Size() >= 3*usual/2 {
			grownAfter = c.now - startedAt + 100
		}
		c.now += 100
	}
	for i := range added[9:] {
		sum := 0
		for _, n := range added[i : i+10] {
			sum += n
		}
		maxPerSecond = max(maxPerSecond, sum)
	}
	return maxPerSecond, grownAfter
}

func TestWidensAtABoundedRate(t *testing.T) {
	maxPerSecond, grownAfter := simulateShortage(Faults{})
	if maxPerSecond > 480*3/2+10 || grownAfter == 0 || grownAfter > 1000 {
		t.Errorf("got up to %d nodes added in a second, and growth by half after %.0f ms (0: never), want at most 730 nodes and 1000 ms",
			maxPerSecond, grownAfter)
	}
	if maxPerSecond, _ := simulateShortage(Faults{UnboundedWidening: true}); maxPerSecond <= 480*3/2+10 {
		t.Errorf("unbounded widening passes the check: up to %d nodes added in a second, want over 730", maxPerSecond)
	}
}

// TestShortKindWidensAlone checks that a shortage of one machine kind widens the set for that kind only.
func TestShortKindWidensAlone(t *testing.T) {
	c, s := newSingleSet(30, 1300, Config{MinNodes: 60, Coverage: 1})
	for range 50 { // 15 s, because widening adds 60 nodes per second
		s.OnShortage(1)
		s.Step(c.now)
		c.now += 300
	}
	var inSet [kinds]int
	for i := range c.nodes {
		if n := nodeOf(i); s.Contains(n.ID) {
			inSet[n.Kind]++
		}
	}
	if inSet[0] > 60 || inSet[1] < 600 {
		t.Errorf("nodes in the set by kind: %v, want at most 60 of kind 0 and at least 600 of kind 1", inSet)
	}
}

// simulatePulses reports a shortage of all kinds once per interval (ms). It returns how many nodes were added, and by how many nodes the set
// exceeded its usual size at most.
func simulatePulses(interval, total float64, faults Faults) (added, maxExtra int) {
	c, s := newSingleSet(30, 1300, Config{MinNodes: 100, Coverage: 1, Faults: faults})
	usual := s.Size()
	next := c.now
	for end := c.now + total; c.now < end; c.now += 100 {
		if c.now >= next {
			s.OnShortage(AnyKind)
			next += interval
		}
		added += len(s.Step(c.now).Added)
		maxExtra = max(maxExtra, s.Size())
	}
	return added, maxExtra - usual
}

func TestDoesNotFlap(t *testing.T) {
	for _, interval := range []float64{2000, 40_000, 70_000} {
		added, maxExtra := simulatePulses(interval, 20*60_000, Faults{})
		if added > 6*max(maxExtra, 100) {
			t.Errorf("a shortage every %.0f ms: %d nodes added while the set was up to %d above its usual size, want at most 6 times that or 600",
				interval, added, maxExtra)
		}
	}
	if added, maxExtra := simulatePulses(2000, 20*60_000, Faults{Flap: true}); added <= 6*max(maxExtra, 100) {
		t.Errorf("a set that flaps passes the check: %d nodes added while the set was up to %d above its usual size", added, maxExtra)
	}
}

func TestNarrowsAfterAShortage(t *testing.T) {
	c, s := newSingleSet(30, 1300, Config{MinNodes: 100, Coverage: 1})
	usual := s.Size()
	s.OnShortage(AnyKind)
	c.run(1000)
	if s.Size() < 3*usual/2 {
		t.Fatalf("got %d nodes after a shortage, want at least half as many again as the %d before it", s.Size(), usual)
	}
	c.run(narrowAfter + 1000)
	if s.Size() != usual {
		t.Errorf("got %d nodes after the hold time, want %d as before the shortage", s.Size(), usual)
	}
}

// TestLostNodesAreReplaced makes all nodes of a set unreachable at once: others must be added within a second, and the set must not narrow
// to the unreachable ones.
func TestLostNodesAreReplaced(t *testing.T) {
	c, s := newSingleSet(30, 1300, Config{MinNodes: 100, Coverage: 1})
	lost := map[uint32]bool{}
	for i := range c.nodes {
		if id := nodeOf(i).ID; s.Contains(id) {
			lost[id] = true
			s.SetReachable(id, false)
		}
	}
	reachable := func() (n int) {
		for i := range c.nodes {
			if id := nodeOf(i).ID; s.Contains(id) && !lost[id] {
				n++
			}
		}
		return n
	}
	c.run(1000)
	if n := reachable(); n < 70 {
		t.Errorf("got %d reachable nodes after 1 s, want at least 70", n)
	}
	c.run(5 * narrowAfter)
	if n := reachable(); n < 70 {
		t.Errorf("got %d reachable nodes after 150 s, want at least 70", n)
	}
	for id := range lost {
		s.SetReachable(id, true)
	}
	c.run(3 * maxHoldFactor * narrowAfter)
	if s.Size() > 130 {
		t.Errorf("got %d nodes long after all became reachable again, want at most 130", s.Size())
	}
}
