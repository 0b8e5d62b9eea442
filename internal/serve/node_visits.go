package serve

import (
	"errors"
	"slices"

	"ravenpond/internal/proto/node"
)

// visitPhase is the state of a visit: a connection that is made to find out which tasks a node outside the working set holds.
type visitPhase uint8

const (
	noVisit  visitPhase = iota // not a visit: the shards know the node and stay connected to it
	visiting                   // the node has not reported all tasks that it holds
	visited                    // the node holds no tasks of this scheduler: the connection is being closed
)

var errNotListed = errors.New("holds something and is not on the list")

// isVisit reports whether the connection is a visit.
func (l *nodeLink) isVisit() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.visit == visiting
}

// keepVisited turns a visit into a lasting connection, because the node holds tasks of this scheduler.
func (l *nodeLink) keepVisited() error {
	if !l.set.workingSet.keepNode(l.node) {
		return errNotListed
	}
	l.connections.mu.Lock()
	defer l.connections.mu.Unlock()
	return l.keepVisitedLocked()
}

// keepVisitedLocked turns a visit into a lasting connection and tells the shards of it. The caller holds the lock of the nodeConnections.
func (l *nodeLink) keepVisitedLocked() error {
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

// finishVisit ends a visit to a node that holds no tasks, unless the shards have come to know the node in the meantime. It reports whether the
// visit ended.
func (l *nodeLink) finishVisit() bool {
	conns := l.connections
	conns.mu.Lock()
	defer conns.mu.Unlock()
	if l.set.workingSet.onVisitDone(l.node) {
		return l.keepVisitedLocked() != nil
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

// startVisits starts visits up to the limit of concurrent ones. It is called at each step of the working set, and when a visit ends.
func (w *workingSet) startVisits() {
	if w.stopped.Load() {
		return
	}
	w.mu.Lock()
	visits := w.nextVisits(w.env.Now())
	w.mu.Unlock()
	for _, entry := range visits {
		w.connections.visit(entry.ID, entry.Address)
	}
}

// nextVisits returns the nodes to visit now. The caller holds mu.
func (w *workingSet) nextVisits(now float64) (entries []listEntry) {
	for id, ok := w.visits.Next(now); ok; id, ok = w.visits.Next(now) {
		if _, known := w.nodeStates[id]; known { // the shards' connection to the node gives the same information
			w.visits.Remove(id)
			continue
		}
		entry := w.endpoints.entriesOf([]uint32{id})
		if len(entry) == 0 {
			w.visits.Remove(id)
			continue
		}
		entries = append(entries, entry...)
	}
	return entries
}

// onVisitFailed records that no connection to a node could be made. If that was for a visit, it is tried again later.
func (w *workingSet) onVisitFailed(id uint32) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.visits.OnFailed(w.env.Now(), id)
	w.continueVisits()
}

// continueVisits schedules the start of further visits after one has ended. The caller holds mu.
func (w *workingSet) continueVisits() {
	if w.visits.Pending() > 0 {
		w.async(w.startVisits)
	}
}

// onVisitDone records that a node holds no tasks of this scheduler. It reports whether the shards know the node nevertheless.
func (w *workingSet) onVisitDone(id uint32) (known bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.visits.Remove(id)
	w.continueVisits()
	_, known = w.nodeStates[id]
	return known
}

// keepNode tells the shards of a node outside the working set that holds tasks of this scheduler. It reports whether the node is on the node
// list.
func (w *workingSet) keepNode(id uint32) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.visits.Remove(id)
	w.continueVisits()
	if _, known := w.nodeStates[id]; known {
		return true
	}
	if len(w.endpoints.entriesOf([]uint32{id})) == 0 {
		return false
	}
	w.nodeStates[id] = nodeOutside
	w.addNodes([]uint32{id}, false, true)
	return true
}
