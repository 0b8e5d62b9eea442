package month

import (
	"fmt"
	"testing"
)

func TestWeek(t *testing.T) {
	run := Run{Seed: 1, Days: 4, Processes: 8}
	first, second := run.Play(), run.Play()
	if first != second {
		t.Errorf("the same seed, two traces:\n%+v\n%+v", first, second)
	}
	if first.Late+first.Overlaps > 0 || first.Kept < 4 || first.Postponed == 0 || first.Refused == 0 || first.Starts < 100 ||
		first.Restarts == 0 || first.Moved == 0 {
		t.Errorf("%+v", first)
	}
}

func TestPlanted(t *testing.T) {
	for _, p := range []Plant{NoGuard, PerProcess, NoRecall} {
		t.Run(string(p), func(t *testing.T) {
			for seed := uint64(1); seed <= 4; seed++ {
				if r := (Run{Seed: seed, Days: 4, Processes: 8, Plant: p}).Play(); r.Late+r.Overlaps > 0 {
					t.Log(fmt.Sprint(seed, ": ", r.First))
					return
				}
			}
			t.Error("not found")
		})
	}
}
