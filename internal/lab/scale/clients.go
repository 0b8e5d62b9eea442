package scale

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"ravenpond/internal/env"
	"ravenpond/internal/proto/client"
)

// Parameters of clients; times are in ms.
const (
	dialTimeoutMs      = 2000
	clientWriteTimeout = 5000
	clientsPerProcess  = 4 // number of connections to each real process
	services           = 50
	taskCores          = 0.1 // cores
	taskMemory         = 0.1 // GiB
	maxLatencyUs       = 60_000_000
	histogramDigits    = 3 // digits
)

// loadClient is a client connection that requests tasks.
type loadClient struct {
	process int // index of the process that it is connected to
	env     env.Environment
	conn    env.Conn
	in      client.Splitter
	tally   *tally

	mu      sync.Mutex
	refs    uint64
	pending map[uint64]time.Time // scheduled times of the requests that are not answered yet, by their ref
}

// tally counts requests and their outcomes. An outcome is counted when the answer arrives.
type tally struct {
	mu                sync.Mutex
	requests          int
	served, notServed int
	startLatency      *hdrhistogram.Histogram // us from a request's scheduled time until it is served
}

func newTally() *tally {
	return &tally{startLatency: hdrhistogram.New(1, maxLatencyUs, histogramDigits)}
}

// reset sets all counts to zero.
func (t *tally) reset() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.requests, t.served, t.notServed = 0, 0, 0
	t.startLatency.Reset()
}

// counts returns the numbers of requests, of those that were served, and of those that got another answer.
func (t *tally) counts() (asked, served, others int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.requests, t.served, t.notServed
}

// quantileMs returns a percentile of the start latency in ms.
func (t *tally) quantileMs(percent float64) float64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	return float64(t.startLatency.ValueAtQuantile(percent)) / 1e3
}

// dial connects a client to a real process.
func dial(w env.Environment, real int, address string, t *tally) (*loadClient, error) {
	c := &loadClient{process: real, env: w, tally: t, pending: map[uint64]time.Time{}}
	done := make(chan error, 1)
	w.Dial(address, dialTimeoutMs, func(conn env.Conn, err error) {
		if err == nil {
			c.conn = conn
			conn.Start(c, clientWriteTimeout)
		}
		done <- err
	})
	if err := <-done; err != nil {
		return nil, fmt.Errorf("connect a client: %w", err)
	}
	return c, nil
}

// request requests a task. Latency is measured from the request's scheduled time.
func (c *loadClient) request(scheduled time.Time, job string, number, teams int) {
	c.mu.Lock()
	c.refs++
	ref := c.refs
	c.pending[ref] = scheduled
	c.mu.Unlock()
	c.tally.mu.Lock()
	c.tally.requests++
	c.tally.mu.Unlock()
	body := fmt.Appendf(nil, `{"jsonrpc":"2.0","method":"allocate","params":{"ref":%d,"tenant":"%s","key":"k%s%d","job-type":"%s","service":"s%d","cores":%g,"memory":%g}}`,
		ref, teamName(number%teams), job, number, job, number%services, taskCores, taskMemory)
	c.conn.Send(func(b []byte) []byte { return client.AppendMessage(b, body) })
}

// OnData processes answers.
func (c *loadClient) OnData(b []byte) {
	if c.in.Feed(b, c.onMessage) != nil {
		c.conn.Close(false, nil)
	}
}

// OnClose does nothing.
func (c *loadClient) OnClose(error) {}

func (c *loadClient) onMessage(body []byte) error {
	var message struct {
		Method string
		Params struct {
			Ref    uint64
			Answer string
		}
	}
	if err := json.Unmarshal(body, &message); err != nil {
		return err
	}
	if message.Method != "answer" {
		return nil
	}
	c.mu.Lock()
	scheduled, ok := c.pending[message.Params.Ref]
	delete(c.pending, message.Params.Ref)
	c.mu.Unlock()
	if !ok {
		return nil
	}
	c.tally.mu.Lock()
	defer c.tally.mu.Unlock()
	if message.Params.Answer != "served" {
		c.tally.notServed++
		return nil
	}
	c.tally.served++
	return c.tally.startLatency.RecordValue(min(maxLatencyUs, max(1, time.Since(scheduled).Microseconds())))
}

// sendRequests sends requests through the clients in turn, as an open loop with exponentially distributed intervals, until stop is
// closed or limit requests are sent (0: no limit). It returns the number of the next request.
func sendRequests(stop <-chan struct{}, clients []*loadClient, job string, perSecond float64, first, limit, teams int, random *rand.Rand) (next int) {
	at := time.Now()
	number := first
	for ; limit == 0 || number < first+limit; number++ {
		at = at.Add(time.Duration(random.ExpFloat64() / perSecond * 1e9))
		select {
		case <-stop:
			return number
		case <-time.After(time.Until(at)):
		}
		clients[number%len(clients)].request(at, job, number, teams)
	}
	return number
}
