// Package admission decides whether a request for an allocation is taken at all. What is not taken is shed at once, so that the client can
// go elsewhere while there is time; what is taken gets an answer before its deadline. The package guards against tables that grow until
// every answer is late, and against one tenant's flood that fills the table.
//
// Limiter limits the open allocations, Gate the time that requests wait at a shard, and DelayEstimator measures how long requests were on
// their way.
//
// The package does no I/O, starts no goroutines and returns no errors. Its types are not safe for concurrent use. Times are milliseconds
// on the caller's clock.
package admission

import "math"

const (
	crowdedFraction = 0.5 // of the limit of open allocations from which a tenant is held to its share
	shareFactor     = 1.5 // times its share that a tenant may hold then
)

// Verdict is the decision about a request. Its text goes to clients.
type Verdict uint8

// Verdicts.
const (
	Admitted  Verdict = iota
	Full              // as many allocations are open as may be
	OverShare         // its tenant holds more than its share while the table is crowded
	TooLate           // it could not be answered in the time that is left
	TooLarge          // no machine of its kind could ever hold it
)

func (v Verdict) String() string {
	return [...]string{"taken", "full", "tenant-flood", "too-late", "too-large"}[v]
}

// Limiter limits the open allocations of all tenants. An allocation is open from its admission to its answer.
type Limiter struct {
	limit        int
	open         int
	shares       []float64 // by tenant
	maxPerTenant []int     // while the table is crowded
	openByTenant []int
}

// NewLimiter returns a limiter for a number of open allocations and tenants with given shares, which sum up to 1 at most.
func NewLimiter(limit int, shares []float64) *Limiter {
	l := &Limiter{openByTenant: make([]int, len(shares)), maxPerTenant: make([]int, len(shares)), shares: shares}
	l.SetLimit(limit)
	return l
}

// SetLimit changes how many allocations may be open. Allocations beyond a lower limit stay open.
func (l *Limiter) SetLimit(limit int) {
	l.limit = limit
	for i, share := range l.shares {
		l.maxPerTenant[i] = int(math.Ceil(shareFactor * share * float64(limit)))
	}
}

// Open returns the number of open allocations.
func (l *Limiter) Open() int { return l.open }

// Admit decides about a request. timeLeft is its time to the deadline, minTime the time that an answer needs, both in ms; fits says that
// some machine could hold it when empty. An admitted request is open until Release.
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

// Release records that an allocation is answered.
func (l *Limiter) Release(tenant int) {
	l.open--
	l.openByTenant[tenant]--
}
