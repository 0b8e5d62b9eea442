package nodefailure

// Placement is what is known of the start of a running task.
type Placement struct {
	KnownAt    float64     // when the node's answer arrived, or when the client handed the task over
	StartedBy  float64     // the time by which the process that runs the task had been sent it; no later than KnownAt
	ReportedOn *Connection // the connection of the node's answer, or of its first report on the task if a client handed it over; nil: it sent neither
	LastReport *Connection // the newest connection on which the node reported the task; nil: none
	ReachedOn  *Connection // the first connection that was dialed since StartedBy: it leads to the process that runs the task, or to a later one; nil: none
}

// Answered returns the placement of a task that a node's answer on a connection told of.
func Answered(now float64, connection *Connection) Placement {
	return Placement{KnownAt: now, StartedBy: now, ReportedOn: connection, LastReport: connection}
}

// HandedOver returns the placement of a task that a client hands over now. The time of the hand-over says little of when the task began: it was sent to its
// node either before this scheduler started, by an earlier process of it, or in an attempt that was given up. In the second case the client has waited for
// retryDelay since, in ms, before it asked whether the task runs. 0: it does not wait.
func HandedOver(now, schedulerStartedAt, retryDelay float64) Placement {
	return Placement{KnownAt: now, StartedBy: min(now, max(schedulerStartedAt, now-retryDelay))}
}

// OnReported records a message of the node about the task. It proves that the task runs in the process at the other end of the connection.
func (p *Placement) OnReported(connection *Connection) {
	if p.ReportedOn == nil {
		p.ReportedOn = connection
	}
	if p.LastReport == nil || connection.EstablishedAt > p.LastReport.EstablishedAt {
		p.LastReport = connection
	}
}

// OnReached records a connection that was made to the node. One that was dialed before the task was sent may lead to an earlier process.
func (p *Placement) OnReached(connection *Connection) {
	if p.ReachedOn == nil && p.ReportedOn == nil && connection.DialedAt >= p.StartedBy {
		p.ReachedOn = connection
	}
}
