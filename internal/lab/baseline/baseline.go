// Package baseline provides simple placement policies to compare the placement module with: random, least-loaded, best-of-two (the less loaded
// of two nodes drawn at random), and careful.
//
// All keep the rules of retry semantics: no second attempt of an at-most-once allocation that may have run, and repeats of an idempotent one
// only within its scope and window. Only careful also respects the spread constraint and slow start, in the simplest way: it counts its own
// allocations of a service, and selects no node until its slow start is over.
//
// A Policy implements logic.EventHandler and acts through logic.Effects. Like the placement module it reads no clock, is deterministic for a
// seed, and is not safe for concurrent use.
package baseline

import (
	"math"
	"math/rand/v2"

	"ravenpond/logic"
)

// Names of the policies.
const (
	random      = "random"
	leastLoaded = "least-loaded"
	bestOfTwo   = "best-of-two"
	careful     = "careful"
)

// PolicyNames lists the names that Factory takes.
var PolicyNames = []string{random, leastLoaded, bestOfTwo, careful}

// Times in milliseconds.
const (
	pollRetry      = 500  // delay before the list is polled again after a failure
	retryAfter     = 200  // retry delay that is sent to the client of a shed allocation
	fullBackoff    = 200  // time for which a node is not selected after a rejection for lack of capacity
	rescanDelay    = 50   // delay before the queue is scanned again
	windowMargin   = 50   // time before the end of an idempotency window in which no attempt is repeated
	attemptTimeout = 1200 // timeout of all attempts but the last
)

// Keys of timers.
const (
	timerPoll = iota + 1
	timerScan
)

// node is the state of a node by the list, and what this policy has allocated on it since.
type node struct {
	id        uint32
	ready     bool
	zone      int
	cell      int
	kind      int
	startedAt float64
	free      [2]float64 // cores and memory, by the list
	reserved  [2]float64 // cores and memory of this policy's allocations since the list entry, in flight or running
	fullUntil float64    // the node is not selected before this time
}

// allocation is an allocation that waits, is in flight, or runs.
type allocation struct {
	id              uint32
	class           int
	service         uint64
	deadline        float64
	size            [2]float64 // cores and memory
	node            int        // index of the node of the attempt in flight or where it runs, -1: none
	attempts        uint8
	attemptedNodes  []int
	sentAt          float64
	mayHaveRunSince float64 // time at which the first attempt that may have run was sent, -1: none
	mayHaveRunNode  int     // index of that attempt's node
	answered        bool
}

// Policy is a placement policy.
type Policy struct {
	effects     logic.Effects
	cluster     *logic.Cluster
	random      *rand.Rand
	name        string
	now         float64
	nodes       []node
	nodeIndex   map[uint32]int // by id
	allocations map[uint32]*allocation
	waiting     []uint32
	listed      map[uint32]bool // nodes in the list message that is being received
	listKind    logic.ListKind
	trueLoad    func(node uint32) float64 // returns the actual load of a node; nil: load is estimated from the list and this policy's allocations
}

var _ logic.EventHandler = (*Policy)(nil)

// New returns the policy with the given name, which has to be one of PolicyNames, and subscribes it to the list.
func New(name string, effects logic.Effects, now float64, seed uint64, cluster *logic.Cluster) *Policy {
	p := &Policy{
		effects: effects, cluster: cluster, random: rand.New(rand.NewPCG(seed, 77)), name: name, now: now,
		nodeIndex: map[uint32]int{}, allocations: map[uint32]*allocation{},
	}
	effects.WatchList(true)
	return p
}

// Constructor creates a policy, as logic.New does.
type Constructor = func(effects logic.Effects, now float64, seed uint64, cluster *logic.Cluster) logic.EventHandler

// Factory returns the constructor of the policy with the given name.
func Factory(name string) Constructor {
	return func(effects logic.Effects, now float64, seed uint64, cluster *logic.Cluster) logic.EventHandler {
		return New(name, effects, now, seed, cluster)
	}
}

// LeastLoadedByTrueLoad returns the constructor of a policy that selects the node with the lowest actual load, which no real scheduler knows.
// It is the best result that perfect knowledge of the load alone could give.
func LeastLoadedByTrueLoad(load func(node uint32) float64) Constructor {
	return func(effects logic.Effects, now float64, seed uint64, cluster *logic.Cluster) logic.EventHandler {
		p := New(leastLoaded, effects, now, seed, cluster)
		p.trueLoad = load
		return p
	}
}

// OnListBegin implements logic.EventHandler.
func (p *Policy) OnListBegin(now float64, kind logic.ListKind) {
	p.now, p.listKind, p.listed = now, kind, map[uint32]bool{}
}

// OnListNode implements logic.EventHandler.
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

// OnListEnd implements logic.EventHandler.
func (p *Policy) OnListEnd(now float64) {
	p.now = now
	if p.listKind == logic.ListFailed {
		p.effects.SetTimer(pollRetry, timerPoll)
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
		p.effects.SetTimer(p.cluster.ListMaxSilence/3, timerPoll)
	}
}

// OnTimer implements logic.EventHandler.
func (p *Policy) OnTimer(now float64, key uint64) {
	p.now = now
	if key == timerPoll {
		p.effects.ReloadList()
	}
}

// OnRequest implements logic.EventHandler.
func (p *Policy) OnRequest(now float64, request logic.Request) {
	p.now = now
	id := request.Allocation
	p.allocations[id] = &allocation{
		id: id, class: request.Class, service: request.Service, deadline: request.Deadline,
		size: [2]float64{request.Cores, request.Memory}, node: -1, mayHaveRunSince: -1,
	}
	p.waiting = append(p.waiting, id)
}

// OnRecovered implements logic.EventHandler.
func (p *Policy) OnRecovered(now float64, recovered logic.Recovered) {
	p.now = now
	id := recovered.Allocation
	p.allocations[id] = &allocation{
		id: id, class: recovered.Class, service: recovered.Service,
		size: [2]float64{recovered.Cores, recovered.Memory}, node: p.nodeIndex[recovered.Node], answered: true, mayHaveRunSince: -1,
	}
}

// OnStarted implements logic.EventHandler.
func (p *Policy) OnStarted(now float64, id uint32, _ uint8, _ float64) {
	p.now = now
	if a := p.allocations[id]; a != nil {
		a.answered = true
	}
}

// OnOutcome implements logic.EventHandler: an allocation without a final answer returns to the queue.
func (p *Policy) OnOutcome(now float64, result logic.AttemptResult) {
	p.now = now
	a := p.allocations[result.Allocation]
	if a == nil {
		return
	}
	if a.node >= 0 {
		n := &p.nodes[a.node]
		n.reserved[0], n.reserved[1] = n.reserved[0]-a.size[0], n.reserved[1]-a.size[1]
		switch result.Reason {
		case logic.InsufficientCores, logic.InsufficientMemory, logic.QueueFull:
			n.fullUntil = now + fullBackoff
		}
	}
	if result.Answered || a.answered {
		delete(p.allocations, a.id)
		return
	}
	neverRan := result.Outcome == logic.Rejected || result.Outcome == logic.Unreachable || result.Outcome == logic.NotSent
	if !neverRan && a.mayHaveRunSince < 0 {
		a.mayHaveRunSince, a.mayHaveRunNode = a.sentAt, a.node
	}
	a.node = -1
	p.waiting = append(p.waiting, a.id)
}

// OnTaskMetric implements logic.EventHandler; these policies use no measurements.
func (p *Policy) OnTaskMetric(float64, logic.TaskSample) {}

// OnProbeResult implements logic.EventHandler; these policies send no probes.
func (p *Policy) OnProbeResult(float64, logic.ProbeResult) {}

// OnExpired implements logic.EventHandler.
func (p *Policy) OnExpired(now float64, id uint32) {
	p.now = now
	if a := p.allocations[id]; a != nil {
		if a.answered = true; a.node < 0 {
			delete(p.allocations, id)
		}
	}
}

// Decide implements logic.EventHandler: it attempts or answers the waiting allocations in order of arrival.
func (p *Policy) Decide(now float64) {
	p.now = now
	waiting := p.waiting
	p.waiting = nil
	next := math.Inf(1)
	for _, id := range waiting {
		a := p.allocations[id]
		if a == nil || a.answered || a.node >= 0 || p.answer(a) {
			continue
		}
		if i := p.choose(a); i >= 0 {
			p.attempt(a, i)
		} else {
			p.waiting = append(p.waiting, id)
			next = min(next, a.deadline, now+rescanDelay)
		}
	}
	if len(p.waiting) > 0 {
		p.effects.SetTimer(max(1, next-now), timerScan)
	}
}

// answer gives an allocation its final answer if it may not be attempted any more, and reports whether it did. An allocation
// that may have run is failed if it would be unsafe for the client to repeat it; any other is shed.
func (p *Policy) answer(a *allocation) bool {
	class, mayHaveRun := &p.cluster.JobClasses[a.class], a.mayHaveRunSince >= 0
	expired := class.Semantics == logic.Idempotent && p.now+windowMargin > a.mayHaveRunSince+class.IdempotencyWindow
	mayRepeat := !mayHaveRun || class.Semantics != logic.AtMostOnce && !expired
	if p.now < a.deadline && int(a.attempts) < p.cluster.MaxAttempts && mayRepeat {
		return false
	}
	harmful := mayHaveRun && (class.Semantics == logic.AtMostOnce ||
		class.Semantics == logic.Idempotent && class.IdempotencyScope != logic.ScopeAll)
	delete(p.allocations, a.id)
	if harmful {
		p.effects.Fail(a.id)
	} else {
		p.effects.Shed(a.id, retryAfter)
	}
	return true
}

// attempt sends an allocation to the node with the given index.
func (p *Policy) attempt(a *allocation, i int) {
	n := &p.nodes[i]
	n.reserved[0], n.reserved[1] = n.reserved[0]+a.size[0], n.reserved[1]+a.size[1]
	a.node, a.sentAt, a.attemptedNodes = i, p.now, append(a.attemptedNodes, i)
	a.attempts++
	timeout := min(attemptTimeout, a.deadline-p.now)
	if p.cluster.JobClasses[a.class].Semantics == logic.AtMostOnce || int(a.attempts) == p.cluster.MaxAttempts {
		timeout = a.deadline - p.now
	}
	p.effects.StartAttempt(a.id, n.id, timeout)
}
