// Package clusterstate encodes and decodes the replicated cluster state, its commands, and the messages that replicas exchange about it
// (clusterstate.proto). Input that exceeds the bounds of this package is rejected with ErrMalformed. The functions keep no state and may
// be called concurrently.
package clusterstate

import (
	"errors"

	"ravenpond/internal/proto/field"
)

// Bounds of the encoded fields.
const (
	// MaxCores is the maximum number of cores of one share.
	MaxCores = 1 << 20

	maxNameBytes  = 64
	maxCauseBytes = 200
	maxShares     = 4096 // in one command
)

// Errors of decoding.
var (
	// ErrMalformed means that the input is not a valid encoding, or exceeds a bound.
	ErrMalformed = field.ErrMalformed
	// ErrNewer means that a later version of the program wrote the snapshot.
	ErrNewer = errors.New("snapshot was written by a later version of the program")
)

// Share is the part of the load moved out of zone From that zone To takes over, in cores.
type Share struct {
	From, To string
	Cores    uint32
}
