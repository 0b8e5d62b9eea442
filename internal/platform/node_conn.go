package platform

import (
	"errors"
	"slices"

	"github.com/rs/zerolog"

	"ravenpond/internal/decide/connlimits"
	"ravenpond/internal/decide/outcome"
	"ravenpond/internal/env"
	codec "ravenpond/internal/proto/platform"
	"ravenpond/logic"
)

// nodeConn is a connection to a node, or one that is being made. It implements env.ConnHandler. Server.mu guards it.
//
// While descriptors allow, one request at a time is open on a connection, so that an answer that can't be read costs no other request.
type nodeConn struct {
	server      *Server
	node        *node
	conn        env.Conn   // nil while it is being made
	partial     []byte     // the received part of an incomplete message
	requests    []*request // whose attempts are in flight on this connection
	abandoned   map[uint64]bool
	probeSeq    uint32 // the health check that is open, 0: none
	probeSentAt float64
	idleSince   float64 // since when no request or health check is open
	draining    bool    // nothing new is sent
	closeAt     float64 // when a draining connection is closed
	closed      bool
}

// neverSent marks a message that could not be sent: no connection ever hands over so many bytes.
const neverSent = 1 << 63

// isOpen returns whether the connection is being made, or its node has not closed it. What is sent on one that the node has closed may be
// lost with it, or may not.
func (c *nodeConn) isOpen() bool { return c.conn == nil || !c.conn.PeerClosed() }

// isIdle returns whether nothing is open on the connection and it can still be used.
func (c *nodeConn) isIdle() bool { return !c.draining && len(c.requests) == 0 && c.probeSeq == 0 }

// idleBefore orders connections by how long they have been idle, and then by their nodes.
func (c *nodeConn) idleBefore(x *nodeConn) bool {
	return c.idleSince < x.idleSince || c.idleSince == x.idleSince && c.node.id < x.node.id
}

// isFresh returns whether the connection was used so recently that its node does not close it yet.
func (c *nodeConn) isFresh(now float64) bool {
	return connlimits.IsReusable(now-c.idleSince, c.server.settings.IdleTimeout)
}

// isStale returns whether a connection without open requests is to be closed: it has drained, was idle for too long, or does not answer a health
// check, so that a new one has to tell whether its node does.
func (c *nodeConn) isStale(now float64) bool {
	switch {
	case len(c.requests) > 0:
		return false
	case c.draining && now >= c.closeAt:
		return true
	case c.isIdle():
		return !c.isFresh(now)
	}
	return c.probeSeq != 0 && connlimits.IsUnresponsive(now-c.probeSentAt)
}

// canProbe returns whether a health check can be sent.
func (c *nodeConn) canProbe(now float64) bool {
	return !c.draining && c.probeSeq == 0 && c.conn != nil && c.isFresh(now) && c.isOpen()
}

// onDialed takes the result of a dial.
func (c *nodeConn) onDialed(conn env.Conn, err error) {
	s := c.server
	s.mu.Lock()
	defer s.mu.Unlock()
	defer s.loop.wake()
	switch now := s.env.Now(); {
	case err != nil:
		c.onDialFailed(now, err)
	case c.closed: // its node became unavailable meanwhile
		conn.Close(false, nil)
	default:
		c.onConnected(now, conn)
	}
}

// onDialFailed completes what waited for the connection. A failure for want of descriptors or ports says nothing of the node.
func (c *nodeConn) onDialFailed(now float64, err error) {
	s := c.server
	s.telemetry.trace("dial failed", 0, func(e *zerolog.Event) { e.Str("node", c.node.name).Err(err) })
	verdict := outcome.VerdictWithoutConnection()
	if errors.Is(err, env.ErrExhausted) {
		s.telemetry.count(countDialsExhausted)
		c.node.failureDetector.OnProbeSkipped()
		verdict = logic.NotSent
	} else {
		s.telemetry.count(countDialsFailed)
		c.node.failureDetector.OnProbeFailed(now, errors.Is(err, env.ErrRefused))
	}
	c.remove()
	c.completeAll(func(*request) logic.Outcome { return verdict }, logic.Unreachable)
}

// onConnected sends what waited for the connection. Requests whose clients have gone meanwhile, and attempts that have timed out, are not sent.
func (c *nodeConn) onConnected(now float64, conn env.Conn) {
	s := c.server
	for _, r := range slices.Clone(c.requests) {
		if r.clientGone() {
			s.requests.withdraw(r)
		}
	}
	c.conn = conn
	c.idleSince = now
	c.node.failureDetector.OnContact(now)
	conn.Start(c, connlimits.WriteTimeout)
	for _, r := range slices.Clone(c.requests) {
		if now >= r.attemptDeadline {
			c.removeRequest(r)
			s.requests.complete(r, attemptOutcome{verdict: logic.NotSent})
			continue
		}
		c.sendSetUp(r)
	}
	if c.probeSeq != 0 {
		c.sendTest()
	}
	for _, stop := range c.node.takeStops(now) {
		c.conn.Send(func(b []byte) []byte { return codec.AppendEnd(b, stop.task, codec.CauseElsewhere) })
	}
	if c.isIdle() { // it was made to check the node: what the node sends comes on this one as well
		c.node.closeIdleConnsBut(c)
	}
}

// addRequest puts the attempt of a request on the connection, which is sent at once or when it is made.
func (c *nodeConn) addRequest(r *request) {
	c.requests = append(c.requests, r)
	r.conn = c
	if c.conn != nil {
		c.sendSetUp(r)
	}
}

// removeRequest takes a request off the connection.
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
	r.sentThrough = sent
	if !ok {
		r.sentThrough = neverSent // the end of the connection follows
	}
}

// cancelAttempt takes back an attempt that is no longer waited for. If it has left this machine, the node is told, and the connection is of no
// further use, as a late answer may still be received on it.
func (c *nodeConn) cancelAttempt(r *request) {
	c.removeRequest(r)
	if c.conn == nil || c.conn.Unsend(r.sentThrough, r.attemptBytes) {
		return
	}
	c.expectLateAnswer(r.task)
	c.conn.Send(func(b []byte) []byte { return codec.AppendEnd(b, r.task, codec.CauseNormal) })
	c.drain()
}

// expectLateAnswer remembers a task that is no longer waited for, but whose answer may still be received: it is to be stopped then.
func (c *nodeConn) expectLateAnswer(task uint64) {
	if c.abandoned == nil {
		c.abandoned = map[uint64]bool{}
	}
	c.abandoned[task] = true
	if len(c.abandoned) > connlimits.MaxPendingNodeEnds {
		c.drain()
	}
}

// drain has nothing new sent on the connection. It is closed when nothing is open on it, but late answers are waited for.
func (c *nodeConn) drain() {
	c.draining = true
	c.closeAt = c.server.env.Now() + outcome.Linger()
}

// sendStop stops a running task. It returns false if the connection can't carry the message.
func (c *nodeConn) sendStop(task uint64) bool {
	if c.conn == nil || c.closed || !c.isOpen() {
		return false
	}
	_, _, ok := c.conn.Send(func(b []byte) []byte { return codec.AppendEnd(b, task, codec.CauseElsewhere) })
	return ok
}

// startProbe sends a health check, at once or when the connection is made.
func (c *nodeConn) startProbe(seq uint32) {
	c.probeSeq = seq
	if c.conn != nil {
		c.sendTest()
	}
}

func (c *nodeConn) sendTest() {
	c.probeSentAt = c.server.env.Now()
	c.conn.Send(func(b []byte) []byte { return codec.AppendTest(b, uint64(c.probeSeq), true) })
}

// onBroken closes a connection that ended under what is open on it.
func (c *nodeConn) onBroken(cause string) {
	handedOver := c.conn.HandedOver()
	c.server.telemetry.trace("link broke", 0, func(e *zerolog.Event) {
		e.Str("node", c.node.name).Str("why", cause).Int("open", len(c.requests)).Bool("spent", c.draining)
	})
	c.fail(func(r *request) logic.Outcome { return outcome.VerdictAfterDisconnect(r.sentThrough <= handedOver) })
}

// onMalformed closes a connection on which something was received that can't be read.
func (c *nodeConn) onMalformed(err error) {
	c.server.telemetry.count(countMalformed)
	c.server.telemetry.trace("spoilt", 0, func(e *zerolog.Event) { e.Str("node", c.node.name).Err(err) })
	c.fail(func(*request) logic.Outcome { return outcome.VerdictAfterMalformed() })
}

// fail closes the connection and completes what is open on it.
func (c *nodeConn) fail(verdict func(*request) logic.Outcome) {
	s := c.server
	c.remove()
	c.conn.Close(false, nil)
	c.completeAll(verdict, logic.ConnectionLost)
	c.node.keepConnected(s.env.Now())
	s.loop.wake()
}

// completeAll completes the attempts and the health check that were open on a connection that is closed.
func (c *nodeConn) completeAll(verdict func(*request) logic.Outcome, probeVerdict logic.Outcome) {
	s := c.server
	for _, r := range slices.Clone(c.requests) {
		v := verdict(r)
		c.removeRequest(r)
		s.requests.complete(r, attemptOutcome{verdict: v})
	}
	if c.probeSeq != 0 {
		s.host.OnProbeResult(s.env.Now(), c.node.id, c.probeSeq, probeVerdict, nil)
	}
}

// close closes a connection on which nothing is open.
func (c *nodeConn) close(graceful bool) {
	c.remove()
	if c.conn != nil {
		c.conn.Close(graceful, nil)
	}
}

// remove drops the connection.
func (c *nodeConn) remove() {
	if c.closed {
		return
	}
	c.closed = true
	c.partial = nil
	c.node.removeConn(c)
}
