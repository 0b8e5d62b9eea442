package audit

import (
	"cmp"
	"encoding/json"
	"io"
	"slices"
	"sync"
)

// Kind says what a record is about.
type Kind uint8

// Kinds of records, with the fields that they use beside At.
const (
	SchedulerStarted   Kind = iota // Scheduler: a process started
	SchedulerKilled                // Scheduler: it was killed, or ended
	SchedulerPaused                // Scheduler: it was stopped by a signal
	SchedulerResumed               // Scheduler: it runs again
	RequestSent                    // Scheduler, Client, RequestRef, Token, Service, Job, Deadline: a client sent a request
	ResponseReceived               // Scheduler, Client, RequestRef, Detail: a client received the final answer
	RequestAbandoned               // Scheduler, Client, RequestRef: a client withdrew, or its connection ended
	EndpointDelivered              // Scheduler, Node, Detail: the list sent a scheduler a node's availability
	ListDelivered                  // Scheduler, Detail: the list answered a scheduler; Detail is empty unless the call failed
	EndpointChanged                // Node, Detail: the list itself noticed a node's availability
	MaintenanceChanged             // Node, Detail: a maintenance window takes a node out, or is over
	NodeStarted                    // Node, Detail: an incarnation of a node started, cold or not
	NodeOverloaded                 // Node: a node broke down under too many placements
	LinkOpened                     // Scheduler, Node: a scheduler's connection to a node is established
	LinkClosed                     // Scheduler, Node, Detail: and closed
	PlacementReceived              // Scheduler, Node, Ticket, Attempt, Token, Service, Job, Deadline, SentAt: a node received an attempt
	RecallReceived                 // Scheduler, Node, Ticket, Attempt: a node received a recall
	TaskStarted                    // Scheduler, Node, Ticket, Attempt: an attempt had its effect
	StartConfirmed                 // Scheduler, Node, Ticket, Attempt: and its scheduler was notified
	AttemptConcluded               // Scheduler, Node, Ticket, Attempt, Detail: a node sent an attempt's outcome

	kinds // how many there are
)

// Values of Record.Detail that the rules look at; the others are for the reader of a trace.
const (
	AnswerServed      = "served"   // of ResponseReceived
	AnswerDeclined    = "declined" // of ResponseReceived
	AvailabilityReady = "ready"    // of EndpointDelivered and EndpointChanged
	MaintenanceOver   = "back"     // of MaintenanceChanged
	StartedCold       = "cold"     // of NodeStarted
	OutcomeRefused    = "refused"  // of AttemptConcluded: it was handed back before it ran
	OutcomeBarred     = "barred"   // of AttemptConcluded: the node will reject it if it ever arrives
)

// kindNames are the kinds in traces.
var kindNames = [kinds]string{
	"born", "killed", "paused", "resumed", "asked", "answered", "gave-up", "told", "heard",
	"listed", "scheduled", "node-born", "node-fell", "linked", "unlinked", "offered", "recalled", "ran", "confirmed",
	"concluded",
}

// String returns the kind's name in traces.
func (k Kind) String() string { return kindNames[k] }

// MarshalText returns the kind's name; it never fails.
func (k Kind) MarshalText() ([]byte, error) { return []byte(k.String()), nil }

// Record is one event outside the schedulers. Times are ms of the recording process's clock.
type Record struct {
	At         float64 `json:"At"`
	Kind       Kind    `json:"Kind"`
	Scheduler  string  `json:"Sched,omitempty"` // name, with ".shard" where a shard has connections of its own
	Node       uint32  `json:"Node,omitempty"`
	Client     int     `json:"Owner,omitempty"`
	RequestRef uint64  `json:"Ref,omitempty"` // unique to a client
	Ticket     uint64  `json:"Ticket,omitempty"`
	Attempt    uint8   `json:"Try,omitempty"` // number of the attempt, from 0
	Job        int     `json:"Job,omitempty"` // index of the job class
	Token      uint64  `json:"Token,omitempty"`
	Service    uint64  `json:"Service,omitempty"`
	Deadline   float64 `json:"Until"`
	SentAt     float64 `json:"Sent,omitempty"` // when an attempt was sent, as far as its node can tell
	Detail     string  `json:"Word,omitempty"`
}

// Trace collects records. Its zero value is ready for use, by several goroutines at once.
type Trace struct {
	// OnRecord, if set before the first Add, gets each record instead of the trace. It is called with the trace locked.
	OnRecord func(*Record)

	mu      sync.Mutex
	records []Record // guarded by mu
}

// Add adds a record.
func (t *Trace) Add(r Record) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.OnRecord != nil {
		t.OnRecord(&r)
	} else {
		t.records = append(t.records, r)
	}
}

// Records returns a copy of all records in order of time; those of one time keep the order in which they were added.
func (t *Trace) Records() []Record {
	t.mu.Lock()
	records := slices.Clone(t.records)
	t.mu.Unlock()
	slices.SortStableFunc(records, func(x, y Record) int { return cmp.Compare(x.At, y.At) })
	return records
}

// Write writes records as JSON, one a line, and returns the first error of the writer.
func Write(w io.Writer, records []Record) error {
	enc := json.NewEncoder(w)
	for i := range records {
		if err := enc.Encode(&records[i]); err != nil {
			return err
		}
	}
	return nil
}
