package logic

const (
	diversityWeight    = 0.02 // weight of diversity beside a usage of 0 to 1
	fetchCostPerRank   = 0.4  // cost of each rank further back in a service's order of nodes, in units of usage
	maxFetchCost       = 4    // at most: a start where the program is not cached takes several times the work
	unansweredCost     = 0.05 // cost of each own unanswered attempt, in units of usage: starts queue behind it
	highUsageThreshold = 0.85 // usage from which allocations are served worse or evicted
	highUsageSlope     = 3    // so much faster the cost of usage grows from there
	failureCost        = 4    // cost of an attempt that surely fails, or of an allocation that is not served at all, in units of usage
)

// Diversity of two nodes.
const (
	sameNode  = 0
	sameCell  = 1
	sameZone  = 3
	otherZone = 7
)

// diversity is the geographic diversity of two nodes; same says that they are one node.
func diversity(x, y *nodeState, same bool) int {
	switch {
	case same:
		return sameNode
	case x.zone != y.zone:
		return otherZone
	case x.cell != y.cell:
		return sameZone
	}
	return sameCell
}

// netBenefit is the score of a node for an allocation: the diversity that it adds to the service's placements, less the rent of the node and
// the cost of likely failures. Nodes that warm up or have sent no report rank with the mean load of the fleet.
func (s *Scheduler) netBenefit(alloc *allocation, i int, meanLoad float64) float64 {
	node := &s.nodes.all[i]
	placements := s.services.all[alloc.service].placements
	present, diversitySum := false, 0.0
	for _, p := range placements {
		present = present || p.node == i
		diversitySum += float64(diversity(&s.nodes.all[p.node], node, p.node == i))
	}
	if len(placements) > 0 {
		diversitySum /= float64(len(placements))
	}
	cost := meanLoad
	if node.capacity.reported && s.now >= node.warmingUntil {
		cost = s.loadCost(node, alloc)
	}
	if !present {
		rank := hashFraction(s.services.all[alloc.service].key, node.id)
		cost += min(maxFetchCost, fetchCostPerRank*rank*float64(s.fleet.readyNodes))
	}
	return diversityWeight*diversitySum - cost - failureCost*(node.health.failureRate(alloc.class)+node.health.degradationAt(s.now))
}

// loadCost is the larger part of cores or memory in use with the allocation on the node, dearer when the node is nearly full, and dearer for
// each attempt that the node has not answered.
func (s *Scheduler) loadCost(node *nodeState, alloc *allocation) float64 {
	ratio, size := s.usage.ratio(), node.capacity.size
	used, added := node.capacity.used(ratio), alloc.size.scale(ratio)
	usage := max((used.cores+added.cores)/size.cores, (used.memory+added.memory)/size.memory)
	usage += highUsageSlope * max(0, usage-highUsageThreshold)
	return usage + unansweredCost*float64(len(node.unanswered))
}

// hashFraction maps a service's key and a node to a number from 0 to 1, the same at all schedulers. It gives each service an order of nodes,
// in which its allocations meet (rendezvous hashing).
func hashFraction(key uint64, id uint32) float64 {
	hash := pcg{key ^ uint64(id)*0x9e3779b97f4a7c15}
	hash.next()
	return hash.float()
}
