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
	atOnce    = 64   // dials under way
	first     = 50   // before the second dial to a node
	longest   = 4000 // between two dials to a node
	wantedGap = 150  // between two dials to a node that is wanted
	steady    = 2000 // a connection that held so long ends the count of failures
)

// Pacer holds the nodes that should be connected and are not. Nodes are small indices.
type Pacer struct {
	rng    *rand.Rand
	nodes  []peer
	queue  due
	active int
	count  uint64
}

type peer struct {
	keep, dialing, linked bool
	wanted                bool
	fails                 int
	at                    float64 // the next dial
	lastDial, linkedAt    float64
	place                 int // in the queue, or -1
	order                 uint64
}

// New starts a pacer; the seed spreads the dials of many schedulers.
func New(seed uint64) *Pacer {
	return &Pacer{rng: rand.New(rand.NewPCG(seed, 0x9e3779b97f4a7c15))}
}

func (p *Pacer) peer(nd int) *peer {
	for len(p.nodes) <= nd {
		p.nodes = append(p.nodes, peer{place: -1, lastDial: math.Inf(-1)})
	}
	return &p.nodes[nd]
}

// Keep says that a node is to be connected from now on, or no longer.
func (p *Pacer) Keep(now float64, nd int, keep bool) {
	n := p.peer(nd)
	if n.keep == keep {
		return
	}
	n.keep = keep
	if keep {
		n.fails = 0
		p.plan(nd, now)
	} else if n.place >= 0 {
		p.remove(nd)
	}
}

// Want says that something waits for the node: it is dialled soon, whatever its failures.
func (p *Pacer) Want(now float64, nd int) {
	n := p.peer(nd)
	n.wanted = true
	if n.keep && n.place >= 0 {
		p.plan(nd, min(n.at, max(now, n.lastDial+wantedGap)))
	}
}

// Dialling tells that a dial is under way.
func (p *Pacer) Dialling(nd int) bool { return p.peer(nd).dialing }

// Failed says that a dial came to nothing.
func (p *Pacer) Failed(now float64, nd int) {
	n := p.peer(nd)
	p.done(n)
	p.retry(now, nd, n)
}

// Linked says that there is a connection, made by a dial or found: none is planned any more.
func (p *Pacer) Linked(now float64, nd int) {
	n := p.peer(nd)
	p.done(n)
	if n.place >= 0 {
		p.remove(nd)
	}
	n.linked, n.linkedAt, n.wanted = true, now, false
}

// Broken says that a connection ended. One that ends soon after it was made counts as a failure: the peer may
// cut every connection.
func (p *Pacer) Broken(now float64, nd int) {
	n := p.peer(nd)
	n.linked = false
	if now-n.linkedAt > steady {
		n.fails = 0
	}
	p.retry(now, nd, n)
}

func (p *Pacer) done(n *peer) {
	if n.dialing {
		n.dialing = false
		p.active--
	}
}

func (p *Pacer) retry(now float64, nd int, n *peer) {
	gap := min(longest, first*math.Pow(2, float64(min(n.fails, 16)))) * (0.5 + p.rng.Float64())
	if n.wanted {
		gap = min(gap, wantedGap)
	}
	n.wanted = false
	n.fails++
	if n.keep {
		p.plan(nd, now+gap)
	}
}

// Next gives a node to dial now, if one is due.
func (p *Pacer) Next(now float64) (nd int, ok bool) {
	if p.active >= atOnce || len(p.queue.order) == 0 {
		return 0, false
	}
	nd = p.queue.order[0]
	if p.nodes[nd].at > now {
		return 0, false
	}
	p.remove(nd)
	n := &p.nodes[nd]
	n.dialing, n.lastDial = true, now
	p.active++
	return nd, true
}

// Due is when Next may have a node, or infinity.
func (p *Pacer) Due() float64 {
	if p.active >= atOnce || len(p.queue.order) == 0 {
		return math.Inf(1)
	}
	return p.nodes[p.queue.order[0]].at
}

func (p *Pacer) plan(nd int, at float64) {
	n := &p.nodes[nd]
	if n.dialing || n.linked {
		return
	}
	n.at = at
	p.queue.of = p.nodes
	if n.place >= 0 {
		heap.Fix(&p.queue, n.place)
		return
	}
	p.count++
	n.order = p.count
	heap.Push(&p.queue, nd)
}

func (p *Pacer) remove(nd int) {
	p.queue.of = p.nodes
	heap.Remove(&p.queue, p.nodes[nd].place)
}

// due is a heap of nodes by the time of their next dial, among equals in order of arrival.
type due struct {
	order []int
	of    []peer
}

func (d *due) Len() int { return len(d.order) }
func (d *due) Less(i, j int) bool {
	x, y := &d.of[d.order[i]], &d.of[d.order[j]]
	return x.at < y.at || x.at == y.at && x.order < y.order
}

func (d *due) Swap(i, j int) {
	d.order[i], d.order[j] = d.order[j], d.order[i]
	d.of[d.order[i]].place, d.of[d.order[j]].place = i, j
}

func (d *due) Push(x any) {
	d.of[x.(int)].place = len(d.order)
	d.order = append(d.order, x.(int))
}

func (d *due) Pop() any {
	nd := d.order[len(d.order)-1]
	d.order = d.order[:len(d.order)-1]
	d.of[nd].place = -1
	return nd
}
