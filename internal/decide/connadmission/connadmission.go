// Package connadmission decides about the connections at the owners' door of a hosted service: who comes in, who has to go for
// somebody else, and how much of what a tenant sends is read. It guards against callers without a token that fill the door, and
// against a tenant whose connections or bytes leave none for the others.
//
// A caller is a stranger until it has shown a token. Strangers are bounded by themselves, and the one that has waited longest
// makes way: a caller that shows its token at once is let in whatever the number of those that do not.
package connadmission

import (
	"math"
	"slices"
)

const (
	maxUnauthenticatedFraction = 0.25      // part of the door that is open to strangers
	crowdedFraction            = 0.5       // part of the door in use from which a tenant is held to its share
	shareFactor                = 2         // times its share that it may have then
	minConns                   = 2         // that a tenant may always have: one goes while the next comes
	authenticationTimeout      = 3000      // ms for a stranger to show a token
	maxUnauthenticatedBytes    = 4 << 10   // that a stranger may send
	defaultBytesPerSecond      = 512 << 10 // a second of each tenant that has no limit of its own: some 2,000 asks
	burstDuration              = 2000      // ms at that rate that may come at once
	maxExcessBursts            = 2         // bursts beyond it, from which a connection ends instead of being told to wait
)

// Limits are a tenant's.
type Limits struct {
	Share          float64 // beside those of others
	MaxConns       int     // at once, 0: by its share of the door
	BytesPerSecond float64 // a second, 0: as many as usual
}

type tenantUsage struct {
	limits    Limits
	conns     int
	level     float64 // bytes that came, less what drained since
	updatedAt float64 // when that was reckoned
}

type connection struct {
	id         uint32
	acceptedAt float64
	slot       int // -1: a stranger
	received   int // as a stranger
}

// Controller holds the counts.
type Controller struct {
	maxConns        int
	conns           map[uint32]*connection
	unauthenticated []uint32 // strangers in the order of their coming
	tenants         map[int]*tenantUsage
	shares          float64
}

// New makes a door for so many connections.
func New(most int) *Controller {
	return &Controller{maxConns: most, conns: map[uint32]*connection{}, tenants: map[int]*tenantUsage{}}
}

// SetLimits sets a tenant's limits. Connections that it has beyond smaller ones stay.
func (d *Controller) SetLimits(slot int, l Limits) {
	g := d.tenant(slot)
	d.shares += l.Share - g.limits.Share
	g.limits = l
}

func (d *Controller) tenant(slot int) *tenantUsage {
	if d.tenants[slot] == nil {
		d.tenants[slot] = &tenantUsage{}
	}
	return d.tenants[slot]
}

// Accept takes a new connection, a stranger. Another one may have to go for it (0: none); if it is not let in, no other can.
func (d *Controller) Accept(now float64, id uint32) (in bool, out uint32) {
	if len(d.conns) >= d.maxConns || len(d.unauthenticated) >= d.maxUnauthenticated() {
		if len(d.unauthenticated) == 0 {
			return false, 0
		}
		out = d.unauthenticated[0]
		d.OnClose(out)
	}
	d.conns[id] = &connection{id: id, acceptedAt: now, slot: -1}
	d.unauthenticated = append(d.unauthenticated, id)
	return true, out
}

func (d *Controller) maxUnauthenticated() int {
	return max(1, int(maxUnauthenticatedFraction*float64(d.maxConns)))
}

// Authenticate takes it that a connection has shown a tenant's token. False if the tenant has as many connections as it may.
func (d *Controller) Authenticate(id uint32, slot int) bool {
	c := d.conns[id]
	if c == nil || c.slot >= 0 {
		return c != nil && c.slot == slot
	}
	g := d.tenant(slot)
	if g.conns >= d.maxConnsOf(g) {
		return false
	}
	d.unauthenticated = slices.DeleteFunc(d.unauthenticated, func(w uint32) bool { return w == id })
	c.slot = slot
	g.conns++
	return true
}

// maxConnsOf is how many connections a tenant may have.
func (d *Controller) maxConnsOf(g *tenantUsage) int {
	if g.limits.MaxConns > 0 {
		return g.limits.MaxConns
	}
	room := float64(d.maxConns - d.maxUnauthenticated())
	if float64(len(d.conns)-len(d.unauthenticated)) < crowdedFraction*room {
		return max(minConns, int(crowdedFraction*room))
	}
	return max(minConns, int(math.Ceil(shareFactor*g.limits.Share/max(d.shares, g.limits.Share, 1e-9)*room)))
}

// OnClose takes it that a connection is over.
func (d *Controller) OnClose(id uint32) {
	c := d.conns[id]
	if c == nil {
		return
	}
	delete(d.conns, id)
	if c.slot < 0 {
		d.unauthenticated = slices.DeleteFunc(d.unauthenticated, func(w uint32) bool { return w == id })
		return
	}
	d.tenants[c.slot].conns--
}

// AuthenticationExpired gives the strangers whose time to show a token is up. The caller ends them.
func (d *Controller) AuthenticationExpired(now float64) (late []uint32) {
	for _, id := range d.unauthenticated {
		if now-d.conns[id].acceptedAt <= authenticationTimeout {
			break // the rest came later
		}
		late = append(late, id)
	}
	return late
}

// Verdict is about bytes that came.
type Verdict uint8

const (
	Accept   Verdict = iota
	Throttle         // read, but asks in them are declined: their tenant has sent more than it may
	Close            // the connection ends
)

// OnBytes takes bytes that came on a connection. With Hold it gives the time, in ms, in which the tenant may ask again.
func (d *Controller) OnBytes(now float64, id uint32, bytes int) (v Verdict, back float64) {
	c := d.conns[id]
	switch {
	case c == nil:
		return Close, 0
	case c.slot < 0:
		if c.received += bytes; c.received > maxUnauthenticatedBytes {
			return Close, 0
		}
		return Accept, 0
	}
	g, rate := d.tenants[c.slot], float64(defaultBytesPerSecond)
	if g.limits.BytesPerSecond > 0 {
		rate = g.limits.BytesPerSecond
	}
	full := max(rate*burstDuration/1000, maxUnauthenticatedBytes)
	g.level = max(0, g.level-max(0, now-g.updatedAt)/1000*rate) + float64(bytes)
	g.updatedAt = max(g.updatedAt, now)
	switch {
	case g.level <= full:
		return Accept, 0
	case g.level > (1+maxExcessBursts)*full:
		g.level = (1 + maxExcessBursts) * full // who comes back finds it no fuller
		return Close, 0
	}
	return Throttle, math.Ceil((g.level - full) / rate * 1000)
}

// Conns is how many connections a tenant has, Strangers how many callers have shown no token.
func (d *Controller) Conns(slot int) int {
	if g := d.tenants[slot]; g != nil {
		return g.conns
	}
	return 0
}
func (d *Controller) Unauthenticated() int { return len(d.unauthenticated) }
