package engine

import "ravenpond/logic"

// startTolerance is the largest difference, in ms, between two start times that are taken as the same start of a node. They may be
// reported by different clocks.
const startTolerance = 1000

// listState is the latest list entry of a node.
type listState struct {
	availability          logic.Availability
	startedAt             float64
	freeCores, freeMemory float64
	zone, cell, kind      int
}

// BeginList begins an update of the node list. AddListEntry follows for each entry, then EndList.
func (e *Engine) BeginList(now float64, kind logic.ListKind) {
	e.observe(now)
	e.listKind, e.enteringNodes = kind, false
	e.listGeneration++
	e.policy.OnListBegin(now, kind)
}

// AddListEntry handles an entry of the current update.
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

// addNode adds a node that is not known yet.
func (e *Engine) addNode(id uint32) (index int) {
	index = len(e.nodes)
	e.nodeIndex[id] = index
	e.nodes = append(e.nodes, node{
		id:            id,
		probeSequence: uint64(e.config.Incarnation) << 24, // above the sequence numbers of earlier incarnations of this scheduler
		excluded:      e.exclusions[id] != 0,
	})
	return index
}

// startOf returns when a node started, on the engine's clock: the time in the list, or a later one that the node reported itself.
func (e *Engine) startOf(n *node, wallClock float64) float64 {
	start := 0.0
	if wallClock > 0 {
		start = max(0, wallClock-e.config.WallClockStart) // a start before the engine's time 0 counts as long ago
	}
	if start < n.startedAt+startTolerance { // an earlier start, or the same start by another clock
		start = n.startedAt
	}
	n.startDelayed = n.startDelayed && start < n.listed.startedAt+startTolerance
	if n.startDelayed {
		start += maxClockSkew
	}
	return start
}

// EndList ends an update. Nodes that are missing from a full list become unavailable.
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

// reportToPolicy reports a node's list entry to the policy. An excluded node that is ready in the list is reported as draining.
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

// setAvailability sets a node's availability. Nodes that are on the list are kept connected unless they are released.
func (e *Engine) setAvailability(index int, availability logic.Availability) {
	n := &e.nodes[index]
	n.availability = availability
	e.pacer.SetEnabled(e.now, index, availability != logic.Unavailable && !n.released)
	if availability == logic.Unavailable && !n.connected {
		e.endAttemptsAt(index)
	}
}
