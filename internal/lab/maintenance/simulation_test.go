package maintenance

import "testing"

func TestWeek(t *testing.T) {
	run := Month{Seed: 1, Days: 2, Processes: 8}
	first, second := run.Play(), run.Play()
	if first != second {
		t.Errorf("the same seed, two traces:\n%+v\n%+v", first, second)
	}
	if first.LatePlacements+first.Overlaps > 0 || first.Kept < 3 || first.Postponed == 0 || first.Refused == 0 || first.Starts < 100 ||
		first.Restarts == 0 || first.MovedOff == 0 {
		t.Errorf("%+v", first)
	}
}

// TestInjectedFaults plants faults that a run must find; the seeds are ones whose windows and failures bring them about.
func TestInjectedFaults(t *testing.T) {
	for _, c := range []struct {
		plant Fault
		seed  uint64
		days  int
	}{{NoGuard, 3, 1}, {PerProcess, 1, 1}, {NoRecall, 2, 4}} {
		t.Run(string(c.plant), func(t *testing.T) {
			t.Parallel()
			month := Month{Seed: c.seed, Days: c.days, Processes: 8, Fault: c.plant}
			if r := month.Play(); r.LatePlacements+r.Overlaps == 0 {
				t.Errorf("not found: %+v", r)
			}
		})
	}
}
