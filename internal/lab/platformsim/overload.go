package platformsim

import "fmt"

// taskCost is the time of a core that a scheduler spends on an allocation, in ms.
const taskCost = 0.3

// endNoticeLimit is the time within which a client has to be notified that its task has ended, in ms.
const endNoticeLimit = 1000

// nodeFaultTime is how long faults of nodes last under overload, in ms.
const nodeFaultTime = 2000

// overload gives one scheduler far more requests than it can handle: all others are killed, and all requests go to it, at a higher rate
// than usual. Its code takes simulated time and no link is cut, so whatever is late is late because of the scheduler.
type overload struct {
	sim      *simulation
	share    float64 // the share of a core that each scheduler has
	from, to float64 // true time in ms
	factor   float64 // request rate as a multiple of the rate that it can handle
	survivor *scheduler
}

// drawOverload draws the strength and the time of an overload.
func (sm *simulation) drawOverload() *overload {
	o := &overload{sim: sm, share: 0.015 + 0.015*sm.rng.Float64(), factor: 5 + 5*sm.rng.Float64()}
	o.from = 3000 + 1000*sm.rng.Float64()
	o.to = o.from + 1500 + 1500*sm.rng.Float64()
	return o
}

// plan schedules that all schedulers but one are killed when the overload begins, and that nodes fail, drain or crash during it.
func (o *overload) plan() {
	sm := o.sim
	o.survivor = sm.anyScheduler()
	for _, s := range sm.schedulers {
		if s != o.survivor {
			sm.clock.At(o.from, func() { s.kill(o.to - o.from + 2000*sm.rng.Float64()) })
		}
	}
	for range 3 {
		target := faultTarget{sim: sm, node: sm.anyNode(), duration: nodeFaultTime}
		at := o.from + (o.to-o.from)*sm.rng.Float64()
		inject := []func(){
			func() { sm.drain(target.node) },
			func() { sm.crash(target.node, nodeFaultTime) },
			func() { target.fault(nodeFaults{rejectRate: 5}) },
			func() { target.fault(nodeFaults{errorRate: 4}) },
		}[sm.rng.IntN(4)]
		sm.clock.At(at, inject)
	}
}

// nextRequest returns the pause until the next request, in ms, and the scheduler that gets it.
func (o *overload) nextRequest() (float64, *scheduler) {
	sm, now := o.sim, o.sim.clock.TrueTime()
	if now < o.from || now > o.to {
		return minPause + pauseRange*sm.rng.Float64(), sm.anyScheduler()
	}
	return 2 * sm.rng.Float64() * taskCost / o.share / o.factor, o.survivor
}

// expectEnd checks, under overload, that a client is notified in time of the end of a task that the node has sent to its scheduler.
func (sm *simulation) expectEnd(t *task, n *node, pc *peerConn) {
	if sm.overload == nil || pc.closed || !t.running {
		return
	}
	s, incarnation := t.scheduler, t.scheduler.incarnation
	sm.after(endNoticeLimit+overloadSlack, func() {
		if t.running && t.node == n && s.incarnation == incarnation && s.server != nil && !s.client.conn.closed && !pc.closed {
			sm.fail(fmt.Sprintf("rule 1: task %x ended at %s, and %s did not notify its client within a second, being %.0f ms behind", t.id, n.name, s.name,
				s.server.Backlog()))
		}
	})
}
