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
	n, ok := s.nodeAt[id]
	if !ok || !s.nodes[n].known {
		return b, false
	}
	nd := &s.nodes[n]
	c, m := s.taken(nd)
	b = Belief{Cores: nd.cores - c, Memory: nd.memory - m, Degradation: s.strain(nd), Unhealthy: nd.ill}
	for job := range s.jobs {
		b.FailureRate = max(b.FailureRate, nd.risk(job))
	}
	return b, true
}

// BeliefError is by how much more free cores and memory were believed than a report says that is about to be told: the
// last report with own binds and ends up to the time of this one. What others did since is in it.
func (s *Scheduler) BeliefError(now float64, id uint32, report []float64) (cores, memory float64, ok bool) {
	n, ok := s.nodeAt[id]
	if !ok {
		return 0, 0, false
	}
	nd, at := &s.nodes[n], now-reportLag
	c, m, ok := s.told(nd, report)
	if !ok || !nd.known || at <= nd.measured {
		return 0, 0, false
	}
	cores, memory = nd.free[0]-c, nd.free[1]-m
	for _, x := range nd.acts {
		if x.at > nd.measured && x.at <= at {
			cores -= x.cores
			memory -= x.memory
		}
	}
	return cores, memory, true
}
