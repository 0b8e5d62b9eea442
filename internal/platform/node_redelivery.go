package platform

import (
	"maps"
	"slices"

	"github.com/rs/zerolog"

	"ravenpond/internal/decide/budget"
	"ravenpond/internal/decide/redelivery"
	codec "ravenpond/internal/proto/platform"
)

// The code in this file handles messages that may be lost with a connection to a node: stops, which are sent again, and reports of the node, which it
// sends once more on the next connection that is opened. Package redelivery decides.

// sendStop sends the stop of a task. It returns false if the connection can't carry the message.
func (c *nodeConn) sendStop(now float64, stop redelivery.Message) bool {
	if c.conn == nil || c.closed || !c.isOpen() {
		return false
	}
	through, _, ok := c.conn.Send(func(b []byte) []byte { return codec.AppendEnd(b, stop.Task, stop.Cause) })
	if ok {
		c.node.stops.OnSent(now, stop.Task, c.number, through)
	}
	return ok
}

// sendUnsentStops sends the stops that wait for a connection.
func (c *nodeConn) sendUnsentStops(now float64) {
	for _, stop := range c.node.stops.Unsent(now) {
		c.sendStop(now, stop)
	}
}

// OnLateData processes bytes that were received after the connection was closed here. It implements env.LateReader.
func (c *nodeConn) OnLateData(b []byte) {
	c.server.mu.Lock()
	defer c.server.mu.Unlock()
	c.onLateData(c.server.env.Now(), b)
}

// OnPeerDone is called when a connection that was closed here has ended. It implements env.LateReader.
func (c *nodeConn) OnPeerDone(complete bool) {
	c.server.mu.Lock()
	defer c.server.mu.Unlock()
	c.onPeerDone(complete)
}

// onLateData processes bytes that were received after the connection was closed here.
func (c *nodeConn) onLateData(now float64, b []byte) {
	if !c.readsLate {
		return
	}
	rest, err := splitMessages(c.partial, b, func(msg []byte) error { return c.onLateMessage(now, msg) })
	c.endLateRead(now, err, rest)
}

// endLateRead keeps the rest of what was read, or reads no more if it is malformed.
func (c *nodeConn) endLateRead(now float64, err error, rest []byte) {
	if !c.readsLate {
		return
	}
	if c.partial = rest; err != nil {
		c.server.telemetry.count(countMalformed)
		c.readsLate, c.partial = false, nil
		c.node.onConnLost(now, c, false)
	}
	c.server.loop.wake()
}

// onLateMessage processes a message that the node sent before it learned that the connection was closed here. Of what is still of interest then, the
// ends of tasks and answers that came too late, nothing else tells.
func (c *nodeConn) onLateMessage(now float64, msg []byte) error {
	if !c.readsLate {
		return nil
	}
	s, task := c.server, codec.Task(msg)
	switch codec.Kind(msg) {
	case codec.KindEnd:
		s.telemetry.count(countLateReports)
		s.telemetry.traceNodeMessage(c, msg)
		return c.onEnd(now, task, msg)
	case codec.KindAnswer:
		s.telemetry.traceNodeMessage(c, msg)
		c.onStrayAnswer(task, s.requests.task(task))
	}
	return nil
}

// onPeerDone handles the end of a connection that was closed here.
func (c *nodeConn) onPeerDone(complete bool) {
	if !c.readsLate {
		return
	}
	now := c.server.env.Now()
	c.readsLate, c.partial = false, nil
	c.node.onConnLost(now, c, complete)
	if !complete {
		c.history.Broken = true
		c.node.endTasksOfEarlierProcess(now)
	}
}

// stopAbandoned stops the tasks whose late answers may have been lost with the connection: they must not run beside other attempts.
func (c *nodeConn) stopAbandoned(now float64) {
	for _, task := range slices.Sorted(maps.Keys(c.abandoned)) {
		if r := c.server.requests.task(task); r == nil || r.node != c.node || !r.running && r.conn == nil {
			c.node.queueStop(now, task)
		}
	}
	c.abandoned = nil
}

// onConnLost handles the end of a connection. complete says that all that either side sent on it was read.
func (n *node) onConnLost(now float64, c *nodeConn, complete bool) {
	n.stops.OnConnEnded(c.number, redelivery.ConnEnd{Written: c.conn.BytesWritten(), PeerDone: complete, Repeatable: true})
	if !complete {
		c.stopAbandoned(now)
		n.server.telemetry.count(countConnsLost)
		n.reconnect.OnMessagesLost(now)
		n.reconnectIfDue(now)
	}
}

// reconnectIfDue makes a new connection if an earlier one may have taken reports of the node or stops with it. It is made beside those that are open.
func (n *node) reconnectIfDue(now float64) {
	owed := len(n.running) > 0 || n.stops.HasUnsent(now)
	if n.isUnavailable() || !n.reconnect.IsDue(now, owed, n.newestDial()) || !n.server.nodes.reserve(now, budget.ForHealthCheck, n) {
		return
	}
	n.reconnect.OnDial(now)
	n.server.telemetry.count(countReconnects)
	n.server.telemetry.trace("connecting again", 0, func(e *zerolog.Event) {
		e.Str("node", n.name).Int("stood", len(n.running)).Int("stops", n.stops.Len()).Int("links", len(n.conns))
	})
	n.dial().keepsOthers = true
}

// newestDial returns when the newest connection that is still being made was dialed, below 0 if none is.
func (n *node) newestDial() float64 {
	newest := -1.0
	for _, c := range n.conns {
		if c.conn == nil {
			newest = max(newest, c.history.DialedAt)
		}
	}
	return newest
}

// checkStops sends health checks on the connections on which stops were sent and nothing shows that the node has read them.
func (n *node) checkStops(now float64) {
	numbers := n.stops.ConnsToCheck(now)
	if len(numbers) == 0 {
		return
	}
	for _, c := range n.conns {
		if slices.Contains(numbers, c.number) && c.canProbe(now) {
			c.startProbe(connCheckSeq)
		}
	}
}
