package logic

import (
	"fmt"
	"math/bits"
	"slices"
)

const (
	historyLength          = 4 // last outcomes of a job class that judge a node
	historyMask            = 1<<historyLength - 1
	faultyAfterNodes       = 3    // nodes at which an allocation errs before it is taken to be faulty itself
	failureDecayInterval   = 8000 // every so long the oldest outcome is forgotten, so that no node is left out for long, ms
	degradationDecay       = 6000 // a measurement of degraded service loses its weight over so long, ms
	queueFullBackoff       = 250  // of a node whose queue is too long, ms; also the first backoff after rejections in a row
	maxRejectionBackoff    = 2000 // longest backoff after rejections in a row, ms
	maxBackoffDoublings    = 8
	unhealthyProbeInterval = 1000 // between two health checks of a node that does not answer, ms
)

// nodeHealth is what outcomes, health checks and measurements say of a node.
type nodeHealth struct {
	history      []uint // by job class the last outcomes, one bit each, 1: success
	nextDecayAt  float64
	lastAnswerAt float64 // -1: none since it came into use
	unreachable  bool
	degradation  float64 // part of their service that allocations lacked, when last measured
	degradedAt   float64 // then
}

// newNodeHealth is the health of a node that is not known yet.
func newNodeHealth(classes int) nodeHealth {
	return nodeHealth{history: cleanHistory(classes), lastAnswerAt: -1}
}

// cleanHistory is the history of a node at which nothing has failed. Every node has one from the moment it is named: one that was never
// ready may run allocations from before a restart, and reports come with their ends.
func cleanHistory(classes int) []uint {
	return slices.Repeat([]uint{historyMask}, classes)
}

// record adds an outcome of a job class, 1 for a success. An answered health check is none: it proves that the node can be reached, and a
// node may fail one job class while it serves others.
func (h *nodeHealth) record(class int, success uint) {
	h.history[class] = (h.history[class]<<1 | success) & historyMask
}

// clearLatestFailure counts the latest failure of a job class as a success.
func (h *nodeHealth) clearLatestFailure(class int) {
	h.history[class] = (h.history[class] | (h.history[class] + 1)) & historyMask
}

// failureRate is the part of a job class's last few attempts that failed.
func (h *nodeHealth) failureRate(class int) float64 {
	return 1 - float64(bits.OnesCount(h.history[class]))/historyLength
}

// decay forgets the oldest outcomes when that is due.
func (h *nodeHealth) decay(now float64) {
	if now > h.nextDecayAt {
		h.nextDecayAt = now + failureDecayInterval
		for class := range h.history {
			h.record(class, 1)
		}
	}
}

// degradationAt is the part of their service that allocations lack, as lately measured. It shows nodes whose cores are taken by what no
// load report counts.
func (h *nodeHealth) degradationAt(now float64) float64 {
	return h.degradation * max(0, 1-(now-h.degradedAt)/degradationDecay)
}

// observeService takes a measurement of the part of its service that an allocation gets.
func (h *nodeHealth) observeService(now, served float64) {
	h.degradation, h.degradedAt = (h.degradationAt(now)+1-served)/2, now
}

// setReachability notes that a node answers, or does not.
func (s *Scheduler) setReachability(node *nodeState, reachable bool) {
	if reachable {
		node.health.lastAnswerAt = s.now
	}
	if node.health.unreachable == reachable {
		node.health.unreachable, node.probedAt = !reachable, s.now
		silence := (s.now - max(node.health.lastAnswerAt, s.startedAt)) / 1000
		s.effects.Log(fmt.Sprintf("node %d: ill=%t, unheard %.1f s", node.id, node.health.unreachable, silence))
	}
}

// isUnresponsive reports whether a node owes an answer for longer than starts take.
func (s *Scheduler) isUnresponsive(node *nodeState) bool {
	if len(node.unanswered) == 0 {
		return false
	}
	first := &s.allocations.all[node.unanswered[0]]
	expected := s.classes[first.class].startTimes.quantile(startTimeQuantile)
	return s.now-max(first.sentAt, node.health.lastAnswerAt) > max(minAttemptTimeout, expected)
}

// checkResponsiveness probes a node that does not answer.
func (s *Scheduler) checkResponsiveness(node *nodeState) {
	if !node.probing && s.now-node.probedAt > unhealthyProbeInterval && (node.health.unreachable || s.isUnresponsive(node)) {
		s.setReachability(node, !s.cluster.CanProbe)
		s.probe(node)
	}
}

// updateNodeFromOutcome is the way back of the placement stage: what an attempt that did not start says of its node.
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

// updateNodeFromRejection corrects the belief of a node's capacity, or leaves the node alone for a while. A node that drains without this
// scheduler's knowledge rejects everything, so the backoff grows with each rejection. One without a reason counts only after such a
// rejection: by itself it may be for lack of room.
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

// detectFaulty clears nodes of the errors of an allocation that erred at several: what no node can run is at fault itself. Without it, bad
// allocations of one client would make all nodes look unhealthy in turn. Where as many nodes do fail a job class, an allocation that meets
// no other node hides their failures.
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
