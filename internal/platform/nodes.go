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

// node is a node. One that comes up at the address of another is a peer of its own: it has its own name.
type node struct {
	id              uint32
	name, address   string
	availability    logic.Availability
	conns           []*nodeConn
	running         map[*request]bool
	pendingStops    []pendingStop // ends that the node has not been told on any connection
	failureDetector nodefailure.Detector
}

// pendingStop is a task that is to end at a node, until it is no use any more to say so.
type pendingStop struct {
	task  uint64
	until float64
}

// stopTask ends a task at a node.
func (s *Server) stopTask(p *node, task uint64) {
	for _, l := range p.conns {
		if l.conn != nil && !l.closed && l.isOpen() {
			if _, _, ok := l.conn.Send(func(b []byte) []byte { return codec.AppendEnd(b, task, codec.CauseElsewhere) }); ok {
				return
			}
		}
	}
	now := s.env.Now()
	p.queueStop(now, task)
	if p.availability != logic.Unavailable {
		s.keepConnected(now, p)
	}
}

// queueStop keeps an end until the node can be told.
func (p *node) queueStop(now float64, task uint64) {
	p.pendingStops = append(p.pendingStops[max(0, len(p.pendingStops)-connlimits.MaxPendingNodeEnds+1):], pendingStop{task, now + connlimits.NodeEndRetention})
}

// keepConnected keeps a connection to a node where a task runs or is to be ended, as news of it may come on any connection.
func (s *Server) keepConnected(now float64, p *node) {
	if p.availability == logic.Unavailable || len(p.running) == 0 && len(p.pendingStops) == 0 || len(p.conns) > 0 {
		return
	}
	s.checkNode(now, p, false)
}

// checkNode makes a new connection to a node where a task runs or is to be ended, when one is due.
func (s *Server) checkNode(now float64, p *node, connected bool) {
	if p.failureDetector.IsProbeDue(now, connected) && s.reserveConn(now, budget.ForHealthCheck, p) {
		p.failureDetector.OnProbe(now)
		s.stats.nodeChecks++
		s.dial(p)
	}
}

// nodeTick looks after the connections to a node.
func (s *Server) nodeTick(now float64, p *node) {
	connected := false
	for _, l := range slices.Clone(p.conns) {
		switch {
		case l.conn == nil:
		case l.draining && len(l.requests) == 0 && now >= l.closeAt:
			l.close(true)
		case l.isIdle() && !s.isFresh(l, now):
			l.close(true)
		case len(l.requests) == 0 && l.probeSeq != 0 && connlimits.IsUnresponsive(now-l.probeSentAt):
			l.probeSeq = 0
			l.close(true) // it says nothing: a new one tells whether its node does
		default:
			connected = true
		}
	}
	if len(p.running) > 0 {
		if p.availability != logic.Unavailable {
			s.checkNode(now, p, connected)
		}
		if p.failureDetector.IsLost(now, p.availability == logic.Unavailable, len(p.conns) > 0) {
			s.onNodeLost(now, p)
		}
	} else {
		s.keepConnected(now, p)
	}
	if p.availability == logic.Unavailable && len(p.conns) == 0 && len(p.running) == 0 {
		delete(s.nodes, p.id)
		delete(s.nodesByName, p.name)
	}
}

// onNodeLost ends the running task at a node that is no more. Should it be cut off only and come back, its tasks are to end there.
func (s *Server) onNodeLost(now float64, p *node) {
	s.log.Info().Str("mode", "lost").Str("node", p.name).Int("stood", len(p.running)).Msg("node lost with the running task there")
	for _, a := range slices.SortedFunc(maps.Keys(p.running), func(x, y *request) int { return cmp.Compare(x.allocID, y.allocID) }) {
		task := a.task
		s.stats.verdicts[logic.ConnectionLost]++
		s.host.OnTaskLost(now, a.allocID)
		if p.availability != logic.Unavailable {
			p.queueStop(now, task)
		}
	}
	s.wake()
}
