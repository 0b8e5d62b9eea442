package platformsim

import (
	"fmt"
)

// overload gives one scheduler far more than it can do: all others are killed, and what they were given comes to it, and more.
// Its code takes time, and no way is cut, so what it does late is its own.
type overload struct {
	sim      *simulation
	share    float64 // of a core that each scheduler has
	from, to float64
	factor   float64 // so many times what it can do
	survivor *scheduler
}

// Times in ms, and what an allocation costs of a core.
const (
	overloadSlack  = 60
	taskCost       = 0.3
	endNoticeLimit = 1000 // owners are to hear within it that what stood is over
)

func (g *simulation) drawOverload() *overload {
	f := &overload{sim: g, share: 0.015 + 0.015*g.rng.Float64(), factor: 5 + 5*g.rng.Float64()}
	f.from = 3000 + 1000*g.rng.Float64()
	f.to = f.from + 1500 + 1500*g.rng.Float64()
	return f
}

// plan kills all schedulers but one as the flood begins, and has nodes fail, drain and die around it.
func (f *overload) plan() {
	g := f.sim
	f.survivor = g.schedulers[g.rng.IntN(len(g.schedulers))]
	for _, s := range g.schedulers {
		if s != f.survivor {
			g.clock.At(f.from, func() { s.kill(f.to - f.from + 2000*g.rng.Float64()) })
		}
	}
	for range 3 {
		n, at := g.nodes[g.rng.IntN(len(g.nodes))], f.from+(f.to-f.from)*g.rng.Float64()
		switch g.rng.IntN(4) {
		case 0:
			g.clock.At(at, func() { g.drain(n) })
		case 1:
			g.clock.At(at, func() { g.crash(n, 2000) })
		case 2:
			g.clock.At(at, func() { n.rejectRate = 5; g.recoverLater(n, 2000) })
		case 3:
			g.clock.At(at, func() { n.errorRate = 4; g.recoverLater(n, 2000) })
		}
	}
}

// nextRequest is in how many ms the next is asked, and whom.
func (f *overload) nextRequest() (float64, *scheduler) {
	g, now := f.sim, f.sim.clock.TrueTime()
	if now < f.from || now > f.to {
		return 20 + 60*g.rng.Float64(), g.schedulers[g.rng.IntN(len(g.schedulers))]
	}
	return 2 * g.rng.Float64() * taskCost / f.share / f.factor, f.survivor
}

// expectEnd holds that an owner hears in time of the end that a node has told its scheduler.
func (g *simulation) expectEnd(t *task, n *node, e *peerConn) {
	if g.overload == nil || e.closed || !t.running {
		return
	}
	s, lives := t.scheduler, t.scheduler.incarnation
	g.clock.At(g.clock.TrueTime()+endNoticeLimit+overloadSlack, func() {
		if t.running && t.node == n && s.incarnation == lives && s.server != nil && !s.client.conn.closed && !e.closed {
			g.fail(fmt.Sprintf("rule 1: task %x was over at %s, and %s did not tell its owner within a second, %.0f ms behind", t.id, n.name, s.name,
				s.process.Backlog()))
		}
	})
}
