// Package pausedetect notices that the process stood still and decides how to come back: first hear what came in
// meanwhile, then act. It guards against acting on timers that ran out during the stand-still while the answers
// that they waited for, and the news of drains, lie unread in the sockets.
package pausedetect

// Times in milliseconds.
const (
	noticed = 250 // between two rounds, where housekeeping alone comes ten times a second
	settle  = 60  // the time for readers to hand over what lies in the sockets
	most    = 400 // and the longest, where news doesn't cease
)

// Detector follows the times of rounds.
type Detector struct {
	last, since, until float64
	started            bool
}

// Round is told the time of each round, and whether there was news since the last. It returns how long the
// process stood still when it first notices, else 0, and whether this round may act.
func (w *Detector) Round(now float64, news bool) (stood float64, act bool) {
	gap := now - w.last
	w.last = now
	if !w.started {
		w.started = true
		return 0, true
	}
	if gap > noticed {
		w.since, w.until = now, now+settle
		return gap, false
	}
	if now >= w.until {
		return 0, true
	}
	if news && now-w.since < most-settle {
		w.until = max(w.until, now+settle/4)
	}
	return 0, false
}

// Until is when acting begins again; in the past while the process runs as usual.
func (w *Detector) Until() float64 { return w.until }
