package route

import (
	"fmt"

	codec "ravenpond/internal/proto/platform"
)

// Times in ms.
const (
	answerLate = 3000 // an answer may follow the end of its task so late
	noteEvery  = 50
)

// answersAfterEnd has a task run for a short while, noted but not answered, and end; its answer follows late. The client is owed the end
// within a second.
func (n *node) answersAfterEnd(e *ear, t *task, r *run) {
	g := n.g
	ends := 100 + 600*g.rng.Float64()
	for at := float64(noteEvery); at < ends; at += noteEvery * 4 {
		n.p.After(at, func() {
			if n.runs[t.id] == r {
				e.send(message(codec.Note, t.id, codec.Word, "cores", codec.Figure, "0.5"))
			}
		})
	}
	n.p.After(ends, func() {
		if n.runs[t.id] != r {
			return
		}
		n.conclude(t.id, r, "ended")
		delete(n.runs, t.id)
		cause, reason := byte(codec.Reset), "sent_away"
		if g.rng.IntN(3) == 0 {
			cause, reason = codec.Normal, ""
		}
		e.send(message(codec.End, t.id, codec.Cause, string(cause), codec.Word, reason, codec.Report, n.report()))
		g.owesUnanswered(t, n, e)
		n.p.After(answerLate*g.rng.Float64(), func() { e.send(codec.AppendAnswer(nil, t.id, []byte(n.describes(t.id)))) })
	})
}

// owesUnanswered holds that a client hears in time that its task is over which had run and ended before it was answered. An answer by a
// second run that goes on does not tell it.
func (g *play) owesUnanswered(t *task, n *node, e *ear) {
	s, lives := t.s, t.s.lives
	if s.owner.asks[t.id] != t || e.over || s.s == nil {
		return // it was given up, or answered after another attempt
	}
	g.c.At(g.c.TrueTime()+owedIn+busySlack, func() {
		open := s.owner.asks[t.id] == t
		if (open || t.stands && t.at != n) && s.lives == lives && s.s != nil && !e.over && t.e == s.owner.e && !t.e.over {
			g.fail(fmt.Sprintf("rule 1: task %x was over at %s before its answer, and %s did not tell its owner within a second", t.id, n.name, s.name))
		}
	})
}
