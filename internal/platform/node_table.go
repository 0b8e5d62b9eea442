package platform

import (
	"cmp"
	"fmt"
	"hash/fnv"
	"maps"
	"slices"

	"github.com/hashicorp/golang-lru/v2/simplelru"

	"ravenpond/internal/decide/budget"
	"ravenpond/internal/decide/nodefailure"
	"ravenpond/internal/decide/nodeidentity"
	codec "ravenpond/internal/proto/platform"
	"ravenpond/logic"
)

// maxDeparted is the number of nodes that are gone whose history is kept, for when they come back.
const maxDeparted = 1024

// departedNode is what is kept of a node that is gone.
type departedNode struct {
	address   string
	processes nodefailure.ProcessHistory
}

// nodeTable holds the nodes of the node list, and counts the connections to them. Server.mu guards it, its nodes and their connections.
type nodeTable struct {
	server *Server
	byName map[string]*node
	byID   map[uint32]*node
	owners *nodeidentity.Addresses
	atAddr map[string][]*node // all nodes by the address that the list named last
	conns  int                // the number of connections to nodes, established or being made
	report []float64          // the last load report, whose memory is reused

	departed *simplelru.LRU[string, departedNode] // by name; those that were gone for longest are dropped
}

func newNodeTable(s *Server) nodeTable {
	departed, err := simplelru.NewLRU[string, departedNode](maxDeparted, nil)
	if err != nil { // the size is not positive
		panic(fmt.Sprintf("LRU list of %d departed nodes: %v", maxDeparted, err))
	}
	return nodeTable{
		server: s, byName: map[string]*node{}, byID: map[uint32]*node{}, owners: nodeidentity.NewAddresses(), atAddr: map[string][]*node{}, departed: departed,
	}
}

// named returns the node with a name, or nil.
func (t *nodeTable) named(name string) *node { return t.byName[name] }

// byNumber returns the node with the module's number id, or nil.
func (t *nodeTable) byNumber(id uint32) *node { return t.byID[id] }

// count returns the number of nodes.
func (t *nodeTable) count() int { return len(t.byID) }

// connections returns the number of connections to nodes, those being made included.
func (t *nodeTable) connections() int { return t.conns }

// all returns the nodes by their numbers.
func (t *nodeTable) all() map[uint32]*node { return t.byID }

// sorted returns the nodes in the order of their numbers.
func (t *nodeTable) sorted() []*node {
	return slices.SortedFunc(maps.Values(t.byID), byNumber)
}

// byNumber orders nodes by their numbers.
func byNumber(x, y *node) int { return cmp.Compare(x.id, y.id) }

// add adds a node at an address. If it was there before, what was seen of its processes is known again.
func (t *nodeTable) add(name, address string) *node {
	n := &node{server: t.server, id: t.number(name), name: name, running: map[*request]bool{}, identityKnown: true}
	if departed, ok := t.departed.Peek(name); ok && departed.address == address {
		n.processes.OnReturned(&departed.processes)
	}
	t.departed.Remove(name)
	t.byName[name], t.byID[n.id] = n, n
	return n
}

// number returns the module's number for a node: a hash of the name, so that all schedulers give a node the same number. By that number they take
// turns at a node in slow start. A number that is already in use is incremented.
func (t *nodeTable) number(name string) uint32 {
	f := fnv.New32a()
	f.Write([]byte(name))
	id := f.Sum32()
	for n := t.byID[id]; n != nil && n.name != name; n = t.byID[id] {
		id++
	}
	return id
}

// remove removes a node.
func (t *nodeTable) remove(n *node) {
	t.departed.Add(n.name, departedNode{n.address, n.processes})
	delete(t.byID, n.id)
	delete(t.byName, n.name)
	t.setAddress(n, "")
}

// removeUnavailable removes all nodes that are unavailable.
func (t *nodeTable) removeUnavailable() {
	for _, n := range t.byID {
		if n.availability == logic.Unavailable {
			t.remove(n)
		}
	}
}

// setAddress sets the address that the node list gives a node, empty if none.
func (t *nodeTable) setAddress(n *node, address string) {
	if address == n.address {
		return
	}
	t.owners.Release(n.address, n.id)
	if others := removeUnordered(t.atAddr[n.address], n); len(others) > 0 {
		t.atAddr[n.address] = others
	} else {
		delete(t.atAddr, n.address)
	}
	n.address = address
	if address != "" {
		t.atAddr[address] = append(t.atAddr[address], n)
	}
}

// claimAddress records that the list names a node, in service or draining, at its address. It returns the availability that the node counts with, which
// is unavailable if another one has the address, and the listed node that had the address until now, nil if there was none.
func (t *nodeTable) claimAddress(n *node, listed logic.Availability, startedAt float64) (availability logic.Availability, former *node) {
	claimed := t.owners.Claim(n.address, n.id, startedAt)
	if !claimed.Owns {
		return logic.Unavailable, nil
	}
	n.identity.OnAddressOwned()
	if claimed.Displaced {
		former = t.byID[claimed.Former]
	}
	return listed, former
}

// nodesBeside returns the other nodes at the address of a node that the list does not show in service there, in the order of their numbers.
func (t *nodeTable) nodesBeside(owner *node) (others []*node) {
	for _, n := range t.atAddr[owner.address] {
		if n != owner && n.isUnavailable() {
			others = append(others, n)
		}
	}
	slices.SortFunc(others, byNumber)
	return others
}

// addConn counts a connection that is being made.
func (t *nodeTable) addConn() { t.conns++ }

// dropConn stops counting a connection that was closed.
func (t *nodeTable) dropConn() { t.conns-- }

// isFull reports whether the number of connections to nodes is at its limit.
func (t *nodeTable) isFull() bool { return t.conns >= t.server.limits.NodeConns }

// parseReport returns the load report in a message. It is valid until the next call.
func (t *nodeTable) parseReport(msg []byte) []float64 {
	t.report = codec.ParseReport(msg, t.server.settings.Cluster.ReportFields, t.report[:0])
	return t.report
}

// reserve reports whether a connection to a node may be made for a purpose. It closes an idle connection to make room if necessary.
func (t *nodeTable) reserve(now float64, purpose budget.Purpose, n *node) bool {
	wanted := budget.NodeConnRequest{Purpose: purpose, Held: t.conns, SinceCheck: n.failureDetector.SinceContact(now), Ending: t.server.shutdown.answered}
	var idle idleConns
	if t.isFull() {
		idle = t.idleConns(n)
		wanted.Idle, wanted.Spare = idle.count, idle.spare
	}
	switch t.server.limits.DecideNodeConn(wanted) {
	case budget.Skip:
		return false
	case budget.Replace:
		idle.candidate.close("replaced by another")
	}
	return true
}

// idleConns counts the idle connections to nodes, and names the one to close for another.
type idleConns struct {
	count     int
	spare     int          // idle connections that are not the only one to a node with running tasks
	candidate *nodeConn    // the connection to close first, nil if there is none
	rank      evictionRank // of candidate
}

// evictionRank orders idle connections: those of a higher rank are closed first to make room.
type evictionRank uint8

const (
	rankOnly  evictionRank = iota + 1 // it is the only connection to a node with running tasks
	rankSpare                         // its node has another connection, or no running task
	rankSame                          // it leads to the same node as the new connection, which replaces it
)

// idleConns counts the idle connections, and finds the one to close for a connection to requester: among those of the highest rank the one that
// has been idle for longest.
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

// add counts an idle connection, and makes it the candidate if it is to be closed before the present one.
func (f *idleConns) add(c *nodeConn, rank evictionRank) {
	f.count++
	if rank > rankOnly {
		f.spare++
	}
	if f.candidate == nil || rank > f.rank || rank == f.rank && c.idleBefore(f.candidate) {
		f.candidate, f.rank = c, rank
	}
}
