package cluster

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"sync"
	"time"
)

// Route is how bytes pass in one direction of a connection. A cut route holds them, as a network does that retransmits them later: a
// connection that is made through it stays open, and nothing arrives.
type Route struct {
	Cut            bool
	Delay          time.Duration
	BytesPerSecond int // 0: no limit
}

// relay forwards connections to one address. It identifies the caller by the listener or by the first bytes of the connection.
type relay struct {
	listener net.Listener
	target   func() string                             // current address to forward to, empty: none
	callerOf func(first []byte) (name string, ok bool) // name of the caller, by its first bytes; false while more bytes are needed
	routes   func(who string) (there, back Route)
	tasks    sync.WaitGroup

	mu          sync.Mutex // guards the fields below, and those of the connections
	connections map[*relayedConn]bool
	accepted    int            // number of connections accepted so far
	resetBefore map[string]int // by caller: the number of connections accepted until its last reset
	closed      bool
}

// relayedConn is a connection that passes a relay.
type relayedConn struct {
	number         int // position in the order in which the relay accepted connections
	caller, callee net.Conn
	callerName     string // empty until the caller is identified
}

const (
	chunkBytes        = 8 << 10
	maxInFlight       = 256 // chunks in flight in one direction; the rest waits at the sender
	routePollInterval = 5 * time.Millisecond
	maxGreeting       = 4 << 10 // bytes within which a caller must have been identified
	dialTimeout       = 2 * time.Second
)

// newRelay opens a relay on a loopback address.
func newRelay(target func() string, callerOf func([]byte) (string, bool), routes func(string) (there, back Route)) (*relay, error) {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, fmt.Errorf("relay: %w", err)
	}
	r := &relay{listener: listener, target: target, callerOf: callerOf, routes: routes, connections: map[*relayedConn]bool{}, resetBefore: map[string]int{}}
	r.tasks.Go(func() {
		for {
			caller, err := listener.Accept()
			if err != nil {
				return
			}
			r.tasks.Go(func() { r.serve(caller) })
		}
	})
	return r, nil
}

// closeQuietly closes a connection, listener or file and ignores the error: it was closed already, or its peer has gone.
func closeQuietly(c io.Closer) { _ = c.Close() }

func (r *relay) address() string { return r.listener.Addr().String() }

// serve connects a caller to the target and forwards in both directions until either side ends.
func (r *relay) serve(caller net.Conn) {
	c := &relayedConn{caller: caller}
	if !r.register(c) {
		closeQuietly(caller)
		return
	}
	defer r.closeConn(c, false)
	name, first, ok := r.identify(caller)
	if !ok {
		return
	}
	if !r.setCaller(c, name) {
		r.closeConn(c, true)
		return
	}
	callee, err := net.DialTimeout("tcp4", r.target(), dialTimeout)
	if err != nil {
		return
	}
	if !r.setCallee(c, callee) {
		closeQuietly(callee)
		return
	}
	both := make(chan bool, 2)
	go func() {
		forward(callee, io.MultiReader(bytes.NewReader(first), caller), func() Route { there, _ := r.routes(name); return there })
		both <- true
	}()
	go func() {
		forward(caller, callee, func() Route { _, back := r.routes(name); return back })
		both <- true
	}()
	<-both
	r.closeConn(c, false)
	<-both
}

// identify reads the first bytes of a connection until they tell who the caller is. It returns the caller's name and the bytes read.
func (r *relay) identify(caller net.Conn) (name string, first []byte, ok bool) {
	for known := false; !known; {
		b := make([]byte, chunkBytes)
		n, err := caller.Read(b)
		if first = append(first, b[:n]...); err != nil || len(first) > maxGreeting {
			return "", nil, false
		}
		name, known = r.callerOf(first)
	}
	return name, first, true
}

// register adds a new connection. It returns false if the relay is closed.
func (r *relay) register(c *relayedConn) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.closed {
		return false
	}
	r.accepted++
	c.number = r.accepted
	r.connections[c] = true
	return true
}

// setCaller records the caller of a connection. It returns false if the caller's connections have been reset since this one was accepted.
func (r *relay) setCaller(c *relayedConn, name string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	c.callerName = name
	return c.number > r.resetBefore[name]
}

// setCallee records the other end of a connection. It returns false if the connection has been closed meanwhile.
func (r *relay) setCallee(c *relayedConn, callee net.Conn) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.closed || !r.connections[c] {
		return false
	}
	c.callee = callee
	return true
}

// closeConn closes both ends of a connection, on request with a TCP reset.
func (r *relay) closeConn(c *relayedConn, reset bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.connections[c] {
		return
	}
	delete(r.connections, c)
	for _, x := range []net.Conn{c.caller, c.callee} {
		if x == nil {
			continue
		}
		if t, ok := x.(*net.TCPConn); ok && reset {
			_ = t.SetLinger(0)
		}
		closeQuietly(x)
	}
}

// reset closes all connections of a caller with a TCP reset. One whose caller is not identified yet is closed when it is.
func (r *relay) reset(caller string) {
	r.mu.Lock()
	r.resetBefore[caller] = r.accepted
	var all []*relayedConn
	for c := range r.connections {
		if c.callerName == caller {
			all = append(all, c)
		}
	}
	r.mu.Unlock()
	for _, c := range all {
		r.closeConn(c, true)
	}
}

func (r *relay) close() {
	closeQuietly(r.listener)
	r.mu.Lock()
	r.closed = true
	var all []*relayedConn
	for c := range r.connections {
		all = append(all, c)
	}
	r.mu.Unlock()
	for _, c := range all {
		r.closeConn(c, false)
	}
	r.tasks.Wait()
}

// forward copies until the source ends. Each chunk is delayed by the route's delay at the time that it is read, and held while the route
// is cut.
func forward(to net.Conn, from io.Reader, route func() Route) {
	type late struct {
		b  []byte
		at time.Time
	}
	inFlight := make(chan late, maxInFlight)
	stop := make(chan bool)
	go func() {
		defer close(inFlight)
		for {
			b := make([]byte, chunkBytes)
			n, err := from.Read(b)
			if n > 0 {
				select {
				case inFlight <- late{b[:n], time.Now().Add(route().Delay)}:
				case <-stop:
					return
				}
			}
			if err != nil {
				return
			}
		}
	}()
	defer close(stop)
	for chunk := range inFlight {
		time.Sleep(time.Until(chunk.at))
		for len(chunk.b) > 0 {
			w := route()
			for ; w.Cut; w = route() {
				time.Sleep(routePollInterval)
				if _, err := to.Write(nil); err != nil {
					return
				}
			}
			n := len(chunk.b)
			if w.BytesPerSecond > 0 {
				n = min(n, max(1, w.BytesPerSecond/20))
				time.Sleep(50 * time.Millisecond)
			}
			if _, err := to.Write(chunk.b[:n]); err != nil {
				return
			}
			chunk.b = chunk.b[n:]
		}
	}
}
