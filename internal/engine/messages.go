package engine

import (
	"cmp"

	"ravenpond/logic"
)

// Task is what a client wants to have started.
type Task struct {
	JobClass, Tenant int // places in the cluster's lists
	Service          uint64
	Token            uint64  // idempotency key, unique among the tenant's tasks
	Cores, Memory    float64 // cores, and memory in the unit of the cluster's machine kinds
}

// Key is the task's key.
func (t *Task) Key() TaskKey { return TaskKey{Tenant: t.Tenant, Token: t.Token} }

// policyRequest is the task as the policy knows it, by a number and without a deadline.
func (t *Task) policyRequest(id uint32) logic.Request {
	return logic.Request{
		Allocation: id, Class: t.JobClass, Tenant: t.Tenant, Service: t.Service, Cores: t.Cores, Memory: t.Memory,
	}
}

// TaskKey names a task by its tenant and the tenant's idempotency key. At most one allocation of a key is open or
// running.
type TaskKey struct {
	Tenant int
	Token  uint64
}

// OwnedTask is a task together with the epoch under which an engine acts for it. The epoch is a fencing token: a newer
// one invalidates all older.
type OwnedTask struct {
	TaskKey
	Epoch uint32
}

// AttemptID names one placement attempt, also beyond the incarnation of the scheduler that made it.
type AttemptID struct {
	Ticket uint64 // incarnation of the scheduler in the upper half, number of the allocation in the lower half
	Number uint8  // of the attempt among those of its allocation, from 0
}

// IsZero tells whether no attempt is named.
func (a AttemptID) IsZero() bool { return a.Ticket == 0 }

// incarnation is that of the scheduler that made the attempt.
func (a AttemptID) incarnation() uint32 { return uint32(a.Ticket >> 32) }

// compare orders by ticket and number.
func (a AttemptID) compare(b AttemptID) int {
	return cmp.Or(cmp.Compare(a.Ticket, b.Ticket), cmp.Compare(a.Number, b.Number))
}

// RequestID names a request by the client's connection and the client's own number for it.
type RequestID struct {
	Client uint32 // 0: no client
	Number uint64
}

// Request asks to have a task placed.
type Request struct {
	ID       RequestID
	Task     Task
	TimeLeft float64 // that the client still waits for the answer
	Epoch    uint32  // under which this engine acts for the task; 0: it has ended since the request was routed here
}

// Offer is a placement attempt as it is sent to a node.
type Offer struct {
	Attempt AttemptID
	Epoch   uint32
	Timeout float64 // within which the node may start the task
	Task    Task
}

// Outcome is the end of an attempt as its node reports it.
type Outcome struct {
	Attempt AttemptID
	Result  logic.Outcome // logic.Rejected proves that the task never ran
	Reason  logic.Reason
	Report  []float64 // load of the node, if it sent one
}

// HeldTask is a task that a node holds for this scheduler: it waits for its start, or it runs.
type HeldTask struct {
	Attempt AttemptID
	Running bool
	Task    Task
}

// RunningTask is a task that was found running at a node.
type RunningTask struct {
	Task    Task
	Node    uint32
	Attempt AttemptID
}

// RecoveredTask says how an engine goes on with a task that it found running.
type RecoveredTask struct {
	Epoch   uint32
	Request RequestID // that was answered with Served, if any
}

// ListEntry is a node as the node list describes it.
type ListEntry struct {
	Node                  uint32
	Address               string
	Availability          logic.Availability
	StartedAt             float64 // on the wall clock, 0: long ago
	FreeCores, FreeMemory float64
	Zone, Cell, Kind      int // places in the site's lists
}

// AnswerKind is the final answer to a request.
type AnswerKind uint8

// Kinds of answers.
const (
	Served   AnswerKind = iota // the task runs
	Declined                   // it does not run, and requesting it again does no harm
	Failed                     // it may have run
)

func (k AnswerKind) String() string { return [...]string{"served", "declined", "failed"}[k] }

// AnswerReason says why an answer was given. It is sent to the client.
type AnswerReason string

// Reasons that the engine gives; those of package admission come beside them.
const (
	ReasonNone           AnswerReason = ""
	ReasonLateStart      AnswerReason = "late"            // served by an attempt that had been given up
	ReasonRunning        AnswerReason = "runs"            // served: the task runs already
	ReasonWithdrawn      AnswerReason = "withdrawn"       // by the client
	ReasonJustEnded      AnswerReason = "just-ended"      // declined: the earlier task of this key ended a moment ago
	ReasonAlreadyOpen    AnswerReason = "open-already"    // declined: the same key is requested twice
	ReasonEnding         AnswerReason = "ends"            // declined: the process ends
	ReasonEarlierInDoubt AnswerReason = "earlier-try-out" // declined: an attempt for an earlier request may still start
)

// Answer is the final answer to a request.
type Answer struct {
	Kind       AnswerKind
	Node       uint32 // where the task runs, if it was served
	Reason     AnswerReason
	RetryAfter float64 // the client should not ask again sooner, 0: no such advice
}
