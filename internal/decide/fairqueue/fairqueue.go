// Package fairqueue decides whose request is placed next among tenants that share a scheduler. Each tenant has a share, a rate, a number
// of requests that may be open at once, and a bounded queue. A request beyond these limits is shed at once with a time after which it may
// be submitted again. The package guards against one tenant's flood that starves the others, and against limits that leave machines idle
// while requests wait.
//
// Shares are of the dominant resource: a request costs the larger of its fractions of all cores and all memory. Each tenant has a virtual
// clock that advances by the cost of its requests over its share, and the tenant whose clock is behind goes first. A tenant that was idle
// continues at the clock of the others, so that idle time can be used by others but not saved up.
//
// FillController decides which fraction of the machines' capacity may be taken before requests wait. DivideLimit divides a limit among
// processes.
//
// The package does no I/O, starts no goroutines and returns no errors. A Queue is not safe for concurrent use. Times are milliseconds on
// the caller's clock, costs and fractions are of all cores or all memory.
package fairqueue

import "math"

// Limits are the limits of a tenant.
type Limits struct {
	Share      float64 // above 0; only the proportion to others matters
	Rate       float64 // requests per second that may pass; 0: as many as its share allows
	Burst      float64 // requests that may pass at once after an idle time, at least 1 if there is a rate
	MaxOpen    int     `json:"Open"` // requests that may be open at once; 0: as many as the capacity allows
	MaxWaiting int     `json:"Wait"` // requests that may wait in its queue
	Blocked    bool    `json:"Stop"` // nothing new passes or waits: the tenant is paused, or being removed
}

// Request is a tenant's request.
type Request struct {
	ID            uint64
	Tenant        int
	Urgency       int // higher goes first in its tenant's queue
	Cores, Memory float64
	Deadline      float64 // ms, by which it has to leave the queue
}

// Verdict is the decision about a request.
type Verdict uint8

// Verdicts.
const (
	Admitted Verdict = iota // it goes on to be placed
	Queued                  // it waits in its tenant's queue
	Shed                    // it does neither
)

// Queue holds the queues of all tenants.
type Queue struct {
	cores, memory    float64 // of all machines
	maxOpen          int     // requests of all tenants that may be open at once
	free             float64 // fraction of the capacity that may still be taken
	available        float64 // fraction of the capacity that is not taken
	minOpen          int     // requests that may be open whatever is free, if they pass slowly: a wrong count must not stop everything
	lastAdmittedAt   float64
	tenants          []tenant
	open             int
	clock            float64 // virtual clock of the tenant that passed last
	nextOrder        uint64  // of the next request that is submitted
	nextReturnOrder  uint64  // of the next request that is returned
	waiting          map[uint64]*waitingRequest
	expiries         expiryHeap
	belowShare       tenantHeap // tenants that may pass and hold less than their share
	aboveShare       tenantHeap // tenants that may pass and hold more
	shares           float64    // sum of the shares of all tenants that are not blocked
	lastBelowShareAt float64    // when a tenant below its share last submitted a request
	tokenWaits       tokenHeap
}

// minCapacity avoids divisions by zero.
const minCapacity = 1e-9

// firstOrder leaves room for orders of returned requests, which count down.
const firstOrder = 1 << 62

// New returns a queue in front of machines of a total capacity, of which a number of requests may be open at once.
func New(cores, memory float64, maxOpen int) *Queue {
	q := &Queue{
		free:             math.Inf(1),
		available:        math.Inf(1),
		lastAdmittedAt:   math.Inf(-1),
		nextOrder:        firstOrder,
		nextReturnOrder:  firstOrder,
		waiting:          map[uint64]*waitingRequest{},
		lastBelowShareAt: math.Inf(-1),
	}
	q.SetCapacity(cores, memory, maxOpen)
	q.belowShare.queue, q.aboveShare.queue = q, q
	return q
}

// SetCapacity changes the total capacity and how many requests may be open. Requests that are open beyond a lower number stay open.
func (q *Queue) SetCapacity(cores, memory float64, maxOpen int) {
	q.cores, q.memory, q.maxOpen = max(cores, minCapacity), max(memory, minCapacity), maxOpen
}

// SetFree sets which fraction of the capacity may still be taken, which fraction is not taken, and how many requests may be open even if
// both are nothing. Each admitted request takes of both until the next call.
func (q *Queue) SetFree(free, available float64, minOpen int) {
	q.free, q.available, q.minOpen = free, available, minOpen
}

// cost returns the fraction of the dominant resource that a request needs.
func (q *Queue) cost(cores, memory float64) float64 { return max(cores/q.cores, memory/q.memory) }

const (
	// reserveFraction of the capacity is kept free for tenants below their share while such have submitted requests lately, because full
	// machines take long to accept a further task.
	reserveFraction = 0.06
	reserveDuration = 10000 // ms

	// trickleInterval is the time in ms between two requests that pass although nothing is free: answers are quick, so minOpen alone
	// would not hold them back.
	trickleInterval = 20
)

// isFull reports whether there is no capacity for requests of tenants above their share, or below it.
func (q *Queue) isFull(now float64, aboveShare bool) bool {
	left := q.available // a tenant below its share is not held back because others slow the machines down
	if aboveShare {
		left = min(left, q.free)
		if now-q.lastBelowShareAt < reserveDuration {
			left -= reserveFraction
		}
	}
	return q.open >= q.maxOpen || left <= 0 && (q.open >= q.minOpen || now-q.lastAdmittedAt < trickleInterval)
}

// TotalOpen returns the number of open requests of all tenants.
func (q *Queue) TotalOpen() int { return q.open }

// TotalWaiting returns the number of waiting requests of all tenants.
func (q *Queue) TotalWaiting() int { return len(q.waiting) }

// Open returns the number of a tenant's open requests.
func (q *Queue) Open(tenant int) int { return q.tenants[tenant].open }

// Waiting returns the number of a tenant's waiting requests.
func (q *Queue) Waiting(tenant int) int { return len(q.tenants[tenant].queue) }

// DivideLimit returns a process's part of a limit that holds for all processes together, by its index among them. The parts sum up to the
// limit, so that no process needs to ask another. The part of a process that is down is not used by the others.
func DivideLimit(limit, processes, index int) int {
	if processes <= 0 || index < 0 || index >= processes {
		return 0
	}
	part := limit / processes
	if index < limit%processes {
		part++
	}
	return part
}
