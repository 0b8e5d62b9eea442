package engine

import (
	"fmt"

	"ravenpond/internal/decide/admission"
	"ravenpond/internal/decide/outcome"
)

// Allocate handles a client's request. An error means that the client violated the protocol, and no answer follows.
func (e *Engine) Allocate(now float64, r Request) error {
	e.observe(now)
	if _, ok := e.requests[r.ID]; ok {
		return fmt.Errorf("request %d has not ended", r.ID.Number)
	}
	key := r.Task.Key()
	if slot, ok := e.byKey[key]; ok {
		e.answerDuplicate(slot, r.ID)
		return nil
	}
	if e.closed && r.Epoch > 0 {
		e.declineAdmitted(&r, ReasonShuttingDown)
		return nil
	}
	if r.Epoch == 0 {
		e.stats.Rejected++
		e.effects.Answer(r.ID, Answer{Kind: Declined, Reason: ReasonJustEnded})
		return nil
	}
	if reason := e.admit(&r); reason != admission.Admitted {
		e.reject(&r, reason)
		return nil
	}
	e.stats.Admitted++
	slot, a := e.newAllocation()
	a.task, a.epoch = r.Task, r.Epoch
	e.setClient(slot, r.ID)
	a.deadline, a.waitingSince = now+r.TimeLeft, now
	e.deadlines.heap.Set(a.deadline, struct{}{}, uint64(a.id))
	e.byKey[key] = slot
	request := a.task.policyRequest(a.id)
	request.Deadline = a.deadline - e.config.AnswerMargin
	e.policy.OnRequest(now, request)
	return nil
}

// minPlacementRounds is the minimum number of rounds that it takes to place an allocation.
const minPlacementRounds = 4

// admit decides whether a request is admitted.
func (e *Engine) admit(r *Request) admission.Verdict {
	needed := e.config.AnswerMargin + minPlacementRounds*e.config.Cluster.MinRoundInterval
	return e.admission.Admit(r.Task.Tenant, r.TimeLeft, needed, e.fitsAnyMachine(&r.Task))
}

// reject declines a request that is not admitted.
func (e *Engine) reject(r *Request, reason admission.Verdict) {
	e.declineAdmitted(r, AnswerReason(reason.String()))
}

// declineAdmitted declines a request whose task this engine owns, and releases the ownership.
func (e *Engine) declineAdmitted(r *Request, reason AnswerReason) {
	task := OwnedTask{TaskKey: r.Task.Key(), Epoch: r.Epoch}
	e.stats.Rejected++
	if e.effects.PermitAnswer(task, false) {
		e.effects.Answer(r.ID, Answer{Kind: Declined, Reason: reason})
	}
	e.effects.ReleaseTask(task, r.Task.Service)
}

// answerDuplicate answers a request whose idempotency key belongs to an open or running allocation. The task is not started a second
// time.
func (e *Engine) answerDuplicate(slot int, request RequestID) {
	a := &e.allocations[slot]
	switch {
	case a.phase == phaseRunning:
		e.clearClient(a)
		e.setClient(slot, request)
		e.effects.SetClient(a.owned(), request)
		e.stats.Served++
		e.effects.Answer(request, Answer{Kind: Served, Node: e.nodes[a.nodeIndex].id, Reason: ReasonRunning})
	case !a.answered:
		e.stats.Rejected++
		e.effects.Answer(request, Answer{Kind: Declined, Reason: ReasonAlreadyOpen})
	default: // an earlier attempt is still in progress, and its outcome decides whether a retry may start the task
		e.stats.Rejected++
		e.effects.Answer(request, Answer{Kind: Declined, Reason: ReasonEarlierAttemptPending})
	}
}

// fitsAnyMachine reports whether a task fits on an empty machine of a kind that its job class allows.
func (e *Engine) fitsAnyMachine(t *Task) bool {
	cluster := e.config.Cluster
	needed := cluster.JobClasses[t.JobClass].NodeKind // negative: any kind
	for kind := range cluster.KindCores {
		if (needed < 0 || needed == kind) &&
			t.Cores <= cluster.KindCores[kind]*cluster.CoresOvercommit && t.Memory <= cluster.KindMemory[kind]*cluster.MemoryOvercommit {
			return true
		}
	}
	return false
}

// answer gives the final answer to an allocation's request. After the client's deadline nothing is sent, because the client has
// given up by then.
func (e *Engine) answer(a *allocation, answer Answer) {
	a.answered = true
	e.admission.Release(a.task.Tenant)
	if a.request.Client == noClient {
		return
	}
	if e.now >= a.deadline {
		e.stats.Expired++
		e.effects.ExpireRequest(a.request)
		e.clearClient(a)
		return
	}
	if !e.effects.PermitAnswer(a.owned(), answer.Kind == Served) {
		e.clearClient(a)
		return
	}
	switch answer.Kind {
	case Served:
		e.stats.Served++
	case Declined:
		e.stats.Declined++
	case Failed:
		e.stats.Failed++
	}
	e.effects.Answer(a.request, answer)
	if answer.Kind != Served {
		e.clearClient(a)
	}
}

// Withdraw ends a request that its client withdraws: an open request is answered at once, a running task is stopped. An error means
// that there is no such request.
func (e *Engine) Withdraw(now float64, request RequestID) error {
	e.observe(now)
	slot, ok := e.requests[request]
	if !ok {
		return fmt.Errorf("request %d to withdraw does not exist", request.Number)
	}
	e.withdrawAllocation(slot, withdrawal{notify: true, reason: ReasonWithdrawn})
	return nil
}

// withdrawal says how a request ends that the policy did not end.
type withdrawal struct {
	notify bool // the client of an open allocation gets an answer
	reason AnswerReason
}

// withdrawAllocation answers an open allocation and cancels its attempt, or stops a running task.
func (e *Engine) withdrawAllocation(slot int, w withdrawal) {
	a := &e.allocations[slot]
	if a.phase == phaseRunning {
		e.stopTask(a)
		return
	}
	if !w.notify {
		e.clearClient(a)
	}
	kind, class := Failed, &e.config.Cluster.JobClasses[a.task.JobClass]
	if outcome.IsRetrySafe(class.Semantics, class.IdempotencyScope, a.phase == phaseInFlight, a.mayHaveRun) {
		kind = Declined
	}
	late := a.lateStart
	a.lateStart = AttemptID{}
	e.answer(a, Answer{Kind: kind, Reason: w.reason})
	e.clearClient(a)
	e.policy.OnExpired(e.now, a.id)
	if a.phase == phaseWaiting {
		e.removeAllocation(slot)
	} else {
		e.cancelAttempt(a)
	}
	e.resolveLateStart(late)
}

// OnClientDisconnected withdraws all open requests of a client whose connection ended. Its running tasks continue without a client.
func (e *Engine) OnClientDisconnected(now float64, client uint32) {
	e.observe(now)
	if client == noClient {
		return
	}
	for slot := range e.allocations {
		a := &e.allocations[slot]
		if !e.isInUse(slot) || a.request.Client != client {
			continue
		}
		if a.phase == phaseRunning {
			e.clearClient(a)
		} else {
			e.withdrawAllocation(slot, withdrawal{})
		}
	}
}

// Close answers all open requests because the process is shutting down. Later requests are declined.
func (e *Engine) Close(now float64) {
	e.now, e.closed = now, true
	for slot := range e.allocations {
		if e.isInUse(slot) && !e.allocations[slot].answered {
			e.withdrawAllocation(slot, withdrawal{notify: true, reason: ReasonWithdrawn})
		}
	}
}

// EvictTenant withdraws a tenant's open requests, which are answered as the retry semantics of their tasks allow, and stops its running
// tasks if stopRunning is set. It returns the number of the tenant's remaining allocations and abandoned attempts, and should be called
// again until there are none.
func (e *Engine) EvictTenant(now float64, tenant int, stopRunning bool) (remaining int) {
	e.observe(now)
	for slot := range e.allocations {
		a := &e.allocations[slot]
		if !e.isInUse(slot) || a.task.Tenant != tenant {
			continue
		}
		switch {
		case a.phase == phaseRunning && stopRunning && !a.stopping:
			e.stopTask(a)
		case a.phase != phaseRunning && !a.answered:
			e.withdrawAllocation(slot, withdrawal{notify: true, reason: ReasonWithdrawn})
		}
		if e.isInUse(slot) {
			remaining++
		}
	}
	for _, entry := range e.abandoned { // only counted, so the iteration order does not matter
		if entry.task.Tenant == tenant && !entry.stopped {
			remaining++
		}
	}
	return remaining
}
