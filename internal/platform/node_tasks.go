package platform

import (
	"cmp"
	"maps"
	"slices"

	"ravenpond/internal/decide/endedtasks"
	"ravenpond/internal/decide/nodefailure"
	"ravenpond/internal/decide/redelivery"
	codec "ravenpond/internal/proto/platform"
	"ravenpond/logic"
)

// The methods of node in this file hold its running tasks: how they end without a report of the node, and how they are stopped.

// addTask adds a task that runs on the node.
func (n *node) addTask(r *request) { n.running[r] = true }

// removeTask removes a task that has ended.
func (n *node) removeTask(r *request) { delete(n.running, r) }

// stopTask stops a task on the node: it sends the stop on an open connection, or queues it until there is one. The newest connection comes first,
// as an older one may lead to a process that has ended. The stop is sent again if it may be lost with the connection.
func (n *node) stopTask(task uint64) {
	now := n.server.env.Now()
	stop := n.queueStop(now, task)
	newestFirst := slices.SortedFunc(slices.Values(n.conns), func(x, y *nodeConn) int { return cmp.Compare(y.number, x.number) })
	for _, c := range newestFirst {
		if c.sendStop(now, stop) {
			return
		}
	}
	if !n.isUnavailable() {
		n.keepConnected(now)
	}
}

// queueStop keeps a stop for the next connection.
func (n *node) queueStop(now float64, task uint64) redelivery.Message {
	stop := redelivery.Message{Task: task, Cause: codec.CauseElsewhere}
	n.stops.Add(now, stop)
	return stop
}

// deliverStops makes a new connection on which the pending stops are sent, as those that are open may be silent: a node that was called failed can
// be back without having closed them. Expired stops are dropped, which ends this.
func (n *node) deliverStops(now float64) {
	if n.stops.HasUnsent(now) && !n.isUnavailable() {
		n.check(now, false)
	}
}

// onListed records an entry of the node list, and reports whether it tells of another process. If so, the tasks of the earlier one have
// ended. This comes before the module is told of the start: the module then takes the new process for empty.
func (n *node) onListed(entry nodefailure.Listing) (restarted bool) {
	restarted = n.processes.OnListed(entry)
	if restarted {
		n.identity.OnStartListed()
		n.withdrawPendingAttempts()
		n.endTasksOfEarlierProcess(entry.Now)
	}
	return restarted
}

// withdrawPendingAttempts ends the attempts that wait for a connection, as never sent: they were decided on for an earlier process of the node, which was
// not in slow start.
func (n *node) withdrawPendingAttempts() {
	for _, c := range slices.Clone(n.conns) {
		if c.conn == nil {
			c.completeRequests(func(*request) logic.Outcome { return logic.NotSent })
		}
	}
}

// endTasksOfEarlierProcess ends the tasks that ended with an earlier process of the node. It also stops them, in case one still runs.
func (n *node) endTasksOfEarlierProcess(now float64) {
	hasEnded := func(r *request) bool { return n.processes.HasEnded(r.placed) }
	n.endTasks(now, hasEnded, n.stopTask, "node restarted; ending the tasks of its earlier process")
}

// endTasks ends the tasks that match, and stops each. The reason is for the log.
func (n *node) endTasks(now float64, hasEnded func(*request) bool, stop func(task uint64), reason string) {
	s := n.server
	ended := slices.DeleteFunc(n.sortedTasks(), func(r *request) bool { return !hasEnded(r) })
	if len(ended) == 0 {
		return
	}
	s.log.Info().Str("mode", "lost").Str("node", n.name).Int("stood", len(n.running)).Int("ended", len(ended)).Msg(reason)
	for _, r := range ended {
		task := r.task
		n.loseTask(now, r)
		stop(task)
	}
	s.loop.wake()
}

// placementOfHandedOver returns what is known of the start of a task that a client hands over.
func (n *node) placementOfHandedOver(now float64) nodefailure.Placement {
	s := n.server
	placed := nodefailure.HandedOver(now, s.startedAt, s.settings.ClientRetryDelay)
	byAge := func(x, y *nodeConn) int { return cmp.Compare(x.number, y.number) }
	for _, c := range slices.SortedFunc(slices.Values(n.conns), byAge) {
		if c.conn != nil {
			placed.OnReached(c.history)
		}
	}
	return placed
}

// onReached records that a connection was made. If it came up late, that may show that an earlier process has ended.
func (n *node) onReached(now float64, connection *nodefailure.Connection) {
	for r := range n.running {
		r.placed.OnReached(connection)
	}
	if n.processes.OnConnected(connection) {
		n.endTasksOfEarlierProcess(now)
	}
}

// onDialFailed records that a dial failed.
func (n *node) onDialFailed(now float64, connection *nodefailure.Connection, refused bool) {
	n.failureDetector.OnProbeFailed(now, refused)
	n.identity.OnConnectFailed(connection, n.failureDetector.LastContactAt())
	n.reportIdentity(now)
	n.processes.OnDialFailed(connection.DialedAt, refused)
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
