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
	config := s.config.Site.Members
	if config.Listen == "" {
		return nil
	}
	key := s.config.MemberKey
	if key == nil {
		b, err := os.ReadFile(config.Key)
		if err != nil {
			return fmt.Errorf("member key: %w", err)
		}
		key = []byte(strings.TrimSpace(string(b)))
	}
	if len(key) < minKeyBytes {
		return fmt.Errorf("member key %s: %d bytes, at least %d are expected", config.Key, len(key), minKeyBytes)
	}
	incarnation, err := s.folder.NextIncarnation()
	if err != nil {
		return fmt.Errorf("state: %w", err)
	}
	cluster := &s.config.Site.Cluster
	maxOpen := 0.0
	if s.leasesQuotas() {
		maxOpen = s.longestDeadline()
	}
	runner, err := members.Start(s.env, config.Listen, membership.Config{
		MaxOpenTime: maxOpen, Site: s.config.Site.Name, Name: s.config.Name, Address: config.Advertise, Incarnation: uint64(incarnation), Key: key,
		Seeds: config.Seeds, Seed: s.config.Seed, Place: s.config.Index, Places: cluster.Schedulers, SlowStartWindow: cluster.SlowStartWindow + coldWindowMargin,
	}, membershipEvents{s})
	if err != nil {
		return err
	}
	s.membership.runner, s.membership.incarnation = runner, uint64(incarnation)
	s.log.Info().Str("mode", "members").Str("address", runner.Address()).Uint32("life", incarnation).Int("places", cluster.Schedulers).Msg("asks for the others")
	s.every(membershipPollInterval, s.pollMembership)
	return nil
}

// coldWindowMargin is by how much the module lengthens the window of a cold node, ms.
const coldWindowMargin = 500

// membershipEvents logs what changes in the view.
type membershipEvents struct{ server *Server }

func (e membershipEvents) OnChange(now float64, member membership.Member, previous membership.State) {
	e.server.log.Info().Str("mode", "members").Str("member", member.Name).Str("address", member.Address).Uint64("life", member.Incarnation).Uint64("version", member.Version).
		Stringer("was", previous).Stringer("is", member.State).Str("by", member.By).Float64("unix_ms", now+float64(env.Epoch.UnixMilli())).Msg("member")
}

func (e membershipEvents) OnNameTaken(_ float64, address string) {
	e.server.log.Error().Str("mode", "members").Str("at", address).Msg("another scheduler goes by this one's name: this one takes no part in cold nodes")
}

// LastHeard is what this process hears of a node.
func (e membershipEvents) LastHeard(node uint32) (incarnation uint64, lastReceived float64, ok bool) {
	e.server.membership.linksMu.Lock()
	defer e.server.membership.linksMu.Unlock()
	link := e.server.membership.links[node]
	if link == nil {
		return 0, 0, false
	}
	return link.incarnation, math.Float64frombits(link.lastReceived.Load()), true
}

// onNodeConnected and missed follow the connections to nodes, for the others' sake and to ask them for one that is lost.
func (s *Server) onNodeConnected(l *nodeLink) {
	m := &s.membership
	if m.runner == nil {
		return
	}
	m.linksMu.Lock()
	if m.links == nil {
		m.links = map[uint32]*nodeLink{}
	}
	m.links[l.node] = l
	m.linksMu.Unlock()
	m.runner.WithDetector(func(detector *membership.Detector) { detector.OnNodeReachable(l.node) })
}

func (s *Server) onNodeDisconnected(l *nodeLink) {
	m := &s.membership
	if m.runner == nil {
		return
	}
	m.linksMu.Lock()
	current := m.links[l.node] == l
	if current {
		delete(m.links, l.node)
	}
	m.linksMu.Unlock()
	if current {
		now := s.env.Now()
		m.runner.WithDetector(func(detector *membership.Detector) { detector.OnNodeUnreachable(now, l.node, l.incarnation) })
	}
}

// nodeAlive tells a shard whether others hear a node that it has lost.
func (s *Server) nodeAlive(now float64, nodeID uint32, incarnation uint64) (alive bool) {
	if s.membership.runner == nil {
		return false
	}
	s.membership.runner.WithDetector(func(detector *membership.Detector) { alive = detector.IsNodeAlive(now, nodeID, incarnation) })
	return alive
}

// pollMembership takes over what the view says: how many share cold nodes, and how far this process is cut off.
func (s *Server) pollMembership() {
	now := s.env.Now()
	m := &s.membership
	var sharers, alive, total, permits, permitsNeeded, leaseSharers int
	var sharersUntil, leasedUntil float64
	var heldBack []uint32
	var endedNodes []func(sh *shard, now float64)
	m.runner.WithDetector(func(detector *membership.Detector) {
		sharers, sharersUntil = detector.SlowStartSharers(now + leaseMargin)
		members := detector.Count()
		alive, total = members.Alive, members.Alive+members.Suspect+members.Dead
		permits, permitsNeeded = detector.Grants(now)
		heldBack = detector.UnreadyNodes(now)
		leaseSharers, leasedUntil = detector.QuotaSharers(now + leaseMargin)
		detector.EndedNodes(func(node uint32, incarnation uint64) {
			endedNodes = append(endedNodes, func(sh *shard, now float64) { sh.engine.OnIncarnationEnded(now, node, incarnation) })
		})
	})
	for _, notify := range endedNodes {
		s.postAll(notify)
	}
	if s.leasesQuotas() {
		s.routerMu.Lock()
		s.hosting.quotaLease.Set(leaseSharers, leasedUntil-leaseMargin)
		declined := s.checkQuotaLease(now)
		s.pumpIfFree()
		s.routerMu.Unlock()
		s.rejectAll(declined)
	}
	s.holdBackNodes(heldBack)
	if previous := int(m.sharers.Load()); previous != sharers {
		s.log.Info().Str("mode", "members").Int("share", sharers).Int("was", previous).Int("leaves", permits).Int("needs", permitsNeeded).Msg("cold nodes")
	}
	m.sharersUntil.Store(math.Float64bits(sharersUntil - leaseMargin))
	m.sharers.Store(int64(sharers))
	if detector, changed := m.isolation.Update(now, alive, total); changed {
		s.log.Warn().Str("mode", "members").Stringer("degree", detector).Int("alive", alive).Int("known", total).Int("share", sharers).Msg("contact with others")
	}
	if now-m.viewWrittenAt >= viewWriteInterval {
		m.viewWrittenAt = now
		s.diagnostics.Do("members", s.writeMembershipView)
	}
}

// holdBackNodes has all shards give nothing new to nodes that others say are not ready, and no longer hold back the rest.
func (s *Server) holdBackNodes(nodes []uint32) {
	m := &s.membership
	m.mu.Lock()
	previous := m.heldBack
	m.heldBack = nodes
	m.mu.Unlock()
	if slices.Equal(previous, nodes) {
		return
	}
	released := slices.DeleteFunc(slices.Clone(previous), func(id uint32) bool { return slices.Contains(nodes, id) })
	s.log.Info().Str("mode", "members").Int("held", len(nodes)).Int("freed", len(released)).Msg("nodes held back on the word of others")
	s.postAll(func(sh *shard, now float64) {
		sh.engine.SetWarned(now, released, false)
		sh.engine.SetWarned(now, nodes, true)
	})
}

// sendHeldBack tells a new shard which nodes are held back.
func (s *Server) sendHeldBack(sh *shard) {
	s.membership.mu.Lock()
	heldBack := s.membership.heldBack
	s.membership.mu.Unlock()
	if len(heldBack) > 0 {
		sh.post(func(now float64) { sh.engine.SetWarned(now, heldBack, true) })
	}
}

// gossipList has the others hear what an answer of the node list says.
func (s *Server) gossipList(version uint64, entries []state.Entry) {
	if s.membership.runner == nil {
		return
	}
	now := s.env.Now()
	s.membership.runner.WithDetector(func(detector *membership.Detector) {
		detector.OnNodeList(now, version, func(yield func(node uint32, ready, removed bool)) {
			for _, entry := range entries {
				yield(entry.ID, logic.Availability(entry.Avail) == logic.Ready, logic.Availability(entry.Avail) == logic.Unavailable)
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
	view := MembershipView{Name: s.config.Name, At: s.env.WallClock(), Sharers: s.sharers(now), Isolation: s.membership.isolation.Degree().String()}
	s.membership.runner.WithDetector(func(detector *membership.Detector) {
		view.Address, view.Incarnation, view.Health, view.NameTaken, view.Stats = s.membership.runner.Address(), detector.Incarnation(), detector.Health(), detector.HasNameConflict(), detector.Stats
		view.Permits, view.PermitsNeeded = detector.Grants(now)
		for _, member := range detector.All() {
			out := MemberView{Name: member.Name, Address: member.Address, State: member.State.String(), ReportedBy: member.By, Incarnation: member.Incarnation, Version: member.Version, InState: (now - member.Since) / 1000}
			if member.LastContact > 0 {
				out.LastContact = (now - member.LastContact) / 1000
			}
			view.Members = append(view.Members, out)
		}
	})
	view.ClusterState = s.clusterStateView(now)
	b, err := json.MarshalIndent(view, "", " ")
	if err == nil {
		err = s.folder.WriteUnsynced(MembersFile, b)
	}
	if err != nil {
		s.log.Error().Str("mode", "members").Err(err).Msg("view not written")
	}
}
