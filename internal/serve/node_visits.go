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

// isVisit tells whether the connection is a visit.
func (l *nodeLink) isVisit() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.visit == visiting
}

// keepVisited makes a visit a connection that stays, as the node holds something of this scheduler's.
func (l *nodeLink) keepVisited() error {
	if !l.server.workingSet.keepNode(l.node) {
		return errNotListed
	}
	l.connections.mu.Lock()
	defer l.connections.mu.Unlock()
	return l.keepLocked()
}

// keepLocked has the shards hear of a connection that was a visit; under the trunk's lock.
func (l *nodeLink) keepLocked() error {
	t := l.connections
	l.mu.Lock()
	if l.closed {
		l.mu.Unlock()
		return errors.New(l.reason)
	}
	l.visit = noVisit
	l.inventoryWaiters = [][]*shard{slices.Clone(t.shards)}
	l.mu.Unlock()
	delete(t.dialing, l.node)
	t.register(l)
	return nil
}

// finishVisit ends a visit to a node that holds nothing, unless the shards came to know the node meanwhile. It tells whether
// it did.
func (l *nodeLink) finishVisit() bool {
	t := l.connections
	t.mu.Lock()
	defer t.mu.Unlock()
	if l.server.workingSet.onVisitDone(l.node) {
		return l.keepLocked() != nil
	}
	delete(t.dialing, l.node)
	l.mu.Lock()
	l.visit = visited
	first := !l.closed
	l.closed, l.reason = true, "visit ends"
	l.mu.Unlock()
	if first {
		l.conn.Close(true, node.AppendBye(nil, "visit ends"))
	}
	return true
}

// startVisits begins as many visits as may be under way: at each step, and when one ends.
func (v *workingSet) startVisits() {
	if v.server.stopped.Load() {
		return
	}
	v.mu.Lock()
	visits := v.nextVisits(v.server.env.Now())
	v.mu.Unlock()
	for _, entry := range visits {
		v.server.connections.visit(entry.ID, entry.Address)
	}
}

// nextVisits gives the nodes to visit now.
func (v *workingSet) nextVisits(now float64) (entries []listEntry) {
	for id, ok := v.visits.Next(now); ok; id, ok = v.visits.Next(now) {
		if _, known := v.nodeStates[id]; known { // its connection will tell
			v.visits.Remove(id)
			continue
		}
		entry := v.entriesOf([]uint32{id})
		if len(entry) == 0 {
			v.visits.Remove(id)
			continue
		}
		entries = append(entries, entry...)
	}
	return entries
}

// onVisitFailed says that a node was not reached; it is visited again if that was a visit.
func (v *workingSet) onVisitFailed(id uint32) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.visits.OnFailed(v.server.env.Now(), id)
	v.continueVisits()
}

// continueVisits has visits begin in the place of one that has ended; under the lock.
func (v *workingSet) continueVisits() {
	if v.visits.Pending() > 0 {
		v.server.async(v.startVisits)
	}
}

// onVisitDone says that a node told all it holds: nothing. It tells whether the shards know the node all the same.
func (v *workingSet) onVisitDone(id uint32) (known bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.visits.Remove(id)
	v.continueVisits()
	_, known = v.nodeStates[id]
	return known
}

// keepNode has the shards know a node outside the set that holds something of this scheduler's. It tells whether the
// node is on the list.
func (v *workingSet) keepNode(id uint32) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.visits.Remove(id)
	v.continueVisits()
	if _, known := v.nodeStates[id]; known {
		return true
	}
	if len(v.entriesOf([]uint32{id})) == 0 {
		return false
	}
	v.nodeStates[id] = nodeAside
	v.introduce([]uint32{id}, false, true)
	return true
}
