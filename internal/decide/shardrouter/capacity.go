package shardrouter

const (
	heldByOthersSmoothing = 0.1 // weight of the node list's latest answer, twice a second, in the estimate of what other processes hold
	maxNodeListLag        = 5   // answers by which the node list may be late
)

// Resources are cores and memory.
type Resources struct{ Cores, Memory float64 }

// Capacity is an answer of the node list about all nodes that accept work.
type Capacity struct {
	Total     Resources
	Free      Resources // that nobody asks for
	KnowsFree bool      // the list says what is free
}

// OnCapacity updates the capacity and the estimate of what other processes hold: the part of the capacity that is not free, less what this
// process holds. The list is late, so the part was not free at some time of the last listLagRounds answers, when this process held between
// the least and the most of that time; while its own load changes, the estimate stays within what this range allows.
func (r *Router) OnCapacity(c Capacity) {
	q := r.queue
	if q == nil || !(c.Total.Cores > 0) || !(c.Total.Memory > 0) {
		return
	}
	if q.recentHeld = append(q.recentHeld, q.held); len(q.recentHeld) > maxNodeListLag {
		q.recentHeld = q.recentHeld[1:]
	}
	minHeld, maxHeld := q.held, q.held
	for _, held := range q.recentHeld {
		minHeld = Resources{min(minHeld.Cores, held.Cores), min(minHeld.Memory, held.Memory)}
		maxHeld = Resources{max(maxHeld.Cores, held.Cores), max(maxHeld.Memory, held.Memory)}
	}
	used := Resources{c.Total.Cores - c.Free.Cores, c.Total.Memory - c.Free.Memory}
	if !c.KnowsFree { // assume that others hold nothing
		used, minHeld, maxHeld = Resources{}, Resources{}, Resources{}
	}
	isFirst := q.capacity.Cores == 0
	q.heldByOthers.Cores = smoothHeldByOthers(q.heldByOthers.Cores, used.Cores-maxHeld.Cores, used.Cores-minHeld.Cores, isFirst)
	q.heldByOthers.Memory = smoothHeldByOthers(q.heldByOthers.Memory, used.Memory-maxHeld.Memory, used.Memory-minHeld.Memory, isFirst)
	q.capacity = c.Total
	q.fair.SetCapacity(c.Total.Cores, c.Total.Memory, r.config.MaxOpen)
}

// smoothHeldByOthers moves an estimate toward the range of values that the list allows.
func smoothHeldByOthers(estimate, lowest, highest float64, isFirst bool) float64 {
	target := min(max(estimate, lowest), highest)
	if isFirst {
		return target
	}
	return estimate + heldByOthersSmoothing*(target-estimate)
}

// updateFree tells the fair queue what may still be taken: the fill level, less what this process and others hold. The estimate of others
// may be negative: this process holds allocations at nodes that accept no work any more.
func (r *Router) updateFree() {
	q := r.queue
	if q.capacity.Cores <= 0 || q.capacity.Memory <= 0 {
		return
	}
	held := max(0, (q.held.Cores+q.heldByOthers.Cores)/q.capacity.Cores, (q.held.Memory+q.heldByOthers.Memory)/q.capacity.Memory)
	q.fair.SetFree(q.fill.Level()-held, 1-held, minOpenPerShard*r.config.MaxShards)
}

// FillLevel returns which fraction of the capacity may be taken now, and which fraction this process holds.
func (r *Router) FillLevel() (level, held float64) {
	q := r.queue
	return q.fill.Level(), max(q.held.Cores/max(1e-9, q.capacity.Cores), q.held.Memory/max(1e-9, q.capacity.Memory))
}
