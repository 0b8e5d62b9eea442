// Package node is the protocol between a scheduler and a node, as docs/protocols/node.md describes it. A message is a line of
// fields (package proto/line). The Append functions encode messages; DecodeScheduler and DecodeNode decode a line into one
// call of a handler.
//
// The package holds no state, does no I/O and starts no goroutine. Decoding returns an error for a line that does not
// follow the grammar, or the handler's own error; the connection should then be closed. Times and durations are in ms.
package node

import "ravenpond/logic"

// GreetingLine is the first line of both sides. Its version is raised when an older peer would misread a line.
const GreetingLine = "RAVENPOND-NODE 1"

// Timeouts of the protocol, in ms. A scheduler pings at an interval; either side closes a connection on which it has received
// nothing for the silence timeout.
const (
	PingInterval     = 2000
	SilenceTimeout   = 7000
	HandshakeTimeout = 2000 // from connecting to the end of the greeting
	WriteTimeout     = 4000 // a write that takes longer closes the connection
)

// MaxReportValues is how many values a load report holds at most.
const MaxReportValues = 4

// OutcomeNames are the outcomes of an attempt as they are written. Refused and barred prove that the task never ran: a barred
// attempt had not arrived when it was claimed, and will be refused if it still arrives.
var OutcomeNames = []string{"ended", "error", "refused", "barred", "lost", "stopped", "unknown"}

// Places in OutcomeNames.
const (
	OutcomeEnded = iota
	OutcomeErrored
	OutcomeRefused
	OutcomeBarred
	OutcomeLost
	OutcomeStopped
	OutcomeUnknown // answers a claim of an attempt that the node has forgotten: the task may have run
)

// ReasonNames are the reasons of outcomes as they are written, in the order of logic.Reason.
var ReasonNames = []string{"-", "no-cores", "no-memory", "long-line", "not-here", "evicted", "pushed-out", "sent-away"}

// NoteNames are the kinds of notes as they are written, in the order of logic.NoteKind.
var NoteNames = []string{"-", "runs", "cores", "memory", "served", "node-memory"}

// StateNames are the states of a task that a node holds, as they are written.
var StateNames = []string{"waits", "runs"}

// Places in StateNames.
const (
	StateWaiting = iota
	StateRunning
)

// ClaimNames are the answers to a claim as they are written: a state, or an outcome at its place plus ClaimOutcome.
var ClaimNames = append(append([]string{}, StateNames...), OutcomeNames...)

// Places in ClaimNames.
const (
	ClaimWaiting = iota
	ClaimRunning
	ClaimOutcome
)

// Verdicts are the verdicts of the policy by the outcome. They decide what may be attempted again: refused and barred attempts
// provably never ran.
var Verdicts = [...]logic.Outcome{
	OutcomeEnded:   logic.Completed,
	OutcomeErrored: logic.Errored,
	OutcomeRefused: logic.Rejected,
	OutcomeBarred:  logic.Rejected,
	OutcomeLost:    logic.ConnectionLost,
	OutcomeStopped: logic.Cancelled,
	OutcomeUnknown: logic.ConnectionLost,
}

// AttemptID names a placement attempt, also beyond the incarnation of the scheduler that made it.
type AttemptID struct {
	Ticket uint64 // incarnation of the scheduler in the upper half, number of the allocation in the lower half
	Number uint8  // of the attempt among those of its allocation, from 0
}

// Task is what is to be started.
type Task struct {
	JobClass, Tenant int // places in the site's lists
	Service          uint64
	Token            uint64 // idempotency key, unique among the tenant's tasks
	Cores, Memory    float64
}

// Offer asks a node to start a task within the timeout from when it was sent.
type Offer struct {
	Attempt AttemptID
	Epoch   uint32  // fencing token: a node refuses an offer with an older epoch than it has seen
	SentAt  float64 // by the scheduler's clock, which a node follows as docs/protocols/node.md describes it
	Timeout float64
	Task    Task
}

// Outcome is the end of an attempt.
type Outcome struct {
	Attempt AttemptID
	Result  int       // a place in OutcomeNames
	Reason  int       // a place in ReasonNames
	Report  []float64 // load of the node, if it sends one; valid until the handler returns
}

// Note is something that a node observed of a running task.
type Note struct {
	Attempt AttemptID
	Kind    int // a place in NoteNames
	Value   float64
}

// ClaimAnswer answers a claim, whatever was sent for the attempt before.
type ClaimAnswer struct {
	Attempt AttemptID
	Claim   int // a place in ClaimNames
	Reason  int // a place in ReasonNames
}

// HeldTask is a task that a node holds for a scheduler.
type HeldTask struct {
	Attempt AttemptID
	State   int // a place in StateNames
	Task    Task
}

// SchedulerHandler takes the messages of a scheduler, at the node.
type SchedulerHandler interface {
	OnOffer(offer Offer) error
	// OnRecall takes the request to hand an attempt back unless its task runs.
	OnRecall(attempt AttemptID) error
	// OnStop takes the request to end a task, or to hand back what does not run yet.
	OnStop(attempt AttemptID) error
	// OnClaim takes the question what became of an attempt. One that has not arrived is barred.
	OnClaim(attempt AttemptID) error
	OnProbe(sequence uint64) error
	OnPing(sentAt float64) error
	// OnResync takes the request to name all held tasks again.
	OnResync() error
	OnBye(reason string) error
}

// Handler takes the messages of a node, at the scheduler.
type Handler interface {
	OnStarted(attempt AttemptID, took float64) error
	OnOutcome(outcome Outcome) error
	OnNote(note Note) error
	OnReport(sequence uint64, report []float64) error
	OnClaimAnswer(answer ClaimAnswer) error
	OnHeld(held HeldTask) error
	// OnHeldAll follows the last held task.
	OnHeldAll() error
	OnPong() error
	OnBye(reason string) error
}
