package engine

import "ravenpond/logic"

// exclusion is a set of reasons why a node gets no new tasks, whatever the node list says.
type exclusion uint8

const (
	excludedMaintenance exclusion = 1 << iota // the node is in a maintenance window
	excludedByPeers                           // other schedulers report that it is draining or gone
	excludedZone                              // this scheduler sends nothing to its zone
	excludedWorkingSet                        // the node is outside the working set
)

// SetMaintenance excludes nodes for maintenance or ends that exclusion, whatever the list says. Attempts in flight to a node that is
// excluded are recalled; each is either returned or runs after all, and is never duplicated. A node whose exclusion ends and that
// is ready in the list is ready again.
func (e *Engine) SetMaintenance(now float64, nodes []uint32, excluded bool) {
	e.setExcluded(now, nodes, excludedMaintenance, excluded)
}

// SetExcludedByPeers excludes nodes that other schedulers report as draining or gone before this scheduler's list does, or ends that
// exclusion. Attempts in flight to these nodes continue.
func (e *Engine) SetExcludedByPeers(now float64, nodes []uint32, excluded bool) {
	e.setExcluded(now, nodes, excludedByPeers, excluded)
}

// SetZoneClosed excludes nodes in zones that this scheduler sends nothing to, or ends that exclusion. Attempts in flight to these
// nodes and running tasks continue: since they may run, a task that must not run twice is not started elsewhere.
func (e *Engine) SetZoneClosed(now float64, nodes []uint32, excluded bool) {
	e.setExcluded(now, nodes, excludedZone, excluded)
}

// setExcluded adds a reason to the exclusions of nodes or removes it. It also applies to nodes that only a later list update adds.
func (e *Engine) setExcluded(now float64, ids []uint32, reason exclusion, exclude bool) {
	e.observe(now)
	// OnListEnd is not called: the policy would take it as a sign that the list was received, and would request the next update later.
	e.policy.OnListBegin(now, logic.ListChanges)
	for _, id := range ids {
		excluded := e.updateExclusion(id, reason, exclude)
		index, ok := e.nodeIndex[id]
		if !ok || e.nodes[index].excluded == excluded {
			continue
		}
		e.nodes[index].excluded = excluded
		if e.nodes[index].availability != logic.Unavailable {
			e.reportToPolicy(index)
		}
		if excluded && reason == excludedMaintenance {
			e.recallFromNode(index)
		}
	}
}

// updateExclusion adds or removes a reason for a node's exclusion. It reports whether any reason is left.
func (e *Engine) updateExclusion(id uint32, reason exclusion, exclude bool) (excluded bool) {
	reasons := e.exclusions[id]
	if exclude {
		reasons |= reason
	} else {
		reasons &^= reason
	}
	if reasons == 0 {
		delete(e.exclusions, id)
	} else {
		e.exclusions[id] = reasons
	}
	return reasons != 0
}

// recallFromNode cancels or recalls the attempts at a node whose tasks are not running.
func (e *Engine) recallFromNode(index int) {
	for _, slot := range e.nodes[index].allocations {
		switch a := &e.allocations[slot]; a.phase {
		case phaseConnecting:
			e.cancelUnsent(a)
		case phaseInFlight:
			if !a.recalled && e.config.Cluster.CanCancel {
				e.recall(a)
			}
		}
	}
}
