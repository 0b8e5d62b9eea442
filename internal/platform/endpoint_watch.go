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

// maxLineBytes is the most bytes of a line of the journal: no list of nodes is longer.
const maxLineBytes = 4 << 20

// endpointWatch is the connection to the journal service.
type endpointWatch struct {
	address       string
	retrier       watchretry.Retrier
	current       *watchConn
	position      uint64 // of the last event that was applied
	pollRequested bool   // the module waits for news or for news that there is none
}

// watchConn is one connection to it, on which events follow.
type watchConn struct {
	server  *Server
	conn    env.Conn
	partial []byte
	closed  bool
}

// loadInitialEndpoints applies the events that are known at the start.
func (s *Server) loadInitialEndpoints(now float64, c *Configuration) error {
	s.endpoints.address = c.Journal
	s.host.ListBegin(now, logic.ListCached)
	last, err := codec.ReadInitialEvents(c.InitialEvents, func(pos uint64, _ bool) bool { s.endpoints.position = max(s.endpoints.position, pos); return true }, s.applyEntry(nil))
	if err != nil {
		return err
	}
	s.endpoints.position = max(s.endpoints.position, last)
	for _, p := range s.nodes {
		if p.availability == logic.Unavailable {
			delete(s.nodes, p.id)
			delete(s.nodesByName, p.name)
		}
	}
	s.host.ListEnd()
	return nil
}

// applyEntry takes a node of the list; named notes it, where a whole list is read.
func (s *Server) applyEntry(listed map[*node]bool) codec.Entry {
	return func(name, address, zone, kind string, cell int, avail logic.Availability, since, freeCores, freeMemory float64) {
		p := s.nodesByName[name]
		if p == nil {
			if avail == logic.Unavailable {
				return // it came and went unseen
			}
			p = &node{id: s.nodeID(name), name: name, running: map[*request]bool{}}
			s.nodesByName[name], s.nodes[p.id] = p, p
		}
		if listed != nil {
			listed[p] = true
		}
		if since > 0 {
			since -= s.epochUnixMs
		}
		if address != "" {
			p.address = address
		}
		p.availability = avail
		if avail == logic.Unavailable {
			s.closeIdleConns(p)
		}
		z, okZone := s.zoneIndex[zone]
		k, okKind := s.kindIndex[kind]
		if !okZone || !okKind {
			s.log.Warn().Str("mode", "list").Str("node", name).Str("zone", zone).Str("kind", kind).Msg("unknown zone or kind")
		}
		s.host.ListNode(p.id, avail, since, freeCores, freeMemory, z, cell, k)
	}
}

// closeIdleConns closes idle connections to a node that is gone, unless a task runs there; connections with open requests stay.
func (s *Server) closeIdleConns(p *node) {
	if len(p.running) > 0 {
		return
	}
	for _, l := range slices.Clone(p.conns) {
		if l.conn != nil && l.isIdle() {
			l.close(true)
		}
	}
}

// endpointTick asks the journal service anew where that is due, and tells the module what a call came to.
func (s *Server) endpointTick(now float64) {
	f := &s.endpoints
	if f.retrier.IsSilent(now) {
		s.log.Info().Str("mode", "journal").Uint64("pos", f.position).Msg("silent, asked anew")
		f.current.close(now)
	}
	if f.retrier.BeginConnect(now) {
		t := &watchConn{server: s}
		f.current = t
		s.env.Dial(f.address, watchretry.ConnectTimeout(), t.onDialed)
	}
	switch {
	case f.pollRequested && f.retrier.IsLive(now):
		f.pollRequested = false
		s.host.ListBegin(now, logic.ListChanges)
		s.host.ListEnd()
	case f.pollRequested && f.retrier.IsFailing(now):
		f.pollRequested = false
		s.host.ListBegin(now, logic.ListFailed)
		s.host.ListEnd()
	}
}

// setJournalAddress has the journal service asked at another address from now on.
func (s *Server) setJournalAddress(address string) {
	now := s.env.Now()
	f := &s.endpoints
	if address == f.address {
		return
	}
	s.log.Info().Str("mode", "journal").Str("address", address).Uint64("pos", f.position).Msg("moved")
	if f.current != nil {
		f.current.closed = true
		if f.current.conn != nil {
			f.current.conn.Close(false, nil)
		}
	}
	f.address = address
	f.retrier.OnAddressChanged(now)
	s.endpointTick(now)
}

func (t *watchConn) onDialed(c env.Conn, err error) {
	s := t.server
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.env.Now()
	switch {
	case t.closed && err == nil:
		c.Close(false, nil)
	case t.closed:
	case err != nil:
		t.closed = true
		s.endpoints.retrier.OnDisconnected(now)
	default:
		t.conn = c
		s.endpoints.retrier.OnConnected(now)
		c.Start(t, connlimits.WriteTimeout)
		c.Send(func(b []byte) []byte {
			return append(strconv.AppendUint(append(b, "tail "...), s.endpoints.position, 10), '\n')
		})
	}
}

// close gives the connection up.
func (t *watchConn) close(now float64) {
	if t.closed {
		return
	}
	t.closed, t.partial = true, nil
	t.conn.Close(false, nil)
	t.server.endpoints.retrier.OnDisconnected(now)
}

func (t *watchConn) OnData(b []byte) {
	s := t.server
	s.mu.Lock()
	defer s.mu.Unlock()
	if t.closed {
		return
	}
	now := s.env.Now()
	if b == nil {
		t.close(now)
		return
	}
	s.endpoints.retrier.OnBytes(now)
	t.partial = append(t.partial, b...)
	consumed := false
	for {
		line, rest, complete := bytes.Cut(t.partial, []byte("\n"))
		if !complete {
			break
		}
		if err := s.applyLine(now, line); err != nil {
			s.log.Warn().Str("mode", "journal").Uint64("pos", s.endpoints.position).Err(err).Msg("asked anew")
			t.close(now)
			return
		}
		s.endpoints.retrier.OnEvent(now)
		t.partial, consumed = rest, true
	}
	if len(t.partial) > maxLineBytes {
		t.close(now)
		return
	}
	if consumed { // what is left gets memory of its own; a line that trickles in is not copied for each byte
		t.partial = append([]byte(nil), t.partial...)
	}
	s.wake()
}

func (t *watchConn) OnClose(error) {
	t.server.mu.Lock()
	defer t.server.mu.Unlock()
	t.close(t.server.env.Now())
}

var errEventGap = errors.New("events are missing")

// applyLine applies a line of the journal: each event once, in order, none left out.
func (s *Server) applyLine(now float64, line []byte) error {
	f := &s.endpoints
	var gap, applies, snapshot bool
	listed := map[*node]bool{}
	last, err := codec.ReadLine(line, func(pos uint64, full bool) bool {
		switch {
		case pos <= f.position: // told twice
			return false
		case pos > f.position+1:
			gap = true
			return false
		}
		f.position, applies, snapshot = pos, true, full
		kind := logic.ListChanges
		if full {
			kind = logic.ListFull
		}
		s.host.ListBegin(now, kind)
		return true
	}, s.applyEntry(listed))
	switch {
	case err != nil:
		return err
	case gap || last > f.position:
		return errEventGap
	}
	if applies {
		if snapshot {
			for _, p := range s.sortedNodes() {
				if !listed[p] {
					p.availability = logic.Unavailable
					s.closeIdleConns(p)
				}
			}
		}
		s.host.ListEnd()
		f.pollRequested = false
	}
	return nil
}
