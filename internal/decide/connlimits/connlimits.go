// Package connlimits decides what a connection may do, and for how long, before it is closed or passed over. It guards
// against peers that say nothing, say half, or take nothing, each alone.
package connlimits

// Bounds of a connection that owners opened. Times in milliseconds.
const (
	FirstMessageTimeout = 2400      // from connecting to something of use
	MessageTimeout      = 2400      // from the first byte of a message to its last
	MaxUnsentBytes      = 256 << 10 // bytes that a peer has not taken
	WriteTimeout        = 2000      // for which it may take nothing at all
	MinIdleTime         = 500       // without work for so long it may give way to another
	MinTimeLeft         = 1         // to an expiry, in which an answer could still be of use
	maxExpiryFactor     = 20        // times the usual expiry: more is no time that anybody means
)

// IsPlausibleWait tells whether an owner can mean to wait so long, where the usual expiry is as given.
func IsPlausibleWait(left, usual float64) bool {
	return left >= MinTimeLeft && left <= maxExpiryFactor*usual
}

// Bounds of what is kept for a node, and of the connections to it.
const (
	MaxPendingNodeEnds = 256   // ends that a node could not be told yet
	NodeEndRetention   = 20000 // ms for which they are kept
	MaxPendingEnds     = 4096  // ends that no owner could be told yet
	VerifiedConnWait   = 400   // ms of the second that a client may be told an end in, for which it waits for a connection that is proven
	testTimeout        = 1000  // ms that a test's answer may take before its connection is given up
	idleFraction       = 0.6   // of the time after which a node closes an idle connection
)

// IsReusable tells whether a connection that was idle for so long may still be used, where nodes close after closes: one
// that the node closes as a set-up leaves puts that in doubt.
func IsReusable(idle, closes float64) bool { return idle <= idleFraction*closes }

// IsUnresponsive tells whether a connection on which a test was not answered for so long is given up.
func IsUnresponsive(silent float64) bool { return silent > testTimeout }
