package logic

import "fmt"

const (
	firstPollSpread      = 25   // first polls are spread over this time multiplied by the number of schedulers, ms
	pollBackoff          = 1500 // mean time until the next poll after the first failure, ms; it grows with each failure
	maxPollBackoffFactor = 4    // up to this multiple
	pollFraction         = 0.7  // fraction of ListMaxSilence after which a subscription without messages is renewed
	sameStartTolerance   = 1000 // difference by which two clocks may date the same start of a node, ms
)

// listState is the state of the subscription to the node list.
type listState struct {
	kind       ListKind // of the current message
	version    int      // number of the current message
	failures   int      // number of consecutive polls that failed
	lastAt     float64  // when the last message arrived
	nextPollAt float64
}

// OnListBegin implements EventHandler.
func (s *Scheduler) OnListBegin(now float64, kind ListKind) {
	s.now, s.list.kind = now, kind
	s.list.version++
	if kind == ListCached {
		s.probeBudget = initialProbeBudget
	}
}

// OnListNode implements EventHandler.
func (s *Scheduler) OnListNode(now float64, entry ListEntry) {
	i, known := s.nodes.index[entry.Node]
	if !known {
		i = len(s.nodes.all)
		s.nodes.index[entry.Node] = i
		s.nodes.all = append(s.nodes.all, nodeState{id: entry.Node, availability: Unavailable, health: newNodeHealth(len(s.classes))})
	}
	node := &s.nodes.all[i]
	// restarted is whether the node has started or become available again since the last message.
	restarted := !known && s.list.kind != ListCached ||
		known && (node.availability == Unavailable || IsOtherStart(node.startedAt, entry.StartedAt))
	node.listVersion, node.zone, node.cell, node.kind = s.list.version, entry.Zone, entry.Cell, entry.Kind
	if entry.Kind < len(s.cluster.KindCores) {
		node.capacity.resize(resources{s.cluster.KindCores[entry.Kind], s.cluster.KindMemory[entry.Kind]})
	}
	if entry.Availability == Ready && (restarted || node.availability != Ready) {
		s.activateNode(node, entry.StartedAt, restarted)
	}
	node.availability, node.startedAt = entry.Availability, entry.StartedAt
	if s.cluster.ListsReportLoad && entry.Availability == Ready {
		delay := float64(listDelay)
		if s.list.kind == ListCached {
			delay = changeRetention
		}
		node.capacity.applyMeasurement(resources{entry.FreeCores, entry.FreeMemory}, now-delay)
	}
}

// IsOtherStart reports whether a start time in the node list is that of another process of a node than an earlier one told of. A time of 0 tells
// nothing. The times come from the clock of the node's machine, which may be stepped back: an earlier time is another process too, unless it is
// so close that it may be the same start by another clock.
func IsOtherStart(earlier, listed float64) bool {
	return listed > earlier || listed != 0 && listed < earlier-sameStartTolerance
}

// OnListEnd implements EventHandler.
func (s *Scheduler) OnListEnd(now float64) {
	if s.list.kind == ListFailed {
		s.pollFailed(now)
		return
	}
	if s.list.kind != ListCached {
		s.listReceived(now)
	}
	if s.list.kind != ListChanges {
		for i := range s.nodes.all {
			if s.nodes.all[i].listVersion != s.list.version {
				s.nodes.all[i].availability = Unavailable
			}
		}
	}
}

// pollFailed schedules the next poll after a failure.
func (s *Scheduler) pollFailed(now float64) {
	s.list.failures++
	s.list.nextPollAt = now + pollBackoff*float64(min(s.list.failures, maxPollBackoffFactor))*(0.5+s.random.float())
	if s.list.failures == 1 {
		s.effects.Log(fmt.Sprintf("node list: poll failed, last message %.1f s ago", (now-s.list.lastAt)/1000))
	}
}

// listReceived schedules the next poll well before ListMaxSilence has passed without a message.
func (s *Scheduler) listReceived(now float64) {
	if s.list.failures > 0 {
		s.effects.Log(fmt.Sprintf("node list: received again after %d failed polls, %.1f s after the previous message", s.list.failures, (now-s.list.lastAt)/1000))
	}
	s.list.failures, s.list.lastAt = 0, now
	s.list.nextPollAt = now + s.cluster.ListMaxSilence*pollFraction
}

// pollList renews the subscription to the node list if that is due.
func (s *Scheduler) pollList() {
	if s.cluster.PollsList && s.now >= s.list.nextPollAt {
		s.list.nextPollAt = s.now + 2*pollBackoff*(1+s.random.float())
		s.effects.WatchList(true)
	}
}
