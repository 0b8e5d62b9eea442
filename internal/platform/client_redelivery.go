package platform

import (
	"github.com/rs/zerolog"

	"ravenpond/internal/decide/redelivery"
	codec "ravenpond/internal/proto/platform"
)

// The code in this file handles messages that may be lost with a client's connection: notifications that were queued on it, which are sent on another
// one, and ends of tasks that the client sent before it learned that the connection was closed here.

// OnLateData processes bytes that were received after the connection was closed here. It implements env.LateReader.
func (c *clientConn) OnLateData(b []byte) {
	c.server.mu.Lock()
	defer c.server.mu.Unlock()
	c.onLateData(b)
}

// OnPeerDone implements env.LateReader.
func (c *clientConn) OnPeerDone(bool) {
	c.server.mu.Lock()
	defer c.server.mu.Unlock()
	c.readsLate, c.partial = false, nil
}

// onLateData processes bytes that were received after the connection was closed here.
func (c *clientConn) onLateData(b []byte) {
	if !c.readsLate {
		return
	}
	rest, err := splitMessages(c.partial, b, func(msg []byte) error {
		c.onLateMessage(msg)
		return nil
	})
	if c.partial = rest; err != nil {
		c.readsLate, c.partial = false, nil
	}
}

// onLateMessage processes a message that the client sent before it learned that the connection was closed here. The end of a running task counts, as the
// client does not repeat it. Open requests were withdrawn with the connection, and the client repeats those that crossed the close.
func (c *clientConn) onLateMessage(msg []byte) {
	if !c.readsLate || codec.Kind(msg) != codec.KindEnd {
		return
	}
	s, task := c.server, codec.Task(msg)
	if r := s.requests.task(task); r != nil && r.running {
		s.telemetry.trace("late end of a client", task, nil)
		s.requests.withdraw(r)
	}
}

// notify sends a notification, and keeps it as long as it may not have been passed to the network. It returns false if the connection can no longer carry
// it.
func (c *clientConn) notify(n notification) bool {
	if c.closed {
		return false
	}
	now := c.server.env.Now()
	through := c.sendCounted(n.appendTo)
	if through == 0 {
		return false
	}
	written := c.conn.BytesWritten()
	c.outbox.OnWritten(c.number, written)
	if through > written {
		c.outbox.Add(now, redelivery.Message{Task: n.task, Cause: n.cause})
		c.outbox.OnSent(now, n.task, c.number, through)
	}
	return true
}

// sendAgain sends a notification that was queued on a connection which has ended, and of which not all was passed to the network.
func (n *notifier) sendAgain(c *clientConn, message notification) {
	n.server.telemetry.count(countNotifiedAgain)
	n.server.telemetry.trace("notified again", message.task, func(e *zerolog.Event) { e.Uint64("connection", c.number) })
	n.notify(&request{task: message.task}, message)
}
