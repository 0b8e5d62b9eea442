package logic

// Belief is what the module believes of a node, for comparison with what the node reports. It decides nothing.
type Belief struct {
	Cores, Memory float64 // unallocated
	Degradation   float64 // the part of their service that allocations lack, 0 to 1
	FailureRate   float64 // of the worst job class: the part of its last attempts that failed
	Unhealthy     bool    // the node does not answer
}

// NodeBelief is what the module believes of a node, false if there has been no report.
func (s *Scheduler) NodeBelief(id uint32) (Belief, bool) {
	node, ok := s.nodes.find(id)
	if !ok || !node.capacity.reported {
		return Belief{}, false
	}
	free := node.capacity.size.minus(node.capacity.allocated())
	belief := Belief{
		Cores: free.cores, Memory: free.memory,
		Degradation: node.health.degradationAt(s.now), Unhealthy: node.health.unreachable,
	}
	for class := range s.classes {
		belief.FailureRate = max(belief.FailureRate, node.health.failureRate(class))
	}
	return belief, true
}

// BeliefError is by how much more free cores and memory were believed than a report says that is about to be passed in: the last report with
// own changes up to the time of the new one. Changes by other schedulers since then are in it. It is false without a comparison.
func (s *Scheduler) BeliefError(now float64, id uint32, report []float64) (cores, memory float64, ok bool) {
	node, ok := s.nodes.find(id)
	if !ok {
		return 0, 0, false
	}
	c, at := &node.capacity, now-reportDelay
	free, ok := s.decodeReport(node, report)
	if !ok || !c.reported || at <= c.measuredAt {
		return 0, 0, false
	}
	difference := c.free.minus(free)
	for _, change := range c.changes {
		if change.at > c.measuredAt && change.at <= at {
			difference = difference.minus(change.size)
		}
	}
	return difference.cores, difference.memory, true
}
