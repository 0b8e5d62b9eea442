package engine

// EvictTenant ends what there is of a tenant: what is open is given up and answered at once, as its effect allows, and what runs is
// stopped if that is wanted. It may be called again, for what was found or came since. It returns what is left.
func (e *Engine) EvictTenant(now float64, tenant int, stop bool) (left int) {
	e.now, e.hasEvents = now, true
	for p := range e.allocations {
		a := &e.allocations[p]
		if q, ok := e.byID[a.id]; !ok || q != p || a.tenant != tenant {
			continue
		}
		switch {
		case a.phase == phaseRunning && stop && !a.stopping:
			e.stop(a)
		case a.phase != phaseRunning && !a.answered:
			e.withdrawAllocation(p, true)
		}
		if q, ok := e.byID[a.id]; ok && q == p {
			left++
		}
	}
	for _, g := range e.abandoned { // a count: the order has no effect
		if g.tenant == tenant && !g.stopped {
			left++
		}
	}
	return left
}
