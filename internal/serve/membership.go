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
	"ravenpond/internal/env"
	"ravenpond/internal/members"
	"ravenpond/internal/state"
	"ravenpond/logic"
)

// Times in ms.
const (
	membershipPollInterval = 100  // between two looks at who is there
	viewWriteInterval      = 1000 // between two writings of what `ravenpond members` shows
	leaseMargin            = 200  // a lease counts as over so long before it is: what is decided under it has left by then
)

// minKeyBytes is the fewest bytes of a member key.
const minKeyBytes = 16

// clusterMembership is what a scheduler has of the others.
type clusterMembership struct {
	runner        *members.Runner
	sharers       atomic.Int64  // how many share what a cold node bears; 0: this process takes no part
	sharersUntil  atomic.Uint64 // bits of until when that holds
	isolation     isolation.Monitor
	mu            sync.Mutex
	incarnation   uint64
	controlView   ClusterStateView // what the council said of itself last
	heldBack      []uint32         // nodes that others say are not ready, ahead of the list here
	viewWrittenAt float64

	linksMu sync.Mutex
	links   map[uint32]*nodeLink // to nodes, over all trunks: whose own tables can't be asked under the detector's lock, which they call with theirs held
}

// startMembership begins to know the others, where the site file has members.
func (s *Server) startMembership() error {
	m := s.config.Site.Members
	if m.Listen == "" {
		return nil
	}
	key := s.config.MemberKey
	if key == nil {
		b, err := os.ReadFile(m.Key)
		if err != nil {
			return fmt.Errorf("member key: %w", err)
		}
		key = []byte(strings.TrimSpace(string(b)))
	}
	if len(key) < minKeyBytes {
		return fmt.Errorf("member key %s: %d bytes, at least %d are expected", m.Key, len(key), minKeyBytes)
	}
	life, err := s.folder.NextIncarnation()
	if err != nil {
		return fmt.Errorf("state: %w", err)
	}
	cl := &s.config.Site.Cluster
	open := 0.0
	if s.leasesQuotas() {
		open = s.longestDeadline()
	}
	run, err := members.Start(s.env, m.Listen, membership.Config{
		Open: open, Site: s.config.Site.Name, Name: s.config.Name, Address: m.Advertise, Life: uint64(life), Key: key,
		Seeds: m.Seeds, Seed: s.config.Seed, Place: s.config.Index, Places: cl.Schedulers, Window: cl.SlowStartWindow + coldWindowMargin,
	}, membershipEvents{s})
	if err != nil {
		return err
	}
	s.membership.runner, s.membership.incarnation = run, uint64(life)
	s.log.Info().Str("mode", "members").Str("address", run.Address()).Uint32("life", life).Int("places", cl.Schedulers).Msg("asks for the others")
	s.every(membershipPollInterval, s.pollMembership)
	return nil
}

// coldWindowMargin is by how much the module lengthens the window of a cold node, ms.
const coldWindowMargin = 500

// membershipEvents logs what changes in the view.
type membershipEvents struct{ server *Server }

func (c membershipEvents) OnChange(now float64, m membership.Member, was membership.State) {
	c.server.log.Info().Str("mode", "members").Str("member", m.Name).Str("address", m.Address).Uint64("life", m.Life).Uint64("version", m.Version).
		Stringer("was", was).Stringer("is", m.State).Str("by", m.By).Float64("unix_ms", now+float64(env.Epoch.UnixMilli())).Msg("member")
}

func (c membershipEvents) OnNameTaken(_ float64, address string) {
	c.server.log.Error().Str("mode", "members").Str("at", address).Msg("another scheduler goes by this one's name: this one takes no part in cold nodes")
}

// LastHeard is what this process hears of a node.
func (c membershipEvents) LastHeard(node uint32) (life uint64, heard float64, ok bool) {
	c.server.membership.linksMu.Lock()
	defer c.server.membership.linksMu.Unlock()
	l := c.server.membership.links[node]
	if l == nil {
		return 0, 0, false
	}
	return l.incarnation, math.Float64frombits(l.lastReceived.Load()), true
}

// onNodeConnected and missed follow the connections to nodes, for the others' sake and to ask them for one that is lost.
func (s *Server) onNodeConnected(l *nodeLink) {
	c := &s.membership
	if c.runner == nil {
		return
	}
	c.linksMu.Lock()
	if c.links == nil {
		c.links = map[uint32]*nodeLink{}
	}
	c.links[l.node] = l
	c.linksMu.Unlock()
	c.runner.WithDetector(func(d *membership.Detector) { d.NodeBack(l.node) })
}

func (s *Server) onNodeDisconnected(l *nodeLink) {
	c := &s.membership
	if c.runner == nil {
		return
	}
	c.linksMu.Lock()
	last := c.links[l.node] == l
	if last {
		delete(c.links, l.node)
	}
	c.linksMu.Unlock()
	if last {
		now := s.env.Now()
		c.runner.WithDetector(func(d *membership.Detector) { d.NodeLost(now, l.node, l.incarnation) })
	}
}

// nodeAlive tells a shard whether others hear a node that it has lost.
func (s *Server) nodeAlive(now float64, nd uint32, life uint64) (lives bool) {
	if s.membership.runner == nil {
		return false
	}
	s.membership.runner.WithDetector(func(d *membership.Detector) { lives = d.NodeLives(now, nd, life) })
	return lives
}

// pollMembership takes over what the view says: how many share cold nodes, and how far this process is cut off.
func (s *Server) pollMembership() {
	now := s.env.Now()
	c := &s.membership
	var n, alive, known, has, needs, lent int
	var until, lentUntil float64
	var held []uint32
	var ended []func(sh *shard, now float64)
	c.runner.WithDetector(func(d *membership.Detector) {
		n, until = d.Sharers(now + leaseMargin)
		a, suspect, dead, _ := d.Count()
		alive, known = a, a+suspect+dead
		has, needs = d.Leaves(now)
		held = d.Held(now)
		lent, lentUntil = d.Lent(now + leaseMargin)
		d.NodesEnded(func(node uint32, life uint64) {
			ended = append(ended, func(sh *shard, now float64) { sh.engine.OnIncarnationEnded(now, node, life) })
		})
	})
	for _, tell := range ended {
		s.postAll(tell)
	}
	if s.leasesQuotas() {
		s.routerMu.Lock()
		s.hosting.quotaLease.Set(lent, lentUntil-leaseMargin)
		declined := s.checkQuotaLease(now)
		s.pumpIfFree()
		s.routerMu.Unlock()
		s.rejectAll(declined)
	}
	s.holdBackNodes(held)
	if was := int(c.sharers.Load()); was != n {
		s.log.Info().Str("mode", "members").Int("share", n).Int("was", was).Int("leaves", has).Int("needs", needs).Msg("cold nodes")
	}
	c.sharersUntil.Store(math.Float64bits(until - leaseMargin))
	c.sharers.Store(int64(n))
	if d, turned := c.isolation.Update(now, alive, known); turned {
		s.log.Warn().Str("mode", "members").Stringer("degree", d).Int("alive", alive).Int("known", known).Int("share", n).Msg("contact with others")
	}
	if now-c.viewWrittenAt >= viewWriteInterval {
		c.viewWrittenAt = now
		s.diagnostics.Do("members", s.writeMembershipView)
	}
}

// holdBackNodes has all shards give nothing new to nodes that others say are not ready, and no longer hold back the rest.
func (s *Server) holdBackNodes(nodes []uint32) {
	c := &s.membership
	c.mu.Lock()
	was := c.heldBack
	c.heldBack = nodes
	c.mu.Unlock()
	if slices.Equal(was, nodes) {
		return
	}
	gone := slices.DeleteFunc(slices.Clone(was), func(id uint32) bool { return slices.Contains(nodes, id) })
	s.log.Info().Str("mode", "members").Int("held", len(nodes)).Int("freed", len(gone)).Msg("nodes held back on the word of others")
	s.postAll(func(sh *shard, now float64) {
		sh.engine.SetWarned(now, gone, false)
		sh.engine.SetWarned(now, nodes, true)
	})
}

// sendHeldBack tells a new shard which nodes are held back.
func (s *Server) sendHeldBack(sh *shard) {
	s.membership.mu.Lock()
	held := s.membership.heldBack
	s.membership.mu.Unlock()
	if len(held) > 0 {
		sh.post(func(now float64) { sh.engine.SetWarned(now, held, true) })
	}
}

// gossipList has the others hear what an answer of the node list says.
func (s *Server) gossipList(version uint64, entries []state.Entry) {
	if s.membership.runner == nil {
		return
	}
	now := s.env.Now()
	s.membership.runner.WithDetector(func(d *membership.Detector) {
		d.List(now, version, func(yield func(node uint32, ready, gone bool)) {
			for _, en := range entries {
				yield(en.ID, logic.Availability(en.Avail) == logic.Ready, logic.Availability(en.Avail) == logic.Unavailable)
			}
		})
	})
}

// sharers is how many share what cold nodes bear, now: 0 once the lease is over, whatever the last look said, as after a
// stand-still.
func (s *Server) sharers(now float64) int {
	if now >= math.Float64frombits(s.membership.sharersUntil.Load()) {
		return 0
	}
	return int(s.membership.sharers.Load())
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

func (s *Server) writeMembershipView() {
	now := s.env.Now()
	v := MembershipView{Name: s.config.Name, At: s.env.WallClock(), Sharers: s.sharers(now), Isolation: s.membership.isolation.Degree().String()}
	s.membership.runner.WithDetector(func(d *membership.Detector) {
		v.Address, v.Incarnation, v.Health, v.NameTaken, v.Stats = s.membership.runner.Address(), d.Life(), d.Health(), d.Taken(), d.Stats
		v.Permits, v.PermitsNeeded = d.Leaves(now)
		for _, m := range d.All() {
			x := MemberView{Name: m.Name, Address: m.Address, State: m.State.String(), ReportedBy: m.By, Incarnation: m.Life, Version: m.Version, InState: (now - m.Since) / 1000}
			if m.Heard > 0 {
				x.LastContact = (now - m.Heard) / 1000
			}
			v.Members = append(v.Members, x)
		}
	})
	v.ClusterState = s.clusterStateView(now)
	b, err := json.MarshalIndent(v, "", " ")
	if err == nil {
		err = s.folder.WriteUnsynced(MembersFile, b)
	}
	if err != nil {
		s.log.Error().Str("mode", "members").Err(err).Msg("view not written")
	}
}
