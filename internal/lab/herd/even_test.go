package herd

import (
	"math"
	"testing"
)

func near(a, b float64) bool { return math.Abs(a-b) < 1e-9 }

// TestFigures holds what a watch comes to against counts by hand.
func TestFigures(t *testing.T) {
	w := &Watch{}
	for i := range 100 {
		load := map[uint32]float64{1: 1, 2: 1, 3: 1, 4: 1}
		if i >= 40 && i < 60 { // a rush to one, and one that nobody takes
			load = map[uint32]float64{1: 3, 2: 0, 3: 0.5, 4: 0.5}
		}
		w.See(Moment{At: float64(i) * 100, Load: load})
	}
	for _, at := range []float64{0, 100, 200, 550, 700} {
		w.Offer(at, 7)
	}
	w.Offer(150, 8)
	w.Refuse()
	for i := range 10 {
		w.Ask()
		w.Answer(i > 0, float64(i))
	}
	f := w.Figures(0, 10000)
	if !near(f.Fullest50, 1) || !near(f.Fullest99, 3) || !near(f.Mean, 1) || !near(f.Jain, 0.8+0.2*16/(4*9.5)) || f.Idle != 1900 || f.Together != 3 ||
		!near(f.Refused, 1.0/6) || f.Start99 != 9 || !near(f.Served, 0.9) || !near(f.Vary, 0.2*math.Sqrt(9.5/4-1)) {
		t.Errorf("%+v", f)
	}
	if got := w.Even(2000, 1.25); got != 0 {
		t.Errorf("even after %.0f ms where it was", got)
	}
	if got := w.Even(3950, 1.25); got != 2050 {
		t.Errorf("even after %.0f ms, want 2050", got)
	}
	if got := w.Even(9500, 1.25); !math.IsInf(got, 1) {
		t.Errorf("even after %.0f ms, where nobody looked for a second", got)
	}
	if calm := w.Figures(6000, 10000); calm.Idle != 0 || !near(calm.FullestMost, 1) || calm.Together != 0 {
		t.Errorf("%+v", calm)
	}
}
