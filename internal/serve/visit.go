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
		l.conn.End(true, node.AppendBye(nil, "visit ends"))
	}
	return true
}
