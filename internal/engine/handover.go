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
func (e *Engine) CountByService(into []handover.Part, runsGo bool, goes func(service uint64, tenant int) bool) []handover.Part {
	at := map[uint64]int{}
	part := func(service uint64, tenant, job int) *handover.Part {
		i, ok := at[service]
		if !ok {
			i = len(into)
			at[service] = i
			into = append(into, handover.Part{Service: service, Goes: goes(service, tenant)})
		}
		if e.terms.Cluster.JobTypes[job].Spread != logic.Anywhere {
			into[i].Whole = true
		}
		return &into[i]
	}
	for p := range e.allocs {
		a := &e.allocs[p]
		if q, ok := e.at[a.id]; !ok || q != p {
			continue
		}
		switch pt := part(a.service, a.tenant, a.job); {
		case e.mayGo(a, runsGo):
			if a.phase == runs {
				pt.Runs++
			} else {
				pt.Waits++
			}
		default:
			pt.Out++
		}
	}
	for _, g := range e.ghosts { // counts alone: the order has no effect
		if !g.started || !g.stopped {
			part(g.service, g.tenant, g.job).Out++
		}
	}
	slices.SortFunc(into, func(x, y handover.Part) int {
		if x.Service < y.Service {
			return -1
		}
		return 1
	})
	return into
}

// mayGo tells whether an allocation can be given away: it waits and was never out but for tries that provably never
// ran, or it runs at a node that can be spoken to.
func (e *Engine) mayGo(a *alloc, runsGo bool) bool {
	switch a.phase {
	case waits:
		return !a.answered && !a.mayHave && a.late.ticket == 0
	case runs:
		kept := a.owner == nobody && a.dueAt > e.now // and stopped then, which is known here alone
		return runsGo && e.nodes[a.nd].ready && !a.stopping && !kept && a.late.ticket == 0
	}
	return false
}

// TransferOut takes what can go of a service out of this engine and hands it over by give.
func (e *Engine) TransferOut(now float64, service uint64, runsGo bool, give func(Transfer)) {
	e.now, e.news = now, true
	var all []int
	for p := range e.allocs {
		a := &e.allocs[p]
		if q, ok := e.at[a.id]; ok && q == p && a.service == service && e.mayGo(a, runsGo) {
			all = append(all, p)
		}
	}
	for _, p := range all {
		a := &e.allocs[p]
		g := Transfer{Client: a.owner, RequestID: a.ref, JobClass: a.job, Tenant: a.tenant, Service: a.service, Token: a.token,
			Cores: a.cores, Memory: a.memory, Deadline: a.expiry, Epoch: a.epoch, Running: a.phase == runs, Ticket: a.ticket,
			Attempt: a.try}
		id, try := a.id, a.moduleTry()
		if g.Running {
			g.Node = e.nodes[a.nd].id
			e.pull(p)
			e.unhold(p)
			e.sched.Settled(now, id, g.Node, try, now-a.sentAt, true, logic.NotTold, logic.Ended, nil)
		} else {
			e.door.Leave(a.tenant)
			e.unhold(p)
			e.sched.Lapsed(now, id)
		}
		give(g)
	}
}

// unhold forgets an allocation that another acts for from now on.
func (e *Engine) unhold(p int) {
	a := &e.allocs[p]
	delete(e.at, a.id)
	e.disown(a)
	if name := (named{a.tenant, a.token}); e.byToken[name] == p {
		delete(e.byToken, name)
	}
	delete(e.adopted, tryName{a.ticket, a.try})
	e.free = append(e.free, p)
	a.phase = waits
}

// TransferIn takes one that runs from another engine. Edge.Adopt must know it as this engine's; false if it can't be
// taken, as its node is not known here.
func (e *Engine) TransferIn(now float64, g Transfer) bool {
	e.now, e.news = now, true
	nd, ok := e.nodeAt[g.Node]
	if !ok {
		return false
	}
	name := tryName{g.Ticket, g.Attempt}
	if _, ok := e.find(g.Ticket, g.Attempt); ok { // its node was faster in telling what it holds
		return true
	}
	gh := ghost{nd: nd, job: g.JobClass, tenant: g.Tenant, service: g.Service, token: g.Token, cores: g.Cores,
		memory: g.Memory, sentAt: now, started: true}
	e.remember(name, gh)
	p := e.adopt(name, gh)
	if p < 0 {
		return false
	}
	if a := &e.allocs[p]; !e.nodes[nd].linked { // the connection broke on the way
		a.doubtAt = now + outcome.Patience(true)
		e.bells.Set(a.doubtAt, dueDoubt, uint64(a.id))
	}
	return true
}

// ForEachAllocation tells what the engine holds: allocations that wait, are out or run, for whoever checks that nobody else does.
func (e *Engine) ForEachAllocation(f func(tenant int, token uint64, epoch uint32, answered bool)) {
	for p := range e.allocs {
		a := &e.allocs[p]
		if q, ok := e.at[a.id]; ok && q == p {
			f(a.tenant, a.token, a.epoch, a.answered)
		}
	}
}

// KnowsAttempt tells whether a try is known, if only as one that was given up.
func (e *Engine) KnowsAttempt(ticket uint64, try uint8) bool {
	_, ok := e.find(ticket, try)
	_, ghost := e.ghosts[tryName{ticket, try}]
	return ok || ghost
}

// SetOpenLimit changes how many allocations may be open.
func (e *Engine) SetOpenLimit(open int) { e.door.Limit(open) }

// Sharing tells the module how many share what a cold node bears; 0: this one takes no part. A policy that knows of no
// such thing goes on as it began.
func (e *Engine) Sharing(schedulers int) {
	if m, ok := e.sched.(interface{ Sharing(int) }); ok {
		m.Sharing(schedulers)
	}
}

// IsIdle tells that the engine holds nothing and need hear of nothing more.
func (e *Engine) IsIdle() bool { return len(e.at) == 0 && len(e.ghosts) == 0 }
