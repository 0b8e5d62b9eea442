package platform

import (
	"cmp"
	"hash/fnv"
	"maps"
	"slices"

	"ravenpond/internal/decide/budget"
	codec "ravenpond/internal/proto/platform"
	"ravenpond/logic"
)

// nodeTable holds the nodes of the list, and counts the connections to them. Server.mu guards it, its nodes and their connections.
type nodeTable struct {
	server *Server
	byName map[string]*node
	byID   map[uint32]*node
	conns  int       // connections to nodes, made or being made
	report []float64 // memory of the last load report
}

func newNodeTable(s *Server) nodeTable {
	return nodeTable{server: s, byName: map[string]*node{}, byID: map[uint32]*node{}}
}

// named returns the node with a name, nil if there is none.
func (t *nodeTable) named(name string) *node { return t.byName[name] }

// byNumber returns the node with a number, nil if there is none.
func (t *nodeTable) byNumber(id uint32) *node { return t.byID[id] }

// count returns how many nodes there are.
func (t *nodeTable) count() int { return len(t.byID) }

// connections returns how many connections to nodes there are, those being made included.
func (t *nodeTable) connections() int { return t.conns }

// all returns the nodes in no order.
func (t *nodeTable) all() map[uint32]*node { return t.byID }

// sorted returns the nodes in the order of their numbers.
func (t *nodeTable) sorted() []*node {
	return slices.SortedFunc(maps.Values(t.byID), func(x, y *node) int { return cmp.Compare(x.id, y.id) })
}

// add adds a node.
func (t *nodeTable) add(name string) *node {
	n := &node{server: t.server, id: t.number(name), name: name, running: map[*request]bool{}}
	t.byName[name], t.byID[n.id] = n, n
	return n
}

// number returns the module's number of a node. It depends on the name, so that all schedulers number a node alike: they take turns at a
// node in slow start by it.
func (t *nodeTable) number(name string) uint32 {
	f := fnv.New32a()
	f.Write([]byte(name))
	id := f.Sum32()
	for n := t.byID[id]; n != nil && n.name != name; n = t.byID[id] {
		id++
	}
	return id
}

// remove drops a node.
func (t *nodeTable) remove(n *node) {
	delete(t.byID, n.id)
	delete(t.byName, n.name)
}

// removeUnavailable drops all nodes that are unavailable.
func (t *nodeTable) removeUnavailable() {
	for _, n := range t.byID {
		if n.availability == logic.Unavailable {
			t.remove(n)
		}
	}
}

// addConn counts a connection that is made or being made.
func (t *nodeTable) addConn() { t.conns++ }

// dropConn counts a connection that was closed.
func (t *nodeTable) dropConn() { t.conns-- }

// isFull returns whether no connection to a node can be added.
func (t *nodeTable) isFull() bool { return t.conns >= t.server.limits.NodeConns }

// parseReport returns the load report of a message, valid until the next.
func (t *nodeTable) parseReport(msg []byte) []float64 {
	t.report = codec.ParseReport(msg, t.server.settings.Cluster.ReportFields, t.report[:0])
	return t.report
}

// reserve returns whether a connection to a node may be made. An idle connection is closed for it if need be.
func (t *nodeTable) reserve(now float64, purpose budget.Purpose, n *node) bool {
	wanted := budget.NodeConnRequest{Purpose: purpose, Held: t.conns, SinceCheck: n.failureDetector.SinceContact(now)}
	var idle idleConns
	if t.isFull() {
		idle = t.idleConns(n)
		wanted.Idle, wanted.Spare = idle.count, idle.spare
	}
	switch t.server.limits.DecideNodeConn(wanted) {
	case budget.Skip:
		return false
	case budget.Replace:
		idle.candidate.close(true)
	}
	return true
}

// idleConns are the idle connections to nodes.
type idleConns struct {
	count     int
	spare     int       // of them, those that are not the only one to a node with running tasks
	candidate *nodeConn // the one to close first, nil if there is none
	rank      evictionRank
}

// evictionRank orders idle connections: the higher, the sooner a connection is closed for another.
type evictionRank uint8

const (
	rankOnly  evictionRank = iota + 1 // the only one to a node with running tasks
	rankSpare                         // its node has another, or no running task
	rankSame                          // it leads to the node that the new one is for, which takes its place
)

// idleConns finds the idle connections, and the one to close for a connection to requester: of the highest rank the one that has been idle for
// longest.
func (t *nodeTable) idleConns(requester *node) idleConns {
	var found idleConns
	for _, n := range t.byID {
		rank := rankOnly
		switch {
		case n == requester:
			rank = rankSame
		case len(n.conns) > 1 || len(n.running) == 0:
			rank = rankSpare
		}
		for _, c := range n.conns {
			if c.conn != nil && c.isIdle() {
				found.add(c, rank)
			}
		}
	}
	return found
}

// add counts a connection.
func (f *idleConns) add(c *nodeConn, rank evictionRank) {
	f.count++
	if rank > rankOnly {
		f.spare++
	}
	if f.candidate == nil || rank > f.rank || rank == f.rank && c.idleBefore(f.candidate) {
		f.candidate, f.rank = c, rank
	}
}
