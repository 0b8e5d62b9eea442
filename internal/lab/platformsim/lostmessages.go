package platformsim

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"

	codec "ravenpond/internal/proto/platform"
)

// Times of messages that are lost with their connections, in ms.
const (
	minEndDelay    = 100 // after its task was started, until a client ends it
	endDelayRange  = 3000
	stopLimit      = 8000 + 50 // from the client's end of a running task until its node must have ended it
	minForgetAt    = 1000
	forgetAtRange  = activeTime - 3000
	malformedBytes = "\x00\x40\xf3 neither a kind nor a length that is known, and long enough to be read as a message"
)

// Shares of what is lost: one in this many.
const (
	lossySeeds   = 2  // seeds in which messages are lost
	lostReports  = 5  // ends of tasks whose report is lost with its connection
	endedTasks   = 12 // running tasks that their clients end
	maxForgotten = 4  // times at which a node forgets or closes its idle connections
)

// reportLoss is how the report of an end is lost.
type reportLoss uint8

const (
	reportArrives    reportLoss = iota
	afterMalformed              // it follows a message that can't be read
	underReset                  // its connection is reset, and the scheduler learns of that at once
	beforeForgetting            // its connection is reset, and the scheduler learns of that when it sends something
)

var reportLosses = []reportLoss{afterMalformed, underReset, beforeForgetting}

// messageLoss draws which messages are lost with their connections. In the other seeds none is, and the value is nil.
type messageLoss struct {
	rng *rand.Rand // a stream of its own, so that the other faults of a seed stay the same
}

// drawLostMessages draws whether messages are lost with their connections, and when nodes forget connections.
func (sm *simulation) drawLostMessages() {
	rng := rand.New(rand.NewPCG(sm.result.Seed, 0x1057))
	if _, simulated := sm.clock.(*simWorld); !simulated || rng.IntN(lossySeeds) > 0 {
		return
	}
	sm.loss = &messageLoss{rng}
	for range rng.IntN(maxForgotten + 1) {
		n, forgets := sm.nodes[rng.IntN(len(sm.nodes))], rng.IntN(2) == 0
		sm.clock.At(minForgetAt+forgetAtRange*rng.Float64(), func() { n.endIdleConns(forgets) })
	}
}

// endIdleConns makes the node forget its idle connections, so that a scheduler learns of it when it sends something, or close them.
func (n *node) endIdleConns(forgets bool) {
	for _, pc := range slices.Clone(n.conns) {
		switch {
		case n.isBusy(pc) || pc.closed:
		case forgets:
			pc.reset(false)
		default:
			pc.conn.Close(true, nil)
		}
	}
}

// isBusy reports whether requests are open on a connection.
func (n *node) isBusy(pc *peerConn) bool {
	for _, from := range n.arriving {
		if from == pc {
			return true
		}
	}
	for _, att := range n.tasks {
		if att.conn == pc && !att.answered {
			return true
		}
	}
	return false
}

// reportEnd sends the end of a task on the connection of its request, or failing that on any open one of its scheduler, and keeps it for the next
// connection that is opened. In some cases the connection ends under the report.
func (n *node) reportEnd(att *attempt, end unsentEnd, cause byte, reason string) {
	pc, loss := n.connOf(att, end), n.sim.loss
	n.unsentEnds = append(n.unsentEnds[max(0, len(n.unsentEnds)-maxUnsentEnds):], end)
	if pc == nil {
		return
	}
	how := reportArrives
	if loss != nil && loss.rng.IntN(lostReports) == 0 && !n.isBusy(pc) {
		n.sim.result.LostReports++
		how = reportLosses[loss.rng.IntN(len(reportLosses))]
	}
	if how == afterMalformed {
		pc.send([]byte(malformedBytes))
	}
	upTo := pc.send(n.endMessage(end.task, cause, reason))
	if how == afterMalformed {
		upTo = math.MaxUint64 // it arrives, but can't be read
	}
	n.sim.recordReport(end, pc, upTo)
	switch how {
	case afterMalformed:
		pc.conn.Close(true, nil)
	case underReset, beforeForgetting:
		pc.reset(how == underReset)
	}
}

// connOf returns the connection on which the end of a task is reported, nil if none is open.
func (n *node) connOf(att *attempt, end unsentEnd) (found *peerConn) {
	for _, pc := range n.conns {
		if pc.isOpen() && (pc == att.conn || found == nil && pc.peerName() == end.scheduler) {
			found = pc
		}
	}
	return found
}

// drawClientEnd draws whether and when a client ends a task that has just been started.
func (c *client) drawClientEnd(t *task) {
	sm := c.sim
	if sm.loss == nil || sm.loss.rng.IntN(endedTasks) > 0 {
		return
	}
	att := t.node.tasks[t.id]
	if att == nil {
		return
	}
	att.clientEnds = true
	sm.after(minEndDelay+endDelayRange*sm.loss.rng.Float64(), func() { c.endTask(t) })
}

// endTask ends a running task on one of the client's connections.
func (c *client) endTask(t *task) {
	sm, s := c.sim, c.scheduler
	pc := c.openConn()
	att := t.node.tasks[t.id]
	if pc == nil || s.server == nil || s.stoppedAt > 0 || t.heldBy != s.incarnation || !t.running || att == nil {
		t.node.endByItself(t.id)
		return
	}
	t.running = false
	sm.result.EndedByClient++
	pc.send(codec.AppendEnd(nil, t.id, codec.CauseNormal))
	n, sentAt, incarnation := t.node, sm.clock.TrueTime(), s.incarnation
	sm.after(stopLimit, func() {
		if n.tasks[t.id] != att {
			return
		}
		if s.server != nil && s.incarnation == incarnation && n.isInService() && !c.lostByClose(sentAt) && !pc.broke {
			sm.fail(fmt.Sprintf("stop: task %x, which its client ended %d ms ago, still runs at %s", t.id, int(stopLimit), n.name))
		}
		n.endByItself(t.id)
	})
}

// endByItself ends a task that its client was to end.
func (n *node) endByItself(id uint64) {
	att := n.tasks[id]
	if att == nil {
		return
	}
	n.conclude(id, att, "ended")
	delete(n.tasks, id)
	n.reportEnd(att, unsentEnd{id, att.scheduler}, codec.CauseNormal, "")
	n.sim.expectRelease(n.sim.tasks[id], n)
}
