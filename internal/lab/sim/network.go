package sim

import (
	"errors"
	"fmt"

	"ravenpond/internal/env"
)

// Latency of the network in ms: a fixed part and two random parts of up to maxJitter and up to the link's maxExtraDelay.
const (
	baseLatency = 0.1
	maxJitter   = 0.9
)

// dialRetransmit is the time after which the first packet of a connection is repeated, in ms.
const dialRetransmit = 200

var (
	errAddressInUse = errors.New("address already in use")
	errRefused      = fmt.Errorf("connection %w", env.ErrRefused)
	errTimeout      = errors.New("connection timed out")
	errReset        = errors.New("connection reset")
)

// link is the network between two hosts.
type link struct {
	cut           bool    // no data passes, and neither end is notified
	refuse        bool    // new connections are refused
	maxExtraDelay float64 // ms
}

// link returns the link between two hosts.
func (c *Clock) link(a, b string) *link {
	if a > b {
		a, b = b, a
	}
	l := c.links[[2]string{a, b}]
	if l == nil {
		l = &link{}
		c.links[[2]string{a, b}] = l
	}
	return l
}

// SetCut cuts the link between two hosts, or restores it. Neither end is notified.
func (c *Clock) SetCut(a, b string, cut bool) { c.link(a, b).cut = cut }

// IsCut reports whether the link between two hosts is cut.
func (c *Clock) IsCut(a, b string) bool { return c.link(a, b).cut }

// SetMaxExtraDelay adds a random delay of up to ms to everything that passes between two hosts.
func (c *Clock) SetMaxExtraDelay(a, b string, ms float64) { c.link(a, b).maxExtraDelay = ms }

// delay draws the random latency of a segment or datagram on a link, in ms.
func (c *Clock) delay(l *link) float64 {
	return baseLatency + maxJitter*c.rng.Float64() + l.maxExtraDelay*c.rng.Float64()
}

// listener implements env.Listener.
type listener struct {
	process *Process
	address string
	accept  func(env.Conn)
}

// Address implements env.Listener.
func (l *listener) Address() string { return l.address }

// Close implements env.Listener.
func (l *listener) Close() {
	if l.process.clock.listeners[l.address] == l {
		delete(l.process.clock.listeners, l.address)
	}
}

// hasVanished reports whether the machine has vanished on which a process listened at an address.
func (c *Clock) hasVanished(address string) bool {
	p := c.vanished[address]
	return p != nil && p.unreachable
}

// Listen implements env.Environment. The address can be any string.
func (p *Process) Listen(address string, accept func(env.Conn)) (env.Listener, error) {
	if p.clock.listeners[address] != nil {
		return nil, errAddressInUse
	}
	l := &listener{p, address, accept}
	p.clock.listeners[address] = l
	return l, nil
}

// Dial implements env.Environment.
func (p *Process) Dial(address string, timeout float64, done func(env.Conn, error)) {
	if !p.effect() {
		return
	}
	if p.cpu != nil { // dialing is a separate event
		p.clock.schedule(p, p.clock.now, func() {
			p.charge(func(cost *CPUCost) float64 { return cost.Dial })
			p.afterWork(func() { p.dial(address, timeout, done) })
		})
		return
	}
	p.dial(address, timeout, done)
}

func (p *Process) dial(address string, timeout float64, done func(env.Conn, error)) {
	c := p.clock
	fail := func(after float64, err error) { c.schedule(p, c.now+after, func() { done(nil, err) }) }
	target := c.listeners[address]
	if target == nil && c.hasVanished(address) {
		p.redial(address, timeout, done)
		return
	}
	if target == nil {
		fail(c.delay(&link{}), errRefused)
		return
	}
	between := c.link(p.Name, target.process.Name)
	switch requestDelay, replyDelay := c.delay(between), c.delay(between); {
	case between.cut || requestDelay+replyDelay > timeout:
		fail(timeout, errTimeout)
	case between.refuse:
		fail(requestDelay+replyDelay, errRefused)
	default:
		c.schedule(nil, c.now+requestDelay, func() {
			if c.listeners[address] != target || target.process.dead || p.dead {
				fail(replyDelay, errRefused)
				return
			}
			near, far := newConnPair(p, target.process, between)
			c.schedule(target.process, c.now, func() { target.accept(far) })
			c.schedule(p, c.now+replyDelay, func() { done(near, nil) })
		})
	}
}

// redial dials an address again whose machine has vanished: the kernel repeats the first packet until the time-out, and whatever listens at the address by
// then answers it.
func (p *Process) redial(address string, timeout float64, done func(env.Conn, error)) {
	c := p.clock
	if timeout <= dialRetransmit {
		c.schedule(p, c.now+timeout, func() { done(nil, errTimeout) })
		return
	}
	c.schedule(p, c.now+dialRetransmit, func() { p.dial(address, timeout-dialRetransmit, done) })
}

// newConnPair connects two processes and returns both ends of the connection.
func newConnPair(p, q *Process, between *link) (near, far *conn) {
	near, far = &conn{process: p, link: between}, &conn{process: q, link: between}
	near.remote, far.remote = far, near
	p.conns, q.conns = append(p.conns, near), append(q.conns, far)
	return near, far
}
