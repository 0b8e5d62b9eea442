package host

import (
	"maps"
	"slices"

	"ravenpond/internal/decide/outcome"
	"ravenpond/logic"
)

// allocation is a placement request with its attempts and, once one of them has started it, its running task.
type allocation struct {
	request                 logic.Request
	node                    uint32  // target of the last attempt
	sentAt                  float64 // time of the last attempt
	attempts                int
	attemptsBeforeModule    int  // attempts that were made by earlier modules, before the current one was started
	inFlight                bool // the last attempt has no outcome yet; true also while the task runs
	running                 bool // the last attempt has started the task
	migrating               bool // the client was told to request the task again
	answered                bool // the request has received its final answer, or needs none
	suppressEndNotification bool // the client is not notified of the end of the task
	mayHaveRun              bool // an attempt that has ended may have run
	metricReceived          bool // the node has sent a measurement for the last attempt
	outcomePending          bool // a timer is set that delivers the outcome of the last attempt
}

func (a *allocation) id() uint32 { return a.request.Allocation }

// lastAttempt returns the number of the last attempt. Attempts are numbered from 0.
func (a *allocation) lastAttempt() int { return a.attempts - 1 }

// moduleAttempt returns the number under which the current module knows the last attempt.
func (a *allocation) moduleAttempt() uint8 { return uint8(a.attempts - 1 - a.attemptsBeforeModule) }

// add stores an allocation under a new ID and returns the ID.
func (h *Host) add(a *allocation) uint32 {
	h.lastID++
	a.request.Allocation = h.lastID
	h.allocations[h.lastID] = a
	return h.lastID
}

// Allocate accepts a request and returns the ID of its allocation.
func (h *Host) Allocate(now float64, request logic.Request) uint32 {
	h.recordEvent(now)
	a := &allocation{request: request}
	id := h.add(a)
	h.openCount++
	h.deadlines.Set(request.Deadline, timerDeadline, uint64(id))
	h.callModule(func(m *logic.Scheduler) { m.OnRequest(h.now, a.request) })
	return id
}

// RecoverTask takes over a task that already runs on a node, and returns the ID of its allocation. The request is not answered; the client is
// notified only of the end of the task.
func (h *Host) RecoverTask(now float64, task logic.Recovered) uint32 {
	h.recordEvent(now)
	a := &allocation{request: task.Request, node: task.Node, sentAt: h.now, attempts: 1, inFlight: true, running: true, answered: true}
	id := h.add(a)
	h.runningCount++
	h.callModule(func(m *logic.Scheduler) { m.OnRecovered(h.now, a.recovered()) })
	return id
}

// recovered returns a running allocation in the form in which a new module takes it over.
func (a *allocation) recovered() logic.Recovered {
	task := logic.Recovered{Request: a.request, Node: a.node}
	task.Deadline = 0
	return task
}

// OnWithdrawn handles a client's withdrawal of an allocation, whether its request is open or its task runs. The client gets neither an answer
// nor a notification.
func (h *Host) OnWithdrawn(now float64, id uint32) {
	a := h.allocations[id]
	if a == nil || a.suppressEndNotification {
		return
	}
	h.recordEvent(now)
	a.suppressEndNotification = true
	switch {
	case a.running:
		h.effects.StopTask(id, a.node)
		h.timers.Set(h.now+outcome.EndTimeout(), timerStopUnconfirmed, attemptKey(id, a.lastAttempt()))
		h.callModule(func(m *logic.Scheduler) { m.OnExpired(h.now, id) })
	case !a.answered:
		h.closeRequest(a)
		h.abandon(a)
	}
}

// onDeadline answers an open request, because its client stops waiting or will have stopped when a later answer arrives: shed where a retry is
// safe, else failed.
func (h *Host) onDeadline(id uint32) {
	if a := h.allocations[id]; a != nil && !a.answered {
		semantics := h.supervisor.cluster.JobClasses[a.request.Class].Semantics
		h.answer(a, !a.inFlight && outcome.IsRetrySafeAfterLoss(semantics, a.attempts))
		h.abandon(a)
	}
}

// answerAll gives all open requests their final answer: shed where a retry is safe, else failed.
func (h *Host) answerAll(isRetrySafe func(*allocation) bool) {
	for _, id := range slices.Sorted(maps.Keys(h.allocations)) {
		if a := h.allocations[id]; a != nil && !a.answered {
			h.answer(a, isRetrySafe(a))
			h.abandon(a)
		}
	}
}

// answer sends a final answer that the host, not the module, decided on.
func (h *Host) answer(a *allocation, shed bool) {
	h.effects.AnswerRequest(a.id(), shed)
	h.closeRequest(a)
}

// closeRequest marks a request as answered and tells the module that it no longer needs an answer.
func (h *Host) closeRequest(a *allocation) {
	h.markAnswered(a)
	h.callModule(func(m *logic.Scheduler) { m.OnExpired(h.now, a.id()) })
}

// abandon cancels the attempt in flight of an answered allocation, and drops the allocation if there is none.
func (h *Host) abandon(a *allocation) {
	h.cancelAttempt(a)
	h.forgetIfDone(a)
}

func (h *Host) markAnswered(a *allocation) {
	if !a.answered {
		a.answered = true
		h.openCount--
	}
}

func (h *Host) forgetIfDone(a *allocation) {
	if a.answered && !a.inFlight {
		delete(h.allocations, a.id())
		h.effects.Forget(a.id(), a.mayHaveRun)
	}
}
