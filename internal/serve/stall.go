package serve

import (
	"math"
	"sync/atomic"
)

// unreadAfterStall is how long after a stall, in ms, bytes that arrived during the stall may still be unread.
const unreadAfterStall = 1000

// stallsAfterIntervals is the number of check intervals: a longer time between two checks counts as a stall.
const stallsAfterIntervals = 2

// stallDetector detects stalls of the whole process, for example because the machine is busy or suspended. Its methods are safe for
// concurrent use.
type stallDetector struct {
	interval      float64       // between two checks, ms
	lastCheck     atomic.Uint64 // math.Float64bits of the time of the last check, ms
	duration      atomic.Uint64 // math.Float64bits of the duration of the last stall, ms
	relevantUntil atomic.Uint64 // math.Float64bits of the time until which that stall matters, ms
}

// start sets the time of the first check. The caller then calls check at the interval.
func (d *stallDetector) start(now float64) { d.lastCheck.Store(math.Float64bits(now)) }

// check records that the process runs, and a stall since the last check if there was one.
func (d *stallDetector) check(now float64) {
	gap := now - math.Float64frombits(d.lastCheck.Swap(math.Float64bits(now)))
	if gap > stallsAfterIntervals*d.interval {
		d.duration.Store(math.Float64bits(gap))
		d.relevantUntil.Store(math.Float64bits(now + unreadAfterStall))
	}
}

// recent returns the duration, in ms, of a current or recent stall: a check is overdue, or one was overdue a short time ago. It returns 0 if
// there is none.
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
