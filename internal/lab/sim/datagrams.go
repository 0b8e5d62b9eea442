package sim

import (
	"ravenpond/internal/outside"
)

// Lane is the road of datagrams from one host to another.
type Lane struct {
	Cut   bool    // nothing passes, this way
	Loss  float64 // part that is lost
	Twice float64 // part that comes twice
	Slow  float64 // ms more, for each
}

// Lane gives the road from one host to another; the way back is another.
func (c *Clock) Lane(from, to string) *Lane {
	l := c.lanes[[2]string{from, to}]
	if l == nil {
		l = &Lane{}
		c.lanes[[2]string{from, to}] = l
	}
	return l
}

type port struct {
	p       *Process
	address string
	heard   func([]byte)
	life    int
}

// ListenPacket takes datagrams at an address.
func (p *Process) ListenPacket(address string, heard func(b []byte)) (outside.PacketConn, error) {
	if x := p.c.ports[address]; x != nil && !x.p.dead && x.life == x.p.life {
		return nil, errTaken
	}
	x := &port{p, address, heard, p.life}
	p.c.ports[address] = x
	return x, nil
}

func (x *port) Address() string { return x.address }

func (x *port) StopAccepting() {
	if x.p.c.ports[x.address] == x {
		delete(x.p.c.ports, x.address)
	}
}

// Send sends a datagram on its way: cut, lost, doubled, late and out of order as the lane has it.
func (x *port) Send(to string, b []byte) {
	c := x.p.c
	y := c.ports[to]
	if y == nil || len(b) > outside.MaxDatagram || !x.p.effect() {
		return
	}
	w, l := c.road(x.p.Name, y.p.Name), c.lanes[[2]string{x.p.Name, y.p.Name}]
	if l == nil {
		l = &Lane{}
	}
	if w.cut || l.Cut || l.Loss > 0 && c.rng.Float64() < l.Loss {
		return
	}
	times := 1
	if l.Twice > 0 && c.rng.Float64() < l.Twice {
		times = 2
	}
	b = append([]byte(nil), b...)
	for range times {
		c.at(y.p, c.now+c.delay(w)+l.Slow, func() {
			if c.ports[to] == y && y.life == y.p.life {
				y.heard(b)
			}
		})
	}
}
