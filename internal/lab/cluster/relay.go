package cluster

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"sync"
	"time"
)

// Route is how bytes fare from one end of a connection to the other. A cut one holds them, as a network does that will bring them again
// later; so a connection that is made through it stands, and nothing comes.
type Route struct {
	Cut            bool
	Delay          time.Duration
	BytesPerSecond int // bytes a second, 0: as many as there are
}

// relay passes connections on to one address. Whose they are is known by where they come in, or by what they say first.
type relay struct {
	listener net.Listener
	target   func() string                             // where it leads now, empty: nowhere
	callerOf func(first []byte) (name string, ok bool) // of the caller, by its first bytes; false as long as more are needed
	routes   func(who string) (there, back Route)
	tasks    sync.WaitGroup

	mu          sync.Mutex
	connections map[*relayedConn]bool
	closed      bool
}

// relayedConn is one connection.
type relayedConn struct {
	caller, callee net.Conn
	callerName     string
}

const (
	chunkBytes        = 8 << 10
	maxInFlight       = 256 // chunks that are under way in one direction; more wait at the sender
	routePollInterval = 5 * time.Millisecond
	maxGreeting       = 4 << 10 // bytes by which a caller must have said who it is
	dialTimeout       = 2 * time.Second
)

// newRelay opens one on loopback.
func newRelay(to func() string, who func([]byte) (string, bool), ways func(string) (there, back Route)) (*relay, error) {
	door, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, fmt.Errorf("relay: %w", err)
	}
	r := &relay{listener: door, target: to, callerOf: who, routes: ways, connections: map[*relayedConn]bool{}}
	r.tasks.Go(func() {
		for {
			near, err := door.Accept()
			if err != nil {
				return
			}
			r.tasks.Go(func() { r.serve(near) })
		}
	})
	return r, nil
}

func (r *relay) address() string { return r.listener.Addr().String() }

// serve joins a connection to the far end until either ends.
func (r *relay) serve(near net.Conn) {
	c := &relayedConn{caller: near}
	if !r.register(c) {
		near.Close()
		return
	}
	defer r.closeConn(c, false)
	var first []byte
	for known := false; !known; {
		b := make([]byte, chunkBytes)
		n, err := near.Read(b)
		if first = append(first, b[:n]...); err != nil || len(first) > maxGreeting {
			return
		}
		c.callerName, known = r.callerOf(first)
	}
	far, err := net.DialTimeout("tcp4", r.target(), dialTimeout)
	if err != nil {
		return
	}
	r.mu.Lock()
	c.callee = far
	over := r.closed || !r.connections[c]
	r.mu.Unlock()
	if over {
		far.Close()
		return
	}
	both := make(chan bool, 2)
	go func() {
		forward(far, io.MultiReader(bytes.NewReader(first), near), func() Route { there, _ := r.routes(c.callerName); return there })
		both <- true
	}()
	go func() {
		forward(near, far, func() Route { _, back := r.routes(c.callerName); return back })
		both <- true
	}()
	<-both
	r.closeConn(c, false)
	<-both
}

func (r *relay) register(c *relayedConn) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.closed {
		return false
	}
	r.connections[c] = true
	return true
}

// closeConn closes both ends of a connection, by a reset if that is asked for.
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
		x.Close()
	}
}

// reset breaks all connections of a caller.
func (r *relay) reset(who string) {
	r.mu.Lock()
	var all []*relayedConn
	for c := range r.connections {
		if c.callerName == who {
			all = append(all, c)
		}
	}
	r.mu.Unlock()
	for _, c := range all {
		r.closeConn(c, true)
	}
}

func (r *relay) close() {
	r.listener.Close()
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

// forward copies until the source ends, each chunk as late as the way has it when it comes, and held while that is cut.
func forward(to net.Conn, from io.Reader, way func() Route) {
	type late struct {
		b  []byte
		at time.Time
	}
	under := make(chan late, maxInFlight)
	stop := make(chan bool)
	go func() {
		defer close(under)
		for {
			b := make([]byte, chunkBytes)
			n, err := from.Read(b)
			if n > 0 {
				select {
				case under <- late{b[:n], time.Now().Add(way().Delay)}:
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
	for x := range under {
		time.Sleep(time.Until(x.at))
		for len(x.b) > 0 {
			w := way()
			for ; w.Cut; w = way() {
				time.Sleep(routePollInterval)
				if _, err := to.Write(nil); err != nil {
					return
				}
			}
			n := len(x.b)
			if w.BytesPerSecond > 0 {
				n = min(n, max(1, w.BytesPerSecond/20))
				time.Sleep(50 * time.Millisecond)
			}
			if _, err := to.Write(x.b[:n]); err != nil {
				return
			}
			x.b = x.b[n:]
		}
	}
}
