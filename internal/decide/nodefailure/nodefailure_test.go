package nodefailure

import "testing"

// TestIsLost follows a node from its last contact at 1000 ms, with checks that fail every 400 ms.
func TestIsLost(t *testing.T) {
	for _, c := range []struct {
		name     string
		refused  func(check int) bool
		back     float64 // when a check succeeds, 0: never
		removed  bool    // from the node list
		at       float64 // lost by then, 0: never
		atLatest float64
	}{
		{"it refuses", func(int) bool { return true }, 0, false, 2000, 3500},
		{"nothing reaches it", func(int) bool { return false }, 0, false, 8500, 8800},
		{"it refuses now and then", func(i int) bool { return i%3 > 0 }, 0, false, 8500, 8800},
		{"it is full for a moment", func(int) bool { return true }, 2000, false, 0, 0},
		{"it is cut off and comes back", func(int) bool { return false }, 7000, false, 0, 0},
		{"it is removed from the list", func(int) bool { return false }, 0, true, 1000, 1100},
	} {
		t.Run(c.name, func(t *testing.T) {
			lostAt := simulate(c.refused, c.back, c.removed)
			if lostAt < c.at || lostAt > c.atLatest {
				t.Errorf("lost at %g, want from %g to %g", lostAt, c.at, c.atLatest)
			}
		})
	}
}

// simulate returns when a node is lost whose last contact was at 1000, 0 if never. Checks fail until back, if that is not 0, and are refused
// by their number.
func simulate(refused func(check int) bool, back float64, removed bool) float64 {
	var d Detector
	d.OnContact(1000)
	checks := 0
	for now := 1000.0; now < 20000; now += 100 {
		connected := back > 0 && now > back
		if !removed && d.IsProbeDue(now, connected) {
			d.OnProbe(now)
			checks++
			if back > 0 && now >= back {
				d.OnContact(now)
			} else {
				d.OnProbeFailed(now, refused(checks))
			}
		}
		if d.IsLost(now, removed, connected) {
			return now
		}
	}
	return 0
}

// TestIsProbeDue checks that a silent node is checked, and one that is heard from is not.
func TestIsProbeDue(t *testing.T) {
	var d Detector
	checks := 0
	for now := 1000.0; now < 11000; now += 100 {
		d.OnContact(now)
		if d.IsProbeDue(now, true) {
			d.OnProbe(now)
			checks++
		}
	}
	if checks > 0 {
		t.Errorf("%d checks of one that is heard from", checks)
	}
	for now := 11000.0; now < 21000; now += 100 {
		if d.IsProbeDue(now, true) {
			d.OnProbe(now)
			checks++
			d.OnContact(now)
		}
	}
	if checks < 3 || checks > 6 {
		t.Errorf("%d checks in 10 s of one that is silent but there", checks)
	}
}

// TestOnProbeSkipped has checks fail for lack of descriptors here: the node is not lost by that, and is checked again.
func TestOnProbeSkipped(t *testing.T) {
	var d Detector
	d.OnContact(1000)
	checks := 0
	for now := 1000.0; now < 21000; now += 100 {
		if d.IsProbeDue(now, false) {
			d.OnProbe(now)
			checks++
			d.OnProbeSkipped()
		}
		if d.IsLost(now, false, false) {
			t.Fatalf("lost at %g", now)
		}
	}
	if checks < 40 || d.SinceContact(21000) > 500 {
		t.Errorf("%d checks, the last %g ms ago", checks, d.SinceContact(21000))
	}
}
