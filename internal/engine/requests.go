package engine

import (
	"errors"
	"fmt"

	"ravenpond/internal/decide/admission"
	"ravenpond/internal/decide/outcome"
	"ravenpond/logic"
)

// setClient makes an owner hear of an allocation; disown ends that.
func (e *Engine) setClient(p int, owner uint32, ref uint64) {
	e.allocations[p].client, e.allocations[p].requestID = owner, ref
	if owner != noClient {
		e.requests[requestKey{owner, ref}] = p
	}
}

func (e *Engine) clearClient(a *allocation) {
	if a.client != noClient {
		delete(e.requests, requestKey{a.client, a.requestID})
		a.client = noClient
	}
}

// answer gives the final answer, once, and never after the owner's time is up.
func (e *Engine) answer(a *allocation, answer Answer, nd uint32, why string, holdOff float64) {
	a.answered = true
	e.admission.Release(a.tenant)
	if a.client == noClient {
		return
	}
	if e.now >= a.deadline { // stood still: the owner has given up by itself, and nothing more is sent for it
		e.stats.Expired++
		e.effects.ExpireRequest(a.client, a.requestID)
		e.clearClient(a)
		return
	}
	if !e.effects.PermitAnswer(a.tenant, a.token, a.epoch, answer == Served) {
		e.clearClient(a)
		return
	}
	switch answer {
	case Served:
		e.stats.Served++
	case Declined:
		e.stats.Declined++
	case Failed:
		e.stats.Failed++
	}
	e.effects.Answer(a.client, a.requestID, answer, nd, why, holdOff)
	if answer != Served {
		e.clearClient(a)
	}
}

// Allocate takes an ask under an epoch of the one who says which engine acts for it: left is the time that its owner
// still waits, counted from now. An error means that it was not understood as a new one, and no answer follows.
func (e *Engine) Allocate(now float64, owner uint32, ref uint64, jobType, tenant int, service, token uint64,
	cores, memory, left float64, epoch uint32,
) error {
	e.now, e.hasEvents = now, true
	if _, ok := e.requests[requestKey{owner, ref}]; ok {
		return fmt.Errorf("ask %d is not over", ref)
	}
	name := idempotencyKey{tenant, token}
	if p, ok := e.byKey[name]; ok {
		e.answerDuplicate(p, owner, ref)
		return nil
	}
	if epoch == 0 { // meant for one that was here a moment ago
		e.stats.Rejected++
		e.effects.Answer(owner, ref, Declined, 0, "just-ended", 0)
		return nil
	}
	least := e.config.AnswerMargin + 4*e.config.Cluster.MinRoundInterval
	if why := e.admission.Admit(tenant, left, least, e.fits(jobType, cores, memory)); why != admission.Admitted {
		e.stats.Rejected++
		if e.effects.PermitAnswer(tenant, token, epoch, false) {
			e.effects.Answer(owner, ref, Declined, 0, why.String(), 0)
		}
		e.effects.ReleaseTask(tenant, token, service, epoch)
		return nil
	}
	e.stats.Admitted++
	p, a := e.newAllocation()
	a.jobClass, a.tenant, a.service, a.token, a.epoch = jobType, tenant, service, token, epoch
	e.setClient(p, owner, ref)
	a.cores, a.memory, a.deadline, a.waitingSince = cores, memory, now+left, now
	e.byKey[name] = p
	e.policy.OnRequest(now, logic.Request{
		Allocation: a.id, Class: jobType, Tenant: tenant,
		Deadline: a.deadline - e.config.AnswerMargin, Service: service, Cores: cores, Memory: memory,
	})
	return nil
}

// answerDuplicate meets an ask for what is open or runs already: a second start is what its key guards against.
func (e *Engine) answerDuplicate(p int, owner uint32, ref uint64) {
	a := &e.allocations[p]
	switch {
	case a.phase == phaseRunning:
		e.clearClient(a)
		e.setClient(p, owner, ref)
		e.effects.SetClient(a.tenant, a.token, a.epoch, owner, ref)
		e.stats.Served++
		e.effects.Answer(owner, ref, Served, e.nodes[a.nodeIndex].id, "runs", 0)
	case !a.answered:
		e.stats.Rejected++
		e.effects.Answer(owner, ref, Declined, 0, "open-already", 0)
	default: // answered, and a try of it is still out: its outcome decides what a next ask may do
		e.stats.Rejected++
		e.effects.Answer(owner, ref, Declined, 0, "earlier-try-out", 0)
	}
}

// fits tells whether an empty machine of the kind that the job type needs would accept so much.
func (e *Engine) fits(jobType int, cores, memory float64) bool {
	cl := e.config.Cluster
	for k := range cl.KindCores {
		if kind := cl.JobClasses[jobType].NodeKind; (kind < 0 || kind == k) &&
			cores <= cl.KindCores[k]*cl.CoresOvercommit && memory <= cl.KindMemory[k]*cl.MemoryOvercommit {
			return true
		}
	}
	return false
}

// Withdraw ends an ask that its owner gives up: an open one is answered at once, one that runs is stopped.
func (e *Engine) Withdraw(now float64, owner uint32, ref uint64) error {
	e.now, e.hasEvents = now, true
	if p, ok := e.requests[requestKey{owner, ref}]; ok {
		e.withdrawAllocation(p, true)
		return nil
	}
	return fmt.Errorf("no ask %d to withdraw", ref)
}

func (e *Engine) withdrawAllocation(p int, answer bool) {
	a := &e.allocations[p]
	if a.phase == phaseRunning {
		e.stop(a)
		return
	}
	if !answer {
		e.clearClient(a)
	}
	jt, verdict := &e.config.Cluster.JobClasses[a.jobClass], Failed
	if outcome.IsRetrySafe(jt.Semantics, jt.IdempotencyScope, a.phase == phaseInFlight, a.mayHaveRun) {
		verdict = Declined
	}
	late := a.lateStart
	a.lateStart = attemptID{}
	e.answer(a, verdict, 0, "withdrawn", 0)
	e.clearClient(a)
	e.policy.OnExpired(e.now, a.id)
	switch a.phase {
	case phaseInFlight:
		if !a.recalled {
			e.recall(a)
		}
	case phaseConnecting:
		e.cancelUnsent(a)
	case phaseWaiting:
		e.forgetAllocation(p)
	}
	e.resolveLateStart(late)
}

// OnClientDisconnected ends all open asks of an owner whose connection is gone; what runs goes on for nobody.
func (e *Engine) OnClientDisconnected(now float64, owner uint32) {
	e.now, e.hasEvents = now, true
	for p := range e.allocations {
		a := &e.allocations[p]
		if _, ok := e.byID[a.id]; !ok || a.client != owner || owner == noClient {
			continue
		}
		if a.phase == phaseRunning {
			e.clearClient(a)
		} else {
			e.withdrawAllocation(p, false)
		}
	}
}

// Close answers all that is open, as the process is about to end: what an owner is told now it need not wait for.
func (e *Engine) Close(now float64) {
	e.now = now
	for p := range e.allocations {
		a := &e.allocations[p]
		if _, ok := e.byID[a.id]; ok && !a.answered {
			e.withdrawAllocation(p, true)
		}
	}
}

var errDuplicateAnswer = errors.New("second answer for a try")

// findAttempt gives the place of the allocation whose try is named.
func (e *Engine) findAttempt(ticket uint64, try uint8) (int, bool) {
	if p, ok := e.recovered[attemptID{ticket, try}]; ok {
		return p, true
	}
	if uint32(ticket>>32) != e.config.Incarnation {
		return 0, false
	}
	p, ok := e.byID[uint32(ticket)]
	if !ok || e.allocations[p].attempt != try || e.allocations[p].phase < phaseInFlight || e.allocations[p].ticket != ticket {
		return 0, false
	}
	return p, true
}

func (e *Engine) errUnknownAttempt(ticket uint64, try uint8) error {
	return fmt.Errorf("answer for unknown try %x.%d", ticket, try)
}

// recoverTask makes a running allocation of what a node runs and tells the module.
//
// It returns -1 and stops it if another acts for it by now.
func (e *Engine) recoverTask(name attemptID, g abandonedAttempt) int {
	epoch, owner, ref, ok := e.effects.RecoverTask(g.tenant, g.token, g.jobClass, g.service, g.cores, g.memory,
		e.nodes[g.nodeIndex].id, name.ticket, name.number)
	if !ok {
		e.stopAbandoned(name)
		return -1
	}
	e.forgetAbandoned(name)
	p, a := e.newAllocation()
	a.epoch = epoch
	a.phase, a.answered, a.recovered = phaseRunning, true, true
	a.jobClass, a.tenant, a.service, a.token, a.cores, a.memory = g.jobClass, g.tenant, g.service, g.token, g.cores, g.memory
	a.ticket, a.attempt, a.sentAt = name.ticket, name.number, e.now
	e.attach(p, g.nodeIndex)
	e.recovered[name] = p
	e.byKey[idempotencyKey{a.tenant, a.token}] = p
	a.reported = true
	e.setClient(p, owner, ref)
	e.stats.Recovered++
	e.policy.OnRecovered(e.now, logic.Recovered{Request: logic.Request{
		Allocation: a.id, Class: a.jobClass,
		Tenant: a.tenant, Service: a.service, Cores: a.cores, Memory: a.memory,
	}, Node: e.nodes[g.nodeIndex].id})
	return p
}
