package watchdog

import "testing"

func TestCheck(t *testing.T) {
	for _, c := range []struct {
		name        string
		heartbeatAt func(now float64, shard int) float64
		pause       bool // the process is paused at 3 s for 3 s
		fences      [3]int
	}{
		{"all shards run", func(now float64, _ int) float64 { return now }, false, [3]int{}},
		{"one shard stalls", func(now float64, i int) float64 {
			if i == 1 {
				return 0
			}
			return now
		}, false, [3]int{0, 4, 0}},
		{"the process is paused", func(now float64, _ int) float64 { return now - 50 }, true, [3]int{}},
		{"heartbeats late but within the time-out", func(now float64, _ int) float64 { return now - 900 }, false, [3]int{}},
	} {
		t.Run(c.name, func(t *testing.T) {
			fences, starts := simulate(c.heartbeatAt, c.pause)
			if fences != c.fences {
				t.Errorf("got shards fenced %v and restarted %v times, want fenced %v times", fences, starts, c.fences)
			}
			for i := range starts {
				if fences[i]-starts[i] > 1 || starts[i] > fences[i] {
					t.Errorf("shard %d: got %d restarts after %d fences, want as many or 1 less", i, starts[i], fences[i])
				}
			}
		})
	}
}

// simulate checks three shards for 13 s and returns how often each is fenced and restarted. With pause, the process is paused at 3 s for 3 s.
func simulate(heartbeatAt func(now float64, shard int) float64, pause bool) (fences, starts [3]int) {
	w := New(0, len(fences))
	for now := 100.0; now < 13000; now += 100 {
		if pause && now == 3000 {
			now += 3000
		}
		heartbeats := make([]float64, len(fences))
		for i := range heartbeats {
			heartbeats[i] = heartbeatAt(now, i)
			if pause && now == 6000 {
				heartbeats[i] = 2950
			}
		}
		fence, start := w.Check(now, heartbeats)
		for _, i := range fence {
			fences[i]++
		}
		for _, i := range start {
			starts[i]++
		}
	}
	return fences, starts
}
