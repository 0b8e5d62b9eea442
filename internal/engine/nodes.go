package engine

import (
	"fmt"
	"slices"

	"ravenpond/internal/decide/outcome"
	"ravenpond/logic"
)

// BeginList opens news of the node list; ListNode and ListEnd follow, as the module is told them.
func (e *Engine) BeginList(now float64, kind logic.ListKind) {
	e.now, e.news = now, true
	e.listKind, e.entering = kind, false
	e.page++
	e.sched.ListBegin(now, kind)
}

// AddListNode is one entry; startedAt is on the wall clock, 0 for long ago.
func (e *Engine) AddListNode(id uint32, address string, avail logic.Availability, startedAt, freeCores,
	freeMemory float64, zone, cell, kind int) {
	nd, ok := e.nodeAt[id]
	if !ok {
		if avail == logic.Gone {
			return
		}
		nd = len(e.nodes)
		e.nodeAt[id] = nd
		e.nodes = append(e.nodes, node{id: id, probeSeq: uint64(e.terms.Incarnation) << 24, out: e.outs[id] != 0}) // above any earlier life's
	}
	n := &e.nodes[nd]
	n.page = e.page
	if n.address != address && n.linked {
		e.edge.Disconnect(id, "moved to another address")
	}
	n.address = address
	since := 0.0
	if startedAt > 0 {
		since = max(0, startedAt-e.terms.WallClockStart) // one who started before this clock's zero started long ago
	}
	if since < n.began+sameStart { // of an earlier life, or the same start by another clock
		since = n.began
	}
	if n.delayed = n.delayed && since < n.last.since+sameStart; n.delayed {
		since += clockSlack
	}
	n.last = entry{avail, since, freeCores, freeMemory, zone, cell, kind}
	if e.entering {
		e.delayStart(n)
	}
	e.hear(nd)
}

// sameStart is how far apart, in ms, two clocks may tell the same start of a node.
const sameStart = 1000

// entry is what the list last told of a node.
type entry struct {
	avail                 logic.Availability
	since                 float64
	freeCores, freeMemory float64
	zone, cell, kind      int
}

// hear tells the module of a node: as the list has it, but draining where the calendar has it out.
func (e *Engine) hear(nd int) {
	n := &e.nodes[nd]
	l, avail := n.last, n.last.avail
	if n.out && avail == logic.Ready {
		avail = logic.Draining
	}
	e.turn(nd, avail)
	e.sched.ListNode(e.now, n.id, avail, l.since, l.freeCores, l.freeMemory, l.zone, l.cell, l.kind)
}

// SetMaintenance takes nodes out for maintenance, or brings them back, whatever the list says of them. Tries that are out to
// a node taken out are recalled: they come back, or run after all, but are never doubled. A node brought back that
// the list has as ready is ready again; if it was started anew meanwhile, the list says so and it is paced as cold.
func (e *Engine) SetMaintenance(now float64, ids []uint32, out bool) {
	e.keepOut(now, ids, byCalendar, out)
}

// SetWarned keeps nodes out, or no longer, that others say drain or are gone, ahead of the list here. What is on its way to
// them goes on: the list says what becomes of it.
func (e *Engine) SetWarned(now float64, ids []uint32, out bool) { e.keepOut(now, ids, byWord, out) }

// SetZoneClosed keeps nodes out, or no longer, whose zone this scheduler sends nothing to. What is on its way to them, or runs there, goes
// on: it may run, so nothing of it is started elsewhere that must not be.
func (e *Engine) SetZoneClosed(now float64, ids []uint32, out bool) { e.keepOut(now, ids, byZone, out) }

// Why a node is kept out, whatever the list says.
const (
	byCalendar = 1 << iota
	byWord
	byZone
	bySet
)

func (e *Engine) keepOut(now float64, ids []uint32, why uint8, takes bool) {
	e.now, e.news = now, true
	e.sched.ListBegin(now, logic.ListChanges) // without an end: to the module that would be a word of the list itself,
	for _, id := range ids {                  // and it would take longer to ask for the next
		if takes {
			e.outs[id] |= why
		} else if e.outs[id] &^= why; e.outs[id] == 0 {
			delete(e.outs, id)
		}
		out := e.outs[id] != 0
		nd, ok := e.nodeAt[id] // one that the list names only later is out from then on
		if !ok || e.nodes[nd].out == out {
			continue
		}
		e.nodes[nd].out = out
		if e.nodes[nd].avail != logic.Gone {
			e.hear(nd)
		}
		if out && why == byCalendar {
			e.clear(nd)
		}
	}
}

// clear calls back what does not run yet at a node.
func (e *Engine) clear(nd int) {
	for _, p := range e.nodes[nd].on {
		switch a := &e.allocs[p]; a.phase {
		case held:
			e.unsend(a)
		case out:
			if !a.recalled && e.terms.Cluster.MayRecall {
				e.recall(a)
			}
		}
	}
}

// CountRunning counts what runs at a node, by job type.
func (e *Engine) CountRunning(id uint32, byJob []int) {
	nd, ok := e.nodeAt[id]
	if !ok {
		return
	}
	for _, p := range e.nodes[nd].on {
		if a := &e.allocs[p]; a.phase == runs && !a.stopping {
			byJob[a.job]++
		}
	}
}

// CoresAt is how many cores the allocations ask for that are out to a node, or run there.
func (e *Engine) CoresAt(id uint32) (sum float64) {
	if nd, ok := e.nodeAt[id]; ok {
		for _, p := range e.nodes[nd].on {
			sum += e.allocs[p].cores
		}
	}
	return sum
}

// MigrateFrom stops up to so many of what runs at a node, of the job types that may be; their owners ask again. It
// returns how many it stopped.
func (e *Engine) MigrateFrom(now float64, id uint32, may []bool, most int) (stopped int) {
	e.now, e.news = now, true
	nd, ok := e.nodeAt[id]
	if !ok {
		return 0
	}
	for _, p := range e.nodes[nd].on {
		if a := &e.allocs[p]; stopped < most && a.phase == runs && !a.stopping && may[a.job] {
			e.stop(a)
			stopped++
		}
	}
	return stopped
}

// EndList closes the news.
func (e *Engine) EndList() {
	if e.listKind == logic.ListFull || e.listKind == logic.ListCached {
		for nd := range e.nodes {
			if e.nodes[nd].page != e.page {
				e.turn(nd, logic.Gone)
			}
		}
	}
	e.sched.ListEnd(e.now)
}

// turn follows a node's availability: what is on the list is kept connected.
func (e *Engine) turn(nd int, avail logic.Availability) {
	n := &e.nodes[nd]
	n.avail = avail
	e.pacer.Keep(e.now, nd, avail != logic.Gone && !n.released)
	if avail == logic.Gone && !n.linked {
		e.lose(nd)
	}
}

// lose ends what was with a node that is gone for good.
func (e *Engine) lose(nd int) {
	for i := len(e.nodes[nd].on) - 1; i >= 0; i-- {
		p := e.nodes[nd].on[i]
		switch outcome.GoneFrom(false, e.allocs[p].phase != held) {
		case outcome.MayHave:
			e.settle(p, logic.Broken, logic.NotTold, nil)
		case outcome.Never:
			e.settle(p, logic.Unreached, logic.NotTold, nil)
		}
	}
}

// OnDialFailed says that no connection to a node could be made.
func (e *Engine) OnDialFailed(now float64, id uint32, why string) {
	e.now, e.news = now, true
	nd, ok := e.nodeAt[id]
	if !ok {
		return
	}
	e.pacer.Failed(now, nd)
	n := &e.nodes[nd]
	for i := len(n.on) - 1; i >= 0; i-- { // what was to wait for the connection was never sent
		if p := n.on[i]; e.allocs[p].phase == held {
			e.settle(p, logic.Unreached, logic.NotTold, nil)
		}
	}
	if n.probing && !n.sent {
		e.probed(nd, logic.Unreached, nil)
	}
}

// OnConnected says that a node is connected, in which life it is and since when, 0 if it did not say. Held and HeldAll
// follow. A life that began after what the list knows of is news before anything is sent: the node may be cold.
func (e *Engine) OnConnected(now float64, id uint32, life uint64, since float64) {
	e.now, e.news = now, true
	nd, ok := e.nodeAt[id]
	if !ok {
		return
	}
	e.pacer.Linked(now, nd)
	n := &e.nodes[nd]
	if since > n.last.since+sameStart && now-since < e.terms.Cluster.ColdFor { // to the module a later start is a cold one
		n.began, n.last.since = since, since
		e.sched.ListBegin(now, logic.ListChanges) // without an end, as it is no word of the list
		e.hear(nd)
	}
	n.linked, n.ready, n.same, n.life = true, false, n.life == life, life
	if !n.same && now-n.last.since < e.terms.Cluster.ColdFor {
		e.reconsiderHeld(n)
	}
	for _, p := range n.on {
		e.allocs[p].seen = false
	}
	if !n.same && n.ghosts > 0 { // what the earlier life was asked for is gone with it
		e.forgetAll(func(g ghost) bool { return g.nd == nd })
	}
}

// reconsiderHeld takes back attempts that wait for the connection to a node that turns out to have just started: the module
// chose it as a warm one, and is to decide anew.
func (e *Engine) reconsiderHeld(n *node) {
	for _, p := range n.on {
		if a := &e.allocs[p]; a.phase == held && !a.recalled {
			e.unsend(a)
		}
	}
}

// OnHeld is one thing that a node holds for this scheduler, told before anything else on a connection.
func (e *Engine) OnHeld(now float64, id uint32, ticket uint64, try uint8, runsNow bool, jobType, tenant int,
	service, token uint64, cores, memory float64) error {
	e.now, e.news = now, true
	nd, ok := e.nodeAt[id]
	if !ok {
		return nil
	}
	if jobType >= len(e.effects) || tenant >= len(e.terms.Shares) {
		return fmt.Errorf("held try %x.%d of unknown job type %d or tenant %d", ticket, try, jobType, tenant)
	}
	name := tryName{ticket, try}
	if p, ok := e.find(ticket, try); ok && e.allocs[p].nd == nd {
		a := &e.allocs[p]
		a.seen, a.doubtAt = true, 0
		if runsNow && a.phase == out {
			e.started(p, now-a.sentAt)
		} else if a.stopping {
			e.edge.Stop(id, ticket, try)
		} else if a.recalled && a.phase == out {
			e.edge.Recall(id, ticket, try)
		}
		return nil
	}
	g, known := e.ghosts[name]
	if !known {
		g = ghost{nd: nd, job: jobType, tenant: tenant, service: service, token: token, cores: cores,
			memory: memory, sentAt: now}
		if p, ok := e.byToken[named{tenant, token}]; ok {
			g.alloc = e.allocs[p].id
		}
		e.remember(name, g)
	}
	switch {
	case g.nd != nd:
		return fmt.Errorf("held try %x.%d belongs to another node", ticket, try)
	case !runsNow: // of an earlier life, or given up: nobody waits for it
		e.edge.Recall(id, ticket, try)
	case g.stopped:
		e.edge.Stop(id, ticket, try)
	case !known:
		if _, asked := e.byToken[named{tenant, token}]; asked {
			e.startedLate(name, g)
		} else {
			e.adopt(name, g) // of an earlier life: it runs on, for whoever asks for it again
		}
	case !g.started:
		e.startedLate(name, g)
	}
	return nil
}

// OnHeldAll closes what a node holds: now it may be sent to.
func (e *Engine) OnHeldAll(now float64, id uint32) {
	e.now, e.news = now, true
	nd, ok := e.nodeAt[id]
	if !ok {
		return
	}
	n := &e.nodes[nd]
	n.ready, n.heldAll = true, true
	for i := len(n.on) - 1; i >= 0; i-- {
		p := n.on[i]
		a := &e.allocs[p]
		if a.phase == held {
			if !a.recalled {
				e.send(a, n)
			}
			continue
		}
		switch outcome.Returned(n.same, a.seen) {
		case outcome.MayHave:
			e.settle(p, logic.Broken, logic.NotTold, nil)
		case outcome.Ask:
			e.edge.Claim(id, a.ticket, a.try)
		}
	}
	if n.same && n.ghosts > 0 {
		e.bar(nd)
	}
	if n.probing && !n.sent {
		n.sent = true
		e.edge.Probe(id, n.probeSeq)
	}
}

// bar claims the given up tries of a node that came back, so that none that lay unread on the way starts yet.
func (e *Engine) bar(nd int) {
	var names []tryName
	for name, g := range e.ghosts {
		if g.nd == nd && !g.started {
			names = append(names, name)
		}
	}
	slices.SortFunc(names, tryName.compare)
	for _, name := range names {
		e.edge.Claim(e.nodes[nd].id, name.ticket, name.try)
	}
}

// OnClaimHeld is a node's answer to a claim: it holds the try, which runs or not.
func (e *Engine) OnClaimHeld(now float64, id uint32, ticket uint64, try uint8, runsNow bool) {
	e.now, e.news = now, true
	name := tryName{ticket, try}
	if p, ok := e.find(ticket, try); ok && e.nodes[e.allocs[p].nd].id == id {
		a := &e.allocs[p]
		a.doubtAt = 0
		if runsNow && a.phase == out {
			e.started(p, now-a.sentAt)
		} else if a.phase == out && a.recalled {
			e.edge.Recall(id, ticket, try)
		}
	} else if g, ok := e.ghosts[name]; ok && e.nodes[g.nd].id == id {
		if !runsNow {
			e.edge.Recall(id, ticket, try)
		} else if !g.started {
			e.startedLate(name, g)
		}
	}
}

// OnClaimOutcome is a node's answer to a claim: the try's outcome, which it may have told before.
func (e *Engine) OnClaimOutcome(now float64, id uint32, ticket uint64, try uint8, verdict logic.Verdict,
	why logic.Reason) {
	e.now, e.news = now, true
	if p, ok := e.find(ticket, try); ok && e.nodes[e.allocs[p].nd].id == id {
		if e.allocs[p].phase == runs && verdict == logic.Refused {
			verdict = logic.Broken // it can't be so: the node forgot what it started
		}
		e.settle(p, verdict, why, nil)
	} else if g, ok := e.ghosts[tryName{ticket, try}]; ok && e.nodes[g.nd].id == id {
		e.forget(tryName{ticket, try})
		if p, ok := e.at[g.alloc]; ok && e.allocs[p].late == (tryName{ticket, try}) {
			e.allocs[p].late = tryName{}
		}
	}
}

// OnUnsent says that a try's last byte provably never left this machine. It comes before Unlinked.
func (e *Engine) OnUnsent(now float64, id uint32, ticket uint64, try uint8) {
	e.now, e.news = now, true
	if p, ok := e.find(ticket, try); ok && e.allocs[p].phase == out && outcome.Broke(false) == outcome.Never {
		e.settle(p, logic.Unreached, logic.NotTold, nil)
	}
}

// OnDisconnected says that a node's connection is no more.
func (e *Engine) OnDisconnected(now float64, id uint32, why string) {
	e.now, e.news = now, true
	nd, ok := e.nodeAt[id]
	if !ok || !e.nodes[nd].linked {
		return
	}
	n := &e.nodes[nd]
	n.linked, n.ready, n.lostAt, n.waited = false, false, now, false
	e.pacer.Broken(now, nd)
	if n.avail == logic.Gone {
		e.lose(nd)
		return
	}
	for _, p := range n.on {
		a := &e.allocs[p]
		if a.phase == out || a.phase == runs {
			a.doubtAt = now + outcome.Patience(a.phase == runs)
			e.bells.Set(a.doubtAt, dueDoubt, uint64(a.id))
		}
	}
	if n.probing && n.sent {
		e.probed(nd, logic.Broken, nil)
	}
}

// OnIncarnationEnded says, on the word of others, that the life of a node is over in which it was lost here: what it ran then is over too, and what
// it was offered may have run.
func (e *Engine) OnIncarnationEnded(now float64, id uint32, life uint64) {
	e.now, e.news = now, true
	nd, ok := e.nodeAt[id]
	if !ok || e.nodes[nd].linked || e.nodes[nd].life != life {
		return
	}
	n, over := &e.nodes[nd], 0
	for i := len(n.on) - 1; i >= 0; i-- {
		if p := n.on[i]; e.allocs[p].phase != held { // that was never sent
			e.settle(p, logic.Broken, logic.NotTold, nil)
			over++
		}
	}
	e.forgetAll(func(g ghost) bool { return g.nd == nd })
	e.edge.Log(fmt.Sprintf("node %d: others hear it in a later life, %d that were with it are over", id, over))
}

// OnProbeReport is a node's answer to a probe.
func (e *Engine) OnProbeReport(now float64, id uint32, seq uint64, report []float64) error {
	e.now, e.news = now, true
	nd, ok := e.nodeAt[id]
	if !ok {
		return nil
	}
	n := &e.nodes[nd]
	if seq > n.probeSeq {
		return fmt.Errorf("report %d for a probe never sent", seq)
	}
	if n.probing && seq == n.probeSeq {
		e.probed(nd, logic.Ended, report)
	}
	return nil
}

func (e *Engine) probed(nd int, verdict logic.Verdict, report []float64) {
	n := &e.nodes[nd]
	n.probing = false
	e.sched.Probed(e.now, n.id, verdict, e.now-n.probeAt, report)
}
