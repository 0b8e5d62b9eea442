package logic

const (
	usageGrowthTime  = 8000  // for so long after a start the use of memory grows, ms
	usageDecayFactor = 0.998 // weight that a past measurement keeps with each new one
)

// initialUsage is a guess of little weight, for the time before the first measurements.
var initialUsage = usageModel{used: resources{12, 14}, allocated: resources{20, 20}}

// usageModel learns what part of their allocated resources this scheduler's own tasks use.
type usageModel struct {
	used, allocated resources // sums over measurements, older ones with less weight
}

// ratio is the part of allocated resources that is in use.
func (u *usageModel) ratio() resources {
	return resources{u.used.cores / u.allocated.cores, u.used.memory / u.allocated.memory}
}

// observe takes a measurement of an allocation of a size.
func (u *usageModel) observe(metric TaskMetric, value float64, size resources) {
	used, allocated := u.used.byMetric(metric), u.allocated.byMetric(metric)
	*used = *used*usageDecayFactor + value
	*allocated = *allocated*usageDecayFactor + *size.byMetric(metric)
}

// used is what is in use on the node: by own tasks as measured, by others the part of what is allocated to them that the ratio says.
func (c *capacity) used(ratio resources) resources {
	others := c.allocated().minus(c.reserved)
	return c.ownUsage.plus(others.scale(ratio))
}

// OnTaskMetric implements EventHandler: it learns how much of their resources allocations use, and how well they are served.
func (s *Scheduler) OnTaskMetric(now float64, sample TaskSample) {
	s.now = now
	i, ok := s.allocations.index[sample.Allocation]
	if !ok {
		return
	}
	alloc := &s.allocations.all[i]
	switch sample.Metric {
	case ServedShare:
		if alloc.running {
			s.nodes.all[alloc.node].health.observeService(now, sample.Value)
		}
	case CoresUsed, MemoryUsed:
		if alloc.inFlight {
			s.observeUsage(alloc, sample.Metric, sample.Value)
		}
	}
}

// observeUsage takes a measurement of what an allocation uses. Until its use has stopped growing it counts with no less than expected.
func (s *Scheduler) observeUsage(alloc *allocation, metric TaskMetric, value float64) {
	known := alloc.usage.byMetric(metric)
	if s.now-alloc.sentAt < usageGrowthTime {
		value = max(value, *known)
	}
	*s.nodes.all[alloc.node].capacity.ownUsage.byMetric(metric) += value - *known
	*known = value
	s.usage.observe(metric, value, alloc.size)
}
