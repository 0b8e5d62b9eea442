package platform

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"net"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"ravenpond/internal/decide/overload"
	"ravenpond/internal/outside"
	codec "ravenpond/internal/proto/platform"
	"ravenpond/internal/settings"
)

// gate holds calls back while it is shut.
type gate struct {
	mu    sync.Mutex
	cond  *sync.Cond
	shut  bool
	waits int
}

func newGate() *gate {
	g := &gate{}
	g.cond = sync.NewCond(&g.mu)
	return g
}

func (g *gate) set(shut bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.shut = shut
	g.cond.Broadcast()
}

func (g *gate) pass() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.waits++
	for g.shut {
		g.cond.Wait()
	}
	g.waits--
}

func (g *gate) held() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.waits
}

// world is the real one, on loopback, whose calls into the scheduler can be held: so a test decides which of two events that
// cross is met first.
type world struct {
	*outside.Real
	turns, reads, ends, dials, comes *gate // reads and ends are those of owners' connections
	nodes                            *gate // what comes from nodes, and the ends of their connections

	mu   sync.Mutex
	jump float64
}

func (w *world) Now() float64 {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.Real.Now() + w.jump
}

func (w *world) gates() []*gate { return []*gate{w.turns, w.reads, w.ends, w.dials, w.comes, w.nodes} }

func (w *world) Loop(turn func() float64) outside.Loop {
	return w.Real.Loop(func() float64 { w.turns.pass(); return turn() })
}

func (w *world) Listen(address string, came func(outside.Conn)) (outside.Door, error) {
	return w.Real.Listen(address, func(c outside.Conn) { w.comes.pass(); came(heldConn{c, w.reads, w.ends}) })
}

func (w *world) Dial(address string, within float64, done func(outside.Conn, error)) {
	w.Real.Dial(address, within, func(c outside.Conn, err error) {
		w.dials.pass()
		if err == nil {
			c = heldConn{c, w.nodes, w.nodes}
		}
		done(c, err)
	})
}

// heldConn is a connection of which what is heard can be held.
type heldConn struct {
	outside.Conn
	reads, ends *gate
}

func (c heldConn) Begin(p outside.Peer, stuck float64) {
	c.Conn.Begin(heldPeer{p, c.reads, c.ends}, stuck)
}

type heldPeer struct {
	outside.Peer
	reads, ends *gate
}

func (p heldPeer) Heard(b []byte) {
	if b == nil {
		p.ends.pass()
	} else {
		p.reads.pass()
	}
	p.Peer.Heard(b)
}

func (p heldPeer) Over(err error) { p.ends.pass(); p.Peer.Over(err) }

// real is a scheduler on loopback with one node and a journal service.
type real struct {
	t             *testing.T
	w             *world
	s             *Server
	node          *tcpNode
	door          string
	configuration *Configuration
}

// tcpNode takes set-ups; what it says to them is the test's to say.
type tcpNode struct {
	l net.Listener

	mu     sync.Mutex
	setUps []uint64
	ends   []uint64
	on     map[uint64]net.Conn
}

func serveTCP(t *testing.T, each func(net.Conn)) net.Listener {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	var work sync.WaitGroup
	var mu sync.Mutex
	var all []net.Conn
	work.Go(func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			mu.Lock()
			all = append(all, c)
			mu.Unlock()
			work.Go(func() { defer c.Close(); each(c) })
		}
	})
	t.Cleanup(func() {
		l.Close()
		mu.Lock()
		for _, c := range all {
			c.Close()
		}
		mu.Unlock()
		work.Wait()
	})
	return l
}

func newTCPNode(t *testing.T) *tcpNode {
	n := &tcpNode{on: map[uint64]net.Conn{}}
	n.l = serveTCP(t, func(c net.Conn) {
		var in []byte
		b := make([]byte, 4096)
		for {
			k, err := c.Read(b)
			if in = append(in, b[:k]...); err != nil {
				return
			}
			for {
				msg, took, err := codec.Next(in)
				if err != nil || took == 0 {
					break
				}
				n.mu.Lock()
				switch codec.Kind(msg) {
				case codec.SetUp:
					n.setUps = append(n.setUps, codec.Task(msg))
					n.on[codec.Task(msg)] = c
				case codec.End:
					n.ends = append(n.ends, codec.Task(msg))
				}
				n.mu.Unlock()
				in = in[took:]
			}
		}
	})
	return n
}

func (n *tcpNode) took() []uint64 {
	n.mu.Lock()
	defer n.mu.Unlock()
	return slices.Clone(n.setUps)
}

func (n *tcpNode) ended(task uint64) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return slices.Contains(n.ends, task)
}

// say sends a message on the connection on which a task's set-up came.
func (n *tcpNode) say(task uint64, b []byte) {
	n.mu.Lock()
	defer n.mu.Unlock()
	_, _ = n.on[task].Write(b) // one that is closed shows at the scheduler
}

// onLoopback starts a scheduler that may use its nodes at once.
func onLoopback(t *testing.T, change func(*Configuration)) *real {
	r := &real{t: t, w: &world{Real: outside.NewReal(), turns: newGate(), reads: newGate(), ends: newGate(), dials: newGate(), comes: newGate(),
		nodes: newGate()}}
	r.w.Prompt = true
	journal, _ := tailed(t)
	r.node = newTCPNode(t)
	known, err := settings.Read([]byte(settingsText))
	if err != nil {
		t.Fatal(err)
	}
	r.configuration = &Configuration{Name: "n0", Listen: "127.0.0.1:0", Journal: journal, Seed: 3, MemoryMB: 64, Sockets: 256, Known: known,
		Events: []byte(`{"pos":1,"entries":[` + event(1, true, entryOf("a", r.node.l.Addr().String(), "ready")) + `]}`)}
	if change != nil {
		change(r.configuration)
	}
	r.s = New(r.w, zerolog.Nop(), r.configuration)
	if err := r.s.Start(r.configuration); err != nil {
		t.Fatal(err)
	}
	r.door = r.s.door.Address()
	t.Cleanup(func() {
		for _, g := range r.w.gates() {
			g.set(false)
		}
		r.w.Close(5 * time.Second)
	})
	r.skip(5000) // a scheduler that has just begun leaves new nodes alone
	x := r.dial()
	x.ask(1, "batch")
	r.until("the first is offered", func() bool { return len(r.node.took()) == 1 })
	r.node.say(1, codec.AppendAnswer(nil, 1, []byte("at a")))
	x.hears("1 served at a")
	x.c.Close()
	r.until("its owner is gone", func() bool { r.s.mu.Lock(); defer r.s.mu.Unlock(); return len(r.s.owners) == 0 })
	return r
}

// skip has the scheduler's clock go on by so many ms, and the scheduler forget that it did not turn meanwhile.
func (r *real) skip(ms float64) {
	r.w.mu.Lock()
	r.w.jump += ms
	r.w.mu.Unlock()
	now := r.w.Now()
	r.until("a turn has met it", func() bool { r.s.mu.Lock(); defer r.s.mu.Unlock(); return r.s.ticked >= now })
	r.s.mu.Lock()
	r.s.lag = overload.Watch{}
	r.s.mu.Unlock()
}

// until waits for something that comes to be, however long the machine takes.
func (r *real) until(what string, is func() bool) {
	r.t.Helper()
	for end := time.Now().Add(20 * time.Second); !is(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			r.t.Fatalf("never: %s", what)
		}
	}
}

// counted gives one of the scheduler's figures.
func (r *real) counted(f func(s *Server) int) int {
	r.s.mu.Lock()
	defer r.s.mu.Unlock()
	return f(r.s)
}

// spend leaves no connection to a node that could be used.
func (r *real) spend() {
	r.s.mu.Lock()
	defer r.s.mu.Unlock()
	for _, p := range r.s.peers {
		for _, l := range p.links {
			l.spent = true
		}
	}
}

// settledDown waits until nothing is under way in the scheduler for any ask.
func (r *real) settledDown() {
	r.t.Helper()
	r.until("nothing is open", func() bool {
		return r.counted(func(s *Server) int { return len(s.inbox) + s.host.Open() + s.admit.Open() }) == 0
	})
}

// tcpOwner is an owner on a connection.
type tcpOwner struct {
	r  *real
	c  *net.TCPConn
	in []byte
}

func (r *real) dial() *tcpOwner {
	r.t.Helper()
	c, err := net.Dial("tcp", r.door)
	if err != nil {
		r.t.Fatal(err)
	}
	r.t.Cleanup(func() { c.Close() })
	return &tcpOwner{r: r, c: c.(*net.TCPConn)}
}

func (x *tcpOwner) send(b []byte) {
	x.r.t.Helper()
	if _, err := x.c.Write(b); err != nil {
		x.r.t.Fatal(err)
	}
}

func (x *tcpOwner) ask(task uint64, job string) { x.send(setUp(task, job)) }

// next is the next message in words, or how the connection ended.
func (x *tcpOwner) next() string {
	_ = x.c.SetReadDeadline(time.Now().Add(20 * time.Second))
	b := make([]byte, 4096)
	for {
		msg, took, err := codec.Next(x.in)
		if err != nil {
			return err.Error()
		}
		if took > 0 {
			cause, _ := codec.CauseOf(msg)
			d, _ := codec.Param(msg, codec.Description)
			word := map[byte]string{codec.Answer: "served " + string(d), codec.End: fmt.Sprint("end ", cause), codec.Tested: fmt.Sprint("tested ",
				cause)}[codec.Kind(msg)]
			word = fmt.Sprintf("%d %s", codec.Task(msg), word)
			x.in = bytes.Clone(x.in[took:])
			return word
		}
		n, err := x.c.Read(b)
		x.in = append(x.in, b[:n]...)
		switch {
		case errors.Is(err, io.EOF) && len(x.in) > 0:
			return "half a message"
		case errors.Is(err, io.EOF):
			return "closed"
		case err != nil:
			return "broken: " + err.Error()
		}
	}
}

func (x *tcpOwner) hears(want ...string) {
	x.r.t.Helper()
	for _, w := range want {
		if got := x.next(); got != w {
			x.r.t.Fatalf("heard %q, want %q", got, w)
		}
	}
}

// leaves has an owner go in one of the ways that there are.
var leaves = map[string]func(x *tcpOwner){
	"closes": func(x *tcpOwner) { x.c.Close() },
	"resets": func(x *tcpOwner) { _ = x.c.SetLinger(0); x.c.Close() },
	"half":   func(x *tcpOwner) { _ = x.c.CloseWrite() },
}

// TestGone has owners leave at each step of an ask's life, and the news of it be read last: nothing begins for them. In the other
// order, where the news is read first, the same.
func TestGone(t *testing.T) {
	for how, leave := range leaves {
		for _, readFirst := range []bool{false, true} {
			name := fmt.Sprintf("%s, news read first %v", how, readFirst)
			// gone has the owner leave, with the news of it held or read.
			gone := func(r *real, x *tcpOwner) {
				r.w.ends.set(!readFirst)
				leave(x)
				if readFirst {
					r.until("it is known to be gone", func() bool { return r.counted(func(s *Server) int { return len(s.owners) }) == 0 })
				} else {
					r.until("the news of it is held", func() bool { return r.w.ends.held() > 0 })
				}
			}
			t.Run("in the inbox, "+name, func(t *testing.T) {
				r := onLoopback(t, nil)
				r.w.turns.set(true)
				x := r.dial()
				x.ask(7, "batch")
				r.until("it is taken", func() bool { return r.counted(func(s *Server) int { return len(s.inbox) }) == 1 })
				gone(r, x)
				r.w.turns.set(false)
				r.settledDown()
				if got := r.node.took(); len(got) != 1 {
					t.Errorf("set-ups %v: one began for an owner that was gone", got)
				}
			})
			t.Run("behind a dial, "+name, func(t *testing.T) {
				r := onLoopback(t, nil)
				r.spend()
				r.w.dials.set(true)
				x := r.dial()
				x.ask(7, "batch")
				r.until("a connection is made for it", func() bool { return r.w.dials.held() > 0 })
				gone(r, x)
				r.w.dials.set(false)
				r.settledDown()
				if got := r.node.took(); len(got) != 1 {
					t.Errorf("set-ups %v: one was sent for an owner that was gone", got)
				}
			})
			t.Run("between a refusal and what follows, "+name, func(t *testing.T) {
				r := onLoopback(t, nil)
				x := r.dial()
				x.ask(7, "batch")
				r.until("it is offered", func() bool { return len(r.node.took()) == 2 })
				gone(r, x)
				r.node.say(7, codec.AppendEnd(nil, 7, codec.Full))
				r.settledDown()
				if got := r.node.took(); len(got) != 2 {
					t.Errorf("set-ups %v: another try began for an owner that was gone", got)
				}
			})
			t.Run("before its answer, "+name, func(t *testing.T) {
				r := onLoopback(t, nil)
				x := r.dial()
				x.ask(7, "batch")
				r.until("it is offered", func() bool { return len(r.node.took()) == 2 })
				gone(r, x)
				r.node.say(7, codec.AppendAnswer(nil, 7, []byte("at a")))
				r.until("it is ended at its node", func() bool { return r.node.ended(7) })
				r.node.say(7, codec.AppendEnd(nil, 7, codec.Elsewhere))
				r.settledDown()
			})
		}
	}
}

// TestTurnedAway has connections come when there is no room for them: one that says something takes the place of one that does
// nothing, and where all are at work it is answered before it is closed. None is closed on a request.
func TestTurnedAway(t *testing.T) {
	short := func(c *Configuration) { c.Sockets = 60 }
	fill := func(r *real) (all []*tcpOwner) {
		for range r.s.parts.Owners {
			all = append(all, r.dial())
		}
		r.until("all are taken", func() bool { return r.counted(func(s *Server) int { return len(s.owners) }) == len(all) })
		return all
	}
	t.Run("all at work", func(t *testing.T) {
		r := onLoopback(t, short)
		for i, x := range fill(r) {
			x.ask(uint64(100+i), "batch")
		}
		r.until("all are at work", func() bool { return r.counted(func(s *Server) int { return s.admit.Open() }) == r.s.parts.Owners })
		x := r.dial()
		x.ask(7, "batch")
		x.hears("7 end 42", "closed")
	})
	t.Run("all idle", func(t *testing.T) {
		r := onLoopback(t, short)
		idle := fill(r)
		r.skip(600)
		x := r.dial()
		x.ask(7, "batch")
		r.until("it is offered", func() bool { return slices.Contains(r.node.took(), 7) })
		r.node.say(7, codec.AppendAnswer(nil, 7, []byte("at a")))
		x.hears("7 served at a")
		closed := 0
		r.until("one has given way", func() bool { return r.counted(func(s *Server) int { return s.counts.expelled }) == 1 })
		for _, y := range idle {
			_ = y.c.SetReadDeadline(time.Now().Add(20 * time.Millisecond))
			if _, err := y.c.Read(make([]byte, 1)); errors.Is(err, io.EOF) {
				closed++
			}
		}
		if closed != 1 {
			t.Errorf("%d gave way, want 1", closed)
		}
	})
}

// TestLastWords has requests and other bytes come as a scheduler that was told to end parts with its owners: each that was taken is
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
			part := r.s.plan.Part
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
	ahead := r.s.plan.Part - r.w.Now()
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
			var x *tcpOwner
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
						for o := range s.owners {
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
			if owed := r.counted(func(s *Server) int { return s.admit.Open() + s.host.Open() + len(s.inbox) }); owed != 0 {
				t.Errorf("%d answers are owed", owed)
			}
		})
	}
}

// TestEndsAreTold has a task end while the connection that its owner asked on has closed, unread: the owner hears of it on another on which
// something was served, and if there is none yet, on the next.
func TestEndsAreTold(t *testing.T) {
	for how, leave := range leaves {
		for _, other := range []bool{true, false} {
			t.Run(fmt.Sprintf("%s, another is there %v", how, other), func(t *testing.T) {
				r := onLoopback(t, nil)
				serve := func(x *tcpOwner, task uint64) {
					x.ask(task, "batch")
					r.until("it is offered", func() bool { return slices.Contains(r.node.took(), task) })
					r.node.say(task, codec.AppendAnswer(nil, task, []byte("at a")))
					x.hears(fmt.Sprintf("%d served at a", task))
				}
				x := r.dial()
				serve(x, 7)
				var y *tcpOwner
				if other {
					y = r.dial()
					serve(y, 8)
				}
				r.w.ends.set(true)
				leave(x)
				r.until("the news of it is held", func() bool { return r.w.ends.held() > 0 })
				r.node.say(7, codec.AppendEnd(nil, 7, codec.Normal))
				if !other {
					r.until("it is over", func() bool { return r.counted(func(s *Server) int { return s.counts.over }) > 0 })
					y = r.dial()
					serve(y, 9)
				}
				y.hears("7 end 16")
			})
		}
	}
}

// TestNodeCloses has a node close a connection as at-most-once work is offered to it, the close unread: the work goes on a new connection,
// and so does a cut. Written on the closed one it might have run, or not, and nobody could tell.
func TestNodeCloses(t *testing.T) {
	closed := func(r *real) {
		r.w.nodes.set(true)
		r.node.mu.Lock()
		for _, c := range r.node.on {
			c.Close()
		}
		r.node.mu.Unlock()
		r.until("the close has come", func() bool {
			return r.counted(func(s *Server) int {
				left := 0
				for _, p := range s.peers {
					for _, l := range p.links {
						if l.conn != nil && l.conn.Left() {
							left++
						}
					}
				}
				return left
			}) > 0
		})
	}
	t.Run("an offer", func(t *testing.T) {
		r := onLoopback(t, nil)
		closed(r)
		x := r.dial()
		x.ask(7, "single")
		r.until("it is offered", func() bool { return slices.Contains(r.node.took(), 7) })
		r.w.nodes.set(false)
		r.node.say(7, codec.AppendAnswer(nil, 7, []byte("at a")))
		x.hears("7 served at a")
	})
	t.Run("a cut", func(t *testing.T) {
		r := onLoopback(t, nil)
		closed(r)
		x := r.dial()
		x.send(codec.AppendEnd(nil, 1, codec.Normal)) // its owner ends what stands since the beginning
		r.until("its node is told", func() bool { return r.node.ended(1) })
	})
}

// TestIdleCrowd has idle clients come by hundreds while the journal service can't be reached: each side keeps to its part of the
// descriptors, what is stood up for work in hand is found room for, the next useful client is served, and the journal service is
// connected once it is there.
func TestIdleCrowd(t *testing.T) {
	r := onLoopback(t, func(c *Configuration) {
		c.Sockets = 100
		c.Journal = "127.0.0.1:1" // nobody listens there
	})
	within := func() {
		t.Helper()
		r.s.mu.Lock()
		defer r.s.mu.Unlock()
		if p := r.s.parts; len(r.s.owners)-r.s.guests > p.Owners || r.s.guests > p.Guests || r.s.links > p.Nodes {
			t.Errorf("%d clients, %d of them guests, %d to nodes; parts %+v", len(r.s.owners), r.s.guests, r.s.links, p)
		}
	}
	x := r.dial()
	x.ask(7, "single")
	r.until("work is in hand", func() bool { return slices.Contains(r.node.took(), 7) })
	for range 3 {
		for range 100 {
			c, err := net.Dial("tcp", r.door)
			if err != nil {
				t.Fatal(err)
			}
			t.Cleanup(func() { c.Close() })
		}
		within()
	}
	r.until("they fill their part", func() bool {
		return r.counted(func(s *Server) int { return len(s.owners) - s.guests }) == r.s.parts.Owners
	})
	r.skip(600)
	r.node.say(7, codec.AppendAnswer(nil, 7, []byte("at a")))
	x.hears("7 served at a")
	y := r.dial()
	y.ask(8, "single")
	r.until("the next is offered", func() bool { return slices.Contains(r.node.took(), 8) })
	r.node.say(8, codec.AppendAnswer(nil, 8, []byte("at a")))
	y.hears("8 served at a")
	within()
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
	r.s.Take(&moved)
	if got := <-tails; got != "tail 1\n" {
		t.Errorf("the journal service was asked %q", got)
	}
	r.until("it is heard", func() bool { r.s.mu.Lock(); defer r.s.mu.Unlock(); return r.s.feed.watch.Live(r.w.Now()) })
	within()
}

// TestTrickles has a request come a byte at a time, and its answer from the node, with another client's whole request and answer in between:
// nobody else waits. An answer that breaks off after some bytes, by a close or a reset, is no answer, and at-most-once work has failed.
func TestTrickles(t *testing.T) {
	answer := codec.AppendAnswer(nil, 7, []byte("at a"))
	for _, ends := range []string{"whole", "closed", "reset"} {
		t.Run(ends, func(t *testing.T) {
			r := onLoopback(t, nil)
			x, y := r.dial(), r.dial()
			beside := func(task uint64) {
				t.Helper()
				y.ask(task, "single")
				r.until("it is offered beside", func() bool { return slices.Contains(r.node.took(), task) })
				r.node.say(task, codec.AppendAnswer(nil, task, []byte("at a")))
				y.hears(fmt.Sprintf("%d served at a", task))
			}
			request := setUp(7, "single")
			for i := range request {
				if i == len(request)/2 {
					beside(100)
				}
				x.send(request[i : i+1])
			}
			r.until("it is offered", func() bool { return slices.Contains(r.node.took(), 7) })
			for i := range answer {
				if i == len(answer)/2 {
					beside(101)
					if ends != "whole" {
						r.node.mu.Lock()
						c := r.node.on[7].(*net.TCPConn)
						if ends == "reset" {
							_ = c.SetLinger(0)
						}
						c.Close()
						r.node.mu.Unlock()
						x.hears("7 end 41")
						return
					}
				}
				r.node.say(7, answer[i:i+1])
			}
			x.hears("7 served at a")
		})
	}
}

// TestGoneEarly has owners leave before their request is taken: while they wait at the door, when they were let in and not read, with half of
// the request read, and in one read with it. Nothing begins for them. One that leaves once its task stands leaves it standing.
func TestGoneEarly(t *testing.T) {
	whole := setUp(7, "single")
	for how, leave := range leaves {
		for step, play := range map[string]func(t *testing.T, r *real, x func() *tcpOwner){
			"at the door": func(t *testing.T, r *real, dial func() *tcpOwner) {
				r.w.comes.set(true)
				dial() // its coming is held, so that the next waits in the kernel
				r.until("the door is held", func() bool { return r.w.comes.held() > 0 })
				x := dial()
				x.send(whole)
				leave(x)
				r.w.comes.set(false)
			},
			"let in": func(t *testing.T, r *real, dial func() *tcpOwner) {
				r.w.reads.set(true)
				r.w.ends.set(true)
				x := dial()
				x.send(whole)
				r.until("its reader is held", func() bool { return r.w.reads.held() > 0 })
				leave(x)
				r.w.reads.set(false)
				r.until("the news of it is held", func() bool { return r.w.ends.held() > 0 })
			},
			"half read": func(t *testing.T, r *real, dial func() *tcpOwner) {
				x := dial()
				x.send(whole[:30])
				r.until("half is read", func() bool {
					return r.counted(func(s *Server) int {
						n := 0
						for o := range s.owners {
							n += len(o.in)
						}
						return n
					}) == 30
				})
				r.w.reads.set(true)
				r.w.ends.set(true)
				x.send(whole[30:])
				r.until("its reader is held", func() bool { return r.w.reads.held() > 0 })
				leave(x)
				r.w.reads.set(false)
				r.until("the news of it is held", func() bool { return r.w.ends.held() > 0 })
			},
		} {
			t.Run(step+", "+how, func(t *testing.T) {
				r := onLoopback(t, nil)
				if step != "at the door" {
					r.w.turns.set(true)
				}
				play(t, r, r.dial)
				r.w.turns.set(false)
				y := r.dial()
				y.ask(8, "batch") // what comes after it is served: so the other was met
				r.until("the next is offered", func() bool { return slices.Contains(r.node.took(), 8) })
				r.node.say(8, codec.AppendAnswer(nil, 8, []byte("at a")))
				y.hears("8 served at a")
				r.w.ends.set(false)
				r.settledDown()
				if got := r.node.took(); slices.Contains(got, 7) {
					t.Errorf("set-ups %v: one began for an owner that was gone", got)
				}
			})
		}
		t.Run("standing, "+how, func(t *testing.T) {
			r := onLoopback(t, nil)
			x := r.dial()
			x.ask(7, "single")
			r.until("it is offered", func() bool { return slices.Contains(r.node.took(), 7) })
			r.node.say(7, codec.AppendAnswer(nil, 7, []byte("at a")))
			x.hears("7 served at a")
			leave(x)
			r.until("it is known to be gone", func() bool { return r.counted(func(s *Server) int { return len(s.owners) }) == 0 })
			y := r.dial()
			y.ask(8, "batch")
			r.until("the next is offered", func() bool { return slices.Contains(r.node.took(), 8) })
			if r.node.ended(7) {
				t.Error("what stands was ended, though it belongs to no connection")
			}
		})
	}
}
