package logic

import (
	"fmt"
	"math/bits"
	"slices"
)

const (
	historyLength          = 4 // number of last outcomes of a job class that count for a node
	historyMask            = 1<<historyLength - 1
	faultyAfterNodes       = 3    // number of nodes at which an allocation fails with an error before it counts as faulty itself
	failureDecayInterval   = 8000 // interval at which the oldest outcome is dropped, so that no node is avoided for long, ms
	degradationDecay       = 6000 // time over which a measurement of degraded service loses its weight, ms
	queueFullBackoff       = 250  // backoff of a node whose queue is full, ms; also the first backoff after consecutive rejections
	maxRejectionBackoff    = 2000 // maximum backoff after consecutive rejections, ms
	maxBackoffDoublings    = 8
	unhealthyProbeInterval = 1000 // minimum interval between health checks of a node that does not answer, ms
)

// nodeHealth is the health of a node according to outcomes, health checks and measurements.
type nodeHealth struct {
	history      []uint // last outcomes by job class, one bit each; 1: success
	nextDecayAt  float64
	lastAnswerAt float64 // -1: the node has not answered since it came into use
	unreachable  bool
	degradation  float64 // fraction of their service that allocations did not get, when last measured
	degradedAt   float64 // when degradation was last measured
}

// newNodeHealth returns the health of a node that is not known yet.
func newNodeHealth(classes int) nodeHealth {
	return nodeHealth{history: cleanHistory(classes), lastAnswerAt: -1}
}

// cleanHistory returns the history of a node without failures. Every node gets one with its first list entry, because also a node that was
// never ready may run allocations from before a restart of the scheduler, whose outcomes carry reports.
func cleanHistory(classes int) []uint {
	return slices.Repeat([]uint{historyMask}, classes)
}

// record adds an outcome of a job class, 1 for a success. An answered health check does not count as a success: it proves only that the
// node can be reached, and a node may fail one job class while it serves others.
func (h *nodeHealth) record(class int, success uint) {
	h.history[class] = (h.history[class]<<1 | success) & historyMask
}

// clearLatestFailure turns the latest failure in the history of a job class into a success.
func (h *nodeHealth) clearLatestFailure(class int) {
	h.history[class] = (h.history[class] | (h.history[class] + 1)) & historyMask
}

// failureRate returns the fraction of a job class's last historyLength outcomes that are failures.
func (h *nodeHealth) failureRate(class int) float64 {
	return 1 - float64(bits.OnesCount(h.history[class]))/historyLength
}

// decay adds a success to the history of each job class, which drops the oldest outcome, if that is due.
func (h *nodeHealth) decay(now float64) {
	if now > h.nextDecayAt {
		h.nextDecayAt = now + failureDecayInterval
		for class := range h.history {
			h.record(class, 1)
		}
	}
}

// degradationAt returns the fraction of their service that allocations do not get, according to recent measurements. It detects nodes whose
// cores are used by something that load reports do not count.
func (h *nodeHealth) degradationAt(now float64) float64 {
	return h.degradation * max(0, 1-(now-h.degradedAt)/degradationDecay)
}

// observeService adds a measurement of the fraction of its service that an allocation gets.
func (h *nodeHealth) observeService(now, served float64) {
	h.degradation, h.degradedAt = (h.degradationAt(now)+1-served)/2, now
}

// setReachability records whether a node answers.
func (s *Scheduler) setReachability(node *nodeState, reachable bool) {
	if reachable {
		node.health.lastAnswerAt = s.now
	}
	s.markReachable(node, reachable)
}

// markReachable sets whether a node counts as reachable, and logs a change.
func (s *Scheduler) markReachable(node *nodeState, reachable bool) {
	if node.health.unreachable == reachable {
		node.health.unreachable, node.probedAt = !reachable, s.now
		silence := (s.now - max(node.health.lastAnswerAt, s.startedAt)) / 1000
		s.effects.Log(fmt.Sprintf("node %d: unreachable=%t, no answer for %.1f s", node.id, node.health.unreachable, silence))
	}
}

// SetNodeReachable records whether the caller has a connection to a node. A node without one is used only if no other is left. A connection is
// no answer: whether the node serves what it is sent is still unknown.
func (s *Scheduler) SetNodeReachable(now float64, id uint32, reachable bool) {
	s.now = now
	node, ok := s.nodes.find(id)
	if !ok {
		return
	}
	s.markReachable(node, reachable)
	if reachable {
		s.queue.nextScanAt = now
	}
}

// isUnresponsive reports whether an answer of a node has been due for longer than starts usually take.
func (s *Scheduler) isUnresponsive(node *nodeState) bool {
	if len(node.unanswered) == 0 {
		return false
	}
	oldest := &s.allocations.all[node.unanswered[0]]
	expected := s.classes[oldest.class].startTimes.quantile(startTimeQuantile)
	return s.now-max(oldest.sentAt, node.health.lastAnswerAt) > max(minAttemptTimeout, expected)
}

// checkResponsiveness probes a node that does not answer and counts it as unreachable until the result arrives. Where nodes cannot be
// probed, it counts the node as reachable instead.
func (s *Scheduler) checkResponsiveness(node *nodeState) {
	if !node.probing && s.now-node.probedAt > unhealthyProbeInterval && (node.health.unreachable || s.isUnresponsive(node)) {
		s.setReachability(node, !s.cluster.CanProbe)
		s.probe(node)
	}
}

// updateNodeFromOutcome is the outcome handler of the placement stage: it updates the node's state after an attempt that did not start.
func (s *Scheduler) updateNodeFromOutcome(alloc *allocation, node *nodeState, outcome Outcome, reason Reason) {
	if alloc.running {
		return
	}
	switch outcome {
	case Rejected:
		s.setReachability(node, true)
		s.updateNodeFromRejection(alloc, node, reason)
	case Unreachable:
		s.setReachability(node, false)
		alloc.failedNodes = append(alloc.failedNodes, alloc.node)
	case TimedOut, Errored, ConnectionLost:
		alloc.failedNodes = append(alloc.failedNodes, alloc.node)
		if !alloc.faulty {
			node.health.record(alloc.class, 0)
		}
		if outcome == Errored {
			alloc.erroredNodes = append(alloc.erroredNodes, alloc.node)
			s.detectFaulty(alloc)
		}
	}
}

// updateNodeFromRejection corrects the estimate of a node's capacity, or backs off from the node. A node that drains without this scheduler
// having learned of it rejects everything, so the backoff grows with each rejection. A rejection without a reason counts only after one with
// NotAccepting, because on its own it may be due to lack of cores or memory.
func (s *Scheduler) updateNodeFromRejection(alloc *allocation, node *nodeState, reason Reason) {
	switch reason {
	case InsufficientCores, InsufficientMemory:
		s.applyRejection(node, alloc, reason)
	case QueueFull:
		node.backoffUntil = s.now + queueFullBackoff
	case NotAccepting, ReasonUnknown:
		if reason == ReasonUnknown && node.rejections == 0 {
			return
		}
		alloc.failedNodes = append(alloc.failedNodes, alloc.node)
		if node.rejections++; node.rejections > 1 {
			doublings := min(node.rejections-2, maxBackoffDoublings)
			node.backoffUntil = s.now + min(maxRejectionBackoff, queueFullBackoff*float64(int(1)<<doublings))
		}
	}
}

// detectFaulty marks an allocation that failed with errors at several nodes as faulty and removes these errors from the nodes' histories:
// the fault then lies with the allocation. Without this rule, faulty allocations of one client would make all nodes look unhealthy one after
// the other. The drawback: if that many nodes do fail a job class, an allocation that is sent to no other node hides their failures.
func (s *Scheduler) detectFaulty(alloc *allocation) {
	if len(alloc.erroredNodes) < faultyAfterNodes {
		return
	}
	for _, node := range alloc.erroredNodes {
		s.nodes.all[node].health.clearLatestFailure(alloc.class)
	}
	alloc.erroredNodes = alloc.erroredNodes[:0]
	alloc.faulty = true
}
