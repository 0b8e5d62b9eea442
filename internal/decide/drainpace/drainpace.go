// Package drainpace decides how work is moved off nodes that a maintenance window takes out: when each job type's is
// moved, and at what pace, so that neither its services nor the rest of the fleet get more starts at once than they
// bear.
package drainpace

import (
	"math"

	"ravenpond/logic"
)

// Manner is how work of a job type leaves a draining node.
type Manner uint8

const (
	Early  Manner = iota // from the drain's begin on
	Late                 // shortly before the nodes go out: much of it has ended by itself by then
	RunOut               // never: it is left to end
)

const (
	lateFrom = 0.6  // part of the lead that has passed when late moves begin
	ready    = 0.9  // part of the lead by which all should be moved
	bears    = 0.02 // part of what runs on the fleet that may be moved in a second
	always   = 2    // and so many in any case
)

// Usual is the manner of a job type that the site says nothing of. What must not take effect twice in a way that
// nobody can undo is stopped by no window.
func Usual(effect logic.RetrySemantics) Manner {
	if effect == logic.AtMostOnce {
		return RunOut
	}
	return Late
}

// Moves says how many allocations of a job type to stop now. Times are in ms: of the drain's begin, of the time at which
// the nodes go out, and of the last call. left run there, running on the whole fleet.
func Moves(m Manner, now, drain, out, last float64, left, running int) int {
	lead := out - drain
	from, to := drain, drain+ready*lead
	if m == Late {
		from = drain + lateFrom*lead
	}
	if m == RunOut || now < from || left == 0 {
		return 0
	}
	gap := min(now-max(last, from), 5000) // one that stood still doesn't make up for it at once
	if gap <= 0 {
		return 0
	}
	need := math.Inf(1) // late already: as fast as is borne
	if now < to {
		need = float64(left) * gap / (to - now + gap)
	}
	most := max(always, bears*float64(running)) * gap / 1000
	return min(left, max(1, int(math.Ceil(min(need, most)))))
}
