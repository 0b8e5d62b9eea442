package serve

import (
	"math"
	"sync/atomic"
)

// unreadAfterStall is how long after a stall, in ms, bytes may still be read that arrived during it.
const unreadAfterStall = 1000

// stallsAfterIntervals is how many check intervals must pass between two checks for the process to count as stalled.
const stallsAfterIntervals = 2

// stallDetector notices when the whole process stalled, as the machine was busy or suspended. Its methods are safe for concurrent use.
type stallDetector struct {
	interval      float64       // between two checks, ms
	lastCheck     atomic.Uint64 // bits of the time of the last check, ms
	duration      atomic.Uint64 // bits of how long the last stall was, ms
	relevantUntil atomic.Uint64 // bits of until when it matters, ms
}

// start begins at a time; checks are to follow at the interval.
func (d *stallDetector) start(now float64) { d.lastCheck.Store(math.Float64bits(now)) }

// check notes that the process runs, and a stall before.
func (d *stallDetector) check(now float64) {
	gap := now - math.Float64frombits(d.lastCheck.Swap(math.Float64bits(now)))
	if gap > stallsAfterIntervals*d.interval {
		d.duration.Store(math.Float64bits(gap))
		d.relevantUntil.Store(math.Float64bits(now + unreadAfterStall))
	}
}

// recent returns how long, in ms, the process has stalled just now: a check is overdue, or the last one was.
func (d *stallDetector) recent(now float64) float64 {
	gap := now - math.Float64frombits(d.lastCheck.Load())
	if now < math.Float64frombits(d.relevantUntil.Load()) {
		gap = max(gap, math.Float64frombits(d.duration.Load()))
	}
	if gap < stallsAfterIntervals*d.interval {
		return 0
	}
	return gap
}
