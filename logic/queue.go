package logic

import (
	"cmp"
	"fmt"
	"slices"
)

const (
	scanInterval   = 20               // between two scans of the queue, ms
	rescanDelay    = scanInterval / 4 // until the next scan after an outcome, at most, ms
	minTimeToStart = 60               // no attempt is sent with less time left, ms
)

// placementQueue holds allocations that wait for a node.
type placementQueue struct {
	waiting      []int // indexes of allocations
	nextScanAt   float64
	scanTimerSet bool
	shortage     bool     // as last logged: many allocations wait
	unplaceable  []demand // demands that found no node in this scan
}

// OnRequest implements EventHandler: the allocation joins the queue.
func (s *Scheduler) OnRequest(now float64, request Request) {
	s.now = now
	i := s.track(&request)
	alloc := &s.allocations.all[i]
	alloc.deadline = request.Deadline - 2*s.cluster.MinRoundInterval // so that the answer arrives before the client stops waiting
	s.observeSize(alloc)
	s.queue.waiting = append(s.queue.waiting, i)
	s.effects.SetTimer(alloc.deadline-now, timerDeadline+uint64(alloc.id))
	s.probeBudget = min(s.probeBudget+1, float64(len(s.nodes.all)))
	s.queue.nextScanAt = now
}

// OnExpired implements EventHandler. An allocation that waits leaves the queue at the next scan.
func (s *Scheduler) OnExpired(now float64, id uint32) {
	s.now = now
	if i, ok := s.allocations.index[id]; ok {
		s.allocations.all[i].answered = true
		s.queue.nextScanAt = now
	}
}

// checkDeadline is the stage that ends an allocation that no attempt can start in time.
func (s *Scheduler) checkDeadline(alloc *allocation) decision {
	if alloc.deadline-s.now < minTimeToStart {
		return finish
	}
	return proceed
}

// scanQueue sends the allocations that wait along the chain if a scan is due: in order of priority weight, among equals of arrival.
func (s *Scheduler) scanQueue() {
	q := &s.queue
	if len(q.waiting) == 0 || s.now < q.nextScanAt {
		return
	}
	slices.SortStableFunc(q.waiting, func(x, y int) int {
		return cmp.Compare(s.priorityWeight(y), s.priorityWeight(x))
	})
	s.updateFleetStats()
	q.unplaceable = q.unplaceable[:0]
	remaining := q.waiting[:0]
	for _, i := range q.waiting {
		if alloc := &s.allocations.all[i]; !alloc.answered && s.advance(alloc) == wait {
			remaining = append(remaining, i)
		} else {
			s.removeIfDone(i)
		}
	}
	q.waiting = remaining
	q.nextScanAt = s.now + scanInterval
	if len(remaining) > 0 && !q.scanTimerSet {
		q.scanTimerSet = true
		s.effects.SetTimer(scanInterval, timerScan)
	}
	s.logShortage()
}

func (s *Scheduler) priorityWeight(i int) float64 {
	return s.classes[s.allocations.all[i].class].PriorityWeight
}

// logShortage logs when more than two allocations for each job class wait, and when none waits any more.
func (s *Scheduler) logShortage() {
	waiting := len(s.queue.waiting)
	shortage := waiting > 2*len(s.classes)
	if shortage != s.queue.shortage && (shortage || waiting == 0) {
		s.queue.shortage = shortage
		s.effects.Log(fmt.Sprintf("room: short=%t, %d wait", shortage, waiting))
	}
}
