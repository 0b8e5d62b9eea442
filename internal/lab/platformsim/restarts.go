package platformsim

import (
	"maps"
	"slices"

	codec "ravenpond/internal/proto/platform"
)

// Times of signals and flash crowds, in ms.
const (
	minUptime        = 1000 // of a scheduler before it may be signalled to reload its configuration
	maxSignalPause   = 400  // between two signals of a series
	maxTimeoutDelay  = 1200 // after a node hangs, within which attempts at it time out
	minCrowdTime     = 1000
	crowdTimeRange   = 2000
	crowdRestartTime = 300 // downtime of the nodes that restart when a crowd arrives
)

// Sizes of flash crowds and evictions.
const (
	crowdSeeds      = 4 // on average, one in this many seeds has a crowd
	minCrowdClients = 2 // additional connections to each scheduler
	maxCrowdClients = 5
	crowdColdNodes  = 3 // on average, one in this many nodes restarts cold when a crowd arrives
	evictedTasks    = 2 // on average, one in this many tasks is evicted from a node that evicts tasks
)

// processSignal is a signal to a scheduler process.
type processSignal uint8

const (
	reloadSignal processSignal = iota // SIGHUP
	stopSignal                        // SIGTERM
)

// signalSeries are the series of signals that sendSignals chooses from.
var signalSeries = [][]processSignal{
	{reloadSignal, stopSignal},
	{stopSignal, reloadSignal},
	{stopSignal, stopSignal},
	{reloadSignal, reloadSignal},
	{reloadSignal, stopSignal, reloadSignal, stopSignal},
}

// signalOccasions are the events that may coincide with the first signal of a series.
var signalOccasions = []func(faultTarget){
	func(faultTarget) {},
	func(t faultTarget) { t.sim.drain(t.node) },
	func(t faultTarget) { t.scheduler.journal.silence(t.duration) },
	func(t faultTarget) { t.node.evictTasks() },
	func(t faultTarget) { t.scheduler.client.sendMalformedMessage() },
}

// sendSignals sends the scheduler a series of signals, either at once or with pauses, together with another event.
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

// sendSignalsAtTimeout sends the scheduler a series of signals around the time at which its attempts at a hung node time out.
func (t faultTarget) sendSignalsAtTimeout() {
	t.fault(nodeFaults{hung: true})
	t.sim.after(maxTimeoutDelay*t.sim.rng.Float64(), t.sendSignals)
}

// signal sends a signal to the process. A reload within minUptime after the start is skipped.
func (s *scheduler) signal(kind processSignal) {
	switch {
	case kind == stopSignal:
		s.stop()
	case s.sim.clock.TrueTime() >= s.startedAt+minUptime:
		s.reload()
	}
}

// evictTasks makes a node evict some of the tasks that it runs, as for lack of memory.
func (n *node) evictTasks() {
	for _, id := range slices.Sorted(maps.Keys(n.tasks)) {
		att := n.tasks[id]
		if !att.answered || n.sim.rng.IntN(evictedTasks) != 0 {
			continue
		}
		n.conclude(id, att, "ended")
		delete(n.tasks, id)
		n.sendTaskEnd(att, unsentEnd{id, att.scheduler}, codec.CauseReset, "evicted")
		n.sim.expectRelease(n.sim.tasks[id], n)
	}
}

// sendMalformedMessage opens a connection and sends a message that the scheduler can't parse, so that it closes the connection.
func (c *client) sendMalformedMessage() {
	pc := &peerConn{onMessage: func([]byte) {}}
	c.process.Dial(c.scheduler.address(), clientDialTimeout, pc.onDialed([]byte{0, 9, 0xff, 0, 0, 0, 0, 0, 0, 0, 0}))
}

// drawCrowd schedules a flash crowd: clients open several more connections to each scheduler, requests come at several times the usual rate for a
// while, and some nodes are restarted cold when it begins.
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

// isCrowded returns whether a flash crowd sends requests now.
func (sm *simulation) isCrowded() bool {
	now := sm.clock.TrueTime()
	return now >= sm.crowdFrom && now < sm.crowdTo
}
