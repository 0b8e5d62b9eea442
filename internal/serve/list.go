package serve

import (
	"errors"
	"fmt"
	"slices"
	"sync"

	"ravenpond/internal/decide/reconnect"
	"ravenpond/internal/outside"
	"ravenpond/internal/proto/line"
	"ravenpond/internal/proto/list"
	"ravenpond/internal/state"
	"ravenpond/logic"
)

// call is something asked of the node list.
type call uint8

const (
	watchCall call = iota
	unwatchCall
	wholeCall
	markCall // which nodes are out; nothing is answered
)

// Times of the node list in ms.
const (
	listDial   = 1000
	listAnswer = 3000 // a call unanswered for so long has failed
	listStuck  = 3000
	maxCalls   = 8 // that wait for a connection
)

// lister makes calls to the node list, one connection at a time. Where the list tells unasked, it keeps a watch of its
// own.
type lister struct {
	s    *Server
	told bool

	mu      sync.Mutex
	pace    *reconnect.Pacer
	waits   []call
	conn    outside.Conn // nil while there is none
	dialing bool
	greeted bool
	asked   bool // something that is answered was sent on this connection
	began   float64
	in      line.Splitter
	answer  outside.Timer // runs while an answer is owed
	over    bool

	open    bool // an answer is being told
	kind    int
	version uint64
	entries []state.Entry
}

func newLister(s *Server) *lister {
	return &lister{s: s, told: !s.who.Site.Cluster.PollsList, pace: reconnect.New(s.who.Seed + 1)}
}

// begin begins the watch where the list tells unasked.
func (l *lister) begin() {
	if !l.told {
		return
	}
	l.mu.Lock()
	l.pace.Keep(l.s.w.Now(), 0, true)
	l.mu.Unlock()
	l.due()
}

// call makes a call. Where too many wait an earlier one is still under way, and this one has failed, as far as the
// module is concerned.
func (l *lister) call(c call) {
	l.mu.Lock()
	full := len(l.waits) >= maxCalls
	if !full {
		l.waits = append(l.waits, c)
	}
	l.mu.Unlock()
	if !full {
		l.s.soon(l.flow)
	} else if c != markCall {
		l.s.soon(l.s.listFailed)
	}
}

// due dials when the pace allows it, for the watch.
func (l *lister) due() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.over || l.dialing || l.conn != nil {
		return
	}
	now := l.s.w.Now()
	if _, ok := l.pace.Next(now); ok {
		l.waits = append([]call{watchCall}, l.waits...)
		l.dial()
		return
	}
	if at := l.pace.Due(); at < now+3600e3 {
		l.s.w.After(max(1, at-now), l.due)
	}
}

// flow sends what waits, over a new connection if there is none.
func (l *lister) flow() {
	l.mu.Lock()
	defer l.mu.Unlock()
	switch {
	case l.over:
	case l.greeted:
		l.send()
	case l.dialing || l.conn != nil:
	default:
		l.waits = slices.DeleteFunc(l.waits, func(c call) bool {
			if c == markCall && l.told { // a connection begins with a watch; the marks follow at the next look
				l.s.unmark()
				return true
			}
			return c == unwatchCall // there is no connection, hence no watch
		})
		if len(l.waits) == 0 {
			return
		}
		if l.told && !slices.Contains(l.waits, watchCall) {
			l.waits = append([]call{watchCall}, l.waits...)
		}
		l.dial()
	}
}

// dial connects; under the lock.
func (l *lister) dial() {
	l.dialing, l.began = true, l.s.w.Now()
	l.asked = slices.ContainsFunc(l.waits, func(c call) bool { return c != markCall })
	l.s.w.Dial(l.s.who.Site.ListAddress, listDial, func(conn outside.Conn, err error) {
		l.mu.Lock()
		l.dialing = false
		if err == nil && l.over {
			conn.Close(false, nil)
		}
		if err != nil || l.over {
			l.mu.Unlock()
			l.lost(fmt.Errorf("no connection: %w", err))
			return
		}
		l.conn, l.in, l.greeted, l.open = conn, line.Splitter{}, false, false
		l.owe()
		l.mu.Unlock()
		conn.Start(l, listStuck)
		conn.Send(func(b []byte) []byte { return line.AppendGreeting(b, list.GreetingLine, "Scheduler", l.s.who.Name) })
	})
}

// owe begins the time for an answer, settled ends it; under the lock.
func (l *lister) owe() {
	l.settled()
	conn := l.conn
	l.answer = l.s.w.After(listAnswer, func() { conn.Close(false, nil) })
}

func (l *lister) settled() {
	if l.answer != nil {
		l.answer.Stop()
		l.answer = nil
	}
}

// send sends the calls that wait; under the lock.
func (l *lister) send() {
	for _, c := range l.waits {
		l.asked = l.asked || c != markCall
		if c == watchCall || c == wholeCall { // these are answered, or have failed
			l.owe()
		}
		l.conn.Send(func(b []byte) []byte {
			switch c {
			case watchCall:
				l.s.mu.Lock()
				defer l.s.mu.Unlock()
				return list.AppendWatch(b, l.s.list.Version)
			case wholeCall:
				return list.AppendFullRequest(b)
			case unwatchCall:
				return list.AppendUnwatch(b)
			default:
				return l.s.marks(b)
			}
		})
	}
	l.waits = l.waits[:0]
}

// OnData takes what the list sends.
func (l *lister) OnData(b []byte) {
	l.mu.Lock()
	if !l.greeted {
		head, after, err := l.in.Greeting(b, list.GreetingLine)
		if err != nil {
			l.conn.Close(false, nil)
		}
		if err != nil || head == nil {
			l.mu.Unlock()
			return
		}
		l.greeted, b = true, after
		l.settled()
		l.send()
	}
	conn := l.conn
	l.mu.Unlock()
	if err := l.in.Feed(b, func(fields [][]byte) error { return list.DecodeList(fields, l) }); err != nil {
		conn.Close(false, list.AppendBye(nil, err.Error()))
	}
}

// OnClose meets the end of the connection.
func (l *lister) OnClose(err error) {
	l.mu.Lock()
	l.settled()
	l.conn, l.greeted = nil, false
	l.mu.Unlock()
	l.lost(err)
}

// lost tells that calls have failed, and plans the next connection.
func (l *lister) lost(err error) {
	l.mu.Lock()
	over, asked, now := l.over, l.asked, l.s.w.Now()
	l.waits = l.waits[:0]
	if l.told && now-l.began > 2*listAnswer {
		l.pace.Linked(now, 0)
		l.pace.Broken(now, 0)
	} else if l.told {
		l.pace.Failed(now, 0)
	}
	l.mu.Unlock()
	if over {
		return
	}
	l.s.log.Debug().Str("why", fmt.Sprint(err)).Msg("node list connection ended")
	if asked { // else nothing but marks was sent: no call has failed
		l.s.listFailed()
	}
	if l.told {
		l.due()
	}
}

func (l *lister) close() {
	l.mu.Lock()
	l.over = true
	conn := l.conn
	l.settled()
	l.mu.Unlock()
	if conn != nil {
		conn.Close(false, list.AppendBye(nil, "scheduler ends"))
	}
}

// An answer of the list is gathered until its end, and told as one.

const maxEntries = 1 << 20

var errOrder = errors.New("list answer out of order")

// OnBegin opens an answer.
func (l *lister) OnBegin(kind int, version uint64) error {
	if l.open {
		return errOrder
	}
	l.open, l.kind, l.version, l.entries = true, kind, version, l.entries[:0]
	return nil
}

// OnEntry is one node of it.
func (l *lister) OnEntry(id uint32, address string, avail int, startedAt, cores, memory float64,
	zone, cell, kind string,
) error {
	if !l.open || len(l.entries) >= maxEntries {
		return errOrder
	}
	l.entries = append(l.entries, state.Entry{
		ID: id, Address: address, Avail: avail, StartedAt: startedAt,
		FreeCores: cores, FreeMemory: memory, Zone: zone, Cell: cell, Kind: kind,
	})
	return nil
}

// OnEnd closes it; only now it counts.
func (l *lister) OnEnd() error {
	if !l.open {
		return errOrder
	}
	l.open = false
	l.mu.Lock()
	l.settled()
	l.mu.Unlock()
	s := l.s
	s.mu.Lock()
	if err := s.list.Begin(l.kind, l.version); err != nil {
		s.mu.Unlock()
		return err
	}
	for _, en := range l.entries {
		s.list.Put(en)
	}
	s.list.End()
	s.noteFleet(l.entries)
	entries := s.indexed(l.entries)
	s.mu.Unlock()
	s.tellOthers(l.version, l.entries)
	kind := logic.ListFull
	if l.kind == list.KindChanges {
		kind = logic.ListChanges
	}
	s.toAll(kind, entries)
	return nil
}

// OnFailed tells that a call has failed.
func (l *lister) OnFailed(string) error {
	l.mu.Lock()
	l.settled()
	l.mu.Unlock()
	l.s.listFailed()
	return nil
}

// OnBye is the list's farewell.
func (l *lister) OnBye(why string) error { return fmt.Errorf("%w: %s", errBye, why) }

func (s *Server) listFailed() { s.toAll(logic.ListFailed, nil) }

// toAll tells news of the list to every shard: whichever asked, all may know.
func (s *Server) toAll(kind logic.ListKind, entries []listEntry) {
	if s.set != nil && kind != logic.ListFailed {
		s.set.onList(kind, entries)
		return
	}
	for _, sh := range s.allShards() {
		sh.hearList(kind, entries)
	}
}

// lastListTo tells a new shard what is known of the list, even if that is nothing.
func (s *Server) lastListTo(sh *shard) {
	if s.set != nil {
		s.set.tellNew(sh)
	} else {
		s.mu.Lock()
		entries := s.indexed(s.list.Entries())
		s.mu.Unlock()
		sh.hearList(logic.ListCached, entries)
	}
	s.desk.Lock()
	var out []uint32
	for id := range s.out {
		out = append(out, id)
	}
	s.desk.Unlock()
	slices.Sort(out)
	sh.tell(func(now float64) { sh.eng.SetMaintenance(now, out, true) })
	s.warn(sh)
	s.zones.tell(sh)
}

// indexed gives entries their places as small indices; under the lock. Those whose zone or kind the site file lacks
// are left out: nothing can be decided about them.
func (s *Server) indexed(entries []state.Entry) []listEntry {
	all := make([]listEntry, 0, len(entries))
	skipped := 0
	for _, en := range entries {
		if s.who.Faults.ListEntry != nil {
			s.who.Faults.ListEntry(&en)
		}
		zone, kind := slices.Index(s.who.Site.Zones, en.Zone), slices.Index(s.who.Site.MachineKinds, en.Kind)
		if en.Avail != 0 && (zone < 0 || kind < 0) {
			skipped++
			continue
		}
		cell, ok := s.cells[en.Cell]
		if !ok {
			cell = len(s.cells)
			s.cells[en.Cell] = cell
		}
		all = append(all, listEntry{en, max(0, zone), cell, max(0, kind)})
	}
	if skipped > 0 {
		s.log.Warn().Str("mode", "list").Int("skipped", skipped).Msg("entries of unknown zone or kind left out")
	}
	return all
}
