package engine

import "ravenpond/logic"

// A scheduler with a working set gives its policy only the nodes of that set. The engine knows these nodes and, in addition, nodes
// outside the set at which it still has attempts. The latter get no new tasks and are released once no attempts are left there.

// maxClockSkew is the largest difference, in ms, between the clocks of schedulers and of the list server.
const maxClockSkew = 500

// BeginWorkingSet begins an update of nodes that enter the working set. AddListEntry follows for each node; EndList is not called. If
// isNew is set, the nodes have just been added to the list, and the policy paces them as nodes that are warming up.
func (e *Engine) BeginWorkingSet(now float64, isNew bool) {
	e.observe(now)
	e.enteringNodes = true
	e.listGeneration++
	kind := logic.ListCached
	if isNew {
		kind = logic.ListChanges
	}
	e.policy.OnListBegin(now, kind)
}

// SetOutsideWorkingSet moves nodes out of the working set, so that they get no new tasks, or into it.
func (e *Engine) SetOutsideWorkingSet(now float64, ids []uint32, outside bool) {
	if !outside {
		for _, id := range ids {
			if index, ok := e.nodeIndex[id]; ok {
				e.now = now
				e.retain(now, index)
				e.delayStart(&e.nodes[index])
			}
		}
	}
	e.setExcluded(now, ids, excludedWorkingSet, outside)
}

// delayStart shifts the start time of a node that started recently by the list's clock to maxClockSkew later. Without the shift, the
// policy would treat a node that enters now as warm as soon as its warm-up is over by that clock. A node that is new to the list is
// treated as cold from the time of its first entry anyway.
func (e *Engine) delayStart(n *node) {
	start := n.listed.startedAt
	if start > 0 && !n.startDelayed && e.now-start < e.config.Cluster.SlowStartDuration+maxClockSkew {
		n.startDelayed, n.listed.startedAt = true, start+maxClockSkew
	}
}

// retain keeps a node connected, also if it was released before.
func (e *Engine) retain(now float64, index int) {
	n := &e.nodes[index]
	n.released = false
	e.pacer.SetEnabled(now, index, n.availability != logic.Unavailable)
}

// Release stops keeping a node outside the working set connected if the engine has no attempts and no probe there. It reports whether
// the node is released.
func (e *Engine) Release(now float64, id uint32) bool {
	index, ok := e.nodeIndex[id]
	if !ok {
		return true
	}
	n := &e.nodes[index]
	unknownTasks := !n.everReady && n.availability != logic.Unavailable // the node may hold tasks of an earlier incarnation of this scheduler that it has not reported yet
	busy := len(n.allocations) > 0 || n.abandoned > 0 || n.probing
	if unknownTasks || busy || e.exclusions[id]&excludedWorkingSet == 0 {
		return false
	}
	e.release(now, index)
	return true
}

// ForceRelease releases a node even if the engine has attempts there. Tests use it to inject that fault.
func (e *Engine) ForceRelease(now float64, id uint32) {
	if index, ok := e.nodeIndex[id]; ok {
		e.release(now, index)
	}
}

func (e *Engine) release(now float64, index int) {
	e.nodes[index].released = true
	e.pacer.SetEnabled(now, index, false)
}

// Demand is the amount of resources that an engine's tasks request, and the machine kinds that are short.
type Demand struct {
	Cores, Memory float64 // total of all tasks that run or have an attempt
	Offers        uint64  // number of attempts since the start
	Shortage      []bool  // by machine kind, the last element for tasks that run on any kind; set if a task has waited longer than minWait
}

// Demand returns the current demand. A machine kind is short if a task that needs it has waited for longer than minWait since the task was
// requested or since its last attempt ended.
func (e *Engine) Demand(now, minWait float64) Demand {
	d := Demand{Offers: e.stats.Offers, Shortage: make([]bool, len(e.config.Cluster.KindCores)+1)}
	for slot := range e.allocations {
		a := &e.allocations[slot]
		switch {
		case a.phase != phaseWaiting:
			d.Cores, d.Memory = d.Cores+a.task.Cores, d.Memory+a.task.Memory
		case !a.answered && now-a.waitingSince > minWait && e.isInUse(slot):
			kind := e.config.Cluster.JobClasses[a.task.JobClass].NodeKind
			if kind < 0 {
				kind = len(d.Shortage) - 1
			}
			d.Shortage[kind] = true
		}
	}
	return d
}
