package clusterstate

// Refusal says why a command had no effect. The values are part of snapshots.
type Refusal uint32

// Results of commands.
const (
	Accepted          Refusal = iota
	StaleIncarnation          // a later incarnation of the process is active
	UnknownProcess            // no such process, or it is inactive, or the proposer may not speak for it
	StaleZoneVersion          // the zone's state has changed since the proposer saw it
	InvalidTransition         // a zone's state can't change that way
	HoldDown                  // a zone that was closed repeatedly does not reopen yet
	LastOpenZone              // no other zone would be left open
	InvalidShare              // a share of the plan is given twice, of no cores, or of a zone to itself
	LimitReached              // the state has grown to its bound
	Malformed                 // this version of the program can't read the command
)

// refusalNames are shown in logs and by commands for operators.
var refusalNames = [...]string{
	Accepted:          "taken",
	StaleIncarnation:  "older-life",
	UnknownProcess:    "not-there",
	StaleZoneVersion:  "moved",
	InvalidTransition: "no-way",
	HoldDown:          "resting",
	LastOpenZone:      "last-zone",
	InvalidShare:      "too-much",
	LimitReached:      "full",
	Malformed:         "unreadable",
}

// String returns the name that logs show. A value of a later version shows as the last one known.
func (r Refusal) String() string { return refusalNames[min(int(r), len(refusalNames)-1)] }
