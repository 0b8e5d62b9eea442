package engine

import (
	"math"

	"ravenpond/internal/decide/outcome"
)

// policyEffects carries out what the module decides.
type policyEffects struct{ e *Engine }

func (h policyEffects) StartAttempt(id, nodeID uint32, timeout float64) {
	e := h.e
	p := e.byID[id]
	a := &e.allocations[p]
	nd := e.nodeIndex[nodeID]
	if a.attempted {
		a.attempt++
	}
	a.attempted = true
	a.sentAt, a.recalled, a.confirmBy = e.now, false, 0
	a.dueAt = min(e.now+timeout, a.deadline)
	e.stats.Offers++
	e.attach(p, nd)
	if n := &e.nodes[nd]; n.ready {
		e.sendOffer(a, n)
		return
	}
	a.phase = phaseConnecting
	e.pacer.Prioritize(e.now, nd)
	e.timers.Set(e.now+min(outcome.ConnectTimeout(), timeout), timerConnect, attemptTimerKey(id, a.attempt))
}

func (e *Engine) sendOffer(a *allocation, n *node) {
	a.phase = phaseInFlight
	if !e.effects.PermitAttempt(a.tenant, a.token, a.epoch, n.id, a.ticket, a.attempt) {
		a.phase = phaseConnecting // never sent, and no other try will be either
		e.cancelUnsent(a)
		return
	}
	e.timers.Set(a.dueAt, timerAttempt, attemptTimerKey(a.id, a.attempt))
	e.effects.Offer(n.id, a.ticket, a.attempt, a.epoch, a.dueAt-e.now, a.jobClass, a.tenant, a.service, a.token, a.cores, a.memory)
}

func (h policyEffects) Shed(id uint32, holdOff float64) {
	h.e.giveFinalAnswer(id, Declined, holdOff)
}

func (h policyEffects) Fail(id uint32) { h.e.giveFinalAnswer(id, Failed, 0) }

func (e *Engine) giveFinalAnswer(id uint32, answer Answer, holdOff float64) {
	p, ok := e.byID[id]
	if !ok || e.allocations[p].answered {
		return
	}
	a := &e.allocations[p]
	e.answer(a, answer, 0, "", holdOff)
	late := a.lateStart
	a.lateStart = attemptID{}
	if a.phase == phaseWaiting {
		e.forgetAllocation(p)
	}
	e.resolveLateStart(late)
}

func (h policyEffects) Cancel(id uint32, try uint8) {
	e := h.e
	p, ok := e.byID[id]
	if !ok || e.allocations[p].attempt != try {
		return
	}
	switch a := &e.allocations[p]; a.phase {
	case phaseConnecting:
		e.cancelUnsent(a)
	case phaseInFlight:
		if !a.recalled {
			e.recall(a)
		}
	}
}

func (h policyEffects) Migrate(id uint32) {
	if p, ok := h.e.byID[id]; ok && h.e.allocations[p].phase == phaseRunning {
		h.e.stop(&h.e.allocations[p])
	}
}

func (h policyEffects) Probe(nodeID uint32) {
	e := h.e
	nd := e.nodeIndex[nodeID]
	n := &e.nodes[nd]
	if n.probing {
		return
	}
	n.probing, n.probeSent, n.probeStartedAt = true, n.ready, e.now
	n.probeSeq++
	e.timers.Set(e.now+outcome.ProbeTimeout(), timerProbe, uint64(uint32(n.probeSeq))<<32|uint64(uint32(nd)))
	if n.ready {
		e.effects.Probe(n.id, n.probeSeq)
	} else {
		e.pacer.Prioritize(e.now, nd)
	}
}

func (h policyEffects) WatchList(active bool) { h.e.effects.WatchList(active) }

func (h policyEffects) ReloadList() { h.e.effects.ReloadList() }

func (h policyEffects) SetTimer(delay float64, key uint64) {
	h.e.timers.Set(h.e.now+math.Max(0, delay), timerPolicyWake, key)
}

func (h policyEffects) Log(line string) { h.e.effects.Log(line) }
