package platformsim

import (
	"fmt"
	"math"
)

// Times of nodes that are replaced at their addresses, in ms.
const (
	minReplaceTime   = 100 // from the end of a node to the start of the new one
	replaceTimeRange = 4000
	maxAddNotice     = 1700 // after the start of the new node, until the node list tells of it
	maxGoneNotice    = 9000 // after the end of the old one, until the node list tells of that: a silent machine is noticed late
)

// maxReplacements is the maximum number of nodes that are replaced in a seed.
const maxReplacements = 3

// drawReplacements draws which nodes are replaced, and when. On sockets none is, as machines can't vanish on loopback.
func (sm *simulation) drawReplacements() {
	if _, simulated := sm.clock.(*simWorld); !simulated {
		return
	}
	for range sm.replaceRNG.IntN(maxReplacements + 1) {
		n := sm.nodes[sm.replaceRNG.IntN(len(sm.nodes))]
		sm.clock.At(faultsFrom+faultSpan*sm.replaceRNG.Float64(), func() { sm.replace(n) })
	}
}

// replace ends a node, silently or with a reset of its connections, and starts a new one at its address. The node list tells of the end and of the start
// later, in either order; until then it names the old node at the address, or both.
func (sm *simulation) replace(n *node) {
	if !n.isInService() || sm.readyNodes() < minReadyNodes {
		return
	}
	n.vanished = true
	if sm.replaceRNG.IntN(2) == 0 {
		n.process.Vanish()
	} else {
		n.process.Kill(false)
	}
	n.cutTasks()
	sm.after(maxGoneNotice*sm.replaceRNG.Float64(), func() {
		if n.status != statusGone {
			n.status = statusGone
			sm.announce(n)
		}
	})
	sm.after(minReplaceTime+replaceTimeRange*sm.replaceRNG.Float64(), func() { sm.startReplacement(n) })
}

// startReplacement starts the new node, of which the node list tells later.
func (sm *simulation) startReplacement(former *node) {
	n := sm.newNode(fmt.Sprintf("%s-%d", former.name, len(sm.nodes)), former.address)
	n.startedAt, n.unlisted = math.Ceil(sm.unixTime()), true
	n.start(false)
	n.coldSince = n.starts[len(n.starts)-1]
	sm.result.Replaced++
	sm.after(maxAddNotice*sm.replaceRNG.Float64(), func() {
		n.unlisted = false
		sm.announce(n)
	})
}
