package serve

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"sync"

	"ravenpond/internal/control"
	"ravenpond/internal/decide/clusterstate"
	"ravenpond/internal/decide/zones"
	"ravenpond/internal/env"
	"ravenpond/internal/proto/node"
)

// Times of zone routing in ms, and limits.
const (
	zonePollInterval    = 100
	zoneSumInterval     = 250  // between two summaries of the zones
	zonePingInterval    = 400  // between two pings of a sampled node
	zoneSilentAfter     = 1000 // a sampled node counts as unreachable if nothing was received from it for this long
	nodesSampledPerZone = 6    // each scheduler samples different nodes
)

// zoneRouting decides from the replicated cluster state which zones the shards use, and which share of each zone's nodes. It also reports
// this process's observations of the zones to the leader.
//
// Polls run one at a time, on a timer. mu is taken before the locks of the shards' inboxes and of the membership's links. Shards take mu too,
// to set ownCores.
type zoneRouting struct {
	*process
	membership *clusterMembership
	shards     *shardSet
	endpoints  *endpointList
	workingSet *workingSet
	control    *control.Runner

	// Only the polls use these fields.
	summaryAt float64            // time in ms when zoneSums was computed
	lastPing  map[uint32]float64 // time in ms of the last ping of each node that was sampled last

	mu         sync.Mutex // guards the fields below
	selector   zones.Selector
	zoneSums   map[string]zones.Summary
	shares     map[string]float64  // fraction of each zone's nodes that is used
	excluded   []uint32            // nodes that are not used because of their zone, sorted
	ownCores   map[string]float64  // cores of this process's tasks by zone, as counted last
	leaseValid bool                // whether the lease on the cluster state was valid at the last decision
	level      int                 // search level of the last decision; 0: its own zone, 1: its region, 2: all zones
	state      *clusterstate.State // cluster state on which the last decision was based
}

func newZoneRouting(s *Server, runner *control.Runner) *zoneRouting {
	siteConfig := s.config.Site
	z := &zoneRouting{
		process: s.process, membership: s.membership, shards: s.shardSet, endpoints: s.endpoints, workingSet: s.workingSet, control: runner,
		lastPing: map[uint32]float64{}, zoneSums: map[string]zones.Summary{}, ownCores: map[string]float64{}, leaseValid: true,
		selector: zones.Selector{OwnZone: s.config.Zone, LocalityAware: len(siteConfig.RouteLatency) > 0},
	}
	for i, zone := range siteConfig.Zones {
		z.selector.Zones = append(z.selector.Zones, zones.Location{Name: zone, Region: siteConfig.Regions[i]})
	}
	return z
}

// start starts the polls.
func (z *zoneRouting) start() { z.every(zonePollInterval, z.poll) }

// poll summarizes the zones for the leader every zoneSumInterval, and decides again after each summary and when the cluster state or the
// validity of its lease has changed.
func (z *zoneRouting) poll() {
	now, view := z.env.Now(), z.control.View()
	summaryDue := now >= z.summaryAt+zoneSumInterval
	if !summaryDue && view.State == z.state && (now < view.LeaseExpiry) == z.leaseValid { // no lock is needed: only polls write state and leaseValid
		return
	}
	nodes := z.endpoints.readyNodes()
	z.mu.Lock()
	defer z.mu.Unlock()
	z.state = view.State
	if summaryDue {
		z.summaryAt = now
		z.zoneSums = z.summarize(now, nodes)
		z.control.Report(z.zoneSums)
	}
	if view.State.Zone(z.selector.OwnZone).State == clusterstate.Closed {
		z.countOwnCores(nodes)
	}
	z.updateShares(now, view)
	z.updateExcluded(nodes)
}

// updateShares decides which share of each zone's nodes is used. The caller holds mu.
func (z *zoneRouting) updateShares(now float64, view *control.View) {
	state, leaseValid := view.State, now < view.LeaseExpiry
	shares := z.selector.Update(zones.Input{
		Now: now, State: state, LeaseValid: leaseValid, Summaries: z.zoneSums, OwnCores: z.ownCores,
		Processes: state.ActiveProcesses(z.selector.OwnZone),
	})
	level := z.selector.Level()
	if !maps.Equal(shares, z.shares) || leaseValid != z.leaseValid || level != z.level {
		z.log.Info().Str("mode", "zones").Interface("parts", shares).Bool("sure", leaseValid).Int("level", level).Uint64("version", state.Version()).
			Float64("unix_ms", now+float64(env.Epoch.UnixMilli())).Msg("zone shares changed")
	}
	z.shares, z.leaseValid, z.level = shares, leaseValid, level
}

// updateExcluded makes the shards avoid the nodes whose hash is beyond the share of their zone. The caller holds mu.
func (z *zoneRouting) updateExcluded(nodes []readyNode) {
	var excluded []uint32
	for _, node := range nodes {
		if node.hash >= z.shares[node.zone] {
			excluded = append(excluded, node.id)
		}
	}
	slices.Sort(excluded)
	if slices.Equal(excluded, z.excluded) {
		return
	}
	readmitted := slices.DeleteFunc(slices.Clone(z.excluded), func(id uint32) bool {
		_, found := slices.BinarySearch(excluded, id)
		return found
	})
	z.excluded = excluded
	z.shards.postAll(func(sh *shard, now float64) {
		sh.engine.SetZoneClosed(now, readmitted, false)
		sh.engine.SetZoneClosed(now, excluded, true)
	})
}

// summarize returns the capacity and the use of each zone according to the endpoint list, and how many of a few sampled nodes are reachable.
// It pings the sampled nodes, which differ from process to process.
func (z *zoneRouting) summarize(now float64, nodes []readyNode) map[string]zones.Summary {
	sums, byZone := map[string]zones.Summary{}, map[string][]readyNode{}
	for _, ready := range nodes {
		sum := sums[ready.zone]
		sum.Capacity += ready.cores * z.config.Site.Cluster.CoresOvercommit
		sum.Used += max(0, ready.cores-ready.free)
		sums[ready.zone] = sum
		if z.workingSet.contains(ready.id) {
			byZone[ready.zone] = append(byZone[ready.zone], ready)
		}
	}
	lastPing := map[uint32]float64{}
	for zone, zoneNodes := range byZone {
		slices.SortFunc(zoneNodes, func(x, y readyNode) int {
			return cmp.Compare(nodeHash(z.config.Name, x.id), nodeHash(z.config.Name, y.id))
		})
		sum := sums[zone]
		for _, sampled := range zoneNodes[:min(nodesSampledPerZone, len(zoneNodes))] {
			sum.Nodes++
			if z.sample(now, sampled.id, lastPing) {
				sum.Reachable++
			}
		}
		sums[zone] = sum
	}
	z.lastPing = lastPing
	return sums
}

// sample reports whether a node is reachable, and pings it when a ping is due. It records in lastPing when the node was last pinged.
func (z *zoneRouting) sample(now float64, id uint32, lastPing map[uint32]float64) (reachable bool) {
	lastPing[id] = z.lastPing[id]
	link := z.membership.link(id)
	if link == nil {
		return false
	}
	reachable = now-math.Float64frombits(link.lastReceived.Load()) < zoneSilentAfter
	if now-lastPing[id] >= zonePingInterval {
		lastPing[id] = now
		link.send(func(b []byte) []byte { return node.AppendPing(b, now) })
	}
	return reachable
}

// countOwnCores asks all shards for the cores of their tasks in each zone. The sum is available to a later poll, once all shards have answered.
func (z *zoneRouting) countOwnCores(nodes []readyNode) {
	var mu sync.Mutex // guards sum and pending
	sum, pending := map[string]float64{}, len(z.shards.liveShards())
	z.shards.postAll(func(sh *shard, _ float64) {
		mu.Lock()
		defer mu.Unlock()
		for _, ready := range nodes {
			sum[ready.zone] += sh.engine.CoresAt(ready.id)
		}
		if pending--; pending == 0 {
			z.mu.Lock()
			z.ownCores = sum
			z.mu.Unlock()
		}
	})
}

// sendExcluded tells a starting shard which nodes are excluded because of their zone.
func (z *zoneRouting) sendExcluded(sh *shard) {
	z.mu.Lock()
	excluded := slices.Clone(z.excluded)
	z.mu.Unlock()
	sh.post(func(now float64) { sh.engine.SetZoneClosed(now, excluded, true) })
}

// currentShares returns which share of each zone is used, and the search level of the last decision.
func (z *zoneRouting) currentShares() (shares map[string]float64, level int) {
	z.mu.Lock()
	defer z.mu.Unlock()
	return maps.Clone(z.shares), z.level
}
