package platform

import (
	"cmp"
	"maps"
	"slices"

	"ravenpond/internal/decide/connlimits"
	"ravenpond/internal/env"
)

// clientListener holds the connections that clients opened. Server.mu guards it.
//
// At the limit of connections a new one is provisional until something useful is received on it: then an idle connection is evicted for it, or
// what was received is rejected.
type clientListener struct {
	server      *Server
	listener    env.Listener
	conns       map[*clientConn]bool
	accepted    uint64 // connections since the start
	provisional int    // of conns
}

func newClientListener(s *Server) clientListener {
	return clientListener{server: s, conns: map[*clientConn]bool{}}
}

// listen begins to accept connections.
func (l *clientListener) listen(address string) error {
	listener, err := l.server.env.Listen(address, l.accept)
	l.listener = listener
	return err
}

// address returns the address that clients connect to.
func (l *clientListener) address() string { return l.listener.Address() }

// count returns how many connections there are, provisional ones included.
func (l *clientListener) count() int { return len(l.conns) }

// isFull returns whether no connection can be added that is not provisional.
func (l *clientListener) isFull() bool {
	return len(l.conns)-l.provisional >= l.server.limits.ClientConns
}

// accept takes a new connection. When there are too many provisional ones, the oldest is evicted.
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
		if l.provisional >= s.limits.ProvisionalConns {
			l.evictProvisional()
		}
		c.provisional = true
		l.provisional++
	}
	l.conns[c] = true
	conn.Start(c, connlimits.WriteTimeout)
}

// evictProvisional evicts the oldest provisional connection.
func (l *clientListener) evictProvisional() {
	for _, c := range l.sorted() {
		if c.provisional {
			c.evict("provisional and silent")
			return
		}
	}
}

// promote makes a provisional connection on which something useful was received a regular one, in place of an idle one if need be. It returns
// whether the connection is regular now.
func (l *clientListener) promote(now float64, c *clientConn) bool {
	if !c.provisional {
		return true
	}
	if l.isFull() {
		idle := l.idlest(now)
		if idle == nil {
			return false
		}
		idle.evict("gives way")
	}
	c.provisional = false
	l.provisional--
	return true
}

// idlest returns the connection to evict for another: an inactive one, else the one that has been idle for longest. It returns nil if none
// has been idle for long enough.
func (l *clientListener) idlest(now float64) *clientConn {
	var idlest *clientConn
	for _, c := range l.sorted() {
		if !c.provisional && c.isIdle() && now-c.lastUsed > connlimits.MinIdleTime && (idlest == nil || c.evictedBefore(idlest)) {
			idlest = c
		}
	}
	return idlest
}

// sorted returns all connections in the order of their acceptance.
func (l *clientListener) sorted() []*clientConn {
	return slices.SortedFunc(maps.Keys(l.conns), func(x, y *clientConn) int { return cmp.Compare(x.number, y.number) })
}

// remove drops a connection.
func (l *clientListener) remove(c *clientConn) {
	delete(l.conns, c)
	if c.provisional {
		l.provisional--
	}
}

// tick evicts connections that stay silent or leave a message incomplete, and sends pending notifications.
func (l *clientListener) tick(now float64) {
	s := l.server
	for _, c := range l.sorted() {
		switch {
		case !c.active && now-c.acceptedAt > connlimits.FirstMessageTimeout:
			c.evict("silent")
		case len(c.partial) > 0 && now-c.partialSince > connlimits.MessageTimeout:
			c.evict("incomplete message")
		case s.notifier.hasPending() && (c.verified || c.requested) && c.isOpen():
			s.notifier.sendPending(now, c)
		}
	}
}

// disconnectAll stops listening and closes all connections. Connections that wait to be accepted are still accepted, and get their answers.
func (l *clientListener) disconnectAll() {
	l.listener.Close()
	for _, c := range l.sorted() {
		if open := len(c.openRequests); open > 0 {
			l.server.log.Error().Str("mode", "stop").Int("open", open).Msg("a connection is ended on which answers are owed")
		}
		c.close()
	}
}
