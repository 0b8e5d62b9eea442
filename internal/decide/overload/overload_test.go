package overload

import (
	"math"
	"testing"
)

func TestDelay(t *testing.T) {
	for _, c := range []struct {
		name                string
		due, started, ended float64
		after               float64
		want                float64
	}{
		{"round started late", 100, 140, 141, 0, 40},
		{"round took long", 100, 100, 160, 0, 60},
		{"half after the half-life", 100, 180, 180, halfLife, 40},
		{"round started before it was due", 100, 90, 91, 0, 1},
	} {
		t.Run(c.name, func(t *testing.T) {
			var monitor Monitor
			monitor.OnRound(c.due, c.started, c.ended)
			if got := monitor.Delay(c.ended + c.after); math.Abs(got-c.want) > 1e-9 {
				t.Errorf("got delay %g ms, want %g", got, c.want)
			}
		})
	}
	var monitor Monitor
	monitor.OnRound(0, 80, 80)
	monitor.OnRound(80, 81, 81)
	if got := monitor.Delay(81); got < 79 {
		t.Errorf("got delay %g ms after a quick round, want at least 79", got)
	}
}

func TestGraceAndRemainingTime(t *testing.T) {
	for _, c := range []struct {
		name                      string
		delay                     float64
		grace, remaining, granted float64
	}{
		{"short delay that is ignored", 5, 0, 1000, 1000},
		{"delay", 50, 50, 900, 1000},
		{"long delay", 600, maxTimeoutGrace, 500, 1000},
		{"no round yet", 0, 0, 1000, 1000},
	} {
		t.Run(c.name, func(t *testing.T) {
			var monitor Monitor
			if c.delay > 0 {
				monitor.OnRound(0, c.delay, c.delay)
			}
			if got := monitor.TimeoutGrace(c.delay); got != c.grace {
				t.Errorf("got grace %g ms, want %g", got, c.grace)
			}
			if got := monitor.RemainingTime(c.delay, c.granted); got != c.remaining {
				t.Errorf("got %g ms remaining, want %g", got, c.remaining)
			}
		})
	}
}

func TestBatchSize(t *testing.T) {
	if small, large := BatchSize(8), BatchSize(0.1); small != minBatchSize+1 || large != minBatchSize+80 || BatchSize(0) < large {
		t.Errorf("got batch sizes %d for 8 ms and %d for 0.1 ms, want 1 and 80 above the minimum and none smaller for 0 ms", small, large)
	}
}

func TestAnswerLead(t *testing.T) {
	for _, c := range []struct {
		name             string
		delay, due, want float64
	}{
		{"short delay that is ignored", 5, 0, 0},
		{"delay of earlier rounds", 50, 0, 50},
		{"this round is late", 5, 60, 60},
		{"long delay", 600, 0, maxAnswerLead},
	} {
		t.Run(c.name, func(t *testing.T) {
			var monitor Monitor
			monitor.OnRound(0, c.delay, c.delay)
			if got := monitor.AnswerLead(c.delay-c.due, c.delay); got != c.want {
				t.Errorf("got %g ms, want %g", got, c.want)
			}
		})
	}
}
