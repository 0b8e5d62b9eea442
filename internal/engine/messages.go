package engine

import (
	"cmp"

	"ravenpond/logic"
)

// Task describes the task that a client wants to start.
type Task struct {
	JobClass, Tenant int // indices into the cluster's lists
	Service          uint64
	Token            uint64  // idempotency key, unique among the tenant's tasks
	Cores, Memory    float64 // memory is in the unit that the cluster's machine kinds use
}

// Key returns the tenant and idempotency key of the task.
func (t *Task) Key() TaskKey { return TaskKey{Tenant: t.Tenant, Token: t.Token} }

// policyRequest returns the policy's request for the task under the allocation number id, without a deadline.
func (t *Task) policyRequest(id uint32) logic.Request {
	return logic.Request{
		Allocation: id, Class: t.JobClass, Tenant: t.Tenant, Service: t.Service, Cores: t.Cores, Memory: t.Memory,
	}
}

// TaskKey identifies a task by its tenant and the tenant's idempotency key. At most one allocation per key is open or
// running.
type TaskKey struct {
	Tenant int
	Token  uint64
}

// OwnedTask is a task key together with the epoch under which an engine owns the task. The epoch is a fencing token: a
// newer epoch invalidates all older ones.
type OwnedTask struct {
	TaskKey
	Epoch uint32
}

// AttemptID identifies a placement attempt. It remains unique across incarnations of the scheduler that made the attempt.
type AttemptID struct {
	Ticket uint64 // scheduler incarnation in the upper half, allocation number in the lower half
	Number uint8  // of the attempt within its allocation, from 0
}

// IsZero reports whether a identifies no attempt.
func (a AttemptID) IsZero() bool { return a.Ticket == 0 }

// incarnation returns the incarnation of the scheduler that made the attempt.
func (a AttemptID) incarnation() uint32 { return uint32(a.Ticket >> 32) }

// compare orders attempt IDs by ticket, then by number.
func (a AttemptID) compare(b AttemptID) int {
	return cmp.Or(cmp.Compare(a.Ticket, b.Ticket), cmp.Compare(a.Number, b.Number))
}

// RequestID identifies a request by the client's connection and the number that the client gave it.
type RequestID struct {
	Client uint32 // 0: no client
	Number uint64
}

// Request is a client's request to place a task.
type Request struct {
	ID       RequestID
	Task     Task
	TimeLeft float64 // until the client stops waiting for the answer
	Epoch    uint32  // under which this engine owns the task; 0: the task has ended since the request was routed here
}

// Offer is the message that makes a placement attempt at a node.
type Offer struct {
	Attempt AttemptID
	Epoch   uint32
	Timeout float64 // period within which the node may start the task
	Task    Task
}

// Outcome is the outcome of an attempt as its node reports it.
type Outcome struct {
	Attempt AttemptID
	Result  logic.Outcome // logic.Rejected proves that the task never ran
	Reason  logic.Reason
	Report  []float64 // load report of the node, if it sent one
}

// HeldTask is a task that a node holds for this scheduler; it either runs or waits to be started.
type HeldTask struct {
	Attempt AttemptID
	Running bool
	Task    Task
}

// RunningTask is a task that was found running on a node.
type RunningTask struct {
	Task    Task
	Node    uint32
	Attempt AttemptID
}

// RecoveredTask holds the epoch and the request under which an engine continues a task that it found running.
type RecoveredTask struct {
	Epoch   uint32
	Request RequestID // the request that was answered with Served, if any
}

// ListEntry describes a node in the node list.
type ListEntry struct {
	Node                  uint32
	Address               string
	Availability          logic.Availability
	StartedAt             float64 // wall-clock time; 0: long ago
	FreeCores, FreeMemory float64
	Zone, Cell, Kind      int // indices into the site's lists
}

// AnswerKind is the kind of a final answer.
type AnswerKind uint8

// Kinds of answers.
const (
	Served   AnswerKind = iota // the task runs
	Declined                   // the task does not run, and it is safe to retry the request
	Failed                     // the task may have run
)

func (k AnswerKind) String() string { return [...]string{"served", "declined", "failed"}[k] }

// AnswerReason is the reason for an answer. It is sent to the client.
type AnswerReason string

// Reasons given by the engine. The verdicts of package admission are used as reasons too.
const (
	ReasonNone                  AnswerReason = ""
	ReasonLateStart             AnswerReason = "late"            // served by an attempt that had been abandoned
	ReasonRunning               AnswerReason = "runs"            // served: the task was already running
	ReasonWithdrawn             AnswerReason = "withdrawn"       // the client withdrew the request
	ReasonJustEnded             AnswerReason = "just-ended"      // declined: an earlier task with the same key has just ended
	ReasonAlreadyOpen           AnswerReason = "open-already"    // declined: a request with the same key is open
	ReasonShuttingDown          AnswerReason = "ends"            // declined: the process is shutting down
	ReasonEarlierAttemptPending AnswerReason = "earlier-try-out" // declined: an attempt for an earlier request may still start
)

// Answer is the final answer to a request.
type Answer struct {
	Kind       AnswerKind
	Node       uint32 // the node that runs the task, if it was served
	Reason     AnswerReason
	RetryAfter float64 // minimum time before the client retries; 0: none is advised
}
