package logic

import "slices"

const (
	reportDelay     = 500  // a load report was measured about so long before it arrives, ms
	listDelay       = 4000 // and the load in a list entry, ms
	changeRetention = 8000 // own changes are kept for so long, beyond any delay of a report; also the age of a cached list's load, ms
	rejectionMargin = 0.99 // part of what was asked for that is taken to be missing after a rejection
)

// change is an allocation (positive) or a release (negative) by this scheduler on a node.
type change struct {
	at   float64
	size resources
}

// capacity is what is believed of a node's resources.
type capacity struct {
	size       resources // of the node
	reported   bool      // there has been a report since the node came into use
	free       resources // unallocated, by the last report
	measuredAt float64   // when the report's values were measured
	changes    []change  // own changes of the last changeRetention
	reserved   resources // allocated to own tasks, in flight or running
	ownUsage   resources // in use by own tasks

	sum      resources // cache of allocated: the report and the changes since it was measured
	sumValid bool
}

// applyMeasurement takes a report of what was unallocated at a time, unless a newer one is known.
func (c *capacity) applyMeasurement(free resources, at float64) {
	if at >= c.measuredAt {
		c.free, c.measuredAt, c.reported, c.sumValid = free, at, true, false
	}
}

// resize sets the size of the node.
func (c *capacity) resize(size resources) {
	c.size, c.sumValid = size, false
}

// reset forgets reports and changes, as of a node that has started anew.
func (c *capacity) reset() {
	c.reported, c.measuredAt = false, 0
	c.changes, c.sumValid = c.changes[:0], false
}

// allocated is what is believed to be allocated on the node, by all schedulers: the last report with own changes since it was measured, but
// no less than is reserved for own tasks; without a report, only that.
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

// record keeps a change of this scheduler.
func (c *capacity) record(now float64, added change) {
	c.changes = slices.DeleteFunc(c.changes, func(old change) bool { return old.at < now-changeRetention })
	c.changes, c.sumValid = append(c.changes, added), false
}

// reportLayout says where a load report has what the module needs.
type reportLayout struct{ cores, memory int } // index of the value, -1: reports lack it

// free is what a report says to be unallocated, and whether it does.
func (l reportLayout) free(report []float64) (resources, bool) {
	if min(l.cores, l.memory) < 0 || max(l.cores, l.memory) >= len(report) {
		return resources{}, false
	}
	return resources{report[l.cores], report[l.memory]}, true
}

// decodeReport is what a load report says to be unallocated on a node, and whether it does. Where reports tell what is in use, what is
// allocated follows from the usual ratio.
func (s *Scheduler) decodeReport(node *nodeState, report []float64) (resources, bool) {
	free, ok := s.reports.free(report)
	if ok && s.cluster.ReportsMeasureUse {
		ratio, size := s.usage.ratio(), node.capacity.size
		free.cores = size.cores - (size.cores-free.cores)/ratio.cores
		free.memory = size.memory - (size.memory-free.memory)/ratio.memory
	}
	return free, ok
}

// applyReport takes a load report that has just arrived.
func (s *Scheduler) applyReport(node *nodeState, report []float64) {
	if free, ok := s.decodeReport(node, report); ok {
		node.capacity.applyMeasurement(free, s.now-reportDelay)
	}
}

// fits reports whether a node accepts so much more.
func (s *Scheduler) fits(node *nodeState, demand resources) bool {
	allocated, size := node.capacity.allocated(), node.capacity.size
	return allocated.cores+demand.cores <= size.cores*s.cluster.CoresOvercommit &&
		allocated.memory+demand.memory <= size.memory*s.cluster.MemoryOvercommit
}

// applyRejection takes a rejection for lack of room as the newest report: just less than was asked for is free. It prevents attempt after
// attempt while late reports still show room. It may keep this scheduler off a node that has just been emptied, until the next report.
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
