package env

import (
	"net"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// Time limits for closing a connection.
const (
	finalWriteTimeout = 50 * time.Millisecond // limits the write of the final bytes
	lingerTimeout     = time.Second           // limits how long a gracefully closed connection waits for its peer to close
)

// defaultMaxLingering is used where Real.MaxLingering is 0.
const defaultMaxLingering = 64

// realConn is a connection on a socket. After Start, a reader goroutine delivers what is received and a writer goroutine writes the queue. With
// write-through, the writer runs only while some of the queue could not be written immediately.
type realConn struct {
	env          *Real
	netConn      net.Conn
	traffic      *trafficCounters
	raw          syscall.RawConn // set with write-through, else nil
	wake         chan struct{}   // holds one signal for the writer
	writerDone   chan struct{}   // closed once everything is written and the socket is closed, at least for writing
	stallTimeout time.Duration   // set by Start
	readPause    time.Duration   // after a read that filled its buffer

	readMu     sync.Mutex // held while bytes are taken out of the socket; guards the fields below
	received   uint64     // bytes for which a call of OnData has returned
	delivering []byte     // bytes that were taken out of the socket after these

	readLate   []byte // bytes that were read when the connection was already being closed; used by the reader alone
	peerClosed bool   // the reader has met the end of the stream; used by the reader alone

	mu            sync.Mutex // guards the fields below; Real.mu may be taken under it
	started       bool
	writerRunning bool
	queue         []byte // bytes that are not passed to the network yet
	sent          uint64 // total of bytes that were queued
	written       uint64 // bytes that the network accepted
	inFlight      int    // bytes of the write in progress, of which the network may have accepted some
	closing       bool   // whether the connection is being closed; the fields below are set then
	graceful      bool
	final         []byte // written last
	cause         error  // why the connection ended
	halfClosed    bool   // the socket is closed only for writing: the reader waits for the peer to close
}

// newConn wraps a socket. If the environment is closed, the connection is closed too.
func (r *Real) newConn(netConn net.Conn, traffic *trafficCounters) *realConn {
	c := &realConn{env: r, netConn: netConn, traffic: traffic, wake: make(chan struct{}, 1), writerDone: make(chan struct{})}
	if s, ok := netConn.(syscall.Conn); ok && r.WriteThrough {
		c.raw, _ = s.SyscallConn()
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.closed {
		c.closing = true
		closeQuietly(netConn)
		return c
	}
	r.conns[c] = true
	traffic.addOpened()
	return c
}

// Start implements Conn.
func (c *realConn) Start(handler ConnHandler, stallTimeoutMs float64) {
	c.mu.Lock()
	c.started, c.stallTimeout = true, time.Duration(stallTimeoutMs*msToNs)
	c.writerRunning = c.raw == nil || len(c.queue) > 0 // a writer sends what was queued before Start
	needsWriter := c.writerRunning
	c.mu.Unlock()
	ok := (!needsWriter || c.env.spawn(c.writeLoop)) && c.env.spawn(func() { c.run(handler) })
	if !ok {
		closeQuietly(c.netConn)
	}
}

// run is the reader goroutine: it reads until the connection ends, waits for the writer, and closes the socket.
func (c *realConn) run(handler ConnHandler) {
	c.shutDown(closeRequest{cause: c.read(handler)})
	<-c.writerDone
	c.mu.Lock()
	cause := c.cause
	c.mu.Unlock()
	handler.OnClose(cause)
	c.drain(handler)
	c.discard()
}

// discard closes the socket and removes the connection from the environment.
func (c *realConn) discard() {
	closeQuietly(c.netConn)
	c.env.mu.Lock()
	defer c.env.mu.Unlock()
	c.env.removeConn(c)
}

// BytesWritten implements Conn.
func (c *realConn) BytesWritten() uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.written + uint64(c.inFlight)
}

// PeerClosed implements Conn. The kernel reports the peer's close even if there is unread data. Without write-through the kernel is not asked.
func (c *realConn) PeerClosed() bool {
	c.mu.Lock()
	closed := c.closing
	c.mu.Unlock()
	if c.raw == nil || closed {
		return closed
	}
	err := c.raw.Control(func(fd uintptr) {
		p := []unix.PollFd{{Fd: int32(fd), Events: unix.POLLRDHUP}}
		n, err := unix.Poll(p, 0)
		closed = err == nil && n == 1 && p[0].Revents&(unix.POLLRDHUP|unix.POLLHUP|unix.POLLERR) != 0
	})
	return closed || err != nil // an error means that the socket is closed
}

// Close implements Conn.
func (c *realConn) Close(graceful bool, final []byte) {
	c.shutDown(closeRequest{graceful, final, ErrClosed})
}

// closeRequest says how and why to close a connection.
type closeRequest struct {
	graceful bool
	final    []byte
	cause    error
}

// shutDown begins to close the connection. Only the first call has an effect.
func (c *realConn) shutDown(request closeRequest) {
	c.mu.Lock()
	first := !c.closing
	if first {
		c.closing, c.graceful, c.final, c.cause = true, request.graceful, request.final, request.cause
		_ = c.netConn.SetReadDeadline(time.Unix(pastDeadline, 0))
		if !request.graceful {
			_ = c.netConn.SetWriteDeadline(time.Now().Add(finalWriteTimeout))
		}
	}
	started, writerRunning := c.started, c.writerRunning
	c.mu.Unlock()
	switch {
	case first && !started:
		c.discard()
	case first && !writerRunning:
		c.finishWriting(request.graceful, request.final)
	}
	c.wakeWriter()
}
