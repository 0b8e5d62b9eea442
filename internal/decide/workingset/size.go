package workingset

import "math"

// Load is a scheduler's own load.
type Load struct {
	Machines float64 // that its running tasks would fill, by what they ask for
	Starts   float64 // it places a second
}

// sizeStep is between two sizes: smaller changes of the load change nothing.
const sizeStep = 1.25

// sizer turns a scheduler's load into a size that grows at once and shrinks late.
type sizer struct {
	window            float64 // ms: the largest need of the present window and the one before counts
	began             float64 // ms: the start of the present window
	current, previous float64 // largest need in this window and in the one before
}

// size takes the need at a time and gives the size, at least the least one.
func (s *sizer) size(now, need, least float64) float64 {
	if now >= s.began+s.window {
		s.previous = s.current
		if now >= s.began+2*s.window { // nothing was asked for a whole window
			s.previous = need
		}
		s.began, s.current = now, 0
	}
	s.current = max(s.current, need)
	most := max(s.current, s.previous)
	if most <= least {
		return least
	}
	steps := math.Ceil(math.Log(most/least)/math.Log(sizeStep) - 1e-9)
	return least * math.Pow(sizeStep, steps)
}
