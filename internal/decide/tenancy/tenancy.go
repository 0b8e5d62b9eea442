// Package tenancy implements the life cycle of the tenants of a hosted service: which change of a tenant is accepted, to which state it
// leads, and which policy follows for the processes that place requests of the tenant.
//
// A Registry holds all tenants. Its inputs are changes and times; its output is the changed tenant or a *ChangeError. It prevents lost
// updates by concurrent changes (each change may name the version that it is based on), removals that are abandoned or reversed, and the
// confusion of a new tenant with the previous one of its slot (a slot is in quarantine after a removal).
//
// The package does no I/O and starts no goroutines. Package state/tenants stores the registry, and all processes read the same one. A
// Registry is not safe for concurrent use. Times are milliseconds of the wall clock.
package tenancy

import (
	"fmt"
	"slices"

	"ravenpond/internal/decide/fairqueue"
)

// State is the state of a tenant in its life cycle.
type State uint8

// States of a tenant.
const (
	Active   State = iota + 1
	Paused         // new requests are shed; open requests and running tasks continue
	Removing       // new requests are shed, open ones are aborted, and running tasks end as the removal mode says
	Removed        // no request or task of the tenant is left
)

var stateNames = [...]string{Active: "active", Paused: "paused", Removing: "removing", Removed: "removed"}

func (s State) String() string { return stateNames[s] }

// RemovalMode says what happens to the running tasks of a tenant that is removed. A later change can only make it stricter.
type RemovalMode uint8

// Removal modes.
const (
	FinishRunning RemovalMode = iota // tasks run until they end
	StopRunning                      // tasks are stopped
)

var removalModeNames = [...]string{"run-out", "stop"}

func (m RemovalMode) String() string { return removalModeNames[m] }

// ParseRemovalMode returns the removal mode of a name.
func ParseRemovalMode(name string) (RemovalMode, *ChangeError) {
	if i := slices.Index(removalModeNames[:], name); i >= 0 {
		return RemovalMode(i), nil
	}
	return 0, &ChangeError{"ending", Invalid, fmt.Sprintf("%.20q is neither run-out nor stop", name)}
}

// Limits are a tenant's limits for all processes together.
type Limits struct {
	fairqueue.Limits
	MaxConns       int     `json:"Conns"` // client connections at once; 0 means as many as its share of the listener allows
	BytesPerSecond float64 `json:"Bytes"` // that the tenant's clients may send; 0 means the default of connadmission
}

// Tenant is the stored record of a tenant.
type Tenant struct {
	Name           string
	Slot           int // number by which schedulers and nodes identify the tenant
	State          State
	Limits         Limits
	Removal        RemovalMode `json:"Ending"`
	Version        uint64      // raised by each change
	StateChangedAt float64     `json:"Changed"` // ms
}
