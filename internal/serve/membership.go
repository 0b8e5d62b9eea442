package serve

import (
	"fmt"
	"math"
	"os"
	"slices"
	"strings"
	"sync"
	"sync/atomic"

	"ravenpond/internal/decide/isolation"
	"ravenpond/internal/decide/membership"
	"ravenpond/internal/env"
	"ravenpond/internal/members"
	"ravenpond/internal/state"
	"ravenpond/logic"
)

// Times of the membership in ms.
const (
	membershipPollInterval = 100
	viewWriteInterval      = 1000 // between two writes of what `ravenpond members` shows
	leaseMargin            = 200  // a lease counts as expired so long before it is: what is decided under it has left by then
	slowStartWindowMargin  = 500  // by which the policy module lengthens the slow-start window of a node
)

// minKeyBytes is the least length of a member key.
const minKeyBytes = 16

// clusterMembership is this process's part in the membership of schedulers: who else is alive, how many share the slow start of nodes and
// the leased part of quotas, and what the others say of nodes. Without members in the site file it stays empty, and its methods do
// nothing.
//
// The polls run one at a time, on a timer. mu and linksMu are leaves. Methods that call withDetector must not be called from within it.
type clusterMembership struct {
	*process
	shards         *shardSet
	tenants        *tenantHosting
	clusterControl atomic.Pointer[clusterControl] // nil without voters, and until they are started

	runner      *members.Runner // nil without members; set by start, as is incarnation
	incarnation uint64

	sharers      atomic.Int64  // schedulers that share the slow start of nodes; 0: this process takes no part
	sharersUntil atomic.Uint64 // bits of until when that holds, ms

	// The polls alone use these.
	isolation     isolation.Monitor
	viewWrittenAt float64

	mu      sync.Mutex // guards heldBack
	unready []uint32   // nodes that others say are not ready, ahead of the list here; sorted

	linksMu sync.Mutex           // guards links
	links   map[uint32]*nodeLink // to nodes, over all sets of connections
}

func newClusterMembership(p *process) *clusterMembership {
	return &clusterMembership{process: p, links: map[uint32]*nodeLink{}}
}

// start joins the other schedulers, where the site file has members.
func (m *clusterMembership) start() error {
	config, cluster := m.config.Site.Members, &m.config.Site.Cluster
	if config.Listen == "" {
		return nil
	}
	key, err := m.memberKey()
	if err != nil {
		return err
	}
	incarnation, err := m.folder.NextIncarnation()
	if err != nil {
		return fmt.Errorf("state: %w", err)
	}
	runner, err := members.Start(m.env, config.Listen, membership.Config{
		Site: m.config.Site.Name, Name: m.config.Name, Address: config.Advertise, Incarnation: uint64(incarnation), Key: key,
		Seeds: config.Seeds, Seed: m.config.Seed, Place: m.config.Index, Places: cluster.Schedulers,
		SlowStartWindow: cluster.SlowStartWindow + slowStartWindowMargin, MaxOpenTime: m.tenants.maxDeadline(),
	}, membershipEvents{m})
	if err != nil {
		return err
	}
	m.runner, m.incarnation = runner, uint64(incarnation)
	m.log.Info().Str("mode", "members").Str("address", runner.Address()).Uint32("life", incarnation).Int("places", cluster.Schedulers).Msg("asks for the others")
	m.every(membershipPollInterval, m.poll)
	return nil
}

// memberKey returns the key that members sign their datagrams with.
func (m *clusterMembership) memberKey() ([]byte, error) {
	path, key := m.config.Site.Members.Key, m.config.MemberKey
	if key == nil {
		b, err := os.ReadFile(path)
		if err != nil {
			return nil, fmt.Errorf("member key: %w", err)
		}
		key = []byte(strings.TrimSpace(string(b)))
	}
	if len(key) < minKeyBytes {
		return nil, fmt.Errorf("member key %s: %d bytes, at least %d are expected", path, len(key), minKeyBytes)
	}
	return key, nil
}

// stop leaves the other schedulers.
func (m *clusterMembership) stop() {
	if m.runner != nil {
		m.runner.Stop()
	}
}

// isMember reports whether the site file has members.
func (m *clusterMembership) isMember() bool { return m.runner != nil }

// withDetector calls f with the detector, which must not be used beyond it. Without members it does nothing.
func (m *clusterMembership) withDetector(f func(*membership.Detector)) {
	if m.runner != nil {
		m.runner.WithDetector(f)
	}
}

// membershipEvents logs changes of the membership, and gives the detector what is known of nodes.
type membershipEvents struct{ m *clusterMembership }

// OnChange logs a member's new state.
func (e membershipEvents) OnChange(now float64, member membership.Member, previous membership.State) {
	e.m.log.Info().Str("mode", "members").Str("member", member.Name).Str("address", member.Address).Uint64("life", member.Incarnation).
		Uint64("version", member.Version).Stringer("was", previous).Stringer("is", member.State).Str("by", member.By).
		Float64("unix_ms", now+float64(env.Epoch.UnixMilli())).Msg("member")
}

// OnNameTaken logs that another scheduler has this one's name.
func (e membershipEvents) OnNameTaken(_ float64, address string) {
	e.m.log.Error().Str("mode", "members").Str("at", address).Msg("another scheduler goes by this one's name: this one takes no part in cold nodes")
}

// LastHeard returns when this process last received something of a node, and in which incarnation of it.
func (e membershipEvents) LastHeard(node uint32) (incarnation uint64, lastReceived float64, ok bool) {
	link := e.m.link(node)
	if link == nil {
		return 0, 0, false
	}
	return link.incarnation, math.Float64frombits(link.lastReceived.Load()), true
}

// link returns the connection to a node, else nil. The tables of nodeConnections can't be asked from within withDetector, which they call
// with their lock held.
func (m *clusterMembership) link(node uint32) *nodeLink {
	m.linksMu.Lock()
	defer m.linksMu.Unlock()
	return m.links[node]
}

// onNodeConnected takes a new connection to a node.
func (m *clusterMembership) onNodeConnected(l *nodeLink) {
	if m.runner == nil {
		return
	}
	m.linksMu.Lock()
	m.links[l.node] = l
	m.linksMu.Unlock()
	m.withDetector(func(detector *membership.Detector) { detector.OnNodeReachable(l.node) })
}

// onNodeDisconnected takes the end of a connection. The other schedulers are then asked whether they still reach the node.
func (m *clusterMembership) onNodeDisconnected(l *nodeLink) {
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
		now := m.env.Now()
		m.withDetector(func(detector *membership.Detector) { detector.OnNodeUnreachable(now, l.node, l.incarnation) })
	}
}

// nodeAlive reports whether others still reach a node that a shard has lost.
func (m *clusterMembership) nodeAlive(now float64, nodeID uint32, incarnation uint64) (alive bool) {
	m.withDetector(func(detector *membership.Detector) { alive = detector.IsNodeAlive(now, nodeID, incarnation) })
	return alive
}

// memberNames returns the schedulers that are there; not known without members.
func (m *clusterMembership) memberNames() (names []string, known bool) {
	m.withDetector(func(detector *membership.Detector) {
		known = true
		for _, member := range detector.All() {
			if member.State == membership.Alive || member.State == membership.Suspect {
				names = append(names, member.Name)
			}
		}
	})
	return names, known
}

// gossipList has the others hear what an answer of the list server says.
func (m *clusterMembership) gossipList(version uint64, entries []state.Entry) {
	now := m.env.Now()
	m.withDetector(func(detector *membership.Detector) {
		detector.OnNodeList(now, version, func(yield func(node uint32, ready, removed bool)) {
			for _, entry := range entries {
				availability := logic.Availability(entry.Avail)
				yield(entry.ID, availability == logic.Ready, availability == logic.Unavailable)
			}
		})
	})
}

// slowStartSharers returns how many schedulers share the slow start of nodes: 0 once the lease has expired, whatever the last poll said, as
// after a stall.
func (m *clusterMembership) slowStartSharers(now float64) int {
	if now >= math.Float64frombits(m.sharersUntil.Load()) {
		return 0
	}
	return int(m.sharers.Load())
}

// membershipPoll is what a poll reads from the detector.
type membershipPoll struct {
	sharers                int // of the slow start of nodes
	sharersUntil           float64
	alive, total           int // members
	permits, permitsNeeded int
	unready                []uint32 // nodes
	quotaSharers           int
	quotaUntil             float64
	ended                  []nodeIncarnation // nodes' incarnations that others know to have ended
}

type nodeIncarnation struct {
	node        uint32
	incarnation uint64
}

func (m *clusterMembership) readDetector(now float64) (p membershipPoll) {
	m.withDetector(func(detector *membership.Detector) {
		p.sharers, p.sharersUntil = detector.SlowStartSharers(now + leaseMargin)
		count := detector.Count()
		p.alive, p.total = count.Alive, count.Alive+count.Suspect+count.Dead
		p.permits, p.permitsNeeded = detector.Grants(now)
		p.unready = detector.UnreadyNodes(now)
		p.quotaSharers, p.quotaUntil = detector.QuotaSharers(now + leaseMargin)
		detector.EndedNodes(func(node uint32, incarnation uint64) {
			p.ended = append(p.ended, nodeIncarnation{node, incarnation})
		})
	})
	return p
}

// poll takes over what the detector says: how many share slow starts and quotas, what the others say of nodes, and how far this process
// is cut off.
func (m *clusterMembership) poll() {
	now := m.env.Now()
	p := m.readDetector(now)
	for _, ended := range p.ended {
		m.shards.postAll(func(sh *shard, now float64) { sh.engine.OnIncarnationEnded(now, ended.node, ended.incarnation) })
	}
	if m.tenants.leasesQuotas() {
		m.shards.setQuotaLease(now, p.quotaSharers, p.quotaUntil-leaseMargin)
	}
	m.setUnready(p.unready)
	if previous := int(m.sharers.Load()); previous != p.sharers {
		m.log.Info().Str("mode", "members").Int("share", p.sharers).Int("was", previous).Int("leaves", p.permits).Int("needs", p.permitsNeeded).Msg("cold nodes")
	}
	m.sharersUntil.Store(math.Float64bits(p.sharersUntil - leaseMargin))
	m.sharers.Store(int64(p.sharers))
	if degree, changed := m.isolation.Update(now, p.alive, p.total); changed {
		m.log.Warn().Str("mode", "members").Stringer("degree", degree).Int("alive", p.alive).Int("known", p.total).Int("share", p.sharers).Msg("contact with others")
	}
	if now-m.viewWrittenAt >= viewWriteInterval {
		m.viewWrittenAt = now
		m.diagnostics.Do("members", m.writeView)
	}
}

// setUnready has all shards place nothing new on nodes that others say are not ready, and no longer avoid the rest.
func (m *clusterMembership) setUnready(nodes []uint32) {
	m.mu.Lock()
	previous := m.unready
	m.unready = nodes
	m.mu.Unlock()
	if slices.Equal(previous, nodes) {
		return
	}
	released := slices.DeleteFunc(slices.Clone(previous), func(id uint32) bool { return slices.Contains(nodes, id) })
	m.log.Info().Str("mode", "members").Int("held", len(nodes)).Int("freed", len(released)).Msg("nodes held back on the word of others")
	m.shards.postAll(func(sh *shard, now float64) {
		sh.engine.SetWarned(now, released, false)
		sh.engine.SetWarned(now, nodes, true)
	})
}

// sendUnready tells a shard that starts which nodes are held back.
func (m *clusterMembership) sendUnready(sh *shard) {
	m.mu.Lock()
	nodes := m.unready
	m.mu.Unlock()
	if len(nodes) > 0 {
		sh.post(func(now float64) { sh.engine.SetWarned(now, nodes, true) })
	}
}
