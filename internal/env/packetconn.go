package env

import (
	"errors"
	"fmt"
	"net"
	"net/netip"
	"time"
)

// Times for datagrams.
const (
	datagramSendTimeout = 5 * time.Millisecond // limits the wait for space in the kernel's send buffer
	datagramRetry       = time.Millisecond     // delays the next read after a failure to receive
)

// realPacketConn is a UDP socket with a goroutine that receives datagrams.
type realPacketConn struct {
	env *Real
	udp *net.UDPConn
}

// ListenPacket implements Environment.
func (r *Real) ListenPacket(address string, onDatagram func(b []byte)) (PacketConn, error) {
	local, err := net.ResolveUDPAddr("udp", address)
	if err != nil {
		return nil, fmt.Errorf("resolve UDP address: %w", err)
	}
	udp, err := net.ListenUDP("udp", local)
	if err != nil {
		return nil, fmt.Errorf("listen for datagrams: %w", err)
	}
	p := &realPacketConn{r, udp}
	r.mu.Lock()
	r.packetConns[p] = true
	r.mu.Unlock()
	if !r.spawn(func() { p.receiveLoop(onDatagram) }) {
		closeQuietly(udp)
	}
	return p, nil
}

// receiveLoop passes datagrams to onDatagram until the socket or the environment is closed. It drops datagrams longer than MaxDatagram.
func (p *realPacketConn) receiveLoop(onDatagram func(b []byte)) {
	b := make([]byte, MaxDatagram+1) // one byte more, so that a datagram that is too long is recognized
	for {
		n, _, err := p.udp.ReadFromUDPAddrPort(b)
		switch {
		case err == nil && n <= MaxDatagram:
			p.env.trafficByKind[Datagram].addReceived(n)
			onDatagram(b[:n])
		case errors.Is(err, net.ErrClosed) || p.env.ctx.Err() != nil:
			return
		case err != nil: // such as when no process listens at an address to which a datagram was sent
			time.Sleep(datagramRetry)
		}
	}
}

// Address implements PacketConn.
func (p *realPacketConn) Address() string { return p.udp.LocalAddr().String() }

// Send implements PacketConn. It silently drops a datagram that is too long or has an invalid address: addresses are validated when the site
// file is read.
func (p *realPacketConn) Send(to string, b []byte) {
	target, err := netip.ParseAddrPort(to)
	if err != nil || len(b) > MaxDatagram {
		return
	}
	_ = p.udp.SetWriteDeadline(time.Now().Add(datagramSendTimeout))
	n, _ := p.udp.WriteToUDPAddrPort(b, target)
	p.env.trafficByKind[Datagram].sentMessages.Add(1)
	p.env.trafficByKind[Datagram].addSent(n)
}

// Close implements PacketConn.
func (p *realPacketConn) Close() {
	p.env.mu.Lock()
	delete(p.env.packetConns, p)
	p.env.mu.Unlock()
	closeQuietly(p.udp)
}
