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

func newTrunk(s *Server, index int) *nodeConnections {
	t := &nodeConnections{server: s, name: s.config.Name, links: map[uint32]*nodeLink{}, dialing: map[uint32]bool{}}
	if s.config.Site.Connections == site.OwnConnections && s.config.Site.MaxShards > 1 {
		t.name = fmt.Sprintf("%s.%d", s.config.Name, index)
	}
	return t
}

// attach puts a shard on the trunk, in the place of its earlier life if it had one.
func (t *nodeConnections) attach(sh *shard) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if i := slices.IndexFunc(t.shards, func(o *shard) bool { return o.index == sh.index }); i >= 0 {
		t.shards[i] = sh
	} else {
		t.shards = append(t.shards, sh)
	}
}

// attachedShards gives the shards.
func (t *nodeConnections) attachedShards() []*shard {
	t.mu.Lock()
	defer t.mu.Unlock()
	return slices.Clone(t.shards)
}

// dial connects to a node unless that is done or under way: all shards hear what comes of it.
func (t *nodeConnections) dial(nd uint32, address string) {
	t.mu.Lock()
	if t.closed || t.dialing[nd] || t.links[nd] != nil {
		t.mu.Unlock()
		return
	}
	t.dialing[nd] = true
	t.mu.Unlock()
	t.connect(nd, address, false)
}

// visit connects to a node that the shards do not know, to hear whether it holds something of this scheduler's.
func (t *nodeConnections) visit(nd uint32, address string) {
	t.mu.Lock()
	busy := t.closed || t.dialing[nd] || t.links[nd] != nil
	if !busy {
		t.dialing[nd] = true
	}
	t.mu.Unlock()
	if busy {
		t.server.workingSet.onVisitFailed(nd)
		return
	}
	t.connect(nd, address, true)
}

func (t *nodeConnections) connect(nd uint32, address string, visits bool) {
	t.server.env.Dial(address, nodeDialTimeout, func(conn env.Conn, err error) {
		if err != nil {
			t.onDialFailed(nd, err)
			return
		}
		newLink(t, nd, address, conn, visits)
	})
}

// register has the shards hear of a connection; under the lock.
func (t *nodeConnections) register(l *nodeLink) {
	t.links[l.node] = l
	t.server.onNodeConnected(l)
	t.server.workingSet.onConnection(l.node, true)
	for _, sh := range t.shards {
		l.notifyLinked(sh)
	}
}

// disconnect ends the connection to a node, if there is one.
func (t *nodeConnections) disconnect(nd uint32, why string) {
	t.mu.Lock()
	l := t.links[nd]
	t.mu.Unlock()
	if l != nil {
		l.disconnect(why, true)
	}
}

// onDialFailed tells that a node was not reached.
func (t *nodeConnections) onDialFailed(nd uint32, err error) {
	t.mu.Lock()
	delete(t.dialing, nd)
	t.mu.Unlock()
	if t.server.workingSet != nil {
		t.server.workingSet.onConnection(nd, false)
		t.server.workingSet.onVisitFailed(nd)
	}
	for _, sh := range t.attachedShards() {
		sh.post(func(now float64) { sh.engine.OnDialFailed(now, nd, err.Error()) })
	}
	t.server.log.Debug().Uint32("node", nd).Err(err).Msg("no connection")
}

// orderedLinks gives the links in order of their nodes; under the lock.
func (t *nodeConnections) orderedLinks() (all []*nodeLink) {
	for _, nd := range slices.Sorted(maps.Keys(t.links)) {
		all = append(all, t.links[nd])
	}
	return all
}

// replayTo tells a shard that has just begun of the connections that stand, and has the nodes tell what they hold.
func (t *nodeConnections) replayTo(sh *shard) {
	t.attach(sh)
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, l := range t.orderedLinks() {
		l.join(sh)
	}
}

// close ends all connections; soft lets what is queued still go out.
func (t *nodeConnections) close(why string, soft bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.closed = true
	for _, l := range t.orderedLinks() {
		l.disconnect(why, soft)
	}
}
