package workingset

import "math"

// Load is a scheduler's own load.
type Load struct {
	Machines float64 // that its running tasks would fill, by the resources they requested
	Starts   float64 // tasks it starts per second
}

// sizeStep is the ratio of one size to the next smaller one: smaller changes of the load change nothing.
const sizeStep = 1.25

// sizer turns a scheduler's load into a size that grows at once and shrinks late.
type sizer struct {
	window            float64 // ms: the largest need of the present window and the previous one counts
	windowStart       float64 // ms
	current, previous float64 // largest need in the present window and in the previous one
}

// size returns the size for a need, at least minimum.
func (s *sizer) size(now, need, minimum float64) float64 {
	if now >= s.windowStart+s.window {
		s.previous = s.current
		if now >= s.windowStart+2*s.window { // size was not called for a whole window
			s.previous = need
		}
		s.windowStart, s.current = now, 0
	}
	s.current = max(s.current, need)
	largest := max(s.current, s.previous)
	if largest <= minimum {
		return minimum
	}
	steps := math.Ceil(math.Log(largest/minimum)/math.Log(sizeStep) - 1e-9)
	return minimum * math.Pow(sizeStep, steps)
}
