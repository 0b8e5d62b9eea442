package pausedetect

import "testing"

func TestOnRound(t *testing.T) {
	for _, c := range []struct {
		name  string
		gap   float64
		news  float64 // ms after the pause in which something arrives before each round
		stood bool
		until float64 // after the gap
	}{
		{"as usual", 100, 0, false, 0},
		{"paused, nothing arrived", 3000, 0, true, settleTime},
		{"paused, much arrived", 3000, 200, true, 205},
		{"arrivals without end", 3000, 1e9, true, maxSettleTime - settleTime},
	} {
		t.Run(c.name, func(t *testing.T) {
			var w Detector
			w.OnRound(1000, false)
			begin := 1000 + c.gap
			stood, act := w.OnRound(begin, true)
			if (stood > 0) != c.stood || act == c.stood {
				t.Fatalf("pause %g, may act %t", stood, act)
			}
			at := begin
			for !act && at < begin+10000 {
				at += 5
				_, act = w.OnRound(at, at-begin < c.news)
			}
			if got := at - begin; got < c.until || got > c.until+15 {
				t.Errorf("acts %g ms after, want %g", got, c.until)
			}
		})
	}
}
