package engine

// phase says where an allocation stands.
type phase uint8

const (
	phaseWaiting    phase = iota // no attempt is made
	phaseConnecting              // an attempt waits for the connection to its node and was not sent
	phaseInFlight                // an attempt was sent
	phaseRunning                 // the task runs
)

// noClient is the client of an allocation for whose outcome nobody waits.
const noClient = 0

// allocation is a request and the attempt that was made for it last.
type allocation struct {
	id           uint32 // by which the policy knows it
	epoch        uint32 // under which this engine acts for its task
	phase        phase
	answered     bool // the final answer was given
	recalled     bool // the attempt was called back
	attempted    bool // an attempt was made
	recovered    bool // its task was found running: the policy knows that attempt as the first
	stopping     bool // its node was asked to stop the task
	mayHaveRun   bool // an earlier attempt may have run
	reported     bool // its node has named it since the node connected
	task         Task
	request      RequestID // that has to be notified, if it has a client
	attempt      AttemptID // the last
	deadline     float64   // of the client
	sentAt       float64   // time of the attempt
	dueAt        float64   // time-out of the attempt; for a late start: until when it is kept
	waitingSince float64   // without an attempt
	confirmBy    float64   // an attempt whose connection broke is given up then, 0: it is not in doubt
	nodeIndex    int       // of the attempt's node
	nodeSlot     int       // place in the node's list of allocations
	lateStart    AttemptID // an earlier attempt that started after it had been given up
}

// owned is the allocation's task with the epoch under which this engine acts for it.
func (a *allocation) owned() OwnedTask { return OwnedTask{TaskKey: a.task.Key(), Epoch: a.epoch} }

// policyAttempt is the number by which the policy knows the last attempt.
func (a *allocation) policyAttempt() uint8 {
	if a.recovered {
		return 0
	}
	return a.attempt.Number
}

// newAllocation takes a slot and gives the allocation in it a number.
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

// removeAllocation forgets an allocation that is answered and has no attempt, and ends the ownership of its task.
func (e *Engine) removeAllocation(slot int) {
	a := &e.allocations[slot]
	delete(e.byID, a.id)
	e.clearClient(a)
	e.removeKeys(slot)
	e.effects.ReleaseTask(a.owned(), a.task.Service)
	e.freeSlot(slot)
}

// removeTransferred forgets an allocation for which another engine acts from now on.
func (e *Engine) removeTransferred(slot int) {
	a := &e.allocations[slot]
	delete(e.byID, a.id)
	e.clearClient(a)
	e.removeKeys(slot)
	e.freeSlot(slot)
}

// removeKeys removes an allocation from the tables by which it is found.
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

// isInUse tells whether a slot holds an allocation.
func (e *Engine) isInUse(slot int) bool {
	current, ok := e.byID[e.allocations[slot].id]
	return ok && current == slot
}

// setClient has a request be notified of what becomes of an allocation.
func (e *Engine) setClient(slot int, request RequestID) {
	e.allocations[slot].request = request
	if request.Client != noClient {
		e.requests[request] = slot
	}
}

// clearClient has nobody be notified of what becomes of an allocation.
func (e *Engine) clearClient(a *allocation) {
	if a.request.Client != noClient {
		delete(e.requests, a.request)
		a.request.Client = noClient
	}
}

// findAttempt is the slot of the allocation whose last attempt is named, if that was sent.
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

// KnowsAttempt tells whether an attempt is known, if only as one that was given up.
func (e *Engine) KnowsAttempt(id AttemptID) bool {
	if _, ok := e.findAttempt(id); ok {
		return true
	}
	_, ok := e.abandoned[id]
	return ok
}

// ForEachAllocation reports each allocation: its task, and whether its request was answered.
func (e *Engine) ForEachAllocation(report func(task OwnedTask, answered bool)) {
	for slot := range e.allocations {
		if a := &e.allocations[slot]; e.isInUse(slot) {
			report(a.owned(), a.answered)
		}
	}
}
