// Package reachability decides by indirect probing whether an unreachable node is dead or only the network path to it is broken: other
// schedulers say when they last heard from it. Their answers never cause anything to be sent to the node. The process may wait longer for
// tasks there, because the node runs, or give them up sooner, because the node has started a new incarnation.
//
// Losses of contact and answers go in; questions and verdicts come out. The package ignores answers that are older than the loss of
// contact, tolerates paths that are broken for most schedulers, and limits questions and answers. It does no I/O and returns no errors. A
// Tracker is not safe for concurrent use. Times are milliseconds on the process's clock.
package reachability

import (
	"cmp"
	"math"
	"slices"
)

// MaxQuestions is the number of nodes that one datagram asks for or answers for at most.
const MaxQuestions = 16

const (
	maxAnswerAge   = 3000  // ms for which an answer that a node is reachable counts, from the contact that it reports
	queryDuration  = 60000 // ms for which a node is asked for after it became unreachable
	minAnswerDelay = 200   // ms by which a contact has to be later than the loss, because messages may have been in flight
	maxNodes       = 4096  // unreachable nodes at once
)

// unreachableNode is a node that this process cannot reach.
type unreachableNode struct {
	node             uint32
	incarnation      uint64
	since            float64
	lastContactAt    float64 // when another scheduler last heard from this incarnation; 0: never
	otherIncarnation uint64  // another incarnation that others hear from; 0: none
	lastRound        uint64  // round in which it was last asked for
}

// Tracker keeps the unreachable nodes and what others say of them. Its zero value is empty.
type Tracker struct {
	nodes []*unreachableNode // sorted by node
	round uint64
}

// find returns a node's position, or where it would be.
func (t *Tracker) find(node uint32) (int, bool) {
	return slices.BinarySearchFunc(t.nodes, node, func(n *unreachableNode, node uint32) int { return cmp.Compare(n.node, node) })
}

// OnUnreachable records that this process no longer hears from an incarnation of a node.
func (t *Tracker) OnUnreachable(now float64, node uint32, incarnation uint64) {
	i, ok := t.find(node)
	switch {
	case ok:
		*t.nodes[i] = unreachableNode{node: node, incarnation: incarnation, since: now}
	case len(t.nodes) < maxNodes:
		t.nodes = slices.Insert(t.nodes, i, &unreachableNode{node: node, incarnation: incarnation, since: now})
	}
}

// OnReachable records that this process hears from the node again.
func (t *Tracker) OnReachable(node uint32) {
	if i, ok := t.find(node); ok {
		t.nodes = slices.Delete(t.nodes, i, i+1)
	}
}

// Questions yields the nodes to ask another scheduler for, the least recently asked first.
func (t *Tracker) Questions(now float64, yield func(node uint32) bool) {
	t.nodes = slices.DeleteFunc(t.nodes, func(n *unreachableNode) bool { return now-n.since >= queryDuration })
	if len(t.nodes) == 0 {
		return
	}
	t.round++
	order := slices.Clone(t.nodes)
	slices.SortStableFunc(order, func(x, y *unreachableNode) int { return cmp.Compare(x.lastRound, y.lastRound) })
	for _, n := range order[:min(MaxQuestions, len(order))] {
		if !yield(n.node) {
			return
		}
		n.lastRound = t.round
	}
}

// OnAnswer records an answer: another scheduler heard from an incarnation of the node ago ms before it answered a question that was sent at
// a time. So the contact was no earlier than ago ms before that time.
func (t *Tracker) OnAnswer(sent float64, node uint32, incarnation uint64, ago float64) {
	i, ok := t.find(node)
	if !ok || !(ago >= 0) || math.IsInf(ago, 1) || incarnation == 0 {
		return
	}
	n, contactAt := t.nodes[i], sent-ago
	switch {
	case contactAt <= n.since+minAnswerDelay:
	case incarnation == n.incarnation:
		n.lastContactAt = max(n.lastContactAt, contactAt)
	default:
		n.otherIncarnation = incarnation
	}
}

// IsReachable reports whether others hear from the incarnation of a node that this process cannot reach: only the path is broken, and the
// node's tasks go on.
func (t *Tracker) IsReachable(now float64, node uint32, incarnation uint64) bool {
	i, ok := t.find(node)
	if !ok {
		return false
	}
	n := t.nodes[i]
	return n.incarnation == incarnation && n.otherIncarnation == 0 && n.lastContactAt > 0 && now-n.lastContactAt < maxAnswerAge
}

// Ended yields each node once that others hear from in another incarnation than the lost one. The tasks of the lost incarnation have ended.
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
