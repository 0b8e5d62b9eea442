// Package watchretry decides when the journal service is asked anew: at once after a break, ever more rarely while it can't
// be reached, and after a silence that its count of every second should have broken. It guards against a connection
// that stays open and tells nothing.
package watchretry

// Times in milliseconds.
const (
	silent  = 1900 // the count comes every second
	whole   = 3800 // and one that trickles is taken for silent when it has told no whole line for so long
	first   = 30   // before it is asked again after a break
	longest = 500
	reach   = 1000 // to connect
	failing = 1200 // without a word from it, a call counts as failed
)

// Retrier follows one journal service. Its zero value asks at once.
type Retrier struct {
	asking, linked bool
	fails          int
	at             float64 // the next time to ask
	heard          float64 // the last line that could be read, on any connection
	since          float64 // the last such line on this one, or when it was made
	came           float64 // the last byte on this one, or when it was made
	told           bool    // it has told a line
}

// Ask tells whether to connect now; it counts as under way then.
func (w *Retrier) Ask(now float64) bool {
	if w.asking || w.linked || now < w.at {
		return false
	}
	w.asking = true
	return true
}

// Linked says that the connection is made.
func (w *Retrier) Linked(now float64) {
	w.asking, w.linked, w.told, w.since, w.came = false, true, false, now, now
}

// Came says that something came, which need not be a whole line.
func (w *Retrier) Came(now float64) { w.came = now }

// Heard says that a line came that could be read.
func (w *Retrier) Heard(now float64) {
	w.heard, w.since, w.came, w.told, w.fails = now, now, now, true, 0
}

// Broke says that the connection is no more, or was not made.
func (w *Retrier) Broke(now float64) {
	w.asking, w.linked, w.told = false, false, false
	w.at = now + min(first*float64(int(1)<<min(w.fails, 6)), longest)
	w.fails++
}

// Moved says that the service has another address, which is asked at once.
func (w *Retrier) Moved(now float64) { *w = Retrier{at: now, heard: w.heard} }

// Silent tells whether the connection is to be given up.
func (w *Retrier) Silent(now float64) bool {
	return w.linked && (now-w.came > silent || now-w.since > whole)
}

// Live tells whether the service is heard as it should be: a connection that has told nothing yet may lack any number of events.
func (w *Retrier) Live(now float64) bool { return w.linked && w.told && now-w.heard <= silent }

// Failing tells whether a call for news is to be answered as failed.
func (w *Retrier) Failing(now float64) bool { return !w.Live(now) && now-w.heard > failing }

// Reach is how long a connection may take.
func Reach() float64 { return reach }
