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

// TenantStore stores the hosted tenants. It is opened for one poll at a time, so that the command line and the administration API can change
// it while the process runs.
type TenantStore interface {
	// Fingerprint returns a number that changes with each change of the store.
	Fingerprint() (uint64, error)
	Read() (tenants.State, error)
	TokenVerifier(known map[string]tenants.Token) tokenVerifier
	FinishRemoval(now time.Time, name string) (bool, error)
	Close() error
}

// tokenVerifier returns the tenant of a token. ok is false if the token is not valid at the time now.
type tokenVerifier = func(now time.Time, token string) (tenant string, ok bool)

const (
	// tenantPollInterval is the time between two polls of the tenant store, ms.
	tenantPollInterval = 500
	// recoveryPeriod is the time in ms from the start of an incarnation until all reachable nodes have reported which tasks they hold.
	recoveryPeriod = 20000
	// storeOpenAttempts is how many times a process tries to open a store when it starts. A process that gave up at the first attempt would
	// not come back if it was started while somebody changes the store.
	storeOpenAttempts = 25
)

// tenantHosting holds the hosted tenants, which are added and removed while the process runs: their limits, their tokens, and the remaining
// tasks of those that are being removed. Without hosted tenants it stays empty.
//
// Polls run one at a time, on a timer. mu is a leaf lock: it may be taken while the router's lock is held, and no lock is taken under it.
type tenantHosting struct {
	*process
	shards    *shardSet
	clients   *clientListener
	endpoints *endpointList

	// Only the polls use these fields.
	startedAt   float64 // ms
	lastError   string  // error of the last poll, empty if none; an error that repeats is logged once
	loaded      bool    // whether the store has been read
	fingerprint uint64  // fingerprint of the store when it was last read

	mu         sync.Mutex // guards the fields below
	registry   *tenancy.Registry
	tokens     map[string]tenants.Token
	verify     tokenVerifier             // nil until the store has been read
	remaining  map[int]map[int]taskCount // what shards hold of tenants that are being removed, by tenant slot and shard
	quotaLease quotalease.Lease
}

func newTenantHosting(p *process, endpoints *endpointList) *tenantHosting {
	return &tenantHosting{process: p, endpoints: endpoints, remaining: map[int]map[int]taskCount{}, registry: tenancy.New(p.config.Site.MaxHostedTenants)}
}

// start reads the store and starts to poll it. A damaged store is an error.
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

// openStore opens the store given by the configuration, or else the one in the state folder.
func (h *tenantHosting) openStore() (TenantStore, error) {
	if h.config.Tenants != nil {
		return h.config.Tenants()
	}
	return tenants.Open(h.config.Folder, h.config.Site.MaxHostedTenants)
}

// poll reads the store if it has changed. While that fails, the tenants that were read last stay in effect.
func (h *tenantHosting) poll() {
	failure := ""
	if err := h.read(); err != nil && !errors.Is(err, bolt.ErrLocked) { // ErrLocked: the command line has the store open
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
	defer func() { _ = store.Close() }() // an error loses nothing, as each change was committed by itself
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

// apply applies the content of the store: limits, tenants that may no longer submit requests, and revoked tokens.
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
	h.log.Info().Str("mode", "tenants").Uint64("changes", stored.Changes).Int("active", active).Int("turned_away", len(rejected)).Msg("tenant store read")
	h.disconnectRevoked()
}

// tenantPolicy is how a tenant's requests are treated.
type tenantPolicy struct {
	slot   int
	policy tenancy.Policy
}

// policies returns the policies of all tenants if sharers schedulers share the leased part of the limits. The caller holds mu.
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
	h.log.Info().Str("mode", "tenants").Int("share", sharers).Float64("lends", h.quotaShare(0).LeasedFraction).Msg("shares of tenant limits changed")
	return h.policies(sharers), true
}

// setQuotaLease sets how many schedulers share the leased part of the limits, and the time in ms at which that lease expires.
func (h *tenantHosting) setQuotaLease(sharers int, expiry float64) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.quotaLease.Set(sharers, expiry)
}

// quotaShare returns the share of all limits that this process may use if sharers schedulers share the leased part.
func (h *tenantHosting) quotaShare(sharers int) quotalease.Share {
	share := quotalease.Share{Processes: h.config.Site.Cluster.Schedulers, Index: h.config.Index, Sharers: sharers}
	if h.config.Site.Members.Listen != "" {
		share.LeasedFraction = h.config.Site.Members.LeasedFraction
	}
	return share
}

// leasesQuotas reports whether schedulers lease parts of the tenants' limits to each other.
func (h *tenantHosting) leasesQuotas() bool {
	return h.hostsTenants() && h.quotaShare(0).LeasedFraction > 0
}

// maxDeadline returns how long, in ms, an allocation may be open, which is how long a lease on limits stays in use. It returns 0 if limits
// are not leased.
func (h *tenantHosting) maxDeadline() float64 {
	if !h.leasesQuotas() {
		return 0
	}
	return slices.Max(h.config.Site.Deadlines)
}

// verifier returns the function that checks tokens, or nil until the store has been read.
func (h *tenantHosting) verifier() tokenVerifier {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.verify
}

// tenant returns a tenant as last read from the store.
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
			c.disconnect("token revoked or expired")
		}
	}
}

// evictRemovedTenants evicts the requests and tasks of tenants that are being removed, and finishes the removal of tenants with none left. After
// a restart, nodes may hold tasks that this incarnation does not know, so a removal is finished only after the nodes had time to report them.
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
			h.log.Info().Str("mode", "tenants").Str("tenant", tenant.Name).Msg("tenant removal finished; no requests or tasks of the tenant are left")
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

// setRemaining records what a shard holds of a tenant that is being removed.
func (h *tenantHosting) setRemaining(slot, shard int, left taskCount) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.remaining[slot] == nil {
		h.remaining[slot] = map[int]taskCount{}
	}
	h.remaining[slot][shard] = left
}

// noneRemaining reports whether the last count of each shard found nothing of a tenant.
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
