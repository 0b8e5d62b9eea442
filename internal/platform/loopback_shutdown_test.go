package platform

import (
	"fmt"
	"slices"
	"testing"

	codec "ravenpond/internal/proto/platform"
)

// TestAnswersAtShutdown has requests and other bytes received while a scheduler that shuts down disconnects its clients: each request that was accepted
// is answered, and the client reads the answer whole and without a reset, though it sends on.
func TestAnswersAtShutdown(t *testing.T) {
	for _, sendsOn := range []bool{false, true} {
		t.Run(fmt.Sprintf("sends on %v", sendsOn), func(t *testing.T) {
			r := startLoopback(t, nil)
			x := r.dial()
			x.request(7, "single")
			r.until("it is offered", func() bool { return len(r.node.received()) == 2 })
			r.server.Stop()
			r.env.turns.set(true)
			r.until("the loop stands still", func() bool { return r.env.turns.blocked() > 0 })
			if sendsOn { // what comes now lies unread until all is ended
				r.env.reads.set(true)
				x.send(codec.AppendTest(nil, 99, false))
				r.until("its reader is held", func() bool { return r.env.reads.blocked() > 0 })
				x.send(codec.AppendTest(nil, 100, false))
			}
			r.server.mu.Lock()
			part := r.server.shutdown.plan.CloseAt
			r.server.mu.Unlock()
			r.env.mu.Lock()
			r.env.clockOffset += part - r.env.Real.Now() - r.env.clockOffset // answers and parts in one turn
			r.env.mu.Unlock()
			r.env.turns.set(false)
			x.expect("7 end 41", "closed")
			r.env.reads.set(false)
		})
	}
}

// TestAcceptedAtShutdown has a client wait to be accepted until the listener is closed and all others are disconnected: it is accepted, its request is
// answered, then it is disconnected.
func TestAcceptedAtShutdown(t *testing.T) {
	r := startLoopback(t, nil)
	r.env.accepts.set(true)
	first := r.dial() // its coming is held, and x waits in the kernel behind it
	first.request(6, "single")
	r.until("the door is held", func() bool { return r.env.accepts.blocked() > 0 })
	x := r.dial()
	x.request(7, "single")
	r.server.Stop()
	r.server.mu.Lock()
	ahead := r.server.shutdown.plan.CloseAt - r.env.Now()
	r.server.mu.Unlock()
	r.env.mu.Lock()
	r.env.clockOffset += ahead
	r.env.mu.Unlock()
	r.until("all others are parted with", func() bool { r.server.mu.Lock(); defer r.server.mu.Unlock(); return r.server.shutdown.disconnected })
	r.env.accepts.set(false)
	first.expect("6 end 42", "closed")
	x.expect("7 end 42", "closed")
}

// batchSetUp is the request of TestStopsAtEachStep, and halfSetUp the length of its first part.
var batchSetUp = setUp(7, "batch")

const halfSetUp = 20

// requestUntil has a client's request come as far as a step, and holds it there with the rig's gates.
func (r *loopbackRig) requestUntil(step string) (x *tcpClient) {
	r.t.Helper()
	switch step {
	case "before accept":
		r.env.accepts.set(true)
		first := r.dial() // its coming is held, and so x waits in the kernel
		r.until("the door is held", func() bool { return r.env.accepts.blocked() > 0 })
		x = r.dial()
		x.send(batchSetUp)
		_ = first
	case "accepted":
		r.env.accepts.set(true)
		x = r.dial()
		x.send(batchSetUp)
		r.until("the door is held", func() bool { return r.env.accepts.blocked() > 0 })
	case "half read":
		x = r.dial()
		x.send(batchSetUp[:halfSetUp])
		r.until("half is read", func() bool {
			return r.counted(func(s *Server) int {
				for o := range s.clients.conns {
					return len(o.partial)
				}
				return 0
			}) == halfSetUp
		})
	case "in the inbox":
		r.env.turns.set(true)
		x = r.dial()
		x.send(batchSetUp)
		r.until("it is taken", func() bool { return r.counted(func(s *Server) int { return len(s.requests.inbox) }) == 1 })
	case "dialling":
		r.drainNodeConns()
		r.env.dials.set(true)
		x = r.dial()
		x.send(batchSetUp)
		r.until("a connection is made", func() bool { return r.env.dials.blocked() > 0 })
	default:
		x = r.dial()
		x.send(batchSetUp)
		r.until("it is offered", func() bool { return len(r.node.received()) == 2 })
	}
	return x
}

// TestStopsAtEachStep stops a scheduler while a request is at each of its steps: it gets one answer, and none is left open.
func TestStopsAtEachStep(t *testing.T) {
	for _, step := range []string{"before accept", "accepted", "half read", "in the inbox", "dialling", "sent", "answered"} {
		t.Run(step, func(t *testing.T) {
			t.Parallel()
			r := startLoopback(t, nil)
			const want = "7 served at a"
			x := r.requestUntil(step)
			if step == "answered" {
				r.node.send(7, codec.AppendAnswer(nil, 7, []byte("at a")))
				x.expect(want)
			}
			r.server.Stop()
			if step == "half read" {
				x.send(batchSetUp[halfSetUp:])
			}
			for _, g := range r.env.gates() {
				g.set(false)
			}
			if step != "answered" {
				r.until("it is offered", func() bool { return slices.Contains(r.node.received(), 7) })
				r.node.send(7, codec.AppendAnswer(nil, 7, []byte("at a")))
				x.expect(want)
			}
			x.expect("closed") // by the scheduler, as it ends
			<-r.server.Done()
			if owed := r.counted(func(s *Server) int {
				return s.requests.admission.Open() + s.host.OpenRequests() + len(s.requests.inbox)
			}); owed != 0 {
				t.Errorf("%d answers are owed", owed)
			}
		})
	}
}
