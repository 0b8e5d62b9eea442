// Package fairqueue implements weighted fair queueing of requests among the tenants that share a scheduler. Each tenant has a share, a
// rate limit, a limit of open requests and a bounded queue. A request that exceeds them is shed at once, with the time after which it may
// be submitted again. The package prevents a flood of one tenant from starving the others, and limits from leaving machines idle while
// requests wait.
//
// Shares apply to the dominant resource: the cost of a request is the larger of its fractions of all cores and of all memory. Each tenant
// has a virtual clock that advances by the cost of its admitted requests divided by its share, and the tenant with the lowest clock is
// served first. The clock of a tenant that was idle is set forward to that of the others, so that others can use the idle time but the
// tenant cannot save it up.
//
// FillController decides which fraction of the machines' capacity may be allocated before requests have to wait. DivideLimit divides a
// limit among processes.
//
// The package does no I/O, starts no goroutines and returns no errors. A Queue is not safe for concurrent use. Times are milliseconds on
// the caller's clock. Costs and fractions refer to all cores or all memory.
package fairqueue

import "math"

// Limits are the limits of one tenant.
type Limits struct {
	Share      float64 // must be above 0; only its ratio to the other tenants' shares matters
	Rate       float64 // admitted requests per second; 0 means no limit other than the share
	Burst      float64 // requests that may be admitted at once after an idle time; at least 1 if Rate is set
	MaxOpen    int     `json:"Open"` // requests that may be open at once; 0 means no limit other than the capacity
	MaxWaiting int     `json:"Wait"` // requests that may wait in the tenant's queue
	Blocked    bool    `json:"Stop"` // all new requests are shed, because the tenant is paused or being removed
}

// Request is a request of a tenant to place work.
type Request struct {
	ID            uint64
	Tenant        int
	Urgency       int // requests of higher urgency are admitted first within a tenant's queue
	Cores, Memory float64
	Deadline      float64 // ms; the request expires if it still waits at this time
}

// Verdict is the decision about a request.
type Verdict uint8

// Verdicts.
const (
	Admitted Verdict = iota // the request may be placed now
	Queued                  // the request waits in its tenant's queue
	Shed                    // the request is rejected
)

// Queue holds the queues of all tenants.
type Queue struct {
	cores, memory    float64 // capacity of all machines
	maxOpen          int     // limit of open requests of all tenants together
	free             float64 // fraction of the capacity that may still be allocated under the fill level
	available        float64 // fraction of the capacity that is not allocated
	minOpen          int     // limit of open requests if no capacity is free; they are admitted slowly, so that a wrong count cannot block all requests
	lastAdmittedAt   float64
	tenants          []tenant
	open             int
	clock            float64 // highest virtual clock at which a tenant's request was admitted
	lastOrder        uint64  // of the request submitted last; it counts up
	nextReturnOrder  uint64  // of the next request that is returned; it counts down
	waiting          map[uint64]*waitingRequest
	expiries         expiryHeap
	belowShare       tenantHeap // tenants with admissible requests that hold less than their share
	aboveShare       tenantHeap // tenants with admissible requests that hold their share or more
	shares           float64    // sum of the shares of all tenants that are not blocked
	lastBelowShareAt float64    // time at which a tenant below its share last submitted a request
	tokenWaits       tokenHeap
}

// minCapacity prevents a division by zero.
const minCapacity = 1e-9

// firstOrder leaves room below it for the orders of returned requests, which count down.
const firstOrder = 1 << 62

// New returns a queue for machines with the given total capacity. maxOpen limits the open requests of all tenants together.
func New(cores, memory float64, maxOpen int) *Queue {
	q := &Queue{
		free:             math.Inf(1),
		available:        math.Inf(1),
		lastAdmittedAt:   math.Inf(-1),
		lastOrder:        firstOrder,
		nextReturnOrder:  firstOrder,
		waiting:          map[uint64]*waitingRequest{},
		lastBelowShareAt: math.Inf(-1),
	}
	q.SetCapacity(cores, memory, maxOpen)
	q.belowShare.queue, q.aboveShare.queue = q, q
	return q
}

// SetCapacity changes the total capacity and the limit of open requests. Requests that exceed a lower limit stay open.
func (q *Queue) SetCapacity(cores, memory float64, maxOpen int) {
	q.cores, q.memory, q.maxOpen = max(cores, minCapacity), max(memory, minCapacity), maxOpen
}

// SetFreeCapacity sets the fraction of the capacity that may still be allocated (free), the fraction that is not allocated (available), and the
// number of requests that may be open even if both are 0. Until the next call, the cost of each admitted request is subtracted from both.
func (q *Queue) SetFreeCapacity(free, available float64, minOpen int) {
	q.free, q.available, q.minOpen = free, available, minOpen
}

// cost returns the fraction of the dominant resource that a request requires.
func (q *Queue) cost(cores, memory float64) float64 { return max(cores/q.cores, memory/q.memory) }

const (
	// reserveFraction is the fraction of the capacity that is reserved for tenants below their share, because a further task takes long
	// to place on full machines. The reserve applies for reserveDuration after such a tenant has submitted a request.
	reserveFraction = 0.06
	reserveDuration = 10000 // ms

	// trickleInterval is the minimum time in ms between two requests that are admitted although no capacity is free. Requests are
	// answered so quickly that minOpen alone would not limit their rate.
	trickleInterval = 20
)

// isFull reports whether there is no capacity for a request of a tenant that is above or below its share, as aboveShare says.
func (q *Queue) isFull(now float64, aboveShare bool) bool {
	left := q.available // the fill level, which falls when other tenants slow the machines down, does not hold back a tenant below its share
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

// DivideLimit returns the part of a limit for all processes together that the process with the given index may use. The parts add up to the
// limit, so that the processes need not coordinate. The part of a process that is down is not used by the others.
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
