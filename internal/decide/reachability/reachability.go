// Package reachability decides by indirect probing whether an unreachable node is dead or only the network path to it is broken: other
// schedulers say when they heard it last. Their answers never cause anything to be sent to the node. The process may wait longer for tasks
// there, because the node runs, or give them up sooner, because the node has started a new incarnation.
//
// The package ignores answers that are older than the silence, tolerates paths that are broken for most schedulers, and limits questions
// and answers.
package reachability

import (
	"math"
	"slices"
)

// MaxQuestions is the number of nodes that one datagram asks for or answers for at most.
const MaxQuestions = 16

const (
	maxAnswerAge   = 3000  // ms for which an answer that a node is reachable counts, from when it was heard
	queryDuration  = 60000 // ms for which a node is asked for after it became unreachable
	minAnswerDelay = 200   // ms by which an answer has to be later than the loss: what was in flight then proves nothing
	maxNodes       = 4096  // unreachable nodes at once
)

// unreachableNode is a node that this process can't reach.
type unreachableNode struct {
	node             uint32
	incarnation      uint64
	since            float64
	lastContactAt    float64 // when another last heard this incarnation, by this process's clock; 0: never
	otherIncarnation uint64  // another incarnation that others hear; 0: none
	lastRound        uint64  // round in which it was last asked for
}

// Tracker keeps the unreachable nodes and what others say of them. Its zero value is empty.
type Tracker struct {
	nodes []*unreachableNode // by node
	round uint64
}

// find returns a node's position, or where it would be.
func (t *Tracker) find(node uint32) (int, bool) {
	return slices.BinarySearchFunc(t.nodes, node, func(s *unreachableNode, node uint32) int {
		switch {
		case s.node < node:
			return -1
		case s.node > node:
			return 1
		}
		return 0
	})
}

// OnUnreachable records that this process no longer hears an incarnation of a node.
func (t *Tracker) OnUnreachable(now float64, node uint32, incarnation uint64) {
	i, ok := t.find(node)
	switch {
	case ok:
		*t.nodes[i] = unreachableNode{node: node, incarnation: incarnation, since: now}
	case len(t.nodes) < maxNodes:
		t.nodes = slices.Insert(t.nodes, i, &unreachableNode{node: node, incarnation: incarnation, since: now})
	}
}

// OnReachable records that this process hears the node again.
func (t *Tracker) OnReachable(node uint32) {
	if i, ok := t.find(node); ok {
		t.nodes = slices.Delete(t.nodes, i, i+1)
	}
}

// Questions yields the nodes to ask another scheduler for, the least recently asked first.
func (t *Tracker) Questions(now float64, yield func(node uint32) bool) {
	t.nodes = slices.DeleteFunc(t.nodes, func(s *unreachableNode) bool { return now-s.since >= queryDuration })
	if len(t.nodes) == 0 {
		return
	}
	t.round++
	order := slices.Clone(t.nodes)
	slices.SortStableFunc(order, func(x, y *unreachableNode) int { return int(int64(x.lastRound) - int64(y.lastRound)) })
	for _, s := range order[:min(MaxQuestions, len(order))] {
		if !yield(s.node) {
			return
		}
		s.lastRound = t.round
	}
}

// OnAnswer handles an answer: another scheduler heard an incarnation of the node ago ms before it answered a question that was sent at a
// time of this process's clock. So it heard the node no earlier than ago ms before that time.
func (t *Tracker) OnAnswer(sent float64, node uint32, incarnation uint64, ago float64) {
	i, ok := t.find(node)
	if !ok || !(ago >= 0) || math.IsInf(ago, 1) || incarnation == 0 {
		return
	}
	s := t.nodes[i]
	if at := sent - ago; at <= s.since+minAnswerDelay {
		return
	} else if incarnation == s.incarnation {
		s.lastContactAt = max(s.lastContactAt, at)
	} else {
		s.otherIncarnation = incarnation
	}
}

// IsReachable reports whether others hear the incarnation of a node that this process can't reach: only the path is broken, and the node's
// tasks go on.
func (t *Tracker) IsReachable(now float64, node uint32, incarnation uint64) bool {
	i, ok := t.find(node)
	return ok && t.nodes[i].incarnation == incarnation && t.nodes[i].otherIncarnation == 0 && t.nodes[i].lastContactAt > 0 && now-t.nodes[i].lastContactAt < maxAnswerAge
}

// Ended yields each node once that others hear in another incarnation than the lost one. The tasks of the lost incarnation have ended.
func (t *Tracker) Ended(yield func(node uint32, life uint64)) {
	t.nodes = slices.DeleteFunc(t.nodes, func(s *unreachableNode) bool {
		if s.otherIncarnation != 0 {
			yield(s.node, s.incarnation)
		}
		return s.otherIncarnation != 0
	})
}

// Unreachable returns the number of unreachable nodes.
func (t *Tracker) Unreachable() int { return len(t.nodes) }
