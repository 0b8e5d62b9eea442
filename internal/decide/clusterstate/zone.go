package clusterstate

import "maps"

// ZoneState says whether work goes to a zone. The values are part of commands and snapshots.
type ZoneState uint32

// States of a zone.
const (
	Open      ZoneState = iota // work goes there
	Suspect                    // may be lost; work still goes there
	Closed                     // work goes elsewhere
	Returning                  // work returns step by step
)

// String returns the name that logs show.
func (s ZoneState) String() string {
	return [...]string{"open", "suspect", "closed", "returning", "unknown"}[min(s, Returning+1)]
}

// Hold-down times of a zone that closes, in ms.
const (
	minHoldDown  = 5000 // after its first closing; it doubles with each recent one
	maxHoldDown  = 640e3
	closingDecay = 600e3 // a zone open for this long has one recent closing less
)

// maxHoldDownDoublings keeps the doubling of the hold-down within an integer.
const maxHoldDownDoublings = 16

type transition struct{ from, to ZoneState }

var transitions = map[transition]bool{
	{Open, Suspect}:     true,
	{Suspect, Open}:     true,
	{Suspect, Closed}:   true,
	{Closed, Returning}: true,
	{Returning, Open}:   true,
	{Returning, Closed}: true,
}

// SetZoneState changes the state of a zone.
type SetZoneState struct {
	Zone        string
	SeenVersion uint64 // Zone.Version when the proposer saw the zone
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
	if c.State == Open { // no load leaves the zone any more
		maps.DeleteFunc(s.shares, func(r Route, _ uint32) bool { return r.From == c.Zone })
	}
	return Accepted
}

// check returns why the change is refused, and Accepted if it is not.
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

// hasOtherOpenZone reports whether an active process is in another zone that is not closed. The last such zone is never closed.
func (s *State) hasOtherOpenZone(except string) bool {
	for _, p := range s.processes {
		if !p.Inactive && p.Zone != except && s.zones[p.Zone].State != Closed {
			return true
		}
	}
	return false
}
