// Package connadmission implements admission control for the connections at the client listener of a hosted service: which connection is
// accepted, which is closed in favor of another, and how many bytes a tenant may send. It prevents callers without a token from filling the
// listener, and the connections or bytes of one tenant from crowding out the others.
//
// A connection is unauthenticated until it has presented a tenant's token. Unauthenticated connections have a separate limit. At this limit
// the oldest one is closed for a new one, so that a client that presents its token at once is accepted however many others do not.
//
// The inputs are connections, tokens, bytes and times; the outputs are decisions. The package does no I/O, starts no goroutines and returns no
// errors. A Controller is not safe for concurrent use. Times are milliseconds on the caller's clock.
package connadmission

import (
	"math"
	"slices"
)

const (
	maxUnauthenticatedFraction = 0.25    // fraction of all connections that may be unauthenticated
	crowdedFraction            = 0.5     // fraction of the tenants' connections in use at which the limits by share begin to apply
	shareFactor                = 2       // limit of a tenant then, as a multiple of its share
	minConns                   = 2       // minimum limit of a tenant without MaxConns, so that it can open a connection while the old one closes
	authenticationTimeout      = 3000    // ms
	maxUnauthenticatedBytes    = 4 << 10 // bytes that are read before authentication
)

// Limits are a tenant's limits.
type Limits struct {
	Share          float64 // only the ratio to the other tenants' shares matters
	MaxConns       int     // connections at once; 0 means as many as the share allows
	BytesPerSecond float64 // 0 means defaultBytesPerSecond
}

// tenantUsage is the limits of a tenant and its use of them.
type tenantUsage struct {
	limits    Limits
	conns     int
	level     float64 // level of the leaky bucket: bytes received, less those that the rate has drained since
	updatedAt float64 // time at which the level was computed
}

// unauthenticated is the slot of connections that have not presented a token.
const unauthenticated = -1

// connection is an accepted connection.
type connection struct {
	id         uint32
	acceptedAt float64
	slot       int // slot of its tenant, or unauthenticated
	received   int // bytes received before authentication
}

// Controller decides about the connections of a listener.
type Controller struct {
	maxConns        int
	conns           map[uint32]*connection
	unauthenticated []uint32             // IDs in order of arrival
	tenants         map[int]*tenantUsage // by slot
	shares          float64              // sum of all tenants' shares
}

// New returns a controller with a limit of connections at once.
func New(maxConns int) *Controller {
	return &Controller{maxConns: maxConns, conns: map[uint32]*connection{}, tenants: map[int]*tenantUsage{}}
}

// SetLimits sets a tenant's limits. Connections that exceed lower limits stay open.
func (c *Controller) SetLimits(slot int, limits Limits) {
	t := c.tenant(slot)
	c.shares += limits.Share - t.limits.Share
	t.limits = limits
}

// tenant returns the usage record of a tenant, which is created if there is none.
func (c *Controller) tenant(slot int) *tenantUsage {
	if c.tenants[slot] == nil {
		c.tenants[slot] = &tenantUsage{}
	}
	return c.tenants[slot]
}

// Accept decides about a new connection, which is unauthenticated. closed is the connection that the caller has to close in favor of the new
// one, 0 if there is none.
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

// Authenticate records that a connection has presented the token of a tenant. It returns false if the tenant has reached its limit of
// connections, or if the connection is unknown or belongs to another tenant.
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

// maxConnsOf returns the limit of connections of a tenant.
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

// AuthenticationExpired returns the connections that have not presented a token within authenticationTimeout. The caller has to close them.
func (c *Controller) AuthenticationExpired(now float64) (expired []uint32) {
	for _, id := range c.unauthenticated {
		if now-c.conns[id].acceptedAt <= authenticationTimeout {
			break // the rest arrived later
		}
		expired = append(expired, id)
	}
	return expired
}

// Conns returns the number of authenticated connections of a tenant.
func (c *Controller) Conns(slot int) int {
	if t := c.tenants[slot]; t != nil {
		return t.conns
	}
	return 0
}

// Unauthenticated returns the number of connections that have not presented a token.
func (c *Controller) Unauthenticated() int { return len(c.unauthenticated) }
