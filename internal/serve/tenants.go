package serve

import (
	"context"
	"errors"
	"slices"
	"sync"
	"time"

	"ravenpond/internal/decide/connadmission"
	"ravenpond/internal/decide/quotalease"
	"ravenpond/internal/decide/tenancy"
	"ravenpond/internal/state/bolt"
	"ravenpond/internal/state/tenants"
)

// TenantStore says which tenants there are. It is opened for one poll at a time, so that the command line and the administration can
// change it while the process runs.
type TenantStore interface {
	// Fingerprint differs after each change.
	Fingerprint() (uint64, error)
	Read() (tenants.State, error)
	TokenVerifier(known map[string]tenants.Token) tokenVerifier
	FinishRemoval(now time.Time, name string) (bool, error)
	Close() error
}

// tokenVerifier returns the tenant of a token that is valid at a time.
type tokenVerifier = func(now time.Time, token string) (tenant string, ok bool)

const (
	// tenantPollInterval is the time between two polls of the store, ms.
	tenantPollInterval = 500
	// recoveryPeriod is after how many ms of an incarnation all nodes that are reachable have reported what they hold.
	recoveryPeriod = 20000
	// storeOpenAttempts is how often a store is tried at a start. A process that gave up at once would not come back when it is started
	// while somebody changes something.
	storeOpenAttempts = 25
)

// tenantHosting knows the tenants where they come and go: their limits, their tokens, and what is left of those that are being removed.
// Without hosted tenants it stays empty.
//
// The polls run one at a time, on a timer. mu is a leaf: it may be taken with the router's lock held, and no lock is taken under it.
type tenantHosting struct {
	*process
	shards    *shardSet
	clients   *clientListener
	endpoints *endpointList

	// The polls alone use these.
	startedAt   float64
	lastError   string // of the last poll, so that one that stays is logged once
	loaded      bool
	fingerprint uint64 // of the store when it was last read

	mu         sync.Mutex // guards the fields below
	registry   *tenancy.Registry
	tokens     map[string]tenants.Token
	verify     tokenVerifier             // nil until the store was read
	remaining  map[int]map[int]taskCount // what shards hold of tenants that are being removed, by slot and shard
	quotaLease quotalease.Lease
}

func newTenantHosting(p *process, endpoints *endpointList) *tenantHosting {
	return &tenantHosting{process: p, endpoints: endpoints, remaining: map[int]map[int]taskCount{}, registry: tenancy.New(p.config.Site.MaxHostedTenants)}
}

// start reads the store, and polls it from now on. A damaged store is an error.
func (h *tenantHosting) start() error {
	if !h.hostsTenants() {
		return nil
	}
	h.startedAt = h.env.Now()
	if err := bolt.RetryWhileLocked(context.Background(), storeOpenAttempts, h.read); err != nil {
		return err
	}
	h.every(tenantPollInterval, func() {
		h.poll()
		h.clients.disconnectUnauthenticated()
	})
	return nil
}

// openStore opens the store of the configuration, else that in the state folder.
func (h *tenantHosting) openStore() (TenantStore, error) {
	if h.config.Tenants != nil {
		return h.config.Tenants()
	}
	return tenants.Open(h.config.Folder, h.config.Site.MaxHostedTenants)
}

// poll reads the store if it has changed. While that fails, what was read last holds.
func (h *tenantHosting) poll() {
	failure := ""
	if err := h.read(); err != nil && !errors.Is(err, bolt.ErrLocked) { // the command line has the store just now
		failure = err.Error()
	}
	if failure != "" && failure != h.lastError {
		h.log.Error().Str("mode", "tenants").Msg(failure)
	}
	h.lastError = failure
}

func (h *tenantHosting) read() error {
	store, err := h.openStore()
	if err != nil {
		return err
	}
	defer func() { _ = store.Close() }() // each change was committed by itself
	fingerprint, err := store.Fingerprint()
	if err != nil {
		return err
	}
	if !h.loaded || fingerprint != h.fingerprint {
		stored, err := store.Read()
		if err != nil {
			return err
		}
		h.fingerprint, h.loaded = fingerprint, true
		h.apply(stored, store.TokenVerifier(stored.Tokens))
	}
	h.shards.setCapacity(h.endpoints.capacity())
	h.diagnostics.Do("lines", h.shards.logQueues)
	return h.evictRemovedTenants(store)
}

// apply takes over what the store says: limits, tenants that may submit nothing any more, tokens that were revoked.
func (h *tenantHosting) apply(stored tenants.State, verify tokenVerifier) {
	limits := map[int]connadmission.Limits{}
	active := 0
	rejected := h.shards.setTenants(func(now float64) []tenantPolicy {
		h.mu.Lock()
		defer h.mu.Unlock()
		h.registry, h.tokens, h.verify = stored.Tenants, stored.Tokens, verify
		sharers, _ := h.quotaLease.Current(now)
		for _, tenant := range stored.Tenants.All() {
			if limits[tenant.Slot] = tenant.PolicyFor(h.quotaShare(sharers)).Connections; tenant.State == tenancy.Removed {
				limits[tenant.Slot] = connadmission.Limits{}
			}
			if tenant.State == tenancy.Active {
				active++
			}
		}
		return h.policies(sharers)
	})
	h.clients.setLimits(limits)
	h.shards.rejectAll(rejected)
	h.log.Info().Str("mode", "tenants").Uint64("changes", stored.Changes).Int("active", active).Int("turned_away", len(rejected)).Msg("tenants read")
	h.disconnectRevoked()
}

// tenantPolicy is how a tenant's requests are treated.
type tenantPolicy struct {
	slot   int
	policy tenancy.Policy
}

// policies returns the policies of all tenants where the leased part of their limits is shared by so many. The caller holds mu.
func (h *tenantHosting) policies(sharers int) (policies []tenantPolicy) {
	for _, tenant := range h.registry.All() {
		policies = append(policies, tenantPolicy{tenant.Slot, tenant.PolicyFor(h.quotaShare(sharers))})
	}
	return policies
}

// renewedPolicies returns the policies of all tenants if the lease on their limits began, ended or changed since the last call.
func (h *tenantHosting) renewedPolicies(now float64) (policies []tenantPolicy, changed bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	sharers, changed := h.quotaLease.Current(now)
	if !changed {
		return nil, false
	}
	h.log.Info().Str("mode", "tenants").Int("share", sharers).Float64("lends", h.quotaShare(0).LeasedFraction).Msg("limits")
	return h.policies(sharers), true
}

// setQuotaLease takes over how many share the leased part of the limits, and until when, ms.
func (h *tenantHosting) setQuotaLease(sharers int, expiry float64) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.quotaLease.Set(sharers, expiry)
}

// quotaShare returns the share of all limits that this process may use where so many share the leased part.
func (h *tenantHosting) quotaShare(sharers int) quotalease.Share {
	share := quotalease.Share{Places: h.config.Site.Cluster.Schedulers, Index: h.config.Index, Sharers: sharers}
	if h.config.Site.Members.Listen != "" {
		share.LeasedFraction = h.config.Site.Members.LeasedPart
	}
	return share
}

// leasesQuotas reports whether schedulers lease parts of the tenants' limits to each other.
func (h *tenantHosting) leasesQuotas() bool {
	return h.hostsTenants() && h.quotaShare(0).LeasedFraction > 0
}

// maxDeadline returns how long, in ms, an allocation may be open where limits are leased: for so long a lease stays in use. It returns 0
// where they are not.
func (h *tenantHosting) maxDeadline() float64 {
	if !h.leasesQuotas() {
		return 0
	}
	return slices.Max(h.config.Site.Deadlines)
}

// verifier returns the function that checks tokens, nil until the store was read.
func (h *tenantHosting) verifier() tokenVerifier {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.verify
}

// tenant returns a tenant as it was last read.
func (h *tenantHosting) tenant(name string) (tenancy.Tenant, bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.registry.Get(name)
}

// disconnectRevoked closes connections whose token was revoked or has expired.
func (h *tenantHosting) disconnectRevoked() {
	now := h.env.WallClock()
	for _, c := range h.clients.connected() {
		id := c.authenticatedBy()
		if id == "" {
			continue
		}
		h.mu.Lock()
		token, ok := h.tokens[id]
		h.mu.Unlock()
		if !ok || !now.Before(token.Expires) {
			c.disconnect("its token is not good any more")
		}
	}
}

// evictRemovedTenants ends what there is of tenants that are being removed, and the removal where nothing is left. After a restart nodes may hold
// what this incarnation does not know: a removal ends only when they had time to report it.
func (h *tenantHosting) evictRemovedTenants(store TenantStore) error {
	now := h.env.Now()
	shards := h.shards.liveShards()
	h.mu.Lock()
	all := h.registry.All()
	h.mu.Unlock()
	for _, tenant := range all {
		if tenant.State != tenancy.Removing {
			continue
		}
		if h.noneRemaining(tenant.Slot, shards) && h.shards.tenantCount(tenant.Slot) == 0 && now-h.startedAt > recoveryPeriod {
			if _, err := store.FinishRemoval(h.env.WallClock(), tenant.Name); err != nil {
				return err
			}
			h.log.Info().Str("mode", "tenants").Str("tenant", tenant.Name).Msg("removed: nothing is left of it")
			continue
		}
		for _, sh := range shards {
			sh.post(func(now float64) {
				left := sh.engine.EvictTenant(now, tenant.Slot, tenant.Removal == tenancy.StopRunning)
				h.setRemaining(tenant.Slot, sh.index, taskCount{incarnation: sh.incarnation, all: left})
			})
		}
	}
	return nil
}

// setRemaining notes what a shard holds of a tenant that is being removed.
func (h *tenantHosting) setRemaining(slot, shard int, left taskCount) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.remaining[slot] == nil {
		h.remaining[slot] = map[int]taskCount{}
	}
	h.remaining[slot][shard] = left
}

// noneRemaining reports whether no shard held anything of a tenant when it was last counted.
func (h *tenantHosting) noneRemaining(slot int, shards []*shard) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, sh := range shards {
		counts, ok := h.remaining[slot][sh.index]
		if !ok || counts.incarnation != sh.incarnation || counts.all > 0 || sh.fenced.Load() {
			return false
		}
	}
	return true
}
