package zones

import (
	"maps"
	"math"

	"ravenpond/internal/decide/clusterstate"
)

// Selector decides which zones a process sends to. Its own zone may be empty; then no zone is near.
type Selector struct {
	OwnZone          string
	Zones            []Location
	LocalityAware    bool // the site file has latencies between zones: near zones are preferred
	FaultIgnoreLease bool // injected fault: an expired state is treated as current

	level       int                // levelZone, levelRegion or levelSite
	belowSince  float64            // since when the next nearer level has had room
	lastWeights map[string]float64 // weights when the lease was last valid
}

// Input is what the weights of zones follow from.
type Input struct {
	Now        float64
	State      *clusterstate.State
	LeaseValid bool               // the state is known to be current; else the process acts in degraded mode
	Summaries  map[string]Summary // by zone, of this process
	Waiting    int                // requests that find no room in the zones in use
	OwnCores   map[string]float64 // cores of this process's own tasks in each zone
	Processes  int                // processes that act from this process's zone
}

// Update returns the fraction of each zone's nodes that this process sends to now, from 0 to 1.
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

// followsPlan reports whether the process's own zone is closed and the plan that was committed since divides its load.
func (s *Selector) followsPlan(state *clusterstate.State) bool {
	home := state.Zone(s.OwnZone)
	plan, _ := state.Plan()
	return s.LocalityAware && home.State == clusterstate.Closed && plan > home.Version
}

// permittedWeight returns the weight of a zone that its state permits.
func (s *Selector) permittedWeight(in Input, name string) float64 {
	zone := in.State.Zone(name)
	switch zone.State {
	case clusterstate.Closed:
		if name == s.OwnZone && !in.LeaseValid { // the process may be cut off together with its zone, which is all that it can serve
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

// mayUseOther reports whether the process may send to a zone other than its own whose state permits it.
func (s *Selector) mayUseOther(in Input, zone Location, followsPlan bool) bool {
	summary := in.Summaries[zone.Name]
	switch {
	case !in.LeaseValid && s.lastWeights != nil && s.lastWeights[zone.Name] == 0:
		return false // degraded mode starts to use nothing
	case !followsPlan && s.isBeyondLevel(zone):
		return false
	case s.LocalityAware && summary.Capacity > 0 && summary.Used >= maxUtilization*summary.Capacity:
		return false // the rest is for the zone's own load
	case followsPlan:
		share := float64(in.State.Share(s.OwnZone, zone.Name)) / float64(max(1, in.Processes))
		return in.OwnCores[zone.Name] < share
	}
	return true
}
