package outside

import (
	"context"
	"crypto/tls"
	"errors"
	"fmt"
	"io"
	"net"
	"net/netip"
	"os"
	"slices"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// Real is the world of sockets and of the machine's clock.
type Real struct {
	// Connect makes connections, over TCP if it is nil.
	Connect func(ctx context.Context, address string) (net.Conn, error)
	// Secure is the TLS that connections which are taken speak, none if it is nil.
	Secure *tls.Config
	// Prompt has what is sent leave with the call that sends it, as far as the network takes it at once, so that nothing
	// leaves later than it was decided; a writer is there only for what is left. Without it writers gather what is sent in a
	// moment, which costs less where many messages share a connection. Not for TLS.
	Prompt bool
	// Lingers is how many connections that ended softly are kept at most until their peers close too, 64 if it is 0. Beyond
	// that the oldest of them is closed for good.
	Lingers int
	// ListAddress is the node list's, whose connection is counted apart from those to nodes.
	ListAddress string

	traffic [kinds]traffic

	start  time.Time
	base   float64
	ctx    context.Context
	cancel context.CancelFunc
	work   sync.WaitGroup

	mu     sync.Mutex
	closed bool
	timers map[*timer]bool
	doors  map[*door]bool
	ports  map[*port]bool
	conns  map[*conn]bool
	linger []*conn // ended softly and not closed, in the order of their ends
}

// NewReal begins a world. Its clock is told by the wall once, from then on by the monotonic clock alone.
func NewReal() *Real {
	now := time.Now()
	ctx, cancel := context.WithCancel(context.Background())
	return &Real{start: now, base: float64(now.Sub(Epoch)) / 1e6, ctx: ctx, cancel: cancel, timers: map[*timer]bool{},
		doors: map[*door]bool{}, ports: map[*port]bool{}, conns: map[*conn]bool{}}
}

// Close ends all that runs in the world and waits for it: timers are stopped, doors and connections closed. A loop's
// turn that stands still is waited for, as long as the time given.
func (r *Real) Close(wait time.Duration) {
	r.mu.Lock()
	r.closed = true
	for t := range r.timers {
		if t.t.Stop() {
			delete(r.timers, t)
			r.work.Done()
		}
	}
	doors, conns, ports, linger := r.doors, r.conns, r.ports, slices.Clone(r.linger)
	r.doors, r.conns, r.ports = map[*door]bool{}, map[*conn]bool{}, map[*port]bool{}
	r.mu.Unlock()
	r.cancel()
	for d := range doors {
		d.l.Close()
	}
	for c := range conns {
		c.End(false, nil)
	}
	for _, c := range linger { // all is said on these; on others that end softly it is handed over yet
		c.c.Close()
	}
	for p := range ports {
		p.c.Close()
	}
	done := make(chan struct{})
	go func() { r.work.Wait(); close(done) }()
	select {
	case <-done:
	case <-time.After(wait):
	}
}

// goes runs a goroutine that Close waits for; false if the world is closed.
func (r *Real) goes(f func()) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.closed {
		return false
	}
	r.work.Add(1)
	go func() {
		defer r.work.Done()
		f()
	}()
	return true
}

// Now is ms since the Epoch.
func (r *Real) Now() float64 { return r.base + float64(time.Since(r.start))/1e6 }

// Wall is the machine's clock.
func (r *Real) Wall() time.Time { return time.Now() }

type timer struct {
	r *Real
	t *time.Timer
}

// After calls f on a goroutine of its own.
func (r *Real) After(ms float64, f func()) Timer {
	t := &timer{r: r}
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.closed {
		return t
	}
	r.work.Add(1)
	r.timers[t] = true
	t.t = time.AfterFunc(time.Duration(ms*1e6), func() {
		defer r.work.Done()
		r.mu.Lock()
		delete(r.timers, t)
		closed := r.closed
		r.mu.Unlock()
		if !closed {
			f()
		}
	})
	return t
}

func (t *timer) Stop() {
	t.r.mu.Lock()
	defer t.r.mu.Unlock()
	if t.t != nil && t.r.timers[t] && t.t.Stop() {
		delete(t.r.timers, t)
		t.r.work.Done()
	}
}

type loop struct {
	wake  chan struct{}
	ended atomic.Bool
}

func (l *loop) Wake() {
	select {
	case l.wake <- struct{}{}:
	default:
	}
}

func (l *loop) Ended() bool { return l.ended.Load() }

// Loop runs turn on a goroutine of its own.
func (r *Real) Loop(turn func() (wait float64)) Loop {
	l := &loop{wake: make(chan struct{}, 1)}
	ok := r.goes(func() {
		defer l.ended.Store(true)
		t := time.NewTimer(0)
		defer t.Stop()
		for {
			select {
			case <-r.ctx.Done():
				return
			case <-l.wake:
			case <-t.C:
			}
			wait := turn()
			if wait < 0 {
				return
			}
			t.Reset(time.Duration(wait * 1e6))
		}
	})
	if !ok {
		l.ended.Store(true)
	}
	return l
}

// Dial connects on a goroutine of its own.
func (r *Real) Dial(address string, within float64, done func(Conn, error)) {
	connect := r.Connect
	if connect == nil {
		d := net.Dialer{KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: 5 * time.Second, Interval: 2 * time.Second,
			Count: 3}}
		connect = func(ctx context.Context, address string) (net.Conn, error) { return d.DialContext(ctx, "tcp", address) }
	}
	r.goes(func() {
		ctx, cancel := context.WithTimeout(r.ctx, time.Duration(within*1e6))
		defer cancel()
		c, err := connect(ctx, address)
		err = sorted(err)
		if err != nil {
			done(nil, err)
			return
		}
		done(r.conn(c, r.dialedTo(address)), nil)
	})
}

// sorted tells in the error of a dial whose want it was.
func sorted(err error) error {
	if errors.Is(err, syscall.ECONNREFUSED) {
		return fmt.Errorf("%w: %w", ErrRefused, err)
	}
	for _, own := range []error{syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM, syscall.EADDRNOTAVAIL} {
		if errors.Is(err, own) {
			return fmt.Errorf("%w: %w", ErrSpent, err)
		}
	}
	return err
}

type door struct {
	r       *Real
	l       *net.TCPListener
	closing atomic.Bool
}

func (d *door) Address() string { return d.l.Addr().String() }

// Close has the door's goroutine let in who waits, then close it.
func (d *door) Close() {
	d.closing.Store(true)
	_ = d.l.SetDeadline(time.Unix(1, 0)) // wakes it
}

// Bounds of letting in who waits at a door that closes.
const (
	lastCome = 2 * time.Millisecond // nobody came for so long: nobody waits
	lastAll  = 100 * time.Millisecond
)

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
func (r *Real) Listen(address string, came func(Conn)) (Door, error) {
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
		if r.Secure != nil {
			r.shake(c, under, came)
		} else {
			came(r.conn(c, &r.traffic[Taken]))
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

// Bounds of handshakes: who begins one and does not end it costs no more than a place for a moment.
const (
	mostHandshakes = 64
	shakeFor       = 3 * time.Second
)

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
		s := tls.Server(c, r.Secure)
		err := s.HandshakeContext(ctx)
		under.done(c)
		if err != nil {
			c.Close()
			return
		}
		came(r.conn(s, &r.traffic[Taken]))
	})
	if !ok {
		under.done(c)
		c.Close()
	}
}

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
	if s, ok := c.(syscall.Conn); ok && r.Prompt {
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

// Bytes that are read at once. A prompt connection holds memory for them only while something is there to be read, and reads
// more: news of a peer that wants an ask no more is not to lie behind what it makes stale.
const (
	readAtOnce = 4096
	readPrompt = 16 << 10
)

// farewell is how long last words may take.
const farewell = 50 * time.Millisecond

// Bounds of connections that ended softly and wait for their peers to close too.
const (
	lingerFor  = time.Second
	mostLinger = 64
)

var buffers = sync.Pool{New: func() any { b := make([]byte, readPrompt); return &b }}

func (c *conn) Begin(p Peer, stuck float64) {
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
		p.Over(err)
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
func (c *conn) read(p Peer) error {
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
func (c *conn) took(p Peer, b []byte, err error) error {
	c.mu.Lock()
	shut := c.shut
	c.mu.Unlock()
	if shut {
		return ErrEnded
	}
	if len(b) > 0 {
		c.count.received(len(b))
		p.Heard(b)
	}
	if errors.Is(err, io.EOF) {
		p.Heard(nil)
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
	most := r.Lingers
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

// Left asks the kernel: it knows of a peer's end whatever lies unread before it.
func (c *conn) Left() bool {
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

func (c *conn) Handed() uint64 {
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

func (c *conn) End(soft bool, last []byte) { c.stop(soft, last, ErrEnded) }

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

// port takes datagrams on a goroutine of its own.
type port struct {
	r *Real
	c *net.UDPConn
}

// Datagrams takes datagrams at an address of digits and a port.
func (r *Real) Datagrams(address string, heard func(b []byte)) (Port, error) {
	at, err := net.ResolveUDPAddr("udp", address)
	if err != nil {
		return nil, fmt.Errorf("datagrams: %w", err)
	}
	c, err := net.ListenUDP("udp", at)
	if err != nil {
		return nil, fmt.Errorf("datagrams: %w", err)
	}
	p := &port{r, c}
	r.mu.Lock()
	r.ports[p] = true
	r.mu.Unlock()
	ok := r.goes(func() {
		b := make([]byte, MostDatagram+1) // one that is longer shows
		for {
			n, _, err := c.ReadFromUDPAddrPort(b)
			switch {
			case err == nil && n <= MostDatagram:
				p.r.traffic[Packet].received(n)
				heard(b[:n])
			case errors.Is(err, net.ErrClosed) || r.ctx.Err() != nil:
				return
			case err != nil: // a port that nobody listens at answers so
				time.Sleep(time.Millisecond)
			}
		}
	})
	if !ok {
		c.Close()
	}
	return p, nil
}

func (p *port) Address() string { return p.c.LocalAddr().String() }

func (p *port) Send(to string, b []byte) {
	at, err := netip.ParseAddrPort(to)
	if err != nil || len(b) > MostDatagram {
		return // as if lost: an address that is none is found when the site file is read
	}
	_ = p.c.SetWriteDeadline(time.Now().Add(sendFor))
	n, _ := p.c.WriteToUDPAddrPort(b, at)
	p.r.traffic[Packet].sentMessages.Add(1)
	p.r.traffic[Packet].sent(n)
}

// sendFor bounds how long a datagram waits for a place in the kernel's queue.
const sendFor = 5 * time.Millisecond

func (p *port) Close() {
	p.r.mu.Lock()
	delete(p.r.ports, p)
	p.r.mu.Unlock()
	p.c.Close()
}
