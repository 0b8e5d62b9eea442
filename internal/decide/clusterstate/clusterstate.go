// Package clusterstate is the small book that a site's schedulers agree on: commands in the order that the council gives them go in,
// state and refusals with their reasons come out. The same commands give the same bytes everywhere. It holds which process
// acts in which life under which epoch, and from which zone; the verdicts on zones; and who takes how much of what must leave
// a zone.
//
// Whoever proposes may be late, twice, stopped or of an older life: a command names its proposer's life and a number that
// grows, so one that comes again has no effect, and one about a zone names the version at which it saw that zone's state. No
// command can make the book hold what it must not; Check says what that is.
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

// State is what the book says of a zone.
type State uint32

// States of a zone.
const (
	Open      State = iota // work goes there
	Suspect                // nothing follows yet but care
	Closed                 // work goes elsewhere
	Returning              // it is let in by steps
)

func (s State) String() string {
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
	Full               // the book has grown to its bound
	Unreadable         // by this version of the program
)

func (r Refusal) String() string {
	return [...]string{"taken", "older-life", "not-there", "moved", "no-way", "resting", "last-zone", "too-much", "full", "unreadable"}[min(r, 9)]
}

// Bounds of the book, and times in ms.
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

// Zone is what the book says of a zone.
type Zone struct {
	Name     string
	State    State
	Since    float64 // ms
	Version  uint64  // at which that was written
	Closings uint32  // lately
	Rest     float64 // until when it stays closed
	Cause    string
}

// Way is from one zone to another.
type Way struct{ From, To string }

// Book is the book at one version. It is changed by Apply alone.
type Book struct {
	version   uint64
	now       float64
	epochs    uint64
	processes map[string]Process
	zones     map[string]Zone
	shares    map[Way]uint32
	plan      uint64
}

// New is a book in which nothing stands.
func New() *Book {
	return &Book{processes: map[string]Process{}, zones: map[string]Zone{}, shares: map[Way]uint32{}}
}

// Version is how many commands the book was changed by, in the council's count.
func (b *Book) Version() uint64 { return b.version }

// Now is the latest time that a command named, ms.
func (b *Book) Now() float64 { return b.now }

// Process is what stands of a process.
func (b *Book) Process(name string) (Process, bool) {
	p, ok := b.processes[name]
	return p, ok
}

// Processes are all, by name.
func (b *Book) Processes() []Process {
	return slices.SortedFunc(maps.Values(b.processes), func(x, y Process) int { return cmp.Compare(x.Name, y.Name) })
}

// Acting is how many processes act from a zone.
func (b *Book) Acting(zone string) (n int) {
	for _, p := range b.processes {
		if !p.Out && p.Zone == zone {
			n++
		}
	}
	return n
}

// Zone is what stands of a zone: one of which nothing does is open.
func (b *Book) Zone(name string) Zone {
	if z, ok := b.zones[name]; ok {
		return z
	}
	return Zone{Name: name}
}

// Zones are all of which something stands, by name.
func (b *Book) Zones() []Zone {
	return slices.SortedFunc(maps.Values(b.zones), func(x, y Zone) int { return cmp.Compare(x.Name, y.Name) })
}

// Share is how many cores of what leaves a zone another takes.
func (b *Book) Share(from, to string) uint32 { return b.shares[Way{from, to}] }

// Plan is the version at which the shares were written, and all of them in order.
func (b *Book) Plan() (version uint64, each func(yield func(w Way, part uint32) bool)) {
	return b.plan, func(yield func(Way, uint32) bool) {
		for _, w := range b.ways() {
			if !yield(w, b.shares[w]) {
				return
			}
		}
	}
}

func (b *Book) ways() []Way {
	return slices.SortedFunc(maps.Keys(b.shares), func(x, y Way) int {
		return cmp.Or(cmp.Compare(x.From, y.From), cmp.Compare(x.To, y.To))
	})
}

// Said is what came of the last command that a life of a process proposed; false if none has come.
func (b *Book) Said(name string, life uint64) (number uint64, refused Refusal, ok bool) {
	p, ok := b.processes[name]
	if !ok || p.speaks != life {
		return 0, 0, false
	}
	return p.number, p.refused, true
}

// Clone is the same book, of its own.
func (b *Book) Clone() *Book {
	c := *b
	c.processes, c.zones, c.shares = maps.Clone(b.processes), maps.Clone(b.zones), maps.Clone(b.shares)
	return &c
}

// Apply changes the book by the next command, which has a later version than all before; none changes the version alone.
func (b *Book) Apply(version uint64, command []byte) (Refusal, error) {
	if version <= b.version {
		return Taken, fmt.Errorf("command of version %d after %d", version, b.version)
	}
	b.version = version
	if len(command) == 0 {
		return Taken, nil
	}
	refused := Unreadable
	var shares []share
	err := codec.ReadCommand(command, func(from, to string, part uint32) { shares = append(shares, share{Way{from, to}, part}) },
		func(name string, life, number uint64, at float64, kind uint32, subject, zone, region string, epoch uint64, state uint32, cause string) {
			p := b.processes[name]
			if life < p.speaks || life == p.speaks && number <= p.number { // it came before
				refused = p.refused
				return
			}
			b.now = max(b.now, at) // the council lets no time in that is far from its leader's
			switch kind {
			case codec.Act:
				refused = b.act(subject, life, zone, region, subject == name)
			case codec.Out:
				refused = b.out(subject, epoch)
			case codec.Verdict:
				refused = b.verdict(subject, epoch, State(state), cause)
			case codec.Plan:
				refused = b.divide(shares)
			}
			if p, ok := b.processes[name]; ok { // strangers are not kept
				p.speaks, p.number, p.refused = life, number, refused
				b.processes[name] = p
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
func (b *Book) act(name string, life uint64, zone, region string, own bool) Refusal {
	p, ok := b.processes[name]
	switch {
	case !own:
		return NotThere // each speaks for itself
	case ok && life < p.Life:
		return OldLife
	case ok && life == p.Life && !p.Out && p.Zone == zone && p.Region == region:
		return Taken
	case !ok && len(b.processes) >= mostProcesses && !b.forgets():
		return Full
	}
	b.epochs++
	p.Name, p.Life, p.Epoch, p.Zone, p.Region, p.Out = name, life, b.epochs, zone, region, false
	b.processes[name] = p
	return Taken
}

// forgets drops the process that is out under the oldest epoch.
func (b *Book) forgets() bool {
	oldest := Process{Epoch: math.MaxUint64}
	for _, p := range b.processes {
		if p.Out && p.Epoch < oldest.Epoch {
			oldest = p
		}
	}
	delete(b.processes, oldest.Name)
	return oldest.Name != ""
}

// out has a process act no more under an epoch.
func (b *Book) out(name string, epoch uint64) Refusal {
	p, ok := b.processes[name]
	if !ok || p.Out || p.Epoch != epoch {
		return NotThere
	}
	p.Out = true
	b.processes[name] = p
	return Taken
}

// steps are those that a zone's state may take.
var steps = map[[2]State]bool{{Open, Suspect}: true, {Suspect, Open}: true, {Suspect, Closed}: true, {Closed, Returning}: true,
	{Returning, Open}: true, {Returning, Closed}: true}

// verdict changes a zone's state from the one that was written at a version.
func (b *Book) verdict(name string, seen uint64, to State, cause string) Refusal {
	z, ok := b.zones[name]
	z.Name = name
	switch {
	case z.Version != seen:
		return Moved
	case name == "" || !steps[[2]State{z.State, to}]:
		return NoWay
	case !ok && len(b.zones) >= mostZones:
		return Full
	case z.State == Closed && b.now < z.Rest:
		return Resting
	case to == Closed && !b.another(name):
		return LastOne
	}
	if z.State == Open && z.Closings > 0 {
		z.Closings -= min(z.Closings, uint32((b.now-z.Since)/forgiven))
	}
	if to == Closed {
		z.Rest = b.now + min(restMost, restFirst*float64(uint64(1)<<min(z.Closings, 16)))
		z.Closings++
	}
	z.State, z.Since, z.Version, z.Cause = to, b.now, b.version, cause
	b.zones[name] = z
	if to == Open { // nothing leaves it any more
		maps.DeleteFunc(b.shares, func(w Way, _ uint32) bool { return w.From == name })
	}
	return Taken
}

// another tells whether some process acts from another zone that is not closed: the last one is never closed.
func (b *Book) another(but string) bool {
	for _, p := range b.processes {
		if !p.Out && p.Zone != but && b.zones[p.Zone].State != Closed {
			return true
		}
	}
	return false
}

// divide takes a plan of who takes how much of whom. What no share names is taken by nobody.
func (b *Book) divide(shares []share) Refusal {
	if len(shares) > mostShares {
		return Full
	}
	all := map[Way]uint32{}
	for _, s := range shares {
		if _, twice := all[s.way]; twice || s.way.From == s.way.To || s.part == 0 {
			return TooMuch
		}
		all[s.way] = s.part
	}
	b.shares, b.plan = all, b.version
	return Taken
}

// ErrBroken is of a book that holds what it must not.
var ErrBroken = errors.New("the book is broken")

// Check holds the book against what must hold of it whatever came in.
func (b *Book) Check() error {
	epochs := map[uint64]string{}
	for name, p := range b.processes {
		switch other, twice := epochs[p.Epoch]; {
		case twice:
			return fmt.Errorf("%w: %s and %s act under epoch %d", ErrBroken, other, name, p.Epoch)
		case p.Epoch == 0 || p.Epoch > b.epochs || p.Name != name || p.Life == 0:
			return fmt.Errorf("%w: process %s: %+v of %d epochs", ErrBroken, name, p, b.epochs)
		}
		epochs[p.Epoch] = name
	}
	for name, z := range b.zones {
		if z.Name != name || z.State > Returning || z.Version == 0 || z.Version > b.version || z.Since > b.now || z.State == Closed && z.Closings == 0 {
			return fmt.Errorf("%w: zone %s: %+v at version %d", ErrBroken, name, z, b.version)
		}
	}
	for w, cores := range b.shares {
		if cores == 0 || cores > codec.MostCores || w.From == w.To {
			return fmt.Errorf("%w: %d cores of what leaves %s to %s", ErrBroken, cores, w.From, w.To)
		}
	}
	return nil
}

// Snapshot is the whole book in bytes, the same for the same book.
func (b *Book) Snapshot() []byte {
	out := codec.AppendHead(nil, b.version, b.now, b.epochs, b.plan)
	for _, p := range b.Processes() {
		out = codec.AppendProcess(out, p.Name, p.Life, p.Epoch, p.Zone, p.Region, p.Out, p.number, uint32(p.refused), p.speaks)
	}
	for _, z := range b.Zones() {
		out = codec.AppendZone(out, z.Name, uint32(z.State), z.Since, z.Version, z.Closings, z.Rest, z.Cause)
	}
	for _, w := range b.ways() {
		out = codec.AppendHeld(out, w.From, w.To, b.shares[w])
	}
	return out
}

// Read reads a snapshot. One that holds what a book must not is not read.
func Read(snapshot []byte) (*Book, error) {
	b := New()
	if err := codec.ReadSnapshot(snapshot, taker{b}); err != nil {
		return nil, fmt.Errorf("book: %w", err)
	}
	if err := b.Check(); err != nil {
		return nil, err
	}
	return b, nil
}

type taker struct{ *Book }

func (t taker) Head(version uint64, now float64, epochs, plan uint64) {
	t.version, t.now, t.epochs, t.plan = version, now, epochs, plan
}

func (t taker) Process(name string, life, epoch uint64, zone, region string, out bool, number uint64, refused uint32, speaks uint64) {
	t.processes[name] = Process{name, zone, region, life, epoch, out, number, speaks, Refusal(refused)}
}

func (t taker) Zone(name string, state uint32, since float64, version uint64, closings uint32, rest float64, cause string) {
	t.zones[name] = Zone{name, State(state), since, version, closings, rest, cause}
}

func (t taker) Held(from, to string, part uint32) { t.shares[Way{from, to}] = part }
