package env

import (
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"slices"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// realConn has a reader and a writer once it has begun.
type realConn struct {
	env          *Real
	netConn      net.Conn
	traffic      *trafficCounters
	wake         chan struct{}
	writerDone   chan struct{} // closed when all is written and the connection closed
	stallTimeout time.Duration
	raw          syscall.RawConn // where it is prompt

	mu            sync.Mutex
	started       bool
	writerRunning bool // a writer is there
	queue         []byte
	sent          uint64
	handedOver    uint64 // taken by the network
	inHandover    int    // with the writer: the network may have taken it already
	closing       bool
	graceful      bool
	final         []byte
	cause         error
	halfClosed    bool // half closed: its peer is waited for
}

func (r *Real) newConn(c net.Conn, count *trafficCounters) *realConn {
	wrapped := &realConn{env: r, netConn: c, traffic: count, wake: make(chan struct{}, 1), writerDone: make(chan struct{})}
	if s, ok := c.(syscall.Conn); ok && r.WriteThrough {
		wrapped.raw, _ = s.SyscallConn()
	}
	r.mu.Lock()
	if r.closed {
		wrapped.closing = true
		c.Close()
	} else {
		r.conns[wrapped] = true
		count.addOpened()
	}
	r.mu.Unlock()
	return wrapped
}

// finalWriteTimeout is how long last words may take.
const finalWriteTimeout = 50 * time.Millisecond

var readBuffers = sync.Pool{New: func() any { b := make([]byte, writeThroughReadBufferSize); return &b }}

func (c *realConn) Start(handler ConnHandler, stallTimeoutMs float64) {
	c.mu.Lock()
	c.started, c.stallTimeout = true, time.Duration(stallTimeoutMs*1e6)
	c.writerRunning = c.raw == nil || len(c.queue) > 0 // what was sent before it was begun is left for a writer
	needsWriter := c.writerRunning
	c.mu.Unlock()
	ok := (!needsWriter || c.env.spawn(c.writeLoop)) && c.env.spawn(func() {
		err := c.read(handler)
		c.shutDown(false, nil, err)
		<-c.writerDone
		c.mu.Lock()
		err = c.cause
		c.mu.Unlock()
		handler.OnClose(err)
		c.drain()
		c.netConn.Close()
		c.env.mu.Lock()
		c.env.removeConn(c)
		c.env.mu.Unlock()
	})
	if !ok {
		c.netConn.Close()
	}
}

// read hands over what comes until the connection ends.
func (c *realConn) read(handler ConnHandler) error {
	if c.raw == nil {
		b := make([]byte, readBufferSize)
		for {
			n, err := c.netConn.Read(b)
			if err = c.deliver(handler, b[:n], err); err != nil {
				return err
			}
		}
	}
	for {
		buffer, n, err := c.readAvailable()
		err = c.deliver(handler, (*buffer)[:n], err)
		readBuffers.Put(buffer)
		if err != nil {
			return err
		}
	}
}

// readAvailable waits for something to read, and reads it into memory that is to be given back.
func (c *realConn) readAvailable() (buffer *[]byte, n int, err error) {
	waitErr := c.raw.Read(func(fd uintptr) bool {
		buffer = readBuffers.Get().(*[]byte)
		for {
			n, err = syscall.Read(int(fd), *buffer)
			if err != syscall.EINTR {
				break
			}
		}
		if err == syscall.EAGAIN {
			readBuffers.Put(buffer)
			buffer = nil
		}
		return buffer != nil
	})
	if buffer == nil { // woken by an end
		buffer, n, err = readBuffers.Get().(*[]byte), 0, waitErr
	}
	n = max(n, 0)
	if err == nil && n == 0 {
		err = io.EOF
	}
	return buffer, n, err
}

// deliver hands over what was read; an error says that nothing more is.
func (c *realConn) deliver(handler ConnHandler, b []byte, err error) error {
	c.mu.Lock()
	closing := c.closing
	c.mu.Unlock()
	if closing {
		return ErrClosed
	}
	if len(b) > 0 {
		c.traffic.addReceived(len(b))
		handler.OnData(b)
	}
	if errors.Is(err, io.EOF) {
		handler.OnData(nil)
		return io.EOF
	}
	if err != nil {
		return fmt.Errorf("read: %w", err)
	}
	return nil
}

// drain reads on from a connection that ended softly, until its peer closes too: closed with bytes unread it would be reset,
// and what was handed over last could be lost to the peer.
func (c *realConn) drain() {
	c.mu.Lock()
	halfClosed := c.halfClosed
	c.mu.Unlock()
	if !halfClosed || !c.env.addLingering(c) {
		return
	}
	buffer := readBuffers.Get().(*[]byte)
	defer readBuffers.Put(buffer)
	_ = c.netConn.SetReadDeadline(time.Now().Add(lingerTimeout))
	for {
		if _, err := c.netConn.Read(*buffer); err != nil {
			break
		}
	}
	c.env.mu.Lock()
	if i := slices.Index(c.env.lingering, c); i >= 0 {
		c.env.lingering = slices.Delete(c.env.lingering, i, i+1)
	}
	c.env.mu.Unlock()
}

// addLingering notes a connection that waits for its peer to close; false if the world is closed.
func (r *Real) addLingering(c *realConn) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.closed {
		return false
	}
	limit := r.MaxLingering
	if limit == 0 {
		limit = defaultMaxLingering
	}
	if len(r.lingering) >= limit {
		r.lingering[0].netConn.Close()
		r.lingering = slices.Delete(r.lingering, 0, 1)
	}
	r.lingering = append(r.lingering, c)
	return true
}

// PeerClosed asks the kernel: it knows of a peer's end whatever lies unread before it.
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
	return closed || err != nil // one that is closed already
}

// writeLoop is the writer: it writes what is sent until the connection ends, or, where that is prompt, until nothing is left.
func (c *realConn) writeLoop() {
	var spare []byte
	for {
		c.mu.Lock()
		b, closing, graceful, final := c.queue, c.closing, c.graceful, c.final
		if len(b) == 0 && !closing && c.raw != nil {
			c.writerRunning = false
			_ = c.netConn.SetWriteDeadline(time.Time{})
			c.mu.Unlock()
			return
		}
		c.queue, spare = spare[:0], nil // never the same memory twice: one is written while the other fills
		if !closing || graceful {
			c.inHandover = len(b)
		}
		c.mu.Unlock()
		if closing {
			if graceful && c.writeAll(b) != nil {
				graceful = false
			}
			c.finishWriting(graceful, final)
			return
		}
		if len(b) == 0 {
			spare = b
			<-c.wake
			continue
		}
		if err := c.writeAll(b); err != nil {
			c.shutDown(false, nil, err)
		}
		if cap(b) <= 1<<16 { // a burst's memory is given back
			spare = b[:0]
		}
	}
}

// writeAll hands bytes to the kernel and counts those it took. A peer that takes some is waited for, however slow it is; once
// the connection is being ended, no longer than one that takes nothing.
func (c *realConn) writeAll(b []byte) error {
	for {
		_ = c.netConn.SetWriteDeadline(time.Now().Add(c.stallTimeout))
		n, err := c.netConn.Write(b)
		c.traffic.addSent(n)
		b = b[n:]
		slow := n > 0 && errors.Is(err, os.ErrDeadlineExceeded)
		c.mu.Lock()
		c.handedOver += uint64(n)
		c.inHandover = 0
		slow = slow && !c.closing
		if slow {
			c.inHandover = len(b)
		}
		c.mu.Unlock()
		if slow {
			continue
		}
		if err != nil {
			return fmt.Errorf("write: %w", err)
		}
		return nil
	}
}

// writeAvailable hands over what the network takes at once. c.mu is held and there is no writer.
func (c *realConn) writeAvailable() {
	for again := true; again; {
		again = false
		err := c.raw.Write(func(fd uintptr) bool {
			n, err := syscall.Write(int(fd), c.queue)
			c.traffic.addSent(n)
			again = err == syscall.EINTR
			if n > 0 {
				c.handedOver += uint64(n)
				c.queue = c.queue[:copy(c.queue, c.queue[n:])]
			}
			return true // what is left, and what is wrong, is the writer's
		})
		if err != nil {
			return
		}
	}
}

// finishWriting says the last words, as far as the peer listens, and closes the connection; this side of it alone, where it ends
// softly and its reader can wait for the peer.
func (c *realConn) finishWriting(graceful bool, final []byte) {
	if len(final) > 0 {
		_ = c.netConn.SetWriteDeadline(time.Now().Add(finalWriteTimeout))
		n, _ := c.netConn.Write(final) // the peer may be gone: then nobody is left to be told
		c.traffic.addSent(n)
	}
	if half, ok := c.netConn.(interface{ CloseWrite() error }); ok && graceful && half.CloseWrite() == nil {
		c.mu.Lock()
		c.halfClosed = true
		c.mu.Unlock()
	} else {
		c.netConn.Close()
	}
	close(c.writerDone)
}

func (c *realConn) Send(appendTo func(b []byte) []byte) (sent uint64, queued int, ok bool) {
	c.mu.Lock()
	if c.closing {
		c.mu.Unlock()
		return c.sent, 0, false
	}
	before := len(c.queue)
	c.queue = appendTo(c.queue)
	c.sent += uint64(len(c.queue) - before)
	c.traffic.sentMessages.Add(1)
	if c.raw != nil && c.started && !c.writerRunning {
		if c.writeAvailable(); len(c.queue) > 0 {
			c.writerRunning = c.env.spawn(c.writeLoop)
		}
	}
	sent, queued = c.sent, len(c.queue)
	c.mu.Unlock()
	if c.raw == nil || queued > 0 {
		c.wakeWriter()
	}
	return sent, queued, true
}

func (c *realConn) HandedOver() uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.handedOver + uint64(c.inHandover)
}

func (c *realConn) Unsend(sent uint64, n int) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closing || sent != c.sent || len(c.queue) < n {
		return false
	}
	c.queue = c.queue[:len(c.queue)-n]
	c.sent -= uint64(n)
	return true
}

func (c *realConn) Close(graceful bool, final []byte) { c.shutDown(graceful, final, ErrClosed) }

// shutDown ends the connection; the first reason counts.
func (c *realConn) shutDown(graceful bool, final []byte, cause error) {
	c.mu.Lock()
	first := !c.closing
	if first {
		c.closing, c.graceful, c.final, c.cause = true, graceful, final, cause
		_ = c.netConn.SetReadDeadline(time.Unix(1, 0)) // wakes the reader
		if !graceful {
			_ = c.netConn.SetWriteDeadline(time.Now().Add(finalWriteTimeout))
		}
	}
	started, writerRunning := c.started, c.writerRunning
	c.mu.Unlock()
	switch {
	case first && !started:
		c.netConn.Close()
		c.env.mu.Lock()
		c.env.removeConn(c)
		c.env.mu.Unlock()
	case first && !writerRunning:
		c.finishWriting(graceful, final)
	}
	c.wakeWriter()
}

func (c *realConn) wakeWriter() {
	select {
	case c.wake <- struct{}{}:
	default:
	}
}

// Bytes that are read at once. A prompt connection holds memory for them only while something is there to be read, and reads
// more: news of a peer that wants an ask no more is not to lie behind what it makes stale.
const (
	readBufferSize             = 4096
	writeThroughReadBufferSize = 16 << 10
)

// Bounds of connections that ended softly and wait for their peers to close too.
const (
	lingerTimeout       = time.Second
	defaultMaxLingering = 64
)
