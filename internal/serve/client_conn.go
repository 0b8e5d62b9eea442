package serve

import (
	"slices"
	"strconv"
	"sync"

	"ravenpond/internal/decide/admission"
	"ravenpond/internal/decide/connadmission"
	"ravenpond/internal/engine"
	"ravenpond/internal/env"
	"ravenpond/internal/proto/client"
	"ravenpond/logic"
)

// endNames are the protocol's names for how an allocation ended.
var endNames = [...]string{
	logic.Completed: "ended", logic.Errored: "error", logic.Rejected: "refused",
	logic.TimedOut: "timed-out", logic.Unreachable: "unreached", logic.ConnectionLost: "lost", logic.Cancelled: "stopped",
	logic.NotSent: "unsent",
}

// reasonNames are the protocol's names for why a node ended an allocation, by logic.Reason.
var reasonNames = [...]string{"", "no-cores", "no-memory", "long-line", "not-here", "evicted", "pushed-out", "sent-away"}

// meanAnswerBytes is what an answer counts for in the bound on a client's queue.
const meanAnswerBytes = 100

// clientConn is a client's connection. Messages to the client wait in a bounded queue of the connection.
//
// Events of the connection come one at a time. mu is a leaf but for sends: the connection is called without it.
type clientConn struct {
	listener *clientListener
	id       uint32
	conn     env.Conn      // nil for a local client
	local    AnswerHandler // takes answers in place of conn, if it is not nil

	// The events of the connection alone use these.
	splitter     client.Splitter
	authFailures int
	retryAfter   float64 // ms for which requests are shed, as the tenant has sent too many bytes

	mu       sync.Mutex // guards the fields below
	closed   bool
	requests map[uint64]requestState  // those that are open or whose task runs
	sendLag  admission.DelayEstimator // of the client's messages, as far as it says when it sent them
	tenant   string                   // that the client has authenticated as, where tenants come and go
	tokenID  string                   // of the token that it showed
}

// requestState is where a request is.
type requestState struct {
	shard    int // -1: at none yet
	deadline float64
	answered bool
}

// OnData takes bytes of the client.
func (c *clientConn) OnData(b []byte) {
	if c.listener.drops.Load() || !c.admitBytes(len(b)) {
		return
	}
	if err := c.splitter.Feed(b, c.onMessage); err != nil {
		c.disconnect(err.Error())
	}
}

// admitBytes reports whether bytes of the client are read. One that sends far too much is disconnected.
func (c *clientConn) admitBytes(bytes int) bool {
	if !c.listener.hostsTenants() || bytes == 0 {
		return true
	}
	verdict, retryAfter := c.listener.admitBytes(c.id, bytes)
	c.retryAfter = retryAfter
	if verdict == connadmission.Close {
		c.disconnect("sent far more than it may")
	}
	return verdict != connadmission.Close
}

// OnClose gives up what is open for a client that disconnected.
func (c *clientConn) OnClose(err error) {
	c.disconnect(err.Error())
	c.listener.remove(c.id)
	c.listener.handler.onClientClosed(c.id)
}

// disconnect closes the connection, and drops what is queued on it. The first reason counts.
func (c *clientConn) disconnect(reason string) { c.end(reason, false) }

// disconnectGracefully closes the connection once what is queued on it was sent. What the client still sends is read and dropped, as a reset
// would take the last answers with it.
func (c *clientConn) disconnectGracefully(reason string) { c.end(reason, true) }

func (c *clientConn) end(reason string, graceful bool) {
	c.mu.Lock()
	first := !c.closed
	c.closed = true
	c.mu.Unlock()
	if !first {
		return
	}
	c.listener.log.Debug().Uint32("owner", c.id).Str("why", reason).Msg("owner's connection ends")
	if c.conn != nil {
		c.conn.Close(graceful, nil)
	}
}

// send queues a message. A client that lets its queue run full is disconnected.
func (c *clientConn) send(body []byte) {
	_, queued, ok := c.conn.Send(func(b []byte) []byte { return client.AppendMessage(b, body) })
	if ok && queued > c.listener.config.Site.ClientQueue*meanAnswerBytes {
		c.disconnect("slow reader: answers queue up")
	}
}

// hasQueuedAnswers reports whether messages wait to be handed to the network.
func (c *clientConn) hasQueuedAnswers() bool {
	if c.conn == nil {
		return false
	}
	_, queued, ok := c.conn.Send(func(b []byte) []byte { return b })
	return ok && queued > 0
}

// openRequest notes a request. It reports whether its id was free.
func (c *clientConn) openRequest(id uint64, deadline float64) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if _, ok := c.requests[id]; ok {
		return false
	}
	c.requests[id] = requestState{shard: -1, deadline: deadline}
	return true
}

// setShard notes the shard that a request is at now.
func (c *clientConn) setShard(id uint64, shard int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if request, ok := c.requests[id]; ok {
		request.shard = shard
		c.requests[id] = request
	}
}

// requestShard returns the shard that a request is at, -1 if it has not reached one.
func (c *clientConn) requestShard(id uint64) (shard int, ok bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	request, ok := c.requests[id]
	return request.shard, ok
}

// markAnswered notes the answer to a request, which ends it unless it was served. It reports whether it is the first.
func (c *clientConn) markAnswered(id uint64, served bool) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	request, ok := c.requests[id]
	if !ok || request.answered {
		return false
	}
	if served {
		request.answered = true
		c.requests[id] = request
	} else {
		delete(c.requests, id)
	}
	return true
}

// closeRequest forgets a request.
func (c *clientConn) closeRequest(id uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.requests, id)
}

// unanswered returns the requests at a shard that nobody has answered and whose deadline is before a time, sorted.
func (c *clientConn) unanswered(shard int, before float64) (ids []uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for id, request := range c.requests {
		if request.shard == shard && !request.answered && request.deadline < before {
			ids = append(ids, id)
		}
	}
	slices.Sort(ids)
	return ids
}

// isOverdue reports whether the deadline of a request is before a time.
func (c *clientConn) isOverdue(id uint64, before float64) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	request, ok := c.requests[id]
	return ok && request.deadline < before
}

// overdue returns a request that is unanswered though its deadline is before a time, if there is one.
func (c *clientConn) overdue(before float64) (id uint64, ok bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for id, request := range c.requests {
		if !request.answered && request.deadline < before {
			return id, true
		}
	}
	return 0, false
}

// shed is the answer to a request that was not served, for a reason.
func shed(reason engine.AnswerReason) engine.Answer {
	return engine.Answer{Kind: engine.Declined, Reason: reason}
}

// sendAnswer answers a request, unless it was answered before.
func (c *clientConn) sendAnswer(id uint64, a engine.Answer) {
	if !c.markAnswered(id, a.Kind == engine.Served) {
		return
	}
	if c.local != nil {
		c.local.OnAnswer(id, a.Kind)
		return
	}
	b := strconv.AppendUint(beginNotification("answer"), id, 10)
	b = append(append(append(b, `,"answer":"`...), a.Kind.String()...), '"')
	if a.Kind == engine.Served {
		b = strconv.AppendUint(append(b, `,"node":`...), uint64(a.Node), 10)
	}
	if a.Reason != "" {
		b = append(append(append(b, `,"why":"`...), a.Reason...), '"')
	}
	if a.RetryAfter > 0 {
		b = strconv.AppendFloat(append(b, `,"hold-off-ms":`...), a.RetryAfter, 'f', 0, 64)
	}
	b = append(b, "}}"...)
	c.send(b)
	if c.listener.config.Faults.RepeatAnswers {
		c.send(b)
	}
}

// sendEnd tells the client how an allocation ended that was served.
func (c *clientConn) sendEnd(id uint64, outcome logic.Outcome, reason logic.Reason) {
	c.closeRequest(id)
	if c.local != nil {
		c.local.OnEnd(id)
		return
	}
	b := strconv.AppendUint(beginNotification("over"), id, 10)
	b = append(append(append(b, `,"how":"`...), endNames[outcome]...), '"')
	if int(reason) < len(reasonNames) && reason > 0 {
		b = append(append(append(b, `,"why":"`...), reasonNames[reason]...), '"')
	}
	c.send(append(b, "}}"...))
}

// notificationCapacity is more than most notifications take, bytes.
const notificationCapacity = 128

// beginNotification returns the first bytes of a notification, up to the request's id.
func beginNotification(method string) []byte {
	b := append(make([]byte, 0, notificationCapacity), `{"jsonrpc":"2.0","method":"`...)
	return append(append(b, method...), `","params":{"ref":`...)
}
