package env

import (
	"context"
	"crypto/tls"
	"errors"
	"fmt"
	"net"
	"slices"
	"sync"
	"syscall"
	"time"
)

// Real is the world of sockets and of the machine's clock.
type Real struct {
	// Connect makes connections, over TCP if it is nil.
	Connect func(ctx context.Context, address string) (net.Conn, error)
	// TLS is the TLS that connections which are taken speak, none if it is nil.
	TLS *tls.Config
	// WriteThrough has what is sent leave with the call that sends it, as far as the network takes it at once, so that nothing
	// leaves later than it was decided; a writer is there only for what is left. Without it writers gather what is sent in a
	// moment, which costs less where many messages share a connection. Not for TLS.
	WriteThrough bool
	// MaxLingering is how many connections that ended softly are kept at most until their peers close too, 64 if it is 0. Beyond
	// that the oldest of them is closed for good.
	MaxLingering int
	// EndpointListAddress is the node list's, whose connection is counted apart from those to nodes.
	EndpointListAddress string

	trafficByKind [numKinds]trafficCounters

	startTime  time.Time
	startMs    float64
	ctx        context.Context
	cancel     context.CancelFunc
	goroutines sync.WaitGroup

	mu          sync.Mutex
	closed      bool
	timers      map[*realTimer]bool
	listeners   map[*realListener]bool
	packetConns map[*realPacketConn]bool
	conns       map[*realConn]bool
	lingering   []*realConn // ended softly and not closed, in the order of their ends
}

// NewReal begins a world. Its clock is told by the wall once, from then on by the monotonic clock alone.
func NewReal() *Real {
	now := time.Now()
	ctx, cancel := context.WithCancel(context.Background())
	return &Real{
		startTime: now, startMs: float64(now.Sub(Epoch)) / 1e6, ctx: ctx, cancel: cancel, timers: map[*realTimer]bool{},
		listeners: map[*realListener]bool{}, packetConns: map[*realPacketConn]bool{}, conns: map[*realConn]bool{},
	}
}

// Close ends all that runs in the world and waits for it: timers are stopped, doors and connections closed. A loop's
// turn that stands still is waited for, as long as the time given.
func (r *Real) Close(wait time.Duration) {
	r.mu.Lock()
	r.closed = true
	for timer := range r.timers {
		if timer.timer.Stop() {
			delete(r.timers, timer)
			r.goroutines.Done()
		}
	}
	doors, conns, ports, linger := r.listeners, r.conns, r.packetConns, slices.Clone(r.lingering)
	r.listeners, r.conns, r.packetConns = map[*realListener]bool{}, map[*realConn]bool{}, map[*realPacketConn]bool{}
	r.mu.Unlock()
	r.cancel()
	for d := range doors {
		d.tcp.Close()
	}
	for c := range conns {
		c.Close(false, nil)
	}
	for _, c := range linger { // all is said on these; on others that end softly it is handed over yet
		c.netConn.Close()
	}
	for p := range ports {
		p.udp.Close()
	}
	done := make(chan struct{})
	go func() { r.goroutines.Wait(); close(done) }()
	select {
	case <-done:
	case <-time.After(wait):
	}
}

// spawn runs a goroutine that Close waits for; false if the world is closed.
func (r *Real) spawn(f func()) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.closed {
		return false
	}
	r.goroutines.Add(1)
	go func() {
		defer r.goroutines.Done()
		f()
	}()
	return true
}

// Now is ms since the Epoch.
func (r *Real) Now() float64 { return r.startMs + float64(time.Since(r.startTime))/1e6 }

// WallClock is the machine's clock.
func (r *Real) WallClock() time.Time { return time.Now() }

// Dial connects on a goroutine of its own.
func (r *Real) Dial(address string, timeoutMs float64, onDone func(Conn, error)) {
	connect := r.Connect
	if connect == nil {
		d := net.Dialer{KeepAliveConfig: net.KeepAliveConfig{
			Enable: true, Idle: 5 * time.Second, Interval: 2 * time.Second,
			Count: 3,
		}}
		connect = func(ctx context.Context, address string) (net.Conn, error) { return d.DialContext(ctx, "tcp", address) }
	}
	r.spawn(func() {
		ctx, cancel := context.WithTimeout(r.ctx, time.Duration(timeoutMs*1e6))
		defer cancel()
		c, err := connect(ctx, address)
		err = classifyDialError(err)
		if err != nil {
			onDone(nil, err)
			return
		}
		onDone(r.newConn(c, r.dialTraffic(address)), nil)
	})
}

// classifyDialError tells in the error of a dial whose want it was.
func classifyDialError(err error) error {
	if errors.Is(err, syscall.ECONNREFUSED) {
		return fmt.Errorf("%w: %w", ErrRefused, err)
	}
	for _, local := range []error{syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM, syscall.EADDRNOTAVAIL} {
		if errors.Is(err, local) {
			return fmt.Errorf("%w: %w", ErrExhausted, err)
		}
	}
	return err
}

// Bounds of letting in who waits at a door that closes.
