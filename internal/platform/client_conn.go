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

// clientConn is a connection that a client opened. It implements env.ConnHandler. Server.mu guards it.
type clientConn struct {
	server       *Server
	number       uint64 // counts connections in the order of their acceptance
	conn         env.Conn
	partial      []byte // the received part of an incomplete message
	partialSince float64
	acceptedAt   float64
	lastUsed     float64
	openRequests map[uint64]*request // requests without a final answer, by task
	running      map[*request]bool   // tasks whose answers were sent on this connection
	unconfirmed  []*request          // running tasks whose answers were not yet handed to the kernel when the connection was closed
	rejections   []byte              // answers to rejected requests, sent together once all that was read is processed
	active       bool                // a readable request or test was received
	requested    bool                // a request that could be accepted was received
	verified     bool                // a request was served
	provisional  bool                // beyond the limit of connections, and nothing useful was received yet
	closed       bool
}

// isOpen returns whether the connection is open on both sides, so that the client can still receive.
func (c *clientConn) isOpen() bool { return !c.closed && !c.conn.PeerClosed() }

// isIdle returns whether nothing depends on the connection.
func (c *clientConn) isIdle() bool {
	return len(c.openRequests) == 0 && len(c.running) == 0 && len(c.partial) == 0
}

// evictedBefore returns whether an idle connection is evicted before another: an inactive one first, then the one idle for longer.
func (c *clientConn) evictedBefore(x *clientConn) bool {
	if c.active != x.active {
		return x.active
	}
	return c.lastUsed < x.lastUsed
}

// OnData processes received bytes; nil means that the client has closed its side.
func (c *clientConn) OnData(b []byte) {
	s := c.server
	s.mu.Lock()
	defer s.mu.Unlock()
	if c.closed {
		return
	}
	now := s.env.Now()
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
	rejected := c.sendRejections()
	switch {
	case err != nil:
		c.evict(err.Error())
	case rejected && !c.closed && (c.provisional || s.shutdown.hasDisconnected()): // it was accepted only to be answered
		c.evict("no room")
	}
	if c.closed {
		return
	}
	c.partial = rest
	s.loop.wake()
}

// OnClose is called when the connection has ended. Tasks are stopped whose answers were not sent completely: the client knows from that that
// it was not served.
func (c *clientConn) OnClose(error) {
	s := c.server
	s.mu.Lock()
	defer s.mu.Unlock()
	c.remove()
	handedOver := c.conn.HandedOver()
	slices.SortFunc(c.unconfirmed, byAllocation)
	for _, r := range c.unconfirmed {
		if r.running && r.sentThrough > handedOver && s.requests.isCurrent(r) {
			s.requests.withdraw(r)
		}
	}
	c.unconfirmed = nil
}

// byAllocation orders requests by their numbers in the host.
func byAllocation(x, y *request) int { return cmp.Compare(x.allocID, y.allocID) }

// onMessage processes one message.
func (c *clientConn) onMessage(now float64, msg []byte) {
	s, task := c.server, codec.Task(msg)
	switch codec.Kind(msg) {
	case codec.KindSetUp:
		c.onSetUp(now, task, msg)
	case codec.KindTest:
		c.active = true
		s.clients.promote(now, c) // if there is no room now, its first request tries again
		c.send(func(b []byte) []byte { return codec.AppendTested(b, task, true) })
	case codec.KindEnd:
		r := s.requests.task(task)
		if r != nil && (r.running || r.client == c) { // else it is over, or belongs to another connection
			s.requests.withdraw(r)
		}
	case codec.KindProgress, codec.KindEndAck, codec.KindNote, codec.KindTested:
	default:
		c.evict("unexpected message type")
	}
}

// reject queues the answer to a request that is not accepted.
func (c *clientConn) reject(task uint64, cause byte) {
	c.rejections = codec.AppendEnd(c.rejections, task, cause)
}

// sendRejections sends queued rejections in one write, as most of the work under overload is to reject. It returns whether there were any.
func (c *clientConn) sendRejections() bool {
	if len(c.rejections) == 0 {
		return false
	}
	rejections := c.rejections
	c.rejections = nil
	c.send(func(b []byte) []byte { return append(b, rejections...) })
	return true
}

// send sends a message. It returns false if the connection can no longer carry one.
func (c *clientConn) send(message func(b []byte) []byte) bool {
	return !c.closed && c.sendCounted(message) > 0
}

// sendCounted sends a message and returns how many bytes were sent on the connection since its start, this message included; 0 if the
// connection can no longer carry one.
func (c *clientConn) sendCounted(message func(b []byte) []byte) uint64 {
	sent, queued, ok := c.conn.Send(message)
	switch {
	case !ok:
		return 0
	case queued > connlimits.MaxUnsentBytes:
		c.evict("does not read")
		return 0
	}
	return sent
}

// sendAnswer answers a request whose task runs. It returns false if the client can no longer be served.
func (c *clientConn) sendAnswer(r *request, description []byte) bool {
	sent := c.sendCounted(func(b []byte) []byte { return codec.AppendAnswer(b, r.task, description) })
	if sent == 0 {
		return false
	}
	r.sentThrough = sent
	c.verified = true
	c.running[r] = true
	return true
}

// addRequest adds a request that was accepted.
func (c *clientConn) addRequest(r *request) { c.openRequests[r.task] = r }

// onAnswered notes that a request needs no answer any more.
func (c *clientConn) onAnswered(r *request) { delete(c.openRequests, r.task) }

// addTask adds a running task whose end is sent on this connection.
func (c *clientConn) addTask(r *request) { c.running[r] = true }

// removeTask drops a task that has ended.
func (c *clientConn) removeTask(r *request) { delete(c.running, r) }

// evict closes the connection because of what its peer does, or to make room. Open requests on it are withdrawn without an answer.
func (c *clientConn) evict(why string) {
	if c.closed {
		return
	}
	c.server.telemetry.count(countEvicted)
	c.server.telemetry.trace("expel", 0, func(e *zerolog.Event) { e.Str("why", why).Int("open", len(c.openRequests)) })
	c.close()
}

// close closes the connection from this side: queued bytes are still sent, and what the client still sends is read and dropped, so that no
// reset discards the last answers.
func (c *clientConn) close() {
	c.remove()
	c.conn.Close(true, nil)
}

// remove drops the connection. Open requests on it are withdrawn; running tasks do not depend on it.
func (c *clientConn) remove() {
	if c.closed {
		return
	}
	c.closed = true
	s := c.server
	s.clients.remove(c)
	for _, task := range slices.Sorted(maps.Keys(c.openRequests)) {
		s.requests.withdraw(c.openRequests[task])
	}
	handedOver := c.conn.HandedOver()
	for r := range c.running {
		r.client = nil
		if r.sentThrough > handedOver {
			c.unconfirmed = append(c.unconfirmed, r)
		}
	}
	c.partial = nil
	s.loop.wake()
}
