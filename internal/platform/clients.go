package platform

import (
	"cmp"
	"maps"
	"slices"

	"github.com/rs/zerolog"

	"ravenpond/internal/decide/connlimits"
	"ravenpond/internal/env"
	codec "ravenpond/internal/proto/platform"
)

// client is a connection that a client opened.
type client struct {
	server       *Server
	number       uint64 // counts connections in the order of their acceptance
	conn         env.Conn
	partial      []byte // the received part of an incomplete message
	partialSince float64
	acceptedAt   float64
	lastUsed     float64
	openRequests map[uint64]*request // requests without a final answer, by task
	running      map[*request]bool
	unconfirmed  []*request // whose tasks run, and whose answers were not yet handed to the kernel when the connection was closed
	active       bool       // a readable request or test came on it
	requested    bool       // a request that could be accepted came on it
	verified     bool       // a request on it was served
	provisional  bool       // accepted beyond the limit of connections, and nothing useful has come on it yet
	closed       bool
	rejections   []byte // answers to rejected requests, sent together once all that was read is processed
}

// acceptClient takes a client's connection. At the limit of connections it is provisional until something useful comes on it: then an idle
// connection is evicted for it, or it gets a rejection. When too many provisional connections are silent, the oldest is evicted.
func (s *Server) acceptClient(conn env.Conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.env.Now()
	s.clientsAccepted++
	c := &client{server: s, number: s.clientsAccepted, conn: conn, acceptedAt: now, lastUsed: now, openRequests: map[uint64]*request{}, running: map[*request]bool{}}
	if len(s.clients)-s.provisionalClients >= s.limits.ClientConns {
		if s.provisionalClients >= s.limits.ProvisionalConns {
			for _, first := range s.sortedClients() {
				if first.provisional {
					first.evict("provisional and silent")
					break
				}
			}
		}
		c.provisional = true
		s.provisionalClients++
	}
	s.clients[c] = true
	conn.Start(c, connlimits.WriteTimeout)
}

// promote gives a provisional connection on which something useful came the place of an idle one. It tells whether the connection is admitted.
func (c *client) promote(now float64) bool {
	s := c.server
	if !c.provisional {
		return true
	}
	if len(s.clients)-s.provisionalClients >= s.limits.ClientConns {
		var idlest *client
		for _, x := range s.sortedClients() {
			if !x.provisional && len(x.openRequests) == 0 && len(x.running) == 0 && len(x.partial) == 0 && now-x.lastUsed > connlimits.MinIdleTime &&
				(idlest == nil || x.evictedBefore(idlest)) {
				idlest = x
			}
		}
		if idlest == nil {
			return false
		}
		idlest.evict("gives way")
	}
	c.provisional = false
	s.provisionalClients--
	return true
}

// sortedClients returns all client connections in the order of their acceptance.
func (s *Server) sortedClients() []*client {
	return slices.SortedFunc(maps.Keys(s.clients), func(x, y *client) int { return cmp.Compare(x.number, y.number) })
}

// evictedBefore tells which of two idle connections is evicted first: an inactive one, then the one idle for longer.
func (c *client) evictedBefore(x *client) bool {
	if c.active != x.active {
		return x.active
	}
	return c.lastUsed < x.lastUsed
}

// isOpen tells whether the connection is open on both sides, so that the client can still receive.
func (c *client) isOpen() bool { return !c.closed && !c.conn.PeerClosed() }

// send sends a message. It returns false if the connection can no longer carry one.
func (c *client) send(message func(b []byte) []byte) bool {
	if c.closed {
		return false
	}
	return c.sendCounted(message) > 0
}

// sendCounted sends a message and returns how many bytes were sent on the connection since its start, this message included; 0 if the
// connection can no longer carry one.
func (c *client) sendCounted(message func(b []byte) []byte) uint64 {
	sent, waits, ok := c.conn.Send(message)
	switch {
	case !ok:
		return 0
	case waits > connlimits.MaxUnsentBytes:
		c.evict("does not read")
		return 0
	}
	return sent
}

// evict closes a connection because of what its peer does, or to make room. Open requests on it are withdrawn without an answer.
func (c *client) evict(why string) {
	if c.closed {
		return
	}
	c.server.stats.evicted++
	c.server.trace("expel", 0, func(e *zerolog.Event) { e.Str("why", why).Int("open", len(c.openRequests)) })
	c.close()
}

// close ends a connection from this side: queued bytes are still sent, and what the client still sends is read and dropped, so that no
// reset discards the last answers.
func (c *client) close() {
	c.remove()
	c.conn.Close(true, nil)
}

// remove removes the connection. Open requests on it are withdrawn; running tasks do not depend on it.
func (c *client) remove() {
	if c.closed {
		return
	}
	c.closed = true
	delete(c.server.clients, c)
	if c.provisional {
		c.server.provisionalClients--
	}
	for _, task := range slices.Sorted(maps.Keys(c.openRequests)) {
		c.server.withdraw(c.openRequests[task])
	}
	handed := c.conn.HandedOver()
	for a := range c.running {
		if a.client = nil; a.sentThrough > handed {
			c.unconfirmed = append(c.unconfirmed, a)
		}
	}
	c.partial = nil
	c.server.wake()
}

// OnData processes received bytes; nil means that the client has closed its side.
func (c *client) OnData(b []byte) {
	c.server.mu.Lock()
	defer c.server.mu.Unlock()
	if c.closed {
		return
	}
	now := c.server.env.Now()
	if b == nil {
		c.close()
		return
	}
	if len(c.partial) == 0 {
		c.partialSince = now
	}
	rest, err := splitMessages(c.partial, b, func(msg []byte) error {
		if !c.closed {
			c.partialSince, c.lastUsed = now, now
			c.onMessage(now, msg)
		}
		return nil
	})
	answered := len(c.rejections) > 0
	if answered { // in one write: under overload most of the work is to reject
		rejections := c.rejections
		c.rejections = nil
		c.send(func(b []byte) []byte { return append(b, rejections...) })
	}
	switch {
	case err != nil:
		c.evict(err.Error())
	case (c.provisional || c.server.clientsDisconnected) && answered && !c.closed: // it was accepted only to be answered
		c.evict("no room")
	}
	if c.closed {
		return
	}
	c.partial = rest
	c.server.wake()
}

// OnClose is called when the connection has ended.
func (c *client) OnClose(error) {
	c.server.mu.Lock()
	defer c.server.mu.Unlock()
	c.remove()
	handed := c.conn.HandedOver()
	slices.SortFunc(c.unconfirmed, func(x, y *request) int { return cmp.Compare(x.allocID, y.allocID) })
	for _, a := range c.unconfirmed { // their answers were not sent whole, so the client knows that it was not served
		if a.running && a.sentThrough > handed && c.server.requestsByAlloc[a.allocID] == a {
			c.server.withdraw(a)
		}
	}
	c.unconfirmed = nil
}

func (c *client) onMessage(now float64, msg []byte) {
	s, task := c.server, codec.Task(msg)
	switch codec.Kind(msg) {
	case codec.KindSetUp:
		c.onSetUp(now, task, msg)
	case codec.KindTest:
		c.active = true
		c.promote(now) // if not now, then with its first request
		c.send(func(b []byte) []byte { return codec.AppendTested(b, task, true) })
	case codec.KindEnd:
		a := s.requestsByTask[task]
		if a != nil && (a.running || a.client == c) { // else it is over, or belongs to another connection
			s.withdraw(a)
		}
	case codec.KindProgress, codec.KindEndAck, codec.KindNote, codec.KindTested:
	default:
		c.evict("unexpected message type")
	}
}

// clientsTick evicts connections that stay silent or leave a message incomplete, and sends pending notifications.
func (s *Server) clientsTick(now float64) {
	for _, c := range s.sortedClients() {
		switch {
		case !c.active && now-c.acceptedAt > connlimits.FirstMessageTimeout:
			c.evict("silent")
		case len(c.partial) > 0 && now-c.partialSince > connlimits.MessageTimeout:
			c.evict("incomplete message")
		case len(s.pendingNotifications) > 0 && (c.verified || c.requested) && c.isOpen():
			for len(s.pendingNotifications) > 0 && (c.verified || now-s.pendingNotifications[0].since >= connlimits.VerifiedConnWait) && c.send(s.pendingNotifications[0].append) {
				s.pendingNotifications = s.pendingNotifications[1:]
			}
			if len(s.pendingNotifications) == 0 {
				s.pendingNotifications = nil
			}
		}
	}
}
