package engine

import (
	"errors"

	"ravenpond/internal/decide/outcome"
	"ravenpond/logic"
)

// attach counts a try in at its node, pull counts it out.
func (e *Engine) attach(p, nd int) {
	a, n := &e.allocations[p], &e.nodes[nd]
	a.nodeIndex, a.positionAtNode = nd, len(n.allocations)
	n.allocations = append(n.allocations, p)
	if n.released {
		e.retain(e.now, nd)
	}
}

func (e *Engine) detach(p int) {
	a := &e.allocations[p]
	n := &e.nodes[a.nodeIndex]
	last := len(n.allocations) - 1
	moved := n.allocations[last]
	n.allocations[a.positionAtNode] = moved
	e.allocations[moved].positionAtNode = a.positionAtNode
	n.allocations = n.allocations[:last]
}

// completeAttempt ends a try and tells the module.
func (e *Engine) completeAttempt(p int, verdict logic.Outcome, why logic.Reason, report []float64) {
	a := &e.allocations[p]
	ran := a.phase == phaseRunning
	e.detach(p)
	nd, id, try, took := e.nodes[a.nodeIndex].id, a.id, a.policyAttempt(), e.now-a.sentAt
	a.phase, a.confirmBy, a.waitingSince = phaseWaiting, 0, e.now
	never := verdict == logic.Rejected || verdict == logic.Unreachable || verdict == logic.NotSent
	a.mayHaveRun = a.mayHaveRun || !never
	e.effects.RecordOutcome(a.tenant, a.token, a.epoch, never)
	over := ran || a.answered
	if ran && a.client != noClient {
		e.effects.NotifyEnd(a.client, a.requestID, verdict, why)
	}
	if over {
		late := a.lateStart
		e.forgetAllocation(p)
		e.policy.OnOutcome(e.now, logic.AttemptResult{
			Allocation: id, Node: nd, Attempt: try, Duration: took,
			Answered: true, Reason: why, Outcome: verdict, Report: report,
		})
		e.resolveLateStart(late)
		return
	}
	if a.lateStart.ticket != 0 { // the earlier one runs: it serves, and the module need not try again
		late := a.lateStart
		e.policy.OnExpired(e.now, id)
		e.policy.OnOutcome(e.now, logic.AttemptResult{
			Allocation: id, Node: nd, Attempt: try, Duration: took,
			Answered: true, Reason: why, Outcome: verdict, Report: report,
		})
		e.answerWithLateStart(late, p)
		return
	}
	e.policy.OnOutcome(e.now, logic.AttemptResult{
		Allocation: id, Node: nd, Attempt: try, Duration: took, Reason: why,
		Outcome: verdict, Report: report,
	})
}

// abandonAttempt ends a try without word from its node; what may yet be heard of it is remembered.
func (e *Engine) abandonAttempt(p int, verdict logic.Outcome) {
	a := &e.allocations[p]
	if !a.recalled {
		e.recall(a)
	}
	e.rememberAbandoned(attemptID{a.ticket, a.attempt}, abandonedAttempt{
		allocationID: a.id, nodeIndex: a.nodeIndex, jobClass: a.jobClass, tenant: a.tenant,
		service: a.service, token: a.token, cores: a.cores, memory: a.memory, sentAt: a.sentAt,
	})
	if e.jobEffects[a.jobClass] != logic.Restartable {
		e.scheduleClaim(attemptID{a.ticket, a.attempt}, outcome.MaxClaims())
	}
	e.completeAttempt(p, verdict, logic.ReasonUnknown, nil)
}

// cancelUnsent ends a try that waits for its node's connection: it must not leave any more, even if that comes right now.
func (e *Engine) cancelUnsent(a *allocation) {
	a.recalled = true
	e.deferred = append(e.deferred, deferredOutcome{a.id, a.attempt, logic.NotSent})
}

func (e *Engine) recall(a *allocation) {
	a.recalled = true
	if e.nodes[a.nodeIndex].ready {
		e.effects.Recall(e.nodes[a.nodeIndex].id, a.ticket, a.attempt)
	}
}

// OnStarted is a node's word that a try runs. An error is the peer's fault: its connection should end.
func (e *Engine) OnStarted(now float64, nd uint32, ticket uint64, try uint8, took float64) error {
	e.now, e.hasEvents = now, true
	name := attemptID{ticket, try}
	if p, ok := e.findAttempt(ticket, try); ok {
		a := &e.allocations[p]
		if e.nodes[a.nodeIndex].id != nd {
			return e.errUnknownAttempt(ticket, try)
		}
		if a.phase == phaseRunning {
			return errDuplicateAnswer
		}
		e.handleStart(p, took)
		return nil
	}
	g, ok := e.abandoned[name]
	if !ok || e.nodes[g.nodeIndex].id != nd {
		return e.errUnknownAttempt(ticket, try)
	}
	if g.started {
		return errDuplicateAnswer
	}
	e.handleLateStart(name, g)
	return nil
}

func (e *Engine) handleStart(p int, took float64) {
	a := &e.allocations[p]
	a.phase, a.confirmBy = phaseRunning, 0
	late := a.lateStart
	a.lateStart = attemptID{}
	e.policy.OnStarted(e.now, a.id, a.policyAttempt(), took)
	if !a.answered {
		e.answer(a, Served, e.nodes[a.nodeIndex].id, "", 0)
	}
	if a.client == noClient { // answered before, or too late to be told
		e.stats.LateStarts++
		if outcome.OnLateStart(e.jobEffects[a.jobClass], false, false) == outcome.Stop {
			e.stop(a)
		} else {
			e.keepForRetry(a)
		}
	}
	if late.ticket != 0 { // this try was faster than the recall: the other start is one too many
		e.stopAbandoned(late)
	}
}

// stop asks the node of a running allocation to end it; a node that is away is asked when it is back.
func (e *Engine) stop(a *allocation) {
	a.stopping = true
	if e.nodes[a.nodeIndex].ready {
		e.effects.Stop(e.nodes[a.nodeIndex].id, a.ticket, a.attempt)
	}
}

// keepForRetry holds a running allocation of nobody's for its owner's next ask.
func (e *Engine) keepForRetry(a *allocation) {
	a.dueAt = e.now + outcome.LateStartRetention(e.config.SettleTime)
	e.timers.Set(a.dueAt, timerKeep, uint64(a.id))
}

// OnOutcome is a node's word on a try's outcome; never tells that the node proves that it never ran.
func (e *Engine) OnOutcome(now float64, nd uint32, ticket uint64, try uint8, verdict logic.Outcome, why logic.Reason,
	report []float64,
) error {
	e.now, e.hasEvents = now, true
	if p, ok := e.findAttempt(ticket, try); ok {
		a := &e.allocations[p]
		if e.nodes[a.nodeIndex].id != nd {
			return e.errUnknownAttempt(ticket, try)
		}
		if a.phase == phaseRunning && verdict == logic.Rejected {
			return errors.New("try refused after its start")
		}
		e.completeAttempt(p, verdict, why, report)
		return nil
	}
	name := attemptID{ticket, try}
	if g, ok := e.abandoned[name]; ok && e.nodes[g.nodeIndex].id == nd {
		e.forgetAbandoned(name)
		if p, ok := e.byID[g.allocationID]; ok && e.allocations[p].lateStart == name {
			e.allocations[p].lateStart = attemptID{}
		}
		return nil
	}
	return e.errUnknownAttempt(ticket, try)
}

// OnNote is a node's word on a running allocation. One that has just ended may still be named.
func (e *Engine) OnNote(now float64, nd uint32, ticket uint64, try uint8, kind logic.TaskMetric, value float64) error {
	e.now, e.hasEvents = now, true
	if p, ok := e.findAttempt(ticket, try); ok && e.nodes[e.allocations[p].nodeIndex].id == nd {
		a := &e.allocations[p]
		e.policy.OnTaskMetric(now, logic.TaskSample{Allocation: a.id, Attempt: a.policyAttempt(), Node: nd, Metric: kind, Value: value})
	}
	return nil
}

// OnSharedReport is a load report that another engine heard from a node.
func (e *Engine) OnSharedReport(now float64, nd uint32, report []float64) {
	e.now = now
	e.policy.OnOutcome(now, logic.AttemptResult{
		Allocation: 0, Node: nd, Answered: true, Outcome: logic.Completed,
		Report: report,
	}) // no allocation has the number 0
}

// policyAttempt is the number by which the module knows the try: what was found is its first.
func (a *allocation) policyAttempt() uint8 {
	if a.recovered {
		return 0
	}
	return a.attempt
}
