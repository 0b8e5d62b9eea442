// Package audit checks the five rules of a scheduler from what passed at the other ends of its sockets: what nodes
// received and did, what the list told, what owners asked and heard. It shares no code with the engine; its clock
// is that of the process that holds the stand-ins.
//
// Where an order can't be told from outside, as between sockets, it allows for the slack of the machine; a rule
// counts as broken only when it is beyond that.
package audit

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
)

// Effects, groups and spreads as the auditor knows them.
const (
	Restartable = iota
	Idempotent
	AtMostOnce
)

// JobRules is what the rules ask of a job type.
type JobRules struct {
	Effect      int
	Group       int // 0 all, 1 zone, 2 cell
	Window      float64
	Spread      int // 0 anywhere, 1 node, 2 cell, 3 zone
	MaxTogether int
}

// Location is where a node stands.
type Location struct{ Zone, Cell string }

// Rules are the figures of the rules.
type Rules struct {
	Jobs              []JobRules
	Nodes             map[uint32]Location
	DrainGrace        float64 // after word of a drain
	ListPolled        bool    // the list answers only when asked
	PollInterval      float64 // and silence for so long counts as told
	SlowStartLimit    int
	SlowStartDuration float64
	SlowStartWindow   float64
	Slack             float64 // that the order of events on two sockets may be off by
}

// Violation is a broken rule.
type Violation struct {
	Rule int
	At   float64
	Text string
}

func (b Violation) String() string {
	return fmt.Sprintf("rule %d at %.0f ms: %s", b.Rule, b.At, b.Text)
}

// Check returns every broken rule. Records must be in order of time.
func Check(records []Record, rules Rules) []Violation {
	w := NewAuditor(rules)
	for i := range records {
		w.Add(&records[i])
	}
	return w.Finish()
}

// Auditor checks records as they come.
type Auditor struct {
	checker *checker
	lastAt  float64
}

// NewAuditor begins with none.
func NewAuditor(rules Rules) *Auditor {
	return &Auditor{checker: &checker{
		rules: rules, schedulers: map[string]*scheduler{}, requests: map[requestKey]*request{}, nodes: map[uint32]*node{},
		unreadySince: map[uint32]float64{}, maintenanceSince: map[uint32]float64{},
	}}
}

// Add takes the next record and tells how many rules are broken by now.
func (w *Auditor) Add(r *Record) int {
	w.lastAt = r.At
	w.checker.apply(r)
	return len(w.checker.violations)
}

// Finish returns every broken rule, unanswered asks included.
func (w *Auditor) Finish() []Violation {
	w.checker.checkUnanswered(w.lastAt)
	slices.SortStableFunc(w.checker.violations, func(x, y Violation) int { return cmp.Compare(x.At, y.At) })
	return w.checker.violations
}

type requestKey struct {
	client int
	ref    uint64
}

type request struct {
	sent        Record
	incarnation int // of its scheduler, at the time
	responses   int
	answeredAt  float64
	abandoned   bool
}

type attempt struct {
	ticket         uint64
	number         uint8
	node           uint32
	token          uint64
	service        uint64
	job            int
	sentAt         float64
	deadline       float64
	concludedAt    float64 // 0: no outcome yet
	neverRan       bool    // its outcome proves that it never ran
	hasRun         bool
	confirmed      bool    // the scheduler knows that it runs
	disconnectedAt float64 // its connection ended
}

type scheduler struct {
	incarnation     int
	dead            bool
	pausedAt        float64 // since, or 0
	resumedAt       float64
	lastPausedAt    float64               // when it was last made to stand still
	attempts        map[uint64][]*attempt // by ticket
	ticketsByToken  map[uint64][]uint64   // tickets
	running         []*attempt
	notices         map[uint32]endpointNotice
	listDeliveredAt float64
	listFailed      bool               // its last call of the list failed
	finalAnswerAt   map[uint64]float64 // last declining answer by token
}

type endpointNotice struct {
	unreadySince float64 // when told that it is not ready, 0: it is
}

type node struct {
	startedAt  float64
	cold       bool
	placements []float64
}

type checker struct {
	rules            Rules
	schedulers       map[string]*scheduler
	requests         map[requestKey]*request
	nodes            map[uint32]*node
	unreadySince     map[uint32]float64 // since when not ready
	maintenanceSince map[uint32]float64 // since when out by the calendar
	violations       []Violation
}

func (c *checker) report(rule int, at float64, format string, args ...any) {
	c.violations = append(c.violations, Violation{rule, at, fmt.Sprintf(format, args...)})
}

func (c *checker) scheduler(name string) *scheduler {
	s := c.schedulers[name]
	if s == nil {
		s = &scheduler{
			attempts: map[uint64][]*attempt{}, ticketsByToken: map[uint64][]uint64{}, notices: map[uint32]endpointNotice{},
			finalAnswerAt: map[uint64]float64{},
		}
		c.schedulers[name] = s
	}
	return s
}

func (c *checker) apply(r *Record) {
	base, _, _ := strings.Cut(r.Scheduler, ".") // shards of one scheduler may have connections of their own
	s := c.scheduler(base)
	switch r.Kind {
	case SchedulerStarted:
		s.incarnation++
		s.dead, s.pausedAt, s.listDeliveredAt = false, 0, r.At
		s.attempts, s.ticketsByToken, s.finalAnswerAt = map[uint64][]*attempt{}, map[uint64][]uint64{}, map[uint64]float64{}
		s.running, s.notices = nil, map[uint32]endpointNotice{}
	case SchedulerKilled:
		s.dead = true
	case SchedulerPaused:
		s.pausedAt, s.lastPausedAt = r.At, r.At
	case SchedulerResumed:
		s.pausedAt, s.resumedAt = 0, r.At
		for id, t := range s.notices { // what was told while it stood still it hears now
			if t.unreadySince > s.lastPausedAt {
				s.notices[id] = endpointNotice{r.At}
			}
		}
	case RequestSent:
		c.requests[requestKey{r.Client, r.RequestRef}] = &request{sent: *r, incarnation: s.incarnation}
	case ResponseReceived:
		c.checkResponse(r)
	case RequestAbandoned:
		if a := c.requests[requestKey{r.Client, r.RequestRef}]; a != nil {
			a.abandoned = true
		}
	case EndpointDelivered:
		t := s.notices[r.Node]
		switch {
		case r.Detail == "ready":
			t.unreadySince = 0
		case t.unreadySince == 0:
			t.unreadySince = r.At
		}
		s.notices[r.Node] = t
	case ListDelivered:
		if s.listFailed = r.Detail != ""; !s.listFailed {
			s.listDeliveredAt = r.At
		}
	case EndpointChanged:
		if r.Detail == "ready" {
			delete(c.unreadySince, r.Node)
		} else if _, ok := c.unreadySince[r.Node]; !ok {
			c.unreadySince[r.Node] = r.At
		}
	case MaintenanceChanged:
		if r.Detail == "back" {
			delete(c.maintenanceSince, r.Node)
		} else if _, ok := c.maintenanceSince[r.Node]; !ok {
			c.maintenanceSince[r.Node] = r.At
		}
	case NodeStarted:
		c.nodes[r.Node] = &node{startedAt: r.At, cold: r.Detail == "cold"}
		for _, s := range c.schedulers { // what its earlier life held is gone with it
			for _, p := range s.running {
				if p.node == r.Node && p.concludedAt == 0 {
					p.concludedAt = r.At
				}
			}
		}
	case NodeOverloaded:
		c.report(4, r.At, "node %d was pushed over", r.Node)
	case LinkClosed:
		for _, tries := range s.attempts {
			for _, p := range tries {
				if p.node == r.Node && p.concludedAt == 0 && p.disconnectedAt == 0 {
					p.disconnectedAt = r.At
				}
			}
		}
	case PlacementReceived:
		if r.SentAt > 0 { // the rules are about what is sent; what comes late is for its node to turn away
			sent := *r
			sent.At = r.SentAt
			r = &sent
		}
		c.checkPlacement(r, s)
	case TaskStarted:
		if p := s.findAttempt(r); p != nil {
			p.hasRun = true
		}
	case StartConfirmed:
		if p := s.findAttempt(r); p != nil {
			p.confirmed = true
		}
	case AttemptConcluded:
		if p := s.findAttempt(r); p != nil && p.concludedAt == 0 {
			p.concludedAt = r.At
			p.neverRan = (r.Detail == "refused" || r.Detail == "barred") && !p.hasRun
			if p.hasRun && r.Detail == "refused" {
				c.report(2, r.At, "node %d took back try %x.%d that had run", r.Node, r.Ticket, r.Attempt)
			}
		}
	}
}

func (s *scheduler) findAttempt(r *Record) *attempt {
	for _, p := range s.attempts[r.Ticket] {
		if p.number == r.Attempt {
			return p
		}
	}
	return nil
}

// checkResponse holds an answer against rule 1, and a decline against rule 2.
func (c *checker) checkResponse(r *Record) {
	a := c.requests[requestKey{r.Client, r.RequestRef}]
	if a == nil {
		c.report(1, r.At, "owner %d got an answer to ask %d that it never made", r.Client, r.RequestRef)
		return
	}
	a.responses++
	switch {
	case a.responses > 1:
		c.report(1, r.At, "owner %d got %d answers to ask %d", r.Client, a.responses, r.RequestRef)
	case r.At > a.sent.Deadline && !c.isExcused(a):
		c.report(1, r.At, "answer to ask %d of owner %d came %.0f ms after its expiry", r.RequestRef, r.Client, r.At-a.sent.Deadline)
	}
	a.answeredAt = r.At
	s := c.scheduler(a.sent.Scheduler)
	if s.incarnation != a.incarnation {
		return
	}
	if r.Detail != "served" {
		s.finalAnswerAt[a.sent.Token] = r.At
	}
	if r.Detail != "declined" || c.rules.Jobs[a.sent.Job].Effect == Restartable {
		return
	}
	for _, ticket := range s.ticketsByToken[a.sent.Token] {
		for _, p := range s.attempts[ticket] {
			all := c.rules.Jobs[p.job].Effect == Idempotent && c.rules.Jobs[p.job].Group == 0
			if p.sentAt >= a.sent.At && !p.neverRan && !all {
				c.report(2, r.At, "ask %d of owner %d declined though try %x.%d may have run", r.RequestRef, r.Client, ticket, p.number)
			}
		}
	}
}

// isExcused tells whether a late answer was not the scheduler's to give in time.
func (c *checker) isExcused(a *request) bool {
	s := c.scheduler(a.sent.Scheduler)
	return s.incarnation != a.incarnation || s.dead || s.pausedAt > 0 || s.resumedAt > a.sent.Deadline-c.rules.Slack
}

// checkUnanswered checks that no ask was left without an answer.
func (c *checker) checkUnanswered(end float64) {
	for name, a := range c.requests {
		if a.responses == 0 && !a.abandoned && a.sent.Deadline < end && !c.isExcused(a) {
			c.report(1, a.sent.Deadline, "ask %d of owner %d at %s got no answer", name.ref, name.client, a.sent.Scheduler)
		}
	}
}
