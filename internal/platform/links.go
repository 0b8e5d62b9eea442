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

// link is a connection to a node, or one that is being made. One request at a time is open on it while descriptors allow,
// so that an answer that spoils the connection costs no other.
type link struct {
	s        *Server
	peer     *peer
	conn     env.Conn // nil while it is being made
	in       []byte
	requests []*request
	given    map[uint64]bool // given up here: a late answer to them is no one else's
	probe    uint32          // the probe that is open on it, 0: none
	probeAt  float64
	idle     float64 // since when nothing is open on it
	spent    bool    // nothing new goes on it
	gone     bool
	closeAt  float64
}

// offer puts a request on a connection to its node: one where nothing is open, else a new one, else the least busy.
func (s *Server) offer(a *request, p *peer) {
	l := s.pick(p)
	if l == nil {
		s.env.After(0, func() { s.unsent(a, a.attempt) })
		return
	}
	l.requests = append(l.requests, a)
	a.conn = l
	if l.conn != nil {
		l.setUp(a)
	}
}

// unsent settles an attempt that never left this machine.
func (s *Server) unsent(a *request, attempt uint8) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if a.attempt == attempt && a.conn == nil {
		s.settled(a, logic.NotSent, logic.ReasonUnknown, nil)
	}
}

// pick finds a connection for a message that wants an answer, or none.
func (s *Server) pick(p *peer) *link {
	var shared *link
	now := s.env.Now()
	for _, l := range p.links {
		switch {
		case l.spent || l.conn != nil && l.free() && !s.fresh(l, now):
		case l.free():
			if l.open() {
				return l
			}
		case s.nodeConns >= s.limits.NodeConns && (shared == nil || len(l.requests) < len(shared.requests)) && l.open():
			shared = l
		}
	}
	if shared != nil {
		return shared
	}
	if !s.room(now, budget.ForPlacement, p) {
		return nil
	}
	return s.dial(p)
}

// room tells whether a connection to a node may be made, after another has given way if need be.
func (s *Server) room(now float64, purpose budget.Purpose, p *peer) bool {
	w := budget.NodeConnRequest{Purpose: purpose, Held: s.nodeConns, SinceCheck: p.watch.SinceContact(now)}
	var gives *link
	if w.Held >= s.limits.NodeConns {
		w.Idle, w.Spare, gives = s.idlest(p)
	}
	switch s.limits.DecideNodeConn(w) {
	case budget.Skip:
		return false
	case budget.Replace:
		gives.end(true)
	}
	return true
}

// idlest finds the connection that gives way for one to a node: one to that node itself, as the new one takes its place,
// else one that is spare, else any, each time the one that was idle for longest. It counts those that are idle too.
func (s *Server) idlest(but *peer) (idle, spare int, first *link) {
	rank := 0
	for _, p := range s.nodes {
		for _, l := range p.links {
			if l.conn == nil || !l.free() {
				continue
			}
			idle++
			is := 1
			switch {
			case p == but:
				is = 3
			case len(p.links) > 1 || len(p.running) == 0:
				is = 2
			}
			if is > 1 {
				spare++
			}
			if first == nil || is > rank || is == rank && (l.idle < first.idle || l.idle == first.idle && p.id < first.peer.id) {
				rank, first = is, l
			}
		}
	}
	return idle, spare, first
}

// fresh tells whether a connection may still be used.
func (s *Server) fresh(l *link, now float64) bool {
	return connlimits.IsReusable(now-l.idle, s.settings.IdleFor)
}

// open tells whether a connection is being made, or its node has not closed it: what is sent on one that is closed may be lost with it, or
// may not.
func (l *link) open() bool { return l.conn == nil || !l.conn.PeerClosed() }

func (l *link) free() bool { return !l.spent && len(l.requests) == 0 && l.probe == 0 }

// dial begins a connection to a node.
func (s *Server) dial(p *peer) *link {
	l := &link{s: s, peer: p, idle: s.env.Now()}
	p.links = append(p.links, l)
	s.nodeConns++
	s.stats.dials++
	s.env.Dial(p.address, s.settings.ConnectFor, func(c env.Conn, err error) { l.made(c, err) })
	return l
}

// made hears how a dial ended.
func (l *link) made(c env.Conn, err error) {
	s := l.s
	s.mu.Lock()
	defer s.mu.Unlock()
	defer s.wake()
	now := s.env.Now()
	if err != nil {
		s.trace("dial failed", 0, func(e *zerolog.Event) { e.Str("node", l.peer.name).Err(err) })
		unmade := outcome.VerdictWithoutConnection()
		if errors.Is(err, env.ErrExhausted) { // the want is this machine's own, and says nothing of the node
			s.stats.spent++
			l.peer.watch.OnProbeSkipped()
			unmade = logic.NotSent
		} else {
			s.stats.refused++
			l.peer.watch.OnProbeFailed(now, errors.Is(err, env.ErrRefused))
		}
		l.forget()
		l.settle(func(*request) logic.Outcome { return unmade }, logic.Unreachable)
		return
	}
	if l.gone { // its node was taken away meanwhile
		c.Close(false, nil)
		return
	}
	for _, a := range slices.Clone(l.requests) { // before there is a way for them
		if a.clientGone() {
			s.withdraw(a)
		}
	}
	l.conn = c
	l.idle = now
	l.peer.watch.OnContact(now)
	c.Start(l, connlimits.WriteTimeout)
	for _, a := range slices.Clone(l.requests) {
		if now >= a.attemptDeadline { // what waited for it longer than it was decided for is void
			l.drop(a)
			s.settled(a, logic.NotSent, logic.ReasonUnknown, nil)
			continue
		}
		l.setUp(a)
	}
	if l.probe != 0 {
		l.test()
	}
	l.tellCuts(now)
	if l.free() { // made to look: the node lives, and what it sends comes on this one as well
		for _, x := range slices.Clone(l.peer.links) {
			if x != l && x.conn != nil && x.free() {
				x.end(true)
			}
		}
	}
}

// setUp sends what is offered.
func (l *link) setUp(a *request) {
	left := a.attemptDeadline - l.s.env.Now()
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

// drop takes a request off the connection.
func (l *link) drop(a *request) {
	l.requests = remove(l.requests, a)
	a.conn = nil
	l.idle = l.s.env.Now()
}

// giveUp has an open request waited for no more. The connection is of no further use, as a late answer may come on it.
func (s *Server) giveUp(a *request) {
	l := a.conn
	if l == nil {
		return
	}
	l.drop(a)
	if l.conn == nil {
		return // not a byte of it left
	}
	if l.conn.Unsend(a.sentThrough, a.offerBytes) {
		return // nor here
	}
	l.expectLate(a.task)
	l.conn.Send(func(b []byte) []byte { return codec.AppendEnd(b, a.task, codec.Normal) })
	l.spend(outcome.Linger())
}

// expectLate remembers a task whose answer may still come though it is waited for no more.
func (l *link) expectLate(task uint64) {
	if l.given == nil {
		l.given = map[uint64]bool{}
	}
	l.given[task] = true
	if len(l.given) > connlimits.MaxPendingNodeEnds {
		l.spend(outcome.Linger())
	}
}

// spend has nothing new go on the connection, which ends when nothing is open on it, but not before so long.
func (l *link) spend(linger float64) {
	l.spent = true
	l.closeAt = l.s.env.Now() + linger
}

func (l *link) tellCuts(now float64) {
	cuts := l.peer.cuts
	l.peer.cuts = nil
	for _, c := range cuts {
		if now < c.until {
			l.conn.Send(func(b []byte) []byte { return codec.AppendEnd(b, c.task, codec.Elsewhere) })
		}
	}
}

// probe tests a node.
func (s *Server) probe(p *peer, seq uint32) {
	var l *link
	for _, x := range p.links { // a test's answer can be told from others: it may share
		if !x.spent && x.probe == 0 && x.conn != nil && s.fresh(x, s.env.Now()) && x.open() {
			l = x
			break
		}
	}
	if l == nil && !s.room(s.env.Now(), budget.ForProbe, p) {
		return // its time-out tells
	}
	if l == nil {
		l = s.dial(p)
	}
	l.probe = seq
	if l.conn != nil {
		l.test()
	}
}

func (l *link) test() {
	l.probeAt = l.s.env.Now()
	l.conn.Send(func(b []byte) []byte { return codec.AppendTest(b, uint64(l.probe), true) })
}

// broke ends a connection under what is open on it.
func (l *link) broke(why string) {
	handed := l.conn.HandedOver()
	l.s.trace("link broke", 0, func(e *zerolog.Event) {
		e.Str("node", l.peer.name).Str("why", why).Int("open", len(l.requests)).Bool("spent", l.spent)
	})
	l.finish(func(a *request) logic.Outcome { return outcome.VerdictAfterDisconnect(a.sentThrough <= handed) })
}

// spoil ends a connection on which something came that can't be read.
func (l *link) spoil() {
	l.finish(func(*request) logic.Outcome { return outcome.VerdictAfterMalformed() })
}

func (l *link) finish(verdict func(*request) logic.Outcome) {
	l.forget()
	l.conn.Close(false, nil)
	l.settle(verdict, logic.ConnectionLost)
	l.s.tether(l.s.env.Now(), l.peer)
	l.s.wake()
}

// settle gives an outcome to all that was open on a connection that is no more.
func (l *link) settle(verdict func(*request) logic.Outcome, probe logic.Outcome) {
	for _, a := range slices.Clone(l.requests) {
		v := verdict(a)
		l.drop(a)
		l.s.settled(a, v, logic.ReasonUnknown, nil)
	}
	if l.probe != 0 {
		l.s.host.OnProbeResult(l.s.env.Now(), l.peer.id, l.probe, probe, nil)
	}
}

// end closes a connection on which nothing is open.
func (l *link) end(soft bool) {
	l.forget()
	if l.conn != nil {
		l.conn.Close(soft, nil)
	}
}

func (l *link) forget() {
	if l.gone {
		return
	}
	l.gone = true
	l.in = nil
	l.s.nodeConns--
	l.peer.links = remove(l.peer.links, l)
}
