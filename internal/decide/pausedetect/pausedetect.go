// Package pausedetect notices that the process stood still and decides how to come back: first hear what came in
// meanwhile, then act. It guards against acting on timers that ran out during the stand-still while the answers
// that they waited for, and the news of drains, lie unread in the sockets.
package pausedetect

// Times in milliseconds.
const (
	pauseThreshold = 250 // between two rounds, where housekeeping alone comes ten times a second
	settleTime     = 60  // the time for readers to hand over what lies in the sockets
	maxSettleTime  = 400 // and the longest, where news doesn't cease
)

// Detector follows the times of rounds.
type Detector struct {
	lastRoundAt, pauseEndedAt, resumeAt float64
	started                             bool
}

// OnRound is told the time of each round, and whether there was news since the last. It returns how long the
// process stood still when it first notices, else 0, and whether this round may act.
func (w *Detector) OnRound(now float64, news bool) (stood float64, act bool) {
	gap := now - w.lastRoundAt
	w.lastRoundAt = now
	if !w.started {
		w.started = true
		return 0, true
	}
	if gap > pauseThreshold {
		w.pauseEndedAt, w.resumeAt = now, now+settleTime
		return gap, false
	}
	if now >= w.resumeAt {
		return 0, true
	}
	if news && now-w.pauseEndedAt < maxSettleTime-settleTime {
		w.resumeAt = max(w.resumeAt, now+settleTime/4)
	}
	return 0, false
}

// ResumeAt is when acting begins again; in the past while the process runs as usual.
func (w *Detector) ResumeAt() float64 { return w.resumeAt }
