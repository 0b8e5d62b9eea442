package env

import (
	"errors"
	"fmt"
	"net"
	"net/netip"
	"time"
)

// Times of datagrams.
const (
	datagramSendTimeout = 5 * time.Millisecond // for a place in the kernel's queue
	datagramRetry       = time.Millisecond     // after a failure to receive
)

// realPacketConn receives datagrams on a goroutine of its own.
type realPacketConn struct {
	env *Real
	udp *net.UDPConn
}

// ListenPacket implements Environment.
func (r *Real) ListenPacket(address string, onDatagram func(b []byte)) (PacketConn, error) {
	local, err := net.ResolveUDPAddr("udp", address)
	if err != nil {
		return nil, fmt.Errorf("datagrams: %w", err)
	}
	udp, err := net.ListenUDP("udp", local)
	if err != nil {
		return nil, fmt.Errorf("datagrams: %w", err)
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

// receiveLoop hands over datagrams until the socket or the environment is closed. Datagrams beyond MaxDatagram are dropped.
func (p *realPacketConn) receiveLoop(onDatagram func(b []byte)) {
	b := make([]byte, MaxDatagram+1) // a datagram that is too long fills it
	for {
		n, _, err := p.udp.ReadFromUDPAddrPort(b)
		switch {
		case err == nil && n <= MaxDatagram:
			p.env.trafficByKind[Datagram].addReceived(n)
			onDatagram(b[:n])
		case errors.Is(err, net.ErrClosed) || p.env.ctx.Err() != nil:
			return
		case err != nil: // as when nobody listens at an address that was sent to
			time.Sleep(datagramRetry)
		}
	}
}

// Address implements PacketConn.
func (p *realPacketConn) Address() string { return p.udp.LocalAddr().String() }

// Send implements PacketConn. A datagram that is too long, or for an address that is none, counts as lost: addresses are checked when the site
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
