// Package reachability decides whether a node that has fallen silent here is dead, or the way to it is: by what other schedulers hear
// of it. A word of others never has this process send anything to a node that it does not reach. It may wait longer for what
// runs there, as the node does run, or give it up sooner, as the node has begun another life.
//
// It guards against word that is older than the silence, against a way that is broken for most, which is no death, and against
// questions and answers without bound.
package reachability

import (
	"math"
	"slices"
)

// Most is how many nodes are asked for in one datagram, and answered in one.
const Most = 16

const (
	fresh  = 3000  // ms for which word that a node lives counts, from when it was heard there
	asks   = 60000 // ms for which a node is asked for after it fell silent
	sooner = 200   // ms by which word has to be later than the silence: what was under way then is no sign of life after it
	most   = 4096  // nodes that are silent here at once and asked for
)

// silent is a node that this process has lost.
type silent struct {
	node  uint32
	life  uint64
	since float64
	heard float64 // the last time that another heard it in that life, by this process's clock, 0: none did
	other uint64  // another life in which others hear it, 0: none
	asked uint64  // turn in which it was last asked for
}

// Board keeps what is silent here and what others say of it. The zero value has nothing.
type Board struct {
	all  []*silent // by node
	turn uint64
}

func (b *Board) find(node uint32) (int, bool) {
	return slices.BinarySearchFunc(b.all, node, func(s *silent, node uint32) int {
		switch {
		case s.node < node:
			return -1
		case s.node > node:
			return 1
		}
		return 0
	})
}

// Lost says that this process hears a node no more, which it knew in such a life.
func (b *Board) Lost(now float64, node uint32, life uint64) {
	i, ok := b.find(node)
	switch {
	case ok:
		*b.all[i] = silent{node: node, life: life, since: now}
	case len(b.all) < most:
		b.all = slices.Insert(b.all, i, &silent{node: node, life: life, since: now})
	}
}

// Back says that it hears the node again.
func (b *Board) Back(node uint32) {
	if i, ok := b.find(node); ok {
		b.all = slices.Delete(b.all, i, i+1)
	}
}

// Ask gives the nodes to ask another for, those first that were asked for longest ago.
func (b *Board) Ask(now float64, yield func(node uint32) bool) {
	b.all = slices.DeleteFunc(b.all, func(s *silent) bool { return now-s.since >= asks })
	if len(b.all) == 0 {
		return
	}
	b.turn++
	order := slices.Clone(b.all)
	slices.SortStableFunc(order, func(x, y *silent) int { return int(int64(x.asked) - int64(y.asked)) })
	for _, s := range order[:min(Most, len(order))] {
		if !yield(s.node) {
			return
		}
		s.asked = b.turn
	}
}

// Told takes another's answer: it heard the node in such a life so many ms before it answered a question that was sent at a time of
// this process's clock. So it heard it no earlier than so long before that.
func (b *Board) Told(sent float64, node uint32, life uint64, ago float64) {
	i, ok := b.find(node)
	if !ok || !(ago >= 0) || math.IsInf(ago, 1) || life == 0 {
		return
	}
	s := b.all[i]
	if at := sent - ago; at <= s.since+sooner {
		return
	} else if life == s.life {
		s.heard = max(s.heard, at)
	} else {
		s.other = life
	}
}

// Lives tells whether others hear a node that is silent here, in the life in which it was lost: the way to it is broken, and what it runs
// goes on.
func (b *Board) Lives(now float64, node uint32, life uint64) bool {
	i, ok := b.find(node)
	return ok && b.all[i].life == life && b.all[i].other == 0 && b.all[i].heard > 0 && now-b.all[i].heard < fresh
}

// Ended gives the nodes that others hear in another life than that in which they were lost here: what they ran then is over. Each is given
// once.
func (b *Board) Ended(yield func(node uint32, life uint64)) {
	b.all = slices.DeleteFunc(b.all, func(s *silent) bool {
		if s.other != 0 {
			yield(s.node, s.life)
		}
		return s.other != 0
	})
}

// Silent is how many nodes are asked for.
func (b *Board) Silent() int { return len(b.all) }
