package host

import (
	"maps"
	"slices"

	"ravenpond/logic"
)

// maxUnavailableNodes is how many unavailable nodes are kept before those without allocations are dropped.
const maxUnavailableNodes = 256

// nodeList is the node list as last told, for a module that replaces another.
type nodeList struct {
	kind             logic.ListKind  // of the message that is being read
	listed           map[uint32]bool // nodes that it named so far
	nodes            map[uint32]listedNode
	unavailableCount int // unavailable nodes
}

// listedNode is a node of the list.
type listedNode struct {
	logic.ListEntry
	observedStartAt float64 // when it appeared while this process ran, 0: it was there before
}

// ListBegin starts a message of the node list: ListNode follows for each entry, then ListEnd.
func (h *Host) ListBegin(now float64, kind logic.ListKind) {
	h.recordEvent(now)
	h.supervisor.list.begin(kind)
	h.callModule(func(m *logic.Scheduler) { m.OnListBegin(h.now, kind) })
}

// ListNode takes one entry of the message.
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

// pruneUnavailableNodes drops unavailable nodes without allocations in flight, once there are many unavailable nodes.
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

// add takes an entry. A node that appears, returns or restarts counts as just started, whatever start it is listed with: it may be cold.
func (l *nodeList) add(now float64, entry logic.ListEntry) {
	previous, known := l.nodes[entry.Node]
	n := listedNode{entry, previous.observedStartAt}
	returned := previous.Availability == logic.Unavailable && entry.Availability != logic.Unavailable
	restarted := entry.StartedAt > previous.StartedAt
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

// replay returns a call that tells a new module the whole list. Nodes that were seen starting keep that time, so that the new module paces
// them for as long as they may be cold.
func (l *nodeList) replay(now float64) func(*logic.Scheduler) {
	return func(m *logic.Scheduler) {
		m.OnListBegin(now, logic.ListCached)
		for _, id := range slices.Sorted(maps.Keys(l.nodes)) {
			n := l.nodes[id]
			entry := n.ListEntry
			entry.StartedAt = max(n.StartedAt, n.observedStartAt)
			m.OnListNode(now, entry)
		}
		m.OnListEnd(now)
	}
}
