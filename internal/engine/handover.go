package engine

import (
	"slices"

	"ravenpond/internal/decide/handover"
	"ravenpond/internal/decide/outcome"
	"ravenpond/logic"
)

// Transfer is an allocation that one engine gives to another: all that is needed to go on with it.
type Transfer struct {
	Client           uint32
	RequestID        uint64
	JobClass, Tenant int
	Service, Token   uint64
	Cores, Memory    float64
	Deadline         float64
	Epoch            uint32 // under which it was held
	Running          bool   // at the node, by the try
	Node             uint32
	Ticket           uint64
	Attempt          uint8
}

// CountByService counts what the engine holds, by service in their order; goes tells which belong to another. runsGo tells
// that what runs can be given at all.
func (e *Engine) CountByService(into []handover.ServiceLoad, runsGo bool, goes func(service uint64, tenant int) bool) []handover.ServiceLoad {
	at := map[uint64]int{}
	part := func(service uint64, tenant, job int) *handover.ServiceLoad {
		i, ok := at[service]
		if !ok {
			i = len(into)
			at[service] = i
			into = append(into, handover.ServiceLoad{Service: service, BelongsElsewhere: goes(service, tenant)})
		}
		if e.config.Cluster.JobClasses[job].Spread != logic.Anywhere {
			into[i].Spread = true
		}
		return &into[i]
	}
	for p := range e.allocations {
		a := &e.allocations[p]
		if q, ok := e.byID[a.id]; !ok || q != p {
			continue
		}
		switch pt := part(a.service, a.tenant, a.jobClass); {
		case e.isTransferable(a, runsGo):
			if a.phase == phaseRunning {
				pt.Running++
			} else {
				pt.Waiting++
			}
		default:
			pt.Unresolved++
		}
	}
	for _, g := range e.abandoned { // counts alone: the order has no effect
		if !g.started || !g.stopped {
			part(g.service, g.tenant, g.jobClass).Unresolved++
		}
	}
	slices.SortFunc(into, func(x, y handover.ServiceLoad) int {
		if x.Service < y.Service {
			return -1
		}
		return 1
	})
	return into
}

// isTransferable tells whether an allocation can be given away: it waits and was never out but for tries that provably never
// ran, or it runs at a node that can be spoken to.
func (e *Engine) isTransferable(a *allocation, runsGo bool) bool {
	switch a.phase {
	case phaseWaiting:
		return !a.answered && !a.mayHaveRun && a.lateStart.ticket == 0
	case phaseRunning:
		kept := a.client == noClient && a.dueAt > e.now // and stopped then, which is known here alone
		return runsGo && e.nodes[a.nodeIndex].ready && !a.stopping && !kept && a.lateStart.ticket == 0
	}
	return false
}

// TransferOut takes what can go of a service out of this engine and hands it over by give.
func (e *Engine) TransferOut(now float64, service uint64, runsGo bool, give func(Transfer)) {
	e.now, e.hasEvents = now, true
	var all []int
	for p := range e.allocations {
		a := &e.allocations[p]
		if q, ok := e.byID[a.id]; ok && q == p && a.service == service && e.isTransferable(a, runsGo) {
			all = append(all, p)
		}
	}
	for _, p := range all {
		a := &e.allocations[p]
		g := Transfer{
			Client: a.client, RequestID: a.requestID, JobClass: a.jobClass, Tenant: a.tenant, Service: a.service, Token: a.token,
			Cores: a.cores, Memory: a.memory, Deadline: a.deadline, Epoch: a.epoch, Running: a.phase == phaseRunning, Ticket: a.ticket,
			Attempt: a.attempt,
		}
		id, try := a.id, a.policyAttempt()
		if g.Running {
			g.Node = e.nodes[a.nodeIndex].id
			e.detach(p)
			e.forgetTransferred(p)
			e.policy.OnOutcome(now, logic.AttemptResult{
				Allocation: id, Node: g.Node, Attempt: try,
				Duration: now - a.sentAt, Answered: true, Outcome: logic.Completed,
			})
		} else {
			e.admission.Release(a.tenant)
			e.forgetTransferred(p)
			e.policy.OnExpired(now, id)
		}
		give(g)
	}
}

// forgetTransferred forgets an allocation that another acts for from now on.
func (e *Engine) forgetTransferred(p int) {
	a := &e.allocations[p]
	delete(e.byID, a.id)
	e.clearClient(a)
	if name := (idempotencyKey{a.tenant, a.token}); e.byKey[name] == p {
		delete(e.byKey, name)
	}
	delete(e.recovered, attemptID{a.ticket, a.attempt})
	e.free = append(e.free, p)
	a.phase = phaseWaiting
}

// TransferIn takes one that runs from another engine. Edge.Adopt must know it as this engine's; false if it can't be
// taken, as its node is not known here.
func (e *Engine) TransferIn(now float64, g Transfer) bool {
	e.now, e.hasEvents = now, true
	nd, ok := e.nodeIndex[g.Node]
	if !ok {
		return false
	}
	name := attemptID{g.Ticket, g.Attempt}
	if _, ok := e.findAttempt(g.Ticket, g.Attempt); ok { // its node was faster in telling what it holds
		return true
	}
	gh := abandonedAttempt{
		nodeIndex: nd, jobClass: g.JobClass, tenant: g.Tenant, service: g.Service, token: g.Token, cores: g.Cores,
		memory: g.Memory, sentAt: now, started: true,
	}
	e.rememberAbandoned(name, gh)
	p := e.recoverTask(name, gh)
	if p < 0 {
		return false
	}
	if a := &e.allocations[p]; !e.nodes[nd].connected { // the connection broke on the way
		a.confirmBy = now + outcome.ClaimTimeout(true)
		e.timers.Set(a.confirmBy, timerConfirm, uint64(a.id))
	}
	return true
}

// ForEachAllocation tells what the engine holds: allocations that wait, are out or run, for whoever checks that nobody else does.
func (e *Engine) ForEachAllocation(f func(tenant int, token uint64, epoch uint32, answered bool)) {
	for p := range e.allocations {
		a := &e.allocations[p]
		if q, ok := e.byID[a.id]; ok && q == p {
			f(a.tenant, a.token, a.epoch, a.answered)
		}
	}
}

// KnowsAttempt tells whether a try is known, if only as one that was given up.
func (e *Engine) KnowsAttempt(ticket uint64, try uint8) bool {
	_, ok := e.findAttempt(ticket, try)
	_, ghost := e.abandoned[attemptID{ticket, try}]
	return ok || ghost
}

// SetOpenLimit changes how many allocations may be open.
func (e *Engine) SetOpenLimit(open int) { e.admission.SetLimit(open) }

// SetSchedulerCount tells the module how many share what a cold node bears; 0: this one takes no part. A policy that knows of no
// such thing goes on as it began.
func (e *Engine) SetSchedulerCount(schedulers int) {
	if m, ok := e.policy.(interface{ SetSchedulerCount(int) }); ok {
		m.SetSchedulerCount(schedulers)
	}
}

// IsIdle tells that the engine holds nothing and need hear of nothing more.
func (e *Engine) IsIdle() bool { return len(e.byID) == 0 && len(e.abandoned) == 0 }
