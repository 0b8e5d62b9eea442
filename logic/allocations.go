package logic

import "slices"

// allocation is one that waits, has an attempt in flight, or runs.
type allocation struct {
	id       uint32
	class    int // index of its job class
	service  int // index of its service
	size     resources
	deadline float64   // of its start, by this module's reckoning
	node     int       // index of the node of the attempt in flight, or where it runs
	usage    resources // in use, as measured or as expected
	sentAt   float64   // when the last attempt was sent
	attempts int
	probedAt float64 // when its best candidates were probed, 0: never

	inFlight bool // an attempt has no outcome yet; also while it runs
	running  bool // the attempt has started it
	answered bool // the final answer is given

	mayHaveRun      bool // an earlier attempt may have run; the first such attempt:
	mayHaveRunSince float64
	mayHaveRunNode  int

	failedNodes  []int // nodes that are not attempted again
	erroredNodes []int // nodes that answered with an error
	faulty       bool  // it erred at several nodes, so that its failures say nothing of nodes
}

// allocationTable holds the allocations that are not forgotten yet.
type allocationTable struct {
	all   []allocation
	index map[uint32]int // by id
	free  []int          // slots of forgotten allocations
}

// placement counts a service's allocations on a node.
type placement struct{ node, count int }

// service is a group of allocations that share a program.
type service struct {
	key        uint64
	refs       int         // allocations in the table
	placements []placement // running or in flight, from this scheduler
}

// serviceTable holds the services of all allocations in the table.
type serviceTable struct {
	all   []service
	index map[uint64]int // by key
	free  []int          // slots of services without allocations
}

// takeSlot takes a slot from the free list, or appends one.
func takeSlot[T any](free []int, all []T) (slot int, remaining []int, allNow []T) {
	if n := len(free); n > 0 {
		return free[n-1], free[:n-1], all
	}
	var zero T
	return len(all), free, append(all, zero)
}

// acquire finds or adds a service and counts a reference to it.
func (t *serviceTable) acquire(key uint64) int {
	i, ok := t.index[key]
	if !ok {
		i, t.free, t.all = takeSlot(t.free, t.all)
		t.all[i] = service{key: key, placements: t.all[i].placements[:0]}
		t.index[key] = i
	}
	t.all[i].refs++
	return i
}

// release drops a reference, and with the last the service.
func (t *serviceTable) release(i int) {
	if dropped := &t.all[i]; dropped.refs == 1 {
		delete(t.index, dropped.key)
		t.free = append(t.free, i)
	} else {
		dropped.refs--
	}
}

// count adds to the number of allocations on a node.
func (v *service) count(node, delta int) {
	i := slices.IndexFunc(v.placements, func(p placement) bool { return p.node == node })
	if i < 0 {
		v.placements = append(v.placements, placement{node, delta})
	} else if v.placements[i].count += delta; v.placements[i].count == 0 {
		v.placements = slices.Delete(v.placements, i, i+1)
	}
}

// track adds an allocation to the table.
func (s *Scheduler) track(request *Request) int {
	service := s.services.acquire(request.Service)
	var i int
	i, s.allocations.free, s.allocations.all = takeSlot(s.allocations.free, s.allocations.all)
	s.allocations.all[i] = allocation{
		id: request.Allocation, class: request.Class, service: service, size: resources{request.Cores, request.Memory},
		node: -1, mayHaveRunNode: -1,
	}
	s.allocations.index[request.Allocation] = i
	return i
}

// removeIfDone removes an allocation from the table if it is answered and has no attempt in flight.
func (s *Scheduler) removeIfDone(i int) {
	alloc := &s.allocations.all[i]
	if alloc.inFlight || !alloc.answered {
		return
	}
	delete(s.allocations.index, alloc.id)
	s.services.release(alloc.service)
	s.allocations.free = append(s.allocations.free, i)
}

// OnRecovered implements EventHandler.
func (s *Scheduler) OnRecovered(now float64, recovered Recovered) {
	s.now = now
	node, ok := s.nodes.index[recovered.Node]
	if !ok {
		return
	}
	alloc := &s.allocations.all[s.track(&recovered.Request)]
	alloc.attempts, alloc.inFlight, alloc.running, alloc.answered = 1, true, true, true
	alloc.node, alloc.sentAt = node, now
	s.countPlacement(alloc, 1)
}

// countPlacement adds an allocation to (by 1) or removes it from (by -1) the counts of its node and service.
func (s *Scheduler) countPlacement(alloc *allocation, delta int) {
	node := &s.nodes.all[alloc.node]
	if delta > 0 {
		alloc.usage = alloc.size.scale(s.usage.ratio())
	}
	node.capacity.reserved = node.capacity.reserved.plus(alloc.size.times(float64(delta)))
	node.capacity.ownUsage = node.capacity.ownUsage.plus(alloc.usage.times(float64(delta)))
	s.services.all[alloc.service].count(alloc.node, delta)
}
