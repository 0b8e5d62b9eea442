// Package workingset decides which nodes a scheduler uses: the working set, to whose nodes it keeps connections and which its placement
// module sees.
//
// The inputs are the node list, the names of the other schedulers, this scheduler's load, shortages and the reachability of nodes; Step
// returns the nodes to add and to remove. The size of the set follows the scheduler's load. The schedulers divide the nodes by rendezvous
// hashing, so that each node is in about as many sets as any other, and a scheduler that joins or leaves moves only its own share of the
// nodes. A set that lacks room widens at a bounded rate and narrows late.
//
// The package does no I/O, starts no goroutines and returns no errors. Set and Visits are not safe for concurrent use. Times are
// milliseconds on the caller's clock. docs/design/workingset.md has the arithmetic.
package workingset

// Config configures a set.
type Config struct {
	Key        string   // identifies the site, so that two sites divide their nodes independently
	Self       string   // name of this scheduler
	Schedulers int      // number of schedulers of the site, used until the members are known
	Members    []string // names of all schedulers, if these are known from the start
	MinNodes   int      // minimum number of nodes in a set
	Coverage   float64  // minimum number of sets that each node is in
	Spare      float64  // nodes for each machine that the scheduler's own tasks would fill
	PerStart   float64  // nodes for each task started per second
	PerStratum int      // minimum number of nodes of each zone and machine kind
	// NarrowAfter is the time in ms for which a set must have been larger than needed before it shrinks. A change of members is applied once
	// they have stayed the same for a tenth of it.
	NarrowAfter float64
	Faults      Faults
}

// Faults injects faults for tests that must detect them. The zero value injects none.
type Faults struct {
	ForgetSet         bool // a change of members empties the set
	SkipNodes         bool // some nodes are in no scheduler's set
	UnboundedWidening bool // widening has no rate limit
	Flap              bool // the set narrows as soon as there is no shortage
}

// AnyKind stands for the machine kind of a task that can run on every kind.
const AnyKind = -1

// Reason is the reason for which a node is removed from the set.
type Reason uint8

// Reasons of a removal.
const (
	Reassigned Reason = iota // the nodes were divided anew after a change of members
	Narrowed                 // fewer nodes are needed
)

func (r Reason) String() string { return [...]string{"reassigned", "narrowed"}[r] }

// Removal is a node that is removed from the set, with the reason.
type Removal struct {
	ID     uint32
	Reason Reason
}

// Change lists the nodes that a step adds to the set and removes from it.
type Change struct {
	Added   []uint32
	Removed []Removal
}

// Set is the working set of one scheduler.
type Set struct {
	config     Config
	view       view
	nodes      map[uint32]*record
	strata     []*stratum // by zone and kind
	ready      int        // nodes that are ready
	size       int        // nodes in the set
	usualSize  float64    // size for which the set was last updated
	load       Load
	sizer      sizer
	wideners   []widener // by machine kind
	shortKinds []bool    // by machine kind, whether there was a shortage since the last step
	tokens     float64   // number of nodes that widening may add now
	lastStepAt float64

	dirty        bool     // something changed since the last step, or the set is wider than usual
	membersKnown bool     // the names of the other schedulers are known
	reassigned   bool     // nodes were divided anew since the last step
	pending      []string // members that are not applied yet, because they changed recently
	pendingSince float64
}

// New returns an empty set.
func New(now float64, config Config) *Set {
	config.MinNodes = max(1, config.MinNodes)
	return &Set{
		config:       config,
		nodes:        map[uint32]*record{},
		lastStepAt:   now,
		sizer:        sizer{window: config.NarrowAfter, windowStart: now},
		view:         newView(config.Key, config.Self, config.Members),
		membersKnown: len(config.Members) > 0,
	}
}

// Size returns how many nodes are in the set.
func (s *Set) Size() int { return s.size }

// SetLoad sets the scheduler's own load.
func (s *Set) SetLoad(load Load) { s.load = load }

// OnShortage records that a task for a machine kind finds no node in the set. AnyKind is a shortage of all kinds.
func (s *Set) OnShortage(kind int) {
	for k := range s.shortKinds {
		s.shortKinds[k] = s.shortKinds[k] || kind == AnyKind || kind == k
	}
	s.dirty = true
}
