// Package reconnect decides when to connect to which node. It limits the number of dials at once, dials nodes for which something waits
// soon, and dials nodes that do not answer with exponential backoff. This prevents a storm of dials when thousands of nodes start or a zone is
// lost, and a tight loop of dials to an address that refuses connections.
//
// The inputs are nodes, outcomes of dials and the time; the output is the node to dial. The package does no I/O and returns no errors. A
// Pacer is not safe for concurrent use.
package reconnect

import (
	"container/heap"
	"math"
	"math/rand/v2"
)

const (
	maxActiveDials = 64
	minBackoff     = 50   // ms before the second dial to a node, before jitter
	maxBackoff     = 4000 // ms between two dials to a node, before jitter
	wantedInterval = 150  // ms between two dials to a node for which something waits
	stableAfter    = 2000 // ms for which a connection must last to reset the count of failures
	maxDoublings   = 16   // of the backoff
)

// Pacer schedules dials to the nodes that should be connected and are not. Nodes are identified by small indices.
type Pacer struct {
	rng         *rand.Rand
	nodes       []node
	schedule    dialHeap
	activeDials int
	lastOrder   uint64
}

// node is the state of a node.
type node struct {
	enabled                 bool // the node should be connected
	dialing, connected      bool
	wanted                  bool // something waits for the node
	failures                int
	nextDialAt              float64
	lastDialAt, connectedAt float64
	position                int    // in the schedule, or notScheduled
	order                   uint64 // sequence number of the node's arrival in the schedule
}

// notScheduled is the position of a node that is not in the schedule.
const notScheduled = -1

// New returns a pacer. The seed is that of its jitter, so that many schedulers do not dial at the same times.
func New(seed uint64) *Pacer {
	return &Pacer{rng: rand.New(rand.NewPCG(seed, 0x9e3779b97f4a7c15))}
}

// node returns a node's state, and creates it if there is none.
func (p *Pacer) node(index int) *node {
	for len(p.nodes) <= index {
		p.nodes = append(p.nodes, node{position: notScheduled, lastDialAt: math.Inf(-1)})
	}
	return &p.nodes[index]
}

// SetEnabled records whether a node should be connected from now on.
func (p *Pacer) SetEnabled(now float64, index int, enabled bool) {
	n := p.node(index)
	if n.enabled == enabled {
		return
	}
	n.enabled = enabled
	switch {
	case enabled:
		n.failures = 0
		p.scheduleDial(index, now)
	case n.position >= 0:
		p.unschedule(index)
	}
}

// Prioritize records that something waits for a node: the node is dialed soon, however often dials to it have failed.
func (p *Pacer) Prioritize(now float64, index int) {
	n := p.node(index)
	n.wanted = true
	if n.enabled && n.position >= 0 {
		p.scheduleDial(index, min(n.nextDialAt, max(now, n.lastDialAt+wantedInterval)))
	}
}

// IsDialing reports whether a dial to a node is active.
func (p *Pacer) IsDialing(index int) bool { return p.node(index).dialing }

// Next returns a node to dial now, or false if none is due or too many dials are active.
func (p *Pacer) Next(now float64) (index int, ok bool) {
	if p.activeDials >= maxActiveDials || len(p.schedule.order) == 0 {
		return 0, false
	}
	index = p.schedule.order[0]
	if p.nodes[index].nextDialAt > now {
		return 0, false
	}
	p.unschedule(index)
	n := &p.nodes[index]
	n.dialing, n.lastDialAt = true, now
	p.activeDials++
	return index, true
}

// Due returns the time from which Next may return a node, or infinity.
func (p *Pacer) Due() float64 {
	if p.activeDials >= maxActiveDials || len(p.schedule.order) == 0 {
		return math.Inf(1)
	}
	return p.nodes[p.schedule.order[0]].nextDialAt
}

// OnDialFailed records that a dial failed.
func (p *Pacer) OnDialFailed(now float64, index int) {
	p.endDial(p.node(index))
	p.scheduleRetry(now, index)
}

// OnConnected records that a connection was made, by a dial or by the node itself.
func (p *Pacer) OnConnected(now float64, index int) {
	n := p.node(index)
	p.endDial(n)
	if n.position >= 0 {
		p.unschedule(index)
	}
	n.connected, n.connectedAt, n.wanted = true, now, false
}

// OnDisconnected records that a connection ended. If it ended soon after it was made, it counts as one more failure in a row, because the node
// may close every connection.
func (p *Pacer) OnDisconnected(now float64, index int) {
	n := p.node(index)
	n.connected = false
	if now-n.connectedAt > stableAfter {
		n.failures = 0
	}
	p.scheduleRetry(now, index)
}

func (p *Pacer) endDial(n *node) {
	if n.dialing {
		n.dialing = false
		p.activeDials--
	}
}

// scheduleRetry schedules the next dial after a failed dial or a broken connection.
func (p *Pacer) scheduleRetry(now float64, index int) {
	n := p.node(index)
	backoff := min(maxBackoff, minBackoff*math.Pow(2, float64(min(n.failures, maxDoublings)))) * (0.5 + p.rng.Float64())
	if n.wanted {
		backoff = min(backoff, wantedInterval)
	}
	n.wanted = false
	n.failures++
	if n.enabled {
		p.scheduleDial(index, now+backoff)
	}
}

func (p *Pacer) scheduleDial(index int, at float64) {
	n := &p.nodes[index]
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
	heap.Push(&p.schedule, index)
}

func (p *Pacer) unschedule(index int) {
	p.schedule.nodes = p.nodes
	heap.Remove(&p.schedule, p.nodes[index].position)
}
