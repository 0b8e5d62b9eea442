package env

import (
	"context"
	"io"
	"net"
	"strings"
	"testing"
	"time"
)

// dialedPair gives both ends of a prompt connection on loopback, the far one from outside. The near one's peer is held in its first Heard
// until hold is closed.
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
	t.Cleanup(func() { remote.Close() })
	return <-made, remote.(*net.TCPConn)
}

// blockedHandler is a peer that is held in what it hears.
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

// until waits for something that comes to be.
func until(t *testing.T, what string, is func() bool) {
	t.Helper()
	for end := time.Now().Add(20 * time.Second); !is(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("never: %s", what)
		}
	}
}

// TestPeerClosed tells that a peer has gone while what it sent before lies unread, by each way there is of going.
func TestPeerClosed(t *testing.T) {
	for name, go_ := range map[string]func(c *net.TCPConn){
		"closes":      func(c *net.TCPConn) { c.Close() },
		"closes half": func(c *net.TCPConn) { _ = c.CloseWrite() },
		"resets":      func(c *net.TCPConn) { _ = c.SetLinger(0); c.Close() },
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
			<-h.closed
			if !c.PeerClosed() {
				t.Error("it is back")
			}
		})
	}
}

// TestGracefulClose ends a connection on which bytes lie unread: what was sent last is read whole, then an end, and no reset. The peer may
// send on, or never close: then the connection does not last.
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
			if err := <-h.closed; err != ErrClosed {
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
			if err := <-h.closed; err != ErrClosed {
				t.Error(err)
			}
		}
		there.Close()
		until(t, "it is closed", func() bool { r.mu.Lock(); defer r.mu.Unlock(); return len(r.conns)+len(r.lingering) == 0 })
		r.Close(5 * time.Second)
	}
}

// TestMaxLingering bounds the connections that wait for their peers to close: the first of them goes.
func TestMaxLingering(t *testing.T) {
	r := NewReal()
	defer r.Close(5 * time.Second)
	r.MaxLingering = 2
	var all []*net.TCPConn
	for range 5 {
		e := newRecorder()
		c, there := dialedPair(t, r, e, 1000)
		c.Close(true, nil)
		<-e.closed
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

// TestListenerCloseTakesBacklog closes a door at which some wait that the kernel has let in: each is given over, with what it sent, before nobody comes
// any more.
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
		defer c.Close()
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
			c.Close()
		}
		return err != nil
	})
}

// TestSlowReader has a peer that takes a little at a time, for longer than one that takes nothing is waited for: it gets all.
func TestSlowReader(t *testing.T) {
	r := NewReal()
	defer r.Close(5 * time.Second)
	here, there := net.Pipe() // it has no memory of its own: what is not read was not taken
	defer there.Close()
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

// TestCloseWaitsForGracefulClose closes a world while a connection that ended softly has words to hand over: they are handed over yet, as its peer
// takes them only then.
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
