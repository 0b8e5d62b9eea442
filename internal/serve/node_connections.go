package serve

import (
	"fmt"
	"maps"
	"slices"
	"sync"

	"ravenpond/internal/env"
	"ravenpond/internal/site"
)

// nodeConnections is a set of connections to nodes, one each, and the shards whose tries they carry: one shard, or all.
type nodeConnections struct {
	server *Server
	name   string // by which nodes know its shards

	mu      sync.Mutex
	shards  []*shard
	links   map[uint32]*nodeLink
	dialing map[uint32]bool
	closed  bool
}

func newNodeConnections(s *Server, index int) *nodeConnections {
	c := &nodeConnections{server: s, name: s.config.Name, links: map[uint32]*nodeLink{}, dialing: map[uint32]bool{}}
	if s.config.Site.Connections == site.OwnConnections && s.config.Site.MaxShards > 1 {
		c.name = fmt.Sprintf("%s.%d", s.config.Name, index)
	}
	return c
}

// attach puts a shard on the trunk, in the place of its earlier life if it had one.
func (c *nodeConnections) attach(sh *shard) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if i := slices.IndexFunc(c.shards, func(other *shard) bool { return other.index == sh.index }); i >= 0 {
		c.shards[i] = sh
	} else {
		c.shards = append(c.shards, sh)
	}
}

// attachedShards gives the shards.
func (c *nodeConnections) attachedShards() []*shard {
	c.mu.Lock()
	defer c.mu.Unlock()
	return slices.Clone(c.shards)
}

// dial connects to a node unless that is done or under way: all shards hear what comes of it.
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

// visit connects to a node that the shards do not know, to hear whether it holds something of this scheduler's.
func (c *nodeConnections) visit(nodeID uint32, address string) {
	c.mu.Lock()
	busy := c.closed || c.dialing[nodeID] || c.links[nodeID] != nil
	if !busy {
		c.dialing[nodeID] = true
	}
	c.mu.Unlock()
	if busy {
		c.server.workingSet.onVisitFailed(nodeID)
		return
	}
	c.connect(nodeID, address, true)
}

func (c *nodeConnections) connect(nodeID uint32, address string, isVisit bool) {
	c.server.env.Dial(address, nodeDialTimeout, func(conn env.Conn, err error) {
		if err != nil {
			c.onDialFailed(nodeID, err)
			return
		}
		newNodeLink(c, nodeID, address, conn, isVisit)
	})
}

// register has the shards hear of a connection; under the lock.
func (c *nodeConnections) register(l *nodeLink) {
	c.links[l.node] = l
	c.server.onNodeConnected(l)
	c.server.workingSet.onConnection(l.node, true)
	for _, sh := range c.shards {
		l.notifyLinked(sh)
	}
}

// disconnect ends the connection to a node, if there is one.
func (c *nodeConnections) disconnect(nodeID uint32, reason string) {
	c.mu.Lock()
	l := c.links[nodeID]
	c.mu.Unlock()
	if l != nil {
		l.disconnect(reason, true)
	}
}

// onDialFailed tells that a node was not reached.
func (c *nodeConnections) onDialFailed(nodeID uint32, err error) {
	c.mu.Lock()
	delete(c.dialing, nodeID)
	c.mu.Unlock()
	if c.server.workingSet != nil {
		c.server.workingSet.onConnection(nodeID, false)
		c.server.workingSet.onVisitFailed(nodeID)
	}
	for _, sh := range c.attachedShards() {
		sh.post(func(now float64) { sh.engine.OnDialFailed(now, nodeID) })
	}
	c.server.log.Debug().Uint32("node", nodeID).Err(err).Msg("no connection")
}

// orderedLinks gives the links in order of their nodes; under the lock.
func (c *nodeConnections) orderedLinks() (links []*nodeLink) {
	for _, nodeID := range slices.Sorted(maps.Keys(c.links)) {
		links = append(links, c.links[nodeID])
	}
	return links
}

// replayTo tells a shard that has just begun of the connections that stand, and has the nodes tell what they hold.
func (c *nodeConnections) replayTo(sh *shard) {
	c.attach(sh)
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, l := range c.orderedLinks() {
		l.join(sh)
	}
}

// close ends all connections; soft lets what is queued still go out.
func (c *nodeConnections) close(reason string, flush bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closed = true
	for _, l := range c.orderedLinks() {
		l.disconnect(reason, flush)
	}
}
