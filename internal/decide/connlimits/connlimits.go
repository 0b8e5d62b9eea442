// Package connlimits decides what a connection may do, and for how long, before it is closed or passed over. It guards
// against peers that say nothing, say half, or take nothing, each alone.
package connlimits

// Bounds of a connection that owners opened. Times in milliseconds.
const (
	FirstWord  = 2400      // from connecting to something of use
	HalfWord   = 2400      // from the first byte of a message to its last
	MostWaits  = 256 << 10 // bytes that a peer has not taken
	Stuck      = 2000      // for which it may take nothing at all
	IdleEnough = 500       // without work for so long it may give way to another
	LeastLeft  = 1         // to an expiry, in which an answer could still be of use
	longest    = 20        // times the usual expiry: more is no time that anybody means
)

// Means tells whether an owner can mean to wait so long, where the usual expiry is as given.
func Means(left, usual float64) bool { return left >= LeastLeft && left <= longest*usual }

// Bounds of what is kept for a node, and of the connections to it.
const (
	MostCuts = 256   // ends that a node could not be told yet
	CutFor   = 20000 // ms for which they are kept
	MostEnds = 4096  // ends that no owner could be told yet
	EndWaits = 400   // ms of the second that a client may be told an end in, for which it waits for a connection that is proven
	muteFor  = 1000  // ms that a test's answer may take before its connection is given up
	idlePart = 0.6   // of the time after which a node closes an idle connection
)

// Fresh tells whether a connection that was idle for so long may still be used, where nodes close after closes: one
// that the node closes as a set-up leaves puts that in doubt.
func Fresh(idle, closes float64) bool { return idle <= idlePart*closes }

// Mute tells whether a connection on which a test was not answered for so long is given up.
func Mute(silent float64) bool { return silent > muteFor }
