package nodefailure

// ClockTolerance is the time by which the clock that dates the starts of nodes and this process's clock may differ, ms. Schedulers rely on the
// same bound when they take turns at a node in slow start.
const ClockTolerance = 500

// Connection is what is known of a connection to a node. A connection leads to one process of the node: when that process ends, the connection
// is reset, or is silent for good if the machine has vanished.
type Connection struct {
	DialedAt      float64 // when this process began to connect
	EstablishedAt float64 // when this process learned that the connection was made
	ReceivedAt    float64 // when bytes were last received on it; 0: never
	Broken        bool    // the node closed it, or it was reset
}

// Placement is what is known of the start of a running task.
type Placement struct {
	KnownAt    float64     // when the node's answer arrived or, without AnsweredOn, when the client handed the task over
	AnsweredOn *Connection // the connection of the node's answer; nil if the client handed the task over
}

// ProcessStart is the latest start of a node's process that the node list has told of. The zero value stands for a start long ago.
type ProcessStart struct {
	listedAt  float64 // the start time in the list
	startedAt float64 // the same, but no later than the time at which it was told
	toldAt    float64
}

// OnListed records the start time that the node list gives, 0 if the node started long ago. It reports whether the list tells of a later process
// than before.
func (p *ProcessStart) OnListed(now, startedAt float64) (restarted bool) {
	if startedAt <= p.listedAt {
		return false
	}
	*p = ProcessStart{listedAt: startedAt, startedAt: min(startedAt, now), toldAt: now}
	return true
}

// MayLeadTo reports whether a connection to the address of the node, made or being made, may lead to the process that the list told of.
func (p *ProcessStart) MayLeadTo(connection *Connection) bool {
	isBeingMade := connection.EstablishedAt == 0
	return p.startedAt > 0 && (isBeingMade || connection.EstablishedAt >= p.startedAt-ClockTolerance)
}

// StartedAt returns the start time, 0 if it is unknown or long ago.
func (p *ProcessStart) StartedAt() float64 { return p.startedAt }

// IsOutlivedBy reports whether something was received, after the process started, on a connection that leads to an earlier one at the same address. If
// the start time is unknown, the earlier one may live.
func (p *ProcessStart) IsOutlivedBy(connection *Connection) bool {
	return p.startedAt == 0 || connection.ReceivedAt > p.startedAt+ClockTolerance
}

// HasEnded reports whether a task ended together with an earlier process of its node.
//
// A connection that was made before the process started leads to an earlier process, whenever the answer on it was read. One that was dialed
// after that, or on which something was received after that, leads to the present one. Where the clocks leave that open, the end of the
// connection decides: a task counts as ended if its connection broke and nothing was received on it since the list told of the start. A task that
// a client handed over around the start or later may run in either process, and does not count as ended.
func (p *ProcessStart) HasEnded(task Placement) bool {
	earliest, latest := p.startedAt-ClockTolerance, p.startedAt+ClockTolerance
	connection := task.AnsweredOn
	switch {
	case p.startedAt == 0:
		return false
	case task.KnownAt < earliest:
		return true
	case connection == nil:
		return false
	case connection.EstablishedAt < earliest:
		return true
	case connection.DialedAt > latest || connection.ReceivedAt > latest:
		return false
	}
	return connection.Broken && connection.ReceivedAt <= p.toldAt
}
