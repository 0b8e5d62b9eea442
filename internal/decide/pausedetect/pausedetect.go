// Package pausedetect detects that the process was paused and decides when it may act again: it first has to read what arrived during the
// pause. This guards against acting on timers that expired during the pause while the responses that they waited for, and the watch events of
// draining nodes, are still unread in the sockets.
//
// The caller reports each round of its main loop; the package says whether that round may act. It does no I/O and returns no errors. A
// Detector is not safe for concurrent use.
package pausedetect

// Times in milliseconds.
const (
	pauseThreshold  = 250 // time between two rounds that counts as a pause; housekeeping alone causes ten rounds per second
	settleTime      = 60  // time after a pause for readers to deliver what is unread in the sockets
	settleExtension = 15  // time to wait for more after each further arrival
	maxSettleTime   = 400 // limit of the time to wait while arrivals go on
)

// Detector tracks the times of rounds. Its zero value is ready for the first round.
type Detector struct {
	lastRoundAt  float64
	pauseEndedAt float64
	resumeAt     float64 // when rounds may act again
	started      bool    // there was a round
}

// OnRound records a round at time now and whether anything arrived since the last one. It returns the length of a pause in ms in the first
// round after it, otherwise 0, and whether this round may act.
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

// ResumeAt returns when rounds may act again. It is in the past unless the process has just been paused.
func (d *Detector) ResumeAt() float64 { return d.resumeAt }
