package baseline

import (
	"slices"

	"ravenpond/logic"
)

// choose selects a node for an allocation by the policy's rule and returns its index, -1 if no node passes the filters.
func (p *Policy) choose(a *allocation) int {
	var passed []int
	for i := range p.nodes {
		if p.passes(a, i) {
			passed = append(passed, i)
		}
	}
	if len(passed) == 0 {
		return -1
	}
	best := passed[p.random.IntN(len(passed))]
	switch p.name {
	case bestOfTwo, careful:
		if other := passed[p.random.IntN(len(passed))]; p.load(other) < p.load(best) {
			best = other
		}
	case leastLoaded:
		for _, other := range passed {
			if p.load(other) < p.load(best) {
				best = other
			}
		}
	}
	return best
}

// load returns the actual load of a node where the policy knows it, else the larger of the allocated fractions of cores and memory, minus
// one.
func (p *Policy) load(i int) float64 {
	n := &p.nodes[i]
	if p.trueLoad != nil {
		return p.trueLoad(n.id)
	}
	return max((n.reserved[0]-n.free[0])/p.cluster.KindCores[n.kind], (n.reserved[1]-n.free[1])/p.cluster.KindMemory[n.kind])
}

// passes reports whether a node passes the filters for an allocation.
func (p *Policy) passes(a *allocation, i int) bool {
	n, class := &p.nodes[i], &p.cluster.JobClasses[a.class]
	if !n.ready || p.now < n.fullUntil || class.NodeKind >= 0 && n.kind != class.NodeKind || slices.Contains(a.attemptedNodes, i) {
		return false
	}
	if p.name == careful && (p.now-n.startedAt < p.cluster.SlowStartDuration || !p.spreadAllows(a, i)) {
		return false
	}
	return p.withinIdempotencyScope(a, n)
}

// withinIdempotencyScope reports whether a node recognises a repeat of the allocation, if an earlier attempt may have run.
func (p *Policy) withinIdempotencyScope(a *allocation, n *node) bool {
	class := &p.cluster.JobClasses[a.class]
	if a.mayHaveRunSince < 0 || class.Semantics != logic.Idempotent {
		return true
	}
	first := &p.nodes[a.mayHaveRunNode]
	switch class.IdempotencyScope {
	case logic.ScopeZone:
		return first.zone == n.zone
	case logic.ScopeCell:
		return first.cell == n.cell
	}
	return true
}

// spreadAllows reports whether the spread constraint admits one more allocation of the service on a node.
func (p *Policy) spreadAllows(a *allocation, i int) bool {
	class := &p.cluster.JobClasses[a.class]
	if class.Spread == logic.Anywhere {
		return true
	}
	n, placed := &p.nodes[i], 0
	for _, other := range p.allocations { // the result does not depend on the iteration order
		if other.service != a.service || other.node < 0 || other.id == a.id {
			continue
		}
		m := &p.nodes[other.node]
		if other.node == i || class.Spread == logic.PerCell && m.cell == n.cell || class.Spread == logic.PerZone && m.zone == n.zone {
			placed++
		}
	}
	return placed < class.MaxPerScope
}
