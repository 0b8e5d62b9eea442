package serve

import (
	"fmt"
	"maps"
	"slices"
	"sync"

	"ravenpond/internal/outside"
	"ravenpond/internal/site"
)

// trunk is a set of connections to nodes, one each, and the shards whose tries they carry: one shard, or all.
type trunk struct {
	s    *Server
	name string // by which nodes know its shards

	mu      sync.Mutex
	shards  []*shard
	links   map[uint32]*link
	dialing map[uint32]bool
	closed  bool
}

func newTrunk(s *Server, index int) *trunk {
	t := &trunk{s: s, name: s.who.Name, links: map[uint32]*link{}, dialing: map[uint32]bool{}}
	if s.who.Site.Connections == site.OwnConnections && s.who.Site.MaxShards > 1 {
		t.name = fmt.Sprintf("%s.%d", s.who.Name, index)
	}
	return t
}

// set puts a shard on the trunk, in the place of its earlier life if it had one.
func (t *trunk) set(sh *shard) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if i := slices.IndexFunc(t.shards, func(o *shard) bool { return o.index == sh.index }); i >= 0 {
		t.shards[i] = sh
	} else {
		t.shards = append(t.shards, sh)
	}
}

// all gives the shards.
func (t *trunk) all() []*shard {
	t.mu.Lock()
	defer t.mu.Unlock()
	return slices.Clone(t.shards)
}

// dial connects to a node unless that is done or under way: all shards hear what comes of it.
func (t *trunk) dial(nd uint32, address string) {
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
func (t *trunk) visit(nd uint32, address string) {
	t.mu.Lock()
	busy := t.closed || t.dialing[nd] || t.links[nd] != nil
	if !busy {
		t.dialing[nd] = true
	}
	t.mu.Unlock()
	if busy {
		t.s.set.onVisitFailed(nd)
		return
	}
	t.connect(nd, address, true)
}

func (t *trunk) connect(nd uint32, address string, visits bool) {
	t.s.w.Dial(address, dialFor, func(conn outside.Conn, err error) {
		if err != nil {
			t.failed(nd, err)
			return
		}
		newLink(t, nd, address, conn, visits)
	})
}

// add has the shards hear of a connection; under the lock.
func (t *trunk) add(l *link) {
	t.links[l.nd] = l
	t.s.met(l)
	t.s.set.onConnection(l.nd, true)
	for _, sh := range t.shards {
		l.tellLinked(sh)
	}
}

// hangUp ends the connection to a node, if there is one.
func (t *trunk) hangUp(nd uint32, why string) {
	t.mu.Lock()
	l := t.links[nd]
	t.mu.Unlock()
	if l != nil {
		l.end(why, true)
	}
}

// failed tells that a node was not reached.
func (t *trunk) failed(nd uint32, err error) {
	t.mu.Lock()
	delete(t.dialing, nd)
	t.mu.Unlock()
	if t.s.set != nil {
		t.s.set.onConnection(nd, false)
		t.s.set.onVisitFailed(nd)
	}
	for _, sh := range t.all() {
		sh.tell(func(now float64) { sh.eng.OnDialFailed(now, nd, err.Error()) })
	}
	t.s.log.Debug().Uint32("node", nd).Err(err).Msg("no connection")
}

// standing gives the links in order of their nodes; under the lock.
func (t *trunk) standing() (all []*link) {
	for _, nd := range slices.Sorted(maps.Keys(t.links)) {
		all = append(all, t.links[nd])
	}
	return all
}

// replay tells a shard that has just begun of the connections that stand, and has the nodes tell what they hold.
func (t *trunk) replay(sh *shard) {
	t.set(sh)
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, l := range t.standing() {
		l.join(sh)
	}
}

// close ends all connections; soft lets what is queued still go out.
func (t *trunk) close(why string, soft bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.closed = true
	for _, l := range t.standing() {
		l.end(why, soft)
	}
}
