package engine

import (
	"fmt"
	"slices"

	"ravenpond/internal/decide/outcome"
	"ravenpond/logic"
)

// HeldTaskError is returned for a task that a node cannot hold. Its text is sent to the node as the reason for disconnecting it.
type HeldTaskError struct {
	Attempt AttemptID
	Problem string
}

func (e *HeldTaskError) Error() string {
	return fmt.Sprintf("held try %x.%d %s", e.Attempt.Ticket, e.Attempt.Number, e.Problem)
}

// OnHeld handles a node's message that it holds a task for this scheduler. A node reports all held tasks before it sends anything else on
// a connection. An error means that the node violated the protocol.
func (e *Engine) OnHeld(now float64, nodeID uint32, held HeldTask) error {
	e.observe(now)
	index, ok := e.nodeIndex[nodeID]
	if !ok {
		return nil
	}
	if t := &held.Task; t.JobClass >= len(e.retrySemantics) || t.Tenant >= len(e.config.Shares) {
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
	case !held.Running: // abandoned, or from an earlier incarnation of this scheduler: no client waits for it
		e.effects.Recall(nodeID, held.Attempt)
	case entry.stopped:
		e.effects.Stop(nodeID, held.Attempt)
	case !known:
		if _, requested := e.byKey[held.Task.Key()]; requested {
			e.handleLateStart(held.Attempt, entry)
		} else {
			e.recoverTask(held.Attempt, entry) // from an earlier incarnation of this scheduler: the task continues for a retry by its client
		}
	case !entry.started:
		e.handleLateStart(held.Attempt, entry)
	}
	return nil
}

// confirmHeld handles a node's message that it holds the latest attempt of an allocation.
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

// recordHeld records a held task whose attempt is unknown to this engine as an abandoned attempt.
func (e *Engine) recordHeld(index int, held *HeldTask) abandonedAttempt {
	entry := abandonedAttempt{nodeIndex: index, task: held.Task, sentAt: e.now}
	if slot, ok := e.byKey[held.Task.Key()]; ok {
		entry.allocationID = e.allocations[slot].id
	}
	e.recordAbandoned(held.Attempt, entry)
	return entry
}

// OnHeldAll reports that a node has reported all the tasks that it holds. From now on messages may be sent to it.
func (e *Engine) OnHeldAll(now float64, id uint32) {
	e.observe(now)
	index, ok := e.nodeIndex[id]
	if !ok {
		return
	}
	n := &e.nodes[index]
	n.ready, n.everReady = true, true
	e.reportReachable(id, true)
	for _, slot := range slices.Backward(n.allocations) { // completeAttempt removes the slot from the list
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

// claimAbandoned claims the abandoned attempts at a node that reconnected, so that none that is still unread on the way can start.
func (e *Engine) claimAbandoned(index int) {
	ids := e.abandonedMatching(func(entry abandonedAttempt) bool { return entry.nodeIndex == index && !entry.started })
	for _, id := range ids {
		e.effects.Claim(e.nodes[index].id, id)
	}
}

// OnClaimHeld handles a node's answer to a claim that says that it holds the attempt and whether the task is running.
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

// OnClaimOutcome handles a node's answer to a claim that reports the attempt's outcome. The node may have sent this outcome before.
func (e *Engine) OnClaimOutcome(now float64, nodeID uint32, o Outcome) {
	e.observe(now)
	slot, ok := e.findAttempt(o.Attempt)
	if !ok || e.nodes[e.allocations[slot].nodeIndex].id != nodeID {
		e.endAbandoned(nodeID, o.Attempt)
		return
	}
	if e.allocations[slot].phase == phaseRunning && o.Result == logic.Rejected {
		o.Result = logic.ConnectionLost // the node no longer knows the task that it started
	}
	e.completeAttempt(slot, o)
}
