package platformsim

import (
	"fmt"

	codec "ravenpond/internal/proto/platform"
)

// Times of tasks that end before their answer is sent, in ms.
const (
	lateAnswerLimit = 3000 // after the end, within which the answer follows
	unsentEndLimit  = 8000 // within which a client is notified of an end that the node could not send
	noteInterval    = 200
	firstNoteAt     = 50
	minEarlyRuntime = 100
	earlyRange      = 600
)

// answerAfterEnd lets a task run for a short time, during which its node sends notes but no answer, and then ends it; the answer follows late. The
// client has to be notified of the end in time.
func (n *node) answerAfterEnd(t *task, att *attempt) {
	sm, pc := n.sim, att.conn
	endsIn := minEarlyRuntime + earlyRange*sm.rng.Float64()
	for at := float64(firstNoteAt); at < endsIn; at += noteInterval {
		n.process.After(at, func() {
			if n.tasks[t.id] == att {
				pc.send(message(codec.KindNote, t.id, param{codec.ParamReason, "cores"}, param{codec.ParamValue, "0.5"}))
			}
		})
	}
	n.process.After(endsIn, func() {
		if n.tasks[t.id] != att {
			return
		}
		n.conclude(t.id, att, "ended")
		delete(n.tasks, t.id)
		cause, reason := byte(codec.CauseReset), "sent_away"
		if sm.rng.IntN(3) == 0 {
			cause, reason = codec.CauseNormal, ""
		}
		pc.send(message(codec.KindEnd, t.id, param{codec.ParamCause, string(cause)}, param{codec.ParamReason, reason},
			param{codec.ParamReport, n.report()}))
		sm.expectUnansweredEnd(t, n, pc)
		n.process.After(lateAnswerLimit*sm.rng.Float64(), func() { pc.send(codec.AppendAnswer(nil, t.id, []byte(n.describe(t.id)))) })
	})
}

// expectUnansweredEnd checks that a client is notified in time that a task ran and ended before its answer: within a second after the node sent
// the end, or within unsentEndLimit if the link was cut. The answer of a second attempt that runs is not a violation.
func (sm *simulation) expectUnansweredEnd(t *task, n *node, pc *peerConn) {
	s, incarnation := t.scheduler, t.scheduler.incarnation
	if s.client.pending[t.id] != t || pc.closed || s.server == nil {
		return // the request was withdrawn, or answered for another attempt
	}
	limit := float64(endNoticeLimit + overloadSlack)
	if sm.clock.IsCut(s.name, n.hostName()) {
		limit = unsentEndLimit
	}
	sm.after(limit, func() {
		connected := s.incarnation == incarnation && s.server != nil && !pc.closed && t.conn == s.client.conn && !t.conn.closed
		unaware := s.client.pending[t.id] == t || t.running && t.node != n
		if connected && unaware {
			sm.fail(fmt.Sprintf("rule 1: task %x ended at %s before its answer, and %s did not notify its client within %.0f ms", t.id, n.name, s.name, limit))
		}
	})
}
