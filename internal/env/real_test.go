package env

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"strings"
	"sync/atomic"
	"testing"
	"time"
)

// recorder records the events of a connection.
type recorder struct {
	data   chan string
	closed chan error
}

func newRecorder() *recorder { return &recorder{make(chan string, 100), make(chan error, 2)} }

func (h *recorder) OnData(b []byte)   { h.data <- string(b) }
func (h *recorder) OnClose(err error) { h.closed <- err }

// pipe returns a connection over net.Pipe, and the peer's end.
func pipe(t *testing.T, r *Real) (Conn, net.Conn) {
	t.Helper()
	local, peer := net.Pipe()
	t.Cleanup(func() { closeQuietly(peer) })
	r.Connect = func(context.Context, string) (net.Conn, error) { return local, nil }
	dialed := make(chan Conn, 1)
	r.Dial("", 1000, func(c Conn, _ error) { dialed <- c })
	return <-dialed, peer
}

// TestQueue guards against a queue that is filled in the same buffer that is being written: each line must arrive once and complete.
func TestQueue(t *testing.T) {
	r := NewReal()
	defer r.Close(time.Second)
	c, peer := pipe(t, r)
	c.Start(newRecorder(), 1000)
	const lines = 3000
	go func() {
		for i := range lines {
			c.Send(func(b []byte) []byte { return fmt.Appendf(b, "line %d\n", i) })
			if i%3 == 0 {
				time.Sleep(10 * time.Microsecond)
			}
		}
		c.Close(true, []byte("bye\n"))
	}()
	in := bufio.NewReader(peer)
	for i := range lines {
		if got, err := in.ReadString('\n'); err != nil || got != fmt.Sprintf("line %d\n", i) {
			t.Fatalf("line %d: got %q, %v", i, got, err)
		}
	}
	if got, err := in.ReadString('\n'); err != nil || got != "bye\n" {
		t.Errorf("final bytes %q, %v, want \"bye\\n\"", got, err)
	}
}

// TestBytesWritten checks that BytesWritten does not count unsent bytes: the rest of a message that the peer read in part, and a message that was
// only queued.
func TestBytesWritten(t *testing.T) {
	r := NewReal()
	defer r.Close(time.Second)
	c, peer := pipe(t, r)
	handler := newRecorder()
	c.Start(handler, 1000)
	first, _, ok := c.Send(func(b []byte) []byte { return append(b, "0123456789"...) })
	if !ok || first != 10 {
		t.Fatalf("Send returned %d, %v, want 10, true", first, ok)
	}
	if _, err := io.ReadFull(peer, make([]byte, 4)); err != nil {
		t.Fatal(err)
	}
	time.Sleep(10 * time.Millisecond)
	second, queued, ok := c.Send(func(b []byte) []byte { return append(b, "x"...) })
	if !ok || second != 11 || queued != 1 {
		t.Fatalf("Send returned %d, %d queued, %v, want 11, 1, true", second, queued, ok)
	}
	c.Close(false, nil)
	if err := <-handler.closed; err != ErrClosed { //nolint:errorlint // it has to be this error itself
		t.Error(err)
	}
	if h := c.BytesWritten(); h != 4 {
		t.Errorf("BytesWritten returned %d, want 4", h)
	}
	if _, _, ok := c.Send(func(b []byte) []byte { return append(b, "y"...) }); ok {
		t.Error("Send succeeded after the connection was closed")
	}
}

func TestConnectionEnds(t *testing.T) {
	for _, c := range []struct {
		name string
		end  func(c Conn, peer net.Conn)
		want string // part of the error
	}{
		{"peer closes", func(_ Conn, peer net.Conn) { closeQuietly(peer) }, "EOF"},
		{"peer reads nothing", func(c Conn, _ net.Conn) {
			c.Send(func(b []byte) []byte { return append(b, make([]byte, 100000)...) })
		}, "write"},
	} {
		t.Run(c.name, func(t *testing.T) {
			r := NewReal()
			defer r.Close(time.Second)
			conn, peer := pipe(t, r)
			handler := newRecorder()
			conn.Start(handler, 50)
			go func() { _, _ = peer.Write([]byte("hello")) }()
			if got := <-handler.data; got != "hello" {
				t.Errorf("received %q, want \"hello\"", got)
			}
			c.end(conn, peer)
			if err := <-handler.closed; !strings.Contains(err.Error(), c.want) {
				t.Errorf("OnClose got %v, want an error that contains %q", err, c.want)
			}
		})
	}
}

// TestClose checks that Close ends timers, loops and connections, and that no callback runs after it.
func TestClose(t *testing.T) {
	r := NewReal()
	var calls, steps atomic.Int32
	r.After(60000, func() { calls.Add(1) })
	stopped := r.After(20, func() { calls.Add(1) })
	stopped.Stop()
	Every(r, 1, func() bool { steps.Add(1); return true })
	l := r.StartLoop(func() float64 { steps.Add(1); return 1 })
	listener, err := r.Listen("127.0.0.1:0", func(c Conn) { c.Start(newRecorder(), 100) })
	if err != nil {
		t.Fatal(err)
	}
	handler := newRecorder()
	r.Dial(listener.Address(), 1000, func(c Conn, err error) {
		if err != nil {
			t.Error(err)
			return
		}
		c.Start(handler, 100)
	})
	time.Sleep(50 * time.Millisecond)
	r.Close(5 * time.Second)
	after := steps.Load()
	if !l.HasEnded() || after < 5 || calls.Load() > 0 {
		t.Errorf("loop ended: %v, %d steps, %d timer calls, want true, at least 5 and 0", l.HasEnded(), after, calls.Load())
	}
	select {
	case err := <-handler.closed:
		if err == nil {
			t.Error("OnClose got no error, want the cause")
		}
	default:
		t.Error("the connection is still open after its environment was closed")
	}
	time.Sleep(10 * time.Millisecond)
	if steps.Load() != after {
		t.Error("a step ran after Close")
	}
	if l := r.StartLoop(func() float64 { return 0 }); !l.HasEnded() {
		t.Error("a loop started after Close")
	}
}

// TestClock guards against jumps of the machine's clock: Now has to be measured with the monotonic clock.
func TestClock(t *testing.T) {
	r := NewReal()
	defer r.Close(time.Second)
	if !strings.Contains(r.startTime.String(), " m=") {
		t.Error("the start time has no monotonic reading: Now would follow the wall clock")
	}
	first := r.Now()
	jumped := &Real{startTime: r.startTime.Round(0).Add(-time.Hour), startMs: r.startMs} // the state after the wall clock has jumped by an hour
	if d := r.Now() - first; d < 0 || d > 60e3 || jumped.Now()-first < 3600e3 {
		t.Errorf("Now advanced by %g ms, want 0 to 60000, and at least 3600000 with a start time an hour earlier", d)
	}
}

// dialLoopback dials a listener on loopback and returns both ends of the connection, the dialed one first.
func dialLoopback(t *testing.T, r *Real) (Conn, net.Conn) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer closeQuietly(l)
	dialed := make(chan Conn, 1)
	r.Dial(l.Addr().String(), 1000, func(c Conn, _ error) { dialed <- c })
	peer, err := l.Accept()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { closeQuietly(peer) })
	return <-dialed, peer
}

// TestWriteThrough checks that with write-through Send writes immediately, that what the socket does not accept then follows in order, and that
// Unsend removes a message that was not passed to the network.
func TestWriteThrough(t *testing.T) {
	r := NewReal()
	r.WriteThrough = true
	defer r.Close(time.Second)
	c, peer := dialLoopback(t, r)
	handler := newRecorder()
	c.Start(handler, 5000)
	line := func(n int) func([]byte) []byte {
		return func(b []byte) []byte { return append(b, strings.Repeat("x", n)...) }
	}
	sent, queued, ok := c.Send(line(10))
	if !ok || queued != 0 || c.BytesWritten() != sent {
		t.Fatalf("Send returned %d, %d queued, BytesWritten %d, ok %v, want none queued and all written", sent, queued, c.BytesWritten(), ok)
	}
	if c.Unsend(sent, 10) {
		t.Error("Unsend removed a message that was sent")
	}
	const big = 32 << 20 // more bytes than the kernel buffers
	all, queued, _ := c.Send(line(big))
	if queued == 0 {
		t.Fatal("the socket accepted the whole message at once: the test needs a larger one")
	}
	waitUntil(t, "the writer writes the large message", func() bool { return c.BytesWritten() == all }) // else it would take the next message along
	after, _, _ := c.Send(line(7))
	if c.Unsend(all, big) {
		t.Error("Unsend removed a message that is not the last")
	}
	if !c.Unsend(after, 7) || c.Unsend(after, 7) {
		t.Error("Unsend of the last message that was not sent: want true, then false")
	}
	got := make(chan int64, 1)
	go func() {
		n, _ := io.Copy(io.Discard, peer)
		got <- n
	}()
	for c.BytesWritten() < all {
		time.Sleep(time.Millisecond)
	}
	for i := range 100 { // the writer may or may not have ended by now
		c.Send(line(1))
		if i%10 == 0 {
			time.Sleep(time.Millisecond)
		}
	}
	c.Close(true, []byte("bye"))
	if err := <-handler.closed; err != ErrClosed { //nolint:errorlint // it has to be this error itself
		t.Error(err)
	}
	if n := <-got; n != int64(all)+100+3 {
		t.Errorf("peer received %d bytes, want %d", n, all+103)
	}
}

// TestWriteThroughCloses closes many write-through connections at once, gracefully or not, from one side: each end must get OnClose exactly once.
func TestWriteThroughCloses(t *testing.T) {
	r := NewReal()
	r.WriteThrough = true
	closed := make(chan error, 400)
	listener, err := r.Listen("127.0.0.1:0", func(c Conn) {
		c.Start(&recorder{make(chan string, 100), closed}, 1000)
		c.Send(func(b []byte) []byte { return append(b, "hello"...) })
	})
	if err != nil {
		t.Fatal(err)
	}
	for i := range 100 {
		r.Dial(listener.Address(), 1000, func(c Conn, err error) {
			if err != nil {
				t.Error(err)
				return
			}
			c.Start(&recorder{make(chan string, 100), closed}, 1000)
			c.Send(func(b []byte) []byte { return append(b, "x"...) })
			c.Close(i%2 == 0, nil)
		})
	}
	for range 200 {
		select {
		case err := <-closed:
			if err == nil {
				t.Error("OnClose got no error, want the cause")
			}
		case <-time.After(5 * time.Second):
			t.Fatal("no OnClose within 5 s, want one for each end of each connection")
		}
	}
	r.Close(time.Second)
	if len(closed) != 0 {
		t.Errorf("%d surplus calls of OnClose, want none", len(closed))
	}
}

// TestSendBeforeStart checks that what is sent on a write-through connection before Start is sent by Start.
func TestSendBeforeStart(t *testing.T) {
	r := NewReal()
	r.WriteThrough = true
	defer r.Close(time.Second)
	c, peer := dialLoopback(t, r)
	c.Send(func(b []byte) []byte { return append(b, "early"...) })
	c.Start(newRecorder(), 1000)
	_ = peer.SetReadDeadline(time.Now().Add(5 * time.Second))
	got := make([]byte, 5)
	if _, err := io.ReadFull(peer, got); err != nil || string(got) != "early" {
		t.Errorf("peer read %q, %v, want \"early\"", got, err)
	}
}
