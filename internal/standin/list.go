package standin

import (
	"cmp"
	"fmt"
	"maps"
	"math"
	"slices"
	"sync"

	"ravenpond/internal/audit"
	"ravenpond/internal/outside"
	"ravenpond/internal/proto/line"
	"ravenpond/internal/proto/list"
)

// List is the node list: it looks at its nodes ten times a second and tells what it saw a while ago.
type List struct {
	w       *World
	door    outside.Listener
	mu      sync.Mutex
	nodes   []*Node
	ghosts  map[uint32]entry // addresses that nobody answers at
	history []view
	marks   map[uint32]map[string]float64 // until when schedulers have nodes out
	version uint64
	top     view // the newest that was told: versions only grow

	Lag  float64 // ms that its news are late
	More float64 // and more, while it runs behind
	Away bool    // calls fail
}

type entry struct {
	address          string
	avail            int
	started          float64
	cores, memory    float64
	zone, cell, kind string
	seenAt           float64
}

// view is what the list saw at a time; each change of an entry has a version.
type view struct {
	at      float64
	version uint64
	entries map[uint32]entry
}

const look = 100 // ms between two looks

// StartList puts a list on the network, at an address of its own or, if that is empty, on a loopback port.
func (w *World) StartList(lag float64, nodes []*Node, address string) (*List, error) {
	if address == "" {
		address = "127.0.0.1:0"
	}
	l := &List{w: w, nodes: nodes, Lag: lag, ghosts: map[uint32]entry{}, marks: map[uint32]map[string]float64{}}
	l.see()
	l.history[0].at = math.Inf(-1) // what it knows at the start it has known for long
	var err error
	if l.door, err = w.Listen(address, l.came); err != nil {
		return nil, fmt.Errorf("list: %w", err)
	}
	outside.Every(w, look, func() bool { l.see(); return true })
	return l, nil
}

// Address is where the list listens.
func (l *List) Address() string { return l.door.Address() }

// Add puts a node on the list.
func (l *List) Add(n *Node) {
	l.mu.Lock()
	l.nodes = append(l.nodes, n)
	l.mu.Unlock()
}

// AddGhost lists a node whose address nobody answers at.
func (l *List) AddGhost(id uint32, address, zone, cell, kind string) {
	l.mu.Lock()
	l.ghosts[id] = entry{address: address, avail: 1, zone: zone, cell: cell, kind: kind}
	l.mu.Unlock()
	l.see()
}

// Set changes the list's faults.
func (l *List) Set(f func(l *List)) {
	l.mu.Lock()
	f(l)
	l.mu.Unlock()
}

// see looks at all nodes.
func (l *List) see() {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.w.Now()
	last := map[uint32]entry{}
	if n := len(l.history); n > 0 {
		last = l.history[n-1].entries
	}
	next, changed := map[uint32]entry{}, false
	l.w.At(func(float64) {
		for _, n := range l.nodes {
			en := entry{address: cmp.Or(n.Listed, n.address), avail: 1, started: n.StartedAt, zone: n.Zone, cell: n.Cell, kind: n.Kind}
			if n.Lost {
				en.avail = 0
			} else if n.Drains || l.marked(n.ID, now) {
				en.avail = 2
			}
			en.cores, en.memory = n.Machine.Free()
			old, known := last[n.ID]
			if known && old.avail == en.avail && old.started == en.started &&
				(now-old.seenAt < 1000 || math.Abs(en.cores-old.cores) < 0.5) {
				next[n.ID] = old
				continue
			}
			en.seenAt, changed = now, true
			next[n.ID] = en
			if !known || old.avail != en.avail {
				l.w.Trace.Add(audit.Record{At: now, Kind: audit.Listed, Node: n.ID, Word: list.AvailabilityNames[en.avail]})
			}
		}
	})
	for id, en := range l.ghosts {
		_, known := last[id]
		next[id], changed = en, changed || !known
	}
	if !changed {
		return
	}
	l.version++
	l.history = append(l.history, view{now, l.version, next})
	if len(l.history) > 600 {
		l.history = l.history[len(l.history)-600:]
	}
}

// marked tells whether some scheduler has a node out.
func (l *List) marked(id uint32, now float64) bool {
	for _, until := range l.marks[id] {
		if now < until {
			return true
		}
	}
	return false
}

// late is what the list tells now.
func (l *List) late() view {
	at := l.w.Now() - l.Lag - l.More
	v := l.history[0]
	for _, h := range l.history {
		if h.at <= at {
			v = h
		}
	}
	if v.version > l.top.version || l.top.entries == nil {
		l.top = v
	}
	return l.top
}

// watcher is a scheduler's connection.
type watcher struct {
	l       *List
	sched   string
	conn    outside.Conn
	in      line.Splitter
	mu      sync.Mutex
	over    bool
	told    *view
	watches bool
}

const listStuck = 2000

func (l *List) came(conn outside.Conn) { conn.Start(&watcher{l: l, conn: conn}, listStuck) }

// OnData takes what a scheduler sends.
func (c *watcher) OnData(b []byte) {
	if c.sched == "" {
		head, after, err := c.in.Greeting(b, list.GreetingLine)
		if err != nil {
			c.conn.Close(false, list.AppendBye(nil, err.Error()))
			return
		}
		if head == nil {
			return
		}
		c.sched, b = head.Get("Scheduler"), after
		c.conn.Send(func(b []byte) []byte { return line.AppendGreeting(b, list.GreetingLine) })
		outside.Every(c.l.w, look, func() bool {
			c.mu.Lock()
			defer c.mu.Unlock()
			if c.watches && !c.over && !c.tell(false) {
				c.conn.Close(false, nil)
				return false
			}
			return !c.over
		})
	}
	if err := c.in.Feed(b, func(fields [][]byte) error { return list.DecodeScheduler(fields, c) }); err != nil {
		c.conn.Close(true, list.AppendBye(nil, err.Error()))
	}
}

// OnClose meets the end of the connection.
func (c *watcher) OnClose(error) {
	c.mu.Lock()
	c.over = true
	c.mu.Unlock()
}

// tell sends what changed since the last answer; an answer to a call is sent even if nothing did. While the list
// is away calls fail and watches break.
func (c *watcher) tell(called bool) bool {
	l := c.l
	l.mu.Lock()
	away, v := l.Away, l.late()
	l.mu.Unlock()
	if away {
		if !called {
			return false
		}
		l.w.Trace.Add(audit.Record{At: l.w.Now(), Kind: audit.Heard, Sched: c.sched, Word: "failed"})
		c.conn.Send(func(b []byte) []byte { return list.AppendFailed(b, "out of reach") })
		return true
	}
	if c.told != nil && v.version <= c.told.version && !called {
		return true
	}
	kind, old := list.KindFull, map[uint32]entry{}
	if c.told != nil {
		kind, old = list.KindChanges, c.told.entries
		if v.version < c.told.version {
			v = *c.told
		}
	}
	b, told := list.AppendBegin(nil, kind, v.version), []audit.Record(nil)
	put := func(id uint32, en entry) {
		if en.avail == 0 && kind == list.KindFull {
			told = append(told, audit.Record{Kind: audit.Told, Sched: c.sched, Node: id, Word: "gone"}) // by its absence
			return
		}
		b = list.AppendEntry(b, id, en.address, en.avail, en.started, en.cores, en.memory, en.zone, en.cell, en.kind)
		told = append(told, audit.Record{Kind: audit.Told, Sched: c.sched, Node: id, Word: list.AvailabilityNames[en.avail]})
	}
	for _, id := range slices.Sorted(maps.Keys(v.entries)) {
		if was, ok := old[id]; !ok || was != v.entries[id] {
			put(id, v.entries[id])
		}
	}
	b = list.AppendEnd(b)
	c.conn.Send(func(q []byte) []byte { return append(q, b...) })
	now := l.w.Now()
	for _, r := range append(told, audit.Record{Kind: audit.Heard, Sched: c.sched}) {
		r.At = now
		l.w.Trace.Add(r)
	}
	c.told = &v
	return true
}

func (c *watcher) call(watches, fresh bool) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if fresh {
		c.told = nil
	}
	if c.tell(true) {
		c.watches = c.watches || watches
	}
	return nil
}

// OnWatch answers with all that changed; a version that this connection was not told begins anew.
func (c *watcher) OnWatch(since uint64) error {
	return c.call(true, c.told == nil || c.told.version != since)
}
func (c *watcher) OnFullRequest() error { return c.call(false, true) }
func (c *watcher) OnUnwatch() error {
	c.mu.Lock()
	c.watches = false
	c.mu.Unlock()
	return nil
}

// OnMaintenance and Back are a scheduler's word of its maintenance windows.
func (c *watcher) OnMaintenance(id uint32, lasts float64) error {
	c.l.Set(func(l *List) {
		if l.marks[id] == nil {
			l.marks[id] = map[string]float64{}
		}
		l.marks[id][c.sched] = l.w.Now() + lasts
	})
	return nil
}

func (c *watcher) OnMaintenanceEnd(id uint32) error {
	c.l.Set(func(l *List) { delete(l.marks[id], c.sched) })
	return nil
}

func (c *watcher) OnBye(why string) error { return fmt.Errorf("farewell: %s", why) }
