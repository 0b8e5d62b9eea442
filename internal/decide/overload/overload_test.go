package overload

import (
	"math"
	"testing"
)

func TestDelay(t *testing.T) {
	for _, c := range []struct {
		name              string
		due, began, ended float64
		after             float64
		want              float64
	}{
		{"a round that began late", 100, 140, 141, 0, 40},
		{"a round that took long", 100, 100, 160, 0, 60},
		{"half after a while", 100, 180, 180, halfLife, 40},
		{"began before it was due", 100, 90, 91, 0, 1},
	} {
		t.Run(c.name, func(t *testing.T) {
			var w Monitor
			w.OnTurn(c.due, c.began, c.ended)
			if got := w.Delay(c.ended + c.after); math.Abs(got-c.want) > 1e-9 {
				t.Errorf("delay %g, want %g", got, c.want)
			}
		})
	}
	var w Monitor
	w.OnTurn(0, 80, 80)
	w.OnTurn(80, 81, 81)
	if got := w.Delay(81); got < 79 {
		t.Errorf("a quick round reset the delay: %g", got)
	}
}

func TestGraceAndRemainingTime(t *testing.T) {
	for _, c := range []struct {
		name                 string
		behind               float64
		patience, left, said float64
	}{
		{"as usual", 5, 0, 1000, 1000},
		{"a delay", 50, 50, 900, 1000},
		{"a long delay", 600, maxTimeoutGrace, 500, 1000},
		{"no round yet", 0, 0, 1000, 1000},
	} {
		t.Run(c.name, func(t *testing.T) {
			var w Monitor
			if c.behind > 0 {
				w.OnTurn(0, c.behind, c.behind)
			}
			if got := w.TimeoutGrace(c.behind); got != c.patience {
				t.Errorf("grace %g, want %g", got, c.patience)
			}
			if got := w.RemainingTime(c.behind, c.said); got != c.left {
				t.Errorf("left %g, want %g", got, c.left)
			}
		})
	}
}

func TestBatchSize(t *testing.T) {
	if few, many := BatchSize(8), BatchSize(0.1); few != minBatchSize+1 || many != minBatchSize+80 || BatchSize(0) < many {
		t.Errorf("%d, %d", few, many)
	}
}
