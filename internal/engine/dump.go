package engine

import (
	"cmp"
	"encoding/binary"
	"math"
	"slices"
)

// AppendState appends what the engine holds, times counted from now, so that two engines that will go on alike look alike. What
// the module holds beside is not in it. It is for whoever explores what an engine can come to.
func (e *Engine) AppendState(b []byte) []byte {
	num := func(vs ...float64) {
		for _, v := range vs {
			b = binary.LittleEndian.AppendUint64(b, math.Float64bits(v))
		}
	}
	rel := func(t float64) float64 {
		if t == 0 {
			return -1
		}
		return t - e.now
	}
	flag := func(vs ...bool) {
		for _, v := range vs {
			if v {
				b = append(b, 1)
			} else {
				b = append(b, 0)
			}
		}
	}
	var live []int
	for p := range e.allocations {
		if q, ok := e.byID[e.allocations[p].id]; ok && q == p {
			live = append(live, p)
		}
	}
	slices.SortFunc(live, func(x, y int) int { return cmp.Compare(e.allocations[x].ticket, e.allocations[y].ticket) })
	for _, p := range live {
		a := &e.allocations[p]
		num(float64(a.id), float64(a.attempt), float64(a.phase), float64(a.client), float64(a.requestID), float64(a.ticket), float64(a.epoch),
			rel(a.deadline), rel(a.dueAt), rel(a.confirmBy), float64(a.nodeIndex), float64(a.lateStart.ticket), float64(a.lateStart.number))
		flag(a.answered, a.recalled, a.attempted, a.recovered, a.stopping, a.mayHaveRun, a.reported)
	}
	var names []attemptID
	for name := range e.abandoned {
		names = append(names, name)
	}
	slices.SortFunc(names, attemptID.compare)
	for _, name := range names {
		g := e.abandoned[name]
		num(float64(name.ticket), float64(name.number), float64(g.allocationID), float64(g.nodeIndex), float64(g.policyID), rel(g.sentAt))
		flag(g.started, g.stopped)
	}
	for i := range e.nodes {
		n := &e.nodes[i]
		num(float64(n.availability), float64(n.incarnation))
		flag(n.excluded, n.sameIncarnation, n.connected, n.ready, n.probing)
	}
	num(float64(len(e.deferred)), float64(len(e.claims)), e.NextRound()-e.now)
	return b
}
