package isolation

import "testing"

func TestClassify(t *testing.T) {
	for _, c := range []struct {
		alive, known int
		want         Degree
	}{{0, 0, Complete}, {1, 1, Complete}, {0, 1, Isolated}, {0, 8, Isolated}, {1, 2, Majority}, {4, 8, Majority}, {3, 8, Minority}, {3, 7, Minority}, {4, 7, Majority}, {7, 8, Majority}} {
		if got := Classify(c.alive, c.known); got != c.want {
			t.Errorf("%d of %d alive: got %s, want %s", c.alive, c.known, got, c.want)
		}
	}
	for known := range 30 { // of two parts of a partition, at most one is the majority
		for alive := range known + 1 {
			if other := known - 1 - alive; other >= 0 && Classify(alive, known) == Majority && Classify(other, known) == Majority {
				t.Errorf("parts of %d and %d members of %d are both classified as the majority, want at most one", alive+1, other+1, known+1)
			}
		}
	}
}

// TestUpdate checks that a worse degree takes effect after a delay, a better one after a longer delay, and that neither flaps.
func TestUpdate(t *testing.T) {
	var m Monitor
	changes := 0
	update := func(from, to float64, alive func(i int) int) {
		for i, now := 0, from; now < to; i, now = i+1, now+100 {
			if _, changed := m.Update(now, alive(i), 8); changed {
				changes++
			}
		}
	}
	update(0, 1000, func(int) int { return 8 })
	update(1000, 1400, func(int) int { return 2 })
	if changes != 0 {
		t.Error("a degree that lasted less than worsenDelay took effect")
	}
	update(1400, 2000, func(int) int { return 2 })
	if changes != 1 || m.Degree() != Minority {
		t.Errorf("minority for 1 s: got %d changes, degree %s, want 1 change, degree small-part", changes, m.Degree())
	}
	update(2000, 10000, func(i int) int { return 8 - 6*(i/10%2) }) // alternating each second
	if changes != 1 || m.Degree() != Minority {
		t.Errorf("alternating each second: got %d changes, degree %s, want no further change after 1, degree small-part", changes, m.Degree())
	}
	update(10000, 14000, func(int) int { return 8 })
	if changes != 2 || m.Degree() != Complete {
		t.Errorf("all alive for 4 s: got %d changes, degree %s, want 2 changes, degree whole", changes, m.Degree())
	}
	update(14000, 16000, func(i int) int { return max(0, 3-i/2) }) // increasingly worse: the delay starts with the first change
	if m.Degree() != Isolated {
		t.Errorf("increasingly worse for 2 s: got degree %s, want alone", m.Degree())
	}
}
