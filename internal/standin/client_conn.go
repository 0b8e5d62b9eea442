package standin

import (
	"encoding/json"
	"maps"
	"slices"

	"ravenpond/internal/audit"
	"ravenpond/internal/env"
	"ravenpond/internal/proto/client"
)

// clientConn is one connection of a client. It implements env.ConnHandler.
type clientConn struct {
	client   *Client
	conn     env.Conn
	splitter client.Splitter
}

// OnData parses data from the scheduler.
func (cc *clientConn) OnData(b []byte) {
	if err := cc.splitter.Feed(b, cc.client.onNotification); err != nil {
		cc.conn.Close(false, nil)
	}
}

// OnClose makes the client reconnect.
func (cc *clientConn) OnClose(error) {
	cc.client.onDisconnect()
	cc.client.testbed.After(reconnectDelay, cc.client.connect)
}

// onDisconnect repeats all requests that were pending or whose tasks run. A task that still runs is found by its key; any other is started again.
func (c *Client) onDisconnect() {
	c.mu.Lock()
	c.conn = nil
	now := c.testbed.Now()
	var retries []*Demand
	for _, ref := range slices.Sorted(maps.Keys(c.pending)) {
		demand := c.pending[ref]
		c.testbed.Trace.Add(audit.Record{At: now, Kind: audit.RequestAbandoned, Scheduler: c.Scheduler, Client: c.ID, RequestRef: ref})
		c.outcomes = append(c.outcomes, Outcome{SentAt: demand.sentAt, Job: demand.Job, Tenant: demand.Tenant, Result: Disconnected})
		retries = append(retries, demand)
	}
	for _, ref := range slices.Sorted(maps.Keys(c.running)) {
		retries = append(retries, c.running[ref])
	}
	c.pending, c.running = map[uint64]*Demand{}, map[uint64]*Demand{}
	c.mu.Unlock()
	for _, demand := range retries {
		c.retryLater(demand, retryAfterNoAnswer, true)
	}
}

// onTimeout ends a request that was not answered and retries it.
func (c *Client) onTimeout(ref uint64) {
	c.mu.Lock()
	demand := c.pending[ref]
	delete(c.pending, ref)
	if demand != nil {
		c.outcomes = append(c.outcomes, Outcome{SentAt: demand.sentAt, Job: demand.Job, Tenant: demand.Tenant, Result: Unanswered})
	}
	c.mu.Unlock()
	if demand != nil {
		c.retryLater(demand, retryAfterNoAnswer, true)
	}
}

// notification is a message from a scheduler: the answer to a request, or the end of a task.
type notification struct {
	Method string
	Params struct {
		Ref    uint64
		Answer string // set in an answer
		How    string // set in the end of a task
		Why    string
	}
}

// onNotification handles a JSON-RPC notification. An invalid body ends the connection.
func (c *Client) onNotification(body []byte) error {
	var n notification
	if err := json.Unmarshal(body, &n); err != nil {
		return err
	}
	if n.Method == "answer" {
		c.onAnswer(n.Params.Ref, n.Params.Answer)
	} else {
		c.onEnd(n.Params.Ref, n.Params.How, n.Params.Why)
	}
	return nil
}

// onEnd handles the end of a task. A task that was lost without a reason may still run.
func (c *Client) onEnd(ref uint64, how, why string) {
	c.mu.Lock()
	demand := c.running[ref]
	delete(c.running, ref)
	if how == lostTask {
		c.lostTasks++
	}
	c.mu.Unlock()
	if demand != nil && how != endedNormally {
		c.retryLater(demand, retryAfterEnd, how == lostTask && why == "")
	}
}

// onAnswer handles the final answer to a request.
func (c *Client) onAnswer(ref uint64, answer string) {
	now := c.testbed.Now()
	c.testbed.Trace.Add(audit.Record{At: now, Kind: audit.ResponseReceived, Scheduler: c.Scheduler, Client: c.ID, RequestRef: ref, Detail: answer})
	c.mu.Lock()
	demand := c.pending[ref]
	delete(c.pending, ref)
	if demand == nil {
		c.mu.Unlock()
		return
	}
	result, latency, first := Result(answer), now-demand.sentAt, demand.requests == 1
	c.outcomes = append(c.outcomes, Outcome{
		SentAt: demand.sentAt, Latency: latency, Job: demand.Job, Tenant: demand.Tenant, Result: result,
		First: first, InTime: result == Served && first && latency <= demand.LatencyObjective,
	})
	if result == Served {
		c.running[ref] = demand
	}
	c.mu.Unlock()
	switch result {
	case Declined:
		c.retryLater(demand, retryAfterRefusal, false)
	case Failed:
		c.retryLater(demand, retryAfterRefusal, true)
	}
}
