package host

import (
	"maps"
	"slices"

	"ravenpond/logic"
)

// maxUnavailableNodes is the number of unavailable nodes above which those without an attempt in flight or a running task are dropped.
const maxUnavailableNodes = 256

// nodeList is a copy of the last known node list, which is replayed to a replacement module.
type nodeList struct {
	kind             logic.ListKind  // kind of the message that is being read
	listed           map[uint32]bool // nodes that the message has named so far
	nodes            map[uint32]listedNode
	unavailableCount int // number of unavailable nodes as of the last message
}

// listedNode is a node of the list.
type listedNode struct {
	logic.ListEntry
	identityUncertain bool    // what is sent to the node may reach another one
	observedStartAt   float64 // when the node appeared, returned or restarted while this process ran; 0 if it did not
}

// ListBegin begins a message of the node list. ListNode is called for each entry after it, then ListEnd.
func (h *Host) ListBegin(now float64, kind logic.ListKind) {
	h.recordEvent(now)
	h.supervisor.list.begin(kind)
	h.callModule(func(m *logic.Scheduler) { m.OnListBegin(h.now, kind) })
}

// ListNode handles one entry of the message.
func (h *Host) ListNode(entry logic.ListEntry) {
	h.supervisor.list.add(h.now, entry)
	h.callModule(func(m *logic.Scheduler) { m.OnListNode(h.now, entry) })
}

// ListEnd ends the message.
func (h *Host) ListEnd() {
	h.supervisor.list.end()
	h.pruneUnavailableNodes()
	h.callModule(func(m *logic.Scheduler) { m.OnListEnd(h.now) })
}

// OnNodeIdentity records whether what is sent to a node is known to reach it.
func (h *Host) OnNodeIdentity(now float64, node uint32, known bool) {
	h.recordEvent(now)
	if n, listed := h.supervisor.list.nodes[node]; listed {
		n.identityUncertain = !known
		h.supervisor.list.nodes[node] = n
	}
	h.callModule(func(m *logic.Scheduler) { m.SetNodeIdentity(h.now, node, known) })
}

// pruneUnavailableNodes drops the unavailable nodes without an attempt in flight or a running task once there are more than
// maxUnavailableNodes unavailable nodes.
func (h *Host) pruneUnavailableNodes() {
	list := &h.supervisor.list
	if list.unavailableCount <= maxUnavailableNodes {
		return
	}
	inUse := map[uint32]bool{}
	for _, a := range h.allocations {
		inUse[a.node] = inUse[a.node] || a.inFlight
	}
	maps.DeleteFunc(list.nodes, func(id uint32, n listedNode) bool { return n.Availability == logic.Unavailable && !inUse[id] })
	list.unavailableCount = 0
}

func (l *nodeList) begin(kind logic.ListKind) {
	l.kind, l.listed = kind, map[uint32]bool{}
}

// add stores an entry. A node that appears, returns or restarts counts as just started, whatever start time it is listed with, because it may
// need a slow start.
func (l *nodeList) add(now float64, entry logic.ListEntry) {
	previous, known := l.nodes[entry.Node]
	n := listedNode{entry, previous.identityUncertain, previous.observedStartAt}
	returned := previous.Availability == logic.Unavailable && entry.Availability != logic.Unavailable
	restarted := logic.IsOtherStart(previous.StartedAt, entry.StartedAt)
	if !known && l.kind != logic.ListCached || known && (returned || restarted) {
		n.observedStartAt = now
	}
	l.nodes[entry.Node] = n
	l.listed[entry.Node] = true
}

func (l *nodeList) end() {
	if l.kind == logic.ListFull || l.kind == logic.ListCached {
		for id, n := range l.nodes {
			if !l.listed[id] {
				n.Availability = logic.Unavailable
				l.nodes[id] = n
			}
		}
	}
	l.listed = nil
	l.unavailableCount = 0
	for _, n := range l.nodes {
		if n.Availability == logic.Unavailable {
			l.unavailableCount++
		}
	}
}

// replay returns a call that reports the whole list to a new module. Nodes that were observed to start keep that time, so that the new module
// limits their rate for the rest of their slow start.
func (l *nodeList) replay(now float64) func(*logic.Scheduler) {
	return func(m *logic.Scheduler) {
		m.OnListBegin(now, logic.ListCached)
		for _, id := range slices.Sorted(maps.Keys(l.nodes)) {
			n := l.nodes[id]
			entry := n.ListEntry
			entry.StartedAt = max(n.StartedAt, n.observedStartAt)
			m.OnListNode(now, entry)
			m.SetNodeIdentity(now, id, !n.identityUncertain)
		}
		m.OnListEnd(now)
	}
}
