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

var stateNames = [...]string{Active: "active", Paused: "paused", Removing: "removing", Removed: "removed"}

func (s State) String() string { return stateNames[s] }

// RemovalMode is what becomes of what runs for a tenant that is removed. A later change may only make it harder.
type RemovalMode uint8

const (
	FinishRunning RemovalMode = iota // it runs to its end
	StopRunning                      // it is stopped
)

var removalModeNames = [...]string{"run-out", "stop"}

func (e RemovalMode) String() string { return removalModeNames[e] }

// ParseRemovalMode reads one.
func ParseRemovalMode(text string) (RemovalMode, *ChangeError) {
	if i := slices.Index(removalModeNames[:], text); i >= 0 {
		return RemovalMode(i), nil
	}
	return 0, &ChangeError{"ending", Invalid, fmt.Sprintf("%.20q: run-out or stop is expected", text)}
}

// Limits are a tenant's, over all processes.
type Limits struct {
	fairqueue.Limits
	MaxConns       int     `json:"Conns"` // connections of its owners at once, 0: by its share of the door
	BytesPerSecond float64 `json:"Bytes"` // that they may send a second, 0: as many as usual
}

// Tenant is one.
type Tenant struct {
	Name           string
	Slot           int // by which schedulers and nodes know it
	State          State
	Limits         Limits      // for all processes together
	Removal        RemovalMode `json:"Ending"`
	Version        uint64      // raised by each change
	StateChangedAt float64     `json:"Changed"` // when the state last changed, wall clock in ms
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

var kindNames = [...]string{Add: "add", Limit: "limit", Pause: "pause", Resume: "resume", Remove: "remove"}

func (k Kind) String() string { return kindNames[k] }

// Change is what somebody wants.
type Change struct {
	Kind    Kind
	Name    string
	Limits  Limits
	Removal RemovalMode `json:"Ending"`
	Version uint64      // that it was decided on; 0: whatever is there
}

// ErrorKind tells what kind of fault stands against a change.
type ErrorKind uint8

const (
	Invalid    ErrorKind = iota // the change itself is wrong
	NotFound                    // no such tenant
	Exists                      // there is one of that name
	Stale                       // it was decided on another version
	NotAllowed                  // the tenant's state does not allow it
	NoCapacity                  // as many as can be are there
)

// ChangeError is why a change is not taken.
type ChangeError struct {
	Field string
	Kind  ErrorKind `json:"Sort"`
	Text  string
}

func (f *ChangeError) Error() string { return f.Field + ": " + f.Text }

// Registry is all tenants.
type Registry struct {
	slots  int
	byName map[string]*Tenant
	bySlot []*Tenant
}

// SlotQuarantine is how long, in ms, a slot stays empty after a removal: longer than any node holds word of what it ran, any
// owner waits and any process lags behind the book, so that nothing of the old tenant is counted to the new one.
const SlotQuarantine = 3600e3

// New makes a book for so many tenants at once.
func New(slots int) *Registry {
	return &Registry{slots: slots, byName: map[string]*Tenant{}, bySlot: make([]*Tenant, slots)}
}

// Slots is how many there may be.
func (b *Registry) Slots() int { return b.slots }

// Restore takes a tenant as it was kept. A fault means that the book was not written by this package.
func (b *Registry) Restore(t Tenant) error {
	switch {
	case !isValidName(t.Name):
		return fmt.Errorf("tenant %.40q: bad name", t.Name)
	case t.Slot < 0 || t.Slot >= b.slots:
		return fmt.Errorf("tenant %s: slot %d of %d", t.Name, t.Slot, b.slots)
	case t.State < Active || t.State > Removed || t.Removal > StopRunning || t.Version == 0:
		return fmt.Errorf("tenant %s: state %d, ending %d, version %d", t.Name, t.State, t.Removal, t.Version)
	case checkLimits(t.Limits) != nil:
		return fmt.Errorf("tenant %s: %w", t.Name, checkLimits(t.Limits))
	}
	if old := b.bySlot[t.Slot]; old != nil && old.Name != t.Name {
		if old.State != Removed && t.State != Removed {
			return fmt.Errorf("tenants %s and %s have one slot", old.Name, t.Name)
		}
		if t.State == Removed { // the newer one has it
			return nil
		}
		delete(b.byName, old.Name)
	}
	b.byName[t.Name], b.bySlot[t.Slot] = &t, &t
	return nil
}

// Get gives a tenant, At the one at a slot.
func (b *Registry) Get(name string) (Tenant, bool) {
	if t := b.byName[name]; t != nil {
		return *t, true
	}
	return Tenant{}, false
}

// AtSlot gives the tenant at a slot, even one that was removed.
func (b *Registry) AtSlot(slot int) (Tenant, bool) {
	if slot >= 0 && slot < b.slots && b.bySlot[slot] != nil {
		return *b.bySlot[slot], true
	}
	return Tenant{}, false
}

// All gives all tenants in order of their names.
func (b *Registry) All() (all []Tenant) {
	for _, t := range b.byName {
		all = append(all, *t)
	}
	slices.SortFunc(all, func(x, y Tenant) int { return cmp.Compare(x.Name, y.Name) })
	return all
}

var namePattern = regexp.MustCompile(`^[a-z0-9]([a-z0-9-]{0,61}[a-z0-9])?$`)

func isValidName(s string) bool { return namePattern.MatchString(s) }

// Bounds of limits.
const (
	maxRate  = 1e6
	maxCount = 1e7
	maxBytes = 1e9
)

func checkLimits(l Limits) *ChangeError {
	number := func(v, least, most float64) bool { return v >= least && v <= most && !math.IsNaN(v) }
	switch {
	case !number(l.Share, 1e-6, 1e6):
		return &ChangeError{"share", Invalid, "a number above 0 is expected"}
	case !number(l.Rate, 0, maxRate):
		return &ChangeError{"rate", Invalid, fmt.Sprintf("0 to %g asks a second are expected", maxRate)}
	case !number(l.Burst, 0, maxRate) || l.Rate > 0 && l.Burst < 1:
		return &ChangeError{"burst", Invalid, "1 or more is expected where there is a rate"}
	case l.MaxOpen < 0 || l.MaxOpen > maxCount:
		return &ChangeError{"open", Invalid, fmt.Sprintf("0 to %g are expected", maxCount)}
	case l.MaxWaiting < 0 || l.MaxWaiting > maxCount:
		return &ChangeError{"wait", Invalid, fmt.Sprintf("0 to %g are expected", maxCount)}
	case l.MaxConns < 0 || l.MaxConns > maxCount:
		return &ChangeError{"conns", Invalid, fmt.Sprintf("0 to %g are expected", maxCount)}
	case !number(l.BytesPerSecond, 0, maxBytes):
		return &ChangeError{"bytes", Invalid, fmt.Sprintf("0 to %g a second are expected", maxBytes)}
	case l.Blocked:
		return &ChangeError{"stop", Invalid, "is not a limit: pause the tenant"}
	}
	return nil
}

// Apply takes a change at a time of the wall clock and gives what the tenant is then; the book is as before if there is a
// fault. To change nothing is no fault, and raises no version: whoever asks again for the same is answered the same.
func (b *Registry) Apply(now float64, c Change) (Tenant, *ChangeError) {
	if !isValidName(c.Name) {
		return Tenant{}, &ChangeError{"name", Invalid, "1 to 63 small letters, digits and inner hyphens are expected"}
	}
	t := b.byName[c.Name]
	if c.Kind == Add {
		return b.add(now, c, t)
	}
	if t == nil || t.State == Removed {
		return Tenant{}, &ChangeError{"name", NotFound, fmt.Sprintf("no tenant %q", c.Name)}
	}
	if c.Version > 0 && c.Version != t.Version {
		return *t, &ChangeError{"version", Stale, fmt.Sprintf("is %d by now, not %d", t.Version, c.Version)}
	}
	next := *t
	switch c.Kind {
	case Limit:
		if f := checkLimits(c.Limits); f != nil {
			return *t, f
		}
		next.Limits = c.Limits
	case Pause:
		next.State = Paused
	case Resume:
		next.State = Active
	case Remove:
		next.State, next.Removal = Removing, c.Removal
		if t.State == Removing && c.Removal < t.Removal {
			return *t, &ChangeError{"ending", NotAllowed, "what runs is being stopped already"}
		}
	default:
		return *t, &ChangeError{"kind", Invalid, "no such change"}
	}
	if t.State == Removing && c.Kind != Remove {
		return *t, &ChangeError{"name", NotAllowed, fmt.Sprintf("%q is being removed", c.Name)}
	}
	return b.update(now, t, next), nil
}

// update makes a tenant what it is to be, under the next version, if that is anything else.
func (b *Registry) update(now float64, t *Tenant, next Tenant) Tenant {
	if next == *t {
		return next
	}
	next.Version++
	if next.State != t.State {
		next.StateChangedAt = now
	}
	*t = next
	return next
}

func (b *Registry) add(now float64, c Change, t *Tenant) (Tenant, *ChangeError) {
	if f := checkLimits(c.Limits); f != nil {
		return Tenant{}, f
	}
	if c.Version > 0 {
		return Tenant{}, &ChangeError{"version", Invalid, "none is expected for one that is new"}
	}
	if t != nil && t.State != Removed {
		return *t, &ChangeError{"name", Exists, fmt.Sprintf("%q is %s", c.Name, t.State)}
	}
	slot := b.freeSlot(now)
	if slot < 0 {
		return Tenant{}, &ChangeError{"name", NoCapacity, fmt.Sprintf("%d tenants are there, or were until %g minutes ago", b.slots, SlotQuarantine/60e3)}
	}
	version := uint64(1)
	if t != nil {
		version = t.Version + 1
		if t.Slot != slot { // its old place is free for others when its rest is over
			old := *t
			b.bySlot[old.Slot] = &old
		}
	}
	if old := b.bySlot[slot]; old != nil && b.byName[old.Name] == old {
		delete(b.byName, old.Name)
	}
	made := &Tenant{Name: c.Name, Slot: slot, State: Active, Limits: c.Limits, Version: version, StateChangedAt: now}
	b.byName[c.Name], b.bySlot[slot] = made, made
	return *made, nil
}

// freeSlot finds a slot: one that nobody ever had, else the one that has rested longest.
func (b *Registry) freeSlot(now float64) int {
	best := -1
	for i, t := range b.bySlot {
		if t == nil {
			return i
		}
		if t.State == Removed && now-t.StateChangedAt >= SlotQuarantine && (best < 0 || t.StateChangedAt < b.bySlot[best].StateChangedAt) {
			best = i
		}
	}
	return best
}

// CompleteRemoval ends a removal of which nothing is left; false if it is not under way.
func (b *Registry) CompleteRemoval(now float64, name string) (Tenant, bool) {
	t := b.byName[name]
	if t == nil || t.State != Removing {
		return Tenant{}, false
	}
	next := *t
	next.State = Removed
	return b.update(now, t, next), true
}

// Policy is what a tenant's state asks of those who place for it.
type Policy struct {
	Limits      fairqueue.Limits     // a process's part of them
	Connections connadmission.Limits // likewise
	AcceptsNew  bool                 // new asks
	AbortOpen   bool                 // what is open is given up and answered at once
	StopRunning bool                 // what runs is stopped
}

// PolicyFor gives it for a process that may use such a part of all limits. What connections may do at the door is divided by place and never
// lent: those of a process that is cut off from the others stay.
func (t *Tenant) PolicyFor(part quotalease.Share) Policy {
	processes, index := part.Places, part.Index
	d := Policy{Limits: t.Limits.Limits, Connections: connadmission.Limits{Share: t.Limits.Share, MaxConns: t.Limits.MaxConns, BytesPerSecond: t.Limits.BytesPerSecond}, AcceptsNew: t.State == Active, AbortOpen: t.State >= Removing, StopRunning: t.State >= Removing && t.Removal == StopRunning}
	n := float64(max(1, processes))
	d.Limits.Rate = part.Rate(d.Limits.Rate)
	d.Limits.Burst = max(1, part.Rate(d.Limits.Burst))
	if t.Limits.MaxOpen > 0 {
		d.Limits.MaxOpen = part.Count(t.Limits.MaxOpen)
		d.AcceptsNew = d.AcceptsNew && d.Limits.MaxOpen > 0 // fewer may be open than there are processes, and this is not one of those
	}
	if t.Limits.MaxConns > 0 { // one at least, whatever the sum: who can't come in never hears why
		d.Connections.MaxConns = max(1, fairqueue.DivideLimit(t.Limits.MaxConns, processes, index))
	}
	d.Connections.BytesPerSecond /= n
	d.Limits.Blocked = !d.AcceptsNew
	return d
}
