package standin

import (
	"cmp"
	"fmt"
	"maps"
	"math"
	"slices"
	"sync"

	"ravenpond/internal/audit"
	"ravenpond/internal/env"
	"ravenpond/internal/proto/line"
	"ravenpond/internal/proto/list"
)

// List is the node list: it looks at its nodes ten times a second and tells what it saw a while ago.
type List struct {
	testbed     *Testbed
	listener    env.Listener
	mu          sync.Mutex
	nodes       []*Node
	unreachable map[uint32]entry // addresses that nobody answers at
	history     []snapshot
	maintenance map[uint32]map[string]float64 // until when schedulers have nodes out
	version     uint64
	newest      snapshot // the newest that was told: versions only grow

	Delay       float64 // ms that its news are late
	ExtraDelay  float64 // and more, while it runs behind
	Unavailable bool    // calls fail
}

type entry struct {
	address          string
	availability     int
	startedAt        float64
	cores, memory    float64
	zone, cell, kind string
	observedAt       float64
}

// snapshot is what the list saw at a time; each change of an entry has a version.
type snapshot struct {
	at      float64
	version uint64
	entries map[uint32]entry
}

const pollInterval = 100 // ms between two looks

// StartList puts a list on the network, at an address of its own or, if that is empty, on a loopback port.
func (w *Testbed) StartList(lag float64, nodes []*Node, address string) (*List, error) {
	if address == "" {
		address = "127.0.0.1:0"
	}
	l := &List{testbed: w, nodes: nodes, Delay: lag, unreachable: map[uint32]entry{}, maintenance: map[uint32]map[string]float64{}}
	l.poll()
	l.history[0].at = math.Inf(-1) // what it knows at the start it has known for long
	var err error
	if l.listener, err = w.Listen(address, l.accept); err != nil {
		return nil, fmt.Errorf("list: %w", err)
	}
	env.Every(w, pollInterval, func() bool { l.poll(); return true })
	return l, nil
}

// Address is where the list listens.
func (l *List) Address() string { return l.listener.Address() }

// Add puts a node on the list.
func (l *List) Add(n *Node) {
	l.mu.Lock()
	l.nodes = append(l.nodes, n)
	l.mu.Unlock()
}

// AddUnreachable lists a node whose address nobody answers at.
func (l *List) AddUnreachable(id uint32, address, zone, cell, kind string) {
	l.mu.Lock()
	l.unreachable[id] = entry{address: address, availability: 1, zone: zone, cell: cell, kind: kind}
	l.mu.Unlock()
	l.poll()
}

// Update changes the list's faults.
func (l *List) Update(f func(l *List)) {
	l.mu.Lock()
	f(l)
	l.mu.Unlock()
}

// poll looks at all nodes.
func (l *List) poll() {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.testbed.Now()
	last := map[uint32]entry{}
	if n := len(l.history); n > 0 {
		last = l.history[n-1].entries
	}
	next, changed := map[uint32]entry{}, false
	l.testbed.WithLock(func(float64) {
		for _, n := range l.nodes {
			en := entry{address: cmp.Or(n.ListedAddress, n.address), availability: 1, startedAt: n.StartedAt, zone: n.Zone, cell: n.Cell, kind: n.Kind}
			if n.Lost {
				en.availability = 0
			} else if n.Draining || l.inMaintenance(n.ID, now) {
				en.availability = 2
			}
			en.cores, en.memory = n.Machine.FreeCapacity()
			old, known := last[n.ID]
			if known && old.availability == en.availability && old.startedAt == en.startedAt &&
				(now-old.observedAt < 1000 || math.Abs(en.cores-old.cores) < 0.5) {
				next[n.ID] = old
				continue
			}
			en.observedAt, changed = now, true
			next[n.ID] = en
			if !known || old.availability != en.availability {
				l.testbed.Trace.Add(audit.Record{At: now, Kind: audit.EndpointChanged, Node: n.ID, Detail: list.AvailabilityNames[en.availability]})
			}
		}
	})
	for id, en := range l.unreachable {
		_, known := last[id]
		next[id], changed = en, changed || !known
	}
	if !changed {
		return
	}
	l.version++
	l.history = append(l.history, snapshot{now, l.version, next})
	if len(l.history) > 600 {
		l.history = l.history[len(l.history)-600:]
	}
}

// inMaintenance tells whether some scheduler has a node out.
func (l *List) inMaintenance(id uint32, now float64) bool {
	for _, until := range l.maintenance[id] {
		if now < until {
			return true
		}
	}
	return false
}

// visible is what the list tells now.
func (l *List) visible() snapshot {
	at := l.testbed.Now() - l.Delay - l.ExtraDelay
	v := l.history[0]
	for _, h := range l.history {
		if h.at <= at {
			v = h
		}
	}
	if v.version > l.newest.version || l.newest.entries == nil {
		l.newest = v
	}
	return l.newest
}

// listConn is a scheduler's connection.
type listConn struct {
	list      *List
	scheduler string
	conn      env.Conn
	in        line.Splitter
	mu        sync.Mutex
	closed    bool
	sent      *snapshot
	watching  bool
}

const listWriteTimeout = 2000

func (l *List) accept(conn env.Conn) {
	conn.Start(&listConn{list: l, conn: conn}, listWriteTimeout)
}

// OnData takes what a scheduler sends.
func (c *listConn) OnData(b []byte) {
	if c.scheduler == "" {
		head, after, err := c.in.Greeting(b, list.GreetingLine)
		if err != nil {
			c.conn.Close(false, list.AppendBye(nil, err.Error()))
			return
		}
		if head == nil {
			return
		}
		c.scheduler, b = head.Get("Scheduler"), after
		c.conn.Send(func(b []byte) []byte { return line.AppendGreeting(b, list.GreetingLine) })
		env.Every(c.list.testbed, pollInterval, func() bool {
			c.mu.Lock()
			defer c.mu.Unlock()
			if c.watching && !c.closed && !c.sendChanges(false) {
				c.conn.Close(false, nil)
				return false
			}
			return !c.closed
		})
	}
	if err := c.in.Feed(b, func(fields [][]byte) error { return list.DecodeScheduler(fields, c) }); err != nil {
		c.conn.Close(true, list.AppendBye(nil, err.Error()))
	}
}

// OnClose meets the end of the connection.
func (c *listConn) OnClose(error) {
	c.mu.Lock()
	c.closed = true
	c.mu.Unlock()
}

// sendChanges sends what changed since the last answer; an answer to a call is sent even if nothing did. While the list
// is away calls fail and watches break.
func (c *listConn) sendChanges(called bool) bool {
	l := c.list
	l.mu.Lock()
	away, v := l.Unavailable, l.visible()
	l.mu.Unlock()
	if away {
		if !called {
			return false
		}
		l.testbed.Trace.Add(audit.Record{At: l.testbed.Now(), Kind: audit.ListDelivered, Scheduler: c.scheduler, Detail: "failed"})
		c.conn.Send(func(b []byte) []byte { return list.AppendFailed(b, "out of reach") })
		return true
	}
	if c.sent != nil && v.version <= c.sent.version && !called {
		return true
	}
	kind, old := list.KindFull, map[uint32]entry{}
	if c.sent != nil {
		kind, old = list.KindChanges, c.sent.entries
		if v.version < c.sent.version {
			v = *c.sent
		}
	}
	b, told := list.AppendBegin(nil, kind, v.version), []audit.Record(nil)
	put := func(id uint32, en entry) {
		if en.availability == 0 && kind == list.KindFull {
			told = append(told, audit.Record{Kind: audit.EndpointDelivered, Scheduler: c.scheduler, Node: id, Detail: "gone"}) // by its absence
			return
		}
		b = list.AppendEntry(b, id, en.address, en.availability, en.startedAt, en.cores, en.memory, en.zone, en.cell, en.kind)
		told = append(told, audit.Record{Kind: audit.EndpointDelivered, Scheduler: c.scheduler, Node: id, Detail: list.AvailabilityNames[en.availability]})
	}
	for _, id := range slices.Sorted(maps.Keys(v.entries)) {
		if was, ok := old[id]; !ok || was != v.entries[id] {
			put(id, v.entries[id])
		}
	}
	b = list.AppendEnd(b)
	c.conn.Send(func(q []byte) []byte { return append(q, b...) })
	now := l.testbed.Now()
	for _, r := range append(told, audit.Record{Kind: audit.ListDelivered, Scheduler: c.scheduler}) {
		r.At = now
		l.testbed.Trace.Add(r)
	}
	c.sent = &v
	return true
}

func (c *listConn) respond(watches, fresh bool) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if fresh {
		c.sent = nil
	}
	if c.sendChanges(true) {
		c.watching = c.watching || watches
	}
	return nil
}

// OnWatch answers with all that changed; a version that this connection was not told begins anew.
func (c *listConn) OnWatch(since uint64) error {
	return c.respond(true, c.sent == nil || c.sent.version != since)
}
func (c *listConn) OnFullRequest() error { return c.respond(false, true) }
func (c *listConn) OnUnwatch() error {
	c.mu.Lock()
	c.watching = false
	c.mu.Unlock()
	return nil
}

// OnMaintenance and Back are a scheduler's word of its maintenance windows.
func (c *listConn) OnMaintenance(id uint32, lasts float64) error {
	c.list.Update(func(l *List) {
		if l.maintenance[id] == nil {
			l.maintenance[id] = map[string]float64{}
		}
		l.maintenance[id][c.scheduler] = l.testbed.Now() + lasts
	})
	return nil
}

func (c *listConn) OnMaintenanceEnd(id uint32) error {
	c.list.Update(func(l *List) { delete(l.maintenance[id], c.scheduler) })
	return nil
}

func (c *listConn) OnBye(why string) error { return fmt.Errorf("farewell: %s", why) }
