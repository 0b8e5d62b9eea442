package serve

import (
	"maps"
	"math"
	"slices"
	"sync"
	"sync/atomic"

	"ravenpond/internal/decide/connadmission"
	"ravenpond/internal/env"
)

// clientStuckTimeout is how long, in ms, a client may go without reading a byte of what is sent to it.
const clientStuckTimeout = 5000

// clientHandler handles the calls of clients. It is called without a lock of the client listener held.
type clientHandler interface {
	// allocate submits a request that the client has opened.
	allocate(c *clientConn, r allocateRequest)
	// withdraw withdraws a request that waits in a queue or is at a shard.
	withdraw(c *clientConn, number uint64) error
	// onClientClosed withdraws all open requests of a client that disconnected.
	onClientClosed(clientID uint32)
}

// clientListener accepts clients, up to the limit of the site file, and holds their connections. If the process hosts tenants, it limits the
// connections and bytes of each tenant.
//
// mu comes after routerMu and before the locks of clientConns in the lock order. It is not held while connections are closed.
type clientListener struct {
	*process
	handler   clientHandler
	tenants   *tenantHosting
	stalls    *stallDetector
	listener  env.Listener // set by listen, before the first client
	dropInput atomic.Bool  // bytes from clients are dropped

	mu        sync.Mutex // guards the fields below
	conns     map[uint32]*clientConn
	lastID    uint32
	admission *connadmission.Controller // nil unless the process hosts tenants
}

func newClientListener(p *process, handler clientHandler, tenants *tenantHosting, stalls *stallDetector) *clientListener {
	l := &clientListener{process: p, handler: handler, tenants: tenants, stalls: stalls, conns: map[uint32]*clientConn{}}
	if p.hostsTenants() {
		l.admission = connadmission.New(p.config.Site.MaxClients)
	}
	return l
}

// listen starts to accept clients.
func (l *clientListener) listen() (err error) {
	l.listener, err = l.env.Listen(l.config.Site.ClientsListen, l.accept)
	return err
}

// address returns the address to which clients connect.
func (l *clientListener) address() string { return l.listener.Address() }

// stopAccepting closes the listener. Existing connections stay.
func (l *clientListener) stopAccepting() { l.listener.Close() }

// accept starts a new connection, or closes it if there are too many.
func (l *clientListener) accept(conn env.Conn) {
	l.mu.Lock()
	c := l.newConn()
	c.conn = conn
	accepted, evictedID := len(l.conns) < l.config.Site.MaxClients, uint32(0)
	if l.admission != nil {
		accepted, evictedID = l.admission.Accept(l.env.Now(), c.id)
	}
	accepted = accepted && !l.stopped.Load()
	if accepted {
		l.conns[c.id] = c
	} else if l.admission != nil {
		l.admission.OnClose(c.id)
	}
	evicted := l.conns[evictedID]
	l.mu.Unlock()
	if evicted != nil {
		evicted.disconnect("unauthenticated connection closed to accept a new one")
	}
	if !accepted {
		l.log.Warn().Str("mode", "owners").Int("most", l.config.Site.MaxClients).Msg("connection rejected: too many clients")
		conn.Close(false, nil)
		return
	}
	conn.Start(c, clientStuckTimeout)
}

// newConn creates a connection with a new ID. The caller holds mu.
func (l *clientListener) newConn() *clientConn {
	l.lastID++
	return &clientConn{listener: l, id: l.lastID, requests: map[uint64]requestState{}}
}

// connectLocal adds a client without a socket.
func (l *clientListener) connectLocal(handler AnswerHandler) *clientConn {
	l.mu.Lock()
	defer l.mu.Unlock()
	c := l.newConn()
	c.local = handler
	l.conns[c.id] = c
	return c
}

// byID returns the client with an ID, or nil if it is not connected.
func (l *clientListener) byID(id uint32) *clientConn {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.conns[id]
}

// connected returns the clients sorted by ID.
func (l *clientListener) connected() (conns []*clientConn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, id := range slices.Sorted(maps.Keys(l.conns)) {
		conns = append(conns, l.conns[id])
	}
	return conns
}

// remove removes a connection that has ended.
func (l *clientListener) remove(id uint32) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.conns, id)
	if l.admission != nil {
		l.admission.OnClose(id)
	}
}

// hasQueuedAnswers reports whether messages to any client wait to be handed to the network.
func (l *clientListener) hasQueuedAnswers() bool {
	for _, c := range l.connected() {
		if c.hasQueuedAnswers() {
			return true
		}
	}
	return false
}

// stopReading has all further bytes from clients dropped. No reply tells clients that these calls were accepted.
func (l *clientListener) stopReading() { l.dropInput.Store(true) }

// hasOpenRequests reports whether any client has an unanswered request.
func (l *clientListener) hasOpenRequests() bool {
	for _, c := range l.connected() {
		if _, ok := c.overdue(math.Inf(1)); ok {
			return true
		}
	}
	return false
}

// disconnectAll closes all connections after their queued messages have been sent.
func (l *clientListener) disconnectAll(reason string) {
	for _, c := range l.connected() {
		c.disconnectGracefully(reason)
	}
}

// admitBytes counts bytes that a client sent. It returns what to do with the connection, and for how many ms the requests of its tenant are
// shed.
func (l *clientListener) admitBytes(id uint32, bytes int) (verdict connadmission.Verdict, retryAfter float64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.admission.OnBytes(l.env.Now(), id, bytes)
}

// bindTenant assigns a connection to a tenant. It reports whether the tenant's limit allows another connection.
func (l *clientListener) bindTenant(id uint32, slot int) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.admission.Authenticate(id, slot)
}

// setLimits sets the limits on connections and bytes, by tenant slot.
func (l *clientListener) setLimits(limits map[int]connadmission.Limits) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for slot, limit := range limits {
		l.admission.SetLimits(slot, limit)
	}
}

// disconnectUnauthenticated closes connections on which no token was received in time.
func (l *clientListener) disconnectUnauthenticated() {
	l.mu.Lock()
	var late []*clientConn
	for _, id := range l.admission.AuthenticationExpired(l.env.Now()) {
		if c := l.conns[id]; c != nil {
			late = append(late, c)
		}
	}
	l.mu.Unlock()
	for _, c := range late {
		c.disconnect("no token received in time")
	}
}
