// Package audit checks the five rules of a scheduler against a trace of the events outside it: what nodes received and did, what the node
// list delivered, what clients requested and which answers they got. It shares no code with the engine.
//
// The input is a sequence of Record in order of time, as a Trace collects them. All times are ms of the clock of the process that recorded
// them. The output is a list of Violation. The rules, by number:
//
//  1. Each request gets exactly one final answer before its deadline, and no attempt is sent for it afterwards.
//  2. Attempts for an allocation do not overlap, and an allocation of a job class that forbids it does not run twice.
//  3. Nothing is placed on a node that drains, is gone or is under maintenance once the grace period is over.
//  4. A node in slow start gets no more placements than its limit, and no node is overloaded.
//  5. No more tasks of a service share a node, cell or zone than the spread of its job class allows.
//
// Events on two sockets have no common order. A rule therefore counts as broken only beyond the tolerance Rules.Slack.
//
// An Auditor is for one goroutine. Several goroutines may add to a Trace. Only Write returns errors, which are those of its writer.
package audit

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
)

// Semantics says whether a second start of a task of a job class does harm.
type Semantics int

// Semantics of job classes.
const (
	Restartable Semantics = iota // it does no harm
	Idempotent                   // it does no harm within the idempotency window and scope
	AtMostOnce                   // it does harm
)

// IdempotencyScope is the set of nodes that recognize a repeated idempotency key.
type IdempotencyScope int

// Idempotency scopes.
const (
	ScopeAll IdempotencyScope = iota
	ScopeZone
	ScopeCell
)

// Spread is the domain within which the number of tasks of a service is limited.
type Spread int

// Spread domains.
const (
	SpreadAnywhere Spread = iota // there is no limit
	SpreadNode
	SpreadCell
	SpreadZone
)

// JobRules are the rules of one job class.
type JobRules struct {
	Semantics    Semantics
	Scope        IdempotencyScope
	Window       float64 // ms after the first attempt during which an idempotency key is recognized
	Spread       Spread
	MaxPerDomain int // maximum number of tasks of a service in one domain of Spread
}

// Location is the zone and the cell of a node.
type Location struct{ Zone, Cell string }

// Rules holds the parameters of the rules. Durations are in ms.
type Rules struct {
	Jobs              []JobRules // by job class
	Nodes             map[uint32]Location
	DrainGrace        float64 // time in which placements are still tolerated after a scheduler was notified that a node drains or is gone
	ListPolled        bool    // the node list only answers polls and pushes no changes
	PollInterval      float64 // a scheduler that got no list for this long counts as notified
	SlowStartLimit    int     // maximum number of placements within SlowStartWindow on a node in slow start
	SlowStartDuration float64
	SlowStartWindow   float64
	Slack             float64 // time by which the recorded order of events on two sockets may be wrong
}

// Rule is the number of a rule in the list of the package comment.
type Rule int

// The rules.
const (
	RuleAnswer    Rule = iota + 1 // a request gets one answer, in time
	RuleAttempts                  // no second start does harm
	RuleAvailable                 // only available nodes get placements
	RuleOverload                  // slow start is respected
	RuleSpread                    // the spread of a service is respected
)

// Violation is one violation of a rule.
type Violation struct {
	Rule Rule
	At   float64 // ms
	Text string
}

func (v Violation) String() string {
	return fmt.Sprintf("rule %d at %.0f ms: %s", v.Rule, v.At, v.Text)
}

// Check audits a complete trace, which must be in order of time, and returns all violations in order of time.
func Check(records []Record, rules Rules) []Violation {
	a := NewAuditor(rules)
	for i := range records {
		a.Add(&records[i])
	}
	return a.Finish()
}

// Auditor checks records one by one as they are added. It is not safe for concurrent use.
type Auditor struct {
	rules            Rules
	schedulers       map[string]*scheduler // by name, without the shard
	requests         map[requestKey]*request
	nodes            map[uint32]*node
	unreadySince     map[uint32]float64 // ms at which the list itself noticed that a node is not ready
	maintenanceSince map[uint32]float64 // ms at which a maintenance window took a node out of service
	violations       []Violation
	lastAt           float64 // time of the last record in ms
}

// NewAuditor returns an auditor without records.
func NewAuditor(rules Rules) *Auditor {
	return &Auditor{
		rules: rules, schedulers: map[string]*scheduler{}, requests: map[requestKey]*request{}, nodes: map[uint32]*node{},
		unreadySince: map[uint32]float64{}, maintenanceSince: map[uint32]float64{},
	}
}

// Add checks the next record, which must not be earlier than the previous one, and returns the number of violations so far.
func (a *Auditor) Add(r *Record) int {
	a.lastAt = r.At
	name, _, _ := strings.Cut(r.Scheduler, ".") // a shard may have its own connections, named scheduler.shard
	s := a.scheduler(name)
	if handle := handlers[r.Kind]; handle != nil {
		handle(a, s, r)
	}
	return len(a.violations)
}

// Finish ends the trace: it adds a violation for each request whose deadline passed without an answer, and returns all violations in order
// of time.
func (a *Auditor) Finish() []Violation {
	for key, req := range a.requests {
		if req.responses == 0 && !req.abandoned && req.sent.Deadline < a.lastAt && !a.isExcused(req) {
			a.report(RuleAnswer, req.sent.Deadline, "request %d of client %d to scheduler %s got no answer by its deadline", key.ref, key.client, req.sent.Scheduler)
		}
	}
	slices.SortStableFunc(a.violations, func(x, y Violation) int { return cmp.Compare(x.At, y.At) })
	return a.violations
}

func (a *Auditor) report(rule Rule, at float64, format string, args ...any) {
	a.violations = append(a.violations, Violation{rule, at, fmt.Sprintf(format, args...)})
}
