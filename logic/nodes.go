package logic

// nodeState is the state of a node as known to this scheduler.
type nodeState struct {
	id               uint32
	zone, cell, kind int
	availability     Availability
	listVersion      int     // number of the last list message with an entry of the node
	startedAt        float64 // when the node started according to the list; 0: long ago

	identityUncertain bool // what is sent to the node may reach another one

	capacity capacity
	health   nodeHealth

	unanswered    []int     // indexes of allocations with an attempt that the node has not answered
	attemptSentAt []float64 // when the last attempts were sent, for the slow-start limit
	warmingUntil  float64   // end of slow start
	rejections    int       // consecutive rejections with NotAccepting, or without a reason after one of these
	backoffUntil  float64   // no attempt is sent before this time

	probing          bool
	probedAt         float64
	surplus          bool // not needed for the current load: gets allocations only if no other node is suitable
	reservedForLarge bool // keeps free capacity for a large allocation
}

// nodeTable holds all nodes that have ever been in the list; their indexes do not change.
type nodeTable struct {
	all   []nodeState
	index map[uint32]int // index of a node by its id
}

// find returns the node with an id. The pointer is valid until a node is added.
func (t *nodeTable) find(id uint32) (*nodeState, bool) {
	i, ok := t.index[id]
	if !ok {
		return nil, false
	}
	return &t.all[i], true
}

// SetNodeIdentity records whether what is sent to a node is known to reach it: another node may have its address. An allocation that may have run, and
// whose repeats only some nodes recognise, is not sent to a node of which that is uncertain.
func (s *Scheduler) SetNodeIdentity(now float64, id uint32, known bool) {
	s.now = now
	if node, ok := s.nodes.find(id); ok {
		node.identityUncertain = !known
		s.queue.nextScanAt = now
	}
}

// activateNode resets the state of a node that becomes ready. A node that has just started or become available again is in slow start for
// as long as it may be cold.
func (s *Scheduler) activateNode(node *nodeState, startedAt float64, restarted bool) {
	node.health.history, node.health.unreachable = cleanHistory(len(s.classes)), false
	node.backoffUntil, node.rejections = 0, 0
	if startedAt > 0 {
		node.warmingUntil = max(node.warmingUntil, min(startedAt, s.now+sameStartTolerance)+s.cluster.SlowStartDuration)
	}
	if restarted {
		node.capacity.reset()
		node.health.lastAnswerAt = -1
		node.warmingUntil = max(node.warmingUntil, s.now+s.cluster.SlowStartDuration)
	}
}
