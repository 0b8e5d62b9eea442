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

	codec "ravenpond/internal/proto/book"
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
	Taken      Refusal = iota
	OldLife            // a later life of the subject acts
	NotThere           // no such process, or it is out
	Moved              // the zone's state is not the one that the proposer saw
	NoWay              // no such step between states
	Resting            // a zone that closed again and again stays closed for a while
	LastOne            // with it no zone would be open
	TooMuch            // a share twice, of nothing, or of and to the same zone
	Full               // the state has grown to its bound
	Unreadable         // by this version of the program
)

func (r Refusal) String() string {
	return [...]string{"taken", "older-life", "not-there", "moved", "no-way", "resting", "last-zone", "too-much", "full", "unreadable"}[min(r, 9)]
}

// Bounds of the state, and times in ms.
const (
	mostProcesses = 1024
	mostZones     = 256
	mostShares    = 2048

	restFirst = 5000 // that a zone stays closed after its first closing, doubling with each that follows
	restMost  = 640e3
	forgiven  = 600e3 // open for so long, one closing is forgotten
)

// Process is one that acts, or did.
type Process struct {
	Name, Zone, Region string
	Life, Epoch        uint64
	Out                bool

	number  uint64 // of its last command, proposed in the life speaks
	speaks  uint64
	refused Refusal
}

// Zone is what the state says of a zone.
type Zone struct {
	Name     string
	State    ZoneState
	Since    float64 // ms
	Version  uint64  // at which that was written
	Closings uint32  // lately
	Rest     float64 // until when it stays closed
	Cause    string
}

// Way is from one zone to another.
type Way struct{ From, To string }

// State is the state at one version. It is changed by Apply alone.
type State struct {
	version   uint64
	now       float64
	epochs    uint64
	processes map[string]Process
	zones     map[string]Zone
	shares    map[Way]uint32
	plan      uint64
}

// New is a state in which nothing stands.
func New() *State {
	return &State{processes: map[string]Process{}, zones: map[string]Zone{}, shares: map[Way]uint32{}}
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

// Acting is how many processes act from a zone.
func (s *State) Acting(zone string) (n int) {
	for _, p := range s.processes {
		if !p.Out && p.Zone == zone {
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
func (s *State) Share(from, to string) uint32 { return s.shares[Way{from, to}] }

// Plan is the version at which the shares were written, and all of them in order.
func (s *State) Plan() (version uint64, each func(yield func(w Way, part uint32) bool)) {
	return s.plan, func(yield func(Way, uint32) bool) {
		for _, w := range s.ways() {
			if !yield(w, s.shares[w]) {
				return
			}
		}
	}
}

func (s *State) ways() []Way {
	return slices.SortedFunc(maps.Keys(s.shares), func(x, y Way) int {
		return cmp.Or(cmp.Compare(x.From, y.From), cmp.Compare(x.To, y.To))
	})
}

// LastResult is what came of the last command that a life of a process proposed; false if none has come.
func (s *State) LastResult(name string, life uint64) (number uint64, refused Refusal, ok bool) {
	p, ok := s.processes[name]
	if !ok || p.speaks != life {
		return 0, 0, false
	}
	return p.number, p.refused, true
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
		return Taken, fmt.Errorf("command of version %d after %d", version, s.version)
	}
	s.version = version
	if len(command) == 0 {
		return Taken, nil
	}
	refused := Unreadable
	var shares []share
	err := codec.ReadCommand(command, func(from, to string, part uint32) { shares = append(shares, share{Way{from, to}, part}) },
		func(name string, life, number uint64, at float64, kind uint32, subject, zone, region string, epoch uint64, state uint32, cause string) {
			p := s.processes[name]
			if life < p.speaks || life == p.speaks && number <= p.number { // it came before
				refused = p.refused
				return
			}
			s.now = max(s.now, at) // the council lets no time in that is far from its leader's
			switch kind {
			case codec.Act:
				refused = s.act(subject, life, zone, region, subject == name)
			case codec.Out:
				refused = s.out(subject, epoch)
			case codec.Verdict:
				refused = s.verdict(subject, epoch, ZoneState(state), cause)
			case codec.Plan:
				refused = s.divide(shares)
			}
			if p, ok := s.processes[name]; ok { // strangers are not kept
				p.speaks, p.number, p.refused = life, number, refused
				s.processes[name] = p
			}
		})
	if err != nil {
		return Unreadable, nil // all read it alike
	}
	return refused, nil
}

type share struct {
	way  Way
	part uint32
}

// act has a process act in a life, under an epoch that nobody had before.
func (s *State) act(name string, life uint64, zone, region string, own bool) Refusal {
	p, ok := s.processes[name]
	switch {
	case !own:
		return NotThere // each speaks for itself
	case ok && life < p.Life:
		return OldLife
	case ok && life == p.Life && !p.Out && p.Zone == zone && p.Region == region:
		return Taken
	case !ok && len(s.processes) >= mostProcesses && !s.forgets():
		return Full
	}
	s.epochs++
	p.Name, p.Life, p.Epoch, p.Zone, p.Region, p.Out = name, life, s.epochs, zone, region, false
	s.processes[name] = p
	return Taken
}

// forgets drops the process that is out under the oldest epoch.
func (s *State) forgets() bool {
	oldest := Process{Epoch: math.MaxUint64}
	for _, p := range s.processes {
		if p.Out && p.Epoch < oldest.Epoch {
			oldest = p
		}
	}
	delete(s.processes, oldest.Name)
	return oldest.Name != ""
}

// out has a process act no more under an epoch.
func (s *State) out(name string, epoch uint64) Refusal {
	p, ok := s.processes[name]
	if !ok || p.Out || p.Epoch != epoch {
		return NotThere
	}
	p.Out = true
	s.processes[name] = p
	return Taken
}

// steps are those that a zone's state may take.
var steps = map[[2]ZoneState]bool{{Open, Suspect}: true, {Suspect, Open}: true, {Suspect, Closed}: true, {Closed, Returning}: true,
	{Returning, Open}: true, {Returning, Closed}: true}

// verdict changes a zone's state from the one that was written at a version.
func (s *State) verdict(name string, seen uint64, to ZoneState, cause string) Refusal {
	z, ok := s.zones[name]
	z.Name = name
	switch {
	case z.Version != seen:
		return Moved
	case name == "" || !steps[[2]ZoneState{z.State, to}]:
		return NoWay
	case !ok && len(s.zones) >= mostZones:
		return Full
	case z.State == Closed && s.now < z.Rest:
		return Resting
	case to == Closed && !s.another(name):
		return LastOne
	}
	if z.State == Open && z.Closings > 0 {
		z.Closings -= min(z.Closings, uint32((s.now-z.Since)/forgiven))
	}
	if to == Closed {
		z.Rest = s.now + min(restMost, restFirst*float64(uint64(1)<<min(z.Closings, 16)))
		z.Closings++
	}
	z.State, z.Since, z.Version, z.Cause = to, s.now, s.version, cause
	s.zones[name] = z
	if to == Open { // nothing leaves it any more
		maps.DeleteFunc(s.shares, func(w Way, _ uint32) bool { return w.From == name })
	}
	return Taken
}

// another tells whether some process acts from another zone that is not closed: the last one is never closed.
func (s *State) another(but string) bool {
	for _, p := range s.processes {
		if !p.Out && p.Zone != but && s.zones[p.Zone].State != Closed {
			return true
		}
	}
	return false
}

// divide takes a plan of who takes how much of whom. What no share names is taken by nobody.
func (s *State) divide(shares []share) Refusal {
	if len(shares) > mostShares {
		return Full
	}
	all := map[Way]uint32{}
	for _, share := range shares {
		if _, twice := all[share.way]; twice || share.way.From == share.way.To || share.part == 0 {
			return TooMuch
		}
		all[share.way] = share.part
	}
	s.shares, s.plan = all, s.version
	return Taken
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
		case p.Epoch == 0 || p.Epoch > s.epochs || p.Name != name || p.Life == 0:
			return fmt.Errorf("%w: process %s: %+v of %d epochs", ErrInvalid, name, p, s.epochs)
		}
		epochs[p.Epoch] = name
	}
	for name, z := range s.zones {
		if z.Name != name || z.State > Returning || z.Version == 0 || z.Version > s.version || z.Since > s.now || z.State == Closed && z.Closings == 0 {
			return fmt.Errorf("%w: zone %s: %+v at version %d", ErrInvalid, name, z, s.version)
		}
	}
	for w, cores := range s.shares {
		if cores == 0 || cores > codec.MostCores || w.From == w.To {
			return fmt.Errorf("%w: %d cores of what leaves %s to %s", ErrInvalid, cores, w.From, w.To)
		}
	}
	return nil
}

// Snapshot is the whole state in bytes, the same for equal states.
func (s *State) Snapshot() []byte {
	out := codec.AppendHead(nil, s.version, s.now, s.epochs, s.plan)
	for _, p := range s.Processes() {
		out = codec.AppendProcess(out, p.Name, p.Life, p.Epoch, p.Zone, p.Region, p.Out, p.number, uint32(p.refused), p.speaks)
	}
	for _, z := range s.Zones() {
		out = codec.AppendZone(out, z.Name, uint32(z.State), z.Since, z.Version, z.Closings, z.Rest, z.Cause)
	}
	for _, w := range s.ways() {
		out = codec.AppendHeld(out, w.From, w.To, s.shares[w])
	}
	return out
}

// Read reads a snapshot. One that holds what a state must not is not read.
func Read(snapshot []byte) (*State, error) {
	b := New()
	if err := codec.ReadSnapshot(snapshot, taker{b}); err != nil {
		return nil, fmt.Errorf("cluster state: %w", err)
	}
	if err := b.Check(); err != nil {
		return nil, err
	}
	return b, nil
}

type taker struct{ *State }

func (t taker) Head(version uint64, now float64, epochs, plan uint64) {
	t.version, t.now, t.epochs, t.plan = version, now, epochs, plan
}

func (t taker) Process(name string, life, epoch uint64, zone, region string, out bool, number uint64, refused uint32, speaks uint64) {
	t.processes[name] = Process{name, zone, region, life, epoch, out, number, speaks, Refusal(refused)}
}

func (t taker) Zone(name string, state uint32, since float64, version uint64, closings uint32, rest float64, cause string) {
	t.zones[name] = Zone{name, ZoneState(state), since, version, closings, rest, cause}
}

func (t taker) Held(from, to string, part uint32) { t.shares[Way{from, to}] = part }
