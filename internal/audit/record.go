package audit

import (
	"cmp"
	"encoding/json"
	"io"
	"slices"
	"sync"
)

// Kind is the kind of event that a record describes.
type Kind uint8

// Kinds of records. Each comment names the fields that are used besides At, then the event.
const (
	SchedulerStarted   Kind = iota // Scheduler: a process started
	SchedulerKilled                // Scheduler: a process was killed, or ended
	SchedulerPaused                // Scheduler: a process was stopped by a signal
	SchedulerResumed               // Scheduler: a stopped process runs again
	RequestSent                    // Scheduler, Client, RequestRef, Token, Service, Job, Deadline: a client sent a request
	ResponseReceived               // Scheduler, Client, RequestRef, Detail: a client received the final answer
	RequestAbandoned               // Scheduler, Client, RequestRef: a client withdrew a request, or its connection ended
	EndpointDelivered              // Scheduler, Node, Detail: the list sent a node's availability to a scheduler
	ListDelivered                  // Scheduler, Detail: the list answered a scheduler; Detail is empty unless the call failed
	EndpointChanged                // Node, Detail: the list itself noticed a node's availability
	MaintenanceChanged             // Node, Detail: a maintenance window took a node out of service, or ended
	NodeStarted                    // Node, Detail: an incarnation of a node started; Detail says whether it is cold
	NodeOverloaded                 // Node: a node broke down because of too many placements
	LinkOpened                     // Scheduler, Node: a scheduler's connection to a node was established
	LinkClosed                     // Scheduler, Node, Detail: a scheduler's connection to a node was closed
	PlacementReceived              // Scheduler, Node, Ticket, Attempt, Token, Service, Job, Deadline, SentAt: a node received an attempt
	RecallReceived                 // Scheduler, Node, Ticket, Attempt: a node received a recall
	TaskStarted                    // Scheduler, Node, Ticket, Attempt: an attempt's task ran, so that its effect has happened
	StartConfirmed                 // Scheduler, Node, Ticket, Attempt: a node notified the scheduler that an attempt started
	AttemptConcluded               // Scheduler, Node, Ticket, Attempt, Detail: a node sent an attempt's outcome

	numKinds
)

// Values of Record.Detail that the rules depend on. Other values are informational.
const (
	AnswerServed      = "served"   // of ResponseReceived
	AnswerDeclined    = "declined" // of ResponseReceived
	AvailabilityReady = "ready"    // of EndpointDelivered and EndpointChanged
	MaintenanceOver   = "back"     // of MaintenanceChanged
	StartedCold       = "cold"     // of NodeStarted
	OutcomeRefused    = "refused"  // of AttemptConcluded: the node returned the attempt before it ran
	OutcomeBarred     = "barred"   // of AttemptConcluded: the node will reject the attempt if it ever arrives
)

// kindNames are the names of the kinds in traces.
var kindNames = [numKinds]string{
	"born", "killed", "paused", "resumed", "asked", "answered", "gave-up", "told", "heard",
	"listed", "scheduled", "node-born", "node-fell", "linked", "unlinked", "offered", "recalled", "ran", "confirmed",
	"concluded",
}

// String returns the kind's name in traces.
func (k Kind) String() string { return kindNames[k] }

// MarshalText returns the kind's name in traces; it never fails.
func (k Kind) MarshalText() ([]byte, error) { return []byte(k.String()), nil }

// Record is one event outside the schedulers. Times are ms of the clock of the process that recorded it.
type Record struct {
	At         float64 `json:"At"`
	Kind       Kind    `json:"Kind"`
	Scheduler  string  `json:"Sched,omitempty"` // name, with ".shard" where a shard has connections of its own
	Node       uint32  `json:"Node,omitempty"`
	Client     int     `json:"Owner,omitempty"`
	RequestRef uint64  `json:"Ref,omitempty"` // reference of a request, unique to its client
	Ticket     uint64  `json:"Ticket,omitempty"`
	Attempt    uint8   `json:"Try,omitempty"` // number of the attempt, from 0
	Job        int     `json:"Job,omitempty"` // index of the job class
	Token      uint64  `json:"Token,omitempty"`
	Service    uint64  `json:"Service,omitempty"`
	Deadline   float64 `json:"Until"`
	SentAt     float64 `json:"Sent,omitempty"` // when an attempt was sent, as estimated by the node
	Detail     string  `json:"Word,omitempty"`
}

// Trace collects records. Its zero value is ready for use, and it is safe for concurrent use.
type Trace struct {
	// OnRecord, if set before the first Add, gets each record, which the trace then does not keep. It is called with the trace locked.
	OnRecord func(*Record)

	mu      sync.Mutex
	records []Record // guarded by mu
}

// Add appends a record to the trace, or passes it to OnRecord if that is set.
func (t *Trace) Add(r Record) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.OnRecord != nil {
		t.OnRecord(&r)
	} else {
		t.records = append(t.records, r)
	}
}

// Records returns a copy of all records in order of time. Records with equal times keep the order in which they were added.
func (t *Trace) Records() []Record {
	t.mu.Lock()
	records := slices.Clone(t.records)
	t.mu.Unlock()
	slices.SortStableFunc(records, func(x, y Record) int { return cmp.Compare(x.At, y.At) })
	return records
}

// Write writes records as JSON, one per line, and returns the first error of the writer.
func Write(w io.Writer, records []Record) error {
	enc := json.NewEncoder(w)
	for i := range records {
		if err := enc.Encode(&records[i]); err != nil {
			return err
		}
	}
	return nil
}
