package watchdog

import "testing"

func TestCheck(t *testing.T) {
	for _, c := range []struct {
		name   string
		beat   func(now float64, shard int) float64
		pause  bool // the process is paused at 3 s for 3 s
		fences [3]int
	}{
		{"all run", func(now float64, _ int) float64 { return now }, false, [3]int{}},
		{"one stalls", func(now float64, i int) float64 {
			if i == 1 {
				return 0
			}
			return now
		}, false, [3]int{0, 4, 0}},
		{"the process is paused", func(now float64, _ int) float64 { return now - 50 }, true, [3]int{}},
		{"a hiccup", func(now float64, _ int) float64 { return now - 900 }, false, [3]int{}},
	} {
		t.Run(c.name, func(t *testing.T) {
			fences, starts := simulate(c.beat, c.pause)
			if fences != c.fences {
				t.Errorf("fenced %v, started %v, want %v", fences, starts, c.fences)
			}
			for i := range starts {
				if fences[i]-starts[i] > 1 || starts[i] > fences[i] {
					t.Errorf("shard %d: %d starts after %d fences", i, starts[i], fences[i])
				}
			}
		})
	}
}

// simulate checks three shards for 13 s, and returns how often each is fenced and started again. With pause the process is paused at 3 s for
// 3 s.
func simulate(beat func(now float64, shard int) float64, pause bool) (fences, starts [3]int) {
	w := New(0, len(fences))
	for now := 100.0; now < 13000; now += 100 {
		if pause && now == 3000 {
			now += 3000
		}
		beats := make([]float64, len(fences))
		for i := range beats {
			beats[i] = beat(now, i)
			if pause && now == 6000 {
				beats[i] = 2950
			}
		}
		fence, start := w.Check(now, beats)
		for _, i := range fence {
			fences[i]++
		}
		for _, i := range start {
			starts[i]++
		}
	}
	return fences, starts
}
