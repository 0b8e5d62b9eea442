package engine

import (
	"fmt"
	"slices"

	"ravenpond/internal/decide/outcome"
	"ravenpond/logic"
)

// node is the state of a node. Nodes are never removed.
type node struct {
	id             uint32
	address        string
	availability   logic.Availability // as reported to the policy
	listed         listState          // as in the latest list entry
	listGeneration int                // of the last list update that included the node
	excluded       bool               // the node gets no new tasks, whatever the list says
	released       bool               // the node is outside the working set and not kept connected

	incarnation     uint64
	sameIncarnation bool    // the node reconnected in the incarnation in which its connection ended
	startedAt       float64 // as the node reported itself, if that is later than in the list
	startDelayed    bool    // the start in listed is maxClockSkew later than the list says

	connected       bool
	ready           bool    // the node is connected and has reported all the tasks that it holds
	everReady       bool    // the node has been ready at least once
	lostAt          float64 // when the connection ended last
	confirmExtended bool    // since lostAt, the wait for the running tasks was extended because other schedulers hear from the node

	probing        bool
	probeSent      bool
	probeSequence  uint64
	probeStartedAt float64

	allocations []int // slots of the allocations whose current attempt is at this node
	abandoned   int   // number of abandoned attempts at this node
}

// OnDialFailed reports that connecting to a node failed.
func (e *Engine) OnDialFailed(now float64, id uint32) {
	e.observe(now)
	index, ok := e.nodeIndex[id]
	if !ok {
		return
	}
	e.pacer.OnDialFailed(now, index)
	e.reportReachable(id, false)
	n := &e.nodes[index]
	for _, slot := range slices.Backward(n.allocations) { // completeAttempt removes the slot from the list
		if e.allocations[slot].phase == phaseConnecting {
			e.completeAttempt(slot, outcomeOf(logic.Unreachable))
		}
	}
	if n.probing && !n.probeSent {
		e.completeProbe(index, logic.Unreachable, nil)
	}
}

// OnConnected reports that a node is connected, with its incarnation and the time at which that began, or 0 if the node did not
// report the time. OnHeld follows for each task that the node holds, then OnHeldAll. If the list does not have this start yet, it is
// reported to the policy before anything is sent, because the node may be warming up.
func (e *Engine) OnConnected(now float64, id uint32, incarnation uint64, startedAt float64) {
	e.observe(now)
	index, ok := e.nodeIndex[id]
	if !ok {
		return
	}
	e.pacer.OnConnected(now, index)
	n := &e.nodes[index]
	warmUp := e.config.Cluster.SlowStartDuration
	if startedAt > n.listed.startedAt+startTolerance && now-startedAt < warmUp { // the policy treats a node with a later start as cold
		n.startedAt, n.listed.startedAt = startedAt, startedAt
		e.policy.OnListBegin(now, logic.ListChanges) // no OnListEnd, because this is not an update of the list
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
	if !n.sameIncarnation && n.abandoned > 0 { // the attempts ended with the earlier incarnation
		e.removeMatching(func(entry abandonedAttempt) bool { return entry.nodeIndex == index })
	}
}

// reconsiderUnsent cancels the attempts that are waiting for the connection to a node that has just started. The policy chose the node
// as a warm one and has to decide again.
func (e *Engine) reconsiderUnsent(n *node) {
	for _, slot := range n.allocations {
		if a := &e.allocations[slot]; a.phase == phaseConnecting && !a.recalled {
			e.cancelUnsent(a)
		}
	}
}

// OnUnsent reports that the last byte of an attempt provably never left this machine. It is called before OnDisconnected.
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
	if !n.released {
		e.reportReachable(id, false)
	}
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

// endAttemptsAt ends the attempts at a node that is no longer on the list and is not connected.
func (e *Engine) endAttemptsAt(index int) {
	for _, slot := range slices.Backward(e.nodes[index].allocations) { // completeAttempt removes the slot from the list
		switch outcome.AfterNodeRemoved(false, e.allocations[slot].phase != phaseConnecting) {
		case outcome.MayHaveRun:
			e.completeAttempt(slot, outcomeOf(logic.ConnectionLost))
		case outcome.NeverRan:
			e.completeAttempt(slot, outcomeOf(logic.Unreachable))
		}
	}
}

// OnIncarnationEnded reports that, according to other schedulers, the incarnation in which a node lost its connection to this
// scheduler has ended. Its running tasks ended with it; tasks that were offered to it may have run.
func (e *Engine) OnIncarnationEnded(now float64, id uint32, incarnation uint64) {
	e.observe(now)
	index, ok := e.nodeIndex[id]
	if !ok || e.nodes[index].connected || e.nodes[index].incarnation != incarnation {
		return
	}
	ended := 0
	for _, slot := range slices.Backward(e.nodes[index].allocations) { // completeAttempt removes the slot from the list
		if e.allocations[slot].phase != phaseConnecting {
			e.completeAttempt(slot, outcomeOf(logic.ConnectionLost))
			ended++
		}
	}
	e.removeMatching(func(entry abandonedAttempt) bool { return entry.nodeIndex == index })
	e.effects.Log(fmt.Sprintf("node %d: other schedulers hear from a later incarnation; ended %d attempts of the earlier one", id, ended))
}

// OnProbeReport handles a node's answer to a probe. An error means that the probe was never sent. Its text is sent to the node as the
// reason for disconnecting it.
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

// completeProbe ends a probe and reports its outcome to the policy.
func (e *Engine) completeProbe(index int, result logic.Outcome, report []float64) {
	n := &e.nodes[index]
	n.probing = false
	e.policy.OnProbeResult(e.now, logic.ProbeResult{
		Node: n.id, Outcome: result, Duration: e.now - n.probeStartedAt, Report: report,
	})
}

// CountRunning adds to byClass the number of tasks of each job class that run on a node and are not being stopped.
func (e *Engine) CountRunning(id uint32, byClass []int) {
	for _, slot := range e.slotsAt(id) {
		if a := &e.allocations[slot]; a.phase == phaseRunning && !a.stopping {
			byClass[a.task.JobClass]++
		}
	}
}

// CoresAt returns the total of the cores requested by the tasks that run on a node or have an attempt there.
func (e *Engine) CoresAt(id uint32) (cores float64) {
	for _, slot := range e.slotsAt(id) {
		cores += e.allocations[slot].task.Cores
	}
	return cores
}

// MigrateFrom stops at most limit of the tasks that run on a node and whose job class is set in classes, so that their clients
// request them again. It returns the number of tasks that it stopped.
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

// slotsAt returns the slots of the allocations whose current attempt is at a node.
func (e *Engine) slotsAt(id uint32) []int {
	index, ok := e.nodeIndex[id]
	if !ok {
		return nil
	}
	return e.nodes[index].allocations
}
