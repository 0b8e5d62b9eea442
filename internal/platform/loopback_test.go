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

// depart has a client leave, with the news of it read by the scheduler, or held.
func (r *loopbackRig) depart(x *tcpClient, leave func(*tcpClient), readFirst bool) {
	r.t.Helper()
	r.env.ends.set(!readFirst)
	leave(x)
	if readFirst {
		r.untilNoClients()
	} else {
		r.until("the news of it is held", func() bool { return r.env.ends.blocked() > 0 })
	}
}

// untilNoClients waits until the scheduler knows that all clients are gone.
func (r *loopbackRig) untilNoClients() {
	r.t.Helper()
	r.until("it is known to be gone", func() bool { return r.counted(func(s *Server) int { return len(s.clients.conns) }) == 0 })
}

// TestClientGone has clients leave at each step of a request, with the close of the connection read last: nothing begins for them. The same holds if it is
// read first.
func TestClientGone(t *testing.T) {
	for how, leave := range departures {
		for _, readFirst := range []bool{false, true} {
			name := fmt.Sprintf("%s, news read first %v", how, readFirst)
			gone := func(r *loopbackRig, x *tcpClient) { r.depart(x, leave, readFirst) }
			t.Run("in the inbox, "+name, func(t *testing.T) {
				r := startLoopback(t, nil)
				r.env.turns.set(true)
				x := r.dial()
				x.request(7, "batch")
				r.until("it is taken", func() bool { return r.counted(func(s *Server) int { return len(s.requests.inbox) }) == 1 })
				gone(r, x)
				r.env.turns.set(false)
				r.waitIdle()
				if got := r.node.received(); len(got) != 1 {
					t.Errorf("set-ups %v: one began for a client that was gone", got)
				}
			})
			t.Run("behind a dial, "+name, func(t *testing.T) {
				r := startLoopback(t, nil)
				r.drainNodeConns()
				r.env.dials.set(true)
				x := r.dial()
				x.request(7, "batch")
				r.until("a connection is made for it", func() bool { return r.env.dials.blocked() > 0 })
				gone(r, x)
				r.env.dials.set(false)
				r.waitIdle()
				if got := r.node.received(); len(got) != 1 {
					t.Errorf("set-ups %v: one was sent for a client that was gone", got)
				}
			})
			t.Run("between a refusal and what follows, "+name, func(t *testing.T) {
				r := startLoopback(t, nil)
				x := r.dial()
				x.request(7, "batch")
				r.until("it is offered", func() bool { return len(r.node.received()) == 2 })
				gone(r, x)
				r.node.send(7, codec.AppendEnd(nil, 7, codec.CauseFull))
				r.waitIdle()
				if got := r.node.received(); len(got) != 2 {
					t.Errorf("set-ups %v: another try began for a client that was gone", got)
				}
			})
			t.Run("before its answer, "+name, func(t *testing.T) {
				r := startLoopback(t, nil)
				x := r.dial()
				x.request(7, "batch")
				r.until("it is offered", func() bool { return len(r.node.received()) == 2 })
				gone(r, x)
				r.node.send(7, codec.AppendAnswer(nil, 7, []byte("at a")))
				r.until("it is ended at its node", func() bool { return r.node.ended(7) })
				r.node.send(7, codec.AppendEnd(nil, 7, codec.CauseElsewhere))
				r.waitIdle()
			})
		}
	}
}

// TestConnectionLimit has connections come at the limit: one on which something useful is received replaces an idle one, and if there is none, what is
// received is answered before the connection is closed.
func TestConnectionLimit(t *testing.T) {
	short := func(c *Configuration) { c.Sockets = 60 }
	fill := func(r *loopbackRig) (all []*tcpClient) {
		for range r.server.limits.ClientConns {
			all = append(all, r.dial())
		}
		r.until("all are taken", func() bool { return r.counted(func(s *Server) int { return len(s.clients.conns) }) == len(all) })
		return all
	}
	t.Run("all at work", func(t *testing.T) {
		r := startLoopback(t, short)
		for i, x := range fill(r) {
			x.request(uint64(100+i), "batch")
		}
		r.until("all are at work", func() bool {
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
		r.until("it is offered", func() bool { return slices.Contains(r.node.received(), 7) })
		r.node.send(7, codec.AppendAnswer(nil, 7, []byte("at a")))
		x.expect("7 served at a")
		closed := 0
		r.until("one has given way", func() bool { return r.counted(func(s *Server) int { return s.telemetry.counts[countEvicted] }) == 1 })
		for _, y := range idle {
			_ = y.conn.SetReadDeadline(time.Now().Add(20 * time.Millisecond))
			if _, err := y.conn.Read(make([]byte, 1)); errors.Is(err, io.EOF) {
				closed++
			}
		}
		if closed != 1 {
			t.Errorf("%d gave way, want 1", closed)
		}
	})
}

// TestEndNotified has a task end while its client's connection has closed, unread: the client is notified on another verified connection, and if there
// is none yet, on the next.
func TestEndNotified(t *testing.T) {
	for how, leave := range departures {
		for _, other := range []bool{true, false} {
			t.Run(fmt.Sprintf("%s, another is there %v", how, other), func(t *testing.T) {
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
				r.until("the news of it is held", func() bool { return r.env.ends.blocked() > 0 })
				r.node.send(7, codec.AppendEnd(nil, 7, codec.CauseNormal))
				if !other {
					r.until("it is over", func() bool { return r.counted(func(s *Server) int { return s.telemetry.counts[countEnded] }) > 0 })
					y = r.dial()
					serve(y, 9)
				}
				y.expect("7 end 16")
			})
		}
	}
}

// TestNodeCloses has a node close a connection, unread, as at-most-once work is sent to it: the attempt goes on a new connection, and so does a stop.
// Sent on the closed one it might have run, or not, and nobody could tell.
func TestNodeCloses(t *testing.T) {
	closed := func(r *loopbackRig) {
		r.env.nodes.set(true)
		r.node.mu.Lock()
		for _, c := range r.node.connOf {
			closeQuietly(c)
		}
		r.node.mu.Unlock()
		r.until("the close has come", func() bool {
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
	t.Run("an offer", func(t *testing.T) {
		r := startLoopback(t, nil)
		closed(r)
		x := r.dial()
		x.request(7, "single")
		r.until("it is offered", func() bool { return slices.Contains(r.node.received(), 7) })
		r.env.nodes.set(false)
		r.node.send(7, codec.AppendAnswer(nil, 7, []byte("at a")))
		x.expect("7 served at a")
	})
	t.Run("a cut", func(t *testing.T) {
		r := startLoopback(t, nil)
		closed(r)
		x := r.dial()
		x.send(codec.AppendEnd(nil, 1, codec.CauseNormal)) // its client ends what stands since the beginning
		r.until("its node is told", func() bool { return r.node.ended(1) })
	})
}

// checkConnections checks that each side keeps to its part of the connections.
func (r *loopbackRig) checkConnections() {
	r.t.Helper()
	s, limits := r.server, r.server.limits
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.clients.conns)-s.clients.provisional > limits.ClientConns || s.clients.provisional > limits.ProvisionalConns ||
		s.nodes.conns > limits.NodeConns {
		r.t.Errorf("%d clients, %d of them provisional connections, %d to nodes; limits %+v", len(s.clients.conns), s.clients.provisional,
			s.nodes.conns, limits)
	}
}

// TestIdleCrowd has idle clients connect by hundreds while the journal service can't be reached: each side keeps to its part of the descriptors, work in
// hand gets its connections, the next useful client is served, and the journal service is connected once it is there.
func TestIdleCrowd(t *testing.T) {
	r := startLoopback(t, func(c *Configuration) {
		c.Sockets = 100
		c.Journal = "127.0.0.1:1" // nobody listens there
	})
	x := r.dial()
	x.request(7, "single")
	r.until("work is in hand", func() bool { return slices.Contains(r.node.received(), 7) })
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
	r.until("they fill their part", func() bool {
		return r.counted(func(s *Server) int { return len(s.clients.conns) - s.clients.provisional }) == r.server.limits.ClientConns
	})
	r.advanceClock(600)
	r.node.send(7, codec.AppendAnswer(nil, 7, []byte("at a")))
	x.expect("7 served at a")
	y := r.dial()
	y.request(8, "single")
	r.until("the next is offered", func() bool { return slices.Contains(r.node.received(), 8) })
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
		t.Errorf("the journal service was asked %q", got)
	}
	r.until("it is heard", func() bool {
		r.server.mu.Lock()
		defer r.server.mu.Unlock()
		return r.server.endpoints.retrier.IsLive(r.env.Now())
	})
	r.checkConnections()
}

// TestByteByByte has a request received a byte at a time, and its answer from the node, with another client's request and answer in between: nobody else
// waits. An answer that is cut off, by a close or a reset, is no answer, and at-most-once work has failed.
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
			r.until("it is offered", func() bool { return slices.Contains(r.node.received(), 7) })
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

// earlyDepartures have a client leave before its request is accepted, at each step.
var earlyDepartures = map[string]func(r *loopbackRig, leave func(*tcpClient)){
	"at the door": func(r *loopbackRig, leave func(*tcpClient)) {
		r.env.accepts.set(true)
		r.dial() // its coming is held, so that the next waits in the kernel
		r.until("the door is held", func() bool { return r.env.accepts.blocked() > 0 })
		x := r.dial()
		x.send(singleSetUp)
		leave(x)
		r.env.accepts.set(false)
	},
	"let in": func(r *loopbackRig, leave func(*tcpClient)) {
		r.env.reads.set(true)
		r.env.ends.set(true)
		x := r.dial()
		x.send(singleSetUp)
		r.until("its reader is held", func() bool { return r.env.reads.blocked() > 0 })
		leave(x)
		r.env.reads.set(false)
		r.until("the news of it is held", func() bool { return r.env.ends.blocked() > 0 })
	},
	"half read": func(r *loopbackRig, leave func(*tcpClient)) {
		x := r.dial()
		x.send(singleSetUp[:30])
		r.until("half is read", func() bool {
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
		r.until("its reader is held", func() bool { return r.env.reads.blocked() > 0 })
		leave(x)
		r.env.reads.set(false)
		r.until("the news of it is held", func() bool { return r.env.ends.blocked() > 0 })
	},
}

// TestClientGoneEarly has clients leave before their request is accepted: while they wait to be accepted, when they were accepted and not read, with half
// of the request read, and in one read with it. Nothing begins for them. A client that leaves once its task runs leaves it running.
func TestClientGoneEarly(t *testing.T) {
	for how, leave := range departures {
		for step, play := range earlyDepartures {
			t.Run(step+", "+how, func(t *testing.T) {
				r := startLoopback(t, nil)
				if step != "at the door" {
					r.env.turns.set(true)
				}
				play(r, leave)
				r.env.turns.set(false)
				y := r.dial()
				y.request(8, "batch") // what comes after it is served: so the other was met
				r.until("the next is offered", func() bool { return slices.Contains(r.node.received(), 8) })
				r.node.send(8, codec.AppendAnswer(nil, 8, []byte("at a")))
				y.expect("8 served at a")
				r.env.ends.set(false)
				r.waitIdle()
				if got := r.node.received(); slices.Contains(got, 7) {
					t.Errorf("set-ups %v: one began for a client that was gone", got)
				}
			})
		}
		t.Run("standing, "+how, func(t *testing.T) {
			r := startLoopback(t, nil)
			x := r.dial()
			x.request(7, "single")
			r.until("it is offered", func() bool { return slices.Contains(r.node.received(), 7) })
			r.node.send(7, codec.AppendAnswer(nil, 7, []byte("at a")))
			x.expect("7 served at a")
			leave(x)
			r.untilNoClients()
			y := r.dial()
			y.request(8, "batch")
			r.until("the next is offered", func() bool { return slices.Contains(r.node.received(), 8) })
			if r.node.ended(7) {
				t.Error("what stands was ended, though it belongs to no connection")
			}
		})
	}
}
