// Package nodefailure decides when what stands at a node counts as lost with it. A node that lives sends the end of a task
// itself; one that died or is cut off can't. Its owner is to hear of the end in time, but a task that is called lost
// while it runs is work thrown away: only a node that refuses, or that nothing has reached for long, has lost its tasks.
package nodefailure

// Times in milliseconds.
const (
	quiet   = 3000 // without a word from a node where something stands, it is looked for
	again   = 400  // between two looks
	refused = 1200 // a node that refuses connections for so long has ended: for a moment it may just be full
	unheard = 7600 // and one of which nothing was heard for so long, of the 8 s in which owners are to know that their work is over
	failing = 2000 // while looks have failed for so long: one look may have met a lost packet
)

// Detector follows one node. The zero value has heard nothing.
type Detector struct {
	heard   float64 // the last word, or connection made
	looked  float64
	since   float64 // of the first look that failed, 0: none has
	refuses bool    // every look since then was refused
	looking bool
}

// Heard says that something came from the node, or that it took a connection.
func (w *Detector) Heard(now float64) { w.heard, w.since, w.looking = now, 0, false }

// Looked says that a look came to nothing.
func (w *Detector) Looked(now float64, refusal bool) {
	w.looking = false
	if w.since == 0 {
		w.since, w.refuses = now, true
	}
	w.refuses = w.refuses && refusal
}

// Missed says that a look could not be made here: it says nothing of the node.
func (w *Detector) Missed() { w.looking = false }

// Due tells whether to try a new connection now, where something stands at the node: none is open, or all are quiet.
func (w *Detector) Due(now float64, linked bool) bool {
	return !w.looking && now-w.looked >= again && (!linked || w.since > 0 || now-max(w.heard, w.looked) >= quiet)
}

// Look says that one is tried.
func (w *Detector) Look(now float64) { w.looking, w.looked = true, now }

// Since is how long ago the node was last looked for, or heard.
func (w *Detector) Since(now float64) float64 { return now - max(w.looked, w.heard) }

// Lost tells whether what stands there has ended. gone tells that the list no longer has the node: it is not looked
// for any more, as its address may be another's, and ends with its last connection.
func (w *Detector) Lost(now float64, gone, linked bool) bool {
	if gone && !linked {
		return true
	}
	if w.since == 0 {
		return false
	}
	heard := w.heard
	if heard == 0 { // never: it may have been there until it was looked for
		heard = w.since
	}
	return w.refuses && now-w.since >= refused || now-heard >= unheard && now-w.since >= failing
}
