package platform

import (
	"bytes"
	"errors"
	"slices"
	"strconv"

	"ravenpond/internal/decide/connlimits"
	"ravenpond/internal/decide/watchretry"
	"ravenpond/internal/env"
	codec "ravenpond/internal/proto/platform"
	"ravenpond/logic"
)

// longLine is the most bytes of a line of the journal: no list of nodes is longer.
const longLine = 4 << 20

// feed is the connection to the journal service.
type feed struct {
	address string
	watch   watchretry.Retrier
	current *journalWatch
	pos     uint64 // of the last event that was applied
	asked   bool   // the module waits for news or for news that there is none
}

// journalWatch is one connection to it, on which events follow.
type journalWatch struct {
	s    *Server
	conn env.Conn
	in   []byte
	gone bool
}

// begin applies the events that are known at the start.
func (s *Server) begin(now float64, c *Configuration) error {
	s.endpoints.address = c.Journal
	s.host.ListBegin(now, logic.ListCached)
	last, err := codec.Known(c.InitialEvents, func(pos uint64, _ bool) bool { s.endpoints.pos = max(s.endpoints.pos, pos); return true }, s.entry(nil))
	if err != nil {
		return err
	}
	s.endpoints.pos = max(s.endpoints.pos, last)
	for _, p := range s.nodes {
		if p.avail == logic.Unavailable {
			delete(s.nodes, p.id)
			delete(s.nodesByName, p.name)
		}
	}
	s.host.ListEnd()
	return nil
}

// entry takes a node of the list; named notes it, where a whole list is read.
func (s *Server) entry(named map[*peer]bool) codec.Entry {
	return func(name, address, zone, kind string, cell int, avail logic.Availability, since, freeCores, freeMemory float64) {
		p := s.nodesByName[name]
		if p == nil {
			if avail == logic.Unavailable {
				return // it came and went unseen
			}
			p = &peer{id: s.nodeID(name), name: name, running: map[*request]bool{}}
			s.nodesByName[name], s.nodes[p.id] = p, p
		}
		if named != nil {
			named[p] = true
		}
		if since > 0 {
			since -= s.epochUnixMs
		}
		if address != "" {
			p.address = address
		}
		p.avail = avail
		if avail == logic.Unavailable {
			s.shed(p)
		}
		z, okZone := s.zoneIndex[zone]
		k, okKind := s.kindIndex[kind]
		if !okZone || !okKind {
			s.log.Warn().Str("mode", "list").Str("node", name).Str("zone", zone).Str("kind", kind).Msg("unknown zone or kind")
		}
		s.host.ListNode(p.id, avail, since, freeCores, freeMemory, z, cell, k)
	}
}

// shed closes idle connections to a node that is gone, unless a task runs there; connections with open requests stay.
func (s *Server) shed(p *peer) {
	if len(p.running) > 0 {
		return
	}
	for _, l := range slices.Clone(p.links) {
		if l.conn != nil && l.free() {
			l.end(true)
		}
	}
}

// feedTick asks the journal service anew where that is due, and tells the module what a call came to.
func (s *Server) feedTick(now float64) {
	f := &s.endpoints
	if f.watch.IsSilent(now) {
		s.log.Info().Str("mode", "journal").Uint64("pos", f.pos).Msg("silent, asked anew")
		f.current.end(now)
	}
	if f.watch.BeginConnect(now) {
		t := &journalWatch{s: s}
		f.current = t
		s.env.Dial(f.address, watchretry.ConnectTimeout(), t.made)
	}
	switch {
	case f.asked && f.watch.IsLive(now):
		f.asked = false
		s.host.ListBegin(now, logic.ListChanges)
		s.host.ListEnd()
	case f.asked && f.watch.IsFailing(now):
		f.asked = false
		s.host.ListBegin(now, logic.ListFailed)
		s.host.ListEnd()
	}
}

// move has the journal service asked at another address from now on.
func (s *Server) move(address string) {
	now := s.env.Now()
	f := &s.endpoints
	if address == f.address {
		return
	}
	s.log.Info().Str("mode", "journal").Str("address", address).Uint64("pos", f.pos).Msg("moved")
	if f.current != nil {
		f.current.gone = true
		if f.current.conn != nil {
			f.current.conn.Close(false, nil)
		}
	}
	f.address = address
	f.watch.OnAddressChanged(now)
	s.feedTick(now)
}

func (t *journalWatch) made(c env.Conn, err error) {
	s := t.s
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.env.Now()
	switch {
	case t.gone && err == nil:
		c.Close(false, nil)
	case t.gone:
	case err != nil:
		t.gone = true
		s.endpoints.watch.OnDisconnected(now)
	default:
		t.conn = c
		s.endpoints.watch.OnConnected(now)
		c.Start(t, connlimits.WriteTimeout)
		c.Send(func(b []byte) []byte {
			return append(strconv.AppendUint(append(b, "tail "...), s.endpoints.pos, 10), '\n')
		})
	}
}

// end gives the connection up.
func (t *journalWatch) end(now float64) {
	if t.gone {
		return
	}
	t.gone, t.in = true, nil
	t.conn.Close(false, nil)
	t.s.endpoints.watch.OnDisconnected(now)
}

func (t *journalWatch) OnData(b []byte) {
	s := t.s
	s.mu.Lock()
	defer s.mu.Unlock()
	if t.gone {
		return
	}
	now := s.env.Now()
	if b == nil {
		t.end(now)
		return
	}
	s.endpoints.watch.OnBytes(now)
	t.in = append(t.in, b...)
	took := false
	for {
		line, rest, whole := bytes.Cut(t.in, []byte("\n"))
		if !whole {
			break
		}
		if err := s.line(now, line); err != nil {
			s.log.Warn().Str("mode", "journal").Uint64("pos", s.endpoints.pos).Err(err).Msg("asked anew")
			t.end(now)
			return
		}
		s.endpoints.watch.OnEvent(now)
		t.in, took = rest, true
	}
	if len(t.in) > longLine {
		t.end(now)
		return
	}
	if took { // what is left gets memory of its own; a line that trickles in is not copied for each byte
		t.in = append([]byte(nil), t.in...)
	}
	s.wake()
}

func (t *journalWatch) OnClose(error) {
	t.s.mu.Lock()
	defer t.s.mu.Unlock()
	t.end(t.s.env.Now())
}

var errGap = errors.New("events are missing")

// line applies a line of the journal: each event once, in order, none left out.
func (s *Server) line(now float64, line []byte) error {
	f := &s.endpoints
	var gap, applies, whole bool
	named := map[*peer]bool{}
	last, err := codec.Line(line, func(pos uint64, full bool) bool {
		switch {
		case pos <= f.pos: // told twice
			return false
		case pos > f.pos+1:
			gap = true
			return false
		}
		f.pos, applies, whole = pos, true, full
		kind := logic.ListChanges
		if full {
			kind = logic.ListFull
		}
		s.host.ListBegin(now, kind)
		return true
	}, s.entry(named))
	switch {
	case err != nil:
		return err
	case gap || last > f.pos:
		return errGap
	}
	if applies {
		if whole {
			for _, p := range s.sortedNodes() {
				if !named[p] {
					p.avail = logic.Unavailable
					s.shed(p)
				}
			}
		}
		s.host.ListEnd()
		f.asked = false
	}
	return nil
}
