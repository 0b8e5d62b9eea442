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

// Times of clients, in ms.
const (
	clientDialTimeout = 500
	restoreDelay      = 50 // after the connection to a restarted scheduler is made
	restoreDelayRange = 600
	clientRetryDelay  = 600 // as in settingsText: until a client hands over a task of an attempt that was given up
	answerAllowance   = 50  // beyond the time-out of a request, for its transfer
	crossingTime      = 50  // before a connection without open requests is closed: a request sent within it may cross the close and is resent
	resendDelay       = 5   // until such a request is resent
	connPollInterval  = 5   // between two checks whether a connection is open
	minPause          = 20  // between two requests
	pauseRange        = 60
	maxDisconnectWait = 60  // after a request, until its client disconnects
	maxWithdrawWait   = 200 // after a request, until it is withdrawn
)

// On average, one in this many requests makes the client disconnect or is withdrawn.
const (
	disconnectingRequests = 60
	withdrawnRequests     = 20
)

// task is an allocation as its client sees it.
type task struct {
	id, key     uint64
	job         int
	service     uint64
	scheduler   *scheduler
	conn        *peerConn // the connection on which it was requested
	node        *node     // where it runs, according to the last notification to the client
	running     bool
	heldBy      int                // the incarnation of its scheduler that served it or was handed it last
	heldBefore  int                // the incarnation that held it before that one, 0 if there was none
	heldSince   float64            // true time in ms
	handedOver  bool               // to that incarnation, which did not start it
	releasedAt  float64            // when its scheduler last sent its end, 0 if it did not; true time in ms
	reportedTo  int                // the incarnation of its scheduler to which its node last reported its end, 0 if to none
	deadline    float64            // true time in ms
	requestedAt float64            // true time in ms
	attempts    uint8              // attempts that reached nodes
	late        bool               // it was requested so long after its scheduler was stopped that the scheduler may reject it
	attempted   bool               // its scheduler has sent an attempt
	sentAt      map[string]float64 // when its scheduler last sent an attempt, by node address; true time in ms
	reports     []report           // of its end, to its scheduler
	abandonedAt float64            // when its client disconnected or withdrew it, 0 if it did not; true time in ms
}

// client requests tasks from one scheduler.
type client struct {
	sim       *simulation
	scheduler *scheduler
	process   host
	conn      *peerConn        // the newest connection
	older     []*peerConn      // other connections that are still used
	pending   map[uint64]*task // requests that were not answered, by id

	disconnects []float64 // when the client closed a connection itself, true times in ms
}

// start connects to the scheduler's current incarnation and then requests the running tasks again.
func (c *client) start() {
	c.pending, c.older = map[uint64]*task{}, nil
	incarnation := c.scheduler.incarnation
	delay := float64(restoreDelay)
	if c.sim.overload == nil {
		delay += restoreDelayRange*c.sim.endingRNG.Float64() + c.sim.handOverDelay()
	}
	c.dial(func() {
		c.process.After(delay, func() {
			if c.scheduler.incarnation == incarnation {
				c.restoreTasks()
			}
		})
	})
}

// dial opens a connection for later requests, and calls then once it is open.
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

// watchConn records until when a connection was open. On a busy machine the simulation reads the close of a connection late; how long a request
// went unanswered is measured to the time at which the connection was last known to be open, not to the time at which the close was read.
func (c *client) watchConn(pc *peerConn) {
	if pc.closed {
		return
	}
	if pc.conn != nil && !pc.conn.PeerClosed() {
		pc.openUntil = c.sim.clock.TrueTime()
	}
	c.process.After(connPollInterval, func() { c.watchConn(pc) })
}

// onClose abandons the requests that are open on a connection, and opens another connection. A scheduler must not close a connection with open
// requests. A request that crosses the close was not read by the scheduler, and is resent.
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
			c.sim.fail(fmt.Sprintf("rule 1: %s closed a connection on which request %d had not been answered for %.0f ms", s.name, id, unanswered))
		} else {
			c.sim.resend(t)
		}
	}
	if c.conn == pc && s.server != nil && s.stoppedAt == 0 {
		c.dial(nil)
	}
}

// markDisconnected marks the connections closed because the scheduler was killed.
func (c *client) markDisconnected() { c.conn, c.older = &peerConn{closed: true}, nil }

// disconnect closes the newest connection with all requests that are open on it; the client then opens another. It is not used under overload:
// on the simulated network a closed end reads nothing more, and an overloaded scheduler reads the close late, so messages that it sends until then
// would be lost through no fault of its own.
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
	c.disconnects = append(c.disconnects, c.sim.clock.TrueTime())
	pc.conn.Close(true, nil)
}

// restoreTasks requests the tasks again that the scheduler's last incarnation started and that still run, or have ended without a notification to the
// client. Under overload it leaves out those that have ended.
func (c *client) restoreTasks() {
	for _, id := range sortedIDs(c.sim.tasks) {
		t := c.sim.tasks[id]
		ended := t.running && t.node.tasks[t.id] == nil
		if t.scheduler != c.scheduler || !t.running || ended && c.sim.overload != nil || !c.conn.isOpen() {
			continue
		}
		c.sim.result.Restored++
		if ended {
			c.sim.result.RestoredEnded++
		}
		t.heldBefore, t.heldBy, t.heldSince, t.handedOver = t.heldBy, c.scheduler.incarnation, c.sim.clock.TrueTime(), true
		c.conn.send(t.setUp(requestTimeout, ";at:"+t.node.name))
	}
}

// setUp encodes the request for a task. timeLeft is how long its client waits, in ms; suffix is appended to the demand.
func (t *task) setUp(timeLeft float64, suffix string) []byte {
	return message(codec.KindSetUp, t.id,
		param{codec.ParamJobClass, jobNames[t.job]}, param{codec.ParamTimeLeft, int(timeLeft)}, param{codec.ParamTenant, "acme"},
		param{codec.ParamName, fmt.Sprintf("%016x", t.id)}, param{codec.ParamKey, fmt.Sprintf("%032x", t.key)},
		param{codec.ParamDemand, fmt.Sprintf("cores:1;memory:2;service:%016x%s", t.service, suffix)}, param{codec.ParamDescription, "owner's"})
}

// sortedIDs returns the ids of tasks in ascending order.
func sortedIDs(tasks map[uint64]*task) []uint64 {
	var ids []uint64
	for id := range tasks {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids
}

// sendNext makes a client request a task, and schedules the next request.
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

// mayRequest reports whether the client has an open connection. Clients use a connection until the scheduler closes it or is killed.
func (c *client) mayRequest() bool { return c.scheduler.server != nil && c.openConn() != nil }

// openConn returns a connection for the next request, or nil if none is open.
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

// request requests a task. For some requests the client disconnects or withdraws the request soon after.
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

// send sends the request for a task on an open connection. On sockets the last one may have been closed since mayRequest; nothing is sent then.
func (c *client) send(t *task) {
	sm := c.sim
	t.scheduler, t.conn, t.requestedAt = c.scheduler, c.openConn(), sm.clock.TrueTime()
	if t.conn == nil {
		return
	}
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

// resend sends a request again that crossed the close of its connection, on another connection, to a scheduler that accepts new requests. It gets
// a new id, because the first one is used up.
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

// withdraw withdraws a request that has not been answered.
func (c *client) withdraw(t *task) {
	if c.pending[t.id] != t {
		return
	}
	delete(c.pending, t.id)
	t.abandonedAt = c.sim.clock.TrueTime()
	c.sim.record(audit.Record{Kind: audit.RequestAbandoned, Scheduler: c.scheduler.name, RequestRef: t.id})
	t.conn.send(codec.AppendEnd(nil, t.id, codec.CauseNormal)) // a request is withdrawn on the connection on which it was sent
}

// onMessage handles a message from the scheduler.
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

// onAnswer handles the answer that a task runs. The task's description, which the node wrote, says where.
func (c *client) onAnswer(t *task, msg []byte) {
	sm := c.sim
	description, _ := codec.Param(msg, codec.ParamDescription)
	name, _, _ := strings.Cut(string(description), " ")
	for _, n := range sm.nodes {
		if n.name == name {
			t.node, t.running = n, true
			t.heldBy, t.heldSince = c.scheduler.incarnation, sm.clock.TrueTime()
		}
	}
	if t.node == nil || string(description) != t.node.describe(t.id) {
		sm.fail(fmt.Sprintf("task %x: description %q is not the one that its node sent", t.id, description))
	}
	if !t.late {
		sm.result.Served++
		sm.result.Jobs[t.job].Served++
	}
	c.recordAnswer(t, audit.AnswerServed)
	c.drawClientEnd(t)
}

// onEnd handles the end of a running task, or the answer to a request that was not served.
func (c *client) onEnd(t *task, msg []byte) {
	cause, _ := codec.CauseOf(msg)
	switch {
	case t.running:
		c.checkEnded(t)
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
