package admin

import (
	"net"
	"sync"
)

// boundedListener limits the number of open connections. Connections above the limit are closed immediately, before anything is read from
// them.
type boundedListener struct {
	net.Listener
	slots chan struct{} // holds one element for each open connection
}

func newBoundedListener(listener net.Listener, limit int) *boundedListener {
	return &boundedListener{Listener: listener, slots: make(chan struct{}, limit)}
}

// Accept waits for the next connection and returns it if a slot is free; otherwise it closes the connection and waits for another.
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
			_ = conn.Close() // nothing has been written to it
		}
	}
}

// countedConn is a connection that frees its slot when it is closed.
type countedConn struct {
	net.Conn
	release func()
}

// Close closes the connection. It may be called more than once.
func (c *countedConn) Close() error {
	c.release()
	return c.Conn.Close()
}
