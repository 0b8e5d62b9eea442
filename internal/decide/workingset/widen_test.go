package workingset

import "testing"

// simulateShortage reports a shortage for a while. It returns how many nodes were added in the worst second, and how many ms it took until the
// set had grown by half.
func simulateShortage(faults Faults) (worst int, doubled float64) {
	c, s := oneOf(30, 14000, Config{MinNodes: 480, Coverage: 1, Faults: faults})
	usual, began := s.Size(), c.now
	var entered []int
	for range 50 {
		s.OnShortage(AnyKind)
		n := len(s.Step(c.now).Added)
		entered = append(entered, n)
		if doubled == 0 && s.Size() >= 3*usual/2 {
			doubled = c.now - began + 100
		}
		c.now += 100
	}
	for i := range entered[9:] {
		sum := 0
		for _, n := range entered[i : i+10] {
			sum += n
		}
		worst = max(worst, sum)
	}
	return worst, doubled
}

func TestWidensAtABoundedRate(t *testing.T) {
	worst, doubled := simulateShortage(Faults{})
	if worst > 480*3/2+10 || doubled == 0 || doubled > 1000 {
		t.Errorf("%d nodes in the worst second, half as many again after %.0f ms", worst, doubled)
	}
	if worst, _ := simulateShortage(Faults{UnboundedWidening: true}); worst <= 480*3/2+10 {
		t.Errorf("unbounded widening passes the check: %d in a second", worst)
	}
}

// TestShortKindWidensAlone reports a shortage of one machine kind.
func TestShortKindWidensAlone(t *testing.T) {
	c, s := oneOf(30, 1300, Config{MinNodes: 60, Coverage: 1})
	for range 50 { // because 60 nodes per second are added
		s.OnShortage(1)
		s.Step(c.now)
		c.now += 300
	}
	var inside [kinds]int
	for i := range c.nodes {
		if n := nodeOf(i); s.Contains(n.ID) {
			inside[n.Kind]++
		}
	}
	if inside[0] > 60 || inside[1] < 600 {
		t.Errorf("%v nodes by kind", inside)
	}
}

// simulatePulses reports a shortage every few seconds. It returns how many nodes were added, and the largest size of the set.
func simulatePulses(every, total float64, faults Faults) (entered, most int) {
	c, s := oneOf(30, 1300, Config{MinNodes: 100, Coverage: 1, Faults: faults})
	usual := s.Size()
	next := c.now
	for end := c.now + total; c.now < end; c.now += 100 {
		if c.now >= next {
			s.OnShortage(AnyKind)
			next += every
		}
		entered += len(s.Step(c.now).Added)
		most = max(most, s.Size())
	}
	return entered, most - usual
}

func TestDoesNotFlap(t *testing.T) {
	for _, every := range []float64{2000, 40_000, 70_000} {
		entered, extra := simulatePulses(every, 20*60_000, Faults{})
		if entered > 6*max(extra, 100) {
			t.Errorf("a shortage each %.0f ms: %d entered, the set was at most %d beyond its usual size", every, entered, extra)
		}
	}
	if entered, extra := simulatePulses(2000, 20*60_000, Faults{Flap: true}); entered <= 6*max(extra, 100) {
		t.Errorf("a set that flaps passes the check: %d entered, %d beyond", entered, extra)
	}
}

func TestNarrowsAfterAShortage(t *testing.T) {
	c, s := oneOf(30, 1300, Config{MinNodes: 100, Coverage: 1})
	usual := s.Size()
	s.OnShortage(AnyKind)
	c.run(1000)
	if s.Size() < 3*usual/2 {
		t.Fatalf("%d nodes after a shortage, %d before", s.Size(), usual)
	}
	c.run(narrowAfter + 1000)
	if s.Size() != usual {
		t.Errorf("%d nodes after the hold, %d before the shortage", s.Size(), usual)
	}
}

// TestLostNodesAreReplaced has all nodes of a set be unreachable at once: others are added within a second, and the set does not narrow to
// the unreachable ones.
func TestLostNodesAreReplaced(t *testing.T) {
	c, s := oneOf(30, 1300, Config{MinNodes: 100, Coverage: 1})
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
		t.Errorf("%d reachable nodes after a second", n)
	}
	c.run(5 * narrowAfter)
	if n := reachable(); n < 70 {
		t.Errorf("%d reachable nodes after minutes", n)
	}
	for id := range lost {
		s.SetReachable(id, true)
	}
	c.run(3 * maxHoldFactor * narrowAfter)
	if s.Size() > 130 {
		t.Errorf("%d nodes long after all came back", s.Size())
	}
}
