// Package pausedetect detects that the process was paused and decides how it resumes: it first reads what arrived in the meantime, then
// acts. It guards against acting on timers that expired during the pause while the answers that they waited for, and the watch events of
// draining nodes, lie unread in the sockets.
//
// The times of the process's rounds go in; whether a round may act comes out. The package does no I/O and returns no errors. A Detector is
// not safe for concurrent use.
package pausedetect

// Times in milliseconds.
const (
	pauseThreshold  = 250 // between two rounds, where housekeeping alone takes place ten times per second
	settleTime      = 60  // for readers to hand over what lies in the sockets
	settleExtension = 15  // after each further arrival
	maxSettleTime   = 400 // however long arrivals go on
)

// Detector follows the times of rounds. Its zero value has seen none.
type Detector struct {
	lastRoundAt  float64
	pauseEndedAt float64
	resumeAt     float64
	started      bool
}

// OnRound records a round, and whether anything arrived since the last one. It returns the length of a pause when it first notices it, else
// 0, and whether this round may act.
func (d *Detector) OnRound(now float64, arrivals bool) (pause float64, mayAct bool) {
	gap := now - d.lastRoundAt
	d.lastRoundAt = now
	switch {
	case !d.started:
		d.started = true
		return 0, true
	case gap > pauseThreshold:
		d.pauseEndedAt, d.resumeAt = now, now+settleTime
		return gap, false
	case now >= d.resumeAt:
		return 0, true
	}
	if arrivals && now-d.pauseEndedAt < maxSettleTime-settleTime {
		d.resumeAt = max(d.resumeAt, now+settleExtension)
	}
	return 0, false
}

// ResumeAt returns when rounds may act again; in the past while the process runs as usual.
func (d *Detector) ResumeAt() float64 { return d.resumeAt }
