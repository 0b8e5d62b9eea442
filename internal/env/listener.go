package env

import (
	"errors"
	"fmt"
	"net"
	"sync/atomic"
	"time"
)

// Times of accepting.
const (
	backlogIdle    = 2 * time.Millisecond   // without a connection for so long the backlog is empty
	backlogMax     = 100 * time.Millisecond // that a closing listener takes for its backlog at most
	acceptRetry    = 20 * time.Millisecond  // after a failure to accept, as for want of descriptors
	wakingDeadline = 1                      // Unix time in the past: a deadline that ends a blocked call
)

// realListener accepts connections on a goroutine of its own.
type realListener struct {
	env     *Real
	tcp     *net.TCPListener
	closing atomic.Bool
}

// Listen implements Environment.
func (r *Real) Listen(address string, onAccept func(Conn)) (Listener, error) {
	var config net.ListenConfig
	raw, err := config.Listen(r.ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	tcp, ok := raw.(*net.TCPListener)
	if !ok {
		closeQuietly(raw)
		return nil, fmt.Errorf("%s: not a TCP address", address)
	}
	l := &realListener{env: r, tcp: tcp}
	r.mu.Lock()
	r.listeners[l] = true
	r.mu.Unlock()
	pending := &handshakes{}
	r.spawn(func() {
		l.acceptLoop(func(c net.Conn) {
			if r.TLS != nil {
				r.handshake(c, pending, onAccept)
			} else {
				onAccept(r.newConn(c, &r.trafficByKind[Accepted]))
			}
		})
	})
	return l, nil
}

// Address implements Listener.
func (l *realListener) Address() string { return l.tcp.Addr().String() }

// Close implements Listener. The listener's goroutine accepts the backlog, then closes the socket.
func (l *realListener) Close() {
	l.closing.Store(true)
	_ = l.tcp.SetDeadline(time.Unix(wakingDeadline, 0))
}

// acceptLoop accepts connections until the listener or the environment is closed.
func (l *realListener) acceptLoop(accept func(net.Conn)) {
	for {
		c, err := l.tcp.Accept()
		switch {
		case err == nil:
			accept(c)
		case l.closing.Load():
			l.acceptBacklog(accept)
			return
		case errors.Is(err, net.ErrClosed) || l.env.ctx.Err() != nil:
			return
		default:
			time.Sleep(acceptRetry)
		}
	}
}

// acceptBacklog accepts the connections that the kernel has accepted already, then closes the socket.
func (l *realListener) acceptBacklog(accept func(net.Conn)) {
	for end := time.Now().Add(backlogMax); time.Now().Before(end); {
		_ = l.tcp.SetDeadline(time.Now().Add(backlogIdle))
		c, err := l.tcp.Accept()
		if err != nil {
			break
		}
		accept(c)
	}
	l.env.mu.Lock()
	delete(l.env.listeners, l)
	l.env.mu.Unlock()
	closeQuietly(l.tcp)
}
