package drainpace

import (
	"testing"

	"ravenpond/logic"
)

func TestMoves(t *testing.T) {
	for _, c := range []struct {
		name          string
		manner        Policy
		left, running int
		lead          float64
		first, last   float64 // seconds at which the first and the last is moved, -1: none is
		most          int     // in one second
	}{
		{"early", Early, 60, 3000, 100e3, 1, 90, 2},
		{"late", Late, 60, 3000, 100e3, 61, 90, 3},
		{"run out", RunOut, 60, 3000, 100e3, -1, -1, 0},
		{"more than the fleet bears", Late, 1000, 1000, 100e3, 61, 110, 21},
		{"without a lead", Late, 100, 1000, 0, 1, 5, 21},
		{"nothing there", Early, 0, 1000, 100e3, -1, -1, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			left, first, last, most := c.left, -1.0, -1.0, 0
			for s := 1.0; s <= 200; s++ {
				n := Evictions(c.manner, s*1000, 0, c.lead, (s-1)*1000, left, c.running)
				if n > 0 && first < 0 {
					first = s
				}
				if n > 0 {
					last = s
				}
				left -= n
				most = max(most, n)
			}
			if first != c.first || last > c.last || most > c.most || c.first >= 0 && left != 0 {
				t.Errorf("first at %g, last at %g, %d in a second, %d left", first, last, most, left)
			}
		})
	}
	if DefaultPolicy(logic.AtMostOnce) != RunOut || DefaultPolicy(logic.Restartable) != Late {
		t.Error("usual manners")
	}
	if n := Evictions(Early, 100e3, 0, 200e3, 0, 1000, 100); n > 10 {
		t.Errorf("%d at once after a stand-still", n)
	}
}
