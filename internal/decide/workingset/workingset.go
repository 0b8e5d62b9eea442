// Package workingset decides which nodes a scheduler works with: those to which it keeps connections and which its placement module sees.
//
// The node list, the names of the other schedulers, this scheduler's load, shortages and the reachability of nodes go in; Step returns the
// nodes to add and to remove. The size of the set follows from the scheduler's load. The schedulers divide the nodes by rendezvous hashing,
// so that each node is in about as many sets as any other, and a scheduler that comes or goes moves only its own share of the nodes. A set
// that lacks room widens at a bounded rate and narrows late.
//
// The package does no I/O, starts no goroutines and returns no errors. Set and Visits are not safe for concurrent use. Times are
// milliseconds on the caller's clock. docs/design/workingset.md has the arithmetic.
package workingset

// Config is what a set is started with.
type Config struct {
	Key        string   // of the site, so that two sites divide their nodes independently
	Self       string   // name of this scheduler
	Schedulers int      // of the site, until members are known
	Members    []string // names of all schedulers, if these are known from the start
	MinNodes   int      // nodes in a set
	Coverage   float64  // sets that each node is in at least
	Spare      float64  // nodes for each machine that own tasks would fill
	PerStart   float64  // nodes for each task started per second
	PerStratum int      // nodes of each zone and machine kind at least
	// NarrowAfter is for how long, in ms, a set must have been larger than needed before it shrinks. A change of members is applied when
	// they have been the same for a tenth of it.
	NarrowAfter float64
	Faults      Faults
}

// Faults injects faults for tests that must detect them. The zero value injects none.
type Faults struct {
	ForgetSet         bool // a change of members empties the set
	SkipNodes         bool // some nodes are in no scheduler's set
	UnboundedWidening bool // the set widens at any rate
	Flap              bool // the set narrows as soon as nothing is short
}

// AnyKind is the machine kind of a task that runs on every kind.
const AnyKind = -1

// Reason is why a node is removed from the set.
type Reason uint8

// Reasons of a removal.
const (
	Reassigned Reason = iota // members or nodes have changed
	Narrowed                 // fewer nodes are needed
)

func (r Reason) String() string { return [...]string{"reassigned", "narrowed"}[r] }

// Removal is a node that is removed from the set, and why.
type Removal struct {
	ID     uint32
	Reason Reason
}

// Change is what a step changes.
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
	usualSize  float64    // size that the last change was made for
	load       Load
	sizer      sizer
	wideners   []widener // by machine kind
	shortKinds []bool    // by machine kind, since the last step
	tokens     float64   // nodes that widening may add now
	lastStepAt float64

	dirty        bool     // something changed since the last step, or the set is wider than usual
	membersKnown bool     // the names of the other schedulers are known
	reassigned   bool     // nodes were divided anew since the last step
	pending      []string // members that wait until they are applied
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

// OnShortage records that a task for a kind of machine finds no node in the set; AnyKind is a shortage of all kinds.
func (s *Set) OnShortage(kind int) {
	for k := range s.shortKinds {
		s.shortKinds[k] = s.shortKinds[k] || kind == AnyKind || kind == k
	}
	s.dirty = true
}
