package logic

import (
	"cmp"
	"slices"
)

const (
	consolidationLoad    = 0.65 // mean load up to which nodes in use are filled, where nodes in use have a price
	reservationThreshold = 0.6  // part of all resources allocated from which nodes are reserved for large allocations
	reservationFactor    = 2    // nodes reserved, as a multiple of the part of memory that large allocations ask for
	largeSizeFactor      = 4    // mean sizes from which an allocation is large
)

// largeAllocations is what is known of large allocations.
type largeAllocations struct {
	size        resources // the largest cores and the largest memory seen
	weight      float64   // priority weight of the last one's class
	kind        int       // node kind that the last one's class needs, or -1
	memory      float64   // sum over large allocations
	totalMemory float64   // sum over all allocations
}

// runsOn reports whether large allocations may run on a node kind.
func (l *largeAllocations) runsOn(kind int) bool { return l.kind < 0 || l.kind == kind }

// observeSize counts an allocation that is asked for.
func (s *Scheduler) observeSize(alloc *allocation) {
	s.large.totalMemory += alloc.size.memory
	isLarge := (alloc.size.cores/s.cluster.MeanCores+alloc.size.memory/s.cluster.MeanMemory)/2 >= largeSizeFactor
	if !isLarge {
		return
	}
	class := &s.classes[alloc.class]
	s.large.memory += alloc.size.memory
	s.large.size = resources{max(alloc.size.cores, s.large.size.cores), max(alloc.size.memory, s.large.size.memory)}
	s.large.kind, s.large.weight = class.NodeKind, class.PriorityWeight
}

// fleetStats is the state of all ready nodes, taken before each scan of the queue.
type fleetStats struct {
	readyNodes    int
	nodesForLarge float64     // ready nodes on which large allocations may run
	byLoad        []candidate // ready nodes with a report, score: load
	meanLoad      float64     // of these
	used          resources   // sums over these
	allocated     resources
	limit         resources // up to which they accept allocations
}

// updateFleetStats takes the survey and marks two kinds of nodes that small allocations are to leave alone.
func (s *Scheduler) updateFleetStats() {
	s.collectFleetStats()
	s.markSurplus()
	s.reserveForLarge()
}

func (s *Scheduler) collectFleetStats() {
	f, ratio := &s.fleet, s.usage.ratio()
	*f = fleetStats{byLoad: f.byLoad[:0]}
	overcommit := resources{s.cluster.CoresOvercommit, s.cluster.MemoryOvercommit}
	for i := range s.nodes.all {
		node := &s.nodes.all[i]
		if node.availability != Ready {
			continue
		}
		f.readyNodes++
		if s.large.runsOn(node.kind) {
			f.nodesForLarge++
		}
		if !node.capacity.reported {
			continue
		}
		used, size := node.capacity.used(ratio), node.capacity.size
		load := max(used.cores/size.cores, used.memory/size.memory)
		f.byLoad = append(f.byLoad, candidate{i, load})
		f.meanLoad += load
		f.used = f.used.plus(used)
		f.allocated = f.allocated.plus(node.capacity.allocated())
		f.limit = f.limit.plus(size.scale(overcommit))
	}
	f.meanLoad /= max(1, float64(len(f.byLoad)))
}

// markSurplus marks the least loaded nodes beyond those that all use together needs, where nodes in use have a price. They get nothing new
// while another node is left, so they empty and stay last.
func (s *Scheduler) markSurplus() {
	if s.cluster.FleetPrice > 0 {
		slices.SortFunc(s.fleet.byLoad, func(x, y candidate) int {
			return cmp.Or(cmp.Compare(y.score, x.score), cmp.Compare(x.node, y.node))
		})
	}
	var capacitySum resources
	for _, c := range s.fleet.byLoad {
		node := &s.nodes.all[c.node]
		node.surplus = s.cluster.FleetPrice > 0 &&
			capacitySum.cores*consolidationLoad >= s.fleet.used.cores && capacitySum.memory*consolidationLoad >= s.fleet.used.memory
		if !node.health.unreachable {
			capacitySum = capacitySum.plus(node.capacity.size)
		}
	}
}

// reserveForLarge marks nodes that keep room for a large allocation, while room is short and nodes do not preempt. They are chosen by id, so
// that all schedulers choose the same.
func (s *Scheduler) reserveForLarge() {
	f, reserved := &s.fleet, 0.0
	if !s.cluster.Preempts &&
		(f.allocated.cores > reservationThreshold*f.limit.cores || f.allocated.memory > reservationThreshold*f.limit.memory) {
		reserved = reservationFactor * s.large.memory / s.large.totalMemory * float64(len(f.byLoad))
	}
	for i := range s.nodes.all {
		node := &s.nodes.all[i]
		node.reservedForLarge = reserved > 0 && s.large.runsOn(node.kind) && hashFraction(0, node.id)*f.nodesForLarge < reserved
	}
}
