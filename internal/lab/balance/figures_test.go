package balance

import (
	"math"
	"testing"
)

func near(a, b float64) bool { return math.Abs(a-b) < 1e-9 }

// TestFigures compares the figures of a short recording with values computed by hand.
func TestFigures(t *testing.T) {
	recorder := &Recorder{}
	for i := range 100 {
		load := map[uint32]float64{1: 1, 2: 1, 3: 1, 4: 1}
		if i >= 40 && i < 60 { // node 1 is overloaded and node 2 is empty
			load = map[uint32]float64{1: 3, 2: 0, 3: 0.5, 4: 0.5}
		}
		recorder.AddSample(Sample{At: float64(i) * 100, Load: load})
	}
	for _, at := range []float64{0, 100, 200, 550, 700} {
		recorder.AddPlacement(at, 7)
	}
	recorder.AddPlacement(150, 8)
	recorder.AddRejection()
	for i := range 10 {
		recorder.AddRequest()
		recorder.AddResponse(i > 0, float64(i))
	}
	f := recorder.Summarize(0, 10000)
	if !near(f.FullestP50, 1) || !near(f.FullestP99, 3) || !near(f.MeanLoad, 1) || !near(f.Jain, 0.8+0.2*16/(4*9.5)) || f.LongestIdle != 1900 || f.MaxConcurrent != 3 ||
		!near(f.Rejected, 1.0/6) || f.StartP99 != 9 || !near(f.Served, 0.9) || !near(f.Variation, 0.2*math.Sqrt(9.5/4-1)) {
		t.Errorf("got %+v, want the values computed by hand", f)
	}
	if got := recorder.TimeToBalance(2000, 1.25); got != 0 {
		t.Errorf("got balanced after %.0f ms, want 0: it was balanced from the start", got)
	}
	if got := recorder.TimeToBalance(3950, 1.25); got != 2050 {
		t.Errorf("got balanced after %.0f ms, want 2050", got)
	}
	if got := recorder.TimeToBalance(9500, 1.25); !math.IsInf(got, 1) {
		t.Errorf("got balanced after %.0f ms, want infinity: less than 1 s was recorded", got)
	}
	if balanced := recorder.Summarize(6000, 10000); balanced.LongestIdle != 0 || !near(balanced.FullestMax, 1) || balanced.MaxConcurrent != 0 {
		t.Errorf("got %+v from 6000 ms on, want a balanced load without offers", balanced)
	}
}
