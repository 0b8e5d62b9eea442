// Package connlimits holds the limits of single connections: what a connection may do, and for how long, before it is closed or passed
// over. They guard against peers that send nothing, send half a message, or read nothing.
//
// The package does no I/O, holds no state and returns no errors.
package connlimits

// Limits of a connection that a client opened. Times are in milliseconds.
const (
	FirstMessageTimeout = 2400      // from connecting to the first complete message
	MessageTimeout      = 2400      // from the first byte of a message to its last
	MaxUnsentBytes      = 256 << 10 // that the peer has not read
	WriteTimeout        = 2000      // for which the peer may read nothing
	MinIdleTime         = 500       // without work after which the connection may be closed for another
	MinTimeLeft         = 1         // to a deadline in which an answer could still be of use
	maxExpiryFactor     = 20        // times the usual expiry that a client can mean to wait
)

// IsPlausibleWait reports whether a client can mean to wait for some ms, if the usual expiry is as given.
func IsPlausibleWait(left, usual float64) bool {
	return left >= MinTimeLeft && left <= maxExpiryFactor*usual
}

// Limits of pending notifications, and of connections to nodes. Times are in milliseconds.
const (
	MaxPendingNodeEnds = 256   // ends of tasks that a node could not be notified of yet
	NodeEndRetention   = 20000 // for which they are kept
	MaxPendingEnds     = 4096  // ends of tasks that no client could be notified of yet
	VerifiedConnWait   = 400   // of the second in which a client may be notified of an end, for which it waits for a verified connection
	testTimeout        = 1000  // of a test message on a connection
	idleFraction       = 0.6   // of the time after which a node closes an idle connection
)

// IsReusable reports whether a connection that was idle for some ms may still be used, if nodes close idle connections after closeAfter ms:
// one that the node closes while a request is on its way leaves the request's outcome in doubt.
func IsReusable(idle, closeAfter float64) bool { return idle <= idleFraction*closeAfter }

// IsUnresponsive reports whether a connection is closed on which a test was not answered for some ms.
func IsUnresponsive(silent float64) bool { return silent > testTimeout }
