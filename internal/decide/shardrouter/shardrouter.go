// Package shardrouter decides which shard of a process owns which allocation. A shard is one of several policy instances in a process. The
// package decides where a request goes, what happens to allocations when a shard is fenced, drained or added, and when the router answers
// in place of a shard that has stopped responding. If tenants are added and removed at run time, it also queues requests until their
// tenant's turn before they reach a shard.
//
// A Router combines the shard ownership table, the placement of services on shards, the watchdog over the shards, an admission gate per
// shard, and the queue of waiting requests. Its inputs are requests, outcomes of attempts, heartbeats of shards and the capacity from the
// node list. Its outputs are permits, decisions and lists of shards to fence, start or drain.
//
// The package does no I/O and starts no goroutines. A Router is not safe for concurrent use: its callers share one lock, and hold it from
// the call until the decision is carried out, so that decisions take effect in the order in which they are made. All times are milliseconds
// on the caller's clock. Only Resize and CheckInvariants return errors; a rejected request gets a Reason.
package shardrouter

import (
	"ravenpond/internal/decide/admission"
	"ravenpond/internal/decide/shardownership"
	"ravenpond/internal/decide/shardplacement"
	"ravenpond/internal/decide/watchdog"
	"ravenpond/logic"
)

// Config holds the settings of a router.
type Config struct {
	JobClasses    []logic.JobClass
	Placement     shardplacement.Policy
	Shards        int     // shards that run from the start
	MaxShards     int     // upper limit of the number of shards
	MaxOpen       int     // limit of allocations open at once, over all shards
	AnswerMargin  float64 // ms before the deadline at which an answer is sent
	RoundInterval float64 // minimum ms between two rounds of a shard's event loop
	FirstEpoch    uint32  // must be higher than in any earlier incarnation
	FaultAnyEpoch bool    // injected fault: a claim under any epoch gets a permit
	MultiTenant   bool    // tenants are added and removed at run time, and requests wait for their tenant's turn
}

// Router decides which shard of a process owns each allocation.
type Router struct {
	config               Config
	ownership            *shardownership.Table
	placement            *shardplacement.Table
	watchdog             *watchdog.Watchdog
	gates                []admission.Gate // by shard index
	unrecovered          map[shardownership.ID]unrecoveredAllocation
	unrecoveredByAttempt map[shardownership.Attempt]shardownership.ID
	pausedUntil          map[uint64]float64    // by service: the time until which it gets no new allocations
	awaitingStart        map[uint64]shardStart // by service that gets no new allocations until a shard has started
	lateness             float64               // ms by which recent calls of CheckHealth came late
	moving               map[uint64]int        // by service that is being handed over: the shard that hands it over
	draining             map[int]bool          // shards that end once they hold nothing
	stopped              map[int]bool          // shards that have ended or were never started
	addedAt              map[int]float64       // by shard that still receives the services that belong to it: when it was added
	queue                *tenantQueue          // nil: requests are not queued
}

// New returns a router whose first config.Shards shards run.
func New(now float64, config Config) *Router {
	weights := make([]float64, config.MaxShards)
	for i := range weights {
		weights[i] = 1
	}
	r := &Router{
		config:               config,
		ownership:            shardownership.NewTable(config.JobClasses, config.FirstEpoch),
		placement:            shardplacement.New(config.Placement, weights),
		watchdog:             watchdog.New(now, config.MaxShards),
		gates:                make([]admission.Gate, config.MaxShards),
		unrecovered:          map[shardownership.ID]unrecoveredAllocation{},
		unrecoveredByAttempt: map[shardownership.Attempt]shardownership.ID{},
		pausedUntil:          map[uint64]float64{},
		awaitingStart:        map[uint64]shardStart{},
		moving:               map[uint64]int{},
		draining:             map[int]bool{},
		stopped:              map[int]bool{},
		addedAt:              map[int]float64{},
	}
	r.ownership.FaultAnyEpoch = config.FaultAnyEpoch
	if config.MultiTenant {
		r.startQueue()
	}
	for i := config.Shards; i < config.MaxShards; i++ {
		r.stopped[i] = true
		r.placement.MarkDown(i)
		r.watchdog.Unwatch(i)
	}
	return r
}

// isSpread reports whether the tasks of a job class must be spread over nodes or zones.
func (r *Router) isSpread(jobClass int) bool {
	return r.config.JobClasses[jobClass].Spread != logic.Anywhere
}

// MaxOpenPerShard returns how many allocations each of a number of shards may have open: twice its equal part of MaxOpen, at most MaxOpen.
func (r *Router) MaxOpenPerShard(shards int) int {
	return min(r.config.MaxOpen, (r.config.MaxOpen+shards-1)/shards*2)
}

// TenantOpen returns how many of a tenant's allocations are open in this process. The tenant's limit is enforced with this count.
func (r *Router) TenantOpen(now float64, tenant int) int { return r.ownership.TenantOpen(now, tenant) }

// Open returns the number of allocations that have no final answer yet.
func (r *Router) Open() int { return r.ownership.Open() }

// Epoch returns the epoch under which allocations are assigned now.
func (r *Router) Epoch() uint32 { return r.ownership.Epoch }
