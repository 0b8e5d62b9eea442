package logic

// EventHandler receives everything that a scheduler learns, and Effects carries out everything that it decides. Times and durations are
// milliseconds with fractions on the caller's clock, which only moves forward. Calls come one at a time; Decide closes each round of calls
// that share a time.

// Effects carries out what the module decides, in the order of the calls.
type Effects interface {
	// StartAttempt sends a placement request to a node. Its outcome is TimedOut unless the node answers within timeout.
	StartAttempt(alloc uint32, node uint32, timeout float64)
	// Shed is a final answer: the allocation did not run, or running it again does no harm, so the client may retry after retryAfter.
	Shed(alloc uint32, retryAfter float64)
	// Fail is a final answer that promises nothing: the allocation may have run.
	Fail(alloc uint32)
	// Cancel asks for an attempt in flight to be cancelled; its outcome still follows.
	Cancel(alloc uint32, attempt uint8)
	// Migrate asks for a running allocation to be moved to another node.
	Migrate(alloc uint32)
	// Probe asks a node for a health check and a load report; OnProbeResult follows.
	Probe(node uint32)
	// WatchList opens (or closes) a subscription to the node list.
	WatchList(active bool)
	// ReloadList fetches the full node list once.
	ReloadList()
	// SetTimer has OnTimer called with the key after the delay.
	SetTimer(delay float64, key uint64)
	// Log writes a line about the module's state to the operator's log.
	Log(line string)
}

// EventHandler receives all events. The first argument of each callback is the time at which the caller learned of the event.
type EventHandler interface {
	// OnListBegin starts a message of the node list: OnListNode follows for each entry, then OnListEnd.
	OnListBegin(now float64, kind ListKind)
	// OnListNode takes one entry of the message.
	OnListNode(now float64, entry ListEntry)
	// OnListEnd ends the message.
	OnListEnd(now float64)
	// OnRequest takes an allocation that a client asks for. It gets exactly one final answer: a start, Shed or Fail.
	OnRequest(now float64, request Request)
	// OnRecovered takes an allocation that already runs at a node, as known after a restart.
	OnRecovered(now float64, recovered Recovered)
	// OnStarted says that an attempt's node has started the allocation, took milliseconds after the send.
	OnStarted(now float64, alloc uint32, attempt uint8, took float64)
	// OnOutcome says how an attempt, or the running allocation that it started, has ended.
	OnOutcome(now float64, result AttemptResult)
	// OnTaskMetric delivers a measurement of a running allocation.
	OnTaskMetric(now float64, sample TaskSample)
	// OnExpired says that the caller has given the final answer itself: the client's deadline has passed, or the client has gone.
	OnExpired(now float64, alloc uint32)
	// OnProbeResult answers Probe.
	OnProbeResult(now float64, result ProbeResult)
	// OnTimer says that a timer has fired.
	OnTimer(now float64, key uint64)
	// Decide ends a round of events that share a time; the module acts on them.
	Decide(now float64)
}

// ListEntry is the state of one node in a list message.
type ListEntry struct {
	Node                  uint32
	Availability          Availability
	StartedAt             float64 // when the node started, 0: long ago
	FreeCores, FreeMemory float64 // unallocated, where Cluster.ListsReportLoad
	Zone, Cell, Kind      int
}

// Request is an allocation that a client asks for.
type Request struct {
	Allocation    uint32
	Class, Tenant int     // indexes into the cluster's job classes and tenants
	Deadline      float64 // when the client stops waiting
	Service       uint64  // key of the service that the allocation belongs to
	Cores, Memory float64
}

// Recovered is an allocation that runs at a node already. Its request has no deadline.
type Recovered struct {
	Request
	Node uint32
}

// AttemptResult is how an attempt, or the running allocation that it started, has ended.
type AttemptResult struct {
	Allocation, Node uint32
	Attempt          uint8   // number of the attempt, from 0
	Duration         float64 // since it was sent
	Answered         bool    // the allocation has its final answer already
	Reason           Reason
	Outcome          Outcome
	Report           []float64 // the node's load report, by Cluster.ReportFields; empty if none came. Valid during the call
}

// TaskSample is one measurement of a running allocation.
type TaskSample struct {
	Allocation uint32
	Attempt    uint8
	Node       uint32
	Metric     TaskMetric
	Value      float64
}

// ProbeResult is the result of a probe: Completed with a load report, or why none came.
type ProbeResult struct {
	Node     uint32
	Outcome  Outcome
	Duration float64
	Report   []float64 // as in AttemptResult
}

// Cluster describes a deployment, as known when a scheduler starts.
type Cluster struct {
	Schedulers         int
	Index              int     // of this scheduler, from 0
	PollsList          bool    // the node list has to be asked for; otherwise changes are pushed
	ListMaxSilence     float64 // where it is polled: after so long without a message a scheduler counts as informed of all changes
	MinRoundInterval   float64 // the least time between two rounds
	MaxAttempts        int     // for each allocation
	CanCancel          bool    // attempts in flight may be cancelled
	CanProbe           bool    // nodes may be probed
	JobClasses         []JobClass
	KindCores          []float64 // cores of a node, by node kind
	KindMemory         []float64 // memory of a node, by node kind
	CoresOvercommit    float64   // a node accepts allocations up to this multiple of its cores
	MemoryOvercommit   float64   // and up to this multiple of its memory
	ListsReportLoad    bool      // list entries carry unallocated cores and memory
	ReportsMeasureUse  bool      // load reports subtract what is in use from a node's size; otherwise what is allocated
	ReportFields       []string  // names of the values in a load report
	ReportsPiggybacked bool      // load reports come with outcomes; otherwise only with probe results
	SlowStartLimit     float64   // attempts that a node in slow start tolerates within SlowStartWindow, from all schedulers together
	SlowStartDuration  float64   // a node is warm no later than this after its start
	SlowStartWindow    float64
	Preempts           bool    // nodes evict allocations of lower priority to make room
	MeanCores          float64 // of an allocation of mean size
	MeanMemory         float64
	FleetPrice         float64 // price of nodes in use beyond those needed, 0: none
}

// JobClass is one class of allocations.
type JobClass struct {
	Semantics         RetrySemantics
	IdempotencyScope  IdempotencyScope // of an idempotent class
	IdempotencyWindow float64          // of an idempotent class: how long repeats are recognised, from the send of the first that may have run
	LatencyObjective  float64          // target for the time from request to start
	PriorityWeight    float64          // worth of one second of service of an allocation of mean size
	NodeKind          int              // the node kind that the class needs, or -1
	Spread            SpreadScope
	MaxPerScope       int // allocations of one service within one spread scope
}

// RetrySemantics says when an allocation may be attempted again.
type RetrySemantics uint8

// Retry semantics of a job class.
const (
	Restartable RetrySemantics = iota // at any time
	Idempotent                        // within its idempotency scope and window
	AtMostOnce                        // only when every earlier attempt is proven not to have run
)

// IdempotencyScope says which nodes recognise a repeat of an idempotent allocation: those that share this with the first attempt's node.
type IdempotencyScope uint8

// Scopes within which repeats are recognised.
const (
	ScopeAll IdempotencyScope = iota
	ScopeZone
	ScopeCell
)

// SpreadScope is the failure domain within which the number of a service's allocations is bounded.
type SpreadScope uint8

// Failure domains of the spread constraint.
const (
	Anywhere SpreadScope = iota // no constraint
	PerNode
	PerCell
	PerZone
)

// ListKind says what a message of the node list contains.
type ListKind uint8

// Kinds of list messages.
const (
	ListFull    ListKind = iota // all nodes; a node that is not named is unavailable
	ListCached                  // all nodes as last stored, at start
	ListChanges                 // only nodes that changed
	ListFailed                  // none: the poll failed
)

// Availability is the state of a node in the list.
type Availability uint8

// States of a node in the list.
const (
	Unavailable Availability = iota
	Ready
	Draining
)

// Outcome is how an attempt or a probe ended. Only Rejected, Unreachable and NotSent prove that an attempt never ran.
type Outcome uint8

// Outcomes of attempts and probes.
const (
	Completed Outcome = iota
	Errored
	Rejected
	TimedOut
	Unreachable
	ConnectionLost
	Cancelled
	NotSent
)

// Reason explains a rejection or the end of a running allocation.
type Reason uint8

// Reasons.
const (
	ReasonUnknown Reason = iota
	InsufficientCores
	InsufficientMemory
	QueueFull
	NotAccepting // wrong kind, draining, too late, or the node holds a copy
	Evicted
	Preempted
	Displaced
)

// TaskMetric says what a TaskSample measures.
type TaskMetric uint8

// Metrics of running allocations.
const (
	TaskRunning TaskMetric = iota + 1
	CoresUsed
	MemoryUsed
	ServedShare // the part of its service that the allocation gets, 0 to 1
	NodeMemory
)
