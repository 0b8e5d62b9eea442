package tenancy

import "fmt"

// Kind is a kind of change.
type Kind uint8

// Kinds of change.
const (
	Add Kind = iota + 1
	Limit
	Pause
	Resume
	Remove
)

var kindNames = [...]string{Add: "add", Limit: "limit", Pause: "pause", Resume: "resume", Remove: "remove"}

func (k Kind) String() string { return kindNames[k] }

// Change is a change that an administrator requests.
type Change struct {
	Kind    Kind
	Name    string
	Limits  Limits      // of Add and Limit
	Removal RemovalMode `json:"Ending"` // of Remove
	Version uint64      // of the tenant that it was decided on; 0: any
}

// ErrorKind is the kind of a ChangeError.
type ErrorKind uint8

// Kinds of errors.
const (
	Invalid    ErrorKind = iota // the change itself is wrong
	NotFound                    // there is no such tenant
	Exists                      // there is a tenant of this name
	Stale                       // the change was decided on another version
	NotAllowed                  // the tenant's state does not allow it
	NoCapacity                  // there are as many tenants as there can be
)

// ChangeError is why a change is not taken.
type ChangeError struct {
	Field string    // of the change
	Kind  ErrorKind `json:"Sort"`
	Text  string
}

func (e *ChangeError) Error() string { return e.Field + ": " + e.Text }

// Apply applies a change and returns the tenant after it. On an error the registry is as before, and the tenant is returned as it is, if
// there is one. A change that changes nothing is no error and raises no version, so that a repeated request gets the same answer.
func (r *Registry) Apply(now float64, c Change) (Tenant, *ChangeError) {
	if !isValidName(c.Name) {
		return Tenant{}, &ChangeError{"name", Invalid, "1 to 63 small letters, digits and inner hyphens are expected"}
	}
	t := r.byName[c.Name]
	if c.Kind == Add {
		return r.add(now, c, t)
	}
	if t == nil || t.State == Removed {
		return Tenant{}, &ChangeError{"name", NotFound, fmt.Sprintf("no tenant %q", c.Name)}
	}
	if c.Version > 0 && c.Version != t.Version {
		return *t, &ChangeError{"version", Stale, fmt.Sprintf("is %d by now, not %d", t.Version, c.Version)}
	}
	next, err := changed(*t, c)
	if err == nil && t.State == Removing && c.Kind != Remove {
		err = &ChangeError{"name", NotAllowed, fmt.Sprintf("%q is being removed", c.Name)}
	}
	if err != nil {
		return *t, err
	}
	return r.update(now, t, next), nil
}

// changed returns a tenant after a change other than Add.
func changed(t Tenant, c Change) (Tenant, *ChangeError) {
	next := t
	switch c.Kind {
	case Limit:
		if err := checkLimits(c.Limits); err != nil {
			return t, err
		}
		next.Limits = c.Limits
	case Pause:
		next.State = Paused
	case Resume:
		next.State = Active
	case Remove:
		next.State, next.Removal = Removing, c.Removal
		if t.State == Removing && c.Removal < t.Removal {
			return t, &ChangeError{"ending", NotAllowed, "what runs is being stopped already"}
		}
	default:
		return t, &ChangeError{"kind", Invalid, "no such change"}
	}
	return next, nil
}

// update replaces a tenant under its next version, unless nothing changes.
func (r *Registry) update(now float64, t *Tenant, next Tenant) Tenant {
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

// add adds a tenant. old is the one of the same name, nil if there is none.
func (r *Registry) add(now float64, c Change, old *Tenant) (Tenant, *ChangeError) {
	if err := checkLimits(c.Limits); err != nil {
		return Tenant{}, err
	}
	if c.Version > 0 {
		return Tenant{}, &ChangeError{"version", Invalid, "none is expected for one that is new"}
	}
	if old != nil && old.State != Removed {
		return *old, &ChangeError{"name", Exists, fmt.Sprintf("%q is %s", c.Name, old.State)}
	}
	slot := r.freeSlot(now)
	if slot < 0 {
		return Tenant{}, &ChangeError{
			"name", NoCapacity,
			fmt.Sprintf("%d tenants are there, or were until %g minutes ago", r.slots, SlotQuarantine/msPerMinute),
		}
	}
	version := uint64(1)
	if old != nil {
		version = old.Version + 1
		if old.Slot != slot { // its old slot is free for others after its rest
			rest := *old
			r.bySlot[rest.Slot] = &rest
		}
	}
	if previous := r.bySlot[slot]; previous != nil && r.byName[previous.Name] == previous {
		delete(r.byName, previous.Name)
	}
	t := &Tenant{Name: c.Name, Slot: slot, State: Active, Limits: c.Limits, Version: version, StateChangedAt: now}
	r.byName[c.Name], r.bySlot[slot] = t, t
	return *t, nil
}

// CompleteRemoval ends the removal of a tenant of which nothing is left; false if it is not being removed.
func (r *Registry) CompleteRemoval(now float64, name string) (Tenant, bool) {
	t := r.byName[name]
	if t == nil || t.State != Removing {
		return Tenant{}, false
	}
	next := *t
	next.State = Removed
	return r.update(now, t, next), true
}
