package serve

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"math"
	"slices"
	"strconv"
	"sync"

	"github.com/cespare/xxhash/v2"
	"github.com/creachadair/jrpc2"

	"ravenpond/internal/decide/admission"
	"ravenpond/internal/decide/shardownership"
	"ravenpond/internal/decide/shardrouter"
	"ravenpond/internal/engine"
	"ravenpond/internal/env"
	"ravenpond/internal/proto/client"
	"ravenpond/logic"
)

// clientConn is a connection at the owners' door. What it is told waits in a bounded queue.
type clientConn struct {
	server   *Server
	id       uint32
	conn     env.Conn
	splitter client.Splitter
	local    AnswerHandler // instead of a connection, if it is not nil

	mu       sync.Mutex
	closed   bool
	requests map[uint64]request       // by ref: what is open or runs
	sendLag  admission.DelayEstimator // of what it sends, as far as it says when

	tenant  string // that it may ask for, where tenants come and go
	tokenID string // the id of the token that it showed for it

	authFailures int     // these two belong to the goroutine that reads
	retryAfter   float64 // ms in which its tenant may send more; what it asks now is declined
}

// request is where an ask is. It is answered once, whoever tries to.
type request struct {
	shard    int
	expiry   float64
	answered bool
}

// Words of the protocol for an allocation's end.
var endNames = [...]string{
	logic.Completed: "ended", logic.Errored: "error", logic.Rejected: "refused",
	logic.TimedOut: "timed-out", logic.Unreachable: "unreached", logic.ConnectionLost: "lost", logic.Cancelled: "stopped",
	logic.NotSent: "unsent",
}

var reasonNames = [...]string{"", "no-cores", "no-memory", "long-line", "not-here", "evicted", "pushed-out", "sent-away"}

// clientStuckTimeout is how long, in ms, an owner may take nothing.
const clientStuckTimeout = 5000

// acceptClient takes an owner's connection, as many as the site allows.
func (s *Server) acceptClient(conn env.Conn) {
	s.mu.Lock()
	s.lastClientID++
	c := &clientConn{server: s, id: s.lastClientID, conn: conn, requests: map[uint64]request{}}
	accepted, evictedID := len(s.clients) < s.config.Site.MaxClients, uint32(0)
	if s.hostsTenants() {
		accepted, evictedID = s.admission.Accept(s.env.Now(), c.id)
	}
	accepted = accepted && !s.stopped.Load()
	if accepted {
		s.clients[c.id] = c
	} else if s.hostsTenants() {
		s.admission.OnClose(c.id)
	}
	evicted := s.clients[evictedID]
	s.mu.Unlock()
	if evicted != nil {
		evicted.disconnect("a stranger makes way for the next")
	}
	if !accepted {
		s.log.Warn().Str("mode", "owners").Int("most", s.config.Site.MaxClients).Msg("one turned away")
		conn.Close(false, nil)
		return
	}
	conn.Start(c, clientStuckTimeout)
}

// connectedClients gives the owners in order of their coming.
func (s *Server) connectedClients() (all []*clientConn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, id := range slices.Sorted(maps.Keys(s.clients)) {
		all = append(all, s.clients[id])
	}
	return all
}

// answersPending tells whether answers are still on their way out.
func (s *Server) answersPending() bool {
	for _, c := range s.connectedClients() {
		if c.conn != nil {
			if _, queued, ok := c.conn.Send(func(b []byte) []byte { return b }); ok && queued > 0 {
				return true
			}
		}
	}
	return false
}

// OnData takes what an owner sends.
func (c *clientConn) OnData(b []byte) {
	if !c.admitBytes(len(b)) {
		return
	}
	if err := c.splitter.Feed(b, c.handleMessage); err != nil {
		c.disconnect(err.Error())
	}
}

// OnClose meets the end of the connection: what was open for it is given up.
func (c *clientConn) OnClose(err error) {
	s := c.server
	c.disconnect(err.Error())
	s.mu.Lock()
	delete(s.clients, c.id)
	if s.hostsTenants() {
		s.admission.OnClose(c.id)
	}
	s.mu.Unlock()
	s.routerMu.Lock()
	s.router.WithdrawClient(c.id)
	shards := s.liveShardsLocked()
	s.routerMu.Unlock()
	for _, sh := range shards {
		sh.post(func(now float64) { sh.engine.OnClientDisconnected(now, c.id) })
	}
}

// handleMessage takes one message: a request, or a batch of them.
func (c *clientConn) handleMessage(body []byte) error {
	reqs, err := jrpc2.ParseRequests(body)
	if err != nil {
		c.send(encodeReply("null", jrpc2.Errorf(jrpc2.ParseError, "%v", err)))
		return nil
	}
	var batch []json.RawMessage
	for _, req := range reqs {
		fault := error(req.Error)
		if req.Error == nil {
			fault = c.dispatch(req.Method, req.Params)
		}
		switch {
		case req.ID == "" && req.Error == nil: // a notification, whose faults are not told
		case req.Batch:
			batch = append(batch, encodeReply(req.ID, fault))
		default:
			c.send(encodeReply(req.ID, fault))
		}
	}
	if len(batch) > 0 {
		all, err := json.Marshal(batch)
		if err != nil {
			return err
		}
		c.send(all)
	}
	return nil
}

// encodeReply is the answer to a call.
func encodeReply(id string, fault error) []byte {
	if id == "" {
		id = "null"
	}
	b := append(append([]byte(`{"jsonrpc":"2.0","id":`), id...), ',')
	if fault == nil {
		return append(b, `"result":true}`...)
	}
	var e *jrpc2.Error
	if !errors.As(fault, &e) {
		e = &jrpc2.Error{Code: jrpc2.InternalError, Message: fault.Error()}
	}
	text, err := json.Marshal(e)
	if err != nil {
		text = []byte(`{"code":-32603}`)
	}
	return append(append(append(b, `"error":`...), text...), '}')
}

// dispatch carries out a call.
func (c *clientConn) dispatch(method string, params json.RawMessage) error {
	switch method {
	case "allocate":
		return c.allocate(params)
	case "withdraw":
		return c.withdraw(params)
	case "authenticate":
		if c.server.hostsTenants() {
			return c.authenticate(params)
		}
	}
	return jrpc2.Errorf(jrpc2.MethodNotFound, "no method %.40q", method)
}

// setShard keeps which shard an ask is at; begin does so for a new one, and false tells that its ref is not free.
func (c *clientConn) setShard(ref uint64, shard int) {
	c.mu.Lock()
	if request, ok := c.requests[ref]; ok {
		request.shard = shard
		c.requests[ref] = request
	}
	c.mu.Unlock()
}

func (c *clientConn) openRequest(ref uint64, expiry float64) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if _, ok := c.requests[ref]; ok {
		return false
	}
	c.requests[ref] = request{shard: -1, expiry: expiry}
	return true
}

// requestShard tells which shard an ask is at, -1 if it has not reached one.
func (c *clientConn) requestShard(ref uint64) (int, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	request, ok := c.requests[ref]
	return request.shard, ok
}

// markAnswered notes an answer; false if there was one before.
func (c *clientConn) markAnswered(ref uint64, served bool) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	request, ok := c.requests[ref]
	if !ok || request.answered {
		return false
	}
	if served {
		request.answered = true
		c.requests[ref] = request
	} else {
		delete(c.requests, ref)
	}
	return true
}

// unanswered gives the asks at a shard that nobody has answered and that expire before a time.
func (c *clientConn) unanswered(shard int, before float64) (refs []uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for ref, request := range c.requests {
		if request.shard == shard && !request.answered && request.expiry < before {
			refs = append(refs, ref)
		}
	}
	slices.Sort(refs)
	return refs
}

func (c *clientConn) closeRequest(ref uint64) {
	c.mu.Lock()
	delete(c.requests, ref)
	c.mu.Unlock()
}

// disconnect ends the connection.
func (c *clientConn) disconnect(reason string) {
	c.mu.Lock()
	first := !c.closed
	c.closed = true
	c.mu.Unlock()
	if first {
		c.server.log.Debug().Uint32("owner", c.id).Str("why", reason).Msg("owner's connection ends")
		if c.conn != nil {
			c.conn.Close(false, nil)
		}
	}
}

// meanAnswerBytes is what an answer counts for in an owner's queue.
const meanAnswerBytes = 100

// send queues a message.
func (c *clientConn) send(body []byte) {
	if _, queued, ok := c.conn.Send(func(b []byte) []byte { return client.AppendMessage(b, body) }); ok &&
		queued > c.server.config.Site.ClientQueue*meanAnswerBytes {
		c.disconnect("slow reader: answers queue up")
	}
}

// beginNotification begins a notification.
func beginNotification(method string) []byte {
	return append(append(append(make([]byte, 0, 128), `{"jsonrpc":"2.0","method":"`...), method...), `","params":{"ref":`...)
}

func (c *clientConn) sendAnswer(ref uint64, answer engine.Answer) {
	if !c.markAnswered(ref, answer.Kind == engine.Served) {
		return
	}
	if c.local != nil {
		c.local.OnAnswer(ref, answer.Kind)
		return
	}
	b := strconv.AppendUint(beginNotification("answer"), ref, 10)
	b = append(append(append(b, `,"answer":"`...), answer.Kind.String()...), '"')
	if answer.Kind == engine.Served {
		b = strconv.AppendUint(append(b, `,"node":`...), uint64(answer.Node), 10)
	}
	if answer.Reason != "" {
		b = append(append(append(b, `,"why":"`...), answer.Reason...), '"')
	}
	if answer.RetryAfter > 0 {
		b = strconv.AppendFloat(append(b, `,"hold-off-ms":`...), answer.RetryAfter, 'f', 0, 64)
	}
	b = append(b, "}}"...)
	c.send(b)
	if c.server.config.Faults.RepeatAnswers {
		c.send(b)
	}
}

func (c *clientConn) sendEnd(ref uint64, verdict logic.Outcome, reason logic.Reason) {
	c.closeRequest(ref)
	if c.local != nil {
		c.local.OnEnd(ref)
		return
	}
	b := strconv.AppendUint(beginNotification("over"), ref, 10)
	b = append(append(append(b, `,"how":"`...), endNames[verdict]...), '"')
	if int(reason) < len(reasonNames) && reason > 0 {
		b = append(append(append(b, `,"why":"`...), reasonNames[reason]...), '"')
	}
	c.send(append(b, "}}"...))
}

// decodeParams takes a call's parameters.
func decodeParams(params json.RawMessage, into any) error {
	decoder := json.NewDecoder(bytes.NewReader(params))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(into); err != nil {
		return jrpc2.Errorf(jrpc2.InvalidParams, "%v", err)
	}
	return nil
}

// Hash is what a name is to the scheduler: services and keys are told apart by 64 bits of it.
func Hash(parts ...string) uint64 {
	var digest xxhash.Digest
	digest.Reset()
	for _, part := range parts {
		_, _ = digest.WriteString(part) // a digest takes every write
		_, _ = digest.WriteString("\x00")
	}
	return digest.Sum64()
}

// Token is what tells repeats of a key apart.
func Token(tenant, key string) uint64 { return Hash("key", tenant, key) }

// Service is a service's key, the same at all schedulers.
func Service(tenant, service string) uint64 { return Hash("service", tenant, service) }

const maxNameBytes = 200

func (c *clientConn) allocate(params json.RawMessage) error {
	var request struct {
		Ref     uint64  `json:"ref"`
		Tenant  string  `json:"tenant"`
		Key     string  `json:"key"`
		JobType string  `json:"job-type"`
		Service string  `json:"service"`
		Cores   float64 `json:"cores"`
		Memory  float64 `json:"memory"`
		Within  float64 `json:"within-ms"`
		SentAt  float64 `json:"sent-at-ms"` // wall clock
	}
	if err := decodeParams(params, &request); err != nil {
		return err
	}
	siteConfig := c.server.config.Site
	tenant, job := slices.Index(siteConfig.Tenants, request.Tenant), slices.Index(siteConfig.JobClasses, request.JobType)
	removed := false
	if c.server.hostsTenants() {
		var err error
		if tenant, err = c.tenantSlot(request.Tenant); err != nil {
			return err
		}
		removed = tenant < 0
	}
	fault := ""
	switch {
	case request.Ref == 0:
		fault = "ref: a number above 0 is expected"
	case tenant < 0 && !removed:
		fault = fmt.Sprintf("tenant %q is not known", request.Tenant)
	case job < 0:
		fault = fmt.Sprintf("job-type %q is not known", request.JobType)
	case request.Key == "" || len(request.Key) > maxNameBytes:
		fault = fmt.Sprintf("key: 1 to %d bytes are expected", maxNameBytes)
	case request.Service == "" || len(request.Service) > maxNameBytes:
		fault = fmt.Sprintf("service: 1 to %d bytes are expected", maxNameBytes)
	case !(request.Cores > 0) || !(request.Memory > 0) || math.IsInf(request.Cores+request.Memory, 0):
		fault = "cores and memory: numbers above 0 are expected"
	case request.Within < 0 || request.Within > 3600e3:
		fault = "within-ms: 0 to 3600000 is expected"
	case c.server.leasesQuotas() && request.Within > c.server.longestDeadline():
		fault = fmt.Sprintf("within-ms: 0 to %.0f is expected, as limits are lent", c.server.longestDeadline())
	}
	if fault != "" {
		return jrpc2.Errorf(jrpc2.InvalidParams, "%s", fault)
	}
	if request.Within == 0 {
		request.Within = siteConfig.Deadlines[job]
	}
	// An ask that lay unread, as while the process stood still, has less time left. Clocks need not agree.
	unreadFor := 0.0
	if request.SentAt > 0 {
		c.mu.Lock()
		unreadFor = c.sendLag.OnRequest(c.server.env.Now(), request.SentAt, float64(c.server.env.WallClock().UnixMilli()), c.server.recentStall())
		c.mu.Unlock()
		request.Within -= unreadFor
	}
	if !c.openRequest(request.Ref, c.server.env.Now()+request.Within) {
		return jrpc2.Errorf(jrpc2.InvalidParams, "ref: %d is not over", request.Ref)
	}
	if removed {
		c.sendAnswer(request.Ref, engine.Answer{Kind: engine.Declined, Reason: "tenant-removed"})
		return nil
	}
	if c.retryAfter > 0 {
		c.sendAnswer(request.Ref, engine.Answer{Kind: engine.Declined, Reason: "too-many-bytes", RetryAfter: c.retryAfter})
		return nil
	}
	name := shardownership.ID{Tenant: tenant, Token: Token(request.Tenant, request.Key)}
	shardAsk := shardownership.Request{
		Client: c.id, Ref: request.Ref, JobClass: job, Service: Service(request.Tenant, request.Service), Cores: request.Cores,
		Memory: request.Memory,
	}
	c.server.allocate(c, name, shardAsk, request.Within, unreadFor)
	return nil
}

// allocate has an ask go to the shard that acts for its key already, else where the desk puts it, or wait for its turn.
// unread is how long the ask lay on its way beyond what asks always do, in ms.
func (s *Server) allocate(c *clientConn, name shardownership.ID, ask shardownership.Request, remaining, unreadFor float64) {
	now := s.env.Now()
	ask.Deadline = now + remaining
	s.routerMu.Lock()
	rejected := s.checkQuotaLease(now)
	entry := s.router.Submit(now, shardrouter.Arrival{ID: name, Request: ask, Unread: unreadFor}, s.queueState(now))
	sh := s.recordRoute(c, entry)
	s.pumpIfFree()
	s.routerMu.Unlock()
	s.rejectAll(rejected)
	s.deliver(c, entry, sh)
}

// duplicateRequest is an ask that has no entry of its own in the ledger.
type duplicateRequest struct {
	client *clientConn
	ref    uint64
}

// duplicateRequests gives the asks at a shard, expiring before a time, that neither the ledger nor an answer accounts for
// once all that the ledger holds is dealt with: asks for a key that another ask had brought there. Nothing was ever
// tried for them. Those whose time is up are over without an answer.
func (s *Server) duplicateRequests(shard int, before float64) (all []duplicateRequest) {
	now := s.env.Now()
	for _, c := range s.connectedClients() {
		for _, ref := range c.unanswered(shard, now) {
			c.closeRequest(ref)
		}
		for _, ref := range c.unanswered(shard, before) {
			all = append(all, duplicateRequest{c, ref})
		}
	}
	return all
}

func (c *clientConn) withdraw(params json.RawMessage) error {
	var request struct {
		Ref uint64 `json:"ref"`
	}
	if err := decodeParams(params, &request); err != nil {
		return err
	}
	if c.server.cancelQueued(c, request.Ref) {
		return nil
	}
	shard, ok := c.requestShard(request.Ref)
	if !ok || shard < 0 {
		return jrpc2.Errorf(jrpc2.InvalidParams, "ref: no ask %d", request.Ref)
	}
	c.server.withdrawAt(c, request.Ref, shard)
	return nil
}
