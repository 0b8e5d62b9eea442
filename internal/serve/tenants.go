package serve

import (
	"context"
	"errors"
	"slices"
	"time"

	"github.com/creachadair/jrpc2"

	"ravenpond/internal/decide/connadmission"
	"ravenpond/internal/decide/quotalease"
	"ravenpond/internal/decide/shardrouter"
	"ravenpond/internal/decide/tenancy"
	"ravenpond/internal/engine"
	"ravenpond/internal/state/bolt"
	"ravenpond/internal/state/tenants"
)

// Where tenants come and go, the store in the state folder says who they are. It is opened for a look at a time, so that
// the command line and the administration can change it while the process runs.

// TenantStore is that store.
type TenantStore interface {
	Fingerprint() (uint64, error)
	Read() (tenants.State, error)
	TokenVerifier(known map[string]tenants.Token) func(now time.Time, shown string) (tenant string, ok bool)
	FinishRemoval(now time.Time, name string) (bool, error)
	Close() error
}

// Times in ms.
const (
	tenantPollInterval = 500
	recoveryPeriod     = 20000 // of a life, after which nodes have told what they hold, but for those that are away
)

// tenantHosting is what is known of the tenants; under the desk.
type tenantHosting struct {
	loaded      bool
	storeStamp  uint64
	tenants     *tenancy.Registry
	tokens      map[string]tenants.Token
	verify      func(now time.Time, shown string) (tenant string, ok bool)
	remaining   map[int]map[int]taskCount // by slot of those that are removed, and shard: what is left there
	startedAt   float64
	lastFault   string
	pumping     bool
	plannedPump float64 // when lines are looked at again, 0: no plan
	quotaLease  quotalease.Lease
}

// errNotAllowed says nothing more to who may not.
var errNotAllowed = jrpc2.Errorf(jrpc2.Code(-32001), "not allowed")

// errTooManyConnections is told to who has shown a good token.
var errTooManyConnections = jrpc2.Errorf(jrpc2.Code(-32002), "as many connections as may be")

func (s *Server) hostsTenants() bool { return s.config.Site.MaxHostedTenants > 0 }

// startTenants looks at the store from now on.
func (s *Server) startTenants() error {
	if !s.hostsTenants() {
		return nil
	}
	s.admission = connadmission.New(s.config.Site.MaxClients)
	s.hosting.startedAt, s.hosting.remaining, s.hosting.tenants = s.env.Now(), map[int]map[int]taskCount{}, tenancy.New(s.config.Site.MaxHostedTenants)
	if s.config.Tenants == nil {
		s.config.Tenants = func() (TenantStore, error) { return tenants.Open(s.config.Folder, s.config.Site.MaxHostedTenants) }
	}
	if err := bolt.RetryWhileLocked(context.Background(), storeOpenAttempts, s.readTenants); err != nil { // a store that is damaged is to be seen at the start
		return err
	}
	s.every(tenantPollInterval, func() {
		s.pollTenants()
		s.disconnectUnauthenticated()
	})
	return nil
}

// storeOpenAttempts is how often a store is tried at a start: a process that gave up at once would not come back if it is started while
// somebody changes something.
const storeOpenAttempts = 25

// pollTenants looks once and logs a fault when it is a new one; what was known holds meanwhile.
func (s *Server) pollTenants() {
	fault := ""
	if err := s.readTenants(); err != nil && !errors.Is(err, bolt.ErrLocked) {
		fault = err.Error()
	}
	if fault != "" && fault != s.hosting.lastFault {
		s.log.Error().Str("mode", "tenants").Msg(fault)
	}
	s.hosting.lastFault = fault
}

func (s *Server) readTenants() error {
	store, err := s.config.Tenants()
	if err != nil {
		return err
	}
	defer store.Close()
	stamp, err := store.Fingerprint()
	if err != nil {
		return err
	}
	if !s.hosting.loaded || stamp != s.hosting.storeStamp {
		stored, err := store.Read()
		if err != nil {
			return err
		}
		s.hosting.storeStamp = stamp
		s.applyTenants(stored, store.TokenVerifier(stored.Tokens))
	}
	s.updateCapacity()
	s.diagnostics.Do("lines", func() {
		s.routerMu.Lock()
		defer s.routerMu.Unlock()
		ms, waiting := s.router.OldestWait(s.env.Now())
		capacity, held := s.router.FillLevel()
		s.log.Debug().Str("mode", "tenants").Float64("may_fill", capacity).Float64("held", held).Int("open", s.router.Open()).Int("waiting", waiting).Float64("longest", ms).Msg("lines")
	})
	return s.evictRemoved(store)
}

// applyTenants takes what the store says now: limits, who takes nothing any more, whose token is gone.
func (s *Server) applyTenants(stored tenants.State, verify func(time.Time, string) (string, bool)) {
	now := s.env.Now()
	s.routerMu.Lock()
	h := &s.hosting
	h.loaded, h.tenants, h.tokens, h.verify = true, stored.Tenants, stored.Tokens, verify
	active := 0
	limits := map[int]connadmission.Limits{}
	sharers, _ := h.quotaLease.Current(now)
	for _, tenant := range stored.Tenants.All() {
		if limits[tenant.Slot] = tenant.PolicyFor(s.quotaShare(sharers)).Connections; tenant.State == tenancy.Removed {
			limits[tenant.Slot] = connadmission.Limits{}
		}
		if tenant.State == tenancy.Active {
			active++
		}
	}
	rejected := s.setTenantLimits(now, sharers)
	s.routerMu.Unlock()
	s.mu.Lock()
	for slot, limit := range limits {
		s.admission.SetLimits(slot, limit)
	}
	s.mu.Unlock()
	s.rejectAll(rejected)
	s.log.Info().Str("mode", "tenants").Uint64("changes", stored.Changes).Int("active", active).Int("turned_away", len(rejected)).Msg("tenants read")
	s.disconnectRevoked()
}

// quotaShare is what this process may use of all limits where so many share what is lent of them.
func (s *Server) quotaShare(sharers int) quotalease.Share {
	share := quotalease.Share{Places: s.config.Site.Cluster.Schedulers, Index: s.config.Index, Sharers: sharers}
	if s.config.Site.Members.Listen != "" {
		share.LeasedFraction = s.config.Site.Members.LeasedPart
	}
	return share
}

// setTenantLimits sets all tenants' limits by that part, and gives what waits of those that take nothing any more; under the desk.
func (s *Server) setTenantLimits(now float64, sharers int) (rejected []shardrouter.Decision) {
	for _, tenant := range s.hosting.tenants.All() {
		rejected = append(rejected, s.router.SetTenant(now, tenant.Slot, tenant.PolicyFor(s.quotaShare(sharers)))...)
	}
	return rejected
}

// checkQuotaLease holds the lease on what is lent of limits against the clock, before anything passes by them; under the desk.
func (s *Server) checkQuotaLease(now float64) (rejected []shardrouter.Decision) {
	sharers, changed := s.hosting.quotaLease.Current(now)
	if !changed {
		return nil
	}
	s.log.Info().Str("mode", "tenants").Int("share", sharers).Float64("lends", s.quotaShare(0).LeasedFraction).Msg("limits")
	return s.setTenantLimits(now, sharers)
}

// longestDeadline is the longest that an allocation may be open where limits are lent, ms: for so long what was lent stays in use.
func (s *Server) longestDeadline() float64 { return slices.Max(s.config.Site.Deadlines) }

func (s *Server) leasesQuotas() bool { return s.hostsTenants() && s.quotaShare(0).LeasedFraction > 0 }

func (s *Server) rejectAll(rejected []shardrouter.Decision) {
	for _, entry := range rejected {
		s.deliver(s.requester(entry), entry, nil)
	}
}

// disconnectRevoked ends connections whose token is not good any more, by the store or by time.
func (s *Server) disconnectRevoked() {
	now := s.env.WallClock()
	for _, c := range s.connectedClients() {
		c.mu.Lock()
		id := c.tokenID
		c.mu.Unlock()
		if id == "" {
			continue
		}
		s.routerMu.Lock()
		token, ok := s.hosting.tokens[id]
		s.routerMu.Unlock()
		if !ok || !now.Before(token.Expires) {
			c.disconnect("its token is not good any more")
		}
	}
}

// updateCapacity tells the desk how much there is to share, by the list: of nodes that take work, as far as they may be asked for.
func (s *Server) updateCapacity() {
	cluster := &s.config.Site.Cluster
	var total, free shardrouter.Resources
	s.mu.Lock()
	for _, entry := range s.list.Entries() {
		kind := slices.Index(s.config.Site.MachineKinds, entry.Kind)
		if kind < 0 || entry.Avail != 1 {
			continue
		}
		cores, memory := cluster.KindCores[kind]*cluster.CoresOvercommit, cluster.KindMemory[kind]*cluster.MemoryOvercommit
		total.Cores, total.Memory = total.Cores+cores, total.Memory+memory
		if cluster.ListsReportLoad { // what the list says is free is of the machine, not of what may be asked for
			cores, memory = cores-cluster.KindCores[kind]+entry.FreeCores, memory-cluster.KindMemory[kind]+entry.FreeMemory
		}
		free.Cores, free.Memory = free.Cores+max(0, cores), free.Memory+max(0, memory)
	}
	s.mu.Unlock()
	s.routerMu.Lock()
	s.router.OnCapacity(shardrouter.Capacity{Total: total, Free: free, KnowsFree: cluster.ListsReportLoad})
	s.routerMu.Unlock()
}

// evictRemoved ends what there is of tenants that are being removed, and the removal where nothing is left. After a restart nodes
// may hold what this life has not heard of: a removal ends only when they had time to tell.
func (s *Server) evictRemoved(store TenantStore) error {
	now := s.env.Now()
	s.routerMu.Lock()
	shards := s.liveShardsLocked()
	removing := s.hosting.tenants.All()
	s.routerMu.Unlock()
	for _, tenant := range removing {
		if tenant.State != tenancy.Removing {
			continue
		}
		if s.holdsNothingOf(tenant.Slot, shards) && now-s.hosting.startedAt > recoveryPeriod {
			if _, err := store.FinishRemoval(s.env.WallClock(), tenant.Name); err != nil {
				return err
			}
			s.log.Info().Str("mode", "tenants").Str("tenant", tenant.Name).Msg("removed: nothing is left of it")
			continue
		}
		for _, sh := range shards {
			sh.post(func(now float64) {
				remaining := sh.engine.EvictTenant(now, tenant.Slot, tenant.Removal == tenancy.StopRunning)
				s.routerMu.Lock()
				if s.hosting.remaining[tenant.Slot] == nil {
					s.hosting.remaining[tenant.Slot] = map[int]taskCount{}
				}
				s.hosting.remaining[tenant.Slot][sh.index] = taskCount{incarnation: sh.incarnation, all: remaining}
				s.routerMu.Unlock()
			})
		}
	}
	return nil
}

// holdsNothingOf tells whether no shard holds anything of a tenant, as last counted.
func (s *Server) holdsNothingOf(slot int, shards []*shard) bool {
	s.routerMu.Lock()
	defer s.routerMu.Unlock()
	for _, sh := range shards {
		if counts, ok := s.hosting.remaining[slot][sh.index]; !ok || counts.incarnation != sh.incarnation || counts.all > 0 || sh.fenced.Load() {
			return false
		}
	}
	return s.router.TenantCount(slot) == 0
}

// requester gives who asked. One that is gone has nothing to be told; the shard finds that out by itself.
func (s *Server) requester(entry shardrouter.Decision) *clientConn {
	if c := s.clientByID(entry.Request.Client); c != nil {
		return c
	}
	return &clientConn{server: s, closed: true, requests: map[uint64]request{}}
}

// deliver has an ask go to the shard that the desk gave it to, or answers it. The shard is the one that entered gave, under the same
// hold of the desk: a later life of it knows nothing of the epoch.
func (s *Server) deliver(c *clientConn, entry shardrouter.Decision, sh *shard) {
	ask := entry.Request
	switch {
	case entry.Queued:
		return
	case entry.IsRejected() && s.env.Now() >= ask.Deadline: // it stood still: its owner has given up by itself
		c.closeRequest(ask.Ref)
		return
	case entry.IsRejected():
		c.sendAnswer(ask.Ref, engine.Answer{Kind: engine.Declined, Reason: engine.AnswerReason(entry.Reason.String()), RetryAfter: entry.RetryAfter})
		return
	}
	s.submit(c, sh, entry)
}

// queueState tells the desk of a shard's queue; under the desk.
func (s *Server) queueState(now float64) shardrouter.ShardLoad {
	return func(shard int) (float64, int) {
		sh := s.shards[shard]
		return sh.inbox.stalledFor(now), int(sh.queuedRequests.Load())
	}
}

// pump lets asks go on whose turn has come.
func (s *Server) pump() {
	now := s.env.Now()
	s.routerMu.Lock()
	s.hosting.pumping = false
	entries := append(s.checkQuotaLease(now), s.router.Dequeue(now, s.queueState(now))...)
	shards, clients := make([]*shard, len(entries)), make([]*clientConn, len(entries))
	for i, entry := range entries {
		clients[i] = s.requester(entry)
		shards[i] = s.recordRoute(clients[i], entry)
	}
	due := s.router.Due(now)
	h := &s.hosting
	plan := due < now+pumpHorizon && (h.plannedPump == 0 || due < h.plannedPump)
	if plan {
		h.plannedPump = due
	}
	s.routerMu.Unlock()
	for i, entry := range entries {
		s.deliver(clients[i], entry, shards[i])
	}
	if plan { // one plan at a time, or each call would bring another
		s.env.After(max(1, due-now), func() {
			s.routerMu.Lock()
			if h.plannedPump == due {
				h.plannedPump = 0
			}
			s.routerMu.Unlock()
			s.pump()
		})
	}
}

// pumpSoon is how far ahead, in ms, a call is planned; what is due later finds another occasion.
const (
	pumpHorizon  = 200
	pumpInterval = 100
)

// recordRoute notes where an ask went, and gives the shard; under the desk.
func (s *Server) recordRoute(c *clientConn, entry shardrouter.Decision) *shard {
	if entry.Queued || entry.IsRejected() {
		return nil
	}
	if entry.Epoch > 0 {
		s.shards[entry.Shard].queuedRequests.Add(1)
	}
	c.setShard(entry.Request.Ref, entry.Shard)
	return s.shards[entry.Shard]
}

// pumpIfFree has asks go on when there is room for one; under the desk.
func (s *Server) pumpIfFree() {
	if !s.hosting.pumping && s.router.MayDequeue(s.env.Now()) {
		s.hosting.pumping = true
		s.async(s.pump)
	}
}

// submit tells a shard of an ask.
func (s *Server) submit(c *clientConn, sh *shard, entry shardrouter.Decision) {
	ask, name := entry.Request, entry.ID
	ok := sh.post(func(now float64) {
		if entry.Epoch > 0 {
			sh.roundRequests++
		}
		err := sh.engine.Allocate(now, engine.Request{
			ID: requestID(&ask), Task: taskOf(name, &ask), TimeLeft: ask.Deadline - now, Epoch: s.currentEpoch(name, sh, entry.Epoch),
		})
		if err != nil && !sh.fenced.Load() { // the door lets no ref in twice: it was moved here by a fence
			c.sendAnswer(ask.Ref, engine.Answer{Kind: engine.Declined, Reason: engine.ReasonAlreadyOpen})
		}
		if s.clientByID(ask.Client) == nil && s.hostsTenants() { // it waited in a line, and its owner has left meanwhile
			sh.engine.OnClientDisconnected(now, ask.Client)
		}
	})
	if !ok && entry.Epoch == 0 { // the shard was fenced a moment ago; what was taken for it, its fence has answered or moved
		c.sendAnswer(ask.Ref, engine.Answer{Kind: engine.Declined, Reason: reasonShardFenced})
	}
}

// cancelQueued answers an ask that waits for its turn as its owner gives it up; false if it does not wait.
func (s *Server) cancelQueued(c *clientConn, ref uint64) bool {
	s.routerMu.Lock()
	ok := s.router.Withdraw(c.id, ref)
	s.routerMu.Unlock()
	if ok {
		c.sendAnswer(ref, engine.Answer{Kind: engine.Declined, Reason: engine.ReasonWithdrawn})
	}
	return ok
}
