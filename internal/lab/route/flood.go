package route

import (
	"fmt"
)

// flood gives one scheduler far more than it can do: all others are killed, and what they were given comes to it, and more.
// Its code takes time, and no way is cut, so what it does late is its own.
type flood struct {
	g        *play
	share    float64 // of a core that each scheduler has
	from, to float64
	times    float64 // so many times what it can do
	left     *sched
}

// Times in ms, and what an allocation costs of a core.
const (
	busySlack = 60
	eachTakes = 0.3
	owedIn    = 1000 // owners are to hear within it that what stood is over
)

func (g *play) drawFlood() *flood {
	f := &flood{g: g, share: 0.015 + 0.015*g.rng.Float64(), times: 5 + 5*g.rng.Float64()}
	f.from = 3000 + 1000*g.rng.Float64()
	f.to = f.from + 1500 + 1500*g.rng.Float64()
	return f
}

// plan kills all schedulers but one as the flood begins, and has nodes fail, drain and die around it.
func (f *flood) plan() {
	g := f.g
	f.left = g.scheds[g.rng.IntN(len(g.scheds))]
	for _, s := range g.scheds {
		if s != f.left {
			g.c.At(f.from, func() { s.kill(f.to - f.from + 2000*g.rng.Float64()) })
		}
	}
	for range 3 {
		n, at := g.nodes[g.rng.IntN(len(g.nodes))], f.from+(f.to-f.from)*g.rng.Float64()
		switch g.rng.IntN(4) {
		case 0:
			g.c.At(at, func() { g.drain(n) })
		case 1:
			g.c.At(at, func() { g.crash(n, 2000) })
		case 2:
			g.c.At(at, func() { n.full = 5; g.later(n, 2000) })
		case 3:
			g.c.At(at, func() { n.fails = 4; g.later(n, 2000) })
		}
	}
}

// next is in how many ms the next is asked, and whom.
func (f *flood) next() (float64, *sched) {
	g, now := f.g, f.g.c.TrueTime()
	if now < f.from || now > f.to {
		return 20 + 60*g.rng.Float64(), g.scheds[g.rng.IntN(len(g.scheds))]
	}
	return 2 * g.rng.Float64() * eachTakes / f.share / f.times, f.left
}

// owes holds that an owner hears in time of the end that a node has told its scheduler.
func (g *play) owes(t *task, n *node, e *ear) {
	if g.busy == nil || e.over || !t.stands {
		return
	}
	s, lives := t.s, t.s.lives
	g.c.At(g.c.TrueTime()+owedIn+busySlack, func() {
		if t.stands && t.at == n && s.lives == lives && s.s != nil && !s.owner.e.over && !e.over {
			g.fail(fmt.Sprintf("rule 1: task %x was over at %s, and %s did not tell its owner within a second, %.0f ms behind", t.id, n.name, s.name,
				s.p.Backlog()))
		}
	})
}
