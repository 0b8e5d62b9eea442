package platformsim

import (
	"maps"
	"slices"

	codec "ravenpond/internal/proto/platform"
)

// Times of signals and crowds in ms.
const (
	minUptime        = 1000 // of a scheduler before it is told to read its configuration
	maxSignalPause   = 400  // between two signals of a series
	maxTimeoutDelay  = 1200 // after a node hangs, in which attempts at it time out
	minCrowdTime     = 1000
	crowdTimeRange   = 2000
	crowdRestartTime = 300 // of the nodes that start as a crowd comes
)

// Sizes of crowds.
const (
	crowdSeeds      = 4 // one in how many seeds has a crowd
	minCrowdClients = 2 // more connections to each scheduler
	maxCrowdClients = 5
	crowdColdNodes  = 3 // one in how many nodes starts cold as a crowd comes
	evictedTasks    = 2 // one in how many tasks is evicted from a node that evicts
)

// processSignal is what a process is sent.
type processSignal uint8

const (
	reloadSignal processSignal = iota // SIGHUP
	stopSignal                        // SIGTERM
)

// signalSeries are signals that follow each other, at once or after a pause.
var signalSeries = [][]processSignal{
	{reloadSignal, stopSignal},
	{stopSignal, reloadSignal},
	{stopSignal, stopSignal},
	{reloadSignal, reloadSignal},
	{reloadSignal, stopSignal, reloadSignal, stopSignal},
}

// signalOccasions are what happens in the instant of the first signal of a series.
var signalOccasions = []func(faultTarget){
	func(faultTarget) {},
	func(t faultTarget) { t.sim.drain(t.node) },
	func(t faultTarget) { t.scheduler.journal.silence(t.duration) },
	func(t faultTarget) { t.node.evictTasks() },
	func(t faultTarget) { t.scheduler.client.evictConn() },
}

// sendSignals sends the scheduler a series of signals, in the instant of another event.
func (t faultTarget) sendSignals() {
	rng := t.sim.rng
	series := signalSeries[rng.IntN(len(signalSeries))]
	pause := 0.0
	if rng.IntN(2) == 0 {
		pause = maxSignalPause * rng.Float64()
	}
	signalOccasions[rng.IntN(len(signalOccasions))](t)
	for i, s := range series {
		t.sim.after(float64(i)*pause, func() { t.scheduler.signal(s) })
	}
}

// sendSignalsAtTimeout sends the scheduler a series of signals about when its attempts at a node time out.
func (t faultTarget) sendSignalsAtTimeout() {
	t.fault(nodeFaults{hung: true})
	t.sim.after(maxTimeoutDelay*t.sim.rng.Float64(), t.sendSignals)
}

// signal sends the process a signal.
func (s *scheduler) signal(kind processSignal) {
	switch {
	case kind == stopSignal:
		s.stop()
	case s.sim.clock.TrueTime() >= s.startedAt+minUptime:
		s.reload()
	}
}

// evictTasks has a node end some of the tasks that it runs, for want of memory.
func (n *node) evictTasks() {
	for _, id := range slices.Sorted(maps.Keys(n.tasks)) {
		att := n.tasks[id]
		if !att.answered || n.sim.rng.IntN(evictedTasks) != 0 {
			continue
		}
		n.conclude(id, att, "ended")
		delete(n.tasks, id)
		n.sendEnd(id, codec.CauseReset, "evicted")
	}
}

// evictConn opens a connection and sends what the scheduler can't read, so that it closes the connection.
func (c *client) evictConn() {
	stranger := &peerConn{onMessage: func([]byte) {}}
	c.process.Dial(c.scheduler.address(), clientDialTimeout, stranger.onDialed([]byte{0, 9, 0xff, 0, 0, 0, 0, 0, 0, 0, 0}))
}

// drawCrowd has a crowd of clients come: they connect to each scheduler, send several times as many requests, and some nodes are started anew
// and cold at that moment.
func (sm *simulation) drawCrowd() {
	sm.result.Crowded = true
	sm.crowdFactor = minCrowdClients + sm.rng.IntN(maxCrowdClients-minCrowdClients+1)
	sm.crowdFrom = faultsFrom + faultSpan*sm.rng.Float64()
	sm.crowdTo = sm.crowdFrom + minCrowdTime + crowdTimeRange*sm.rng.Float64()
	sm.clock.At(sm.crowdFrom, func() {
		for _, s := range sm.schedulers {
			for range sm.crowdFactor {
				if s.server != nil && s.stoppedAt == 0 {
					s.client.dial(nil)
				}
			}
		}
		for _, n := range sm.nodes {
			if sm.rng.IntN(crowdColdNodes) == 0 {
				sm.crash(n, crowdRestartTime)
			}
		}
	})
	target := faultTarget{sim: sm, scheduler: sm.anyScheduler(), node: sm.anyNode(), duration: minFaultTime}
	sm.clock.At(sm.crowdFrom+minCrowdTime*sm.rng.Float64(), target.sendSignals)
}

// isCrowded returns whether a crowd sends requests now.
func (sm *simulation) isCrowded() bool {
	now := sm.clock.TrueTime()
	return now >= sm.crowdFrom && now < sm.crowdTo
}
