package platform

import (
	"hash/fnv"
	"slices"

	"github.com/rs/zerolog"

	"ravenpond/internal/decide/endedtasks"
	"ravenpond/internal/decide/nodefailure"
	"ravenpond/logic"
)

// The methods of node in this file handle that another node may have its address: whether what is sent to the address reaches this node.

// reportIdentity tells the host whether what is sent to the node is known to reach it, if that has changed: whether there is a connection that is known to
// lead to the node.
func (n *node) reportIdentity(now float64) {
	n.identity.Confirm(n.server.endpoints.currentUpTo(now))
	if known := slices.ContainsFunc(n.conns, func(c *nodeConn) bool { return c.isKnown(now) }); known != n.identityKnown {
		n.identityKnown = known
		n.server.telemetry.trace("identity", 0, func(e *zerolog.Event) {
			e.Str("node", n.name).Str("address", n.address).Bool("known", known)
		})
		n.server.host.OnNodeIdentity(now, n.id, known)
	}
}

// isKnown reports whether the connection can be used for new requests and is known to lead to its node.
func (c *nodeConn) isKnown(now float64) bool { return !c.draining && c.node.knows(now, c.history) }

// knows reports whether a connection is known to lead to the node.
func (n *node) knows(now float64, connection *nodefailure.Connection) bool {
	return n.identity.Knows(n.server.endpoints.currentUpTo(now), connection)
}

// knownConn returns a connection that is known to lead to the node: an idle one, else the one with the fewest requests, nil if there is none.
func (n *node) knownConn(now float64) (found *nodeConn) {
	for _, c := range n.conns {
		if c.isKnown(now) && c.isOpen() && (!c.isIdle() || c.isFresh(now)) && (found == nil || len(c.requests) < len(found.requests)) {
			found = c
		}
	}
	return found
}

// endUnprovenTasks ends the tasks of which nothing proves that their process lives. They are also stopped, in case they run.
func (n *node) endUnprovenTasks(now float64) {
	if !n.identity.InDoubt() {
		return
	}
	current, outOfReach := n.server.endpoints.isCurrent(now), n.failureDetector.IsOutOfReach(now)
	hasEnded := func(r *request) bool {
		return n.identity.HasPresumablyEnded(now, current, outOfReach, r.placed.KnownAt)
	}
	stop := n.stopTask
	if outOfReach { // a stop on an open connection would be lost
		stop = func(task uint64) { n.queueStop(now, task) }
	}
	n.endTasks(now, hasEnded, stop, "nothing proves that the node's process lives; ending its tasks")
}

// onTaskReported records a message of the node about a task.
func (c *nodeConn) onTaskReported(r *request) {
	if r.running {
		r.placed.OnReported(c.history)
		c.node.identity.OnTaskReported(r.placed.StartedBy)
	}
}

// rememberEnd remembers that the node at the other end of the connection has reported the end of a task. If it is not known to be the node that the
// connection was made for, the end is remembered for whichever node is at the address.
func (c *nodeConn) rememberEnd(now float64, task uint64, verdict logic.Outcome) {
	c.node.rememberEnd(now, task, verdict)
	if !c.node.knows(now, c.history) {
		c.server.ended.Add(now, addressKey(c.node.address, task), verdict)
	}
}

// earlierEnd returns how a task that is handed over at the node has ended, if that is remembered.
func (n *node) earlierEnd(now float64, task uint64) (verdict logic.Outcome, ended bool) {
	if verdict, ended = n.server.ended.Find(now, n.taskKey(task)); ended {
		return verdict, true
	}
	return n.server.ended.Find(now, addressKey(n.address, task))
}

// addressKey returns the key of a task at whichever node has an address.
func addressKey(address string, task uint64) endedtasks.Task {
	f := fnv.New32a()
	f.Write([]byte(address))
	return endedtasks.Task{Node: f.Sum32(), ID: task}
}

// mayLeadTo reports whether a connection that was made for this node may lead to another one, which has its address according to the node list.
func (n *node) mayLeadTo(owner *node, connection *nodefailure.Connection) bool {
	isBeingMade := connection.EstablishedAt == 0
	return isBeingMade || owner.processes.MayLeadTo(connection) || !n.identity.IsFromBefore(connection)
}

// displace handles that the node list gives the address of this node, which is unavailable, to another one. If it was listed until now and has sent
// nothing since the other one started, its process has ended. A node that the list has told to be gone may still run its last tasks.
func (n *node) displace(now float64, owner *node, wasListed bool) {
	n.identity.OnDisplaced(now, owner.processes.EarliestStart())
	n.endTasksAt(now, owner)
	for _, c := range slices.Clone(n.conns) {
		if n.mayLeadTo(owner, c.history) {
			c.abandon("its address belongs to another node")
		}
	}
	if wasListed && len(n.running) > 0 && !n.isAliveBeside(owner) {
		n.loseTasks(now)
	}
	n.checkConnsNow(now)
	n.reportIdentity(now)
}

// endTasksAt ends the tasks that may run at another node, which has the address of this one: their answers came on connections that may lead there.
// Should one run, it is stopped, as its client may request it again.
func (n *node) endTasksAt(now float64, owner *node) {
	for _, r := range n.sortedTasks() {
		if connection := r.placed.ReportedOn; connection != nil && n.mayLeadTo(owner, connection) {
			task := r.task
			n.loseTask(now, r)
			owner.stopTask(task)
		}
	}
}

// isAliveBeside reports whether the node has sent something after another one started at its address.
func (n *node) isAliveBeside(owner *node) bool {
	return slices.ContainsFunc(n.conns, func(c *nodeConn) bool {
		return !n.mayLeadTo(owner, c.history) && owner.processes.IsOutlivedBy(c.history)
	})
}
