package logic

// tickInterval is the interval between runs of the periodic work, ms.
const tickInterval = 100

// Keys of timers.
const (
	timerTick     = iota    // periodic work
	timerScan               // scan of the queue
	timerDeadline = 1 << 32 // plus the id of an allocation: the deadline of that allocation
)

// OnTimer implements EventHandler.
func (s *Scheduler) OnTimer(now float64, key uint64) {
	s.now = now
	switch key {
	case timerTick:
		s.tickDue = true
		s.effects.SetTimer(tickInterval, timerTick)
	case timerScan:
		s.queue.scanTimerSet = false
	default:
		s.deadlineReached(uint32(key - timerDeadline))
	}
}

// deadlineReached gives an allocation its final answer. An attempt in flight is cancelled if the cluster supports that.
func (s *Scheduler) deadlineReached(id uint32) {
	i, ok := s.allocations.index[id]
	if !ok || s.allocations.all[i].answered {
		return
	}
	alloc := &s.allocations.all[i]
	if alloc.inFlight && s.cluster.CanCancel {
		s.effects.Cancel(alloc.id, uint8(alloc.attempts-1))
	}
	s.answer(alloc)
	s.queue.nextScanAt = s.now
}

// tick does the periodic work: health checks, decay of failure histories, probes for load reports and polls of the node list.
func (s *Scheduler) tick() {
	for i := range s.nodes.all {
		if node := &s.nodes.all[i]; node.availability == Ready {
			s.checkResponsiveness(node)
			node.health.decay(s.now)
		}
	}
	s.refreshReports()
	s.pollList()
}
