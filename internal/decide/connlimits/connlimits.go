// Package connlimits holds the limits of single connections: how much a peer may leave unread, and how long it may take, before its connection
// is closed or no longer used. They protect against peers that send nothing, send only a part of a message, or read nothing.
//
// The package does no I/O, holds no state and returns no errors.
package connlimits

// Limits of a connection that a client opened.
const (
	FirstMessageTimeout = 2400      // ms from accepting the connection to its first complete message
	MessageTimeout      = 2400      // ms from the first byte of a message to its last
	MaxUnsentBytes      = 256 << 10 // bytes that the peer has not read yet
	WriteTimeout        = 2000      // ms for which the peer may read nothing
	MinIdleTime         = 500       // ms without work after which the connection may be closed in favor of another
	FullReadPause       = 2         // ms for which a connection is not read after it had a full buffer waiting, so that one client leaves time for others
	MinTimeLeft         = 1         // ms to a deadline below which an answer would come too late
	maxExpiryFactor     = 20        // longest plausible wait of a client, as a multiple of the usual expiry
)

// IsPlausibleWait reports whether timeLeft is a plausible time, in ms, for a client to wait, given the usual expiry.
func IsPlausibleWait(timeLeft, usualExpiry float64) bool {
	return timeLeft >= MinTimeLeft && timeLeft <= maxExpiryFactor*usualExpiry
}

// Limits of pending notifications and of connections to nodes.
const (
	MaxLateAnswers          = 256  // late answers that are expected on one connection
	MaxPendingNotifications = 4096 // ends of tasks of which no client could be notified yet
	VerifiedConnWait        = 400  // ms that a notification of an end, which may take 1 s, waits for a verified connection
	testOnlyConnAge         = 1000 // ms after which a connection with nothing but a test was not opened for the test alone
	healthCheckTimeout      = 1000 // ms without an answer to a health check
	idleFraction            = 0.6  // fraction of the time after which a node closes an idle connection
)

// MayCarryNotification reports whether a pending notification may be sent on a client connection that is age ms old: one on which a request was
// served or received, or one that was kept open after a valid message. A connection that is opened for a test alone is closed at once, and what is
// sent on it is lost.
func MayCarryNotification(verified, requested, active bool, age float64) bool {
	return verified || requested || active && age >= testOnlyConnAge
}

// IsReusable reports whether a connection that was idle for some ms may still be used, given that nodes close idle connections after closeAfter
// ms. If a node closes a connection while a request is in flight, the outcome of the request is unknown.
func IsReusable(idle, closeAfter float64) bool { return idle <= idleFraction*closeAfter }

// IsUnresponsive reports whether a connection has to be closed because a health check on it was not answered for silent ms.
func IsUnresponsive(silent float64) bool { return silent > healthCheckTimeout }
