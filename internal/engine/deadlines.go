package engine

import (
	"math"

	"ravenpond/internal/decide/overload"
	"ravenpond/internal/timers"
)

// pausedMarginFraction is the fraction of AnswerMargin that must be left before a deadline for a request to wait until the messages that were
// received during a pause have been read.
const pausedMarginFraction = 0.5

// deadlines answers requests ahead of their deadlines when rounds are late. On time, the policy answers each request AnswerMargin before its
// deadline. A round that is late, or that may not act because the process was paused, would answer after the deadline, or not at all.
type deadlines struct {
	heap     timers.Heap[struct{}] // deadlines of requests; the key is the allocation's number
	lag      overload.Monitor
	roundDue float64 // when the next round is due; 0 before the first one
}

// onRound records the start of a round and returns by how many ms answers have to be ahead of their times.
func (d *deadlines) onRound(now float64) (lead float64) {
	due := d.roundDue
	if due == 0 {
		due = now
	}
	lead = d.lag.AnswerLead(due, now)
	d.lag.OnRound(due, now, now)
	return lead
}

// planRound records when the next round is due. It can't be due before the minimum interval between rounds has passed.
func (e *Engine) planRound() {
	e.deadlines.roundDue = max(e.NextRound(), e.now+e.config.Cluster.MinRoundInterval)
}

// answerLate answers the requests whose answers are due within the lead, in a round that may act.
func (e *Engine) answerLate(lead float64) {
	if lead > 0 {
		e.answerBefore(e.now + e.config.AnswerMargin + lead)
	}
}

// answerPaused answers the requests that can't wait for the next round that may act.
func (e *Engine) answerPaused() {
	e.answerBefore(e.pauseDetector.ResumeAt() + pausedMarginFraction*e.config.AnswerMargin)
}

// answerBefore answers all open requests whose deadlines are before a time.
func (e *Engine) answerBefore(at float64) {
	for deadline, ok := e.deadlines.heap.Next(at); ok; deadline, ok = e.deadlines.heap.Next(at) {
		if slot, ok := e.byID[uint32(deadline.Key)]; ok && !e.allocations[slot].answered {
			e.withdrawAllocation(slot, withdrawal{notify: true})
		}
	}
}

// roundedLag returns how late rounds are, in whole ms, for an encoding of the engine's state.
func (e *Engine) roundedLag() float64 { return math.Round(e.deadlines.lag.Delay(e.now)) }
