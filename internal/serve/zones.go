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
func (s *Server) controlSite(place *site.Config) control.ZoneConfig {
	held := map[string]clusterstate.ZoneState{}
	for zone, how := range place.ZoneHolds {
		held[zone] = map[string]clusterstate.ZoneState{"open": clusterstate.Open, "closed": clusterstate.Closed}[how]
	}
	return control.ZoneConfig{Zones: place.Zones, Overrides: held, Latency: func(from, to string) float64 { return place.RouteLatency[[2]string{from, to}] }}
}

func (s *Server) newZoneRouting(place *site.Config) *zoneRouting {
	v := &zoneRouting{
		server: s, lastPing: map[uint32]float64{}, zoneSums: map[string]zones.Summary{}, ownCores: map[string]float64{}, leaseValid: true,
		reach: zones.Selector{OwnZone: s.config.Zone, LocalityAware: len(place.RouteLatency) > 0},
	}
	for i, z := range place.Zones {
		v.reach.Zones = append(v.reach.Zones, zones.Location{Name: z, Region: place.Regions[i]})
	}
	return v
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
	v, revision := s.zones, s.list.Revision()
	if v.nodes != nil && v.nodesRevision == revision {
		return v.nodes
	}
	place, all := s.config.Site, make([]listedNode, 0, s.list.Len())
	for _, en := range s.list.Entries() {
		if logic.Availability(en.Avail) != logic.Ready {
			continue
		}
		n := listedNode{id: en.ID, zone: en.Zone, free: en.FreeCores, hash: nodeHash("", en.ID)}
		if k := slices.Index(place.MachineKinds, en.Kind); k >= 0 {
			n.cores = place.Cluster.KindCores[k]
		}
		all = append(all, n)
	}
	v.nodes, v.nodesRevision = all, revision
	return all
}

func nodeHash(name string, id uint32) float64 {
	h := xxhash.Sum64(append([]byte(name), byte(id), byte(id>>8), byte(id>>16), byte(id>>24)))
	return float64(h>>11) / (1 << 53)
}

// pollZones sums up what is heard of the zones for the leader, and has shards send where the book allows.
func (s *Server) pollZones() {
	v, now := s.zones, s.env.Now()
	view := s.control.View()
	if now < v.summedAt+zoneSumInterval && view.State == v.state && (now < view.LeaseExpiry) == v.leaseValid { // by this loop alone
		return
	}
	nodes := s.readyNodes()
	v.mu.Lock()
	defer v.mu.Unlock()
	v.state = view.State
	if now >= v.summedAt+zoneSumInterval {
		v.summedAt = now
		v.zoneSums = s.summarizeZones(now, nodes)
		s.control.Report(v.zoneSums)
	}
	sure, home := now < view.LeaseExpiry, view.State.Zone(v.reach.OwnZone).State
	if home == clusterstate.Closed {
		s.countOwnCores(nodes)
	}
	parts := v.reach.Update(now, view.State, sure, v.zoneSums, 0, v.ownCores, view.State.ActiveProcesses(v.reach.OwnZone))
	if !maps.Equal(parts, v.shares) || sure != v.leaseValid || v.reach.Level() != v.level {
		s.log.Info().Str("mode", "zones").Interface("parts", parts).Bool("sure", sure).Int("level", v.reach.Level()).Uint64("version", view.State.Version()).
			Float64("unix_ms", now+float64(env.Epoch.UnixMilli())).Msg("sends to")
	}
	v.shares, v.leaseValid, v.level = parts, sure, v.reach.Level()
	var out []uint32
	for _, n := range nodes {
		if n.hash >= parts[n.zone] {
			out = append(out, n.id)
		}
	}
	slices.Sort(out)
	if slices.Equal(out, v.excluded) {
		return
	}
	freed := slices.DeleteFunc(slices.Clone(v.excluded), func(id uint32) bool { _, is := slices.BinarySearch(out, id); return is })
	v.excluded = out
	s.postAll(func(sh *shard, now float64) {
		sh.engine.SetZoneClosed(now, freed, false)
		sh.engine.SetZoneClosed(now, out, true)
	})
}

// summarizeZones looks at a few nodes of each zone, which differ from process to process, and pings them.
func (s *Server) summarizeZones(now float64, nodes []listedNode) map[string]zones.Summary {
	v, sums := s.zones, map[string]zones.Summary{}
	by := map[string][]listedNode{}
	for _, n := range nodes {
		sum := sums[n.zone]
		sum.Capacity += n.cores * s.config.Site.Cluster.CoresOvercommit
		sum.Used += max(0, n.cores-n.free)
		sums[n.zone] = sum
		if s.workingSet.contains(n.id) {
			by[n.zone] = append(by[n.zone], n)
		}
	}
	kept := map[uint32]float64{}
	for zone, all := range by {
		slices.SortFunc(all, func(x, y listedNode) int {
			return cmp.Compare(nodeHash(s.config.Name, x.id), nodeHash(s.config.Name, y.id))
		})
		sum := sums[zone]
		for _, n := range all[:min(nodesSampledPerZone, len(all))] {
			sum.Nodes++
			s.membership.linksMu.Lock()
			l := s.membership.links[n.id]
			s.membership.linksMu.Unlock()
			kept[n.id] = v.lastPing[n.id]
			if l == nil {
				continue
			}
			if now-math.Float64frombits(l.lastReceived.Load()) < zoneSilentAfter {
				sum.Reachable++
			}
			if now-kept[n.id] >= zonePingInterval {
				kept[n.id] = now
				l.send(func(b []byte) []byte { return node.AppendPing(b, now) })
			}
		}
		sums[zone] = sum
	}
	v.lastPing = kept
	return sums
}

// countOwnCores asks all shards for the cores of own work in each zone; what they say is there at the next look.
func (s *Server) countOwnCores(nodes []listedNode) {
	v, shards := s.zones, s.liveShards()
	sum, left := map[string]float64{}, len(shards)
	var mu sync.Mutex
	s.postAll(func(sh *shard, _ float64) {
		mu.Lock()
		defer mu.Unlock()
		for _, n := range nodes {
			sum[n.zone] += sh.engine.CoresAt(n.id)
		}
		if left--; left == 0 {
			v.mu.Lock()
			v.ownCores = sum
			v.mu.Unlock()
		}
	})
}

// sendExcluded tells a new shard which nodes get nothing for their zone.
func (v *zoneRouting) sendExcluded(sh *shard) {
	if v == nil {
		return
	}
	v.mu.Lock()
	out := slices.Clone(v.excluded)
	v.mu.Unlock()
	sh.post(func(now float64) { sh.engine.SetZoneClosed(now, out, true) })
}

// currentShares is which parts of zones are used, and how far this scheduler looks.
func (v *zoneRouting) currentShares() (parts map[string]float64, level int) {
	v.mu.Lock()
	defer v.mu.Unlock()
	return maps.Clone(v.shares), v.level
}
