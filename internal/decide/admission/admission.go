// Package admit decides whether an allocation is taken at all. What is not taken is declined at once, so its
// owner can go elsewhere while there is time; what is taken is owed an answer before its expiry. It guards
// against tables that grow until every answer is late, and against one tenant's flood filling the table.
package admission

import (
	"cmp"
	"math"
)

const (
	crowdedFraction = 0.5 // part of the open limit from which a tenant is held to its share
	shareFactor     = 1.5 // times its share that a tenant may hold then
)

// Verdict says why an allocation was not taken.
type Verdict uint8

const (
	Admitted  Verdict = iota
	Full              // the limit of open allocations
	OverShare         // its tenant holds more than its share while the table is crowded
	TooLate           // it could not be answered in the time that is left
	TooLarge          // no machine of its kind could ever hold it
)

func (w Verdict) String() string {
	return [...]string{"taken", "full", "tenant-flood", "too-late", "too-large"}[w]
}

// Limiter holds the counts that admission rests on. An allocation is open from taken to answered.
type Limiter struct {
	limit        int
	maxPerTenant []int // that a tenant may hold while the table is crowded
	open         int
	openByTenant []int

	shares []float64
}

// NewLimiter makes a door for so many open allocations and tenants with these shares, which sum to 1 at most.
func NewLimiter(limit int, shares []float64) *Limiter {
	d := &Limiter{openByTenant: make([]int, len(shares)), maxPerTenant: make([]int, len(shares)), shares: shares}
	d.SetLimit(limit)
	return d
}

// SetLimit changes how many may be open. What is open beyond a lower one stays.
func (d *Limiter) SetLimit(limit int) {
	d.limit = limit
	for i, share := range d.shares {
		d.maxPerTenant[i] = int(math.Ceil(shareFactor * share * float64(limit)))
	}
}

// Open is the number of open allocations.
func (d *Limiter) Open() int { return d.open }

// Admit decides about an allocation: left is its time to expiry, least the time that an answer needs, fits
// whether some machine could hold it when empty.
func (d *Limiter) Admit(tenant int, left, least float64, fits bool) Verdict {
	switch {
	case !fits:
		return TooLarge
	case left <= least:
		return TooLate
	case d.open >= d.limit:
		return Full
	case float64(d.open) >= crowdedFraction*float64(d.limit) && d.openByTenant[tenant] >= d.maxPerTenant[tenant]:
		return OverShare
	}
	d.open++
	d.openByTenant[tenant]++
	return Admitted
}

// Release counts an answered allocation out.
func (d *Limiter) Release(tenant int) {
	d.open--
	d.openByTenant[tenant]--
}

// Gate declines at a shard's door what would wait too long behind what has come in already. It foretells the wait
// from the number of asks ahead and the time that each took lately, as the age of what waits shows a flood only when it
// is too late: a door that opens and shuts by age lets in a flood's worth each time. The heap that a hiccup leaves is
// worked off; one that grows beyond that is a sign of overload, and then less may wait until little is declined.
type Gate struct {
	MaxBurstDelay, MaxStandingDelay float64 // ms, in place of the usual ones, if they are set

	cost           float64 // ms of work an ask takes
	overloaded     bool
	spanStart      float64 // when the present span began
	admitted, shed int     // that were let in and declined in it
}

const (
	defaultBurstDelay    = 40  // ms of work that may wait where there is seldom any
	defaultStandingDelay = 8   // and under overload: what waited longer is no better than what is asked for again
	overloadSpan         = 200 // ms after which a tight gate looks back
	minShedFraction      = 0.2 // part of the asks declined in a span, below which it is not overload any more
	costWeight           = 0.1 // weight of an ask in the cost

	burstFraction    = 0.2 // of the target delay, in place of the above
	standingFraction = 0.05
)

// OnRound tells how long, in ms, a round took in which so many asks were worked off.
func (g *Gate) OnRound(took float64, asks int) {
	if asks == 0 {
		return
	}
	each := took / float64(asks)
	if g.cost == 0 {
		g.cost = each
	}
	part := 1 - math.Pow(1-costWeight, float64(asks)) // a round of many asks says as much as many rounds
	g.cost += part * (each - g.cost)
}

// Admit tells whether an allocation may come in, at a time in ms, with so many asks ahead and after it lay unread
// for so long.
func (g *Gate) Admit(now, unread float64, ahead int) bool {
	wait := unread + float64(ahead)*g.cost
	if !g.overloaded {
		if wait <= cmp.Or(g.MaxBurstDelay, defaultBurstDelay) {
			return true
		}
		g.overloaded, g.spanStart, g.admitted, g.shed = true, now, 0, 0
	}
	if now-g.spanStart > overloadSpan {
		g.overloaded = float64(g.shed) >= minShedFraction*float64(g.admitted+g.shed)
		g.spanStart, g.admitted, g.shed = now, 0, 0
	}
	if g.overloaded && wait > cmp.Or(g.MaxStandingDelay, defaultStandingDelay) {
		g.shed++
		return false
	}
	g.admitted++
	return true
}

// CostPerRequest is how many ms of work an ask took lately.
func (g *Gate) CostPerRequest() float64 { return g.cost }

// NewGate has the gate hold back by the time that asks are to be answered in, in ms: where owners wait for long, more may
// wait for its turn.
func NewGate(target float64) Gate {
	return Gate{MaxBurstDelay: burstFraction * target, MaxStandingDelay: standingFraction * target}
}

// IsOverloaded tells whether the gate holds back by the lower limit.
func (g *Gate) IsOverloaded() bool { return g.overloaded }

// DelayEstimator tells how long an owner's asks lie unread on their way, from the times at which its clock says they were sent.
// The two clocks need not agree: the least difference of the last while is taken for what they are apart and what
// the way always takes. It guards against queues that form before the door, where no inbox shows them.
type DelayEstimator struct {
	floor, nextFloor float64 // of the last span, and of the one that runs
	since            float64
	known            bool
}

const floorSpan = 10000 // ms after which the least difference is renewed, so that drifting clocks do no harm

// OnRequest takes an ask: the present time, which only grows, and when it was sent by its owner's clock, in ms. The first
// on a connection has no other to be compared with: it is believed as far as the process can't have read sooner, stood
// being how long it stood still just now, and wall the present time by a clock that should agree with the owner's.
func (l *DelayEstimator) OnRequest(now, sent, wall, stood float64) float64 {
	d := now - sent
	switch {
	case !l.known:
		waited := max(0, min(wall-sent, stood))
		*l = DelayEstimator{d - waited, d - waited, now, true}
		return waited
	case now-l.since > floorSpan:
		l.floor, l.nextFloor, l.since = min(l.nextFloor, d), d, now
	}
	l.floor, l.nextFloor = min(l.floor, d), min(l.nextFloor, d)
	return d - l.floor
}
