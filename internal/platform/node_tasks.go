package platform

import (
	"cmp"
	"maps"
	"slices"

	"ravenpond/internal/decide/connlimits"
	"ravenpond/internal/decide/endedtasks"
	"ravenpond/logic"
)

// The methods of node in this file hold its running tasks: how they end without a report of the node, and how they are stopped.

// pendingStop is a task that is to be stopped once there is a connection to its node.
type pendingStop struct {
	task    uint64
	expires float64 // the time after which the stop is no longer sent
}

// addTask adds a task that runs on the node.
func (n *node) addTask(r *request) { n.running[r] = true }

// removeTask removes a task that has ended.
func (n *node) removeTask(r *request) { delete(n.running, r) }

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

// onListed records the start time that the node list gives, and reports whether it is that of a later process. If so, the tasks of the earlier one have
// ended. This comes before the module is told of the start: the module then takes the new process for empty.
func (n *node) onListed(now, startedAt float64) (restarted bool) {
	restarted = n.processStart.OnListed(now, startedAt)
	if restarted {
		n.identity.OnStartListed()
		n.withdrawPendingAttempts()
		n.endTasksOfEarlierProcess(now)
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
