// Package reachability determines whether an unreachable node is dead or only the network path to it is broken, by asking other schedulers
// when they last had contact with it. Their replies never cause anything to be sent to the node. The process may wait longer for the node's
// tasks, because the node runs, or give them up sooner, because the node has started a new incarnation.
//
// Inputs are losses of contact and replies; outputs are queries and the state of the node. The package ignores replies that are older than
// the loss of contact, tolerates paths that are broken for most schedulers, and limits the number of queries and replies. It does no I/O and
// returns no errors. A Tracker is not safe for concurrent use. Times are milliseconds on the process's clock.
package reachability

import (
	"cmp"
	"math"
	"slices"
)

// MaxQueries is the largest number of nodes that one datagram asks about or replies about.
const MaxQueries = 16

const (
	maxContactAge   = 3000  // ms after a reported contact for which the node is taken to be reachable
	queryDuration   = 60000 // ms after the loss of contact for which other schedulers are asked about a node
	minContactDelay = 200   // ms by which a reported contact has to be later than the loss, because messages may have been in flight
	maxNodes        = 4096  // limit of the unreachable nodes that are tracked
)

// unreachableNode is a node that this process cannot reach.
type unreachableNode struct {
	node             uint32
	incarnation      uint64
	since            float64 // time of the loss of contact, ms
	lastContactAt    float64 // last contact of another scheduler with this incarnation, ms; 0: none since the loss
	otherIncarnation uint64  // different incarnation that other schedulers have contact with; 0: none
	queriedInRound   uint64  // last round of queries that contained the node
}

// Tracker holds the unreachable nodes and what other schedulers reported about them. Its zero value is empty.
type Tracker struct {
	nodes []*unreachableNode // sorted by node
	round uint64             // number of calls of Queries that had nodes to ask about
}

// find returns the position of a node and true, or the position at which to insert it and false.
func (t *Tracker) find(node uint32) (int, bool) {
	return slices.BinarySearchFunc(t.nodes, node, func(n *unreachableNode, node uint32) int { return cmp.Compare(n.node, node) })
}

// OnUnreachable records that this process has lost contact with an incarnation of a node. Earlier replies about the node are discarded.
func (t *Tracker) OnUnreachable(now float64, node uint32, incarnation uint64) {
	i, ok := t.find(node)
	switch {
	case ok:
		*t.nodes[i] = unreachableNode{node: node, incarnation: incarnation, since: now}
	case len(t.nodes) < maxNodes:
		t.nodes = slices.Insert(t.nodes, i, &unreachableNode{node: node, incarnation: incarnation, since: now})
	}
}

// OnReachable records that this process is in contact with the node again.
func (t *Tracker) OnReachable(node uint32) {
	if i, ok := t.find(node); ok {
		t.nodes = slices.Delete(t.nodes, i, i+1)
	}
}

// Queries yields the nodes to ask another scheduler about, those asked about least recently first. Nodes that have been unreachable for
// queryDuration are removed.
func (t *Tracker) Queries(now float64, yield func(node uint32) bool) {
	t.nodes = slices.DeleteFunc(t.nodes, func(n *unreachableNode) bool { return now-n.since >= queryDuration })
	if len(t.nodes) == 0 {
		return
	}
	t.round++
	order := slices.Clone(t.nodes)
	slices.SortStableFunc(order, func(x, y *unreachableNode) int { return cmp.Compare(x.queriedInRound, y.queriedInRound) })
	for _, n := range order[:min(MaxQueries, len(order))] {
		if !yield(n.node) {
			return
		}
		n.queriedInRound = t.round
	}
}

// OnReply records a reply to a query that was sent at the given time: the other scheduler had contact with an incarnation of the node ago ms
// before it replied. So the contact was no earlier than ago ms before the query was sent.
func (t *Tracker) OnReply(sent float64, node uint32, incarnation uint64, ago float64) {
	i, ok := t.find(node)
	if !ok || !(ago >= 0) || math.IsInf(ago, 1) || incarnation == 0 {
		return
	}
	n, contactAt := t.nodes[i], sent-ago
	switch {
	case contactAt <= n.since+minContactDelay:
	case incarnation == n.incarnation:
		n.lastContactAt = max(n.lastContactAt, contactAt)
	default:
		n.otherIncarnation = incarnation
	}
}

// IsReachable reports whether other schedulers have contact with an incarnation of a node that this process cannot reach. Then only the
// network path is broken, and the node's tasks continue.
func (t *Tracker) IsReachable(now float64, node uint32, incarnation uint64) bool {
	i, ok := t.find(node)
	if !ok {
		return false
	}
	n := t.nodes[i]
	return n.incarnation == incarnation && n.otherIncarnation == 0 && n.lastContactAt > 0 && now-n.lastContactAt < maxContactAge
}

// Ended yields, once, each unreachable node of which other schedulers know a different incarnation. The tasks of the yielded incarnation have
// ended.
func (t *Tracker) Ended(yield func(node uint32, incarnation uint64)) {
	t.nodes = slices.DeleteFunc(t.nodes, func(n *unreachableNode) bool {
		hasEnded := n.otherIncarnation != 0
		if hasEnded {
			yield(n.node, n.incarnation)
		}
		return hasEnded
	})
}

// Unreachable returns the number of unreachable nodes.
func (t *Tracker) Unreachable() int { return len(t.nodes) }
