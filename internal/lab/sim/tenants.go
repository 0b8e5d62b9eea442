package sim

import (
	"fmt"
	"math"
	"slices"
	"strings"
	"time"

	"ravenpond/internal/audit"
	"ravenpond/internal/decide/fairqueue"
	"ravenpond/internal/decide/tenancy"
	"ravenpond/internal/serve"
	"ravenpond/internal/state/tenants"
)

const (
	changeStagger = 150  // ms between two schedulers' word of a change
	changeDelay   = 1500 // ms in which one that runs has taken it up
	stopDelay     = 1200 // and what runs of a removed tenant has been stopped
)

// tenantStore keeps tenants as the real store does, over the deaths of its process. Changes come from outside and are whole.
type tenantStore struct {
	env      *environment
	registry *tenancy.Registry
	version  uint64
}

func newTenantStore(st *environment) *tenantStore {
	c := &tenantStore{env: st, registry: tenancy.New(len(st.site.Tenants))}
	for _, name := range tenantNames {
		c.apply(tenancy.Change{Kind: tenancy.Add, Name: name, Limits: tenancy.Limits{Limits: fairqueue.Limits{Share: 1, MaxWaiting: 200}}})
	}
	return c
}

var tenantNames = []string{"a", "b"}

// authTokenOf is what a tenant's owners show; its first twelve letters are its id.
func authTokenOf(tenant string) string { return "token-" + tenant + "-0000.secret" }

func (c *tenantStore) apply(ch tenancy.Change) {
	if _, f := c.registry.Apply(c.env.clock.now, ch); f != nil {
		return // a removed tenant is not paused
	}
	c.version++
}

func (c *tenantStore) Close() error                 { return nil }
func (c *tenantStore) Fingerprint() (uint64, error) { return c.version, nil }

// Read gives what is kept, as a planted fault has the program take it.
func (c *tenantStore) Read() (tenants.State, error) {
	s := tenants.State{Tenants: tenancy.New(c.registry.Slots()), Tokens: map[string]tenants.Token{}, Changes: c.version}
	for _, t := range c.registry.All() {
		if c.env.fault.Tenant != nil {
			c.env.fault.Tenant(&t)
		}
		if err := s.Tenants.Restore(t); err != nil {
			return s, err
		}
		s.Tokens[authTokenOf(t.Name)[:12]] = tenants.Token{Tenant: t.Name, Expires: time.Date(2100, 1, 1, 0, 0, 0, 0, time.UTC)}
	}
	return s, nil
}

func (c *tenantStore) TokenVerifier(known map[string]tenants.Token) func(time.Time, string) (string, bool) {
	return func(_ time.Time, shown string) (string, bool) {
		if len(shown) < 12 || shown != authTokenOf(known[shown[:12]].Tenant) {
			return "", false
		}
		return known[shown[:12]].Tenant, true
	}
}

func (c *tenantStore) FinishRemoval(_ time.Time, name string) (bool, error) {
	_, ok := c.registry.CompleteRemoval(c.env.clock.now, name)
	if ok {
		c.version++
	}
	return ok, nil
}

// tenantRequest is what the stage knows of an ask.
type tenantRequest struct {
	tenant      string
	firstSentAt float64 // when it was asked for first
}

// tenantOf gives the tenant of an owner: each asks for one alone.
func tenantOf(owner int) string { return tenantNames[owner%len(tenantNames)] }

// applyEverywhere lets a change reach all schedulers, one after the other, and gives when the last has it.
func (st *environment) applyEverywhere(ch tenancy.Change) (all float64) {
	for i, s := range st.schedulers {
		all = st.clock.now + float64(i)*changeStagger
		st.clock.schedule(nil, all, func() { s.tenants.apply(ch) })
	}
	return all
}

// injectTenantFault lets a tenant be paused for a while, limited or removed.
func (st *environment) injectTenantFault(f Fault) {
	if !st.DynamicTenants || st.removedSince[f.Target] > 0 {
		return
	}
	switch f.Kind {
	case "tenant-pause":
		all := st.applyEverywhere(tenancy.Change{Kind: tenancy.Pause, Name: f.Target})
		st.closedSince[f.Target] = all
		st.clock.schedule(nil, all+f.Duration, func() {
			if st.removedSince[f.Target] == 0 && st.closedSince[f.Target] == all {
				delete(st.closedSince, f.Target)
				st.applyEverywhere(tenancy.Change{Kind: tenancy.Resume, Name: f.Target})
			}
		})
	case "tenant-limit":
		l := limit{open: max(1, int(f.Size))}
		l.from = st.maxExpiry() + changeDelay + st.applyEverywhere(tenancy.Change{Kind: tenancy.Limit, Name: f.Target, Limits: tenancy.Limits{Limits: fairqueue.Limits{
			Share: 1, MaxOpen: l.open,
			MaxWaiting: 20,
		}}})
		for _, s := range st.schedulers {
			if s.process.paused { // it hears of the change when it wakes
				l.from = math.Inf(1)
			}
		}
		st.limits[f.Target] = l
	case "tenant-remove":
		ending := tenancy.FinishRunning
		if f.Size >= 0.5 {
			ending = tenancy.StopRunning
		}
		all := st.applyEverywhere(tenancy.Change{Kind: tenancy.Remove, Name: f.Target, Removal: ending})
		st.removedSince[f.Target], st.closedSince[f.Target] = all, all
		if ending == tenancy.StopRunning && st.isUndisturbed(f.At, all+stopDelay) {
			st.clock.schedule(nil, all+stopDelay, func() { st.checkStopped(f.Target) })
		}
	}
}

// limit is how many of a tenant's allocations may be open, and from when on no more are.
type limit struct {
	open int
	from float64
}

// maxExpiry is the longest expiry that owners ask for, ms.
func (st *environment) maxExpiry() float64 { return slices.Max(st.site.Deadlines) }

// checkTenantLimits holds what all schedulers have open of a tenant against its limit.
func (st *environment) checkTenantLimits() {
	for slot, name := range tenantNames {
		l, ok := st.limits[name]
		if !ok || st.removedSince[name] > 0 {
			continue
		}
		all, sum := make([]int, len(st.schedulers)), 0
		for i, s := range st.schedulers {
			if s.server != nil && !s.process.dead {
				all[i] = s.server.OpenAllocations(slot)
				sum += all[i]
			}
			if s.process.resumedAt > l.from-st.maxExpiry()-changeDelay {
				l.from = max(l.from, s.process.resumedAt+st.maxExpiry()+changeDelay)
			}
		}
		if st.simulation.OnUsage != nil {
			st.simulation.OnUsage(st.clock.now, name, all)
		}
		if st.clock.now >= l.from && sum > l.open {
			st.fail(0, fmt.Sprintf("%v of tenant %s are open, %d may be", all, name, l.open))
		}
	}
}

// harmlessFaults are faults that keep nobody from stopping what runs.
var harmlessFaults = []string{
	"jump", "list-away", "list-behind", "errors", "flood", "withdraw", "window", "drain", "tenant-limit", "tenant-pause",
	"tenant-remove",
}

// isUndisturbed tells whether nothing goes wrong in a time between schedulers and nodes.
func (st *environment) isUndisturbed(from, to float64) bool {
	return !slices.ContainsFunc(st.Faults, func(f Fault) bool {
		return f.At <= to && f.At+f.Duration+changeDelay/2 >= from && f.Peer != "list" && !strings.HasPrefix(f.Peer, "o") && !slices.Contains(harmlessFaults, f.Kind)
	})
}

// checkStopped checks that nothing of a removed tenant runs.
func (st *environment) checkStopped(tenant string) {
	for _, n := range st.nodes {
		for _, s := range st.schedulers {
			for _, name := range s.shardNames() {
				n.Machine.EachHeld(st.clock.now, name, func(_ uint64, _ uint8, _ bool, _, _ int, _, token uint64, _, _ float64) {
					if st.wanted[token].tenant == tenant {
						st.fail(0, fmt.Sprintf("node %d holds %x of tenant %s, which was removed with all that runs", n.ID, token, tenant))
					}
				})
			}
		}
	}
}

// checkClosedTenant checks that nothing new is placed for a tenant that takes nothing.
func (st *environment) checkClosedTenant(r *audit.Record) {
	key := [2]uint64{uint64(r.Client), r.RequestRef}
	if r.Kind == audit.RequestSent {
		st.requested[key] = st.wanted[r.Token]
	}
	if r.Kind != audit.ResponseReceived || r.Detail != "served" {
		return
	}
	w, ok := st.requested[key]
	since, shut := st.closedSince[w.tenant]
	if !ok || !shut || w.firstSentAt < since+changeDelay {
		return
	}
	for _, s := range st.schedulers {
		if s.name == r.Scheduler && !s.process.paused && w.firstSentAt > s.process.resumedAt+changeDelay {
			st.fail(0, fmt.Sprintf("ask %d of tenant %s was served, which takes nothing since %.0f ms; it was asked for at %.0f", r.RequestRef, w.tenant, since, w.firstSentAt))
		}
	}
}

var _ serve.TenantStore = (*tenantStore)(nil)
