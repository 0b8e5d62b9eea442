// Package nodefailure decides when the tasks at a node count as lost with it. A node that is alive sends the end of a task itself; one
// that died or is cut off cannot. The client is to be notified of the end in time, but a task that is declared lost while it runs is
// wasted work: only a node that refuses connections, or that has been unreachable for long, has lost its tasks.
//
// Contacts, outcomes of health checks and the time go in; health checks to make and losses come out. The package does no I/O and returns
// no errors. A Detector is not safe for concurrent use.
package nodefailure

// Times in milliseconds.
const (
	silenceThreshold    = 3000 // without a contact, after which a node with tasks is checked
	probeInterval       = 400  // between two checks
	refusedTimeout      = 1200 // of refusing connections after which a node has ended: for a moment it may just be full
	contactTimeout      = 7600 // without a contact, of the 8 s in which clients are to be notified of a loss
	minProbeFailureTime = 2000 // for which checks must have failed: one may have met a lost packet
)

// Detector follows one node. Its zero value has had no contact.
type Detector struct {
	lastContactAt float64 // when a message arrived or a connection was made
	lastProbeAt   float64
	failingSince  float64 // of the first check that failed since; 0: none has
	allRefused    bool    // every check since then was refused
	probing       bool
}

// OnContact records that a message arrived from the node, or that it accepted a connection.
func (d *Detector) OnContact(now float64) { d.lastContactAt, d.failingSince, d.probing = now, 0, false }

// OnProbe records that a check starts.
func (d *Detector) OnProbe(now float64) { d.probing, d.lastProbeAt = true, now }

// OnProbeFailed records that a check failed, and whether the node refused the connection.
func (d *Detector) OnProbeFailed(now float64, refused bool) {
	d.probing = false
	if d.failingSince == 0 {
		d.failingSince, d.allRefused = now, true
	}
	d.allRefused = d.allRefused && refused
}

// OnProbeSkipped records that a check could not be made here, which says nothing about the node.
func (d *Detector) OnProbeSkipped() { d.probing = false }

// IsProbeDue reports whether to try a new connection now to a node with tasks: none is open, or all are silent.
func (d *Detector) IsProbeDue(now float64, connected bool) bool {
	if d.probing || now-d.lastProbeAt < probeInterval {
		return false
	}
	return !connected || d.failingSince > 0 || d.SinceContact(now) >= silenceThreshold
}

// SinceContact returns how long ago, in ms, the last contact or check was.
func (d *Detector) SinceContact(now float64) float64 {
	return now - max(d.lastProbeAt, d.lastContactAt)
}

// IsLost reports whether the tasks at the node have ended. removed says that the node is no longer on the node list: it is not checked any
// more, because its address may be another's, and its tasks end with its last connection.
func (d *Detector) IsLost(now float64, removed, connected bool) bool {
	if removed && !connected {
		return true
	}
	if d.failingSince == 0 {
		return false
	}
	lastContactAt := d.lastContactAt
	if lastContactAt == 0 { // never: it may have been there until it was checked
		lastContactAt = d.failingSince
	}
	failing := now - d.failingSince
	return d.allRefused && failing >= refusedTimeout || now-lastContactAt >= contactTimeout && failing >= minProbeFailureTime
}
