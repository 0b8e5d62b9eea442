package outside

import (
	"errors"
	"fmt"
	"net"
	"net/netip"
	"time"
)

// port takes datagrams on a goroutine of its own.
type port struct {
	r *Real
	c *net.UDPConn
}

// ListenPacket takes datagrams at an address of digits and a port.
func (r *Real) ListenPacket(address string, heard func(b []byte)) (PacketConn, error) {
	at, err := net.ResolveUDPAddr("udp", address)
	if err != nil {
		return nil, fmt.Errorf("datagrams: %w", err)
	}
	c, err := net.ListenUDP("udp", at)
	if err != nil {
		return nil, fmt.Errorf("datagrams: %w", err)
	}
	p := &port{r, c}
	r.mu.Lock()
	r.ports[p] = true
	r.mu.Unlock()
	ok := r.goes(func() {
		b := make([]byte, MaxDatagram+1) // one that is longer shows
		for {
			n, _, err := c.ReadFromUDPAddrPort(b)
			switch {
			case err == nil && n <= MaxDatagram:
				p.r.traffic[Datagram].received(n)
				heard(b[:n])
			case errors.Is(err, net.ErrClosed) || r.ctx.Err() != nil:
				return
			case err != nil: // a port that nobody listens at answers so
				time.Sleep(time.Millisecond)
			}
		}
	})
	if !ok {
		c.Close()
	}
	return p, nil
}

func (p *port) Address() string { return p.c.LocalAddr().String() }

func (p *port) Send(to string, b []byte) {
	at, err := netip.ParseAddrPort(to)
	if err != nil || len(b) > MaxDatagram {
		return // as if lost: an address that is none is found when the site file is read
	}
	_ = p.c.SetWriteDeadline(time.Now().Add(sendFor))
	n, _ := p.c.WriteToUDPAddrPort(b, at)
	p.r.traffic[Datagram].sentMessages.Add(1)
	p.r.traffic[Datagram].sent(n)
}

// sendFor bounds how long a datagram waits for a place in the kernel's queue.
const sendFor = 5 * time.Millisecond

func (p *port) StopAccepting() {
	p.r.mu.Lock()
	delete(p.r.ports, p)
	p.r.mu.Unlock()
	p.c.Close()
}
