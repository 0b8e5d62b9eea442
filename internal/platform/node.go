package platform

import (
	"math"
	"slices"

	"ravenpond/internal/decide/budget"
	"ravenpond/internal/decide/nodefailure"
	"ravenpond/internal/decide/nodeidentity"
	"ravenpond/internal/decide/redelivery"
	"ravenpond/logic"
)

// node is a node of the node list. Its name identifies it: a new node that reuses the address of another is a different node.
type node struct {
	server          *Server
	id              uint32
	name, address   string
	availability    logic.Availability
	conns           []*nodeConn
	running         map[*request]bool
	stops           redelivery.Outbox // stops of tasks that the node may not have read yet
	reconnect       redelivery.Reconnect
	lastConn        uint64 // the number of the newest connection
	failureDetector nodefailure.Detector
	processes       nodefailure.ProcessHistory
	identity        nodeidentity.Identity
	identityKnown   bool            // as last reported to the host
	entry           logic.ListEntry // as last reported to the host
}

// isUnavailable reports whether the node list says that the node is unavailable.
func (n *node) isUnavailable() bool { return n.availability == logic.Unavailable }

// setAvailability sets the availability that the node list gives.
func (n *node) setAvailability(availability logic.Availability) {
	n.availability = availability
	if n.isUnavailable() {
		n.closeIdleConns()
	}
}

// keepConnected makes a connection, if there is none, to a node where a task runs or is to be stopped, as the node may send the end of a task on
// any connection.
func (n *node) keepConnected(now float64) {
	if n.isUnavailable() || len(n.running) == 0 && !n.stops.HasUnsent(now) || len(n.conns) > 0 {
		return
	}
	n.check(now, false)
}

// check dials the node when the failure detector's probe is due. connected says whether the node already has a usable connection.
func (n *node) check(now float64, connected bool) {
	if n.failureDetector.IsProbeDue(now, connected) && n.server.nodes.reserve(now, budget.ForHealthCheck, n) {
		n.failureDetector.OnProbe(now)
		n.server.telemetry.count(countNodeChecks)
		n.dial()
	}
}

// tick closes stale connections, checks the node if tasks run there, and removes it once it is unavailable and has no connection and no task.
func (n *node) tick(now float64) {
	n.reportIdentity(now)
	connected := n.closeStaleConns(now)
	n.checkStops(now)
	n.reconnectIfDue(now)
	if len(n.running) > 0 {
		n.endUnprovenTasks(now)
		if n.isUnavailable() {
			n.checkConns(now)
		} else {
			n.check(now, connected)
		}
		if n.failureDetector.IsLost(now, n.isUnavailable(), len(n.conns) > 0) {
			n.loseTasks(now)
		}
	} else {
		n.deliverStops(now)
	}
	if n.isUnavailable() && len(n.conns) == 0 && len(n.running) == 0 {
		n.server.nodes.remove(n)
	}
}

// connCheckSeq is the number of health checks that show whether a connection is silent. The host numbers its own from 1.
const connCheckSeq = math.MaxUint32

// checkConns sends health checks on the connections to a silent node that is no longer on the node list. It is not dialed, as its address may have
// gone to another node. A connection without an answer is closed as stale.
func (n *node) checkConns(now float64) {
	if n.failureDetector.IsProbeDue(now, true) {
		n.checkConnsNow(now)
	}
}

// checkConnsNow sends health checks on all connections.
func (n *node) checkConnsNow(now float64) {
	for _, c := range n.conns {
		if c.canProbe(now) {
			n.failureDetector.OnProbe(now)
			c.startProbe(connCheckSeq)
		}
	}
}

// hasOpenConnBeside reports whether a connection other than c is established and was not closed by the node.
func (n *node) hasOpenConnBeside(c *nodeConn) bool {
	return slices.ContainsFunc(n.conns, func(other *nodeConn) bool { return other != c && other.conn != nil && other.isOpen() })
}

// closeStaleConns closes stale connections and reports whether other established ones are left.
func (n *node) closeStaleConns(now float64) (connected bool) {
	for _, c := range slices.Clone(n.conns) {
		switch {
		case c.conn == nil:
		case c.isStale(now):
			if c.isUnanswered(now) {
				n.identity.OnUnanswered(c.history)
				n.reportIdentity(now)
			}
			c.close("stale")
		default:
			connected = true
		}
	}
	return connected
}

// closeIdleConns closes idle connections to a node that is unavailable, unless a task runs there. Connections with open requests stay open.
func (n *node) closeIdleConns() {
	if len(n.running) == 0 {
		n.closeIdleConnsBut(nil)
	}
}

// closeIdleConnsBut closes the idle connections to the node except kept.
func (n *node) closeIdleConnsBut(kept *nodeConn) {
	for _, c := range slices.Clone(n.conns) {
		if c != kept && c.conn != nil && c.isIdle() {
			c.close("idle, and not needed")
		}
	}
}

// sendAttempt sends the attempt of a request on a connection to the node, one that is known to lead to it if the request requires that. If there can be
// none, the attempt ends as not sent.
func (n *node) sendAttempt(r *request) {
	now := n.server.env.Now()
	c := n.knownConn(now)
	if n.server.host.MaySend(r.allocID, false) {
		c = n.connFor(now)
	}
	if c == nil {
		n.server.requests.completeUnsentLater(r)
		return
	}
	c.addRequest(r)
}

// connFor returns the connection for a new attempt: an idle one, else the one with the fewest requests if the limit of connections is reached, else
// a new one. It returns nil if none can be made.
func (n *node) connFor(now float64) *nodeConn {
	var shared *nodeConn
	for _, c := range n.conns {
		switch {
		case c.draining || c.conn != nil && c.isIdle() && !c.isFresh(now):
		case c.isIdle():
			if c.isOpen() {
				return c
			}
		case n.server.nodes.isFull() && (shared == nil || len(c.requests) < len(shared.requests)) && c.isOpen():
			shared = c
		}
	}
	if shared != nil {
		return shared
	}
	if !n.server.nodes.reserve(now, budget.ForPlacement, n) {
		return nil
	}
	return n.dial()
}

// sendProbe sends a health check to the node. The check may share a connection with requests, as its answer is distinct from theirs. If no
// connection can be made, the check times out.
func (n *node) sendProbe(seq uint32) {
	s := n.server
	for _, c := range n.conns {
		if c.canProbe(s.env.Now()) {
			c.startProbe(seq)
			return
		}
	}
	if s.nodes.reserve(s.env.Now(), budget.ForProbe, n) {
		n.dial().startProbe(seq)
	}
}

// dial starts to make a connection to the node.
func (n *node) dial() *nodeConn {
	s := n.server
	now := s.env.Now()
	n.lastConn++
	c := &nodeConn{server: s, node: n, number: n.lastConn, idleSince: now, history: &nodefailure.Connection{DialedAt: now}}
	n.conns = append(n.conns, c)
	s.nodes.addConn()
	s.telemetry.count(countDials)
	s.env.Dial(n.address, s.settings.ConnectTimeout, c.onDialed)
	return c
}

// removeConn removes a connection that was closed.
func (n *node) removeConn(c *nodeConn) {
	n.server.nodes.dropConn()
	n.conns = removeUnordered(n.conns, c)
}

// removeUnordered removes an element from a list without keeping its order.
func removeUnordered[T comparable](list []T, x T) []T {
	i := slices.Index(list, x)
	if i < 0 {
		return list
	}
	last := len(list) - 1
	list[i] = list[last]
	var zero T
	list[last] = zero
	return list[:last]
}
