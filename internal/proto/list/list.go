// Package list encodes and decodes the messages of the protocol between a scheduler and the server of the node list, which
// docs/protocols/list.md describes. A message is a line of fields (package proto/line). The Append functions encode messages; DecodeScheduler
// and DecodeList decode a line and call one method of a handler.
//
// The package holds no state, does no I/O and starts no goroutine. Decoding returns an error for a line that does not follow the grammar, or
// the error that the handler returned; in both cases the connection should be closed. Times and durations are in ms.
package list

// GreetingLine is the first line that each side sends.
const GreetingLine = "RAVENPOND-LIST 1"

// KindNames are the kinds of an answer as they are encoded: the full list, or the changes since the version that the request named.
var KindNames = []string{"whole", "changes"}

// Indexes into KindNames.
const (
	KindFull = iota
	KindChanges
)

// AvailabilityNames are the availabilities of nodes as they are encoded, in the order of logic.Availability.
var AvailabilityNames = []string{"gone", "ready", "draining"}

// Entry describes a node of the list.
type Entry struct {
	ID                    uint32
	Address               string
	Availability          int     // index into AvailabilityNames
	StartedAt             float64 // by the wall clock; 0: long ago
	FreeCores, FreeMemory float64
	Zone, Cell, Kind      string
}

// SchedulerHandler is implemented by the list server, which receives the messages of a scheduler.
type SchedulerHandler interface {
	// OnFullRequest receives the request for the full list.
	OnFullRequest() error
	// OnWatch receives the request for all changes after a version, including future ones.
	OnWatch(since uint64) error
	OnUnwatch() error
	// OnMaintenance receives the notice that a node is out for maintenance, which ends after the duration if no other notice follows.
	OnMaintenance(id uint32, duration float64) error
	OnMaintenanceEnd(id uint32) error
	OnBye(reason string) error
}

// Handler is implemented by a scheduler, which receives the messages of the list server. An answer gives the calls OnBegin, OnEntry for each
// entry and OnEnd, or the single call OnFailed.
type Handler interface {
	OnBegin(kind int, version uint64) error
	OnEntry(entry Entry) error
	OnEnd() error
	OnFailed(reason string) error
	OnBye(reason string) error
}
