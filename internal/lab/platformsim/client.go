package platformsim

import (
	"errors"
	"fmt"
	"io"
	"slices"
	"strings"

	"ravenpond/internal/audit"
	"ravenpond/internal/env"
	codec "ravenpond/internal/proto/platform"
)

// Times of clients in ms.
const (
	clientDialTimeout = 500
	restoreDelay      = 50 // after a connection to a restarted scheduler
	answerAllowance   = 50 // beyond the time-out of a request, for its way
	crossingTime      = 50 // before the end of a connection without open requests: what is sent then is sent once more
	resendDelay       = 5  // until it is
	connPollInterval  = 5  // between two looks whether a connection is open
	minPause          = 20 // between two requests
	pauseRange        = 60
	maxDisconnectWait = 60  // after a request until its client disconnects
	maxWithdrawWait   = 200 // after a request until it is withdrawn
)

// One in how many requests makes the client disconnect, or is withdrawn.
const (
	disconnectingRequests = 60
	withdrawnRequests     = 20
)

// task is an allocation as its client knows it.
type task struct {
	id, key     uint64
	job         int
	service     uint64
	scheduler   *scheduler
	conn        *peerConn // on which it was requested
	node        *node     // where it runs, as far as the client was notified
	running     bool
	deadline    float64            // true time in ms
	requestedAt float64            // true time in ms
	attempts    uint8              // that reached nodes
	late        bool               // its scheduler was told to end a while before, and rejects what comes
	attempted   bool               // its scheduler has sent an attempt
	sentAt      map[string]float64 // when its scheduler last sent an attempt, by the node's address; true time in ms
	abandonedAt float64            // when its client disconnected or withdrew, 0: it has not; true time in ms
}

// client requests tasks of one scheduler.
type client struct {
	sim       *simulation
	scheduler *scheduler
	process   host
	conn      *peerConn        // the newest
	older     []*peerConn      // other connections that clients still use
	pending   map[uint64]*task // that were not answered
}

// start connects to an incarnation of the scheduler, and then requests the tasks that run.
func (c *client) start() {
	c.pending, c.older = map[uint64]*task{}, nil
	incarnation := c.scheduler.incarnation
	c.dial(func() {
		c.process.After(restoreDelay, func() {
			if c.scheduler.incarnation == incarnation {
				c.restoreTasks()
			}
		})
	})
}

// dial makes a connection, which later requests use, and calls then once it is made.
func (c *client) dial(then func()) {
	pc := &peerConn{onMessage: c.onMessage}
	c.watchConn(pc)
	if c.conn != nil && c.conn.isOpen() {
		c.older = append(c.older, c.conn)
	}
	c.conn = pc
	incarnation := c.scheduler.incarnation
	pc.onClose = func(err error) { c.onClose(pc, incarnation, err) }
	onDialed := pc.onDialed(codec.AppendHealthCheck(nil, 1, false))
	c.process.Dial(c.scheduler.address(), clientDialTimeout, func(conn env.Conn, err error) {
		onDialed(conn, err)
		if err == nil && then != nil {
			then()
		}
	})
}

// watchConn notes until when a connection was open. A rig on a busy machine reads the end of a connection late; a request is late by what is
// known of the end, not by when it was read.
func (c *client) watchConn(pc *peerConn) {
	if pc.closed {
		return
	}
	if pc.conn != nil && !pc.conn.PeerClosed() {
		pc.openUntil = c.sim.clock.TrueTime()
	}
	c.process.After(connPollInterval, func() { c.watchConn(pc) })
}

// onClose abandons what was requested on a connection, and makes another. A scheduler must not close one with open requests. A request that
// crosses such a close has not been read, and is sent once more.
func (c *client) onClose(pc *peerConn, incarnation int, err error) {
	s := c.scheduler
	c.older = slices.DeleteFunc(c.older, func(other *peerConn) bool { return other == pc })
	for _, id := range sortedIDs(c.pending) {
		t := c.pending[id]
		if t.conn != pc {
			continue
		}
		c.sim.record(audit.Record{Kind: audit.RequestAbandoned, Scheduler: s.name, RequestRef: t.id})
		delete(c.pending, id)
		if !errors.Is(err, io.EOF) || s.server == nil || s.incarnation != incarnation {
			continue
		}
		if unanswered := pc.openUntil - t.requestedAt; t.attempted || unanswered > crossingTime {
			c.sim.fail(fmt.Sprintf("rule 1: %s ended a connection on which ask %d had no answer for %.0f ms", s.name, id, unanswered))
		} else {
			c.sim.resend(t)
		}
	}
	if c.conn == pc && s.server != nil && s.stoppedAt == 0 {
		c.dial(nil)
	}
}

// markDisconnected notes that the scheduler was killed.
func (c *client) markDisconnected() { c.conn, c.older = &peerConn{closed: true}, nil }

// disconnect closes the connection with all that is open on it; another is made. Not under overload: an end of this network reads nothing
// once it is closed, while the scheduler reads the close late, so what it sends until then would be lost without its fault.
func (c *client) disconnect() {
	pc := c.conn
	if pc == nil || pc.conn == nil || pc.closed || c.scheduler.stoppedAt != 0 {
		return
	}
	for _, id := range sortedIDs(c.pending) {
		if t := c.pending[id]; t.conn == pc {
			t.abandonedAt = c.sim.clock.TrueTime()
		}
	}
	pc.conn.Close(true, nil)
}

// restoreTasks requests the tasks again that the scheduler's last incarnation started and that run.
func (c *client) restoreTasks() {
	for _, id := range sortedIDs(c.sim.tasks) {
		t := c.sim.tasks[id]
		if t.scheduler != c.scheduler || !t.running || t.node.tasks[t.id] == nil {
			continue
		}
		c.sim.result.Restored++
		c.conn.send(t.setUp(requestTimeout, ";at:"+t.node.name))
	}
}

// setUp is the request for a task, with the time that its client waits in ms; suffix is added to its demand.
func (t *task) setUp(timeLeft float64, suffix string) []byte {
	return message(codec.KindSetUp, t.id,
		param{codec.ParamJobClass, jobNames[t.job]}, param{codec.ParamTimeLeft, int(timeLeft)}, param{codec.ParamTenant, "acme"},
		param{codec.ParamName, fmt.Sprintf("%016x", t.id)}, param{codec.ParamKey, fmt.Sprintf("%032x", t.key)},
		param{codec.ParamDemand, fmt.Sprintf("cores:1;memory:2;service:%016x%s", t.service, suffix)}, param{codec.ParamDescription, "owner's"})
}

// sortedIDs returns the ids of tasks in order.
func sortedIDs(tasks map[uint64]*task) []uint64 {
	var ids []uint64
	for id := range tasks {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids
}

// sendNext has a client request a task, and schedules the next.
func (sm *simulation) sendNext() {
	if sm.clock.TrueTime() > activeTime {
		return
	}
	pause, s := minPause+pauseRange*sm.rng.Float64(), sm.schedulers[sm.rng.IntN(len(sm.schedulers))]
	switch {
	case sm.overload != nil:
		pause, s = sm.overload.nextRequest()
	case sm.isCrowded():
		pause /= float64(sm.crowdFactor)
	}
	sm.after(pause, sm.sendNext)
	if s.client.mayRequest() {
		s.client.request()
	}
}

// mayRequest reports whether the client has a connection. Clients use those that are open until their scheduler closes them or is killed.
func (c *client) mayRequest() bool { return c.scheduler.server != nil && c.openConn() != nil }

// openConn returns a connection for the next request, nil if none is open.
func (c *client) openConn() *peerConn {
	open := slices.DeleteFunc(append(slices.Clone(c.older), c.conn), func(pc *peerConn) bool {
		return pc == nil || !pc.isOpen() || pc.conn.PeerClosed()
	})
	if len(open) == 0 {
		return nil
	}
	if len(open) == 1 {
		return open[0]
	}
	return open[c.sim.rng.IntN(len(open))]
}

// request requests a task. Now and then the client disconnects or withdraws it soon after.
func (c *client) request() {
	sm := c.sim
	sm.lastTask++
	t := &task{
		id: sm.lastTask, key: sm.lastTask, job: sm.rng.IntN(len(jobRules)), service: uint64(1 + sm.rng.IntN(4)),
		deadline: sm.clock.TrueTime() + requestTimeout,
	}
	c.send(t)
	if sm.overload == nil && sm.rng.IntN(disconnectingRequests) == 0 {
		sm.after(maxDisconnectWait*sm.rng.Float64(), c.disconnect)
	}
	if sm.rng.IntN(withdrawnRequests) == 0 {
		sm.after(maxWithdrawWait*sm.rng.Float64(), func() { c.withdraw(t) })
	}
}

// send sends a request on an open connection.
func (c *client) send(t *task) {
	sm := c.sim
	t.scheduler, t.conn, t.requestedAt = c.scheduler, c.openConn(), sm.clock.TrueTime()
	sm.tasks[t.id], c.pending[t.id] = t, t
	t.late = c.scheduler.stoppedAt > 0 && t.requestedAt > c.scheduler.stoppedAt+earlyRequestTime
	if t.late {
		sm.result.Late++
	} else {
		sm.result.Requests++
		sm.result.Jobs[t.job].Requests++
	}
	sm.record(audit.Record{
		Kind: audit.RequestSent, Scheduler: c.scheduler.name, RequestRef: t.id, Token: t.key, Job: t.job, Deadline: t.deadline + answerAllowance,
	})
	t.conn.send(t.setUp(t.deadline-t.requestedAt, ""))
}

// resend sends a request once more that crossed the end of its connection, on another connection and where new ones are accepted. Its first
// number is used up.
func (sm *simulation) resend(t *task) {
	sm.after(resendDelay, func() {
		for _, s := range sm.schedulers {
			if s.stoppedAt == 0 && s.client.mayRequest() {
				sm.lastTask++
				sm.result.Resent++
				s.client.send(&task{id: sm.lastTask, key: t.key, job: t.job, service: t.service, deadline: t.deadline})
				return
			}
		}
	})
}

// withdraw withdraws a request that was not answered.
func (c *client) withdraw(t *task) {
	if c.pending[t.id] != t {
		return
	}
	delete(c.pending, t.id)
	t.abandonedAt = c.sim.clock.TrueTime()
	c.sim.record(audit.Record{Kind: audit.RequestAbandoned, Scheduler: c.scheduler.name, RequestRef: t.id})
	t.conn.send(codec.AppendEnd(nil, t.id, codec.CauseNormal)) // an open request belongs to its connection
}

// onMessage takes a message of the scheduler.
func (c *client) onMessage(msg []byte) {
	t := c.sim.tasks[codec.Task(msg)]
	if t == nil {
		return
	}
	switch codec.Kind(msg) {
	case codec.KindAnswer:
		if c.pending[t.id] == t {
			c.onAnswer(t, msg)
		}
	case codec.KindEnd:
		c.onEnd(t, msg)
	case codec.KindMove:
		t.running = false
	}
}

// onAnswer takes the answer that a task runs; its description says where, in the node's own words.
func (c *client) onAnswer(t *task, msg []byte) {
	sm := c.sim
	description, _ := codec.Param(msg, codec.ParamDescription)
	name, _, _ := strings.Cut(string(description), " ")
	for _, n := range sm.nodes {
		if n.name == name {
			t.node, t.running = n, true
		}
	}
	if t.node == nil || string(description) != t.node.describe(t.id) {
		sm.fail(fmt.Sprintf("task %x: description %q is no node's", t.id, description))
	}
	if !t.late {
		sm.result.Served++
		sm.result.Jobs[t.job].Served++
	}
	c.recordAnswer(t, audit.AnswerServed)
}

// onEnd takes the end of a running task, or the answer to a request that was not served.
func (c *client) onEnd(t *task, msg []byte) {
	cause, _ := codec.CauseOf(msg)
	switch {
	case t.running:
		t.running = false
	case cause == codec.CauseBusy || cause == codec.CauseFull || cause == codec.CauseNotStarted:
		c.recordAnswer(t, audit.AnswerDeclined)
	default:
		c.recordAnswer(t, "failed")
	}
}

func (c *client) recordAnswer(t *task, answer string) {
	if c.pending[t.id] == t {
		delete(c.pending, t.id)
		c.sim.record(audit.Record{Kind: audit.ResponseReceived, Scheduler: c.scheduler.name, RequestRef: t.id, Token: t.key, Detail: answer})
	}
}
