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
	strangers   = 0.25      // part of the door that is open to strangers
	crowded     = 0.5       // part of the door in use from which a tenant is held to its share
	slack       = 2         // times its share that it may have then
	leastConns  = 2         // that a tenant may always have: one goes while the next comes
	strangerFor = 3000      // ms for a stranger to show a token
	firstBytes  = 4 << 10   // that a stranger may send
	usualBytes  = 512 << 10 // a second of each tenant that has no limit of its own: some 2,000 asks
	burst       = 2000      // ms at that rate that may come at once
	deep        = 2         // bursts beyond it, from which a connection ends instead of being told to wait
)

// Limits are a tenant's.
type Limits struct {
	Share float64 // beside those of others
	Conns int     // at once, 0: by its share of the door
	Bytes float64 // a second, 0: as many as usual
}

type guest struct {
	limits Limits
	conns  int
	level  float64 // bytes that came, less what drained since
	at     float64 // when that was reckoned
}

type conn struct {
	id   uint32
	came float64
	slot int // -1: a stranger
	sent int // as a stranger
}

// Door holds the counts.
type Door struct {
	most   int
	conns  map[uint32]*conn
	waits  []uint32 // strangers in the order of their coming
	guests map[int]*guest
	shares float64
}

// New makes a door for so many connections.
func New(most int) *Door {
	return &Door{most: most, conns: map[uint32]*conn{}, guests: map[int]*guest{}}
}

// Limit sets a tenant's limits. Connections that it has beyond smaller ones stay.
func (d *Door) Limit(slot int, l Limits) {
	g := d.guest(slot)
	d.shares += l.Share - g.limits.Share
	g.limits = l
}

func (d *Door) guest(slot int) *guest {
	if d.guests[slot] == nil {
		d.guests[slot] = &guest{}
	}
	return d.guests[slot]
}

// Came takes a new connection, a stranger. Another one may have to go for it (0: none); if it is not let in, no other can.
func (d *Door) Came(now float64, id uint32) (in bool, out uint32) {
	if len(d.conns) >= d.most || len(d.waits) >= d.strangers() {
		if len(d.waits) == 0 {
			return false, 0
		}
		out = d.waits[0]
		d.Gone(out)
	}
	d.conns[id] = &conn{id: id, came: now, slot: -1}
	d.waits = append(d.waits, id)
	return true, out
}

func (d *Door) strangers() int { return max(1, int(strangers*float64(d.most))) }

// Known takes it that a connection has shown a tenant's token. False if the tenant has as many connections as it may.
func (d *Door) Known(id uint32, slot int) bool {
	c := d.conns[id]
	if c == nil || c.slot >= 0 {
		return c != nil && c.slot == slot
	}
	g := d.guest(slot)
	if g.conns >= d.may(g) {
		return false
	}
	d.waits = slices.DeleteFunc(d.waits, func(w uint32) bool { return w == id })
	c.slot = slot
	g.conns++
	return true
}

// may is how many connections a tenant may have.
func (d *Door) may(g *guest) int {
	if g.limits.Conns > 0 {
		return g.limits.Conns
	}
	room := float64(d.most - d.strangers())
	if float64(len(d.conns)-len(d.waits)) < crowded*room {
		return max(leastConns, int(crowded*room))
	}
	return max(leastConns, int(math.Ceil(slack*g.limits.Share/max(d.shares, g.limits.Share, 1e-9)*room)))
}

// Gone takes it that a connection is over.
func (d *Door) Gone(id uint32) {
	c := d.conns[id]
	if c == nil {
		return
	}
	delete(d.conns, id)
	if c.slot < 0 {
		d.waits = slices.DeleteFunc(d.waits, func(w uint32) bool { return w == id })
		return
	}
	d.guests[c.slot].conns--
}

// Late gives the strangers whose time to show a token is up. The caller ends them.
func (d *Door) Late(now float64) (late []uint32) {
	for _, id := range d.waits {
		if now-d.conns[id].came <= strangerFor {
			break // the rest came later
		}
		late = append(late, id)
	}
	return late
}

// Verdict is about bytes that came.
type Verdict uint8

const (
	Read Verdict = iota
	Hold         // read, but asks in them are declined: their tenant has sent more than it may
	End          // the connection ends
)

// Sent takes bytes that came on a connection. With Hold it gives the time, in ms, in which the tenant may ask again.
func (d *Door) Sent(now float64, id uint32, bytes int) (v Verdict, back float64) {
	c := d.conns[id]
	switch {
	case c == nil:
		return End, 0
	case c.slot < 0:
		if c.sent += bytes; c.sent > firstBytes {
			return End, 0
		}
		return Read, 0
	}
	g, rate := d.guests[c.slot], float64(usualBytes)
	if g.limits.Bytes > 0 {
		rate = g.limits.Bytes
	}
	full := max(rate*burst/1000, firstBytes)
	g.level = max(0, g.level-max(0, now-g.at)/1000*rate) + float64(bytes)
	g.at = max(g.at, now)
	switch {
	case g.level <= full:
		return Read, 0
	case g.level > (1+deep)*full:
		g.level = (1 + deep) * full // who comes back finds it no fuller
		return End, 0
	}
	return Hold, math.Ceil((g.level - full) / rate * 1000)
}

// Conns is how many connections a tenant has, Strangers how many callers have shown no token.
func (d *Door) Conns(slot int) int {
	if g := d.guests[slot]; g != nil {
		return g.conns
	}
	return 0
}
func (d *Door) Strangers() int { return len(d.waits) }
