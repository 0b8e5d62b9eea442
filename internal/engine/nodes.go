package engine

import (
	"fmt"
	"slices"

	"ravenpond/internal/decide/outcome"
	"ravenpond/logic"
)

// node is what the engine knows of a node. Nodes are never forgotten.
type node struct {
	id             uint32
	address        string
	availability   logic.Availability // as the policy knows it
	listed         listState          // as the list has it
	listGeneration int                // of the last list update that named it
	excluded       bool               // it gets nothing new, whatever the list says
	released       bool               // it is outside the working set and not kept connected

	incarnation     uint64
	sameIncarnation bool    // it came back in the incarnation in which its connection ended
	startedAt       float64 // as the node said itself, if that is later than what the list said
	startDelayed    bool    // it counts as started a little later than the list says

	connected       bool
	ready           bool    // and it has named all that it holds
	everReady       bool    // it was ready once
	lostAt          float64 // when its connection ended last
	confirmExtended bool    // since then its running tasks were waited for longer because others hear it

	probing        bool
	probeSent      bool
	probeSequence  uint64
	probeStartedAt float64

	allocations []int // slots of allocations with an attempt here
	abandoned   int   // number of abandoned attempts here
}

// OnDialFailed reports that no connection to a node could be made.
func (e *Engine) OnDialFailed(now float64, id uint32) {
	e.observe(now)
	index, ok := e.nodeIndex[id]
	if !ok {
		return
	}
	e.pacer.OnDialFailed(now, index)
	n := &e.nodes[index]
	for _, slot := range slices.Backward(n.allocations) { // completing one removes it from the list
		if e.allocations[slot].phase == phaseConnecting {
			e.completeAttempt(slot, outcomeOf(logic.Unreachable))
		}
	}
	if n.probing && !n.probeSent {
		e.completeProbe(index, logic.Unreachable, nil)
	}
}

// OnConnected reports that a node is connected: its incarnation, and when that began, 0 if it did not say. OnHeld for each task
// that it holds and OnHeldAll follow. A start that the list does not know of is reported to the policy before anything is
// sent, as the node may be warming up.
func (e *Engine) OnConnected(now float64, id uint32, incarnation uint64, startedAt float64) {
	e.observe(now)
	index, ok := e.nodeIndex[id]
	if !ok {
		return
	}
	e.pacer.OnConnected(now, index)
	n := &e.nodes[index]
	warmUp := e.config.Cluster.SlowStartDuration
	if startedAt > n.listed.startedAt+startTolerance && now-startedAt < warmUp { // the policy takes a later start for a cold one
		n.startedAt, n.listed.startedAt = startedAt, startedAt
		e.policy.OnListBegin(now, logic.ListChanges) // without an end, as it is no update of the list
		e.reportToPolicy(index)
	}
	n.connected, n.ready = true, false
	n.sameIncarnation, n.incarnation = n.incarnation == incarnation, incarnation
	if !n.sameIncarnation && now-n.listed.startedAt < warmUp {
		e.reconsiderUnsent(n)
	}
	for _, slot := range n.allocations {
		e.allocations[slot].reported = false
	}
	if !n.sameIncarnation && n.abandoned > 0 { // the earlier incarnation took its attempts with it
		e.removeMatching(func(entry abandonedAttempt) bool { return entry.nodeIndex == index })
	}
}

// reconsiderUnsent takes back the attempts that wait for the connection to a node that has just started: the policy chose it as a
// warm one and has to decide anew.
func (e *Engine) reconsiderUnsent(n *node) {
	for _, slot := range n.allocations {
		if a := &e.allocations[slot]; a.phase == phaseConnecting && !a.recalled {
			e.cancelUnsent(a)
		}
	}
}

// OnUnsent reports that the last byte of an attempt provably never left this machine. It comes before OnDisconnected.
func (e *Engine) OnUnsent(now float64, id AttemptID) {
	e.observe(now)
	slot, ok := e.findAttempt(id)
	if ok && e.allocations[slot].phase == phaseInFlight && outcome.AfterDisconnect(false) == outcome.NeverRan {
		e.completeAttempt(slot, outcomeOf(logic.Unreachable))
	}
}

// OnDisconnected reports that the connection to a node ended.
func (e *Engine) OnDisconnected(now float64, id uint32) {
	e.observe(now)
	index, ok := e.nodeIndex[id]
	if !ok || !e.nodes[index].connected {
		return
	}
	n := &e.nodes[index]
	n.connected, n.ready, n.lostAt, n.confirmExtended = false, false, now, false
	e.pacer.OnDisconnected(now, index)
	if n.availability == logic.Unavailable {
		e.endAttemptsAt(index)
		return
	}
	for _, slot := range n.allocations {
		a := &e.allocations[slot]
		if a.phase == phaseInFlight || a.phase == phaseRunning {
			a.confirmBy = now + outcome.ClaimTimeout(a.phase == phaseRunning)
			e.timers.Set(a.confirmBy, timerConfirm, uint64(a.id))
		}
	}
	if n.probing && n.probeSent {
		e.completeProbe(index, logic.ConnectionLost, nil)
	}
}

// endAttemptsAt ends the attempts at a node that the list no longer has and that is not connected.
func (e *Engine) endAttemptsAt(index int) {
	for _, slot := range slices.Backward(e.nodes[index].allocations) { // completing one removes it from the list
		switch outcome.AfterNodeRemoved(false, e.allocations[slot].phase != phaseConnecting) {
		case outcome.MayHaveRun:
			e.completeAttempt(slot, outcomeOf(logic.ConnectionLost))
		case outcome.NeverRan:
			e.completeAttempt(slot, outcomeOf(logic.Unreachable))
		}
	}
}

// OnIncarnationEnded reports, by what other schedulers heard, that the incarnation of a node has ended in which it was lost here.
// Its running tasks ended with it; what it was offered may have run.
func (e *Engine) OnIncarnationEnded(now float64, id uint32, incarnation uint64) {
	e.observe(now)
	index, ok := e.nodeIndex[id]
	if !ok || e.nodes[index].connected || e.nodes[index].incarnation != incarnation {
		return
	}
	ended := 0
	for _, slot := range slices.Backward(e.nodes[index].allocations) { // completing one removes it from the list
		if e.allocations[slot].phase != phaseConnecting {
			e.completeAttempt(slot, outcomeOf(logic.ConnectionLost))
			ended++
		}
	}
	e.removeMatching(func(entry abandonedAttempt) bool { return entry.nodeIndex == index })
	e.effects.Log(fmt.Sprintf("node %d: others hear it in a later life, %d that were with it are over", id, ended))
}

// OnProbeReport takes a node's answer to a probe. An error means that the probe was never sent.
func (e *Engine) OnProbeReport(now float64, id uint32, sequence uint64, report []float64) error {
	e.observe(now)
	index, ok := e.nodeIndex[id]
	if !ok {
		return nil
	}
	n := &e.nodes[index]
	if sequence > n.probeSequence {
		return fmt.Errorf("report %d for a probe never sent", sequence)
	}
	if n.probing && sequence == n.probeSequence {
		e.completeProbe(index, logic.Completed, report)
	}
	return nil
}

// completeProbe reports the outcome of a probe to the policy.
func (e *Engine) completeProbe(index int, result logic.Outcome, report []float64) {
	n := &e.nodes[index]
	n.probing = false
	e.policy.OnProbeResult(e.now, logic.ProbeResult{
		Node: n.id, Outcome: result, Duration: e.now - n.probeStartedAt, Report: report,
	})
}

// CountRunning adds the tasks that run at a node and are not being stopped, by job class.
func (e *Engine) CountRunning(id uint32, byClass []int) {
	for _, slot := range e.slotsAt(id) {
		if a := &e.allocations[slot]; a.phase == phaseRunning && !a.stopping {
			byClass[a.task.JobClass]++
		}
	}
}

// CoresAt is how many cores the tasks ask for that run at a node or were offered to it.
func (e *Engine) CoresAt(id uint32) (cores float64) {
	for _, slot := range e.slotsAt(id) {
		cores += e.allocations[slot].task.Cores
	}
	return cores
}

// MigrateFrom stops at most limit tasks that run at a node, of the job classes that may be; their clients request them again. It
// returns how many it stopped.
func (e *Engine) MigrateFrom(now float64, id uint32, classes []bool, limit int) (stopped int) {
	e.observe(now)
	for _, slot := range e.slotsAt(id) {
		if a := &e.allocations[slot]; stopped < limit && a.phase == phaseRunning && !a.stopping && classes[a.task.JobClass] {
			e.stopTask(a)
			stopped++
		}
	}
	return stopped
}

// slotsAt are the slots of the allocations with an attempt at a node.
func (e *Engine) slotsAt(id uint32) []int {
	index, ok := e.nodeIndex[id]
	if !ok {
		return nil
	}
	return e.nodes[index].allocations
}
