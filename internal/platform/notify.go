package platform

import (
	"ravenpond/internal/decide/connlimits"
	codec "ravenpond/internal/proto/platform"
)

// notification tells a client what became of its running task: the end, with a cause, or that the task is to be requested anew elsewhere.
type notification struct {
	task  uint64
	cause byte    // 0: a move
	since float64 // when the notification became pending, in ms
}

func (n notification) append(b []byte) []byte {
	if n.cause == 0 {
		return codec.AppendMove(b, n.task)
	}
	return codec.AppendEnd(b, n.task, n.cause)
}

// notifyEnd notifies a client that its running task is over. Without a cause it counts as a reset.
func (s *Server) notifyEnd(a *request, cause byte) {
	if cause == 0 {
		cause = codec.CauseReset
	}
	s.notify(a, notification{task: a.task, cause: cause})
}

// notify sends a notification on the connection of the request, else on any other verified one. Without an open connection of that kind
// it stays pending: clientsTick sends it on the next verified one, or after connlimits.EndWaits on one that carried a request.
func (s *Server) notify(a *request, n notification) {
	if a.client != nil && a.client.isOpen() && a.client.send(n.append) {
		return
	}
	for _, c := range s.sortedClients() {
		if c.verified && c.isOpen() && c.send(n.append) {
			return
		}
	}
	n.since = s.env.Now()
	s.pendingNotifications = append(s.pendingNotifications[max(0, len(s.pendingNotifications)-connlimits.MaxPendingEnds+1):], n)
}
