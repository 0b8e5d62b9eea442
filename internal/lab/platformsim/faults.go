package platformsim

import "fmt"

// drawFaults plans what goes wrong. A list that changes amid restarts, all of them one after another, is part of every
// other seed.
func (g *simulation) drawFaults() {
	at := func(f func()) { g.clock.At(500+(activeTime-2500)*g.rng.Float64(), f) }
	some := func() *node { return g.nodes[g.rng.IntN(len(g.nodes))] }
	anyone := func() *scheduler { return g.schedulers[g.rng.IntN(len(g.schedulers))] }
	if g.rng.IntN(2) == 0 { // a rolling restart under a changing list
		from := 1000 + 3000*g.rng.Float64()
		for i, s := range g.schedulers {
			g.clock.At(from+float64(i)*1500, s.stop)
		}
		for range 3 {
			g.clock.At(from+4000*g.rng.Float64(), func() { g.drain(some()) })
		}
		g.clock.At(from+3000*g.rng.Float64(), func() { anyone().reload() })
	}
	for range 3 + g.rng.IntN(8) {
		s, n := anyone(), some()
		most := 300 + 3000*g.rng.Float64()
		switch g.rng.IntN(14) {
		case 0:
			at(func() { s.kill(most) })
		case 1:
			at(s.stop)
		case 2:
			at(s.reload)
		case 3:
			at(func() { s.reload(); s.stop(); g.clock.At(g.clock.TrueTime()+most/3, s.reload) })
		case 4:
			at(func() { s.journal.silence(most) })
		case 5:
			at(func() { g.drain(n) })
		case 6:
			at(func() { g.crash(n, most) })
		case 7:
			at(func() { n.errorRate = 5; g.recoverLater(n, most) })
		case 8:
			at(func() { n.answerLossRate = 3; g.recoverLater(n, most) })
		case 9:
			at(func() { n.rejectRate = 6; g.recoverLater(n, most) })
		case 10:
			at(func() { n.hung = true; g.recoverLater(n, most) })
		case 11:
			at(func() {
				for _, e := range n.conns {
					e.reset(g.rng.IntN(2) == 0)
				}
			})
		case 12:
			at(func() {
				g.clock.Cut(s.process.Name, n.process.Name, true)
				g.clock.At(g.clock.TrueTime()+most/2, func() { g.clock.Cut(s.process.Name, n.process.Name, false) })
			})
		case 13:
			at(func() { n.lateAnswerRate = 5; g.recoverLater(n, most) })
		}
	}
}

// recoverLater has a node behave again after a while.
func (g *simulation) recoverLater(n *node, ms float64) {
	g.clock.At(g.clock.TrueTime()+ms, n.clearFaults)
}

// clearFaults ends the node's faults.
func (n *node) clearFaults() {
	n.errorRate, n.answerLossRate, n.rejectRate, n.lateAnswerRate, n.hung = 0, 0, 0, 0, false
}

// drain takes a node out of use: it drains, ends what it holds, and is gone. Then it comes back cold under its name, or
// another does at its address.
func (g *simulation) drain(n *node) {
	if n.status != "ready" || g.readyNodes() < 3 {
		return
	}
	n.status = "draining"
	g.announce(n)
	g.clock.At(g.clock.TrueTime()+1500+2000*g.rng.Float64(), func() {
		if n.status != "draining" {
			return
		}
		n.status = "gone"
		n.crash(false)
		g.announce(n)
		g.clock.At(g.clock.TrueTime()+300+1000*g.rng.Float64(), func() { g.restoreNode(n) })
	})
}

// crash has a node die, and tells of it a little later.
func (g *simulation) crash(n *node, away float64) {
	if n.status != "ready" || g.readyNodes() < 3 {
		return
	}
	n.status = "gone"
	n.crash(g.rng.IntN(2) == 0)
	g.clock.At(g.clock.TrueTime()+300*g.rng.Float64(), func() { g.announce(n) })
	g.clock.At(g.clock.TrueTime()+300+away, func() { g.restoreNode(n) })
}

// restoreNode has a node come up again, once every scheduler can hear of it: who can't be told may send to it as before.
func (g *simulation) restoreNode(n *node) {
	for _, s := range g.schedulers {
		if g.clock.TrueTime() < s.journal.silentUntil+1500 && s.journal.silentUntil > 0 {
			g.clock.At(g.clock.TrueTime()+300, func() { g.restoreNode(n) })
			return
		}
	}
	if g.rng.IntN(2) == 0 {
		g.addNode(fmt.Sprintf("%s-%d", n.name, len(g.nodes)), n.address, true)
		return
	}
	n.process.Start()
	n.status, n.coldSince = "ready", g.unix()
	n.start(true)
	g.announce(n)
}

func (g *simulation) readyNodes() (all int) {
	for _, n := range g.nodes {
		if n.status == "ready" {
			all++
		}
	}
	return all
}

// crash ends a node with all that it holds.
func (n *node) crash(power bool) {
	n.process.Kill(power)
	for id, r := range n.tasks {
		n.conclude(id, r, "cut")
	}
	n.tasks = map[uint64]*attempt{}
}
