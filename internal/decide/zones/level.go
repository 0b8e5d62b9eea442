package zones

import "ravenpond/internal/decide/clusterstate"

// Levels of locality determine to which zones a process sends.
const (
	levelZone   = iota // only to its own zone
	levelRegion        // to all zones of its region
	levelSite          // to all zones
)

const (
	widenUtilization  = 0.8  // utilization of the present level at which a process widens to the next one
	narrowUtilization = 0.6  // utilization below which the nearer level has room for the process to narrow to it
	narrowAfter       = 5000 // ms for which the nearer level must have had room before the process narrows
)

// Level returns the level of locality: 0 if the process sends only to its own zone, 1 to its region, 2 to all zones.
func (s *Selector) Level() int {
	if !s.LocalityAware {
		return levelSite
	}
	return s.level
}

// updateLevel widens the level by one if the zones within it are full or lost, and narrows it by one if the nearer level has had room for
// narrowAfter.
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

// utilization returns the fraction of the capacity within a level that is in use, or false if the level has no capacity. Closed zones and
// zones that are lost for this process do not count.
func (s *Selector) utilization(in Input, level int) (float64, bool) {
	capacity, used := 0.0, 0.0
	for _, zone := range s.Zones {
		summary := in.Summaries[zone.Name]
		isWithinLevel := zone.Name == s.OwnZone || !s.isBeyond(level, zone)
		if isWithinLevel && in.State.Zone(zone.Name).State != clusterstate.Closed && !summary.isLost() {
			capacity, used = capacity+summary.Capacity, used+summary.Used
		}
	}
	return used / max(1e-9, capacity), capacity > 0
}

// isBeyondLevel reports whether a zone is outside of the present level.
func (s *Selector) isBeyondLevel(zone Location) bool { return s.isBeyond(s.level, zone) }

// isBeyond reports whether a zone is outside of a level. At levelZone it returns true for the process's own zone too, which callers have to
// check first.
func (s *Selector) isBeyond(level int, zone Location) bool {
	if !s.LocalityAware || s.OwnZone == "" || level >= levelSite {
		return false
	}
	return level == levelZone || zone.Region == "" || zone.Region != s.regionOf(s.OwnZone)
}

// regionOf returns the region of a zone, or an empty string if it has none.
func (s *Selector) regionOf(name string) string {
	for _, zone := range s.Zones {
		if zone.Name == name {
			return zone.Region
		}
	}
	return ""
}
