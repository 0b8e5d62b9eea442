package platformsim

import (
	"fmt"

	codec "ravenpond/internal/proto/platform"
)

// Times in ms.
const (
	lateAnswerLimit = 3000 // an answer may follow the end of its task so late
	noteInterval    = 50
)

// answerAfterEnd has a task run for a short while, noted but not answered, and end; its answer follows late. The client is owed the end
// within a second.
func (n *node) answerAfterEnd(e *peerConn, t *task, r *attempt) {
	g := n.sim
	ends := 100 + 600*g.rng.Float64()
	for at := float64(noteInterval); at < ends; at += noteInterval * 4 {
		n.process.After(at, func() {
			if n.tasks[t.id] == r {
				e.send(message(codec.KindNote, t.id, codec.ParamReason, "cores", codec.ParamValue, "0.5"))
			}
		})
	}
	n.process.After(ends, func() {
		if n.tasks[t.id] != r {
			return
		}
		n.conclude(t.id, r, "ended")
		delete(n.tasks, t.id)
		cause, reason := byte(codec.CauseReset), "sent_away"
		if g.rng.IntN(3) == 0 {
			cause, reason = codec.CauseNormal, ""
		}
		e.send(message(codec.KindEnd, t.id, codec.ParamCause, string(cause), codec.ParamReason, reason, codec.ParamReport, n.report()))
		g.expectUnansweredEnd(t, n, e)
		n.process.After(lateAnswerLimit*g.rng.Float64(), func() { e.send(codec.AppendAnswer(nil, t.id, []byte(n.describe(t.id)))) })
	})
}

// expectUnansweredEnd holds that a client hears in time that its task is over which had run and ended before it was answered. An answer by a
// second run that goes on does not tell it.
func (g *simulation) expectUnansweredEnd(t *task, n *node, e *peerConn) {
	s, lives := t.scheduler, t.scheduler.incarnation
	if s.client.pending[t.id] != t || e.closed || s.server == nil {
		return // it was given up, or answered after another attempt
	}
	g.clock.At(g.clock.TrueTime()+endNoticeLimit+overloadSlack, func() {
		open := s.client.pending[t.id] == t
		if (open || t.running && t.node != n) && s.incarnation == lives && s.server != nil && !e.closed && t.conn == s.client.conn && !t.conn.closed {
			g.fail(fmt.Sprintf("rule 1: task %x was over at %s before its answer, and %s did not tell its owner within a second", t.id, n.name, s.name))
		}
	})
}
