// Package drainpace decides at what pace work is evicted from nodes that a maintenance window takes out: by job class, so that neither its
// services nor the rest of the fleet get more starts at once than they can handle. The functions keep no state.
package drainpace

import (
	"math"

	"ravenpond/logic"
)

// Policy is how the work of a job class leaves a draining node.
type Policy uint8

// Policies of a job class.
const (
	Early  Policy = iota // from the start of the drain on
	Late                 // shortly before the start of the window: much of the work has ended by itself then
	RunOut               // never: it is left to end by itself
)

const (
	lateStart        = 0.6  // fraction of the lead after which Late begins
	doneBy           = 0.9  // fraction of the lead after which all work should be evicted
	maxFleetFraction = 0.02 // of what runs on the fleet, evicted in a second
	minPerSecond     = 2    // evicted in any case
	maxElapsed       = 5000 // ms; a process that stood still longer does not catch up at once
)

// DefaultPolicy returns the policy of a job class for which the site file has none. Work that must not run twice is never evicted.
func DefaultPolicy(effect logic.RetrySemantics) Policy {
	if effect == logic.AtMostOnce {
		return RunOut
	}
	return Late
}

// Progress is how far a drain has come. Times are in ms.
type Progress struct {
	Now         float64
	DrainStart  float64
	WindowStart float64
	LastCall    float64 // of Evictions, for any job class
	Remaining   int     // allocations of the job class on the draining nodes
	Running     int     // allocations of all job classes on the whole fleet
}

// Evictions returns how many allocations of a job class to stop now.
func Evictions(policy Policy, p Progress) int {
	lead := p.WindowStart - p.DrainStart
	from, to := p.DrainStart, p.DrainStart+doneBy*lead
	if policy == Late {
		from = p.DrainStart + lateStart*lead
	}
	if policy == RunOut || p.Now < from || p.Remaining == 0 {
		return 0
	}
	elapsed := min(p.Now-max(p.LastCall, from), maxElapsed)
	if elapsed <= 0 {
		return 0
	}
	wanted := math.Inf(1) // late already: as fast as allowed
	if p.Now < to {
		wanted = float64(p.Remaining) * elapsed / (to - p.Now + elapsed)
	}
	limit := max(minPerSecond, maxFleetFraction*float64(p.Running)) * elapsed / 1000
	return min(p.Remaining, max(1, int(math.Ceil(min(wanted, limit)))))
}
