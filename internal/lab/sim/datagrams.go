package sim

import "ravenpond/internal/env"

// DatagramLink is the network for datagrams from one host to another.
type DatagramLink struct {
	Cut         bool    // nothing passes
	Loss        float64 // fraction that is lost
	Duplication float64 // fraction that arrives twice
	MaxDelay    float64 // ms by which each is later
}

// DatagramLink returns the link from one host to another; the way back is another link.
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

// Send implements env.PacketConn. Datagrams are lost, duplicated, late and out of order as the link has it.
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
