package logic

const (
	minProbeAge        = 400  // a younger report needs no probe, ms
	initialProbeBudget = 32   // probes that no allocation has to pay for
	probedCandidates   = 2    // so many of the best candidates are probed before the draw
	staleReportAge     = 1500 // if their reports are older, ms
	probeWait          = 150  // and their answers are waited for so long, ms
)

// awaitProbes probes the best candidates whose reports are old, once for each allocation, and reports whether to wait for the answers. As
// allocations pay for few probes, the state of a large fleet would otherwise be long out of date at the draw. A node that does not answer in
// time is drawn on what is known.
func (s *Scheduler) awaitProbes(alloc *allocation, best []candidate) bool {
	if s.cluster.ReportsPiggybacked || !s.cluster.CanProbe {
		return false
	}
	first, waiting := alloc.probedAt == 0, false
	if first {
		alloc.probedAt = s.now
	}
	for _, c := range best {
		node := &s.nodes.all[c.node]
		if first && s.probeBudget >= 1 && s.now-reportDelay-node.capacity.measuredAt > staleReportAge && !node.probing {
			s.probeBudget--
			s.probe(node)
		}
		waiting = waiting || node.probing && s.now-alloc.probedAt < probeWait
	}
	return waiting
}

// refreshReports probes the nodes with the oldest reports, as far as allocations have paid for it.
func (s *Scheduler) refreshReports() {
	if s.cluster.ReportsPiggybacked {
		return
	}
	for ; s.probeBudget >= 1; s.probeBudget-- {
		oldest := s.oldestReport()
		if oldest == nil || s.now-reportDelay-oldest.capacity.measuredAt < minProbeAge {
			return
		}
		s.probe(oldest)
	}
}

// oldestReport is the ready node with the oldest report that is not being probed, nil if there is none.
func (s *Scheduler) oldestReport() *nodeState {
	var oldest *nodeState
	for i := range s.nodes.all {
		node := &s.nodes.all[i]
		if node.availability == Ready && !node.probing && (oldest == nil || node.capacity.measuredAt < oldest.capacity.measuredAt) {
			oldest = node
		}
	}
	return oldest
}

// probe sends a probe unless one is out.
func (s *Scheduler) probe(node *nodeState) {
	if s.cluster.CanProbe && !node.probing {
		node.probing, node.probedAt = true, s.now
		s.effects.Probe(node.id)
	}
}

// OnProbeResult implements EventHandler.
func (s *Scheduler) OnProbeResult(now float64, result ProbeResult) {
	s.now = now
	node, ok := s.nodes.find(result.Node)
	if !ok {
		return
	}
	node.probing = false
	s.queue.nextScanAt = now
	s.setReachability(node, result.Outcome == Completed)
	if result.Outcome == Completed {
		s.applyReport(node, result.Report)
	}
}
