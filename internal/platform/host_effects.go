package platform

import (
	"github.com/rs/zerolog"

	codec "ravenpond/internal/proto/platform"
	"ravenpond/logic"
)

// hostEffects carries out the host's effects. It implements host.Effects. Its methods are called with Server.mu held.
type hostEffects struct{ server *Server }

// RequestPlacement sends an attempt to a node. If the client has closed its connection meanwhile, the request is withdrawn instead.
func (e hostEffects) RequestPlacement(alloc uint32, attempt uint8, node uint32, timeout float64) {
	s := e.server
	r, n := s.requests.allocation(alloc), s.nodes.byNumber(node)
	r.node, r.attempt, r.attemptDeadline, r.sentOn = n, attempt, s.env.Now()+timeout, nil
	if r.clientGone() {
		s.requests.withdrawLater(r)
		return
	}
	s.telemetry.count(countAttempts)
	s.telemetry.trace("offer", r.task, func(e *zerolog.Event) { e.Str("node", n.name).Uint8("try", attempt).Float64("left", timeout) })
	n.sendAttempt(r)
}

// CancelAttempt cancels an attempt at its node.
func (e hostEffects) CancelAttempt(alloc uint32, attempt uint8, _ uint32) {
	s := e.server
	r := s.requests.allocation(alloc)
	if r == nil || r.attempt != attempt {
		return
	}
	s.telemetry.trace("give up", r.task, func(e *zerolog.Event) { e.Str("node", r.node.name).Uint8("try", attempt) })
	if r.conn != nil {
		r.conn.cancelAttempt(r)
	}
}

// MayHaveReachedOtherNode returns whether the last attempt of a request may have reached another node than the one that it was sent to.
func (e hostEffects) MayHaveReachedOtherNode(alloc uint32) bool {
	r := e.server.requests.allocation(alloc)
	return r != nil && r.node != nil && r.sentOn != nil && !r.node.knows(e.server.env.Now(), r.sentOn)
}

// StopTask stops a running task at its node.
func (e hostEffects) StopTask(alloc, _ uint32) {
	if r := e.server.requests.allocation(alloc); r != nil && r.node != nil {
		r.node.stopTask(r.task)
	}
}

// AnswerRequest answers a client that its request was shed or has failed.
func (e hostEffects) AnswerRequest(alloc uint32, shed bool) {
	s := e.server
	r := s.requests.allocation(alloc)
	if r == nil || r.answered {
		return
	}
	s.requests.markAnswered(r)
	cause := byte(codec.CauseReset)
	if shed {
		cause = codec.CauseBusy
		s.telemetry.count(countShed)
	} else {
		s.telemetry.count(countFailed)
	}
	s.telemetry.trace("answer", r.task, func(e *zerolog.Event) { e.Bool("declined", shed) })
	if r.client != nil {
		r.client.send(func(b []byte) []byte { return codec.AppendEnd(b, r.task, cause) })
	}
}

// NotifyMigration notifies a client that it has to request its task again.
func (e hostEffects) NotifyMigration(alloc uint32) {
	s := e.server
	r := s.requests.allocation(alloc)
	if r == nil {
		return
	}
	s.telemetry.count(countMoved)
	s.telemetry.trace("move", r.task, func(e *zerolog.Event) { e.Bool("owner", r.client != nil).Str("node", r.node.name) })
	s.notifier.notifyMove(r)
}

// NotifyEnd notifies a client that its task has ended.
func (e hostEffects) NotifyEnd(alloc uint32, verdict logic.Outcome) {
	s := e.server
	r := s.requests.allocation(alloc)
	if r == nil {
		return
	}
	s.telemetry.count(countEnded)
	s.telemetry.trace("over", r.task, func(e *zerolog.Event) { e.Uint8("verdict", uint8(verdict)) })
	s.notifier.notifyEnd(r, verdict)
}

// Forget drops a request that the host no longer tracks. If it may have run, its number is not used again.
func (e hostEffects) Forget(alloc uint32, mayHaveRun bool) {
	s := e.server
	r := s.requests.allocation(alloc)
	if r == nil {
		return
	}
	if mayHaveRun {
		s.usedNumbers.Add(s.env.Now(), r.task, &s.settings.Cluster.JobClasses[r.jobClass])
	}
	s.requests.forget(r)
}

// Probe sends a health check to a node.
func (e hostEffects) Probe(node, seq uint32) {
	e.server.telemetry.count(countProbes)
	e.server.nodes.byNumber(node).sendProbe(seq)
}

// PollNodeList requests the changes of the node list.
func (e hostEffects) PollNodeList() { e.server.endpoints.poll() }

// LogLine writes a line of the host to the log.
func (e hostEffects) LogLine(line string) { e.server.log.Info().Str("mode", "module").Msg(line) }
