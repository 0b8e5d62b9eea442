package overload

import (
	"math"
	"testing"
)

func TestBehind(t *testing.T) {
	for _, c := range []struct {
		name              string
		due, began, ended float64
		after             float64
		want              float64
	}{
		{"a turn that came late", 100, 140, 141, 0, 40},
		{"a turn that took long", 100, 100, 160, 0, 60},
		{"half after a while", 100, 180, 180, half, 40},
		{"woken before it was due", 100, 90, 91, 0, 1},
	} {
		t.Run(c.name, func(t *testing.T) {
			var w Monitor
			w.Turn(c.due, c.began, c.ended)
			if got := w.Behind(c.ended + c.after); math.Abs(got-c.want) > 1e-9 {
				t.Errorf("behind %g, want %g", got, c.want)
			}
		})
	}
	var w Monitor
	w.Turn(0, 80, 80)
	w.Turn(80, 81, 81)
	if got := w.Behind(81); got < 79 {
		t.Errorf("a quick turn wiped out what was seen: %g", got)
	}
}

func TestWhatFollows(t *testing.T) {
	for _, c := range []struct {
		name                 string
		behind               float64
		patience, left, said float64
	}{
		{"as usual", 5, 0, 1000, 1000},
		{"behind", 50, 50, 900, 1000},
		{"far behind", 600, most, 500, 1000},
		{"never seen", 0, 0, 1000, 1000},
	} {
		t.Run(c.name, func(t *testing.T) {
			var w Monitor
			if c.behind > 0 {
				w.Turn(0, c.behind, c.behind)
			}
			if got := w.Patience(c.behind); got != c.patience {
				t.Errorf("patience %g, want %g", got, c.patience)
			}
			if got := w.Left(c.behind, c.said); got != c.left {
				t.Errorf("left %g, want %g", got, c.left)
			}
		})
	}
}

func TestTakeIn(t *testing.T) {
	if few, many := TakeIn(8), TakeIn(0.1); few != leastIn+1 || many != leastIn+80 || TakeIn(0) < many {
		t.Errorf("%d, %d", few, many)
	}
}
