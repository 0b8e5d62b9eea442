package pausedetect

import "testing"

func TestRound(t *testing.T) {
	for _, c := range []struct {
		name  string
		gap   float64
		news  float64 // for so long after, each round brings news
		stood bool
		until float64 // after the gap
	}{
		{"as usual", 100, 0, false, 0},
		{"stood still, nothing came", 3000, 0, true, settleTime},
		{"stood still, much came", 3000, 200, true, 205},
		{"news without end", 3000, 1e9, true, maxSettleTime - settleTime},
	} {
		t.Run(c.name, func(t *testing.T) {
			var w Detector
			w.OnRound(1000, false)
			begin := 1000 + c.gap
			stood, act := w.OnRound(begin, true)
			if (stood > 0) != c.stood || act == c.stood {
				t.Fatalf("stood %g, acts %t", stood, act)
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
