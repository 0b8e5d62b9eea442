package env

import (
	"context"
	"io"
	"net"
	"strings"
	"testing"
	"time"
)

// dialedPair returns both ends of a write-through connection on loopback.
func dialedPair(t *testing.T, r *Real, p ConnHandler, stuck float64) (Conn, *net.TCPConn) {
	t.Helper()
	r.WriteThrough = true
	made := make(chan Conn, 1)
	d, err := r.Listen("127.0.0.1:0", func(c Conn) { c.Start(p, stuck); made <- c })
	if err != nil {
		t.Fatal(err)
	}
	remote, err := net.Dial("tcp", d.Address())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { closeQuietly(remote) })
	return <-made, remote.(*net.TCPConn)
}

// blockedHandler is a handler whose OnData blocks until release is closed.
type blockedHandler struct {
	data    chan string
	release chan struct{}
	closed  chan error
}

func newBlockedHandler() *blockedHandler {
	return &blockedHandler{make(chan string, 100), make(chan struct{}), make(chan error, 1)}
}

func (h *blockedHandler) OnData(b []byte) { h.data <- string(b); <-h.release }

func (h *blockedHandler) OnClose(err error) { h.closed <- err }

// until waits for a condition, however long the machine takes.
func until(t *testing.T, what string, is func() bool) {
	t.Helper()
	for end := time.Now().Add(20 * time.Second); !is(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("never: %s", what)
		}
	}
}

// TestPeerClosed checks that a peer is known to have closed while data that it sent before is unread, for each way to close.
func TestPeerClosed(t *testing.T) {
	for name, go_ := range map[string]func(c *net.TCPConn){
		"closes":      func(c *net.TCPConn) { closeQuietly(c) },
		"closes half": func(c *net.TCPConn) { _ = c.CloseWrite() },
		"resets":      func(c *net.TCPConn) { _ = c.SetLinger(0); closeQuietly(c) },
	} {
		t.Run(name, func(t *testing.T) {
			r := NewReal()
			defer r.Close(5 * time.Second)
			h := newBlockedHandler()
			c, there := dialedPair(t, r, h, 1000)
			_, _ = there.Write([]byte("first"))
			<-h.data // its reader is held from here on
			_, _ = there.Write([]byte("unread"))
			if c.PeerClosed() {
				t.Error("left, and it is there")
			}
			go_(there)
			until(t, "left", c.PeerClosed)
			close(h.release)
			if err := <-h.closed; err == nil {
				t.Error("closed without a cause")
			}
			if !c.PeerClosed() {
				t.Error("it is back")
			}
		})
	}
}

// TestGracefulClose closes a connection with unread data: the peer reads all that was sent, then the end, and no reset. The peer may
// send on, or never close: the connection does not last then.
func TestGracefulClose(t *testing.T) {
	for _, how := range []struct{ sendsOn, readsLast bool }{{false, false}, {true, false}, {false, true}, {true, true}} {
		r := NewReal()
		h := newBlockedHandler()
		c, there := dialedPair(t, r, h, 1000)
		_, _ = there.Write([]byte("first"))
		<-h.data
		_, _ = there.Write([]byte("unread"))
		c.Send(func(b []byte) []byte { return append(b, "answer"...) })
		c.Close(true, []byte(", bye"))
		if how.sendsOn {
			_, _ = there.Write([]byte("after the end"))
		}
		if how.readsLast {
			close(h.release)
			if err := <-h.closed; err != ErrClosed { //nolint:errorlint // it has to be this error itself
				t.Error(err)
			}
			until(t, "it waits for its peer", func() bool { r.mu.Lock(); defer r.mu.Unlock(); return len(r.lingering) == 1 })
		}
		_ = there.SetReadDeadline(time.Now().Add(20 * time.Second))
		if got, err := io.ReadAll(there); err != nil || string(got) != "answer, bye" {
			t.Errorf("%+v: %q, %v", how, got, err)
		}
		if !how.readsLast {
			close(h.release)
			if err := <-h.closed; err != ErrClosed { //nolint:errorlint // it has to be this error itself
				t.Error(err)
			}
		}
		closeQuietly(there)
		until(t, "it is closed", func() bool { r.mu.Lock(); defer r.mu.Unlock(); return len(r.conns)+len(r.lingering) == 0 })
		r.Close(5 * time.Second)
	}
}

// TestMaxLingering checks that the oldest of too many connections that wait for their peers is closed.
func TestMaxLingering(t *testing.T) {
	r := NewReal()
	defer r.Close(5 * time.Second)
	r.MaxLingering = 2
	var all []*net.TCPConn
	for range 5 {
		e := newRecorder()
		c, there := dialedPair(t, r, e, 1000)
		c.Close(true, nil)
		if err := <-e.closed; err == nil {
			t.Error("closed without a cause")
		}
		all = append(all, there)
	}
	until(t, "two are left", func() bool { r.mu.Lock(); defer r.mu.Unlock(); return len(r.conns) <= 2 && len(r.lingering) <= 2 })
	for i, there := range all {
		_ = there.SetReadDeadline(time.Now().Add(20 * time.Second))
		if got, err := io.ReadAll(there); err != nil || len(got) > 0 {
			t.Errorf("%d: %q, %v", i, got, err)
		}
	}
}

// TestListenerCloseTakesBacklog closes a listener with connections that the kernel has accepted: each is handed over, with what its peer sent,
// before the address refuses connections.
func TestListenerCloseTakesBacklog(t *testing.T) {
	r := NewReal()
	defer r.Close(5 * time.Second)
	r.WriteThrough = true
	hold, heard := make(chan struct{}), make(chan string, 1<<16) // those that only look are heard as well
	came := make(chan bool, 100)
	d, err := r.Listen("127.0.0.1:0", func(c Conn) {
		select {
		case came <- true:
		default: // those that only look whether it is closed
		}
		<-hold
		c.Start(&recorder{heard, make(chan error, 1)}, 1000)
	})
	if err != nil {
		t.Fatal(err)
	}
	const n = 20
	for i := range n {
		c, err := net.Dial("tcp", d.Address())
		if err != nil {
			t.Fatal(err)
		}
		defer closeQuietly(c)
		_, _ = c.Write([]byte("ask"))
		if i == 0 {
			<-came // the others wait behind it
		}
	}
	d.Close()
	close(hold)
	for i := range n {
		select {
		case got := <-heard:
			if got != "ask" {
				t.Errorf("%q", got)
			}
		case <-time.After(20 * time.Second):
			t.Fatalf("%d of %d were let in", i, n)
		}
	}
	until(t, "the door is closed", func() bool {
		c, err := net.Dial("tcp", d.Address())
		if err == nil {
			closeQuietly(c)
		}
		return err != nil
	})
}

// TestSlowReader has a peer read a little at a time, for longer than the stall time-out: it gets all.
func TestSlowReader(t *testing.T) {
	r := NewReal()
	defer r.Close(5 * time.Second)
	here, there := net.Pipe() // it has no memory of its own: what is not read was not taken
	defer closeQuietly(there)
	r.Connect = func(context.Context, string) (net.Conn, error) { return here, nil }
	made := make(chan Conn, 1)
	r.Dial("", 1000, func(c Conn, _ error) { made <- c })
	c := <-made
	e := newRecorder()
	const stuck = 200
	c.Start(e, stuck)
	text := strings.Repeat("x", 30)
	began := time.Now()
	c.Send(func(b []byte) []byte { return append(b, text...) })
	got := 0
	for one := make([]byte, 1); got < len(text); got++ {
		if _, err := io.ReadFull(there, one); err != nil {
			t.Fatalf("after %d bytes: %v", got, err)
		}
		for time.Since(began) < time.Duration(got+1)*20*time.Millisecond { // 600 ms in all
			time.Sleep(time.Millisecond)
		}
	}
	select {
	case err := <-e.closed:
		t.Errorf("ended: %v", err)
	default:
	}
}

// TestCloseWaitsForGracefulClose closes an environment while a connection that was closed gracefully has bytes to hand over: its peer, which
// reads only then, gets them.
func TestCloseWaitsForGracefulClose(t *testing.T) {
	r := NewReal()
	c, there := pipe(t, r)
	c.Start(newRecorder(), 5000)
	c.Send(func(b []byte) []byte { return append(b, "answer"...) })
	c.Close(true, []byte(", bye"))
	closed := make(chan struct{})
	go func() { r.Close(10 * time.Second); close(closed) }()
	<-r.ctx.Done()
	time.Sleep(20 * time.Millisecond) // what would cut it off does so at once
	if got, err := io.ReadAll(there); err != nil || string(got) != "answer, bye" {
		t.Errorf("%q, %v", got, err)
	}
	<-closed
}
