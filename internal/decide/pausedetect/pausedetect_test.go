package pausedetect

import "testing"

func TestOnRound(t *testing.T) {
	for _, c := range []struct {
		name          string
		gap           float64
		arrivalsUntil float64 // ms after the pause until which something arrives before each round
		wantPause     bool
		wantDelay     float64 // ms after the pause until a round may act
	}{
		{"no pause", 100, 0, false, 0},
		{"pause without further arrivals", 3000, 0, true, settleTime},
		{"pause with arrivals for 200 ms", 3000, 200, true, 205},
		{"pause with endless arrivals", 3000, 1e9, true, maxSettleTime - settleTime},
	} {
		t.Run(c.name, func(t *testing.T) {
			var d Detector
			d.OnRound(1000, false)
			pauseEnd := 1000 + c.gap
			pause, mayAct := d.OnRound(pauseEnd, true)
			if (pause > 0) != c.wantPause || mayAct == c.wantPause {
				t.Fatalf("first round after the gap: got a pause of %g ms, may act %t, want either a pause or a round that may act", pause, mayAct)
			}
			now := pauseEnd
			for !mayAct && now < pauseEnd+10000 {
				now += 5
				_, mayAct = d.OnRound(now, now-pauseEnd < c.arrivalsUntil)
			}
			if got := now - pauseEnd; got < c.wantDelay || got > c.wantDelay+15 {
				t.Errorf("got the first round that may act %g ms after the pause, want %g ms or up to 15 ms more", got, c.wantDelay)
			}
		})
	}
}
