package env

import (
	"context"
	"crypto/tls"
	"net"
	"slices"
	"sync"
	"time"
)

// Limits for TLS handshakes. A peer that begins one and does not complete it holds one of maxHandshakes places for handshakeTimeout at most.
const (
	maxHandshakes    = 64
	handshakeTimeout = 3 * time.Second
)

// handshakes are the TLS handshakes of one listener that are in progress.
type handshakes struct {
	mu    sync.Mutex
	conns []net.Conn // in the order in which they were accepted
}

// add adds a connection. If too many handshakes are in progress, the oldest is closed, as it had the longest time: peers that complete theirs
// quickly are accepted however many others do not.
func (h *handshakes) add(c net.Conn) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if len(h.conns) >= maxHandshakes {
		closeQuietly(h.conns[0])
		h.conns = slices.Delete(h.conns, 0, 1)
	}
	h.conns = append(h.conns, c)
}

// remove removes a connection whose handshake has ended.
func (h *handshakes) remove(c net.Conn) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if i := slices.Index(h.conns, c); i >= 0 {
		h.conns = slices.Delete(h.conns, i, i+1)
	}
}

// handshake passes a connection to onAccept once its TLS handshake is complete, and closes it if the handshake fails.
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
