// Package admit decides whether an allocation is taken at all. What is not taken is declined at once, so its
// owner can go elsewhere while there is time; what is taken is owed an answer before its expiry. It guards
// against tables that grow until every answer is late, and against one tenant's flood filling the table.
package admit

import (
	"cmp"
	"math"
)

const (
	crowded = 0.5 // part of the open limit from which a tenant is held to its share
	slack   = 1.5 // times its share that a tenant may hold then
)

// Why says why an allocation was not taken.
type Why uint8

const (
	Taken   Why = iota
	Full        // the limit of open allocations
	Flood       // its tenant holds more than its share while the table is crowded
	TooLate     // it could not be answered in the time that is left
	Large       // no machine of its kind could ever hold it
)

func (w Why) String() string {
	return [...]string{"taken", "full", "tenant-flood", "too-late", "too-large"}[w]
}

// Door holds the counts that admission rests on. An allocation is open from taken to answered.
type Door struct {
	limit int
	most  []int // that a tenant may hold while the table is crowded
	open  int
	by    []int

	shares []float64
}

// New makes a door for so many open allocations and tenants with these shares, which sum to 1 at most.
func New(limit int, shares []float64) *Door {
	d := &Door{by: make([]int, len(shares)), most: make([]int, len(shares)), shares: shares}
	d.Limit(limit)
	return d
}

// Limit changes how many may be open. What is open beyond a lower one stays.
func (d *Door) Limit(limit int) {
	d.limit = limit
	for i, share := range d.shares {
		d.most[i] = int(math.Ceil(slack * share * float64(limit)))
	}
}

// Open is the number of open allocations.
func (d *Door) Open() int { return d.open }

// Enter decides about an allocation: left is its time to expiry, least the time that an answer needs, fits
// whether some machine could hold it when empty.
func (d *Door) Enter(tenant int, left, least float64, fits bool) Why {
	switch {
	case !fits:
		return Large
	case left <= least:
		return TooLate
	case d.open >= d.limit:
		return Full
	case float64(d.open) >= crowded*float64(d.limit) && d.by[tenant] >= d.most[tenant]:
		return Flood
	}
	d.open++
	d.by[tenant]++
	return Taken
}

// Leave counts an answered allocation out.
func (d *Door) Leave(tenant int) {
	d.open--
	d.by[tenant]--
}

// Gate declines at a shard's door what would wait too long behind what has come in already. It foretells the wait
// from the number of asks ahead and the time that each took lately, as the age of what waits shows a flood only when it
// is too late: a door that opens and shuts by age lets in a flood's worth each time. The heap that a hiccup leaves is
// worked off; one that grows beyond that is a sign of overload, and then less may wait until little is declined.
type Gate struct {
	Burst, Standing float64 // ms, in place of the usual ones, if they are set

	cost    float64 // ms of work an ask takes
	tight   bool
	since   float64 // when the present span began
	in, off int     // that were let in and declined in it
}

const (
	burst    = 40  // ms of work that may wait where there is seldom any
	standing = 8   // and under overload: what waited longer is no better than what is asked for again
	span     = 200 // ms after which a tight gate looks back
	few      = 0.2 // part of the asks declined in a span, below which it is not overload any more
	heed     = 0.1 // weight of an ask in the cost

	burstPart    = 0.2 // of the target delay, in place of the above
	standingPart = 0.05
)

// Worked tells how long, in ms, a round took in which so many asks were worked off.
func (g *Gate) Worked(took float64, asks int) {
	if asks == 0 {
		return
	}
	each := took / float64(asks)
	if g.cost == 0 {
		g.cost = each
	}
	part := 1 - math.Pow(1-heed, float64(asks)) // a round of many asks says as much as many rounds
	g.cost += part * (each - g.cost)
}

// Enter tells whether an allocation may come in, at a time in ms, with so many asks ahead and after it lay unread
// for so long.
func (g *Gate) Enter(now, unread float64, ahead int) bool {
	wait := unread + float64(ahead)*g.cost
	if !g.tight {
		if wait <= cmp.Or(g.Burst, burst) {
			return true
		}
		g.tight, g.since, g.in, g.off = true, now, 0, 0
	}
	if now-g.since > span {
		g.tight = float64(g.off) >= few*float64(g.in+g.off)
		g.since, g.in, g.off = now, 0, 0
	}
	if g.tight && wait > cmp.Or(g.Standing, standing) {
		g.off++
		return false
	}
	g.in++
	return true
}

// Cost is how many ms of work an ask took lately.
func (g *Gate) Cost() float64 { return g.cost }

// Within has the gate hold back by the time that asks are to be answered in, in ms: where owners wait for long, more may
// wait for its turn.
func Within(target float64) Gate {
	return Gate{Burst: burstPart * target, Standing: standingPart * target}
}

// Tight tells whether the gate holds back by the lower limit.
func (g *Gate) Tight() bool { return g.tight }

// Lag tells how long an owner's asks lie unread on their way, from the times at which its clock says they were sent.
// The two clocks need not agree: the least difference of the last while is taken for what they are apart and what
// the way always takes. It guards against queues that form before the door, where no inbox shows them.
type Lag struct {
	least, next float64 // of the last span, and of the one that runs
	since       float64
	known       bool
}

const lagSpan = 10000 // ms after which the least difference is renewed, so that drifting clocks do no harm

// Waited takes an ask: the present time, which only grows, and when it was sent by its owner's clock, in ms. The first
// on a connection has no other to be compared with: it is believed as far as the process can't have read sooner, stood
// being how long it stood still just now, and wall the present time by a clock that should agree with the owner's.
func (l *Lag) Waited(now, sent, wall, stood float64) float64 {
	d := now - sent
	switch {
	case !l.known:
		waited := max(0, min(wall-sent, stood))
		*l = Lag{d - waited, d - waited, now, true}
		return waited
	case now-l.since > lagSpan:
		l.least, l.next, l.since = min(l.next, d), d, now
	}
	l.least, l.next = min(l.least, d), min(l.next, d)
	return d - l.least
}
