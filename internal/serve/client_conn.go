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

// outcomeNames are the client protocol's names for the outcome of an allocation.
var outcomeNames = [...]string{
	logic.Completed: "ended", logic.Errored: "error", logic.Rejected: "refused",
	logic.TimedOut: "timed-out", logic.Unreachable: "unreached", logic.ConnectionLost: "lost", logic.Cancelled: "stopped",
	logic.NotSent: "unsent",
}

// reasonNames are the client protocol's names for the reason for which a node ended an allocation, by logic.Reason.
var reasonNames = [...]string{"", "no-cores", "no-memory", "long-line", "not-here", "evicted", "pushed-out", "sent-away"}

// meanAnswerBytes is the assumed size of an answer. It converts the limit on a client's queue from answers to bytes.
const meanAnswerBytes = 100

// clientConn is a client's connection. Messages to the client wait in a bounded queue of the connection.
//
// Events of the connection are delivered one at a time. mu is a leaf lock: it is not held while the connection is called.
type clientConn struct {
	listener *clientListener
	id       uint32
	conn     env.Conn      // nil for a local client
	local    AnswerHandler // receives the answers instead of conn, if it is not nil

	// Only the events of the connection use these fields.
	splitter     client.Splitter
	authFailures int
	retryAfter   float64 // for how many ms requests are shed because the tenant has sent too many bytes; 0: none are

	mu       sync.Mutex // guards the fields below
	closed   bool
	requests map[uint64]requestState  // requests that are open or whose task runs, by request ID
	sendLag  admission.DelayEstimator // delay of the client's messages, estimated from those that carry a send time
	tenant   string                   // the tenant as which the client has authenticated, if the process hosts tenants
	tokenID  string                   // ID of the token with which the client authenticated
}

// requestState is the state of a client's request.
type requestState struct {
	shard    int // index of its shard; -1: none yet
	deadline float64
	answered bool
}

// OnData handles bytes from the client.
func (c *clientConn) OnData(b []byte) {
	if c.listener.dropInput.Load() || !c.admitBytes(len(b)) {
		return
	}
	if err := c.splitter.Feed(b, c.onMessage); err != nil {
		c.disconnect(err.Error())
	}
}

// admitBytes reports whether bytes from the client are handled. A client that sends far more than its limit is disconnected.
func (c *clientConn) admitBytes(bytes int) bool {
	if !c.listener.hostsTenants() || bytes == 0 {
		return true
	}
	verdict, retryAfter := c.listener.admitBytes(c.id, bytes)
	c.retryAfter = retryAfter
	if verdict == connadmission.Close {
		c.disconnect("byte limit far exceeded")
	}
	return verdict != connadmission.Close
}

// OnClose removes a client that disconnected and withdraws its open requests.
func (c *clientConn) OnClose(err error) {
	c.disconnect(err.Error())
	c.listener.remove(c.id)
	c.listener.handler.onClientClosed(c.id)
}

// disconnect closes the connection and drops its queued messages. Only the first reason is logged.
func (c *clientConn) disconnect(reason string) { c.end(reason, false) }

// disconnectGracefully closes the connection after its queued messages have been sent. Bytes that the client still sends are read and dropped,
// because a reset of the connection would lose the last answers.
func (c *clientConn) disconnectGracefully(reason string) { c.end(reason, true) }

func (c *clientConn) end(reason string, graceful bool) {
	c.mu.Lock()
	first := !c.closed
	c.closed = true
	c.mu.Unlock()
	if !first {
		return
	}
	c.listener.log.Debug().Uint32("owner", c.id).Str("why", reason).Msg("client connection closed")
	if c.conn != nil {
		c.conn.Close(graceful, nil)
	}
}

// send queues a message. A client whose queue is full is disconnected.
func (c *clientConn) send(body []byte) {
	_, queued, ok := c.conn.Send(func(b []byte) []byte { return client.AppendMessage(b, body) })
	if ok && queued > c.listener.config.Site.ClientQueue*meanAnswerBytes {
		c.disconnect("slow reader: too many queued answers")
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

// openRequest records a new request. It reports whether the ID was not in use.
func (c *clientConn) openRequest(id uint64, deadline float64) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if _, ok := c.requests[id]; ok {
		return false
	}
	c.requests[id] = requestState{shard: -1, deadline: deadline}
	return true
}

// setShard records the shard that a request is at now.
func (c *clientConn) setShard(id uint64, shard int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if request, ok := c.requests[id]; ok {
		request.shard = shard
		c.requests[id] = request
	}
}

// requestShard returns the index of the shard that a request is at, -1 if it has not reached one. ok is false if the request is not known.
func (c *clientConn) requestShard(id uint64) (shard int, ok bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	request, ok := c.requests[id]
	return request.shard, ok
}

// markAnswered records the answer to a request, and removes the request unless it was served. It reports whether this is the first answer.
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

// closeRequest removes a request.
func (c *clientConn) closeRequest(id uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.requests, id)
}

// unanswered returns the IDs, sorted, of the unanswered requests at a shard whose deadline is before a time.
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

// overdue returns the ID of an unanswered request whose deadline is before a time, if there is one.
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

// shed returns the answer to a request that is declined for a reason.
func shed(reason engine.AnswerReason) engine.Answer {
	return engine.Answer{Kind: engine.Declined, Reason: reason}
}

// sendAnswer sends the answer to a request, unless it was answered before.
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

// sendEnd tells the client how a served allocation ended.
func (c *clientConn) sendEnd(id uint64, outcome logic.Outcome, reason logic.Reason) {
	c.closeRequest(id)
	if c.local != nil {
		c.local.OnEnd(id)
		return
	}
	b := strconv.AppendUint(beginNotification("over"), id, 10)
	b = append(append(append(b, `,"how":"`...), outcomeNames[outcome]...), '"')
	if int(reason) < len(reasonNames) && reason > 0 {
		b = append(append(append(b, `,"why":"`...), reasonNames[reason]...), '"')
	}
	c.send(append(b, "}}"...))
}

// notificationCapacity is the capacity in bytes of a new notification. Most notifications are shorter.
const notificationCapacity = 128

// beginNotification returns the first bytes of a notification, up to the request's ID.
func beginNotification(method string) []byte {
	b := append(make([]byte, 0, notificationCapacity), `{"jsonrpc":"2.0","method":"`...)
	return append(append(b, method...), `","params":{"ref":`...)
}
