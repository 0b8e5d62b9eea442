package logic

import "slices"

const (
	minAttemptTimeout = 1200 // minimum time-out of an attempt, ms
	startTimeQuantile = 0.95 // quantile of the observed start times on which time-outs are based
	timeoutFactor     = 2    // multiple of that quantile that gives the time-out
	maxAttemptNumber  = 250  // limit on all attempts of an allocation; the caller numbers them in one byte
)

// checkAttempts is the stage that ends an allocation if the retry semantics of its job class or MaxAttempts allow no further attempt.
func (s *Scheduler) checkAttempts(alloc *allocation) decision {
	class := &s.classes[alloc.class]
	expired := class.Semantics == Idempotent && s.now >= alloc.mayHaveRunSince+class.IdempotencyWindow-s.cluster.MinRoundInterval
	unscoped := alloc.nodeUncertain && class.IsScoped() // it is not known which nodes recognise a repeat
	if alloc.inFlight || s.attemptsLeft(alloc) <= 0 || alloc.mayHaveRun && (class.Semantics == AtMostOnce || expired || unscoped) {
		return finish
	}
	return proceed
}

// attemptsLeft returns how many further attempts of an allocation are allowed.
func (s *Scheduler) attemptsLeft(alloc *allocation) int {
	counted := alloc.attempts
	if s.cluster.RetriesUnreachable {
		counted -= alloc.unsent
	}
	return min(s.cluster.MaxAttempts-counted, maxAttemptNumber-alloc.attempts)
}

// sendAttempt is the last stage: it sends an attempt to the chosen node.
func (s *Scheduler) sendAttempt(alloc *allocation) decision {
	node := &s.nodes.all[alloc.node]
	timeout := s.attemptTimeout(alloc)
	alloc.attempts++
	alloc.inFlight, alloc.sentAt = true, s.now
	s.countPlacement(alloc, 1)
	node.capacity.record(s.now, change{s.now, alloc.size})
	node.unanswered = append(node.unanswered, s.allocations.index[alloc.id])
	s.recordSlowStart(node)
	s.effects.StartAttempt(alloc.id, node.id, timeout)
	return proceed
}

// attemptTimeout returns the time-out of the next attempt. It follows from the observed start times of the job class if another attempt is
// allowed afterwards and enough time would remain for it; otherwise the attempt may take until the deadline.
func (s *Scheduler) attemptTimeout(alloc *allocation) float64 {
	remaining, class := alloc.deadline-s.now, &s.classes[alloc.class]
	if class.Semantics == AtMostOnce || s.attemptsLeft(alloc) <= 1 {
		return remaining
	}
	timeout := max(minAttemptTimeout, timeoutFactor*class.startTimes.quantile(startTimeQuantile))
	if timeout+minAttemptTimeout/2 < remaining {
		return timeout
	}
	return remaining
}

// OnStarted implements EventHandler.
func (s *Scheduler) OnStarted(now float64, id uint32, _ uint8, took float64) {
	s.now = now
	i, ok := s.allocations.index[id]
	if !ok {
		return
	}
	alloc := &s.allocations.all[i]
	node := &s.nodes.all[alloc.node]
	s.removeUnanswered(alloc, node)
	alloc.running, alloc.answered = true, true
	node.rejections = 0
	s.setReachability(node, true)
	node.health.record(alloc.class, 1)
	s.classes[alloc.class].startTimes.add(took)
}

// releaseAttempt is the outcome handler of the last stage: the attempt no longer counts on its node.
func (s *Scheduler) releaseAttempt(alloc *allocation, node *nodeState, outcome Outcome, _ Reason) {
	s.countPlacement(alloc, -1)
	alloc.inFlight = false
	if outcome == Unreachable {
		alloc.unsent++
	}
	s.removeUnanswered(alloc, node)
	if outcome.neverRan() { // cancels the change that was recorded when the attempt was sent
		node.capacity.record(s.now, change{alloc.sentAt, alloc.size.times(-1)})
	} else if alloc.running {
		node.capacity.record(s.now, change{s.now, alloc.size.times(-1)})
	}
}

func (s *Scheduler) removeUnanswered(alloc *allocation, node *nodeState) {
	node.unanswered = slices.DeleteFunc(node.unanswered, func(i int) bool { return s.allocations.all[i].id == alloc.id })
}

// neverRan reports whether an outcome proves that the attempt did not run.
func (o Outcome) neverRan() bool { return o == Rejected || o == Unreachable || o == NotSent }

// recordMayHaveRun is the outcome handler of the stage checkAttempts: it records the first attempt that may have run.
func (s *Scheduler) recordMayHaveRun(alloc *allocation, _ *nodeState, outcome Outcome, _ Reason) {
	if !outcome.neverRan() && !alloc.mayHaveRun {
		alloc.mayHaveRun, alloc.mayHaveRunSince, alloc.mayHaveRunNode = true, alloc.sentAt, alloc.node
	}
}

// requeueOrAnswer is the outcome handler of the first stage: an allocation that was not started is queued for another attempt, or gets its
// final answer at once if no further attempt is allowed.
func (s *Scheduler) requeueOrAnswer(alloc *allocation, _ *nodeState, _ Outcome, _ Reason) {
	switch {
	case alloc.answered:
	case s.checkAttempts(alloc) == finish:
		s.answer(alloc)
	default:
		s.queue.waiting = append(s.queue.waiting, s.allocations.index[alloc.id])
		s.queue.nextScanAt = s.now
	}
}

// answer gives the final answer: Shed if the client may safely request the allocation again, Fail otherwise.
func (s *Scheduler) answer(alloc *allocation) {
	class := &s.classes[alloc.class]
	retrySafe := class.Semantics == Restartable ||
		!alloc.inFlight && (!alloc.mayHaveRun || class.Semantics == Idempotent && class.IdempotencyScope == ScopeAll)
	if retrySafe {
		s.effects.Shed(alloc.id, 0)
	} else {
		s.effects.Fail(alloc.id)
	}
	alloc.answered = true
}
