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

// Names of the policies.
var Names = []string{"random", "least-loaded", "best-of-two", "careful"}

type node struct {
	id     uint32
	ready  bool
	zone   int
	cell   int
	kind   int
	since  float64
	room   [2]float64 // by the list
	own    [2]float64 // asked for by us since then, out or running
	refuse float64    // no room until then
}

type alloc struct {
	id     uint32
	job    int
	svc    uint64
	expiry float64
	size   [2]float64
	nd     int // where its try is, -1: none
	try    uint8
	tried  []int
	sentAt float64
	first  float64 // of the first try that may have run, -1: none
	group  int     // its node
	over   bool
}

// Policy is one of them.
type Policy struct {
	host   logic.Effects
	cl     *logic.Cluster
	rng    *rand.Rand
	name   string
	now    float64
	nodes  []node
	at     map[uint32]int
	allocs map[uint32]*alloc
	waits  []uint32
	page   map[uint32]bool
	kind   logic.ListKind
	sees   func(node uint32) float64 // the load as it is, for who sees the true state; nil: by the list and its own
}

// Seeing gives what makes a policy that takes the least loaded node by the true state, which no scheduler has: the best that knowledge
// alone could bring.
func Seeing(load func(node uint32) float64) func(host logic.Effects, now float64, seed uint64, cl *logic.Cluster) logic.EventHandler {
	return func(host logic.Effects, now float64, seed uint64, cl *logic.Cluster) logic.EventHandler {
		p := Made("least-loaded")(host, now, seed, cl).(*Policy)
		p.sees = load
		return p
	}
}

// Made gives what makes a policy of a name.
func Made(name string) func(host logic.Effects, now float64, seed uint64, cl *logic.Cluster) logic.EventHandler {
	return func(host logic.Effects, now float64, seed uint64, cl *logic.Cluster) logic.EventHandler {
		p := &Policy{host: host, cl: cl, rng: rand.New(rand.NewPCG(seed, 77)), name: name, now: now, at: map[uint32]int{},
			allocs: map[uint32]*alloc{}}
		host.WatchList(true)
		return p
	}
}

// OnListBegin and the others are what a policy hears.
func (p *Policy) OnListBegin(now float64, kind logic.ListKind) {
	p.now, p.kind, p.page = now, kind, map[uint32]bool{}
}

// OnListNode is one node of the list.
func (p *Policy) OnListNode(now float64, id uint32, avail logic.Availability, since, cores, memory float64, zone, cell, kind int) {
	i, ok := p.at[id]
	if !ok {
		i = len(p.nodes)
		p.at[id] = i
		p.nodes = append(p.nodes, node{id: id})
	}
	n := &p.nodes[i]
	p.page[id] = true
	n.ready, n.zone, n.cell, n.kind, n.room = avail == logic.Ready, zone, cell, kind, [2]float64{cores, memory}
	n.own, n.since = [2]float64{}, since
}

// OnListEnd ends it.
func (p *Policy) OnListEnd(now float64) {
	p.now = now
	if p.kind == logic.ListFailed {
		p.host.SetTimer(500, 1)
		return
	}
	if p.kind == logic.ListFull {
		for i := range p.nodes {
			if !p.page[p.nodes[i].id] {
				p.nodes[i].ready = false
			}
		}
	}
	if p.cl.PollsList {
		p.host.SetTimer(p.cl.ListMaxSilence/3, 1)
	}
}

// OnTimer asks for the list again.
func (p *Policy) OnTimer(now float64, key uint64) {
	p.now = now
	if key == 1 {
		p.host.ReloadList()
	}
}

// OnRequest takes an allocation.
func (p *Policy) OnRequest(now float64, id uint32, job, _ int, expiry float64, service uint64, cores, memory float64) {
	p.now = now
	p.allocs[id] = &alloc{id: id, job: job, svc: service, expiry: expiry, size: [2]float64{cores, memory}, nd: -1, first: -1}
	p.waits = append(p.waits, id)
}

// OnRecovered takes what runs already.
func (p *Policy) OnRecovered(now float64, id uint32, job, _ int, service uint64, cores, memory float64, nd uint32) {
	p.now = now
	p.allocs[id] = &alloc{id: id, job: job, svc: service, size: [2]float64{cores, memory}, nd: p.at[nd], over: true, first: -1}
}

// OnStarted notes a start.
func (p *Policy) OnStarted(now float64, id uint32, _ uint8, _ float64) {
	p.now = now
	if a := p.allocs[id]; a != nil {
		a.over = true
	}
}

// OnOutcome notes an outcome.
func (p *Policy) OnOutcome(now float64, id uint32, _ uint32, _ uint8, _ float64, over bool, why logic.Reason, v logic.Outcome, _ []float64) {
	p.now = now
	a := p.allocs[id]
	if a == nil {
		return
	}
	if a.nd >= 0 {
		n := &p.nodes[a.nd]
		n.own[0], n.own[1] = n.own[0]-a.size[0], n.own[1]-a.size[1]
		if why == logic.InsufficientCores || why == logic.InsufficientMemory || why == logic.QueueFull {
			n.refuse = now + 200
		}
	}
	if over || a.over {
		delete(p.allocs, id)
		return
	}
	never := v == logic.Rejected || v == logic.Unreachable || v == logic.NotSent
	if !never && a.first < 0 {
		a.first, a.group = a.sentAt, a.nd
	}
	a.nd = -1
	p.waits = append(p.waits, id)
}

// OnTaskMetric, Probed and the like say nothing to these policies.
func (p *Policy) OnTaskMetric(float64, uint32, uint8, uint32, logic.TaskMetric, float64) {}

// OnProbeResult is not asked for.
func (p *Policy) OnProbeResult(float64, uint32, logic.Outcome, float64, []float64) {}

// OnExpired ends an allocation that was answered without the policy.
func (p *Policy) OnExpired(now float64, id uint32) {
	p.now = now
	if a := p.allocs[id]; a != nil {
		if a.over = true; a.nd < 0 {
			delete(p.allocs, id)
		}
	}
}

// Decide offers what waits.
func (p *Policy) Decide(now float64) {
	p.now = now
	waits := p.waits
	p.waits = nil
	soonest := math.Inf(1)
	for _, id := range waits {
		a := p.allocs[id]
		if a == nil || a.over || a.nd >= 0 {
			continue
		}
		j := &p.cl.JobClasses[a.job]
		harm := a.first >= 0 && (j.Semantics == logic.AtMostOnce || j.Semantics == logic.Idempotent && j.IdempotencyScope != logic.ScopeAll)
		late := a.first >= 0 && (j.Semantics == logic.AtMostOnce || j.Semantics == logic.Idempotent && now+50 > a.first+j.IdempotencyWindow)
		if now >= a.expiry || int(a.try) >= p.cl.MaxAttempts || late {
			delete(p.allocs, id)
			if harm {
				p.host.Fail(id)
			} else {
				p.host.Shed(id, 200)
			}
			continue
		}
		i := p.choose(a)
		if i < 0 {
			p.waits = append(p.waits, id)
			soonest = min(soonest, a.expiry, now+50)
			continue
		}
		n := &p.nodes[i]
		n.own[0], n.own[1] = n.own[0]+a.size[0], n.own[1]+a.size[1]
		a.nd, a.sentAt, a.tried = i, now, append(a.tried, i)
		a.try++
		timeout := min(1200, a.expiry-now)
		if j.Semantics == logic.AtMostOnce || int(a.try) == p.cl.MaxAttempts {
			timeout = a.expiry - now
		}
		p.host.StartAttempt(id, n.id, timeout)
	}
	if len(p.waits) > 0 {
		p.host.SetTimer(max(1, soonest-now), 2)
	}
}

// spread tells whether a node may take another task of a service by the spread that its job type asks for.
func (p *Policy) spread(a *alloc, j *logic.JobClass, i int) bool {
	if j.Spread == logic.Anywhere {
		return true
	}
	n, there := &p.nodes[i], 0
	for _, o := range p.allocs { // a count: the order has no effect
		if o.svc != a.svc || o.nd < 0 || o.id == a.id {
			continue
		}
		m := &p.nodes[o.nd]
		if o.nd == i || j.Spread == logic.PerCell && m.cell == n.cell || j.Spread == logic.PerZone && m.zone == n.zone {
			there++
		}
	}
	return there < j.MaxPerScope
}

// choose draws a node for an allocation, -1 if there is none.
func (p *Policy) choose(a *alloc) int {
	j := &p.cl.JobClasses[a.job]
	var may []int
	for i := range p.nodes {
		n := &p.nodes[i]
		if !n.ready || p.now < n.refuse || j.NodeKind >= 0 && n.kind != j.NodeKind || slices.Contains(a.tried, i) {
			continue
		}
		if p.name == "careful" && (p.now-n.since < p.cl.SlowStartDuration || !p.spread(a, j, i)) {
			continue
		}
		if a.first >= 0 && j.Semantics == logic.Idempotent {
			g := &p.nodes[a.group]
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
		if p.sees != nil {
			return p.sees(n.id)
		}
		return max((n.own[0]-n.room[0])/p.cl.KindCores[n.kind], (n.own[1]-n.room[1])/p.cl.KindMemory[n.kind])
	}
	x := may[p.rng.IntN(len(may))]
	switch p.name {
	case "best-of-two", "careful":
		if y := may[p.rng.IntN(len(may))]; load(y) < load(x) {
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
