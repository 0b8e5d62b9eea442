package logic

// nodeState is what is known of a node.
type nodeState struct {
	id               uint32
	zone, cell, kind int
	availability     Availability
	listVersion      int     // of the last list message that named it
	startedAt        float64 // by the list, 0: long ago

	capacity capacity
	health   nodeHealth

	unanswered    []int     // allocations with an attempt that it has not answered
	attemptSentAt []float64 // when the last attempts were sent, for slow start
	warmingUntil  float64   // end of slow start
	rejections    int       // in a row, for a reason other than lack of room
	backoffUntil  float64   // no attempt before

	probing          bool
	probedAt         float64
	surplus          bool // beyond what the fleet needs: takes new work last
	reservedForLarge bool // keeps room for a large allocation
}

// nodeTable holds all nodes ever named; their indexes do not change.
type nodeTable struct {
	all   []nodeState
	index map[uint32]int // by id
}

// find is the node of an id. The pointer is valid until a node is added.
func (t *nodeTable) find(id uint32) (*nodeState, bool) {
	i, ok := t.index[id]
	if !ok {
		return nil, false
	}
	return &t.all[i], true
}

// activateNode resets a node that becomes ready. One that has just started or come back warms up for as long as it may be cold.
func (s *Scheduler) activateNode(node *nodeState, startedAt float64, restarted bool) {
	node.health.history, node.health.unreachable = cleanHistory(len(s.classes)), false
	node.backoffUntil, node.rejections = 0, 0
	if startedAt > 0 {
		node.warmingUntil = max(node.warmingUntil, startedAt+s.cluster.SlowStartDuration)
	}
	if restarted {
		node.capacity.reset()
		node.health.lastAnswerAt = -1
		node.warmingUntil = max(node.warmingUntil, s.now+s.cluster.SlowStartDuration)
	}
}
