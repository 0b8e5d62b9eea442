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
	"ravenpond/internal/outside"
	"ravenpond/internal/proto/node"
	"ravenpond/internal/site"
	"ravenpond/logic"
)

// Times in ms, and bounds.
const (
	lookZones = 100  // between two looks at which zones to send to
	sumZones  = 250  // between two sums of what is heard of them
	lookEach  = 400  // between two pings of a node that is looked at
	silentFor = 1000 // after which it counts as silent
	looksAt   = 6    // nodes of each zone: others look at others
)

// zonesView is what a scheduler makes of the zones of its site.
type zonesView struct {
	s     *Server
	reach zones.Reach

	mu     sync.Mutex
	sums   map[string]zones.Sum
	summed float64
	pinged map[uint32]float64
	parts  map[string]float64
	out    []uint32           // nodes that nothing is sent to for their zone, sorted
	own    map[string]float64 // cores of own work by zone, as last asked for
	sure   bool
	level  int
	book   *clusterstate.State // by which that is

	nodes   []seen // of the list that are ready, at a revision of it; under the lock of the list
	nodesAt uint64
}

// zonesOf is what verdicts on zones rest on, as the site file has it.
func (s *Server) zonesOf(place *site.Config) control.ZoneConfig {
	held := map[string]clusterstate.ZoneState{}
	for zone, how := range place.ZoneHolds {
		held[zone] = map[string]clusterstate.ZoneState{"open": clusterstate.Open, "closed": clusterstate.Closed}[how]
	}
	return control.ZoneConfig{Zones: place.Zones, Overrides: held, Latency: func(from, to string) float64 { return place.RouteLatency[[2]string{from, to}] }}
}

func (s *Server) newZones(place *site.Config) *zonesView {
	v := &zonesView{
		s: s, pinged: map[uint32]float64{}, sums: map[string]zones.Sum{}, own: map[string]float64{}, sure: true,
		reach: zones.Reach{Own: s.who.Zone, Near: len(place.RouteLatency) > 0},
	}
	for i, z := range place.Zones {
		v.reach.Zones = append(v.reach.Zones, zones.Place{Name: z, Region: place.Regions[i]})
	}
	return v
}

// seen is a node of the list.
type seen struct {
	id    uint32
	zone  string
	cores float64
	free  float64
	lot   float64 // from 0 to 1, the same at all: by it a zone that returns is let in
}

// ready returns the nodes that the list has ready, by their numbers. The slice is shared by all calls until the list changes and must not
// be modified.
func (s *Server) ready() []seen {
	s.mu.Lock()
	defer s.mu.Unlock()
	v, revision := s.zones, s.list.Revision()
	if v.nodes != nil && v.nodesAt == revision {
		return v.nodes
	}
	place, all := s.who.Site, make([]seen, 0, s.list.Len())
	for _, en := range s.list.Entries() {
		if logic.Availability(en.Avail) != logic.Ready {
			continue
		}
		n := seen{id: en.ID, zone: en.Zone, free: en.FreeCores, lot: lot("", en.ID)}
		if k := slices.Index(place.MachineKinds, en.Kind); k >= 0 {
			n.cores = place.Cluster.KindCores[k]
		}
		all = append(all, n)
	}
	v.nodes, v.nodesAt = all, revision
	return all
}

func lot(name string, id uint32) float64 {
	h := xxhash.Sum64(append([]byte(name), byte(id), byte(id>>8), byte(id>>16), byte(id>>24)))
	return float64(h>>11) / (1 << 53)
}

// lookZones sums up what is heard of the zones for the leader, and has shards send where the book allows.
func (s *Server) lookZones() {
	v, now := s.zones, s.w.Now()
	view := s.control.View()
	if now < v.summed+sumZones && view.State == v.book && (now < view.LeaseExpiry) == v.sure { // by this loop alone
		return
	}
	nodes := s.ready()
	v.mu.Lock()
	defer v.mu.Unlock()
	v.book = view.State
	if now >= v.summed+sumZones {
		v.summed = now
		v.sums = s.sumZones(now, nodes)
		s.control.Report(v.sums)
	}
	sure, home := now < view.LeaseExpiry, view.State.Zone(v.reach.Own).State
	if home == clusterstate.Closed {
		s.countOwn(nodes)
	}
	parts := v.reach.Look(now, view.State, sure, v.sums, 0, v.own, view.State.ActiveProcesses(v.reach.Own))
	if !maps.Equal(parts, v.parts) || sure != v.sure || v.reach.Level() != v.level {
		s.log.Info().Str("mode", "zones").Interface("parts", parts).Bool("sure", sure).Int("level", v.reach.Level()).Uint64("version", view.State.Version()).
			Float64("unix_ms", now+float64(outside.Epoch.UnixMilli())).Msg("sends to")
	}
	v.parts, v.sure, v.level = parts, sure, v.reach.Level()
	var out []uint32
	for _, n := range nodes {
		if n.lot >= parts[n.zone] {
			out = append(out, n.id)
		}
	}
	slices.Sort(out)
	if slices.Equal(out, v.out) {
		return
	}
	freed := slices.DeleteFunc(slices.Clone(v.out), func(id uint32) bool { _, is := slices.BinarySearch(out, id); return is })
	v.out = out
	s.tellShards(func(sh *shard, now float64) {
		sh.eng.SetZoneClosed(now, freed, false)
		sh.eng.SetZoneClosed(now, out, true)
	})
}

// sumZones looks at a few nodes of each zone, which differ from process to process, and pings them.
func (s *Server) sumZones(now float64, nodes []seen) map[string]zones.Sum {
	v, sums := s.zones, map[string]zones.Sum{}
	by := map[string][]seen{}
	for _, n := range nodes {
		sum := sums[n.zone]
		sum.Room += n.cores * s.who.Site.Cluster.CoresOvercommit
		sum.Used += max(0, n.cores-n.free)
		sums[n.zone] = sum
		if s.set.has(n.id) {
			by[n.zone] = append(by[n.zone], n)
		}
	}
	kept := map[uint32]float64{}
	for zone, all := range by {
		slices.SortFunc(all, func(x, y seen) int { return cmp.Compare(lot(s.who.Name, x.id), lot(s.who.Name, y.id)) })
		sum := sums[zone]
		for _, n := range all[:min(looksAt, len(all))] {
			sum.Nodes++
			s.circle.linksMu.Lock()
			l := s.circle.links[n.id]
			s.circle.linksMu.Unlock()
			kept[n.id] = v.pinged[n.id]
			if l == nil {
				continue
			}
			if now-math.Float64frombits(l.heardAt.Load()) < silentFor {
				sum.Heard++
			}
			if now-kept[n.id] >= lookEach {
				kept[n.id] = now
				l.add(func(b []byte) []byte { return node.AppendPing(b, now) })
			}
		}
		sums[zone] = sum
	}
	v.pinged = kept
	return sums
}

// countOwn asks all shards for the cores of own work in each zone; what they say is there at the next look.
func (s *Server) countOwn(nodes []seen) {
	v, shards := s.zones, s.allShards()
	sum, left := map[string]float64{}, len(shards)
	var mu sync.Mutex
	s.tellShards(func(sh *shard, _ float64) {
		mu.Lock()
		defer mu.Unlock()
		for _, n := range nodes {
			sum[n.zone] += sh.eng.CoresAt(n.id)
		}
		if left--; left == 0 {
			v.mu.Lock()
			v.own = sum
			v.mu.Unlock()
		}
	})
}

// tell tells a new shard which nodes get nothing for their zone.
func (v *zonesView) tell(sh *shard) {
	if v == nil {
		return
	}
	v.mu.Lock()
	out := slices.Clone(v.out)
	v.mu.Unlock()
	sh.tell(func(now float64) { sh.eng.SetZoneClosed(now, out, true) })
}

// shown is which parts of zones are used, and how far this scheduler looks.
func (v *zonesView) shown() (parts map[string]float64, level int) {
	v.mu.Lock()
	defer v.mu.Unlock()
	return maps.Clone(v.parts), v.level
}
