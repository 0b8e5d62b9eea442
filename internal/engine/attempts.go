package engine

import (
	"errors"

	"ravenpond/internal/decide/outcome"
	"ravenpond/logic"
)

// put counts a try in at its node, pull counts it out.
func (e *Engine) put(p, nd int) {
	a, n := &e.allocs[p], &e.nodes[nd]
	a.nd, a.place = nd, len(n.on)
	n.on = append(n.on, p)
	if n.released {
		e.retain(e.now, nd)
	}
}

func (e *Engine) pull(p int) {
	a := &e.allocs[p]
	n := &e.nodes[a.nd]
	last := len(n.on) - 1
	moved := n.on[last]
	n.on[a.place] = moved
	e.allocs[moved].place = a.place
	n.on = n.on[:last]
}

// settle ends a try and tells the module.
func (e *Engine) settle(p int, verdict logic.Verdict, why logic.Reason, report []float64) {
	a := &e.allocs[p]
	ran := a.phase == runs
	e.pull(p)
	nd, id, try, took := e.nodes[a.nd].id, a.id, a.moduleTry(), e.now-a.sentAt
	a.phase, a.doubtAt, a.waitsSince = waits, 0, e.now
	never := verdict == logic.Refused || verdict == logic.Unreached || verdict == logic.Unsent
	a.mayHave = a.mayHave || !never
	e.edge.RecordOutcome(a.tenant, a.token, a.epoch, never)
	over := ran || a.answered
	if ran && a.owner != nobody {
		e.edge.NotifyEnd(a.owner, a.ref, verdict, why)
	}
	if over {
		late := a.late
		e.drop(p)
		e.sched.Settled(e.now, id, nd, try, took, true, why, verdict, report)
		e.lapseLate(late)
		return
	}
	if a.late.ticket != 0 { // the earlier one runs: it serves, and the module need not try again
		late := a.late
		e.sched.Lapsed(e.now, id)
		e.sched.Settled(e.now, id, nd, try, took, true, why, verdict, report)
		e.serveLate(late, p)
		return
	}
	e.sched.Settled(e.now, id, nd, try, took, false, why, verdict, report)
}

// giveUp ends a try without word from its node; what may yet be heard of it is remembered.
func (e *Engine) giveUp(p int, verdict logic.Verdict) {
	a := &e.allocs[p]
	if !a.recalled {
		e.recall(a)
	}
	e.remember(tryName{a.ticket, a.try}, ghost{alloc: a.id, nd: a.nd, job: a.job, tenant: a.tenant,
		service: a.service, token: a.token, cores: a.cores, memory: a.memory, sentAt: a.sentAt})
	if e.effects[a.job] != logic.Restartable {
		e.askClaim(tryName{a.ticket, a.try}, outcome.Claims())
	}
	e.settle(p, verdict, logic.NotTold, nil)
}

// unsend ends a try that waits for its node's connection: it must not leave any more, even if that comes right now.
func (e *Engine) unsend(a *alloc) {
	a.recalled = true
	e.soon = append(e.soon, settlement{a.id, a.try, logic.Unsent})
}

func (e *Engine) recall(a *alloc) {
	a.recalled = true
	if e.nodes[a.nd].ready {
		e.edge.Recall(e.nodes[a.nd].id, a.ticket, a.try)
	}
}

// OnStarted is a node's word that a try runs. An error is the peer's fault: its connection should end.
func (e *Engine) OnStarted(now float64, nd uint32, ticket uint64, try uint8, took float64) error {
	e.now, e.news = now, true
	name := tryName{ticket, try}
	if p, ok := e.find(ticket, try); ok {
		a := &e.allocs[p]
		if e.nodes[a.nd].id != nd {
			return e.unknown(ticket, try)
		}
		if a.phase == runs {
			return errSecond
		}
		e.started(p, took)
		return nil
	}
	g, ok := e.ghosts[name]
	if !ok || e.nodes[g.nd].id != nd {
		return e.unknown(ticket, try)
	}
	if g.started {
		return errSecond
	}
	e.startedLate(name, g)
	return nil
}

func (e *Engine) started(p int, took float64) {
	a := &e.allocs[p]
	a.phase, a.doubtAt = runs, 0
	late := a.late
	a.late = tryName{}
	e.sched.Started(e.now, a.id, a.moduleTry(), took)
	if !a.answered {
		e.answer(a, Served, e.nodes[a.nd].id, "", 0)
	}
	if a.owner == nobody { // answered before, or too late to be told
		e.stats.LateStarts++
		if outcome.Late(e.effects[a.job], false, false) == outcome.Stop {
			e.stop(a)
		} else {
			e.keep(a)
		}
	}
	if late.ticket != 0 { // this try was faster than the recall: the other start is one too many
		e.stopLate(late)
	}
}

// stop asks the node of a running allocation to end it; a node that is away is asked when it is back.
func (e *Engine) stop(a *alloc) {
	a.stopping = true
	if e.nodes[a.nd].ready {
		e.edge.Stop(e.nodes[a.nd].id, a.ticket, a.try)
	}
}

// keep holds a running allocation of nobody's for its owner's next ask.
func (e *Engine) keep(a *alloc) {
	a.dueAt = e.now + outcome.KeepFor(e.terms.SettleTime)
	e.bells.Set(a.dueAt, dueKept, uint64(a.id))
}

// OnOutcome is a node's word on a try's outcome; never tells that the node proves that it never ran.
func (e *Engine) OnOutcome(now float64, nd uint32, ticket uint64, try uint8, verdict logic.Verdict, why logic.Reason,
	report []float64) error {
	e.now, e.news = now, true
	if p, ok := e.find(ticket, try); ok {
		a := &e.allocs[p]
		if e.nodes[a.nd].id != nd {
			return e.unknown(ticket, try)
		}
		if a.phase == runs && verdict == logic.Refused {
			return errors.New("try refused after its start")
		}
		e.settle(p, verdict, why, report)
		return nil
	}
	name := tryName{ticket, try}
	if g, ok := e.ghosts[name]; ok && e.nodes[g.nd].id == nd {
		e.forget(name)
		if p, ok := e.at[g.alloc]; ok && e.allocs[p].late == name {
			e.allocs[p].late = tryName{}
		}
		return nil
	}
	return e.unknown(ticket, try)
}

// OnNote is a node's word on a running allocation. One that has just ended may still be named.
func (e *Engine) OnNote(now float64, nd uint32, ticket uint64, try uint8, kind logic.NoteKind, value float64) error {
	e.now, e.news = now, true
	if p, ok := e.find(ticket, try); ok && e.nodes[e.allocs[p].nd].id == nd {
		a := &e.allocs[p]
		e.sched.Noted(now, a.id, a.moduleTry(), nd, kind, value)
	}
	return nil
}

// OnSharedReport is a load report that another engine heard from a node.
func (e *Engine) OnSharedReport(now float64, nd uint32, report []float64) {
	e.now = now
	e.sched.Settled(now, 0, nd, 0, 0, true, logic.NotTold, logic.Ended, report) // no allocation has the number 0
}

// moduleTry is the number by which the module knows the try: what was found is its first.
func (a *alloc) moduleTry() uint8 {
	if a.found {
		return 0
	}
	return a.try
}
