package engine

import "ravenpond/logic"

// startTolerance is how much, in ms, two clocks may differ about the same start of a node.
const startTolerance = 1000

// listState is what the list said last of a node.
type listState struct {
	availability          logic.Availability
	startedAt             float64
	freeCores, freeMemory float64
	zone, cell, kind      int
}

// BeginList opens an update of the node list; AddListEntry for each entry and EndList follow.
func (e *Engine) BeginList(now float64, kind logic.ListKind) {
	e.observe(now)
	e.listKind, e.enteringNodes = kind, false
	e.listGeneration++
	e.policy.OnListBegin(now, kind)
}

// AddListEntry takes an entry of the update.
func (e *Engine) AddListEntry(entry ListEntry) {
	index, ok := e.nodeIndex[entry.Node]
	if !ok {
		if entry.Availability == logic.Unavailable {
			return
		}
		index = e.addNode(entry.Node)
	}
	n := &e.nodes[index]
	n.listGeneration = e.listGeneration
	if n.address != entry.Address && n.connected {
		e.effects.Disconnect(entry.Node, "moved to another address")
	}
	n.address = entry.Address
	n.listed = listState{
		availability: entry.Availability,
		startedAt:    e.startOf(n, entry.StartedAt),
		freeCores:    entry.FreeCores, freeMemory: entry.FreeMemory,
		zone: entry.Zone, cell: entry.Cell, kind: entry.Kind,
	}
	if e.enteringNodes {
		e.delayStart(n)
	}
	e.reportToPolicy(index)
}

// addNode adds a node that was not known before.
func (e *Engine) addNode(id uint32) (index int) {
	index = len(e.nodes)
	e.nodeIndex[id] = index
	e.nodes = append(e.nodes, node{
		id:            id,
		probeSequence: uint64(e.config.Incarnation) << 24, // above those of any earlier incarnation
		excluded:      e.exclusions[id] != 0,
	})
	return index
}

// startOf is when a node started, on the engine's clock: as the list says, or later if the node said so itself.
func (e *Engine) startOf(n *node, wallClock float64) float64 {
	start := 0.0
	if wallClock > 0 {
		start = max(0, wallClock-e.config.WallClockStart) // a start before the engine's time 0 was long ago
	}
	if start < n.startedAt+startTolerance { // an earlier start, or the same one by another clock
		start = n.startedAt
	}
	n.startDelayed = n.startDelayed && start < n.listed.startedAt+startTolerance
	if n.startDelayed {
		start += maxClockSkew
	}
	return start
}

// EndList closes an update. Nodes that a full list does not name are gone.
func (e *Engine) EndList() {
	if e.listKind == logic.ListFull || e.listKind == logic.ListCached {
		for index := range e.nodes {
			if e.nodes[index].listGeneration != e.listGeneration {
				e.setAvailability(index, logic.Unavailable)
			}
		}
	}
	e.policy.OnListEnd(e.now)
}

// reportToPolicy tells the policy of a node: as the list has it, but draining if it is excluded.
func (e *Engine) reportToPolicy(index int) {
	n := &e.nodes[index]
	listed, availability := n.listed, n.listed.availability
	if n.excluded && availability == logic.Ready {
		availability = logic.Draining
	}
	e.setAvailability(index, availability)
	e.policy.OnListNode(e.now, logic.ListEntry{
		Node: n.id, Availability: availability, StartedAt: listed.startedAt,
		FreeCores: listed.freeCores, FreeMemory: listed.freeMemory, Zone: listed.zone, Cell: listed.cell, Kind: listed.kind,
	})
}

// setAvailability changes a node's availability. Nodes that are on the list are kept connected.
func (e *Engine) setAvailability(index int, availability logic.Availability) {
	n := &e.nodes[index]
	n.availability = availability
	e.pacer.SetEnabled(e.now, index, availability != logic.Unavailable && !n.released)
	if availability == logic.Unavailable && !n.connected {
		e.endAttemptsAt(index)
	}
}
