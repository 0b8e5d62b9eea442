package sim

import (
	"ravenpond/internal/env"
)

// DatagramLink is the road of datagrams from one host to another.
type DatagramLink struct {
	Cut         bool    // nothing passes, this way
	Loss        float64 // part that is lost
	Duplication float64 // part that comes twice
	MaxDelay    float64 // ms more, for each
}

// DatagramLink gives the road from one host to another; the way back is another.
func (c *Clock) DatagramLink(from, to string) *DatagramLink {
	l := c.datagramLinks[[2]string{from, to}]
	if l == nil {
		l = &DatagramLink{}
		c.datagramLinks[[2]string{from, to}] = l
	}
	return l
}

type packetConn struct {
	process     *Process
	address     string
	receive     func([]byte)
	incarnation int
}

// ListenPacket takes datagrams at an address.
func (p *Process) ListenPacket(address string, heard func(b []byte)) (env.PacketConn, error) {
	if x := p.clock.packetConns[address]; x != nil && !x.process.dead && x.incarnation == x.process.incarnation {
		return nil, errAddressInUse
	}
	x := &packetConn{p, address, heard, p.incarnation}
	p.clock.packetConns[address] = x
	return x, nil
}

func (x *packetConn) Address() string { return x.address }

func (x *packetConn) Close() {
	if x.process.clock.packetConns[x.address] == x {
		delete(x.process.clock.packetConns, x.address)
	}
}

// Send sends a datagram on its way: cut, lost, doubled, late and out of order as the lane has it.
func (x *packetConn) Send(to string, b []byte) {
	c := x.process.clock
	y := c.packetConns[to]
	if y == nil || len(b) > env.MaxDatagram || !x.process.effect() {
		return
	}
	w, l := c.link(x.process.Name, y.process.Name), c.datagramLinks[[2]string{x.process.Name, y.process.Name}]
	if l == nil {
		l = &DatagramLink{}
	}
	if w.cut || l.Cut || l.Loss > 0 && c.rng.Float64() < l.Loss {
		return
	}
	times := 1
	if l.Duplication > 0 && c.rng.Float64() < l.Duplication {
		times = 2
	}
	b = append([]byte(nil), b...)
	for range times {
		c.schedule(y.process, c.now+c.delay(w)+l.MaxDelay, func() {
			if c.packetConns[to] == y && y.incarnation == y.process.incarnation {
				y.receive(b)
			}
		})
	}
}
