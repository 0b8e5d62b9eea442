package logic

// The module is told what happens by the methods of Told and acts through Host. Times are milliseconds with
// fractions on the caller's clock, which only moves forward. Calls come one at a time; Decide closes each
// round of calls that share a time.

// Effects carries out what the module decides, in the order of its calls.
type Effects interface {
	StartAttempt(alloc uint32, node uint32, timeout float64) // a placement try
	Shed(alloc uint32, holdOff float64)                      // final: asking again does no harm
	Fail(alloc uint32)                                       // final: promises nothing
	Cancel(alloc uint32, try uint8)
	Migrate(alloc uint32)
	Probe(node uint32)
	WatchList(active bool) // a watch on the node list
	ReloadList()           // the whole node list, once
	SetTimer(delay float64, key uint64)
	Log(line string)
}

// EventHandler is all that the module hears.
type EventHandler interface {
	OnListBegin(now float64, kind ListKind)
	OnListNode(now float64, node uint32, avail Availability, since, freeCores, freeMemory float64, zone, cell, kind int)
	OnListEnd(now float64)
	OnRequest(now float64, alloc uint32, jobType, tenant int, expiry float64, service uint64, cores, memory float64)
	OnRecovered(now float64, alloc uint32, jobType, tenant int, service uint64, cores, memory float64, node uint32)
	OnStarted(now float64, alloc uint32, try uint8, took float64)
	OnOutcome(now float64, alloc uint32, node uint32, try uint8, took float64, over bool, why Reason, verdict Outcome,
		report []float64)
	OnTaskMetric(now float64, alloc uint32, try uint8, node uint32, kind TaskMetric, value float64)
	OnExpired(now float64, alloc uint32)
	OnProbeResult(now float64, node uint32, verdict Outcome, took float64, report []float64)
	OnTimer(now float64, key uint64)
	Decide(now float64)
}

// Cluster is what is known of a deployment at start.
type Cluster struct {
	Schedulers         int
	Index              int     // of this one among them, from 0
	PollsList          bool    // the node list answers only when asked
	ListMaxSilence     float64 // unheard for so long, an asking scheduler counts as told
	MinRoundInterval   float64 // the least time between two rounds
	MaxAttempts        int
	CanCancel          bool
	CanProbe           bool
	JobClasses         []JobClass
	KindCores          []float64 // by machine kind
	KindMemory         []float64
	CoresOvercommit    float64 // a node accepts until asked for so many times its cores
	MemoryOvercommit   float64
	ListsReportLoad    bool // list entries carry what nobody has asked for
	ReportsMeasureUse  bool // reports subtract use, not asks
	ReportFields       []string
	ReportsPiggybacked bool // inside answers, not only in probes
	SlowStartLimit     float64
	SlowStartDuration  float64
	SlowStartWindow    float64
	Preempts           bool    // nodes push out lower priorities
	MeanCores          float64 // of an allocation of size 1
	MeanMemory         float64
	FleetPrice         float64 // of machines in use beyond those needed
}

// JobClass is one kind of work.
type JobClass struct {
	Semantics         RetrySemantics
	IdempotencyScope  IdempotencyScope
	IdempotencyWindow float64 // how long a tokened type's group remembers, from the first doubtful try
	LatencyObjective  float64 // target delay
	PriorityWeight    float64 // of one second of an allocation of mean size
	NodeKind          int     // machine kind that it needs, or -1
	Spread            SpreadScope
	MaxPerScope       int // allocations of a service in one such place
}

type RetrySemantics uint8

const (
	Restartable RetrySemantics = iota
	Idempotent
	AtMostOnce
)

type IdempotencyScope uint8

const (
	ScopeAll IdempotencyScope = iota
	ScopeZone
	ScopeCell
)

type SpreadScope uint8

const (
	Anywhere SpreadScope = iota
	PerNode
	PerCell
	PerZone
)

type ListKind uint8

const (
	ListFull ListKind = iota
	ListCached
	ListChanges
	ListFailed
)

type Availability uint8

const (
	Unavailable Availability = iota
	Ready
	Draining
)

type Outcome uint8

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

type Reason uint8

const (
	ReasonUnknown Reason = iota
	InsufficientCores
	InsufficientMemory
	QueueFull
	NotAccepting
	Evicted
	Preempted
	Displaced
)

type TaskMetric uint8

const (
	TaskRunning TaskMetric = iota + 1
	CoresUsed
	MemoryUsed
	ServedShare
	NodeMemory
)
