// Package list is the protocol between a scheduler and the node list, as docs/protocols/list.md describes it. A message is a
// line of fields (package proto/line). The Append functions encode messages; DecodeScheduler and DecodeList decode a line
// into one call of a handler.
//
// The package holds no state, does no I/O and starts no goroutine. Decoding returns an error for a line that does not
// follow the grammar, or the handler's own error; the connection should then be closed. Times and durations are in ms.
package list

// GreetingLine is the first line of both sides.
const GreetingLine = "RAVENPOND-LIST 1"

// KindNames are the kinds of an answer as they are written: the full list, or what changed since the version that was named.
var KindNames = []string{"whole", "changes"}

// Places in KindNames.
const (
	KindFull = iota
	KindChanges
)

// AvailabilityNames are the availabilities of nodes as they are written, in the order of logic.Availability.
var AvailabilityNames = []string{"gone", "ready", "draining"}

// Entry is a node as the list describes it.
type Entry struct {
	ID                    uint32
	Address               string
	Availability          int     // a place in AvailabilityNames
	StartedAt             float64 // on the wall clock, 0: long ago
	FreeCores, FreeMemory float64
	Zone, Cell, Kind      string
}

// SchedulerHandler takes the messages of a scheduler, at the list.
type SchedulerHandler interface {
	// OnFullRequest takes the request for the full list.
	OnFullRequest() error
	// OnWatch takes the request for all changes after a version, and those to come.
	OnWatch(since uint64) error
	OnUnwatch() error
	// OnMaintenance takes the notice that a node is out for maintenance, for a duration if no other notice follows.
	OnMaintenance(id uint32, duration float64) error
	OnMaintenanceEnd(id uint32) error
	OnBye(reason string) error
}

// Handler takes the messages of the list, at a scheduler. An answer is OnBegin, OnEntry for each entry and OnEnd; or
// OnFailed.
type Handler interface {
	OnBegin(kind int, version uint64) error
	OnEntry(entry Entry) error
	OnEnd() error
	OnFailed(reason string) error
	OnBye(reason string) error
}
