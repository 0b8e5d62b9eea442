package tenancy

import (
	"cmp"
	"fmt"
	"slices"
)

const msPerMinute = 60e3

// SlotQuarantine is the time in ms for which a slot stays unused after a removal. It exceeds the times for which a node keeps the outcomes of its
// tasks, a client waits, and a process lags behind the registry, so that nothing of the old tenant is attributed to the new one.
const SlotQuarantine = 60 * msPerMinute

// Registry holds all tenants.
type Registry struct {
	slots  int
	byName map[string]*Tenant
	bySlot []*Tenant
}

// New returns an empty registry with a number of slots, one for each tenant.
func New(slots int) *Registry {
	return &Registry{slots: slots, byName: map[string]*Tenant{}, bySlot: make([]*Tenant, slots)}
}

// Slots returns how many tenants there may be at once.
func (r *Registry) Slots() int { return r.slots }

// Restore adds a tenant as it was stored. It returns an error if the tenant is invalid or has the slot of another one, which means that this
// package did not store it.
func (r *Registry) Restore(t Tenant) error {
	if err := r.checkStored(t); err != nil {
		return err
	}
	if existing := r.bySlot[t.Slot]; existing != nil && existing.Name != t.Name {
		if existing.State != Removed && t.State != Removed {
			return fmt.Errorf("tenants %s and %s have the same slot", existing.Name, t.Name)
		}
		if t.State == Removed { // the newer tenant keeps the slot
			return nil
		}
		delete(r.byName, existing.Name)
	}
	r.byName[t.Name], r.bySlot[t.Slot] = &t, &t
	return nil
}

// checkStored returns an error if a stored tenant is not valid.
func (r *Registry) checkStored(t Tenant) error {
	switch {
	case !isValidName(t.Name):
		return fmt.Errorf("tenant %.40q: invalid name", t.Name)
	case t.Slot < 0 || t.Slot >= r.slots:
		return fmt.Errorf("tenant %s: slot %d is not one of %d", t.Name, t.Slot, r.slots)
	case t.State < Active || t.State > Removed || t.Removal > StopRunning || t.Version == 0:
		return fmt.Errorf("tenant %s: invalid state %d, ending %d or version %d", t.Name, t.State, t.Removal, t.Version)
	}
	if err := checkLimits(t.Limits); err != nil {
		return fmt.Errorf("tenant %s: %w", t.Name, err)
	}
	return nil
}

// Get returns the tenant of a name, even if it was removed.
func (r *Registry) Get(name string) (Tenant, bool) {
	if t := r.byName[name]; t != nil {
		return *t, true
	}
	return Tenant{}, false
}

// AtSlot returns the tenant at a slot, even if it was removed.
func (r *Registry) AtSlot(slot int) (Tenant, bool) {
	if slot >= 0 && slot < r.slots && r.bySlot[slot] != nil {
		return *r.bySlot[slot], true
	}
	return Tenant{}, false
}

// All returns all tenants, sorted by name.
func (r *Registry) All() []Tenant {
	var all []Tenant
	for _, t := range r.byName {
		all = append(all, *t)
	}
	slices.SortFunc(all, func(x, y Tenant) int { return cmp.Compare(x.Name, y.Name) })
	return all
}

// freeSlot returns a slot that was never used, or else the one whose tenant was removed the longest time ago. It returns -1 if no slot is free.
func (r *Registry) freeSlot(now float64) int {
	best := -1
	for i, t := range r.bySlot {
		if t == nil {
			return i
		}
		if t.State != Removed || now-t.StateChangedAt < SlotQuarantine {
			continue
		}
		if best < 0 || t.StateChangedAt < r.bySlot[best].StateChangedAt {
			best = i
		}
	}
	return best
}
