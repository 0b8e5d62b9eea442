package maintenance

import "testing"

// TestSimulation runs a simulation twice with one seed. Both runs must be identical and without violations, and every kind of event must occur.
func TestSimulation(t *testing.T) {
	month := Month{Seed: 1, Days: 2, Processes: 8}
	first, second := month.Play(), month.Play()
	if first != second {
		t.Errorf("got different reports from two runs with the same seed:\n%+v\n%+v", first, second)
	}
	if first.LatePlacements+first.Overlaps > 0 || first.Kept < 3 || first.Postponed == 0 || first.Refused == 0 || first.Starts < 100 ||
		first.Restarts == 0 || first.MovedOff == 0 {
		t.Errorf("got %+v, want no late placements or overlaps, at least 3 windows kept and 100 starts, and some of each other kind of event", first)
	}
}

// TestInjectedFaults injects faults that the checks must find. The windows and failures of these seeds make each fault cause a violation.
func TestInjectedFaults(t *testing.T) {
	for _, c := range []struct {
		fault Fault
		seed  uint64
		days  int
	}{{NoClockGuard, 3, 1}, {OverlapsPerProcess, 1, 1}, {NoRecall, 2, 4}} {
		t.Run(string(c.fault), func(t *testing.T) {
			t.Parallel()
			month := Month{Seed: c.seed, Days: c.days, Processes: 8, Fault: c.fault}
			if r := month.Play(); r.LatePlacements+r.Overlaps == 0 {
				t.Errorf("got no violation from the injected fault: %+v", r)
			}
		})
	}
}
