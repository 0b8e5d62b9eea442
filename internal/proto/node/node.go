// Package node encodes and decodes the messages of the protocol between a scheduler and a node, which docs/protocols/node.md describes. A
// message is a line of fields (package proto/line). The Append functions encode messages; DecodeScheduler and DecodeNode decode a line and
// call one method of a handler.
//
// The package holds no state, does no I/O and starts no goroutine. Decoding returns an error for a line that does not follow the grammar, or
// the error that the handler returned; in both cases the connection should be closed. Times and durations are in ms.
package node

import "ravenpond/logic"

// GreetingLine is the first line that each side sends. Its version is raised when an older peer would misread a line.
const GreetingLine = "RAVENPOND-NODE 1"

// Timeouts of the protocol, in ms. A scheduler sends a ping every PingInterval. Either side closes a connection on which it has received
// nothing for SilenceTimeout.
const (
	PingInterval     = 2000
	SilenceTimeout   = 7000
	HandshakeTimeout = 2000 // from connecting to the end of the greeting
	WriteTimeout     = 4000 // the connection is closed if a write takes longer
)

// MaxReportValues is the maximum number of values in a load report.
const MaxReportValues = 4

// OutcomeNames are the outcomes of an attempt as they are encoded. The outcomes refused and barred prove that the task never ran: a barred
// attempt had not arrived when it was claimed, and will be refused if it arrives later.
var OutcomeNames = []string{"ended", "error", "refused", "barred", "lost", "stopped", "unknown"}

// Indexes into OutcomeNames.
const (
	OutcomeEnded = iota
	OutcomeErrored
	OutcomeRefused
	OutcomeBarred
	OutcomeLost
	OutcomeStopped
	OutcomeUnknown // the node has no record of the claimed attempt; its task may have run
)

// ReasonNames are the reasons of outcomes as they are encoded, in the order of logic.Reason.
var ReasonNames = []string{"-", "no-cores", "no-memory", "long-line", "not-here", "evicted", "pushed-out", "sent-away"}

// NoteNames are the kinds of notes as they are encoded, in the order of logic.TaskMetric.
var NoteNames = []string{"-", "runs", "cores", "memory", "served", "node-memory"}

// StateNames are the states of a task that a node holds, as they are encoded.
var StateNames = []string{"waits", "runs"}

// Indexes into StateNames.
const (
	StateWaiting = iota
	StateRunning
)

// ClaimNames are the answers to a claim as they are encoded: first the states, then the outcomes. The index of an outcome is its index in
// OutcomeNames plus ClaimOutcome.
var ClaimNames = append(append([]string{}, StateNames...), OutcomeNames...)

// Indexes into ClaimNames.
const (
	ClaimWaiting = iota
	ClaimRunning
	ClaimOutcome
)

// Verdicts maps the outcomes of the protocol to those of package logic, which decide whether a task may be attempted again: refused and barred
// attempts provably never ran.
var Verdicts = [...]logic.Outcome{
	OutcomeEnded:   logic.Completed,
	OutcomeErrored: logic.Errored,
	OutcomeRefused: logic.Rejected,
	OutcomeBarred:  logic.Rejected,
	OutcomeLost:    logic.ConnectionLost,
	OutcomeStopped: logic.Cancelled,
	OutcomeUnknown: logic.ConnectionLost,
}

// AttemptID identifies a placement attempt. It stays unique after a restart of the scheduler that made the attempt.
type AttemptID struct {
	Ticket uint64 // incarnation of the scheduler in the upper 32 bits, number of the allocation in the lower 32 bits
	Number uint8  // counts the attempts of the allocation from 0
}

// Task describes a task that a node is to start.
type Task struct {
	JobClass, Tenant int // indexes into the site's lists
	Service          uint64
	Token            uint64 // idempotency key, unique among the tenant's tasks
	Cores, Memory    float64
}

// Offer asks a node to start a task. It expires when the timeout has passed since it was sent.
type Offer struct {
	Attempt AttemptID
	Epoch   uint32  // fencing token: a node refuses an offer whose epoch is lower than one that it has seen
	SentAt  float64 // time on the scheduler's clock, which a node tracks as docs/protocols/node.md describes
	Timeout float64
	Task    Task
}

// Outcome tells how an attempt has ended.
type Outcome struct {
	Attempt AttemptID
	Result  int       // index into OutcomeNames
	Reason  int       // index into ReasonNames
	Report  []float64 // load report of the node, empty if it sends none; valid until the handler returns
}

// Note is a measurement that a node made of a running task.
type Note struct {
	Attempt AttemptID
	Kind    int // index into NoteNames
	Value   float64
}

// ClaimAnswer answers a claim. A node sends it whatever it has sent for the attempt before.
type ClaimAnswer struct {
	Attempt AttemptID
	Claim   int // index into ClaimNames
	Reason  int // index into ReasonNames
}

// HeldTask is a task that a node holds for a scheduler.
type HeldTask struct {
	Attempt AttemptID
	State   int // index into StateNames
	Task    Task
}

// SchedulerHandler is implemented by a node, which receives the messages of a scheduler.
type SchedulerHandler interface {
	OnOffer(offer Offer) error
	// OnRecall receives the request to withdraw an attempt unless its task already runs.
	OnRecall(attempt AttemptID) error
	// OnStop receives the request to stop the task of an attempt, or to withdraw the attempt if the task does not run yet.
	OnStop(attempt AttemptID) error
	// OnClaim receives the query for the state or outcome of an attempt. An attempt that has not arrived becomes barred.
	OnClaim(attempt AttemptID) error
	OnProbe(sequence uint64) error
	OnPing(sentAt float64) error
	// OnResync receives the request to list all held tasks again.
	OnResync() error
	OnBye(reason string) error
}

// Handler is implemented by a scheduler, which receives the messages of a node.
type Handler interface {
	OnStarted(attempt AttemptID, took float64) error
	OnOutcome(outcome Outcome) error
	OnNote(note Note) error
	OnReport(sequence uint64, report []float64) error
	OnClaimAnswer(answer ClaimAnswer) error
	OnHeld(held HeldTask) error
	// OnHeldAll follows the last OnHeld call of a list of held tasks.
	OnHeldAll() error
	OnPong() error
	OnBye(reason string) error
}
