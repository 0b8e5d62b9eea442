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
	s           *Server
	no          uint64 // counts connections in the order of their acceptance
	conn        env.Conn
	in          []byte // the received part of an incomplete message
	halfAt      float64
	since       float64
	usedAt      float64
	open        map[uint64]*request // requests without a final answer, by task
	running     map[*request]bool
	unsure      []*request // whose tasks run, and whose answers were not yet handed to the kernel when the connection was closed
	active      bool       // a readable request or test came on it
	requested   bool       // a request that could be accepted came on it
	verified    bool       // a request on it was served
	provisional bool       // accepted beyond the limit of connections, and nothing useful has come on it yet
	gone        bool
	rejections  []byte // answers to rejected requests, sent together once all that was read is processed
}

// accept takes a client's connection. At the limit of connections it is provisional until something useful comes on it: then an idle
// connection is evicted for it, or it gets a rejection. When too many provisional connections are silent, the oldest is evicted.
func (s *Server) accept(conn env.Conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.env.Now()
	s.clientsAccepted++
	c := &client{s: s, no: s.clientsAccepted, conn: conn, since: now, usedAt: now, open: map[uint64]*request{}, running: map[*request]bool{}}
	if len(s.clients)-s.provisionalClients >= s.limits.ClientConns {
		if s.provisionalClients >= s.limits.ProvisionalConns {
			for _, first := range s.eachClient() {
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

// admit gives a provisional connection on which something useful came the place of an idle one. It tells whether the connection is admitted.
func (c *client) admit(now float64) bool {
	s := c.s
	if !c.provisional {
		return true
	}
	if len(s.clients)-s.provisionalClients >= s.limits.ClientConns {
		var idlest *client
		for _, x := range s.eachClient() {
			if !x.provisional && len(x.open) == 0 && len(x.running) == 0 && len(x.in) == 0 && now-x.usedAt > connlimits.MinIdleTime &&
				(idlest == nil || x.idlerThan(idlest)) {
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

// eachClient returns all client connections in the order of their acceptance.
func (s *Server) eachClient() []*client {
	return slices.SortedFunc(maps.Keys(s.clients), func(x, y *client) int { return cmp.Compare(x.no, y.no) })
}

// idlerThan tells which of two idle connections is evicted first: an inactive one, then the one idle for longer.
func (c *client) idlerThan(x *client) bool {
	if c.active != x.active {
		return x.active
	}
	return c.usedAt < x.usedAt
}

// isOpen tells whether the connection is open on both sides, so that the client can still receive.
func (c *client) isOpen() bool { return !c.gone && !c.conn.PeerClosed() }

// send sends a message. It returns false if the connection can no longer carry one.
func (c *client) send(message func(b []byte) []byte) bool {
	if c.gone {
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
	if c.gone {
		return
	}
	c.s.stats.evicted++
	c.s.trace("expel", 0, func(e *zerolog.Event) { e.Str("why", why).Int("open", len(c.open)) })
	c.close()
}

// close ends a connection from this side: queued bytes are still sent, and what the client still sends is read and dropped, so that no
// reset discards the last answers.
func (c *client) close() {
	c.forget()
	c.conn.Close(true, nil)
}

// forget removes the connection. Open requests on it are withdrawn; running tasks do not depend on it.
func (c *client) forget() {
	if c.gone {
		return
	}
	c.gone = true
	delete(c.s.clients, c)
	if c.provisional {
		c.s.provisionalClients--
	}
	for _, task := range slices.Sorted(maps.Keys(c.open)) {
		c.s.withdraw(c.open[task])
	}
	handed := c.conn.HandedOver()
	for a := range c.running {
		if a.client = nil; a.sentThrough > handed {
			c.unsure = append(c.unsure, a)
		}
	}
	c.in = nil
	c.s.wake()
}

// OnData processes received bytes; nil means that the client has closed its side.
func (c *client) OnData(b []byte) {
	c.s.mu.Lock()
	defer c.s.mu.Unlock()
	if c.gone {
		return
	}
	now := c.s.env.Now()
	if b == nil {
		c.close()
		return
	}
	if len(c.in) == 0 {
		c.halfAt = now
	}
	rest, err := messages(c.in, b, func(msg []byte) error {
		if !c.gone {
			c.halfAt, c.usedAt = now, now
			c.message(now, msg)
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
	case (c.provisional || c.s.clientsDisconnected) && answered && !c.gone: // it was accepted only to be answered
		c.evict("no room")
	}
	if c.gone {
		return
	}
	c.in = rest
	c.s.wake()
}

// OnClose is called when the connection has ended.
func (c *client) OnClose(error) {
	c.s.mu.Lock()
	defer c.s.mu.Unlock()
	c.forget()
	handed := c.conn.HandedOver()
	slices.SortFunc(c.unsure, func(x, y *request) int { return cmp.Compare(x.allocID, y.allocID) })
	for _, a := range c.unsure { // their answers were not sent whole, so the client knows that it was not served
		if a.running && a.sentThrough > handed && c.s.requestsByAlloc[a.allocID] == a {
			c.s.withdraw(a)
		}
	}
	c.unsure = nil
}

func (c *client) message(now float64, msg []byte) {
	s, task := c.s, codec.Task(msg)
	switch codec.Kind(msg) {
	case codec.SetUp:
		c.setUp(now, task, msg)
	case codec.Test:
		c.active = true
		c.admit(now) // if not now, then with its first request
		c.send(func(b []byte) []byte { return codec.AppendTested(b, task, true) })
	case codec.End:
		a := s.requestsByTask[task]
		if a != nil && (a.running || a.client == c) { // else it is over, or belongs to another connection
			s.withdraw(a)
		}
	case codec.Progress, codec.EndHeard, codec.Note, codec.Tested:
	default:
		c.evict("unexpected message type")
	}
}

// clientsTick evicts connections that stay silent or leave a message incomplete, and sends pending notifications.
func (s *Server) clientsTick(now float64) {
	for _, c := range s.eachClient() {
		switch {
		case !c.active && now-c.since > connlimits.FirstMessageTimeout:
			c.evict("silent")
		case len(c.in) > 0 && now-c.halfAt > connlimits.MessageTimeout:
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
