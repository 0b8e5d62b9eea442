package engine

import (
	"fmt"

	"ravenpond/internal/decide/admission"
	"ravenpond/internal/decide/pausedetect"
	"ravenpond/internal/decide/reconnect"
	"ravenpond/internal/timers"
	"ravenpond/logic"
)

// Config holds the parameters of an engine.
type Config struct {
	Cluster        *logic.Cluster
	Shares         []float64 // by tenant; their sum is at most 1
	MaxOpen        int       // limit on the allocations that have no final answer yet
	AnswerMargin   float64   // minimum time between an answer and the client's deadline
	SettleTime     float64   // how long a client waits before it retries a task that must not run twice
	Incarnation    uint32    // of this scheduler; increases with each start of the process
	Seed           uint64
	WallClockStart float64       // wall-clock time of the engine's time 0
	NewPolicy      PolicyFactory // nil: logic.New
	// AliveAtPeers reports whether other schedulers still hear from a node in the incarnation to which this scheduler
	// lost its connection. If it is nil, other schedulers are not consulted.
	AliveAtPeers func(now float64, node uint32, incarnation uint64) bool
}

// PolicyFactory creates a placement policy.
type PolicyFactory func(effects logic.Effects, now float64, seed uint64, cluster *logic.Cluster) logic.EventHandler

// Engine runs one policy instance. The package comment states the rules for concurrent use.
type Engine struct {
	effects Effects
	policy  logic.EventHandler
	config  Config

	now           float64
	closed        bool // new requests are declined
	hasEvents     bool // at least one event was reported since the last round
	timers        timers.Heap[timerKind]
	pauseDetector pausedetect.Detector
	deadlines     deadlines
	admission     *admission.Limiter

	allocations []allocation // indexed by slot; some slots are free
	freeSlots   []int
	byID        map[uint32]int    // slots by the allocation's number in the policy
	byKey       map[TaskKey]int   // slots of open and running allocations
	requests    map[RequestID]int // slots of allocations by the request that is answered and notified
	recovered   map[AttemptID]int // slots of running allocations that recoverTask created, such as those placed by an earlier incarnation or by another engine
	lastID      uint32            // last number given to an allocation or to an abandoned attempt that the policy counts

	abandoned      map[AttemptID]abandonedAttempt
	claims         []pendingClaim         // in the order of their timers
	deferred       []deferredOutcome      // outcomes that are reported to the policy in the next round
	retrySemantics []logic.RetrySemantics // by job class

	pacer      *reconnect.Pacer
	nodes      []node
	nodeIndex  map[uint32]int       // indices into nodes, by node ID
	exclusions map[uint32]exclusion // nodes that get no new tasks, whatever the list says; includes nodes that are not known yet

	listGeneration int // counts list updates
	listKind       logic.ListKind
	enteringNodes  bool // the current update consists of nodes that enter the working set

	stats Stats
}

// Stats contains counters since the start and current table sizes.
type Stats struct {
	Admitted, Rejected       uint64 // requests
	Served, Declined, Failed uint64 // answers
	Offers                   uint64 // attempts
	Recovered                uint64 // tasks that were found running
	LateStarts               uint64 // starts of attempts that had been abandoned
	Expired                  uint64 // requests whose deadline passed before they were answered
	Open                     int    // allocations without a final answer
	Allocations              int    // allocations
	Abandoned                int    // abandoned attempts that may still start
}

// New returns an engine that starts at time now. The caller should report the last known node list next.
func New(effects Effects, now float64, config Config) *Engine {
	e := &Engine{
		effects:    effects,
		config:     config,
		now:        now,
		pacer:      reconnect.New(config.Seed),
		admission:  admission.NewLimiter(config.MaxOpen, config.Shares),
		byID:       map[uint32]int{},
		byKey:      map[TaskKey]int{},
		requests:   map[RequestID]int{},
		recovered:  map[AttemptID]int{},
		abandoned:  map[AttemptID]abandonedAttempt{},
		nodeIndex:  map[uint32]int{},
		exclusions: map[uint32]exclusion{},
	}
	for _, class := range config.Cluster.JobClasses {
		e.retrySemantics = append(e.retrySemantics, class.Semantics)
	}
	newPolicy := config.NewPolicy
	if newPolicy == nil {
		newPolicy = func(host logic.Effects, now float64, seed uint64, cluster *logic.Cluster) logic.EventHandler {
			return logic.New(host, now, seed, cluster)
		}
	}
	e.policy = newPolicy(policyEffects{e}, now, config.Seed, config.Cluster)
	return e
}

// Stats returns the current statistics.
func (e *Engine) Stats() Stats {
	s := e.stats
	s.Open, s.Allocations, s.Abandoned = e.admission.Open(), len(e.byID), len(e.abandoned)
	return s
}

// IsIdle reports whether the engine has no allocations and no abandoned attempts, so that it needs no further messages.
func (e *Engine) IsIdle() bool { return len(e.byID) == 0 && len(e.abandoned) == 0 }

// SetOpenLimit sets how many allocations may be open at once.
func (e *Engine) SetOpenLimit(open int) { e.admission.SetLimit(open) }

// observe advances the time to that of an event and records that there was one since the last round.
func (e *Engine) observe(now float64) { e.now, e.hasEvents = now, true }

// Round fires the timers that are due, lets the policy decide on the events since the last round, and dials nodes.
// After a pause of the process it does none of this, so that messages received during the pause are processed first; only requests whose
// deadlines are too close for that are answered.
func (e *Engine) Round(now float64) {
	e.now = now
	lead := e.deadlines.onRound(now)
	defer e.planRound()
	paused, act := e.pauseDetector.OnRound(now, e.hasEvents)
	e.hasEvents = false
	if paused > 0 {
		e.effects.Log(fmt.Sprintf("process was paused for %.0f ms with %d open allocations; processing received messages before acting", paused, e.admission.Open()))
	}
	if !act {
		e.answerPaused()
		return
	}
	for timer, ok := e.timers.Next(now); ok; timer, ok = e.timers.Next(now) {
		e.fire(timer)
	}
	e.completeDeferred()
	e.answerLate(lead)
	e.policy.Decide(now)
	for index, ok := e.pacer.Next(now); ok; index, ok = e.pacer.Next(now) {
		e.effects.Dial(e.nodes[index].id, e.nodes[index].address)
	}
}

// completeDeferred completes the attempts whose outcomes were deferred because the policy may have been deciding.
func (e *Engine) completeDeferred() {
	for i := 0; i < len(e.deferred); i++ { // the policy may append to the slice
		d := e.deferred[i]
		slot, ok := e.byID[d.allocationID]
		if ok && e.allocations[slot].attempt.Number == d.attempt && e.allocations[slot].phase == phaseConnecting {
			e.completeAttempt(slot, outcomeOf(d.result))
		}
	}
	e.deferred = e.deferred[:0]
}

// NextRound returns the latest time at which Round must be called if no event is reported before.
func (e *Engine) NextRound() float64 {
	if len(e.deferred) > 0 {
		return max(e.now, e.pauseDetector.ResumeAt())
	}
	at := e.pacer.Due()
	if first, ok := e.timers.First(); ok {
		at = min(at, first)
	}
	return max(at, e.pauseDetector.ResumeAt())
}

// reportReachable tells the policy whether there is a connection to a node. A policy that does not implement SetNodeReachable is unaffected.
func (e *Engine) reportReachable(id uint32, reachable bool) {
	if policy, ok := e.policy.(interface {
		SetNodeReachable(now float64, node uint32, reachable bool)
	}); ok {
		policy.SetNodeReachable(e.now, id, reachable)
	}
}

// SetSchedulerCount tells the policy how many schedulers share a node's slow-start limit. With 0, this scheduler sends nothing to nodes
// that are warming up. A policy that does not implement SetSchedulerCount is unaffected.
func (e *Engine) SetSchedulerCount(schedulers int) {
	if policy, ok := e.policy.(interface{ SetSchedulerCount(int) }); ok {
		policy.SetSchedulerCount(schedulers)
	}
}
