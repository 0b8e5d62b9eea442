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
		first, last        float64 // second of the first eviction, and latest second of the last one; -1: none
		limit              int     // maximum evictions in one second
	}{
		{"early", Early, 60, 3000, 100e3, 1, 90, 2},
		{"late", Late, 60, 3000, 100e3, 61, 90, 3},
		{"run out", RunOut, 60, 3000, 100e3, -1, -1, 0},
		{"more than the rate limit allows in time", Late, 1000, 1000, 100e3, 61, 110, 21},
		{"no lead time", Late, 100, 1000, 0, 1, 5, 21},
		{"no allocations", Early, 0, 1000, 100e3, -1, -1, 0},
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
				t.Errorf("first eviction at %g s, last at %g s, up to %d in a second, %d remaining; want the times and limit of the case, and none remaining",
					first, last, most, remaining)
			}
		})
	}
	if DefaultPolicy(logic.AtMostOnce) != RunOut || DefaultPolicy(logic.Restartable) != Late {
		t.Error("wrong default policy, want RunOut for at-most-once classes and Late for restartable ones")
	}
	if n := Evictions(Early, Progress{Now: 100e3, WindowStart: 200e3, Remaining: 1000, Running: 100}); n > 10 {
		t.Errorf("got %d evictions at once after a pause of the process, want at most 10", n)
	}
}
