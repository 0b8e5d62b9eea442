package serve

import "testing"

// TestStallDetector makes checks at intervals of 100 ms, some of them late.
func TestStallDetector(t *testing.T) {
	for _, c := range []struct {
		name   string
		checks []float64 // ms
		now    float64
		want   float64
	}{
		{"on time", []float64{100, 200, 300}, 350, 0},
		{"a check is a little late", []float64{100, 290}, 300, 0},
		{"a check is overdue", []float64{100, 200}, 700, 500},
		{"the last check was late", []float64{100, 900, 1000}, 1000, 800},
		{"a late check is no longer recent", []float64{100, 900, 1000, 1100, 1200, 1300, 1400, 1500, 1600, 1700, 1800, 1900}, 1950, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			d := stallDetector{interval: 100}
			d.start(0)
			for _, at := range c.checks {
				d.check(at)
			}
			if got := d.recent(c.now); got != c.want {
				t.Errorf("recent stall of %g ms, want %g", got, c.want)
			}
		})
	}
}
