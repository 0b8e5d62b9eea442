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
	viewWriteInterval      = 1000 // between two writes of the view that `ravenpond members` shows
	leaseMargin            = 200  // a lease is treated as expired this long before it is, so that whatever was decided under it has been sent by then
	slowStartWindowMargin  = 500  // the policy module lengthens a node's slow-start window by this much
)

// minKeyBytes is the minimum length of a member key.
const minKeyBytes = 16

// clusterMembership is this process's part in the membership of schedulers. It tracks which other schedulers are alive, how many share the
// slow start of nodes and the leased part of quotas, and what the others report about nodes. Without members in the site file it stays empty,
// and its methods do nothing.
//
// Polls run one at a time, on a timer. mu and linksMu are leaf locks. Methods that call withDetector must not be called from within it.
type clusterMembership struct {
	*process
	shards         *shardSet
	tenants        *tenantHosting
	clusterControl atomic.Pointer[clusterControl] // nil if the site file names no voters, and until it is started

	runner      *members.Runner // nil without members; start sets it together with incarnation
	incarnation uint64

	sharers      atomic.Int64  // number of schedulers that share the slow start of nodes; 0: this process takes no part
	sharersUntil atomic.Uint64 // time in ms until which sharers is valid, as the bits of a float64

	// Only the polls use these fields.
	isolation     isolation.Monitor
	viewWrittenAt float64

	mu      sync.Mutex // guards unready
	unready []uint32   // nodes that other schedulers report as not ready before the list here does; sorted

	linksMu sync.Mutex           // guards links
	links   map[uint32]*nodeLink // connections by node, of all nodeConnections
}

func newClusterMembership(p *process) *clusterMembership {
	return &clusterMembership{process: p, links: map[uint32]*nodeLink{}}
}

// start joins the other schedulers if the site file has members.
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
		return fmt.Errorf("read incarnation from state folder: %w", err)
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
	m.log.Info().Str("mode", "members").Str("address", runner.Address()).Uint32("life", incarnation).Int("places", cluster.Schedulers).Msg("joining the other schedulers")
	m.every(membershipPollInterval, m.poll)
	return nil
}

// memberKey returns the key with which members sign their datagrams.
func (m *clusterMembership) memberKey() ([]byte, error) {
	path, key := m.config.Site.Members.Key, m.config.MemberKey
	if key == nil {
		b, err := os.ReadFile(path)
		if err != nil {
			return nil, fmt.Errorf("read member key: %w", err)
		}
		key = []byte(strings.TrimSpace(string(b)))
	}
	if len(key) < minKeyBytes {
		return nil, fmt.Errorf("member key %s: got %d bytes, want at least %d", path, len(key), minKeyBytes)
	}
	return key, nil
}

// stop leaves the membership.
func (m *clusterMembership) stop() {
	if m.runner != nil {
		m.runner.Stop()
	}
}

// isMember reports whether the site file has members.
func (m *clusterMembership) isMember() bool { return m.runner != nil }

// withDetector calls f with the detector, which f must not retain. Without members it does nothing.
func (m *clusterMembership) withDetector(f func(*membership.Detector)) {
	if m.runner != nil {
		m.runner.WithDetector(f)
	}
}

// membershipEvents logs changes of the membership, and tells the detector when nodes were last heard from.
type membershipEvents struct{ m *clusterMembership }

// OnMemberChanged logs the new state of a member.
func (e membershipEvents) OnMemberChanged(now float64, member membership.Member, previous membership.State) {
	e.m.log.Info().Str("mode", "members").Str("member", member.Name).Str("address", member.Address).Uint64("life", member.Incarnation).
		Uint64("version", member.Version).Stringer("was", previous).Stringer("is", member.State).Str("by", member.By).
		Float64("unix_ms", now+float64(env.Epoch.UnixMilli())).Msg("member state changed")
}

// OnNameConflict logs that another scheduler uses this scheduler's name.
func (e membershipEvents) OnNameConflict(_ float64, address string) {
	e.m.log.Error().Str("mode", "members").Str("at", address).Msg("another scheduler uses this scheduler's name; this one takes no part in the slow start of nodes")
}

// LastNodeContact returns when this process last received something from a node, and the incarnation of the node.
func (e membershipEvents) LastNodeContact(node uint32) (incarnation uint64, lastReceived float64, ok bool) {
	link := e.m.link(node)
	if link == nil {
		return 0, 0, false
	}
	return link.incarnation, math.Float64frombits(link.lastReceived.Load()), true
}

// link returns the connection to a node, or nil. The tables of nodeConnections can't be read from within withDetector, because
// nodeConnections call withDetector while they hold their own lock.
func (m *clusterMembership) link(node uint32) *nodeLink {
	m.linksMu.Lock()
	defer m.linksMu.Unlock()
	return m.links[node]
}

// onNodeConnected records a new connection to a node.
func (m *clusterMembership) onNodeConnected(l *nodeLink) {
	if m.runner == nil {
		return
	}
	m.linksMu.Lock()
	m.links[l.node] = l
	m.linksMu.Unlock()
	m.withDetector(func(detector *membership.Detector) { detector.OnNodeReachable(l.node) })
}

// onNodeDisconnected records the end of a connection. The other schedulers are then asked whether they still reach the node.
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

// nodeAlive reports whether other schedulers still reach a node to which a shard has lost the connection.
func (m *clusterMembership) nodeAlive(now float64, nodeID uint32, incarnation uint64) (alive bool) {
	m.withDetector(func(detector *membership.Detector) { alive = detector.IsNodeAlive(now, nodeID, incarnation) })
	return alive
}

// memberNames returns the names of the schedulers that are alive or suspect. Without members, known is false.
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

// gossipList spreads the node states of an answer of the list server to the other schedulers.
func (m *clusterMembership) gossipList(version uint64, entries []state.Entry) {
	now := m.env.Now()
	m.withDetector(func(detector *membership.Detector) {
		detector.OnNodeList(now, version, func(yield func(node uint32, ready, removed bool)) {
			for _, entry := range entries {
				availability := logic.Availability(entry.Availability)
				yield(entry.ID, availability == logic.Ready, availability == logic.Unavailable)
			}
		})
	})
}

// slowStartSharers returns how many schedulers share the slow start of nodes. It returns 0 once the lease has expired, even if the last poll
// said otherwise, as after a stall of the process.
func (m *clusterMembership) slowStartSharers(now float64) int {
	if now >= math.Float64frombits(m.sharersUntil.Load()) {
		return 0
	}
	return int(m.sharers.Load())
}

// membershipPoll is the data that a poll reads from the detector.
type membershipPoll struct {
	sharers                int // schedulers that share the slow start of nodes
	sharersUntil           float64
	alive, total           int // members
	permits, permitsNeeded int
	unready                []uint32 // nodes that other schedulers report as not ready
	quotaSharers           int
	quotaUntil             float64
	ended                  []nodeIncarnation // incarnations of nodes that others know to have ended
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

// poll applies what the detector reports: how many schedulers share slow starts and quotas, what the others know about nodes, and how
// isolated this process is.
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
		m.log.Info().Str("mode", "members").Int("share", p.sharers).Int("was", previous).Int("leaves", p.permits).Int("needs", p.permitsNeeded).Msg("sharing of slow starts changed")
	}
	m.sharersUntil.Store(math.Float64bits(p.sharersUntil - leaseMargin))
	m.sharers.Store(int64(p.sharers))
	if degree, changed := m.isolation.Update(now, p.alive, p.total); changed {
		m.log.Warn().Str("mode", "members").Stringer("degree", degree).Int("alive", p.alive).Int("known", p.total).Int("share", p.sharers).Msg("contact with other schedulers changed")
	}
	if now-m.viewWrittenAt >= viewWriteInterval {
		m.viewWrittenAt = now
		m.diagnostics.Do("members", m.writeView)
	}
}

// setUnready makes all shards place nothing new on nodes that other schedulers report as not ready, and use the nodes again that are no
// longer among them.
func (m *clusterMembership) setUnready(nodes []uint32) {
	m.mu.Lock()
	previous := m.unready
	m.unready = nodes
	m.mu.Unlock()
	if slices.Equal(previous, nodes) {
		return
	}
	readmitted := slices.DeleteFunc(slices.Clone(previous), func(id uint32) bool { return slices.Contains(nodes, id) })
	m.log.Info().Str("mode", "members").Int("held", len(nodes)).Int("freed", len(readmitted)).Msg("nodes that other schedulers report as not ready changed")
	m.shards.postAll(func(sh *shard, now float64) {
		sh.engine.SetExcludedByPeers(now, readmitted, false)
		sh.engine.SetExcludedByPeers(now, nodes, true)
	})
}

// sendUnready tells a starting shard which nodes other schedulers report as not ready.
func (m *clusterMembership) sendUnready(sh *shard) {
	m.mu.Lock()
	nodes := m.unready
	m.mu.Unlock()
	if len(nodes) > 0 {
		sh.post(func(now float64) { sh.engine.SetExcludedByPeers(now, nodes, true) })
	}
}
