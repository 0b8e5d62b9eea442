package serve

import (
	"encoding/json"
	"fmt"
	"math"
	"os"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"ravenpond/internal/decide/consensus"
	"ravenpond/internal/decide/isolation"
	"ravenpond/internal/decide/membership"
	"ravenpond/internal/members"
	"ravenpond/internal/outside"
	"ravenpond/internal/state"
	"ravenpond/logic"
)

// Times in ms.
const (
	lookMembers = 100  // between two looks at who is there
	tellMembers = 1000 // between two writings of what `ravenpond members` shows
	leaseEarly  = 200  // a lease counts as over so long before it is: what is decided under it has left by then
)

// leastKey is the fewest bytes of a member key.
const leastKey = 16

// circle is what a scheduler has of the others.
type circle struct {
	run     *members.Runner
	sharers atomic.Int64  // how many share what a cold node bears; 0: this process takes no part
	until   atomic.Uint64 // bits of until when that holds
	degree  isolation.Monitor
	mu      sync.Mutex
	life    uint64
	council ClusterStateView // what the council said of itself last
	held    []uint32         // nodes that others say are not ready, ahead of the list here
	told    float64

	linksMu sync.Mutex
	links   map[uint32]*link // to nodes, over all trunks: whose own tables can't be asked under the detector's lock, which they call with theirs held
}

// keepMembers begins to know the others, where the site file has members.
func (s *Server) keepMembers() error {
	m := s.who.Site.Members
	if m.Listen == "" {
		return nil
	}
	key := s.who.MemberKey
	if key == nil {
		b, err := os.ReadFile(m.Key)
		if err != nil {
			return fmt.Errorf("member key: %w", err)
		}
		key = []byte(strings.TrimSpace(string(b)))
	}
	if len(key) < leastKey {
		return fmt.Errorf("member key %s: %d bytes, at least %d are expected", m.Key, len(key), leastKey)
	}
	life, err := s.folder.NextIncarnation()
	if err != nil {
		return fmt.Errorf("state: %w", err)
	}
	cl := &s.who.Site.Cluster
	open := 0.0
	if s.lends() {
		open = s.longest()
	}
	run, err := members.Start(s.w, m.Listen, membership.Config{
		Open: open, Site: s.who.Site.Name, Name: s.who.Name, Address: m.Advertise, Life: uint64(life), Key: key,
		Seeds: m.Seeds, Seed: s.who.Seed, Place: s.who.Index, Places: cl.Schedulers, Window: cl.SlowStartWindow + leaseSpan,
	}, changes{s})
	if err != nil {
		return err
	}
	s.circle.run, s.circle.life = run, uint64(life)
	s.log.Info().Str("mode", "members").Str("address", run.Address()).Uint32("life", life).Int("places", cl.Schedulers).Msg("asks for the others")
	s.every(lookMembers, s.lookMembers)
	return nil
}

// leaseSpan is by how much the module lengthens the window of a cold node, ms.
const leaseSpan = 500

// changes logs what changes in the view.
type changes struct{ s *Server }

func (c changes) OnChange(now float64, m membership.Member, was membership.State) {
	c.s.log.Info().Str("mode", "members").Str("member", m.Name).Str("address", m.Address).Uint64("life", m.Life).Uint64("version", m.Version).
		Stringer("was", was).Stringer("is", m.State).Str("by", m.By).Float64("unix_ms", now+float64(outside.Epoch.UnixMilli())).Msg("member")
}

func (c changes) OnNameTaken(_ float64, address string) {
	c.s.log.Error().Str("mode", "members").Str("at", address).Msg("another scheduler goes by this one's name: this one takes no part in cold nodes")
}

// LastHeard is what this process hears of a node.
func (c changes) LastHeard(node uint32) (life uint64, heard float64, ok bool) {
	c.s.circle.linksMu.Lock()
	defer c.s.circle.linksMu.Unlock()
	l := c.s.circle.links[node]
	if l == nil {
		return 0, 0, false
	}
	return l.life, math.Float64frombits(l.heardAt.Load()), true
}

// met and missed follow the connections to nodes, for the others' sake and to ask them for one that is lost.
func (s *Server) met(l *link) {
	c := &s.circle
	if c.run == nil {
		return
	}
	c.linksMu.Lock()
	if c.links == nil {
		c.links = map[uint32]*link{}
	}
	c.links[l.nd] = l
	c.linksMu.Unlock()
	c.run.WithDetector(func(d *membership.Detector) { d.NodeBack(l.nd) })
}

func (s *Server) missed(l *link) {
	c := &s.circle
	if c.run == nil {
		return
	}
	c.linksMu.Lock()
	last := c.links[l.nd] == l
	if last {
		delete(c.links, l.nd)
	}
	c.linksMu.Unlock()
	if last {
		now := s.w.Now()
		c.run.WithDetector(func(d *membership.Detector) { d.NodeLost(now, l.nd, l.life) })
	}
}

// nodeLives tells a shard whether others hear a node that it has lost.
func (s *Server) nodeLives(now float64, nd uint32, life uint64) (lives bool) {
	if s.circle.run == nil {
		return false
	}
	s.circle.run.WithDetector(func(d *membership.Detector) { lives = d.NodeLives(now, nd, life) })
	return lives
}

// lookMembers takes over what the view says: how many share cold nodes, and how far this process is cut off.
func (s *Server) lookMembers() {
	now := s.w.Now()
	c := &s.circle
	var n, alive, known, has, needs, lent int
	var until, lentUntil float64
	var held []uint32
	var ended []func(sh *shard, now float64)
	c.run.WithDetector(func(d *membership.Detector) {
		n, until = d.Sharers(now + leaseEarly)
		a, suspect, dead, _ := d.Count()
		alive, known = a, a+suspect+dead
		has, needs = d.Leaves(now)
		held = d.Held(now)
		lent, lentUntil = d.Lent(now + leaseEarly)
		d.NodesEnded(func(node uint32, life uint64) {
			ended = append(ended, func(sh *shard, now float64) { sh.eng.OnIncarnationEnded(now, node, life) })
		})
	})
	for _, tell := range ended {
		s.tellShards(tell)
	}
	if s.lends() {
		s.desk.Lock()
		s.clubs.loan.Take(lent, lentUntil-leaseEarly)
		declined := s.lend(now)
		s.freed()
		s.desk.Unlock()
		s.turnAway(declined)
	}
	s.hold(held)
	if was := int(c.sharers.Load()); was != n {
		s.log.Info().Str("mode", "members").Int("share", n).Int("was", was).Int("leaves", has).Int("needs", needs).Msg("cold nodes")
	}
	c.until.Store(math.Float64bits(until - leaseEarly))
	c.sharers.Store(int64(n))
	if d, turned := c.degree.Update(now, alive, known); turned {
		s.log.Warn().Str("mode", "members").Stringer("degree", d).Int("alive", alive).Int("known", known).Int("share", n).Msg("contact with others")
	}
	if now-c.told >= tellMembers {
		c.told = now
		s.words.Do("members", s.writeMembers)
	}
}

// hold has all shards give nothing new to nodes that others say are not ready, and no longer hold back the rest.
func (s *Server) hold(nodes []uint32) {
	c := &s.circle
	c.mu.Lock()
	was := c.held
	c.held = nodes
	c.mu.Unlock()
	if slices.Equal(was, nodes) {
		return
	}
	gone := slices.DeleteFunc(slices.Clone(was), func(id uint32) bool { return slices.Contains(nodes, id) })
	s.log.Info().Str("mode", "members").Int("held", len(nodes)).Int("freed", len(gone)).Msg("nodes held back on the word of others")
	s.tellShards(func(sh *shard, now float64) {
		sh.eng.SetWarned(now, gone, false)
		sh.eng.SetWarned(now, nodes, true)
	})
}

// warn tells a new shard which nodes are held back.
func (s *Server) warn(sh *shard) {
	s.circle.mu.Lock()
	held := s.circle.held
	s.circle.mu.Unlock()
	if len(held) > 0 {
		sh.tell(func(now float64) { sh.eng.SetWarned(now, held, true) })
	}
}

// tellOthers has the others hear what an answer of the node list says.
func (s *Server) tellOthers(version uint64, entries []state.Entry) {
	if s.circle.run == nil {
		return
	}
	now := s.w.Now()
	s.circle.run.WithDetector(func(d *membership.Detector) {
		d.List(now, version, func(yield func(node uint32, ready, gone bool)) {
			for _, en := range entries {
				yield(en.ID, logic.Availability(en.Avail) == logic.Ready, logic.Availability(en.Avail) == logic.Unavailable)
			}
		})
	})
}

// sharing is how many share what cold nodes bear, now: 0 once the lease is over, whatever the last look said, as after a
// stand-still.
func (s *Server) sharing(now float64) int {
	if now >= math.Float64frombits(s.circle.until.Load()) {
		return 0
	}
	return int(s.circle.sharers.Load())
}

// MembersFile is where a scheduler writes what it holds of the others, in its folder.
const MembersFile = "members.json"

// MembershipView is what a scheduler holds of the others, as it is written for people.
type MembershipView struct {
	Name          string            `json:"Name"`
	Address       string            `json:"Address"`
	Isolation     string            `json:"Degree"`
	At            time.Time         `json:"At"`
	Incarnation   uint64            `json:"Life"`
	Health        int               `json:"Health"`
	Sharers       int               `json:"Share"`
	Permits       int               `json:"Leaves"`
	PermitsNeeded int               `json:"Needs"`
	NameTaken     bool              `json:"Taken"`
	Stats         membership.Stats  `json:"Figures"`
	Members       []MemberView      `json:"Members"`
	ClusterState  *ClusterStateView `json:"Book,omitempty"`
}

// ClusterStateView is what it holds of the book that all agree on.
type ClusterStateView struct {
	Version      uint64             `json:"Version"`
	Epoch        uint64             `json:"Epoch"`
	Digest       string             `json:"Digest"` // of all its bytes
	LeaseSeconds float64            `json:"Sure"`   // s for which the scheduler may act by it yet; under 0: it acts by the careful reading
	IsVoter      bool               `json:"Steward"`
	IsLeader     bool               `json:"Leads"`
	Halted       string             `json:"Halted,omitempty"`
	Zones        map[string]string  `json:"Zones"`
	ZoneShares   map[string]float64 `json:"Uses"`  // parts of zones' nodes that this scheduler sends to
	SearchLevel  int                `json:"Level"` // how far it looks: 0 its own zone, 1 its region, 2 all
	Stats        consensus.Stats    `json:"Figures"`
}

// MemberView is one of the others.
type MemberView struct {
	Name        string  `json:"Name"`
	Address     string  `json:"Address"`
	State       string  `json:"State"`
	ReportedBy  string  `json:"By"`
	Incarnation uint64  `json:"Life"`
	Version     uint64  `json:"Version"`
	InState     float64 `json:"Since"` // seconds ago
	LastContact float64 `json:"Heard"` // seconds ago, 0 never
}

func (s *Server) writeMembers() {
	now := s.w.Now()
	v := MembershipView{Name: s.who.Name, At: s.w.WallClock(), Sharers: s.sharing(now), Isolation: s.circle.degree.Degree().String()}
	s.circle.run.WithDetector(func(d *membership.Detector) {
		v.Address, v.Incarnation, v.Health, v.NameTaken, v.Stats = s.circle.run.Address(), d.Life(), d.Health(), d.Taken(), d.Stats
		v.Permits, v.PermitsNeeded = d.Leaves(now)
		for _, m := range d.All() {
			x := MemberView{Name: m.Name, Address: m.Address, State: m.State.String(), ReportedBy: m.By, Incarnation: m.Life, Version: m.Version, InState: (now - m.Since) / 1000}
			if m.Heard > 0 {
				x.LastContact = (now - m.Heard) / 1000
			}
			v.Members = append(v.Members, x)
		}
	})
	v.ClusterState = s.bookView(now)
	b, err := json.MarshalIndent(v, "", " ")
	if err == nil {
		err = s.folder.WriteUnsynced(MembersFile, b)
	}
	if err != nil {
		s.log.Error().Str("mode", "members").Err(err).Msg("view not written")
	}
}
