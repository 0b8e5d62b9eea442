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
	spreads = 150  // ms between two schedulers' word of a change
	takesUp = 1500 // ms in which one that runs has taken it up
	stops   = 1200 // and what runs of a removed tenant has been stopped
)

// clubs keeps tenants as the real store does, over the deaths of its process. Changes come from outside and are whole.
type clubs struct {
	st    *stage
	book  *tenancy.Registry
	count uint64
}

func newClubs(st *stage) *clubs {
	c := &clubs{st: st, book: tenancy.New(len(st.place.Tenants))}
	for _, name := range clubNames {
		c.change(tenancy.Change{Kind: tenancy.Add, Name: name, Limits: tenancy.Limits{Limits: fairqueue.Limits{Share: 1, MaxWaiting: 200}}})
	}
	return c
}

var clubNames = []string{"a", "b"}

// tokenOf is what a tenant's owners show; its first twelve letters are its id.
func tokenOf(tenant string) string { return "token-" + tenant + "-0000.secret" }

func (c *clubs) change(ch tenancy.Change) {
	if _, f := c.book.Apply(c.st.c.now, ch); f != nil {
		return // a removed tenant is not paused
	}
	c.count++
}

func (c *clubs) Close() error                 { return nil }
func (c *clubs) Fingerprint() (uint64, error) { return c.count, nil }

// Read gives what is kept, as a planted fault has the program take it.
func (c *clubs) Read() (tenants.State, error) {
	s := tenants.State{Tenants: tenancy.New(c.book.Slots()), Tokens: map[string]tenants.Token{}, Changes: c.count}
	for _, t := range c.book.All() {
		if c.st.plant.Club != nil {
			c.st.plant.Club(&t)
		}
		if err := s.Tenants.Restore(t); err != nil {
			return s, err
		}
		s.Tokens[tokenOf(t.Name)[:12]] = tenants.Token{Tenant: t.Name, Expires: time.Date(2100, 1, 1, 0, 0, 0, 0, time.UTC)}
	}
	return s, nil
}

func (c *clubs) TokenVerifier(known map[string]tenants.Token) func(time.Time, string) (string, bool) {
	return func(_ time.Time, shown string) (string, bool) {
		if len(shown) < 12 || shown != tokenOf(known[shown[:12]].Tenant) {
			return "", false
		}
		return known[shown[:12]].Tenant, true
	}
}

func (c *clubs) FinishRemoval(_ time.Time, name string) (bool, error) {
	_, ok := c.book.CompleteRemoval(c.st.c.now, name)
	if ok {
		c.count++
	}
	return ok, nil
}

// wanted is what the stage knows of an ask.
type wanted struct {
	tenant string
	at     float64 // when it was asked for first
}

// tenantOf gives the tenant of an owner: each asks for one alone.
func tenantOf(owner int) string { return clubNames[owner%len(clubNames)] }

// turn lets a change reach all schedulers, one after the other, and gives when the last has it.
func (st *stage) turn(ch tenancy.Change) (all float64) {
	for i, s := range st.scheds {
		all = st.c.now + float64(i)*spreads
		st.c.at(nil, all, func() { s.clubs.change(ch) })
	}
	return all
}

// tenant lets a tenant be paused for a while, limited or removed.
func (st *stage) tenant(f Fault) {
	if !st.Hosted || st.gone[f.A] > 0 {
		return
	}
	switch f.Kind {
	case "tenant-pause":
		all := st.turn(tenancy.Change{Kind: tenancy.Pause, Name: f.A})
		st.shut[f.A] = all
		st.c.at(nil, all+f.For, func() {
			if st.gone[f.A] == 0 && st.shut[f.A] == all {
				delete(st.shut, f.A)
				st.turn(tenancy.Change{Kind: tenancy.Resume, Name: f.A})
			}
		})
	case "tenant-limit":
		l := limit{open: max(1, int(f.Size))}
		l.from = st.longest() + takesUp + st.turn(tenancy.Change{Kind: tenancy.Limit, Name: f.A, Limits: tenancy.Limits{Limits: fairqueue.Limits{
			Share: 1, MaxOpen: l.open,
			MaxWaiting: 20,
		}}})
		for _, s := range st.scheds {
			if s.p.paused { // it hears of the change when it wakes
				l.from = math.Inf(1)
			}
		}
		st.limits[f.A] = l
	case "tenant-remove":
		ending := tenancy.FinishRunning
		if f.Size >= 0.5 {
			ending = tenancy.StopRunning
		}
		all := st.turn(tenancy.Change{Kind: tenancy.Remove, Name: f.A, Removal: ending})
		st.gone[f.A], st.shut[f.A] = all, all
		if ending == tenancy.StopRunning && st.calm(f.At, all+stops) {
			st.c.at(nil, all+stops, func() { st.stopped(f.A) })
		}
	}
}

// limit is how many of a tenant's allocations may be open, and from when on no more are.
type limit struct {
	open int
	from float64
}

// longest is the longest expiry that owners ask for, ms.
func (st *stage) longest() float64 { return slices.Max(st.place.Deadlines) }

// overshoot holds what all schedulers have open of a tenant against its limit.
func (st *stage) overshoot() {
	for slot, name := range clubNames {
		l, ok := st.limits[name]
		if !ok || st.gone[name] > 0 {
			continue
		}
		all, sum := make([]int, len(st.scheds)), 0
		for i, s := range st.scheds {
			if s.server != nil && !s.p.dead {
				all[i] = s.server.OpenAllocations(slot)
				sum += all[i]
			}
			if s.p.resumed > l.from-st.longest()-takesUp {
				l.from = max(l.from, s.p.resumed+st.longest()+takesUp)
			}
		}
		if st.game.Uses != nil {
			st.game.Uses(st.c.now, name, all)
		}
		if st.c.now >= l.from && sum > l.open {
			st.fail(0, fmt.Sprintf("%v of tenant %s are open, %d may be", all, name, l.open))
		}
	}
}

// harmless are faults that keep nobody from stopping what runs.
var harmless = []string{
	"jump", "list-away", "list-behind", "errors", "flood", "withdraw", "window", "drain", "tenant-limit", "tenant-pause",
	"tenant-remove",
}

// calm tells whether nothing goes wrong in a time between schedulers and nodes.
func (st *stage) calm(from, to float64) bool {
	return !slices.ContainsFunc(st.Faults, func(f Fault) bool {
		return f.At <= to && f.At+f.For+takesUp/2 >= from && f.B != "list" && !strings.HasPrefix(f.B, "o") && !slices.Contains(harmless, f.Kind)
	})
}

// stopped checks that nothing of a removed tenant runs.
func (st *stage) stopped(tenant string) {
	for _, n := range st.nodes {
		for _, s := range st.scheds {
			for _, name := range s.names() {
				n.Machine.EachHeld(st.c.now, name, func(_ uint64, _ uint8, _ bool, _, _ int, _, token uint64, _, _ float64) {
					if st.wanted[token].tenant == tenant {
						st.fail(0, fmt.Sprintf("node %d holds %x of tenant %s, which was removed with all that runs", n.ID, token, tenant))
					}
				})
			}
		}
	}
}

// hosted checks that nothing new is placed for a tenant that takes nothing.
func (st *stage) hosted(r *audit.Record) {
	key := [2]uint64{uint64(r.Client), r.RequestRef}
	if r.Kind == audit.RequestSent {
		st.asked[key] = st.wanted[r.Token]
	}
	if r.Kind != audit.ResponseReceived || r.Detail != "served" {
		return
	}
	w, ok := st.asked[key]
	since, shut := st.shut[w.tenant]
	if !ok || !shut || w.at < since+takesUp {
		return
	}
	for _, s := range st.scheds {
		if s.name == r.Scheduler && !s.p.paused && w.at > s.p.resumed+takesUp {
			st.fail(0, fmt.Sprintf("ask %d of tenant %s was served, which takes nothing since %.0f ms; it was asked for at %.0f", r.RequestRef, w.tenant, since, w.at))
		}
	}
}

var _ serve.TenantStore = (*clubs)(nil)
