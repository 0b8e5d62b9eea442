package standin

import (
	"errors"
	"fmt"
	"math"
	"net/textproto"
	"strconv"
	"sync"

	"ravenpond/internal/audit"
	"ravenpond/internal/decide/admission"
	"ravenpond/internal/env"
	"ravenpond/internal/proto/line"
	"ravenpond/internal/proto/node"
)

const (
	maxQueuedBytes = 1 << 20 // limit on the bytes queued for a scheduler; beyond it the connection is closed
	maxPending     = 1 << 14 // maximum number of messages kept while the machine hangs
)

// errUnavailable ends a handshake while the node answers no scheduler.
var errUnavailable = errors.New("away")

// nodeConn is a scheduler's connection to a node. It implements env.ConnHandler and node.SchedulerHandler, which the connection calls from one
// goroutine.
type nodeConn struct {
	node     *Node
	conn     env.Conn
	splitter line.Splitter
	delays   admission.DelayEstimator // estimates the delay of messages from the scheduler

	mu           sync.Mutex
	scheduler    string  // guarded by mu; name of the scheduler, empty until the greeting is complete
	lastReceived float64 // guarded by mu; time of the last received data, ms
	closed       bool    // guarded by mu
}

// accept serves a connection, and closes it if its scheduler sends nothing for too long.
func (n *Node) accept(conn env.Conn) {
	c := &nodeConn{node: n, conn: conn, lastReceived: n.testbed.Now()}
	conn.Start(c, node.WriteTimeout)
	env.Every(n.testbed, node.HandshakeTimeout, func() bool {
		c.mu.Lock()
		defer c.mu.Unlock()
		timeout := float64(node.SilenceTimeout)
		if c.scheduler == "" {
			timeout = node.HandshakeTimeout
		}
		if !c.closed && n.testbed.Now()-c.lastReceived >= timeout {
			c.closeLocked("silent")
		}
		return !c.closed
	})
}

// OnData parses data from the scheduler.
func (c *nodeConn) OnData(b []byte) {
	c.mu.Lock()
	c.lastReceived = c.node.testbed.Now()
	c.mu.Unlock()
	if c.scheduler == "" {
		header, rest, err := c.splitter.Greeting(b, node.GreetingLine)
		if err == nil && header == nil {
			return
		}
		if err == nil {
			err = c.handshake(header)
		}
		if err != nil {
			c.close(err.Error())
			return
		}
		b = rest
	}
	if err := c.splitter.Feed(b, func(fields [][]byte) error { return node.DecodeScheduler(fields, c) }); err != nil {
		c.close(err.Error())
	}
}

// OnClose removes the connection from the node unless a later one of the same scheduler has replaced it.
func (c *nodeConn) OnClose(err error) {
	c.close(err.Error())
	n := c.node
	n.testbed.WithLock(func(float64) {
		if c.scheduler != "" && n.conns[c.scheduler] == c {
			delete(n.conns, c.scheduler)
			n.recordLink(audit.LinkClosed, c.scheduler, err.Error())
		}
	})
}

// handshake checks a scheduler's greeting and answers it. A later connection with the same scheduler name replaces the earlier one.
func (c *nodeConn) handshake(header textproto.MIMEHeader) (err error) {
	n, scheduler := c.node, header.Get("Scheduler")
	if scheduler == "" || header.Get("Node") != strconv.FormatUint(uint64(n.ID), 10) {
		return errors.New("not the node that was meant, or no name")
	}
	if text := header.Get("Sent"); text != "" {
		sent, err := strconv.ParseFloat(text, 64)
		if err != nil || math.IsNaN(sent) || math.IsInf(sent, 0) {
			return fmt.Errorf("greeting: bad time sent %.20q", text)
		}
		c.delays.OnRequest(n.testbed.Now(), sent, 0, 0)
	}
	n.testbed.WithLock(func(now float64) {
		if n.Gone || n.Machine.IsDown() || n.Machine.Hung {
			err = errUnavailable
			return
		}
		n.Machine.Advance(now) // messages that were due before are sent to the old connection
		if old := n.conns[scheduler]; old != nil {
			old.close("replaced by a later connection")
			n.recordLink(audit.LinkClosed, scheduler, "")
		}
		c.mu.Lock()
		c.scheduler = scheduler
		c.mu.Unlock()
		n.conns[scheduler] = c
		n.recordLink(audit.LinkOpened, scheduler, "")
		c.send(func(b []byte) []byte {
			return line.AppendGreeting(b, node.GreetingLine, "Node", strconv.FormatUint(uint64(n.ID), 10),
				"Life", strconv.FormatUint(n.incarnation, 10), "Up", strconv.FormatFloat(n.Machine.Uptime(now), 'f', 3, 64))
		})
		c.sendHeld(now)
	})
	return err
}

// sendHeld sends all tasks that the node holds for the scheduler. The caller holds the testbed's lock.
func (c *nodeConn) sendHeld(now float64) {
	var b []byte
	for _, held := range c.node.Machine.Held(now, c.scheduler) {
		if held.Running {
			c.node.recordAttempt(audit.StartConfirmed, held.ID, "")
		}
		b = held.Append(b)
	}
	c.send(func(queue []byte) []byte { return node.AppendHeldAll(append(queue, b...)) })
}

// Append appends the message that informs a scheduler of a held task.
func (h *HeldTask) Append(b []byte) []byte {
	state := node.ClaimWaiting
	if h.Running {
		state = node.ClaimRunning
	}
	return node.AppendHeld(b, node.HeldTask{Attempt: node.AttemptID{Ticket: h.ID.Ticket, Number: h.ID.Attempt}, State: state, Task: node.Task{JobClass: h.Job, Tenant: h.Tenant, Service: h.Service, Token: h.Token, Cores: h.Cores, Memory: h.Memory}})
}

func (c *nodeConn) close(reason string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closeLocked(reason)
}

func (c *nodeConn) closeLocked(reason string) {
	if !c.closed {
		c.closed = true
		c.conn.Close(true, node.AppendBye(nil, reason))
	}
}

// send queues a message, and disconnects a scheduler that reads too slowly.
func (c *nodeConn) send(appendTo func([]byte) []byte) {
	if _, waiting, _ := c.conn.Send(appendTo); waiting > maxQueuedBytes {
		c.close("slow reader")
	}
}

// deliver handles a message now, or once the machine no longer hangs, and wakes the node's loop. It drops the message if the connection was
// replaced or too many messages wait.
func (c *nodeConn) deliver(handle func(now float64)) error {
	n := c.node
	n.testbed.WithLock(func(now float64) {
		switch {
		case n.conns[c.scheduler] != c:
		case n.Machine.Hung && len(n.pending) < maxPending:
			n.pending = append(n.pending, func(now float64) {
				if n.conns[c.scheduler] == c {
					handle(now)
				}
			})
		case !n.Machine.Hung:
			n.processPending(now)
			handle(now)
		}
	})
	n.loop.Wake()
	return nil
}

func (c *nodeConn) attemptID(attempt node.AttemptID) AttemptID {
	return AttemptID{Scheduler: c.scheduler, Ticket: attempt.Ticket, Attempt: attempt.Number}
}

// OnOffer implements node.SchedulerHandler. The transit time of the message counts against its timeout: an offer that arrives too late is
// rejected.
func (c *nodeConn) OnOffer(o node.Offer) error {
	n, t := c.node, &o.Task
	if t.JobClass >= n.Jobs || t.Tenant >= n.Tenants {
		return fmt.Errorf("unknown job type %d or tenant %d", t.JobClass, t.Tenant)
	}
	received := n.testbed.Now()
	delay := c.delays.OnRequest(received, o.SentAt, 0, 0)
	timeout := o.Timeout - delay
	n.testbed.Trace.Add(audit.Record{
		At: received, Kind: audit.PlacementReceived, Scheduler: c.scheduler, Node: n.ID, Ticket: o.Attempt.Ticket,
		Attempt: o.Attempt.Number, Job: t.JobClass, Token: t.Token, Service: t.Service, Deadline: received + timeout, SentAt: received - delay,
	})
	return c.deliver(func(now float64) {
		n.Machine.Place(now, Placement{
			ID: c.attemptID(o.Attempt), Epoch: o.Epoch, Timeout: timeout - (now - received), Job: t.JobClass,
			Tenant: t.Tenant, Service: t.Service, Token: t.Token, Cores: t.Cores, Memory: t.Memory,
		})
	})
}

// OnRecall implements node.SchedulerHandler.
func (c *nodeConn) OnRecall(attempt node.AttemptID) error {
	return c.deliver(func(now float64) {
		id := c.attemptID(attempt)
		c.node.recordAttempt(audit.RecallReceived, id, "")
		c.node.Machine.Recall(now, id)
	})
}

// OnStop implements node.SchedulerHandler.
func (c *nodeConn) OnStop(attempt node.AttemptID) error {
	return c.deliver(func(now float64) { c.node.Machine.Stop(now, c.attemptID(attempt)) })
}

// OnClaim implements node.SchedulerHandler.
func (c *nodeConn) OnClaim(attempt node.AttemptID) error {
	return c.deliver(func(now float64) { c.node.Machine.Claim(now, c.attemptID(attempt)) })
}

// OnProbe implements node.SchedulerHandler.
func (c *nodeConn) OnProbe(seq uint64) error {
	return c.deliver(func(now float64) { c.node.Machine.Probe(now, c.scheduler, seq) })
}

// OnPing implements node.SchedulerHandler.
func (c *nodeConn) OnPing(sent float64) error {
	c.delays.OnRequest(c.node.testbed.Now(), sent, 0, 0)
	return c.deliver(func(float64) { c.send(node.AppendPong) })
}

// OnResync implements node.SchedulerHandler.
func (c *nodeConn) OnResync() error { return c.deliver(c.sendHeld) }

// OnBye implements node.SchedulerHandler: it ends the connection.
func (c *nodeConn) OnBye(reason string) error { return fmt.Errorf("farewell: %s", reason) }
