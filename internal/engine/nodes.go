package engine

import (
	"fmt"
	"slices"

	"ravenpond/internal/decide/outcome"
	"ravenpond/logic"
)

// BeginList opens news of the node list; ListNode and ListEnd follow, as the module is told them.
func (e *Engine) BeginList(now float64, kind logic.ListKind) {
	e.now, e.hasEvents = now, true
	e.listKind, e.enteringNodes = kind, false
	e.listGeneration++
	e.policy.OnListBegin(now, kind)
}

// AddListNode is one entry; startedAt is on the wall clock, 0 for long ago.
func (e *Engine) AddListNode(id uint32, address string, avail logic.Availability, startedAt, freeCores,
	freeMemory float64, zone, cell, kind int,
) {
	nd, ok := e.nodeIndex[id]
	if !ok {
		if avail == logic.Unavailable {
			return
		}
		nd = len(e.nodes)
		e.nodeIndex[id] = nd
		e.nodes = append(e.nodes, node{id: id, probeSeq: uint64(e.config.Incarnation) << 24, excluded: e.exclusions[id] != 0}) // above any earlier life's
	}
	n := &e.nodes[nd]
	n.listGeneration = e.listGeneration
	if n.address != address && n.connected {
		e.effects.Disconnect(id, "moved to another address")
	}
	n.address = address
	since := 0.0
	if startedAt > 0 {
		since = max(0, startedAt-e.config.WallClockStart) // one who started before this clock's zero started long ago
	}
	if since < n.startedAt+startTolerance { // of an earlier life, or the same start by another clock
		since = n.startedAt
	}
	if n.startDelayed = n.startDelayed && since < n.listed.startedAt+startTolerance; n.startDelayed {
		since += clockSlack
	}
	n.listed = listEntry{avail, since, freeCores, freeMemory, zone, cell, kind}
	if e.enteringNodes {
		e.delayStart(n)
	}
	e.updatePolicy(nd)
}

// startTolerance is how far apart, in ms, two clocks may tell the same start of a node.
const startTolerance = 1000

// listEntry is what the list last told of a node.
type listEntry struct {
	availability          logic.Availability
	startedAt             float64
	freeCores, freeMemory float64
	zone, cell, kind      int
}

// updatePolicy tells the module of a node: as the list has it, but draining where the calendar has it out.
func (e *Engine) updatePolicy(nd int) {
	n := &e.nodes[nd]
	l, avail := n.listed, n.listed.availability
	if n.excluded && avail == logic.Ready {
		avail = logic.Draining
	}
	e.setAvailability(nd, avail)
	e.policy.OnListNode(e.now, logic.ListEntry{
		Node: n.id, Availability: avail, StartedAt: l.startedAt,
		FreeCores: l.freeCores, FreeMemory: l.freeMemory, Zone: l.zone, Cell: l.cell, Kind: l.kind,
	})
}

// SetMaintenance takes nodes out for maintenance, or brings them back, whatever the list says of them. Tries that are out to
// a node taken out are recalled: they come back, or run after all, but are never doubled. A node brought back that
// the list has as ready is ready again; if it was started anew meanwhile, the list says so and it is paced as cold.
func (e *Engine) SetMaintenance(now float64, ids []uint32, out bool) {
	e.setExcluded(now, ids, excludedMaintenance, out)
}

// SetWarned keeps nodes out, or no longer, that others say drain or are gone, ahead of the list here. What is on its way to
// them goes on: the list says what becomes of it.
func (e *Engine) SetWarned(now float64, ids []uint32, out bool) {
	e.setExcluded(now, ids, excludedWarned, out)
}

// SetZoneClosed keeps nodes out, or no longer, whose zone this scheduler sends nothing to. What is on its way to them, or runs there, goes
// on: it may run, so nothing of it is started elsewhere that must not be.
func (e *Engine) SetZoneClosed(now float64, ids []uint32, out bool) {
	e.setExcluded(now, ids, excludedZone, out)
}

// Why a node is kept out, whatever the list says.
const (
	excludedMaintenance = 1 << iota
	excludedWarned
	excludedZone
	excludedWorkingSet
)

func (e *Engine) setExcluded(now float64, ids []uint32, why uint8, takes bool) {
	e.now, e.hasEvents = now, true
	e.policy.OnListBegin(now, logic.ListChanges) // without an end: to the module that would be a word of the list itself,
	for _, id := range ids {                     // and it would take longer to ask for the next
		if takes {
			e.exclusions[id] |= why
		} else if e.exclusions[id] &^= why; e.exclusions[id] == 0 {
			delete(e.exclusions, id)
		}
		out := e.exclusions[id] != 0
		nd, ok := e.nodeIndex[id] // one that the list names only later is out from then on
		if !ok || e.nodes[nd].excluded == out {
			continue
		}
		e.nodes[nd].excluded = out
		if e.nodes[nd].availability != logic.Unavailable {
			e.updatePolicy(nd)
		}
		if out && why == excludedMaintenance {
			e.recallFromNode(nd)
		}
	}
}

// recallFromNode calls back what does not run yet at a node.
func (e *Engine) recallFromNode(nd int) {
	for _, p := range e.nodes[nd].allocations {
		switch a := &e.allocations[p]; a.phase {
		case phaseConnecting:
			e.cancelUnsent(a)
		case phaseInFlight:
			if !a.recalled && e.config.Cluster.CanCancel {
				e.recall(a)
			}
		}
	}
}

// CountRunning counts what runs at a node, by job type.
func (e *Engine) CountRunning(id uint32, byJob []int) {
	nd, ok := e.nodeIndex[id]
	if !ok {
		return
	}
	for _, p := range e.nodes[nd].allocations {
		if a := &e.allocations[p]; a.phase == phaseRunning && !a.stopping {
			byJob[a.jobClass]++
		}
	}
}

// CoresAt is how many cores the allocations ask for that are out to a node, or run there.
func (e *Engine) CoresAt(id uint32) (sum float64) {
	if nd, ok := e.nodeIndex[id]; ok {
		for _, p := range e.nodes[nd].allocations {
			sum += e.allocations[p].cores
		}
	}
	return sum
}

// MigrateFrom stops up to so many of what runs at a node, of the job types that may be; their owners ask again. It
// returns how many it stopped.
func (e *Engine) MigrateFrom(now float64, id uint32, may []bool, most int) (stopped int) {
	e.now, e.hasEvents = now, true
	nd, ok := e.nodeIndex[id]
	if !ok {
		return 0
	}
	for _, p := range e.nodes[nd].allocations {
		if a := &e.allocations[p]; stopped < most && a.phase == phaseRunning && !a.stopping && may[a.jobClass] {
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
			if e.nodes[nd].listGeneration != e.listGeneration {
				e.setAvailability(nd, logic.Unavailable)
			}
		}
	}
	e.policy.OnListEnd(e.now)
}

// setAvailability follows a node's availability: what is on the list is kept connected.
func (e *Engine) setAvailability(nd int, avail logic.Availability) {
	n := &e.nodes[nd]
	n.availability = avail
	e.pacer.SetEnabled(e.now, nd, avail != logic.Unavailable && !n.released)
	if avail == logic.Unavailable && !n.connected {
		e.endRemoved(nd)
	}
}

// endRemoved ends what was with a node that is gone for good.
func (e *Engine) endRemoved(nd int) {
	for i := len(e.nodes[nd].allocations) - 1; i >= 0; i-- {
		p := e.nodes[nd].allocations[i]
		switch outcome.AfterNodeRemoved(false, e.allocations[p].phase != phaseConnecting) {
		case outcome.MayHaveRun:
			e.completeAttempt(p, logic.ConnectionLost, logic.ReasonUnknown, nil)
		case outcome.NeverRan:
			e.completeAttempt(p, logic.Unreachable, logic.ReasonUnknown, nil)
		}
	}
}

// OnDialFailed says that no connection to a node could be made.
func (e *Engine) OnDialFailed(now float64, id uint32, why string) {
	e.now, e.hasEvents = now, true
	nd, ok := e.nodeIndex[id]
	if !ok {
		return
	}
	e.pacer.OnDialFailed(now, nd)
	n := &e.nodes[nd]
	for i := len(n.allocations) - 1; i >= 0; i-- { // what was to wait for the connection was never sent
		if p := n.allocations[i]; e.allocations[p].phase == phaseConnecting {
			e.completeAttempt(p, logic.Unreachable, logic.ReasonUnknown, nil)
		}
	}
	if n.probing && !n.probeSent {
		e.completeProbe(nd, logic.Unreachable, nil)
	}
}

// OnConnected says that a node is connected, in which life it is and since when, 0 if it did not say. Held and HeldAll
// follow. A life that began after what the list knows of is news before anything is sent: the node may be cold.
func (e *Engine) OnConnected(now float64, id uint32, life uint64, since float64) {
	e.now, e.hasEvents = now, true
	nd, ok := e.nodeIndex[id]
	if !ok {
		return
	}
	e.pacer.OnConnected(now, nd)
	n := &e.nodes[nd]
	if since > n.listed.startedAt+startTolerance && now-since < e.config.Cluster.SlowStartDuration { // to the module a later start is a cold one
		n.startedAt, n.listed.startedAt = since, since
		e.policy.OnListBegin(now, logic.ListChanges) // without an end, as it is no word of the list
		e.updatePolicy(nd)
	}
	n.connected, n.ready, n.sameIncarnation, n.incarnation = true, false, n.incarnation == life, life
	if !n.sameIncarnation && now-n.listed.startedAt < e.config.Cluster.SlowStartDuration {
		e.reconsiderHeld(n)
	}
	for _, p := range n.allocations {
		e.allocations[p].reported = false
	}
	if !n.sameIncarnation && n.abandoned > 0 { // what the earlier life was asked for is gone with it
		e.forgetMatching(func(g abandonedAttempt) bool { return g.nodeIndex == nd })
	}
}

// reconsiderHeld takes back attempts that wait for the connection to a node that turns out to have just started: the module
// chose it as a warm one, and is to decide anew.
func (e *Engine) reconsiderHeld(n *node) {
	for _, p := range n.allocations {
		if a := &e.allocations[p]; a.phase == phaseConnecting && !a.recalled {
			e.cancelUnsent(a)
		}
	}
}

// OnHeld is one thing that a node holds for this scheduler, told before anything else on a connection.
func (e *Engine) OnHeld(now float64, id uint32, ticket uint64, try uint8, runsNow bool, jobType, tenant int,
	service, token uint64, cores, memory float64,
) error {
	e.now, e.hasEvents = now, true
	nd, ok := e.nodeIndex[id]
	if !ok {
		return nil
	}
	if jobType >= len(e.jobEffects) || tenant >= len(e.config.Shares) {
		return fmt.Errorf("held try %x.%d of unknown job type %d or tenant %d", ticket, try, jobType, tenant)
	}
	name := attemptID{ticket, try}
	if p, ok := e.findAttempt(ticket, try); ok && e.allocations[p].nodeIndex == nd {
		a := &e.allocations[p]
		a.reported, a.confirmBy = true, 0
		if runsNow && a.phase == phaseInFlight {
			e.handleStart(p, now-a.sentAt)
		} else if a.stopping {
			e.effects.Stop(id, ticket, try)
		} else if a.recalled && a.phase == phaseInFlight {
			e.effects.Recall(id, ticket, try)
		}
		return nil
	}
	g, known := e.abandoned[name]
	if !known {
		g = abandonedAttempt{
			nodeIndex: nd, jobClass: jobType, tenant: tenant, service: service, token: token, cores: cores,
			memory: memory, sentAt: now,
		}
		if p, ok := e.byKey[idempotencyKey{tenant, token}]; ok {
			g.allocationID = e.allocations[p].id
		}
		e.rememberAbandoned(name, g)
	}
	switch {
	case g.nodeIndex != nd:
		return fmt.Errorf("held try %x.%d belongs to another node", ticket, try)
	case !runsNow: // of an earlier life, or given up: nobody waits for it
		e.effects.Recall(id, ticket, try)
	case g.stopped:
		e.effects.Stop(id, ticket, try)
	case !known:
		if _, asked := e.byKey[idempotencyKey{tenant, token}]; asked {
			e.handleLateStart(name, g)
		} else {
			e.recoverTask(name, g) // of an earlier life: it runs on, for whoever asks for it again
		}
	case !g.started:
		e.handleLateStart(name, g)
	}
	return nil
}

// OnHeldAll closes what a node holds: now it may be sent to.
func (e *Engine) OnHeldAll(now float64, id uint32) {
	e.now, e.hasEvents = now, true
	nd, ok := e.nodeIndex[id]
	if !ok {
		return
	}
	n := &e.nodes[nd]
	n.ready, n.everReady = true, true
	for i := len(n.allocations) - 1; i >= 0; i-- {
		p := n.allocations[i]
		a := &e.allocations[p]
		if a.phase == phaseConnecting {
			if !a.recalled {
				e.sendOffer(a, n)
			}
			continue
		}
		switch outcome.AfterReconnect(n.sameIncarnation, a.reported) {
		case outcome.MayHaveRun:
			e.completeAttempt(p, logic.ConnectionLost, logic.ReasonUnknown, nil)
		case outcome.MustClaim:
			e.effects.Claim(id, a.ticket, a.attempt)
		}
	}
	if n.sameIncarnation && n.abandoned > 0 {
		e.claimAbandoned(nd)
	}
	if n.probing && !n.probeSent {
		n.probeSent = true
		e.effects.Probe(id, n.probeSeq)
	}
}

// claimAbandoned claims the given up tries of a node that came back, so that none that lay unread on the way starts yet.
func (e *Engine) claimAbandoned(nd int) {
	var names []attemptID
	for name, g := range e.abandoned {
		if g.nodeIndex == nd && !g.started {
			names = append(names, name)
		}
	}
	slices.SortFunc(names, attemptID.compare)
	for _, name := range names {
		e.effects.Claim(e.nodes[nd].id, name.ticket, name.number)
	}
}

// OnClaimHeld is a node's answer to a claim: it holds the try, which runs or not.
func (e *Engine) OnClaimHeld(now float64, id uint32, ticket uint64, try uint8, runsNow bool) {
	e.now, e.hasEvents = now, true
	name := attemptID{ticket, try}
	if p, ok := e.findAttempt(ticket, try); ok && e.nodes[e.allocations[p].nodeIndex].id == id {
		a := &e.allocations[p]
		a.confirmBy = 0
		if runsNow && a.phase == phaseInFlight {
			e.handleStart(p, now-a.sentAt)
		} else if a.phase == phaseInFlight && a.recalled {
			e.effects.Recall(id, ticket, try)
		}
	} else if g, ok := e.abandoned[name]; ok && e.nodes[g.nodeIndex].id == id {
		if !runsNow {
			e.effects.Recall(id, ticket, try)
		} else if !g.started {
			e.handleLateStart(name, g)
		}
	}
}

// OnClaimOutcome is a node's answer to a claim: the try's outcome, which it may have told before.
func (e *Engine) OnClaimOutcome(now float64, id uint32, ticket uint64, try uint8, verdict logic.Outcome,
	why logic.Reason,
) {
	e.now, e.hasEvents = now, true
	if p, ok := e.findAttempt(ticket, try); ok && e.nodes[e.allocations[p].nodeIndex].id == id {
		if e.allocations[p].phase == phaseRunning && verdict == logic.Rejected {
			verdict = logic.ConnectionLost // it can't be so: the node forgot what it started
		}
		e.completeAttempt(p, verdict, why, nil)
	} else if g, ok := e.abandoned[attemptID{ticket, try}]; ok && e.nodes[g.nodeIndex].id == id {
		e.forgetAbandoned(attemptID{ticket, try})
		if p, ok := e.byID[g.allocationID]; ok && e.allocations[p].lateStart == (attemptID{ticket, try}) {
			e.allocations[p].lateStart = attemptID{}
		}
	}
}

// OnUnsent says that a try's last byte provably never left this machine. It comes before Unlinked.
func (e *Engine) OnUnsent(now float64, id uint32, ticket uint64, try uint8) {
	e.now, e.hasEvents = now, true
	if p, ok := e.findAttempt(ticket, try); ok && e.allocations[p].phase == phaseInFlight && outcome.AfterDisconnect(false) == outcome.NeverRan {
		e.completeAttempt(p, logic.Unreachable, logic.ReasonUnknown, nil)
	}
}

// OnDisconnected says that a node's connection is no more.
func (e *Engine) OnDisconnected(now float64, id uint32, why string) {
	e.now, e.hasEvents = now, true
	nd, ok := e.nodeIndex[id]
	if !ok || !e.nodes[nd].connected {
		return
	}
	n := &e.nodes[nd]
	n.connected, n.ready, n.lostAt, n.graceExtended = false, false, now, false
	e.pacer.OnDisconnected(now, nd)
	if n.availability == logic.Unavailable {
		e.endRemoved(nd)
		return
	}
	for _, p := range n.allocations {
		a := &e.allocations[p]
		if a.phase == phaseInFlight || a.phase == phaseRunning {
			a.confirmBy = now + outcome.ClaimTimeout(a.phase == phaseRunning)
			e.timers.Set(a.confirmBy, timerConfirm, uint64(a.id))
		}
	}
	if n.probing && n.probeSent {
		e.completeProbe(nd, logic.ConnectionLost, nil)
	}
}

// OnIncarnationEnded says, on the word of others, that the life of a node is over in which it was lost here: what it ran then is over too, and what
// it was offered may have run.
func (e *Engine) OnIncarnationEnded(now float64, id uint32, life uint64) {
	e.now, e.hasEvents = now, true
	nd, ok := e.nodeIndex[id]
	if !ok || e.nodes[nd].connected || e.nodes[nd].incarnation != life {
		return
	}
	n, over := &e.nodes[nd], 0
	for i := len(n.allocations) - 1; i >= 0; i-- {
		if p := n.allocations[i]; e.allocations[p].phase != phaseConnecting { // that was never sent
			e.completeAttempt(p, logic.ConnectionLost, logic.ReasonUnknown, nil)
			over++
		}
	}
	e.forgetMatching(func(g abandonedAttempt) bool { return g.nodeIndex == nd })
	e.effects.Log(fmt.Sprintf("node %d: others hear it in a later life, %d that were with it are over", id, over))
}

// OnProbeReport is a node's answer to a probe.
func (e *Engine) OnProbeReport(now float64, id uint32, seq uint64, report []float64) error {
	e.now, e.hasEvents = now, true
	nd, ok := e.nodeIndex[id]
	if !ok {
		return nil
	}
	n := &e.nodes[nd]
	if seq > n.probeSeq {
		return fmt.Errorf("report %d for a probe never sent", seq)
	}
	if n.probing && seq == n.probeSeq {
		e.completeProbe(nd, logic.Completed, report)
	}
	return nil
}

func (e *Engine) completeProbe(nd int, verdict logic.Outcome, report []float64) {
	n := &e.nodes[nd]
	n.probing = false
	e.policy.OnProbeResult(e.now, logic.ProbeResult{Node: n.id, Outcome: verdict, Duration: e.now - n.probeStartedAt, Report: report})
}
