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

func (e *recorder) OnData(b []byte)   { e.data <- string(b) }
func (e *recorder) OnClose(err error) { e.closed <- err }

// pipe returns a connection over net.Pipe, and its other end.
func pipe(t *testing.T, r *Real) (Conn, net.Conn) {
	t.Helper()
	here, there := net.Pipe()
	t.Cleanup(func() { closeQuietly(there) })
	r.Connect = func(context.Context, string) (net.Conn, error) { return here, nil }
	made := make(chan Conn, 1)
	r.Dial("", 1000, func(c Conn, _ error) { made <- c })
	return <-made, there
}

// TestQueue guards against a queue that fills the memory that is being written: each line arrives once, whole.
func TestQueue(t *testing.T) {
	r := NewReal()
	defer r.Close(time.Second)
	c, there := pipe(t, r)
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
	in := bufio.NewReader(there)
	for i := range lines {
		if got, err := in.ReadString('\n'); err != nil || got != fmt.Sprintf("line %d\n", i) {
			t.Fatalf("line %d: %q, %v", i, got, err)
		}
	}
	if got, err := in.ReadString('\n'); err != nil || got != "bye\n" {
		t.Errorf("last words %q, %v", got, err)
	}
}

// TestHandedOver tells what never left: of a message half of which was read, and of one that only waited.
func TestHandedOver(t *testing.T) {
	r := NewReal()
	defer r.Close(time.Second)
	c, there := pipe(t, r)
	e := newRecorder()
	c.Start(e, 1000)
	first, _, ok := c.Send(func(b []byte) []byte { return append(b, "0123456789"...) })
	if !ok || first != 10 {
		t.Fatalf("sent %d, %v", first, ok)
	}
	if _, err := io.ReadFull(there, make([]byte, 4)); err != nil {
		t.Fatal(err)
	}
	time.Sleep(10 * time.Millisecond)
	second, waits, ok := c.Send(func(b []byte) []byte { return append(b, "x"...) })
	if !ok || second != 11 || waits != 1 {
		t.Fatalf("sent %d, %d wait, %v", second, waits, ok)
	}
	c.Close(false, nil)
	if err := <-e.closed; err != ErrClosed { //nolint:errorlint // it has to be this error itself
		t.Error(err)
	}
	if h := c.HandedOver(); h != 4 {
		t.Errorf("%d bytes handed over, want 4", h)
	}
	if _, _, ok := c.Send(func(b []byte) []byte { return append(b, "y"...) }); ok {
		t.Error("sent after the end")
	}
}

func TestConnectionEnds(t *testing.T) {
	for _, c := range []struct {
		name string
		end  func(c Conn, there net.Conn)
		why  string
	}{
		{"peer closes", func(_ Conn, there net.Conn) { closeQuietly(there) }, "EOF"},
		{"peer takes nothing", func(c Conn, _ net.Conn) {
			c.Send(func(b []byte) []byte { return append(b, make([]byte, 100000)...) })
		}, "write"},
	} {
		t.Run(c.name, func(t *testing.T) {
			r := NewReal()
			defer r.Close(time.Second)
			conn, there := pipe(t, r)
			e := newRecorder()
			conn.Start(e, 50)
			go func() { _, _ = there.Write([]byte("hello")) }()
			if got := <-e.data; got != "hello" {
				t.Errorf("heard %q", got)
			}
			c.end(conn, there)
			if err := <-e.closed; !strings.Contains(err.Error(), c.why) {
				t.Errorf("%v, want %s", err, c.why)
			}
		})
	}
}

// TestClose ends what runs: nothing is called after it.
func TestClose(t *testing.T) {
	r := NewReal()
	var calls, turns atomic.Int32
	r.After(60000, func() { calls.Add(1) })
	stopped := r.After(20, func() { calls.Add(1) })
	stopped.Stop()
	Every(r, 1, func() bool { turns.Add(1); return true })
	l := r.StartLoop(func() float64 { turns.Add(1); return 1 })
	d, err := r.Listen("127.0.0.1:0", func(c Conn) { c.Start(newRecorder(), 100) })
	if err != nil {
		t.Fatal(err)
	}
	e := newRecorder()
	r.Dial(d.Address(), 1000, func(c Conn, err error) {
		if err != nil {
			t.Error(err)
			return
		}
		c.Start(e, 100)
	})
	time.Sleep(50 * time.Millisecond)
	r.Close(5 * time.Second)
	after := turns.Load()
	if !l.HasEnded() || after < 5 || calls.Load() > 0 {
		t.Errorf("loop ended %v, %d turns, %d calls", l.HasEnded(), after, calls.Load())
	}
	select {
	case err := <-e.closed:
		if err == nil {
			t.Error("closed without a cause")
		}
	default:
		t.Error("a connection outlives its environment")
	}
	time.Sleep(10 * time.Millisecond)
	if turns.Load() != after {
		t.Error("turned after the end")
	}
	if l := r.StartLoop(func() float64 { return 0 }); !l.HasEnded() {
		t.Error("a loop began after the end")
	}
}

// TestClock guards against a machine's clock that jumps: what counts time must be the monotonic clock.
func TestClock(t *testing.T) {
	r := NewReal()
	defer r.Close(time.Second)
	if !strings.Contains(r.startTime.String(), " m=") {
		t.Error("the start has no monotonic reading: the clock would follow the wall")
	}
	first := r.Now()
	jumped := &Real{startTime: r.startTime.Round(0).Add(-time.Hour), startMs: r.startMs} // as it would be after a jump of an hour
	if d := r.Now() - first; d < 0 || d > 60e3 || jumped.Now()-first < 3600e3 {
		t.Errorf("%g ms since the start", d)
	}
}

// dialLoopback dials a listener on loopback and returns both ends of the connection.
func dialLoopback(t *testing.T, r *Real) (Conn, net.Conn) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer closeQuietly(l)
	made := make(chan Conn, 1)
	r.Dial(l.Addr().String(), 1000, func(c Conn, _ error) { made <- c })
	there, err := l.Accept()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { closeQuietly(there) })
	return <-made, there
}

// TestWriteThrough holds that what is sent leaves with the call that sends it, that what the network does not take at once follows
// in order, and that what has not left can be taken back.
func TestWriteThrough(t *testing.T) {
	r := NewReal()
	r.WriteThrough = true
	defer r.Close(time.Second)
	c, there := dialLoopback(t, r)
	e := newRecorder()
	c.Start(e, 5000)
	line := func(n int) func([]byte) []byte {
		return func(b []byte) []byte { return append(b, strings.Repeat("x", n)...) }
	}
	sent, waits, ok := c.Send(line(10))
	if !ok || waits != 0 || c.HandedOver() != sent {
		t.Fatalf("sent %d, %d wait, %d handed over, %v", sent, waits, c.HandedOver(), ok)
	}
	if c.Unsend(sent, 10) {
		t.Error("took back what had left")
	}
	const big = 32 << 20 // more than the kernel takes
	all, waits, _ := c.Send(line(big))
	if waits == 0 {
		t.Fatal("all was taken at once: nothing is shown")
	}
	until(t, "a writer has it in hand", func() bool { return c.HandedOver() == all }) // else it takes what follows with it
	after, _, _ := c.Send(line(7))
	if c.Unsend(all, big) {
		t.Error("took back what others follow")
	}
	if !c.Unsend(after, 7) || c.Unsend(after, 7) {
		t.Error("the last that has not left is taken back, once")
	}
	got := make(chan int64, 1)
	go func() {
		n, _ := io.Copy(io.Discard, there)
		got <- n
	}()
	for c.HandedOver() < all {
		time.Sleep(time.Millisecond)
	}
	for i := range 100 { // its writer may have ended or not
		c.Send(line(1))
		if i%10 == 0 {
			time.Sleep(time.Millisecond)
		}
	}
	c.Close(true, []byte("bye"))
	if err := <-e.closed; err != ErrClosed { //nolint:errorlint // it has to be this error itself
		t.Error(err)
	}
	if n := <-got; n != int64(all)+100+3 {
		t.Errorf("%d bytes came, want %d", n, all+103)
	}
}

// TestWriteThroughCloses ends prompt connections from both sides and by their peers, many at once: each is over, once.
func TestWriteThroughCloses(t *testing.T) {
	r := NewReal()
	r.WriteThrough = true
	overs := make(chan error, 400)
	d, err := r.Listen("127.0.0.1:0", func(c Conn) {
		c.Start(&recorder{make(chan string, 100), overs}, 1000)
		c.Send(func(b []byte) []byte { return append(b, "hello"...) })
	})
	if err != nil {
		t.Fatal(err)
	}
	for i := range 100 {
		r.Dial(d.Address(), 1000, func(c Conn, err error) {
			if err != nil {
				t.Error(err)
				return
			}
			c.Start(&recorder{make(chan string, 100), overs}, 1000)
			c.Send(func(b []byte) []byte { return append(b, "x"...) })
			c.Close(i%2 == 0, nil)
		})
	}
	for range 200 {
		select {
		case err := <-overs:
			if err == nil {
				t.Error("closed without a cause")
			}
		case <-time.After(5 * time.Second):
			t.Fatal("a connection is not over")
		}
	}
	r.Close(time.Second)
	if len(overs) != 0 {
		t.Errorf("%d were over twice", len(overs))
	}
}

// TestSendBeforeStart holds that what is sent on a prompt connection before it has begun leaves with its beginning.
func TestSendBeforeStart(t *testing.T) {
	r := NewReal()
	r.WriteThrough = true
	defer r.Close(time.Second)
	c, there := dialLoopback(t, r)
	c.Send(func(b []byte) []byte { return append(b, "early"...) })
	c.Start(newRecorder(), 1000)
	_ = there.SetReadDeadline(time.Now().Add(5 * time.Second))
	got := make([]byte, 5)
	if _, err := io.ReadFull(there, got); err != nil || string(got) != "early" {
		t.Errorf("%q, %v", got, err)
	}
}
