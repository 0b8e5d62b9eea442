package sim

import (
	"errors"
	"fmt"
	"io"

	"ravenpond/internal/env"
)

// link is the road between two hosts.
type link struct {
	cut           bool    // nothing passes, and nobody is told
	refuse        bool    // connections are refused
	maxExtraDelay float64 // ms more
}

// link gives the way between two hosts.
func (c *Clock) link(a, b string) *link {
	if a > b {
		a, b = b, a
	}
	w := c.links[[2]string{a, b}]
	if w == nil {
		w = &link{}
		c.links[[2]string{a, b}] = w
	}
	return w
}

// Times of the network in ms, and sizes in bytes.
const (
	baseLatency     = 0.1
	maxJitter       = 0.9 // at most, more
	sendWindow      = 16 << 10
	segment         = 1460
	retryInterval   = 200 // between two looks at a way that is cut
	farewellTimeout = 50  // that last words may take

	readChunk            = 4096     // bytes
	synchronousReadChunk = 16 << 10 // where a process is prompt
)

func (c *Clock) delay(w *link) float64 {
	return baseLatency + maxJitter*c.rng.Float64() + w.maxExtraDelay*c.rng.Float64()
}

type listener struct {
	process *Process
	address string
	accept  func(env.Conn)
}

func (d *listener) Address() string { return d.address }

func (d *listener) Close() {
	if d.process.clock.listeners[d.address] == d {
		delete(d.process.clock.listeners, d.address)
	}
}

var errAddressInUse = errors.New("address is taken")

// Listen takes connections at an address, which is any name.
func (p *Process) Listen(address string, came func(env.Conn)) (env.Listener, error) {
	if p.clock.listeners[address] != nil {
		return nil, errAddressInUse
	}
	d := &listener{p, address, came}
	p.clock.listeners[address] = d
	return d, nil
}

var (
	errRefused = fmt.Errorf("connection %w", env.ErrRefused)
	errTimeout = errors.New("connection timed out")
	errReset   = errors.New("connection reset")
)

// Dial connects to an address.
func (p *Process) Dial(address string, within float64, done func(env.Conn, error)) {
	if !p.effect() {
		return
	}
	if p.cpu != nil { // it is made by itself, when its turn comes
		p.clock.schedule(p, p.clock.now, func() {
			p.charge(func(w *CPUCost) float64 { return w.Dial })
			p.afterWork(func() { p.dial(address, within, done) })
		})
		return
	}
	p.dial(address, within, done)
}

func (p *Process) dial(address string, within float64, done func(env.Conn, error)) {
	c := p.clock
	fail := func(after float64, err error) { c.schedule(p, c.now+after, func() { done(nil, err) }) }
	d := c.listeners[address]
	if d == nil {
		fail(c.delay(&link{}), errRefused)
		return
	}
	w := c.link(p.Name, d.process.Name)
	switch there, back := c.delay(w), c.delay(w); {
	case w.cut || there+back > within:
		fail(within, errTimeout)
	case w.refuse:
		fail(there+back, errRefused)
	default:
		c.schedule(nil, c.now+there, func() {
			if c.listeners[address] != d || d.process.dead || p.dead {
				fail(back, errRefused)
				return
			}
			a, b := &conn{process: p, link: w}, &conn{process: d.process, link: w}
			a.remote, b.remote = b, a
			p.conns, d.process.conns = append(p.conns, a), append(d.process.conns, b)
			c.schedule(d.process, c.now, func() { d.accept(b) })
			c.schedule(p, c.now+back, func() { done(a, nil) })
		})
	}
}

// conn is one end of a connection.
type conn struct {
	process *Process
	remote  *conn
	link    *link
	handler env.ConnHandler

	outgoing        []byte // not handed over yet
	farewell        []byte // that come last, and are not counted
	sent            uint64
	handedOver      uint64
	handedOverKnown uint64  // of what was handed over, what this end knows of
	inFlight        int     // bytes handed over that the other end has not taken
	lastArrival     float64 // when the last of them does
	pumping         bool
	writeTimeout    float64
	lastProgress    float64 // when something was last handed over

	ended        bool // ended here
	endReason    error
	closed       bool // over, or its process is
	remoteClosed bool // the other end's close has come, though what lies before it may be unread
	halfOpen     bool // the other end is gone and this one was not told
	stalledUntil float64
	beforeBegin  []func() // what came before it was begun
	// Where code takes time: what came and was not read, and whether it is about to be.
	unread        []byte
	reading       bool
	deliveryWaits []deliveryWait
}

type deliveryWait struct {
	upTo uint64
	f    func()
}

// Start starts it.
func (x *conn) Start(p env.ConnHandler, stuck float64) {
	x.handler, x.writeTimeout, x.lastProgress = p, stuck, x.process.clock.now
	if len(x.beforeBegin) > 0 {
		x.process.clock.schedule(x.process, x.process.clock.now, func() { // before all that came later
			early := x.beforeBegin
			x.beforeBegin = nil
			for _, f := range early {
				if !x.closed {
					f()
				}
			}
		})
	}
}

// Send queues a message.
func (x *conn) Send(appendTo func(b []byte) []byte) (sent uint64, waits int, ok bool) {
	if x.ended || x.closed || !x.process.effect() {
		return x.sent, 0, false
	}
	before := len(x.outgoing)
	if before == 0 {
		x.lastProgress = x.process.clock.now
	}
	x.outgoing = appendTo(x.outgoing)
	x.sent += uint64(len(x.outgoing) - before)
	if x.process.SynchronousWrites {
		x.process.charge(func(w *CPUCost) float64 { return w.Write })
		x.process.afterWork(x.transmit)
	} else {
		x.pump()
	}
	return x.sent, len(x.outgoing), true
}

// HandedOver is what was handed over.
func (x *conn) HandedOver() uint64 { return x.handedOverKnown }

// Unsend takes back the last message, if none of it was handed over.
func (x *conn) Unsend(sent uint64, n int) bool {
	if x.ended || x.closed || sent != x.sent || len(x.outgoing) < n {
		return false
	}
	x.outgoing = x.outgoing[:len(x.outgoing)-n]
	x.sent -= uint64(n)
	return true
}

// PeerClosed tells whether the other end's close has come.
func (x *conn) PeerClosed() bool { return x.remoteClosed || x.closed }

// updateHandedOver has this end know what was handed over: who has a writer of its own hears of it in its turn.
func (x *conn) updateHandedOver() {
	if x.process.cpu == nil || x.process.SynchronousWrites {
		x.handedOverKnown = x.handedOver
		return
	}
	x.process.clock.schedule(x.process, x.process.clock.now, func() { x.handedOverKnown = x.handedOver })
}

// Close ends it.
func (x *conn) Close(soft bool, last []byte) {
	if x.ended || x.closed {
		return
	}
	x.ended, x.endReason = true, env.ErrClosed
	if !soft {
		x.sent -= uint64(len(x.outgoing))
		x.outgoing = nil
	}
	x.farewell = append([]byte(nil), last...)
	x.pump()
	c := x.process.clock
	c.schedule(x.process, c.now+farewellTimeout, x.finish)
}

// pump hands bytes over in a moment, in pieces of any size.
func (x *conn) pump() {
	if x.pumping || x.closed {
		return
	}
	x.pumping = true
	c := x.process.clock
	by := x.process
	if by.cpu == nil || by.SynchronousWrites {
		by = nil // the network's own doing
	}
	c.schedule(by, c.now+0.05*c.rng.Float64(), func() {
		x.pumping = false
		if by != nil {
			by.charge(func(w *CPUCost) float64 { return w.Write })
			by.afterWork(x.transmit)
			return
		}
		x.transmit()
	})
}

func (x *conn) transmit() {
	c := x.process.clock
	if x.closed {
		return
	}
	if x.halfOpen && len(x.outgoing)+len(x.farewell) > 0 { // the other host answers that it knows of no such connection
		c.schedule(x.process, c.now+c.delay(x.link), func() { x.close(errReset) })
		return
	}
	for len(x.outgoing) > 0 && x.inFlight < sendWindow && !x.link.cut {
		n := min(len(x.outgoing), 1+c.rng.IntN(segment), sendWindow-x.inFlight)
		if c.rng.IntN(4) > 0 {
			n = min(len(x.outgoing), segment, sendWindow-x.inFlight)
		}
		piece := append([]byte(nil), x.outgoing[:n]...)
		x.outgoing = x.outgoing[:copy(x.outgoing, x.outgoing[n:])]
		x.handedOver += uint64(n)
		x.updateHandedOver()
		x.inFlight += n
		x.lastProgress = c.now
		x.lastArrival = max(x.lastArrival, c.now+c.delay(x.link))
		far := x.remote
		c.schedule(nil, x.lastArrival, func() { far.arrive(piece) })
	}
	if x.ended && len(x.outgoing) == 0 && len(x.farewell) > 0 && !x.link.cut {
		words := x.farewell
		x.farewell = nil
		x.inFlight += len(words)
		x.lastArrival = max(x.lastArrival, c.now+c.delay(x.link))
		far := x.remote
		c.schedule(nil, x.lastArrival, func() { far.arrive(words) })
	}
	switch {
	case x.ended && len(x.outgoing) == 0 && x.inFlight == 0:
		x.finish()
	case len(x.outgoing) > 0 && x.writeTimeout > 0 && c.now-x.lastProgress >= x.writeTimeout:
		x.close(env.ErrStalled)
	case len(x.outgoing) > 0:
		c.schedule(nil, c.now+retryInterval, x.transmit)
	}
}

// arrive brings a piece to this end; one that is on a way that is cut, or not being read, waits.
func (x *conn) arrive(piece []byte) {
	c := x.process.clock
	if x.closed {
		return
	}
	if x.link.cut || c.now < x.stalledUntil {
		c.schedule(nil, max(c.now+retryInterval, x.stalledUntil), func() { x.arrive(piece) })
		return
	}
	if x.process.cpu != nil { // what waits to be read is read together
		if x.unread = append(x.unread, piece...); !x.reading {
			x.reading = true
			x.dispatch(x.read)
		}
		return
	}
	x.dispatch(func() { x.deliver(piece) })
}

// read takes what waits, a buffer's worth at a time: a reader goes on as long as there is something to read.
func (x *conn) read() {
	all := x.unread
	x.unread, x.reading = nil, false
	for len(all) > 0 && !x.closed {
		n := min(len(all), readChunk)
		if x.process.SynchronousWrites {
			n = min(len(all), synchronousReadChunk)
		}
		x.process.charge(func(w *CPUCost) float64 { return w.Read + float64(n)*w.Byte })
		x.deliver(all[:n])
		all = all[n:]
	}
}

func (x *conn) deliver(piece []byte) {
	x.remote.onDelivered(len(piece))
	if !x.ended {
		x.process.clock.tracef("%s<%s %d\n", x.process.Name, x.remote.process.Name, len(piece))
		x.handler.OnData(piece)
	}
}

// dispatch has something happen at this end, in its process and after it was begun.
func (x *conn) dispatch(f func()) {
	c := x.process.clock
	c.schedule(x.process, c.now, func() {
		switch {
		case x.closed:
		case x.handler == nil || len(x.beforeBegin) > 0:
			x.beforeBegin = append(x.beforeBegin, f)
		default:
			f()
		}
	})
}

// finish closes this end after its last words; the other hears that nothing more comes.
func (x *conn) finish() {
	if x.closed {
		return
	}
	x.sendClose()
	x.close(x.endReason)
}

// sendClose tells the other end that this one is closed.
func (x *conn) sendClose() {
	far, c := x.remote, x.process.clock
	x.lastArrival = max(x.lastArrival, c.now+c.delay(x.link))
	var close func()
	close = func() {
		if far.closed {
			return
		}
		if far.link.cut || c.now < far.stalledUntil {
			c.schedule(nil, max(c.now+retryInterval, far.stalledUntil), close)
			return
		}
		far.remoteClosed = true
		far.dispatch(func() {
			if !far.ended {
				far.handler.OnData(nil)
			}
			far.close(io.EOF)
		})
	}
	c.schedule(nil, x.lastArrival, close)
}

// close is the end of this end: its process hears of it, once.
func (x *conn) close(why error) {
	if x.closed {
		return
	}
	x.closed = true
	if x.endReason != nil {
		why = x.endReason
	}
	x.ended = true
	x.handedOverKnown = x.handedOver
	x.unregister()
	c := x.process.clock
	if x.handler != nil && !x.process.dead {
		c.schedule(x.process, c.now, func() { x.handler.OnClose(why) })
	}
}

func (x *conn) unregister() {
	for i, o := range x.process.conns {
		if o == x {
			x.process.conns = append(x.process.conns[:i], x.process.conns[i+1:]...)
			return
		}
	}
}

// dropWithProcess ends this end with its process.
func (x *conn) dropWithProcess(power bool) {
	if x.closed {
		return
	}
	if power { // nobody says anything: the other end finds out by itself
		x.remote.halfOpen = true
	} else {
		x.sendClose()
	}
	x.closed = true
}

// Reset breaks a connection: what is on its way is lost. If one end alone is told, the other finds out when it sends,
// or when it misses the first.
func (x *conn) Reset(both bool) {
	if x.closed {
		return
	}
	x.close(errReset)
	if both {
		x.remote.close(errReset)
	} else {
		x.remote.halfOpen = true
	}
}

// notifyDelivered calls f when the other end has taken all that was sent so far; never if it does not.
func (x *conn) notifyDelivered(f func()) {
	x.deliveryWaits = append(x.deliveryWaits, deliveryWait{x.sent, f})
}

// onDelivered meets that the other end has taken so many bytes.
func (x *conn) onDelivered(n int) {
	x.inFlight -= n
	x.pump()
	for len(x.deliveryWaits) > 0 && int64(x.handedOver)-int64(x.inFlight) >= int64(x.deliveryWaits[0].upTo) {
		f := x.deliveryWaits[0].f
		x.deliveryWaits = x.deliveryWaits[1:]
		f()
	}
}

// Stall lets nothing be read at this end for so many ms.
func (x *conn) Stall(ms float64) { x.stalledUntil = max(x.stalledUntil, x.process.clock.now+ms) }

// Cut has nothing pass between two hosts, or lets it pass again; nobody is told.
func (c *Clock) Cut(a, b string, cut bool) { c.link(a, b).cut = cut }

// Slow has all between two hosts take up to so many ms more.
func (c *Clock) Slow(a, b string, ms float64) { c.link(a, b).maxExtraDelay = ms }

// At has something happen at a true time, whatever becomes of any process.
func (c *Clock) At(ms float64, f func()) { c.schedule(nil, ms, f) }
