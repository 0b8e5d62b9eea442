package host

import (
	"maps"
	"slices"

	"ravenpond/internal/decide/outcome"
	"ravenpond/logic"
)

// allocation is one request with its attempts, and then its running task.
type allocation struct {
	request                 logic.Request
	node                    uint32  // of the last attempt
	sentAt                  float64 // time of the last attempt
	attempts                int
	attemptsBeforeModule    int  // attempts that were made by modules before the present one
	inFlight                bool // the last attempt has no outcome yet; it stays so while the task runs
	running                 bool // the last attempt started the task
	migrating               bool // the client was told to request the task anew
	answered                bool // the request has its final answer, or needs none
	suppressEndNotification bool // the client is not to be told of the end
	metricReceived          bool // the node sent a note on the last attempt
	outcomePending          bool // a timer will deliver the outcome of the last attempt
}

func (a *allocation) id() uint32 { return a.request.Allocation }

// lastAttempt returns the number of the last attempt, from 0.
func (a *allocation) lastAttempt() int { return a.attempts - 1 }

// moduleAttempt returns the number by which the present module knows the last attempt.
func (a *allocation) moduleAttempt() uint8 { return uint8(a.attempts - 1 - a.attemptsBeforeModule) }

// add gives an allocation its number.
func (h *Host) add(a *allocation) uint32 {
	h.lastID++
	a.request.Allocation = h.lastID
	h.allocations[h.lastID] = a
	return h.lastID
}

// Allocate takes a request and returns the number that it gives to the allocation.
func (h *Host) Allocate(now float64, request logic.Request) uint32 {
	h.recordEvent(now)
	a := &allocation{request: request}
	id := h.add(a)
	h.openCount++
	h.timers.Set(request.Deadline, timerDeadline, uint64(id))
	h.callModule(func(m *logic.Scheduler) { m.OnRequest(h.now, a.request) })
	return id
}

// RecoverTask takes a task that runs at a node already, and returns the number that it gives to the allocation. No answer is given for it,
// only its end is told.
func (h *Host) RecoverTask(now float64, task logic.Recovered) uint32 {
	h.recordEvent(now)
	a := &allocation{request: task.Request, node: task.Node, sentAt: h.now, attempts: 1, inFlight: true, running: true, answered: true}
	id := h.add(a)
	h.runningCount++
	h.callModule(func(m *logic.Scheduler) { m.OnRecovered(h.now, a.recovered()) })
	return id
}

// recovered returns a running allocation as a module takes it over.
func (a *allocation) recovered() logic.Recovered {
	task := logic.Recovered{Request: a.request, Node: a.node}
	task.Deadline = 0
	return task
}

// OnWithdrawn says that the client no longer wants an allocation, whether it waits or runs. The client gets no answer and no notification.
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

// onDeadline fails a request whose client stops waiting.
func (h *Host) onDeadline(id uint32) {
	if a := h.allocations[id]; a != nil && !a.answered {
		h.answer(a, false)
		h.abandon(a)
	}
}

// answerAll gives all open requests their final answer: shed where a retry does no harm, else failed.
func (h *Host) answerAll(isRetrySafe func(*allocation) bool) {
	for _, id := range slices.Sorted(maps.Keys(h.allocations)) {
		if a := h.allocations[id]; a != nil && !a.answered {
			h.answer(a, isRetrySafe(a))
			h.abandon(a)
		}
	}
}

// answer gives a request a final answer that the module did not decide.
func (h *Host) answer(a *allocation, shed bool) {
	h.effects.AnswerRequest(a.id(), shed)
	h.closeRequest(a)
}

// closeRequest tells the module that a request needs no answer any more.
func (h *Host) closeRequest(a *allocation) {
	h.markAnswered(a)
	h.callModule(func(m *logic.Scheduler) { m.OnExpired(h.now, a.id()) })
}

// abandon drops an allocation that needs no answer any more, with its attempt in flight.
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
		h.effects.Forget(a.id())
	}
}
