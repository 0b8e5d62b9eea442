package sim

import "ravenpond/internal/env"

// DatagramLink holds the faults of the network for datagrams from one host to another.
type DatagramLink struct {
	Cut         bool    // no datagram passes
	Loss        float64 // fraction of datagrams that are lost
	Duplication float64 // fraction of datagrams that arrive twice
	MaxDelay    float64 // delay in ms that is added to each datagram
}

// DatagramLink returns the link from one host to another. The opposite direction is a separate link.
func (c *Clock) DatagramLink(from, to string) *DatagramLink {
	l := c.datagramLinks[[2]string{from, to}]
	if l == nil {
		l = &DatagramLink{}
		c.datagramLinks[[2]string{from, to}] = l
	}
	return l
}

// packetConn implements env.PacketConn.
type packetConn struct {
	process     *Process
	address     string
	receive     func([]byte)
	incarnation int
}

// ListenPacket implements env.Environment.
func (p *Process) ListenPacket(address string, receive func(b []byte)) (env.PacketConn, error) {
	if other := p.clock.packetConns[address]; other != nil && !other.process.dead && other.incarnation == other.process.incarnation {
		return nil, errAddressInUse
	}
	pc := &packetConn{p, address, receive, p.incarnation}
	p.clock.packetConns[address] = pc
	return pc, nil
}

// Address implements env.PacketConn.
func (pc *packetConn) Address() string { return pc.address }

// Close implements env.PacketConn.
func (pc *packetConn) Close() {
	if pc.process.clock.packetConns[pc.address] == pc {
		delete(pc.process.clock.packetConns, pc.address)
	}
}

// Send implements env.PacketConn. Datagrams are lost, duplicated, delayed and reordered according to the faults of the link.
func (pc *packetConn) Send(to string, b []byte) {
	c := pc.process.clock
	target := c.packetConns[to]
	if target == nil || len(b) > env.MaxDatagram || !pc.process.effect() {
		return
	}
	between := c.link(pc.process.Name, target.process.Name)
	datagrams := c.datagramLinks[[2]string{pc.process.Name, target.process.Name}]
	if datagrams == nil {
		datagrams = &DatagramLink{}
	}
	if between.cut || datagrams.Cut || datagrams.Loss > 0 && c.rng.Float64() < datagrams.Loss {
		return
	}
	copies := 1
	if datagrams.Duplication > 0 && c.rng.Float64() < datagrams.Duplication {
		copies = 2
	}
	b = append([]byte(nil), b...)
	for range copies {
		c.schedule(target.process, c.now+c.delay(between)+datagrams.MaxDelay, func() {
			if c.packetConns[to] == target && target.incarnation == target.process.incarnation {
				target.receive(b)
			}
		})
	}
}
