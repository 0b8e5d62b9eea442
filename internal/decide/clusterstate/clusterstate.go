// Package clusterstate is the small replicated state that a site's schedulers agree on: commands go in, in the order that the consensus gives them,
// state and refusals with their reasons come out. The same commands give the same bytes everywhere. It holds which process
// acts in which life under which epoch, and from which zone; the verdicts on zones; and who takes how much of what must leave
// a zone.
//
// Whoever proposes may be late, twice, stopped or of an older life: a command names its proposer's life and a number that
// grows, so one that comes again has no effect, and one about a zone names the version at which it saw that zone's state. No
// command can make the state hold what it must not; Check says what that is.
package clusterstate

import (
	"cmp"
	"errors"
	"fmt"
	"maps"
	"math"
	"slices"

	codec "ravenpond/internal/proto/clusterstate"
)

// ZoneState is what the state says of a zone.
type ZoneState uint32

// States of a zone.
const (
	Open      ZoneState = iota // work goes there
	Suspect                    // nothing follows yet but care
	Closed                     // work goes elsewhere
	Returning                  // it is let in by steps
)

func (s ZoneState) String() string {
	return [...]string{"open", "suspect", "closed", "returning", "unknown"}[min(s, 4)]
}

// Refusal is why a command had no effect.
type Refusal uint32

// Refusals.
const (
	Accepted          Refusal = iota
	StaleIncarnation          // a later life of the subject acts
	UnknownProcess            // no such process, or it is out
	StaleZoneVersion          // the zone's state is not the one that the proposer saw
	InvalidTransition         // no such step between states
	HoldDown                  // a zone that closed again and again stays closed for a while
	LastOpenZone              // with it no zone would be open
	InvalidShare              // a share twice, of nothing, or of and to the same zone
	LimitReached              // the state has grown to its bound
	Malformed                 // by this version of the program
)

func (r Refusal) String() string {
	return [...]string{"taken", "older-life", "not-there", "moved", "no-way", "resting", "last-zone", "too-much", "full", "unreadable"}[min(r, 9)]
}

// Bounds of the state, and times in ms.
const (
	maxProcesses = 1024
	maxZones     = 256
	maxShares    = 2048

	minHoldDown  = 5000 // that a zone stays closed after its first closing, doubling with each that follows
	maxHoldDown  = 640e3
	closingDecay = 600e3 // open for so long, one closing is forgotten
)

// Process is one that acts, or did.
type Process struct {
	Name, Zone, Region string
	Incarnation, Epoch uint64
	Inactive           bool

	commandNumber      uint64 // of its last command, proposed in the life speaks
	commandIncarnation uint64
	commandRefusal     Refusal
}

// Zone is what the state says of a zone.
type Zone struct {
	Name           string
	State          ZoneState
	Since          float64 // ms
	Version        uint64  // at which that was written
	RecentClosings uint32  // lately
	ClosedUntil    float64 // until when it stays closed
	Cause          string
}

// Route is from one zone to another.
type Route struct{ From, To string }

// State is the state at one version. It is changed by Apply alone.
type State struct {
	version     uint64
	now         float64
	lastEpoch   uint64
	processes   map[string]Process
	zones       map[string]Zone
	shares      map[Route]uint32
	planVersion uint64
}

// New is a state in which nothing stands.
func New() *State {
	return &State{processes: map[string]Process{}, zones: map[string]Zone{}, shares: map[Route]uint32{}}
}

// Version is how many commands the state was changed by, in the count of the consensus.
func (s *State) Version() uint64 { return s.version }

// Now is the latest time that a command named, ms.
func (s *State) Now() float64 { return s.now }

// Process is what stands of a process.
func (s *State) Process(name string) (Process, bool) {
	p, ok := s.processes[name]
	return p, ok
}

// Processes are all, by name.
func (s *State) Processes() []Process {
	return slices.SortedFunc(maps.Values(s.processes), func(x, y Process) int { return cmp.Compare(x.Name, y.Name) })
}

// ActiveProcesses is how many processes act from a zone.
func (s *State) ActiveProcesses(zone string) (n int) {
	for _, p := range s.processes {
		if !p.Inactive && p.Zone == zone {
			n++
		}
	}
	return n
}

// Zone is what stands of a zone: one of which nothing does is open.
func (s *State) Zone(name string) Zone {
	if z, ok := s.zones[name]; ok {
		return z
	}
	return Zone{Name: name}
}

// Zones are all of which something stands, by name.
func (s *State) Zones() []Zone {
	return slices.SortedFunc(maps.Values(s.zones), func(x, y Zone) int { return cmp.Compare(x.Name, y.Name) })
}

// Share is how many cores of what leaves a zone another takes.
func (s *State) Share(from, to string) uint32 { return s.shares[Route{from, to}] }

// Plan is the version at which the shares were written, and all of them in order.
func (s *State) Plan() (version uint64, shares func(yield func(route Route, cores uint32) bool)) {
	return s.planVersion, func(yield func(Route, uint32) bool) {
		for _, route := range s.sortedRoutes() {
			if !yield(route, s.shares[route]) {
				return
			}
		}
	}
}

func (s *State) sortedRoutes() []Route {
	return slices.SortedFunc(maps.Keys(s.shares), func(x, y Route) int {
		return cmp.Or(cmp.Compare(x.From, y.From), cmp.Compare(x.To, y.To))
	})
}

// LastResult is what came of the last command that a life of a process proposed; false if none has come.
func (s *State) LastResult(name string, incarnation uint64) (number uint64, refusal Refusal, ok bool) {
	p, ok := s.processes[name]
	if !ok || p.commandIncarnation != incarnation {
		return 0, 0, false
	}
	return p.commandNumber, p.commandRefusal, true
}

// Clone is the same book, of its own.
func (s *State) Clone() *State {
	c := *s
	c.processes, c.zones, c.shares = maps.Clone(s.processes), maps.Clone(s.zones), maps.Clone(s.shares)
	return &c
}

// Apply changes the state by the next command, which has a later version than all before; none changes the version alone.
func (s *State) Apply(version uint64, command []byte) (Refusal, error) {
	if version <= s.version {
		return Accepted, fmt.Errorf("command of version %d after %d", version, s.version)
	}
	s.version = version
	if len(command) == 0 {
		return Accepted, nil
	}
	refusal := Malformed
	var shares []plannedShare
	err := codec.ReadCommand(command, func(from, to string, cores uint32) { shares = append(shares, plannedShare{Route{from, to}, cores}) },
		func(name string, incarnation, number uint64, at float64, kind uint32, subject, zone, region string, epoch uint64, state uint32, cause string) {
			p := s.processes[name]
			if incarnation < p.commandIncarnation || incarnation == p.commandIncarnation && number <= p.commandNumber { // it came before
				refusal = p.commandRefusal
				return
			}
			s.now = max(s.now, at) // the council lets no time in that is far from its leader's
			switch kind {
			case codec.CommandActivate:
				refusal = s.activate(subject, incarnation, zone, region, subject == name)
			case codec.CommandDeactivate:
				refusal = s.deactivate(subject, epoch)
			case codec.CommandSetZoneState:
				refusal = s.setZoneState(subject, epoch, ZoneState(state), cause)
			case codec.CommandSetPlan:
				refusal = s.setPlan(shares)
			}
			if p, ok := s.processes[name]; ok { // strangers are not kept
				p.commandIncarnation, p.commandNumber, p.commandRefusal = incarnation, number, refusal
				s.processes[name] = p
			}
		})
	if err != nil {
		return Malformed, nil // all read it alike
	}
	return refusal, nil
}

type plannedShare struct {
	route Route
	cores uint32
}

// activate has a process act in a life, under an epoch that nobody had before.
func (s *State) activate(name string, incarnation uint64, zone, region string, bySubject bool) Refusal {
	p, ok := s.processes[name]
	switch {
	case !bySubject:
		return UnknownProcess // each speaks for itself
	case ok && incarnation < p.Incarnation:
		return StaleIncarnation
	case ok && incarnation == p.Incarnation && !p.Inactive && p.Zone == zone && p.Region == region:
		return Accepted
	case !ok && len(s.processes) >= maxProcesses && !s.evictInactive():
		return LimitReached
	}
	s.lastEpoch++
	p.Name, p.Incarnation, p.Epoch, p.Zone, p.Region, p.Inactive = name, incarnation, s.lastEpoch, zone, region, false
	s.processes[name] = p
	return Accepted
}

// evictInactive drops the process that is out under the oldest epoch.
func (s *State) evictInactive() bool {
	oldest := Process{Epoch: math.MaxUint64}
	for _, p := range s.processes {
		if p.Inactive && p.Epoch < oldest.Epoch {
			oldest = p
		}
	}
	delete(s.processes, oldest.Name)
	return oldest.Name != ""
}

// deactivate has a process act no more under an epoch.
func (s *State) deactivate(name string, epoch uint64) Refusal {
	p, ok := s.processes[name]
	if !ok || p.Inactive || p.Epoch != epoch {
		return UnknownProcess
	}
	p.Inactive = true
	s.processes[name] = p
	return Accepted
}

// transitions are those that a zone's state may take.
var transitions = map[[2]ZoneState]bool{
	{Open, Suspect}: true, {Suspect, Open}: true, {Suspect, Closed}: true, {Closed, Returning}: true,
	{Returning, Open}: true, {Returning, Closed}: true,
}

// setZoneState changes a zone's state from the one that was written at a version.
func (s *State) setZoneState(name string, seen uint64, to ZoneState, cause string) Refusal {
	zone, ok := s.zones[name]
	zone.Name = name
	switch {
	case zone.Version != seen:
		return StaleZoneVersion
	case name == "" || !transitions[[2]ZoneState{zone.State, to}]:
		return InvalidTransition
	case !ok && len(s.zones) >= maxZones:
		return LimitReached
	case zone.State == Closed && s.now < zone.ClosedUntil:
		return HoldDown
	case to == Closed && !s.hasOtherOpenZone(name):
		return LastOpenZone
	}
	if zone.State == Open && zone.RecentClosings > 0 {
		zone.RecentClosings -= min(zone.RecentClosings, uint32((s.now-zone.Since)/closingDecay))
	}
	if to == Closed {
		zone.ClosedUntil = s.now + min(maxHoldDown, minHoldDown*float64(uint64(1)<<min(zone.RecentClosings, 16)))
		zone.RecentClosings++
	}
	zone.State, zone.Since, zone.Version, zone.Cause = to, s.now, s.version, cause
	s.zones[name] = zone
	if to == Open { // nothing leaves it any more
		maps.DeleteFunc(s.shares, func(route Route, _ uint32) bool { return route.From == name })
	}
	return Accepted
}

// hasOtherOpenZone tells whether some process acts from another zone that is not closed: the last one is never closed.
func (s *State) hasOtherOpenZone(except string) bool {
	for _, p := range s.processes {
		if !p.Inactive && p.Zone != except && s.zones[p.Zone].State != Closed {
			return true
		}
	}
	return false
}

// setPlan takes a plan of who takes how much of whom. What no share names is taken by nobody.
func (s *State) setPlan(shares []plannedShare) Refusal {
	if len(shares) > maxShares {
		return LimitReached
	}
	planned := map[Route]uint32{}
	for _, share := range shares {
		if _, twice := planned[share.route]; twice || share.route.From == share.route.To || share.cores == 0 {
			return InvalidShare
		}
		planned[share.route] = share.cores
	}
	s.shares, s.planVersion = planned, s.version
	return Accepted
}

// ErrInvalid is of a state that holds what it must not.
var ErrInvalid = errors.New("the state is broken")

// Check holds the state against what must hold of it whatever came in.
func (s *State) Check() error {
	epochs := map[uint64]string{}
	for name, p := range s.processes {
		switch other, twice := epochs[p.Epoch]; {
		case twice:
			return fmt.Errorf("%w: %s and %s act under epoch %d", ErrInvalid, other, name, p.Epoch)
		case p.Epoch == 0 || p.Epoch > s.lastEpoch || p.Name != name || p.Incarnation == 0:
			return fmt.Errorf("%w: process %s: %+v of %d epochs", ErrInvalid, name, p, s.lastEpoch)
		}
		epochs[p.Epoch] = name
	}
	for name, z := range s.zones {
		if z.Name != name || z.State > Returning || z.Version == 0 || z.Version > s.version || z.Since > s.now || z.State == Closed && z.RecentClosings == 0 {
			return fmt.Errorf("%w: zone %s: %+v at version %d", ErrInvalid, name, z, s.version)
		}
	}
	for route, cores := range s.shares {
		if cores == 0 || cores > codec.MaxCores || route.From == route.To {
			return fmt.Errorf("%w: %d cores of what leaves %s to %s", ErrInvalid, cores, route.From, route.To)
		}
	}
	return nil
}

// Snapshot is the whole state in bytes, the same for equal states.
func (s *State) Snapshot() []byte {
	out := codec.AppendHead(nil, s.version, s.now, s.lastEpoch, s.planVersion)
	for _, p := range s.Processes() {
		out = codec.AppendProcess(out, p.Name, p.Incarnation, p.Epoch, p.Zone, p.Region, p.Inactive, p.commandNumber, uint32(p.commandRefusal), p.commandIncarnation)
	}
	for _, z := range s.Zones() {
		out = codec.AppendZone(out, z.Name, uint32(z.State), z.Since, z.Version, z.RecentClosings, z.ClosedUntil, z.Cause)
	}
	for _, route := range s.sortedRoutes() {
		out = codec.AppendPlanShare(out, route.From, route.To, s.shares[route])
	}
	return out
}

// Read reads a snapshot. One that holds what a state must not is not read.
func Read(snapshot []byte) (*State, error) {
	b := New()
	if err := codec.ReadSnapshot(snapshot, snapshotHandler{b}); err != nil {
		return nil, fmt.Errorf("cluster state: %w", err)
	}
	if err := b.Check(); err != nil {
		return nil, err
	}
	return b, nil
}

type snapshotHandler struct{ *State }

func (t snapshotHandler) OnHeader(version uint64, now float64, epochs, plan uint64) {
	t.version, t.now, t.lastEpoch, t.planVersion = version, now, epochs, plan
}

func (t snapshotHandler) OnProcess(name string, life, epoch uint64, zone, region string, out bool, number uint64, refused uint32, speaks uint64) {
	t.processes[name] = Process{name, zone, region, life, epoch, out, number, speaks, Refusal(refused)}
}

func (t snapshotHandler) OnZone(name string, state uint32, since float64, version uint64, closings uint32, rest float64, cause string) {
	t.zones[name] = Zone{name, ZoneState(state), since, version, closings, rest, cause}
}

func (t snapshotHandler) OnPlanShare(from, to string, part uint32) { t.shares[Route{from, to}] = part }
