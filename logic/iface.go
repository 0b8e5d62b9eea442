package logic

// EventHandler receives all input of a scheduler, and Effects carries out all its decisions. Times and durations are milliseconds with
// fractions on the caller's clock, which is monotonic. Calls are made one at a time; Decide ends each round of calls that share a time.

// Effects carries out the scheduler's decisions in the order of the calls.
type Effects interface {
	// StartAttempt sends a placement request to a node. Its outcome is TimedOut unless the node answers within timeout.
	StartAttempt(alloc uint32, node uint32, timeout float64)
	// Shed gives a final answer that allows the client to retry after retryAfter: the allocation did not run, or running it again is safe.
	Shed(alloc uint32, retryAfter float64)
	// Fail gives a final answer without any guarantee: the allocation may have run.
	Fail(alloc uint32)
	// Cancel requests the cancellation of an attempt in flight; the outcome of the attempt is still delivered.
	Cancel(alloc uint32, attempt uint8)
	// Migrate requests that a running allocation be moved to another node.
	Migrate(alloc uint32)
	// Probe requests a health check and a load report from a node; OnProbeResult delivers the result.
	Probe(node uint32)
	// WatchList opens (or closes) a subscription to the node list.
	WatchList(active bool)
	// ReloadList fetches the full node list once.
	ReloadList()
	// SetTimer schedules a call of OnTimer with the key after the delay.
	SetTimer(delay float64, key uint64)
	// Log writes a line about the scheduler's state to the operator's log.
	Log(line string)
}

// EventHandler receives all events. The first argument of each callback is the time at which the caller learned of the event.
type EventHandler interface {
	// OnListBegin starts a message of the node list: OnListNode follows for each entry, then OnListEnd.
	OnListBegin(now float64, kind ListKind)
	// OnListNode delivers one entry of the message.
	OnListNode(now float64, entry ListEntry)
	// OnListEnd ends the message.
	OnListEnd(now float64)
	// OnRequest delivers an allocation that a client requests. The allocation gets exactly one final answer: a start, Shed or Fail.
	OnRequest(now float64, request Request)
	// OnRecovered delivers an allocation that is already running at a node, as known after a restart.
	OnRecovered(now float64, recovered Recovered)
	// OnStarted reports that the node of an attempt has started the allocation, took milliseconds after the attempt was sent.
	OnStarted(now float64, alloc uint32, attempt uint8, took float64)
	// OnOutcome reports how an attempt, or the running allocation that it started, has ended.
	OnOutcome(now float64, result AttemptResult)
	// OnTaskMetric delivers a measurement of a running allocation.
	OnTaskMetric(now float64, sample TaskSample)
	// OnExpired reports that the caller has given the final answer itself: the client's deadline has passed, or the client no longer waits.
	OnExpired(now float64, alloc uint32)
	// OnProbeResult delivers the result of a probe that was requested with Probe.
	OnProbeResult(now float64, result ProbeResult)
	// OnTimer reports that a timer has fired.
	OnTimer(now float64, key uint64)
	// Decide ends a round of events that share a time; the scheduler then acts on them.
	Decide(now float64)
}

// ListEntry is the state of one node in a list message.
type ListEntry struct {
	Node                  uint32
	Availability          Availability
	StartedAt             float64 // when the node started; 0: long ago
	FreeCores, FreeMemory float64 // unallocated amounts, set if Cluster.ListsReportLoad
	Zone, Cell, Kind      int
}

// Request is an allocation that a client requests.
type Request struct {
	Allocation    uint32
	Class, Tenant int     // indexes into the cluster's job classes and tenants
	Deadline      float64 // time at which the client stops waiting
	Service       uint64  // key of the service that the allocation belongs to
	Cores, Memory float64
}

// Recovered is an allocation that is already running at a node. Its request has no deadline.
type Recovered struct {
	Request
	Node uint32
}

// AttemptResult describes how an attempt, or the running allocation that it started, has ended.
type AttemptResult struct {
	Allocation, Node uint32
	Attempt          uint8   // number of the attempt, counted from 0
	Duration         float64 // time since the attempt was sent
	NodeUncertain    bool    // the attempt may have reached another node than Node
	Answered         bool    // the allocation already has its final answer
	Reason           Reason
	Outcome          Outcome
	Report           []float64 // the node's load report, see Cluster.ReportFields; empty if there is none. It is valid only during the call
}

// TaskSample is one measurement of a running allocation.
type TaskSample struct {
	Allocation uint32
	Attempt    uint8
	Node       uint32
	Metric     TaskMetric
	Value      float64
}

// ProbeResult is the result of a probe: Completed with a load report, or the reason why there is none.
type ProbeResult struct {
	Node     uint32
	Outcome  Outcome
	Duration float64
	Report   []float64 // as in AttemptResult
}

// Cluster describes a deployment as it is known when a scheduler starts.
type Cluster struct {
	Schedulers         int
	Index              int     // index of this scheduler, counted from 0
	PollsList          bool    // the node list has to be polled; otherwise changes are pushed
	ListMaxSilence     float64 // for a polled list: after this time without a message a scheduler counts as informed of all changes
	MinRoundInterval   float64 // minimum time between two rounds
	MaxAttempts        int     // maximum number of attempts for each allocation
	RetriesUnreachable bool    // attempts whose node could not be reached do not count towards MaxAttempts
	CanCancel          bool    // attempts in flight may be cancelled
	CanProbe           bool    // nodes may be probed
	JobClasses         []JobClass
	KindCores          []float64 // cores of a node, by node kind
	KindMemory         []float64 // memory of a node, by node kind
	CoresOvercommit    float64   // a node accepts allocations up to this multiple of its cores
	MemoryOvercommit   float64   // a node accepts allocations up to this multiple of its memory
	ListsReportLoad    bool      // list entries carry unallocated cores and memory
	ReportsMeasureUse  bool      // load reports subtract the resources in use from the node's size; otherwise the allocated ones
	ReportFields       []string  // names of the values in a load report, in order
	ReportsPiggybacked bool      // load reports arrive with outcomes; otherwise only with probe results
	SlowStartLimit     float64   // attempts that a node in slow start accepts within SlowStartWindow, from all schedulers together
	SlowStartDuration  float64   // maximum time from a node's start until it is warm
	SlowStartWindow    float64   // see SlowStartLimit
	Preempts           bool      // nodes evict allocations of lower priority if their resources are needed
	MeanCores          float64   // cores of an allocation of mean size
	MeanMemory         float64   // memory of an allocation of mean size
	FleetPrice         float64   // cost of nodes in use beyond those needed; 0 if they cost nothing
}

// JobClass is one class of allocations.
type JobClass struct {
	Semantics         RetrySemantics
	IdempotencyScope  IdempotencyScope // for an idempotent class: the nodes that recognise repeats
	IdempotencyWindow float64          // for an idempotent class: how long repeats are recognised after the first attempt that may have run was sent
	LatencyObjective  float64          // target for the time from request to start
	PriorityWeight    float64          // value of one second of service of an allocation of mean size
	NodeKind          int              // the node kind that the class requires, or -1 for any
	Spread            SpreadScope
	MaxPerScope       int // maximum number of allocations of one service within one spread scope
}

// IsScoped reports whether repeats of the class's allocations are recognised, but only by some of the nodes.
func (c *JobClass) IsScoped() bool {
	return c.Semantics == Idempotent && c.IdempotencyScope != ScopeAll
}

// RetrySemantics defines when an allocation may be attempted again.
type RetrySemantics uint8

// Retry semantics of a job class.
const (
	Restartable RetrySemantics = iota // at any time
	Idempotent                        // within its idempotency scope and window
	AtMostOnce                        // only if every earlier attempt is proven not to have run
)

// IdempotencyScope defines which nodes recognise a repeat of an idempotent allocation: those in the same scope as the first attempt's node.
type IdempotencyScope uint8

// Scopes within which repeats are recognised.
const (
	ScopeAll IdempotencyScope = iota
	ScopeZone
	ScopeCell
)

// SpreadScope is the failure domain within which the number of allocations of one service is limited.
type SpreadScope uint8

// Failure domains of the spread constraint.
const (
	Anywhere SpreadScope = iota // no constraint
	PerNode
	PerCell
	PerZone
)

// ListKind defines what a message of the node list contains.
type ListKind uint8

// Kinds of list messages.
const (
	ListFull    ListKind = iota // all nodes; a node without an entry is unavailable
	ListCached                  // all nodes as last stored; delivered when the scheduler starts
	ListChanges                 // only the nodes that changed
	ListFailed                  // no nodes, because the poll failed
)

// Availability is the state of a node in the node list.
type Availability uint8

// States of a node in the node list.
const (
	Unavailable Availability = iota
	Ready
	Draining
)

// Outcome describes how an attempt or a probe ended. Only Rejected, Unreachable and NotSent prove that an attempt never ran.
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

// Reasons for a rejection or the end of a running allocation.
const (
	ReasonUnknown Reason = iota
	InsufficientCores
	InsufficientMemory
	QueueFull
	NotAccepting // the node is of the wrong kind, is draining, got the attempt too late, or already holds a copy
	Evicted
	Preempted
	Displaced
)

// TaskMetric defines what a TaskSample measures.
type TaskMetric uint8

// Metrics of running allocations.
const (
	TaskRunning TaskMetric = iota + 1
	CoresUsed
	MemoryUsed
	ServedShare // the fraction of its service that the allocation gets, 0 to 1
	NodeMemory
)
