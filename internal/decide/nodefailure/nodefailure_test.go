package nodefailure

import "testing"

// TestLost follows a node from its last word at 1000: looks that fail every 400 ms, refused or unreached.
func TestLost(t *testing.T) {
	for _, c := range []struct {
		name     string
		refusal  func(i int) bool
		back     float64 // when a look comes through, 0: never
		gone     bool
		at       float64 // lost by then, 0: never
		atLatest float64
	}{
		{"it refuses", func(int) bool { return true }, 0, false, 2000, 3500},
		{"nothing reaches it", func(int) bool { return false }, 0, false, 8500, 8800},
		{"it refuses now and then", func(i int) bool { return i%3 > 0 }, 0, false, 8500, 8800},
		{"it is full for a moment", func(int) bool { return true }, 2000, false, 0, 0},
		{"it is cut off and comes back", func(int) bool { return false }, 7000, false, 0, 0},
		{"the list has it no more", func(int) bool { return false }, 0, true, 1000, 1100},
	} {
		t.Run(c.name, func(t *testing.T) {
			var w Detector
			w.OnContact(1000)
			looks, lostAt := 0, 0.0
			for now := 1000.0; now < 20000 && lostAt == 0; now += 100 {
				linked := c.back > 0 && now > c.back
				if !c.gone && w.IsProbeDue(now, linked) {
					w.OnProbe(now)
					looks++
					if c.back > 0 && now >= c.back {
						w.OnContact(now)
					} else {
						w.OnProbeFailed(now, c.refusal(looks))
					}
				}
				if w.IsLost(now, c.gone, linked) {
					lostAt = now
				}
			}
			if lostAt < c.at || lostAt > c.atLatest {
				t.Errorf("lost at %g after %d looks, want from %g to %g", lostAt, looks, c.at, c.atLatest)
			}
		})
	}
}

// TestLook looks for a node that is quiet, not for one that is heard.
func TestLook(t *testing.T) {
	var w Detector
	looks := 0
	for now := 1000.0; now < 11000; now += 100 {
		w.OnContact(now)
		if w.IsProbeDue(now, true) {
			w.OnProbe(now)
			looks++
		}
	}
	if looks > 0 {
		t.Errorf("%d looks for one that is heard", looks)
	}
	for now := 11000.0; now < 21000; now += 100 {
		if w.IsProbeDue(now, true) {
			w.OnProbe(now)
			looks++
			w.OnContact(now)
		}
	}
	if looks < 3 || looks > 6 {
		t.Errorf("%d looks in 10 s for one that is quiet but there", looks)
	}
}

// TestMissed has looks fail for want of descriptors here: the node is not called lost by that, and is looked for again.
func TestMissed(t *testing.T) {
	var w Detector
	w.OnContact(1000)
	looks := 0
	for now := 1000.0; now < 21000; now += 100 {
		if w.IsProbeDue(now, false) {
			w.OnProbe(now)
			looks++
			w.OnProbeSkipped()
		}
		if w.IsLost(now, false, false) {
			t.Fatalf("lost at %g", now)
		}
	}
	if looks < 40 || w.SinceContact(21000) > 500 {
		t.Errorf("%d looks, the last %g ms ago", looks, w.SinceContact(21000))
	}
}
