package workingset

import (
	"cmp"
	"slices"
)

// State is the state of a node according to the node list.
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

// record holds the state of each node on the list.
type record struct {
	id          uint32
	stratum     *stratum
	position    float64 // of this scheduler in the ranking of all schedulers for the node
	state       State
	inSet       bool
	unreachable bool
}

// stratum holds the nodes of one zone and machine kind, sorted by position.
type stratum struct {
	zone, kind int
	nodes      []*record
}

// PutNode records an entry of the node list. It reports whether the node was not on the list before.
func (s *Set) PutNode(n Node) (isNew bool) {
	r := s.nodes[n.ID]
	switch {
	case r == nil:
		isNew = true
		r = &record{id: n.ID, stratum: s.stratumOf(n.Zone, n.Kind), position: s.position(n.ID), state: Draining}
		s.nodes[n.ID] = r
		r.stratum.insert(r)
	case r.stratum.zone != n.Zone || r.stratum.kind != n.Kind:
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

// RemoveNode records that a node is no longer on the list. The node leaves the set at once, and no later Change names it as removed.
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

// Nodes yields the nodes on the list in no particular order.
func (s *Set) Nodes(yield func(id uint32) bool) {
	for id := range s.nodes {
		if !yield(id) {
			return
		}
	}
}

// IsListed reports whether a node is on the list.
func (s *Set) IsListed(id uint32) bool { return s.nodes[id] != nil }

// Contains reports whether a node is in the set.
func (s *Set) Contains(id uint32) bool {
	r := s.nodes[id]
	return r != nil && r.inSet
}

// SetReachable records whether a node of the set can be reached.
func (s *Set) SetReachable(id uint32, reachable bool) {
	if r := s.nodes[id]; r != nil && r.inSet && r.unreachable == reachable {
		r.unreachable, s.dirty = !reachable, true
	}
}

// stratumOf returns the stratum of a zone and kind, and creates it if there is none.
func (s *Set) stratumOf(zone, kind int) *stratum {
	for len(s.wideners) <= kind {
		s.wideners = append(s.wideners, widener{minHold: s.config.NarrowAfter})
		s.shortKinds = append(s.shortKinds, false)
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
	index, _ := slices.BinarySearchFunc(st.nodes, r, comparePosition)
	st.nodes = slices.Insert(st.nodes, index, r)
}

func (st *stratum) remove(r *record) {
	index, _ := slices.BinarySearchFunc(st.nodes, r, comparePosition)
	st.nodes = slices.Delete(st.nodes, index, index+1)
}

func (st *stratum) sort() { slices.SortFunc(st.nodes, comparePosition) }

// readyNodes yields the ready nodes of a stratum by position, each with its index among the ready ones.
func (st *stratum) readyNodes(yield func(index int, r *record) bool) {
	index := 0
	for _, r := range st.nodes {
		if r.state != Ready {
			continue
		}
		if !yield(index, r) {
			return
		}
		index++
	}
}
