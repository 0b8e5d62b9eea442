package platform

import (
	"fmt"
	"slices"
	"testing"

	codec "ravenpond/internal/proto/platform"
)

// TestLastWords has requests and other bytes come as a scheduler that was told to end parts with its clients: each that was taken is
// answered, and what was answered is read whole and without a reset, though its peer sends on.
func TestLastWords(t *testing.T) {
	for _, sendsOn := range []bool{false, true} {
		t.Run(fmt.Sprintf("sends on %v", sendsOn), func(t *testing.T) {
			r := onLoopback(t, nil)
			x := r.dial()
			x.ask(7, "single")
			r.until("it is offered", func() bool { return len(r.node.took()) == 2 })
			r.s.Stop()
			r.w.turns.set(true)
			r.until("the loop stands still", func() bool { return r.w.turns.held() > 0 })
			if sendsOn { // what comes now lies unread until all is ended
				r.w.reads.set(true)
				x.send(codec.AppendTest(nil, 99, false))
				r.until("its reader is held", func() bool { return r.w.reads.held() > 0 })
				x.send(codec.AppendTest(nil, 100, false))
			}
			r.s.mu.Lock()
			part := r.s.plan.CloseAt
			r.s.mu.Unlock()
			r.w.mu.Lock()
			r.w.jump += part - r.w.Real.Now() - r.w.jump // answers and parts in one turn
			r.w.mu.Unlock()
			r.w.turns.set(false)
			x.hears("7 end 41", "closed")
			r.w.reads.set(false)
		})
	}
}

// TestLetInLast has a client wait at the door with its request until the door is closed and all others have been parted with: it is let in
// and answered, then closed.
func TestLetInLast(t *testing.T) {
	r := onLoopback(t, nil)
	r.w.comes.set(true)
	first := r.dial() // its coming is held, and x waits in the kernel behind it
	first.ask(6, "single")
	r.until("the door is held", func() bool { return r.w.comes.held() > 0 })
	x := r.dial()
	x.ask(7, "single")
	r.s.Stop()
	r.s.mu.Lock()
	ahead := r.s.plan.CloseAt - r.w.Now()
	r.s.mu.Unlock()
	r.w.mu.Lock()
	r.w.jump += ahead
	r.w.mu.Unlock()
	r.until("all others are parted with", func() bool { r.s.mu.Lock(); defer r.s.mu.Unlock(); return r.s.parted })
	r.w.comes.set(false)
	first.hears("6 end 42", "closed")
	x.hears("7 end 42", "closed")
}

// TestStopsAtEachStep tells a scheduler to end while a request is at each step of its life: it has one answer, and nothing is owed.
func TestStopsAtEachStep(t *testing.T) {
	for _, step := range []string{"before accept", "accepted", "half read", "in the inbox", "dialling", "sent", "answered"} {
		t.Run(step, func(t *testing.T) {
			t.Parallel()
			r := onLoopback(t, nil)
			var x *tcpClient
			whole := setUp(7, "batch")
			want := "7 served at a"
			switch step {
			case "before accept":
				r.w.comes.set(true)
				first := r.dial() // its coming is held, and so x waits in the kernel
				r.until("the door is held", func() bool { return r.w.comes.held() > 0 })
				x = r.dial()
				x.send(whole)
				_ = first
			case "accepted":
				r.w.comes.set(true)
				x = r.dial()
				x.send(whole)
				r.until("the door is held", func() bool { return r.w.comes.held() > 0 })
			case "half read":
				x = r.dial()
				x.send(whole[:20])
				r.until("half is read", func() bool {
					return r.counted(func(s *Server) int {
						for o := range s.clients {
							return len(o.in)
						}
						return 0
					}) == 20
				})
			case "in the inbox":
				r.w.turns.set(true)
				x = r.dial()
				x.send(whole)
				r.until("it is taken", func() bool { return r.counted(func(s *Server) int { return len(s.inbox) }) == 1 })
			case "dialling":
				r.spend()
				r.w.dials.set(true)
				x = r.dial()
				x.send(whole)
				r.until("a connection is made", func() bool { return r.w.dials.held() > 0 })
			default:
				x = r.dial()
				x.send(whole)
				r.until("it is offered", func() bool { return len(r.node.took()) == 2 })
			}
			if step == "answered" {
				r.node.say(7, codec.AppendAnswer(nil, 7, []byte("at a")))
				x.hears(want)
			}
			r.s.Stop()
			if step == "half read" {
				x.send(whole[20:])
			}
			for _, g := range r.w.gates() {
				g.set(false)
			}
			if step != "answered" {
				r.until("it is offered", func() bool { return slices.Contains(r.node.took(), 7) })
				r.node.say(7, codec.AppendAnswer(nil, 7, []byte("at a")))
				x.hears(want)
			}
			x.hears("closed") // by the scheduler, as it ends
			<-r.s.Done()
			if owed := r.counted(func(s *Server) int { return s.admit.Open() + s.host.OpenRequests() + len(s.inbox) }); owed != 0 {
				t.Errorf("%d answers are owed", owed)
			}
		})
	}
}
