package sim

import (
	"errors"
	"fmt"
	"io"

	"ravenpond/internal/outside"
)

// way is the road between two hosts.
type way struct {
	cut    bool    // nothing passes, and nobody is told
	refuse bool    // connections are refused
	slow   float64 // ms more
}

// road gives the way between two hosts.
func (c *Clock) road(a, b string) *way {
	if a > b {
		a, b = b, a
	}
	w := c.ways[[2]string{a, b}]
	if w == nil {
		w = &way{}
		c.ways[[2]string{a, b}] = w
	}
	return w
}

// Times of the network in ms, and sizes in bytes.
const (
	latency = 0.1
	jitter  = 0.9 // at most, more
	window  = 16 << 10
	segment = 1460
	probe   = 200 // between two looks at a way that is cut
	lastFor = 50  // that last words may take

	readAtOnce = 4096     // bytes
	readPrompt = 16 << 10 // where a process is prompt
)

func (c *Clock) delay(w *way) float64 {
	return latency + jitter*c.rng.Float64() + w.slow*c.rng.Float64()
}

type door struct {
	p       *Process
	address string
	came    func(outside.Conn)
}

func (d *door) Address() string { return d.address }

func (d *door) StopAccepting() {
	if d.p.c.doors[d.address] == d {
		delete(d.p.c.doors, d.address)
	}
}

var errTaken = errors.New("address is taken")

// Listen takes connections at an address, which is any name.
func (p *Process) Listen(address string, came func(outside.Conn)) (outside.Listener, error) {
	if p.c.doors[address] != nil {
		return nil, errTaken
	}
	d := &door{p, address, came}
	p.c.doors[address] = d
	return d, nil
}

var (
	errRefused = fmt.Errorf("connection %w", outside.ErrRefused)
	errTimeout = errors.New("connection timed out")
	errReset   = errors.New("connection reset")
)

// Dial connects to an address.
func (p *Process) Dial(address string, within float64, done func(outside.Conn, error)) {
	if !p.effect() {
		return
	}
	if p.core != nil { // it is made by itself, when its turn comes
		p.c.at(p, p.c.now, func() {
			p.costs(func(w *Work) float64 { return w.Dial })
			p.done(func() { p.dial(address, within, done) })
		})
		return
	}
	p.dial(address, within, done)
}

func (p *Process) dial(address string, within float64, done func(outside.Conn, error)) {
	c := p.c
	fail := func(after float64, err error) { c.at(p, c.now+after, func() { done(nil, err) }) }
	d := c.doors[address]
	if d == nil {
		fail(c.delay(&way{}), errRefused)
		return
	}
	w := c.road(p.Name, d.p.Name)
	switch there, back := c.delay(w), c.delay(w); {
	case w.cut || there+back > within:
		fail(within, errTimeout)
	case w.refuse:
		fail(there+back, errRefused)
	default:
		c.at(nil, c.now+there, func() {
			if c.doors[address] != d || d.p.dead || p.dead {
				fail(back, errRefused)
				return
			}
			a, b := &conn{p: p, way: w}, &conn{p: d.p, way: w}
			a.far, b.far = b, a
			p.conns, d.p.conns = append(p.conns, a), append(d.p.conns, b)
			c.at(d.p, c.now, func() { d.came(b) })
			c.at(p, c.now+back, func() { done(a, nil) })
		})
	}
}

// conn is one end of a connection.
type conn struct {
	p    *Process
	far  *conn
	way  *way
	peer outside.ConnHandler

	out     []byte // not handed over yet
	words   []byte // that come last, and are not counted
	sent    uint64
	handed  uint64
	counted uint64  // of what was handed over, what this end knows of
	flight  int     // bytes handed over that the other end has not taken
	arrives float64 // when the last of them does
	pumping bool
	stuck   float64
	moved   float64 // when something was last handed over

	shut  bool // ended here
	why   error
	gone  bool // over, or its process is
	left  bool // the other end's close has come, though what lies before it may be unread
	half  bool // the other end is gone and this one was not told
	stall float64
	early []func() // what came before it was begun
	// Where code takes time: what came and was not read, and whether it is about to be.
	unread []byte
	reads  bool
	waits  []waiter
}

type waiter struct {
	upTo uint64
	f    func()
}

// Start starts it.
func (x *conn) Start(p outside.ConnHandler, stuck float64) {
	x.peer, x.stuck, x.moved = p, stuck, x.p.c.now
	if len(x.early) > 0 {
		x.p.c.at(x.p, x.p.c.now, func() { // before all that came later
			early := x.early
			x.early = nil
			for _, f := range early {
				if !x.gone {
					f()
				}
			}
		})
	}
}

// Send queues a message.
func (x *conn) Send(appendTo func(b []byte) []byte) (sent uint64, waits int, ok bool) {
	if x.shut || x.gone || !x.p.effect() {
		return x.sent, 0, false
	}
	before := len(x.out)
	if before == 0 {
		x.moved = x.p.c.now
	}
	x.out = appendTo(x.out)
	x.sent += uint64(len(x.out) - before)
	if x.p.Prompt {
		x.p.costs(func(w *Work) float64 { return w.Write })
		x.p.done(x.move)
	} else {
		x.pump()
	}
	return x.sent, len(x.out), true
}

// HandedOver is what was handed over.
func (x *conn) HandedOver() uint64 { return x.counted }

// Unsend takes back the last message, if none of it was handed over.
func (x *conn) Unsend(sent uint64, n int) bool {
	if x.shut || x.gone || sent != x.sent || len(x.out) < n {
		return false
	}
	x.out = x.out[:len(x.out)-n]
	x.sent -= uint64(n)
	return true
}

// PeerClosed tells whether the other end's close has come.
func (x *conn) PeerClosed() bool { return x.left || x.gone }

// count has this end know what was handed over: who has a writer of its own hears of it in its turn.
func (x *conn) count() {
	if x.p.core == nil || x.p.Prompt {
		x.counted = x.handed
		return
	}
	x.p.c.at(x.p, x.p.c.now, func() { x.counted = x.handed })
}

// Close ends it.
func (x *conn) Close(soft bool, last []byte) {
	if x.shut || x.gone {
		return
	}
	x.shut, x.why = true, outside.ErrClosed
	if !soft {
		x.sent -= uint64(len(x.out))
		x.out = nil
	}
	x.words = append([]byte(nil), last...)
	x.pump()
	c := x.p.c
	c.at(x.p, c.now+lastFor, x.finish)
}

// pump hands bytes over in a moment, in pieces of any size.
func (x *conn) pump() {
	if x.pumping || x.gone {
		return
	}
	x.pumping = true
	c := x.p.c
	by := x.p
	if by.core == nil || by.Prompt {
		by = nil // the network's own doing
	}
	c.at(by, c.now+0.05*c.rng.Float64(), func() {
		x.pumping = false
		if by != nil {
			by.costs(func(w *Work) float64 { return w.Write })
			by.done(x.move)
			return
		}
		x.move()
	})
}

func (x *conn) move() {
	c := x.p.c
	if x.gone {
		return
	}
	if x.half && len(x.out)+len(x.words) > 0 { // the other host answers that it knows of no such connection
		c.at(x.p, c.now+c.delay(x.way), func() { x.over(errReset) })
		return
	}
	for len(x.out) > 0 && x.flight < window && !x.way.cut {
		n := min(len(x.out), 1+c.rng.IntN(segment), window-x.flight)
		if c.rng.IntN(4) > 0 {
			n = min(len(x.out), segment, window-x.flight)
		}
		piece := append([]byte(nil), x.out[:n]...)
		x.out = x.out[:copy(x.out, x.out[n:])]
		x.handed += uint64(n)
		x.count()
		x.flight += n
		x.moved = c.now
		x.arrives = max(x.arrives, c.now+c.delay(x.way))
		far := x.far
		c.at(nil, x.arrives, func() { far.carry(piece) })
	}
	if x.shut && len(x.out) == 0 && len(x.words) > 0 && !x.way.cut {
		words := x.words
		x.words = nil
		x.flight += len(words)
		x.arrives = max(x.arrives, c.now+c.delay(x.way))
		far := x.far
		c.at(nil, x.arrives, func() { far.carry(words) })
	}
	switch {
	case x.shut && len(x.out) == 0 && x.flight == 0:
		x.finish()
	case len(x.out) > 0 && x.stuck > 0 && c.now-x.moved >= x.stuck:
		x.over(outside.ErrStalled)
	case len(x.out) > 0:
		c.at(nil, c.now+probe, x.move)
	}
}

// carry brings a piece to this end; one that is on a way that is cut, or not being read, waits.
func (x *conn) carry(piece []byte) {
	c := x.p.c
	if x.gone {
		return
	}
	if x.way.cut || c.now < x.stall {
		c.at(nil, max(c.now+probe, x.stall), func() { x.carry(piece) })
		return
	}
	if x.p.core != nil { // what waits to be read is read together
		if x.unread = append(x.unread, piece...); !x.reads {
			x.reads = true
			x.in(x.read)
		}
		return
	}
	x.in(func() { x.heard(piece) })
}

// read takes what waits, a buffer's worth at a time: a reader goes on as long as there is something to read.
func (x *conn) read() {
	all := x.unread
	x.unread, x.reads = nil, false
	for len(all) > 0 && !x.gone {
		n := min(len(all), readAtOnce)
		if x.p.Prompt {
			n = min(len(all), readPrompt)
		}
		x.p.costs(func(w *Work) float64 { return w.Heard + float64(n)*w.Byte })
		x.heard(all[:n])
		all = all[n:]
	}
}

func (x *conn) heard(piece []byte) {
	x.far.took(len(piece))
	if !x.shut {
		x.p.c.note("%s<%s %d\n", x.p.Name, x.far.p.Name, len(piece))
		x.peer.OnData(piece)
	}
}

// in has something happen at this end, in its process and after it was begun.
func (x *conn) in(f func()) {
	c := x.p.c
	c.at(x.p, c.now, func() {
		switch {
		case x.gone:
		case x.peer == nil || len(x.early) > 0:
			x.early = append(x.early, f)
		default:
			f()
		}
	})
}

// finish closes this end after its last words; the other hears that nothing more comes.
func (x *conn) finish() {
	if x.gone {
		return
	}
	x.leave()
	x.over(x.why)
}

// leave tells the other end that this one is closed.
func (x *conn) leave() {
	far, c := x.far, x.p.c
	x.arrives = max(x.arrives, c.now+c.delay(x.way))
	var close func()
	close = func() {
		if far.gone {
			return
		}
		if far.way.cut || c.now < far.stall {
			c.at(nil, max(c.now+probe, far.stall), close)
			return
		}
		far.left = true
		far.in(func() {
			if !far.shut {
				far.peer.OnData(nil)
			}
			far.over(io.EOF)
		})
	}
	c.at(nil, x.arrives, close)
}

// over is the end of this end: its process hears of it, once.
func (x *conn) over(why error) {
	if x.gone {
		return
	}
	x.gone = true
	if x.why != nil {
		why = x.why
	}
	x.shut = true
	x.counted = x.handed
	x.forget()
	c := x.p.c
	if x.peer != nil && !x.p.dead {
		c.at(x.p, c.now, func() { x.peer.OnClose(why) })
	}
}

func (x *conn) forget() {
	for i, o := range x.p.conns {
		if o == x {
			x.p.conns = append(x.p.conns[:i], x.p.conns[i+1:]...)
			return
		}
	}
}

// vanish ends this end with its process.
func (x *conn) vanish(power bool) {
	if x.gone {
		return
	}
	if power { // nobody says anything: the other end finds out by itself
		x.far.half = true
	} else {
		x.leave()
	}
	x.gone = true
}

// Reset breaks a connection: what is on its way is lost. If one end alone is told, the other finds out when it sends,
// or when it misses the first.
func (x *conn) Reset(both bool) {
	if x.gone {
		return
	}
	x.over(errReset)
	if both {
		x.far.over(errReset)
	} else {
		x.far.half = true
	}
}

// taken calls f when the other end has taken all that was sent so far; never if it does not.
func (x *conn) taken(f func()) { x.waits = append(x.waits, waiter{x.sent, f}) }

// took meets that the other end has taken so many bytes.
func (x *conn) took(n int) {
	x.flight -= n
	x.pump()
	for len(x.waits) > 0 && int64(x.handed)-int64(x.flight) >= int64(x.waits[0].upTo) {
		f := x.waits[0].f
		x.waits = x.waits[1:]
		f()
	}
}

// Stall lets nothing be read at this end for so many ms.
func (x *conn) Stall(ms float64) { x.stall = max(x.stall, x.p.c.now+ms) }

// Cut has nothing pass between two hosts, or lets it pass again; nobody is told.
func (c *Clock) Cut(a, b string, cut bool) { c.road(a, b).cut = cut }

// Slow has all between two hosts take up to so many ms more.
func (c *Clock) Slow(a, b string, ms float64) { c.road(a, b).slow = ms }

// At has something happen at a true time, whatever becomes of any process.
func (c *Clock) At(ms float64, f func()) { c.at(nil, ms, f) }
