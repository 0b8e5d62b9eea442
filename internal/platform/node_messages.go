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
	now := s.world.Now()
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
		s.counts.spoilt++
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
		s.report = codec.Load(msg, s.known.Cluster.ReportFields, s.report[:0])
		a := s.tasks[task]
		switch {
		case a == nil || a.peer != l.peer:
		case a.link == l && cause == codec.Normal && codec.Described(msg): // it stood and ended in one
			if err := l.answer(now, task, msg); err != nil {
				return err
			}
			if a.running {
				s.settled(a, codec.After(cause), codec.Why(msg), s.report)
			}
		case a.link == l:
			l.endedEarly(now, a, cause, codec.Why(msg))
		case a.running:
			s.settled(a, codec.After(cause), codec.Why(msg), s.report)
		}
	case codec.Note:
		kind, value, ok := codec.Noted(msg)
		if a := s.tasks[task]; ok && a != nil && a.peer == l.peer && (a.running || a.link == l) {
			s.host.OnNote(now, a.alloc, kind, value)
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
			s.report = codec.Load(msg, s.known.Cluster.ReportFields, s.report[:0])
			s.host.OnProbeResult(now, l.peer.id, uint32(task), v, s.report)
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
	a := s.tasks[task]
	if a == nil || a.link != l {
		if l.given[task] && (a == nil || a.peer != l.peer || !a.running) { // too late: it must not run beside another attempt
			s.cut(l.peer, task)
		}
		delete(l.given, task)
		return nil // else a second copy, or nobody's
	}
	l.drop(a)
	if !s.host.OnStarted(now, a.alloc, a.attempt) {
		s.cut(l.peer, task)
		return nil
	}
	s.answered(a)
	a.running = true
	s.counts.served++
	s.trace("served", task, nil)
	o, told := a.client, uint64(0)
	if !a.clientLeft() {
		told = o.sendCounted(func(b []byte) []byte { return codec.AppendAnswer(b, task, description) })
	}
	if told == 0 {
		s.withdraw(a)
		return nil
	}
	a.sent = told
	o.verified = true
	o.running[a] = true
	l.peer.running[a] = true
	a.jobType, a.name, a.key, a.description = nil, nil, nil, nil
	s.wake()
	return nil
}

// endedEarly takes the end of an attempt that its node has not answered. Where the task had been running, its answer may still follow; the
// node is then told to end the task, as the client has its final answer.
func (l *link) endedEarly(now float64, a *request, cause byte, reason logic.Reason) {
	l.drop(a)
	end := outcome.EarlyEnd{Unstarted: codec.Before(cause), Started: codec.After(cause), Reason: reason}
	l.s.trace("ended early", a.task, func(e *zerolog.Event) { e.Str("node", l.peer.name).Uint8("cause", cause).Uint8("why", uint8(reason)) })
	l.s.counts.verdicts[end.Unstarted]++
	if l.s.host.OnEarlyEnd(now, a.alloc, a.attempt, end, l.s.report) {
		l.expectLate(a.task)
	}
	l.s.wake()
}
