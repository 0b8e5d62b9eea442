// Package tenancy decides about the tenants of a hosted service: which change of a tenant is taken, to which state it leads, and which
// policy follows for the processes that place for the tenant.
//
// A Registry holds all tenants. Changes and times go in; the changed tenant or a *ChangeError comes out. It guards against changes that
// cross each other (each may name the version that it was decided on), against a removal that is abandoned or reversed, and against a new
// tenant that is taken for the one that had its slot before (a slot rests after a removal).
//
// The package does no I/O and starts no goroutines; package state/tenants stores the registry, and each process reads the same one. A
// Registry is not safe for concurrent use. Times are milliseconds of the wall clock.
package tenancy

import (
	"fmt"
	"slices"

	"ravenpond/internal/decide/fairqueue"
)

// State is where a tenant is in its life cycle.
type State uint8

// States of a tenant.
const (
	Active   State = iota + 1
	Paused         // nothing new is taken; what is open and running goes on
	Removing       // nothing new is taken, what is open is answered, what runs ends by the removal mode
	Removed        // nothing of it is left
)

var stateNames = [...]string{Active: "active", Paused: "paused", Removing: "removing", Removed: "removed"}

func (s State) String() string { return stateNames[s] }

// RemovalMode is what becomes of the running tasks of a tenant that is removed. A later change may only make it stricter.
type RemovalMode uint8

// Removal modes.
const (
	FinishRunning RemovalMode = iota // they run to their end
	StopRunning                      // they are stopped
)

var removalModeNames = [...]string{"run-out", "stop"}

func (m RemovalMode) String() string { return removalModeNames[m] }

// ParseRemovalMode returns the mode of a name.
func ParseRemovalMode(name string) (RemovalMode, *ChangeError) {
	if i := slices.Index(removalModeNames[:], name); i >= 0 {
		return RemovalMode(i), nil
	}
	return 0, &ChangeError{"ending", Invalid, fmt.Sprintf("%.20q: run-out or stop is expected", name)}
}

// Limits are a tenant's limits, for all processes together.
type Limits struct {
	fairqueue.Limits
	MaxConns       int     `json:"Conns"` // client connections at once; 0: by its share of the listener
	BytesPerSecond float64 `json:"Bytes"` // that its clients may send; 0: the default
}

// Tenant is a tenant.
type Tenant struct {
	Name           string
	Slot           int // by which schedulers and nodes know it
	State          State
	Limits         Limits
	Removal        RemovalMode `json:"Ending"`
	Version        uint64      // raised by each change
	StateChangedAt float64     `json:"Changed"`
}
