package platform

import (
	"cmp"
	"maps"
	"slices"

	"ravenpond/internal/decide/budget"
	"ravenpond/internal/decide/connlimits"
	"ravenpond/internal/decide/nodefailure"
	codec "ravenpond/internal/proto/platform"
	"ravenpond/logic"
)

// peer is a node. One that comes up at the address of another is a peer of its own: it has its own name.
type peer struct {
	id            uint32
	name, address string
	avail         logic.Availability
	links         []*link
	running       map[*request]bool
	cuts          []cutting // ends that the node has not been told on any connection
	watch         nodefailure.Detector
}

// cutting is a task that is to end at a node, until it is no use any more to say so.
type cutting struct {
	task  uint64
	until float64
}

// cut ends a task at a node.
func (s *Server) cut(p *peer, task uint64) {
	for _, l := range p.links {
		if l.conn != nil && !l.gone && l.open() {
			if _, _, ok := l.conn.Send(func(b []byte) []byte { return codec.AppendEnd(b, task, codec.Elsewhere) }); ok {
				return
			}
		}
	}
	now := s.env.Now()
	p.owes(now, task)
	if p.avail != logic.Unavailable {
		s.tether(now, p)
	}
}

// owes keeps an end until the node can be told.
func (p *peer) owes(now float64, task uint64) {
	p.cuts = append(p.cuts[max(0, len(p.cuts)-connlimits.MaxPendingNodeEnds+1):], cutting{task, now + connlimits.NodeEndRetention})
}

// tether keeps a connection to a node where a task runs or is to be ended, as news of it may come on any connection.
func (s *Server) tether(now float64, p *peer) {
	if p.avail == logic.Unavailable || len(p.running) == 0 && len(p.cuts) == 0 || len(p.links) > 0 {
		return
	}
	s.look(now, p, false)
}

// look makes a new connection to a node where a task runs or is to be ended, when one is due.
func (s *Server) look(now float64, p *peer, linked bool) {
	if p.watch.IsProbeDue(now, linked) && s.room(now, budget.ForHealthCheck, p) {
		p.watch.OnProbe(now)
		s.stats.looks++
		s.dial(p)
	}
}

// peerTick looks after the connections to a node.
func (s *Server) peerTick(now float64, p *peer) {
	linked := false
	for _, l := range slices.Clone(p.links) {
		switch {
		case l.conn == nil:
		case l.spent && len(l.requests) == 0 && now >= l.closeAt:
			l.end(true)
		case l.free() && !s.fresh(l, now):
			l.end(true)
		case len(l.requests) == 0 && l.probe != 0 && connlimits.IsUnresponsive(now-l.probeAt):
			l.probe = 0
			l.end(true) // it says nothing: a new one tells whether its node does
		default:
			linked = true
		}
	}
	if len(p.running) > 0 {
		if p.avail != logic.Unavailable {
			s.look(now, p, linked)
		}
		if p.watch.IsLost(now, p.avail == logic.Unavailable, len(p.links) > 0) {
			s.lose(now, p)
		}
	} else {
		s.tether(now, p)
	}
	if p.avail == logic.Unavailable && len(p.links) == 0 && len(p.running) == 0 {
		delete(s.nodes, p.id)
		delete(s.nodesByName, p.name)
	}
}

// lose ends the running task at a node that is no more. Should it be cut off only and come back, its tasks are to end there.
func (s *Server) lose(now float64, p *peer) {
	s.log.Info().Str("mode", "lost").Str("node", p.name).Int("stood", len(p.running)).Msg("node lost with the running task there")
	for _, a := range slices.SortedFunc(maps.Keys(p.running), func(x, y *request) int { return cmp.Compare(x.allocID, y.allocID) }) {
		task := a.task
		s.stats.verdicts[logic.ConnectionLost]++
		s.host.OnTaskLost(now, a.allocID)
		if p.avail != logic.Unavailable {
			p.owes(now, task)
		}
	}
	s.wake()
}
