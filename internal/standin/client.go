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

// Demand is a task that a client wants until GiveUpAt. It is requested as often as necessary. Times and durations are in ms.
type Demand struct {
	Key, Tenant, JobType, Service string
	Job                           int
	Semantics                     audit.Semantics
	Token, ServiceKey             uint64 // as the scheduler derives them from Key and Service
	Cores, Memory                 float64
	Timeout                       float64 // timeout of each request
	LatencyObjective              float64
	GiveUpAt                      float64 // time from which the task is no longer wanted

	requests int
	sentAt   float64 // when the last request was sent
}

// Result is how a request ended: the answer, or the reason why there was none.
type Result string

// Results: the answers of a scheduler, and those without an answer.
const (
	Served       Result = audit.AnswerServed
	Declined     Result = audit.AnswerDeclined
	Failed       Result = "failed"
	Disconnected Result = "cut-off" // the connection ended before the answer
	Unanswered   Result = "none"    // no answer came in time
)

// Outcome describes how one request ended. Times are in ms.
type Outcome struct {
	SentAt, Latency float64
	Job             int
	Tenant          string
	Result          Result
	First           bool // whether it was the first request of its demand
	InTime          bool // whether it was also served within the latency objective
}

// Client requests tasks from one scheduler over one connection, and reconnects whenever the connection ends. It is safe for concurrent use.
type Client struct {
	ID               int
	Scheduler        string        // name of the scheduler
	SchedulerAddress func() string // returns the scheduler's current address, empty while it does not listen
	SettleTime       float64       // ms to wait before a request that may start a task a second time
	AuthToken        string        // sent first on each connection where set, for schedulers whose tenants change at run time

	testbed *Testbed

	mu        sync.Mutex // guards the fields below
	rng       *rand.Rand
	conn      env.Conn // nil while not connected
	lastRef   uint64
	pending   map[uint64]*Demand // by reference: requested and not answered yet
	running   map[uint64]*Demand // by reference: served and not ended yet
	outcomes  []Outcome
	unsent    []*Demand // requested while not connected
	lostTasks int
}

// Times of a client in ms.
const (
	reconnectDelay     = 50
	dialTimeout        = 1000
	clientWriteTimeout = 5000
	answerGrace        = 1500 // time after a request's timeout during which an answer is still accepted

	retryAfterEnd      = 150 // delay after a task ended that is still wanted
	retryAfterNoAnswer = 200
	retryAfterRefusal  = 1000
)

// Retry delays are multiplied by a random factor from this range, so that clients do not retry at the same time.
const minRetryFactor, retryFactorRange = 0.75, 0.5

// Ways in which a task ended: endedNormally means that it completed its work, lostTask that its end is unknown.
const (
	endedNormally = "ended"
	lostTask      = "lost"
)

// StartClient connects a client, which reconnects whenever its connection ends.
func (tb *Testbed) StartClient(c *Client, seed uint64) {
	c.testbed, c.rng = tb, rand.New(rand.NewPCG(seed, 11))
	c.pending, c.running = map[uint64]*Demand{}, map[uint64]*Demand{}
	c.connect()
}

// connect dials until there is a connection, then sends the requests that waited for one.
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

// Request requests a task unless it is no longer wanted. Without a connection, the request is sent once there is one.
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
	// The request is recorded before it is sent, so that no answer can precede it in the trace. Its timeout starts here.
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

// Withdraw withdraws a random fraction of all requests and running tasks. Those still wanted are requested again once the scheduler reports
// their end.
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

// LostTasks returns the number of tasks that the scheduler reported as lost.
func (c *Client) LostTasks() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.lostTasks
}

// Outcomes returns a copy of the outcomes of all requests so far.
func (c *Client) Outcomes() []Outcome {
	c.mu.Lock()
	defer c.mu.Unlock()
	return slices.Clone(c.outcomes)
}

// notify sends a JSON-RPC notification.
func (c *Client) notify(conn env.Conn, method string, params map[string]any) {
	body, err := json.Marshal(map[string]any{"jsonrpc": "2.0", "method": method, "params": params})
	if err != nil {
		return // cannot happen: parameters are numbers and strings
	}
	conn.Send(func(b []byte) []byte { return client.AppendMessage(b, body) })
}

// retryLater requests a task again after a delay in ms, which it randomizes, if the task is still wanted by then. If an earlier attempt may
// still run and a second start would do harm, it adds the settle time.
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
