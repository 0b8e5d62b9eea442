package standin

import (
	"encoding/json"
	"maps"
	"math/rand/v2"
	"slices"
	"sync"

	"ravenpond/internal/audit"
	"ravenpond/internal/env"
	"ravenpond/internal/proto/client"
)

// Demand is an allocation that an owner wants until a time, asked for as often as need be.
type Demand struct {
	Key, Tenant, JobType, Service string
	Job                           int
	Semantics                     audit.Semantics
	Token, ServiceKey             uint64 // as the scheduler derives them
	Cores, Memory                 float64
	Timeout, LatencyObjective     float64 // ms
	GiveUpAt                      float64 // given up for good
	attempts                      int
	sentAt                        float64
	firstSentAt                   float64 // the first ask
	running                       bool
	done                          bool
}

// Outcome is what became of one ask.
type Outcome struct {
	SentAt, Latency float64
	Job             int
	Tenant          string
	Result          string // served, declined, failed, given-up, none
	InTime          bool   // a first start within the target delay
	First           bool
}

// Client is a connection to one scheduler with all that is wanted through it.
type Client struct {
	ID               int
	Scheduler        string
	SchedulerAddress func() string // the scheduler's address now, "" while there is none
	SettleTime       float64
	AuthToken        string // that it shows first, where tenants come and go

	testbed  *Testbed
	mu       sync.Mutex
	rng      *rand.Rand
	conn     env.Conn // nil while there is none
	lastRef  uint64
	pending  map[uint64]*Demand // by ref: asked and not answered
	running  map[uint64]*Demand
	outcomes []Outcome
	unsent   []*Demand // wanted while there is no connection

	lostTasks int // ends that it was told of as lost
}

// StartClient connects an owner and keeps it connected.
func (w *Testbed) StartClient(o *Client, seed uint64) {
	o.testbed, o.rng = w, rand.New(rand.NewPCG(seed, 11))
	o.pending, o.running = map[uint64]*Demand{}, map[uint64]*Demand{}
	o.connect()
}

const (
	reconnectDelay     = 50 // ms before the next connection is tried
	dialTimeout        = 1000
	clientWriteTimeout = 5000
)

// connect makes a connection, again and again until there is one.
func (o *Client) connect() {
	addr := o.SchedulerAddress()
	if addr == "" {
		o.testbed.After(reconnectDelay, o.connect)
		return
	}
	o.testbed.Dial(addr, dialTimeout, func(conn env.Conn, err error) {
		if err != nil {
			o.testbed.After(reconnectDelay, o.connect)
			return
		}
		o.mu.Lock()
		o.conn = conn
		late := o.unsent
		o.unsent = nil
		o.mu.Unlock()
		conn.Start(&session{client: o, conn: conn}, clientWriteTimeout)
		if o.AuthToken != "" {
			o.notify(conn, "authenticate", map[string]any{"token": o.AuthToken})
		}
		for _, want := range late {
			o.Request(want)
		}
	})
}

// session is one connection's life.
type session struct {
	client *Client
	conn   env.Conn
	in     client.Splitter
}

// OnData takes what the scheduler sends.
func (s *session) OnData(b []byte) {
	if err := s.in.Feed(b, s.client.onNotification); err != nil {
		s.conn.Close(false, nil)
	}
}

// OnClose meets the end of the connection.
func (s *session) OnClose(error) {
	s.client.onDisconnect()
	s.client.testbed.After(reconnectDelay, s.client.connect)
}

// notify sends a notification.
func (o *Client) notify(conn env.Conn, method string, params map[string]any) {
	body, err := json.Marshal(map[string]any{"jsonrpc": "2.0", "method": method, "params": params})
	if err != nil {
		return
	}
	conn.Send(func(b []byte) []byte { return client.AppendMessage(b, body) })
}

// onDisconnect meets the end of a connection: what was open is asked for again, where a second start could do harm only
// after the settle time.
func (o *Client) onDisconnect() {
	o.mu.Lock()
	o.conn = nil
	now := o.testbed.Now()
	var again []*Demand
	for _, ref := range slices.Sorted(maps.Keys(o.pending)) {
		want := o.pending[ref]
		o.testbed.Trace.Add(audit.Record{At: now, Kind: audit.RequestAbandoned, Scheduler: o.Scheduler, Client: o.ID, RequestRef: ref})
		o.outcomes = append(o.outcomes, Outcome{SentAt: want.sentAt, Job: want.Job, Tenant: want.Tenant, Result: "cut-off"})
		again = append(again, want)
	}
	for _, ref := range slices.Sorted(maps.Keys(o.running)) { // it runs on; asked for again, it is found or started anew
		again = append(again, o.running[ref])
	}
	o.pending, o.running = map[uint64]*Demand{}, map[uint64]*Demand{}
	o.mu.Unlock()
	for _, want := range again {
		want.running = false
		o.retryLater(want, 200, true)
	}
}

// retryLater asks after a while, if it is still wanted.
func (o *Client) retryLater(want *Demand, after float64, doubtful bool) {
	o.mu.Lock()
	after *= 0.75 + 0.5*o.rng.Float64()
	o.mu.Unlock()
	if doubtful && want.Semantics != audit.Restartable {
		after += o.SettleTime
	}
	if o.testbed.Now()+after > want.GiveUpAt {
		return
	}
	o.testbed.After(after, func() { o.Request(want) })
}

// Connected tells whether the owner is connected.
func (o *Client) Connected() bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.conn != nil
}

// Request asks for an allocation.
func (o *Client) Request(want *Demand) {
	now := o.testbed.Now()
	if now > want.GiveUpAt {
		return
	}
	o.mu.Lock()
	if o.conn == nil {
		o.unsent = append(o.unsent, want)
		o.mu.Unlock()
		return
	}
	o.lastRef++
	ref, conn := o.lastRef, o.conn
	o.pending[ref] = want
	want.attempts++
	want.sentAt = now
	if want.attempts == 1 {
		want.firstSentAt = now
	}
	// recorded before it is sent: an answer can't come before its ask, and the time is counted from here
	o.testbed.Trace.Add(audit.Record{
		At: now, Kind: audit.RequestSent, Scheduler: o.Scheduler, Client: o.ID, RequestRef: ref, Job: want.Job,
		Token: want.Token, Service: want.ServiceKey, Deadline: now + want.Timeout,
	})
	o.mu.Unlock()
	o.notify(conn, "allocate", map[string]any{
		"ref": ref, "tenant": want.Tenant, "key": want.Key,
		"job-type": want.JobType, "service": want.Service, "cores": want.Cores, "memory": want.Memory,
		"within-ms": want.Timeout, "sent-at-ms": o.testbed.WallClock().UnixMilli(),
	})
	o.testbed.After(want.Timeout+1500, func() { o.onTimeout(ref) })
}

// onTimeout meets an ask that no answer came to.
func (o *Client) onTimeout(ref uint64) {
	o.mu.Lock()
	want := o.pending[ref]
	delete(o.pending, ref)
	if want != nil {
		o.outcomes = append(o.outcomes, Outcome{SentAt: want.sentAt, Job: want.Job, Tenant: want.Tenant, Result: "none"})
	}
	o.mu.Unlock()
	if want != nil {
		o.retryLater(want, 200, true)
	}
}

// Withdraw gives up part of all that is wanted and asks for it again, as when services are stopped.
func (o *Client) Withdraw(part float64) {
	o.mu.Lock()
	var refs []uint64
	for _, ref := range slices.Sorted(maps.Keys(o.running)) {
		if o.rng.Float64() < part {
			refs = append(refs, ref)
		}
	}
	for _, ref := range slices.Sorted(maps.Keys(o.pending)) {
		if o.rng.Float64() < part {
			refs = append(refs, ref)
		}
	}
	conn := o.conn
	o.mu.Unlock()
	for _, ref := range refs {
		if conn != nil {
			o.notify(conn, "withdraw", map[string]any{"ref": ref})
		}
	}
}

// onNotification takes a notification; replies to calls there are none.
func (o *Client) onNotification(body []byte) error {
	var msg struct {
		Method string
		Params struct {
			Ref    uint64
			Answer string
			How    string
			Why    string
		}
	}
	if err := json.Unmarshal(body, &msg); err != nil {
		return err
	}
	now, news := o.testbed.Now(), &msg.Params
	if msg.Method == "answer" {
		o.onAnswer(now, news.Ref, news.Answer, news.Why)
		return nil
	}
	o.mu.Lock()
	want := o.running[news.Ref]
	delete(o.running, news.Ref)
	if news.How == "lost" {
		o.lostTasks++
	}
	o.mu.Unlock()
	if want == nil {
		return nil
	}
	if want.running = false; news.How != "ended" {
		o.retryLater(want, 150, news.How == "lost" && news.Why == "")
	} else {
		want.done = true
	}
	return nil
}

func (o *Client) onAnswer(now float64, ref uint64, word, why string) {
	o.testbed.Trace.Add(audit.Record{At: now, Kind: audit.ResponseReceived, Scheduler: o.Scheduler, Client: o.ID, RequestRef: ref, Detail: word})
	o.mu.Lock()
	want := o.pending[ref]
	delete(o.pending, ref)
	if want == nil {
		o.mu.Unlock()
		return
	}
	took := now - want.sentAt
	o.outcomes = append(o.outcomes, Outcome{
		SentAt: want.sentAt, Latency: took, Job: want.Job, Tenant: want.Tenant, Result: word,
		First: want.attempts == 1, InTime: word == "served" && want.attempts == 1 && took <= want.LatencyObjective,
	})
	if word == "served" {
		want.running = true
		o.running[ref] = want
	}
	o.mu.Unlock()
	switch {
	case word == "declined":
		o.retryLater(want, 1000, false)
	case word == "failed":
		o.retryLater(want, 1000, true)
	}
}

// LostTasks is of how many tasks it was told that they are lost.
func (o *Client) LostTasks() int {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.lostTasks
}

// Outcomes returns what became of all asks.
func (o *Client) Outcomes() []Outcome {
	o.mu.Lock()
	defer o.mu.Unlock()
	return append([]Outcome(nil), o.outcomes...)
}
