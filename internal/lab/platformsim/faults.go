package platformsim

import (
	"fmt"
	"math"
)

// Times of faults, in ms.
const (
	faultsFrom      = 500
	faultSpan       = activeTime - 2500 // from faultsFrom on
	minFaultTime    = 300
	faultTimeRange  = 3000
	restartStagger  = 1500 // between two schedulers of a rolling restart
	minDrainTime    = 1500
	drainTimeRange  = 2000
	minGoneTime     = 300
	goneTimeRange   = 1000
	maxCrashNotice  = 300  // after a crash, until the node list shows it
	silenceRecovery = 1500 // after a journal service was silent, until its scheduler has read all events
	restoreRetry    = 300
)

// minReadyNodes is how many nodes have to be ready for one of them to be drained or to crash.
const minReadyNodes = 3

// faultTarget is where and for how long a fault is injected.
type faultTarget struct {
	sim       *simulation
	scheduler *scheduler
	node      *node
	duration  float64 // ms
}

// faultKinds are the faults that drawFaults chooses from.
var faultKinds = []func(faultTarget){
	func(t faultTarget) { t.scheduler.killOutright(t.duration) },
	func(t faultTarget) { t.scheduler.stop() },
	func(t faultTarget) { t.scheduler.reload() },
	faultTarget.sendSignals,
	faultTarget.sendSignalsAtTimeout,
	func(t faultTarget) { t.scheduler.journal.silence(t.duration) },
	func(t faultTarget) { t.sim.drain(t.node) },
	func(t faultTarget) { t.sim.crash(t.node, t.duration) },
	func(t faultTarget) { t.fault(nodeFaults{errorRate: 5}) },
	func(t faultTarget) { t.fault(nodeFaults{answerLossRate: 3}) },
	func(t faultTarget) { t.fault(nodeFaults{rejectRate: 6}) },
	func(t faultTarget) { t.fault(nodeFaults{hung: true}) },
	func(t faultTarget) {
		for _, pc := range t.node.conns {
			pc.reset(t.sim.rng.IntN(2) == 0)
		}
	},
	func(t faultTarget) {
		a, b := t.scheduler.name, t.node.hostName()
		t.sim.clock.SetCut(a, b, true)
		t.sim.after(t.duration/2, func() { t.sim.clock.SetCut(a, b, false) })
	},
	func(t faultTarget) { t.fault(nodeFaults{lateAnswerRate: 5}) },
}

// fault injects faults into the node, and clears all faults of the node once the target's duration is over.
func (t faultTarget) fault(f nodeFaults) {
	n := t.node
	n.errorRate, n.answerLossRate = max(n.errorRate, f.errorRate), max(n.answerLossRate, f.answerLossRate)
	n.rejectRate, n.lateAnswerRate, n.hung = max(n.rejectRate, f.rejectRate), max(n.lateAnswerRate, f.lateAnswerRate), n.hung || f.hung
	t.sim.after(t.duration, n.clearFaults)
}

// drawFaults draws the faults and their times. In half of the seeds the schedulers are restarted one after the other while the node list changes;
// some seeds have a flash crowd.
func (sm *simulation) drawFaults() {
	if _, simulated := sm.clock.(*simWorld); !simulated || sm.rng.IntN(crowdSeeds) == 0 {
		sm.drawCrowd()
	}
	if sm.rng.IntN(2) == 0 {
		sm.drawRollingRestart()
	}
	for range 3 + sm.rng.IntN(8) {
		target := faultTarget{sim: sm, scheduler: sm.anyScheduler(), node: sm.anyNode()}
		target.duration = minFaultTime + faultTimeRange*sm.rng.Float64()
		inject := faultKinds[sm.rng.IntN(len(faultKinds))]
		sm.clock.At(faultsFrom+faultSpan*sm.rng.Float64(), func() { inject(target) })
	}
	sm.drawVanishings()
	sm.drawReplacements()
	sm.drawLostMessages()
	sm.drawCommonRestarts()
	sm.drawClockSteps()
}

// drawRollingRestart schedules a stop of each scheduler in turn, with drained nodes and a configuration reload in the meantime.
func (sm *simulation) drawRollingRestart() {
	from := 1000 + 3000*sm.rng.Float64()
	for i, s := range sm.schedulers {
		sm.clock.At(from+float64(i)*restartStagger, s.stop)
	}
	for range 3 {
		sm.clock.At(from+4000*sm.rng.Float64(), func() { sm.drain(sm.anyNode()) })
	}
	sm.clock.At(from+3000*sm.rng.Float64(), func() { sm.anyScheduler().reload() })
}

func (sm *simulation) anyNode() *node { return sm.nodes[sm.rng.IntN(len(sm.nodes))] }

func (sm *simulation) anyScheduler() *scheduler {
	return sm.schedulers[sm.rng.IntN(len(sm.schedulers))]
}

// clearFaults clears all injected faults of the node.
func (n *node) clearFaults() { n.nodeFaults = nodeFaults{} }

// drain takes a node out of service: it drains, and then its process ends with all tasks that it still has. Later it starts again cold, or another
// node starts at its address.
func (sm *simulation) drain(n *node) {
	if !n.isInService() || sm.readyNodes() < minReadyNodes {
		return
	}
	n.status = statusDraining
	sm.announce(n)
	sm.after(minDrainTime+drainTimeRange*sm.rng.Float64(), func() {
		if n.status != statusDraining {
			return
		}
		n.status = statusGone
		n.crash(false)
		sm.announce(n)
		sm.after(minGoneTime+goneTimeRange*sm.rng.Float64(), func() { sm.restoreNode(n) })
	})
}

// crash ends a node at once; the node list shows it up to maxCrashNotice later. The node starts again after downtime, in ms.
func (sm *simulation) crash(n *node, downtime float64) {
	if !n.isInService() || sm.readyNodes() < minReadyNodes {
		return
	}
	n.status = statusGone
	n.crash(sm.rng.IntN(2) == 0)
	sm.after(maxCrashNotice*sm.rng.Float64(), func() { sm.announce(n) })
	sm.after(maxCrashNotice+downtime, func() { sm.restoreNode(n) })
}

// restoreNode starts a node again once every scheduler can have been notified that it was gone: a scheduler that was not may still send to it.
func (sm *simulation) restoreNode(n *node) {
	for _, s := range sm.schedulers {
		if sm.clock.TrueTime() < s.journal.silentUntil+silenceRecovery && s.journal.silentUntil > 0 {
			sm.after(restoreRetry, func() { sm.restoreNode(n) })
			return
		}
	}
	if sm.rng.IntN(2) == 0 {
		sm.addNode(fmt.Sprintf("%s-%d", n.name, len(sm.nodes)), n.address, true)
		return
	}
	n.process.Start()
	n.status, n.startedAt = statusReady, math.Ceil(sm.unixTime())
	n.start(true)
	sm.announce(n)
}

func (sm *simulation) readyNodes() (count int) {
	for _, n := range sm.nodes {
		if n.isInService() {
			count++
		}
	}
	return count
}
