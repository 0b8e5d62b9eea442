package balance

import (
	"math"
	"testing"
)

func near(a, b float64) bool { return math.Abs(a-b) < 1e-9 }

// TestFigures holds what a watch comes to against counts by hand.
func TestFigures(t *testing.T) {
	w := &Recorder{}
	for i := range 100 {
		load := map[uint32]float64{1: 1, 2: 1, 3: 1, 4: 1}
		if i >= 40 && i < 60 { // a rush to one, and one that nobody takes
			load = map[uint32]float64{1: 3, 2: 0, 3: 0.5, 4: 0.5}
		}
		w.AddSample(Sample{At: float64(i) * 100, Load: load})
	}
	for _, at := range []float64{0, 100, 200, 550, 700} {
		w.AddPlacement(at, 7)
	}
	w.AddPlacement(150, 8)
	w.AddRejection()
	for i := range 10 {
		w.AddRequest()
		w.AddResponse(i > 0, float64(i))
	}
	f := w.Summarize(0, 10000)
	if !near(f.FullestP50, 1) || !near(f.FullestP99, 3) || !near(f.MeanLoad, 1) || !near(f.Jain, 0.8+0.2*16/(4*9.5)) || f.LongestIdle != 1900 || f.MaxConcurrent != 3 ||
		!near(f.Rejected, 1.0/6) || f.StartP99 != 9 || !near(f.Served, 0.9) || !near(f.Variation, 0.2*math.Sqrt(9.5/4-1)) {
		t.Errorf("%+v", f)
	}
	if got := w.TimeToBalance(2000, 1.25); got != 0 {
		t.Errorf("even after %.0f ms where it was", got)
	}
	if got := w.TimeToBalance(3950, 1.25); got != 2050 {
		t.Errorf("even after %.0f ms, want 2050", got)
	}
	if got := w.TimeToBalance(9500, 1.25); !math.IsInf(got, 1) {
		t.Errorf("even after %.0f ms, where nobody looked for a second", got)
	}
	if calm := w.Summarize(6000, 10000); calm.LongestIdle != 0 || !near(calm.FullestMax, 1) || calm.MaxConcurrent != 0 {
		t.Errorf("%+v", calm)
	}
}
