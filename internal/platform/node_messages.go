package platform

import (
	"errors"
	"io"

	"github.com/rs/zerolog"

	"ravenpond/internal/decide/endedtasks"
	"ravenpond/internal/decide/nodefailure"
	"ravenpond/internal/decide/outcome"
	"ravenpond/internal/env"
	codec "ravenpond/internal/proto/platform"
	"ravenpond/logic"
)

// OnData processes received bytes; nil means that the node has closed its side.
func (c *nodeConn) OnData(b []byte) {
	s := c.server
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.env.Now()
	if c.closed {
		c.onLateData(now, b)
		return
	}
	if b == nil {
		c.history.ClosedAt = now
		c.onBroken("closed")
		return
	}
	c.node.failureDetector.OnContact(now)
	c.history.ReceivedAt = now
	c.node.identity.OnReceived(c.history)
	rest, err := splitMessages(c.partial, b, func(msg []byte) error {
		if c.closed {
			return c.onLateMessage(now, msg)
		}
		return c.onMessage(now, msg)
	})
	if c.closed {
		c.endLateRead(now, err, rest)
		return
	}
	if err != nil {
		c.onMalformed(err)
		return
	}
	c.partial = rest
	s.loop.wake()
}

// OnClose is called when the connection has ended.
func (c *nodeConn) OnClose(err error) {
	c.server.mu.Lock()
	defer c.server.mu.Unlock()
	switch {
	case !c.closed:
		c.onBroken(err.Error())
	case !errors.Is(err, env.ErrClosed): // it ended by itself while it was being closed here
		c.onPeerDone(errors.Is(err, io.EOF))
	}
}

// onMessage processes one message. An error wraps codec.ErrUnreadable and means that the connection can't be read any further.
func (c *nodeConn) onMessage(now float64, msg []byte) error {
	s, task := c.server, codec.Task(msg)
	s.telemetry.traceNodeMessage(c, msg)
	switch codec.Kind(msg) {
	case codec.KindAnswer:
		return c.onAnswer(now, task, msg)
	case codec.KindEnd:
		return c.onEnd(now, task, msg)
	case codec.KindNote:
		metric, value, ok := codec.ParseNote(msg)
		if r := s.requests.task(task); ok && r != nil && r.node == c.node && (r.running || r.conn == c) {
			c.onTaskReported(r)
			s.host.OnNote(now, r.allocID, metric, value)
		}
		return nil
	case codec.KindHealthCheckResult:
		return c.onTested(now, task, msg)
	case codec.KindProgress, codec.KindEndAck:
		return nil
	}
	return codec.ErrUnreadable
}

// onAnswer processes a node's answer, which says that the task runs. The client is answered only if the attempt is in flight on this connection.
func (c *nodeConn) onAnswer(now float64, task uint64, msg []byte) error {
	s := c.server
	description, ok := codec.Param(msg, codec.ParamDescription)
	if !ok || len(description) == 0 {
		return codec.ErrUnreadable
	}
	r := s.requests.task(task)
	if r == nil || r.conn != c {
		c.onStrayAnswer(task, r)
		return nil
	}
	c.removeRequest(r)
	if !s.host.OnStarted(now, r.allocID, r.attempt) {
		c.node.stopTask(task)
		return nil
	}
	s.requests.markAnswered(r)
	r.running, r.placed = true, nodefailure.Answered(now, c.history)
	s.telemetry.count(countServed)
	s.telemetry.trace("served", task, nil)
	if r.clientGone() || !r.client.sendAnswer(r, description) {
		s.requests.withdraw(r)
		return nil
	}
	c.node.addTask(r)
	r.fields = taskFields{}
	s.loop.wake()
	return nil
}

// onStrayAnswer processes the answer to an attempt that is not in flight on this connection. If the attempt was abandoned here, its task is stopped,
// as it must not run beside that of another attempt. Any other such answer is a duplicate.
func (c *nodeConn) onStrayAnswer(task uint64, r *request) {
	if c.abandoned[task] && (r == nil || r.node != c.node || !r.running) {
		c.node.stopTask(task)
	}
	delete(c.abandoned, task)
}

// onEnd processes the end of an attempt or of a running task.
func (c *nodeConn) onEnd(now float64, task uint64, msg []byte) error {
	cause, ok := codec.CauseOf(msg)
	if !ok {
		return codec.ErrUnreadable
	}
	s := c.server
	report := s.nodes.parseReport(msg)
	c.node.stops.Confirm(task)
	r := s.requests.task(task)
	if r == nil {
		c.onUnclaimedEnd(now, task, cause)
		return nil
	}
	if r.node != c.node {
		return nil
	}
	reason := codec.ReasonOf(msg)
	if r.conn == c {
		if cause != codec.CauseNormal || !codec.HasDescription(msg) {
			c.onEarlyEnd(now, r, cause, attemptOutcome{reason: reason, report: report})
			return nil
		}
		if err := c.onAnswer(now, task, msg); err != nil { // the task's start and end came in one message
			return err
		}
	}
	if r.running {
		c.onTaskReported(r)
		verdict := codec.VerdictOfRunning(cause)
		c.rememberEnd(now, task, verdict)
		s.requests.complete(r, attemptOutcome{verdict, reason, report})
	}
	return nil
}

// onUnclaimedEnd processes the end of a task that the scheduler does not hold: it belongs to another scheduler, its client was notified before, or
// its client hands it over in a moment.
func (c *nodeConn) onUnclaimedEnd(now float64, task uint64, cause byte) {
	s := c.server
	remembered := endedtasks.IsEndOfRun(codec.VerdictBeforeAnswer(cause))
	s.telemetry.count(countUnclaimedEnds)
	s.telemetry.trace("unclaimed end", task, func(e *zerolog.Event) {
		e.Str("node", c.node.name).Uint8("cause", cause).Bool("remembered", remembered)
	})
	if remembered {
		c.rememberEnd(now, task, codec.VerdictOfRunning(cause))
	}
}

// onEarlyEnd processes the end of an attempt that its node has not answered. If the task was running, its answer may still follow; the node is then
// told to stop the task, as the client has its final answer.
func (c *nodeConn) onEarlyEnd(now float64, r *request, cause byte, o attemptOutcome) {
	s := c.server
	c.removeRequest(r)
	end := outcome.EarlyEnd{Unstarted: codec.VerdictBeforeAnswer(cause), Started: codec.VerdictOfRunning(cause), Reason: o.reason}
	s.telemetry.trace("ended early", r.task, func(e *zerolog.Event) {
		e.Str("node", c.node.name).Uint8("cause", cause).Uint8("why", uint8(o.reason))
	})
	s.telemetry.countOutcome(end.Unstarted)
	s.telemetry.logFailedAttempt(r, end.Unstarted)
	if s.host.OnEarlyEnd(now, r.allocID, r.attempt, end, o.report) {
		c.expectLateAnswer(r.task)
	}
	s.loop.wake()
}

// onTested processes the answer to a health check.
func (c *nodeConn) onTested(now float64, task uint64, msg []byte) error {
	cause, ok := codec.CauseOf(msg)
	if !ok {
		return codec.ErrUnreadable
	}
	if c.probeSeq == 0 || task != uint64(c.probeSeq) {
		return nil
	}
	s, seq := c.server, c.probeSeq
	c.node.stops.OnAnswered(c.number, c.probeSentAt)
	c.probeSeq, c.idleSince = 0, now
	verdict := logic.Completed
	if cause == 0 {
		verdict = logic.Errored
	}
	s.host.OnProbeResult(now, c.node.id, seq, verdict, s.nodes.parseReport(msg))
	return nil
}
