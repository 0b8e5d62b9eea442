package platformsim

import (
	"fmt"
	"strings"

	"ravenpond/internal/audit"
	"ravenpond/internal/env"
)

// Times of the journal service, in ms.
const (
	positionInterval    = 1000 // between two position messages
	journalWriteTimeout = 5000
	noticeLimit         = 4000 // after the service fell silent, by which its scheduler counts as notified
)

// repeatedEvents is the number of events of which, on average, one names its node twice.
const repeatedEvents = 8

// listChange is a change to one node in the node list.
type listChange struct {
	name, address, zone, status string
	cell                        int
	since                       float64 // Unix ms at which the node started, 0 if long ago
}

// journal is the journal service of one scheduler. Its events are numbered from the start of the scheduler's incarnation.
type journal struct {
	sim         *simulation
	process     host
	address     string
	events      []string
	subscribers []*subscriber
	silentUntil float64 // true time in ms
	silentSince float64 // true time in ms
	closed      bool
}

// newJournal starts a journal service with one event: the current node list, with the nodes that are draining or gone.
func newJournal(sm *simulation, address string) *journal {
	j := &journal{sim: sm, address: address}
	var current []listChange
	index := map[string]int{}
	for _, c := range sm.listChanges {
		if i, ok := index[c.name]; ok {
			current[i] = c
			continue
		}
		index[c.name] = len(current)
		current = append(current, c)
	}
	j.add(true, current...)
	j.open()
	return j
}

// open starts the service at its address, with position messages at regular intervals.
func (j *journal) open() {
	j.process = j.sim.clock.NewHost(j.address)
	if _, err := j.process.Listen(j.address, func(c env.Conn) {
		sub := &subscriber{journal: j, conn: c}
		j.subscribers = append(j.subscribers, sub)
		c.Start(sub, journalWriteTimeout)
	}); err != nil {
		j.sim.fail(err.Error())
	}
	env.Every(j.process, positionInterval, func() bool { j.send(fmt.Sprintf(`{"pos":%d}`, len(j.events))); return !j.closed })
}

// moveTo starts a service with the same events at another address.
func (j *journal) moveTo(address string) *journal {
	moved := &journal{sim: j.sim, address: address, events: j.events}
	moved.open()
	return moved
}

// silence makes the service send nothing for ms milliseconds.
func (j *journal) silence(ms float64) {
	j.silentSince = j.sim.clock.TrueTime()
	j.silentUntil = max(j.silentUntil, j.silentSince+ms)
}

// isSilentSince reports whether the service fell silent so early that its scheduler may not have been notified of an event at a true time in ms.
func (j *journal) isSilentSince(event float64) bool {
	return j.silentUntil > 0 && event < j.silentUntil && j.sim.clock.TrueTime() < j.silentUntil+silenceRecovery
}

func (j *journal) close() { j.closed = true; j.process.Kill(false) }

// snapshot encodes all events as a scheduler's initial events.
func (j *journal) snapshot() []byte {
	return fmt.Appendf(nil, `{"pos":%d,"entries":[%s]}`, len(j.events), strings.Join(j.events, ","))
}

// add appends an event to the journal and sends it. The changes are the whole node list if full is set.
func (j *journal) add(full bool, changes ...listChange) {
	var entries []string
	for _, c := range changes {
		entries = append(entries, fmt.Sprintf(
			`{"name":%q,"address":%q,"zone":%q,"type":"std","group":%d,"status":%q,"since_ms":%.0f,"room":[12,24]}`, c.name, c.address, c.zone, c.cell,
			c.status, c.since))
	}
	event := fmt.Sprintf(`{"pos":%d,"hosts":{"index":%d,"snapshot":%v,"endpoints":[%s]}}`, len(j.events)+1, len(j.events)+1, full,
		strings.Join(entries, ","))
	j.events = append(j.events, event)
	j.send(event)
}

// send sends a line to all subscribers, unless the service is silent.
func (j *journal) send(line string) {
	for _, sub := range j.subscribers {
		if !sub.closed && j.sim.clock.TrueTime() >= j.silentUntil {
			sub.send(line)
		}
	}
}

// subscriber is a scheduler's connection. It implements env.ConnHandler.
type subscriber struct {
	journal *journal
	conn    env.Conn
	closed  bool
}

func (s *subscriber) send(line string) {
	s.conn.Send(func(b []byte) []byte { return append(append(b, line...), '\n') })
}

// OnData handles the request for a subscription, and sends all events from the requested position on.
func (s *subscriber) OnData(b []byte) {
	var from int
	if n, _ := fmt.Sscanf(string(b), "tail %d", &from); n != 1 || s.journal.sim.clock.TrueTime() < s.journal.silentUntil {
		return
	}
	for i := from; i < len(s.journal.events); i++ {
		s.send(s.journal.events[i])
	}
}

// OnClose ends the subscription.
func (s *subscriber) OnClose(error) { s.closed = true }

// announce makes all journal services send a node's status. A scheduler counts as notified at once unless its journal service is silent.
func (sm *simulation) announce(n *node) {
	change := listChange{n.name, n.address, n.zone, n.status, n.cell, n.startedAt}
	sm.listChanges = append(sm.listChanges, change)
	n.announcements++
	n.announcedAt = sm.clock.TrueTime()
	changes := []listChange{change}
	if sm.rng.IntN(repeatedEvents) == 0 {
		changes = append(changes, change)
	}
	for _, s := range sm.schedulers {
		s.journal.add(false, changes...)
		sm.recordNotice(s, n)
	}
}

// recordNotice records when a scheduler counts as notified of a node's status, unless a later status is announced by then.
func (sm *simulation) recordNotice(s *scheduler, n *node) {
	if n.status == statusReady { // a scheduler may use a node that is ready at once
		sm.record(audit.Record{Kind: audit.EndpointDelivered, Scheduler: s.name, Node: n.id, Detail: n.status})
		return
	}
	at := sm.clock.TrueTime()
	if at < s.journal.silentUntil {
		at = max(at, s.journal.silentSince+noticeLimit)
	}
	incarnation, status, announcement := s.incarnation, n.status, n.announcements
	sm.clock.At(at, func() {
		if s.incarnation == incarnation && n.announcements == announcement {
			sm.record(audit.Record{Kind: audit.EndpointDelivered, Scheduler: s.name, Node: n.id, Detail: status})
		}
	})
}
