package logic

const (
	diversityWeight    = 0.02 // weight of diversity relative to usage, which is from 0 to 1
	fetchCostPerRank   = 0.4  // cost of each further rank in a service's ranking of the nodes, in units of usage
	maxFetchCost       = 4    // maximum of that cost: a start on a node that has not cached the program takes several times the work
	unansweredCost     = 0.05 // cost of each own unanswered attempt, in units of usage: starts are queued behind it
	highUsageThreshold = 0.85 // usage from which allocations get degraded service or are evicted
	highUsageSlope     = 3    // additional cost per unit of usage above that threshold
	failureCost        = 4    // cost of an attempt that is certain to fail, or of an allocation that gets no service at all, in units of usage
)

// Geographic diversity of two nodes.
const (
	sameNode  = 0
	sameCell  = 1
	sameZone  = 3
	otherZone = 7
)

// diversity returns the geographic diversity of two nodes; same means that both are the same node.
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

// netBenefit returns the score of a node for an allocation: the diversity that it adds to the service's placements, less the load cost of the
// node, the cost of fetching the program, and the expected cost of failures and degraded service. Nodes that are in slow start or have sent
// no report are scored with the mean load of the fleet.
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

// loadCost returns the cost of a node's load with the allocation on it: the larger of the fractions of cores and memory in use, plus a cost
// that grows from highUsageThreshold and a cost for each attempt that the node has not answered.
func (s *Scheduler) loadCost(node *nodeState, alloc *allocation) float64 {
	ratio, size := s.usage.ratio(), node.capacity.size
	used, added := node.capacity.used(ratio), alloc.size.scale(ratio)
	usage := max((used.cores+added.cores)/size.cores, (used.memory+added.memory)/size.memory)
	usage += highUsageSlope * max(0, usage-highUsageThreshold)
	return usage + unansweredCost*float64(len(node.unanswered))
}

// hashFraction maps a service's key and a node to a number from 0 to 1 that is the same on all schedulers. It gives each service a ranking of
// the nodes, so that all schedulers prefer the same nodes for its allocations (rendezvous hashing).
func hashFraction(key uint64, id uint32) float64 {
	hash := pcg{key ^ uint64(id)*0x9e3779b97f4a7c15}
	hash.next()
	return hash.float()
}
