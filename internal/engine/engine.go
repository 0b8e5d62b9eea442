package engine

import (
	"fmt"

	"ravenpond/internal/decide/admission"
	"ravenpond/internal/decide/pausedetect"
	"ravenpond/internal/decide/reconnect"
	"ravenpond/internal/timers"
	"ravenpond/logic"
)

// Config is what an engine is started with.
type Config struct {
	Cluster        *logic.Cluster
	Shares         []float64 // of the tenants, their sum is 1 at most
	MaxOpen        int       // allocations without a final answer at once
	AnswerMargin   float64   // an answer is sent at least so long before the client's deadline
	SettleTime     float64   // a client waits so long before it asks again where a second start could do harm
	Incarnation    uint32    // of this scheduler, higher at each start of the process
	Seed           uint64
	WallClockStart float64       // the wall clock at the engine's time 0
	NewPolicy      PolicyFactory // nil: logic.New
	// AliveAtPeers tells whether other schedulers hear a node in the incarnation in which it was lost here. Nil: none is
	// asked.
	AliveAtPeers func(now float64, node uint32, incarnation uint64) bool
}

// PolicyFactory makes a placement policy.
type PolicyFactory func(host logic.Effects, now float64, seed uint64, cl *logic.Cluster) logic.EventHandler

// Engine is one scheduler instance. See the package comment for who may call it.
type Engine struct {
	effects Effects
	policy  logic.EventHandler
	config  Config

	now           float64
	closed        bool // each further request is declined
	hasEvents     bool // something was reported since the last round
	timers        timers.Heap[timerKind]
	pauseDetector pausedetect.Detector
	admission     *admission.Limiter

	allocations []allocation // slots, some of them free
	freeSlots   []int
	byID        map[uint32]int    // slots by the number under which the policy knows an allocation
	byKey       map[TaskKey]int   // slots of open and running allocations
	requests    map[RequestID]int // slots of allocations whose end has to be notified
	recovered   map[AttemptID]int // slots of running allocations that an earlier incarnation or another engine placed
	lastID      uint32            // given to an allocation, or to an abandoned attempt that the policy counts

	abandoned  map[AttemptID]abandonedAttempt
	claims     []pendingClaim         // in the order of their timers
	deferred   []deferredOutcome      // outcomes that became known while the policy decided
	jobEffects []logic.RetrySemantics // by job class

	pacer      *reconnect.Pacer
	nodes      []node
	nodeIndex  map[uint32]int       // places in nodes
	exclusions map[uint32]exclusion // nodes that get nothing new, whatever the list says, also nodes that are not known yet

	listGeneration int // counts list updates
	listKind       logic.ListKind
	enteringNodes  bool // the update is of nodes that enter the working set

	stats Stats
}

// Stats are counters since the start, and the sizes of tables.
type Stats struct {
	Admitted, Rejected       uint64 // requests
	Served, Declined, Failed uint64 // answers
	Offers                   uint64 // attempts
	Recovered                uint64 // tasks found running
	LateStarts               uint64 // of attempts that had been given up
	Expired                  uint64 // requests whose deadline passed unanswered
	Open                     int    // allocations without a final answer
	Held                     int    // allocations
	Abandoned                int    // attempts that were given up but may still start
}

// New starts an engine at a time. The last known node list should be reported next.
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
		e.jobEffects = append(e.jobEffects, class.Semantics)
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

// Stats returns the counters.
func (e *Engine) Stats() Stats {
	s := e.stats
	s.Open, s.Held, s.Abandoned = e.admission.Open(), len(e.byID), len(e.abandoned)
	return s
}

// IsIdle tells whether the engine holds nothing and needs no message any more.
func (e *Engine) IsIdle() bool { return len(e.byID) == 0 && len(e.abandoned) == 0 }

// SetOpenLimit changes how many allocations may be open.
func (e *Engine) SetOpenLimit(open int) { e.admission.SetLimit(open) }

// observe takes note of an event at a time.
func (e *Engine) observe(now float64) { e.now, e.hasEvents = now, true }

// Round fires the timers that are due, lets the policy decide on the events since the last round, and dials nodes.
// After a pause of the process it only returns, so that the messages that came in meanwhile are taken first.
func (e *Engine) Round(now float64) {
	e.now = now
	paused, act := e.pauseDetector.OnRound(now, e.hasEvents)
	e.hasEvents = false
	if paused > 0 {
		e.effects.Log(fmt.Sprintf("stall: stood still %.0f ms, %d open, reads before it acts", paused, e.admission.Open()))
	}
	if !act {
		return
	}
	for timer, ok := e.timers.Next(now); ok; timer, ok = e.timers.Next(now) {
		e.fire(timer)
	}
	e.completeDeferred()
	e.policy.Decide(now)
	for index, ok := e.pacer.Next(now); ok; index, ok = e.pacer.Next(now) {
		e.effects.Dial(e.nodes[index].id, e.nodes[index].address)
	}
}

// completeDeferred reports the outcomes that became known while the policy decided.
func (e *Engine) completeDeferred() {
	for i := 0; i < len(e.deferred); i++ { // the policy may add to them
		d := e.deferred[i]
		slot, ok := e.byID[d.allocationID]
		if ok && e.allocations[slot].attempt.Number == d.attempt && e.allocations[slot].phase == phaseConnecting {
			e.completeAttempt(slot, outcomeOf(d.result))
		}
	}
	e.deferred = e.deferred[:0]
}

// NextRound is when Round has to be called at the latest, unless an event is reported before.
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

// SetSchedulerCount tells the policy how many schedulers share the slow-start limit of a node; 0: this one sends nothing to nodes that
// are warming up. A policy without such a limit goes on as it began.
func (e *Engine) SetSchedulerCount(schedulers int) {
	if policy, ok := e.policy.(interface{ SetSchedulerCount(int) }); ok {
		policy.SetSchedulerCount(schedulers)
	}
}
