package platform

import (
	"cmp"
	"maps"
	"slices"

	"github.com/rs/zerolog"

	"ravenpond/internal/decide/connlimits"
	"ravenpond/internal/decide/redelivery"
	"ravenpond/internal/env"
	codec "ravenpond/internal/proto/platform"
)

// clientConn is a connection that a client opened. It implements env.ConnHandler. Server.mu guards it.
type clientConn struct {
	server       *Server
	number       uint64 // the position in the order in which connections were accepted
	conn         env.Conn
	received     uint64 // bytes that were passed to OnData
	partial      []byte // the received part of an incomplete message
	partialSince float64
	acceptedAt   float64
	lastUsed     float64
	openRequests map[uint64]*request // requests without a final answer, by the client's task number
	running      map[*request]bool   // tasks whose answers were sent on this connection
	unconfirmed  []*request          // running tasks whose answers were not yet handed to the kernel when the connection was closed
	unread       unreadWithdrawals
	outbox       redelivery.Outbox // notifications that were not passed to the network yet
	rejections   []byte            // answers to rejected requests, sent together once all received bytes are processed
	active       bool              // a valid request or a test message was received
	requested    bool              // a valid request for a new task was received
	verified     bool              // a request was answered with a running task
	provisional  bool              // it is beyond the limit of connections, and not promoted yet
	closed       bool
	readsLate    bool // it was closed here, and what the client had sent by then is still read
}

// isOpen reports whether neither side has closed the connection, so that the client can still receive.
func (c *clientConn) isOpen() bool { return !c.closed && !c.conn.PeerClosed() }

// isIdle reports whether no open request, running task or incomplete message belongs to the connection.
func (c *clientConn) isIdle() bool {
	return len(c.openRequests) == 0 && len(c.running) == 0 && len(c.partial) == 0
}

// evictedBefore reports whether this idle connection is evicted before another: inactive ones go first, then those idle for longer.
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
		c.onLateData(b)
		return
	}
	now := s.env.Now()
	c.received += uint64(len(b))
	if b == nil {
		c.close()
		return
	}
	if len(c.partial) == 0 {
		c.partialSince = now
	}
	rest, err := splitMessages(c.partial, b, func(msg []byte) error {
		if c.closed {
			c.onLateMessage(msg)
			return nil
		}
		c.partialSince, c.lastUsed = now, now
		c.onMessage(now, msg)
		return nil
	})
	rejected := c.sendRejections()
	switch {
	case err != nil:
		c.evict(err.Error())
	case rejected && !c.closed && (c.provisional || s.shutdown.hasDisconnected()): // the connection was accepted only so that its requests are answered
		c.evict("no room")
	}
	c.readsLate = c.readsLate && err == nil
	if c.closed && !c.readsLate {
		return
	}
	c.partial = rest
	s.loop.wake()
}

// OnClose is called when the connection has ended. It stops tasks whose answers were not sent completely: from an incomplete answer the client
// knows that it was not served.
func (c *clientConn) OnClose(error) {
	s := c.server
	s.mu.Lock()
	defer s.mu.Unlock()
	c.remove()
	handedOver := c.conn.BytesWritten()
	slices.SortFunc(c.unconfirmed, byAllocation)
	for _, r := range c.unconfirmed {
		if r.running && r.sentThrough > handedOver && s.requests.isCurrent(r) {
			s.requests.withdraw(r)
		}
	}
	c.unconfirmed = nil
	c.outbox.OnConnEnded(c.number, redelivery.ConnEnd{Written: handedOver})
	for _, message := range c.outbox.Unsent(s.env.Now()) {
		s.notifier.sendAgain(c, notification{task: message.Task, cause: message.Cause})
	}
}

// byAllocation orders requests by the host's numbers for them.
func byAllocation(x, y *request) int { return cmp.Compare(x.allocID, y.allocID) }

// onMessage processes one message.
func (c *clientConn) onMessage(now float64, msg []byte) {
	s, task := c.server, codec.Task(msg)
	switch codec.Kind(msg) {
	case codec.KindSetUp:
		c.onSetUp(now, task, msg)
	case codec.KindHealthCheck:
		c.active = true
		s.clients.promote(now, c) // if that fails, the first request on the connection tries again
		c.send(func(b []byte) []byte { return codec.AppendHealthCheckResult(b, task, true) })
	case codec.KindEnd:
		r := s.requests.task(task)
		if r != nil && (r.running || r.client == c) { // else the task has ended, or its open request belongs to another connection
			s.requests.withdraw(r)
		}
	case codec.KindProgress, codec.KindEndAck, codec.KindNote, codec.KindHealthCheckResult:
	default:
		c.evict("unexpected message type")
	}
}

// reject queues the answer to a rejected request.
func (c *clientConn) reject(task uint64, cause byte) {
	c.rejections = codec.AppendEnd(c.rejections, task, cause)
}

// sendRejections sends the queued rejections in one write, as rejecting is most of the work under overload. It reports whether there were any.
func (c *clientConn) sendRejections() bool {
	if len(c.rejections) == 0 {
		return false
	}
	rejections := c.rejections
	c.rejections = nil
	c.send(func(b []byte) []byte { return append(b, rejections...) })
	return true
}

// send sends a message, unless the connection can no longer carry one.
func (c *clientConn) send(message func(b []byte) []byte) {
	if !c.closed {
		c.sendCounted(message)
	}
}

// sendCounted sends a message. It returns the number of bytes queued on the connection since its start, this message included, or 0 if the
// connection can no longer carry a message.
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

// sendAnswer answers a request whose task runs. It returns false if the connection can no longer carry the answer.
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

// addRequest adds an accepted request.
func (c *clientConn) addRequest(r *request) { c.openRequests[r.task] = r }

// onAnswered removes a request that needs no answer any more.
func (c *clientConn) onAnswered(r *request) { delete(c.openRequests, r.task) }

// addTask adds a running task whose end is to be sent on this connection.
func (c *clientConn) addTask(r *request) { c.running[r] = true }

// removeTask removes a task that has ended.
func (c *clientConn) removeTask(r *request) { delete(c.running, r) }

// evict closes the connection because its client violates the protocol or a limit, or to make room for another. Its open requests are withdrawn
// without an answer.
func (c *clientConn) evict(reason string) {
	if c.closed {
		return
	}
	c.server.telemetry.count(countEvicted)
	c.server.telemetry.trace("expel", 0, func(e *zerolog.Event) { e.Str("why", reason).Int("open", len(c.openRequests)) })
	c.close()
}

// close closes the connection from this side: queued bytes are still sent, and bytes that the client still sends are read, so that no TCP reset
// destroys the last answers. Of these, only ends of running tasks count.
func (c *clientConn) close() {
	partial := c.partial
	c.remove()
	c.readsLate, c.partial = true, partial
	c.conn.Close(true, nil)
}

// remove takes the connection off the listener and withdraws its open requests. Running tasks do not depend on the connection.
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
	handedOver := c.conn.BytesWritten()
	for r := range c.running {
		r.client = nil
		if r.sentThrough > handedOver {
			c.unconfirmed = append(c.unconfirmed, r)
		}
	}
	c.partial = nil
	s.loop.wake()
}
