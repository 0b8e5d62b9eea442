package tenancy

import "fmt"

// Kind is the kind of a change.
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

// Change is a change of a tenant that an administrator requests.
type Change struct {
	Kind    Kind
	Name    string
	Limits  Limits      // for Add and Limit
	Removal RemovalMode `json:"Ending"` // for Remove
	Version uint64      // version of the tenant that the change is based on; 0 means any
}

// ErrorKind is the kind of a ChangeError.
type ErrorKind uint8

// Kinds of errors.
const (
	Invalid    ErrorKind = iota // the change itself is invalid
	NotFound                    // there is no tenant of this name
	Exists                      // there is already a tenant of this name
	Stale                       // the change is based on another version
	NotAllowed                  // the tenant's state does not allow the change
	NoCapacity                  // the registry is full
)

// ChangeError says why a change is rejected.
type ChangeError struct {
	Field string    // field of the change that is the reason
	Kind  ErrorKind `json:"Sort"`
	Text  string
}

func (e *ChangeError) Error() string { return e.Field + ": " + e.Text }

// Apply applies a change and returns the changed tenant. On an error the registry is unchanged, and the present tenant is returned if there
// is one. A change that has no effect is not an error and does not raise the version, so that a repeated request gets the same answer.
func (r *Registry) Apply(now float64, c Change) (Tenant, *ChangeError) {
	if !isValidName(c.Name) {
		return Tenant{}, &ChangeError{"name", Invalid, "must be 1 to 63 lowercase letters, digits and inner hyphens"}
	}
	t := r.byName[c.Name]
	if c.Kind == Add {
		return r.add(now, c, t)
	}
	if t == nil || t.State == Removed {
		return Tenant{}, &ChangeError{"name", NotFound, fmt.Sprintf("no tenant %q", c.Name)}
	}
	if c.Version > 0 && c.Version != t.Version {
		return *t, &ChangeError{"version", Stale, fmt.Sprintf("tenant is at version %d, change is based on %d", t.Version, c.Version)}
	}
	next, err := withChange(*t, c)
	if err == nil && t.State == Removing && c.Kind != Remove {
		err = &ChangeError{"name", NotAllowed, fmt.Sprintf("tenant %q is being removed", c.Name)}
	}
	if err != nil {
		return *t, err
	}
	return r.update(now, t, next), nil
}

// withChange returns a tenant with a change other than Add applied.
func withChange(t Tenant, c Change) (Tenant, *ChangeError) {
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
			return t, &ChangeError{"ending", NotAllowed, "the running tasks are already being stopped"}
		}
	default:
		return t, &ChangeError{"kind", Invalid, "unknown kind of change"}
	}
	return next, nil
}

// update replaces a tenant and raises its version, unless nothing changes.
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

// add adds a tenant. existing is the tenant of the same name, nil if there is none.
func (r *Registry) add(now float64, c Change, existing *Tenant) (Tenant, *ChangeError) {
	if err := checkLimits(c.Limits); err != nil {
		return Tenant{}, err
	}
	if c.Version > 0 {
		return Tenant{}, &ChangeError{"version", Invalid, "must not be set for a new tenant"}
	}
	if existing != nil && existing.State != Removed {
		return *existing, &ChangeError{"name", Exists, fmt.Sprintf("tenant %q already exists and is %s", c.Name, existing.State)}
	}
	slot := r.freeSlot(now)
	if slot < 0 {
		return Tenant{}, &ChangeError{
			"name", NoCapacity,
			fmt.Sprintf("all %d slots hold a tenant or one that was removed less than %g minutes ago", r.slots, SlotQuarantine/msPerMinute),
		}
	}
	version := uint64(1)
	if existing != nil {
		version = existing.Version + 1
		if existing.Slot != slot { // the removed tenant keeps its old slot until the quarantine ends
			retired := *existing
			r.bySlot[retired.Slot] = &retired
		}
	}
	if occupant := r.bySlot[slot]; occupant != nil && r.byName[occupant.Name] == occupant {
		delete(r.byName, occupant.Name)
	}
	t := &Tenant{Name: c.Name, Slot: slot, State: Active, Limits: c.Limits, Version: version, StateChangedAt: now}
	r.byName[c.Name], r.bySlot[slot] = t, t
	return *t, nil
}

// CompleteRemoval marks a tenant of which nothing is left as removed. It returns false if the tenant is not being removed.
func (r *Registry) CompleteRemoval(now float64, name string) (Tenant, bool) {
	t := r.byName[name]
	if t == nil || t.State != Removing {
		return Tenant{}, false
	}
	next := *t
	next.State = Removed
	return r.update(now, t, next), true
}
