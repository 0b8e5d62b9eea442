// Package reconnect decides when to connect to which node: at most so many dials at once, nodes that are wanted now
// first, and a node that does not answer ever more rarely. It guards against a storm of dials when thousands of
// nodes come up or a hall is lost, and against a loop on nodes whose address refuses.
package reconnect

import (
	"container/heap"
	"math"
	"math/rand/v2"
)

// Times in milliseconds.
const (
	maxActiveDials = 64   // dials under way
	minBackoff     = 50   // before the second dial to a node
	maxBackoff     = 4000 // between two dials to a node
	wantedInterval = 150  // between two dials to a node that is wanted
	stableAfter    = 2000 // a connection that held so long ends the count of failures
)

// Pacer holds the nodes that should be connected and are not. Nodes are small indices.
type Pacer struct {
	rng         *rand.Rand
	nodes       []node
	schedule    dialHeap
	activeDials int
	lastOrder   uint64
}

type node struct {
	enabled, dialing, connected bool
	wanted                      bool
	failures                    int
	nextDialAt                  float64 // the next dial
	lastDialAt, connectedAt     float64
	position                    int // in the queue, or -1
	order                       uint64
}

// New starts a pacer; the seed spreads the dials of many schedulers.
func New(seed uint64) *Pacer {
	return &Pacer{rng: rand.New(rand.NewPCG(seed, 0x9e3779b97f4a7c15))}
}

func (p *Pacer) node(nd int) *node {
	for len(p.nodes) <= nd {
		p.nodes = append(p.nodes, node{position: -1, lastDialAt: math.Inf(-1)})
	}
	return &p.nodes[nd]
}

// SetEnabled says that a node is to be connected from now on, or no longer.
func (p *Pacer) SetEnabled(now float64, nd int, keep bool) {
	n := p.node(nd)
	if n.enabled == keep {
		return
	}
	n.enabled = keep
	if keep {
		n.failures = 0
		p.scheduleDial(nd, now)
	} else if n.position >= 0 {
		p.unschedule(nd)
	}
}

// Prioritize says that something waits for the node: it is dialled soon, whatever its failures.
func (p *Pacer) Prioritize(now float64, nd int) {
	n := p.node(nd)
	n.wanted = true
	if n.enabled && n.position >= 0 {
		p.scheduleDial(nd, min(n.nextDialAt, max(now, n.lastDialAt+wantedInterval)))
	}
}

// IsDialing tells that a dial is under way.
func (p *Pacer) IsDialing(nd int) bool { return p.node(nd).dialing }

// OnDialFailed says that a dial came to nothing.
func (p *Pacer) OnDialFailed(now float64, nd int) {
	n := p.node(nd)
	p.endDial(n)
	p.scheduleRetry(now, nd, n)
}

// OnConnected says that there is a connection, made by a dial or found: none is planned any more.
func (p *Pacer) OnConnected(now float64, nd int) {
	n := p.node(nd)
	p.endDial(n)
	if n.position >= 0 {
		p.unschedule(nd)
	}
	n.connected, n.connectedAt, n.wanted = true, now, false
}

// OnDisconnected says that a connection ended. One that ends soon after it was made counts as a failure: the peer may
// cut every connection.
func (p *Pacer) OnDisconnected(now float64, nd int) {
	n := p.node(nd)
	n.connected = false
	if now-n.connectedAt > stableAfter {
		n.failures = 0
	}
	p.scheduleRetry(now, nd, n)
}

func (p *Pacer) endDial(n *node) {
	if n.dialing {
		n.dialing = false
		p.activeDials--
	}
}

func (p *Pacer) scheduleRetry(now float64, nd int, n *node) {
	gap := min(maxBackoff, minBackoff*math.Pow(2, float64(min(n.failures, 16)))) * (0.5 + p.rng.Float64())
	if n.wanted {
		gap = min(gap, wantedInterval)
	}
	n.wanted = false
	n.failures++
	if n.enabled {
		p.scheduleDial(nd, now+gap)
	}
}

// Next gives a node to dial now, if one is due.
func (p *Pacer) Next(now float64) (nd int, ok bool) {
	if p.activeDials >= maxActiveDials || len(p.schedule.order) == 0 {
		return 0, false
	}
	nd = p.schedule.order[0]
	if p.nodes[nd].nextDialAt > now {
		return 0, false
	}
	p.unschedule(nd)
	n := &p.nodes[nd]
	n.dialing, n.lastDialAt = true, now
	p.activeDials++
	return nd, true
}

// Due is when Next may have a node, or infinity.
func (p *Pacer) Due() float64 {
	if p.activeDials >= maxActiveDials || len(p.schedule.order) == 0 {
		return math.Inf(1)
	}
	return p.nodes[p.schedule.order[0]].nextDialAt
}

func (p *Pacer) scheduleDial(nd int, at float64) {
	n := &p.nodes[nd]
	if n.dialing || n.connected {
		return
	}
	n.nextDialAt = at
	p.schedule.nodes = p.nodes
	if n.position >= 0 {
		heap.Fix(&p.schedule, n.position)
		return
	}
	p.lastOrder++
	n.order = p.lastOrder
	heap.Push(&p.schedule, nd)
}

func (p *Pacer) unschedule(nd int) {
	p.schedule.nodes = p.nodes
	heap.Remove(&p.schedule, p.nodes[nd].position)
}

// dialHeap is a heap of nodes by the time of their next dial, among equals in order of arrival.
type dialHeap struct {
	order []int
	nodes []node
}

func (d *dialHeap) Len() int { return len(d.order) }
func (d *dialHeap) Less(i, j int) bool {
	x, y := &d.nodes[d.order[i]], &d.nodes[d.order[j]]
	return x.nextDialAt < y.nextDialAt || x.nextDialAt == y.nextDialAt && x.order < y.order
}

func (d *dialHeap) Swap(i, j int) {
	d.order[i], d.order[j] = d.order[j], d.order[i]
	d.nodes[d.order[i]].position, d.nodes[d.order[j]].position = i, j
}

func (d *dialHeap) Push(x any) {
	d.nodes[x.(int)].position = len(d.order)
	d.order = append(d.order, x.(int))
}

func (d *dialHeap) Pop() any {
	nd := d.order[len(d.order)-1]
	d.order = d.order[:len(d.order)-1]
	d.nodes[nd].position = -1
	return nd
}
