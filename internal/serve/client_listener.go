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
	"ravenpond/internal/engine"
	"ravenpond/internal/env"
	"ravenpond/internal/proto/owners"
	"ravenpond/logic"
)

// clientConn is a connection at the owners' door. What it is told waits in a bounded queue.
type clientConn struct {
	server   *Server
	id       uint32
	conn     env.Conn
	splitter owners.Splitter
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
	o := &clientConn{server: s, id: s.lastClientID, conn: conn, requests: map[uint64]request{}}
	in, out := len(s.clients) < s.config.Site.MaxClients, uint32(0)
	if s.hostsTenants() {
		in, out = s.admission.Accept(s.env.Now(), o.id)
	}
	in = in && !s.stopped.Load()
	if in {
		s.clients[o.id] = o
	} else if s.hostsTenants() {
		s.admission.OnClose(o.id)
	}
	goes := s.clients[out]
	s.mu.Unlock()
	if goes != nil {
		goes.disconnect("a stranger makes way for the next")
	}
	if !in {
		s.log.Warn().Str("mode", "owners").Int("most", s.config.Site.MaxClients).Msg("one turned away")
		conn.Close(false, nil)
		return
	}
	conn.Start(o, clientStuckTimeout)
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
	for _, o := range s.connectedClients() {
		if o.conn != nil {
			if _, waits, ok := o.conn.Send(func(b []byte) []byte { return b }); ok && waits > 0 {
				return true
			}
		}
	}
	return false
}

// OnData takes what an owner sends.
func (o *clientConn) OnData(b []byte) {
	if !o.admitBytes(len(b)) {
		return
	}
	if err := o.splitter.Feed(b, o.handleMessage); err != nil {
		o.disconnect(err.Error())
	}
}

// OnClose meets the end of the connection: what was open for it is given up.
func (o *clientConn) OnClose(err error) {
	s := o.server
	o.disconnect(err.Error())
	s.mu.Lock()
	delete(s.clients, o.id)
	if s.hostsTenants() {
		s.admission.OnClose(o.id)
	}
	s.mu.Unlock()
	s.routerMu.Lock()
	s.router.WithdrawClient(o.id)
	shards := s.liveShardsLocked()
	s.routerMu.Unlock()
	for _, sh := range shards {
		sh.post(func(now float64) { sh.engine.OnClientDisconnected(now, o.id) })
	}
}

// handleMessage takes one message: a request, or a batch of them.
func (o *clientConn) handleMessage(body []byte) error {
	reqs, err := jrpc2.ParseRequests(body)
	if err != nil {
		o.send(encodeReply("null", jrpc2.Errorf(jrpc2.ParseError, "%v", err)))
		return nil
	}
	var batch []json.RawMessage
	for _, req := range reqs {
		fault := error(req.Error)
		if req.Error == nil {
			fault = o.dispatch(req.Method, req.Params)
		}
		switch {
		case req.ID == "" && req.Error == nil: // a notification, whose faults are not told
		case req.Batch:
			batch = append(batch, encodeReply(req.ID, fault))
		default:
			o.send(encodeReply(req.ID, fault))
		}
	}
	if len(batch) > 0 {
		all, err := json.Marshal(batch)
		if err != nil {
			return err
		}
		o.send(all)
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
func (o *clientConn) dispatch(method string, params json.RawMessage) error {
	switch method {
	case "allocate":
		return o.allocate(params)
	case "withdraw":
		return o.withdraw(params)
	case "authenticate":
		if o.server.hostsTenants() {
			return o.authenticate(params)
		}
	}
	return jrpc2.Errorf(jrpc2.MethodNotFound, "no method %.40q", method)
}

// setShard keeps which shard an ask is at; begin does so for a new one, and false tells that its ref is not free.
func (o *clientConn) setShard(ref uint64, shard int) {
	o.mu.Lock()
	if a, ok := o.requests[ref]; ok {
		a.shard = shard
		o.requests[ref] = a
	}
	o.mu.Unlock()
}

func (o *clientConn) openRequest(ref uint64, expiry float64) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	if _, ok := o.requests[ref]; ok {
		return false
	}
	o.requests[ref] = request{shard: -1, expiry: expiry}
	return true
}

// requestShard tells which shard an ask is at, -1 if it has not reached one.
func (o *clientConn) requestShard(ref uint64) (int, bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	a, ok := o.requests[ref]
	return a.shard, ok
}

// markAnswered notes an answer; false if there was one before.
func (o *clientConn) markAnswered(ref uint64, served bool) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	a, ok := o.requests[ref]
	if !ok || a.answered {
		return false
	}
	if served {
		a.answered = true
		o.requests[ref] = a
	} else {
		delete(o.requests, ref)
	}
	return true
}

// unanswered gives the asks at a shard that nobody has answered and that expire before a time.
func (o *clientConn) unanswered(shard int, before float64) (refs []uint64) {
	o.mu.Lock()
	defer o.mu.Unlock()
	for ref, a := range o.requests {
		if a.shard == shard && !a.answered && a.expiry < before {
			refs = append(refs, ref)
		}
	}
	slices.Sort(refs)
	return refs
}

func (o *clientConn) closeRequest(ref uint64) {
	o.mu.Lock()
	delete(o.requests, ref)
	o.mu.Unlock()
}

// disconnect ends the connection.
func (o *clientConn) disconnect(why string) {
	o.mu.Lock()
	first := !o.closed
	o.closed = true
	o.mu.Unlock()
	if first {
		o.server.log.Debug().Uint32("owner", o.id).Str("why", why).Msg("owner's connection ends")
		if o.conn != nil {
			o.conn.Close(false, nil)
		}
	}
}

// meanAnswerBytes is what an answer counts for in an owner's queue.
const meanAnswerBytes = 100

// send queues a message.
func (o *clientConn) send(body []byte) {
	if _, waits, ok := o.conn.Send(func(b []byte) []byte { return owners.Append(b, body) }); ok &&
		waits > o.server.config.Site.ClientQueue*meanAnswerBytes {
		o.disconnect("slow reader: answers queue up")
	}
}

// beginNotification begins a notification.
func beginNotification(method string) []byte {
	return append(append(append(make([]byte, 0, 128), `{"jsonrpc":"2.0","method":"`...), method...), `","params":{"ref":`...)
}

func (o *clientConn) sendAnswer(ref uint64, answer engine.Answer, nd uint32, why string, holdOff float64) {
	if !o.markAnswered(ref, answer == engine.Served) {
		return
	}
	if o.local != nil {
		o.local.OnAnswer(ref, answer)
		return
	}
	b := strconv.AppendUint(beginNotification("answer"), ref, 10)
	b = append(append(append(b, `,"answer":"`...), answer.String()...), '"')
	if answer == engine.Served {
		b = strconv.AppendUint(append(b, `,"node":`...), uint64(nd), 10)
	}
	if why != "" {
		b = append(append(append(b, `,"why":"`...), why...), '"')
	}
	if holdOff > 0 {
		b = strconv.AppendFloat(append(b, `,"hold-off-ms":`...), holdOff, 'f', 0, 64)
	}
	b = append(b, "}}"...)
	o.send(b)
	if o.server.config.Faults.RepeatAnswers {
		o.send(b)
	}
}

func (o *clientConn) sendEnd(ref uint64, verdict logic.Outcome, why logic.Reason) {
	o.closeRequest(ref)
	if o.local != nil {
		o.local.OnEnd(ref)
		return
	}
	b := strconv.AppendUint(beginNotification("over"), ref, 10)
	b = append(append(append(b, `,"how":"`...), endNames[verdict]...), '"')
	if int(why) < len(reasonNames) && why > 0 {
		b = append(append(append(b, `,"why":"`...), reasonNames[why]...), '"')
	}
	o.send(append(b, "}}"...))
}

// decodeParams takes a call's parameters.
func decodeParams(params json.RawMessage, into any) error {
	dec := json.NewDecoder(bytes.NewReader(params))
	dec.DisallowUnknownFields()
	if err := dec.Decode(into); err != nil {
		return jrpc2.Errorf(jrpc2.InvalidParams, "%v", err)
	}
	return nil
}

// Hash is what a name is to the scheduler: services and keys are told apart by 64 bits of it.
func Hash(parts ...string) uint64 {
	var d xxhash.Digest
	d.Reset()
	for _, p := range parts {
		_, _ = d.WriteString(p) // a digest takes every write
		_, _ = d.WriteString("\x00")
	}
	return d.Sum64()
}

// Token is what tells repeats of a key apart.
func Token(tenant, key string) uint64 { return Hash("key", tenant, key) }

// Service is a service's key, the same at all schedulers.
func Service(tenant, service string) uint64 { return Hash("service", tenant, service) }

const maxNameBytes = 200

func (o *clientConn) allocate(params json.RawMessage) error {
	var ask struct {
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
	if err := decodeParams(params, &ask); err != nil {
		return err
	}
	place := o.server.config.Site
	tenant, job := slices.Index(place.Tenants, ask.Tenant), slices.Index(place.JobClasses, ask.JobType)
	removed := false
	if o.server.hostsTenants() {
		var err error
		if tenant, err = o.tenantSlot(ask.Tenant); err != nil {
			return err
		}
		removed = tenant < 0
	}
	fault := ""
	switch {
	case ask.Ref == 0:
		fault = "ref: a number above 0 is expected"
	case tenant < 0 && !removed:
		fault = fmt.Sprintf("tenant %q is not known", ask.Tenant)
	case job < 0:
		fault = fmt.Sprintf("job-type %q is not known", ask.JobType)
	case ask.Key == "" || len(ask.Key) > maxNameBytes:
		fault = fmt.Sprintf("key: 1 to %d bytes are expected", maxNameBytes)
	case ask.Service == "" || len(ask.Service) > maxNameBytes:
		fault = fmt.Sprintf("service: 1 to %d bytes are expected", maxNameBytes)
	case !(ask.Cores > 0) || !(ask.Memory > 0) || math.IsInf(ask.Cores+ask.Memory, 0):
		fault = "cores and memory: numbers above 0 are expected"
	case ask.Within < 0 || ask.Within > 3600e3:
		fault = "within-ms: 0 to 3600000 is expected"
	case o.server.leasesQuotas() && ask.Within > o.server.longestDeadline():
		fault = fmt.Sprintf("within-ms: 0 to %.0f is expected, as limits are lent", o.server.longestDeadline())
	}
	if fault != "" {
		return jrpc2.Errorf(jrpc2.InvalidParams, "%s", fault)
	}
	if ask.Within == 0 {
		ask.Within = place.Deadlines[job]
	}
	// An ask that lay unread, as while the process stood still, has less time left. Clocks need not agree.
	unread := 0.0
	if ask.SentAt > 0 {
		o.mu.Lock()
		unread = o.sendLag.OnRequest(o.server.env.Now(), ask.SentAt, float64(o.server.env.WallClock().UnixMilli()), o.server.recentStall())
		o.mu.Unlock()
		ask.Within -= unread
	}
	if !o.openRequest(ask.Ref, o.server.env.Now()+ask.Within) {
		return jrpc2.Errorf(jrpc2.InvalidParams, "ref: %d is not over", ask.Ref)
	}
	if removed {
		o.sendAnswer(ask.Ref, engine.Declined, 0, "tenant-removed", 0)
		return nil
	}
	if o.retryAfter > 0 {
		o.sendAnswer(ask.Ref, engine.Declined, 0, "too-many-bytes", o.retryAfter)
		return nil
	}
	name := shardownership.ID{Tenant: tenant, Token: Token(ask.Tenant, ask.Key)}
	a := shardownership.Request{
		Client: o.id, Ref: ask.Ref, JobClass: job, Service: Service(ask.Tenant, ask.Service), Cores: ask.Cores,
		Memory: ask.Memory,
	}
	o.server.allocate(o, name, a, ask.Within, unread)
	return nil
}

// allocate has an ask go to the shard that acts for its key already, else where the desk puts it, or wait for its turn.
// unread is how long the ask lay on its way beyond what asks always do, in ms.
func (s *Server) allocate(o *clientConn, name shardownership.ID, a shardownership.Request, left, unread float64) {
	now := s.env.Now()
	a.Deadline = now + left
	s.routerMu.Lock()
	declined := s.checkQuotaLease(now)
	e := s.router.Submit(now, name, a, unread, s.queueState(now))
	sh := s.recordRoute(o, e)
	s.pumpIfFree()
	s.routerMu.Unlock()
	s.rejectAll(declined)
	s.deliver(o, e, sh)
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
	for _, o := range s.connectedClients() {
		for _, ref := range o.unanswered(shard, now) {
			o.closeRequest(ref)
		}
		for _, ref := range o.unanswered(shard, before) {
			all = append(all, duplicateRequest{o, ref})
		}
	}
	return all
}

func (o *clientConn) withdraw(params json.RawMessage) error {
	var ask struct {
		Ref uint64 `json:"ref"`
	}
	if err := decodeParams(params, &ask); err != nil {
		return err
	}
	if o.server.cancelQueued(o, ask.Ref) {
		return nil
	}
	at, ok := o.requestShard(ask.Ref)
	if !ok || at < 0 {
		return jrpc2.Errorf(jrpc2.InvalidParams, "ref: no ask %d", ask.Ref)
	}
	o.server.withdrawAt(o, ask.Ref, at)
	return nil
}
