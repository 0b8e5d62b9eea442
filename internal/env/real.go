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

// msToNs is the number of nanoseconds in a millisecond.
const msToNs = 1e6

// TCP keep-alive of dialed connections.
const (
	keepAliveIdle     = 5 * time.Second
	keepAliveInterval = 2 * time.Second
	keepAliveCount    = 3
)

// Real is the environment of sockets and of the machine's clock. Its exported fields are set before it is used.
type Real struct {
	// Connect makes connections, over TCP if it is nil.
	Connect func(ctx context.Context, address string) (net.Conn, error)
	// TLS is the configuration of accepted connections, which speak plain TCP if it is nil.
	TLS *tls.Config
	// WriteThrough has Send write as much as the network takes at once, so that nothing is sent later than it was decided; a writer goroutine
	// exists only while something is left. Without it a writer goroutine gathers what is sent in a moment, which costs less where many messages
	// share a connection. It does not apply to TLS.
	WriteThrough bool
	// MaxLingering bounds the connections that were closed gracefully and wait for their peers to close too; 64 if it is 0. Beyond it the oldest
	// is closed for good.
	MaxLingering int
	// EndpointListAddress is the address of the endpoint list, whose connection is counted apart from those to nodes.
	EndpointListAddress string

	trafficByKind [numKinds]trafficCounters

	startTime  time.Time
	startMs    float64
	ctx        context.Context //nolint:containedctx // it is the environment's own lifetime, which Close ends
	cancel     context.CancelFunc
	goroutines sync.WaitGroup // and timers that have not fired

	mu          sync.Mutex // guards the fields below; realConn.mu is never taken under it
	closed      bool
	timers      map[*realTimer]bool
	listeners   map[*realListener]bool
	packetConns map[*realPacketConn]bool
	conns       map[*realConn]bool
	lingering   []*realConn // closed gracefully, with peers that have not closed, in the order of their closing
}

// NewReal returns an environment. Its clock is set by the machine's clock once, and is monotonic from then on.
func NewReal() *Real {
	now := time.Now()
	ctx, cancel := context.WithCancel(context.Background())
	return &Real{
		startTime: now, startMs: float64(now.Sub(Epoch)) / msToNs, ctx: ctx, cancel: cancel, timers: map[*realTimer]bool{},
		listeners: map[*realListener]bool{}, packetConns: map[*realPacketConn]bool{}, conns: map[*realConn]bool{},
	}
}

// Close stops all timers, closes all listeners and connections, and waits for the goroutines of the environment, but no longer than the time
// given: a callback may hang.
func (r *Real) Close(wait time.Duration) {
	r.mu.Lock()
	r.closed = true
	for timer := range r.timers {
		if timer.timer.Stop() {
			delete(r.timers, timer)
			r.goroutines.Done()
		}
	}
	listeners, conns, packetConns, lingering := r.listeners, r.conns, r.packetConns, slices.Clone(r.lingering)
	r.listeners, r.conns, r.packetConns = map[*realListener]bool{}, map[*realConn]bool{}, map[*realPacketConn]bool{}
	r.mu.Unlock()
	r.cancel()
	for l := range listeners {
		closeQuietly(l.tcp)
	}
	for c := range conns {
		c.Close(false, nil)
	}
	for _, c := range lingering { // all was handed over on these; others that are being closed gracefully still hand over their queues
		closeQuietly(c.netConn)
	}
	for p := range packetConns {
		closeQuietly(p.udp)
	}
	r.waitForGoroutines(wait)
}

// waitForGoroutines waits for all goroutines, but no longer than the time given.
func (r *Real) waitForGoroutines(wait time.Duration) {
	done := make(chan struct{})
	go func() { r.goroutines.Wait(); close(done) }()
	select {
	case <-done:
	case <-time.After(wait):
	}
}

// closeQuietly closes a socket. An error says that it was closed already, or that its peer has gone: either way it is closed.
func closeQuietly(c interface{ Close() error }) { _ = c.Close() }

// spawn runs a goroutine that Close waits for. It returns false if the environment is closed.
func (r *Real) spawn(f func()) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.closed {
		return false
	}
	r.goroutines.Go(f)
	return true
}

// Now implements Environment.
func (r *Real) Now() float64 { return r.startMs + float64(time.Since(r.startTime))/msToNs }

// WallClock implements Environment.
func (r *Real) WallClock() time.Time { return time.Now() }

// Dial implements Environment, on a goroutine for each dial.
func (r *Real) Dial(address string, timeoutMs float64, onDone func(Conn, error)) {
	connect := r.Connect
	if connect == nil {
		connect = connectTCP
	}
	r.spawn(func() {
		ctx, cancel := context.WithTimeout(r.ctx, time.Duration(timeoutMs*msToNs))
		defer cancel()
		c, err := connect(ctx, address)
		if err != nil {
			onDone(nil, classifyDialError(err))
			return
		}
		onDone(r.newConn(c, r.dialTraffic(address)), nil)
	})
}

func connectTCP(ctx context.Context, address string) (net.Conn, error) {
	dialer := net.Dialer{KeepAliveConfig: net.KeepAliveConfig{
		Enable: true, Idle: keepAliveIdle, Interval: keepAliveInterval, Count: keepAliveCount,
	}}
	return dialer.DialContext(ctx, "tcp", address)
}

// exhaustionErrors are the errors of a dial that say that this machine lacks a resource.
var exhaustionErrors = []error{syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM, syscall.EADDRNOTAVAIL}

// classifyDialError wraps the error of a dial in ErrRefused or ErrExhausted where it is one of them.
func classifyDialError(err error) error {
	if errors.Is(err, syscall.ECONNREFUSED) {
		return fmt.Errorf("%w: %w", ErrRefused, err)
	}
	for _, exhaustion := range exhaustionErrors {
		if errors.Is(err, exhaustion) {
			return fmt.Errorf("%w: %w", ErrExhausted, err)
		}
	}
	return err
}
