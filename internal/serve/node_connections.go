package serve

import (
	"fmt"
	"maps"
	"slices"
	"sync"

	"ravenpond/internal/env"
	"ravenpond/internal/site"
)

// nodeConnections is a set of connections, at most one to each node, and the shards whose attempts they carry: one shard, or all.
//
// mu comes first in the package's lock order, after startMu only: it is held while the working set, the membership and the shards are told
// of a connection, so that all of them see connections and their ends in the same order.
type nodeConnections struct {
	set  *shardSet
	name string // the name by which nodes know the shards

	mu      sync.Mutex // guards the fields below
	shards  []*shard   // in the order in which they were attached
	links   map[uint32]*nodeLink
	dialing map[uint32]bool // nodes to which a connection is being made
	closed  bool
}

// newNodeConnections creates the set of connections of one shard, or the set that all shards share.
func newNodeConnections(s *shardSet, index int) *nodeConnections {
	c := &nodeConnections{set: s, name: s.config.Name, links: map[uint32]*nodeLink{}, dialing: map[uint32]bool{}}
	if s.config.Site.Connections == site.OwnConnections && s.config.Site.MaxShards > 1 {
		c.name = fmt.Sprintf("%s.%d", s.config.Name, index)
	}
	return c
}

// attach adds a shard. It replaces the shard's earlier incarnation if there is one.
func (c *nodeConnections) attach(sh *shard) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if i := slices.IndexFunc(c.shards, func(other *shard) bool { return other.index == sh.index }); i >= 0 {
		c.shards[i] = sh
	} else {
		c.shards = append(c.shards, sh)
	}
}

// attachedShards returns a copy of the list of shards.
func (c *nodeConnections) attachedShards() []*shard {
	c.mu.Lock()
	defer c.mu.Unlock()
	return slices.Clone(c.shards)
}

// dial connects to a node unless a connection exists or is being made. All shards are told the result.
func (c *nodeConnections) dial(nodeID uint32, address string) {
	c.mu.Lock()
	if c.closed || c.dialing[nodeID] || c.links[nodeID] != nil {
		c.mu.Unlock()
		return
	}
	c.dialing[nodeID] = true
	c.mu.Unlock()
	c.connect(nodeID, address, false)
}

// visit connects to a node that the shards do not know, to find out whether tasks of this scheduler run there.
func (c *nodeConnections) visit(nodeID uint32, address string) {
	c.mu.Lock()
	busy := c.closed || c.dialing[nodeID] || c.links[nodeID] != nil
	if !busy {
		c.dialing[nodeID] = true
	}
	c.mu.Unlock()
	if busy {
		c.set.workingSet.onVisitFailed(nodeID)
		return
	}
	c.connect(nodeID, address, true)
}

// connect connects to a node that is already recorded in dialing.
func (c *nodeConnections) connect(nodeID uint32, address string, isVisit bool) {
	c.set.env.Dial(address, nodeDialTimeout, func(conn env.Conn, err error) {
		if err != nil {
			c.onDialFailed(nodeID, err)
			return
		}
		newNodeLink(c, nodeID, address, conn, isVisit)
	})
}

// register tells the shards of a connection. The caller holds mu.
func (c *nodeConnections) register(l *nodeLink) {
	c.links[l.node] = l
	c.set.membership.onNodeConnected(l)
	c.set.workingSet.onConnection(l.node, true)
	for _, sh := range c.shards {
		l.notifyLinked(sh)
	}
}

// disconnect closes the connection to a node, if there is one, after the queued messages have been handed to the network.
func (c *nodeConnections) disconnect(nodeID uint32, reason string) {
	c.mu.Lock()
	l := c.links[nodeID]
	c.mu.Unlock()
	if l != nil {
		l.disconnect(reason, true)
	}
}

// onDialFailed tells the shards that no connection to a node could be made.
func (c *nodeConnections) onDialFailed(nodeID uint32, err error) {
	c.mu.Lock()
	delete(c.dialing, nodeID)
	c.mu.Unlock()
	if c.set.workingSet != nil {
		c.set.workingSet.onConnection(nodeID, false)
		c.set.workingSet.onVisitFailed(nodeID)
	}
	for _, sh := range c.attachedShards() {
		sh.post(func(now float64) { sh.engine.OnDialFailed(now, nodeID) })
	}
	c.set.log.Debug().Uint32("node", nodeID).Err(err).Msg("connection to node failed")
}

// orderedLinks returns the connections sorted by node ID. The caller holds mu.
func (c *nodeConnections) orderedLinks() (links []*nodeLink) {
	for _, nodeID := range slices.Sorted(maps.Keys(c.links)) {
		links = append(links, c.links[nodeID])
	}
	return links
}

// replayTo tells a shard that is being started of the existing connections, and asks the nodes which tasks they hold.
func (c *nodeConnections) replayTo(sh *shard) {
	c.attach(sh)
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, l := range c.orderedLinks() {
		l.join(sh)
	}
}

// close closes all connections, and no others are made. With flush, queued messages are still handed to the network.
func (c *nodeConnections) close(reason string, flush bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closed = true
	for _, l := range c.orderedLinks() {
		l.disconnect(reason, flush)
	}
}
