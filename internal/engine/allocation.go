package engine

// phase is the state of an allocation's latest attempt.
type phase uint8

const (
	phaseWaiting    phase = iota // there is no attempt
	phaseConnecting              // the attempt waits for the connection to its node and was not sent
	phaseInFlight                // the attempt was sent
	phaseRunning                 // the task runs
)

// noClient is the client ID of an allocation for which no client is waiting.
const noClient = 0

// allocation is a request together with its latest attempt.
type allocation struct {
	id           uint32 // the allocation's number in the policy
	epoch        uint32 // under which this engine owns the task
	phase        phase
	answered     bool // the final answer was given
	recalled     bool // the attempt was recalled, or cancelled before it was sent
	attempted    bool // at least one attempt was made
	recovered    bool // the task was found running; its attempt is number 0 to the policy
	stopping     bool // the node was asked to stop the task, or will be once it is connected
	mayHaveRun   bool // an earlier attempt may have run
	reported     bool // the node has reported the attempt as held since it connected
	task         Task
	request      RequestID // the request that is answered and notified, if its client is not noClient
	attempt      AttemptID // the latest attempt
	deadline     float64   // of the client
	sentAt       float64   // when the attempt was made, or when its task was recovered
	dueAt        float64   // time-out of the attempt, or the end of the retention of a late start
	waitingSince float64   // since when there has been no attempt
	confirmBy    float64   // when an attempt whose connection broke is given up; 0: no confirmation is awaited
	nodeIndex    int       // index of the attempt's node
	nodeSlot     int       // index into the node's list of allocations
	lateStart    AttemptID // an earlier attempt that started after it had been abandoned
}

// owned returns the allocation's task key and the epoch under which this engine owns the task.
func (a *allocation) owned() OwnedTask { return OwnedTask{TaskKey: a.task.Key(), Epoch: a.epoch} }

// policyAttempt returns the policy's number for the latest attempt.
func (a *allocation) policyAttempt() uint8 {
	if a.recovered {
		return 0
	}
	return a.attempt.Number
}

// newAllocation creates an allocation with a new number in a free slot.
func (e *Engine) newAllocation() (slot int, a *allocation) {
	if n := len(e.freeSlots); n > 0 {
		slot, e.freeSlots = e.freeSlots[n-1], e.freeSlots[:n-1]
	} else {
		slot, e.allocations = len(e.allocations), append(e.allocations, allocation{})
	}
	e.lastID++
	a = &e.allocations[slot]
	*a = allocation{
		id: e.lastID, nodeIndex: -1,
		attempt: AttemptID{Ticket: uint64(e.config.Incarnation)<<32 | uint64(e.lastID)},
	}
	e.byID[a.id] = slot
	return slot, a
}

// removeAllocation removes an allocation that is answered and has no attempt, and releases the ownership of its task.
func (e *Engine) removeAllocation(slot int) {
	a := &e.allocations[slot]
	delete(e.byID, a.id)
	e.clearClient(a)
	e.removeKeys(slot)
	e.effects.ReleaseTask(a.owned(), a.task.Service)
	e.freeSlot(slot)
}

// removeTransferred removes an allocation whose task another engine owns from now on.
func (e *Engine) removeTransferred(slot int) {
	a := &e.allocations[slot]
	delete(e.byID, a.id)
	e.clearClient(a)
	e.removeKeys(slot)
	e.freeSlot(slot)
}

// removeKeys removes an allocation from the indices by task key and by recovered attempt.
func (e *Engine) removeKeys(slot int) {
	a := &e.allocations[slot]
	if key := a.task.Key(); e.byKey[key] == slot {
		delete(e.byKey, key)
	}
	delete(e.recovered, a.attempt)
}

func (e *Engine) freeSlot(slot int) {
	e.freeSlots = append(e.freeSlots, slot)
	e.allocations[slot].phase = phaseWaiting
}

// isInUse reports whether a slot contains an allocation.
func (e *Engine) isInUse(slot int) bool {
	current, ok := e.byID[e.allocations[slot].id]
	return ok && current == slot
}

// setClient sets the request that is answered and notified for an allocation.
func (e *Engine) setClient(slot int, request RequestID) {
	e.allocations[slot].request = request
	if request.Client != noClient {
		e.requests[request] = slot
	}
}

// clearClient removes the request from an allocation, so that no client is answered or notified for it any more.
func (e *Engine) clearClient(a *allocation) {
	if a.request.Client != noClient {
		delete(e.requests, a.request)
		a.request.Client = noClient
	}
}

// findAttempt returns the slot of the allocation whose latest attempt has the given ID, if that attempt was sent.
func (e *Engine) findAttempt(id AttemptID) (slot int, ok bool) {
	if slot, ok := e.recovered[id]; ok {
		return slot, true
	}
	if id.incarnation() != e.config.Incarnation {
		return 0, false
	}
	slot, ok = e.byID[uint32(id.Ticket)]
	if !ok || e.allocations[slot].attempt != id || e.allocations[slot].phase < phaseInFlight {
		return 0, false
	}
	return slot, true
}

// KnowsAttempt reports whether an attempt is known, be it in progress or abandoned.
func (e *Engine) KnowsAttempt(id AttemptID) bool {
	if _, ok := e.findAttempt(id); ok {
		return true
	}
	_, ok := e.abandoned[id]
	return ok
}

// ForEachAllocation calls report for each allocation with its task and whether its request was answered.
func (e *Engine) ForEachAllocation(report func(task OwnedTask, answered bool)) {
	for slot := range e.allocations {
		if a := &e.allocations[slot]; e.isInUse(slot) {
			report(a.owned(), a.answered)
		}
	}
}
