package outside

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

// conn has a reader and a writer once it has begun.
type conn struct {
	r     *Real
	c     net.Conn
	count *traffic
	wake  chan struct{}
	wrote chan struct{} // closed when all is written and the connection closed
	stuck time.Duration
	raw   syscall.RawConn // where it is prompt

	mu      sync.Mutex
	begun   bool
	writes  bool // a writer is there
	queue   []byte
	sent    uint64
	handed  uint64 // taken by the network
	inHand  int    // with the writer: the network may have taken it already
	shut    bool
	soft    bool
	last    []byte
	why     error
	lingers bool // half closed: its peer is waited for
}

func (r *Real) conn(c net.Conn, count *traffic) *conn {
	n := &conn{r: r, c: c, count: count, wake: make(chan struct{}, 1), wrote: make(chan struct{})}
	if s, ok := c.(syscall.Conn); ok && r.WriteThrough {
		n.raw, _ = s.SyscallConn()
	}
	r.mu.Lock()
	if r.closed {
		n.shut = true
		c.Close()
	} else {
		r.conns[n] = true
		count.begun()
	}
	r.mu.Unlock()
	return n
}

// farewell is how long last words may take.
const farewell = 50 * time.Millisecond

var buffers = sync.Pool{New: func() any { b := make([]byte, readPrompt); return &b }}

func (c *conn) Start(p ConnHandler, stuck float64) {
	c.mu.Lock()
	c.begun, c.stuck = true, time.Duration(stuck*1e6)
	c.writes = c.raw == nil || len(c.queue) > 0 // what was sent before it was begun is left for a writer
	writes := c.writes
	c.mu.Unlock()
	ok := (!writes || c.r.goes(c.write)) && c.r.goes(func() {
		err := c.read(p)
		c.stop(false, nil, err)
		<-c.wrote
		c.mu.Lock()
		err = c.why
		c.mu.Unlock()
		p.OnClose(err)
		c.drain()
		c.c.Close()
		c.r.mu.Lock()
		c.r.forget(c)
		c.r.mu.Unlock()
	})
	if !ok {
		c.c.Close()
	}
}

// read hands over what comes until the connection ends.
func (c *conn) read(p ConnHandler) error {
	if c.raw == nil {
		b := make([]byte, readAtOnce)
		for {
			n, err := c.c.Read(b)
			if err = c.took(p, b[:n], err); err != nil {
				return err
			}
		}
	}
	for {
		held, n, err := c.readable()
		err = c.took(p, (*held)[:n], err)
		buffers.Put(held)
		if err != nil {
			return err
		}
	}
}

// readable waits for something to read, and reads it into memory that is to be given back.
func (c *conn) readable() (held *[]byte, n int, err error) {
	waited := c.raw.Read(func(fd uintptr) bool {
		held = buffers.Get().(*[]byte)
		for {
			n, err = syscall.Read(int(fd), *held)
			if err != syscall.EINTR {
				break
			}
		}
		if err == syscall.EAGAIN {
			buffers.Put(held)
			held = nil
		}
		return held != nil
	})
	if held == nil { // woken by an end
		held, n, err = buffers.Get().(*[]byte), 0, waited
	}
	n = max(n, 0)
	if err == nil && n == 0 {
		err = io.EOF
	}
	return held, n, err
}

// took hands over what was read; an error says that nothing more is.
func (c *conn) took(p ConnHandler, b []byte, err error) error {
	c.mu.Lock()
	shut := c.shut
	c.mu.Unlock()
	if shut {
		return ErrClosed
	}
	if len(b) > 0 {
		c.count.received(len(b))
		p.OnData(b)
	}
	if errors.Is(err, io.EOF) {
		p.OnData(nil)
		return io.EOF
	}
	if err != nil {
		return fmt.Errorf("read: %w", err)
	}
	return nil
}

// drain reads on from a connection that ended softly, until its peer closes too: closed with bytes unread it would be reset,
// and what was handed over last could be lost to the peer.
func (c *conn) drain() {
	c.mu.Lock()
	lingers := c.lingers
	c.mu.Unlock()
	if !lingers || !c.r.lingering(c) {
		return
	}
	held := buffers.Get().(*[]byte)
	defer buffers.Put(held)
	_ = c.c.SetReadDeadline(time.Now().Add(lingerFor))
	for {
		if _, err := c.c.Read(*held); err != nil {
			break
		}
	}
	c.r.mu.Lock()
	if i := slices.Index(c.r.linger, c); i >= 0 {
		c.r.linger = slices.Delete(c.r.linger, i, i+1)
	}
	c.r.mu.Unlock()
}

// lingering notes a connection that waits for its peer to close; false if the world is closed.
func (r *Real) lingering(c *conn) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.closed {
		return false
	}
	most := r.MaxLingering
	if most == 0 {
		most = mostLinger
	}
	if len(r.linger) >= most {
		r.linger[0].c.Close()
		r.linger = slices.Delete(r.linger, 0, 1)
	}
	r.linger = append(r.linger, c)
	return true
}

// PeerClosed asks the kernel: it knows of a peer's end whatever lies unread before it.
func (c *conn) PeerClosed() bool {
	c.mu.Lock()
	left := c.shut
	c.mu.Unlock()
	if c.raw == nil || left {
		return left
	}
	err := c.raw.Control(func(fd uintptr) {
		p := []unix.PollFd{{Fd: int32(fd), Events: unix.POLLRDHUP}}
		n, err := unix.Poll(p, 0)
		left = err == nil && n == 1 && p[0].Revents&(unix.POLLRDHUP|unix.POLLHUP|unix.POLLERR) != 0
	})
	return left || err != nil // one that is closed already
}

// write is the writer: it writes what is sent until the connection ends, or, where that is prompt, until nothing is left.
func (c *conn) write() {
	var spare []byte
	for {
		c.mu.Lock()
		b, shut, soft, last := c.queue, c.shut, c.soft, c.last
		if len(b) == 0 && !shut && c.raw != nil {
			c.writes = false
			_ = c.c.SetWriteDeadline(time.Time{})
			c.mu.Unlock()
			return
		}
		c.queue, spare = spare[:0], nil // never the same memory twice: one is written while the other fills
		if !shut || soft {
			c.inHand = len(b)
		}
		c.mu.Unlock()
		if shut {
			if soft && c.hand(b) != nil {
				soft = false
			}
			c.close(soft, last)
			return
		}
		if len(b) == 0 {
			spare = b
			<-c.wake
			continue
		}
		if err := c.hand(b); err != nil {
			c.stop(false, nil, err)
		}
		if cap(b) <= 1<<16 { // a burst's memory is given back
			spare = b[:0]
		}
	}
}

// hand hands bytes to the kernel and counts those it took. A peer that takes some is waited for, however slow it is; once
// the connection is being ended, no longer than one that takes nothing.
func (c *conn) hand(b []byte) error {
	for {
		_ = c.c.SetWriteDeadline(time.Now().Add(c.stuck))
		n, err := c.c.Write(b)
		c.count.sent(n)
		b = b[n:]
		slow := n > 0 && errors.Is(err, os.ErrDeadlineExceeded)
		c.mu.Lock()
		c.handed += uint64(n)
		c.inHand = 0
		slow = slow && !c.shut
		if slow {
			c.inHand = len(b)
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

// push hands over what the network takes at once. c.mu is held and there is no writer.
func (c *conn) push() {
	for again := true; again; {
		again = false
		err := c.raw.Write(func(fd uintptr) bool {
			n, err := syscall.Write(int(fd), c.queue)
			c.count.sent(n)
			again = err == syscall.EINTR
			if n > 0 {
				c.handed += uint64(n)
				c.queue = c.queue[:copy(c.queue, c.queue[n:])]
			}
			return true // what is left, and what is wrong, is the writer's
		})
		if err != nil {
			return
		}
	}
}

// close says the last words, as far as the peer listens, and closes the connection; this side of it alone, where it ends
// softly and its reader can wait for the peer.
func (c *conn) close(soft bool, last []byte) {
	if len(last) > 0 {
		_ = c.c.SetWriteDeadline(time.Now().Add(farewell))
		n, _ := c.c.Write(last) // the peer may be gone: then nobody is left to be told
		c.count.sent(n)
	}
	if half, ok := c.c.(interface{ CloseWrite() error }); ok && soft && half.CloseWrite() == nil {
		c.mu.Lock()
		c.lingers = true
		c.mu.Unlock()
	} else {
		c.c.Close()
	}
	close(c.wrote)
}

func (c *conn) Send(appendTo func(b []byte) []byte) (sent uint64, waits int, ok bool) {
	c.mu.Lock()
	if c.shut {
		c.mu.Unlock()
		return c.sent, 0, false
	}
	before := len(c.queue)
	c.queue = appendTo(c.queue)
	c.sent += uint64(len(c.queue) - before)
	c.count.sentMessages.Add(1)
	if c.raw != nil && c.begun && !c.writes {
		if c.push(); len(c.queue) > 0 {
			c.writes = c.r.goes(c.write)
		}
	}
	sent, waits = c.sent, len(c.queue)
	c.mu.Unlock()
	if c.raw == nil || waits > 0 {
		c.rouse()
	}
	return sent, waits, true
}

func (c *conn) HandedOver() uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.handed + uint64(c.inHand)
}

func (c *conn) Unsend(sent uint64, n int) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.shut || sent != c.sent || len(c.queue) < n {
		return false
	}
	c.queue = c.queue[:len(c.queue)-n]
	c.sent -= uint64(n)
	return true
}

func (c *conn) Close(soft bool, last []byte) { c.stop(soft, last, ErrClosed) }

// stop ends the connection; the first reason counts.
func (c *conn) stop(soft bool, last []byte, why error) {
	c.mu.Lock()
	first := !c.shut
	if first {
		c.shut, c.soft, c.last, c.why = true, soft, last, why
		_ = c.c.SetReadDeadline(time.Unix(1, 0)) // wakes the reader
		if !soft {
			_ = c.c.SetWriteDeadline(time.Now().Add(farewell))
		}
	}
	begun, writes := c.begun, c.writes
	c.mu.Unlock()
	switch {
	case first && !begun:
		c.c.Close()
		c.r.mu.Lock()
		c.r.forget(c)
		c.r.mu.Unlock()
	case first && !writes:
		c.close(soft, last)
	}
	c.rouse()
}

func (c *conn) rouse() {
	select {
	case c.wake <- struct{}{}:
	default:
	}
}

// Bytes that are read at once. A prompt connection holds memory for them only while something is there to be read, and reads
// more: news of a peer that wants an ask no more is not to lie behind what it makes stale.
const (
	readAtOnce = 4096
	readPrompt = 16 << 10
)

// Bounds of connections that ended softly and wait for their peers to close too.
const (
	lingerFor  = time.Second
	mostLinger = 64
)
