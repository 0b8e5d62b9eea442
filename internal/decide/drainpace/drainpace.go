// Package drainpace decides how work is moved off nodes that a maintenance window takes out: when each job type's is
// moved, and at what pace, so that neither its services nor the rest of the fleet get more starts at once than they
// bear.
package drainpace

import (
	"math"

	"ravenpond/logic"
)

// Policy is how work of a job type leaves a draining node.
type Policy uint8

const (
	Early  Policy = iota // from the drain's begin on
	Late                 // shortly before the nodes go out: much of it has ended by itself by then
	RunOut               // never: it is left to end
)

const (
	lateStart        = 0.6  // part of the lead that has passed when late moves begin
	doneBy           = 0.9  // part of the lead by which all should be moved
	maxFleetFraction = 0.02 // part of what runs on the fleet that may be moved in a second
	minPerSecond     = 2    // and so many in any case
)

// DefaultPolicy is the manner of a job type that the site says nothing of. What must not take effect twice in a way that
// nobody can undo is stopped by no window.
func DefaultPolicy(effect logic.RetrySemantics) Policy {
	if effect == logic.AtMostOnce {
		return RunOut
	}
	return Late
}

// Evictions says how many allocations of a job type to stop now. Times are in ms: of the drain's begin, of the time at which
// the nodes go out, and of the last call. left run there, running on the whole fleet.
func Evictions(m Policy, now, drainStart, windowStart, lastCall float64, remaining, running int) int {
	lead := windowStart - drainStart
	from, to := drainStart, drainStart+doneBy*lead
	if m == Late {
		from = drainStart + lateStart*lead
	}
	if m == RunOut || now < from || remaining == 0 {
		return 0
	}
	elapsed := min(now-max(lastCall, from), 5000) // one that stood still doesn't make up for it at once
	if elapsed <= 0 {
		return 0
	}
	wanted := math.Inf(1) // late already: as fast as is borne
	if now < to {
		wanted = float64(remaining) * elapsed / (to - now + elapsed)
	}
	limit := max(minPerSecond, maxFleetFraction*float64(running)) * elapsed / 1000
	return min(remaining, max(1, int(math.Ceil(min(wanted, limit)))))
}
