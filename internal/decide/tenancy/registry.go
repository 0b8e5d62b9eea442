package tenancy

import (
	"cmp"
	"fmt"
	"slices"
)

const msPerMinute = 60e3

// SlotQuarantine is how long, in ms, a slot stays empty after a removal: longer than a node keeps outcomes of what it ran, a client waits
// and a process lags behind the registry, so that nothing of the old tenant is counted for the new one.
const SlotQuarantine = 60 * msPerMinute

// Registry holds all tenants.
type Registry struct {
	slots  int
	byName map[string]*Tenant
	bySlot []*Tenant
}

// New returns an empty registry for a number of tenants at once.
func New(slots int) *Registry {
	return &Registry{slots: slots, byName: map[string]*Tenant{}, bySlot: make([]*Tenant, slots)}
}

// Slots returns how many tenants there may be.
func (r *Registry) Slots() int { return r.slots }

// Restore adds a tenant as it was stored. An error means that it was not stored by this package.
func (r *Registry) Restore(t Tenant) error {
	if err := r.checkStored(t); err != nil {
		return err
	}
	if old := r.bySlot[t.Slot]; old != nil && old.Name != t.Name {
		if old.State != Removed && t.State != Removed {
			return fmt.Errorf("tenants %s and %s have one slot", old.Name, t.Name)
		}
		if t.State == Removed { // the newer tenant has the slot
			return nil
		}
		delete(r.byName, old.Name)
	}
	r.byName[t.Name], r.bySlot[t.Slot] = &t, &t
	return nil
}

func (r *Registry) checkStored(t Tenant) error {
	switch {
	case !isValidName(t.Name):
		return fmt.Errorf("tenant %.40q: bad name", t.Name)
	case t.Slot < 0 || t.Slot >= r.slots:
		return fmt.Errorf("tenant %s: slot %d of %d", t.Name, t.Slot, r.slots)
	case t.State < Active || t.State > Removed || t.Removal > StopRunning || t.Version == 0:
		return fmt.Errorf("tenant %s: state %d, ending %d, version %d", t.Name, t.State, t.Removal, t.Version)
	}
	if err := checkLimits(t.Limits); err != nil {
		return fmt.Errorf("tenant %s: %w", t.Name, err)
	}
	return nil
}

// Get returns the tenant of a name.
func (r *Registry) Get(name string) (Tenant, bool) {
	if t := r.byName[name]; t != nil {
		return *t, true
	}
	return Tenant{}, false
}

// AtSlot returns the tenant at a slot, even one that was removed.
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

// freeSlot returns a slot that no tenant ever had, else the one that has rested longest; -1 if there is none.
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
