package platform

import (
	"github.com/rs/zerolog"

	codec "ravenpond/internal/proto/platform"
	"ravenpond/logic"
)

// hostEffects carries out the host's effects.
type hostEffects struct{ *Server }

func (s hostEffects) AnswerRequest(alloc uint32, declined bool) {
	a := s.requestsByAlloc[alloc]
	if a == nil || a.answered {
		return
	}
	s.markAnswered(a)
	cause := byte(codec.CauseReset)
	if declined {
		cause = codec.CauseBusy
		s.stats.shed++
	} else {
		s.stats.failed++
	}
	s.trace("answer", a.task, func(e *zerolog.Event) { e.Bool("declined", declined) })
	if a.client != nil {
		a.client.send(func(b []byte) []byte { return codec.AppendEnd(b, a.task, cause) })
	}
}

// withdrawDeparted gives up a request whose client has closed its connection.
func (s *Server) withdrawDeparted(a *request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !a.answered {
		s.withdraw(a)
	}
}

// markAnswered counts a request out of those that are open. Its task's number is free from then on, unless the task runs.
func (s *Server) markAnswered(a *request) {
	a.answered = true
	s.admission.Release(a.tenant)
	if a.client != nil {
		delete(a.client.openRequests, a.task)
	}
}

func (s hostEffects) NotifyEnd(alloc uint32, v logic.Outcome) {
	a := s.requestsByAlloc[alloc]
	if a == nil {
		return
	}
	s.stats.ended++
	s.trace("over", a.task, func(e *zerolog.Event) { e.Uint8("verdict", uint8(v)) })
	s.notifyEnd(a, map[logic.Outcome]byte{logic.Completed: codec.CauseNormal, logic.Cancelled: codec.CauseElsewhere}[v])
}

func (s hostEffects) Forget(alloc uint32) {
	a := s.requestsByAlloc[alloc]
	if a == nil {
		return
	}
	delete(s.requestsByAlloc, alloc)
	if s.requestsByTask[a.task] == a {
		delete(s.requestsByTask, a.task)
	}
	if a.client != nil {
		delete(a.client.running, a)
	}
	if a.node != nil {
		delete(a.node.running, a)
	}
}

func (s hostEffects) NotifyMove(alloc uint32) {
	if a := s.requestsByAlloc[alloc]; a != nil {
		s.stats.moved++
		s.trace("move", a.task, func(e *zerolog.Event) { e.Bool("owner", a.client != nil).Str("node", a.node.name) })
		s.notify(a, notification{task: a.task})
	}
}

func (s hostEffects) PollEndpoints() { s.endpoints.pollRequested = true }

func (s hostEffects) LogLine(line string) { s.log.Info().Str("mode", "module").Msg(line) }

func (s hostEffects) RequestPlacement(alloc uint32, attempt uint8, node uint32, left float64) {
	a, p := s.requestsByAlloc[alloc], s.nodes[node]
	a.node, a.attempt, a.attemptDeadline = p, attempt, s.env.Now()+left
	if a.clientGone() { // the host hears of it when it can
		s.env.After(0, func() { s.withdrawDeparted(a) })
		return
	}
	s.stats.attempts++
	s.trace("offer", a.task, func(e *zerolog.Event) { e.Str("node", p.name).Uint8("try", attempt).Float64("left", left) })
	s.sendAttempt(a, p)
}

func (s hostEffects) CancelAttempt(alloc uint32, attempt uint8, _ uint32) {
	if a := s.requestsByAlloc[alloc]; a != nil && a.attempt == attempt {
		s.trace("give up", a.task, func(e *zerolog.Event) { e.Str("node", a.node.name).Uint8("try", attempt) })
		s.cancelAttempt(a)
	}
}

func (s hostEffects) StopTask(alloc uint32, _ uint32) {
	if a := s.requestsByAlloc[alloc]; a != nil && a.node != nil {
		s.stopTask(a.node, a.task)
	}
}

func (s hostEffects) Probe(node, seq uint32) {
	s.stats.probes++
	s.sendProbe(s.nodes[node], seq)
}

// completeAttempt tells the host how an attempt, or a running task, has ended.
func (s *Server) completeAttempt(a *request, verdict logic.Outcome, reason logic.Reason, report []float64) {
	s.stats.verdicts[verdict]++
	s.trace("settled", a.task, func(e *zerolog.Event) {
		e.Uint8("verdict", uint8(verdict)).Uint8("why", uint8(reason)).Floats64("report", report).Bool("stood", a.running)
		if a.node == nil {
			return
		}
		e.Str("node", a.node.name)
		if b, ok := s.host.Belief(a.node.id); ok {
			e.Floats64("believed", []float64{b.Cores, b.Memory}).Float64("strain", b.Degradation).Float64("risk", b.FailureRate).Bool("ill", b.Unhealthy)
		}
	})
	s.host.OnOutcome(s.env.Now(), a.allocID, a.attempt, verdict, reason, report)
	s.wake()
}
