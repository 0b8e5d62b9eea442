package platform

import (
	"errors"
	"fmt"
	"io"
	"net"
	"slices"
	"testing"
	"time"

	codec "ravenpond/internal/proto/platform"
)

// depart closes a client's connection. If readFirst is set it waits until the scheduler has processed the close, else it blocks the event.
func (r *loopbackRig) depart(x *tcpClient, leave func(*tcpClient), readFirst bool) {
	r.t.Helper()
	r.env.ends.set(!readFirst)
	leave(x)
	if readFirst {
		r.untilNoClients()
	} else {
		r.until("the close is received and blocked", func() bool { return r.env.ends.blocked() > 0 })
	}
}

// untilNoClients waits until the scheduler has removed all client connections.
func (r *loopbackRig) untilNoClients() {
	r.t.Helper()
	r.until("the scheduler has no client connections", func() bool { return r.counted(func(s *Server) int { return len(s.clients.conns) }) == 0 })
}

// TestClientGone makes clients close their connections at each step of a request. No attempt is made for them and no task stays running, whether the
// scheduler processes the close before or after the next step.
func TestClientGone(t *testing.T) {
	for how, leave := range departures {
		for _, readFirst := range []bool{false, true} {
			name := fmt.Sprintf("%s, close processed first %v", how, readFirst)
			gone := func(r *loopbackRig, x *tcpClient) { r.depart(x, leave, readFirst) }
			t.Run("in the inbox, "+name, func(t *testing.T) {
				r := startLoopback(t, nil)
				r.env.turns.set(true)
				x := r.dial()
				x.request(7, "batch")
				r.until("the request is in the inbox", func() bool { return r.counted(func(s *Server) int { return len(s.requests.inbox) }) == 1 })
				gone(r, x)
				r.env.turns.set(false)
				r.waitIdle()
				if got := r.node.received(); len(got) != 1 {
					t.Errorf("the node received the set-ups %v, want none for the client that is gone", got)
				}
			})
			t.Run("during a dial, "+name, func(t *testing.T) {
				r := startLoopback(t, nil)
				r.drainNodeConns()
				r.env.dials.set(true)
				x := r.dial()
				x.request(7, "batch")
				r.until("the scheduler dials the node", func() bool { return r.env.dials.blocked() > 0 })
				gone(r, x)
				r.env.dials.set(false)
				r.waitIdle()
				if got := r.node.received(); len(got) != 1 {
					t.Errorf("the node received the set-ups %v, want none for the client that is gone", got)
				}
			})
			t.Run("before the next attempt, "+name, func(t *testing.T) {
				r := startLoopback(t, nil)
				x := r.dial()
				x.request(7, "batch")
				r.until("the node receives the set-up", func() bool { return len(r.node.received()) == 2 })
				gone(r, x)
				r.node.send(7, codec.AppendEnd(nil, 7, codec.CauseFull))
				r.waitIdle()
				if got := r.node.received(); len(got) != 2 {
					t.Errorf("the node received the set-ups %v, want no further attempt for the client that is gone", got)
				}
			})
			t.Run("before the answer, "+name, func(t *testing.T) {
				r := startLoopback(t, nil)
				x := r.dial()
				x.request(7, "batch")
				r.until("the node receives the set-up", func() bool { return len(r.node.received()) == 2 })
				gone(r, x)
				r.node.send(7, codec.AppendAnswer(nil, 7, []byte("at a")))
				r.until("the node receives the end", func() bool { return r.node.ended(7) })
				r.node.send(7, codec.AppendEnd(nil, 7, codec.CauseElsewhere))
				r.waitIdle()
			})
		}
	}
}

// TestConnectionLimit opens a connection at the limit. When a request is received on it, it replaces an idle one; if there is none, the request is
// rejected before the connection is closed.
func TestConnectionLimit(t *testing.T) {
	short := func(c *Configuration) { c.Sockets = 60 }
	fill := func(r *loopbackRig) (all []*tcpClient) {
		for range r.server.limits.ClientConns {
			all = append(all, r.dial())
		}
		r.until("all connections are accepted", func() bool { return r.counted(func(s *Server) int { return len(s.clients.conns) }) == len(all) })
		return all
	}
	t.Run("all with open requests", func(t *testing.T) {
		r := startLoopback(t, short)
		for i, x := range fill(r) {
			x.request(uint64(100+i), "batch")
		}
		r.until("a request is open on each connection", func() bool {
			return r.counted(func(s *Server) int { return s.requests.admission.Open() }) == r.server.limits.ClientConns
		})
		x := r.dial()
		x.request(7, "batch")
		x.expect("7 end 42", "closed")
	})
	t.Run("all idle", func(t *testing.T) {
		r := startLoopback(t, short)
		idle := fill(r)
		r.advanceClock(600)
		x := r.dial()
		x.request(7, "batch")
		r.until("the node receives the set-up", func() bool { return slices.Contains(r.node.received(), 7) })
		r.node.send(7, codec.AppendAnswer(nil, 7, []byte("at a")))
		x.expect("7 served at a")
		closed := 0
		r.until("a connection is evicted", func() bool { return r.counted(func(s *Server) int { return s.telemetry.counts[countEvicted] }) == 1 })
		for _, y := range idle {
			_ = y.conn.SetReadDeadline(time.Now().Add(20 * time.Millisecond))
			if _, err := y.conn.Read(make([]byte, 1)); errors.Is(err, io.EOF) {
				closed++
			}
		}
		if closed != 1 {
			t.Errorf("%d idle connections were closed, want 1", closed)
		}
	})
}

// TestEndNotified ends a task when its client has closed the connection, and the scheduler has not processed the close. The client is notified on
// another verified connection, or on the next one if there is none.
func TestEndNotified(t *testing.T) {
	for how, leave := range departures {
		for _, other := range []bool{true, false} {
			t.Run(fmt.Sprintf("%s, another connection %v", how, other), func(t *testing.T) {
				r := startLoopback(t, nil)
				serve := func(x *tcpClient, task uint64) { t.Helper(); r.serve(x, task, "batch") }
				x := r.dial()
				serve(x, 7)
				var y *tcpClient
				if other {
					y = r.dial()
					serve(y, 8)
				}
				r.env.ends.set(true)
				leave(x)
				r.until("the close is received and blocked", func() bool { return r.env.ends.blocked() > 0 })
				r.node.send(7, codec.AppendEnd(nil, 7, codec.CauseNormal))
				if !other {
					r.until("the scheduler processes the end", func() bool { return r.counted(func(s *Server) int { return s.telemetry.counts[countEnded] }) > 0 })
					y = r.dial()
					serve(y, 9)
				}
				y.expect("7 end 16")
			})
		}
	}
}

// TestNodeCloses makes a node close its connection, while the scheduler has not processed the close. The next attempt of at-most-once work is sent on
// a new connection, and so is a stop: if they were sent on the closed one, their outcome would be unknown.
func TestNodeCloses(t *testing.T) {
	closed := func(r *loopbackRig) {
		r.env.nodes.set(true)
		r.node.mu.Lock()
		for _, c := range r.node.connOf {
			closeQuietly(c)
		}
		r.node.mu.Unlock()
		r.until("the close has arrived at the scheduler's socket", func() bool {
			return r.counted(func(s *Server) int {
				left := 0
				for _, p := range s.nodes.byID {
					for _, l := range p.conns {
						if l.conn != nil && l.conn.PeerClosed() {
							left++
						}
					}
				}
				return left
			}) > 0
		})
	}
	t.Run("attempt", func(t *testing.T) {
		r := startLoopback(t, nil)
		closed(r)
		x := r.dial()
		x.request(7, "single")
		r.until("the node receives the set-up", func() bool { return slices.Contains(r.node.received(), 7) })
		r.env.nodes.set(false)
		r.node.send(7, codec.AppendAnswer(nil, 7, []byte("at a")))
		x.expect("7 served at a")
	})
	t.Run("stop", func(t *testing.T) {
		r := startLoopback(t, nil)
		closed(r)
		x := r.dial()
		x.send(codec.AppendEnd(nil, 1, codec.CauseNormal)) // the client ends the task that startLoopback started
		r.until("the node receives the end", func() bool { return r.node.ended(1) })
	})
}

// checkConnections checks the limits of the connections to clients and to nodes.
func (r *loopbackRig) checkConnections() {
	r.t.Helper()
	s, limits := r.server, r.server.limits
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.clients.conns)-s.clients.provisional > limits.ClientConns || s.clients.provisional > limits.ProvisionalConns ||
		s.nodes.conns > limits.NodeConns {
		r.t.Errorf("%d client connections, %d of them provisional, and %d to nodes exceed the limits %+v", len(s.clients.conns), s.clients.provisional,
			s.nodes.conns, limits)
	}
}

// TestIdleCrowd makes hundreds of idle clients connect while the journal service can't be reached. The limits of the connections hold, a request
// that was accepted before is served, so is that of the next client, and the scheduler connects to the journal service once that is reachable.
func TestIdleCrowd(t *testing.T) {
	r := startLoopback(t, func(c *Configuration) {
		c.Sockets = 100
		c.Journal = "127.0.0.1:1" // no service listens there
	})
	x := r.dial()
	x.request(7, "single")
	r.until("the node receives the set-up", func() bool { return slices.Contains(r.node.received(), 7) })
	for range 3 {
		for range 100 {
			c, err := net.Dial("tcp", r.address)
			if err != nil {
				t.Fatal(err)
			}
			t.Cleanup(func() { closeQuietly(c) })
		}
		r.checkConnections()
	}
	r.until("the idle clients reach the limit of regular connections", func() bool {
		return r.counted(func(s *Server) int { return len(s.clients.conns) - s.clients.provisional }) == r.server.limits.ClientConns
	})
	r.advanceClock(600)
	r.node.send(7, codec.AppendAnswer(nil, 7, []byte("at a")))
	x.expect("7 served at a")
	y := r.dial()
	y.request(8, "single")
	r.until("the node receives the next set-up", func() bool { return slices.Contains(r.node.received(), 8) })
	r.node.send(8, codec.AppendAnswer(nil, 8, []byte("at a")))
	y.expect("8 served at a")
	r.checkConnections()
	tails := make(chan string, 1)
	journal := serveTCP(t, func(c net.Conn) {
		b := make([]byte, 64)
		n, _ := c.Read(b)
		select {
		case tails <- string(b[:n]):
		default:
		}
		_, _ = c.Write([]byte("{\"pos\":1}\n"))
		_, _ = c.Read(b)
	})
	moved := *r.configuration
	moved.Journal = journal.Addr().String()
	r.server.ApplyConfiguration(&moved)
	if got := <-tails; got != "tail 1\n" {
		t.Errorf("the journal service received %q, want the request for the events after 1", got)
	}
	r.until("the watch of the journal service is live", func() bool {
		r.server.mu.Lock()
		defer r.server.mu.Unlock()
		return r.server.endpoints.retrier.IsLive(r.env.Now())
	})
	r.checkConnections()
}

// TestByteByByte sends a request, and its answer from the node, one byte at a time. Another client's requests are served in the middle of each. If
// the answer is cut off by a close or a reset, it does not count, and the at-most-once request fails.
func TestByteByByte(t *testing.T) {
	answer := codec.AppendAnswer(nil, 7, []byte("at a"))
	for _, ends := range []string{"whole", "closed", "reset"} {
		t.Run(ends, func(t *testing.T) {
			r := startLoopback(t, nil)
			x, y := r.dial(), r.dial()
			beside := func(task uint64) { t.Helper(); r.serve(y, task, "single") }
			request := setUp(7, "single")
			for i := range request {
				if i == len(request)/2 {
					beside(100)
				}
				x.send(request[i : i+1])
			}
			r.until("the node receives the set-up", func() bool { return slices.Contains(r.node.received(), 7) })
			for i := range answer {
				if i == len(answer)/2 {
					beside(101)
					if ends != "whole" {
						r.node.disconnect(7, ends == "reset")
						x.expect("7 end 41")
						return
					}
				}
				r.node.send(7, answer[i:i+1])
			}
			x.expect("7 served at a")
		})
	}
}

// singleSetUp is the request of TestClientGoneEarly.
var singleSetUp = setUp(7, "single")

// earlyDepartures are the cases of TestClientGoneEarly: a client closes its connection before its request is accepted.
var earlyDepartures = map[string]func(r *loopbackRig, leave func(*tcpClient)){
	"before accept": func(r *loopbackRig, leave func(*tcpClient)) {
		r.env.accepts.set(true)
		r.dial() // its accept is blocked, so that the next connection waits in the kernel's queue
		r.until("the accept is blocked", func() bool { return r.env.accepts.blocked() > 0 })
		x := r.dial()
		x.send(singleSetUp)
		leave(x)
		r.env.accepts.set(false)
	},
	"accepted": func(r *loopbackRig, leave func(*tcpClient)) {
		r.env.reads.set(true)
		r.env.ends.set(true)
		x := r.dial()
		x.send(singleSetUp)
		r.until("the read is blocked", func() bool { return r.env.reads.blocked() > 0 })
		leave(x)
		r.env.reads.set(false)
		r.until("the close is received and blocked", func() bool { return r.env.ends.blocked() > 0 })
	},
	"half read": func(r *loopbackRig, leave func(*tcpClient)) {
		x := r.dial()
		x.send(singleSetUp[:30])
		r.until("half of the request is read", func() bool {
			return r.counted(func(s *Server) int {
				n := 0
				for o := range s.clients.conns {
					n += len(o.partial)
				}
				return n
			}) == 30
		})
		r.env.reads.set(true)
		r.env.ends.set(true)
		x.send(singleSetUp[30:])
		r.until("the read is blocked", func() bool { return r.env.reads.blocked() > 0 })
		leave(x)
		r.env.reads.set(false)
		r.until("the close is received and blocked", func() bool { return r.env.ends.blocked() > 0 })
	},
}

// TestClientGoneEarly makes clients close their connections before their request is accepted: before the connection is accepted, before the request
// is read, and with half of it read. No attempt is made for them. A task whose client closes the connection once it runs goes on.
func TestClientGoneEarly(t *testing.T) {
	for how, leave := range departures {
		for step, play := range earlyDepartures {
			t.Run(step+", "+how, func(t *testing.T) {
				r := startLoopback(t, nil)
				if step != "before accept" {
					r.env.turns.set(true)
				}
				play(r, leave)
				r.env.turns.set(false)
				y := r.dial()
				y.request(8, "batch") // once this later request is served, the earlier one has been processed
				r.until("the node receives the next set-up", func() bool { return slices.Contains(r.node.received(), 8) })
				r.node.send(8, codec.AppendAnswer(nil, 8, []byte("at a")))
				y.expect("8 served at a")
				r.env.ends.set(false)
				r.waitIdle()
				if got := r.node.received(); slices.Contains(got, 7) {
					t.Errorf("the node received the set-ups %v, want none of task 7, whose client is gone", got)
				}
			})
		}
		t.Run("running, "+how, func(t *testing.T) {
			r := startLoopback(t, nil)
			x := r.dial()
			x.request(7, "single")
			r.until("the node receives the set-up", func() bool { return slices.Contains(r.node.received(), 7) })
			r.node.send(7, codec.AppendAnswer(nil, 7, []byte("at a")))
			x.expect("7 served at a")
			leave(x)
			r.untilNoClients()
			y := r.dial()
			y.request(8, "batch")
			r.until("the node receives the next set-up", func() bool { return slices.Contains(r.node.received(), 8) })
			if r.node.ended(7) {
				t.Error("the running task was ended when its client's connection closed")
			}
		})
	}
}
