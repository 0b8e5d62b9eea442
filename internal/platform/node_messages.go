package platform

import (
	"github.com/rs/zerolog"

	"ravenpond/internal/decide/outcome"
	codec "ravenpond/internal/proto/platform"
	"ravenpond/logic"
)

// OnData takes what a node sends.
func (l *nodeConn) OnData(b []byte) {
	s := l.server
	s.mu.Lock()
	defer s.mu.Unlock()
	if l.closed {
		return
	}
	now := s.env.Now()
	if b == nil {
		l.onBroken("closed")
		return
	}
	l.node.failureDetector.OnContact(now)
	rest, err := splitMessages(l.partial, b, func(msg []byte) error {
		if l.closed {
			return nil
		}
		return l.onMessage(now, msg)
	})
	if l.closed {
		return
	}
	if err != nil {
		s.stats.malformed++
		s.trace("spoilt", 0, func(e *zerolog.Event) { e.Str("node", l.node.name).Err(err) })
		l.onMalformed()
		return
	}
	l.partial = rest
	s.wake()
}

// OnClose hears that the connection has ended.
func (l *nodeConn) OnClose(err error) {
	l.server.mu.Lock()
	defer l.server.mu.Unlock()
	if !l.closed {
		l.onBroken(err.Error())
	}
}

// onMessage takes one message of a node. An error means that the connection can't be read any more.
func (l *nodeConn) onMessage(now float64, msg []byte) error {
	s, task := l.server, codec.Task(msg)
	s.traceNode(l, msg)
	switch codec.Kind(msg) {
	case codec.KindAnswer:
		return l.onAnswer(now, task, msg)
	case codec.KindEnd:
		cause, ok := codec.CauseOf(msg)
		if !ok {
			return codec.ErrUnreadable
		}
		s.reportBuffer = codec.ParseReport(msg, s.settings.Cluster.ReportFields, s.reportBuffer[:0])
		a := s.requestsByTask[task]
		switch {
		case a == nil || a.node != l.node:
		case a.conn == l && cause == codec.CauseNormal && codec.HasDescription(msg): // it stood and ended in one
			if err := l.onAnswer(now, task, msg); err != nil {
				return err
			}
			if a.running {
				s.completeAttempt(a, codec.VerdictOfRunning(cause), codec.ReasonOf(msg), s.reportBuffer)
			}
		case a.conn == l:
			l.onEarlyEnd(now, a, cause, codec.ReasonOf(msg))
		case a.running:
			s.completeAttempt(a, codec.VerdictOfRunning(cause), codec.ReasonOf(msg), s.reportBuffer)
		}
	case codec.KindNote:
		kind, value, ok := codec.ParseNote(msg)
		if a := s.requestsByTask[task]; ok && a != nil && a.node == l.node && (a.running || a.conn == l) {
			s.host.OnNote(now, a.allocID, kind, value)
		}
	case codec.KindTested:
		cause, ok := codec.CauseOf(msg)
		if !ok {
			return codec.ErrUnreadable
		}
		if l.probeSeq != 0 && task == uint64(l.probeSeq) {
			l.probeSeq, l.idleSince = 0, now
			v := logic.Completed
			if cause == 0 {
				v = logic.Errored
			}
			s.reportBuffer = codec.ParseReport(msg, s.settings.Cluster.ReportFields, s.reportBuffer[:0])
			s.host.OnProbeResult(now, l.node.id, uint32(task), v, s.reportBuffer)
		}
	case codec.KindProgress, codec.KindEndAck:
	default:
		return codec.ErrUnreadable
	}
	return nil
}

// onAnswer processes a node's answer: the task runs. It goes to the client only if it is for the attempt that is out at this node.
func (l *nodeConn) onAnswer(now float64, task uint64, msg []byte) error {
	s := l.server
	description, ok := codec.Param(msg, codec.ParamDescription)
	if !ok || len(description) == 0 {
		return codec.ErrUnreadable
	}
	a := s.requestsByTask[task]
	if a == nil || a.conn != l {
		if l.abandoned[task] && (a == nil || a.node != l.node || !a.running) { // too late: it must not run beside another attempt
			s.stopTask(l.node, task)
		}
		delete(l.abandoned, task)
		return nil // else a second copy, or nobody's
	}
	l.removeRequest(a)
	if !s.host.OnStarted(now, a.allocID, a.attempt) {
		s.stopTask(l.node, task)
		return nil
	}
	s.markAnswered(a)
	a.running = true
	s.stats.served++
	s.trace("served", task, nil)
	client, sentThrough := a.client, uint64(0)
	if !a.clientGone() {
		sentThrough = client.sendCounted(func(b []byte) []byte { return codec.AppendAnswer(b, task, description) })
	}
	if sentThrough == 0 {
		s.withdraw(a)
		return nil
	}
	a.sentThrough = sentThrough
	client.verified = true
	client.running[a] = true
	l.node.running[a] = true
	a.jobClassName, a.name, a.key, a.description = nil, nil, nil, nil
	s.wake()
	return nil
}

// onEarlyEnd takes the end of an attempt that its node has not answered. Where the task had been running, its answer may still follow; the
// node is then told to end the task, as the client has its final answer.
func (l *nodeConn) onEarlyEnd(now float64, a *request, cause byte, reason logic.Reason) {
	l.removeRequest(a)
	end := outcome.EarlyEnd{Unstarted: codec.VerdictBeforeAnswer(cause), Started: codec.VerdictOfRunning(cause), Reason: reason}
	l.server.trace("ended early", a.task, func(e *zerolog.Event) { e.Str("node", l.node.name).Uint8("cause", cause).Uint8("why", uint8(reason)) })
	l.server.stats.verdicts[end.Unstarted]++
	if l.server.host.OnEarlyEnd(now, a.allocID, a.attempt, end, l.server.reportBuffer) {
		l.expectLate(a.task)
	}
	l.server.wake()
}
