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
	conns := l.connections
	l.mu.Lock()
	if l.closed {
		l.mu.Unlock()
		return errors.New(l.reason)
	}
	l.visit = noVisit
	l.inventoryWaiters = [][]*shard{slices.Clone(conns.shards)}
	l.mu.Unlock()
	delete(conns.dialing, l.node)
	conns.register(l)
	return nil
}

// finishVisit ends a visit to a node that holds nothing, unless the shards came to know the node meanwhile. It tells whether
// it did.
func (l *nodeLink) finishVisit() bool {
	conns := l.connections
	conns.mu.Lock()
	defer conns.mu.Unlock()
	if l.server.workingSet.onVisitDone(l.node) {
		return l.keepLocked() != nil
	}
	delete(conns.dialing, l.node)
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
func (w *workingSet) startVisits() {
	if w.server.stopped.Load() {
		return
	}
	w.mu.Lock()
	visits := w.nextVisits(w.server.env.Now())
	w.mu.Unlock()
	for _, entry := range visits {
		w.server.connections.visit(entry.ID, entry.Address)
	}
}

// nextVisits gives the nodes to visit now.
func (w *workingSet) nextVisits(now float64) (entries []listEntry) {
	for id, ok := w.visits.Next(now); ok; id, ok = w.visits.Next(now) {
		if _, known := w.nodeStates[id]; known { // its connection will tell
			w.visits.Remove(id)
			continue
		}
		entry := w.entriesOf([]uint32{id})
		if len(entry) == 0 {
			w.visits.Remove(id)
			continue
		}
		entries = append(entries, entry...)
	}
	return entries
}

// onVisitFailed says that a node was not reached; it is visited again if that was a visit.
func (w *workingSet) onVisitFailed(id uint32) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.visits.OnFailed(w.server.env.Now(), id)
	w.continueVisits()
}

// continueVisits has visits begin in the place of one that has ended; under the lock.
func (w *workingSet) continueVisits() {
	if w.visits.Pending() > 0 {
		w.server.async(w.startVisits)
	}
}

// onVisitDone says that a node told all it holds: nothing. It tells whether the shards know the node all the same.
func (w *workingSet) onVisitDone(id uint32) (known bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.visits.Remove(id)
	w.continueVisits()
	_, known = w.nodeStates[id]
	return known
}

// keepNode has the shards know a node outside the set that holds something of this scheduler's. It tells whether the
// node is on the list.
func (w *workingSet) keepNode(id uint32) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.visits.Remove(id)
	w.continueVisits()
	if _, known := w.nodeStates[id]; known {
		return true
	}
	if len(w.entriesOf([]uint32{id})) == 0 {
		return false
	}
	w.nodeStates[id] = nodeAside
	w.introduce([]uint32{id}, false, true)
	return true
}
