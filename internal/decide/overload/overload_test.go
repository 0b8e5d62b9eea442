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
		{"half after a while", 100, 180, 180, halfLife, 40},
		{"woken before it was due", 100, 90, 91, 0, 1},
	} {
		t.Run(c.name, func(t *testing.T) {
			var w Monitor
			w.OnTurn(c.due, c.began, c.ended)
			if got := w.Delay(c.ended + c.after); math.Abs(got-c.want) > 1e-9 {
				t.Errorf("behind %g, want %g", got, c.want)
			}
		})
	}
	var w Monitor
	w.OnTurn(0, 80, 80)
	w.OnTurn(80, 81, 81)
	if got := w.Delay(81); got < 79 {
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
		{"far behind", 600, maxTimeoutGrace, 500, 1000},
		{"never seen", 0, 0, 1000, 1000},
	} {
		t.Run(c.name, func(t *testing.T) {
			var w Monitor
			if c.behind > 0 {
				w.OnTurn(0, c.behind, c.behind)
			}
			if got := w.TimeoutGrace(c.behind); got != c.patience {
				t.Errorf("patience %g, want %g", got, c.patience)
			}
			if got := w.RemainingTime(c.behind, c.said); got != c.left {
				t.Errorf("left %g, want %g", got, c.left)
			}
		})
	}
}

func TestTakeIn(t *testing.T) {
	if few, many := BatchSize(8), BatchSize(0.1); few != minBatchSize+1 || many != minBatchSize+80 || BatchSize(0) < many {
		t.Errorf("%d, %d", few, many)
	}
}
