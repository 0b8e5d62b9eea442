package workingset

import "math"

// Load is a scheduler's own load.
type Load struct {
	Machines float64 // number of machines that its running tasks would fill, by the resources they requested
	Starts   float64 // tasks it starts per second
}

// sizeStep is the ratio of each size to the next smaller one, so that small changes of the load do not change the size.
const sizeStep = 1.25

// sizer computes a set size from a scheduler's need. The size grows at once and shrinks late.
type sizer struct {
	window            float64 // ms; the size follows the largest need in the present window and in the previous one
	windowStart       float64 // ms
	current, previous float64 // largest need in the present window and in the previous one, in nodes
}

// size returns the set size for a need, at least minimum, all in nodes.
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
