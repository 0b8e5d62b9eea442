package engine

import (
	"slices"

	"ravenpond/internal/decide/outcome"
	"ravenpond/logic"
)

// abandonedAttempt is an attempt that was given up without an answer and may still start.
type abandonedAttempt struct {
	allocationID uint32 // the allocation that the attempt was made for, which may have been removed
	nodeIndex    int
	task         Task
	sentAt       float64
	started      bool   // the node reported the start
	stopped      bool   // the node was asked to stop the task, or will be once it is connected
	policyID     uint32 // the number under which the policy counts the attempt towards its service's spread; 0: not counted
}

// pendingClaim is a scheduled claim of an abandoned attempt.
type pendingClaim struct {
	attempt   AttemptID
	remaining int // number of claims that follow this one
}

// scheduleClaims schedules a number of claims of an abandoned attempt. If its task runs after all, this has to be known before the
// client retries, so that the retry does not start the task a second time.
func (e *Engine) scheduleClaims(id AttemptID, times int) {
	if times > 0 {
		e.claims = append(e.claims, pendingClaim{id, times - 1})
		e.timers.Set(e.now+outcome.ClaimInterval(e.config.SettleTime), timerClaim, 0)
	}
}

// scheduleCleanup schedules the next removal of old abandoned attempts.
func (e *Engine) scheduleCleanup() { e.timers.Set(e.now+outcome.AttemptRetention()/4, timerCleanup, 0) }

// recordAbandoned adds an abandoned attempt or replaces its entry.
func (e *Engine) recordAbandoned(id AttemptID, entry abandonedAttempt) {
	if len(e.abandoned) == 0 {
		e.scheduleCleanup()
	}
	if _, ok := e.abandoned[id]; !ok {
		e.nodes[entry.nodeIndex].abandoned++
		if outcome.CountsAfterAbandon(e.config.Cluster.JobClasses[entry.task.JobClass].Spread) {
			e.lastID++
			entry.policyID = e.lastID
			e.policy.OnRecovered(e.now, logic.Recovered{Request: entry.task.policyRequest(entry.policyID), Node: e.nodes[entry.nodeIndex].id})
		}
	}
	e.abandoned[id] = entry
}

// removeAbandoned removes an abandoned attempt that can no longer start or that belongs to an allocation again.
func (e *Engine) removeAbandoned(id AttemptID) {
	entry, ok := e.abandoned[id]
	if !ok {
		return
	}
	n := &e.nodes[entry.nodeIndex]
	n.abandoned--
	delete(e.abandoned, id)
	if entry.policyID > 0 {
		e.policy.OnOutcome(e.now, logic.AttemptResult{
			Allocation: entry.policyID, Node: n.id, Duration: e.now - entry.sentAt, Answered: true,
			Reason: logic.ReasonUnknown, Outcome: logic.Completed,
		})
	}
}

// removeMatching removes all abandoned attempts that match, ordered by ID.
func (e *Engine) removeMatching(match func(abandonedAttempt) bool) {
	for _, id := range e.abandonedMatching(match) {
		e.removeAbandoned(id)
	}
}

// abandonedMatching returns the abandoned attempts that match, ordered by ID so that effects do not depend on the iteration order of
// the map.
func (e *Engine) abandonedMatching(match func(abandonedAttempt) bool) []AttemptID {
	var ids []AttemptID
	for id, entry := range e.abandoned {
		if match(entry) {
			ids = append(ids, id)
		}
	}
	slices.SortFunc(ids, AttemptID.compare)
	return ids
}

// endAbandoned handles a node's message that an abandoned attempt has ended. It reports whether the node has such an attempt.
func (e *Engine) endAbandoned(nodeID uint32, id AttemptID) bool {
	entry, ok := e.abandoned[id]
	if !ok || e.nodes[entry.nodeIndex].id != nodeID {
		return false
	}
	e.removeAbandoned(id)
	if slot, ok := e.byID[entry.allocationID]; ok && e.allocations[slot].lateStart == id {
		e.allocations[slot].lateStart = AttemptID{}
	}
	return true
}

// handleLateStart handles the start of an abandoned attempt.
func (e *Engine) handleLateStart(id AttemptID, entry abandonedAttempt) {
	entry.started = true
	e.abandoned[id] = entry
	e.stats.LateStarts++
	slot, open := e.byID[entry.allocationID]
	open = open && e.isOpen(slot)
	if other, ok := e.byKey[entry.task.Key()]; ok && (!open || other != slot) {
		if e.allocations[other].phase == phaseRunning { // the task already runs under another attempt
			e.stopAbandoned(id)
			return
		}
		if e.isOpen(other) { // the client requested the task again
			slot, open = other, true
		}
	}
	attempting := open && e.allocations[slot].phase != phaseWaiting
	switch outcome.OnLateStart(e.retrySemantics[entry.task.JobClass], open, attempting) {
	case outcome.Stop:
		e.stopAbandoned(id)
	case outcome.Serve:
		e.policy.OnExpired(e.now, e.allocations[slot].id)
		e.answerWithLateStart(id, slot)
	case outcome.Await:
		e.awaitAttempt(slot, id)
	case outcome.Keep:
		e.recoverForRetry(id, entry)
	}
}

// isOpen reports whether an allocation's request is unanswered and its deadline has not passed.
func (e *Engine) isOpen(slot int) bool {
	a := &e.allocations[slot]
	return !a.answered && e.now < a.deadline
}

// awaitAttempt recalls the latest attempt of an allocation after an earlier attempt has started. If the latest attempt ends without
// a start, the earlier one serves the request; if it starts all the same, the earlier one is stopped.
func (e *Engine) awaitAttempt(slot int, late AttemptID) {
	a := &e.allocations[slot]
	if !a.lateStart.IsZero() {
		e.stopAbandoned(late)
		return
	}
	a.lateStart = late
	if a.phase == phaseConnecting {
		e.cancelUnsent(a)
	} else if !a.recalled {
		e.recall(a)
	}
}

// answerWithLateStart answers the request of an allocation that has no current attempt with the start of an abandoned attempt.
func (e *Engine) answerWithLateStart(id AttemptID, slot int) {
	a := &e.allocations[slot]
	entry := e.abandoned[id]
	request := a.request
	e.answer(a, Answer{Kind: Served, Node: e.nodes[entry.nodeIndex].id, Reason: ReasonLateStart})
	if a.request.Client == noClient { // the deadline has passed, or the answer was not permitted
		request.Client = noClient
	}
	a.lateStart = AttemptID{}
	e.clearClient(a)
	e.removeAllocation(slot)
	recovered, ok := e.recoverTask(id, entry)
	if !ok {
		return
	}
	e.setClient(recovered, request)
	if request.Client == noClient {
		e.keepForRetry(&e.allocations[recovered])
	}
}

// resolveLateStart decides what to do with a late start whose allocation was answered otherwise.
func (e *Engine) resolveLateStart(id AttemptID) {
	entry, ok := e.abandoned[id]
	if !ok || id.IsZero() || entry.stopped {
		return
	}
	if outcome.OnLateStart(e.retrySemantics[entry.task.JobClass], false, false) == outcome.Stop {
		e.stopAbandoned(id)
	} else {
		e.recoverForRetry(id, entry)
	}
}

// recoverForRetry keeps the task of a late start running for a retry by its client.
func (e *Engine) recoverForRetry(id AttemptID, entry abandonedAttempt) {
	if slot, ok := e.recoverTask(id, entry); ok {
		e.keepForRetry(&e.allocations[slot])
	}
}

// stopAbandoned asks the node of an abandoned attempt to stop its task.
func (e *Engine) stopAbandoned(id AttemptID) {
	entry, ok := e.abandoned[id]
	if !ok {
		return
	}
	entry.stopped = true
	e.abandoned[id] = entry
	if n := &e.nodes[entry.nodeIndex]; n.connected {
		e.effects.Stop(n.id, id)
	}
}

// recoverTask creates an allocation for the running task of an abandoned attempt and reports it to the policy. If another engine owns
// the task, the task is stopped instead and ok is false.
func (e *Engine) recoverTask(id AttemptID, entry abandonedAttempt) (slot int, ok bool) {
	nodeID := e.nodes[entry.nodeIndex].id
	recovered, ok := e.effects.RecoverTask(RunningTask{Task: entry.task, Node: nodeID, Attempt: id})
	if !ok {
		e.stopAbandoned(id)
		return 0, false
	}
	e.removeAbandoned(id)
	slot, a := e.newAllocation()
	a.phase, a.answered, a.recovered, a.reported = phaseRunning, true, true, true
	a.task, a.epoch = entry.task, recovered.Epoch
	a.attempt, a.sentAt = id, e.now
	e.attach(slot, entry.nodeIndex)
	e.recovered[id] = slot
	e.byKey[a.task.Key()] = slot
	e.setClient(slot, recovered.Request)
	e.stats.Recovered++
	e.policy.OnRecovered(e.now, logic.Recovered{Request: a.task.policyRequest(a.id), Node: nodeID})
	return slot, true
}
