package env

import (
	"errors"
	"fmt"
	"net"
	"sync/atomic"
	"time"
)

// Times for accepting connections.
const (
	backlogIdle  = 2 * time.Millisecond   // if no connection comes for this long, the backlog counts as empty
	backlogMax   = 100 * time.Millisecond // limits how long a closing listener accepts its backlog
	acceptRetry  = 20 * time.Millisecond  // delays the next try after a failure to accept, as for lack of descriptors
	pastDeadline = 1                      // Unix time in seconds, in the past: as a deadline it ends a blocked call
)

// realListener is a TCP listener with a goroutine that accepts connections.
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
				conn := r.newConn(c, &r.trafficByKind[Accepted])
				conn.readPause = r.ReadPause
				onAccept(conn)
			}
		})
	})
	return l, nil
}

// Address implements Listener.
func (l *realListener) Address() string { return l.tcp.Addr().String() }

// Close implements Listener. The listener's goroutine accepts the backlog and then closes the socket.
func (l *realListener) Close() {
	l.closing.Store(true)
	_ = l.tcp.SetDeadline(time.Unix(pastDeadline, 0))
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

// acceptBacklog accepts the connections that wait in the kernel's backlog and then closes the socket.
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
