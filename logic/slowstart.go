package logic

import (
	"math"
	"slices"
)

// slowStartShare is this scheduler's part of the attempts that a node in slow start tolerates from all schedulers together.
type slowStartShare struct {
	attempts int    // that it may send to one node within the window
	cycle    uint64 // where that is 0: it may send one attempt in every so many turns; 0: none
	excluded bool   // it sends none
}

func newSlowStartShare(cluster *Cluster) slowStartShare {
	share := slowStartShare{attempts: int(cluster.SlowStartLimit) / max(1, cluster.Schedulers)}
	if half := int(cluster.SlowStartLimit) / 2; half > 0 {
		share.cycle = uint64(cluster.Schedulers+half-1) / uint64(half)
	}
	return share
}

// SetSchedulerCount says how many schedulers share the limit of nodes in slow start, when that changes. 0 excludes this one. Where schedulers
// take turns, the turns of those that are excluded are not used.
func (s *Scheduler) SetSchedulerCount(schedulers int) {
	s.slowStart.excluded = schedulers == 0
	if s.slowStart.attempts > 0 && schedulers > 0 {
		s.slowStart.attempts = int(s.cluster.SlowStartLimit) / min(schedulers, s.cluster.Schedulers)
	}
}

// slowStartAllows reports whether a node in slow start may get one more attempt from this scheduler. All schedulers together keep within the
// node's limit: each has its share of it in any window, lengthened for attempts on their way. Where the share is less than one attempt,
// schedulers take turns of one window each; half of the limit goes to one turn, as a window may touch two turns. What this scheduler sent
// before a restart is forgotten but still counts, so it sends nothing in a window that began before its start.
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

// recordSlowStart notes an attempt. Attempts before the message about a start count too, so the last few are kept for every node.
func (s *Scheduler) recordSlowStart(node *nodeState) {
	keep := max(1, s.slowStart.attempts)
	node.attemptSentAt = append(node.attemptSentAt[max(0, len(node.attemptSentAt)-keep):], s.now)
}
