// Package watchretry decides when to connect to the journal service whose events the scheduler watches: at once after the connection
// breaks, with a growing backoff while the service cannot be reached, and after a silence that its heartbeat of every second should have
// broken. It guards against a connection that stays open and delivers nothing.
//
// Connections, bytes, events and the time go in; when to connect or disconnect comes out. The package does no I/O and returns no errors. A
// Retrier is not safe for concurrent use.
package watchretry

// Times in milliseconds.
const (
	silenceTimeout = 1900 // without a byte; a heartbeat arrives every second
	eventTimeout   = 3800 // without a complete event, on a connection that trickles
	minBackoff     = 30   // after the connection broke
	maxBackoff     = 500
	connectTimeout = 1000
	failureTimeout = 1200 // without an event, after which a request for events counts as failed
	maxDoublings   = 6
)

// Retrier follows one journal service. Its zero value connects at once.
type Retrier struct {
	connecting, connected bool
	failures              int
	nextConnectAt         float64
	lastEventAt           float64 // on any connection
	lastConnEventAt       float64 // on this connection, or when it was made
	lastByteAt            float64 // on this connection, or when it was made
	gotEvent              bool    // this connection has delivered an event
}

// BeginConnect reports whether to connect now. The connection counts as being made from then on.
func (r *Retrier) BeginConnect(now float64) bool {
	if r.connecting || r.connected || now < r.nextConnectAt {
		return false
	}
	r.connecting = true
	return true
}

// OnConnected records that the connection is made.
func (r *Retrier) OnConnected(now float64) {
	r.connecting, r.connected, r.gotEvent = false, true, false
	r.lastConnEventAt, r.lastByteAt = now, now
}

// OnBytes records that bytes arrived, which need not be a complete event.
func (r *Retrier) OnBytes(now float64) { r.lastByteAt = now }

// OnEvent records that a valid event arrived.
func (r *Retrier) OnEvent(now float64) {
	r.lastEventAt, r.lastConnEventAt, r.lastByteAt = now, now, now
	r.gotEvent, r.failures = true, 0
}

// OnDisconnected records that the connection broke, or could not be made.
func (r *Retrier) OnDisconnected(now float64) {
	r.connecting, r.connected, r.gotEvent = false, false, false
	r.nextConnectAt = now + min(minBackoff*float64(int(1)<<min(r.failures, maxDoublings)), maxBackoff)
	r.failures++
}

// OnAddressChanged records that the service has another address. The next connection is made at once.
func (r *Retrier) OnAddressChanged(now float64) {
	*r = Retrier{nextConnectAt: now, lastEventAt: r.lastEventAt}
}

// IsSilent reports whether the connection is to be closed.
func (r *Retrier) IsSilent(now float64) bool {
	return r.connected && (now-r.lastByteAt > silenceTimeout || now-r.lastConnEventAt > eventTimeout)
}

// IsLive reports whether events arrive as they should. A connection that has delivered none yet may lack any number of events.
func (r *Retrier) IsLive(now float64) bool {
	return r.connected && r.gotEvent && now-r.lastEventAt <= silenceTimeout
}

// IsFailing reports whether a request for events is to be answered as failed.
func (r *Retrier) IsFailing(now float64) bool {
	return !r.IsLive(now) && now-r.lastEventAt > failureTimeout
}

// ConnectTimeout returns how long a connection may take to be made, in ms.
func ConnectTimeout() float64 { return connectTimeout }
