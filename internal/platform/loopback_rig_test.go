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
	"ravenpond/internal/env"
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
	*env.Real
	turns, reads, ends, dials, comes *gate // reads and ends are those of client connections
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

func (w *world) StartLoop(turn func() float64) env.Loop {
	return w.Real.StartLoop(func() float64 { w.turns.pass(); return turn() })
}

func (w *world) Listen(address string, came func(env.Conn)) (env.Listener, error) {
	return w.Real.Listen(address, func(c env.Conn) { w.comes.pass(); came(heldConn{c, w.reads, w.ends}) })
}

func (w *world) Dial(address string, within float64, done func(env.Conn, error)) {
	w.Real.Dial(address, within, func(c env.Conn, err error) {
		w.dials.pass()
		if err == nil {
			c = heldConn{c, w.nodes, w.nodes}
		}
		done(c, err)
	})
}

// heldConn is a connection of which what is heard can be held.
type heldConn struct {
	env.Conn
	reads, ends *gate
}

func (c heldConn) Start(p env.ConnHandler, stuck float64) {
	c.Conn.Start(heldPeer{p, c.reads, c.ends}, stuck)
}

type heldPeer struct {
	env.ConnHandler
	reads, ends *gate
}

func (p heldPeer) OnData(b []byte) {
	if b == nil {
		p.ends.pass()
	} else {
		p.reads.pass()
	}
	p.ConnHandler.OnData(b)
}

func (p heldPeer) OnClose(err error) { p.ends.pass(); p.ConnHandler.OnClose(err) }

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
	r := &real{t: t, w: &world{
		Real: env.NewReal(), turns: newGate(), reads: newGate(), ends: newGate(), dials: newGate(), comes: newGate(),
		nodes: newGate(),
	}}
	r.w.WriteThrough = true
	journal, _ := tailed(t)
	r.node = newTCPNode(t)
	known, err := settings.Read([]byte(settingsText))
	if err != nil {
		t.Fatal(err)
	}
	r.configuration = &Configuration{
		Name: "n0", Listen: "127.0.0.1:0", Journal: journal, Seed: 3, MemoryMB: 64, Sockets: 256, Known: known,
		Events: []byte(`{"pos":1,"entries":[` + event(1, true, entryOf("a", r.node.l.Addr().String(), "ready")) + `]}`),
	}
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
	r.until("its client is gone", func() bool { r.s.mu.Lock(); defer r.s.mu.Unlock(); return len(r.s.clients) == 0 })
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
	r.s.lag = overload.Monitor{}
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
		return r.counted(func(s *Server) int { return len(s.inbox) + s.host.OpenRequests() + s.admit.Open() }) == 0
	})
}

// tcpClient is a client on a connection.
type tcpClient struct {
	r  *real
	c  *net.TCPConn
	in []byte
}

func (r *real) dial() *tcpClient {
	r.t.Helper()
	c, err := net.Dial("tcp", r.door)
	if err != nil {
		r.t.Fatal(err)
	}
	r.t.Cleanup(func() { c.Close() })
	return &tcpClient{r: r, c: c.(*net.TCPConn)}
}

func (x *tcpClient) send(b []byte) {
	x.r.t.Helper()
	if _, err := x.c.Write(b); err != nil {
		x.r.t.Fatal(err)
	}
}

func (x *tcpClient) ask(task uint64, job string) { x.send(setUp(task, job)) }

// next is the next message in words, or how the connection ended.
func (x *tcpClient) next() string {
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

func (x *tcpClient) hears(want ...string) {
	x.r.t.Helper()
	for _, w := range want {
		if got := x.next(); got != w {
			x.r.t.Fatalf("heard %q, want %q", got, w)
		}
	}
}

// leaves has a client go in one of the ways that there are.
var leaves = map[string]func(x *tcpClient){
	"closes": func(x *tcpClient) { x.c.Close() },
	"resets": func(x *tcpClient) { _ = x.c.SetLinger(0); x.c.Close() },
	"half":   func(x *tcpClient) { _ = x.c.CloseWrite() },
}
