package standin

import (
	"fmt"
	"maps"
	"slices"
	"sync"

	"ravenpond/internal/audit"
	"ravenpond/internal/env"
	"ravenpond/internal/proto/line"
	"ravenpond/internal/proto/list"
)

// listConn is a scheduler's connection to the list. It implements env.ConnHandler and list.SchedulerHandler. The connection calls it from one
// goroutine, and the environment's timer from another.
type listConn struct {
	list      *List
	scheduler string // name of the scheduler, empty until the greeting is complete
	conn      env.Conn
	splitter  line.Splitter

	mu       sync.Mutex
	closed   bool      // guarded by mu
	sent     *snapshot // guarded by mu; nil if nothing was sent
	watching bool      // guarded by mu
}

func (l *List) accept(conn env.Conn) { conn.Start(&listConn{list: l, conn: conn}, listWriteTimeout) }

// OnData parses data from the scheduler.
func (c *listConn) OnData(b []byte) {
	if c.scheduler == "" {
		header, rest, err := c.splitter.Greeting(b, list.GreetingLine)
		if err != nil {
			c.conn.Close(false, list.AppendBye(nil, err.Error()))
			return
		}
		if header == nil {
			return
		}
		c.scheduler, b = header.Get("Scheduler"), rest
		c.conn.Send(func(b []byte) []byte { return line.AppendGreeting(b, list.GreetingLine) })
		env.Every(c.list.testbed, pollInterval, c.push)
	}
	if err := c.splitter.Feed(b, func(fields [][]byte) error { return list.DecodeScheduler(fields, c) }); err != nil {
		c.conn.Close(true, list.AppendBye(nil, err.Error()))
	}
}

// OnClose ends the watch of the scheduler.
func (c *listConn) OnClose(error) {
	c.mu.Lock()
	c.closed = true
	c.mu.Unlock()
}

// push sends changes to a scheduler that watches the list. It returns false once the connection has ended.
func (c *listConn) push() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.watching && !c.closed && !c.sendChanges(false) {
		c.conn.Close(false, nil)
		return false
	}
	return !c.closed
}

// sendChanges sends the changes since the last answer. It answers a call even if nothing has changed. While the list is unavailable, it
// answers a call with a failure; for a watch it returns false, and the caller has to end the connection. The caller holds c.mu.
func (c *listConn) sendChanges(called bool) bool {
	l := c.list
	l.mu.Lock()
	unavailable, current := l.Unavailable, l.visible()
	l.mu.Unlock()
	if unavailable {
		if !called {
			return false
		}
		l.testbed.Trace.Add(audit.Record{At: l.testbed.Now(), Kind: audit.ListDelivered, Scheduler: c.scheduler, Detail: "failed"})
		c.conn.Send(func(b []byte) []byte { return list.AppendFailed(b, "out of reach") })
		return true
	}
	if c.sent != nil && current.version <= c.sent.version && !called {
		return true
	}
	kind, old := list.KindFull, map[uint32]entry{}
	if c.sent != nil {
		kind, old = list.KindChanges, c.sent.entries
		if current.version < c.sent.version {
			current = *c.sent
		}
	}
	b, records := c.appendAnswer(kind, &current, old)
	c.conn.Send(func(queue []byte) []byte { return append(queue, b...) })
	now := l.testbed.Now()
	for _, r := range append(records, audit.Record{Kind: audit.ListDelivered, Scheduler: c.scheduler}) {
		r.At = now
		l.testbed.Trace.Add(r)
	}
	c.sent = &current
	return true
}

// appendAnswer returns an answer with the entries that differ from the old ones, and a record of each.
func (c *listConn) appendAnswer(kind int, current *snapshot, old map[uint32]entry) ([]byte, []audit.Record) {
	b, records := list.AppendBegin(nil, kind, current.version), []audit.Record(nil)
	for _, id := range slices.Sorted(maps.Keys(current.entries)) {
		en := current.entries[id]
		if before, ok := old[id]; ok && before == en {
			continue
		}
		records = append(records, audit.Record{
			Kind: audit.EndpointDelivered, Scheduler: c.scheduler, Node: id,
			Detail: list.AvailabilityNames[en.availability],
		})
		if en.availability == availabilityGone && kind == list.KindFull {
			continue // a full list omits nodes that are gone
		}
		b = list.AppendEntry(b, list.Entry{ID: id, Address: en.address, Availability: en.availability, StartedAt: en.startedAt, FreeCores: en.cores, FreeMemory: en.memory, Zone: en.zone, Cell: en.cell, Kind: en.kind})
	}
	return list.AppendEnd(b), records
}

// answer answers a call, with all entries if full is set.
func (c *listConn) answer(watch, full bool) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if full {
		c.sent = nil
	}
	if c.sendChanges(true) {
		c.watching = c.watching || watch
	}
	return nil
}

// OnWatch implements list.SchedulerHandler. It answers with all changes since a version, or with all entries if the last version sent on this
// connection is another.
func (c *listConn) OnWatch(since uint64) error {
	return c.answer(true, c.sent == nil || c.sent.version != since)
}

// OnFullRequest implements list.SchedulerHandler.
func (c *listConn) OnFullRequest() error { return c.answer(false, true) }

// OnUnwatch implements list.SchedulerHandler.
func (c *listConn) OnUnwatch() error {
	c.mu.Lock()
	c.watching = false
	c.mu.Unlock()
	return nil
}

// OnMaintenance implements list.SchedulerHandler: the scheduler puts a node into maintenance for a duration in ms.
func (c *listConn) OnMaintenance(id uint32, duration float64) error {
	c.list.Update(func(l *List) {
		if l.maintenance[id] == nil {
			l.maintenance[id] = map[string]float64{}
		}
		l.maintenance[id][c.scheduler] = l.testbed.Now() + duration
	})
	return nil
}

// OnMaintenanceEnd implements list.SchedulerHandler: the scheduler's maintenance of a node is over.
func (c *listConn) OnMaintenanceEnd(id uint32) error {
	c.list.Update(func(l *List) { delete(l.maintenance[id], c.scheduler) })
	return nil
}

// OnBye implements list.SchedulerHandler: it ends the connection.
func (c *listConn) OnBye(reason string) error { return fmt.Errorf("farewell: %s", reason) }
