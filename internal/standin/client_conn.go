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

// OnData takes what the scheduler sends.
func (cc *clientConn) OnData(b []byte) {
	if err := cc.splitter.Feed(b, cc.client.onNotification); err != nil {
		cc.conn.Close(false, nil)
	}
}

// OnClose has the client connect again.
func (cc *clientConn) OnClose(error) {
	cc.client.onDisconnect()
	cc.client.testbed.After(reconnectDelay, cc.client.connect)
}

// onDisconnect requests all again that was pending or running: what runs goes on, and is found by its key or started anew.
func (c *Client) onDisconnect() {
	c.mu.Lock()
	c.conn = nil
	now := c.testbed.Now()
	var again []*Demand
	for _, ref := range slices.Sorted(maps.Keys(c.pending)) {
		demand := c.pending[ref]
		c.testbed.Trace.Add(audit.Record{At: now, Kind: audit.RequestAbandoned, Scheduler: c.Scheduler, Client: c.ID, RequestRef: ref})
		c.outcomes = append(c.outcomes, Outcome{SentAt: demand.sentAt, Job: demand.Job, Tenant: demand.Tenant, Result: Disconnected})
		again = append(again, demand)
	}
	for _, ref := range slices.Sorted(maps.Keys(c.running)) {
		again = append(again, c.running[ref])
	}
	c.pending, c.running = map[uint64]*Demand{}, map[uint64]*Demand{}
	c.mu.Unlock()
	for _, demand := range again {
		c.retryLater(demand, retryAfterNoAnswer, true)
	}
}

// onTimeout gives up a request that was not answered.
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

// notification is what a scheduler sends: the answer to a request, or the end of a task.
type notification struct {
	Method string
	Params struct {
		Ref    uint64
		Answer string // of an answer
		How    string // of an end
		Why    string
	}
}

// onNotification takes a JSON-RPC notification; a body that is none ends the connection.
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

// onEnd takes the end of a task. A task that was lost without a reason may still run.
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

// onAnswer takes the final answer to a request.
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
