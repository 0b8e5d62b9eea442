package logic

import "slices"

const (
	reportDelay     = 500  // approximate age of a load report when it arrives, ms
	listDelay       = 4000 // approximate age of the load in a list entry, ms
	changeRetention = 8000 // how long own changes are kept, longer than any delay of a report; also the assumed age of a cached list's load, ms
	rejectionMargin = 0.99 // after a rejection at most this fraction of the requested amount is assumed to be free
)

// change is an allocation (positive size) or a release (negative size) by this scheduler on a node.
type change struct {
	at   float64
	size resources
}

// capacity is the estimate of a node's allocated and free resources.
type capacity struct {
	size       resources // total of the node
	reported   bool      // a report has arrived since the node came into use
	free       resources // unallocated according to the last report
	measuredAt float64   // when the values of the last report were measured
	changes    []change  // this scheduler's changes within the last changeRetention
	reserved   resources // allocated to this scheduler's own allocations, in flight or running
	ownUsage   resources // in use by this scheduler's own allocations

	sum      resources // cache for allocated: the last report and the changes since it was measured
	sumValid bool
}

// applyMeasurement stores the resources that were unallocated at a time, unless a newer measurement is known.
func (c *capacity) applyMeasurement(free resources, at float64) {
	if at >= c.measuredAt {
		c.free, c.measuredAt, c.reported, c.sumValid = free, at, true, false
	}
}

// resize sets the size of the node.
func (c *capacity) resize(size resources) {
	c.size, c.sumValid = size, false
}

// reset discards reports and changes, which do not apply to a node that has restarted.
func (c *capacity) reset() {
	c.reported, c.measuredAt = false, 0
	c.changes, c.sumValid = c.changes[:0], false
}

// allocated estimates the resources that all schedulers have allocated on the node: the last report with this scheduler's changes since it
// was measured, but no less than its own allocations reserve. Without a report it is the latter only.
func (c *capacity) allocated() resources {
	if !c.reported {
		return c.reserved
	}
	if !c.sumValid {
		c.sum, c.sumValid = c.size.minus(c.free), true
		for _, change := range c.changes {
			if change.at > c.measuredAt {
				c.sum = c.sum.plus(change.size)
			}
		}
	}
	return resources{max(c.sum.cores, c.reserved.cores), max(c.sum.memory, c.reserved.memory)}
}

// record adds a change made by this scheduler and drops changes older than changeRetention.
func (c *capacity) record(now float64, added change) {
	c.changes = slices.DeleteFunc(c.changes, func(old change) bool { return old.at < now-changeRetention })
	c.changes, c.sumValid = append(c.changes, added), false
}

// reportLayout holds the positions of the needed values in a load report.
type reportLayout struct{ cores, memory int } // index of the value; -1: reports do not contain it

// free returns the unallocated resources in a report, and false if the report lacks them.
func (l reportLayout) free(report []float64) (resources, bool) {
	if min(l.cores, l.memory) < 0 || max(l.cores, l.memory) >= len(report) {
		return resources{}, false
	}
	return resources{report[l.cores], report[l.memory]}, true
}

// decodeReport returns the unallocated resources of a node according to a load report, and false if the report lacks them. Where reports
// measure the resources in use, the allocated resources are estimated with the learned ratio of use to allocation.
func (s *Scheduler) decodeReport(node *nodeState, report []float64) (resources, bool) {
	free, ok := s.reports.free(report)
	if ok && s.cluster.ReportsMeasureUse {
		ratio, size := s.usage.ratio(), node.capacity.size
		free.cores = size.cores - (size.cores-free.cores)/ratio.cores
		free.memory = size.memory - (size.memory-free.memory)/ratio.memory
	}
	return free, ok
}

// applyReport updates the estimate of a node's capacity with a load report that has just arrived.
func (s *Scheduler) applyReport(node *nodeState, report []float64) {
	if free, ok := s.decodeReport(node, report); ok {
		node.capacity.applyMeasurement(free, s.now-reportDelay)
	}
}

// fits reports whether a node has room for the additional demand within its overcommit limits.
func (s *Scheduler) fits(node *nodeState, demand resources) bool {
	allocated, size := node.capacity.allocated(), node.capacity.size
	return allocated.cores+demand.cores <= size.cores*s.cluster.CoresOvercommit &&
		allocated.memory+demand.memory <= size.memory*s.cluster.MemoryOvercommit
}

// applyRejection treats a rejection for lack of cores or memory as the newest report: at most slightly less than the requested amount is
// free. It prevents repeated attempts at the node while delayed reports still show free capacity. If the node has just been emptied, this
// scheduler may avoid it until the next report.
func (s *Scheduler) applyRejection(node *nodeState, alloc *allocation, reason Reason) {
	c := &node.capacity
	allocated := c.allocated()
	if reason == InsufficientCores {
		allocated.cores = max(allocated.cores, c.size.cores*s.cluster.CoresOvercommit-alloc.size.cores*rejectionMargin)
	} else {
		allocated.memory = max(allocated.memory, c.size.memory*s.cluster.MemoryOvercommit-alloc.size.memory*rejectionMargin)
	}
	c.free, c.measuredAt, c.reported, c.sumValid = c.size.minus(allocated), s.now, true, false
}
