package platform

import (
	"maps"

	codec "ravenpond/internal/proto/platform"
)

// unreadLookInterval is the minimum time between two looks at the unread bytes of a connection, in ms.
const unreadLookInterval = 1

// unreadWithdrawals holds the withdrawals that a client has sent and that are not processed yet. A process that lags behind its events finds
// them here before it sends an attempt: the withdrawal may lie unread behind many other events, or its reader may wait for Server.mu.
// Server.mu guards it.
type unreadWithdrawals struct {
	lookedAt  float64
	next      uint64            // position in the received stream of the first message that was not looked at
	positions map[uint64]uint64 // positions of withdrawals in the received stream, by the client's task number
}

// hasUnreadWithdrawal reports whether the client has withdrawn a request by a message that is not processed yet.
func (c *clientConn) hasUnreadWithdrawal(task uint64) bool {
	if now := c.server.env.Now(); now >= c.unread.lookedAt+unreadLookInterval {
		c.unread.lookedAt = now
		c.lookAtUnread()
	}
	position, ok := c.unread.positions[task]
	return ok && position >= c.processed()
}

// hasUnread reports whether bytes that the client has sent are not processed yet.
func (c *clientConn) hasUnread() bool {
	from, unread := c.conn.Unread(c.server.unreadBuffer[:0])
	c.server.unreadBuffer = unread
	return from+uint64(len(unread)) > c.received
}

// processed returns the number of received bytes that belong to processed messages.
func (c *clientConn) processed() uint64 { return c.received - uint64(len(c.partial)) }

// lookAtUnread records the withdrawals among the unread messages that were not looked at before.
func (c *clientConn) lookAtUnread() {
	u, processed := &c.unread, c.processed()
	maps.DeleteFunc(u.positions, func(_, position uint64) bool { return position < processed })
	from, unread := c.conn.Unread(c.server.unreadBuffer[:0])
	c.server.unreadBuffer = unread
	if u.next = max(u.next, processed); c.received < from || u.next >= from+uint64(len(unread)) {
		return
	}
	if u.next < c.received { // an incomplete message was received before
		unread = append(append([]byte(nil), c.partial...), unread[min(c.received-from, uint64(len(unread))):]...)
		from = processed
	}
	u.scan(unread[u.next-from:])
}

// scan records the withdrawals in b, which begins at position next.
func (u *unreadWithdrawals) scan(b []byte) {
	for {
		msg, size, err := codec.Next(b)
		if err != nil || size == 0 {
			return
		}
		if codec.Kind(msg) == codec.KindEnd {
			if u.positions == nil {
				u.positions = map[uint64]uint64{}
			}
			u.positions[codec.Task(msg)] = u.next
		}
		b = b[size:]
		u.next += uint64(size)
	}
}
