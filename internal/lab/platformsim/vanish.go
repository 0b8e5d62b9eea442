package platformsim

import (
	"math"
	"math/rand/v2"
)

// Times of machines that vanish, in ms.
const (
	minVanishTime   = 300
	vanishTimeRange = 4700
	maxReturnNotice = 1000 // after a machine is back, until the node list shows that its node has restarted
)

// maxVanishings is the maximum number of machines that vanish in a seed.
const maxVanishings = 2

// drawVanishings draws which machines vanish, and when. On sockets none does: it can't be played on loopback.
func (sm *simulation) drawVanishings() {
	if _, simulated := sm.clock.(*simWorld); !simulated {
		return
	}
	for range sm.endingRNG.IntN(maxVanishings + 1) {
		n := sm.nodes[sm.endingRNG.IntN(len(sm.nodes))]
		sm.clock.At(faultsFrom+faultSpan*sm.endingRNG.Float64(), func() { sm.vanish(n) })
	}
}

// vanish takes a node away together with its machine: connections to it are silent, new ones never come up, and the node list shows it as ready all
// the while. It comes back as another process, without tasks.
func (sm *simulation) vanish(n *node) {
	if !n.isInService() || sm.readyNodes() < minReadyNodes {
		return
	}
	n.vanished = true
	n.process.Vanish()
	n.cutTasks()
	sm.after(minVanishTime+vanishTimeRange*sm.endingRNG.Float64(), func() { sm.returnNode(n, sm.endingRNG) })
}

// returnNode starts another process of a node that had vanished. Only attempts that arrive after the node list has told of its start count for the
// rule on cold nodes, as no scheduler can know before.
func (sm *simulation) returnNode(n *node, rng *rand.Rand) {
	n.vanished = false
	n.process.Start()
	n.clockStep = sm.drawClockStep()
	n.startedAt = math.Ceil(sm.unixTime() + n.clockStep)
	n.start(false)
	startedAt := n.startedAt
	sm.after(maxReturnNotice*rng.Float64(), func() {
		if !n.isInService() || n.startedAt != startedAt {
			return
		}
		n.coldSince, n.arrivals = n.starts[len(n.starts)-1], nil
		sm.announce(n)
	})
}
