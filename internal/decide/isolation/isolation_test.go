package isolation

import "testing"

func TestOf(t *testing.T) {
	for _, c := range []struct {
		alive, known int
		want         Degree
	}{{0, 0, Complete}, {1, 1, Complete}, {0, 1, Isolated}, {0, 8, Isolated}, {1, 2, Majority}, {4, 8, Majority}, {3, 8, Minority}, {3, 7, Minority}, {4, 7, Majority}, {7, 8, Majority}} {
		if got := Classify(c.alive, c.known); got != c.want {
			t.Errorf("%d of %d: %s, want %s", c.alive, c.known, got, c.want)
		}
	}
	for known := range 30 { // of two parts of one whole, at most one is the larger
		for alive := range known + 1 {
			if other := known - 1 - alive; other >= 0 && Classify(alive, known) == Majority && Classify(other, known) == Majority {
				t.Errorf("%d and %d of %d are both the larger part", alive+1, other+1, known+1)
			}
		}
	}
}

// TestLook holds that degrees come late, go later, and do not flap.
func TestLook(t *testing.T) {
	var g Monitor
	turns := 0
	look := func(from, to float64, alive func(i int) int) {
		for i, now := 0, from; now < to; i, now = i+1, now+100 {
			if _, turned := g.Update(now, alive(i), 8); turned {
				turns++
			}
		}
	}
	look(0, 1000, func(int) int { return 8 })
	look(1000, 1400, func(int) int { return 2 })
	if turns != 0 {
		t.Error("a moment counts")
	}
	look(1400, 2000, func(int) int { return 2 })
	if turns != 1 || g.Degree() != Minority {
		t.Errorf("%d turns, %s", turns, g.Degree())
	}
	look(2000, 10000, func(i int) int { return 8 - 6*(i/10%2) }) // there and away, a second each
	if turns != 1 || g.Degree() != Minority {
		t.Errorf("%d turns, %s: it flaps", turns, g.Degree())
	}
	look(10000, 14000, func(int) int { return 8 })
	if turns != 2 || g.Degree() != Complete {
		t.Errorf("%d turns, %s", turns, g.Degree())
	}
	look(14000, 16000, func(i int) int { return max(0, 3-i/2) }) // ever worse: its time runs from the first
	if g.Degree() != Isolated {
		t.Errorf("%s", g.Degree())
	}
}
