// Package workingset decides which nodes a scheduler works with: to which it keeps connections, which the placement
// module is shown. The size of the set follows from the scheduler's own load. Schedulers share nodes out by rendezvous
// hashing, so that every node is in about as many sets as every other and a scheduler that comes or goes moves its
// share of the nodes alone. A set that lacks room widens at a bounded rate and narrows late.
//
// Times are milliseconds on the caller's clock. docs/design/workingset.md has the arithmetic.
package workingset

import (
	"cmp"
	"math"
	"slices"
)

// Config is what a set is started with.
type Config struct {
	Key        string   // of the site, so that two sites share their nodes out apart
	Self       string   // name of this scheduler
	Schedulers int      // the site has, until members are known
	Members    []string // names of all schedulers, if these are known from the start
	MinNodes   int      // nodes in a set
	Coverage   float64  // sets that each node is in at least
	Spare      float64  // nodes for each machine that own tasks would fill
	PerStart   float64  // nodes for each start a second
	PerStratum int      // nodes of each zone and machine kind at least
	// NarrowAfter is for how long, in ms, a set must have been larger than needed before it shrinks. Members count as
	// settled after a tenth of it.
	NarrowAfter float64
	Faults      Faults
}

// Faults puts faults into a set, for tests that must find them.
type Faults struct {
	ForgetSet         bool // a change of members empties the set
	SkipNodes         bool // some nodes are in no scheduler's set
	UnboundedWidening bool // without pace
	Flap              bool // narrows as soon as nothing is short
}

const (
	settleFraction       = 0.1  // of NarrowAfter that members must stay the same before nodes are shared out anew
	minReachableFraction = 0.75 // part of the size below which unreachable nodes are replaced
)

// State is what the node list says of a node.
type State uint8

// States of a node.
const (
	Ready State = iota
	Draining
)

// Node is an entry of the node list.
type Node struct {
	ID         uint32
	Zone, Kind int
	State      State
}

// AnyKind is the machine kind of a task that runs on every kind.
const AnyKind = -1

// record is what the set keeps of each node of the list.
type record struct {
	id          uint32
	stratum     *stratum
	position    float64
	state       State
	inSet       bool
	unreachable bool // it can't be reached
}

// stratum is the nodes of one zone and machine kind, by position.
type stratum struct {
	zone, kind int
	nodes      []*record
}

// Reason is why a node leaves the set.
type Reason uint8

// Reasons to leave.
const (
	Reassigned Reason = iota // members or nodes have changed
	Narrowed                 // fewer nodes are needed
)

func (r Reason) String() string { return [...]string{"reassigned", "narrowed"}[r] }

// Removal is a node that leaves, and why.
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
	ready      int
	size       int     // nodes in the set
	usualSize  float64 // size that the last change was made for
	load       Load
	sizer      sizer
	wideners   []widener // by machine kind
	shortKinds []bool    // by machine kind, since the last step
	tokens     float64   // nodes that widening may add now
	lastStepAt float64

	dirty        bool // something changed since the last step, or the set is wider than usual
	membersKnown bool // the members are
	reassigned   bool // nodes were shared out anew since the last step
	pending      []string
	pendingSince float64
}

// New starts an empty set that knows nothing of the other schedulers.
func New(now float64, config Config) *Set {
	config.MinNodes = max(1, config.MinNodes)
	s := &Set{config: config, nodes: map[uint32]*record{}, lastStepAt: now}
	s.sizer = sizer{window: config.NarrowAfter, began: now}
	s.view = newView(config.Key, config.Self, config.Members)
	s.membersKnown = len(config.Members) > 0
	return s
}

// PutNode takes an entry of the node list. It tells whether the node was not on it before.
func (s *Set) PutNode(n Node) (isNew bool) {
	r := s.nodes[n.ID]
	if isNew = r == nil; isNew {
		r = &record{id: n.ID, stratum: s.stratumOf(n.Zone, n.Kind), position: s.position(n.ID), state: Draining}
		s.nodes[n.ID] = r
		r.stratum.insert(r)
	} else if r.stratum.zone != n.Zone || r.stratum.kind != n.Kind {
		r.stratum.remove(r)
		r.stratum = s.stratumOf(n.Zone, n.Kind)
		r.stratum.insert(r)
		s.dirty = true
	}
	if r.state == n.State {
		return isNew
	}
	r.state, s.dirty = n.State, true
	if n.State == Ready {
		s.ready++
	} else {
		s.ready--
	}
	return isNew
}

// RemoveNode takes a node off the list: it is in no set from now on.
func (s *Set) RemoveNode(id uint32) {
	r := s.nodes[id]
	if r == nil {
		return
	}
	delete(s.nodes, id)
	r.stratum.remove(r)
	s.dirty = true
	if r.state == Ready {
		s.ready--
	}
	if r.inSet {
		s.size--
	}
}

// Nodes gives the nodes of the list, in no order.
func (s *Set) Nodes(yield func(id uint32) bool) {
	for id := range s.nodes {
		if !yield(id) {
			return
		}
	}
}

// IsListed tells whether a node is on the list.
func (s *Set) IsListed(id uint32) bool { return s.nodes[id] != nil }

// Contains tells whether a node is in the set.
func (s *Set) Contains(id uint32) bool {
	r := s.nodes[id]
	return r != nil && r.inSet
}

// Size is how many nodes are in the set.
func (s *Set) Size() int { return s.size }

// SetMembers says which schedulers are there. Nodes are shared out anew once that has been the same for a while.
func (s *Set) SetMembers(now float64, names []string) {
	sorted := withName(names, s.config.Self)
	switch {
	case s.membersKnown && slices.Equal(sorted, s.view.names):
		s.pending = nil
	case !slices.Equal(sorted, s.pending):
		s.pending, s.pendingSince = sorted, now
	}
}

// SetLoad says what the scheduler's own load is.
func (s *Set) SetLoad(load Load) { s.load = load }

// SetReachable says whether a node of the set can be reached.
func (s *Set) SetReachable(id uint32, reachable bool) {
	if r := s.nodes[id]; r != nil && r.inSet && r.unreachable == reachable {
		r.unreachable, s.dirty = !reachable, true
	}
}

// OnShortage says that a task for a kind of machine finds no node in the set, AnyKind for all kinds.
func (s *Set) OnShortage(kind int) {
	for k := range s.shortKinds {
		s.shortKinds[k] = s.shortKinds[k] || kind == AnyKind || kind == k
	}
	s.dirty = true
}

// Step decides what changes now. It is to be called some times a second.
func (s *Set) Step(now float64) Change {
	s.applyMembers(now)
	size := s.computeUsualSize(now)
	s.refill(now, size)
	if !s.dirty && size == s.usualSize {
		return Change{}
	}
	s.usualSize, s.dirty = size, false
	s.widen(now, size)
	var change Change
	var extra []*record
	for _, st := range s.strata {
		usual, most := s.positionLimits(st, size)
		s.compare(st, usual, most, &change, &extra)
	}
	s.addExtra(extra, &change)
	s.reassigned = false
	s.dirty = s.dirty || slices.ContainsFunc(s.wideners, func(w widener) bool { return w.factor > 1 })
	return change
}

// applyMembers shares nodes out among other schedulers than before, once these are settled.
func (s *Set) applyMembers(now float64) {
	if s.pending == nil || now-s.pendingSince < settleFraction*s.config.NarrowAfter {
		return
	}
	s.view = newView(s.config.Key, s.config.Self, s.pending)
	s.pending, s.membersKnown, s.reassigned, s.dirty = nil, true, true, true
	for _, r := range s.nodes {
		r.position = s.position(r.id)
		if s.config.Faults.ForgetSet && r.inSet {
			r.inSet = false
			s.size--
		}
	}
	for _, st := range s.strata {
		st.sort()
	}
}

// position is where this scheduler stands among those that want a node. As long as it knows of no other, it takes a
// place by chance, as if the site's schedulers were all there.
func (s *Set) position(id uint32) float64 {
	node := hashOfNode(id)
	if s.config.Faults.SkipNodes && node%10 == 0 {
		return math.Inf(1)
	}
	if s.membersKnown {
		return s.view.position(node)
	}
	return fraction(mix(node^s.view.own)) * s.schedulers()
}

// schedulers is among how many nodes are shared out.
func (s *Set) schedulers() float64 {
	if s.membersKnown {
		return s.view.schedulers()
	}
	return float64(max(1, s.config.Schedulers))
}

// computeUsualSize is how many nodes the scheduler's own load and the coverage of all nodes need. A scheduler that is cut off
// from more than half of the others does not cover their nodes for them.
func (s *Set) computeUsualSize(now float64) float64 {
	need := s.config.Spare*s.load.Machines + s.config.PerStart*s.load.Starts
	size := s.sizer.size(now, need, float64(s.config.MinNodes))
	sharers := max(s.schedulers(), float64(s.config.Schedulers)/2)
	return max(size, s.config.Coverage*float64(s.ready)/sharers)
}

// refill gives widening leave for more nodes: a usual set a second, half of one at once.
func (s *Set) refill(now, size float64) {
	s.tokens = min(size/2, s.tokens+size*(now-s.lastStepAt)/1000)
	s.lastStepAt = now
	if s.config.Faults.UnboundedWidening {
		s.tokens = math.Inf(1)
	}
}

// widen widens for the kinds of machines that are short, or of which too few can be reached, and narrows for those
// that have not been short for long.
func (s *Set) widen(now, size float64) {
	for kind := range s.wideners {
		w := &s.wideners[kind]
		usual, inside, reachable, all := s.count(kind, size)
		if s.shortKinds[kind] || inside > 0 && float64(reachable) < minReachableFraction*float64(min(usual, inside)) {
			w.onShortage(now, inside >= all, s.config.Faults)
		} else if w.isNarrowingDue(now, s.config.Faults) && s.mayNarrow(kind, size) {
			w.narrow(now)
		}
		s.shortKinds[kind] = false
	}
}

// count counts ready nodes of a kind: how many are usual in a set, are in it, of these can be reached, and are there.
func (s *Set) count(kind int, size float64) (usual, inside, reachable, all int) {
	for _, st := range s.strata {
		if st.kind != kind {
			continue
		}
		limit, _ := s.positionLimits(st, size)
		place := 0
		for _, r := range st.nodes {
			if r.state != Ready {
				continue
			}
			all++
			if r.position < limit || place < s.config.PerStratum {
				usual++
			}
			place++
			if r.inSet {
				inside++
				if !r.unreachable {
					reachable++
				}
			}
		}
	}
	return usual, inside, reachable, all
}

// mayNarrow tells whether enough reachable nodes of a kind would be left by half as wide a set.
func (s *Set) mayNarrow(kind int, size float64) bool {
	usual, left := 0, 0
	for _, st := range s.strata {
		if st.kind != kind {
			continue
		}
		limit, most := s.positionLimits(st, size)
		for _, r := range st.nodes {
			if r.state != Ready {
				continue
			}
			if r.position < limit {
				usual++
			}
			if r.position < max(limit, most/2) && !r.unreachable {
				left++
			}
		}
	}
	return float64(left) >= minReachableFraction*float64(usual)
}

// positionLimits gives the positions below which nodes of a stratum are in a set of the usual size, and of the present one.
func (s *Set) positionLimits(st *stratum, size float64) (usual, most float64) {
	usual = size * s.schedulers() / float64(max(1, s.ready))
	return usual, usual * s.wideners[st.kind].times()
}

// compare finds what enters and leaves in a stratum. Nodes beyond the usual size are gathered in extra, as these enter
// at a bounded rate. A draining node stays if it is in the set, as it is told to end, and enters none.
func (s *Set) compare(st *stratum, usual, most float64, change *Change, extra *[]*record) {
	place := 0
	for _, r := range st.nodes {
		if r.state != Ready {
			continue
		}
		wanted := place < s.config.PerStratum && !math.IsInf(r.position, 1) || r.position < most
		switch {
		case wanted == r.inSet:
		case !wanted:
			s.drop(r, change)
		case place < s.config.PerStratum || r.position < usual:
			s.add(r, change)
		default:
			*extra = append(*extra, r)
		}
		place++
	}
}

// addExtra lets extra nodes enter, those first of which this scheduler wants most, as many as the pace allows.
func (s *Set) addExtra(extra []*record, change *Change) {
	slices.SortFunc(extra, func(x, y *record) int {
		return cmp.Or(cmp.Compare(x.position, y.position), cmp.Compare(x.id, y.id))
	})
	for _, r := range extra {
		if s.tokens < 1 {
			return
		}
		s.tokens--
		s.add(r, change)
	}
}

func (s *Set) add(r *record, change *Change) {
	r.inSet, r.unreachable = true, false
	s.size++
	change.Added = append(change.Added, r.id)
}

func (s *Set) drop(r *record, change *Change) {
	why := Narrowed
	if s.reassigned {
		why = Reassigned
	}
	r.inSet, r.unreachable = false, false
	s.size--
	change.Removed = append(change.Removed, Removal{r.id, why})
}

// stratumOf finds or makes the stratum of a zone and kind.
func (s *Set) stratumOf(zone, kind int) *stratum {
	for len(s.wideners) <= kind {
		s.wideners, s.shortKinds = append(s.wideners, widener{minHold: s.config.NarrowAfter}), append(s.shortKinds, false)
	}
	for _, st := range s.strata {
		if st.zone == zone && st.kind == kind {
			return st
		}
	}
	st := &stratum{zone: zone, kind: kind}
	s.strata = append(s.strata, st)
	return st
}

func comparePosition(x, y *record) int {
	return cmp.Or(cmp.Compare(x.position, y.position), cmp.Compare(x.id, y.id))
}

func (st *stratum) insert(r *record) {
	at, _ := slices.BinarySearchFunc(st.nodes, r, comparePosition)
	st.nodes = slices.Insert(st.nodes, at, r)
}

func (st *stratum) remove(r *record) {
	at, _ := slices.BinarySearchFunc(st.nodes, r, comparePosition)
	st.nodes = slices.Delete(st.nodes, at, at+1)
}

func (st *stratum) sort() { slices.SortFunc(st.nodes, comparePosition) }
