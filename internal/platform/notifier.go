package platform

import (
	"ravenpond/internal/decide/connlimits"
	codec "ravenpond/internal/proto/platform"
	"ravenpond/logic"
)

// notification tells a client that its running task has ended, with a cause, or that the client has to request the task again.
type notification struct {
	task  uint64
	cause byte    // 0: the client has to request the task again
	since float64 // the time at which the notification became pending
}

// appendTo appends the notification's message to b.
func (n notification) appendTo(b []byte) []byte {
	if n.cause == 0 {
		return codec.AppendMove(b, n.task)
	}
	return codec.AppendEnd(b, n.task, n.cause)
}

// notifier sends notifications to clients, and keeps those that could not be sent yet. Server.mu guards it.
type notifier struct {
	server  *Server
	pending []notification // oldest first
}

// notifyMove notifies a client that it has to request its running task again.
func (n *notifier) notifyMove(r *request) { n.notify(r, notification{task: r.task}) }

// notifyEnd notifies a client that its running task has ended.
func (n *notifier) notifyEnd(r *request, verdict logic.Outcome) {
	cause := byte(codec.CauseReset)
	switch verdict {
	case logic.Completed:
		cause = codec.CauseNormal
	case logic.Cancelled:
		cause = codec.CauseElsewhere
	}
	n.notify(r, notification{task: r.task, cause: cause})
}

// notify sends a notification on the connection of the request, else on any other verified one. If none of these is open, the notification
// becomes pending; the oldest pending one is dropped when there are too many.
func (n *notifier) notify(r *request, message notification) {
	if r.client != nil && r.client.isOpen() && r.client.notify(message) {
		return
	}
	for _, c := range n.server.clients.sorted() {
		if c.verified && c.isOpen() && c.notify(message) {
			return
		}
	}
	message.since = n.server.env.Now()
	n.pending = append(n.pending[max(0, len(n.pending)-connlimits.MaxPendingNotifications+1):], message)
}

// hasPending reports whether notifications wait for a connection.
func (n *notifier) hasPending() bool { return len(n.pending) > 0 }

// sendPending sends pending notifications on a connection that may carry them: all of them if it is verified, else those that have waited for a
// verified one for at least connlimits.VerifiedConnWait.
func (n *notifier) sendPending(now float64, c *clientConn) {
	for len(n.pending) > 0 && (c.verified || now-n.pending[0].since >= connlimits.VerifiedConnWait) && c.notify(n.pending[0]) {
		n.pending = n.pending[1:]
	}
	if len(n.pending) == 0 {
		n.pending = nil
	}
}
