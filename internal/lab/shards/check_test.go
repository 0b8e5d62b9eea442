package shards

import (
	"context"
	"testing"
	"time"
)

// TestCheck requests thousands of allocations while shards panic and pause. With the epoch check left out, a shard that was paused too long
// sends an attempt after another shard took over, and the trial has to find that.
func TestCheck(t *testing.T) {
	for _, c := range []struct {
		name      string
		connect   string
		shards    int
		resize    time.Duration
		skipCheck bool
	}{
		{"4 shards, shared connections", "shared", 4, 0, false},
		{"8 shards, own connections", "own", 8, 0, false},
		{"4 shards, informed connections", "informed", 4, 0, false},
		{"resized between 1 and 6 shards", "shared", 6, 100 * time.Millisecond, false},
		{"injected fault: 4 shards without the epoch check", "shared", 4, 0, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			requests, faultInterval := 12000, 250*time.Millisecond
			if c.skipCheck {
				requests, faultInterval = 20000, 150*time.Millisecond
			}
			for seed := uint64(3); ; seed++ {
				v, err := Check(context.Background(), Trial{
					Shards: c.shards, Connections: c.connect, Requests: requests, Concurrency: 400, Nodes: 8,
					DuplicateFraction: 0.1, FaultInterval: faultInterval, ResizeInterval: c.resize, SkipEpochCheck: c.skipCheck, Seed: seed,
				})
				if err != nil {
					t.Fatal(err)
				}
				bad := v.Duplicates + v.SecondStarts + v.Unanswered + v.RepeatedAnswers + v.StaleEpochs
				if c.skipCheck && bad == 0 && seed < 7 {
					continue // No shard resumed with an attempt to send this time. The seed alone does not determine that.
				}
				if c.skipCheck != (bad > 0) || v.Faults == 0 && faultInterval > 0 || v.Served < 1500 {
					t.Errorf("got %d duplicate attempts, %d second starts, %d unanswered, %d repeated answers, %d stale epochs, %d served, %d faults",
						v.Duplicates, v.SecondStarts, v.Unanswered, v.RepeatedAnswers, v.StaleEpochs, v.Served, v.Faults)
				}
				return
			}
		})
	}
}
