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
	for p := range e.allocs {
		if q, ok := e.at[e.allocs[p].id]; ok && q == p {
			live = append(live, p)
		}
	}
	slices.SortFunc(live, func(x, y int) int { return cmp.Compare(e.allocs[x].ticket, e.allocs[y].ticket) })
	for _, p := range live {
		a := &e.allocs[p]
		num(float64(a.id), float64(a.try), float64(a.phase), float64(a.owner), float64(a.ref), float64(a.ticket), float64(a.epoch),
			rel(a.expiry), rel(a.dueAt), rel(a.doubtAt), float64(a.nd), float64(a.late.ticket), float64(a.late.try))
		flag(a.answered, a.recalled, a.tried, a.found, a.stopping, a.mayHave, a.seen)
	}
	var names []tryName
	for name := range e.ghosts {
		names = append(names, name)
	}
	slices.SortFunc(names, tryName.compare)
	for _, name := range names {
		g := e.ghosts[name]
		num(float64(name.ticket), float64(name.try), float64(g.alloc), float64(g.nd), float64(g.counts), rel(g.sentAt))
		flag(g.started, g.stopped)
	}
	for i := range e.nodes {
		n := &e.nodes[i]
		num(float64(n.avail), float64(n.life))
		flag(n.out, n.same, n.linked, n.ready, n.probing)
	}
	num(float64(len(e.soon)), float64(len(e.claims)), e.NextRound()-e.now)
	return b
}
