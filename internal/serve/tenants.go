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
		st, err := store.Read()
		if err != nil {
			return err
		}
		s.hosting.storeStamp = stamp
		s.applyTenants(st, store.TokenVerifier(st.Tokens))
	}
	s.updateCapacity()
	s.diagnostics.Do("lines", func() {
		s.routerMu.Lock()
		defer s.routerMu.Unlock()
		ms, waiting := s.router.OldestWait(s.env.Now())
		may, held := s.router.FillLevel()
		s.log.Debug().Str("mode", "tenants").Float64("may_fill", may).Float64("held", held).Int("open", s.router.Open()).Int("waiting", waiting).Float64("longest", ms).Msg("lines")
	})
	return s.evictRemoved(store)
}

// applyTenants takes what the store says now: limits, who takes nothing any more, whose token is gone.
func (s *Server) applyTenants(st tenants.State, verify func(time.Time, string) (string, bool)) {
	now := s.env.Now()
	s.routerMu.Lock()
	c := &s.hosting
	c.loaded, c.tenants, c.tokens, c.verify = true, st.Tenants, st.Tokens, verify
	active := 0
	doors := map[int]connadmission.Limits{}
	sharers, _ := c.quotaLease.Current(now)
	for _, t := range st.Tenants.All() {
		if doors[t.Slot] = t.PolicyFor(s.quotaShare(sharers)).Connections; t.State == tenancy.Removed {
			doors[t.Slot] = connadmission.Limits{}
		}
		if t.State == tenancy.Active {
			active++
		}
	}
	declined := s.setTenantLimits(now, sharers)
	s.routerMu.Unlock()
	s.mu.Lock()
	for slot, l := range doors {
		s.admission.SetLimits(slot, l)
	}
	s.mu.Unlock()
	s.rejectAll(declined)
	s.log.Info().Str("mode", "tenants").Uint64("changes", st.Changes).Int("active", active).Int("turned_away", len(declined)).Msg("tenants read")
	s.disconnectRevoked()
}

// quotaShare is what this process may use of all limits where so many share what is lent of them.
func (s *Server) quotaShare(sharers int) quotalease.Share {
	p := quotalease.Share{Places: s.config.Site.Cluster.Schedulers, Index: s.config.Index, Sharers: sharers}
	if s.config.Site.Members.Listen != "" {
		p.LeasedFraction = s.config.Site.Members.LeasedPart
	}
	return p
}

// setTenantLimits sets all tenants' limits by that part, and gives what waits of those that take nothing any more; under the desk.
func (s *Server) setTenantLimits(now float64, sharers int) (declined []shardrouter.Decision) {
	for _, t := range s.hosting.tenants.All() {
		declined = append(declined, s.router.SetTenant(now, t.Slot, t.PolicyFor(s.quotaShare(sharers)))...)
	}
	return declined
}

// checkQuotaLease holds the lease on what is lent of limits against the clock, before anything passes by them; under the desk.
func (s *Server) checkQuotaLease(now float64) (declined []shardrouter.Decision) {
	sharers, turned := s.hosting.quotaLease.Current(now)
	if !turned {
		return nil
	}
	s.log.Info().Str("mode", "tenants").Int("share", sharers).Float64("lends", s.quotaShare(0).LeasedFraction).Msg("limits")
	return s.setTenantLimits(now, sharers)
}

// longestDeadline is the longest that an allocation may be open where limits are lent, ms: for so long what was lent stays in use.
func (s *Server) longestDeadline() float64 { return slices.Max(s.config.Site.Deadlines) }

func (s *Server) leasesQuotas() bool { return s.hostsTenants() && s.quotaShare(0).LeasedFraction > 0 }

func (s *Server) rejectAll(declined []shardrouter.Decision) {
	for _, e := range declined {
		s.deliver(s.requester(e), e, nil)
	}
}

// disconnectRevoked ends connections whose token is not good any more, by the store or by time.
func (s *Server) disconnectRevoked() {
	now := s.env.WallClock()
	for _, o := range s.connectedClients() {
		o.mu.Lock()
		id := o.tokenID
		o.mu.Unlock()
		if id == "" {
			continue
		}
		s.routerMu.Lock()
		k, ok := s.hosting.tokens[id]
		s.routerMu.Unlock()
		if !ok || !now.Before(k.Expires) {
			o.disconnect("its token is not good any more")
		}
	}
}

// updateCapacity tells the desk how much there is to share, by the list: of nodes that take work, as far as they may be asked for.
func (s *Server) updateCapacity() {
	cl := &s.config.Site.Cluster
	var all, unasked shardrouter.Resources
	s.mu.Lock()
	for _, en := range s.list.Entries() {
		kind := slices.Index(s.config.Site.MachineKinds, en.Kind)
		if kind < 0 || en.Avail != 1 {
			continue
		}
		cores, memory := cl.KindCores[kind]*cl.CoresOvercommit, cl.KindMemory[kind]*cl.MemoryOvercommit
		all.Cores, all.Memory = all.Cores+cores, all.Memory+memory
		if cl.ListsReportLoad { // what the list says is free is of the machine, not of what may be asked for
			cores, memory = cores-cl.KindCores[kind]+en.FreeCores, memory-cl.KindMemory[kind]+en.FreeMemory
		}
		unasked.Cores, unasked.Memory = unasked.Cores+max(0, cores), unasked.Memory+max(0, memory)
	}
	s.mu.Unlock()
	s.routerMu.Lock()
	s.router.OnCapacity(all, unasked, cl.ListsReportLoad)
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
	for _, t := range removing {
		if t.State != tenancy.Removing {
			continue
		}
		if s.holdsNothingOf(t.Slot, shards) && now-s.hosting.startedAt > recoveryPeriod {
			if _, err := store.FinishRemoval(s.env.WallClock(), t.Name); err != nil {
				return err
			}
			s.log.Info().Str("mode", "tenants").Str("tenant", t.Name).Msg("removed: nothing is left of it")
			continue
		}
		for _, sh := range shards {
			sh.post(func(now float64) {
				n := sh.engine.EvictTenant(now, t.Slot, t.Removal == tenancy.StopRunning)
				s.routerMu.Lock()
				if s.hosting.remaining[t.Slot] == nil {
					s.hosting.remaining[t.Slot] = map[int]taskCount{}
				}
				s.hosting.remaining[t.Slot][sh.index] = taskCount{incarnation: sh.incarnation, all: n}
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
		if c, ok := s.hosting.remaining[slot][sh.index]; !ok || c.incarnation != sh.incarnation || c.all > 0 || sh.fenced.Load() {
			return false
		}
	}
	return s.router.TenantCount(slot) == 0
}

// requester gives who asked. One that is gone has nothing to be told; the shard finds that out by itself.
func (s *Server) requester(e shardrouter.Decision) *clientConn {
	if o := s.clientByID(e.Request.Client); o != nil {
		return o
	}
	return &clientConn{server: s, closed: true, requests: map[uint64]request{}}
}

// deliver has an ask go to the shard that the desk gave it to, or answers it. The shard is the one that entered gave, under the same
// hold of the desk: a later life of it knows nothing of the epoch.
func (s *Server) deliver(o *clientConn, e shardrouter.Decision, sh *shard) {
	a := e.Request
	switch {
	case e.Queued:
		return
	case e.Reason != "" && s.env.Now() >= a.Deadline: // it stood still: its owner has given up by itself
		o.closeRequest(a.Ref)
		return
	case e.Reason != "":
		o.sendAnswer(a.Ref, engine.Declined, 0, e.Reason, e.RetryAfter)
		return
	}
	s.submit(o, sh, e)
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
	all := append(s.checkQuotaLease(now), s.router.Dequeue(now, s.queueState(now))...)
	to, owners := make([]*shard, len(all)), make([]*clientConn, len(all))
	for i, e := range all {
		owners[i] = s.requester(e)
		to[i] = s.recordRoute(owners[i], e)
	}
	due := s.router.Due(now)
	c := &s.hosting
	plan := due < now+pumpHorizon && (c.plannedPump == 0 || due < c.plannedPump)
	if plan {
		c.plannedPump = due
	}
	s.routerMu.Unlock()
	for i, e := range all {
		s.deliver(owners[i], e, to[i])
	}
	if plan { // one plan at a time, or each call would bring another
		s.env.After(max(1, due-now), func() {
			s.routerMu.Lock()
			if c.plannedPump == due {
				c.plannedPump = 0
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
func (s *Server) recordRoute(o *clientConn, e shardrouter.Decision) *shard {
	if e.Queued || e.Reason != "" {
		return nil
	}
	if e.Epoch > 0 {
		s.shards[e.Shard].queuedRequests.Add(1)
	}
	o.setShard(e.Request.Ref, e.Shard)
	return s.shards[e.Shard]
}

// pumpIfFree has asks go on when there is room for one; under the desk.
func (s *Server) pumpIfFree() {
	if !s.hosting.pumping && s.router.MayDequeue(s.env.Now()) {
		s.hosting.pumping = true
		s.async(s.pump)
	}
}

// submit tells a shard of an ask.
func (s *Server) submit(o *clientConn, sh *shard, e shardrouter.Decision) {
	a, name := e.Request, e.ID
	ok := sh.post(func(now float64) {
		if e.Epoch > 0 {
			sh.roundRequests++
		}
		err := sh.engine.Allocate(now, a.Client, a.Ref, a.JobClass, name.Tenant, a.Service, name.Token, a.Cores, a.Memory,
			a.Deadline-now, s.currentEpoch(name, sh, e.Epoch))
		if err != nil && !sh.fenced.Load() { // the door lets no ref in twice: it was moved here by a fence
			o.sendAnswer(a.Ref, engine.Declined, 0, "open-already", 0)
		}
		if s.clientByID(a.Client) == nil && s.hostsTenants() { // it waited in a line, and its owner has left meanwhile
			sh.engine.OnClientDisconnected(now, a.Client)
		}
	})
	if !ok && e.Epoch == 0 { // the shard was fenced a moment ago; what was taken for it, its fence has answered or moved
		o.sendAnswer(a.Ref, engine.Declined, 0, "shard-fenced", 0)
	}
}

// cancelQueued answers an ask that waits for its turn as its owner gives it up; false if it does not wait.
func (s *Server) cancelQueued(o *clientConn, ref uint64) bool {
	s.routerMu.Lock()
	ok := s.router.Withdraw(o.id, ref)
	s.routerMu.Unlock()
	if ok {
		o.sendAnswer(ref, engine.Declined, 0, "withdrawn", 0)
	}
	return ok
}
