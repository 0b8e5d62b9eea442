package zones

import (
	"maps"
	"math"

	"ravenpond/internal/decide/clusterstate"
)

// Selector decides which zones a process sends to. OwnZone may be empty; then locality does not restrict the zones.
type Selector struct {
	OwnZone          string
	Zones            []Location
	LocalityAware    bool // near zones are preferred, because the site file has latencies between zones
	FaultIgnoreLease bool // injected fault: the cluster state counts as current even if the lease has expired

	level       int                // levelZone, levelRegion or levelSite
	belowSince  float64            // time in ms since which the next nearer level has had room
	lastWeights map[string]float64 // weights of the zones when the lease was last valid
}

// Input contains the values from which the weights of the zones are derived.
type Input struct {
	Now        float64 // ms
	State      *clusterstate.State
	LeaseValid bool               // the cluster state is known to be current; false: the process is in degraded mode
	Summaries  map[string]Summary // this process's summaries by zone
	Waiting    int                // number of requests that find no room in the zones in use
	OwnCores   map[string]float64 // cores in use by this process's tasks, by zone
	Processes  int                // number of active processes in this process's zone
}

// Update returns the weight of each zone: the fraction of its nodes to which this process sends, from 0 to 1.
func (s *Selector) Update(in Input) map[string]float64 {
	in.LeaseValid = in.LeaseValid || s.FaultIgnoreLease
	s.updateLevel(in)
	followsPlan := s.followsPlan(in.State)
	weights := map[string]float64{}
	for _, zone := range s.Zones {
		weight := s.permittedWeight(in, zone.Name)
		if zone.Name != s.OwnZone && weight > 0 && !s.mayUseOther(in, zone, followsPlan) {
			weight = 0
		}
		weights[zone.Name] = weight
	}
	if in.LeaseValid || s.lastWeights == nil {
		s.lastWeights = maps.Clone(weights)
	}
	return weights
}

// followsPlan reports whether the process's own zone is closed and a plan that divides its load has been committed since.
func (s *Selector) followsPlan(state *clusterstate.State) bool {
	ownZone := state.Zone(s.OwnZone)
	plan, _ := state.Plan()
	return s.LocalityAware && ownZone.State == clusterstate.Closed && plan > ownZone.Version
}

// permittedWeight returns the largest weight that a zone's state permits.
func (s *Selector) permittedWeight(in Input, name string) float64 {
	zone := in.State.Zone(name)
	switch zone.State {
	case clusterstate.Closed:
		if name == s.OwnZone && !in.LeaseValid { // the process may be partitioned together with its zone, and can then serve no other zone
			return 1
		}
		return 0
	case clusterstate.Returning:
		weight := min(1, (1+math.Floor((in.Now-zone.Since)/stepInterval))/returnSteps)
		if !in.LeaseValid {
			weight = min(weight, s.lastWeights[name])
		}
		return weight
	}
	return 1
}

// mayUseOther reports whether the process may send to another zone, given that the zone's state permits it.
func (s *Selector) mayUseOther(in Input, zone Location, followsPlan bool) bool {
	summary := in.Summaries[zone.Name]
	switch {
	case !in.LeaseValid && s.lastWeights != nil && s.lastWeights[zone.Name] == 0:
		return false // in degraded mode a process does not start to use a zone
	case !followsPlan && s.isBeyondLevel(zone):
		return false
	case s.LocalityAware && summary.Capacity > 0 && summary.Used >= maxUtilization*summary.Capacity:
		return false // the remaining capacity is reserved for the zone's own load
	case followsPlan:
		share := float64(in.State.Share(s.OwnZone, zone.Name)) / float64(max(1, in.Processes))
		return in.OwnCores[zone.Name] < share
	}
	return true
}
