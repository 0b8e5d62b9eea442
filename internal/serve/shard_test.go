package serve

import (
	"context"
	"fmt"
	"net"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"ravenpond/internal/engine"
	"ravenpond/internal/site"

	"github.com/creachadair/jrpc2"
	"github.com/creachadair/jrpc2/channel"
	"github.com/rs/zerolog"
)

// TestFencedShard has one of three shards panic or block: the others go on, and no audit rule is violated.
func TestFencedShard(t *testing.T) {
	for _, c := range []struct {
		name        string
		connections site.ConnectionMode
		fault       func()
	}{
		{"panics, shared connections", site.SharedConnections, func() { panic("injected fault") }},
		{"panics, own connections", site.OwnConnections, func() { panic("injected fault") }},
		{"panics, shared reports", site.SharedReports, func() { panic("injected fault") }},
		{"blocks, shared connections", site.SharedConnections, func() { time.Sleep(4 * time.Second) }},
		{"blocks, own connections", site.OwnConnections, func() { time.Sleep(4 * time.Second) }},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			s := newTestCluster(t, 1, 8, false)
			siteConfig := *s.siteConfig
			siteConfig.Shards, siteConfig.MaxShards, siteConfig.Connections = 3, 3, c.connections
			var offers, incarnations atomic.Int32
			s.start(0, siteConfig, Faults{WrapEffects: func(e engine.Effects) engine.Effects {
				if incarnations.Add(1) != 2 { // only the first incarnation of the second shard has the fault
					return e
				}
				return faultyEffects{Effects: e, offer: func(e engine.Effects, node uint32, offer engine.Offer) {
					e.Offer(node, offer)
					if offers.Add(1) == 25 {
						c.fault()
					}
				}}
			}})
			s.load(6500, 60, "0012")
			violations, served := s.violations()
			if len(violations) > 0 || served < s.minServed(200) {
				t.Errorf("%d requests served, want 200 if the load made all its requests; got violations %v, want none",
					served, violations[:min(4, len(violations))])
			}
			if offers.Load() < 25 || incarnations.Load() != 4 {
				t.Errorf("got %d offers by the faulty shard, want at least 25; %d incarnations, want 4", offers.Load(), incarnations.Load())
			}
		})
	}
}

// testClient is a client that records all notifications.
type testClient struct {
	*jrpc2.Client
	mu       sync.Mutex
	received []string
}

// connect connects a client over TCP.
func connect(t *testing.T, addr string) *testClient {
	t.Helper()
	conn, err := net.Dial("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	return newTestClient(t, conn)
}

// newTestClient returns a client that speaks the client protocol over a connection.
func newTestClient(t *testing.T, conn net.Conn) *testClient {
	t.Helper()
	c := &testClient{}
	c.Client = jrpc2.NewClient(channel.LSP(conn, conn), &jrpc2.ClientOptions{OnNotify: func(r *jrpc2.Request) {
		c.mu.Lock()
		c.received = append(c.received, r.Method()+r.ParamString())
		c.mu.Unlock()
	}})
	t.Cleanup(func() {
		_ = c.Close()
		c.logNotifications(t)
	})
	return c
}

func (c *testClient) allocate(ref uint64, job, key string) error {
	_, err := c.Call(context.Background(), "allocate", map[string]any{
		"ref": ref, "tenant": "t", "key": key,
		"job-type": job, "service": "s" + key, "cores": 1, "memory": 1,
	})
	return err
}

func (c *testClient) notifications() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return append([]string(nil), c.received...)
}

// TestSameKey requests the same idempotency keys on two connections at the same time, withdraws some requests at once, and requests the keys
// again on a third connection: each request has one answer, and no task of an at-most-once class starts twice.
func TestSameKey(t *testing.T) {
	s := newTestCluster(t, 1, 8, false)
	siteConfig := *s.siteConfig
	siteConfig.Shards, siteConfig.MaxShards = 4, 4
	s.start(0, siteConfig, Faults{})
	addr := s.clients[0].SchedulerAddress()
	time.Sleep(1800 * time.Millisecond)
	a, b := connect(t, addr), connect(t, addr)
	const keys = 60
	var both sync.WaitGroup
	for _, c := range []*testClient{a, b} {
		both.Go(func() { c.allocateAndWithdraw(t, keys) })
	}
	both.Wait()
	time.Sleep(1700 * time.Millisecond)
	for _, c := range []*testClient{a, b} {
		c.checkOneAnswerEach(t, keys)
	}
	_ = a.Close() // the tasks run on, and a later request for the same key finds them
	c := connect(t, addr)
	for i := range uint64(keys) {
		if err := c.allocate(i+1, "once", fmt.Sprint("key", i)); err != nil {
			t.Error(err)
		}
	}
	violations, _ := s.violations()
	if len(violations) > 0 {
		t.Error(violations)
	}
	starts := map[uint64]int{}
	for _, r := range s.testbed.Trace.Records() {
		if r.Kind.String() == "ran" {
			if starts[r.Ticket]++; starts[r.Ticket] > 1 {
				t.Errorf("ticket %x started twice, want once", r.Ticket)
			}
		}
	}
	t.Run("invalid calls", c.testInvalidCalls)
}

// allocateAndWithdraw requests a number of keys and withdraws every fifth request at once.
func (c *testClient) allocateAndWithdraw(t *testing.T, keys uint64) {
	t.Helper()
	for i := range keys {
		if err := c.allocate(i+1, "once", fmt.Sprint("key", i)); err != nil {
			t.Error(err)
		}
		if i%5 == 0 {
			_, _ = c.Call(context.Background(), "withdraw", map[string]any{"ref": i + 1}) // fails if the request is already answered
		}
	}
}

// checkOneAnswerEach checks that each of a number of requests had exactly one answer.
func (c *testClient) checkOneAnswerEach(t *testing.T, requests int) {
	t.Helper()
	answers := map[string]int{}
	for _, n := range c.notifications() {
		var ref int
		if _, err := fmt.Sscanf(n, `answer{"ref":%d`, &ref); err == nil {
			answers[fmt.Sprint(ref)]++
		}
	}
	for i := range requests {
		if n := answers[fmt.Sprint(i+1)]; n != 1 {
			t.Errorf("request %d got %d answers, want 1", i+1, n)
		}
	}
}

// testInvalidCalls makes calls that must fail.
func (c *testClient) testInvalidCalls(t *testing.T) {
	for name, call := range map[string]func() error{
		"ref in use":       func() error { _ = c.allocate(900, "free", "x"); return c.allocate(900, "free", "y") },
		"unknown job type": func() error { return c.allocate(901, "none", "x") },
		"no key":           func() error { return c.allocate(902, "free", "") },
		"no ref":           func() error { return c.allocate(0, "free", "x") },
		"unknown method":   func() error { _, err := c.Call(context.Background(), "shutdown", nil); return err },
		"unknown field": func() error {
			_, err := c.Call(context.Background(), "withdraw", map[string]any{"ref": 1, "x": 2})
			return err
		},
		"nothing to withdraw": func() error {
			_, err := c.Call(context.Background(), "withdraw", map[string]any{"ref": 12345})
			return err
		},
	} {
		if call() == nil {
			t.Errorf("%s: got no error, want one", name)
		}
	}
}

// BenchmarkInbox compares an inbox with a channel.
func BenchmarkInbox(b *testing.B) {
	ev := event(func(float64) {})
	b.Run("swapped slices", func(b *testing.B) {
		wake := make(chan struct{}, 1)
		in := &inbox{wake: func() {
			select {
			case wake <- struct{}{}:
			default:
			}
		}}
		stop := make(chan struct{})
		go func() {
			var spare []event
			for {
				select {
				case <-stop:
					return
				case <-wake:
					spare = in.take(1, spare)
				}
			}
		}()
		b.RunParallel(func(pb *testing.PB) {
			for pb.Next() {
				in.put(1, ev)
			}
		})
		close(stop)
	})
	b.Run("channel", func(b *testing.B) {
		ch := make(chan event, 4096)
		go func() {
			for range ch {
			}
		}()
		b.RunParallel(func(pb *testing.PB) {
			for pb.Next() {
				ch <- ev
			}
		})
		close(ch)
	})
}

// TestResize adds and removes shards under load: each allocation goes on, and no audit rule is violated.
func TestResize(t *testing.T) {
	for _, c := range []struct {
		name        string
		connections site.ConnectionMode
		sizes       []int
	}{
		{"one to four, shared connections", site.SharedConnections, []int{4}},
		{"four to one, shared connections", site.SharedConnections, []int{4, 1}},
		{"up and down, shared reports", site.SharedReports, []int{3, 1, 4, 2}},
		{"four to one, own connections", site.OwnConnections, []int{4, 1}},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			s := newTestCluster(t, 1, 8, false)
			siteConfig := *s.siteConfig
			siteConfig.Shards, siteConfig.MaxShards, siteConfig.Connections = 1, 4, c.connections
			var log logLines
			resize := make(chan int, 1)
			s.configure = func(config *Config) { config.Resize, config.Log = resize, zerolog.New(&log) }
			s.start(0, siteConfig, Faults{})
			s.load(2200, 60, "0012")
			for _, n := range c.sizes {
				resize <- n
				s.load(2500, 80, "0012")
			}
			violations, served := s.violations()
			if len(violations) > 0 || served < s.minServed(200+100*len(c.sizes)/2) {
				t.Errorf("%d requests served are too few, or got violations %v, want none", served, violations[:min(4, len(violations))])
			}
			removed := 0
			for i, n := range c.sizes[1:] {
				removed += max(0, c.sizes[i]-n)
			}
			if got := log.count("shard removed"); got != removed && c.connections != site.OwnConnections {
				t.Errorf("%d shards removed, want %d\n%s", got, removed, log.text())
			}
			if gave := log.count("shard removed") - log.count(`"runs_given":0,`); removed > 0 && c.connections != site.OwnConnections && gave == 0 {
				t.Errorf("no removed shard handed over running allocations\n%s", log.text())
			}
			if log.count("not taken over") > 0 || log.count("fenced") > 0 {
				t.Error(log.text())
			}
		})
	}
}

// TestReceiverFenced fences a shard that was just handed running tasks of another shard. The shard that made the attempts no longer knows them,
// but the nodes' reports must bring each task back to some shard, and the client must be told of its end.
func TestReceiverFenced(t *testing.T) {
	s := newTestCluster(t, 1, 8, false)
	siteConfig := *s.siteConfig
	siteConfig.Shards, siteConfig.MaxShards = 1, 2
	var log logLines
	var fence atomic.Bool
	var incarnations atomic.Int32
	resize := make(chan int, 1)
	s.configure = func(config *Config) { config.Resize, config.Log = resize, zerolog.New(&log) }
	s.start(0, siteConfig, Faults{WrapEffects: func(e engine.Effects) engine.Effects {
		if incarnations.Add(1) != 2 {
			return e
		}
		return faultyEffects{Effects: e, offer: func(e engine.Effects, node uint32, offer engine.Offer) {
			if fence.Load() {
				panic("injected fault")
			}
			e.Offer(node, offer)
		}}
	}})
	c := connect(t, s.clients[0].SchedulerAddress())
	time.Sleep(1800 * time.Millisecond)
	const requests = 80
	for i := range uint64(requests) {
		if err := c.allocate(i+1, "free", fmt.Sprint("r", i)); err != nil {
			t.Fatal(err)
		}
	}
	waitFor(t, "more than half of the requests served", func() bool {
		return strings.Count(strings.Join(c.notifications(), ""), `"answer":"served"`) > requests/2
	})
	resize <- 2
	waitFor(t, "second shard started", func() bool { return log.count(`"message":"started"`) > 0 })
	time.Sleep(400 * time.Millisecond)
	fence.Store(true)
	for i := range uint64(requests) {
		_ = c.allocate(1000+i, "free", fmt.Sprint("s", i))
	}
	waitFor(t, "second shard fenced", func() bool { return log.count(`"message":"fenced: panic`) == 1 })
	if log.count(`"run":0,`) > 0 {
		t.Fatalf("the fenced shard held no running tasks\n%s", log.text())
	}
	running := func() map[uint64]bool {
		all := map[uint64]bool{}
		for _, n := range c.notifications() {
			var ref uint64
			if _, err := fmt.Sscanf(n, `answer{"ref":%d,"answer":"served"`, &ref); err == nil && ref <= requests {
				all[ref] = true
			}
			if _, err := fmt.Sscanf(n, `over{"ref":%d,"how":"ended"`, &ref); err == nil {
				delete(all, ref)
			}
		}
		return all
	}
	waitFor(t, "end of each served request", func() bool { return len(running()) == 0 })
}

// waitFor waits up to 6 s for a condition.
func waitFor(t *testing.T, what string, done func() bool) {
	t.Helper()
	for range 600 {
		if done() {
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
	t.Fatalf("condition not met within 6 s: %s", what)
}

// TestResizeRefused requests numbers of shards that are out of range, and then one that is allowed.
func TestResizeRefused(t *testing.T) {
	s := newTestCluster(t, 1, 2, false)
	siteConfig := *s.siteConfig
	siteConfig.MaxShards = 2
	var log logLines
	resize := make(chan int)
	s.configure = func(config *Config) { config.Resize, config.Log = resize, zerolog.New(&log) }
	s.start(0, siteConfig, Faults{})
	for _, n := range []int{0, 3} {
		resize <- n
	}
	resize <- 2
	time.Sleep(200 * time.Millisecond)
	if log.count("number of shards not changed") != 2 || log.count("changing the number of shards") != 1 {
		t.Error(log.text())
	}
}

// logLines records the lines of a log.
type logLines struct {
	mu  sync.Mutex
	all []string
}

func (l *logLines) Write(b []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.all = append(l.all, string(b))
	return len(b), nil
}

func (l *logLines) count(what string) (n int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, s := range l.all {
		if strings.Contains(s, what) {
			n++
		}
	}
	return n
}

func (l *logLines) text() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return strings.Join(l.all, "")
}
