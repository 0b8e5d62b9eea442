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

// seedStep is added to the seed for each module after the first, so that each draws other random numbers.
const seedStep = 0x9e3779b97f4a7c15

// moduleSupervisor decides when a module that panicked is replaced, and keeps the data that a new module starts from: the cluster and the node
// list. No state of the failed module is reused, because a panic may have left its tables partly updated.
type moduleSupervisor struct {
	failed   bool // the module has panicked and must not be called
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

// callModule calls the module unless it has failed. A panic of the module is logged and marks the module as failed.
func (h *Host) callModule(call func(*logic.Scheduler)) {
	if h.supervisor.failed {
		return
	}
	defer func() {
		if p := recover(); p != nil {
			h.supervisor.failed = true
			h.supervisor.watchdog.Fence(h.now, 0)
			h.effects.LogLine(fmt.Sprintf("module: fenced after a panic, with %d open requests and %d running tasks: panic: %v\n%s",
				h.openCount, h.runningCount, p, debug.Stack()))
		}
	}()
	call(h.module)
}

// recoverModule answers all open requests if the module has failed, and replaces the module once the watchdog allows it. It returns whether
// there is still no working module.
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
		h.effects.LogLine(fmt.Sprintf("module: restarted as instance %d with %d nodes and %d running tasks",
			s.restarts+1, len(s.list.nodes), h.runningCount))
	}
	return s.failed
}

// replaceModule starts a new module and reports the node list and the running tasks to it. If the new module panics during this, it has failed
// too.
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
