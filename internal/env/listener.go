package env

import (
	"context"
	"crypto/tls"
	"errors"
	"fmt"
	"net"
	"slices"
	"sync"
	"sync/atomic"
	"time"
)

type realListener struct {
	env     *Real
	tcp     *net.TCPListener
	closing atomic.Bool
}

func (d *realListener) Address() string { return d.tcp.Addr().String() }

// Close has the door's goroutine let in who waits, then close it.
func (d *realListener) Close() {
	d.closing.Store(true)
	_ = d.tcp.SetDeadline(time.Unix(1, 0)) // wakes it
}

// acceptBacklog lets in all who wait already, then closes the door.
func (d *realListener) acceptBacklog(accept func(net.Conn)) {
	for end := time.Now().Add(backlogMax); time.Now().Before(end); {
		_ = d.tcp.SetDeadline(time.Now().Add(backlogIdle))
		netConn, err := d.tcp.Accept()
		if err != nil {
			break
		}
		accept(netConn)
	}
	d.env.mu.Lock()
	delete(d.env.listeners, d)
	d.env.mu.Unlock()
	d.tcp.Close()
}

// Listen takes connections on a goroutine of its own until the door is closed.
func (r *Real) Listen(address string, onAccept func(Conn)) (Listener, error) {
	var lc net.ListenConfig
	raw, err := lc.Listen(r.ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	tcp, ok := raw.(*net.TCPListener)
	if !ok {
		raw.Close()
		return nil, fmt.Errorf("%s: not a TCP address", address)
	}
	listener := &realListener{env: r, tcp: tcp}
	r.mu.Lock()
	r.listeners[listener] = true
	r.mu.Unlock()
	pending := &handshakes{}
	accept := func(c net.Conn) {
		if r.TLS != nil {
			r.handshake(c, pending, onAccept)
		} else {
			onAccept(r.newConn(c, &r.trafficByKind[Accepted]))
		}
	}
	r.spawn(func() {
		for {
			c, err := listener.tcp.Accept()
			switch {
			case err == nil:
				accept(c)
			case listener.closing.Load():
				listener.acceptBacklog(accept)
				return
			case errors.Is(err, net.ErrClosed) || r.ctx.Err() != nil:
				return
			default:
				time.Sleep(20 * time.Millisecond) // out of descriptors: others must close theirs first
			}
		}
	})
	return listener, nil
}

// handshakes is the handshakes under way at a door, in the order of their coming.
type handshakes struct {
	mu    sync.Mutex
	conns []net.Conn
}

// add takes one more. While too many are under way the oldest is closed: it had the longest time, and who is quick comes
// in whatever the number of those that begin one and say no more.
func (s *handshakes) add(c net.Conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.conns) >= maxHandshakes {
		s.conns[0].Close()
		s.conns = slices.Delete(s.conns, 0, 1)
	}
	s.conns = append(s.conns, c)
}

func (s *handshakes) remove(c net.Conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if i := slices.Index(s.conns, c); i >= 0 {
		s.conns = slices.Delete(s.conns, i, i+1)
	}
}

// handshake takes a connection when its handshake is done.
func (r *Real) handshake(netConn net.Conn, pending *handshakes, onAccept func(Conn)) {
	pending.add(netConn)
	ok := r.spawn(func() {
		ctx, stop := context.WithTimeout(r.ctx, handshakeTimeout)
		defer stop()
		secured := tls.Server(netConn, r.TLS)
		err := secured.HandshakeContext(ctx)
		pending.remove(netConn)
		if err != nil {
			netConn.Close()
			return
		}
		onAccept(r.newConn(secured, &r.trafficByKind[Accepted]))
	})
	if !ok {
		pending.remove(netConn)
		netConn.Close()
	}
}

const (
	backlogIdle = 2 * time.Millisecond // nobody came for so long: nobody waits
	backlogMax  = 100 * time.Millisecond
)

// Bounds of handshakes: who begins one and does not end it costs no more than a place for a moment.
const (
	maxHandshakes    = 64
	handshakeTimeout = 3 * time.Second
)
