package serve

import (
	"errors"
	"slices"

	"ravenpond/internal/proto/node"
)

// visitPhase is how far a connection is that is made to hear what a node outside the working set holds.
type visitPhase uint8

const (
	noVisit visitPhase = iota // the shards know the node, or will stay connected to it
	visiting
	visited // nothing is held: the connection ends
)

var errNotListed = errors.New("holds something and is not on the list")

// visits tells whether the connection is a visit.
func (l *link) visits() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.visit == visiting
}

// stay makes a visit a connection that stays, as the node holds something of this scheduler's.
func (l *link) stay() error {
	if !l.s.set.keepFound(l.nd) {
		return errNotListed
	}
	l.t.mu.Lock()
	defer l.t.mu.Unlock()
	return l.settleIn()
}

// settleIn has the shards hear of a connection that was a visit; under the trunk's lock.
func (l *link) settleIn() error {
	t := l.t
	l.mu.Lock()
	if l.shut {
		l.mu.Unlock()
		return errors.New(l.why)
	}
	l.visit = noVisit
	l.hearing = [][]*shard{slices.Clone(t.shards)}
	l.mu.Unlock()
	delete(t.dialing, l.nd)
	t.add(l)
	return nil
}

// leave ends a visit to a node that holds nothing, unless the shards came to know the node meanwhile. It tells whether
// it did.
func (l *link) leave() bool {
	t := l.t
	t.mu.Lock()
	defer t.mu.Unlock()
	if l.s.set.endVisit(l.nd) {
		return l.settleIn() != nil
	}
	delete(t.dialing, l.nd)
	l.mu.Lock()
	l.visit = visited
	first := !l.shut
	l.shut, l.why = true, "visit ends"
	l.mu.Unlock()
	if first {
		l.conn.Close(true, node.AppendBye(nil, "visit ends"))
	}
	return true
}

// beginVisits begins as many visits as may be under way: at each step, and when one ends.
func (v *nodeSet) beginVisits() {
	if v.s.over.Load() {
		return
	}
	v.mu.Lock()
	visits := v.nextVisits(v.s.w.Now())
	v.mu.Unlock()
	for _, entry := range visits {
		v.s.trunk.visit(entry.ID, entry.Address)
	}
}

// nextVisits gives the nodes to visit now.
func (v *nodeSet) nextVisits(now float64) (entries []listEntry) {
	for id, ok := v.visits.Next(now); ok; id, ok = v.visits.Next(now) {
		if _, known := v.shown[id]; known { // its connection will tell
			v.visits.Drop(id)
			continue
		}
		entry := v.entriesOf([]uint32{id})
		if len(entry) == 0 {
			v.visits.Drop(id)
			continue
		}
		entries = append(entries, entry...)
	}
	return entries
}

// onVisitFailed says that a node was not reached; it is visited again if that was a visit.
func (v *nodeSet) onVisitFailed(id uint32) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.visits.Failed(v.s.w.Now(), id)
	v.visitOthers()
}

// visitOthers has visits begin in the place of one that has ended; under the lock.
func (v *nodeSet) visitOthers() {
	if v.visits.Left() > 0 {
		v.s.soon(v.beginVisits)
	}
}

// endVisit says that a node told all it holds: nothing. It tells whether the shards know the node all the same.
func (v *nodeSet) endVisit(id uint32) (known bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.visits.Drop(id)
	v.visitOthers()
	_, known = v.shown[id]
	return known
}

// keepFound has the shards know a node outside the set that holds something of this scheduler's. It tells whether the
// node is on the list.
func (v *nodeSet) keepFound(id uint32) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.visits.Drop(id)
	v.visitOthers()
	if _, known := v.shown[id]; known {
		return true
	}
	if len(v.entriesOf([]uint32{id})) == 0 {
		return false
	}
	v.shown[id] = nodeAside
	v.introduce([]uint32{id}, false, true)
	return true
}
