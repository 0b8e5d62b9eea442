package platform

import (
	"fmt"
	"slices"
	"testing"

	codec "ravenpond/internal/proto/platform"
)

// TestAnswersAtShutdown checks that a request which is open when a shutdown disconnects the clients is answered, and that the client reads the whole
// answer without a TCP reset, even if it keeps sending.
func TestAnswersAtShutdown(t *testing.T) {
	for _, sendsOn := range []bool{false, true} {
		t.Run(fmt.Sprintf("client keeps sending %v", sendsOn), func(t *testing.T) {
			r := startLoopback(t, nil)
			x := r.dial()
			x.request(7, "single")
			r.until("the node receives the set-up", func() bool { return len(r.node.received()) == 2 })
			r.server.Stop()
			r.env.turns.set(true)
			r.until("a turn of the loop is blocked", func() bool { return r.env.turns.blocked() > 0 })
			if sendsOn { // this stays unread until the connection is closed
				r.env.reads.set(true)
				x.send(codec.AppendTest(nil, 99, false))
				r.until("the read is blocked", func() bool { return r.env.reads.blocked() > 0 })
				x.send(codec.AppendTest(nil, 100, false))
			}
			r.server.mu.Lock()
			part := r.server.shutdown.plan.CloseAt
			r.server.mu.Unlock()
			r.env.mu.Lock()
			r.env.clockOffset += part - r.env.Real.Now() - r.env.clockOffset // one turn answers the requests and disconnects the clients
			r.env.mu.Unlock()
			r.env.turns.set(false)
			x.expect("7 end 41", "closed")
			r.env.reads.set(false)
		})
	}
}

// TestAcceptedAtShutdown makes clients wait to be accepted until the shutdown has closed the listener and disconnected all others. They are accepted,
// their requests are answered, and then they are disconnected.
func TestAcceptedAtShutdown(t *testing.T) {
	r := startLoopback(t, nil)
	r.env.accepts.set(true)
	first := r.dial() // its accept is blocked, and x waits in the kernel's queue behind it
	first.request(6, "single")
	r.until("the accept is blocked", func() bool { return r.env.accepts.blocked() > 0 })
	x := r.dial()
	x.request(7, "single")
	r.server.Stop()
	r.server.mu.Lock()
	ahead := r.server.shutdown.plan.CloseAt - r.env.Now()
	r.server.mu.Unlock()
	r.env.mu.Lock()
	r.env.clockOffset += ahead
	r.env.mu.Unlock()
	r.until("all other clients are disconnected", func() bool { r.server.mu.Lock(); defer r.server.mu.Unlock(); return r.server.shutdown.disconnected })
	r.env.accepts.set(false)
	first.expect("6 end 42", "closed")
	x.expect("7 end 42", "closed")
}

// batchSetUp is the request of TestStopsAtEachStep.
var batchSetUp = setUp(7, "batch")

// halfSetUp is the length in bytes of the part of batchSetUp that is sent first.
const halfSetUp = 20

// requestUntil sends a client's request and blocks it with the rig's gates once it has reached a step.
func (r *loopbackRig) requestUntil(step string) (x *tcpClient) {
	r.t.Helper()
	switch step {
	case "before accept":
		r.env.accepts.set(true)
		first := r.dial() // its accept is blocked, so that x waits in the kernel's queue
		r.until("the accept is blocked", func() bool { return r.env.accepts.blocked() > 0 })
		x = r.dial()
		x.send(batchSetUp)
		_ = first
	case "accepted":
		r.env.accepts.set(true)
		x = r.dial()
		x.send(batchSetUp)
		r.until("the accept is blocked", func() bool { return r.env.accepts.blocked() > 0 })
	case "half read":
		x = r.dial()
		x.send(batchSetUp[:halfSetUp])
		r.until("half of the request is read", func() bool {
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
		r.until("the request is in the inbox", func() bool { return r.counted(func(s *Server) int { return len(s.requests.inbox) }) == 1 })
	case "dialling":
		r.drainNodeConns()
		r.env.dials.set(true)
		x = r.dial()
		x.send(batchSetUp)
		r.until("the scheduler dials the node", func() bool { return r.env.dials.blocked() > 0 })
	default:
		x = r.dial()
		x.send(batchSetUp)
		r.until("the node receives the set-up", func() bool { return len(r.node.received()) == 2 })
	}
	return x
}

// TestStopsAtEachStep shuts a scheduler down while a request is at each of its steps. The request is answered once, and none stays open.
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
				r.until("the node receives the set-up", func() bool { return slices.Contains(r.node.received(), 7) })
				r.node.send(7, codec.AppendAnswer(nil, 7, []byte("at a")))
				x.expect(want)
			}
			x.expect("closed") // by the scheduler, at the end of the shutdown
			<-r.server.Done()
			if owed := r.counted(func(s *Server) int {
				return s.requests.admission.Open() + s.host.OpenRequests() + len(s.requests.inbox)
			}); owed != 0 {
				t.Errorf("%d requests are open or in the inbox after the shutdown, want 0", owed)
			}
		})
	}
}
