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

// Times of zone routing in ms, and bounds.
const (
	zonePollInterval    = 100
	zoneSumInterval     = 250  // between two summaries of the zones
	zonePingInterval    = 400  // between two pings of a sampled node
	zoneSilentAfter     = 1000 // after the last byte of a sampled node it counts as unreachable
	nodesSampledPerZone = 6    // other schedulers sample other nodes
)

// zoneRouting decides which zones the shards use, and of each which share of the nodes, by the replicated cluster state. It also reports
// to the leader what this process observes of the zones.
//
// The polls run one at a time, on a timer. mu is taken before the locks of shards' inboxes and of membership links, and by shards for
// ownCores.
type zoneRouting struct {
	*process
	membership *clusterMembership
	shards     *shardSet
	endpoints  *endpointList
	workingSet *workingSet
	control    *control.Runner

	// The polls alone use these.
	summaryAt float64            // when zoneSums was made
	lastPing  map[uint32]float64 // of the nodes that were last sampled

	mu         sync.Mutex // guards the fields below
	selector   zones.Selector
	zoneSums   map[string]zones.Summary
	shares     map[string]float64  // of the zones' nodes that are used
	excluded   []uint32            // nodes that are not used for their zone, sorted
	ownCores   map[string]float64  // cores of this process's tasks by zone, as last counted
	leaseValid bool                // of the cluster state, at the last decision
	level      int                 // of the last decision: 0 its own zone, 1 its region, 2 all
	state      *clusterstate.State // that the last decision rests on
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

// start polls from now on.
func (z *zoneRouting) start() { z.every(zonePollInterval, z.poll) }

// poll summarizes the zones for the leader now and then, and decides anew when that, the cluster state or its lease has changed.
func (z *zoneRouting) poll() {
	now, view := z.env.Now(), z.control.View()
	summaryDue := now >= z.summaryAt+zoneSumInterval
	if !summaryDue && view.State == z.state && (now < view.LeaseExpiry) == z.leaseValid { // the polls alone write these two
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

// updateShares decides which share of each zone is used. The caller holds mu.
func (z *zoneRouting) updateShares(now float64, view *control.View) {
	state, leaseValid := view.State, now < view.LeaseExpiry
	shares := z.selector.Update(zones.Input{
		Now: now, State: state, LeaseValid: leaseValid, Summaries: z.zoneSums, OwnCores: z.ownCores,
		Processes: state.ActiveProcesses(z.selector.OwnZone),
	})
	level := z.selector.Level()
	if !maps.Equal(shares, z.shares) || leaseValid != z.leaseValid || level != z.level {
		z.log.Info().Str("mode", "zones").Interface("parts", shares).Bool("sure", leaseValid).Int("level", level).Uint64("version", state.Version()).
			Float64("unix_ms", now+float64(env.Epoch.UnixMilli())).Msg("sends to")
	}
	z.shares, z.leaseValid, z.level = shares, leaseValid, level
}

// updateExcluded has the shards avoid the nodes beyond the share of their zone. The caller holds mu.
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

// summarize returns the capacity and the use of each zone by the endpoint list, and how many of a few sampled nodes are reachable. It
// pings the sampled ones, which differ from process to process.
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

// sample reports whether a node is reachable, and pings it when that is due. It notes in lastPing when the node was last pinged.
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

// countOwnCores asks all shards for the cores of their tasks in each zone. The sum is there at a later poll, once all have answered.
func (z *zoneRouting) countOwnCores(nodes []readyNode) {
	var mu sync.Mutex // guards the two below
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

// sendExcluded tells a shard that starts which nodes are excluded for their zone.
func (z *zoneRouting) sendExcluded(sh *shard) {
	z.mu.Lock()
	excluded := slices.Clone(z.excluded)
	z.mu.Unlock()
	sh.post(func(now float64) { sh.engine.SetZoneClosed(now, excluded, true) })
}

// currentShares returns which shares of the zones are used, and the level of the decision.
func (z *zoneRouting) currentShares() (shares map[string]float64, level int) {
	z.mu.Lock()
	defer z.mu.Unlock()
	return maps.Clone(z.shares), z.level
}
