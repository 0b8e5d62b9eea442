package handover

import (
	"slices"
	"testing"
)

func TestNext(t *testing.T) {
	for _, c := range []struct {
		name       string
		parts      []ServiceLoad
		give, rest []uint64
	}{
		{"what belongs here stays", []ServiceLoad{{Service: 1, Waiting: 3, Running: 2}}, nil, nil},
		{"what is unresolved stays, the rest is given", []ServiceLoad{{Service: 1, Waiting: 3, Unresolved: 2, BelongsElsewhere: true}}, []uint64{1}, nil},
		{"only unresolved", []ServiceLoad{{Service: 1, Unresolved: 2, BelongsElsewhere: true}}, nil, nil},
		{"spread, nothing unresolved", []ServiceLoad{{Service: 1, Waiting: 1, Running: 3, Spread: true, BelongsElsewhere: true}}, []uint64{1}, nil},
		{"spread, one unresolved for long", []ServiceLoad{{Service: 1, Running: 3, Unresolved: 1, Spread: true, BelongsElsewhere: true}}, nil, []uint64{1}},
		{"limited per poll", []ServiceLoad{
			{Service: 1, Running: maxPerPoll - 1, BelongsElsewhere: true},
			{Service: 2, Running: 2, BelongsElsewhere: true},
			{Service: 3, Running: 1, BelongsElsewhere: true},
		}, []uint64{1, 3}, nil},
		{"a large one is given all the same", []ServiceLoad{
			{Service: 1, Running: 3 * maxPerPoll, BelongsElsewhere: true},
			{Service: 2, Running: 1, BelongsElsewhere: true},
		}, []uint64{1}, nil},
		{"nothing left", []ServiceLoad{{Service: 1, BelongsElsewhere: true}}, nil, nil},
	} {
		t.Run(c.name, func(t *testing.T) {
			var g Planner
			if _, rest := g.Next(1000, c.parts); len(rest) > 0 {
				t.Errorf("paused at once: %v", rest)
			}
			give, rest := g.Next(1000+pauseAfter, c.parts)
			if !slices.Equal(give, c.give) || !slices.Equal(rest, c.rest) {
				t.Errorf("gives %v, pauses %v; want %v, %v", give, rest, c.give, c.rest)
			}
		})
	}
}

// TestSpreadServiceEnds simulates a busy service whose tasks must be spread: something is unresolved until it is paused, and then it is given.
func TestSpreadServiceEnds(t *testing.T) {
	var g Planner
	now, out, resting := 0.0, 1, false
	for range 100 {
		now += PollInterval()
		if out == 0 && !resting {
			out = 1
		} else if resting {
			out = 0
		}
		give, rest := g.Next(now, []ServiceLoad{{Service: 7, Running: 4, Unresolved: out, Spread: true, BelongsElsewhere: true}})
		if len(give) == 1 {
			if out > 0 || now > pauseAfter+4*pollInterval {
				t.Errorf("given at %g with %d unresolved", now, out)
			}
			return
		}
		resting = len(rest) > 0
	}
	t.Error("never given")
}

func TestIsNewlyAdded(t *testing.T) {
	if !IsNewlyAdded(100, 100) || IsNewlyAdded(100+rebalancePeriod, 100) {
		t.Error("newly added for the wrong time")
	}
}
