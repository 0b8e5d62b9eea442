package drainpace

import (
	"testing"

	"ravenpond/logic"
)

func TestEvictions(t *testing.T) {
	for _, c := range []struct {
		name               string
		policy             Policy
		remaining, running int
		lead               float64
		first, last        float64 // seconds at which the first and the last one is evicted, -1: none is
		limit              int     // in one second
	}{
		{"early", Early, 60, 3000, 100e3, 1, 90, 2},
		{"late", Late, 60, 3000, 100e3, 61, 90, 3},
		{"run out", RunOut, 60, 3000, 100e3, -1, -1, 0},
		{"more than the fleet can handle", Late, 1000, 1000, 100e3, 61, 110, 21},
		{"without a lead", Late, 100, 1000, 0, 1, 5, 21},
		{"nothing there", Early, 0, 1000, 100e3, -1, -1, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			remaining, first, last, most := c.remaining, -1.0, -1.0, 0
			for s := 1.0; s <= 200; s++ {
				n := Evictions(c.policy, Progress{Now: s * 1000, WindowStart: c.lead, LastCall: (s - 1) * 1000, Remaining: remaining, Running: c.running})
				if n > 0 && first < 0 {
					first = s
				}
				if n > 0 {
					last = s
				}
				remaining -= n
				most = max(most, n)
			}
			if first != c.first || last > c.last || most > c.limit || c.first >= 0 && remaining != 0 {
				t.Errorf("first at %g, last at %g, %d in a second, %d remain", first, last, most, remaining)
			}
		})
	}
	if DefaultPolicy(logic.AtMostOnce) != RunOut || DefaultPolicy(logic.Restartable) != Late {
		t.Error("default policies")
	}
	if n := Evictions(Early, Progress{Now: 100e3, WindowStart: 200e3, Remaining: 1000, Running: 100}); n > 10 {
		t.Errorf("%d at once after the process stood still", n)
	}
}
