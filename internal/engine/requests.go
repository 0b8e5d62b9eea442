package engine

import (
	"errors"
	"fmt"

	"ravenpond/internal/decide/admit"
	"ravenpond/internal/decide/outcome"
)

// own makes an owner hear of an allocation; disown ends that.
func (e *Engine) own(p int, owner uint32, ref uint64) {
	e.allocs[p].owner, e.allocs[p].ref = owner, ref
	if owner != nobody {
		e.asks[ask{owner, ref}] = p
	}
}

func (e *Engine) disown(a *alloc) {
	if a.owner != nobody {
		delete(e.asks, ask{a.owner, a.ref})
		a.owner = nobody
	}
}

// answer gives the final answer, once, and never after the owner's time is up.
func (e *Engine) answer(a *alloc, answer Answer, nd uint32, why string, holdOff float64) {
	a.answered = true
	e.door.Leave(a.tenant)
	if a.owner == nobody {
		return
	}
	if e.now >= a.expiry { // stood still: the owner has given up by itself, and nothing more is sent for it
		e.stats.Expired++
		e.edge.ExpireRequest(a.owner, a.ref)
		e.disown(a)
		return
	}
	if !e.edge.PermitAnswer(a.tenant, a.token, a.epoch, answer == Served) {
		e.disown(a)
		return
	}
	switch answer {
	case Served:
		e.stats.Served++
	case Declined:
		e.stats.Declined++
	case Failed:
		e.stats.Failed++
	}
	e.edge.Answer(a.owner, a.ref, answer, nd, why, holdOff)
	if answer != Served {
		e.disown(a)
	}
}

// Allocate takes an ask under an epoch of the one who says which engine acts for it: left is the time that its owner
// still waits, counted from now. An error means that it was not understood as a new one, and no answer follows.
func (e *Engine) Allocate(now float64, owner uint32, ref uint64, jobType, tenant int, service, token uint64,
	cores, memory, left float64, epoch uint32) error {
	e.now, e.news = now, true
	if _, ok := e.asks[ask{owner, ref}]; ok {
		return fmt.Errorf("ask %d is not over", ref)
	}
	name := named{tenant, token}
	if p, ok := e.byToken[name]; ok {
		e.again(p, owner, ref)
		return nil
	}
	if epoch == 0 { // meant for one that was here a moment ago
		e.stats.Rejected++
		e.edge.Answer(owner, ref, Declined, 0, "just-ended", 0)
		return nil
	}
	least := e.terms.AnswerMargin + 4*e.terms.Cluster.Step
	if why := e.door.Enter(tenant, left, least, e.fits(jobType, cores, memory)); why != admit.Taken {
		e.stats.Rejected++
		if e.edge.PermitAnswer(tenant, token, epoch, false) {
			e.edge.Answer(owner, ref, Declined, 0, why.String(), 0)
		}
		e.edge.ReleaseTask(tenant, token, service, epoch)
		return nil
	}
	e.stats.Admitted++
	p, a := e.take()
	a.job, a.tenant, a.service, a.token, a.epoch = jobType, tenant, service, token, epoch
	e.own(p, owner, ref)
	a.cores, a.memory, a.expiry, a.waitsSince = cores, memory, now+left, now
	e.byToken[name] = p
	e.sched.Allocate(now, a.id, jobType, tenant, a.expiry-e.terms.AnswerMargin, service, cores, memory)
	return nil
}

// again meets an ask for what is open or runs already: a second start is what its key guards against.
func (e *Engine) again(p int, owner uint32, ref uint64) {
	a := &e.allocs[p]
	switch {
	case a.phase == runs:
		e.disown(a)
		e.own(p, owner, ref)
		e.edge.SetClient(a.tenant, a.token, a.epoch, owner, ref)
		e.stats.Served++
		e.edge.Answer(owner, ref, Served, e.nodes[a.nd].id, "runs", 0)
	case !a.answered:
		e.stats.Rejected++
		e.edge.Answer(owner, ref, Declined, 0, "open-already", 0)
	default: // answered, and a try of it is still out: its outcome decides what a next ask may do
		e.stats.Rejected++
		e.edge.Answer(owner, ref, Declined, 0, "earlier-try-out", 0)
	}
}

// fits tells whether an empty machine of the kind that the job type needs would accept so much.
func (e *Engine) fits(jobType int, cores, memory float64) bool {
	cl := e.terms.Cluster
	for k := range cl.KindCores {
		if kind := cl.JobTypes[jobType].Kind; (kind < 0 || kind == k) &&
			cores <= cl.KindCores[k]*cl.CoresLimit && memory <= cl.KindMemory[k]*cl.MemoryLimit {
			return true
		}
	}
	return false
}

// Withdraw ends an ask that its owner gives up: an open one is answered at once, one that runs is stopped.
func (e *Engine) Withdraw(now float64, owner uint32, ref uint64) error {
	e.now, e.news = now, true
	if p, ok := e.asks[ask{owner, ref}]; ok {
		e.withdraw(p, true)
		return nil
	}
	return fmt.Errorf("no ask %d to withdraw", ref)
}

func (e *Engine) withdraw(p int, answer bool) {
	a := &e.allocs[p]
	if a.phase == runs {
		e.stop(a)
		return
	}
	if !answer {
		e.disown(a)
	}
	jt, verdict := &e.terms.Cluster.JobTypes[a.job], Failed
	if outcome.Withdrawn(jt.Effect, jt.Group, a.phase == out, a.mayHave) {
		verdict = Declined
	}
	late := a.late
	a.late = tryName{}
	e.answer(a, verdict, 0, "withdrawn", 0)
	e.disown(a)
	e.sched.Lapsed(e.now, a.id)
	switch a.phase {
	case out:
		if !a.recalled {
			e.recall(a)
		}
	case held:
		e.unsend(a)
	case waits:
		e.drop(p)
	}
	e.lapseLate(late)
}

// OnClientDisconnected ends all open asks of an owner whose connection is gone; what runs goes on for nobody.
func (e *Engine) OnClientDisconnected(now float64, owner uint32) {
	e.now, e.news = now, true
	for p := range e.allocs {
		a := &e.allocs[p]
		if _, ok := e.at[a.id]; !ok || a.owner != owner || owner == nobody {
			continue
		}
		if a.phase == runs {
			e.disown(a)
		} else {
			e.withdraw(p, false)
		}
	}
}

// Close answers all that is open, as the process is about to end: what an owner is told now it need not wait for.
func (e *Engine) Close(now float64) {
	e.now = now
	for p := range e.allocs {
		a := &e.allocs[p]
		if _, ok := e.at[a.id]; ok && !a.answered {
			e.withdraw(p, true)
		}
	}
}

var errSecond = errors.New("second answer for a try")

// find gives the place of the allocation whose try is named.
func (e *Engine) find(ticket uint64, try uint8) (int, bool) {
	if p, ok := e.adopted[tryName{ticket, try}]; ok {
		return p, true
	}
	if uint32(ticket>>32) != e.terms.Incarnation {
		return 0, false
	}
	p, ok := e.at[uint32(ticket)]
	if !ok || e.allocs[p].try != try || e.allocs[p].phase < out || e.allocs[p].ticket != ticket {
		return 0, false
	}
	return p, true
}

func (e *Engine) unknown(ticket uint64, try uint8) error {
	return fmt.Errorf("answer for unknown try %x.%d", ticket, try)
}

// adopt makes a running allocation of what a node runs and tells the module.
//
// It returns -1 and stops it if another acts for it by now.
func (e *Engine) adopt(name tryName, g ghost) int {
	epoch, owner, ref, ok := e.edge.RecoverTask(g.tenant, g.token, g.job, g.service, g.cores, g.memory,
		e.nodes[g.nd].id, name.ticket, name.try)
	if !ok {
		e.stopLate(name)
		return -1
	}
	e.forget(name)
	p, a := e.take()
	a.epoch = epoch
	a.phase, a.answered, a.found = runs, true, true
	a.job, a.tenant, a.service, a.token, a.cores, a.memory = g.job, g.tenant, g.service, g.token, g.cores, g.memory
	a.ticket, a.try, a.sentAt = name.ticket, name.try, e.now
	e.put(p, g.nd)
	e.adopted[name] = p
	e.byToken[named{a.tenant, a.token}] = p
	a.seen = true
	e.own(p, owner, ref)
	e.stats.Recovered++
	e.sched.Found(e.now, a.id, a.job, a.tenant, a.service, a.cores, a.memory, e.nodes[g.nd].id)
	return p
}
