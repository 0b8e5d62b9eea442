package platform

import (
	"errors"
	"slices"

	"github.com/rs/zerolog"

	"ravenpond/internal/decide/connlimits"
	"ravenpond/internal/decide/nodefailure"
	"ravenpond/internal/decide/outcome"
	"ravenpond/internal/env"
	codec "ravenpond/internal/proto/platform"
	"ravenpond/logic"
)

// nodeConn is a connection to a node, or one that is being made. It implements env.ConnHandler. Server.mu guards it.
//
// As long as the limit of connections allows, one request at a time is open on a connection, so that a malformed answer fails no other request.
type nodeConn struct {
	server      *Server
	node        *node
	number      uint64   // above 0, unique among the connections to the node
	conn        env.Conn // nil while the connection is being made
	history     *nodefailure.Connection
	partial     []byte          // the received part of an incomplete message
	requests    []*request      // requests whose attempts are in flight on this connection
	abandoned   map[uint64]bool // tasks that are to be stopped if their late answers are received
	probeSeq    uint32          // the number of the open health check, 0 if there is none
	probeSentAt float64
	idleSince   float64 // the time since which no request or health check is open
	draining    bool    // no new request or health check is sent
	closeAt     float64 // the time at which a draining connection is closed
	keepsOthers bool    // it is made beside other idle connections, and does not replace them
	closed      bool
	readsLate   bool // it was closed gracefully here, and what the node had sent by then is still read
}

// neverSent is the position in the stream of a message that could not be sent: no connection ever hands over so many bytes.
const neverSent = 1 << 63

// isOpen reports whether the connection is being made, or its node has not closed it. Whether a message that is sent on a connection that the node
// has closed still reaches the node is uncertain.
func (c *nodeConn) isOpen() bool { return c.conn == nil || !c.conn.PeerClosed() }

// isIdle reports whether no request or health check is open on the connection and it can still be used.
func (c *nodeConn) isIdle() bool { return !c.draining && len(c.requests) == 0 && c.probeSeq == 0 }

// idleBefore orders connections by how long they have been idle, and then by their nodes.
func (c *nodeConn) idleBefore(x *nodeConn) bool {
	return c.idleSince < x.idleSince || c.idleSince == x.idleSince && c.node.id < x.node.id
}

// isFresh reports whether the connection was used so recently that its node does not close it as idle yet.
func (c *nodeConn) isFresh(now float64) bool {
	return connlimits.IsReusable(now-c.idleSince, c.server.settings.IdleTimeout)
}

// isStale reports whether a connection is to be closed: no request is open on it, and it has drained, was idle for too long, or carries a health
// check without an answer, so that a new connection has to show whether the node answers.
func (c *nodeConn) isStale(now float64) bool {
	switch {
	case len(c.requests) > 0:
		return false
	case c.draining && now >= c.closeAt:
		return true
	case c.isIdle():
		return !c.isFresh(now)
	}
	return c.isUnanswered(now)
}

// isUnanswered reports whether a health check on the connection was not answered in time.
func (c *nodeConn) isUnanswered(now float64) bool {
	return c.probeSeq != 0 && connlimits.IsUnresponsive(now-c.probeSentAt)
}

// canProbe reports whether a health check can be sent on the connection.
func (c *nodeConn) canProbe(now float64) bool {
	return !c.draining && c.probeSeq == 0 && c.conn != nil && c.isFresh(now) && c.isOpen()
}

// onDialed processes the result of a dial.
func (c *nodeConn) onDialed(conn env.Conn, err error) {
	s := c.server
	s.mu.Lock()
	defer s.mu.Unlock()
	defer s.loop.wake()
	switch now := s.env.Now(); {
	case err != nil:
		c.onDialFailed(now, err)
	case c.closed: // the connection was closed while it was being made
		conn.Close(false, nil)
	default:
		c.onConnected(now, conn)
	}
}

// onDialFailed completes the attempts and the health check that waited for the connection. A dial that failed because this machine has no
// descriptors or ports left says nothing about the node.
func (c *nodeConn) onDialFailed(now float64, err error) {
	s := c.server
	s.telemetry.trace("dial failed", 0, func(e *zerolog.Event) {
		e.Str("node", c.node.name).Str("address", c.node.address).Float64("took", now-c.history.DialedAt).Err(err)
	})
	verdict := outcome.VerdictWithoutConnection()
	if errors.Is(err, env.ErrExhausted) {
		s.telemetry.count(countDialsExhausted)
		c.node.failureDetector.OnProbeSkipped()
		verdict = logic.NotSent
	} else {
		s.telemetry.count(countDialsFailed)
		c.node.onDialFailed(now, c.history, errors.Is(err, env.ErrRefused))
	}
	c.remove()
	c.completeAll(func(*request) logic.Outcome { return verdict }, logic.Unreachable)
	c.node.endTasksOfEarlierProcess(now)
}

// onConnected sends what waited for the connection, except requests whose clients have gone meanwhile and attempts that have timed out.
func (c *nodeConn) onConnected(now float64, conn env.Conn) {
	s := c.server
	for _, r := range slices.Clone(c.requests) {
		if r.clientGone() {
			s.requests.withdraw(r)
		}
	}
	c.conn = conn
	c.idleSince, c.history.EstablishedAt = now, now
	s.telemetry.trace("connected", 0, func(e *zerolog.Event) {
		e.Str("node", c.node.name).Str("address", c.node.address).Float64("took", now-c.history.DialedAt).Int("links", len(c.node.conns))
	})
	c.node.failureDetector.OnContact(now)
	c.node.identity.OnConnected(c.history)
	c.node.reportIdentity(now)
	conn.Start(c, connlimits.WriteTimeout)
	for _, r := range slices.Clone(c.requests) {
		if now >= r.attemptDeadline {
			c.removeRequest(r)
			s.requests.complete(r, attemptOutcome{verdict: logic.NotSent})
			continue
		}
		if !s.host.MaySend(r.allocID, c.isKnown(now)) {
			c.removeRequest(r)
			s.requests.complete(r, attemptOutcome{verdict: outcome.VerdictWithoutConnection()})
			continue
		}
		c.sendSetUp(r)
	}
	if c.probeSeq != 0 {
		c.sendTest()
	}
	c.node.onReached(now, c.history)
	c.node.reconnect.OnConnected(c.history.DialedAt)
	c.sendUnsentStops(now)
	if c.isIdle() && !c.keepsOthers { // the connection was made to check the node, and replaces idle ones: the node can send its messages on this one too
		c.node.closeIdleConnsBut(c)
	}
}

// drain stops sending new requests and health checks on the connection. It is closed once no request is open on it and late answers have had time
// to arrive.
func (c *nodeConn) drain() {
	c.draining = true
	c.closeAt = c.server.env.Now() + outcome.Linger()
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
	c.conn.Send(func(b []byte) []byte { return codec.AppendHealthCheck(b, uint64(c.probeSeq), true) })
}

// onBroken processes the end of a connection that this side did not close.
func (c *nodeConn) onBroken(cause string) {
	handedOver := c.conn.BytesWritten()
	c.server.telemetry.trace("link broke", 0, func(e *zerolog.Event) {
		e.Str("node", c.node.name).Str("why", cause).Int("open", len(c.requests)).Bool("spent", c.draining).
			Int("stood", len(c.node.running)).Int("links", len(c.node.conns)-1)
	})
	c.history.Broken = true
	c.node.identity.OnDisconnected(c.history, c.node.hasOpenConnBeside(c))
	c.fail(func(r *request) logic.Outcome { return outcome.VerdictAfterDisconnect(r.sentThrough <= handedOver) })
	now := c.server.env.Now()
	c.node.reportIdentity(now)
	c.node.endTasksOfEarlierProcess(now)
}

// onMalformed closes a connection on which a malformed message was received.
func (c *nodeConn) onMalformed(err error) {
	c.server.telemetry.count(countMalformed)
	c.server.telemetry.trace("spoilt", 0, func(e *zerolog.Event) { e.Str("node", c.node.name).Err(err) })
	c.fail(func(*request) logic.Outcome { return outcome.VerdictAfterMalformed() })
}

// fail closes the connection and completes the attempts and the health check that are open on it.
func (c *nodeConn) fail(verdict func(*request) logic.Outcome) {
	s, now := c.server, c.server.env.Now()
	c.remove()
	c.conn.Close(false, nil)
	c.completeAll(verdict, logic.ConnectionLost)
	c.node.onConnLost(now, c, false)
	c.node.keepConnected(now)
	s.loop.wake()
}

// close closes a connection on which no request is open. The reason is for the trace.
func (c *nodeConn) close(reason string) {
	c.server.telemetry.trace("closing", 0, func(e *zerolog.Event) {
		e.Str("node", c.node.name).Str("why", reason).Bool("established", c.conn != nil)
	})
	partial := c.partial
	c.remove()
	if c.conn != nil {
		c.readsLate, c.partial = true, partial
		c.conn.Close(true, nil)
	}
}

// abandon closes a connection that may lead to another node. Attempts that wait for it were never sent; those that were sent on it may run there, and are
// cancelled.
func (c *nodeConn) abandon(reason string) {
	s := c.server
	for _, r := range slices.Clone(c.requests) {
		sentOn := r.sentOn
		c.cancelAttempt(r)
		verdict := outcome.VerdictWithoutConnection()
		if sentOn != nil {
			verdict = outcome.VerdictAfterDisconnect(true)
		}
		s.requests.complete(r, attemptOutcome{verdict: verdict})
	}
	if !c.draining && !c.closed {
		c.close(reason)
	}
}

// remove removes the connection from its node.
func (c *nodeConn) remove() {
	if c.closed {
		return
	}
	c.closed = true
	c.partial = nil
	c.node.removeConn(c)
}
