package logic

import "slices"

// maxUnanswered is the maximum number of this scheduler's attempts at one node that are unanswered at the same time.
const maxUnanswered = 6

// nodeAccepts applies the filters that depend on the state of the node. Their result is the same for all allocations with the same demand
// and priority weight.
func (s *Scheduler) nodeAccepts(alloc *allocation, node *nodeState) bool {
	class := &s.classes[alloc.class]
	if s.now < node.backoffUntil || len(node.unanswered) >= maxUnanswered || class.NodeKind >= 0 && node.kind != class.NodeKind {
		return false
	}
	if node.reservedForLarge && node.capacity.reported && class.PriorityWeight < s.large.weight &&
		!s.fits(node, alloc.size.plus(s.large.size)) {
		return false
	}
	if node.health.lastAnswerAt < 0 && len(node.unanswered) > 0 || s.now < node.warmingUntil && !s.slowStartAllows(node) {
		return false
	}
	return !node.capacity.reported || s.fits(node, alloc.size)
}

// allocationAllows applies the filters that depend on the allocation's earlier attempts and on its service: nodes at which it failed, its
// idempotency scope and its spread constraint.
func (s *Scheduler) allocationAllows(alloc *allocation, i int, node *nodeState) bool {
	return !slices.Contains(alloc.failedNodes, i) && s.withinIdempotencyScope(alloc, node) && s.spreadAllows(alloc, i, node)
}

// withinIdempotencyScope reports whether a node recognises a repeat of the allocation, which matters only if an earlier attempt may have run.
func (s *Scheduler) withinIdempotencyScope(alloc *allocation, node *nodeState) bool {
	class := &s.classes[alloc.class]
	if !alloc.mayHaveRun || !class.IsScoped() {
		return true
	}
	if node.identityUncertain {
		return false
	}
	first := &s.nodes.all[alloc.mayHaveRunNode]
	if class.IdempotencyScope == ScopeCell {
		return first.cell == node.cell
	}
	return first.zone == node.zone
}

// spreadAllows reports whether the spread constraint permits one more allocation of the service on a node.
func (s *Scheduler) spreadAllows(alloc *allocation, i int, node *nodeState) bool {
	class := &s.classes[alloc.class]
	if class.Spread == Anywhere {
		return true
	}
	maxDiversity := [...]int{Anywhere: 0, PerNode: sameNode, PerCell: sameCell, PerZone: sameZone}[class.Spread]
	inScope := 0
	for _, p := range s.services.all[alloc.service].placements {
		if diversity(&s.nodes.all[p.node], node, p.node == i) <= maxDiversity {
			inScope += p.count
		}
	}
	return inScope < class.MaxPerScope
}
