package route

import "fmt"

// drawFaults plans what goes wrong. A list that changes amid restarts, all of them one after another, is part of every
// other seed.
func (g *play) drawFaults() {
	at := func(f func()) { g.c.At(500+(lasts-2500)*g.rng.Float64(), f) }
	some := func() *node { return g.nodes[g.rng.IntN(len(g.nodes))] }
	anyone := func() *sched { return g.scheds[g.rng.IntN(len(g.scheds))] }
	if g.rng.IntN(2) == 0 { // a rolling restart under a changing list
		from := 1000 + 3000*g.rng.Float64()
		for i, s := range g.scheds {
			g.c.At(from+float64(i)*1500, s.term)
		}
		for range 3 {
			g.c.At(from+4000*g.rng.Float64(), func() { g.drain(some()) })
		}
		g.c.At(from+3000*g.rng.Float64(), func() { anyone().hangUp() })
	}
	for range 3 + g.rng.IntN(8) {
		s, n := anyone(), some()
		most := 300 + 3000*g.rng.Float64()
		switch g.rng.IntN(14) {
		case 0:
			at(func() { s.kill(most) })
		case 1:
			at(s.term)
		case 2:
			at(s.hangUp)
		case 3:
			at(func() { s.hangUp(); s.term(); g.c.At(g.c.TrueTime()+most/3, s.hangUp) })
		case 4:
			at(func() { s.journal.hush(most) })
		case 5:
			at(func() { g.drain(n) })
		case 6:
			at(func() { g.crash(n, most) })
		case 7:
			at(func() { n.fails = 5; g.later(n, most) })
		case 8:
			at(func() { n.mute = 3; g.later(n, most) })
		case 9:
			at(func() { n.full = 6; g.later(n, most) })
		case 10:
			at(func() { n.hangs = true; g.later(n, most) })
		case 11:
			at(func() {
				for _, e := range n.conns {
					e.reset(g.rng.IntN(2) == 0)
				}
			})
		case 12:
			at(func() {
				g.c.Cut(s.p.Name, n.p.Name, true)
				g.c.At(g.c.TrueTime()+most/2, func() { g.c.Cut(s.p.Name, n.p.Name, false) })
			})
		case 13:
			at(func() { n.lateAnswers = 5; g.later(n, most) })
		}
	}
}

// later has a node behave again after a while.
func (g *play) later(n *node, ms float64) {
	g.c.At(g.c.TrueTime()+ms, n.behaves)
}

// behaves ends the node's faults.
func (n *node) behaves() { n.fails, n.mute, n.full, n.lateAnswers, n.hangs = 0, 0, 0, 0, false }

// drain takes a node out of use: it drains, ends what it holds, and is gone. Then it comes back cold under its name, or
// another does at its address.
func (g *play) drain(n *node) {
	if n.status != "ready" || g.ready() < 3 {
		return
	}
	n.status = "draining"
	g.tells(n)
	g.c.At(g.c.TrueTime()+1500+2000*g.rng.Float64(), func() {
		if n.status != "draining" {
			return
		}
		n.status = "gone"
		n.dies(false)
		g.tells(n)
		g.c.At(g.c.TrueTime()+300+1000*g.rng.Float64(), func() { g.back(n) })
	})
}

// crash has a node die, and tells of it a little later.
func (g *play) crash(n *node, away float64) {
	if n.status != "ready" || g.ready() < 3 {
		return
	}
	n.status = "gone"
	n.dies(g.rng.IntN(2) == 0)
	g.c.At(g.c.TrueTime()+300*g.rng.Float64(), func() { g.tells(n) })
	g.c.At(g.c.TrueTime()+300+away, func() { g.back(n) })
}

// back has a node come up again, once every scheduler can hear of it: who can't be told may send to it as before.
func (g *play) back(n *node) {
	for _, s := range g.scheds {
		if g.c.TrueTime() < s.journal.silent+1500 && s.journal.silent > 0 {
			g.c.At(g.c.TrueTime()+300, func() { g.back(n) })
			return
		}
	}
	if g.rng.IntN(2) == 0 {
		g.addNode(fmt.Sprintf("%s-%d", n.name, len(g.nodes)), n.address, true)
		return
	}
	n.p.Start()
	n.status, n.since = "ready", g.unix()
	n.begin(true)
	g.tells(n)
}

func (g *play) ready() (all int) {
	for _, n := range g.nodes {
		if n.status == "ready" {
			all++
		}
	}
	return all
}

// dies ends a node with all that it holds.
func (n *node) dies(power bool) {
	n.p.Kill(power)
	for id, r := range n.runs {
		n.conclude(id, r, "cut")
	}
	n.runs = map[uint64]*run{}
}
