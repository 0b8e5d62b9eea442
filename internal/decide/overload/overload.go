// Package overload follows how far a process is behind with what comes to it, and decides what follows. A process that was
// given more than its part of a core can do reads late: answers lie unread while their time-outs run out, and an owner's
// time runs while its ask does. It guards against trying again what was answered, and against taking what can't be done in
// time.
package overload

import "math"

// Times in milliseconds.
const (
	half    = 150 // what was seen counts for half after so long
	noticed = 8   // less is usual
	most    = 400 // a time-out waits no longer for an answer that may lie unread
	turnFor = 8   // a turn takes up new work for about so long, so that what came meanwhile is read
	leastIn = 4   // but so many asks at least
)

// Monitor follows the turns of a process's loop. Its zero value has seen none.
type Monitor struct{ worst, at float64 }

// Turn says that a turn was due, began and ended then: what came before it began lay unread for as long as it was late, at
// least, and what came while it ran until it ended.
func (w *Monitor) Turn(due, began, ended float64) {
	w.worst = max(w.Behind(ended), began-due, ended-began)
	w.at = ended
}

// Behind is how long what comes now is likely to lie unread, in ms.
func (w *Monitor) Behind(now float64) float64 {
	if w.worst == 0 {
		return 0
	}
	return w.worst * math.Exp2(-max(0, now-w.at)/half)
}

// Patience is how long, in ms, a time-out that runs out now waits yet for an answer that may lie unread.
func (w *Monitor) Patience(now float64) float64 {
	if b := w.Behind(now); b > noticed {
		return min(b, most)
	}
	return 0
}

// Left is what is left, of the time in ms that an owner said it would wait, to an ask that is read now: it lay unread for a
// while, and its answer has to wait for its turn as well.
func (w *Monitor) Left(now, said float64) float64 {
	if b := w.Behind(now); b > noticed {
		return max(said/2, said-2*b)
	}
	return said
}

// TakeIn is how many asks a turn may take up, each of which takes so many ms.
func TakeIn(each float64) int { return leastIn + int(turnFor/max(0.01, each)) }
