package env

import (
	"errors"
	"fmt"
	"io"
	"slices"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// Sizes of read buffers in bytes. With write-through, a connection holds a buffer only while there is something to read, and the buffer is larger,
// so that a message and one that cancels it are read together where possible.
const (
	readBufferSize             = 4096
	writeThroughReadBufferSize = 16 << 10
)

var readBuffers = sync.Pool{New: func() any { b := make([]byte, writeThroughReadBufferSize); return &b }}

// read delivers what is received until the connection ends, and returns the reason.
func (c *realConn) read(handler ConnHandler) error {
	if c.raw != nil {
		return c.readPooled(handler)
	}
	b := make([]byte, readBufferSize)
	for {
		n, err := c.netConn.Read(b)
		if err = c.deliver(handler, b[:n], err); err != nil {
			return err
		}
	}
}

// readPooled does the same as read with buffers from a pool that connections share.
func (c *realConn) readPooled(handler ConnHandler) error {
	for {
		buffer, n, err := c.readAvailable()
		err = c.deliver(handler, (*buffer)[:n], err)
		c.finishDelivery()
		readBuffers.Put(buffer)
		if err != nil {
			return err
		}
		if n == writeThroughReadBufferSize {
			time.Sleep(c.readPause)
		}
	}
}

// readAvailable waits for something to read and reads it into a buffer of the pool, which the caller returns to it. The end of the stream is
// io.EOF.
func (c *realConn) readAvailable() (buffer *[]byte, n int, err error) {
	waitErr := c.raw.Read(func(fd uintptr) bool {
		buffer = takeReadBuffer()
		n, err = c.takeFromSocket(int(fd), *buffer)
		if errors.Is(err, syscall.EAGAIN) {
			readBuffers.Put(buffer)
			buffer = nil
		}
		return buffer != nil
	})
	if buffer == nil { // the deadline has passed, or the socket is closed
		buffer, n, err = takeReadBuffer(), 0, waitErr
	}
	n = max(n, 0)
	if err == nil && n == 0 {
		err = io.EOF
	}
	return buffer, n, err
}

// takeFromSocket reads from the socket into a buffer. Until finishDelivery is called, the bytes read count as unread.
func (c *realConn) takeFromSocket(fd int, buffer []byte) (n int, err error) {
	c.readMu.Lock()
	defer c.readMu.Unlock()
	n, err = readRetrying(fd, buffer)
	c.delivering = buffer[:max(n, 0)]
	return n, err
}

// finishDelivery records that OnData has returned for the bytes that were read last.
func (c *realConn) finishDelivery() {
	c.readMu.Lock()
	defer c.readMu.Unlock()
	c.received += uint64(len(c.delivering))
	c.delivering = nil
}

// Unread implements Conn. Without write-through the socket is not looked at.
func (c *realConn) Unread(buffer []byte) (from uint64, unread []byte) {
	if c.raw == nil {
		return 0, buffer
	}
	c.readMu.Lock()
	defer c.readMu.Unlock()
	unread = append(buffer, c.delivering...)
	_ = c.raw.Control(func(fd uintptr) { unread = appendSocketData(int(fd), unread) }) // an error means that the socket is closed
	return c.received, unread
}

// appendSocketData appends what can be read from a socket, without taking it out of the socket.
func appendSocketData(fd int, b []byte) []byte {
	waiting, err := unix.IoctlGetInt(fd, unix.TIOCINQ)
	if err != nil || waiting <= 0 {
		return b
	}
	before := len(b)
	b = slices.Grow(b, min(waiting, MaxUnread))
	n, _, err := unix.Recvfrom(fd, b[before:before+min(waiting, MaxUnread)], unix.MSG_PEEK|unix.MSG_DONTWAIT)
	if err != nil {
		return b[:before]
	}
	return b[:before+n]
}

func takeReadBuffer() *[]byte {
	buffer, _ := readBuffers.Get().(*[]byte) // the pool holds no other type
	return buffer
}

// readRetrying reads from a socket and retries after EINTR.
func readRetrying(fd int, b []byte) (n int, err error) {
	for {
		if n, err = syscall.Read(fd, b); !errors.Is(err, syscall.EINTR) {
			return n, err
		}
	}
}

// deliver passes received bytes to the handler. It returns an error if reading has to stop.
func (c *realConn) deliver(handler ConnHandler, b []byte, err error) error {
	c.mu.Lock()
	closing := c.closing
	c.mu.Unlock()
	if closing {
		c.readLate = append(c.readLate, b...)
		c.peerClosed = errors.Is(err, io.EOF)
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

// drain keeps reading from a connection that was closed gracefully until its peer closes too: closing a socket with unread bytes resets the
// connection, and the peer could lose the last bytes that were sent. What is read is delivered to a LateReader and discarded for other handlers.
func (c *realConn) drain(handler ConnHandler) {
	c.mu.Lock()
	halfClosed, closedHere := c.halfClosed, c.graceful
	c.mu.Unlock()
	late, wanted := handler.(LateReader)
	if !wanted {
		late = discardingReader{handler}
	}
	complete := halfClosed && c.drainInto(late)
	if closedHere {
		late.OnPeerDone(complete)
	}
}

// drainInto delivers what the peer still sends. It returns whether the peer has closed the connection in time.
func (c *realConn) drainInto(late LateReader) (complete bool) {
	if len(c.readLate) > 0 {
		c.traffic.addReceived(len(c.readLate))
		late.OnLateData(c.readLate)
	}
	if c.peerClosed {
		return true
	}
	if !c.env.addLingering(c) {
		return false
	}
	defer c.env.removeLingering(c)
	buffer := takeReadBuffer()
	defer readBuffers.Put(buffer)
	_ = c.netConn.SetReadDeadline(time.Now().Add(lingerTimeout))
	for {
		n, err := c.netConn.Read(*buffer)
		if n > 0 {
			c.traffic.addReceived(n)
			late.OnLateData((*buffer)[:n])
		}
		if err != nil {
			return errors.Is(err, io.EOF)
		}
	}
}

// discardingReader is the LateReader of handlers that want nothing more after they have closed a connection.
type discardingReader struct{ ConnHandler }

// OnLateData implements LateReader.
func (discardingReader) OnLateData([]byte) {}

// OnPeerDone implements LateReader.
func (discardingReader) OnPeerDone(bool) {}

// addLingering adds a connection that waits for its peer to close. If there are too many, the oldest is closed completely. It returns false if
// the environment is closed.
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
		closeQuietly(r.lingering[0].netConn)
		r.lingering = slices.Delete(r.lingering, 0, 1)
	}
	r.lingering = append(r.lingering, c)
	return true
}

// removeLingering removes a connection that no longer waits for its peer.
func (r *Real) removeLingering(c *realConn) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if i := slices.Index(r.lingering, c); i >= 0 {
		r.lingering = slices.Delete(r.lingering, i, i+1)
	}
}
