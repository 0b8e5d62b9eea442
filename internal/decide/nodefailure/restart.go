package nodefailure

import "slices"

// lateReadTime is the time in ms by which the close of a connection may be read after a line of the list that was sent later, as on a process that lags.
const lateReadTime = 500

// maxFailedDials is the number of dials without an answer to a node that are remembered, the latest ones.
const maxFailedDials = 8

// slowConnect is the time in ms from which on a connection that came up was not answered at first: a packet was lost, or no process was there.
const slowConnect = 100

// Connection is what is known of a connection to a node. A connection leads to one process of the node: when that process ends, the connection
// is reset, or is silent for good if the machine has vanished.
type Connection struct {
	DialedAt      float64 // when this process began to connect
	EstablishedAt float64 // when this process learned that the connection was made
	ReceivedAt    float64 // when bytes were last received on it; 0: never
	Broken        bool    // the node closed it, or it was reset
	ClosedAt      float64 // when this process learned that the node had closed it without a reset; 0: it did not
}

// LastSignAt returns when the connection last showed that the process it leads to lives.
func (c *Connection) LastSignAt() float64 { return max(c.EstablishedAt, c.ReceivedAt) }

// failedDial is a dial that was not answered, or not at once.
type failedDial struct {
	at      float64 // when it began
	refused bool    // no process listened, unless the node was at a limit for a moment
	until   float64 // when the connection came up all the same; 0: it did not
}

// ProcessHistory is what is known of the processes of a node: the start of the latest one that the node list has told of, and when none listened. The
// zero value stands for a node that started long ago.
type ProcessHistory struct {
	listed      bool    // the list has named the node
	listedAt    float64 // the start time in the list, 0: long ago
	start       startBounds
	toldAt      float64
	failedDials []failedDial  // the latest ones, in order
	connections []*Connection // the latest ones that were made to its address, in order
}

// OnListed records an entry of the node list. It reports whether it tells of another process than before: another start time is that of another process,
// also if it is earlier, as the node's clock may be stepped back.
func (h *ProcessHistory) OnListed(entry Listing) (restarted bool) {
	isFirst := !h.listed
	h.listed = true
	if entry.StartedAt == 0 || entry.StartedAt == h.listedAt {
		return false
	}
	h.start = h.boundsOf(entry, isFirst)
	h.listedAt, h.toldAt = entry.StartedAt, entry.Now
	return true
}

// OnDialFailed records that a dial which began at a time was refused, or not answered.
func (h *ProcessHistory) OnDialFailed(dialedAt float64, refused bool) {
	h.addFailedDial(failedDial{at: dialedAt, refused: refused})
}

// OnConnected records that a connection was made, and reports whether it was not answered at first.
func (h *ProcessHistory) OnConnected(connection *Connection) (late bool) {
	if excess := len(h.connections) - maxConnections + 1; excess > 0 {
		h.connections = slices.Delete(h.connections, 0, excess)
	}
	h.connections = append(h.connections, connection)
	late = connection.EstablishedAt-connection.DialedAt >= slowConnect
	if late {
		h.addFailedDial(failedDial{at: connection.DialedAt, until: connection.EstablishedAt})
	}
	return late
}

func (h *ProcessHistory) addFailedDial(dial failedDial) {
	if excess := len(h.failedDials) - maxFailedDials + 1; excess > 0 {
		h.failedDials = slices.Delete(h.failedDials, 0, excess)
	}
	h.failedDials = append(h.failedDials, dial)
}

// OnReturned records that the node was gone and is listed again at the same address. What was seen of its earlier processes still holds.
func (h *ProcessHistory) OnReturned(earlier *ProcessHistory) {
	h.failedDials, h.connections = slices.Clone(earlier.failedDials), slices.Clone(earlier.connections)
}

// OnAddressChanged records that the list gives the node another address. Dials and connections to the earlier one say nothing of a process there.
func (h *ProcessHistory) OnAddressChanged() { h.failedDials, h.connections = nil, nil }

// MayLeadTo reports whether a connection to the address of the node, made or being made, may lead to the process that the list told of.
func (h *ProcessHistory) MayLeadTo(connection *Connection) bool {
	isBeingMade := connection.EstablishedAt == 0
	return h.start.isKnown() && (isBeingMade || connection.EstablishedAt >= h.start.earliest)
}

// EarliestStart returns the earliest time at which the process can have started, 0 if it is unknown or long ago.
func (h *ProcessHistory) EarliestStart() float64 { return h.start.earliest }

// IsOutlivedBy reports whether something was received, after the process started, on a connection that leads to an earlier one at the same address. If
// the start time is unknown, the earlier one may live.
func (h *ProcessHistory) IsOutlivedBy(connection *Connection) bool {
	return !h.start.isKnown() || connection.ReceivedAt > h.start.latest
}

// HasEnded reports whether a task ended together with an earlier process of its node. Nothing is concluded until the list tells of a later process. Then
// these are looked at in turn:
//
//   - The node has reported the task on a connection that was dialed after the start: it runs, whatever the clocks say.
//   - The task was sent to its node before the start: it has ended.
//   - The connection on which the node answered or reported the task first leads to an earlier process (hasEnded): it has ended, else it runs.
//   - A dial since the task was sent was not answered before the start (isFromBeforeStart): no process was there in between, so the task has ended.
//   - A connection that was made since the task was sent leads to an earlier process: the task ran there or before, so it has ended.
//
// A task of which none of this is known may run in either process, and does not count as ended: a living one must not be called over.
func (h *ProcessHistory) HasEnded(task Placement) bool {
	reportedOn, lastReport, reachedOn := task.ReportedOn, task.LastReport, task.ReachedOn
	switch {
	case !h.start.isKnown():
		return false
	case lastReport != nil && lastReport.DialedAt > h.start.latest:
		return false
	case task.StartedBy < h.start.earliest:
		return true
	case reportedOn != nil:
		return h.hasEnded(reportedOn)
	case h.wasAbsentSince(task.StartedBy):
		return true
	}
	return reachedOn != nil && h.hasEnded(reachedOn)
}

// hasEnded reports whether the process that a connection leads to is an earlier one of the node, and has ended.
//
// A connection that was made before the process started leads to an earlier process, whenever something on it was read. One that was dialed
// after that, or on which something was received after that, leads to the present one. Where the bounds of the start leave that open, the end of the
// connection decides: the process counts as ended if the connection broke and nothing was received on it since the list told of the start. Two signs
// go before that. A dial that was not answered before the start, and began before the connection was made: no process was there in between, so the
// connection leads to the present one. And a close well after the list told: an earlier process, whose end closes its connections at once, had ended
// before, and a machine that has restarted resets them.
//
// Where the clocks differ, the bounds of the start are wide, and two signs go before all these. A dial that was not answered since something was last
// received on the connection: no process was there any more. And the end of a process that a later connection led to, as that is the same one or a later.
func (h *ProcessHistory) hasEnded(connection *Connection) bool {
	return h.showsEnd(connection) || h.start.clock == 0 && h.hasLaterEnded(connection)
}

// showsEnd reports the same by what was seen of the connection and of dials.
func (h *ProcessHistory) showsEnd(connection *Connection) bool {
	switch {
	case connection.EstablishedAt < h.start.earliest:
		return true
	case connection.DialedAt > h.start.latest || connection.ReceivedAt > h.start.latest:
		return false
	case h.start.clock == 0 && h.wasAbsentSince(connection.LastSignAt()):
		return true
	case h.wasAbsentBefore(connection), connection.ClosedAt > h.toldAt+lateReadTime:
		return false
	}
	return connection.Broken && connection.ReceivedAt <= h.toldAt
}

// hasLaterEnded reports whether a connection that was dialed later leads to an earlier process of the node, which has ended.
func (h *ProcessHistory) hasLaterEnded(connection *Connection) bool {
	return slices.ContainsFunc(h.connections, func(later *Connection) bool {
		return later.DialedAt > connection.EstablishedAt && later.LastSignAt() >= connection.LastSignAt() && h.showsEnd(later)
	})
}

// wasAbsentSince reports whether no process of the node was there at some moment between a time and the start of the listed process.
func (h *ProcessHistory) wasAbsentSince(time float64) bool {
	return slices.ContainsFunc(h.failedDials, func(dial failedDial) bool { return dial.at >= time && h.isFromBeforeStart(dial) })
}

// wasAbsentBefore reports whether no process of the node was there at some moment before a connection was made, so that it leads to the listed process.
func (h *ProcessHistory) wasAbsentBefore(connection *Connection) bool {
	return slices.ContainsFunc(h.failedDials, func(dial failedDial) bool {
		return dial.at <= connection.DialedAt && h.isFromBeforeStart(dial)
	})
}

// isFromBeforeStart reports whether a dial was not answered because the listed process had not started yet. The list must have told of the start
// afterwards. A refusal needs the clocks only to tell it from one long after the start, of a full node; the time between is that in which a process just
// starts. Other dials also fail because of the network, so by the clocks the start must lie in them, or after one that never came up. Where the clocks
// differ, each dial within the bounds of the start counts.
func (h *ProcessHistory) isFromBeforeStart(dial failedDial) bool {
	clock := h.start.clock
	switch {
	case dial.at > h.toldAt:
		return false
	case clock == 0:
		return dial.at >= max(h.start.earliest, h.start.previousToldAt)
	case dial.refused:
		return dial.at <= h.start.latest
	}
	return dial.at <= clock && (dial.until == 0 || clock <= dial.until+ClockTolerance)
}
