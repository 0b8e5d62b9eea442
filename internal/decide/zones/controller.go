package zones

import (
	"fmt"

	"ravenpond/internal/decide/clusterstate"
)

// Times in milliseconds, unless another unit is given.
const (
	suspectAfter      = 250  // a zone is lost this long before it becomes suspect
	closeAfter        = 500  // and this much longer before it is closed; also before a returning zone is closed again
	reopenAfter       = 1000 // a suspect or returning zone is not lost this long before it is open
	returnAfter       = 2000 // a closed zone is healthy this long before it returns
	stepInterval      = 2000 // between two steps of a return
	returnSteps       = 4    // steps of a return, each of an equal fraction of the nodes
	proposeInterval   = 1000 // before the same proposal is made again
	maxClosedFraction = 0.5  // of all zones
)

// Proposal is a change of a zone's state that the cluster state shall take.
type Proposal struct {
	Zone    string
	Version uint64 // version at which the present state of the zone was written
	To      clusterstate.ZoneState
	Reason  string // for operators
}

// Controller decides on the states of zones from the reports of all processes. It runs at the leader. Its zero value has no reports.
type Controller struct {
	FaultSingleZone bool // injected fault: the reports from one other zone suffice to call a zone lost

	reports      map[string]processReport // by process
	observations map[string]observation   // by zone
	proposals    map[string]pendingProposal
	lastUsed     map[string]float64 // cores in use in each zone while it was last open
	lastPlanAt   float64
}

// pendingProposal is the last proposal for a zone.
type pendingProposal struct {
	version    uint64
	to         clusterstate.ZoneState
	proposedAt float64
}

// Reset drops everything. The leader calls it when it does not lead any more.
func (c *Controller) Reset() {
	c.reports, c.observations, c.proposals, c.lastUsed = nil, nil, nil, nil
}

func (c *Controller) init() {
	c.reports, c.observations = map[string]processReport{}, map[string]observation{}
	c.proposals, c.lastUsed = map[string]pendingProposal{}, map[string]float64{}
}

// Decide returns the state changes that the reports ask for. zones are the site's zones; held are the states in which an operator holds
// some of them. A proposal that has had no effect is returned again after proposeInterval.
func (c *Controller) Decide(now float64, state *clusterstate.State, zones []string, held map[string]clusterstate.ZoneState) []Proposal {
	var proposals []Proposal
	closed := countClosed(state, zones)
	for _, name := range zones {
		votes := c.countVotes(now, state, name)
		view := zoneView{
			now:      now,
			zone:     state.Zone(name),
			observed: c.observe(now, name, votes.health(c.FaultSingleZone)),
			held:     held,
			mayClose: float64(closed+1) <= maxClosedFraction*float64(len(zones)),
		}
		transition := view.nextState()
		if transition.to == view.zone.State {
			continue
		}
		proposal := Proposal{Zone: name, Version: view.zone.Version, To: transition.to, Reason: transition.reason}
		if proposal.Reason == "" {
			proposal.Reason = fmt.Sprintf("%d of %d other zones", votes.lost, votes.zones)
		}
		if !c.isProposalDue(now, proposal) {
			continue
		}
		if transition.to == clusterstate.Closed {
			closed++
		}
		proposals = append(proposals, proposal)
	}
	return proposals
}

// countClosed returns the number of zones that do not take all of their own load.
func countClosed(state *clusterstate.State, zones []string) (closed int) {
	for _, name := range zones {
		if s := state.Zone(name).State; s == clusterstate.Closed || s == clusterstate.Returning {
			closed++
		}
	}
	return closed
}

// isProposalDue reports whether a proposal is new, or was made so long ago that it is made again, and remembers it.
func (c *Controller) isProposalDue(now float64, p Proposal) bool {
	last := c.proposals[p.Zone]
	if last.version == p.Version && last.to == p.To && now-last.proposedAt < proposeInterval {
		return false
	}
	if c.proposals == nil { // there was no report, and an operator holds a zone
		c.init()
	}
	c.proposals[p.Zone] = pendingProposal{p.Version, p.To, now}
	return true
}

// zoneView is what the next state of a zone follows from.
type zoneView struct {
	now      float64
	zone     clusterstate.Zone
	observed observation
	held     map[string]clusterstate.ZoneState
	mayClose bool // one more zone may be closed
}

// transition is a zone's next state; the present one if nothing changes.
type transition struct {
	to     clusterstate.ZoneState
	reason string // empty: the votes are the reason
}

// nextState returns the state that a zone is to have next.
func (v *zoneView) nextState() transition {
	if want, ok := v.held[v.zone.Name]; ok && (want == clusterstate.Open || want == clusterstate.Closed) {
		return transition{nextHeldState(v.now, v.zone, want), "held by an operator"}
	}
	switch v.zone.State {
	case clusterstate.Open:
		if v.mayClose && v.hasBeen(lost, suspectAfter) {
			return transition{to: clusterstate.Suspect}
		}
	case clusterstate.Suspect:
		return v.nextAfterSuspect()
	case clusterstate.Closed:
		if v.now >= v.zone.ClosedUntil && v.hasBeen(healthy, returnAfter) {
			return transition{clusterstate.Returning, "heard again"}
		}
	case clusterstate.Returning:
		return v.nextAfterReturning()
	}
	return transition{to: v.zone.State}
}

func (v *zoneView) nextAfterSuspect() transition {
	switch {
	case v.mayClose && v.hasBeen(lost, suspectAfter+closeAfter):
		return transition{to: clusterstate.Closed}
	case v.hasBeen(healthy, reopenAfter) || v.hasBeen(undecided, reopenAfter):
		return transition{clusterstate.Open, "heard again"}
	}
	return transition{to: v.zone.State}
}

func (v *zoneView) nextAfterReturning() transition {
	allStepsTaken := v.now-v.zone.Since >= returnSteps*stepInterval
	switch {
	case v.hasBeen(lost, closeAfter):
		return transition{to: clusterstate.Closed}
	case allStepsTaken && v.hasBeen(healthy, reopenAfter):
		return transition{clusterstate.Open, "all steps taken"}
	}
	return transition{to: v.zone.State}
}

// hasBeen reports whether the zone has been seen in a health for some ms.
func (v *zoneView) hasBeen(h health, ms float64) bool {
	return v.observed.health == h && v.now-v.observed.since >= ms
}

// nextHeldState returns the next state on the way from a zone's state to the one that an operator wants.
func nextHeldState(now float64, zone clusterstate.Zone, want clusterstate.ZoneState) clusterstate.ZoneState {
	switch {
	case zone.State == want:
		return want
	case zone.State == clusterstate.Open:
		return clusterstate.Suspect
	case zone.State == clusterstate.Suspect || zone.State == clusterstate.Returning:
		return want
	case now >= zone.ClosedUntil:
		return clusterstate.Returning
	}
	return zone.State
}
