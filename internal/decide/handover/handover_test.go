package handover

import (
	"slices"
	"testing"
)

func TestNext(t *testing.T) {
	for _, c := range []struct {
		name       string
		parts      []Part
		give, rest []uint64
	}{
		{"what belongs here stays", []Part{{Service: 1, Waits: 3, Runs: 2}}, nil, nil},
		{"what is out stays, the rest goes", []Part{{Service: 1, Waits: 3, Out: 2, Goes: true}}, []uint64{1}, nil},
		{"only out", []Part{{Service: 1, Out: 2, Goes: true}}, nil, nil},
		{"whole and at rest", []Part{{Service: 1, Waits: 1, Runs: 3, Whole: true, Goes: true}}, []uint64{1}, nil},
		{"whole with one out for long", []Part{{Service: 1, Runs: 3, Out: 1, Whole: true, Goes: true}}, nil, []uint64{1}},
		{"paced", []Part{
			{Service: 1, Runs: most - 1, Goes: true},
			{Service: 2, Runs: 2, Goes: true},
			{Service: 3, Runs: 1, Goes: true},
		}, []uint64{1, 3}, nil},
		{"one that is large goes all the same", []Part{
			{Service: 1, Runs: 3 * most, Goes: true},
			{Service: 2, Runs: 1, Goes: true},
		}, []uint64{1}, nil},
		{"nothing left", []Part{{Service: 1, Goes: true}}, nil, nil},
	} {
		t.Run(c.name, func(t *testing.T) {
			var g Giver
			if _, rest := g.Next(1000, c.parts); len(rest) > 0 {
				t.Errorf("rests at once: %v", rest)
			}
			give, rest := g.Next(1000+patient, c.parts)
			if !slices.Equal(give, c.give) || !slices.Equal(rest, c.rest) {
				t.Errorf("gives %v, %v rest; want %v, %v", give, rest, c.give, c.rest)
			}
		})
	}
}

// TestEnds plays a busy service that must go whole: it always has something out until it rests, and then goes.
func TestEnds(t *testing.T) {
	var g Giver
	now, out, resting := 0.0, 1, false
	for range 100 {
		now += LookEach()
		if out == 0 && !resting {
			out = 1
		} else if resting {
			out = 0
		}
		give, rest := g.Next(now, []Part{{Service: 7, Runs: 4, Out: out, Whole: true, Goes: true}})
		if len(give) == 1 {
			if out > 0 || now > patient+4*lookEach {
				t.Errorf("went at %g with %d out", now, out)
			}
			return
		}
		resting = len(rest) > 0
	}
	t.Error("never went")
}

func TestFresh(t *testing.T) {
	if !Fresh(100, 100) || Fresh(100+fresh, 100) {
		t.Error("fresh for the wrong time")
	}
}
