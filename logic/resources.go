package logic

// resources is an amount of cores and memory.
type resources struct{ cores, memory float64 }

func (r resources) plus(other resources) resources {
	return resources{r.cores + other.cores, r.memory + other.memory}
}

func (r resources) minus(other resources) resources {
	return resources{r.cores - other.cores, r.memory - other.memory}
}

// times multiplies cores and memory by the same factor.
func (r resources) times(factor float64) resources {
	return resources{factor * r.cores, factor * r.memory}
}

// scale multiplies cores and memory each by their own factor.
func (r resources) scale(factors resources) resources {
	return resources{r.cores * factors.cores, r.memory * factors.memory}
}

// byMetric returns the amount that a usage metric refers to. The metric has to be CoresUsed or MemoryUsed.
func (r *resources) byMetric(metric TaskMetric) *float64 {
	if metric == MemoryUsed {
		return &r.memory
	}
	return &r.cores
}
