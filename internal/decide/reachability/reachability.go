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
	fresh  = 3000  // ms for which an answer that a node is reachable counts, from when it was heard
	asks   = 60000 // ms for which a node is asked for after it became unreachable
	sooner = 200   // ms by which an answer has to be later than the loss: what was in flight then proves nothing
	most   = 4096  // unreachable nodes at once
)

// silent is a node that this process can't reach.
type silent struct {
	node  uint32
	life  uint64
	since float64
	heard float64 // when another last heard this incarnation, by this process's clock; 0: never
	other uint64  // another incarnation that others hear; 0: none
	asked uint64  // round in which it was last asked for
}

// Tracker keeps the unreachable nodes and what others say of them. Its zero value is empty.
type Tracker struct {
	all  []*silent // by node
	turn uint64
}

// find returns a node's position, or where it would be.
func (t *Tracker) find(node uint32) (int, bool) {
	return slices.BinarySearchFunc(t.all, node, func(s *silent, node uint32) int {
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
func (t *Tracker) OnUnreachable(now float64, node uint32, life uint64) {
	i, ok := t.find(node)
	switch {
	case ok:
		*t.all[i] = silent{node: node, life: life, since: now}
	case len(t.all) < most:
		t.all = slices.Insert(t.all, i, &silent{node: node, life: life, since: now})
	}
}

// OnReachable records that this process hears the node again.
func (t *Tracker) OnReachable(node uint32) {
	if i, ok := t.find(node); ok {
		t.all = slices.Delete(t.all, i, i+1)
	}
}

// Questions yields the nodes to ask another scheduler for, the least recently asked first.
func (t *Tracker) Questions(now float64, yield func(node uint32) bool) {
	t.all = slices.DeleteFunc(t.all, func(s *silent) bool { return now-s.since >= asks })
	if len(t.all) == 0 {
		return
	}
	t.turn++
	order := slices.Clone(t.all)
	slices.SortStableFunc(order, func(x, y *silent) int { return int(int64(x.asked) - int64(y.asked)) })
	for _, s := range order[:min(MaxQuestions, len(order))] {
		if !yield(s.node) {
			return
		}
		s.asked = t.turn
	}
}

// OnAnswer handles an answer: another scheduler heard an incarnation of the node ago ms before it answered a question that was sent at a
// time of this process's clock. So it heard the node no earlier than ago ms before that time.
func (t *Tracker) OnAnswer(sent float64, node uint32, life uint64, ago float64) {
	i, ok := t.find(node)
	if !ok || !(ago >= 0) || math.IsInf(ago, 1) || life == 0 {
		return
	}
	s := t.all[i]
	if at := sent - ago; at <= s.since+sooner {
		return
	} else if life == s.life {
		s.heard = max(s.heard, at)
	} else {
		s.other = life
	}
}

// IsReachable reports whether others hear the incarnation of a node that this process can't reach: only the path is broken, and the node's
// tasks go on.
func (t *Tracker) IsReachable(now float64, node uint32, life uint64) bool {
	i, ok := t.find(node)
	return ok && t.all[i].life == life && t.all[i].other == 0 && t.all[i].heard > 0 && now-t.all[i].heard < fresh
}

// Ended yields each node once that others hear in another incarnation than the lost one. The tasks of the lost incarnation have ended.
func (t *Tracker) Ended(yield func(node uint32, life uint64)) {
	t.all = slices.DeleteFunc(t.all, func(s *silent) bool {
		if s.other != 0 {
			yield(s.node, s.life)
		}
		return s.other != 0
	})
}

// Unreachable returns the number of unreachable nodes.
func (t *Tracker) Unreachable() int { return len(t.all) }
