package zones

import (
	"fmt"

	"ravenpond/internal/control"
	"ravenpond/internal/decide/clusterstate"
)

// Bounds of the checks.
const (
	maxFill          = 0.95 // fraction of a zone's capacity, at loads below calmLoad
	calmLoad         = 0.55
	shareTolerance   = 1e-9
	longClosureCount = 3 // closings after which a flapping zone may stay closed beyond the end of the simulation
)

// checkShares checks the shares that a process decided on.
func (sm *simulation) checkShares(p *process, view *control.View) {
	for _, z := range zoneList {
		if p.shares[z.Name] > 0 {
			sm.checkClosed(p, z.Name)
			sm.checkPlanShare(p, view, z.Name)
		}
		sm.checkOpening(p, z.Name)
	}
}

// checkClosed checks that a process does not send to a zone that was closed longer than maxStaleness ago, unless it cannot know that.
func (sm *simulation) checkClosed(p *process, zone string) {
	since, closed := sm.closedSince[zone]
	mustKnow := p.leaseValid || zone != p.zone && p.lastValidShares[zone] == 0
	if age := sm.clock.TrueTime() - since; closed && age > maxStaleness && mustKnow {
		sm.fail(fmt.Sprintf("%s of %s sends to %s, closed for %.0f ms; lease valid: %v", p.name, p.zone, zone, age, p.leaseValid))
	}
}

// checkPlanShare checks that a process of a closed zone stays within its share of other zones by the plan.
func (sm *simulation) checkPlanShare(p *process, view *control.View, zone string) {
	plan, _ := view.State.Plan()
	home := view.State.Zone(p.zone)
	if home.State != clusterstate.Closed || plan <= home.Version || zone == p.zone {
		return
	}
	if limit := float64(view.State.Share(p.zone, zone)) / float64(view.State.ActiveProcesses(p.zone)); p.placed[zone] > limit {
		sm.fail(fmt.Sprintf("%s of %s uses %.0f cores of %s, above its share of %.0f, and still sends tasks there", p.name, p.zone, p.placed[zone], zone, limit))
	}
}

// checkOpening checks that a process without a valid lease does not start to send to a zone to which it sent nothing before.
func (sm *simulation) checkOpening(p *process, zone string) {
	last := p.lastValidShares
	if !p.leaseValid && last != nil && p.shares[zone] > last[zone]+shareTolerance && zone != p.zone && last[zone] == 0 {
		sm.fail(fmt.Sprintf("%s has no valid lease and starts to send to %s", p.name, zone))
	}
}

// newestState is the newest cluster state that any process holds, nil if none holds one.
func (sm *simulation) newestState() (newest *clusterstate.State) {
	for _, p := range sm.processes {
		if p.runner != nil && (newest == nil || p.runner.View().State.Version() > newest.Version()) {
			newest = p.runner.View().State
		}
	}
	return newest
}

// checkVerdicts checks the closed zones against the injected faults, and records when a zone is evacuated and when it has recovered.
func (sm *simulation) checkVerdicts() {
	state := sm.newestState()
	if state == nil {
		return
	}
	closed := 0
	for _, z := range zoneList {
		if sm.checkZone(state, z.Name) {
			closed++
		}
	}
	if closed > len(zoneList)/2 {
		sm.fail(fmt.Sprintf("%d of %d zones are closed, want at most half", closed, len(zoneList)))
	}
	now := sm.clock.TrueTime()
	if at, ok := sm.lostAt[sm.targetZone]; ok && sm.result.Evacuation == 0 && sm.isEvacuated(sm.targetZone) {
		sm.result.Evacuation = now - at
	}
	if sm.restoredAt > 0 && now > sm.restoredAt && sm.result.Recovery == 0 && sm.hasRecovered() {
		sm.result.Recovery = now - sm.restoredAt
	}
}

// checkZone checks a zone, and reports whether it is closed.
func (sm *simulation) checkZone(state *clusterstate.State, zone string) bool {
	entry := state.Zone(zone)
	closed := entry.State == clusterstate.Closed
	_, known := sm.closedSince[zone]
	switch {
	case !closed:
		delete(sm.closedSince, zone)
	case !known:
		sm.closedSince[zone] = sm.clock.TrueTime()
		sm.result.Closings++
		if !sm.mayClose(zone) {
			sm.fail(fmt.Sprintf("zone %s was closed without a fault that allows it (%s), used cores %.0f", zone, entry.Cause, sm.usedCores[zone]))
		}
	}
	if sm.usedCores[zone] > maxFill*zoneCapacity && sm.load < calmLoad {
		sm.fail(fmt.Sprintf("zone %s is filled to a fraction of %.2f at a load of %.2f", zone, sm.usedCores[zone]/zoneCapacity, sm.load))
	}
	return closed
}

// isEvacuated reports whether a zone is closed, and no process that runs and can know of it sends there.
func (sm *simulation) isEvacuated(zone string) bool {
	for _, p := range sm.processes {
		canKnow := p.runner != nil && !p.host.Paused() && p.runner.View().State.Version() > 0
		cutOffWithIt := p.zone == zone && !sm.lostZones[zone]
		if canKnow && !cutOffWithIt && p.shares[zone] > 0 {
			return false
		}
	}
	_, closed := sm.closedSince[zone]
	return closed
}

// hasRecovered reports whether no zone is closed, and all processes send to their own zones without a limit.
func (sm *simulation) hasRecovered() bool {
	for _, p := range sm.processes {
		if p.runner == nil || p.shares[p.zone] < 1 || p.host.Now() >= p.runner.View().LeaseExpiry {
			return false
		}
	}
	return len(sm.closedSince) == 0
}

// checkFinalState checks that all zones have recovered, and that a lost zone was evacuated.
func (sm *simulation) checkFinalState() {
	switch {
	case !sm.hasRecovered() && sm.result.Closings < longClosureCount:
		sm.fail(fmt.Sprintf("zones have not recovered at the end: closed since %v", sm.closedSince))
	case sm.targetZone != "" && sm.result.Evacuation == 0:
		sm.fail("some process did not stop sending to the lost zone")
	}
}
