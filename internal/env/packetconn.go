package env

import (
	"errors"
	"fmt"
	"net"
	"net/netip"
	"time"
)

// realPacketConn takes datagrams on a goroutine of its own.
type realPacketConn struct {
	env *Real
	udp *net.UDPConn
}

// ListenPacket takes datagrams at an address of digits and a port.
func (r *Real) ListenPacket(address string, onDatagram func(b []byte)) (PacketConn, error) {
	local, err := net.ResolveUDPAddr("udp", address)
	if err != nil {
		return nil, fmt.Errorf("datagrams: %w", err)
	}
	udp, err := net.ListenUDP("udp", local)
	if err != nil {
		return nil, fmt.Errorf("datagrams: %w", err)
	}
	packetConn := &realPacketConn{r, udp}
	r.mu.Lock()
	r.packetConns[packetConn] = true
	r.mu.Unlock()
	ok := r.spawn(func() {
		b := make([]byte, MaxDatagram+1) // one that is longer shows
		for {
			n, _, err := udp.ReadFromUDPAddrPort(b)
			switch {
			case err == nil && n <= MaxDatagram:
				packetConn.env.trafficByKind[Datagram].addReceived(n)
				onDatagram(b[:n])
			case errors.Is(err, net.ErrClosed) || r.ctx.Err() != nil:
				return
			case err != nil: // a port that nobody listens at answers so
				time.Sleep(time.Millisecond)
			}
		}
	})
	if !ok {
		udp.Close()
	}
	return packetConn, nil
}

func (p *realPacketConn) Address() string { return p.udp.LocalAddr().String() }

func (p *realPacketConn) Send(to string, b []byte) {
	target, err := netip.ParseAddrPort(to)
	if err != nil || len(b) > MaxDatagram {
		return // as if lost: an address that is none is found when the site file is read
	}
	_ = p.udp.SetWriteDeadline(time.Now().Add(datagramSendTimeout))
	n, _ := p.udp.WriteToUDPAddrPort(b, target)
	p.env.trafficByKind[Datagram].sentMessages.Add(1)
	p.env.trafficByKind[Datagram].addSent(n)
}

// datagramSendTimeout bounds how long a datagram waits for a place in the kernel's queue.
const datagramSendTimeout = 5 * time.Millisecond

func (p *realPacketConn) Close() {
	p.env.mu.Lock()
	delete(p.env.packetConns, p)
	p.env.mu.Unlock()
	p.udp.Close()
}
