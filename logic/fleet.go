package logic

import (
	"cmp"
	"slices"
)

const (
	consolidationLoad    = 0.65 // mean load up to which nodes are filled if FleetPrice is set
	reservationThreshold = 0.6  // allocated fraction of all resources above which nodes are reserved for large allocations
	reservationFactor    = 2    // fraction of nodes reserved, as a multiple of the fraction of memory that large allocations request
	largeSizeFactor      = 4    // multiple of the mean size from which an allocation counts as large
)

// largeAllocations holds statistics of the large allocations that were requested.
type largeAllocations struct {
	size        resources // maximum of cores and maximum of memory requested so far
	weight      float64   // priority weight of the job class of the last one
	kind        int       // node kind that the job class of the last one requires, or -1 for any
	memory      float64   // memory requested by large allocations
	totalMemory float64   // memory requested by all allocations
}

// runsOn reports whether large allocations may run on nodes of a kind.
func (l *largeAllocations) runsOn(kind int) bool { return l.kind < 0 || l.kind == kind }

// observeSize adds a requested allocation to the statistics.
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

// fleetStats is the aggregate state of all ready nodes, computed before each scan of the queue.
type fleetStats struct {
	readyNodes    int
	nodesForLarge float64     // number of ready nodes on which large allocations may run
	byLoad        []candidate // ready nodes with a report, with their load as score
	meanLoad      float64     // mean load of the nodes in byLoad
	used          resources   // sum over the nodes in byLoad
	allocated     resources   // sum over the nodes in byLoad
	limit         resources   // sum of the amounts up to which they accept allocations
}

// updateFleetStats computes the fleet statistics and marks surplus nodes and nodes reserved for large allocations.
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

// markSurplus marks the least loaded nodes that are not needed for the total load, if FleetPrice is set. Surplus nodes get no new allocation
// while another node is suitable, so they become empty and remain the least loaded.
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

// reserveForLarge marks nodes that keep free capacity for a large allocation, while capacity is scarce and nodes do not preempt. The choice
// depends on a hash of the node id, so that all schedulers choose the same nodes.
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
