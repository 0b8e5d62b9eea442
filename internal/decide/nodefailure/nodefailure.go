// Package nodefailure decides when the tasks at a node count as lost because it failed. A node that is alive reports the end of a task
// itself; a node that died or is partitioned cannot. The client has to be notified of a loss in time, but a task that is declared lost while
// it runs is wasted work. So the tasks count as lost only if the node refuses connections, or has been unreachable for a long time (Detector).
// That a node accepts connections says that some process of it lives, not that the one lives that ran the tasks: they have also ended once the
// node list tells of the start of a later process (ProcessHistory).
//
// The inputs are contacts with the node, outcomes of probes and the time; the outputs are probes to make and losses. A probe tries to make a
// new connection to the node. The package does no I/O and returns no errors. A Detector is not safe for concurrent use.
package nodefailure

// Times in milliseconds.
const (
	silenceThreshold    = 3000 // time without a contact after which a node with tasks is probed
	probeInterval       = 400  // minimum time between the starts of two probes
	refusedTimeout      = 1200 // time of refused connections after which a node counts as ended: for a moment it may just be full
	contactTimeout      = 7600 // time without a contact after which tasks count as lost: clients are to be notified of a loss within 8 s
	outOfReachTime      = 1000 // time for which probes must have failed for a node to be out of reach: more than one
	minProbeFailureTime = 2000 // time for which probes must have failed: a single one may fail because a packet is lost
)

// Detector detects the failure of one node. The zero value stands for a node without a contact so far.
type Detector struct {
	lastContactAt float64 // when a message arrived or a connection was made
	lastProbeAt   float64
	failingSince  float64 // when the first probe after the last contact failed; 0: none has failed
	allRefused    bool    // every probe that failed since then was refused
	probing       bool
}

// OnContact records that a message arrived from the node, or that it accepted a connection.
func (d *Detector) OnContact(now float64) { d.lastContactAt, d.failingSince, d.probing = now, 0, false }

// LastContactAt returns when the last contact was, 0 if there was none.
func (d *Detector) LastContactAt() float64 { return d.lastContactAt }

// IsOutOfReach reports whether probes have failed for some time since the last contact.
func (d *Detector) IsOutOfReach(now float64) bool {
	return d.failingSince > 0 && now-d.failingSince >= outOfReachTime
}

// OnProbe records that a probe starts.
func (d *Detector) OnProbe(now float64) { d.probing, d.lastProbeAt = true, now }

// OnProbeFailed records that a probe failed, and whether the node refused the connection.
func (d *Detector) OnProbeFailed(now float64, refused bool) {
	d.probing = false
	if d.failingSince == 0 {
		d.failingSince, d.allRefused = now, true
	}
	d.allRefused = d.allRefused && refused
}

// OnProbeSkipped records that this process could not make the probe, which says nothing about the node.
func (d *Detector) OnProbeSkipped() { d.probing = false }

// IsProbeDue reports whether to probe a node with tasks now, because no connection to it is open or because it is silent on all of them.
func (d *Detector) IsProbeDue(now float64, connected bool) bool {
	if d.probing || now-d.lastProbeAt < probeInterval {
		return false
	}
	return !connected || d.failingSince > 0 || d.SinceContact(now) >= silenceThreshold
}

// SinceContact returns the time in ms since the last contact or the start of the last probe.
func (d *Detector) SinceContact(now float64) float64 {
	return now - max(d.lastProbeAt, d.lastContactAt)
}

// IsLost reports whether the tasks at the node count as lost. removed says that the node is no longer on the node list: it is not probed any
// more, because its address may have gone to another node, and its tasks count as lost once its last connection ends.
func (d *Detector) IsLost(now float64, removed, connected bool) bool {
	if removed && !connected {
		return true
	}
	if d.failingSince == 0 {
		return false
	}
	lastContactAt := d.lastContactAt
	if lastContactAt == 0 { // no contact yet: the node may have been alive until the first probe failed
		lastContactAt = d.failingSince
	}
	failureTime := now - d.failingSince
	return d.allRefused && failureTime >= refusedTimeout || now-lastContactAt >= contactTimeout && failureTime >= minProbeFailureTime
}
