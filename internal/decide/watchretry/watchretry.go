// Package watchretry decides when to connect to the journal service whose events the scheduler watches: almost at once after a working
// connection breaks, with a growing backoff while the service cannot be reached, and after a connection has been silent for longer than the
// service's heartbeat of one second allows. It guards against a connection that stays open and delivers nothing.
//
// The caller reports connections, bytes, events and the time; the package says when to connect or disconnect. It does no I/O and returns no
// errors. A Retrier is not safe for concurrent use.
package watchretry

// Times in milliseconds.
const (
	silenceTimeout = 1900 // time without a byte after which a connection is closed; a heartbeat arrives every second
	eventTimeout   = 3800 // time without a complete event after which a connection is closed, even if bytes arrive
	minBackoff     = 30   // after the first failure since an event; it doubles with each further one
	maxBackoff     = 500
	connectTimeout = 1000
	failureTimeout = 1200 // time without an event after which requests for events fail
	maxDoublings   = 6    // of minBackoff
)

// Retrier tracks the connections to one journal service. Its zero value connects at once.
type Retrier struct {
	connecting, connected bool
	failures              int // broken or failed connections since the last event
	nextConnectAt         float64
	lastEventAt           float64 // on any connection
	lastConnEventAt       float64 // on this connection, or when it was established
	lastByteAt            float64 // on this connection, or when it was established
	gotEvent              bool    // this connection has delivered an event
}

// BeginConnect reports whether to connect now. If so, it returns false until OnDisconnected or OnAddressChanged is called.
func (r *Retrier) BeginConnect(now float64) bool {
	if r.connecting || r.connected || now < r.nextConnectAt {
		return false
	}
	r.connecting = true
	return true
}

// OnConnected records that the connection is established.
func (r *Retrier) OnConnected(now float64) {
	r.connecting, r.connected, r.gotEvent = false, true, false
	r.lastConnEventAt, r.lastByteAt = now, now
}

// OnBytes records that bytes arrived, which need not complete an event.
func (r *Retrier) OnBytes(now float64) { r.lastByteAt = now }

// OnEvent records that a valid event arrived.
func (r *Retrier) OnEvent(now float64) {
	r.lastEventAt, r.lastConnEventAt, r.lastByteAt = now, now, now
	r.gotEvent, r.failures = true, 0
}

// OnDisconnected records that the connection broke or could not be established.
func (r *Retrier) OnDisconnected(now float64) {
	r.connecting, r.connected, r.gotEvent = false, false, false
	r.nextConnectAt = now + min(minBackoff*float64(int(1)<<min(r.failures, maxDoublings)), maxBackoff)
	r.failures++
}

// OnAddressChanged records that the service has another address, to which a connection may be made at once.
func (r *Retrier) OnAddressChanged(now float64) {
	*r = Retrier{nextConnectAt: now, lastEventAt: r.lastEventAt}
}

// IsSilent reports whether the connection has to be closed, because no byte or no complete event has arrived for too long.
func (r *Retrier) IsSilent(now float64) bool {
	return r.connected && (now-r.lastByteAt > silenceTimeout || now-r.lastConnEventAt > eventTimeout)
}

// IsLive reports whether events arrive as expected: this connection has delivered one, and the last one is recent. As long as a connection has
// not delivered any, an unknown number of events may be missing.
func (r *Retrier) IsLive(now float64) bool {
	return r.connected && r.gotEvent && now-r.lastEventAt <= silenceTimeout
}

// LastEventAt returns when the last event arrived on any connection, 0 if none did.
func (r *Retrier) LastEventAt() float64 { return r.lastEventAt }

// IsFailing reports whether requests for events have to be answered with a failure.
func (r *Retrier) IsFailing(now float64) bool {
	return !r.IsLive(now) && now-r.lastEventAt > failureTimeout
}

// ConnectTimeout returns the timeout in ms for establishing a connection.
func ConnectTimeout() float64 { return connectTimeout }
