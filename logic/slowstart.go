package logic

import (
	"math"
	"slices"
)

// slowStartShare is this scheduler's share of the attempts that a node in slow start accepts from all schedulers together.
type slowStartShare struct {
	attempts int    // number of attempts that it may send to one node within the window
	cycle    uint64 // if attempts is 0: it may send one attempt once in this number of turns; 0: it sends none
	excluded bool   // it sends no attempts to nodes in slow start
}

func newSlowStartShare(cluster *Cluster) slowStartShare {
	share := slowStartShare{attempts: int(cluster.SlowStartLimit) / max(1, cluster.Schedulers)}
	if half := int(cluster.SlowStartLimit) / 2; half > 0 {
		share.cycle = uint64(cluster.Schedulers+half-1) / uint64(half)
	}
	return share
}

// SetSchedulerCount sets how many schedulers share the attempt limit of nodes in slow start. A count of 0 excludes this scheduler. Where
// schedulers take turns, the turns of excluded schedulers stay unused.
func (s *Scheduler) SetSchedulerCount(schedulers int) {
	s.slowStart.excluded = schedulers == 0
	if s.slowStart.attempts > 0 && schedulers > 0 {
		s.slowStart.attempts = int(s.cluster.SlowStartLimit) / min(schedulers, s.cluster.Schedulers)
	}
}

// slowStartAllows reports whether this scheduler may send one more attempt to a node in slow start. To keep all schedulers together within the
// node's limit, each of them sends at most its share within any window, which is extended by reportDelay for attempts in transit. If the
// share is less than one attempt, schedulers take turns of one window each; each turn gets half of the limit, because a window may overlap
// two turns. After a restart the scheduler does not know which attempts it sent before, although they still count, so it sends none in a
// window that began before it started.
func (s *Scheduler) slowStartAllows(node *nodeState) bool {
	window := s.cluster.SlowStartWindow + reportDelay
	windowStart, limit := s.now-window, s.slowStart.attempts
	if limit == 0 {
		turn := math.Floor(s.now / window)
		if s.slowStart.cycle == 0 || (uint64(turn)+uint64(node.id)+uint64(s.cluster.Index))%s.slowStart.cycle != 0 {
			return false
		}
		windowStart, limit = turn*window, 1
	}
	node.attemptSentAt = slices.DeleteFunc(node.attemptSentAt, func(at float64) bool { return at < windowStart })
	return len(node.attemptSentAt) < limit && windowStart >= s.startedAt && !s.slowStart.excluded
}

// recordSlowStart records when an attempt was sent. Attempts that were sent before the scheduler learned of a node's start count too, so the
// last few are kept for every node.
func (s *Scheduler) recordSlowStart(node *nodeState) {
	keep := max(1, s.slowStart.attempts)
	node.attemptSentAt = append(node.attemptSentAt[max(0, len(node.attemptSentAt)-keep):], s.now)
}
