package host

import (
	"fmt"

	"ravenpond/internal/decide/nodeidentity"
	"ravenpond/internal/decide/outcome"
	"ravenpond/logic"
)

// attemptInFlight returns the allocation if the attempt with this number is in flight or its task runs, and nil if the attempt has its outcome.
func (h *Host) attemptInFlight(id uint32, attempt int) *allocation {
	if a := h.allocations[id]; a != nil && a.inFlight && a.attempts == attempt+1 {
		return a
	}
	return nil
}

// awaitedAttempt is like attemptInFlight, but also returns nil if the outcome of the attempt is already decided.
func (h *Host) awaitedAttempt(id uint32, attempt int) *allocation {
	if a := h.attemptInFlight(id, attempt); a != nil && !a.outcomePending {
		return a
	}
	return nil
}

// startAttempt sends the next attempt of an allocation. An attempt that cannot be sent gets the outcome NotSent in a later round.
func (h *Host) startAttempt(a *allocation, node uint32, timeout float64) {
	if a.inFlight {
		h.effects.LogLine(fmt.Sprintf("refused to offer allocation %d again while its attempt %d is in flight", a.id(), a.lastAttempt()))
		return
	}
	a.node, a.sentAt, a.inFlight, a.metricReceived = node, h.now, true, false
	a.attempts++
	key := attemptKey(a.id(), a.lastAttempt())
	left := a.request.Deadline - h.now
	if timeout > 0 {
		left = min(left, timeout)
	}
	if a.answered || left <= 0 || a.attempts > h.maxAttempts {
		a.outcomePending = true
		h.timers.Set(h.now+h.roundInterval, timerUnsent, key)
		return
	}
	h.timers.Set(h.now+left, timerAttempt, key)
	h.effects.RequestPlacement(a.id(), uint8(a.lastAttempt()), node, left)
}

// cancelAttempt cancels an attempt that has not started the task. The outcome is delivered in a later round.
func (h *Host) cancelAttempt(a *allocation) {
	if a.inFlight && !a.running && !a.outcomePending {
		a.outcomePending = true
		h.effects.CancelAttempt(a.id(), uint8(a.lastAttempt()), a.node)
		h.timers.Set(h.now+h.roundInterval, timerCancelled, attemptKey(a.id(), a.lastAttempt()))
	}
}

// OnStarted handles a node's report that an attempt has started the task. It returns false if the attempt is no longer awaited; the caller
// must then stop the task.
func (h *Host) OnStarted(now float64, id uint32, attempt uint8) bool {
	a := h.awaitedAttempt(id, int(attempt))
	if a == nil || a.running || a.answered || now >= a.request.Deadline {
		return false
	}
	h.recordEvent(now)
	a.running = true
	h.runningCount++
	h.markAnswered(a)
	h.callModule(func(m *logic.Scheduler) { m.OnStarted(h.now, id, a.moduleAttempt(), h.now-a.sentAt) })
	return true
}

// OnOutcome handles the end of an attempt or of the running task that it started. The report is the node's load report; it is valid only
// during the call.
func (h *Host) OnOutcome(now float64, id uint32, attempt uint8, verdict logic.Outcome, reason logic.Reason, report []float64) {
	if a := h.awaitedAttempt(id, int(attempt)); a != nil {
		h.recordEvent(now)
		h.complete(a, verdict, reason, report)
	}
}

// MaySend reports whether the attempt in flight of an allocation may be sent on a connection. known says that the connection is known to lead to the
// node of the attempt.
func (h *Host) MaySend(id uint32, known bool) bool {
	a := h.allocations[id]
	return a != nil && nodeidentity.MaySend(&h.supervisor.cluster.JobClasses[a.request.Class], a.mayHaveRun, known)
}

// OnEarlyEnd handles the end of an attempt that a node reports before it has answered the attempt. If the task had been running, the request
// gets its final answer at once and no further attempt; otherwise the outcome is that of an attempt that never started. OnEarlyEnd returns
// whether the task had been running; if so, the node's answer may still arrive.
func (h *Host) OnEarlyEnd(now float64, id uint32, attempt uint8, end outcome.EarlyEnd, report []float64) (ran bool) {
	a := h.awaitedAttempt(id, int(attempt))
	if a == nil || a.running {
		return false
	}
	h.recordEvent(now)
	end.NoteReceived = a.metricReceived
	ran = end.Ran()
	if ran && !a.answered {
		class := h.supervisor.cluster.JobClasses[a.request.Class]
		h.answer(a, outcome.IsRetrySafeAfterRun(class.Semantics, class.IdempotencyScope))
	}
	h.complete(a, end.Unstarted, end.Reason, report)
	return ran
}

// OnTaskLost handles the loss of a running task together with its node.
func (h *Host) OnTaskLost(now float64, id uint32) {
	if a := h.allocations[id]; a != nil && a.running {
		h.recordEvent(now)
		h.complete(a, logic.ConnectionLost, logic.ReasonUnknown, nil)
	}
}

// OnNote passes a node's measurement of a task to the module.
func (h *Host) OnNote(now float64, id uint32, metric logic.TaskMetric, value float64) {
	a := h.allocations[id]
	if a == nil || !a.inFlight {
		return
	}
	h.recordEvent(now)
	a.metricReceived = true
	h.callModule(func(m *logic.Scheduler) {
		m.OnTaskMetric(h.now, logic.TaskSample{Allocation: id, Attempt: a.moduleAttempt(), Node: a.node, Metric: metric, Value: value})
	})
}

func (h *Host) onAttemptTimeout(id uint32, attempt int) {
	if a := h.awaitedAttempt(id, attempt); a != nil && !a.running {
		h.effects.CancelAttempt(id, uint8(attempt), a.node)
		h.complete(a, logic.TimedOut, logic.ReasonUnknown, nil)
	}
}

// complete ends the last attempt with an outcome and reports it to the module, and to the client if a running task ended.
func (h *Host) complete(a *allocation, verdict logic.Outcome, reason logic.Reason, report []float64) {
	if a.running {
		h.runningCount--
		if !a.suppressEndNotification {
			h.effects.NotifyEnd(a.id(), verdict)
		}
	}
	a.mayHaveRun = a.mayHaveRun || outcome.MayHaveRunAfter(verdict)
	uncertain := !a.running && h.effects.MayHaveReachedOtherNode(a.id())
	a.inFlight, a.running, a.outcomePending = false, false, false
	h.recordEstimateError(a.node, report)
	h.callModule(func(m *logic.Scheduler) {
		m.OnOutcome(h.now, logic.AttemptResult{
			Allocation: a.id(), Node: a.node, Attempt: a.moduleAttempt(), Duration: h.now - a.sentAt, NodeUncertain: uncertain,
			Answered: a.answered, Reason: reason, Outcome: verdict, Report: report,
		})
	})
	h.forgetIfDone(a)
}
