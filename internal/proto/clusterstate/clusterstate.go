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
	// MaxCores is the largest number of cores of one share.
	MaxCores = 1 << 20

	maxNameBytes  = 64
	maxCauseBytes = 200
	maxShares     = 4096 // of one command
)

// Errors of decoding.
var (
	// ErrMalformed means that the input is not an encoded value, or exceeds a bound.
	ErrMalformed = field.ErrMalformed
	// ErrNewer means that a later version of the program wrote the snapshot.
	ErrNewer = errors.New("written by a later version")
)

// Share is the number of cores of the load leaving zone From that zone To takes over.
type Share struct {
	From, To string
	Cores    uint32
}
