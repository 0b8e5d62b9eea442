package serve

import (
	"errors"
	"fmt"
	"slices"
	"sync"

	"ravenpond/internal/decide/reconnect"
	"ravenpond/internal/env"
	"ravenpond/internal/proto/line"
	"ravenpond/internal/proto/list"
	"ravenpond/internal/state"
	"ravenpond/logic"
)

// listCall is something asked of the node list.
type listCall uint8

const (
	watchCall listCall = iota
	unwatchCall
	fullCall
	maintenanceCall // which nodes are out; nothing is answered
)

// Times of the node list in ms.
const (
	listDialTimeout   = 1000
	listAnswerTimeout = 3000 // a call unanswered for so long has failed
	listStuckTimeout  = 3000
	maxCalls          = 8 // that wait for a connection
)

// listClient makes calls to the node list, one connection at a time. Where the list tells unasked, it keeps a watch of its
// own.
type listClient struct {
	server  *Server
	watches bool

	mu          sync.Mutex
	pace        *reconnect.Pacer
	pending     []listCall
	conn        env.Conn // nil while there is none
	dialing     bool
	greeted     bool
	sentCall    bool // something that is answered was sent on this connection
	dialedAt    float64
	splitter    line.Splitter
	answerTimer env.Timer // runs while an answer is owed
	closed      bool

	inAnswer   bool // an answer is being told
	answerKind int
	version    uint64
	entries    []state.Entry
}

func newListClient(s *Server) *listClient {
	return &listClient{server: s, watches: !s.config.Site.Cluster.PollsList, pace: reconnect.New(s.config.Seed + 1)}
}

// start begins the watch where the list tells unasked.
func (l *listClient) start() {
	if !l.watches {
		return
	}
	l.mu.Lock()
	l.pace.SetEnabled(l.server.env.Now(), 0, true)
	l.mu.Unlock()
	l.dialWhenDue()
}

// call makes a call. Where too many wait an earlier one is still under way, and this one has failed, as far as the
// module is concerned.
func (l *listClient) call(call listCall) {
	l.mu.Lock()
	full := len(l.pending) >= maxCalls
	if !full {
		l.pending = append(l.pending, call)
	}
	l.mu.Unlock()
	if !full {
		l.server.async(l.flush)
	} else if call != maintenanceCall {
		l.server.async(l.server.onListFailed)
	}
}

// dialWhenDue dials when the pace allows it, for the watch.
func (l *listClient) dialWhenDue() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.closed || l.dialing || l.conn != nil {
		return
	}
	now := l.server.env.Now()
	if _, ok := l.pace.Next(now); ok {
		l.pending = append([]listCall{watchCall}, l.pending...)
		l.dial()
		return
	}
	if due := l.pace.Due(); due < now+3600e3 {
		l.server.env.After(max(1, due-now), l.dialWhenDue)
	}
}

// flush sends what waits, over a new connection if there is none.
func (l *listClient) flush() {
	l.mu.Lock()
	defer l.mu.Unlock()
	switch {
	case l.closed:
	case l.greeted:
		l.sendPending()
	case l.dialing || l.conn != nil:
	default:
		l.pending = slices.DeleteFunc(l.pending, func(call listCall) bool {
			if call == maintenanceCall && l.watches { // a connection begins with a watch; the marks follow at the next look
				l.server.resendMarks()
				return true
			}
			return call == unwatchCall // there is no connection, hence no watch
		})
		if len(l.pending) == 0 {
			return
		}
		if l.watches && !slices.Contains(l.pending, watchCall) {
			l.pending = append([]listCall{watchCall}, l.pending...)
		}
		l.dial()
	}
}

// dial connects; under the lock.
func (l *listClient) dial() {
	l.dialing, l.dialedAt = true, l.server.env.Now()
	l.sentCall = slices.ContainsFunc(l.pending, func(call listCall) bool { return call != maintenanceCall })
	l.server.env.Dial(l.server.config.Site.ListAddress, listDialTimeout, func(conn env.Conn, err error) {
		l.mu.Lock()
		l.dialing = false
		if err == nil && l.closed {
			conn.Close(false, nil)
		}
		if err != nil || l.closed {
			l.mu.Unlock()
			l.onLost(fmt.Errorf("no connection: %w", err))
			return
		}
		l.conn, l.splitter, l.greeted, l.inAnswer = conn, line.Splitter{}, false, false
		l.startAnswerTimer()
		l.mu.Unlock()
		conn.Start(l, listStuckTimeout)
		conn.Send(func(b []byte) []byte {
			return line.AppendGreeting(b, list.GreetingLine, "Scheduler", l.server.config.Name)
		})
	})
}

// startAnswerTimer begins the time for an answer, settled ends it; under the lock.
func (l *listClient) startAnswerTimer() {
	l.stopAnswerTimer()
	conn := l.conn
	l.answerTimer = l.server.env.After(listAnswerTimeout, func() { conn.Close(false, nil) })
}

func (l *listClient) stopAnswerTimer() {
	if l.answerTimer != nil {
		l.answerTimer.Stop()
		l.answerTimer = nil
	}
}

// sendPending sends the calls that wait; under the lock.
func (l *listClient) sendPending() {
	for _, call := range l.pending {
		l.sentCall = l.sentCall || call != maintenanceCall
		if call == watchCall || call == fullCall { // these are answered, or have failed
			l.startAnswerTimer()
		}
		l.conn.Send(func(b []byte) []byte {
			switch call {
			case watchCall:
				l.server.mu.Lock()
				defer l.server.mu.Unlock()
				return list.AppendWatch(b, l.server.list.Version)
			case fullCall:
				return list.AppendFullRequest(b)
			case unwatchCall:
				return list.AppendUnwatch(b)
			default:
				return l.server.appendMarks(b)
			}
		})
	}
	l.pending = l.pending[:0]
}

// OnData takes what the list sends.
func (l *listClient) OnData(b []byte) {
	l.mu.Lock()
	if !l.greeted {
		header, rest, err := l.splitter.Greeting(b, list.GreetingLine)
		if err != nil {
			l.conn.Close(false, nil)
		}
		if err != nil || header == nil {
			l.mu.Unlock()
			return
		}
		l.greeted, b = true, rest
		l.stopAnswerTimer()
		l.sendPending()
	}
	conn := l.conn
	l.mu.Unlock()
	if err := l.splitter.Feed(b, func(fields [][]byte) error { return list.DecodeList(fields, l) }); err != nil {
		conn.Close(false, list.AppendBye(nil, err.Error()))
	}
}

// OnClose meets the end of the connection.
func (l *listClient) OnClose(err error) {
	l.mu.Lock()
	l.stopAnswerTimer()
	l.conn, l.greeted = nil, false
	l.mu.Unlock()
	l.onLost(err)
}

// onLost tells that calls have failed, and plans the next connection.
func (l *listClient) onLost(err error) {
	l.mu.Lock()
	closed, sentCall, now := l.closed, l.sentCall, l.server.env.Now()
	l.pending = l.pending[:0]
	if l.watches && now-l.dialedAt > 2*listAnswerTimeout {
		l.pace.OnConnected(now, 0)
		l.pace.OnDisconnected(now, 0)
	} else if l.watches {
		l.pace.OnDialFailed(now, 0)
	}
	l.mu.Unlock()
	if closed {
		return
	}
	l.server.log.Debug().Str("why", fmt.Sprint(err)).Msg("node list connection ended")
	if sentCall { // else nothing but marks was sent: no call has failed
		l.server.onListFailed()
	}
	if l.watches {
		l.dialWhenDue()
	}
}

func (l *listClient) close() {
	l.mu.Lock()
	l.closed = true
	conn := l.conn
	l.stopAnswerTimer()
	l.mu.Unlock()
	if conn != nil {
		conn.Close(false, list.AppendBye(nil, "scheduler ends"))
	}
}

// An answer of the list is gathered until its end, and told as one.

const maxEntries = 1 << 20

var errListOrder = errors.New("list answer out of order")

// OnBegin opens an answer.
func (l *listClient) OnBegin(kind int, version uint64) error {
	if l.inAnswer {
		return errListOrder
	}
	l.inAnswer, l.answerKind, l.version, l.entries = true, kind, version, l.entries[:0]
	return nil
}

// OnEntry is one node of it.
func (l *listClient) OnEntry(e list.Entry) error {
	if !l.inAnswer || len(l.entries) >= maxEntries {
		return errListOrder
	}
	l.entries = append(l.entries, state.Entry{
		ID: e.ID, Address: e.Address, Avail: e.Availability, StartedAt: e.StartedAt,
		FreeCores: e.FreeCores, FreeMemory: e.FreeMemory, Zone: e.Zone, Cell: e.Cell, Kind: e.Kind,
	})
	return nil
}

// OnEnd closes it; only now it counts.
func (l *listClient) OnEnd() error {
	if !l.inAnswer {
		return errListOrder
	}
	l.inAnswer = false
	l.mu.Lock()
	l.stopAnswerTimer()
	l.mu.Unlock()
	s := l.server
	s.mu.Lock()
	if err := s.list.Begin(l.answerKind, l.version); err != nil {
		s.mu.Unlock()
		return err
	}
	for _, entry := range l.entries {
		s.list.Put(entry)
	}
	s.list.End()
	s.recordNodes(l.entries)
	entries := s.resolveEntries(l.entries)
	s.mu.Unlock()
	s.gossipList(l.version, l.entries)
	kind := logic.ListFull
	if l.answerKind == list.KindChanges {
		kind = logic.ListChanges
	}
	s.broadcastList(kind, entries)
	return nil
}

// OnFailed tells that a call has failed.
func (l *listClient) OnFailed(string) error {
	l.mu.Lock()
	l.stopAnswerTimer()
	l.mu.Unlock()
	l.server.onListFailed()
	return nil
}

// OnBye is the list's farewell.
func (l *listClient) OnBye(reason string) error { return fmt.Errorf("%w: %s", errFarewell, reason) }

func (s *Server) onListFailed() { s.broadcastList(logic.ListFailed, nil) }

// broadcastList tells news of the list to every shard: whichever asked, all may know.
func (s *Server) broadcastList(kind logic.ListKind, entries []listEntry) {
	if s.workingSet != nil && kind != logic.ListFailed {
		s.workingSet.onList(kind, entries)
		return
	}
	for _, sh := range s.liveShards() {
		sh.postList(kind, entries)
	}
}

// sendCachedList tells a new shard what is known of the list, even if that is nothing.
func (s *Server) sendCachedList(sh *shard) {
	if s.workingSet != nil {
		s.workingSet.sendKnownNodes(sh)
	} else {
		s.mu.Lock()
		entries := s.resolveEntries(s.list.Entries())
		s.mu.Unlock()
		sh.postList(logic.ListCached, entries)
	}
	s.routerMu.Lock()
	var excluded []uint32
	for id := range s.underMaintenance {
		excluded = append(excluded, id)
	}
	s.routerMu.Unlock()
	slices.Sort(excluded)
	sh.post(func(now float64) { sh.engine.SetMaintenance(now, excluded, true) })
	s.sendHeldBack(sh)
	s.zones.sendExcluded(sh)
}

// resolveEntries gives entries their places as small indices; under the lock. Those whose zone or kind the site file lacks
// are left out: nothing can be decided about them.
func (s *Server) resolveEntries(entries []state.Entry) []listEntry {
	resolved := make([]listEntry, 0, len(entries))
	skipped := 0
	for _, entry := range entries {
		if s.config.Faults.ListEntry != nil {
			s.config.Faults.ListEntry(&entry)
		}
		zone, kind := slices.Index(s.config.Site.Zones, entry.Zone), slices.Index(s.config.Site.MachineKinds, entry.Kind)
		if entry.Avail != 0 && (zone < 0 || kind < 0) {
			skipped++
			continue
		}
		cell, ok := s.cellIndex[entry.Cell]
		if !ok {
			cell = len(s.cellIndex)
			s.cellIndex[entry.Cell] = cell
		}
		resolved = append(resolved, listEntry{entry, max(0, zone), cell, max(0, kind)})
	}
	if skipped > 0 {
		s.log.Warn().Str("mode", "list").Int("skipped", skipped).Msg("entries of unknown zone or kind left out")
	}
	return resolved
}
