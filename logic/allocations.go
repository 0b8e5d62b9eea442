package logic

import "slices"

// allocation is an allocation that waits for a node, has an attempt in flight, or is running.
type allocation struct {
	id       uint32
	class    int // index of its job class
	service  int // index of its service
	size     resources
	deadline float64   // time by which it has to start or get its final answer, slightly before the client's deadline
	node     int       // index of the node of the attempt in flight or of the running allocation
	usage    resources // resources in use, measured or expected
	sentAt   float64   // when the last attempt was sent
	attempts int
	unsent   int     // attempts whose node could not be reached
	probedAt float64 // when its best candidates were probed; 0: never

	inFlight bool // an attempt has no outcome yet; remains true while the allocation is running
	running  bool // the attempt has started the allocation
	answered bool // the final answer has been given

	mayHaveRun      bool    // an earlier attempt may have run
	mayHaveRunSince float64 // when the first such attempt was sent
	mayHaveRunNode  int     // index of that attempt's node
	nodeUncertain   bool    // such an attempt may have reached another node than it was sent to

	failedNodes  []int // nodes that get no further attempt of this allocation
	erroredNodes []int // nodes at which an attempt ended with an error
	faulty       bool  // it failed with errors at several nodes, so its failures are not counted against nodes
}

// allocationTable holds the allocations until they are answered and have no attempt in flight.
type allocationTable struct {
	all   []allocation
	index map[uint32]int // by id
	free  []int          // slots of removed allocations
}

// placement counts a service's allocations on a node.
type placement struct{ node, count int }

// service is a group of allocations that share a program.
type service struct {
	key        uint64
	refs       int         // number of its allocations in the allocation table
	placements []placement // this scheduler's allocations that are running or in flight
}

// serviceTable holds the services of all allocations in the allocation table.
type serviceTable struct {
	all   []service
	index map[uint64]int // by key
	free  []int          // slots of services without allocations
}

// takeSlot returns a slot from the free list, or appends a new one if the list is empty.
func takeSlot[T any](free []int, all []T) (slot int, remaining []int, allNow []T) {
	if n := len(free); n > 0 {
		return free[n-1], free[:n-1], all
	}
	var zero T
	return len(all), free, append(all, zero)
}

// acquire returns the index of the service with a key, which it adds if it is missing, and increments its reference count.
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

// release drops a reference to a service, and removes the service with its last reference.
func (t *serviceTable) release(i int) {
	if dropped := &t.all[i]; dropped.refs == 1 {
		delete(t.index, dropped.key)
		t.free = append(t.free, i)
	} else {
		dropped.refs--
	}
}

// count changes the number of the service's allocations on a node by delta.
func (svc *service) count(node, delta int) {
	i := slices.IndexFunc(svc.placements, func(p placement) bool { return p.node == node })
	if i < 0 {
		svc.placements = append(svc.placements, placement{node, delta})
	} else if svc.placements[i].count += delta; svc.placements[i].count == 0 {
		svc.placements = slices.Delete(svc.placements, i, i+1)
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

// removeIfDone removes an allocation from the table if it has its final answer and no attempt in flight.
func (s *Scheduler) removeIfDone(i int) {
	alloc := &s.allocations.all[i]
	if alloc.inFlight || !alloc.answered {
		return
	}
	delete(s.allocations.index, alloc.id)
	s.services.release(alloc.service)
	s.allocations.free = append(s.allocations.free, i)
}

// OnRecovered implements EventHandler. An allocation at an unknown node is ignored.
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

// countPlacement adds an allocation to (delta 1) or removes it from (delta -1) the counts of its node and service.
func (s *Scheduler) countPlacement(alloc *allocation, delta int) {
	node := &s.nodes.all[alloc.node]
	if delta > 0 {
		alloc.usage = alloc.size.scale(s.usage.ratio())
	}
	node.capacity.reserved = node.capacity.reserved.plus(alloc.size.times(float64(delta)))
	node.capacity.ownUsage = node.capacity.ownUsage.plus(alloc.usage.times(float64(delta)))
	s.services.all[alloc.service].count(alloc.node, delta)
}
