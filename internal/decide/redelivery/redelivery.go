// Package redelivery decides what is sent again after a connection has ended, and when a connection is made anew for that.
//
// Some messages are sent once and nobody answers them for certain: the stop of a task, the notification that a task has ended, a node's report of
// that end. Such a message is lost with its connection if the peer has not read it, whoever ended the connection. An Outbox holds the messages of
// this side until the peer is known to have read them; Reconnect decides when to connect again to a peer whose messages may be lost, as a node sends
// its reports once more on the next connection that is opened.
//
// The inputs are what was sent on which connection, how connections ended, and the time in ms. The outputs are the messages to send, the connections
// to check and the dials to make. All of it is bounded in number and in time. The package does no I/O and returns no errors; its types are not safe
// for concurrent use.
package redelivery

import "slices"

// Limits of an Outbox.
const (
	maxMessages   = 256   // messages to one peer; the oldest are dropped
	retention     = 20000 // ms for which a message is kept
	maxSends      = 4     // of one message
	checkInterval = 1000  // ms without a sign that the peer has read a message after which its connection is checked
)

// Message is a message about a task that is sent once.
type Message struct {
	Task  uint64
	Cause byte // as in the protocol
}

// entry is a message of an Outbox.
type entry struct {
	message Message
	expires float64
	sends   int
	conn    uint64  // the connection that it was sent on, 0 if it is to be sent
	through uint64  // the position of its end in the stream of that connection
	sentAt  float64 // when it was sent, or its connection was last checked
}

// Outbox holds the messages to one peer that the peer is not known to have read, at most one for each task. The zero value is an empty Outbox.
type Outbox struct {
	entries []entry // oldest first
	dropped int
}

// Add adds a message that is to be sent. It replaces an earlier one about the same task.
func (o *Outbox) Add(now float64, m Message) {
	o.Confirm(m.Task)
	if excess := len(o.entries) - maxMessages + 1; excess > 0 {
		o.entries = slices.Delete(o.entries, 0, excess)
		o.dropped += excess
	}
	o.entries = append(o.entries, entry{message: m, expires: now + retention})
}

// OnSent records that the message about a task was sent on a connection, whose number is above 0, and that it ends at a position of the stream.
func (o *Outbox) OnSent(now float64, task, conn, through uint64) {
	if i := o.index(task); i >= 0 {
		e := &o.entries[i]
		e.conn, e.through, e.sentAt = conn, through, now
		e.sends++
	}
}

// Confirm removes the message about a task: the peer has read it, or it is no longer true.
func (o *Outbox) Confirm(task uint64) {
	if i := o.index(task); i >= 0 {
		o.entries = slices.Delete(o.entries, i, i+1)
	}
}

// OnWritten records how many bytes of a connection were passed to the network. Where a repeated message does harm, what was passed is not kept.
func (o *Outbox) OnWritten(conn, written uint64) {
	o.entries = slices.DeleteFunc(o.entries, func(e entry) bool { return e.conn == conn && e.through <= written })
}

// OnAnswered records that the peer has answered a message that was sent on a connection at a time. It has read all that was sent on it before.
func (o *Outbox) OnAnswered(conn uint64, sentAt float64) {
	o.entries = slices.DeleteFunc(o.entries, func(e entry) bool { return e.conn == conn && e.sentAt <= sentAt })
}

// OnConnEnded handles the end of a connection: what was sent on it and may be unread is to be sent again, unless it was sent too often.
func (o *Outbox) OnConnEnded(conn uint64, end ConnEnd) {
	kept := o.entries[:0]
	for _, e := range o.entries {
		if e.conn == conn {
			if !end.MayHaveLost(e.through) {
				continue
			}
			if e.sends >= maxSends {
				o.dropped++
				continue
			}
			e.conn = 0
		}
		kept = append(kept, e)
	}
	clear(o.entries[len(kept):])
	o.entries = kept
}

// Unsent returns the messages that are to be sent, oldest first. Those whose time is over are dropped.
func (o *Outbox) Unsent(now float64) (messages []Message) {
	o.expire(now)
	for _, e := range o.entries {
		if e.conn == 0 {
			messages = append(messages, e.message)
		}
	}
	return messages
}

// HasUnsent reports whether there are messages that are to be sent.
func (o *Outbox) HasUnsent(now float64) bool {
	o.expire(now)
	return slices.ContainsFunc(o.entries, func(e entry) bool { return e.conn == 0 })
}

// ConnsToCheck returns the connections on which a health check has to show whether the peer reads: messages were sent on them a while ago, and nothing
// shows that the peer has read them.
func (o *Outbox) ConnsToCheck(now float64) (conns []uint64) {
	o.expire(now)
	for i := range o.entries {
		e := &o.entries[i]
		if e.conn == 0 || now-e.sentAt < checkInterval || slices.Contains(conns, e.conn) {
			continue
		}
		conns = append(conns, e.conn)
	}
	return conns
}

// Len returns the number of messages.
func (o *Outbox) Len() int { return len(o.entries) }

// Dropped returns how many messages were given up because there were too many, or because they were sent too often.
func (o *Outbox) Dropped() int { return o.dropped }

func (o *Outbox) expire(now float64) {
	o.entries = slices.DeleteFunc(o.entries, func(e entry) bool { return now >= e.expires })
}

func (o *Outbox) index(task uint64) int {
	return slices.IndexFunc(o.entries, func(e entry) bool { return e.message.Task == task })
}

// ConnEnd is what is known of the end of a connection.
type ConnEnd struct {
	Written    uint64 // bytes that were passed to the network
	PeerDone   bool   // this side closed the connection, and the peer then closed it too: it has read everything, and all that it sent was received
	Repeatable bool   // a message that the peer reads twice does no harm
}

// MayHaveLost reports whether a message that ends at a position of the stream is to be sent again. What was not passed to the network was not read.
// What was may have been, and is sent again only if that does no harm.
func (e ConnEnd) MayHaveLost(through uint64) bool {
	return through > e.Written || !e.PeerDone && e.Repeatable
}
