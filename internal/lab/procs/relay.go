package procs

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"sync"
	"time"
)

// Way is how bytes fare from one end of a connection to the other. A cut one holds them, as a network does that will bring them again
// later; so a connection that is made through it stands, and nothing comes.
type Way struct {
	Cut     bool
	Slow    time.Duration
	Trickle int // bytes a second, 0: as many as there are
}

// relay passes connections on to one address. Whose they are is known by where they come in, or by what they say first.
type relay struct {
	door net.Listener
	to   func() string                             // where it leads now, empty: nowhere
	who  func(first []byte) (name string, ok bool) // of the caller, by its first bytes; false as long as more are needed
	ways func(who string) (there, back Way)
	work sync.WaitGroup

	mu   sync.Mutex
	open map[*passed]bool
	shut bool
}

// passed is one connection.
type passed struct {
	near, far net.Conn
	who       string
}

const (
	chunk    = 8 << 10
	inFlight = 256 // chunks that are under way in one direction; more wait at the sender
	lookWay  = 5 * time.Millisecond
	firstFew = 4 << 10 // bytes by which a caller must have said who it is
	dialFar  = 2 * time.Second
)

// newRelay opens one on loopback.
func newRelay(to func() string, who func([]byte) (string, bool), ways func(string) (there, back Way)) (*relay, error) {
	door, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, fmt.Errorf("relay: %w", err)
	}
	r := &relay{door: door, to: to, who: who, ways: ways, open: map[*passed]bool{}}
	r.work.Go(func() {
		for {
			near, err := door.Accept()
			if err != nil {
				return
			}
			r.work.Go(func() { r.pass(near) })
		}
	})
	return r, nil
}

func (r *relay) address() string { return r.door.Addr().String() }

// pass joins a connection to the far end until either ends.
func (r *relay) pass(near net.Conn) {
	c := &passed{near: near}
	if !r.keep(c) {
		near.Close()
		return
	}
	defer r.end(c, false)
	var first []byte
	for known := false; !known; {
		b := make([]byte, chunk)
		n, err := near.Read(b)
		if first = append(first, b[:n]...); err != nil || len(first) > firstFew {
			return
		}
		c.who, known = r.who(first)
	}
	far, err := net.DialTimeout("tcp4", r.to(), dialFar)
	if err != nil {
		return
	}
	r.mu.Lock()
	c.far = far
	over := r.shut || !r.open[c]
	r.mu.Unlock()
	if over {
		far.Close()
		return
	}
	both := make(chan bool, 2)
	go func() {
		carry(far, io.MultiReader(bytes.NewReader(first), near), func() Way { there, _ := r.ways(c.who); return there })
		both <- true
	}()
	go func() {
		carry(near, far, func() Way { _, back := r.ways(c.who); return back })
		both <- true
	}()
	<-both
	r.end(c, false)
	<-both
}

func (r *relay) keep(c *passed) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.shut {
		return false
	}
	r.open[c] = true
	return true
}

// end closes both ends of a connection, by a reset if that is asked for.
func (r *relay) end(c *passed, reset bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.open[c] {
		return
	}
	delete(r.open, c)
	for _, x := range []net.Conn{c.near, c.far} {
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
	var all []*passed
	for c := range r.open {
		if c.who == who {
			all = append(all, c)
		}
	}
	r.mu.Unlock()
	for _, c := range all {
		r.end(c, true)
	}
}

func (r *relay) close() {
	r.door.Close()
	r.mu.Lock()
	r.shut = true
	var all []*passed
	for c := range r.open {
		all = append(all, c)
	}
	r.mu.Unlock()
	for _, c := range all {
		r.end(c, false)
	}
	r.work.Wait()
}

// carry copies until the source ends, each chunk as late as the way has it when it comes, and held while that is cut.
func carry(to net.Conn, from io.Reader, way func() Way) {
	type late struct {
		b  []byte
		at time.Time
	}
	under := make(chan late, inFlight)
	stop := make(chan bool)
	go func() {
		defer close(under)
		for {
			b := make([]byte, chunk)
			n, err := from.Read(b)
			if n > 0 {
				select {
				case under <- late{b[:n], time.Now().Add(way().Slow)}:
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
				time.Sleep(lookWay)
				if _, err := to.Write(nil); err != nil {
					return
				}
			}
			n := len(x.b)
			if w.Trickle > 0 {
				n = min(n, max(1, w.Trickle/20))
				time.Sleep(50 * time.Millisecond)
			}
			if _, err := to.Write(x.b[:n]); err != nil {
				return
			}
			x.b = x.b[n:]
		}
	}
}
