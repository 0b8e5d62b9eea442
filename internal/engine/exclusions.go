package engine

import "ravenpond/logic"

// exclusion is a set of reasons for which a node gets nothing new, whatever the list says.
type exclusion uint8

const (
	excludedMaintenance exclusion = 1 << iota // the calendar has taken it out
	excludedByPeers                           // others say that it drains or is gone
	excludedZone                              // its zone is closed to this scheduler
	excludedWorkingSet                        // it is outside the working set
)

// SetMaintenance takes nodes out for maintenance, or brings them back, whatever the list says. Attempts in flight to a node that is
// taken out are recalled; each comes back or runs after all, but is never doubled. A node that is brought back and that the
// list has as ready is ready again.
func (e *Engine) SetMaintenance(now float64, nodes []uint32, excluded bool) {
	e.setExcluded(now, nodes, excludedMaintenance, excluded)
}

// SetWarned excludes nodes, or no longer, that other schedulers say drain or are gone, ahead of the list here. Attempts in
// flight to them go on.
func (e *Engine) SetWarned(now float64, nodes []uint32, excluded bool) {
	e.setExcluded(now, nodes, excludedByPeers, excluded)
}

// SetZoneClosed excludes nodes, or no longer, of zones that this scheduler sends nothing to. Attempts in flight to them and
// running tasks go on: they may run, so nothing of them is started elsewhere that must not be.
func (e *Engine) SetZoneClosed(now float64, nodes []uint32, excluded bool) {
	e.setExcluded(now, nodes, excludedZone, excluded)
}

// setExcluded adds a reason to the exclusions of nodes, or removes it. A node that the list names later is excluded from then on.
func (e *Engine) setExcluded(now float64, ids []uint32, reason exclusion, exclude bool) {
	e.observe(now)
	// There is no end of this update: the policy would take that for a sign of life of the list, and request the next later.
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

// updateExclusion changes a node's reasons. It tells whether any is left.
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

// recallFromNode calls the attempts at a node back that don't run yet.
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
