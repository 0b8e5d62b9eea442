package sim

import (
	"time"

	"ravenpond/internal/decide/fairqueue"
	"ravenpond/internal/decide/tenancy"
	"ravenpond/internal/serve"
	"ravenpond/internal/state/tenants"
)

var _ serve.TenantStore = (*tenantStore)(nil)

// Limits of the simulation's tenants.
const (
	initialMaxWaiting = 200 // requests of a tenant that may wait in the queue
	limitedMaxWaiting = 20  // the same for a tenant that a fault has limited
)

// tokenIDLength is the length of the token ID, which is the beginning of a token, in bytes.
const tokenIDLength = 12

var tenantNames = []string{"a", "b"}

// tokenExpiry is the expiry of all tokens, which is later than the end of any simulation.
var tokenExpiry = time.Date(2100, 1, 1, 0, 0, 0, 0, time.UTC)

// tenantOf returns the tenant of a client. Each client sends requests for one tenant only.
func tenantOf(client int) string { return tenantNames[client%len(tenantNames)] }

// authTokenOf returns the token with which a tenant's clients authenticate.
func authTokenOf(tenant string) string { return "token-" + tenant + "-0000.secret" }

// tenantStore stores a scheduler's tenants. As with the store on disk, they survive restarts of the process. The simulation makes all
// changes, and each change is atomic.
type tenantStore struct {
	env      *environment
	registry *tenancy.Registry
	version  uint64
}

func newTenantStore(e *environment) *tenantStore {
	s := &tenantStore{env: e, registry: tenancy.New(len(e.site.Tenants))}
	for _, name := range tenantNames {
		s.apply(tenancy.Change{Kind: tenancy.Add, Name: name, Limits: tenancy.Limits{Limits: fairqueue.Limits{Share: 1, MaxWaiting: initialMaxWaiting}}})
	}
	return s
}

// apply applies a change, unless the tenant's state forbids it.
func (s *tenantStore) apply(change tenancy.Change) {
	if _, refusal := s.registry.Apply(s.env.clock.now, change); refusal == nil {
		s.version++
	}
}

// Close implements serve.TenantStore.
func (s *tenantStore) Close() error { return nil }

// Fingerprint implements serve.TenantStore.
func (s *tenantStore) Fingerprint() (uint64, error) { return s.version, nil }

// Read implements serve.TenantStore. The program fault, if there is one, changes the tenants that it returns.
func (s *tenantStore) Read() (tenants.State, error) {
	st := tenants.State{Tenants: tenancy.New(s.registry.Slots()), Tokens: map[string]tenants.Token{}, Changes: s.version}
	for _, t := range s.registry.All() {
		if s.env.fault.Tenant != nil {
			s.env.fault.Tenant(&t)
		}
		if err := st.Tenants.Restore(t); err != nil {
			return st, err
		}
		st.Tokens[authTokenOf(t.Name)[:tokenIDLength]] = tenants.Token{Tenant: t.Name, Expires: tokenExpiry}
	}
	return st, nil
}

// TokenVerifier implements serve.TenantStore.
func (s *tenantStore) TokenVerifier(known map[string]tenants.Token) func(time.Time, string) (string, bool) {
	return func(_ time.Time, shown string) (string, bool) {
		if len(shown) < tokenIDLength || shown != authTokenOf(known[shown[:tokenIDLength]].Tenant) {
			return "", false
		}
		return known[shown[:tokenIDLength]].Tenant, true
	}
}

// FinishRemoval implements serve.TenantStore.
func (s *tenantStore) FinishRemoval(_ time.Time, name string) (bool, error) {
	_, ok := s.registry.CompleteRemoval(s.env.clock.now, name)
	if ok {
		s.version++
	}
	return ok, nil
}
