package engine

import (
	"cmp"
	"slices"

	"ravenpond/internal/decide/handover"
	"ravenpond/internal/decide/outcome"
	"ravenpond/logic"
)

// Transfer is an allocation that one engine hands over to another, with all that the receiving engine needs to continue it.
type Transfer struct {
	Request  RequestID
	Task     Task
	Deadline float64 // of the client
	Epoch    uint32  // under which the sending engine owned the task
	Running  bool    // the task runs on Node under Attempt
	Node     uint32
	Attempt  AttemptID
}

// CountByService appends the number of allocations and abandoned attempts of each service, in ascending order of the service.
// belongsElsewhere reports whether a service belongs to another engine. withRunning is set if running tasks can be handed over.
func (e *Engine) CountByService(counts []handover.ServiceLoad, withRunning bool,
	belongsElsewhere func(service uint64, tenant int) bool,
) []handover.ServiceLoad {
	positions := map[uint64]int{}
	countOf := func(t *Task) *handover.ServiceLoad {
		i, ok := positions[t.Service]
		if !ok {
			i = len(counts)
			positions[t.Service] = i
			counts = append(counts, handover.ServiceLoad{Service: t.Service, BelongsElsewhere: belongsElsewhere(t.Service, t.Tenant)})
		}
		if e.config.Cluster.JobClasses[t.JobClass].Spread != logic.Anywhere {
			counts[i].Spread = true
		}
		return &counts[i]
	}
	for slot := range e.allocations {
		a := &e.allocations[slot]
		if !e.isInUse(slot) {
			continue
		}
		switch count := countOf(&a.task); {
		case !e.isTransferable(a, withRunning):
			count.Unresolved++
		case a.phase == phaseRunning:
			count.Running++
		default:
			count.Waiting++
		}
	}
	for _, entry := range e.abandoned { // only counted, so the iteration order does not matter
		if !entry.started || !entry.stopped {
			countOf(&entry.task).Unresolved++
		}
	}
	slices.SortFunc(counts, func(a, b handover.ServiceLoad) int { return cmp.Compare(a.Service, b.Service) })
	return counts
}

// isTransferable reports whether an allocation can be handed over. It can if it has no current attempt and its earlier attempts provably
// never ran, or if its task runs on a node that is ready.
func (e *Engine) isTransferable(a *allocation, withRunning bool) bool {
	if !a.lateStart.IsZero() {
		return false
	}
	switch a.phase {
	case phaseWaiting:
		return !a.answered && !a.mayHaveRun
	case phaseRunning:
		kept := a.request.Client == noClient && a.dueAt > e.now // for a retry and stopped at dueAt, which only this engine knows
		return withRunning && e.nodes[a.nodeIndex].ready && !a.stopping && !kept
	}
	return false
}

// TransferOut removes all transferable allocations of a service from this engine and passes each to take.
func (e *Engine) TransferOut(now float64, service uint64, withRunning bool, take func(Transfer)) {
	e.observe(now)
	var slots []int
	for slot := range e.allocations {
		a := &e.allocations[slot]
		if e.isInUse(slot) && a.task.Service == service && e.isTransferable(a, withRunning) {
			slots = append(slots, slot)
		}
	}
	for _, slot := range slots {
		take(e.transferOut(slot))
	}
}

// transferOut removes an allocation from this engine and returns it as a Transfer.
func (e *Engine) transferOut(slot int) Transfer {
	a := &e.allocations[slot]
	t := Transfer{
		Request: a.request, Task: a.task, Deadline: a.deadline, Epoch: a.epoch,
		Running: a.phase == phaseRunning, Attempt: a.attempt,
	}
	id := a.id
	if t.Running {
		t.Node = e.nodes[a.nodeIndex].id
		result := logic.AttemptResult{
			Allocation: id, Node: t.Node, Attempt: a.policyAttempt(), Duration: e.now - a.sentAt, Answered: true,
			Reason: logic.ReasonUnknown, Outcome: logic.Completed,
		}
		e.detach(slot)
		e.removeTransferred(slot)
		e.policy.OnOutcome(e.now, result)
	} else {
		e.admission.Release(a.task.Tenant)
		e.removeTransferred(slot)
		e.policy.OnExpired(e.now, id)
	}
	return t
}

// TransferIn takes over a running task from another engine. By then, the ownership of the task must have moved to this engine, as
// Effects.RecoverTask checks. TransferIn returns false if the task's node is not known here or another engine owns the task by now.
func (e *Engine) TransferIn(now float64, t Transfer) bool {
	e.observe(now)
	index, ok := e.nodeIndex[t.Node]
	if !ok {
		return false
	}
	if _, ok := e.findAttempt(t.Attempt); ok { // the node has already reported it as held
		return true
	}
	entry := abandonedAttempt{nodeIndex: index, task: t.Task, sentAt: now, started: true}
	e.recordAbandoned(t.Attempt, entry)
	slot, ok := e.recoverTask(t.Attempt, entry)
	if !ok {
		return false
	}
	if a := &e.allocations[slot]; !e.nodes[index].connected { // the connection broke during the transfer
		a.confirmBy = now + outcome.ClaimTimeout(true)
		e.timers.Set(a.confirmBy, timerConfirm, uint64(a.id))
	}
	return true
}
