// Package drainpace decides how fast allocations are evicted from nodes that are drained for a maintenance window. The pace is set by job
// class, so that neither the class's services nor the rest of the fleet get more starts at once than they can handle. The functions keep no
// state.
package drainpace

import (
	"math"

	"ravenpond/logic"
)

// Policy says when the allocations of a job class are evicted from a draining node.
type Policy uint8

// Policies of a job class.
const (
	Early  Policy = iota // from the start of the drain on
	Late                 // in the last part of the drain: many allocations have ended by themselves until then
	RunOut               // never: they are left to end by themselves
)

const (
	lateStart        = 0.6  // fraction of the lead time after which Late begins to evict
	evictedBy        = 0.9  // fraction of the lead time after which all allocations should be evicted
	maxFleetFraction = 0.02 // maximum fraction of the fleet's running allocations to evict per second
	minPerSecond     = 2    // rate limit in evictions per second if the fraction gives less
	maxElapsed       = 5000 // ms; a process that was paused for longer does not catch up at once
)

// DefaultPolicy returns the policy of a job class for which the site file has none. Allocations that must not run twice are never evicted.
func DefaultPolicy(effect logic.RetrySemantics) Policy {
	if effect == logic.AtMostOnce {
		return RunOut
	}
	return Late
}

// Progress describes the progress of a drain. Times are in ms.
type Progress struct {
	Now         float64
	DrainStart  float64
	WindowStart float64
	LastCall    float64 // time of the last call of Evictions, for any job class
	Remaining   int     // allocations of the job class on the draining nodes
	Running     int     // allocations of all job classes on the whole fleet
}

// Evictions returns how many allocations of a job class to evict now.
func Evictions(policy Policy, p Progress) int {
	lead := p.WindowStart - p.DrainStart
	from, to := p.DrainStart, p.DrainStart+evictedBy*lead
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
	wanted := math.Inf(1) // the time to finish has passed: evict as fast as the limit allows
	if p.Now < to {
		wanted = float64(p.Remaining) * elapsed / (to - p.Now + elapsed)
	}
	limit := max(minPerSecond, maxFleetFraction*float64(p.Running)) * elapsed / 1000
	return min(p.Remaining, max(1, int(math.Ceil(min(wanted, limit)))))
}
