package platform

import (
	"github.com/rs/zerolog"

	"ravenpond/internal/decide/outcome"
	codec "ravenpond/internal/proto/platform"
	"ravenpond/logic"
)

// OnData takes what a node sends.
func (l *link) OnData(b []byte) {
	s := l.s
	s.mu.Lock()
	defer s.mu.Unlock()
	if l.gone {
		return
	}
	now := s.env.Now()
	if b == nil {
		l.broke("closed")
		return
	}
	l.peer.watch.OnContact(now)
	rest, err := messages(l.in, b, func(msg []byte) error {
		if l.gone {
			return nil
		}
		return l.message(now, msg)
	})
	if l.gone {
		return
	}
	if err != nil {
		s.stats.spoilt++
		s.trace("spoilt", 0, func(e *zerolog.Event) { e.Str("node", l.peer.name).Err(err) })
		l.spoil()
		return
	}
	l.in = rest
	s.wake()
}

// OnClose hears that the connection has ended.
func (l *link) OnClose(err error) {
	l.s.mu.Lock()
	defer l.s.mu.Unlock()
	if !l.gone {
		l.broke(err.Error())
	}
}

// message takes one message of a node. An error means that the connection can't be read any more.
func (l *link) message(now float64, msg []byte) error {
	s, task := l.s, codec.Task(msg)
	s.traceNode(l, msg)
	switch codec.Kind(msg) {
	case codec.Answer:
		return l.answer(now, task, msg)
	case codec.End:
		cause, ok := codec.CauseOf(msg)
		if !ok {
			return codec.ErrUnreadable
		}
		s.reportBuffer = codec.Load(msg, s.settings.Cluster.ReportFields, s.reportBuffer[:0])
		a := s.requestsByTask[task]
		switch {
		case a == nil || a.node != l.peer:
		case a.conn == l && cause == codec.Normal && codec.Described(msg): // it stood and ended in one
			if err := l.answer(now, task, msg); err != nil {
				return err
			}
			if a.running {
				s.settled(a, codec.After(cause), codec.Why(msg), s.reportBuffer)
			}
		case a.conn == l:
			l.endedEarly(now, a, cause, codec.Why(msg))
		case a.running:
			s.settled(a, codec.After(cause), codec.Why(msg), s.reportBuffer)
		}
	case codec.Note:
		kind, value, ok := codec.Noted(msg)
		if a := s.requestsByTask[task]; ok && a != nil && a.node == l.peer && (a.running || a.conn == l) {
			s.host.OnNote(now, a.allocID, kind, value)
		}
	case codec.Tested:
		cause, ok := codec.CauseOf(msg)
		if !ok {
			return codec.ErrUnreadable
		}
		if l.probe != 0 && task == uint64(l.probe) {
			l.probe, l.idle = 0, now
			v := logic.Completed
			if cause == 0 {
				v = logic.Errored
			}
			s.reportBuffer = codec.Load(msg, s.settings.Cluster.ReportFields, s.reportBuffer[:0])
			s.host.OnProbeResult(now, l.peer.id, uint32(task), v, s.reportBuffer)
		}
	case codec.Progress, codec.EndHeard:
	default:
		return codec.ErrUnreadable
	}
	return nil
}

// answer processes a node's answer: the task runs. It goes to the client only if it is for the attempt that is out at this node.
func (l *link) answer(now float64, task uint64, msg []byte) error {
	s := l.s
	description, ok := codec.Param(msg, codec.Description)
	if !ok || len(description) == 0 {
		return codec.ErrUnreadable
	}
	a := s.requestsByTask[task]
	if a == nil || a.conn != l {
		if l.given[task] && (a == nil || a.node != l.peer || !a.running) { // too late: it must not run beside another attempt
			s.cut(l.peer, task)
		}
		delete(l.given, task)
		return nil // else a second copy, or nobody's
	}
	l.drop(a)
	if !s.host.OnStarted(now, a.allocID, a.attempt) {
		s.cut(l.peer, task)
		return nil
	}
	s.answered(a)
	a.running = true
	s.stats.served++
	s.trace("served", task, nil)
	o, told := a.client, uint64(0)
	if !a.clientGone() {
		told = o.sendCounted(func(b []byte) []byte { return codec.AppendAnswer(b, task, description) })
	}
	if told == 0 {
		s.withdraw(a)
		return nil
	}
	a.sentThrough = told
	o.verified = true
	o.running[a] = true
	l.peer.running[a] = true
	a.jobClassName, a.name, a.key, a.description = nil, nil, nil, nil
	s.wake()
	return nil
}

// endedEarly takes the end of an attempt that its node has not answered. Where the task had been running, its answer may still follow; the
// node is then told to end the task, as the client has its final answer.
func (l *link) endedEarly(now float64, a *request, cause byte, reason logic.Reason) {
	l.drop(a)
	end := outcome.EarlyEnd{Unstarted: codec.Before(cause), Started: codec.After(cause), Reason: reason}
	l.s.trace("ended early", a.task, func(e *zerolog.Event) { e.Str("node", l.peer.name).Uint8("cause", cause).Uint8("why", uint8(reason)) })
	l.s.stats.verdicts[end.Unstarted]++
	if l.s.host.OnEarlyEnd(now, a.allocID, a.attempt, end, l.s.reportBuffer) {
		l.expectLate(a.task)
	}
	l.s.wake()
}
