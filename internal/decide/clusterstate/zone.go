package clusterstate

import "maps"

// ZoneState says whether work is sent to a zone. The values are part of the formats of commands and snapshots.
type ZoneState uint32

// States of a zone.
const (
	Open      ZoneState = iota // work is sent to the zone
	Suspect                    // the zone may be lost; work is still sent to it
	Closed                     // work is sent to other zones
	Returning                  // work returns to the zone step by step
)

// String returns the name that logs show, and "unknown" for a value that is not a state.
func (s ZoneState) String() string {
	return [...]string{"open", "suspect", "closed", "returning", "unknown"}[min(s, Returning+1)]
}

// Hold-down times in ms, for which a zone that was closed does not reopen.
const (
	minHoldDown  = 5000 // after the first closing; it doubles with each recent closing
	maxHoldDown  = 640e3
	closingDecay = 600e3 // for each such period in which a zone is open, it has one recent closing less
)

// maxHoldDownDoublings prevents an integer overflow when the hold-down is doubled.
const maxHoldDownDoublings = 16

// transition is a change of a zone's state.
type transition struct{ from, to ZoneState }

// transitions are the permitted changes of a zone's state.
var transitions = map[transition]bool{
	{Open, Suspect}:     true,
	{Suspect, Open}:     true,
	{Suspect, Closed}:   true,
	{Closed, Returning}: true,
	{Returning, Open}:   true,
	{Returning, Closed}: true,
}

// SetZoneState changes the state of a zone. It is refused if the zone's state has changed since the proposer saw it.
type SetZoneState struct {
	Zone        string
	SeenVersion uint64 // Zone.Version as the proposer saw it
	State       ZoneState
	Cause       string
}

func (c SetZoneState) apply(s *State, _ *Command) Refusal {
	zone, known := s.zones[c.Zone]
	zone.Name = c.Zone
	if refusal := c.check(s, zone, known); refusal != Accepted {
		return refusal
	}
	if zone.State == Open && zone.RecentClosings > 0 {
		zone.RecentClosings -= min(zone.RecentClosings, uint32((s.now-zone.Since)/closingDecay))
	}
	if c.State == Closed {
		zone.ClosedUntil = s.now + min(maxHoldDown, minHoldDown*float64(uint64(1)<<min(zone.RecentClosings, maxHoldDownDoublings)))
		zone.RecentClosings++
	}
	zone.State, zone.Since, zone.Version, zone.Cause = c.State, s.now, s.version, c.Cause
	s.zones[c.Zone] = zone
	if c.State == Open { // load no longer leaves the zone
		maps.DeleteFunc(s.shares, func(r Route, _ uint32) bool { return r.From == c.Zone })
	}
	return Accepted
}

// check returns why the change is refused, or Accepted if it is not.
func (c SetZoneState) check(s *State, zone Zone, known bool) Refusal {
	switch {
	case zone.Version != c.SeenVersion:
		return StaleZoneVersion
	case c.Zone == "" || !transitions[transition{zone.State, c.State}]:
		return InvalidTransition
	case !known && len(s.zones) >= maxZones:
		return LimitReached
	case zone.State == Closed && s.now < zone.ClosedUntil:
		return HoldDown
	case c.State == Closed && !s.hasOtherOpenZone(c.Zone):
		return LastOpenZone
	}
	return Accepted
}

// hasOtherOpenZone reports whether another zone that is not closed has an active process. The last zone for which this holds is never closed.
func (s *State) hasOtherOpenZone(except string) bool {
	for _, p := range s.processes {
		if !p.Inactive && p.Zone != except && s.zones[p.Zone].State != Closed {
			return true
		}
	}
	return false
}
