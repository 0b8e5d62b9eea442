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

// moduleSupervisor stands round the module. One that panics is told nothing more: what it held may be half changed, so nothing it
// knows is used again. All that is open is answered at once, and after a rest a new module is begun on what the host
// itself keeps: the list, and what stands at nodes.
type moduleSupervisor struct {
	failed   bool
	watchdog *watchdog.Watchdog
	seed     uint64
	restarts uint64
	cluster  *logic.Cluster
	list     nodeList
}

func (f *moduleSupervisor) init(now float64, seed uint64, cluster *logic.Cluster) {
	f.watchdog, f.seed, f.cluster = watchdog.New(now, 1), seed, cluster
	f.list.nodes = map[uint32]listEntry{}
}

// callModule tells the module something, unless it has fallen.
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

// recoverModule answers what is open while the module is fenced, and begins a new one when its rest is over. It tells whether
// there is still none.
func (h *Host) recoverModule() bool {
	supervisor := &h.supervisor
	if !supervisor.failed {
		return false
	}
	h.answerAll(func(a *allocation) bool {
		return outcome.IsRetrySafeAfterLoss(supervisor.cluster.JobClasses[a.request.jobType].Semantics, a.attempts)
	})
	if _, start := supervisor.watchdog.Check(h.now, []float64{h.now}); len(start) == 0 {
		return true
	}
	supervisor.failed = false
	supervisor.restarts++
	h.callModule(func(*logic.Scheduler) { // a module that can't even begin rests longer
		h.module = logic.New(moduleEffects{h}, h.now, supervisor.seed+supervisor.restarts*0x9e3779b97f4a7c15, supervisor.cluster)
	})
	h.callModule(supervisor.list.replay(h.now))
	for _, id := range slices.Sorted(maps.Keys(h.allocations)) {
		if a := h.allocations[id]; a.running {
			a.attemptsBeforeModule = a.attempts - 1
			h.callModule(func(m *logic.Scheduler) {
				m.OnRecovered(h.now, logic.Recovered{Request: logic.Request{
					Allocation: id, Class: a.request.jobType,
					Tenant: a.request.tenant, Service: a.request.service, Cores: a.request.cores, Memory: a.request.memory,
				}, Node: a.node})
			})
		}
	}
	if !supervisor.failed {
		h.effects.LogLine(fmt.Sprintf("module: begun anew, life %d, %d nodes, %d stand", supervisor.restarts+1, len(supervisor.list.nodes), h.runningCount))
	}
	return supervisor.failed
}

// moduleAttempt is the number by which the module in use knows the try that was made last.
func (a *allocation) moduleAttempt() uint8 { return uint8(a.attempts - 1 - a.attemptsBeforeModule) }

// nodeList is the node list as it was told last, for a module that begins anew.
type nodeList struct {
	kind      logic.ListKind
	listed    map[uint32]bool
	nodes     map[uint32]listEntry
	goneCount int
}

// maxGoneNodes is how many nodes that are gone are kept without a look at whether they are of use.
const maxGoneNodes = 256

type listEntry struct {
	availability                 logic.Availability
	since, freeCores, freeMemory float64
	zone, cell, kind             int
	seenStarting                 float64 // when it came up before our eyes, 0: it was there
}

func (l *nodeList) begin(kind logic.ListKind) {
	l.kind, l.listed = kind, map[uint32]bool{}
}

func (l *nodeList) node(now float64, id uint32, e listEntry) {
	previous, ok := l.nodes[id]
	e.seenStarting = previous.seenStarting
	if !ok && l.kind != logic.ListCached || ok && (previous.availability == logic.Unavailable && e.availability != logic.Unavailable || e.since > previous.since) {
		e.seenStarting = now // it may be cold, whatever its start is said to be
	}
	l.nodes[id] = e
	l.listed[id] = true
}

func (l *nodeList) end() {
	if l.kind == logic.ListFull || l.kind == logic.ListCached {
		for id, e := range l.nodes {
			if !l.listed[id] {
				e.availability = logic.Unavailable
				l.nodes[id] = e
			}
		}
	}
	l.listed = nil
	l.goneCount = 0
	for _, e := range l.nodes {
		if e.availability == logic.Unavailable {
			l.goneCount++
		}
	}
}

// pruneGoneNodes forgets nodes that are gone, where there are many: but for those at which something stands.
func (h *Host) pruneGoneNodes() {
	list := &h.supervisor.list
	if list.goneCount <= maxGoneNodes {
		return
	}
	inUse := map[uint32]bool{}
	for _, a := range h.allocations {
		inUse[a.node] = inUse[a.node] || a.inFlight
	}
	maps.DeleteFunc(list.nodes, func(id uint32, e listEntry) bool { return e.availability == logic.Unavailable && !inUse[id] })
	list.goneCount = 0
}

// replay tells the whole list to a module that has just begun. A node that came up while this host ran counts as started
// then, so that it is paced for as long as it may be cold.
func (l *nodeList) replay(now float64) func(*logic.Scheduler) {
	return func(m *logic.Scheduler) {
		m.OnListBegin(now, logic.ListCached)
		for _, id := range slices.Sorted(maps.Keys(l.nodes)) {
			e := l.nodes[id]
			m.OnListNode(now, logic.ListEntry{
				Node: id, Availability: e.availability, StartedAt: max(e.since, e.seenStarting),
				FreeCores: e.freeCores, FreeMemory: e.freeMemory, Zone: e.zone, Cell: e.cell, Kind: e.kind,
			})
		}
		m.OnListEnd(now)
	}
}
