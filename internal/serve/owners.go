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

	"ravenpond/internal/decide/admit"
	"ravenpond/internal/decide/shardownership"
	"ravenpond/internal/engine"
	"ravenpond/internal/outside"
	"ravenpond/internal/proto/owners"
	"ravenpond/logic"
)

// owner is a connection at the owners' door. What it is told waits in a bounded queue.
type owner struct {
	s    *Server
	id   uint32
	conn outside.Conn
	in   owners.Splitter
	sink AnswerHandler // instead of a connection, if it is not nil

	mu   sync.Mutex
	shut bool
	asks map[uint64]asked // by ref: what is open or runs
	lag  admit.Lag        // of what it sends, as far as it says when

	tenant string // that it may ask for, where tenants come and go
	token  string // the id of the token that it showed for it

	refusals int     // these two belong to the goroutine that reads
	holdOff  float64 // ms in which its tenant may send more; what it asks now is declined
}

// asked is where an ask is. It is answered once, whoever tries to.
type asked struct {
	shard    int
	expiry   float64
	answered bool
}

// Words of the protocol for an allocation's end.
var ends = [...]string{
	logic.Completed: "ended", logic.Errored: "error", logic.Rejected: "refused",
	logic.TimedOut: "timed-out", logic.Unreachable: "unreached", logic.ConnectionLost: "lost", logic.Cancelled: "stopped",
	logic.NotSent: "unsent",
}

var reasons = [...]string{"", "no-cores", "no-memory", "long-line", "not-here", "evicted", "pushed-out", "sent-away"}

// ownerStuck is how long, in ms, an owner may take nothing.
const ownerStuck = 5000

// came takes an owner's connection, as many as the site allows.
func (s *Server) came(conn outside.Conn) {
	s.mu.Lock()
	s.ownerIDs++
	o := &owner{s: s, id: s.ownerIDs, conn: conn, asks: map[uint64]asked{}}
	in, out := len(s.owners) < s.who.Site.MaxClients, uint32(0)
	if s.hosts() {
		in, out = s.entry.Came(s.w.Now(), o.id)
	}
	in = in && !s.over.Load()
	if in {
		s.owners[o.id] = o
	} else if s.hosts() {
		s.entry.Gone(o.id)
	}
	goes := s.owners[out]
	s.mu.Unlock()
	if goes != nil {
		goes.cut("a stranger makes way for the next")
	}
	if !in {
		s.log.Warn().Str("mode", "owners").Int("most", s.who.Site.MaxClients).Msg("one turned away")
		conn.Close(false, nil)
		return
	}
	conn.Start(o, ownerStuck)
}

// connected gives the owners in order of their coming.
func (s *Server) connected() (all []*owner) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, id := range slices.Sorted(maps.Keys(s.owners)) {
		all = append(all, s.owners[id])
	}
	return all
}

// answersWait tells whether answers are still on their way out.
func (s *Server) answersWait() bool {
	for _, o := range s.connected() {
		if o.conn != nil {
			if _, waits, ok := o.conn.Send(func(b []byte) []byte { return b }); ok && waits > 0 {
				return true
			}
		}
	}
	return false
}

// OnData takes what an owner sends.
func (o *owner) OnData(b []byte) {
	if !o.may(len(b)) {
		return
	}
	if err := o.in.Feed(b, o.message); err != nil {
		o.cut(err.Error())
	}
}

// OnClose meets the end of the connection: what was open for it is given up.
func (o *owner) OnClose(err error) {
	s := o.s
	o.cut(err.Error())
	s.mu.Lock()
	delete(s.owners, o.id)
	if s.hosts() {
		s.entry.Gone(o.id)
	}
	s.mu.Unlock()
	s.desk.Lock()
	s.acts.OwnerGone(o.id)
	shards := s.living()
	s.desk.Unlock()
	for _, sh := range shards {
		sh.tell(func(now float64) { sh.eng.OnClientDisconnected(now, o.id) })
	}
}

// message takes one message: a request, or a batch of them.
func (o *owner) message(body []byte) error {
	reqs, err := jrpc2.ParseRequests(body)
	if err != nil {
		o.send(reply("null", jrpc2.Errorf(jrpc2.ParseError, "%v", err)))
		return nil
	}
	var batch []json.RawMessage
	for _, req := range reqs {
		fault := error(req.Error)
		if req.Error == nil {
			fault = o.do(req.Method, req.Params)
		}
		switch {
		case req.ID == "" && req.Error == nil: // a notification, whose faults are not told
		case req.Batch:
			batch = append(batch, reply(req.ID, fault))
		default:
			o.send(reply(req.ID, fault))
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

// reply is the answer to a call.
func reply(id string, fault error) []byte {
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

// do carries out a call.
func (o *owner) do(method string, params json.RawMessage) error {
	switch method {
	case "allocate":
		return o.allocate(params)
	case "withdraw":
		return o.withdraw(params)
	case "authenticate":
		if o.s.hosts() {
			return o.authenticate(params)
		}
	}
	return jrpc2.Errorf(jrpc2.MethodNotFound, "no method %.40q", method)
}

// note keeps which shard an ask is at; begin does so for a new one, and false tells that its ref is not free.
func (o *owner) note(ref uint64, shard int) {
	o.mu.Lock()
	if a, ok := o.asks[ref]; ok {
		a.shard = shard
		o.asks[ref] = a
	}
	o.mu.Unlock()
}

func (o *owner) begin(ref uint64, expiry float64) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	if _, ok := o.asks[ref]; ok {
		return false
	}
	o.asks[ref] = asked{shard: -1, expiry: expiry}
	return true
}

// at tells which shard an ask is at, -1 if it has not reached one.
func (o *owner) at(ref uint64) (int, bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	a, ok := o.asks[ref]
	return a.shard, ok
}

// settle notes an answer; false if there was one before.
func (o *owner) settle(ref uint64, served bool) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	a, ok := o.asks[ref]
	if !ok || a.answered {
		return false
	}
	if served {
		a.answered = true
		o.asks[ref] = a
	} else {
		delete(o.asks, ref)
	}
	return true
}

// unanswered gives the asks at a shard that nobody has answered and that expire before a time.
func (o *owner) unanswered(shard int, before float64) (refs []uint64) {
	o.mu.Lock()
	defer o.mu.Unlock()
	for ref, a := range o.asks {
		if a.shard == shard && !a.answered && a.expiry < before {
			refs = append(refs, ref)
		}
	}
	slices.Sort(refs)
	return refs
}

func (o *owner) end(ref uint64) {
	o.mu.Lock()
	delete(o.asks, ref)
	o.mu.Unlock()
}

// cut ends the connection.
func (o *owner) cut(why string) {
	o.mu.Lock()
	first := !o.shut
	o.shut = true
	o.mu.Unlock()
	if first {
		o.s.log.Debug().Uint32("owner", o.id).Str("why", why).Msg("owner's connection ends")
		if o.conn != nil {
			o.conn.Close(false, nil)
		}
	}
}

// answerBytes is what an answer counts for in an owner's queue.
const answerBytes = 100

// send queues a message.
func (o *owner) send(body []byte) {
	if _, waits, ok := o.conn.Send(func(b []byte) []byte { return owners.Append(b, body) }); ok &&
		waits > o.s.who.Site.ClientQueue*answerBytes {
		o.cut("slow reader: answers queue up")
	}
}

// opened begins a notification.
func opened(method string) []byte {
	return append(append(append(make([]byte, 0, 128), `{"jsonrpc":"2.0","method":"`...), method...), `","params":{"ref":`...)
}

func (o *owner) answer(ref uint64, answer engine.Answer, nd uint32, why string, holdOff float64) {
	if !o.settle(ref, answer == engine.Served) {
		return
	}
	if o.sink != nil {
		o.sink.OnAnswer(ref, answer)
		return
	}
	b := strconv.AppendUint(opened("answer"), ref, 10)
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
	if o.s.who.Faults.RepeatAnswers {
		o.send(b)
	}
}

func (o *owner) over(ref uint64, verdict logic.Outcome, why logic.Reason) {
	o.end(ref)
	if o.sink != nil {
		o.sink.OnEnd(ref)
		return
	}
	b := strconv.AppendUint(opened("over"), ref, 10)
	b = append(append(append(b, `,"how":"`...), ends[verdict]...), '"')
	if int(why) < len(reasons) && why > 0 {
		b = append(append(append(b, `,"why":"`...), reasons[why]...), '"')
	}
	o.send(append(b, "}}"...))
}

// fields takes a call's parameters.
func fields(params json.RawMessage, into any) error {
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

const maxName = 200

func (o *owner) allocate(params json.RawMessage) error {
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
	if err := fields(params, &ask); err != nil {
		return err
	}
	place := o.s.who.Site
	tenant, job := slices.Index(place.Tenants, ask.Tenant), slices.Index(place.JobClasses, ask.JobType)
	removed := false
	if o.s.hosts() {
		var err error
		if tenant, err = o.club(ask.Tenant); err != nil {
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
	case ask.Key == "" || len(ask.Key) > maxName:
		fault = fmt.Sprintf("key: 1 to %d bytes are expected", maxName)
	case ask.Service == "" || len(ask.Service) > maxName:
		fault = fmt.Sprintf("service: 1 to %d bytes are expected", maxName)
	case !(ask.Cores > 0) || !(ask.Memory > 0) || math.IsInf(ask.Cores+ask.Memory, 0):
		fault = "cores and memory: numbers above 0 are expected"
	case ask.Within < 0 || ask.Within > 3600e3:
		fault = "within-ms: 0 to 3600000 is expected"
	case o.s.lends() && ask.Within > o.s.longest():
		fault = fmt.Sprintf("within-ms: 0 to %.0f is expected, as limits are lent", o.s.longest())
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
		unread = o.lag.Waited(o.s.w.Now(), ask.SentAt, float64(o.s.w.WallClock().UnixMilli()), o.s.stood())
		o.mu.Unlock()
		ask.Within -= unread
	}
	if !o.begin(ask.Ref, o.s.w.Now()+ask.Within) {
		return jrpc2.Errorf(jrpc2.InvalidParams, "ref: %d is not over", ask.Ref)
	}
	if removed {
		o.answer(ask.Ref, engine.Declined, 0, "tenant-removed", 0)
		return nil
	}
	if o.holdOff > 0 {
		o.answer(ask.Ref, engine.Declined, 0, "too-many-bytes", o.holdOff)
		return nil
	}
	name := shardownership.Name{Tenant: tenant, Token: Token(ask.Tenant, ask.Key)}
	a := shardownership.Ask{
		Owner: o.id, Ref: ask.Ref, Job: job, Service: Service(ask.Tenant, ask.Service), Cores: ask.Cores,
		Memory: ask.Memory,
	}
	o.s.allocate(o, name, a, ask.Within, unread)
	return nil
}

// allocate has an ask go to the shard that acts for its key already, else where the desk puts it, or wait for its turn.
// unread is how long the ask lay on its way beyond what asks always do, in ms.
func (s *Server) allocate(o *owner, name shardownership.Name, a shardownership.Ask, left, unread float64) {
	now := s.w.Now()
	a.Expiry = now + left
	s.desk.Lock()
	declined := s.lend(now)
	e := s.acts.Enter(now, name, a, unread, s.queueAt(now))
	sh := s.entered(o, e)
	s.freed()
	s.desk.Unlock()
	s.turnAway(declined)
	s.deliver(o, e, sh)
}

// second is an ask that has no entry of its own in the ledger.
type second struct {
	o   *owner
	ref uint64
}

// secondAsks gives the asks at a shard, expiring before a time, that neither the ledger nor an answer accounts for
// once all that the ledger holds is dealt with: asks for a key that another ask had brought there. Nothing was ever
// tried for them. Those whose time is up are over without an answer.
func (s *Server) secondAsks(shard int, before float64) (all []second) {
	now := s.w.Now()
	for _, o := range s.connected() {
		for _, ref := range o.unanswered(shard, now) {
			o.end(ref)
		}
		for _, ref := range o.unanswered(shard, before) {
			all = append(all, second{o, ref})
		}
	}
	return all
}

func (o *owner) withdraw(params json.RawMessage) error {
	var ask struct {
		Ref uint64 `json:"ref"`
	}
	if err := fields(params, &ask); err != nil {
		return err
	}
	if o.s.forgo(o, ask.Ref) {
		return nil
	}
	at, ok := o.at(ask.Ref)
	if !ok || at < 0 {
		return jrpc2.Errorf(jrpc2.InvalidParams, "ref: no ask %d", ask.Ref)
	}
	o.s.withdrawAt(o, ask.Ref, at)
	return nil
}
