// Package tenancy decides about the tenants of a hosted service: which change of one is taken, to what state it leads, and
// what that asks of those who place for it. It guards against changes that cross each other, against a removal that is
// forgotten halfway or goes back, and against a newcomer that is taken for who had its place before.
//
// It is free of I/O. A book is what a store keeps; each process reads the same one.
package tenancy

import (
	"cmp"
	"fmt"
	"math"
	"regexp"
	"slices"

	"ravenpond/internal/decide/connadmission"
	"ravenpond/internal/decide/fairqueue"
	"ravenpond/internal/decide/quotalease"
)

// State is where a tenant is in its life.
type State uint8

const (
	Active   State = iota + 1
	Paused         // nothing new is taken; what is open and runs goes on
	Removing       // nothing new is taken, what is open is answered, what runs ends as was chosen
	Removed        // nothing of it is left
)

var states = [...]string{Active: "active", Paused: "paused", Removing: "removing", Removed: "removed"}

func (s State) String() string { return states[s] }

// Ending is what becomes of what runs for a tenant that is removed. A later change may only make it harder.
type Ending uint8

const (
	RunOut Ending = iota // it runs to its end
	Stop                 // it is stopped
)

var endings = [...]string{"run-out", "stop"}

func (e Ending) String() string { return endings[e] }

// EndingOf reads one.
func EndingOf(text string) (Ending, *Fault) {
	if i := slices.Index(endings[:], text); i >= 0 {
		return Ending(i), nil
	}
	return 0, &Fault{"ending", Invalid, fmt.Sprintf("%.20q: run-out or stop is expected", text)}
}

// Limits are a tenant's, over all processes.
type Limits struct {
	fairqueue.Limits
	Conns int     `json:"Conns"` // connections of its owners at once, 0: by its share of the door
	Bytes float64 `json:"Bytes"` // that they may send a second, 0: as many as usual
}

// Tenant is one.
type Tenant struct {
	Name    string
	Slot    int // by which schedulers and nodes know it
	State   State
	Limits  Limits  // for all processes together
	Ending  Ending  `json:"Ending"`
	Version uint64  // raised by each change
	Changed float64 `json:"Changed"` // when the state last changed, wall clock in ms
}

// Kind is a kind of change.
type Kind uint8

const (
	Add Kind = iota + 1
	Limit
	Pause
	Resume
	Remove
)

var kinds = [...]string{Add: "add", Limit: "limit", Pause: "pause", Resume: "resume", Remove: "remove"}

func (k Kind) String() string { return kinds[k] }

// Change is what somebody wants.
type Change struct {
	Kind    Kind
	Name    string
	Limits  Limits
	Ending  Ending `json:"Ending"`
	Version uint64 // that it was decided on; 0: whatever is there
}

// Sort tells what kind of fault stands against a change.
type Sort uint8

const (
	Invalid Sort = iota // the change itself is wrong
	Unknown             // no such tenant
	Exists              // there is one of that name
	Stale               // it was decided on another version
	Barred              // the tenant's state does not allow it
	NoRoom              // as many as can be are there
)

// Fault is why a change is not taken.
type Fault struct {
	Field string
	Sort  Sort `json:"Sort"`
	Text  string
}

func (f *Fault) Error() string { return f.Field + ": " + f.Text }

// Book is all tenants.
type Book struct {
	slots  int
	all    map[string]*Tenant
	bySlot []*Tenant
}

// RestSlot is how long, in ms, a slot stays empty after a removal: longer than any node holds word of what it ran, any
// owner waits and any process lags behind the book, so that nothing of the old tenant is counted to the new one.
const RestSlot = 3600e3

// New makes a book for so many tenants at once.
func New(slots int) *Book {
	return &Book{slots: slots, all: map[string]*Tenant{}, bySlot: make([]*Tenant, slots)}
}

// Slots is how many there may be.
func (b *Book) Slots() int { return b.slots }

// Put takes a tenant as it was kept. A fault means that the book was not written by this package.
func (b *Book) Put(t Tenant) error {
	switch {
	case !named(t.Name):
		return fmt.Errorf("tenant %.40q: bad name", t.Name)
	case t.Slot < 0 || t.Slot >= b.slots:
		return fmt.Errorf("tenant %s: slot %d of %d", t.Name, t.Slot, b.slots)
	case t.State < Active || t.State > Removed || t.Ending > Stop || t.Version == 0:
		return fmt.Errorf("tenant %s: state %d, ending %d, version %d", t.Name, t.State, t.Ending, t.Version)
	case check(t.Limits) != nil:
		return fmt.Errorf("tenant %s: %w", t.Name, check(t.Limits))
	}
	if old := b.bySlot[t.Slot]; old != nil && old.Name != t.Name {
		if old.State != Removed && t.State != Removed {
			return fmt.Errorf("tenants %s and %s have one slot", old.Name, t.Name)
		}
		if t.State == Removed { // the newer one has it
			return nil
		}
		delete(b.all, old.Name)
	}
	b.all[t.Name], b.bySlot[t.Slot] = &t, &t
	return nil
}

// Get gives a tenant, At the one at a slot.
func (b *Book) Get(name string) (Tenant, bool) {
	if t := b.all[name]; t != nil {
		return *t, true
	}
	return Tenant{}, false
}

// At gives the tenant at a slot, even one that was removed.
func (b *Book) At(slot int) (Tenant, bool) {
	if slot >= 0 && slot < b.slots && b.bySlot[slot] != nil {
		return *b.bySlot[slot], true
	}
	return Tenant{}, false
}

// All gives all tenants in order of their names.
func (b *Book) All() (all []Tenant) {
	for _, t := range b.all {
		all = append(all, *t)
	}
	slices.SortFunc(all, func(x, y Tenant) int { return cmp.Compare(x.Name, y.Name) })
	return all
}

var name = regexp.MustCompile(`^[a-z0-9]([a-z0-9-]{0,61}[a-z0-9])?$`)

func named(s string) bool { return name.MatchString(s) }

// Bounds of limits.
const (
	mostRate  = 1e6
	mostOpen  = 1e7
	mostBytes = 1e9
)

func check(l Limits) *Fault {
	number := func(v, least, most float64) bool { return v >= least && v <= most && !math.IsNaN(v) }
	switch {
	case !number(l.Share, 1e-6, 1e6):
		return &Fault{"share", Invalid, "a number above 0 is expected"}
	case !number(l.Rate, 0, mostRate):
		return &Fault{"rate", Invalid, fmt.Sprintf("0 to %g asks a second are expected", mostRate)}
	case !number(l.Burst, 0, mostRate) || l.Rate > 0 && l.Burst < 1:
		return &Fault{"burst", Invalid, "1 or more is expected where there is a rate"}
	case l.MaxOpen < 0 || l.MaxOpen > mostOpen:
		return &Fault{"open", Invalid, fmt.Sprintf("0 to %g are expected", mostOpen)}
	case l.MaxWaiting < 0 || l.MaxWaiting > mostOpen:
		return &Fault{"wait", Invalid, fmt.Sprintf("0 to %g are expected", mostOpen)}
	case l.Conns < 0 || l.Conns > mostOpen:
		return &Fault{"conns", Invalid, fmt.Sprintf("0 to %g are expected", mostOpen)}
	case !number(l.Bytes, 0, mostBytes):
		return &Fault{"bytes", Invalid, fmt.Sprintf("0 to %g a second are expected", mostBytes)}
	case l.Blocked:
		return &Fault{"stop", Invalid, "is not a limit: pause the tenant"}
	}
	return nil
}

// Apply takes a change at a time of the wall clock and gives what the tenant is then; the book is as before if there is a
// fault. To change nothing is no fault, and raises no version: whoever asks again for the same is answered the same.
func (b *Book) Apply(now float64, c Change) (Tenant, *Fault) {
	if !named(c.Name) {
		return Tenant{}, &Fault{"name", Invalid, "1 to 63 small letters, digits and inner hyphens are expected"}
	}
	t := b.all[c.Name]
	if c.Kind == Add {
		return b.add(now, c, t)
	}
	if t == nil || t.State == Removed {
		return Tenant{}, &Fault{"name", Unknown, fmt.Sprintf("no tenant %q", c.Name)}
	}
	if c.Version > 0 && c.Version != t.Version {
		return *t, &Fault{"version", Stale, fmt.Sprintf("is %d by now, not %d", t.Version, c.Version)}
	}
	next := *t
	switch c.Kind {
	case Limit:
		if f := check(c.Limits); f != nil {
			return *t, f
		}
		next.Limits = c.Limits
	case Pause:
		next.State = Paused
	case Resume:
		next.State = Active
	case Remove:
		next.State, next.Ending = Removing, c.Ending
		if t.State == Removing && c.Ending < t.Ending {
			return *t, &Fault{"ending", Barred, "what runs is being stopped already"}
		}
	default:
		return *t, &Fault{"kind", Invalid, "no such change"}
	}
	if t.State == Removing && c.Kind != Remove {
		return *t, &Fault{"name", Barred, fmt.Sprintf("%q is being removed", c.Name)}
	}
	return b.turn(now, t, next), nil
}

// turn makes a tenant what it is to be, under the next version, if that is anything else.
func (b *Book) turn(now float64, t *Tenant, next Tenant) Tenant {
	if next == *t {
		return next
	}
	next.Version++
	if next.State != t.State {
		next.Changed = now
	}
	*t = next
	return next
}

func (b *Book) add(now float64, c Change, t *Tenant) (Tenant, *Fault) {
	if f := check(c.Limits); f != nil {
		return Tenant{}, f
	}
	if c.Version > 0 {
		return Tenant{}, &Fault{"version", Invalid, "none is expected for one that is new"}
	}
	if t != nil && t.State != Removed {
		return *t, &Fault{"name", Exists, fmt.Sprintf("%q is %s", c.Name, t.State)}
	}
	slot := b.free(now)
	if slot < 0 {
		return Tenant{}, &Fault{"name", NoRoom, fmt.Sprintf("%d tenants are there, or were until %g minutes ago", b.slots, RestSlot/60e3)}
	}
	version := uint64(1)
	if t != nil {
		version = t.Version + 1
		if t.Slot != slot { // its old place is free for others when its rest is over
			old := *t
			b.bySlot[old.Slot] = &old
		}
	}
	if old := b.bySlot[slot]; old != nil && b.all[old.Name] == old {
		delete(b.all, old.Name)
	}
	made := &Tenant{Name: c.Name, Slot: slot, State: Active, Limits: c.Limits, Version: version, Changed: now}
	b.all[c.Name], b.bySlot[slot] = made, made
	return *made, nil
}

// free finds a slot: one that nobody ever had, else the one that has rested longest.
func (b *Book) free(now float64) int {
	best := -1
	for i, t := range b.bySlot {
		if t == nil {
			return i
		}
		if t.State == Removed && now-t.Changed >= RestSlot && (best < 0 || t.Changed < b.bySlot[best].Changed) {
			best = i
		}
	}
	return best
}

// Finish ends a removal of which nothing is left; false if it is not under way.
func (b *Book) Finish(now float64, name string) (Tenant, bool) {
	t := b.all[name]
	if t == nil || t.State != Removing {
		return Tenant{}, false
	}
	next := *t
	next.State = Removed
	return b.turn(now, t, next), true
}

// Duty is what a tenant's state asks of those who place for it.
type Duty struct {
	Limits fairqueue.Limits     // a process's part of them
	Door   connadmission.Limits // likewise
	Takes  bool                 // new asks
	Answer bool                 // what is open is given up and answered at once
	Stop   bool                 // what runs is stopped
}

// Duty gives it for a process that may use such a part of all limits. What connections may do at the door is divided by place and never
// lent: those of a process that is cut off from the others stay.
func (t *Tenant) Duty(part quotalease.Share) Duty {
	processes, index := part.Places, part.Index
	d := Duty{Limits: t.Limits.Limits, Door: connadmission.Limits{Share: t.Limits.Share, Conns: t.Limits.Conns, Bytes: t.Limits.Bytes}, Takes: t.State == Active, Answer: t.State >= Removing, Stop: t.State >= Removing && t.Ending == Stop}
	n := float64(max(1, processes))
	d.Limits.Rate = part.Rate(d.Limits.Rate)
	d.Limits.Burst = max(1, part.Rate(d.Limits.Burst))
	if t.Limits.MaxOpen > 0 {
		d.Limits.MaxOpen = part.Count(t.Limits.MaxOpen)
		d.Takes = d.Takes && d.Limits.MaxOpen > 0 // fewer may be open than there are processes, and this is not one of those
	}
	if t.Limits.Conns > 0 { // one at least, whatever the sum: who can't come in never hears why
		d.Door.Conns = max(1, fairqueue.DivideLimit(t.Limits.Conns, processes, index))
	}
	d.Door.Bytes /= n
	d.Limits.Blocked = !d.Takes
	return d
}
