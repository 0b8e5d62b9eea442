package zones

import "ravenpond/internal/decide/clusterstate"

// Levels of locality: how far from its own zone a process sends.
const (
	levelZone   = iota // to its own zone only
	levelRegion        // to all zones of its region
	levelSite          // to all zones
)

const (
	widenUtilization  = 0.8  // utilization of the present level from which a process widens to the next
	narrowUtilization = 0.6  // utilization of the nearer level below which it comes back
	narrowAfter       = 5000 // ms for which the nearer level must have had room
)

// Level returns how far from its own zone the process sends: 0 to its own zone, 1 to its region, 2 to all zones.
func (s *Selector) Level() int {
	if !s.LocalityAware {
		return levelSite
	}
	return s.level
}

// updateLevel widens while the zones in use are full or lost, and narrows when nearer ones have had room for a while.
func (s *Selector) updateLevel(in Input) {
	if !s.LocalityAware || !in.LeaseValid {
		return
	}
	isFull := func(level int, limit float64) bool {
		utilization, ok := s.utilization(in, level)
		return !ok || utilization >= limit || in.Waiting > 0
	}
	switch {
	case s.level < levelSite && isFull(s.level, widenUtilization):
		s.level++
		s.belowSince = in.Now
	case s.level == levelZone:
	case isFull(s.level-1, narrowUtilization):
		s.belowSince = in.Now
	case in.Now-s.belowSince >= narrowAfter:
		s.level--
		s.belowSince = in.Now
	}
}

// utilization returns the fraction of the capacity that is in use within a level; false if the level has no capacity. Closed zones and
// zones that this process does not reach have none.
func (s *Selector) utilization(in Input, level int) (float64, bool) {
	capacity, used := 0.0, 0.0
	for _, zone := range s.Zones {
		summary := in.Summaries[zone.Name]
		isNear := zone.Name == s.OwnZone || !s.isBeyond(level, zone)
		if isNear && in.State.Zone(zone.Name).State != clusterstate.Closed && !summary.isLost() {
			capacity, used = capacity+summary.Capacity, used+summary.Used
		}
	}
	return used / max(1e-9, capacity), capacity > 0
}

// isBeyondLevel reports whether a zone is farther than this process sends.
func (s *Selector) isBeyondLevel(zone Location) bool { return s.isBeyond(s.level, zone) }

// isBeyond reports whether a zone is outside of a level. The own zone is beyond levelZone too: callers except it.
func (s *Selector) isBeyond(level int, zone Location) bool {
	if !s.LocalityAware || s.OwnZone == "" || level >= levelSite {
		return false
	}
	return level == levelZone || zone.Region == "" || zone.Region != s.regionOf(s.OwnZone)
}

// regionOf returns the region of a zone, empty if it has none.
func (s *Selector) regionOf(name string) string {
	for _, zone := range s.Zones {
		if zone.Name == name {
			return zone.Region
		}
	}
	return ""
}
