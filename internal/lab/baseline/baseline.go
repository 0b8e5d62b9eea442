// Package baseline has placement policies for comparison only: random, least loaded, and the better of two drawn. They
// keep the rules about effects (no second start, the window and group of tokened tries) and nothing else of the
// design: neither spread nor cold nodes' pace. Careful is the better of two drawn that keeps these as well, in the plainest
// way: it counts its own tasks of a service, and leaves cold nodes alone.
package baseline

import (
	"math"
	"math/rand/v2"
	"slices"

	"ravenpond/logic"
)

// PolicyNames of the policies.
var PolicyNames = []string{"random", "least-loaded", "best-of-two", "careful"}

type node struct {
	id        uint32
	ready     bool
	zone      int
	cell      int
	kind      int
	startedAt float64
	free      [2]float64 // by the list
	reserved  [2]float64 // asked for by us since then, out or running
	fullUntil float64    // no room until then
}

type allocation struct {
	id              uint32
	class           int
	service         uint64
	deadline        float64
	size            [2]float64
	node            int // where its try is, -1: none
	attempts        uint8
	triedNodes      []int
	sentAt          float64
	mayHaveRunSince float64 // of the first try that may have run, -1: none
	mayHaveRunNode  int     // its node
	answered        bool
}

// Policy is one of them.
type Policy struct {
	effects     logic.Effects
	cluster     *logic.Cluster
	random      *rand.Rand
	name        string
	now         float64
	nodes       []node
	nodeIndex   map[uint32]int
	allocations map[uint32]*allocation
	waiting     []uint32
	listed      map[uint32]bool
	listKind    logic.ListKind
	trueLoad    func(node uint32) float64 // the load as it is, for who sees the true state; nil: by the list and its own
}

// LeastLoadedByTrueLoad gives what makes a policy that takes the least loaded node by the true state, which no scheduler has: the best that knowledge
// alone could bring.
func LeastLoadedByTrueLoad(load func(node uint32) float64) func(host logic.Effects, now float64, seed uint64, cl *logic.Cluster) logic.EventHandler {
	return func(host logic.Effects, now float64, seed uint64, cl *logic.Cluster) logic.EventHandler {
		p := Factory("least-loaded")(host, now, seed, cl).(*Policy)
		p.trueLoad = load
		return p
	}
}

// Factory gives what makes a policy of a name.
func Factory(name string) func(host logic.Effects, now float64, seed uint64, cl *logic.Cluster) logic.EventHandler {
	return func(host logic.Effects, now float64, seed uint64, cl *logic.Cluster) logic.EventHandler {
		p := &Policy{
			effects: host, cluster: cl, random: rand.New(rand.NewPCG(seed, 77)), name: name, now: now, nodeIndex: map[uint32]int{},
			allocations: map[uint32]*allocation{},
		}
		host.WatchList(true)
		return p
	}
}

// OnListBegin and the others are what a policy hears.
func (p *Policy) OnListBegin(now float64, kind logic.ListKind) {
	p.now, p.listKind, p.listed = now, kind, map[uint32]bool{}
}

// OnListNode takes the state of one node.
func (p *Policy) OnListNode(_ float64, entry logic.ListEntry) {
	i, ok := p.nodeIndex[entry.Node]
	if !ok {
		i = len(p.nodes)
		p.nodeIndex[entry.Node] = i
		p.nodes = append(p.nodes, node{id: entry.Node})
	}
	n := &p.nodes[i]
	p.listed[entry.Node] = true
	n.ready, n.zone, n.cell, n.kind = entry.Availability == logic.Ready, entry.Zone, entry.Cell, entry.Kind
	n.free = [2]float64{entry.FreeCores, entry.FreeMemory}
	n.reserved, n.startedAt = [2]float64{}, entry.StartedAt
}

// OnListEnd ends it.
func (p *Policy) OnListEnd(now float64) {
	p.now = now
	if p.listKind == logic.ListFailed {
		p.effects.SetTimer(500, 1)
		return
	}
	if p.listKind == logic.ListFull {
		for i := range p.nodes {
			if !p.listed[p.nodes[i].id] {
				p.nodes[i].ready = false
			}
		}
	}
	if p.cluster.PollsList {
		p.effects.SetTimer(p.cluster.ListMaxSilence/3, 1)
	}
}

// OnTimer asks for the list again.
func (p *Policy) OnTimer(now float64, key uint64) {
	p.now = now
	if key == 1 {
		p.effects.ReloadList()
	}
}

// OnRequest queues an allocation.
func (p *Policy) OnRequest(now float64, request logic.Request) {
	p.now = now
	id := request.Allocation
	p.allocations[id] = &allocation{
		id: id, class: request.Class, service: request.Service, deadline: request.Deadline,
		size: [2]float64{request.Cores, request.Memory}, node: -1, mayHaveRunSince: -1,
	}
	p.waiting = append(p.waiting, id)
}

// OnRecovered takes an allocation that runs already.
func (p *Policy) OnRecovered(now float64, recovered logic.Recovered) {
	p.now = now
	id := recovered.Allocation
	p.allocations[id] = &allocation{
		id: id, class: recovered.Class, service: recovered.Service,
		size: [2]float64{recovered.Cores, recovered.Memory}, node: p.nodeIndex[recovered.Node], answered: true, mayHaveRunSince: -1,
	}
}

// OnStarted notes a start.
func (p *Policy) OnStarted(now float64, id uint32, _ uint8, _ float64) {
	p.now = now
	if a := p.allocations[id]; a != nil {
		a.answered = true
	}
}

// OnOutcome queues an allocation again whose attempt failed.
func (p *Policy) OnOutcome(now float64, result logic.AttemptResult) {
	p.now = now
	a := p.allocations[result.Allocation]
	if a == nil {
		return
	}
	if a.node >= 0 {
		n := &p.nodes[a.node]
		n.reserved[0], n.reserved[1] = n.reserved[0]-a.size[0], n.reserved[1]-a.size[1]
		if result.Reason == logic.InsufficientCores || result.Reason == logic.InsufficientMemory || result.Reason == logic.QueueFull {
			n.fullUntil = now + 200
		}
	}
	if result.Answered || a.answered {
		delete(p.allocations, a.id)
		return
	}
	v := result.Outcome
	never := v == logic.Rejected || v == logic.Unreachable || v == logic.NotSent
	if !never && a.mayHaveRunSince < 0 {
		a.mayHaveRunSince, a.mayHaveRunNode = a.sentAt, a.node
	}
	a.node = -1
	p.waiting = append(p.waiting, a.id)
}

// OnTaskMetric, Probed and the like say nothing to these policies.
func (p *Policy) OnTaskMetric(float64, logic.TaskSample) {}

// OnProbeResult is not asked for.
func (p *Policy) OnProbeResult(float64, logic.ProbeResult) {}

// OnExpired ends an allocation that was answered without the policy.
func (p *Policy) OnExpired(now float64, id uint32) {
	p.now = now
	if a := p.allocations[id]; a != nil {
		if a.answered = true; a.node < 0 {
			delete(p.allocations, id)
		}
	}
}

// Decide offers what waits.
func (p *Policy) Decide(now float64) {
	p.now = now
	waits := p.waiting
	p.waiting = nil
	soonest := math.Inf(1)
	for _, id := range waits {
		a := p.allocations[id]
		if a == nil || a.answered || a.node >= 0 {
			continue
		}
		j := &p.cluster.JobClasses[a.class]
		harm := a.mayHaveRunSince >= 0 && (j.Semantics == logic.AtMostOnce || j.Semantics == logic.Idempotent && j.IdempotencyScope != logic.ScopeAll)
		late := a.mayHaveRunSince >= 0 && (j.Semantics == logic.AtMostOnce || j.Semantics == logic.Idempotent && now+50 > a.mayHaveRunSince+j.IdempotencyWindow)
		if now >= a.deadline || int(a.attempts) >= p.cluster.MaxAttempts || late {
			delete(p.allocations, id)
			if harm {
				p.effects.Fail(id)
			} else {
				p.effects.Shed(id, 200)
			}
			continue
		}
		i := p.choose(a)
		if i < 0 {
			p.waiting = append(p.waiting, id)
			soonest = min(soonest, a.deadline, now+50)
			continue
		}
		n := &p.nodes[i]
		n.reserved[0], n.reserved[1] = n.reserved[0]+a.size[0], n.reserved[1]+a.size[1]
		a.node, a.sentAt, a.triedNodes = i, now, append(a.triedNodes, i)
		a.attempts++
		timeout := min(1200, a.deadline-now)
		if j.Semantics == logic.AtMostOnce || int(a.attempts) == p.cluster.MaxAttempts {
			timeout = a.deadline - now
		}
		p.effects.StartAttempt(id, n.id, timeout)
	}
	if len(p.waiting) > 0 {
		p.effects.SetTimer(max(1, soonest-now), 2)
	}
}

// spreadAllows tells whether a node may take another task of a service by the spread that its job type asks for.
func (p *Policy) spreadAllows(a *allocation, j *logic.JobClass, i int) bool {
	if j.Spread == logic.Anywhere {
		return true
	}
	n, there := &p.nodes[i], 0
	for _, o := range p.allocations { // a count: the order has no effect
		if o.service != a.service || o.node < 0 || o.id == a.id {
			continue
		}
		m := &p.nodes[o.node]
		if o.node == i || j.Spread == logic.PerCell && m.cell == n.cell || j.Spread == logic.PerZone && m.zone == n.zone {
			there++
		}
	}
	return there < j.MaxPerScope
}

// choose draws a node for an allocation, -1 if there is none.
func (p *Policy) choose(a *allocation) int {
	j := &p.cluster.JobClasses[a.class]
	var may []int
	for i := range p.nodes {
		n := &p.nodes[i]
		if !n.ready || p.now < n.fullUntil || j.NodeKind >= 0 && n.kind != j.NodeKind || slices.Contains(a.triedNodes, i) {
			continue
		}
		if p.name == "careful" && (p.now-n.startedAt < p.cluster.SlowStartDuration || !p.spreadAllows(a, j, i)) {
			continue
		}
		if a.mayHaveRunSince >= 0 && j.Semantics == logic.Idempotent {
			g := &p.nodes[a.mayHaveRunNode]
			if j.IdempotencyScope == logic.ScopeZone && g.zone != n.zone || j.IdempotencyScope == logic.ScopeCell && g.cell != n.cell {
				continue
			}
		}
		may = append(may, i)
	}
	if len(may) == 0 {
		return -1
	}
	load := func(i int) float64 {
		n := &p.nodes[i]
		if p.trueLoad != nil {
			return p.trueLoad(n.id)
		}
		return max((n.reserved[0]-n.free[0])/p.cluster.KindCores[n.kind], (n.reserved[1]-n.free[1])/p.cluster.KindMemory[n.kind])
	}
	x := may[p.random.IntN(len(may))]
	switch p.name {
	case "best-of-two", "careful":
		if y := may[p.random.IntN(len(may))]; load(y) < load(x) {
			x = y
		}
	case "least-loaded":
		for _, y := range may {
			if load(y) < load(x) {
				x = y
			}
		}
	}
	return x
}
