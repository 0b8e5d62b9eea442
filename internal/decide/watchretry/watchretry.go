// Package watchretry decides when the journal service is asked anew: at once after a break, ever more rarely while it can't
// be reached, and after a silence that its count of every second should have broken. It guards against a connection
// that stays open and tells nothing.
package watchretry

// Times in milliseconds.
const (
	silenceTimeout = 1900 // the count comes every second
	eventTimeout   = 3800 // and one that trickles is taken for silent when it has told no whole line for so long
	minBackoff     = 30   // before it is asked again after a break
	maxBackoff     = 500
	connectTimeout = 1000 // to connect
	failureTimeout = 1200 // without a word from it, a call counts as failed
)

// Retrier follows one journal service. Its zero value asks at once.
type Retrier struct {
	connecting, connected bool
	failures              int
	nextConnectAt         float64 // the next time to ask
	lastEventAt           float64 // the last line that could be read, on any connection
	lastConnEventAt       float64 // the last such line on this one, or when it was made
	lastByteAt            float64 // the last byte on this one, or when it was made
	gotEvent              bool    // it has told a line
}

// BeginConnect tells whether to connect now; it counts as under way then.
func (w *Retrier) BeginConnect(now float64) bool {
	if w.connecting || w.connected || now < w.nextConnectAt {
		return false
	}
	w.connecting = true
	return true
}

// OnConnected says that the connection is made.
func (w *Retrier) OnConnected(now float64) {
	w.connecting, w.connected, w.gotEvent, w.lastConnEventAt, w.lastByteAt = false, true, false, now, now
}

// OnBytes says that something came, which need not be a whole line.
func (w *Retrier) OnBytes(now float64) { w.lastByteAt = now }

// OnEvent says that a line came that could be read.
func (w *Retrier) OnEvent(now float64) {
	w.lastEventAt, w.lastConnEventAt, w.lastByteAt, w.gotEvent, w.failures = now, now, now, true, 0
}

// OnDisconnected says that the connection is no more, or was not made.
func (w *Retrier) OnDisconnected(now float64) {
	w.connecting, w.connected, w.gotEvent = false, false, false
	w.nextConnectAt = now + min(minBackoff*float64(int(1)<<min(w.failures, 6)), maxBackoff)
	w.failures++
}

// OnAddressChanged says that the service has another address, which is asked at once.
func (w *Retrier) OnAddressChanged(now float64) {
	*w = Retrier{nextConnectAt: now, lastEventAt: w.lastEventAt}
}

// IsSilent tells whether the connection is to be given up.
func (w *Retrier) IsSilent(now float64) bool {
	return w.connected && (now-w.lastByteAt > silenceTimeout || now-w.lastConnEventAt > eventTimeout)
}

// IsLive tells whether the service is heard as it should be: a connection that has told nothing yet may lack any number of events.
func (w *Retrier) IsLive(now float64) bool {
	return w.connected && w.gotEvent && now-w.lastEventAt <= silenceTimeout
}

// IsFailing tells whether a call for news is to be answered as failed.
func (w *Retrier) IsFailing(now float64) bool {
	return !w.IsLive(now) && now-w.lastEventAt > failureTimeout
}

// ConnectTimeout is how long a connection may take.
func ConnectTimeout() float64 { return connectTimeout }
