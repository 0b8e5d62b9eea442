package host

import (
	"fmt"
	"maps"
	"runtime/debug"
	"slices"

	"ravenpond/internal/decide/outcome"
	"ravenpond/internal/decide/watchdog"
	"ravenpond/logic"
)

// seedStep is added to the seed for each module after the first.
const seedStep = 0x9e3779b97f4a7c15

// moduleSupervisor decides when a module that panicked is replaced, and keeps what its successor starts from: the cluster and the node list.
// Nothing of the failed module is used again, as its tables may be half changed.
type moduleSupervisor struct {
	failed   bool // there is no module that may be called
	watchdog *watchdog.Watchdog
	seed     uint64
	restarts uint64
	cluster  *logic.Cluster
	list     nodeList
}

func (s *moduleSupervisor) init(now float64, seed uint64, cluster *logic.Cluster) {
	s.watchdog, s.seed, s.cluster = watchdog.New(now, 1), seed, cluster
	s.list.nodes = map[uint32]listedNode{}
}

// callModule calls the module unless it has failed. A panic of the module is logged and marks it as failed.
func (h *Host) callModule(call func(*logic.Scheduler)) {
	if h.supervisor.failed {
		return
	}
	defer func() {
		if p := recover(); p != nil {
			h.supervisor.failed = true
			h.supervisor.watchdog.Fence(h.now, 0)
			h.effects.LogLine(fmt.Sprintf("module: fenced, %d open, %d stand: panic: %v\n%s", h.openCount, h.runningCount, p, debug.Stack()))
		}
	}()
	call(h.module)
}

// recoverModule answers open requests while the module has failed, and replaces it once the watchdog allows that. It returns whether there is
// still no module.
func (h *Host) recoverModule() bool {
	s := &h.supervisor
	if !s.failed {
		return false
	}
	h.answerAll(func(a *allocation) bool {
		return outcome.IsRetrySafeAfterLoss(s.cluster.JobClasses[a.request.Class].Semantics, a.attempts)
	})
	if _, start := s.watchdog.Check(h.now, []float64{h.now}); len(start) == 0 {
		return true
	}
	h.replaceModule()
	if !s.failed {
		h.effects.LogLine(fmt.Sprintf("module: begun anew, life %d, %d nodes, %d stand", s.restarts+1, len(s.list.nodes), h.runningCount))
	}
	return s.failed
}

// replaceModule starts a new module and tells it the node list and the running tasks. A module that panics meanwhile has failed again.
func (h *Host) replaceModule() {
	s := &h.supervisor
	s.failed = false
	s.restarts++
	h.callModule(func(*logic.Scheduler) {
		h.module = logic.New(moduleEffects{h}, h.now, s.seed+s.restarts*seedStep, s.cluster)
	})
	h.callModule(s.list.replay(h.now))
	for _, id := range slices.Sorted(maps.Keys(h.allocations)) {
		if a := h.allocations[id]; a.running {
			a.attemptsBeforeModule = a.attempts - 1
			h.callModule(func(m *logic.Scheduler) { m.OnRecovered(h.now, a.recovered()) })
		}
	}
}
