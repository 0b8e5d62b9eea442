// Package nodefailure decides when what stands at a node counts as lost with it. A node that lives sends the end of a task
// itself; one that died or is cut off can't. Its owner is to hear of the end in time, but a task that is called lost
// while it runs is work thrown away: only a node that refuses, or that nothing has reached for long, has lost its tasks.
package nodefailure

// Times in milliseconds.
const (
	silenceThreshold    = 3000 // without a word from a node where something stands, it is looked for
	probeInterval       = 400  // between two looks
	refusedTimeout      = 1200 // a node that refuses connections for so long has ended: for a moment it may just be full
	contactTimeout      = 7600 // and one of which nothing was heard for so long, of the 8 s in which owners are to know that their work is over
	minProbeFailureTime = 2000 // while looks have failed for so long: one look may have met a lost packet
)

// Detector follows one node. The zero value has heard nothing.
type Detector struct {
	lastContactAt float64 // the last word, or connection made
	lastProbeAt   float64
	failingSince  float64 // of the first look that failed, 0: none has
	allRefused    bool    // every look since then was refused
	probing       bool
}

// OnContact says that something came from the node, or that it took a connection.
func (w *Detector) OnContact(now float64) { w.lastContactAt, w.failingSince, w.probing = now, 0, false }

// OnProbeFailed says that a look came to nothing.
func (w *Detector) OnProbeFailed(now float64, refusal bool) {
	w.probing = false
	if w.failingSince == 0 {
		w.failingSince, w.allRefused = now, true
	}
	w.allRefused = w.allRefused && refusal
}

// OnProbeSkipped says that a look could not be made here: it says nothing of the node.
func (w *Detector) OnProbeSkipped() { w.probing = false }

// IsProbeDue tells whether to try a new connection now, where something stands at the node: none is open, or all are quiet.
func (w *Detector) IsProbeDue(now float64, linked bool) bool {
	return !w.probing && now-w.lastProbeAt >= probeInterval && (!linked || w.failingSince > 0 || now-max(w.lastContactAt, w.lastProbeAt) >= silenceThreshold)
}

// OnProbe says that one is tried.
func (w *Detector) OnProbe(now float64) { w.probing, w.lastProbeAt = true, now }

// SinceContact is how long ago the node was last looked for, or heard.
func (w *Detector) SinceContact(now float64) float64 {
	return now - max(w.lastProbeAt, w.lastContactAt)
}

// IsLost tells whether what stands there has ended. gone tells that the list no longer has the node: it is not looked
// for any more, as its address may be another's, and ends with its last connection.
func (w *Detector) IsLost(now float64, gone, linked bool) bool {
	if gone && !linked {
		return true
	}
	if w.failingSince == 0 {
		return false
	}
	heard := w.lastContactAt
	if heard == 0 { // never: it may have been there until it was looked for
		heard = w.failingSince
	}
	return w.allRefused && now-w.failingSince >= refusedTimeout || now-heard >= contactTimeout && now-w.failingSince >= minProbeFailureTime
}
