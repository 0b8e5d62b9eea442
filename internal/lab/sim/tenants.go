package sim

import (
	"fmt"
	"math"
	"slices"
	"strings"

	"ravenpond/internal/audit"
	"ravenpond/internal/decide/fairqueue"
	"ravenpond/internal/decide/tenancy"
)

// Times of changes of tenants in ms.
const (
	changeStagger = 150  // between the times at which two schedulers receive a change
	changeDelay   = 1500 // within which a running scheduler applies a change
	stopDelay     = 1200 // within which the tasks of a removed tenant are stopped
)

// stopSize is the size of a removal fault from which the tenant's tasks are stopped.
const stopSize = 0.5

// tenantChecks is the data that the checks of schedulers need about tenants. Times are in ms.
type tenantChecks struct {
	wanted       map[uint64]tenantRequest // request of each task, by token
	requested    map[requestKey]tenantRequest
	closedSince  map[string]float64 // paused and removed tenants: when the last scheduler received the change
	removedSince map[string]float64
	limits       map[string]limit
}

// requestKey identifies a request: references are unique to a client.
type requestKey struct {
	client int
	ref    uint64
}

// tenantRequest is a request of a tenant.
type tenantRequest struct {
	tenant      string
	firstSentAt float64 // when a client first requested the task, ms
}

// limit is a limit on a tenant's open allocations, and the time from which it has to be kept.
type limit struct {
	open int
	from float64 // ms
}

func newTenantChecks() tenantChecks {
	return tenantChecks{
		wanted: map[uint64]tenantRequest{}, requested: map[requestKey]tenantRequest{}, closedSince: map[string]float64{},
		removedSince: map[string]float64{}, limits: map[string]limit{},
	}
}

// applyEverywhere sends a change to all schedulers, one after the other. It returns the time at which the last one receives it.
func (e *environment) applyEverywhere(change tenancy.Change) (last float64) {
	for i, s := range e.schedulers {
		last = e.clock.now + float64(i)*changeStagger
		e.clock.schedule(nil, last, func() { s.tenants.apply(change) })
	}
	return last
}

// tenantMayChange reports whether a fault of a tenant can be injected: the script has dynamic tenants, and the tenant was not removed.
func (e *environment) tenantMayChange(f Fault) bool {
	return e.DynamicTenants && !(e.tenants.removedSince[f.Target] > 0)
}

// pauseTenant pauses a tenant and resumes it when the fault ends, unless the tenant was paused again or removed meanwhile.
func (e *environment) pauseTenant(f Fault) {
	if !e.tenantMayChange(f) {
		return
	}
	since := e.applyEverywhere(tenancy.Change{Kind: tenancy.Pause, Name: f.Target})
	e.tenants.closedSince[f.Target] = since
	e.clock.schedule(nil, since+f.Duration, func() {
		if e.tenants.removedSince[f.Target] == 0 && e.tenants.closedSince[f.Target] == since {
			delete(e.tenants.closedSince, f.Target)
			e.applyEverywhere(tenancy.Change{Kind: tenancy.Resume, Name: f.Target})
		}
	})
}

// limitTenant limits the open allocations of a tenant to the fault's size.
func (e *environment) limitTenant(f Fault) {
	if !e.tenantMayChange(f) {
		return
	}
	l := limit{open: max(1, int(f.Size))}
	l.from = e.maxExpiry() + changeDelay + e.applyEverywhere(tenancy.Change{
		Kind: tenancy.Limit, Name: f.Target,
		Limits: tenancy.Limits{Limits: fairqueue.Limits{Share: 1, MaxOpen: l.open, MaxWaiting: limitedMaxWaiting}},
	})
	for _, s := range e.schedulers {
		if s.process.paused { // checkTenantLimits sets the time when the scheduler resumes
			l.from = math.Inf(1)
		}
	}
	e.tenants.limits[f.Target] = l
}

// removeTenant removes a tenant. Depending on the fault's size its tasks are stopped or run to their end.
func (e *environment) removeTenant(f Fault) {
	if !e.tenantMayChange(f) {
		return
	}
	removal := tenancy.FinishRunning
	if f.Size >= stopSize {
		removal = tenancy.StopRunning
	}
	since := e.applyEverywhere(tenancy.Change{Kind: tenancy.Remove, Name: f.Target, Removal: removal})
	e.tenants.removedSince[f.Target], e.tenants.closedSince[f.Target] = since, since
	if removal == tenancy.StopRunning && e.isUndisturbed(f.At, since+stopDelay) {
		e.clock.schedule(nil, since+stopDelay, func() { e.checkStopped(f.Target) })
	}
}

// maxExpiry returns the longest time-out of a request in ms.
func (e *environment) maxExpiry() float64 { return slices.Max(e.site.Deadlines) }

// checkTenantLimits checks the number of a tenant's open allocations in all schedulers together against its limit. A scheduler that was
// paused applies the limit late.
func (e *environment) checkTenantLimits() {
	for slot, name := range tenantNames {
		l, ok := e.tenants.limits[name]
		if !ok || e.tenants.removedSince[name] > 0 {
			continue
		}
		open, sum := make([]int, len(e.schedulers)), 0
		for i, s := range e.schedulers {
			if s.server != nil && !s.process.dead {
				open[i] = s.server.OpenAllocations(slot)
				sum += open[i]
			}
			if s.process.resumedAt > l.from-e.maxExpiry()-changeDelay {
				l.from = max(l.from, s.process.resumedAt+e.maxExpiry()+changeDelay)
			}
		}
		if e.simulation.OnUsage != nil {
			e.simulation.OnUsage(e.clock.now, name, open)
		}
		if e.clock.now >= l.from && sum > l.open {
			e.fail(0, fmt.Sprintf("schedulers have %v allocations of tenant %s open, limit is %d in all", open, name, l.open))
		}
	}
}

// harmlessFaults are kinds of faults that do not prevent a scheduler from stopping tasks.
var harmlessFaults = []string{
	"jump", "list-away", "list-behind", "errors", "flood", "withdraw", "window", "drain", "tenant-limit", "tenant-pause",
	"tenant-remove",
}

// isUndisturbed reports whether a period is free of faults that may prevent schedulers from stopping tasks at nodes.
func (e *environment) isUndisturbed(from, to float64) bool {
	return !slices.ContainsFunc(e.Faults, func(f Fault) bool {
		return f.At <= to && f.At+f.Duration+changeDelay/2 >= from && f.Peer != "list" && !strings.HasPrefix(f.Peer, "o") &&
			!slices.Contains(harmlessFaults, f.Kind)
	})
}

// checkStopped checks that nodes hold no task of a removed tenant.
func (e *environment) checkStopped(tenant string) {
	for _, n := range e.nodes {
		for _, s := range e.schedulers {
			for _, name := range s.shardNames() {
				for _, held := range n.Machine.Held(e.clock.now, name) {
					if e.tenants.wanted[held.Token].tenant == tenant {
						e.fail(0, fmt.Sprintf("node %d holds task %x of tenant %s, which was removed with its running tasks", n.ID, held.Token, tenant))
					}
				}
			}
		}
	}
}

// checkClosedTenant checks that no request is served that was sent after its tenant was paused or removed.
func (e *environment) checkClosedTenant(r *audit.Record) {
	key := requestKey{r.Client, r.RequestRef}
	if r.Kind == audit.RequestSent {
		e.tenants.requested[key] = e.tenants.wanted[r.Token]
	}
	if r.Kind != audit.ResponseReceived || r.Detail != audit.AnswerServed {
		return
	}
	req, ok := e.tenants.requested[key]
	since, closed := e.tenants.closedSince[req.tenant]
	if !ok || !closed || req.firstSentAt < since+changeDelay {
		return
	}
	for _, s := range e.schedulers {
		if s.name == r.Scheduler && !s.process.paused && req.firstSentAt > s.process.resumedAt+changeDelay {
			e.fail(0, fmt.Sprintf("request %d of tenant %s was served, but the tenant is paused or removed since %.0f ms; its task was first requested at %.0f ms", r.RequestRef, req.tenant,
				since, req.firstSentAt))
		}
	}
}
