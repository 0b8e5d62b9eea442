package engine

import (
	"cmp"
	"slices"

	"ravenpond/internal/decide/outcome"
	"ravenpond/logic"
)

type tryName struct {
	ticket uint64
	try    uint8
}

// ghost is a try that was given up but may still be heard of.
type ghost struct {
	alloc         uint32 // its allocation, if that is still open
	nd            int
	job, tenant   int
	service       uint64
	token         uint64
	cores, memory float64
	sentAt        float64
	started       bool
	stopped       bool
	counts        uint32 // by this number the module counts it for its service's spread, 0: it does not
}

// claim is a given up try that is to be claimed, and how often after that.
type claim struct {
	name tryName
	left int
}

// askClaim has a given up try claimed after a while, some times: if it runs after all, its owner's next ask must
// find that out rather than start a second.
func (e *Engine) askClaim(name tryName, times int) {
	if times > 0 {
		e.claims = append(e.claims, claim{name, times - 1})
		e.bells.Set(e.now+outcome.ClaimEvery(e.terms.SettleTime), dueClaim, 0)
	}
}

func (e *Engine) remember(name tryName, g ghost) {
	if len(e.ghosts) == 0 {
		e.bells.Set(e.now+outcome.RememberFor()/4, dueGhost, 0)
	}
	if _, ok := e.ghosts[name]; !ok {
		e.nodes[g.nd].ghosts++
		if outcome.Counts(e.terms.Cluster.JobTypes[g.job].Spread) {
			e.ids++
			g.counts = e.ids
			e.sched.Found(e.now, g.counts, g.job, g.tenant, g.service, g.cores, g.memory, e.nodes[g.nd].id)
		}
	}
	e.ghosts[name] = g
}

func (e *Engine) forget(name tryName) {
	if g, ok := e.ghosts[name]; ok {
		e.nodes[g.nd].ghosts--
		delete(e.ghosts, name)
		if g.counts > 0 {
			e.sched.Settled(e.now, g.counts, e.nodes[g.nd].id, 0, e.now-g.sentAt, true, logic.NotTold, logic.Ended, nil)
		}
	}
}

// forgetAll forgets those that are meant, in the order of their names: the module hears of them.
func (e *Engine) forgetAll(meant func(ghost) bool) {
	var names []tryName
	for name, g := range e.ghosts {
		if meant(g) {
			names = append(names, name)
		}
	}
	slices.SortFunc(names, tryName.compare)
	for _, name := range names {
		e.forget(name)
	}
}

func (x tryName) compare(y tryName) int {
	return cmp.Or(cmp.Compare(x.ticket, y.ticket), cmp.Compare(x.try, y.try))
}

// startedLate meets the start of a try that had been given up.
func (e *Engine) startedLate(name tryName, g ghost) {
	g.started = true
	e.ghosts[name] = g
	e.stats.LateStarts++
	p, open := e.at[g.alloc]
	open = open && !e.allocs[p].answered && e.now < e.allocs[p].expiry
	if q, ok := e.byToken[named{g.tenant, g.token}]; ok && (!open || q != p) {
		if a := &e.allocs[q]; a.phase == runs { // it runs elsewhere by now
			e.stopLate(name)
			return
		} else if !a.answered && e.now < a.expiry { // asked for again
			p, open = q, true
		}
	}
	switch outcome.Late(e.effects[g.job], open, open && e.allocs[p].phase != waits) {
	case outcome.Stop:
		e.stopLate(name)
	case outcome.Serve:
		e.sched.Lapsed(e.now, e.allocs[p].id)
		e.serveLate(name, p)
	case outcome.Await:
		a := &e.allocs[p]
		if a.late.ticket != 0 {
			e.stopLate(name)
			return
		}
		a.late = name
		if a.phase == held {
			e.unsend(a)
		} else if !a.recalled {
			e.recall(a)
		}
	case outcome.Keep:
		if q := e.adopt(name, g); q >= 0 {
			e.keep(&e.allocs[q])
		}
	}
}

// serveLate answers the allocation at p, of which nothing is out, with a start that had been given up.
func (e *Engine) serveLate(name tryName, p int) {
	a := &e.allocs[p]
	g := e.ghosts[name]
	owner, ref := a.owner, a.ref
	e.answer(a, Served, e.nodes[g.nd].id, "late", 0)
	if a.owner == nobody { // too late after all
		owner = nobody
	}
	a.late = tryName{}
	e.disown(a)
	e.drop(p)
	q := e.adopt(name, g)
	if q < 0 {
		return
	}
	e.own(q, owner, ref)
	if owner == nobody {
		e.keep(&e.allocs[q])
	}
}

// lapseLate decides about a late start whose allocation was answered without it.
func (e *Engine) lapseLate(name tryName) {
	if g, ok := e.ghosts[name]; ok && name.ticket != 0 && !g.stopped {
		if outcome.Late(e.effects[g.job], false, false) == outcome.Stop {
			e.stopLate(name)
		} else {
			if q := e.adopt(name, g); q >= 0 {
				e.keep(&e.allocs[q])
			}
		}
	}
}

func (e *Engine) stopLate(name tryName) {
	if g, ok := e.ghosts[name]; ok {
		g.stopped = true
		e.ghosts[name] = g
		if e.nodes[g.nd].linked {
			e.edge.Stop(e.nodes[g.nd].id, name.ticket, name.try)
		}
	}
}
