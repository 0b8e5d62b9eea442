package serve

import (
	"sync"

	"ravenpond/internal/decide/shardplacement"
	"ravenpond/internal/decide/shardrouter"
	"ravenpond/internal/decide/watchdog"
	"ravenpond/internal/site"
)

// shardSet holds the shards of the process, and the router that decides which shard owns which allocation.
//
// routerMu is held only for a few look-ups at a time. The lock order of the package is: startMu, nodeConnections, workingSet or zoneRouting,
// routerMu, clientListener, clientConn or nodeLink, and an inbox last. The locks of the other parts are leaves that may be taken while any of
// these is held; listClient's comes before those of the endpoint list and of maintenance.
type shardSet struct {
	*process
	clients     *clientListener
	tenants     *tenantHosting
	membership  *clusterMembership
	listClient  *listClient
	workingSet  *workingSet      // nil: the shards work with all nodes; set before the shards start
	connections *nodeConnections // connections that the shards share; with own connections, those of the last shard created
	initShard   func(*shard)     // posts the node list and other initial state to a shard that is being started
	stalls      stallDetector
	startMu     sync.Mutex // held while shards are started; taken before all other locks

	routerMu        sync.Mutex // guards the fields below
	router          *shardrouter.Router
	shards          []*shard          // the current incarnation of each shard, by index
	incarnations    map[uint32]*shard // every incarnation of this process's shards, ended ones included
	dispatchPending bool              // a call of dispatchQueued is scheduled
	plannedDispatch float64           // time of the next planned call of dispatchQueued, ms; 0: none is planned
}

func newShardSet(p *process, tenants *tenantHosting) *shardSet {
	siteConfig := p.config.Site
	return &shardSet{
		process: p, tenants: tenants, incarnations: map[uint32]*shard{},
		stalls: stallDetector{interval: min(watchdog.CheckInterval(), siteConfig.AnswerMargin/4)},
		router: shardrouter.New(p.env.Now(), shardrouter.Config{
			JobClasses: siteConfig.Cluster.JobClasses, Placement: shardplacement.Policy(siteConfig.ShardBy), Shards: siteConfig.Shards,
			MaxShards: siteConfig.MaxShards, MaxOpen: siteConfig.MaxOpen, AnswerMargin: siteConfig.AnswerMargin,
			RoundInterval: siteConfig.Cluster.MinRoundInterval, FaultAnyEpoch: p.config.Faults.PermitAnyEpoch, MultiTenant: p.hostsTenants(),
		}),
	}
}

// createShards creates the shards that the site file asks for.
func (s *shardSet) createShards() error {
	var conns *nodeConnections
	for i := range s.config.Site.Shards {
		sh, err := s.newShard(i)
		if err != nil {
			return err
		}
		if i == 0 || s.config.Site.Connections == site.OwnConnections {
			conns = newNodeConnections(s, i)
		}
		sh.connections, s.connections = conns, conns
		sh.connections.attach(sh)
		s.shards = append(s.shards, sh)
		s.incarnations[sh.incarnation] = sh
		s.router.OnShardStarted(s.env.Now(), i, sh.incarnation)
	}
	return nil
}

// epoch returns the router's current epoch.
func (s *shardSet) epoch() uint32 {
	s.routerMu.Lock()
	defer s.routerMu.Unlock()
	return s.router.Epoch()
}

// liveShards returns the shards that have not been stopped.
func (s *shardSet) liveShards() []*shard {
	s.routerMu.Lock()
	defer s.routerMu.Unlock()
	return s.liveShardsLocked()
}

// liveShardsLocked is liveShards for callers that hold routerMu.
func (s *shardSet) liveShardsLocked() (live []*shard) {
	for i, sh := range s.shards {
		if !s.router.IsStopped(i) {
			live = append(live, sh)
		}
	}
	return live
}

// postAll posts an event to every live shard.
func (s *shardSet) postAll(handle func(sh *shard, now float64)) {
	for _, sh := range s.liveShards() {
		sh.post(func(now float64) { handle(sh, now) })
	}
}

// setCapacity tells the router how much capacity the tenants share.
func (s *shardSet) setCapacity(capacity shardrouter.Capacity) {
	s.routerMu.Lock()
	defer s.routerMu.Unlock()
	s.router.OnCapacity(capacity)
}

// setTenants sets the policies of all tenants and returns the rejections of queued requests whose tenants may no longer submit any. load is
// called with routerMu held.
func (s *shardSet) setTenants(load func(now float64) []tenantPolicy) (rejected []shardrouter.Decision) {
	now := s.env.Now()
	s.routerMu.Lock()
	defer s.routerMu.Unlock()
	return s.setPolicies(now, load(now))
}

// setPolicies sets the policies of some tenants and returns the rejections of queued requests whose tenants may no longer submit any. The
// caller holds routerMu.
func (s *shardSet) setPolicies(now float64, policies []tenantPolicy) (rejected []shardrouter.Decision) {
	for _, t := range policies {
		rejected = append(rejected, s.router.SetTenant(now, t.slot, t.policy)...)
	}
	return rejected
}

// checkQuotaLease applies changes of the lease on the tenants' limits, before a request is checked against the limits. It returns the
// rejections of queued requests that follow from it. The caller holds routerMu.
func (s *shardSet) checkQuotaLease(now float64) (rejected []shardrouter.Decision) {
	policies, changed := s.tenants.renewedPolicies(now)
	if !changed {
		return nil
	}
	return s.setPolicies(now, policies)
}

// setQuotaLease sets how many schedulers share the leased part of the limits, and the time in ms at which the lease expires.
func (s *shardSet) setQuotaLease(now float64, sharers int, expiry float64) {
	s.routerMu.Lock()
	s.tenants.setQuotaLease(sharers, expiry)
	rejected := s.checkQuotaLease(now)
	s.dispatchIfFree()
	s.routerMu.Unlock()
	s.rejectAll(rejected)
}

// tenantCount returns how many requests and allocations of a tenant the router holds.
func (s *shardSet) tenantCount(slot int) int {
	s.routerMu.Lock()
	defer s.routerMu.Unlock()
	return s.router.TenantCount(slot)
}

// logQueues logs the state of the tenants' queues.
func (s *shardSet) logQueues() {
	s.routerMu.Lock()
	defer s.routerMu.Unlock()
	longest, waiting := s.router.OldestWait(s.env.Now())
	capacity, held := s.router.FillLevel()
	s.log.Debug().Str("mode", "tenants").Float64("may_fill", capacity).Float64("held", held).Int("open", s.router.Open()).
		Int("waiting", waiting).Float64("longest", longest).Msg("tenant queues")
}
