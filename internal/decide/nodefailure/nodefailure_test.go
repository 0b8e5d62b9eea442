package nodefailure

import "testing"

// TestIsLost simulates a node from its last contact at 1000 ms, with failing probes every 400 ms.
func TestIsLost(t *testing.T) {
	for _, c := range []struct {
		name        string
		refused     func(probe int) bool // whether a failing probe is refused, by its number
		recoveredAt float64              // probes succeed from then on, 0: never
		removed     bool                 // from the node list
		earliest    float64              // range of the time of the loss, 0 to 0: never lost
		latest      float64
	}{
		{"refuses every connection", func(int) bool { return true }, 0, false, 2000, 3500},
		{"does not answer", func(int) bool { return false }, 0, false, 8500, 8800},
		{"refuses two of three connections", func(i int) bool { return i%3 > 0 }, 0, false, 8500, 8800},
		{"refuses connections for 1 s", func(int) bool { return true }, 2000, false, 0, 0},
		{"does not answer for 6 s", func(int) bool { return false }, 7000, false, 0, 0},
		{"removed from the node list", func(int) bool { return false }, 0, true, 1000, 1100},
	} {
		t.Run(c.name, func(t *testing.T) {
			lostAt := simulate(c.refused, c.recoveredAt, c.removed)
			if lostAt < c.earliest || lostAt > c.latest {
				t.Errorf("got lost at %g ms, want from %g to %g ms (0: never)", lostAt, c.earliest, c.latest)
			}
		})
	}
}

// simulate returns when a node counts as lost whose last contact was at 1000 ms, or 0 if never. Probes fail until recoveredAt, or always if
// that is 0; refused says by the number of a failing probe whether it is refused.
func simulate(refused func(probe int) bool, recoveredAt float64, removed bool) float64 {
	var d Detector
	d.OnContact(1000)
	probes := 0
	for now := 1000.0; now < 20000; now += 100 {
		connected := recoveredAt > 0 && now > recoveredAt
		if !removed && d.IsProbeDue(now, connected) {
			d.OnProbe(now)
			probes++
			if recoveredAt > 0 && now >= recoveredAt {
				d.OnContact(now)
			} else {
				d.OnProbeFailed(now, refused(probes))
			}
		}
		if d.IsLost(now, removed, connected) {
			return now
		}
	}
	return 0
}

// TestIsProbeDue checks that a silent node is probed, and that one with contacts is not.
func TestIsProbeDue(t *testing.T) {
	var d Detector
	probes := 0
	for now := 1000.0; now < 11000; now += 100 {
		d.OnContact(now)
		if d.IsProbeDue(now, true) {
			d.OnProbe(now)
			probes++
		}
	}
	if probes > 0 {
		t.Errorf("got %d probes of a node with a contact every 100 ms, want none", probes)
	}
	for now := 11000.0; now < 21000; now += 100 {
		if d.IsProbeDue(now, true) {
			d.OnProbe(now)
			probes++
			d.OnContact(now)
		}
	}
	if probes < 3 || probes > 6 {
		t.Errorf("got %d probes in 10 s of a silent node that answers probes, want 3 to 6", probes)
	}
}

// TestOnProbeSkipped skips every probe, as for lack of file descriptors in this process: the node must not count as lost because of that, and
// must be probed again.
func TestOnProbeSkipped(t *testing.T) {
	var d Detector
	d.OnContact(1000)
	probes := 0
	for now := 1000.0; now < 21000; now += 100 {
		if d.IsProbeDue(now, false) {
			d.OnProbe(now)
			probes++
			d.OnProbeSkipped()
		}
		if d.IsLost(now, false, false) {
			t.Fatalf("node counts as lost at %g ms, want never", now)
		}
	}
	if probes < 40 || d.SinceContact(21000) > 500 {
		t.Errorf("got %d probes, the last one %g ms ago; want at least 40, and at most 500 ms", probes, d.SinceContact(21000))
	}
}
