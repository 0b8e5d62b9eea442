package platform

import (
	"cmp"
	"maps"
	"math"
	"slices"

	"ravenpond/internal/decide/budget"
	"ravenpond/internal/decide/connlimits"
	"ravenpond/internal/decide/endedtasks"
	"ravenpond/internal/decide/nodefailure"
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
	pendingStops    []pendingStop // oldest first
	failureDetector nodefailure.Detector
	processStart    nodefailure.ProcessStart
}

// pendingStop is a task that is to be stopped once there is a connection to its node.
type pendingStop struct {
	task    uint64
	expires float64 // the time after which the stop is no longer sent
}

// isUnavailable reports whether the node list says that the node is unavailable.
func (n *node) isUnavailable() bool { return n.availability == logic.Unavailable }

// addTask adds a task that runs on the node.
func (n *node) addTask(r *request) { n.running[r] = true }

// removeTask removes a task that has ended.
func (n *node) removeTask(r *request) { delete(n.running, r) }

// setState sets the address and the availability that the node list gives. An empty address leaves the address unchanged.
func (n *node) setState(address string, availability logic.Availability) {
	if address != "" {
		n.address = address
	}
	n.availability = availability
	if n.isUnavailable() {
		n.closeIdleConns()
	}
}

// stopTask stops a task on the node: it sends the stop on an open connection, or queues it until there is one. The newest connection comes first,
// as an older one may lead to a process that has ended.
func (n *node) stopTask(task uint64) {
	newestFirst := slices.SortedFunc(slices.Values(n.conns), func(x, y *nodeConn) int {
		return cmp.Compare(y.history.DialedAt, x.history.DialedAt)
	})
	for _, c := range newestFirst {
		if c.sendStop(task) {
			return
		}
	}
	now := n.server.env.Now()
	n.queueStop(now, task)
	if !n.isUnavailable() {
		n.keepConnected(now)
	}
}

// queueStop keeps a stop until it can be sent or expires. The oldest is dropped when there are too many.
func (n *node) queueStop(now float64, task uint64) {
	kept := n.pendingStops[max(0, len(n.pendingStops)-connlimits.MaxPendingNodeStops+1):]
	n.pendingStops = append(kept, pendingStop{task, now + connlimits.NodeStopRetention})
}

// deliverStops makes a new connection on which the pending stops are sent, as those that are open may be silent: a node that was called failed can
// be back without having closed them. Expired stops are dropped.
func (n *node) deliverStops(now float64) {
	n.dropExpiredStops(now)
	if len(n.pendingStops) > 0 && !n.isUnavailable() {
		n.check(now, false)
	}
}

// dropExpiredStops drops the pending stops that have expired.
func (n *node) dropExpiredStops(now float64) {
	n.pendingStops = slices.DeleteFunc(n.pendingStops, func(stop pendingStop) bool { return now >= stop.expires })
}

// takeStops removes all pending stops and returns those that have not expired.
func (n *node) takeStops(now float64) []pendingStop {
	n.dropExpiredStops(now)
	stops := n.pendingStops
	n.pendingStops = nil
	return stops
}

// keepConnected makes a connection, if there is none, to a node where a task runs or is to be stopped, as the node may send the end of a task on
// any connection.
func (n *node) keepConnected(now float64) {
	if n.isUnavailable() || len(n.running) == 0 && len(n.pendingStops) == 0 || len(n.conns) > 0 {
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
	connected := n.closeStaleConns(now)
	if len(n.running) > 0 {
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
	if !n.failureDetector.IsProbeDue(now, true) {
		return
	}
	for _, c := range n.conns {
		if c.canProbe(now) {
			n.failureDetector.OnProbe(now)
			c.startProbe(connCheckSeq)
		}
	}
}

// closeConnsTo closes connections of this node that may lead to another node, which has its address now.
func (n *node) closeConnsTo(owner *node) {
	for _, c := range slices.Clone(n.conns) {
		if len(c.requests) == 0 && owner.processStart.MayLeadTo(c.history) {
			c.close()
		}
	}
}

// closeStaleConns closes stale connections and reports whether other established ones are left.
func (n *node) closeStaleConns(now float64) (connected bool) {
	for _, c := range slices.Clone(n.conns) {
		switch {
		case c.conn == nil:
		case c.isStale(now):
			c.close()
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
			c.close()
		}
	}
}

// onListed records the start time that the node list gives. If it is that of a later process, the tasks of the earlier one have ended. This comes
// before the module is told of the start: the module then takes the new process for empty.
func (n *node) onListed(now, startedAt float64) {
	if n.processStart.OnListed(now, startedAt) {
		n.endTasksOfEarlierProcess(now)
	}
}

// endTasksOfEarlierProcess ends the tasks that ended with an earlier process of the node. It also stops them, in case one still runs.
func (n *node) endTasksOfEarlierProcess(now float64) {
	s := n.server
	ended := n.sortedTasks()
	ended = slices.DeleteFunc(ended, func(r *request) bool { return !n.processStart.HasEnded(r.placed) })
	if len(ended) == 0 {
		return
	}
	s.log.Info().Str("mode", "lost").Str("node", n.name).Int("stood", len(n.running)).Int("ended", len(ended)).
		Msg("node restarted; ending the tasks of its earlier process")
	for _, r := range ended {
		task := r.task
		n.loseTask(now, r)
		n.stopTask(task)
	}
	s.loop.wake()
}

// loseTasks ends the running tasks of a node that has failed. It also queues their stops, in case the node is only partitioned and comes back.
func (n *node) loseTasks(now float64) {
	s := n.server
	s.log.Info().Str("mode", "lost").Str("node", n.name).Int("stood", len(n.running)).Msg("node failed; ending its running tasks")
	for _, r := range n.sortedTasks() {
		task := r.task
		n.loseTask(now, r)
		if !n.isUnavailable() {
			n.queueStop(now, task)
		}
	}
	s.loop.wake()
}

// loseTask ends a running task whose end the node can't report.
func (n *node) loseTask(now float64, r *request) {
	n.rememberEnd(now, r.task, logic.ConnectionLost)
	n.server.telemetry.countOutcome(logic.ConnectionLost)
	n.server.host.OnTaskLost(now, r.allocID)
}

// rememberEnd remembers that a task has ended at the node.
func (n *node) rememberEnd(now float64, task uint64, verdict logic.Outcome) {
	n.server.ended.Add(now, n.taskKey(task), verdict)
}

// taskKey returns the key of a task at the node.
func (n *node) taskKey(task uint64) endedtasks.Task { return endedtasks.Task{Node: n.id, ID: task} }

// sortedTasks returns the tasks that run on the node, by allocation.
func (n *node) sortedTasks() []*request { return slices.SortedFunc(maps.Keys(n.running), byAllocation) }

// sendAttempt sends the attempt of a request on a connection to the node. If there can be none, the attempt ends as not sent.
func (n *node) sendAttempt(r *request) {
	c := n.connFor(n.server.env.Now())
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
	c := &nodeConn{server: s, node: n, idleSince: now, history: &nodefailure.Connection{DialedAt: now}}
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
