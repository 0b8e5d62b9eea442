// Package admission implements admission control for requests for allocations. A request that is not admitted is shed at once, so that the
// client can go elsewhere before the deadline; an admitted request is answered before its deadline. The package prevents tables of open
// allocations from growing until every answer is late, and a flood of one tenant from filling the table.
//
// Limiter limits the number of open allocations, Gate limits the time that requests wait at a shard, and DelayEstimator estimates how long
// requests lay unread before the process read them.
//
// The package does no I/O, starts no goroutines and returns no errors. Its types are not safe for concurrent use. Times are milliseconds
// on the caller's clock.
package admission

import "math"

const (
	crowdedFraction = 0.5 // fraction of the limit of open allocations at which the limits of tenants begin to apply
	shareFactor     = 1.5 // limit of a tenant then, as a multiple of its share
)

// Verdict is the decision about a request. Its text is sent to clients.
type Verdict uint8

// Verdicts.
const (
	Admitted  Verdict = iota
	Full              // the limit of open allocations is reached
	OverShare         // the tenant has reached its limit while the table is crowded
	TooLate           // the request could not be answered before its deadline
	TooLarge          // no machine of the required kind could run it even if empty
)

func (v Verdict) String() string {
	return [...]string{"taken", "full", "tenant-flood", "too-late", "too-large"}[v]
}

// Limiter limits the open allocations of all tenants. An allocation is open from its admission to its answer.
type Limiter struct {
	limit        int
	open         int
	shares       []float64 // by tenant
	maxPerTenant []int     // limit of each tenant while the table is crowded
	openByTenant []int
}

// NewLimiter returns a limiter with the given limit of open allocations for tenants with the given shares, which add up to at most 1.
func NewLimiter(limit int, shares []float64) *Limiter {
	l := &Limiter{openByTenant: make([]int, len(shares)), maxPerTenant: make([]int, len(shares)), shares: shares}
	l.SetLimit(limit)
	return l
}

// SetLimit changes the limit of open allocations. Allocations that exceed a lower limit stay open.
func (l *Limiter) SetLimit(limit int) {
	l.limit = limit
	for i, share := range l.shares {
		l.maxPerTenant[i] = int(math.Ceil(shareFactor * share * float64(limit)))
	}
}

// Open returns the number of open allocations.
func (l *Limiter) Open() int { return l.open }

// Admit decides about a request. timeLeft is the time to its deadline and minTime the time that an answer requires, both in ms. fits says
// whether some machine could run it when empty. An admitted request is open until Release.
func (l *Limiter) Admit(tenant int, timeLeft, minTime float64, fits bool) Verdict {
	isCrowded := float64(l.open) >= crowdedFraction*float64(l.limit)
	switch {
	case !fits:
		return TooLarge
	case timeLeft <= minTime:
		return TooLate
	case l.open >= l.limit:
		return Full
	case isCrowded && l.openByTenant[tenant] >= l.maxPerTenant[tenant]:
		return OverShare
	}
	l.open++
	l.openByTenant[tenant]++
	return Admitted
}

// Release records that an open allocation of a tenant was answered.
func (l *Limiter) Release(tenant int) {
	l.open--
	l.openByTenant[tenant]--
}
