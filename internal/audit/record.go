package audit

import (
	"cmp"
	"encoding/json"
	"io"
	"slices"
	"sync"
)

// Kind says what a record is of.
type Kind uint8

const (
	SchedulerStarted   Kind = iota // a scheduler process began
	SchedulerKilled                // it was killed, or ended
	SchedulerPaused                // it was made to stand still
	SchedulerResumed               // and runs on
	RequestSent                    // an owner asked: At, Sched, Owner, Ref, Token, Job, Until
	ResponseReceived               // an owner heard the final answer: Word
	RequestAbandoned               // an owner withdrew, or its connection ended
	EndpointDelivered              // the list told a scheduler of a node: Word is its availability
	ListDelivered                  // the list answered a scheduler, whatever it told; Word tells a call that failed
	EndpointChanged                // the list itself learned of a node: Word is its availability
	MaintenanceChanged             // the calendar takes a node out, or Word says that it is back
	NodeStarted                    // a node began a life: cold if Word says so
	NodeOverloaded                 // a node was pushed over
	LinkOpened                     // a scheduler's connection to a node stands
	LinkClosed                     // and is no more
	PlacementReceived              // a node received an offer: Ticket, Try, Token, Service, Job, Until
	RecallReceived                 // a node received a recall
	TaskStarted                    // a try began to run
	StartConfirmed                 // and its scheduler was told so
	AttemptConcluded               // a node told a try's outcome: Word
)

var kindNames = [...]string{
	"born", "killed", "paused", "resumed", "asked", "answered", "gave-up", "told", "heard",
	"listed", "scheduled", "node-born", "node-fell", "linked", "unlinked", "offered", "recalled", "ran", "confirmed",
	"concluded",
}

func (k Kind) String() string { return kindNames[k] }

// MarshalText writes the kind's name.
func (k Kind) MarshalText() ([]byte, error) { return []byte(k.String()), nil }

// Record is one thing that passed. Times are ms of the holder's clock.
type Record struct {
	At         float64 `json:"At"`
	Kind       Kind    `json:"Kind"`
	Scheduler  string  `json:"Sched,omitempty"`
	Node       uint32  `json:"Node,omitempty"`
	Client     int     `json:"Owner,omitempty"`
	RequestRef uint64  `json:"Ref,omitempty"`
	Ticket     uint64  `json:"Ticket,omitempty"`
	Attempt    uint8   `json:"Try,omitempty"`
	Job        int     `json:"Job,omitempty"`
	Token      uint64  `json:"Token,omitempty"`
	Service    uint64  `json:"Service,omitempty"`
	Deadline   float64 `json:"Until"`
	SentAt     float64 `json:"Sent,omitempty"` // when an offer was sent, as far as its node can tell
	Detail     string  `json:"Word,omitempty"`
}

// Trace gathers records from many goroutines.
type Trace struct {
	OnRecord func(*Record) // is given each record instead of the trace, if it is set before the first

	mu      sync.Mutex
	records []Record
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

// Records returns a copy in order of time.
func (t *Trace) Records() []Record {
	t.mu.Lock()
	all := slices.Clone(t.records)
	t.mu.Unlock()
	slices.SortStableFunc(all, func(x, y Record) int { return cmp.Compare(x.At, y.At) })
	return all
}

// Write writes records as JSON, one a line.
func Write(w io.Writer, records []Record) error {
	enc := json.NewEncoder(w)
	for i := range records {
		if err := enc.Encode(&records[i]); err != nil {
			return err
		}
	}
	return nil
}
