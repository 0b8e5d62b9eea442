// Package engine runs one instance of the placement module. It tells the module what happens and carries out what
// the module decides, keeps what must be known of each allocation and try for that, and is free of I/O: events
// come by the methods of Engine with their time, effects leave by Edge, and Round moves time. One goroutine at a
// time may call it.
//
// Times are milliseconds on the caller's clock, which only moves forward and which all schedulers share up to
// some tens of milliseconds.
package engine

import (
	"fmt"

	"ravenpond/internal/decide/admission"
	"ravenpond/internal/decide/outcome"
	"ravenpond/internal/decide/pausedetect"
	"ravenpond/internal/decide/reconnect"
	"ravenpond/internal/timers"
	"ravenpond/logic"
)

// Answer is the final answer to an allocation.
type Answer uint8

const (
	Served Answer = iota
	Declined
	Failed
)

func (a Answer) String() string { return [...]string{"served", "declined", "failed"}[a] }

// Effects carries out effects in the order of its calls. It must not call the engine back from inside a call, and
// must not block.
type Effects interface {
	// Dial connects to a node; Linked or DialFailed follows.
	Dial(nd uint32, address string)
	// Disconnect closes the connection to a node; Unlinked follows.
	Disconnect(nd uint32, why string)

	Offer(nd uint32, ticket uint64, try uint8, epoch uint32, timeout float64, jobType, tenant int,
		service, token uint64, cores, memory float64)
	Recall(nd uint32, ticket uint64, try uint8)
	Stop(nd uint32, ticket uint64, try uint8)
	Claim(nd uint32, ticket uint64, try uint8)
	Probe(nd uint32, seq uint64)

	WatchList(active bool)
	ReloadList()

	// PermitAttempt asks whether a try may be sent: not if another acts for the allocation by now.
	PermitAttempt(tenant int, token uint64, epoch uint32, nd uint32, ticket uint64, try uint8) bool
	// RecordOutcome tells a try's outcome, and whether it proves that it never ran.
	RecordOutcome(tenant int, token uint64, epoch uint32, never bool)
	// RecoverTask asks whether what a node runs by a try is to be kept, under which epoch, and who was told that it is served.
	RecoverTask(tenant int, token uint64, jobType int, service uint64, cores, memory float64, nd uint32, ticket uint64,
		try uint8) (epoch, owner uint32, ref uint64, ok bool)
	// SetClient tells that another ask is the one to be told of what runs.
	SetClient(tenant int, token uint64, epoch uint32, owner uint32, ref uint64)
	// ReleaseTask ends an allocation.
	ReleaseTask(tenant int, token uint64, service uint64, epoch uint32)

	// PermitAnswer asks whether the final answer may be given, and notes which it is: not if another acts for the allocation.
	PermitAnswer(tenant int, token uint64, epoch uint32, served bool) bool
	// Answer gives an owner the final answer to its ask, Over the end of one that was served.
	Answer(owner uint32, ref uint64, answer Answer, nd uint32, why string, holdOff float64)
	NotifyEnd(owner uint32, ref uint64, verdict logic.Outcome, why logic.Reason)
	// ExpireRequest tells that an ask's time was up before it could be answered: nothing is sent for it.
	ExpireRequest(owner uint32, ref uint64)

	Log(line string)
}

// Config are what an engine is started with.
type Config struct {
	Cluster        *logic.Cluster
	Shares         []float64 // of the tenants
	MaxOpen        int       // allocations open at once
	AnswerMargin   float64   // an answer leaves so long before the owner's time is up
	SettleTime     float64   // owners wait so long where a second start could do harm
	Incarnation    uint32    // of this scheduler process, higher at each start
	Seed           uint64
	WallClockStart float64       // wall clock in ms at the engine's time 0
	NewPolicy      PolicyFactory // instead of the module, for comparisons; nil else
	// AliveAtPeers tells whether others hear a node in a life in which it was lost here; nil: nobody is asked.
	AliveAtPeers func(now float64, nd uint32, life uint64) bool
}

// PolicyFactory makes what decides.
type PolicyFactory func(host logic.Effects, now float64, seed uint64, cl *logic.Cluster) logic.EventHandler

type phase uint8

const (
	phaseWaiting    phase = iota // no try is out
	phaseConnecting              // a try waits for its node's connection and was never sent
	phaseInFlight                // a try is out
	phaseRunning
)

const (
	noClient = 0 // the owner of what nobody waits for
)

type allocation struct {
	id               uint32
	attempt          uint8
	phase            phase
	answered         bool
	recalled         bool
	attempted        bool // its first try was sent
	recovered        bool // the module knows its running try as the first
	stopping         bool
	mayHaveRun       bool // an earlier try may have run
	reported         bool // named by its node since it came back
	jobClass, tenant int
	client           uint32
	requestID        uint64
	ticket           uint64 // of the try that is out or runs
	epoch            uint32
	service, token   uint64
	cores, memory    float64
	deadline         float64 // the owner's
	sentAt           float64
	dueAt            float64 // the time-out of the try
	waitingSince     float64 // without an attempt
	confirmBy        float64 // end of waiting for word of it, 0: not in doubt
	nodeIndex        int
	positionAtNode   int // among its node's
	lateStart        attemptID
}

type node struct {
	id              uint32
	address         string
	availability    logic.Availability
	listed          listEntry
	excluded        bool // for maintenance
	listGeneration  int
	incarnation     uint64
	startedAt       float64 // the start of its life as it said itself, later than what the list knew then
	lostAt          float64 // when its connection ended last
	graceExtended   bool    // and what ran there was waited for longer since, on the word of others
	sameIncarnation bool    // it came back in the life in which it was left
	connected       bool
	ready           bool // and has told all that it holds
	everReady       bool // it has told that at least once
	startDelayed    bool // its start counts as later than the list has it
	released        bool // it is outside the working set and nothing stands there
	probing         bool
	probeSent       bool // the probe is on its way
	probeSeq        uint64
	probeStartedAt  float64
	allocations     []int // places of allocations with a try here
	abandoned       int
}

type idempotencyKey struct {
	tenant int
	token  uint64
}

// requestKey is an owner's reference to what it asked for.
type requestKey struct {
	client    uint32
	requestID uint64
}

type deferredOutcome struct {
	allocationID uint32
	attempt      uint8
	verdict      logic.Outcome
}

// Engine is one scheduler.
type Engine struct {
	effects       Effects
	policy        logic.EventHandler
	config        Config
	jobEffects    []logic.RetrySemantics
	now           float64
	timers        timers.Heap[timerKind]
	pacer         *reconnect.Pacer
	admission     *admission.Limiter
	pauseDetector pausedetect.Detector
	hasEvents     bool

	allocations    []allocation
	free           []int
	byID           map[uint32]int                 // places of allocations by the module's id
	byKey          map[idempotencyKey]int         // the open or running one of a token
	requests       map[requestKey]int             // what owners were not yet told the end of
	recovered      map[attemptID]int              // running ones whose ticket is not their id's
	abandoned      map[attemptID]abandonedAttempt // given up tries
	claims         []pendingClaim
	lastID         uint32
	deferred       []deferredOutcome // outcomes known while the module decides
	nodes          []node
	nodeIndex      map[uint32]int
	exclusions     map[uint32]uint8 // nodes that are kept out, known or not, and why
	listGeneration int
	listKind       logic.ListKind
	enteringNodes  bool // the news is of nodes that enter the working set
	stats          Stats
}

// Stats are counts since the start.
type Stats struct {
	Admitted, Rejected, Served, Declined, Failed, Offers, Recovered, LateStarts, Expired uint64
	Open, Held, Abandoned                                                                int
}

// New starts an engine at a time. The last list known comes next.
func New(edge Effects, now float64, terms Config) *Engine {
	e := &Engine{
		effects: edge, config: terms, now: now, pacer: reconnect.New(terms.Seed),
		admission: admission.NewLimiter(terms.MaxOpen, terms.Shares), byID: map[uint32]int{}, byKey: map[idempotencyKey]int{}, requests: map[requestKey]int{},
		recovered: map[attemptID]int{}, abandoned: map[attemptID]abandonedAttempt{}, nodeIndex: map[uint32]int{},
		exclusions: map[uint32]uint8{},
	}
	for _, jt := range terms.Cluster.JobClasses {
		e.jobEffects = append(e.jobEffects, jt.Semantics)
	}
	if terms.NewPolicy != nil {
		e.policy = terms.NewPolicy(policyEffects{e}, now, terms.Seed, terms.Cluster)
	} else {
		e.policy = logic.New(policyEffects{e}, now, terms.Seed, terms.Cluster)
	}
	return e
}

// Stats returns the counts.
func (e *Engine) Stats() Stats {
	s := e.stats
	s.Open, s.Held, s.Abandoned = e.admission.Open(), len(e.byID), len(e.abandoned)
	return s
}

// Round acts on what is due and lets the module decide on the news since the last.
func (e *Engine) Round(now float64) {
	e.now = now
	stood, act := e.pauseDetector.OnRound(now, e.hasEvents)
	e.hasEvents = false
	if stood > 0 {
		e.effects.Log(fmt.Sprintf("stall: stood still %.0f ms, %d open, reads before it acts", stood, e.admission.Open()))
	}
	if !act {
		return
	}
	for {
		b, ok := e.timers.Next(now)
		if !ok {
			break
		}
		e.fire(b)
	}
	for i := 0; i < len(e.deferred); i++ {
		s := e.deferred[i]
		if p, ok := e.byID[s.allocationID]; ok && e.allocations[p].attempt == s.attempt && e.allocations[p].phase == phaseConnecting {
			e.completeAttempt(p, s.verdict, logic.ReasonUnknown, nil)
		}
	}
	e.deferred = e.deferred[:0]
	e.policy.Decide(now)
	for nd, ok := e.pacer.Next(now); ok; nd, ok = e.pacer.Next(now) {
		e.effects.Dial(e.nodes[nd].id, e.nodes[nd].address)
	}
}

// NextRound is when Round is to be called at the latest, unless there is news before.
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

func (e *Engine) fire(b timer) {
	switch b.Kind {
	case timerPolicyWake:
		e.policy.OnTimer(e.now, b.Key)
	case timerAttempt:
		if p, ok := e.byID[uint32(b.Key)]; ok {
			if a := &e.allocations[p]; a.phase == phaseInFlight && a.dueAt == b.At && a.attempt == uint8(b.Key>>32) {
				e.abandonAttempt(p, logic.TimedOut)
			}
		}
	case timerConfirm:
		if p, ok := e.byID[uint32(b.Key)]; ok && e.allocations[p].confirmBy == b.At {
			switch a := &e.allocations[p]; a.phase {
			case phaseInFlight:
				e.abandonAttempt(p, logic.ConnectionLost)
			case phaseRunning:
				n := &e.nodes[a.nodeIndex]
				if more := outcome.ClaimExtension(e.now-n.lostAt, e.config.AliveAtPeers != nil && e.config.AliveAtPeers(e.now, n.id, n.incarnation)); more > 0 {
					a.confirmBy = e.now + more
					e.timers.Set(a.confirmBy, timerConfirm, uint64(a.id))
					if !n.graceExtended {
						n.graceExtended = true
						e.effects.Log(fmt.Sprintf("node %d: silent here for %.1f s, others hear it: what runs there is waited for", n.id, (e.now-n.lostAt)/1000))
					}
					return
				}
				e.completeAttempt(p, logic.ConnectionLost, logic.ReasonUnknown, nil)
			}
		}
	case timerKeep:
		if p, ok := e.byID[uint32(b.Key)]; ok {
			if a := &e.allocations[p]; a.phase == phaseRunning && a.client == noClient && a.dueAt == b.At {
				e.stop(a)
			}
		}
	case timerProbe:
		if n := &e.nodes[int(uint32(b.Key))]; n.probing && uint32(n.probeSeq) == uint32(b.Key>>32) {
			verdict := logic.TimedOut
			if !n.probeSent {
				verdict = logic.Unreachable
			}
			e.completeProbe(int(uint32(b.Key)), verdict, nil)
		}
	case timerConnect:
		if p, ok := e.byID[uint32(b.Key)]; ok && e.allocations[p].phase == phaseConnecting && e.allocations[p].attempt == uint8(b.Key>>32) {
			e.completeAttempt(p, logic.Unreachable, logic.ReasonUnknown, nil)
		}
	case timerClaim: // all are as long after their try as any other: the first is the one that is due
		c := e.claims[0]
		e.claims = e.claims[1:]
		if g, ok := e.abandoned[c.attempt]; ok && !g.started {
			if e.nodes[g.nodeIndex].ready {
				e.effects.Claim(e.nodes[g.nodeIndex].id, c.attempt.ticket, c.attempt.number)
			}
			e.scheduleClaim(c.attempt, c.remaining)
		}
	case timerForget:
		e.forgetMatching(func(g abandonedAttempt) bool { return e.now-g.sentAt > outcome.AttemptRetention() })
		if len(e.abandoned) > 0 {
			e.timers.Set(e.now+outcome.AttemptRetention()/4, timerForget, 0)
		}
	}
}

func attemptTimerKey(id uint32, try uint8) uint64 { return uint64(try)<<32 | uint64(id) }

// newAllocation makes room for an allocation and gives it an id.
func (e *Engine) newAllocation() (int, *allocation) {
	var p int
	if n := len(e.free); n > 0 {
		p, e.free = e.free[n-1], e.free[:n-1]
	} else {
		p, e.allocations = len(e.allocations), append(e.allocations, allocation{})
	}
	e.lastID++
	a := &e.allocations[p]
	*a = allocation{id: e.lastID, nodeIndex: -1, ticket: uint64(e.config.Incarnation)<<32 | uint64(e.lastID)}
	e.byID[a.id] = p
	return p, a
}

// forgetAllocation forgets an allocation that is answered and has nothing out.
func (e *Engine) forgetAllocation(p int) {
	a := &e.allocations[p]
	delete(e.byID, a.id)
	e.clearClient(a)
	name := idempotencyKey{a.tenant, a.token}
	if e.byKey[name] == p {
		delete(e.byKey, name)
	}
	delete(e.recovered, attemptID{a.ticket, a.attempt})
	e.effects.ReleaseTask(a.tenant, a.token, a.service, a.epoch)
	e.free = append(e.free, p)
	a.phase = phaseWaiting
}
