package platform

import (
	"slices"

	"ravenpond/internal/decide/connlimits"
	codec "ravenpond/internal/proto/platform"
	"ravenpond/logic"
)

// The methods of nodeConn in this file handle the attempts on a connection: how they are sent, cancelled and completed with it.

// addRequest adds the attempt of a request, which is sent at once or when the connection is made.
func (c *nodeConn) addRequest(r *request) {
	c.node.stops.Confirm(r.task) // a stop of an earlier attempt under this number would end this one
	c.requests = append(c.requests, r)
	r.conn = c
	if c.conn != nil {
		c.sendSetUp(r)
	}
}

// removeRequest removes a request from the connection.
func (c *nodeConn) removeRequest(r *request) {
	c.requests = removeUnordered(c.requests, r)
	r.conn = nil
	c.idleSince = c.server.env.Now()
}

// sendSetUp sends the attempt of a request.
func (c *nodeConn) sendSetUp(r *request) {
	message := codec.SetUp{
		Task: r.task, JobClass: r.fields.jobClass, Name: r.fields.name, Key: r.fields.key, Description: r.fields.description,
		TimeLeft: r.attemptDeadline - c.server.env.Now(),
	}
	sent, _, ok := c.conn.Send(func(b []byte) []byte {
		before := len(b)
		b = codec.AppendSetUp(b, &message)
		r.attemptBytes = len(b) - before
		return b
	})
	r.sentThrough, r.sentOn = sent, c.history
	if !ok {
		r.sentThrough = neverSent // OnClose follows
	}
}

// cancelAttempt cancels an attempt whose answer is no longer wanted. If the attempt can't be taken out of the send queue, the node is told to end
// it, and the connection drains, as a late answer may still be received on it.
func (c *nodeConn) cancelAttempt(r *request) {
	c.removeRequest(r)
	if c.conn == nil || c.conn.Unsend(r.sentThrough, r.attemptBytes) {
		return
	}
	c.expectLateAnswer(r.task)
	c.conn.Send(func(b []byte) []byte { return codec.AppendEnd(b, r.task, codec.CauseNormal) })
	c.drain()
}

// expectLateAnswer records a task whose answer is no longer wanted but may still be received. The task is stopped then. Too many of them make
// the connection drain.
func (c *nodeConn) expectLateAnswer(task uint64) {
	if c.abandoned == nil {
		c.abandoned = map[uint64]bool{}
	}
	c.abandoned[task] = true
	if len(c.abandoned) > connlimits.MaxLateAnswers {
		c.drain()
	}
}

// completeAll completes the attempts and the health check that were open on a connection that is closed.
func (c *nodeConn) completeAll(verdict func(*request) logic.Outcome, probeVerdict logic.Outcome) {
	c.completeRequests(verdict)
	if s := c.server; c.probeSeq != 0 {
		s.host.OnProbeResult(s.env.Now(), c.node.id, c.probeSeq, probeVerdict, nil)
	}
}

// completeRequests completes the attempts that are open on the connection.
func (c *nodeConn) completeRequests(verdict func(*request) logic.Outcome) {
	for _, r := range slices.Clone(c.requests) {
		v := verdict(r)
		c.removeRequest(r)
		c.server.requests.complete(r, attemptOutcome{verdict: v})
	}
}
