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

// TCP keep-alive settings of dialed connections.
const (
	keepAliveIdle     = 5 * time.Second
	keepAliveInterval = 2 * time.Second
	keepAliveCount    = 3
)

// Real is the environment with sockets and the machine's clock. Its exported fields have to be set before it is used.
type Real struct {
	// Connect opens connections; nil means over TCP.
	Connect func(ctx context.Context, address string) (net.Conn, error)
	// TLS is the configuration for accepted connections; nil means plain TCP.
	TLS *tls.Config
	// WriteThrough makes Send write immediately what the socket accepts, so that a message leaves as soon as it is decided; a writer goroutine
	// runs only while something is left. Without it, a writer goroutine batches messages that are sent close together, which costs less where
	// many messages share a connection. It does not apply to TLS.
	WriteThrough bool
	// MaxLingering limits the number of connections that were closed gracefully and wait for their peers to close too; 0 means 64. Beyond it, the
	// oldest is closed completely.
	MaxLingering int
	// ReadPause is how long an accepted connection is not read after a read has filled its buffer, with WriteThrough. It leaves the processor to others while
	// one peer sends without end.
	ReadPause time.Duration
	// EndpointListAddress is the address of the endpoint list, whose connection is counted apart from those to nodes.
	EndpointListAddress string

	trafficByKind [numKinds]trafficCounters

	startTime  time.Time
	startMs    float64
	ctx        context.Context //nolint:containedctx // it is the lifetime of the environment itself, which Close ends
	cancel     context.CancelFunc
	goroutines sync.WaitGroup // counts timers that have not fired, too

	mu          sync.Mutex // guards the fields below; realConn.mu is never taken under it
	closed      bool
	timers      map[*realTimer]bool
	listeners   map[*realListener]bool
	packetConns map[*realPacketConn]bool
	conns       map[*realConn]bool
	lingering   []*realConn // connections that were closed gracefully and whose peers have not closed, in order of closing
}

// NewReal returns an environment. Its clock is set from the machine's clock once, and is monotonic from then on.
func NewReal() *Real {
	now := time.Now()
	ctx, cancel := context.WithCancel(context.Background())
	return &Real{
		startTime: now, startMs: float64(now.Sub(Epoch)) / msToNs, ctx: ctx, cancel: cancel, timers: map[*realTimer]bool{},
		listeners: map[*realListener]bool{}, packetConns: map[*realPacketConn]bool{}, conns: map[*realConn]bool{},
	}
}

// Close stops all timers, closes all listeners and connections, and waits for the goroutines of the environment, but no longer than wait, as a
// callback may hang.
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
	for _, c := range lingering { // these have sent all; others that are being closed gracefully still send their queues
		closeQuietly(c.netConn)
	}
	for p := range packetConns {
		closeQuietly(p.udp)
	}
	r.waitForGoroutines(wait)
}

// waitForGoroutines waits for all goroutines, but no longer than wait.
func (r *Real) waitForGoroutines(wait time.Duration) {
	done := make(chan struct{})
	go func() { r.goroutines.Wait(); close(done) }()
	select {
	case <-done:
	case <-time.After(wait):
	}
}

// closeQuietly closes a socket and ignores the error: it means that the socket was closed already or that its peer has gone, and in either case
// the socket is closed.
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

// Dial implements Environment. Each dial runs on its own goroutine.
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

// exhaustionErrors are the errors of a dial that mean that this machine lacks a resource.
var exhaustionErrors = []error{syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM, syscall.EADDRNOTAVAIL}

// classifyDialError wraps the error of a dial in ErrRefused or ErrExhausted if it has that cause.
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
