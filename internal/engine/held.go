package engine

import (
	"fmt"
	"slices"

	"ravenpond/internal/decide/outcome"
	"ravenpond/logic"
)

// HeldTaskError is returned for a task that a node can't hold.
type HeldTaskError struct {
	Attempt AttemptID
	Problem string
}

func (e *HeldTaskError) Error() string {
	return fmt.Sprintf("held try %x.%d %s", e.Attempt.Ticket, e.Attempt.Number, e.Problem)
}

// OnHeld takes a task that a node holds for this scheduler. A node names all of them before anything else on a connection. An error means
// that the node broke the protocol.
func (e *Engine) OnHeld(now float64, nodeID uint32, held HeldTask) error {
	e.observe(now)
	index, ok := e.nodeIndex[nodeID]
	if !ok {
		return nil
	}
	if t := &held.Task; t.JobClass >= len(e.jobEffects) || t.Tenant >= len(e.config.Shares) {
		return &HeldTaskError{held.Attempt, fmt.Sprintf("of unknown job type %d or tenant %d", t.JobClass, t.Tenant)}
	}
	if slot, ok := e.findAttempt(held.Attempt); ok && e.allocations[slot].nodeIndex == index {
		e.confirmHeld(slot, held.Running)
		return nil
	}
	entry, known := e.abandoned[held.Attempt]
	if !known {
		entry = e.recordHeld(index, &held)
	}
	if entry.nodeIndex != index {
		return &HeldTaskError{held.Attempt, "belongs to another node"}
	}
	switch {
	case !held.Running: // given up, or of an earlier incarnation: nobody waits for it
		e.effects.Recall(nodeID, held.Attempt)
	case entry.stopped:
		e.effects.Stop(nodeID, held.Attempt)
	case !known:
		if _, requested := e.byKey[held.Task.Key()]; requested {
			e.handleLateStart(held.Attempt, entry)
		} else {
			e.recoverTask(held.Attempt, entry) // of an earlier incarnation: it runs on for its client's next request
		}
	case !entry.started:
		e.handleLateStart(held.Attempt, entry)
	}
	return nil
}

// confirmHeld takes a node's message that it holds the last attempt of an allocation.
func (e *Engine) confirmHeld(slot int, running bool) {
	a := &e.allocations[slot]
	nodeID := e.nodes[a.nodeIndex].id
	a.reported, a.confirmBy = true, 0
	switch {
	case running && a.phase == phaseInFlight:
		e.handleStart(slot, e.now-a.sentAt)
	case a.stopping:
		e.effects.Stop(nodeID, a.attempt)
	case a.recalled && a.phase == phaseInFlight:
		e.effects.Recall(nodeID, a.attempt)
	}
}

// recordHeld remembers a task that a node holds and that is not known here as an abandoned attempt.
func (e *Engine) recordHeld(index int, held *HeldTask) abandonedAttempt {
	entry := abandonedAttempt{nodeIndex: index, task: held.Task, sentAt: e.now}
	if slot, ok := e.byKey[held.Task.Key()]; ok {
		entry.allocationID = e.allocations[slot].id
	}
	e.recordAbandoned(held.Attempt, entry)
	return entry
}

// OnHeldAll reports that a node has named all that it holds: it may be sent to from now on.
func (e *Engine) OnHeldAll(now float64, id uint32) {
	e.observe(now)
	index, ok := e.nodeIndex[id]
	if !ok {
		return
	}
	n := &e.nodes[index]
	n.ready, n.everReady = true, true
	for _, slot := range slices.Backward(n.allocations) { // completing one removes it from the list
		a := &e.allocations[slot]
		if a.phase == phaseConnecting {
			if !a.recalled {
				e.sendOffer(a, n)
			}
			continue
		}
		switch outcome.AfterReconnect(n.sameIncarnation, a.reported) {
		case outcome.MayHaveRun:
			e.completeAttempt(slot, outcomeOf(logic.ConnectionLost))
		case outcome.MustClaim:
			e.effects.Claim(id, a.attempt)
		}
	}
	if n.sameIncarnation && n.abandoned > 0 {
		e.claimAbandoned(index)
	}
	if n.probing && !n.probeSent {
		n.probeSent = true
		e.effects.Probe(id, n.probeSequence)
	}
}

// claimAbandoned claims the abandoned attempts of a node that came back, so that none that lay unread on the way starts yet.
func (e *Engine) claimAbandoned(index int) {
	ids := e.abandonedMatching(func(entry abandonedAttempt) bool { return entry.nodeIndex == index && !entry.started })
	for _, id := range ids {
		e.effects.Claim(e.nodes[index].id, id)
	}
}

// OnClaimHeld takes a node's answer to a claim: it holds the attempt, whose task runs or not.
func (e *Engine) OnClaimHeld(now float64, nodeID uint32, id AttemptID, running bool) {
	e.observe(now)
	if slot, ok := e.findAttempt(id); ok && e.nodes[e.allocations[slot].nodeIndex].id == nodeID {
		a := &e.allocations[slot]
		a.confirmBy = 0
		if running && a.phase == phaseInFlight {
			e.handleStart(slot, now-a.sentAt)
		} else if a.phase == phaseInFlight && a.recalled {
			e.effects.Recall(nodeID, id)
		}
		return
	}
	entry, ok := e.abandoned[id]
	if !ok || e.nodes[entry.nodeIndex].id != nodeID {
		return
	}
	if !running {
		e.effects.Recall(nodeID, id)
	} else if !entry.started {
		e.handleLateStart(id, entry)
	}
}

// OnClaimOutcome takes a node's answer to a claim: the attempt's outcome, which the node may have sent before.
func (e *Engine) OnClaimOutcome(now float64, nodeID uint32, o Outcome) {
	e.observe(now)
	slot, ok := e.findAttempt(o.Attempt)
	if !ok || e.nodes[e.allocations[slot].nodeIndex].id != nodeID {
		e.endAbandoned(nodeID, o.Attempt)
		return
	}
	if e.allocations[slot].phase == phaseRunning && o.Result == logic.Rejected {
		o.Result = logic.ConnectionLost // the node forgot what it started
	}
	e.completeAttempt(slot, o)
}
