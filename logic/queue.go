package logic

import (
	"cmp"
	"fmt"
	"slices"
)

const (
	scanInterval   = 20               // interval between scans of the queue, ms
	rescanDelay    = scanInterval / 4 // maximum time from an outcome to the next scan, ms
	minTimeToStart = 60               // minimum time left before the deadline for an attempt to be sent, ms
)

// placementQueue holds allocations that wait for a node.
type placementQueue struct {
	waiting      []int // indexes of the allocations
	nextScanAt   float64
	scanTimerSet bool
	shortage     bool     // state last logged by logShortage
	unplaceable  []demand // demands for which no node was found in this scan
}

// OnRequest implements EventHandler: the allocation joins the queue.
func (s *Scheduler) OnRequest(now float64, request Request) {
	s.now = now
	i := s.track(&request)
	alloc := &s.allocations.all[i]
	alloc.deadline = request.Deadline - 2*s.cluster.MinRoundInterval // the answer has to arrive before the client stops waiting
	s.observeSize(alloc)
	s.queue.waiting = append(s.queue.waiting, i)
	s.effects.SetTimer(alloc.deadline-now, timerDeadline+uint64(alloc.id))
	s.probeBudget = min(s.probeBudget+1, float64(len(s.nodes.all)))
	s.queue.nextScanAt = now
}

// OnExpired implements EventHandler. An allocation in the queue is removed at the next scan.
func (s *Scheduler) OnExpired(now float64, id uint32) {
	s.now = now
	if i, ok := s.allocations.index[id]; ok {
		s.allocations.all[i].answered = true
		s.queue.nextScanAt = now
	}
}

// checkDeadline is the stage that ends an allocation if too little time is left to start it before its deadline.
func (s *Scheduler) checkDeadline(alloc *allocation) decision {
	if alloc.deadline-s.now < minTimeToStart {
		return finish
	}
	return proceed
}

// scanQueue runs the pipeline for the waiting allocations if a scan is due, in descending order of priority weight and then by arrival.
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

// logShortage logs when more than two allocations per job class are waiting, and when none is waiting any more.
func (s *Scheduler) logShortage() {
	waiting := len(s.queue.waiting)
	shortage := waiting > 2*len(s.classes)
	if shortage != s.queue.shortage && (shortage || waiting == 0) {
		s.queue.shortage = shortage
		s.effects.Log(fmt.Sprintf("queue: capacity shortage=%t, %d allocations waiting", shortage, waiting))
	}
}
