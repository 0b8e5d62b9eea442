package env

import (
	"context"
	"crypto/tls"
	"net"
	"slices"
	"sync"
	"time"
)

// Bounds of TLS handshakes. A peer that begins one and does not complete it costs no more than a place for a moment.
const (
	maxHandshakes    = 64
	handshakeTimeout = 3 * time.Second
)

// handshakes are the handshakes of one listener that are under way.
type handshakes struct {
	mu    sync.Mutex
	conns []net.Conn // in the order of their acceptance
}

// add adds a connection. While too many handshakes are under way the oldest is closed, as it had the longest time: peers that complete theirs
// quickly are accepted whatever the number of those that don't.
func (h *handshakes) add(c net.Conn) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if len(h.conns) >= maxHandshakes {
		closeQuietly(h.conns[0])
		h.conns = slices.Delete(h.conns, 0, 1)
	}
	h.conns = append(h.conns, c)
}

// remove drops a connection whose handshake is over.
func (h *handshakes) remove(c net.Conn) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if i := slices.Index(h.conns, c); i >= 0 {
		h.conns = slices.Delete(h.conns, i, i+1)
	}
}

// handshake hands a connection over when its handshake is complete. It closes one whose handshake fails.
func (r *Real) handshake(netConn net.Conn, pending *handshakes, onAccept func(Conn)) {
	pending.add(netConn)
	ok := r.spawn(func() {
		ctx, stop := context.WithTimeout(r.ctx, handshakeTimeout)
		defer stop()
		secured := tls.Server(netConn, r.TLS)
		err := secured.HandshakeContext(ctx)
		pending.remove(netConn)
		if err != nil {
			closeQuietly(netConn)
			return
		}
		onAccept(r.newConn(secured, &r.trafficByKind[Accepted]))
	})
	if !ok {
		pending.remove(netConn)
		closeQuietly(netConn)
	}
}
