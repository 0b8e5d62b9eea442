package admin

import (
	"net"
	"sync"
)

// boundedListener accepts so many connections at once. More are closed at once, before any of their bytes is read.
type boundedListener struct {
	net.Listener
	slots chan struct{} // holds one for each open connection
}

func newBoundedListener(listener net.Listener, limit int) *boundedListener {
	return &boundedListener{Listener: listener, slots: make(chan struct{}, limit)}
}

// Accept waits for the next connection that has a slot.
func (l *boundedListener) Accept() (net.Conn, error) {
	for {
		conn, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		select {
		case l.slots <- struct{}{}:
			return &countedConn{Conn: conn, release: sync.OnceFunc(func() { <-l.slots })}, nil
		default:
			_ = conn.Close() // nothing was sent over it
		}
	}
}

// countedConn is a connection that gives its slot back when it closes.
type countedConn struct {
	net.Conn
	release func()
}

// Close closes the connection. It may be called more than once.
func (c *countedConn) Close() error {
	c.release()
	return c.Conn.Close()
}
