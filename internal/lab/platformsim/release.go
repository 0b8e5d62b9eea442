package platformsim

import (
	"fmt"
	"slices"
)

// Times of the notification that a running task has ended, in ms.
const (
	releaseLimit   = 8000 + 50 // from the end, or from the hand-over to a restarted scheduler, to the client's notification
	releaseRecheck = 500       // while the task's scheduler is down, or was not handed the task yet
	releaseTransit = 5         // most time that a message takes to a client
	clockTolerance = 500       // by which the clocks of the node list and of schedulers may differ
)

// expectRelease checks that a client is notified in time that its running task has ended, however the end came about. It is not used under
// overload, where expectEnd checks a shorter limit, and not on sockets, where it is not seen which notifications a client's own close has lost.
func (sm *simulation) expectRelease(t *task, n *node) {
	if _, simulated := sm.clock.(*simWorld); simulated && sm.overload == nil {
		sm.checkRelease(t, n, sm.clock.TrueTime())
	}
}

// checkRelease checks the notification of a task that ended at a node when its time is over, or looks again later.
func (sm *simulation) checkRelease(t *task, n *node, endedAt float64) {
	now, s := sm.clock.TrueTime(), t.scheduler
	due := max(endedAt, t.heldSince) + releaseLimit
	held := s.server != nil && t.heldBy == s.incarnation
	switch {
	case now >= endedAt+releaseLimit && (!t.running || t.node != n) || s.client.lostByClose(t.releasedAt):
	case now < due:
		sm.clock.At(due, func() { sm.checkRelease(t, n, endedAt) })
	case !held:
		sm.after(releaseRecheck, func() { sm.checkRelease(t, n, endedAt) })
	case t.isReportLost(), t.areReportsLost(n):
		sm.result.Undecidable++
	case t.isRestartUnseen(n, endedAt):
		sm.result.UnseenRestarts++
	default:
		sm.fail(fmt.Sprintf("rule 1: task %x ended at %s %.0f ms ago, %s holds it for %.0f ms, and did not notify its client", t.id, n.name, now-endedAt,
			s.name, now-t.heldSince))
	}
}

// isRestartUnseen reports whether a task that ended with a process of its node was handed over, and nothing that its scheduler has seen tells whether it
// was sent to that process or to the next one: by the clocks the next process may have started before the last attempt of an earlier incarnation, or the
// clock of the node was stepped, and no dial of this incarnation was without an answer in between.
func (t *task) isRestartUnseen(n *node, endedAt float64) bool {
	i := slices.IndexFunc(n.starts, func(at float64) bool { return at > endedAt })
	if !t.handedOver || i < 0 {
		return false
	}
	sentBy := max(t.scheduler.startedAt, t.heldSince-clientRetryDelay)
	isOpenByClocks := n.clockStep != 0 || n.starts[i] <= sentBy+clockTolerance
	return isOpenByClocks && !t.scheduler.sawAbsence(n, sentBy, n.starts[i])
}

// sawAbsence reports whether a dial of this incarnation to a node, which began in a span of time, was not answered at once.
func (s *scheduler) sawAbsence(n *node, from, to float64) bool {
	return slices.ContainsFunc(s.dials, func(d dial) bool { return d.address == n.address && d.at >= from && d.at <= to && d.failed })
}

// checkEnded checks that a task whose client is notified of its end does not run any more: its client may request it again, and it would run twice. A task
// that was sent to the address of another node is ended once the list tells of its own one, and is not checked.
func (c *client) checkEnded(t *task) {
	sm := c.sim
	att := t.node.tasks[t.id]
	if _, simulated := sm.clock.(*simWorld); !simulated || att == nil || !att.running || att.unlisted {
		return
	}
	sm.fail(fmt.Sprintf("living: %s notifies the client of task %x of its end, which runs at %s", c.scheduler.name, t.id, t.node.name))
}

// report is a report of the end of a task that a node has sent on a connection.
type report struct {
	conn *peerConn
	upTo uint64 // bytes sent on the connection up to the end of the report
}

// recordReport records that a node reports the end of a task on a connection. upTo is how many bytes have been sent on it with the report.
func (sm *simulation) recordReport(end unsentEnd, pc *peerConn, upTo uint64) {
	if t := sm.tasks[end.task]; pc.peerName() == end.scheduler {
		t.reportedTo = t.scheduler.incarnation
		t.reports = append(t.reports, report{pc, upTo})
	}
}

// areReportsLost reports whether each report of the end was lost with its connection, and the node does not report it again.
func (t *task) areReportsLost(n *node) bool {
	for _, r := range t.reports {
		if !r.conn.closed || r.conn.delivered() >= r.upTo {
			return false
		}
	}
	return len(t.reports) > 0 && !slices.ContainsFunc(n.unsentEnds, func(end unsentEnd) bool { return end.task == t.id })
}

// isReportLost reports whether the node has reported the end for the last time to an earlier incarnation of the scheduler that could not notify the
// client: it was killed outright, or ended before it was handed the task. The node does not report the end again.
func (t *task) isReportLost() bool {
	earlier := t.handedOver && t.reportedTo > 0 && t.reportedTo < t.heldBy
	return earlier && (t.scheduler.killedOutright[t.reportedTo] || t.reportedTo != t.heldBefore)
}

// lostByClose reports whether a message that was sent at a time crossed the client's own close of its connection. On the simulated network a closed
// end reads nothing more.
func (c *client) lostByClose(sentAt float64) bool {
	return sentAt > 0 && slices.ContainsFunc(c.disconnects, func(at float64) bool { return sentAt >= at-releaseTransit && sentAt <= at+releaseTransit })
}
