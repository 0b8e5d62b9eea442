// Package overload follows how far a process is behind with what comes to it, and decides what follows. A process that was
// given more than its part of a core can do reads late: answers lie unread while their time-outs run out, and an owner's
// time runs while its ask does. It guards against trying again what was answered, and against taking what can't be done in
// time.
package overload

import "math"

// Times in milliseconds.
const (
	halfLife        = 150 // what was seen counts for half after so long
	minDelay        = 8   // less is usual
	maxTimeoutGrace = 400 // a time-out waits no longer for an answer that may lie unread
	batchDuration   = 8   // a turn takes up new work for about so long, so that what came meanwhile is read
	minBatchSize    = 4   // but so many asks at least
)

// Monitor follows the turns of a process's loop. Its zero value has seen none.
type Monitor struct{ delay, updatedAt float64 }

// OnTurn says that a turn was due, began and ended then: what came before it began lay unread for as long as it was late, at
// least, and what came while it ran until it ended.
func (w *Monitor) OnTurn(due, began, ended float64) {
	w.delay = max(w.Delay(ended), began-due, ended-began)
	w.updatedAt = ended
}

// Delay is how long what comes now is likely to lie unread, in ms.
func (w *Monitor) Delay(now float64) float64 {
	if w.delay == 0 {
		return 0
	}
	return w.delay * math.Exp2(-max(0, now-w.updatedAt)/halfLife)
}

// TimeoutGrace is how long, in ms, a time-out that runs out now waits yet for an answer that may lie unread.
func (w *Monitor) TimeoutGrace(now float64) float64 {
	if b := w.Delay(now); b > minDelay {
		return min(b, maxTimeoutGrace)
	}
	return 0
}

// RemainingTime is what is left, of the time in ms that an owner said it would wait, to an ask that is read now: it lay unread for a
// while, and its answer has to wait for its turn as well.
func (w *Monitor) RemainingTime(now, said float64) float64 {
	if b := w.Delay(now); b > minDelay {
		return max(said/2, said-2*b)
	}
	return said
}

// BatchSize is how many asks a turn may take up, each of which takes so many ms.
func BatchSize(each float64) int { return minBatchSize + int(batchDuration/max(0.01, each)) }
