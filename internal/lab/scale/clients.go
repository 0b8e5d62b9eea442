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

// Times of clients in ms, and sizes.
const (
	dialTimeoutMs      = 2000
	clientWriteTimeout = 5000
	clientsPerProcess  = 4 // connections to each real process
	services           = 50
	taskCores          = 0.1
	taskMemory         = 0.1
	maxLatencyUs       = 60_000_000
	histogramDigits    = 3 // digits
)

// loadClient is a connection that asks for tasks.
type loadClient struct {
	process int // process that it asks
	env     env.Environment
	conn    env.Conn
	in      client.Splitter
	tally   *tally

	mu      sync.Mutex
	refs    uint64
	pending map[uint64]time.Time // when what is not answered yet was meant to be asked for
}

// tally is what became of asks, each counted at its answer.
type tally struct {
	mu             sync.Mutex
	requests       int
	served, others int
	starts         *hdrhistogram.Histogram // us from when an ask was meant to be made until it is served
}

func newTally() *tally {
	return &tally{starts: hdrhistogram.New(1, maxLatencyUs, histogramDigits)}
}

// reset begins to count anew.
func (t *tally) reset() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.requests, t.served, t.others = 0, 0, 0
	t.starts.Reset()
}

// counts gives asks and answers so far.
func (t *tally) counts() (asked, served, others int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.requests, t.served, t.others
}

// quantileMs is a quantile of the starts' time.
func (t *tally) quantileMs(percent float64) float64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	return float64(t.starts.ValueAtQuantile(percent)) / 1e3
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
		return nil, fmt.Errorf("client: %w", err)
	}
	return c, nil
}

// request asks for a task, which was meant to be done at a time.
func (c *loadClient) request(meant time.Time, job string, number, teams int) {
	c.mu.Lock()
	c.refs++
	ref := c.refs
	c.pending[ref] = meant
	c.mu.Unlock()
	c.tally.mu.Lock()
	c.tally.requests++
	c.tally.mu.Unlock()
	body := fmt.Appendf(nil, `{"jsonrpc":"2.0","method":"allocate","params":{"ref":%d,"tenant":"%s","key":"k%s%d","job-type":"%s","service":"s%d","cores":%g,"memory":%g}}`,
		ref, teamName(number%teams), job, number, job, number%services, taskCores, taskMemory)
	c.conn.Send(func(b []byte) []byte { return client.AppendMessage(b, body) })
}

// OnData takes answers.
func (c *loadClient) OnData(b []byte) {
	if c.in.Feed(b, c.onMessage) != nil {
		c.conn.Close(false, nil)
	}
}

// OnClose meets the end of the connection.
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
	meant, ok := c.pending[message.Params.Ref]
	delete(c.pending, message.Params.Ref)
	c.mu.Unlock()
	if !ok {
		return nil
	}
	c.tally.mu.Lock()
	defer c.tally.mu.Unlock()
	if message.Params.Answer != "served" {
		c.tally.others++
		return nil
	}
	c.tally.served++
	return c.tally.starts.RecordValue(min(maxLatencyUs, max(1, time.Since(meant).Microseconds())))
}

// arrivals asks the clients in turn at a rate, open loop, until it is told to stop or so many are asked (0: no bound).
func arrivals(stop <-chan struct{}, clients []*loadClient, job string, perSecond float64, first, limit, teams int, random *rand.Rand) (next int) {
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
