package platform

import (
	"errors"
	"slices"

	"github.com/rs/zerolog"

	"ravenpond/internal/decide/budget"
	"ravenpond/internal/decide/connlimits"
	"ravenpond/internal/decide/outcome"
	"ravenpond/internal/env"
	codec "ravenpond/internal/proto/platform"
	"ravenpond/logic"
)

// nodeConn is a connection to a node, or one that is being made. One request at a time is open on it while descriptors allow,
// so that an answer that spoils the connection costs no other.
type nodeConn struct {
	server      *Server
	node        *node
	conn        env.Conn // nil while it is being made
	partial     []byte
	requests    []*request
	abandoned   map[uint64]bool // given up here: a late answer to them is no one else's
	probeSeq    uint32          // the probe that is open on it, 0: none
	probeSentAt float64
	idleSince   float64 // since when nothing is open on it
	draining    bool    // nothing new goes on it
	closed      bool
	closeAt     float64
}

// sendAttempt puts a request on a connection to its node: one where nothing is open, else a new one, else the least busy.
func (s *Server) sendAttempt(a *request, p *node) {
	l := s.pickConn(p)
	if l == nil {
		s.env.After(0, func() { s.completeUnsent(a, a.attempt) })
		return
	}
	l.requests = append(l.requests, a)
	a.conn = l
	if l.conn != nil {
		l.sendSetUp(a)
	}
}

// completeUnsent settles an attempt that never left this machine.
func (s *Server) completeUnsent(a *request, attempt uint8) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if a.attempt == attempt && a.conn == nil {
		s.completeAttempt(a, logic.NotSent, logic.ReasonUnknown, nil)
	}
}

// pickConn finds a connection for a message that wants an answer, or none.
func (s *Server) pickConn(p *node) *nodeConn {
	var shared *nodeConn
	now := s.env.Now()
	for _, l := range p.conns {
		switch {
		case l.draining || l.conn != nil && l.isIdle() && !s.isFresh(l, now):
		case l.isIdle():
			if l.isOpen() {
				return l
			}
		case s.nodeConns >= s.limits.NodeConns && (shared == nil || len(l.requests) < len(shared.requests)) && l.isOpen():
			shared = l
		}
	}
	if shared != nil {
		return shared
	}
	if !s.reserveConn(now, budget.ForPlacement, p) {
		return nil
	}
	return s.dial(p)
}

// reserveConn tells whether a connection to a node may be made, after another has given way if need be.
func (s *Server) reserveConn(now float64, purpose budget.Purpose, p *node) bool {
	wants := budget.NodeConnRequest{Purpose: purpose, Held: s.nodeConns, SinceCheck: p.failureDetector.SinceContact(now)}
	var victim *nodeConn
	if wants.Held >= s.limits.NodeConns {
		wants.Idle, wants.Spare, victim = s.evictionCandidate(p)
	}
	switch s.limits.DecideNodeConn(wants) {
	case budget.Skip:
		return false
	case budget.Replace:
		victim.close(true)
	}
	return true
}

// evictionCandidate finds the connection that gives way for one to a node: one to that node itself, as the new one takes its place,
// else one that is spare, else any, each time the one that was idle for longest. It counts those that are idle too.
func (s *Server) evictionCandidate(requester *node) (idle, spare int, candidate *nodeConn) {
	rank := 0
	for _, p := range s.nodes {
		for _, l := range p.conns {
			if l.conn == nil || !l.isIdle() {
				continue
			}
			idle++
			connRank := 1
			switch {
			case p == requester:
				connRank = 3
			case len(p.conns) > 1 || len(p.running) == 0:
				connRank = 2
			}
			if connRank > 1 {
				spare++
			}
			if candidate == nil || connRank > rank || connRank == rank && (l.idleSince < candidate.idleSince || l.idleSince == candidate.idleSince && p.id < candidate.node.id) {
				rank, candidate = connRank, l
			}
		}
	}
	return idle, spare, candidate
}

// isFresh tells whether a connection may still be used.
func (s *Server) isFresh(l *nodeConn, now float64) bool {
	return connlimits.IsReusable(now-l.idleSince, s.settings.IdleTimeout)
}

// isOpen tells whether a connection is being made, or its node has not closed it: what is sent on one that is closed may be lost with it, or
// may not.
func (l *nodeConn) isOpen() bool { return l.conn == nil || !l.conn.PeerClosed() }

func (l *nodeConn) isIdle() bool { return !l.draining && len(l.requests) == 0 && l.probeSeq == 0 }

// dial begins a connection to a node.
func (s *Server) dial(p *node) *nodeConn {
	l := &nodeConn{server: s, node: p, idleSince: s.env.Now()}
	p.conns = append(p.conns, l)
	s.nodeConns++
	s.stats.dials++
	s.env.Dial(p.address, s.settings.ConnectTimeout, func(c env.Conn, err error) { l.onDialed(c, err) })
	return l
}

// onDialed hears how a dial ended.
func (l *nodeConn) onDialed(c env.Conn, err error) {
	s := l.server
	s.mu.Lock()
	defer s.mu.Unlock()
	defer s.wake()
	now := s.env.Now()
	if err != nil {
		s.trace("dial failed", 0, func(e *zerolog.Event) { e.Str("node", l.node.name).Err(err) })
		unmade := outcome.VerdictWithoutConnection()
		if errors.Is(err, env.ErrExhausted) { // the want is this machine's own, and says nothing of the node
			s.stats.dialsExhausted++
			l.node.failureDetector.OnProbeSkipped()
			unmade = logic.NotSent
		} else {
			s.stats.dialsFailed++
			l.node.failureDetector.OnProbeFailed(now, errors.Is(err, env.ErrRefused))
		}
		l.remove()
		l.completeAll(func(*request) logic.Outcome { return unmade }, logic.Unreachable)
		return
	}
	if l.closed { // its node was taken away meanwhile
		c.Close(false, nil)
		return
	}
	for _, a := range slices.Clone(l.requests) { // before there is a way for them
		if a.clientGone() {
			s.withdraw(a)
		}
	}
	l.conn = c
	l.idleSince = now
	l.node.failureDetector.OnContact(now)
	c.Start(l, connlimits.WriteTimeout)
	for _, a := range slices.Clone(l.requests) {
		if now >= a.attemptDeadline { // what waited for it longer than it was decided for is void
			l.removeRequest(a)
			s.completeAttempt(a, logic.NotSent, logic.ReasonUnknown, nil)
			continue
		}
		l.sendSetUp(a)
	}
	if l.probeSeq != 0 {
		l.sendTest()
	}
	l.sendPendingStops(now)
	if l.isIdle() { // made to look: the node lives, and what it sends comes on this one as well
		for _, x := range slices.Clone(l.node.conns) {
			if x != l && x.conn != nil && x.isIdle() {
				x.close(true)
			}
		}
	}
}

// sendSetUp sends what is offered.
func (l *nodeConn) sendSetUp(a *request) {
	left := a.attemptDeadline - l.server.env.Now()
	sent, _, ok := l.conn.Send(func(b []byte) []byte {
		before := len(b)
		b = codec.AppendSetUp(b, a.task, a.jobClassName, a.name, a.key, a.description, left)
		a.offerBytes = len(b) - before
		return b
	})
	if ok {
		a.sentThrough = sent
	} else {
		a.sentThrough = 1 << 63 // it was never handed over; the connection's end tells
	}
}

// removeRequest takes a request off the connection.
func (l *nodeConn) removeRequest(a *request) {
	l.requests = removeUnordered(l.requests, a)
	a.conn = nil
	l.idleSince = l.server.env.Now()
}

// cancelAttempt has an open request waited for no more. The connection is of no further use, as a late answer may come on it.
func (s *Server) cancelAttempt(a *request) {
	l := a.conn
	if l == nil {
		return
	}
	l.removeRequest(a)
	if l.conn == nil {
		return // not a byte of it left
	}
	if l.conn.Unsend(a.sentThrough, a.offerBytes) {
		return // nor here
	}
	l.expectLate(a.task)
	l.conn.Send(func(b []byte) []byte { return codec.AppendEnd(b, a.task, codec.CauseNormal) })
	l.drain(outcome.Linger())
}

// expectLate remembers a task whose answer may still come though it is waited for no more.
func (l *nodeConn) expectLate(task uint64) {
	if l.abandoned == nil {
		l.abandoned = map[uint64]bool{}
	}
	l.abandoned[task] = true
	if len(l.abandoned) > connlimits.MaxPendingNodeEnds {
		l.drain(outcome.Linger())
	}
}

// drain has nothing new go on the connection, which ends when nothing is open on it, but not before so long.
func (l *nodeConn) drain(linger float64) {
	l.draining = true
	l.closeAt = l.server.env.Now() + linger
}

func (l *nodeConn) sendPendingStops(now float64) {
	cuts := l.node.pendingStops
	l.node.pendingStops = nil
	for _, c := range cuts {
		if now < c.until {
			l.conn.Send(func(b []byte) []byte { return codec.AppendEnd(b, c.task, codec.CauseElsewhere) })
		}
	}
}

// sendProbe tests a node.
func (s *Server) sendProbe(p *node, seq uint32) {
	var l *nodeConn
	for _, x := range p.conns { // a test's answer can be told from others: it may share
		if !x.draining && x.probeSeq == 0 && x.conn != nil && s.isFresh(x, s.env.Now()) && x.isOpen() {
			l = x
			break
		}
	}
	if l == nil && !s.reserveConn(s.env.Now(), budget.ForProbe, p) {
		return // its time-out tells
	}
	if l == nil {
		l = s.dial(p)
	}
	l.probeSeq = seq
	if l.conn != nil {
		l.sendTest()
	}
}

func (l *nodeConn) sendTest() {
	l.probeSentAt = l.server.env.Now()
	l.conn.Send(func(b []byte) []byte { return codec.AppendTest(b, uint64(l.probeSeq), true) })
}

// onBroken ends a connection under what is open on it.
func (l *nodeConn) onBroken(cause string) {
	handedOver := l.conn.HandedOver()
	l.server.trace("link broke", 0, func(e *zerolog.Event) {
		e.Str("node", l.node.name).Str("why", cause).Int("open", len(l.requests)).Bool("spent", l.draining)
	})
	l.fail(func(a *request) logic.Outcome { return outcome.VerdictAfterDisconnect(a.sentThrough <= handedOver) })
}

// onMalformed ends a connection on which something came that can't be read.
func (l *nodeConn) onMalformed() {
	l.fail(func(*request) logic.Outcome { return outcome.VerdictAfterMalformed() })
}

func (l *nodeConn) fail(verdict func(*request) logic.Outcome) {
	l.remove()
	l.conn.Close(false, nil)
	l.completeAll(verdict, logic.ConnectionLost)
	l.server.keepConnected(l.server.env.Now(), l.node)
	l.server.wake()
}

// completeAll gives an outcome to all that was open on a connection that is no more.
func (l *nodeConn) completeAll(verdict func(*request) logic.Outcome, probeVerdict logic.Outcome) {
	for _, a := range slices.Clone(l.requests) {
		v := verdict(a)
		l.removeRequest(a)
		l.server.completeAttempt(a, v, logic.ReasonUnknown, nil)
	}
	if l.probeSeq != 0 {
		l.server.host.OnProbeResult(l.server.env.Now(), l.node.id, l.probeSeq, probeVerdict, nil)
	}
}

// close closes a connection on which nothing is open.
func (l *nodeConn) close(graceful bool) {
	l.remove()
	if l.conn != nil {
		l.conn.Close(graceful, nil)
	}
}

func (l *nodeConn) remove() {
	if l.closed {
		return
	}
	l.closed = true
	l.partial = nil
	l.server.nodeConns--
	l.node.conns = removeUnordered(l.node.conns, l)
}
