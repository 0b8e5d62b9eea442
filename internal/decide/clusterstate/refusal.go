package clusterstate

// Refusal says why a command had no effect. The values are part of the snapshot format.
type Refusal uint32

// Results of commands.
const (
	Accepted          Refusal = iota
	StaleIncarnation          // a later incarnation of the process is active
	UnknownProcess            // the process is unknown, inactive or has another epoch, or the proposer may not activate it
	StaleZoneVersion          // the zone's state has changed since the proposer saw it
	InvalidTransition         // a zone's state can't change that way
	HoldDown                  // the hold-down of a closed zone has not passed yet
	LastOpenZone              // no other zone with an active process would remain that is not closed
	InvalidShare              // a share of the plan has a route that occurs twice, no cores, or the same zone as source and target
	LimitReached              // the state has reached a size limit
	Malformed                 // this version of the program can't decode the command
)

// refusalNames are the names that logs and operators' commands show.
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

// String returns the name that logs show. A value that only a later version of the program defines has the name of Malformed.
func (r Refusal) String() string { return refusalNames[min(int(r), len(refusalNames)-1)] }
