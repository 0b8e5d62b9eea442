package standin

import (
	"cmp"
	"fmt"
	"math"
	"sync"

	"ravenpond/internal/audit"
	"ravenpond/internal/env"
	"ravenpond/internal/proto/list"
)

// Indices into list.AvailabilityNames.
const (
	availabilityGone = iota
	availabilityReady
	availabilityDraining
)

const (
	pollInterval     = 100  // ms between health checks of all nodes
	reportInterval   = 1000 // minimum ms between updates of an entry for a change of free cores alone
	minCoresChange   = 0.5  // minimum change in free cores that updates an entry
	maxSnapshots     = 600  // number of snapshots that are kept, for one minute of polls
	listWriteTimeout = 2000 // ms
)

// List is the node list. It checks its nodes ten times a second and serves its observations with a delay.
type List struct {
	testbed  *Testbed
	listener env.Listener

	mu          sync.Mutex // guards the fields below
	nodes       []*Node
	unreachable map[uint32]entry              // listed addresses at which no process listens
	history     []snapshot                    // in order of time
	maintenance map[uint32]map[string]float64 // by node and scheduler: time in ms until which the scheduler holds the node in maintenance
	version     uint64
	newest      snapshot // the newest snapshot that was served: served versions never decrease

	ListFaults
}

// ListFaults are the faults injected into a node list. The zero value injects none. List.Update changes them.
type ListFaults struct {
	Delay       float64 // ms by which everything that the list serves is delayed
	ExtraDelay  float64 // additional delay in ms
	Unavailable bool    // calls fail and watches end
}

// entry is the list's entry of a node.
type entry struct {
	address          string
	availability     int
	startedAt        float64 // ms of the wall clock
	cores, memory    float64 // free capacity, memory in GiB
	zone, cell, kind string
	observedAt       float64 // when the list observed the node, ms
}

// snapshot is what the list observed at a time. Each snapshot in which an entry changed has a new version.
type snapshot struct {
	at      float64 // ms
	version uint64
	entries map[uint32]entry
}

// StartList starts a list at an address or, if that is empty, on a free loopback port. The list serves its observations with a delay in ms.
func (tb *Testbed) StartList(delay float64, nodes []*Node, address string) (*List, error) {
	if address == "" {
		address = anyLoopbackPort
	}
	l := &List{
		testbed: tb, nodes: nodes, ListFaults: ListFaults{Delay: delay}, unreachable: map[uint32]entry{},
		maintenance: map[uint32]map[string]float64{},
	}
	l.poll()
	l.history[0].at = math.Inf(-1) // the first snapshot is served without a delay
	var err error
	if l.listener, err = tb.Listen(address, l.accept); err != nil {
		return nil, fmt.Errorf("list: %w", err)
	}
	env.Every(tb, pollInterval, func() bool { l.poll(); return true })
	return l, nil
}

// Address returns the list's address.
func (l *List) Address() string { return l.listener.Address() }

// Add adds a node to the list.
func (l *List) Add(n *Node) {
	l.mu.Lock()
	l.nodes = append(l.nodes, n)
	l.mu.Unlock()
}

// AddUnreachable adds a node at whose address no process listens.
func (l *List) AddUnreachable(id uint32, address, zone, cell, kind string) {
	l.mu.Lock()
	l.unreachable[id] = entry{address: address, availability: availabilityReady, zone: zone, cell: cell, kind: kind}
	l.mu.Unlock()
	l.poll()
}

// Update calls f under the list's lock, so that f may change the list's faults.
func (l *List) Update(f func(l *List)) {
	l.mu.Lock()
	f(l)
	l.mu.Unlock()
}

// poll checks all nodes and adds a snapshot if an entry has changed.
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
			observed := l.observe(n, now)
			old, known := last[n.ID]
			if known && !observed.differs(&old, now) {
				next[n.ID] = old
				continue
			}
			next[n.ID], changed = observed, true
			if !known || old.availability != observed.availability {
				l.testbed.Trace.Add(audit.Record{At: now, Kind: audit.EndpointChanged, Node: n.ID, Detail: list.AvailabilityNames[observed.availability]})
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
	if len(l.history) > maxSnapshots {
		l.history = l.history[len(l.history)-maxSnapshots:]
	}
}

// observe returns the current entry of a node. The caller holds the locks of the list and of the testbed.
func (l *List) observe(n *Node, now float64) entry {
	en := entry{
		address: cmp.Or(n.ListedAddress, n.address), availability: availabilityReady, startedAt: n.StartedAt, zone: n.Zone, cell: n.Cell,
		kind: n.Kind, observedAt: now,
	}
	if n.Gone {
		en.availability = availabilityGone
	} else if n.Draining || l.inMaintenance(n.ID, now) {
		en.availability = availabilityDraining
	}
	en.cores, en.memory = n.Machine.FreeCapacity()
	return en
}

// differs reports whether an entry has changed enough to replace an old one.
func (e *entry) differs(old *entry, now float64) bool {
	return old.availability != e.availability || old.startedAt != e.startedAt ||
		now-old.observedAt >= reportInterval && math.Abs(e.cores-old.cores) >= minCoresChange
}

// inMaintenance reports whether any scheduler holds a node in maintenance. The caller holds the list's lock.
func (l *List) inMaintenance(id uint32, now float64) bool {
	for _, until := range l.maintenance[id] {
		if now < until {
			return true
		}
	}
	return false
}

// visible returns the snapshot that the list serves at present. The caller holds the list's lock.
func (l *List) visible() snapshot {
	at := l.testbed.Now() - l.Delay - l.ExtraDelay
	visible := l.history[0]
	for _, s := range l.history {
		if s.at <= at {
			visible = s
		}
	}
	if visible.version > l.newest.version || l.newest.entries == nil {
		l.newest = visible
	}
	return l.newest
}
