package shardrouter

const (
	heldByOthersSmoothing = 0.1 // weight of the node list's latest answer in the estimate of what other processes hold; an answer comes twice a second
	maxNodeListLag        = 5   // number of answers by which the node list may lag behind this process
)

// Resources is an amount of cores and memory.
type Resources struct{ Cores, Memory float64 }

// Capacity is the node list's answer, summed over all nodes that accept work.
type Capacity struct {
	Total       Resources
	Free        Resources // not held by any process
	ReportsFree bool      // the node list reports load, so that Free is valid
}

// OnCapacity updates the capacity and the estimate of what other processes hold, which is the used part of the capacity less what this process
// holds. The list lags: the used part is that of some time within the last maxNodeListLag answers. What this process held then lies
// between the least and the most that it held since. This range gives a lowest and a highest value for the other processes, and the estimate
// moves only if it is outside these bounds, so that changes of the process's own load do not distort it.
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
	if !c.ReportsFree { // assume that other processes hold nothing
		used, minHeld, maxHeld = Resources{}, Resources{}, Resources{}
	}
	isFirst := q.capacity.Cores == 0
	q.heldByOthers.Cores = smoothHeldByOthers(q.heldByOthers.Cores, used.Cores-maxHeld.Cores, used.Cores-minHeld.Cores, isFirst)
	q.heldByOthers.Memory = smoothHeldByOthers(q.heldByOthers.Memory, used.Memory-maxHeld.Memory, used.Memory-minHeld.Memory, isFirst)
	q.capacity = c.Total
	q.fair.SetCapacity(c.Total.Cores, c.Total.Memory, r.config.MaxOpen)
}

// smoothHeldByOthers moves an estimate toward the nearest value from lowest to highest, and takes that value at once if isFirst.
func smoothHeldByOthers(estimate, lowest, highest float64, isFirst bool) float64 {
	target := min(max(estimate, lowest), highest)
	if isFirst {
		return target
	}
	return estimate + heldByOthersSmoothing*(target-estimate)
}

// updateFree tells the fair queue which fraction of the capacity may still be taken: the fill level less what this and other processes hold.
// The estimate for other processes is negative if this process holds allocations at nodes that no longer accept work.
func (r *Router) updateFree() {
	q := r.queue
	if q.capacity.Cores <= 0 || q.capacity.Memory <= 0 {
		return
	}
	held := max(0, (q.held.Cores+q.heldByOthers.Cores)/q.capacity.Cores, (q.held.Memory+q.heldByOthers.Memory)/q.capacity.Memory)
	q.fair.SetFreeCapacity(q.fill.Level()-held, 1-held, minOpenPerShard*r.config.MaxShards)
}

// FillLevel returns the fraction of the capacity that may be taken now, and the fraction that this process holds.
func (r *Router) FillLevel() (level, held float64) {
	q := r.queue
	return q.fill.Level(), max(q.held.Cores/max(1e-9, q.capacity.Cores), q.held.Memory/max(1e-9, q.capacity.Memory))
}
