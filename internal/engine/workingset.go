package engine

import "ravenpond/logic"

// A scheduler with a working set shows its module nodes of that set alone. The engine hears of these, and of nodes
// outside on which something of its own stands: these get nothing new and are released once nothing is left there.

// BeginWorkingSet opens news of nodes that the list has had for a while and that the engine is to know from now on; ListNode
// follows for each, and no ListEnd. New says that they came to the list just now: the module paces them as cold.
func (e *Engine) BeginWorkingSet(now float64, isNew bool) {
	e.now, e.hasEvents, e.enteringNodes = now, true, true
	e.listGeneration++
	kind := logic.ListCached
	if isNew {
		kind = logic.ListChanges
	}
	e.policy.OnListBegin(now, kind)
}

// SetOutsideWorkingSet has nodes be outside the working set, where they get nothing new, or inside again.
func (e *Engine) SetOutsideWorkingSet(now float64, ids []uint32, aside bool) {
	if !aside {
		for _, id := range ids {
			if nd, ok := e.nodeIndex[id]; ok {
				e.now = now
				e.retain(now, nd)
				e.delayStart(&e.nodes[nd])
			}
		}
	}
	e.setExcluded(now, ids, excludedWorkingSet, aside)
}

// clockSlack is by how much, in ms, the clocks of schedulers and of the list may differ.
const clockSlack = 500

// delayStart has a node that started a short while ago, by the list's clock, count as started a little later. The module
// would take a node that enters now for warm as soon as its time as a cold one is over by that clock; a node that the list
// names for the first time it takes for cold from that moment on.
func (e *Engine) delayStart(n *node) {
	start := n.listed.startedAt
	if start > 0 && !n.startDelayed && e.now-start < e.config.Cluster.SlowStartDuration+clockSlack {
		n.startDelayed, n.listed.startedAt = true, start+clockSlack
	}
}

// retain keeps a node connected that may have been released.
func (e *Engine) retain(now float64, nd int) {
	n := &e.nodes[nd]
	n.released = false
	e.pacer.SetEnabled(now, nd, n.availability != logic.Unavailable)
}

// Release lets go of a node that is set aside if nothing stands there: it is not kept connected any more. It tells
// whether it did.
func (e *Engine) Release(now float64, id uint32) bool {
	nd, ok := e.nodeIndex[id]
	if !ok {
		return true
	}
	n := &e.nodes[nd]
	if !n.everReady && n.availability != logic.Unavailable || e.exclusions[id]&excludedWorkingSet == 0 || len(n.allocations) > 0 || n.abandoned > 0 || n.probing {
		return false
	}
	e.release(now, nd)
	return true
}

// ForceRelease lets go of a node whatever stands there: a fault, for tests that must find it.
func (e *Engine) ForceRelease(now float64, id uint32) {
	if nd, ok := e.nodeIndex[id]; ok {
		e.release(now, nd)
	}
}

func (e *Engine) release(now float64, nd int) {
	e.nodes[nd].released = true
	e.pacer.SetEnabled(now, nd, false)
}

// Demand is what an engine's tasks ask for, and which of them find no node.
type Demand struct {
	Cores, Memory float64 // of all tasks that run or have an attempt out
	Offers        uint64  // since the start
	Short         []bool  // by machine kind, the last for tasks that run on any: one waits for longer than the patience
}

// Demand sums up what tasks ask for. A task is short of nodes if it has waited for longer than the patience, in ms,
// since it came or since its last attempt ended.
func (e *Engine) Demand(now, patience float64) Demand {
	d := Demand{Offers: e.stats.Offers, Short: make([]bool, len(e.config.Cluster.KindCores)+1)}
	for p := range e.allocations {
		a := &e.allocations[p]
		switch {
		case a.phase != phaseWaiting:
			d.Cores, d.Memory = d.Cores+a.cores, d.Memory+a.memory
		case !a.answered && now-a.waitingSince > patience && e.isInUse(p):
			kind := e.config.Cluster.JobClasses[a.jobClass].NodeKind
			if kind < 0 {
				kind = len(d.Short) - 1
			}
			d.Short[kind] = true
		}
	}
	return d
}

// isInUse tells whether a place is in use by an allocation.
func (e *Engine) isInUse(place int) bool {
	p, ok := e.byID[e.allocations[place].id]
	return ok && p == place
}
