package hollow

import (
	"errors"
	"fmt"
	"sync"

	"ravenpond/internal/env"
	"ravenpond/internal/proto/line"
	"ravenpond/internal/proto/list"
)

// Entry is a node in the list.
type Entry struct {
	ID            uint32
	Address, Zone string
	Availability  int // index in list.Availabilities
	StartedAt     float64
	Cores, Memory float64 // free on the node
}

// Indices in list.Availabilities.
const (
	Gone = iota
	Ready
)

// List serves the node list of a run: it sends all entries to its subscribers, and then each change at once.
type List struct {
	listener env.Listener

	mu          sync.Mutex
	entries     []Entry
	version     uint64
	changed     map[uint64][]int // indices of the entries that changed, by version
	subscribers map[*subscriber]bool
}

// listWriteTimeoutMs is the time after which a connection that accepts no data is closed.
const listWriteTimeoutMs = 10_000

// StartList starts a list with the given entries on a loopback address.
func StartList(environment env.Environment, entries []Entry) (*List, error) {
	l := &List{entries: entries, version: 1, changed: map[uint64][]int{}, subscribers: map[*subscriber]bool{}}
	var err error
	l.listener, err = environment.Listen("127.0.0.1:0", func(conn env.Conn) { conn.Start(&subscriber{list: l, conn: conn}, listWriteTimeoutMs) })
	if err != nil {
		return nil, fmt.Errorf("start node list: %w", err)
	}
	return l, nil
}

// Address returns the address at which the list listens.
func (l *List) Address() string { return l.listener.Address() }

// Change applies a function to the entries with the indices first to last-1 and sends them to all subscribers.
func (l *List) Change(first, last int, update func(*Entry)) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.version++
	for i := first; i < last; i++ {
		update(&l.entries[i])
		l.changed[l.version] = append(l.changed[l.version], i)
	}
	for s := range l.subscribers {
		s.sendChanges(s.sentVersion)
	}
}

// subscriber is the connection of a scheduler. sentVersion is guarded by the list's lock; in and greeted are used by OnData alone.
type subscriber struct {
	list        *List
	conn        env.Conn
	in          line.Splitter
	greeted     bool   // whether the scheduler's greeting has arrived
	sentVersion uint64 // version of the list that was sent last
}

// OnData handles data from the scheduler.
func (s *subscriber) OnData(b []byte) {
	if !s.greeted {
		greeting, rest, err := s.in.Greeting(b, list.GreetingLine)
		if err != nil {
			s.conn.Close(false, list.AppendBye(nil, err.Error()))
		}
		if err != nil || greeting == nil {
			return
		}
		s.greeted, b = true, rest
		s.conn.Send(func(b []byte) []byte { return line.AppendGreeting(b, list.GreetingLine) })
	}
	if err := s.in.Feed(b, func(fields [][]byte) error { return list.DecodeScheduler(fields, s) }); err != nil {
		s.conn.Close(true, list.AppendBye(nil, err.Error()))
	}
}

// OnClose removes the subscriber when its connection ends.
func (s *subscriber) OnClose(error) {
	s.list.mu.Lock()
	delete(s.list.subscribers, s)
	s.list.mu.Unlock()
}

// sendAll sends all entries except those of nodes that are gone. The caller holds the list's lock.
func (s *subscriber) sendAll() {
	l := s.list
	s.sentVersion = l.version
	s.conn.Send(func(b []byte) []byte {
		b = list.AppendBegin(b, list.KindFull, l.version)
		for i := range l.entries {
			if l.entries[i].Availability != Gone {
				b = l.entries[i].append(b)
			}
		}
		return list.AppendEnd(b)
	})
}

// sendChanges sends the entries that changed since a version. The caller holds the list's lock.
func (s *subscriber) sendChanges(since uint64) {
	l := s.list
	s.sentVersion = l.version
	s.conn.Send(func(b []byte) []byte {
		b = list.AppendBegin(b, list.KindChanges, l.version)
		for version := since + 1; version <= l.version; version++ {
			for _, i := range l.changed[version] {
				b = l.entries[i].append(b)
			}
		}
		return list.AppendEnd(b)
	})
}

// append appends the entry to a message.
func (e *Entry) append(b []byte) []byte {
	return list.AppendEntry(b, list.Entry{ID: e.ID, Address: e.Address, Availability: e.Availability, StartedAt: e.StartedAt, FreeCores: e.Cores, FreeMemory: e.Memory, Zone: e.Zone, Cell: e.Zone, Kind: "plain"})
}

// OnFullRequest sends all entries.
func (s *subscriber) OnFullRequest() error {
	s.list.mu.Lock()
	defer s.list.mu.Unlock()
	s.sendAll()
	return nil
}

// OnWatch subscribes the scheduler to changes. It sends what changed since a version, or all entries if the version is 0 or unknown.
func (s *subscriber) OnWatch(since uint64) error {
	l := s.list
	l.mu.Lock()
	defer l.mu.Unlock()
	l.subscribers[s] = true
	if since == 0 || since > l.version {
		s.sendAll()
	} else {
		s.sendChanges(since)
	}
	return nil
}

// OnUnwatch ends the subscription.
func (s *subscriber) OnUnwatch() error {
	s.list.mu.Lock()
	defer s.list.mu.Unlock()
	delete(s.list.subscribers, s)
	return nil
}

// OnMaintenance ignores a maintenance window; a scale run has none.
func (s *subscriber) OnMaintenance(uint32, float64) error { return nil }

// OnMaintenanceEnd ignores the end of a maintenance window.
func (s *subscriber) OnMaintenanceEnd(uint32) error { return nil }

// errBye is the error with which a connection ends after the scheduler's farewell message. Peers get its text.
var errBye = errors.New("farewell")

// OnBye ends the connection after a farewell message.
func (s *subscriber) OnBye(reason string) error { return fmt.Errorf("%w: %s", errBye, reason) }
