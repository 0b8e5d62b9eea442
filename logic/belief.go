package logic

// Belief is what the module holds of a node, to be seen beside what the node says of itself. It decides nothing.
type Belief struct {
	Cores, Memory float64 // not asked for
	Degradation   float64 // the part of their service that tasks lack
	FailureRate   float64 // the worst job type's part of its last tries that failed
	Unhealthy     bool
}

// NodeBelief tells what is believed of a node, if anything is.
func (s *Scheduler) NodeBelief(id uint32) (b Belief, ok bool) {
	n, ok := s.nodeIndex[id]
	if !ok || !s.nodes[n].reported {
		return b, false
	}
	nd := &s.nodes[n]
	c, m := s.allocatedOn(nd)
	b = Belief{Cores: nd.cores - c, Memory: nd.memory - m, Degradation: s.degradation(nd), Unhealthy: nd.unhealthy}
	for job := range s.classes {
		b.FailureRate = max(b.FailureRate, nd.failureRate(job))
	}
	return b, true
}

// BeliefError is by how much more free cores and memory were believed than a report says that is about to be told: the
// last report with own binds and ends up to the time of this one. What others did since is in it.
func (s *Scheduler) BeliefError(now float64, id uint32, report []float64) (cores, memory float64, ok bool) {
	n, ok := s.nodeIndex[id]
	if !ok {
		return 0, 0, false
	}
	nd, at := &s.nodes[n], now-reportDelay
	c, m, ok := s.decodeReport(nd, report)
	if !ok || !nd.reported || at <= nd.measuredAt {
		return 0, 0, false
	}
	cores, memory = nd.reportedFree[0]-c, nd.reportedFree[1]-m
	for _, x := range nd.changes {
		if x.at > nd.measuredAt && x.at <= at {
			cores -= x.cores
			memory -= x.memory
		}
	}
	return cores, memory, true
}
