package platformsim

import "math/rand/v2"

// Times of schedulers and nodes that restart together, in ms.
const (
	commonRestartSpan     = 1500 // within which both end
	minSchedulerDowntime  = 520
	schedulerDowntimeSpan = 900
	minNodeDowntime       = 300
	nodeDowntimeSpan      = 3300
	lateHandOverSpan      = 4000 // of clients that notice late that their scheduler is back
)

// Shares of seeds and of restarts: one in this many.
const (
	commonRestartSeeds = 2 // seeds in which a scheduler and nodes restart together
	vanishedNodes      = 3 // nodes whose machines vanish, instead of their processes alone
	lateClients        = 4 // restarts after which clients hand their tasks over late
)

// maxCommonRestarts is the maximum number of nodes that restart together with a scheduler.
const maxCommonRestarts = 2

// commonRestarts draws what happens when a scheduler and nodes restart together. In the other seeds none does, and the value is nil.
type commonRestarts struct {
	rng *rand.Rand // a stream of its own, so that the other faults of a seed stay the same
}

// drawCommonRestarts draws a scheduler that is killed, and nodes that restart at about the same time: the node is back before the scheduler or after it, the
// node list tells of that before or after the tasks are handed over, and clients hand them over at once or late.
func (sm *simulation) drawCommonRestarts() {
	rng := rand.New(rand.NewPCG(sm.result.Seed, 0x2e57))
	if _, simulated := sm.clock.(*simWorld); !simulated || rng.IntN(commonRestartSeeds) > 0 {
		return
	}
	sm.restarts = &commonRestarts{rng}
	s := sm.schedulers[rng.IntN(len(sm.schedulers))]
	from := faultsFrom + faultSpan*rng.Float64()
	sm.clock.At(from+commonRestartSpan*rng.Float64(), func() { s.killOutright(minSchedulerDowntime + schedulerDowntimeSpan*rng.Float64()) })
	for range 1 + rng.IntN(maxCommonRestarts) {
		n := sm.nodes[rng.IntN(len(sm.nodes))]
		sm.clock.At(from+commonRestartSpan*rng.Float64(), func() { sm.restartUnlisted(n) })
	}
}

// restartUnlisted ends a node, which the node list shows as ready all the while, and starts another process of it later.
func (sm *simulation) restartUnlisted(n *node) {
	if !n.isInService() || sm.readyNodes() < minReadyNodes {
		return
	}
	rng := sm.restarts.rng
	n.vanished = true
	if rng.IntN(vanishedNodes) == 0 {
		n.process.Vanish()
	} else {
		n.process.Kill(false)
	}
	n.cutTasks()
	sm.after(minNodeDowntime+nodeDowntimeSpan*rng.Float64(), func() { sm.returnNode(n, rng) })
}

// handOverDelay returns how much later than usual clients hand their tasks over to a restarted scheduler.
func (sm *simulation) handOverDelay() float64 {
	if sm.restarts == nil || sm.restarts.rng.IntN(lateClients) > 0 {
		return 0
	}
	return lateHandOverSpan * sm.restarts.rng.Float64()
}
