package logic

const (
	usageGrowthTime  = 8000  // time after a start during which memory usage still grows, ms
	usageDecayFactor = 0.998 // factor by which each new measurement reduces the weight of earlier ones
)

// initialUsage is an initial estimate with little weight, used until measurements arrive.
var initialUsage = usageModel{used: resources{12, 14}, allocated: resources{20, 20}}

// usageModel estimates the fraction of their allocated resources that this scheduler's allocations use.
type usageModel struct {
	used, allocated resources // weighted sums over measurements; older ones have less weight
}

// ratio returns the fraction of allocated resources that is in use.
func (u *usageModel) ratio() resources {
	return resources{u.used.cores / u.allocated.cores, u.used.memory / u.allocated.memory}
}

// observe adds a measurement of an allocation with the given size.
func (u *usageModel) observe(metric TaskMetric, value float64, size resources) {
	used, allocated := u.used.byMetric(metric), u.allocated.byMetric(metric)
	*used = *used*usageDecayFactor + value
	*allocated = *allocated*usageDecayFactor + *size.byMetric(metric)
}

// used estimates the resources in use on the node: those measured for this scheduler's allocations, plus the given ratio of the resources
// allocated by other schedulers.
func (c *capacity) used(ratio resources) resources {
	others := c.allocated().minus(c.reserved)
	return c.ownUsage.plus(others.scale(ratio))
}

// OnTaskMetric implements EventHandler: it records the resources that an allocation uses, and the fraction of its service that it gets.
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

// observeUsage records a measurement of the resources that an allocation uses. During usageGrowthTime after the send, a value below the
// previous one, which is at first the expected value, is replaced by it.
func (s *Scheduler) observeUsage(alloc *allocation, metric TaskMetric, value float64) {
	known := alloc.usage.byMetric(metric)
	if s.now-alloc.sentAt < usageGrowthTime {
		value = max(value, *known)
	}
	*s.nodes.all[alloc.node].capacity.ownUsage.byMetric(metric) += value - *known
	*known = value
	s.usage.observe(metric, value, alloc.size)
}
