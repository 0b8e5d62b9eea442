package logic

// NodeEstimate is the scheduler's estimate of a node's state, for comparison with the node's reports. It does not affect decisions.
type NodeEstimate struct {
	Cores, Memory float64 // estimated to be unallocated
	Degradation   float64 // the fraction of their service that allocations do not get, 0 to 1
	FailureRate   float64 // the fraction of the last attempts that failed, for the job class with the most failures
	Unhealthy     bool    // the node counts as unreachable
}

// NodeEstimate returns the estimate of a node's state, and false if the node is unknown or there has been no report.
func (s *Scheduler) NodeEstimate(id uint32) (NodeEstimate, bool) {
	node, ok := s.nodes.find(id)
	if !ok || !node.capacity.reported {
		return NodeEstimate{}, false
	}
	free := node.capacity.size.minus(node.capacity.allocated())
	estimate := NodeEstimate{
		Cores: free.cores, Memory: free.memory,
		Degradation: node.health.degradationAt(s.now), Unhealthy: node.health.unreachable,
	}
	for class := range s.classes {
		estimate.FailureRate = max(estimate.FailureRate, node.health.failureRate(class))
	}
	return estimate, true
}

// EstimateError returns by how much the estimates of unallocated cores and memory exceed a new report, which must not have been applied yet.
// The estimate is the last report with this scheduler's own changes up to the time of the new report, so the error contains the changes
// that other schedulers made in between. It returns false if there is nothing to compare.
func (s *Scheduler) EstimateError(now float64, id uint32, report []float64) (cores, memory float64, ok bool) {
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
