package serve

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"sync"

	"github.com/cespare/xxhash/v2"

	"ravenpond/internal/control"
	"ravenpond/internal/decide/clusterstate"
	"ravenpond/internal/decide/zones"
	"ravenpond/internal/env"
	"ravenpond/internal/proto/node"
	"ravenpond/internal/site"
	"ravenpond/logic"
)

// Times in ms, and bounds.
const (
	zonePollInterval    = 100  // between two looks at which zones to send to
	zoneSumInterval     = 250  // between two sums of what is heard of them
	zonePingInterval    = 400  // between two pings of a node that is looked at
	zoneSilentAfter     = 1000 // after which it counts as silent
	nodesSampledPerZone = 6    // nodes of each zone: others look at others
)

// zoneRouting is what a scheduler makes of the zones of its site.
type zoneRouting struct {
	server *Server
	reach  zones.Selector

	mu         sync.Mutex
	zoneSums   map[string]zones.Summary
	summedAt   float64
	lastPing   map[uint32]float64
	shares     map[string]float64
	excluded   []uint32           // nodes that nothing is sent to for their zone, sorted
	ownCores   map[string]float64 // cores of own work by zone, as last asked for
	leaseValid bool
	level      int
	state      *clusterstate.State // by which that is

	nodes         []listedNode // of the list that are ready, at a revision of it; under the lock of the list
	nodesRevision uint64
}

// controlSite is what verdicts on zones rest on, as the site file has it.
func (s *Server) controlSite(siteConfig *site.Config) control.ZoneConfig {
	heldStates := map[string]clusterstate.ZoneState{}
	for zone, state := range siteConfig.ZoneHolds {
		heldStates[zone] = map[string]clusterstate.ZoneState{"open": clusterstate.Open, "closed": clusterstate.Closed}[state]
	}
	return control.ZoneConfig{Zones: siteConfig.Zones, Overrides: heldStates, Latency: func(from, to string) float64 { return siteConfig.RouteLatency[[2]string{from, to}] }}
}

func (s *Server) newZoneRouting(siteConfig *site.Config) *zoneRouting {
	routing := &zoneRouting{
		server: s, lastPing: map[uint32]float64{}, zoneSums: map[string]zones.Summary{}, ownCores: map[string]float64{}, leaseValid: true,
		reach: zones.Selector{OwnZone: s.config.Zone, LocalityAware: len(siteConfig.RouteLatency) > 0},
	}
	for i, zone := range siteConfig.Zones {
		routing.reach.Zones = append(routing.reach.Zones, zones.Location{Name: zone, Region: siteConfig.Regions[i]})
	}
	return routing
}

// listedNode is a node of the list.
type listedNode struct {
	id    uint32
	zone  string
	cores float64
	free  float64
	hash  float64 // from 0 to 1, the same at all: by it a zone that returns is let in
}

// readyNodes returns the nodes that the list has ready, by their numbers. The slice is shared by all calls until the list changes and must not
// be modified.
func (s *Server) readyNodes() []listedNode {
	s.mu.Lock()
	defer s.mu.Unlock()
	routing, revision := s.zones, s.list.Revision()
	if routing.nodes != nil && routing.nodesRevision == revision {
		return routing.nodes
	}
	siteConfig, nodes := s.config.Site, make([]listedNode, 0, s.list.Len())
	for _, entry := range s.list.Entries() {
		if logic.Availability(entry.Avail) != logic.Ready {
			continue
		}
		node := listedNode{id: entry.ID, zone: entry.Zone, free: entry.FreeCores, hash: nodeHash("", entry.ID)}
		if kind := slices.Index(siteConfig.MachineKinds, entry.Kind); kind >= 0 {
			node.cores = siteConfig.Cluster.KindCores[kind]
		}
		nodes = append(nodes, node)
	}
	routing.nodes, routing.nodesRevision = nodes, revision
	return nodes
}

func nodeHash(name string, id uint32) float64 {
	hash := xxhash.Sum64(append([]byte(name), byte(id), byte(id>>8), byte(id>>16), byte(id>>24)))
	return float64(hash>>11) / (1 << 53)
}

// pollZones sums up what is heard of the zones for the leader, and has shards send where the book allows.
func (s *Server) pollZones() {
	routing, now := s.zones, s.env.Now()
	view := s.control.View()
	if now < routing.summedAt+zoneSumInterval && view.State == routing.state && (now < view.LeaseExpiry) == routing.leaseValid { // by this loop alone
		return
	}
	nodes := s.readyNodes()
	routing.mu.Lock()
	defer routing.mu.Unlock()
	routing.state = view.State
	if now >= routing.summedAt+zoneSumInterval {
		routing.summedAt = now
		routing.zoneSums = s.summarizeZones(now, nodes)
		s.control.Report(routing.zoneSums)
	}
	leaseValid, ownState := now < view.LeaseExpiry, view.State.Zone(routing.reach.OwnZone).State
	if ownState == clusterstate.Closed {
		s.countOwnCores(nodes)
	}
	shares := routing.reach.Update(zones.Input{Now: now, State: view.State, LeaseValid: leaseValid, Summaries: routing.zoneSums, OwnCores: routing.ownCores, Processes: view.State.ActiveProcesses(routing.reach.OwnZone)})
	if !maps.Equal(shares, routing.shares) || leaseValid != routing.leaseValid || routing.reach.Level() != routing.level {
		s.log.Info().Str("mode", "zones").Interface("parts", shares).Bool("sure", leaseValid).Int("level", routing.reach.Level()).Uint64("version", view.State.Version()).
			Float64("unix_ms", now+float64(env.Epoch.UnixMilli())).Msg("sends to")
	}
	routing.shares, routing.leaseValid, routing.level = shares, leaseValid, routing.reach.Level()
	var excluded []uint32
	for _, node := range nodes {
		if node.hash >= shares[node.zone] {
			excluded = append(excluded, node.id)
		}
	}
	slices.Sort(excluded)
	if slices.Equal(excluded, routing.excluded) {
		return
	}
	readmitted := slices.DeleteFunc(slices.Clone(routing.excluded), func(id uint32) bool { _, found := slices.BinarySearch(excluded, id); return found })
	routing.excluded = excluded
	s.postAll(func(sh *shard, now float64) {
		sh.engine.SetZoneClosed(now, readmitted, false)
		sh.engine.SetZoneClosed(now, excluded, true)
	})
}

// summarizeZones looks at a few nodes of each zone, which differ from process to process, and pings them.
func (s *Server) summarizeZones(now float64, nodes []listedNode) map[string]zones.Summary {
	routing, sums := s.zones, map[string]zones.Summary{}
	byZone := map[string][]listedNode{}
	for _, listed := range nodes {
		sum := sums[listed.zone]
		sum.Capacity += listed.cores * s.config.Site.Cluster.CoresOvercommit
		sum.Used += max(0, listed.cores-listed.free)
		sums[listed.zone] = sum
		if s.workingSet.contains(listed.id) {
			byZone[listed.zone] = append(byZone[listed.zone], listed)
		}
	}
	lastPing := map[uint32]float64{}
	for zone, zoneNodes := range byZone {
		slices.SortFunc(zoneNodes, func(x, y listedNode) int {
			return cmp.Compare(nodeHash(s.config.Name, x.id), nodeHash(s.config.Name, y.id))
		})
		sum := sums[zone]
		for _, listed := range zoneNodes[:min(nodesSampledPerZone, len(zoneNodes))] {
			sum.Nodes++
			s.membership.linksMu.Lock()
			link := s.membership.links[listed.id]
			s.membership.linksMu.Unlock()
			lastPing[listed.id] = routing.lastPing[listed.id]
			if link == nil {
				continue
			}
			if now-math.Float64frombits(link.lastReceived.Load()) < zoneSilentAfter {
				sum.Reachable++
			}
			if now-lastPing[listed.id] >= zonePingInterval {
				lastPing[listed.id] = now
				link.send(func(b []byte) []byte { return node.AppendPing(b, now) })
			}
		}
		sums[zone] = sum
	}
	routing.lastPing = lastPing
	return sums
}

// countOwnCores asks all shards for the cores of own work in each zone; what they say is there at the next look.
func (s *Server) countOwnCores(nodes []listedNode) {
	routing, shards := s.zones, s.liveShards()
	sum, pending := map[string]float64{}, len(shards)
	var mu sync.Mutex
	s.postAll(func(sh *shard, _ float64) {
		mu.Lock()
		defer mu.Unlock()
		for _, node := range nodes {
			sum[node.zone] += sh.engine.CoresAt(node.id)
		}
		if pending--; pending == 0 {
			routing.mu.Lock()
			routing.ownCores = sum
			routing.mu.Unlock()
		}
	})
}

// sendExcluded tells a new shard which nodes get nothing for their zone.
func (z *zoneRouting) sendExcluded(sh *shard) {
	if z == nil {
		return
	}
	z.mu.Lock()
	excluded := slices.Clone(z.excluded)
	z.mu.Unlock()
	sh.post(func(now float64) { sh.engine.SetZoneClosed(now, excluded, true) })
}

// currentShares is which parts of zones are used, and how far this scheduler looks.
func (z *zoneRouting) currentShares() (shares map[string]float64, level int) {
	z.mu.Lock()
	defer z.mu.Unlock()
	return maps.Clone(z.shares), z.level
}
