package engine

import (
	"errors"
	"fmt"

	"ravenpond/internal/decide/outcome"
	"ravenpond/logic"
)

// Protocol violations by nodes. The texts are sent to the node as the reason for disconnecting it.
var (
	ErrDuplicateAnswer    = errors.New("second answer for a try")
	ErrRejectedAfterStart = errors.New("try refused after its start")
)

// UnknownAttemptError is returned for a message about an attempt that was not sent to the node or that has ended.
type UnknownAttemptError struct{ Attempt AttemptID }

func (e *UnknownAttemptError) Error() string {
	return fmt.Sprintf("answer for unknown try %x.%d", e.Attempt.Ticket, e.Attempt.Number)
}

// outcomeOf returns an outcome that the engine concluded itself, without a report from the node.
func outcomeOf(result logic.Outcome) Outcome {
	return Outcome{Result: result, Reason: logic.ReasonUnknown}
}

// OnStarted handles a node's message that the task of an attempt is running. An error means that the node violated the
// protocol.
func (e *Engine) OnStarted(now float64, nodeID uint32, id AttemptID, startDuration float64) error {
	e.observe(now)
	if slot, ok := e.findAttempt(id); ok {
		a := &e.allocations[slot]
		switch {
		case e.nodes[a.nodeIndex].id != nodeID:
			return &UnknownAttemptError{id}
		case a.phase == phaseRunning:
			return ErrDuplicateAnswer
		}
		e.handleStart(slot, startDuration)
		return nil
	}
	entry, ok := e.abandoned[id]
	switch {
	case !ok || e.nodes[entry.nodeIndex].id != nodeID:
		return &UnknownAttemptError{id}
	case entry.started:
		return ErrDuplicateAnswer
	}
	e.handleLateStart(id, entry)
	return nil
}

// OnOutcome handles a node's message that an attempt has ended. An error means that the node violated the protocol.
func (e *Engine) OnOutcome(now float64, nodeID uint32, o Outcome) error {
	e.observe(now)
	if slot, ok := e.findAttempt(o.Attempt); ok {
		a := &e.allocations[slot]
		switch {
		case e.nodes[a.nodeIndex].id != nodeID:
			return &UnknownAttemptError{o.Attempt}
		case a.phase == phaseRunning && o.Result == logic.Rejected:
			return ErrRejectedAfterStart
		}
		e.completeAttempt(slot, o)
		return nil
	}
	if e.endAbandoned(nodeID, o.Attempt) {
		return nil
	}
	return &UnknownAttemptError{o.Attempt}
}

// OnNote handles a node's metric of a running task. The message is ignored if the task has just ended.
func (e *Engine) OnNote(now float64, nodeID uint32, id AttemptID, kind logic.TaskMetric, value float64) {
	e.observe(now)
	if slot, ok := e.findAttempt(id); ok && e.nodes[e.allocations[slot].nodeIndex].id == nodeID {
		a := &e.allocations[slot]
		e.policy.OnTaskMetric(now, logic.TaskSample{
			Allocation: a.id, Attempt: a.policyAttempt(), Node: nodeID, Metric: kind, Value: value,
		})
	}
}

// OnSharedReport handles a load report that a node sent in an answer to another engine.
func (e *Engine) OnSharedReport(now float64, nodeID uint32, report []float64) {
	e.now = now
	// No allocation has the number 0, so the policy uses only the report.
	e.policy.OnOutcome(now, logic.AttemptResult{
		Node: nodeID, Answered: true, Reason: logic.ReasonUnknown, Outcome: logic.Completed, Report: report,
	})
}

// attach adds an allocation to the list of the node of its attempt.
func (e *Engine) attach(slot, nodeIndex int) {
	a, n := &e.allocations[slot], &e.nodes[nodeIndex]
	a.nodeIndex, a.nodeSlot = nodeIndex, len(n.allocations)
	n.allocations = append(n.allocations, slot)
	if n.released {
		e.retain(e.now, nodeIndex)
	}
}

// detach removes an allocation from the list of the node of its attempt. The last element of the list takes its place.
func (e *Engine) detach(slot int) {
	a := &e.allocations[slot]
	n := &e.nodes[a.nodeIndex]
	last := len(n.allocations) - 1
	moved := n.allocations[last]
	n.allocations[a.nodeSlot] = moved
	e.allocations[moved].nodeSlot = a.nodeSlot
	n.allocations = n.allocations[:last]
}

// completeAttempt ends an attempt and reports its outcome to the policy. If the request has been answered, the allocation ends with
// the attempt. If an earlier attempt has started in the meantime, its start answers the request. Otherwise the policy continues with
// the allocation.
func (e *Engine) completeAttempt(slot int, o Outcome) {
	a := &e.allocations[slot]
	ran := a.phase == phaseRunning
	e.detach(slot)
	result := logic.AttemptResult{
		Allocation: a.id, Node: e.nodes[a.nodeIndex].id, Attempt: a.policyAttempt(), Duration: e.now - a.sentAt,
		Reason: o.Reason, Outcome: o.Result, Report: o.Report,
	}
	a.phase, a.confirmBy, a.waitingSince = phaseWaiting, 0, e.now
	neverRan := o.Result == logic.Rejected || o.Result == logic.Unreachable || o.Result == logic.NotSent
	a.mayHaveRun = a.mayHaveRun || !neverRan
	e.effects.RecordOutcome(a.owned(), neverRan)
	if ran && a.request.Client != noClient {
		e.effects.NotifyEnd(a.request, o.Result, o.Reason)
	}
	lateStart := a.lateStart
	switch {
	case ran || a.answered:
		result.Answered = true
		e.removeAllocation(slot)
		e.policy.OnOutcome(e.now, result)
		e.resolveLateStart(lateStart)
	case !lateStart.IsZero():
		result.Answered = true
		e.policy.OnExpired(e.now, result.Allocation) // so that it makes no further attempt
		e.policy.OnOutcome(e.now, result)
		e.answerWithLateStart(lateStart, slot)
	default:
		e.policy.OnOutcome(e.now, result)
	}
}

// abandonAttempt ends an attempt that its node has not answered. The attempt is recorded as abandoned, because the node may still start it.
func (e *Engine) abandonAttempt(slot int, result logic.Outcome) {
	a := &e.allocations[slot]
	if !a.recalled {
		e.recall(a)
	}
	id, class := a.attempt, a.task.JobClass
	e.recordAbandoned(id, abandonedAttempt{allocationID: a.id, nodeIndex: a.nodeIndex, task: a.task, sentAt: a.sentAt})
	if e.retrySemantics[class] != logic.Restartable {
		e.scheduleClaims(id, outcome.MaxClaims())
	}
	e.completeAttempt(slot, outcomeOf(result))
}

// deferredOutcome is the outcome of an attempt that was not sent. It is reported to the policy in the next round, because the policy
// may be in the middle of a decision.
type deferredOutcome struct {
	allocationID uint32
	attempt      uint8
	result       logic.Outcome
}

// cancelAttempt cancels an attempt that is waiting for its connection, and recalls one that is in flight.
func (e *Engine) cancelAttempt(a *allocation) {
	switch a.phase {
	case phaseConnecting:
		e.cancelUnsent(a)
	case phaseInFlight:
		if !a.recalled {
			e.recall(a)
		}
	}
}

// cancelUnsent cancels an attempt that is waiting for the connection to its node. It will not be sent, even if the connection is made
// before the next round.
func (e *Engine) cancelUnsent(a *allocation) {
	a.recalled = true
	e.deferred = append(e.deferred, deferredOutcome{a.id, a.attempt.Number, logic.NotSent})
}

// recall asks the node of an attempt in flight to return it.
func (e *Engine) recall(a *allocation) {
	a.recalled = true
	if n := &e.nodes[a.nodeIndex]; n.ready {
		e.effects.Recall(n.id, a.attempt)
	}
}

// handleStart handles the start of an allocation's latest attempt and answers the request.
func (e *Engine) handleStart(slot int, startDuration float64) {
	a := &e.allocations[slot]
	a.phase, a.confirmBy = phaseRunning, 0
	late := a.lateStart
	a.lateStart = AttemptID{}
	e.policy.OnStarted(e.now, a.id, a.policyAttempt(), startDuration)
	if !a.answered {
		e.answer(a, Answer{Kind: Served, Node: e.nodes[a.nodeIndex].id})
	}
	if a.request.Client == noClient { // the request was answered before, or its deadline has passed
		e.stats.LateStarts++
		if outcome.OnLateStart(e.retrySemantics[a.task.JobClass], false, false) == outcome.Stop {
			e.stopTask(a)
		} else {
			e.keepForRetry(a)
		}
	}
	if !late.IsZero() { // the latest attempt started before it could be recalled, so the earlier one is stopped
		e.stopAbandoned(late)
	}
}

// stopTask asks the node of a running task to stop it. A node that is not connected is asked when it reconnects.
func (e *Engine) stopTask(a *allocation) {
	a.stopping = true
	if n := &e.nodes[a.nodeIndex]; n.ready {
		e.effects.Stop(n.id, a.attempt)
	}
}

// keepForRetry keeps a running task that has no client long enough for its client to retry the request.
func (e *Engine) keepForRetry(a *allocation) {
	a.dueAt = e.now + outcome.LateStartRetention(e.config.SettleTime)
	e.timers.Set(a.dueAt, timerRetention, uint64(a.id))
}
