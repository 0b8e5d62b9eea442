// Package audit checks the five rules of a scheduler against a trace of what passed outside it: what nodes received and did, what the
// node list delivered, what clients requested and were answered. It shares no code with the engine.
//
// Input is a sequence of Record in order of time, as a Trace collects them; all times are ms of the clock of the process that recorded
// them. Output is a list of Violation. The rules, by number:
//
//  1. Each request gets one final answer before its deadline, and nothing is sent for it afterwards.
//  2. Attempts for an allocation don't overlap, and an allocation whose effect forbids it doesn't run twice.
//  3. Nothing is placed on a node that drains, is gone or is under maintenance, once the grace period is over.
//  4. A node that warms up gets no more than its slow-start limit, and no node is overloaded.
//  5. No more tasks of a service share a node, cell or zone than its spread allows.
//
// Two sockets give no common order of events. A rule therefore counts as broken only beyond Rules.Slack.
//
// An Auditor belongs to one goroutine. A Trace may be added to from several. Nothing here returns errors but Write, which passes on
// those of its writer.
package audit

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
)

// Semantics says what a second start of a job class does.
type Semantics int

// Semantics of job classes.
const (
	Restartable Semantics = iota // no harm
	Idempotent                   // no harm within the idempotency window and scope
	AtMostOnce                   // harm
)

// IdempotencyScope is where an idempotency key is recognized.
type IdempotencyScope int

// Scopes of nodes that recognize a repeated key.
const (
	ScopeAll IdempotencyScope = iota
	ScopeZone
	ScopeCell
)

// Spread is the domain in which the number of a service's tasks is limited.
type Spread int

// Domains of the spread rule.
const (
	SpreadAnywhere Spread = iota // no limit
	SpreadNode
	SpreadCell
	SpreadZone
)

// JobRules are the rules of one job class.
type JobRules struct {
	Semantics   Semantics
	Scope       IdempotencyScope
	Window      float64 // ms after the first attempt in which an idempotency key is recognized
	Spread      Spread
	MaxTogether int // tasks of a service in one domain of Spread
}

// Location is where a node is.
type Location struct{ Zone, Cell string }

// Rules are the parameters of the rules. Durations are ms.
type Rules struct {
	Jobs              []JobRules // by job class
	Nodes             map[uint32]Location
	DrainGrace        float64 // after a scheduler was notified that a node drains or is gone
	ListPolled        bool    // the node list answers polls and does not push
	PollInterval      float64 // after which a scheduler that got no list counts as notified
	SlowStartLimit    int     // placements within SlowStartWindow on a node that warms up
	SlowStartDuration float64
	SlowStartWindow   float64
	Slack             float64 // by which the order of events on two sockets may be wrong
}

// Rule is the number of a rule, as the package comment lists them.
type Rule int

// The rules.
const (
	RuleAnswer    Rule = iota + 1 // one answer in time
	RuleAttempts                  // no second start that does harm
	RuleAvailable                 // only available nodes
	RuleOverload                  // slow start
	RuleSpread                    // spread of a service
)

// Violation is a broken rule.
type Violation struct {
	Rule Rule
	At   float64 // ms
	Text string
}

func (v Violation) String() string {
	return fmt.Sprintf("rule %d at %.0f ms: %s", v.Rule, v.At, v.Text)
}

// Check audits a whole trace, which must be in order of time, and returns all violations in order of time.
func Check(records []Record, rules Rules) []Violation {
	a := NewAuditor(rules)
	for i := range records {
		a.Add(&records[i])
	}
	return a.Finish()
}

// Auditor checks records one by one. It is not safe for concurrent use.
type Auditor struct {
	rules            Rules
	schedulers       map[string]*scheduler // by name, without the shard
	requests         map[requestKey]*request
	nodes            map[uint32]*node
	unreadySince     map[uint32]float64 // ms since which the list itself has a node as not ready
	maintenanceSince map[uint32]float64 // ms since which a maintenance window has a node out
	violations       []Violation
	lastAt           float64 // ms, of the last record
}

// NewAuditor returns an auditor that has seen no record.
func NewAuditor(rules Rules) *Auditor {
	return &Auditor{
		rules: rules, schedulers: map[string]*scheduler{}, requests: map[requestKey]*request{}, nodes: map[uint32]*node{},
		unreadySince: map[uint32]float64{}, maintenanceSince: map[uint32]float64{},
	}
}

// Add takes the next record, which must not be earlier than the last, and returns the number of violations so far.
func (a *Auditor) Add(r *Record) int {
	a.lastAt = r.At
	name, _, _ := strings.Cut(r.Scheduler, ".") // each shard may have connections of its own, named scheduler.shard
	s := a.scheduler(name)
	if handle := handlers[r.Kind]; handle != nil {
		handle(a, s, r)
	}
	return len(a.violations)
}

// Finish ends the trace: it adds a violation for each request that was due and never answered, and returns all violations in order of
// time.
func (a *Auditor) Finish() []Violation {
	for key, req := range a.requests {
		if req.responses == 0 && !req.abandoned && req.sent.Deadline < a.lastAt && !a.isExcused(req) {
			a.report(RuleAnswer, req.sent.Deadline, "ask %d of owner %d at %s got no answer", key.ref, key.client, req.sent.Scheduler)
		}
	}
	slices.SortStableFunc(a.violations, func(x, y Violation) int { return cmp.Compare(x.At, y.At) })
	return a.violations
}

func (a *Auditor) report(rule Rule, at float64, format string, args ...any) {
	a.violations = append(a.violations, Violation{rule, at, fmt.Sprintf(format, args...)})
}
