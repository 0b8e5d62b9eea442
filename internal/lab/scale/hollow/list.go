package hollow

import (
	"errors"
	"fmt"
	"sync"

	"ravenpond/internal/env"
	"ravenpond/internal/proto/line"
	"ravenpond/internal/proto/list"
)

// Entry is a node as the list tells it.
type Entry struct {
	ID            uint32
	Address, Zone string
	Availability  int // a place in list.Availabilities
	StartedAt     float64
	Cores, Memory float64 // that are free
}

// Places in list.Availabilities.
const (
	Gone = iota
	Ready
)

// List is the node list of a run: it tells all entries to who watches it, and each change at once.
type List struct {
	listener env.Listener

	mu          sync.Mutex
	entries     []Entry
	version     uint64
	changed     map[uint64][]int // places of the entries that a version changed
	subscribers map[*subscriber]bool
}

// listWriteTimeoutMs ends a connection that takes nothing for so long.
const listWriteTimeoutMs = 10_000

// StartList tells entries on loopback.
func StartList(w env.Environment, entries []Entry) (*List, error) {
	l := &List{entries: entries, version: 1, changed: map[uint64][]int{}, subscribers: map[*subscriber]bool{}}
	var err error
	l.listener, err = w.Listen("127.0.0.1:0", func(conn env.Conn) { conn.Start(&subscriber{list: l, conn: conn}, listWriteTimeoutMs) })
	if err != nil {
		return nil, fmt.Errorf("list: %w", err)
	}
	return l, nil
}

// Address is where the list listens.
func (l *List) Address() string { return l.listener.Address() }

// Change alters the entries from one place to another and tells all watchers.
func (l *List) Change(first, last int, alter func(*Entry)) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.version++
	for i := first; i < last; i++ {
		alter(&l.entries[i])
		l.changed[l.version] = append(l.changed[l.version], i)
	}
	for w := range l.subscribers {
		w.sendChanges(w.sentVersion)
	}
}

// subscriber is a scheduler's connection. Its fields beside the splitter are under the list's lock.
type subscriber struct {
	list        *List
	conn        env.Conn
	in          line.Splitter
	greeted     bool
	sentVersion uint64 // the version that was told last
}

// OnData takes what a scheduler sends.
func (w *subscriber) OnData(b []byte) {
	if !w.greeted {
		head, after, err := w.in.Greeting(b, list.GreetingLine)
		if err != nil {
			w.conn.Close(false, list.AppendBye(nil, err.Error()))
		}
		if err != nil || head == nil {
			return
		}
		w.greeted, b = true, after
		w.conn.Send(func(b []byte) []byte { return line.AppendGreeting(b, list.GreetingLine) })
	}
	if err := w.in.Feed(b, func(fields [][]byte) error { return list.DecodeScheduler(fields, w) }); err != nil {
		w.conn.Close(true, list.AppendBye(nil, err.Error()))
	}
}

// OnClose meets the end of the connection.
func (w *subscriber) OnClose(error) {
	w.list.mu.Lock()
	delete(w.list.subscribers, w)
	w.list.mu.Unlock()
}

// sendAll tells all entries that are not gone; under the list's lock.
func (w *subscriber) sendAll() {
	l := w.list
	w.sentVersion = l.version
	w.conn.Send(func(b []byte) []byte {
		b = list.AppendBegin(b, list.KindFull, l.version)
		for i := range l.entries {
			if l.entries[i].Availability != Gone {
				b = l.entries[i].append(b)
			}
		}
		return list.AppendEnd(b)
	})
}

// sendChanges tells what changed since a version; under the list's lock.
func (w *subscriber) sendChanges(since uint64) {
	l := w.list
	w.sentVersion = l.version
	w.conn.Send(func(b []byte) []byte {
		b = list.AppendBegin(b, list.KindChanges, l.version)
		for version := since + 1; version <= l.version; version++ {
			for _, i := range l.changed[version] {
				b = l.entries[i].append(b)
			}
		}
		return list.AppendEnd(b)
	})
}

func (e *Entry) append(b []byte) []byte {
	return list.AppendEntry(b, list.Entry{ID: e.ID, Address: e.Address, Availability: e.Availability, StartedAt: e.StartedAt, FreeCores: e.Cores, FreeMemory: e.Memory, Zone: e.Zone, Cell: e.Zone, Kind: "plain"})
}

// OnFullRequest tells all.
func (w *subscriber) OnFullRequest() error {
	w.list.mu.Lock()
	defer w.list.mu.Unlock()
	w.sendAll()
	return nil
}

// OnWatch tells what changed since a version, or all where that is not known, and from then on each change.
func (w *subscriber) OnWatch(since uint64) error {
	l := w.list
	l.mu.Lock()
	defer l.mu.Unlock()
	l.subscribers[w] = true
	if since == 0 || since > l.version {
		w.sendAll()
	} else {
		w.sendChanges(since)
	}
	return nil
}

// OnUnwatch ends the watch.
func (w *subscriber) OnUnwatch() error {
	w.list.mu.Lock()
	defer w.list.mu.Unlock()
	delete(w.list.subscribers, w)
	return nil
}

// OnMaintenance tells of a maintenance window, of which a run has none.
func (w *subscriber) OnMaintenance(uint32, float64) error { return nil }

// OnMaintenanceEnd tells of the end of one.
func (w *subscriber) OnMaintenanceEnd(uint32) error { return nil }

var errFarewell = errors.New("farewell")

// OnBye ends the connection.
func (w *subscriber) OnBye(why string) error { return fmt.Errorf("%w: %s", errFarewell, why) }
