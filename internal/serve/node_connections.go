package serve

import (
	"fmt"
	"maps"
	"slices"
	"sync"

	"ravenpond/internal/env"
	"ravenpond/internal/site"
)

// nodeConnections is a set of connections to nodes, one each, and the shards whose attempts they carry: one shard, or all.
//
// mu is the first in the package's lock order: it is held while the working set, the membership and the shards are told of a connection,
// so that all see connections and their ends in the same order.
type nodeConnections struct {
	set  *shardSet
	name string // by which nodes know the shards

	mu      sync.Mutex // guards the fields below
	shards  []*shard   // in the order in which they were attached
	links   map[uint32]*nodeLink
	dialing map[uint32]bool // nodes to which a connection is being made
	closed  bool
}

// newNodeConnections makes the connections of one shard, or those that all shards share.
func newNodeConnections(s *shardSet, index int) *nodeConnections {
	c := &nodeConnections{set: s, name: s.config.Name, links: map[uint32]*nodeLink{}, dialing: map[uint32]bool{}}
	if s.config.Site.Connections == site.OwnConnections && s.config.Site.MaxShards > 1 {
		c.name = fmt.Sprintf("%s.%d", s.config.Name, index)
	}
	return c
}

// attach adds a shard, in the place of its earlier incarnation if it had one.
func (c *nodeConnections) attach(sh *shard) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if i := slices.IndexFunc(c.shards, func(other *shard) bool { return other.index == sh.index }); i >= 0 {
		c.shards[i] = sh
	} else {
		c.shards = append(c.shards, sh)
	}
}

// attachedShards returns the shards.
func (c *nodeConnections) attachedShards() []*shard {
	c.mu.Lock()
	defer c.mu.Unlock()
	return slices.Clone(c.shards)
}

// dial connects to a node unless that is done or under way. All shards are told the outcome.
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

// visit connects to a node that the shards do not know, to learn whether tasks of this scheduler run there.
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

// connect connects to a node that is noted in dialing.
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

// disconnect closes the connection to a node, if there is one, once what is queued has been handed to the network.
func (c *nodeConnections) disconnect(nodeID uint32, reason string) {
	c.mu.Lock()
	l := c.links[nodeID]
	c.mu.Unlock()
	if l != nil {
		l.disconnect(reason, true)
	}
}

// onDialFailed tells the shards that a node was not reached.
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
	c.set.log.Debug().Uint32("node", nodeID).Err(err).Msg("no connection")
}

// orderedLinks returns the connections in the order of their nodes. The caller holds mu.
func (c *nodeConnections) orderedLinks() (links []*nodeLink) {
	for _, nodeID := range slices.Sorted(maps.Keys(c.links)) {
		links = append(links, c.links[nodeID])
	}
	return links
}

// replayTo tells a shard that starts of the connections there are, and asks the nodes what they hold for it.
func (c *nodeConnections) replayTo(sh *shard) {
	c.attach(sh)
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, l := range c.orderedLinks() {
		l.join(sh)
	}
}

// close closes all connections, and makes no others. With flush, what is queued is still handed to the network.
func (c *nodeConnections) close(reason string, flush bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closed = true
	for _, l := range c.orderedLinks() {
		l.disconnect(reason, flush)
	}
}
