package platform

import (
	"cmp"
	"maps"
	"slices"

	"ravenpond/internal/decide/connlimits"
	"ravenpond/internal/env"
)

// clientListener accepts clients and holds their connections. Server.mu guards it.
//
// At the limit of connections a new one is provisional until a valid request or a test message is received on it. Then an idle connection is
// evicted for it; if there is none, its requests are rejected.
type clientListener struct {
	server      *Server
	listener    env.Listener
	conns       map[*clientConn]bool
	accepted    uint64 // connections accepted since the start
	provisional int    // the number of provisional connections in conns
}

func newClientListener(s *Server) clientListener {
	return clientListener{server: s, conns: map[*clientConn]bool{}}
}

// listen starts to accept connections.
func (l *clientListener) listen(address string) error {
	listener, err := l.server.env.Listen(address, l.accept)
	l.listener = listener
	return err
}

// address returns the address that clients connect to.
func (l *clientListener) address() string { return l.listener.Address() }

// count returns the number of connections, provisional ones included.
func (l *clientListener) count() int { return len(l.conns) }

// isFull reports whether the number of regular connections is at its limit.
func (l *clientListener) isFull() bool {
	return len(l.conns)-l.provisional >= l.server.limits.ClientConns
}

// accept adds a new connection. When there are too many provisional ones, the oldest silent one is evicted; if none is silent, the new one is closed.
func (l *clientListener) accept(conn env.Conn) {
	s := l.server
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.env.Now()
	l.accepted++
	c := &clientConn{
		server: s, number: l.accepted, conn: conn, acceptedAt: now, lastUsed: now,
		openRequests: map[uint64]*request{}, running: map[*request]bool{},
	}
	if l.isFull() {
		if l.provisional >= s.limits.ProvisionalConns && !l.evictProvisional() {
			s.telemetry.count(countEvicted)
			conn.Close(false, nil)
			return
		}
		c.provisional = true
		l.provisional++
	}
	l.conns[c] = true
	conn.Start(c, connlimits.WriteTimeout)
}

// evictProvisional evicts the oldest provisional connection on which nothing lies unread. It reports whether there was one.
func (l *clientListener) evictProvisional() (evicted bool) {
	for _, c := range l.sorted() {
		if c.provisional && !c.hasUnread() {
			c.evict("provisional and silent")
			return true
		}
	}
	return false
}

// promote makes a provisional connection a regular one, after a valid request or a test message was received on it. At the limit it evicts an
// idle connection. It reports whether the connection is regular now.
func (l *clientListener) promote(now float64, c *clientConn) bool {
	if !c.provisional {
		return true
	}
	if l.isFull() {
		idle := l.evictionCandidate(now)
		if idle == nil {
			return false
		}
		idle.evict("gives way")
	}
	c.provisional = false
	l.provisional--
	return true
}

// evictionCandidate returns the connection to evict for another: an inactive one, else the one that has been idle for longest. It returns
// nil if none has been idle for longer than connlimits.MinIdleTime. One on which something lies unread is not idle.
func (l *clientListener) evictionCandidate(now float64) *clientConn {
	var candidate *clientConn
	for _, c := range l.sorted() {
		if !c.provisional && c.isIdle() && now-c.lastUsed > connlimits.MinIdleTime && (candidate == nil || c.evictedBefore(candidate)) && !c.hasUnread() {
			candidate = c
		}
	}
	return candidate
}

// sorted returns all connections in the order of their acceptance.
func (l *clientListener) sorted() []*clientConn {
	return slices.SortedFunc(maps.Keys(l.conns), func(x, y *clientConn) int { return cmp.Compare(x.number, y.number) })
}

// remove removes a connection that was closed.
func (l *clientListener) remove(c *clientConn) {
	delete(l.conns, c)
	if c.provisional {
		l.provisional--
	}
}

// tick evicts connections that sent no message or only part of one in time, and sends pending notifications.
func (l *clientListener) tick(now float64) {
	s := l.server
	for _, c := range l.sorted() {
		switch {
		case !c.active && now-c.acceptedAt > connlimits.FirstMessageTimeout && !c.hasUnread():
			c.evict("silent")
		case len(c.partial) > 0 && now-c.partialSince > connlimits.MessageTimeout:
			c.evict("incomplete message")
		case s.notifier.hasPending() && connlimits.MayCarryNotification(c.verified, c.requested, c.active, now-c.acceptedAt) && c.isOpen():
			s.notifier.sendPending(now, c)
		}
	}
}

// disconnectAll stops listening and closes all connections. Connections that already wait to be accepted are still accepted and answered.
func (l *clientListener) disconnectAll() {
	l.listener.Close()
	for _, c := range l.sorted() {
		if open := len(c.openRequests); open > 0 {
			l.server.log.Error().Str("mode", "stop").Int("open", open).Msg("closing a client connection with unanswered requests")
		}
		c.close()
	}
}
