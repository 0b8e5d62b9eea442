package env

import (
	"errors"
	"fmt"
	"os"
	"syscall"
	"time"
)

// maxKeptQueue is the largest queue buffer in bytes that is kept for reuse. A larger one, left by a burst, is freed.
const maxKeptQueue = 1 << 16

// Send implements Conn.
func (c *realConn) Send(appendTo func(b []byte) []byte) (sent uint64, queued int, ok bool) {
	c.mu.Lock()
	if c.closing {
		defer c.mu.Unlock()
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

// Unsend implements Conn.
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

// wakeWriter signals the writer to check the queue.
func (c *realConn) wakeWriter() {
	select {
	case c.wake <- struct{}{}:
	default: // a signal is pending already
	}
}

// writeLoop is the writer goroutine. It writes the queue until the connection is closed or, with write-through, until the queue is empty.
func (c *realConn) writeLoop() {
	var spare []byte // buffer for the next queue: one is written while the other is filled
	for {
		b, state := c.takeQueue(spare)
		spare = nil
		switch state {
		case queueDone:
			return
		case queueClosing:
			c.writeLast(b)
			return
		case queueEmpty:
			spare = b
			<-c.wake
			continue
		}
		if err := c.writeAll(b); err != nil {
			c.shutDown(closeRequest{cause: err})
		}
		if cap(b) <= maxKeptQueue {
			spare = b[:0]
		}
	}
}

// queueState is the state in which the writer finds the queue.
type queueState uint8

const (
	queueFilled  queueState = iota // there are bytes to write
	queueEmpty                     // there is nothing to write for now
	queueClosing                   // the connection is being closed: this is the last write
	queueDone                      // there is nothing to write, and the writer ends
)

// takeQueue returns the queue and its state, and starts a new queue in the buffer spare.
func (c *realConn) takeQueue(spare []byte) ([]byte, queueState) {
	c.mu.Lock()
	defer c.mu.Unlock()
	b := c.queue
	if len(b) == 0 && !c.closing && c.raw != nil {
		c.writerRunning = false
		_ = c.netConn.SetWriteDeadline(time.Time{})
		return nil, queueDone
	}
	c.queue = spare[:0]
	if !c.closing || c.graceful {
		c.inFlight = len(b)
	}
	switch {
	case c.closing:
		return b, queueClosing
	case len(b) == 0:
		return b, queueEmpty
	}
	return b, queueFilled
}

// writeLast writes the rest of the queue if the connection is closed gracefully, and then the final bytes.
func (c *realConn) writeLast(b []byte) {
	c.mu.Lock()
	graceful, final := c.graceful, c.final
	c.mu.Unlock()
	if graceful && c.writeAll(b) != nil {
		graceful = false
	}
	c.finishWriting(graceful, final)
}

// writeAll writes to the network and counts the bytes that were accepted. It keeps writing to a slow peer as long as the peer accepts some bytes
// within each stall timeout. Once the connection is being closed, it stops at the first timeout.
func (c *realConn) writeAll(b []byte) error {
	for {
		_ = c.netConn.SetWriteDeadline(time.Now().Add(c.stallTimeout))
		n, err := c.netConn.Write(b)
		c.traffic.addSent(n)
		b = b[n:]
		slow := n > 0 && errors.Is(err, os.ErrDeadlineExceeded)
		c.mu.Lock()
		c.written += uint64(n)
		c.inFlight = 0
		slow = slow && !c.closing
		if slow {
			c.inFlight = len(b)
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

// writeAvailable writes what the socket accepts without blocking. The rest of the queue, and any error, is left to a writer. The caller holds
// realConn.mu, and no writer runs.
func (c *realConn) writeAvailable() {
	for again := true; again; {
		again = false
		err := c.raw.Write(func(fd uintptr) bool {
			n, err := syscall.Write(int(fd), c.queue)
			c.traffic.addSent(n)
			again = errors.Is(err, syscall.EINTR)
			if n > 0 {
				c.written += uint64(n)
				c.queue = c.queue[:copy(c.queue, c.queue[n:])]
			}
			return true
		})
		if err != nil {
			return
		}
	}
}

// finishWriting writes the final bytes, as far as the peer still receives, and closes the socket. After a graceful close it closes only the
// writing side, if the connection supports that.
func (c *realConn) finishWriting(graceful bool, final []byte) {
	defer close(c.writerDone)
	if len(final) > 0 {
		_ = c.netConn.SetWriteDeadline(time.Now().Add(finalWriteTimeout))
		n, _ := c.netConn.Write(final) // an error means that the peer no longer receives
		c.traffic.addSent(n)
	}
	half, ok := c.netConn.(interface{ CloseWrite() error })
	if !graceful || !ok || half.CloseWrite() != nil {
		closeQuietly(c.netConn)
		return
	}
	c.mu.Lock()
	c.halfClosed = true
	c.mu.Unlock()
}
