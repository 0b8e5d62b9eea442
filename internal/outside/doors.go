package outside

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

type door struct {
	r       *Real
	l       *net.TCPListener
	closing atomic.Bool
}

func (d *door) Address() string { return d.l.Addr().String() }

// StopAccepting has the door's goroutine let in who waits, then close it.
func (d *door) StopAccepting() {
	d.closing.Store(true)
	_ = d.l.SetDeadline(time.Unix(1, 0)) // wakes it
}

// last lets in all who wait already, then closes the door.
func (d *door) last(in func(net.Conn)) {
	for end := time.Now().Add(lastAll); time.Now().Before(end); {
		_ = d.l.SetDeadline(time.Now().Add(lastCome))
		c, err := d.l.Accept()
		if err != nil {
			break
		}
		in(c)
	}
	d.r.mu.Lock()
	delete(d.r.doors, d)
	d.r.mu.Unlock()
	d.l.Close()
}

// Listen takes connections on a goroutine of its own until the door is closed.
func (r *Real) Listen(address string, came func(Conn)) (Listener, error) {
	var lc net.ListenConfig
	l, err := lc.Listen(r.ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	tcp, ok := l.(*net.TCPListener)
	if !ok {
		l.Close()
		return nil, fmt.Errorf("%s: not a TCP address", address)
	}
	d := &door{r: r, l: tcp}
	r.mu.Lock()
	r.doors[d] = true
	r.mu.Unlock()
	under := &shaking{}
	in := func(c net.Conn) {
		if r.TLS != nil {
			r.shake(c, under, came)
		} else {
			came(r.conn(c, &r.traffic[Accepted]))
		}
	}
	r.goes(func() {
		for {
			c, err := d.l.Accept()
			switch {
			case err == nil:
				in(c)
			case d.closing.Load():
				d.last(in)
				return
			case errors.Is(err, net.ErrClosed) || r.ctx.Err() != nil:
				return
			default:
				time.Sleep(20 * time.Millisecond) // out of descriptors: others must close theirs first
			}
		}
	})
	return d, nil
}

// shaking is the handshakes under way at a door, in the order of their coming.
type shaking struct {
	mu  sync.Mutex
	all []net.Conn
}

// add takes one more. While too many are under way the oldest is closed: it had the longest time, and who is quick comes
// in whatever the number of those that begin one and say no more.
func (s *shaking) add(c net.Conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.all) >= mostHandshakes {
		s.all[0].Close()
		s.all = slices.Delete(s.all, 0, 1)
	}
	s.all = append(s.all, c)
}

func (s *shaking) done(c net.Conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if i := slices.Index(s.all, c); i >= 0 {
		s.all = slices.Delete(s.all, i, i+1)
	}
}

// shake takes a connection when its handshake is done.
func (r *Real) shake(c net.Conn, under *shaking, came func(Conn)) {
	under.add(c)
	ok := r.goes(func() {
		ctx, stop := context.WithTimeout(r.ctx, shakeFor)
		defer stop()
		s := tls.Server(c, r.TLS)
		err := s.HandshakeContext(ctx)
		under.done(c)
		if err != nil {
			c.Close()
			return
		}
		came(r.conn(s, &r.traffic[Accepted]))
	})
	if !ok {
		under.done(c)
		c.Close()
	}
}

const (
	lastCome = 2 * time.Millisecond // nobody came for so long: nobody waits
	lastAll  = 100 * time.Millisecond
)

// Bounds of handshakes: who begins one and does not end it costs no more than a place for a moment.
const (
	mostHandshakes = 64
	shakeFor       = 3 * time.Second
)
