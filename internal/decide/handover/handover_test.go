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
		{"what is out stays, the rest goes", []ServiceLoad{{Service: 1, Waiting: 3, Unresolved: 2, BelongsElsewhere: true}}, []uint64{1}, nil},
		{"only out", []ServiceLoad{{Service: 1, Unresolved: 2, BelongsElsewhere: true}}, nil, nil},
		{"whole and at rest", []ServiceLoad{{Service: 1, Waiting: 1, Running: 3, Spread: true, BelongsElsewhere: true}}, []uint64{1}, nil},
		{"whole with one out for long", []ServiceLoad{{Service: 1, Running: 3, Unresolved: 1, Spread: true, BelongsElsewhere: true}}, nil, []uint64{1}},
		{"paced", []ServiceLoad{
			{Service: 1, Running: maxPerPoll - 1, BelongsElsewhere: true},
			{Service: 2, Running: 2, BelongsElsewhere: true},
			{Service: 3, Running: 1, BelongsElsewhere: true},
		}, []uint64{1, 3}, nil},
		{"one that is large goes all the same", []ServiceLoad{
			{Service: 1, Running: 3 * maxPerPoll, BelongsElsewhere: true},
			{Service: 2, Running: 1, BelongsElsewhere: true},
		}, []uint64{1}, nil},
		{"nothing left", []ServiceLoad{{Service: 1, BelongsElsewhere: true}}, nil, nil},
	} {
		t.Run(c.name, func(t *testing.T) {
			var g Planner
			if _, rest := g.Next(1000, c.parts); len(rest) > 0 {
				t.Errorf("rests at once: %v", rest)
			}
			give, rest := g.Next(1000+maxWait, c.parts)
			if !slices.Equal(give, c.give) || !slices.Equal(rest, c.rest) {
				t.Errorf("gives %v, %v rest; want %v, %v", give, rest, c.give, c.rest)
			}
		})
	}
}

// TestEnds plays a busy service that must go whole: it always has something out until it rests, and then goes.
func TestEnds(t *testing.T) {
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
			if out > 0 || now > maxWait+4*pollInterval {
				t.Errorf("went at %g with %d out", now, out)
			}
			return
		}
		resting = len(rest) > 0
	}
	t.Error("never went")
}

func TestFresh(t *testing.T) {
	if !IsNewlyAdded(100, 100) || IsNewlyAdded(100+addedDuration, 100) {
		t.Error("fresh for the wrong time")
	}
}
