package logic

// decision is the result of a stage for an allocation.
type decision uint8

const (
	proceed decision = iota // pass the allocation to the next stage
	wait                    // keep it in the queue
	finish                  // give the final answer
)

// stage is one step of the pipeline: advance runs before an attempt is sent, handleOutcome when the outcome of the attempt has arrived.
type stage struct {
	advance       func(*Scheduler, *allocation) decision
	handleOutcome func(*Scheduler, *allocation, *nodeState, Outcome, Reason)
}

// pipeline lists the stages in the order in which advance runs; handleOutcome runs in reverse order.
var pipeline = [...]stage{
	{(*Scheduler).checkDeadline, (*Scheduler).requeueOrAnswer},
	{(*Scheduler).checkAttempts, (*Scheduler).recordMayHaveRun},
	{(*Scheduler).chooseNode, (*Scheduler).updateNodeFromOutcome},
	{(*Scheduler).sendAttempt, (*Scheduler).releaseAttempt},
}

// advance runs the stages for an allocation until one of them does not return proceed.
func (s *Scheduler) advance(alloc *allocation) decision {
	result := proceed
	for i := 0; i < len(pipeline) && result == proceed; i++ {
		result = pipeline[i].advance(s, alloc)
	}
	if result == finish {
		s.answer(alloc)
	}
	return result
}

// OnOutcome implements EventHandler: the outcome passes through the stages in reverse order.
func (s *Scheduler) OnOutcome(now float64, result AttemptResult) {
	s.now = now
	if node, ok := s.nodes.find(result.Node); ok {
		s.applyReport(node, result.Report)
	}
	i, ok := s.allocations.index[result.Allocation]
	if !ok {
		return
	}
	alloc := &s.allocations.all[i]
	if !alloc.inFlight || int(result.Attempt) != alloc.attempts-1 {
		return
	}
	alloc.answered = alloc.answered || result.Answered
	alloc.nodeUncertain = alloc.nodeUncertain || result.NodeUncertain && !result.Outcome.neverRan()
	node := &s.nodes.all[alloc.node]
	for x := len(pipeline) - 1; x >= 0; x-- {
		pipeline[x].handleOutcome(s, alloc, node, result.Outcome, result.Reason)
	}
	s.removeIfDone(i)
	s.queue.nextScanAt = min(s.queue.nextScanAt, now+rescanDelay)
}
