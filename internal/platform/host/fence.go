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

// fence stands round the module. One that panics is told nothing more: what it held may be half changed, so nothing it
// knows is used again. All that is open is answered at once, and after a rest a new module is begun on what the host
// itself keeps: the list, and what stands at nodes.
type fence struct {
	down  bool
	dog   *watchdog.Watchdog
	seed  uint64
	lives uint64
	cl    *logic.Cluster
	list  list
}

func (f *fence) begin(now float64, seed uint64, cl *logic.Cluster) {
	f.dog, f.seed, f.cl = watchdog.New(now, 1), seed, cl
	f.list.all = map[uint32]entry{}
}

// tell tells the module something, unless it has fallen.
func (h *Host) tell(what func(*logic.Scheduler)) {
	if h.fence.down {
		return
	}
	defer func() {
		if p := recover(); p != nil {
			h.fence.down = true
			h.fence.dog.Fence(h.now, 0)
			h.edge.LogLine(fmt.Sprintf("module: fenced, %d open, %d stand: panic: %v\n%s", h.open, h.stands, p, debug.Stack()))
		}
	}()
	what(h.mod)
}

// down answers what is open while the module is fenced, and begins a new one when its rest is over. It tells whether
// there is still none.
func (h *Host) down() bool {
	f := &h.fence
	if !f.down {
		return false
	}
	h.answerAll(func(a *alloc) bool {
		return outcome.IsRetrySafeAfterLoss(f.cl.JobClasses[a.request.jobType].Semantics, a.tries)
	})
	if _, start := f.dog.Check(h.now, []float64{h.now}); len(start) == 0 {
		return true
	}
	f.down = false
	f.lives++
	h.tell(func(*logic.Scheduler) { // a module that can't even begin rests longer
		h.mod = logic.New(acts{h}, h.now, f.seed+f.lives*0x9e3779b97f4a7c15, f.cl)
	})
	h.tell(f.list.retell(h.now))
	for _, id := range slices.Sorted(maps.Keys(h.allocs)) {
		if a := h.allocs[id]; a.stands {
			a.before = a.tries - 1
			h.tell(func(m *logic.Scheduler) {
				m.OnRecovered(h.now, logic.Recovered{Request: logic.Request{
					Allocation: id, Class: a.request.jobType,
					Tenant: a.request.tenant, Service: a.request.service, Cores: a.request.cores, Memory: a.request.memory,
				}, Node: a.node})
			})
		}
	}
	if !f.down {
		h.edge.LogLine(fmt.Sprintf("module: begun anew, life %d, %d nodes, %d stand", f.lives+1, len(f.list.all), h.stands))
	}
	return f.down
}

// told is the number by which the module in use knows the try that was made last.
func (a *alloc) told() uint8 { return uint8(a.tries - 1 - a.before) }

// list is the node list as it was told last, for a module that begins anew.
type list struct {
	kind  logic.ListKind
	named map[uint32]bool
	all   map[uint32]entry
	gone  int
}

// mostGone is how many nodes that are gone are kept without a look at whether they are of use.
const mostGone = 256

type entry struct {
	avail                        logic.Availability
	since, freeCores, freeMemory float64
	zone, cell, kind             int
	entered                      float64 // when it came up before our eyes, 0: it was there
}

func (l *list) begin(kind logic.ListKind) {
	l.kind, l.named = kind, map[uint32]bool{}
}

func (l *list) node(now float64, id uint32, e entry) {
	was, ok := l.all[id]
	e.entered = was.entered
	if !ok && l.kind != logic.ListCached || ok && (was.avail == logic.Unavailable && e.avail != logic.Unavailable || e.since > was.since) {
		e.entered = now // it may be cold, whatever its start is said to be
	}
	l.all[id] = e
	l.named[id] = true
}

func (l *list) end() {
	if l.kind == logic.ListFull || l.kind == logic.ListCached {
		for id, e := range l.all {
			if !l.named[id] {
				e.avail = logic.Unavailable
				l.all[id] = e
			}
		}
	}
	l.named = nil
	l.gone = 0
	for _, e := range l.all {
		if e.avail == logic.Unavailable {
			l.gone++
		}
	}
}

// prune forgets nodes that are gone, where there are many: but for those at which something stands.
func (h *Host) prune() {
	l := &h.fence.list
	if l.gone <= mostGone {
		return
	}
	holds := map[uint32]bool{}
	for _, a := range h.allocs {
		holds[a.node] = holds[a.node] || a.out
	}
	maps.DeleteFunc(l.all, func(id uint32, e entry) bool { return e.avail == logic.Unavailable && !holds[id] })
	l.gone = 0
}

// retell tells the whole list to a module that has just begun. A node that came up while this host ran counts as started
// then, so that it is paced for as long as it may be cold.
func (l *list) retell(now float64) func(*logic.Scheduler) {
	return func(m *logic.Scheduler) {
		m.OnListBegin(now, logic.ListCached)
		for _, id := range slices.Sorted(maps.Keys(l.all)) {
			e := l.all[id]
			m.OnListNode(now, logic.ListEntry{
				Node: id, Availability: e.avail, StartedAt: max(e.since, e.entered),
				FreeCores: e.freeCores, FreeMemory: e.freeMemory, Zone: e.zone, Cell: e.cell, Kind: e.kind,
			})
		}
		m.OnListEnd(now)
	}
}
