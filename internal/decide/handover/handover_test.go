package handover

import (
	"slices"
	"testing"
)

func TestNext(t *testing.T) {
	for _, c := range []struct {
		name            string
		services        []ServiceLoad
		handOver, pause []uint64
	}{
		{"service belongs here", []ServiceLoad{{Service: 1, Waiting: 3, Running: 2}}, nil, nil},
		{"some unresolved, others movable", []ServiceLoad{{Service: 1, Waiting: 3, Unresolved: 2, BelongsElsewhere: true}}, []uint64{1}, nil},
		{"all unresolved", []ServiceLoad{{Service: 1, Unresolved: 2, BelongsElsewhere: true}}, nil, nil},
		{"spread, nothing unresolved", []ServiceLoad{{Service: 1, Waiting: 1, Running: 3, Spread: true, BelongsElsewhere: true}}, []uint64{1}, nil},
		{"spread, one unresolved until the pause", []ServiceLoad{{Service: 1, Running: 3, Unresolved: 1, Spread: true, BelongsElsewhere: true}}, nil, []uint64{1}},
		{"limit per poll reached", []ServiceLoad{
			{Service: 1, Running: maxPerPoll - 1, BelongsElsewhere: true},
			{Service: 2, Running: 2, BelongsElsewhere: true},
			{Service: 3, Running: 1, BelongsElsewhere: true},
		}, []uint64{1, 3}, nil},
		{"first service alone exceeds the limit", []ServiceLoad{
			{Service: 1, Running: 3 * maxPerPoll, BelongsElsewhere: true},
			{Service: 2, Running: 1, BelongsElsewhere: true},
		}, []uint64{1}, nil},
		{"service without allocations", []ServiceLoad{{Service: 1, BelongsElsewhere: true}}, nil, nil},
	} {
		t.Run(c.name, func(t *testing.T) {
			var planner Planner
			if _, pause := planner.Next(1000, c.services); len(pause) > 0 {
				t.Errorf("first call: got services %v to pause, want none", pause)
			}
			handOver, pause := planner.Next(1000+pauseAfter, c.services)
			if !slices.Equal(handOver, c.handOver) || !slices.Equal(pause, c.pause) {
				t.Errorf("got services %v to hand over, %v to pause, want %v, %v", handOver, pause, c.handOver, c.pause)
			}
		})
	}
}

// TestBusySpreadServiceIsHandedOver simulates a busy service whose tasks must be spread. It has an unresolved allocation until it is paused, and
// must be handed over then.
func TestBusySpreadServiceIsHandedOver(t *testing.T) {
	var planner Planner
	now, unresolved, paused := 0.0, 1, false
	for range 100 {
		now += PollInterval()
		if unresolved == 0 && !paused {
			unresolved = 1
		} else if paused {
			unresolved = 0
		}
		handOver, pause := planner.Next(now, []ServiceLoad{{Service: 7, Running: 4, Unresolved: unresolved, Spread: true, BelongsElsewhere: true}})
		if len(handOver) == 1 {
			if unresolved > 0 || now > pauseAfter+4*pollInterval {
				t.Errorf("handed over at %g ms with %d unresolved, want none unresolved, at most four polls after the pause", now, unresolved)
			}
			return
		}
		paused = len(pause) > 0
	}
	t.Error("the service was not handed over within 100 polls")
}

func TestIsNewlyAdded(t *testing.T) {
	if !IsNewlyAdded(100, 100) || IsNewlyAdded(100+rebalancePeriod, 100) {
		t.Error("want a shard to be newly added from its addition on, and no longer after the rebalancing period")
	}
}
