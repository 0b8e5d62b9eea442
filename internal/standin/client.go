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

// Demand is a task that a client wants until some time, requested as often as need be. Times and durations are ms.
type Demand struct {
	Key, Tenant, JobType, Service string
	Job                           int
	Semantics                     audit.Semantics
	Token, ServiceKey             uint64 // as the scheduler derives them from key and service
	Cores, Memory                 float64
	Timeout                       float64 // of each request
	LatencyObjective              float64
	GiveUpAt                      float64 // when it is not wanted any more

	requests int
	sentAt   float64 // of the last request
}

// Result is what became of a request: the answer's word, or why there was none.
type Result string

// Results of requests.
const (
	Served       Result = audit.AnswerServed
	Declined     Result = audit.AnswerDeclined
	Failed       Result = "failed"
	Disconnected Result = "cut-off" // the connection ended before the answer
	Unanswered   Result = "none"    // no answer came in time
)

// Outcome is what became of one request. Times are ms.
type Outcome struct {
	SentAt, Latency float64
	Job             int
	Tenant          string
	Result          Result
	First           bool // it was the first request of its demand
	InTime          bool // and was served within the latency objective
}

// Client requests tasks of one scheduler over one connection, which it makes anew whenever it ends. Its methods may be called from
// several goroutines.
type Client struct {
	ID               int
	Scheduler        string        // its name
	SchedulerAddress func() string // where it listens now, empty while it does not
	SettleTime       float64       // ms to wait before a request that may start a task for the second time
	AuthToken        string        // shown first, where tenants come and go

	testbed *Testbed

	mu        sync.Mutex // guards all below
	rng       *rand.Rand
	conn      env.Conn // nil while there is none
	lastRef   uint64
	pending   map[uint64]*Demand // by reference: requested and not answered
	running   map[uint64]*Demand // by reference
	outcomes  []Outcome
	unsent    []*Demand // requested while there was no connection
	lostTasks int
}

// Times of clients in ms.
const (
	reconnectDelay     = 50
	dialTimeout        = 1000
	clientWriteTimeout = 5000
	answerGrace        = 1500 // beyond a request's time-out in which an answer is still taken

	retryAfterEnd      = 150 // of a task that is still wanted
	retryAfterNoAnswer = 200
	retryAfterRefusal  = 1000
)

// Delays of retries vary by this much, so that clients do not retry together.
const minRetryFactor, retryFactorRange = 0.75, 0.5

// endedNormally is how a task ended that did its work; lostTask that its end is not known.
const (
	endedNormally = "ended"
	lostTask      = "lost"
)

// StartClient connects a client and keeps it connected.
func (tb *Testbed) StartClient(c *Client, seed uint64) {
	c.testbed, c.rng = tb, rand.New(rand.NewPCG(seed, 11))
	c.pending, c.running = map[uint64]*Demand{}, map[uint64]*Demand{}
	c.connect()
}

// connect dials until there is a connection, then sends what waited for it.
func (c *Client) connect() {
	address := c.SchedulerAddress()
	if address == "" {
		c.testbed.After(reconnectDelay, c.connect)
		return
	}
	c.testbed.Dial(address, dialTimeout, func(conn env.Conn, err error) {
		if err != nil {
			c.testbed.After(reconnectDelay, c.connect)
			return
		}
		c.mu.Lock()
		c.conn = conn
		unsent := c.unsent
		c.unsent = nil
		c.mu.Unlock()
		conn.Start(&clientConn{client: c, conn: conn}, clientWriteTimeout)
		if c.AuthToken != "" {
			c.notify(conn, "authenticate", map[string]any{"token": c.AuthToken})
		}
		for _, demand := range unsent {
			c.Request(demand)
		}
	})
}

// Connected reports whether there is a connection.
func (c *Client) Connected() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.conn != nil
}

// Request requests a task, unless it is not wanted any more. Without a connection the request is sent once there is one.
func (c *Client) Request(demand *Demand) {
	now := c.testbed.Now()
	if now > demand.GiveUpAt {
		return
	}
	c.mu.Lock()
	if c.conn == nil {
		c.unsent = append(c.unsent, demand)
		c.mu.Unlock()
		return
	}
	c.lastRef++
	ref, conn := c.lastRef, c.conn
	c.pending[ref] = demand
	demand.requests++
	demand.sentAt = now
	// Recorded before it is sent: no answer can precede it in the trace, and its time counts from here.
	c.testbed.Trace.Add(audit.Record{
		At: now, Kind: audit.RequestSent, Scheduler: c.Scheduler, Client: c.ID, RequestRef: ref, Job: demand.Job,
		Token: demand.Token, Service: demand.ServiceKey, Deadline: now + demand.Timeout,
	})
	c.mu.Unlock()
	c.notify(conn, "allocate", map[string]any{
		"ref": ref, "tenant": demand.Tenant, "key": demand.Key,
		"job-type": demand.JobType, "service": demand.Service, "cores": demand.Cores, "memory": demand.Memory,
		"within-ms": demand.Timeout, "sent-at-ms": c.testbed.WallClock().UnixMilli(),
	})
	c.testbed.After(demand.Timeout+answerGrace, func() { c.onTimeout(ref) })
}

// Withdraw gives up a random fraction of all that is requested or runs; what is still wanted is requested again when its end is notified.
func (c *Client) Withdraw(fraction float64) {
	c.mu.Lock()
	var refs []uint64
	for _, demands := range []map[uint64]*Demand{c.running, c.pending} {
		for _, ref := range slices.Sorted(maps.Keys(demands)) {
			if c.rng.Float64() < fraction {
				refs = append(refs, ref)
			}
		}
	}
	conn := c.conn
	c.mu.Unlock()
	for _, ref := range refs {
		if conn != nil {
			c.notify(conn, "withdraw", map[string]any{"ref": ref})
		}
	}
}

// LostTasks is of how many tasks the client was notified that they are lost.
func (c *Client) LostTasks() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.lostTasks
}

// Outcomes returns a copy of what became of all requests so far.
func (c *Client) Outcomes() []Outcome {
	c.mu.Lock()
	defer c.mu.Unlock()
	return slices.Clone(c.outcomes)
}

// notify sends a JSON-RPC notification.
func (c *Client) notify(conn env.Conn, method string, params map[string]any) {
	body, err := json.Marshal(map[string]any{"jsonrpc": "2.0", "method": method, "params": params})
	if err != nil {
		return // not of numbers and strings
	}
	conn.Send(func(b []byte) []byte { return client.AppendMessage(b, body) })
}

// retryLater requests a task again after a varied delay in ms, if it is still wanted by then. Where an earlier attempt may still run and
// a second start would do harm, the settle time is added.
func (c *Client) retryLater(demand *Demand, delay float64, mayRun bool) {
	c.mu.Lock()
	delay *= minRetryFactor + retryFactorRange*c.rng.Float64()
	c.mu.Unlock()
	if mayRun && demand.Semantics != audit.Restartable {
		delay += c.SettleTime
	}
	if c.testbed.Now()+delay > demand.GiveUpAt {
		return
	}
	c.testbed.After(delay, func() { c.Request(demand) })
}
