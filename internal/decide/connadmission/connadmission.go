// Package connadmission decides about the connections at the client listener of a hosted service: which is accepted, which is closed for
// another, and how much of what a tenant sends is read. It guards against callers that fill the listener without a token, and against a
// tenant whose connections or bytes leave none for the others.
//
// A connection is unauthenticated until it has shown a tenant's token. Unauthenticated connections have a limit of their own, beyond which
// the oldest is closed for a new one, so that a client that shows its token at once is accepted however many others do not.
//
// Connections, tokens, bytes and times go in; decisions come out. The package does no I/O, starts no goroutines and returns no errors. A
// Controller is not safe for concurrent use. Times are milliseconds on the caller's clock.
package connadmission

import (
	"math"
	"slices"
)

const (
	maxUnauthenticatedFraction = 0.25 // of all connections
	crowdedFraction            = 0.5  // of the connections for tenants, in use, from which a tenant is held to its share
	shareFactor                = 2    // times its share that a tenant may have then
	minConns                   = 2    // that a tenant may always have: one closes while the next opens
	authenticationTimeout      = 3000 // ms
	maxUnauthenticatedBytes    = 4 << 10
)

// Limits are a tenant's limits.
type Limits struct {
	Share          float64 // in proportion to those of others
	MaxConns       int     // connections at once; 0: by its share of all
	BytesPerSecond float64 // 0: defaultBytesPerSecond
}

// tenantUsage is what a tenant uses.
type tenantUsage struct {
	limits    Limits
	conns     int
	level     float64 // bytes received, less those that its rate has drained since
	updatedAt float64 // when the level was computed
}

// unauthenticated is the slot of connections without a token.
const unauthenticated = -1

// connection is an accepted connection.
type connection struct {
	id         uint32
	acceptedAt float64
	slot       int // of its tenant, or unauthenticated
	received   int // bytes before authentication
}

// Controller decides about the connections of a listener.
type Controller struct {
	maxConns        int
	conns           map[uint32]*connection
	unauthenticated []uint32             // in order of arrival
	tenants         map[int]*tenantUsage // by slot
	shares          float64              // sum of all tenants' shares
}

// New returns a controller for a number of connections at once.
func New(maxConns int) *Controller {
	return &Controller{maxConns: maxConns, conns: map[uint32]*connection{}, tenants: map[int]*tenantUsage{}}
}

// SetLimits sets a tenant's limits. Connections that it has beyond lower ones stay.
func (c *Controller) SetLimits(slot int, limits Limits) {
	t := c.tenant(slot)
	c.shares += limits.Share - t.limits.Share
	t.limits = limits
}

func (c *Controller) tenant(slot int) *tenantUsage {
	if c.tenants[slot] == nil {
		c.tenants[slot] = &tenantUsage{}
	}
	return c.tenants[slot]
}

// Accept decides about a new connection, which is unauthenticated. If it is accepted in the place of another, that one is to be closed;
// 0 if there is none.
func (c *Controller) Accept(now float64, id uint32) (accepted bool, closed uint32) {
	if len(c.conns) >= c.maxConns || len(c.unauthenticated) >= c.maxUnauthenticated() {
		if len(c.unauthenticated) == 0 {
			return false, 0
		}
		closed = c.unauthenticated[0]
		c.OnClose(closed)
	}
	c.conns[id] = &connection{id: id, acceptedAt: now, slot: unauthenticated}
	c.unauthenticated = append(c.unauthenticated, id)
	return true, closed
}

func (c *Controller) maxUnauthenticated() int {
	return max(1, int(maxUnauthenticatedFraction*float64(c.maxConns)))
}

// Authenticate records that a connection has shown a tenant's token; false if the tenant has as many connections as it may.
func (c *Controller) Authenticate(id uint32, slot int) bool {
	conn := c.conns[id]
	if conn == nil {
		return false
	}
	if conn.slot >= 0 {
		return conn.slot == slot
	}
	t := c.tenant(slot)
	if t.conns >= c.maxConnsOf(t) {
		return false
	}
	c.removeUnauthenticated(id)
	conn.slot = slot
	t.conns++
	return true
}

func (c *Controller) removeUnauthenticated(id uint32) {
	c.unauthenticated = slices.DeleteFunc(c.unauthenticated, func(x uint32) bool { return x == id })
}

// maxConnsOf returns how many connections a tenant may have.
func (c *Controller) maxConnsOf(t *tenantUsage) int {
	if t.limits.MaxConns > 0 {
		return t.limits.MaxConns
	}
	available := float64(c.maxConns - c.maxUnauthenticated())
	inUse := float64(len(c.conns) - len(c.unauthenticated))
	if inUse < crowdedFraction*available {
		return max(minConns, int(crowdedFraction*available))
	}
	return max(minConns, int(math.Ceil(shareFactor*t.limits.Share/max(c.shares, t.limits.Share, 1e-9)*available)))
}

// OnClose records that a connection is closed.
func (c *Controller) OnClose(id uint32) {
	conn := c.conns[id]
	if conn == nil {
		return
	}
	delete(c.conns, id)
	if conn.slot < 0 {
		c.removeUnauthenticated(id)
		return
	}
	c.tenants[conn.slot].conns--
}

// AuthenticationExpired returns the connections that have shown no token in time. The caller closes them.
func (c *Controller) AuthenticationExpired(now float64) (expired []uint32) {
	for _, id := range c.unauthenticated {
		if now-c.conns[id].acceptedAt <= authenticationTimeout {
			break // the rest arrived later
		}
		expired = append(expired, id)
	}
	return expired
}

// Conns returns how many connections a tenant has.
func (c *Controller) Conns(slot int) int {
	if t := c.tenants[slot]; t != nil {
		return t.conns
	}
	return 0
}

// Unauthenticated returns how many connections have shown no token.
func (c *Controller) Unauthenticated() int { return len(c.unauthenticated) }
