package env

import (
	"context"
	"io"
	"net"
	"strings"
	"testing"
	"time"
)

// connectedPair returns both ends of a write-through connection on loopback: the accepted one, started with handler, and the one that dialed.
func connectedPair(t *testing.T, r *Real, handler ConnHandler, stallTimeoutMs float64) (Conn, *net.TCPConn) {
	t.Helper()
	r.WriteThrough = true
	accepted := make(chan Conn, 1)
	l, err := r.Listen("127.0.0.1:0", func(c Conn) { c.Start(handler, stallTimeoutMs); accepted <- c })
	if err != nil {
		t.Fatal(err)
	}
	remote, err := net.Dial("tcp", l.Address())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { closeQuietly(remote) })
	return <-accepted, remote.(*net.TCPConn)
}

// blockedHandler is a ConnHandler whose OnData blocks until release is closed.
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

// waitUntil waits until a condition holds, and fails the test after 20 s, which is enough for a busy machine.
func waitUntil(t *testing.T, condition string, holds func() bool) {
	t.Helper()
	for end := time.Now().Add(20 * time.Second); !holds(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("not within 20 s: %s", condition)
		}
	}
}

// TestPeerClosed checks that PeerClosed reports a peer's close while data that it sent before is still unread, for each way to close.
func TestPeerClosed(t *testing.T) {
	for name, closePeer := range map[string]func(c *net.TCPConn){
		"closes":             func(c *net.TCPConn) { closeQuietly(c) },
		"closes for writing": func(c *net.TCPConn) { _ = c.CloseWrite() },
		"resets":             func(c *net.TCPConn) { _ = c.SetLinger(0); closeQuietly(c) },
	} {
		t.Run(name, func(t *testing.T) {
			r := NewReal()
			defer r.Close(5 * time.Second)
			h := newBlockedHandler()
			c, peer := connectedPair(t, r, h, 1000)
			_, _ = peer.Write([]byte("first"))
			<-h.data // the reader goroutine is blocked from here on
			_, _ = peer.Write([]byte("unread"))
			if c.PeerClosed() {
				t.Error("PeerClosed is true before the peer closes")
			}
			closePeer(peer)
			waitUntil(t, "PeerClosed reports the close", c.PeerClosed)
			close(h.release)
			if err := <-h.closed; err == nil {
				t.Error("OnClose got no error, want the cause")
			}
			if !c.PeerClosed() {
				t.Error("PeerClosed is false after the connection ended")
			}
		})
	}
}

// TestUnread checks that Unread returns what was received and not processed yet, whether the reader has taken it out of the socket or not.
func TestUnread(t *testing.T) {
	r := NewReal()
	defer r.Close(5 * time.Second)
	h := newBlockedHandler()
	c, peer := connectedPair(t, r, h, 5000)
	waitForUnread := func(wantFrom uint64, want string) {
		t.Helper()
		var from uint64
		var unread []byte
		waitUntil(t, "Unread returns "+want, func() bool {
			from, unread = c.Unread([]byte("kept "))
			return string(unread) == "kept "+want
		})
		if from != wantFrom {
			t.Errorf("got position %d for %q, want %d", from, unread, wantFrom)
		}
	}
	waitForUnread(0, "")
	_, _ = peer.Write([]byte("first"))
	<-h.data // the reader goroutine is blocked from here on
	waitForUnread(0, "first")
	_, _ = peer.Write([]byte("second"))
	waitForUnread(0, "firstsecond")
	close(h.release)
	if got := <-h.data; got != "second" {
		t.Errorf("got data %q after a look at it, want %q", got, "second")
	}
	waitForUnread(uint64(len("firstsecond")), "")
}

// TestGracefulClose closes a connection gracefully while it has unread data, which must not reset it: the peer must read all that was sent and
// then EOF, even if it sends after the close or reads late. Once the peer closes, the connection must be removed.
func TestGracefulClose(t *testing.T) {
	for _, tc := range []struct{ sendsAfterClose, readsLate bool }{{false, false}, {true, false}, {false, true}, {true, true}} {
		r := NewReal()
		h := newBlockedHandler()
		c, peer := connectedPair(t, r, h, 1000)
		_, _ = peer.Write([]byte("first"))
		<-h.data
		_, _ = peer.Write([]byte("unread"))
		c.Send(func(b []byte) []byte { return append(b, "answer"...) })
		c.Close(true, []byte(", bye"))
		if tc.sendsAfterClose {
			_, _ = peer.Write([]byte("after the end"))
		}
		if tc.readsLate {
			close(h.release)
			if err := <-h.closed; err != ErrClosed { //nolint:errorlint // it has to be this error itself
				t.Error(err)
			}
			waitUntil(t, "the connection waits for its peer to close", func() bool { r.mu.Lock(); defer r.mu.Unlock(); return len(r.lingering) == 1 })
		}
		_ = peer.SetReadDeadline(time.Now().Add(20 * time.Second))
		if got, err := io.ReadAll(peer); err != nil || string(got) != "answer, bye" {
			t.Errorf("%+v: peer read %q, %v, want \"answer, bye\" and EOF", tc, got, err)
		}
		if !tc.readsLate {
			close(h.release)
			if err := <-h.closed; err != ErrClosed { //nolint:errorlint // it has to be this error itself
				t.Error(err)
			}
		}
		closeQuietly(peer)
		waitUntil(t, "the connection is removed", func() bool { r.mu.Lock(); defer r.mu.Unlock(); return len(r.conns)+len(r.lingering) == 0 })
		r.Close(5 * time.Second)
	}
}

// TestMaxLingering checks that the oldest connection is closed when too many wait for their peers to close.
func TestMaxLingering(t *testing.T) {
	r := NewReal()
	defer r.Close(5 * time.Second)
	r.MaxLingering = 2
	var all []*net.TCPConn
	for range 5 {
		handler := newRecorder()
		c, peer := connectedPair(t, r, handler, 1000)
		c.Close(true, nil)
		if err := <-handler.closed; err == nil {
			t.Error("OnClose got no error, want the cause")
		}
		all = append(all, peer)
	}
	waitUntil(t, "at most two connections are left", func() bool { r.mu.Lock(); defer r.mu.Unlock(); return len(r.conns) <= 2 && len(r.lingering) <= 2 })
	for i, peer := range all {
		_ = peer.SetReadDeadline(time.Now().Add(20 * time.Second))
		if got, err := io.ReadAll(peer); err != nil || len(got) > 0 {
			t.Errorf("connection %d: peer read %q, %v, want EOF only", i, got, err)
		}
	}
}

// TestListenerCloseAcceptsBacklog closes a listener while connections wait in the kernel's backlog: each must be passed to onAccept, with what its
// peer sent, before the address refuses connections.
func TestListenerCloseAcceptsBacklog(t *testing.T) {
	r := NewReal()
	defer r.Close(5 * time.Second)
	r.WriteThrough = true
	release, received := make(chan struct{}), make(chan string, 1<<16) // connections that only check the address are received too
	accepted := make(chan bool, 100)
	l, err := r.Listen("127.0.0.1:0", func(c Conn) {
		select {
		case accepted <- true:
		default: // a connection that only checks whether the address is closed
		}
		<-release
		c.Start(&recorder{received, make(chan error, 1)}, 1000)
	})
	if err != nil {
		t.Fatal(err)
	}
	const n = 20
	for i := range n {
		c, err := net.Dial("tcp", l.Address())
		if err != nil {
			t.Fatal(err)
		}
		defer closeQuietly(c)
		_, _ = c.Write([]byte("ask"))
		if i == 0 {
			<-accepted // the others wait in the backlog behind it
		}
	}
	l.Close()
	close(release)
	for i := range n {
		select {
		case got := <-received:
			if got != "ask" {
				t.Errorf("received %q, want \"ask\"", got)
			}
		case <-time.After(20 * time.Second):
			t.Fatalf("%d connections were accepted, want %d", i, n)
		}
	}
	waitUntil(t, "the address refuses connections", func() bool {
		c, err := net.Dial("tcp", l.Address())
		if err == nil {
			closeQuietly(c)
		}
		return err != nil
	})
}

// TestSlowReader has a peer read one byte at a time, for longer than the stall timeout in all: it must receive everything.
func TestSlowReader(t *testing.T) {
	r := NewReal()
	defer r.Close(5 * time.Second)
	local, peer := net.Pipe() // net.Pipe has no buffer: bytes that are not read were not accepted
	defer closeQuietly(peer)
	r.Connect = func(context.Context, string) (net.Conn, error) { return local, nil }
	dialed := make(chan Conn, 1)
	r.Dial("", 1000, func(c Conn, _ error) { dialed <- c })
	c := <-dialed
	handler := newRecorder()
	const stallTimeoutMs = 200
	c.Start(handler, stallTimeoutMs)
	text := strings.Repeat("x", 30)
	startedAt := time.Now()
	c.Send(func(b []byte) []byte { return append(b, text...) })
	got := 0
	for one := make([]byte, 1); got < len(text); got++ {
		if _, err := io.ReadFull(peer, one); err != nil {
			t.Fatalf("read only %d bytes: %v", got, err)
		}
		for time.Since(startedAt) < time.Duration(got+1)*20*time.Millisecond { // 600 ms in all
			time.Sleep(time.Millisecond)
		}
	}
	select {
	case err := <-handler.closed:
		t.Errorf("connection ended with %v, want it open", err)
	default:
	}
}

// TestCloseWaitsForGracefulClose closes an environment while a connection that was closed gracefully still has bytes to send: its peer, which reads
// only then, must receive them.
func TestCloseWaitsForGracefulClose(t *testing.T) {
	r := NewReal()
	c, peer := pipe(t, r)
	c.Start(newRecorder(), 5000)
	c.Send(func(b []byte) []byte { return append(b, "answer"...) })
	c.Close(true, []byte(", bye"))
	closed := make(chan struct{})
	go func() { r.Close(10 * time.Second); close(closed) }()
	<-r.ctx.Done()
	time.Sleep(20 * time.Millisecond) // an environment that dropped the bytes would do so at once
	if got, err := io.ReadAll(peer); err != nil || string(got) != "answer, bye" {
		t.Errorf("peer read %q, %v, want \"answer, bye\" and EOF", got, err)
	}
	<-closed
}
