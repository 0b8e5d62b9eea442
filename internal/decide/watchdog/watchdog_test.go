package watchdog

import "testing"

func TestLook(t *testing.T) {
	for _, c := range []struct {
		name   string
		beat   func(now float64, shard int) float64
		pause  bool // the process itself stands still at 3 s for 3 s
		fences [3]int
	}{
		{"all run", func(now float64, _ int) float64 { return now }, false, [3]int{}},
		{"one stands still", func(now float64, i int) float64 {
			if i == 1 {
				return 0
			}
			return now
		}, false, [3]int{0, 4, 0}},
		{"the process stands still", func(now float64, _ int) float64 { return now - 50 }, true, [3]int{}},
		{"a hiccup", func(now float64, _ int) float64 { return now - 900 }, false, [3]int{}},
	} {
		t.Run(c.name, func(t *testing.T) {
			d, fences, starts := New(0, 3), [3]int{}, [3]int{}
			for now := 100.0; now < 13000; now += 100 {
				if c.pause && now == 3000 {
					now += 3000
				}
				beats := make([]float64, 3)
				for i := range beats {
					beats[i] = c.beat(now, i)
					if c.pause && now == 6000 {
						beats[i] = 2950
					}
				}
				fence, start := d.Check(now, beats)
				for _, i := range fence {
					fences[i]++
				}
				for _, i := range start {
					starts[i]++
				}
			}
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
