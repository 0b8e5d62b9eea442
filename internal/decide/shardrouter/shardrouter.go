// Package shardrouter decides, for a process of several shards, which shard acts for which allocation: where a request goes, what becomes
// of a shard's allocations when the shard is fenced, drained or added, and who answers for a shard that is silent. Where tenants come and
// go at run time, requests also wait here for their tenant's turn before they reach a shard.
//
// A Router combines the table of shard ownership, the placement of services on shards, the watchdog over the shards, an admission gate per
// shard, and the queue of waiting requests. Requests, outcomes of attempts, signs of life and the node list's capacity go in; permits,
// decisions and lists of shards to fence, start or drain come out.
//
// The package does no I/O and starts no goroutines. A Router is not safe for concurrent use: its callers share it by one lock, held for
// each call and until the decision is carried out, so that the next caller comes after it. All times are milliseconds on the caller's
// clock. Only Resize and CheckInvariants return errors; a request that is not taken gets a Reason.
package shardrouter

import (
	"ravenpond/internal/decide/admission"
	"ravenpond/internal/decide/shardownership"
	"ravenpond/internal/decide/shardplacement"
	"ravenpond/internal/decide/watchdog"
	"ravenpond/logic"
)

// Config is what a router is started with.
type Config struct {
	JobClasses    []logic.JobClass
	Placement     shardplacement.Policy
	Shards        int     // that run from the start
	MaxShards     int     // that may run
	MaxOpen       int     // allocations open at once, of all shards together
	AnswerMargin  float64 // ms before its deadline at which an answer leaves
	RoundInterval float64 // ms between two rounds of a shard at least
	FirstEpoch    uint32  // higher than in any earlier incarnation
	FaultAnyEpoch bool    // injected fault: any epoch gets a permit
	MultiTenant   bool    // tenants come and go, and requests wait for their tenant's turn
}

// Router decides which shard of a process acts for each allocation.
type Router struct {
	config               Config
	ownership            *shardownership.Table
	placement            *shardplacement.Table
	watchdog             *watchdog.Watchdog
	gates                []admission.Gate // by shard
	unrecovered          map[shardownership.ID]unrecoveredAllocation
	unrecoveredByAttempt map[shardownership.Attempt]shardownership.ID
	pausedUntil          map[uint64]float64 // services that get nothing new, until a time
	lateness             float64            // of the checks of shards, ms
	moving               map[uint64]int     // services that are being given away, by the shard that gives
	draining             map[int]bool       // shards that are to end
	stopped              map[int]bool       // shards that have ended or never began
	addedAt              map[int]float64    // when shards were added that still draw their services
	queue                *tenantQueue       // nil: requests do not wait
}

// New returns a router whose first shards run.
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

// MaxOpenPerShard returns how many allocations one of a number of shards may have open: twice its part, at most all.
func (r *Router) MaxOpenPerShard(shards int) int {
	return min(r.config.MaxOpen, (r.config.MaxOpen+shards-1)/shards*2)
}

// TenantOpen returns how many of a tenant's allocations are open here, by which its limit is kept.
func (r *Router) TenantOpen(now float64, tenant int) int { return r.ownership.TenantOpen(now, tenant) }

// Open returns the number of allocations that are not answered.
func (r *Router) Open() int { return r.ownership.Open() }

// Epoch returns the epoch of allocations that are assigned now.
func (r *Router) Epoch() uint32 { return r.ownership.Epoch }
