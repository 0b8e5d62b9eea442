package serve

import (
	"maps"
	"slices"
	"sync"

	"ravenpond/internal/decide/workingset"
	"ravenpond/internal/engine"
)

// loadInterval is the time between two measurements of the process's own load, ms.
const loadInterval = 1000

// workingSetReports collects what connections and shards report between two steps. Its methods are safe for concurrent use; mu is a leaf lock.
type workingSetReports struct {
	mu        sync.Mutex            // guards the fields below
	reachable map[uint32]bool       // by node
	demands   map[int]engine.Demand // by shard
}

func newWorkingSetReports() workingSetReports {
	return workingSetReports{reachable: map[uint32]bool{}, demands: map[int]engine.Demand{}}
}

// setReachable records whether a node is connected.
func (r *workingSetReports) setReachable(id uint32, reachable bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.reachable[id] = reachable
}

// setDemand records the demand of a shard.
func (r *workingSetReports) setDemand(shard int, demand engine.Demand) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.demands[shard] = demand
}

// take returns and clears what was reported since the last call.
func (r *workingSetReports) take() (reachable map[uint32]bool, demands map[int]engine.Demand) {
	r.mu.Lock()
	defer r.mu.Unlock()
	reachable, demands = r.reachable, r.demands
	r.reachable, r.demands = map[uint32]bool{}, map[int]engine.Demand{}
	return reachable, demands
}

// onConnection records whether a node is connected. On a nil set it does nothing.
func (w *workingSet) onConnection(id uint32, connected bool) {
	if w != nil {
		w.reports.setReachable(id, connected)
	}
}

// takeReports passes to the set what was reported since the last step. The caller holds mu.
func (w *workingSet) takeReports(now float64) {
	reachable, demands := w.reports.take()
	for id, isReachable := range reachable {
		w.set.SetReachable(id, isReachable)
	}
	var sum engine.Demand
	for _, index := range slices.Sorted(maps.Keys(demands)) {
		demand := demands[index]
		sum.Cores, sum.Memory, sum.Offers = sum.Cores+demand.Cores, sum.Memory+demand.Memory, sum.Offers+demand.Offers
		w.reportShortages(demand.Shortage)
	}
	if len(demands) > 0 {
		w.measure(now, sum)
	}
}

// reportShortages tells the set which machine kinds a shard is short of. The last element of shortage stands for tasks that run on any kind.
func (w *workingSet) reportShortages(shortage []bool) {
	for i, isShort := range shortage {
		switch {
		case !isShort:
		case i == len(shortage)-1:
			w.set.OnShortage(workingset.AnyKind)
		default:
			w.set.OnShortage(i)
		}
	}
}

// loadMeter measures a scheduler's own load.
type loadMeter struct {
	at     float64 // time of the last measurement, ms
	offers uint64  // offers sent until then
	starts float64 // attempts per second, smoothed
}

// measure tells the set the process's own load, at most every loadInterval. Load is given in machines of average size. The caller holds mu.
func (w *workingSet) measure(now float64, sum engine.Demand) {
	if now-w.load.at < loadInterval {
		return
	}
	if sum.Offers >= w.load.offers && w.load.at > 0 { // otherwise a shard has restarted and counts from 0
		starts := float64(sum.Offers-w.load.offers) / (now - w.load.at) * msPerSecond
		w.load.starts = (w.load.starts + starts) / 2
	}
	w.load.at, w.load.offers = now, sum.Offers
	cluster := &w.config.Site.Cluster
	var total resources
	for kind := range cluster.KindCores {
		total.cores += cluster.KindCores[kind] * cluster.CoresOvercommit
		total.memory += cluster.KindMemory[kind] * cluster.MemoryOvercommit
	}
	kinds := float64(len(cluster.KindCores))
	w.set.SetLoad(workingset.Load{Machines: kinds * max(sum.Cores/total.cores, sum.Memory/total.memory), Starts: w.load.starts})
}
