package engine

import "ravenpond/logic"

// A scheduler with a working set shows its policy the nodes of that set alone. The engine knows these, and the nodes outside
// at which it has attempts: they get nothing new and are released once nothing is left there.

// maxClockSkew is how much, in ms, the clocks of schedulers and of the list may differ.
const maxClockSkew = 500

// BeginWorkingSet opens an update of nodes that enter the working set; AddListEntry follows for each, and no EndList. If isNew
// is set, they came to the list just now, and the policy paces them as nodes that are warming up.
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

// SetOutsideWorkingSet moves nodes out of the working set, where they get nothing new, or into it.
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

// delayStart has a node that started a short while ago, by the list's clock, count as started a little later. The policy
// would take a node that enters now for warm as soon as its warm-up is over by that clock; a node that the list names for
// the first time it takes for cold from that moment on.
func (e *Engine) delayStart(n *node) {
	start := n.listed.startedAt
	if start > 0 && !n.startDelayed && e.now-start < e.config.Cluster.SlowStartDuration+maxClockSkew {
		n.startDelayed, n.listed.startedAt = true, start+maxClockSkew
	}
}

// retain keeps a node connected that may have been released.
func (e *Engine) retain(now float64, index int) {
	n := &e.nodes[index]
	n.released = false
	e.pacer.SetEnabled(now, index, n.availability != logic.Unavailable)
}

// Release has a node outside the working set not be kept connected any more, if the engine has nothing there. It tells whether it
// did.
func (e *Engine) Release(now float64, id uint32) bool {
	index, ok := e.nodeIndex[id]
	if !ok {
		return true
	}
	n := &e.nodes[index]
	unknownTasks := !n.everReady && n.availability != logic.Unavailable // of an earlier incarnation: it has not named them yet
	busy := len(n.allocations) > 0 || n.abandoned > 0 || n.probing
	if unknownTasks || busy || e.exclusions[id]&excludedWorkingSet == 0 {
		return false
	}
	e.release(now, index)
	return true
}

// ForceRelease releases a node whatever the engine has there. That is a fault which tests inject.
func (e *Engine) ForceRelease(now float64, id uint32) {
	if index, ok := e.nodeIndex[id]; ok {
		e.release(now, index)
	}
}

func (e *Engine) release(now float64, index int) {
	e.nodes[index].released = true
	e.pacer.SetEnabled(now, index, false)
}

// Demand is what an engine's tasks ask for, and which of them find no node.
type Demand struct {
	Cores, Memory float64 // of all tasks that run or have an attempt
	Offers        uint64  // since the start
	Short         []bool  // by machine kind, the last for tasks that run on any: one waits for longer than the patience
}

// Demand sums up what tasks ask for. A task is short of nodes if it has waited for longer than the patience since it was
// requested or since its last attempt ended.
func (e *Engine) Demand(now, minWait float64) Demand {
	d := Demand{Offers: e.stats.Offers, Short: make([]bool, len(e.config.Cluster.KindCores)+1)}
	for slot := range e.allocations {
		a := &e.allocations[slot]
		switch {
		case a.phase != phaseWaiting:
			d.Cores, d.Memory = d.Cores+a.task.Cores, d.Memory+a.task.Memory
		case !a.answered && now-a.waitingSince > minWait && e.isInUse(slot):
			kind := e.config.Cluster.JobClasses[a.task.JobClass].NodeKind
			if kind < 0 {
				kind = len(d.Short) - 1
			}
			d.Short[kind] = true
		}
	}
	return d
}
