package engine

import (
	"math"

	"ravenpond/internal/decide/outcome"
)

// policyEffects implements logic.Effects: it carries out the decisions of the policy.
type policyEffects struct{ engine *Engine }

// StartAttempt begins an attempt. The offer is sent at once if the node is ready, otherwise when the node has become ready.
func (p policyEffects) StartAttempt(allocationID, nodeID uint32, timeout float64) {
	e := p.engine
	slot := e.byID[allocationID]
	a := &e.allocations[slot]
	index := e.nodeIndex[nodeID]
	if a.attempted {
		a.attempt.Number++
	}
	a.attempted = true
	a.sentAt, a.recalled, a.confirmBy = e.now, false, 0
	a.dueAt = min(e.now+timeout, a.deadline)
	e.stats.Offers++
	e.attach(slot, index)
	if n := &e.nodes[index]; n.ready {
		e.sendOffer(a, n)
		return
	}
	a.phase = phaseConnecting
	e.pacer.Prioritize(e.now, index)
	e.timers.Set(e.now+min(outcome.ConnectTimeout(), timeout), timerConnect, attemptTimerKey(a.id, a.attempt.Number))
}

// sendOffer sends an attempt to its node if this engine still owns the task.
func (e *Engine) sendOffer(a *allocation, n *node) {
	a.phase = phaseInFlight
	if !e.effects.PermitAttempt(a.owned(), n.id, a.attempt) {
		a.phase = phaseConnecting // the offer was not sent, and no other attempt will be permitted
		e.cancelUnsent(a)
		return
	}
	e.timers.Set(a.dueAt, timerAttempt, attemptTimerKey(a.id, a.attempt.Number))
	e.effects.Offer(n.id, Offer{Attempt: a.attempt, Epoch: a.epoch, Timeout: a.dueAt - e.now, Task: a.task})
}

// Shed declines a request: the task does not run, and it is safe to retry the request.
func (p policyEffects) Shed(allocationID uint32, retryAfter float64) {
	p.engine.giveFinalAnswer(allocationID, Answer{Kind: Declined, RetryAfter: retryAfter})
}

// Fail answers a request whose task may have run.
func (p policyEffects) Fail(allocationID uint32) {
	p.engine.giveFinalAnswer(allocationID, Answer{Kind: Failed})
}

// giveFinalAnswer answers a request that was not served.
func (e *Engine) giveFinalAnswer(allocationID uint32, answer Answer) {
	slot, ok := e.byID[allocationID]
	if !ok || e.allocations[slot].answered {
		return
	}
	a := &e.allocations[slot]
	e.answer(a, answer)
	late := a.lateStart
	a.lateStart = AttemptID{}
	if a.phase == phaseWaiting {
		e.removeAllocation(slot)
	}
	e.resolveLateStart(late)
}

// Cancel cancels or recalls an attempt whose task is not running.
func (p policyEffects) Cancel(allocationID uint32, attempt uint8) {
	e := p.engine
	slot, ok := e.byID[allocationID]
	if !ok || e.allocations[slot].attempt.Number != attempt {
		return
	}
	e.cancelAttempt(&e.allocations[slot])
}

// Migrate stops a running task so that its client requests it again.
func (p policyEffects) Migrate(allocationID uint32) {
	e := p.engine
	if slot, ok := e.byID[allocationID]; ok && e.allocations[slot].phase == phaseRunning {
		e.stopTask(&e.allocations[slot])
	}
}

// Probe asks a node for a load report, as soon as the node is ready. It does nothing while an earlier probe is in progress.
func (p policyEffects) Probe(nodeID uint32) {
	e := p.engine
	index := e.nodeIndex[nodeID]
	n := &e.nodes[index]
	if n.probing {
		return
	}
	n.probing, n.probeSent, n.probeStartedAt = true, n.ready, e.now
	n.probeSequence++
	e.timers.Set(e.now+outcome.ProbeTimeout(), timerProbe, probeTimerKey(index, n.probeSequence))
	if n.ready {
		e.effects.Probe(n.id, n.probeSequence)
	} else {
		e.pacer.Prioritize(e.now, index)
	}
}

// WatchList starts or stops watching the node list for changes.
func (p policyEffects) WatchList(active bool) { p.engine.effects.WatchList(active) }

// ReloadList requests the full node list.
func (p policyEffects) ReloadList() { p.engine.effects.ReloadList() }

// SetTimer sets a timer of the policy.
func (p policyEffects) SetTimer(delay float64, key uint64) {
	p.engine.timers.Set(p.engine.now+math.Max(0, delay), timerPolicy, key)
}

// Log writes a line to the operator's log.
func (p policyEffects) Log(line string) { p.engine.effects.Log(line) }
