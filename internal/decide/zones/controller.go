package zones

import (
	"fmt"

	"ravenpond/internal/decide/clusterstate"
)

// Times are in milliseconds; the other constants are counts and fractions.
const (
	suspectAfter      = 250  // time for which an open zone has to be lost before it becomes suspect
	closeAfter        = 500  // further time for which a suspect zone has to be lost before it is closed; also for a returning zone
	reopenAfter       = 1000 // time for which a suspect zone has to be not lost, or a returning zone healthy, before it is open
	returnAfter       = 2000 // time for which a closed zone has to be healthy before it returns
	stepInterval      = 2000 // interval between two steps of a return
	returnSteps       = 4    // number of steps of a return; each adds the same fraction of the zone's nodes
	proposeInterval   = 1000 // time after which a proposal without effect is repeated
	maxClosedFraction = 0.5  // largest fraction of all zones that may be closed
)

// Proposal is a change of a zone's state to commit to the cluster state.
type Proposal struct {
	Zone    string
	Version uint64 // version of the cluster state that set the zone's present state
	To      clusterstate.ZoneState
	Reason  string // shown to operators
}

// Controller decides on the states of zones from the reports of all processes. It runs on the leader. Its zero value has no reports.
type Controller struct {
	FaultSingleZone bool // injected fault: reports from one other zone suffice for a zone to count as lost

	reports      map[string]processReport   // by process
	observations map[string]observation     // by zone
	proposals    map[string]pendingProposal // by zone
	lastUsed     map[string]float64         // cores that were in use in each zone when it was last open
	lastPlanAt   float64                    // ms
}

// pendingProposal is the last proposal for a zone.
type pendingProposal struct {
	version    uint64
	to         clusterstate.ZoneState
	proposedAt float64 // ms
}

// Reset discards all reports and decisions. It is called when the process is no longer the leader.
func (c *Controller) Reset() {
	c.reports, c.observations, c.proposals, c.lastUsed = nil, nil, nil, nil
}

func (c *Controller) init() {
	c.reports, c.observations = map[string]processReport{}, map[string]observation{}
	c.proposals, c.lastUsed = map[string]pendingProposal{}, map[string]float64{}
}

// Decide returns the state changes that follow from the reports. zones are the site's zones; held are the states in which an operator holds
// some of them. A proposal that had no effect is returned again after proposeInterval.
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

// countClosed returns the number of zones that are closed or returning, and so do not take all of their own load.
func countClosed(state *clusterstate.State, zones []string) (closed int) {
	for _, name := range zones {
		if s := state.Zone(name).State; s == clusterstate.Closed || s == clusterstate.Returning {
			closed++
		}
	}
	return closed
}

// isProposalDue reports whether a proposal is new or was made at least proposeInterval ago, and if so records it.
func (c *Controller) isProposalDue(now float64, p Proposal) bool {
	previous := c.proposals[p.Zone]
	if previous.version == p.Version && previous.to == p.To && now-previous.proposedAt < proposeInterval {
		return false
	}
	if c.proposals == nil { // no report has arrived yet, but an operator holds a zone
		c.init()
	}
	c.proposals[p.Zone] = pendingProposal{p.Version, p.To, now}
	return true
}

// zoneView contains the inputs that determine the next state of a zone.
type zoneView struct {
	now      float64
	zone     clusterstate.Zone
	observed observation
	held     map[string]clusterstate.ZoneState
	mayClose bool // whether one more zone may be closed
}

// transition is a zone's next state, which is the present one if nothing changes.
type transition struct {
	to     clusterstate.ZoneState
	reason string // empty: the reason is the number of votes
}

// nextState returns the zone's next state.
func (v *zoneView) nextState() transition {
	if want, ok := v.held[v.zone.Name]; ok && (want == clusterstate.Open || want == clusterstate.Closed) {
		return transition{nextHeldState(v.now, v.zone, want), "held by an operator"}
	}
	switch v.zone.State {
	case clusterstate.Open:
		if v.mayClose && v.hasBeenFor(lost, suspectAfter) {
			return transition{to: clusterstate.Suspect}
		}
	case clusterstate.Suspect:
		return v.nextAfterSuspect()
	case clusterstate.Closed:
		if v.now >= v.zone.ClosedUntil && v.hasBeenFor(healthy, returnAfter) {
			return transition{clusterstate.Returning, "heard again"}
		}
	case clusterstate.Returning:
		return v.nextAfterReturning()
	}
	return transition{to: v.zone.State}
}

func (v *zoneView) nextAfterSuspect() transition {
	switch {
	case v.mayClose && v.hasBeenFor(lost, suspectAfter+closeAfter):
		return transition{to: clusterstate.Closed}
	case v.hasBeenFor(healthy, reopenAfter) || v.hasBeenFor(undecided, reopenAfter):
		return transition{clusterstate.Open, "heard again"}
	}
	return transition{to: v.zone.State}
}

func (v *zoneView) nextAfterReturning() transition {
	allStepsTaken := v.now-v.zone.Since >= returnSteps*stepInterval
	switch {
	case v.hasBeenFor(lost, closeAfter):
		return transition{to: clusterstate.Closed}
	case allStepsTaken && v.hasBeenFor(healthy, reopenAfter):
		return transition{clusterstate.Open, "all steps taken"}
	}
	return transition{to: v.zone.State}
}

// hasBeenFor reports whether the zone's observed health has been h for at least the given duration in ms.
func (v *zoneView) hasBeenFor(h health, duration float64) bool {
	return v.observed.health == h && v.now-v.observed.since >= duration
}

// nextHeldState returns the next state on the path from a zone's present state to the one that an operator wants.
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
