package logic

const (
	minProbeAge        = 400  // minimum age of a report before its node is probed to refresh it, ms
	initialProbeBudget = 32   // number of probes that may be sent before any request arrives
	probedCandidates   = 2    // number of the best candidates that are probed before the draw
	staleReportAge     = 1500 // age of a report from which such a candidate is probed, ms
	probeWait          = 150  // maximum wait for the answers of these probes, ms
)

// awaitProbes probes the best candidates whose reports are old, once for each allocation, and reports whether to wait for the answers. The
// probe budget grows by only one probe for each request, so without this the reports of a large fleet would be long out of date at the draw.
// If a node does not answer in time, the draw uses its last known state.
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

// refreshReports probes the nodes with the oldest reports as far as the probe budget allows.
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

// oldestReport returns the ready node with the oldest report among those that are not being probed, or nil if there is none.
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

// probe sends a probe to a node unless one is outstanding.
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
