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
	Tokened
	RunOnce
)

// Job is what the rules ask of a job type.
type Job struct {
	Effect int
	Group  int // 0 all, 1 zone, 2 cell
	Window float64
	Spread int // 0 anywhere, 1 node, 2 cell, 3 zone
	Most   int
}

// Stand is where a node stands.
type Stand struct{ Zone, Cell string }

// Rules are the figures of the rules.
type Rules struct {
	Jobs       []Job
	Nodes      map[uint32]Stand
	Grace      float64 // after word of a drain
	Asks       bool    // the list answers only when asked
	AskEvery   float64 // and silence for so long counts as told
	ColdBears  int
	ColdFor    float64
	ColdWindow float64
	Slack      float64 // that the order of events on two sockets may be off by
}

// Break is a broken rule.
type Break struct {
	Rule int
	At   float64
	Text string
}

func (b Break) String() string { return fmt.Sprintf("rule %d at %.0f ms: %s", b.Rule, b.At, b.Text) }

// Check returns every broken rule. Records must be in order of time.
func Check(records []Record, rules Rules) []Break {
	w := NewWatch(rules)
	for i := range records {
		w.Add(&records[i])
	}
	return w.End()
}

// Watch checks records as they come.
type Watch struct {
	c    *checker
	last float64
}

// NewWatch begins with none.
func NewWatch(rules Rules) *Watch {
	return &Watch{c: &checker{
		rules: rules, scheds: map[string]*sched{}, asks: map[askName]*ask{}, nodes: map[uint32]*node{},
		listed: map[uint32]float64{}, windows: map[uint32]float64{},
	}}
}

// Add takes the next record and tells how many rules are broken by now.
func (w *Watch) Add(r *Record) int {
	w.last = r.At
	w.c.record(r)
	return len(w.c.breaks)
}

// End returns every broken rule, unanswered asks included.
func (w *Watch) End() []Break {
	w.c.close(w.last)
	slices.SortStableFunc(w.c.breaks, func(x, y Break) int { return cmp.Compare(x.At, y.At) })
	return w.c.breaks
}

type askName struct {
	owner int
	ref   uint64
}

type ask struct {
	rec      Record
	born     int // of its scheduler, at the time
	answers  int
	answered float64
	gone     bool
}

type place struct {
	ticket    uint64
	try       uint8
	node      uint32
	token     uint64
	service   uint64
	job       int
	at        float64
	until     float64
	settled   float64 // 0: no outcome yet
	never     bool    // its outcome proves that it never ran
	ran       bool
	confirmed bool    // the scheduler knows that it runs
	cut       float64 // its connection ended
}

type sched struct {
	births  int
	dead    bool
	paused  float64 // since, or 0
	resumed float64
	stood   float64             // when it was last made to stand still
	tries   map[uint64][]*place // by ticket
	byToken map[uint64][]uint64 // tickets
	running []*place
	told    map[uint32]told
	heard   float64
	failed  bool               // its last call of the list failed
	answers map[uint64]float64 // last declining answer by token
}

type told struct {
	since float64 // when told that it is not ready, 0: it is
}

type node struct {
	born   float64
	cold   bool
	offers []float64
}

type checker struct {
	rules   Rules
	scheds  map[string]*sched
	asks    map[askName]*ask
	nodes   map[uint32]*node
	listed  map[uint32]float64 // since when not ready
	windows map[uint32]float64 // since when out by the calendar
	breaks  []Break
}

func (c *checker) fail(rule int, at float64, format string, args ...any) {
	c.breaks = append(c.breaks, Break{rule, at, fmt.Sprintf(format, args...)})
}

func (c *checker) sched(name string) *sched {
	s := c.scheds[name]
	if s == nil {
		s = &sched{
			tries: map[uint64][]*place{}, byToken: map[uint64][]uint64{}, told: map[uint32]told{},
			answers: map[uint64]float64{},
		}
		c.scheds[name] = s
	}
	return s
}

func (c *checker) record(r *Record) {
	base, _, _ := strings.Cut(r.Sched, ".") // shards of one scheduler may have connections of their own
	s := c.sched(base)
	switch r.Kind {
	case Born:
		s.births++
		s.dead, s.paused, s.heard = false, 0, r.At
		s.tries, s.byToken, s.answers = map[uint64][]*place{}, map[uint64][]uint64{}, map[uint64]float64{}
		s.running, s.told = nil, map[uint32]told{}
	case Killed:
		s.dead = true
	case Paused:
		s.paused, s.stood = r.At, r.At
	case Resumed:
		s.paused, s.resumed = 0, r.At
		for id, t := range s.told { // what was told while it stood still it hears now
			if t.since > s.stood {
				s.told[id] = told{r.At}
			}
		}
	case Asked:
		c.asks[askName{r.Owner, r.Ref}] = &ask{rec: *r, born: s.births}
	case Answered:
		c.answered(r)
	case GaveUp:
		if a := c.asks[askName{r.Owner, r.Ref}]; a != nil {
			a.gone = true
		}
	case Told:
		t := s.told[r.Node]
		switch {
		case r.Word == "ready":
			t.since = 0
		case t.since == 0:
			t.since = r.At
		}
		s.told[r.Node] = t
	case Heard:
		if s.failed = r.Word != ""; !s.failed {
			s.heard = r.At
		}
	case Listed:
		if r.Word == "ready" {
			delete(c.listed, r.Node)
		} else if _, ok := c.listed[r.Node]; !ok {
			c.listed[r.Node] = r.At
		}
	case Scheduled:
		if r.Word == "back" {
			delete(c.windows, r.Node)
		} else if _, ok := c.windows[r.Node]; !ok {
			c.windows[r.Node] = r.At
		}
	case NodeBorn:
		c.nodes[r.Node] = &node{born: r.At, cold: r.Word == "cold"}
		for _, s := range c.scheds { // what its earlier life held is gone with it
			for _, p := range s.running {
				if p.node == r.Node && p.settled == 0 {
					p.settled = r.At
				}
			}
		}
	case NodeFell:
		c.fail(4, r.At, "node %d was pushed over", r.Node)
	case Unlinked:
		for _, tries := range s.tries {
			for _, p := range tries {
				if p.node == r.Node && p.settled == 0 && p.cut == 0 {
					p.cut = r.At
				}
			}
		}
	case Offered:
		if r.Sent > 0 { // the rules are about what is sent; what comes late is for its node to turn away
			sent := *r
			sent.At = r.Sent
			r = &sent
		}
		c.offered(r, s)
	case Ran:
		if p := s.find(r); p != nil {
			p.ran = true
		}
	case Confirmed:
		if p := s.find(r); p != nil {
			p.confirmed = true
		}
	case Concluded:
		if p := s.find(r); p != nil && p.settled == 0 {
			p.settled = r.At
			p.never = (r.Word == "refused" || r.Word == "barred") && !p.ran
			if p.ran && r.Word == "refused" {
				c.fail(2, r.At, "node %d took back try %x.%d that had run", r.Node, r.Ticket, r.Try)
			}
		}
	}
}

func (s *sched) find(r *Record) *place {
	for _, p := range s.tries[r.Ticket] {
		if p.try == r.Try {
			return p
		}
	}
	return nil
}

// answered holds an answer against rule 1, and a decline against rule 2.
func (c *checker) answered(r *Record) {
	a := c.asks[askName{r.Owner, r.Ref}]
	if a == nil {
		c.fail(1, r.At, "owner %d got an answer to ask %d that it never made", r.Owner, r.Ref)
		return
	}
	a.answers++
	switch {
	case a.answers > 1:
		c.fail(1, r.At, "owner %d got %d answers to ask %d", r.Owner, a.answers, r.Ref)
	case r.At > a.rec.Until && !c.excused(a):
		c.fail(1, r.At, "answer to ask %d of owner %d came %.0f ms after its expiry", r.Ref, r.Owner, r.At-a.rec.Until)
	}
	a.answered = r.At
	s := c.sched(a.rec.Sched)
	if s.births != a.born {
		return
	}
	if r.Word != "served" {
		s.answers[a.rec.Token] = r.At
	}
	if r.Word != "declined" || c.rules.Jobs[a.rec.Job].Effect == Restartable {
		return
	}
	for _, ticket := range s.byToken[a.rec.Token] {
		for _, p := range s.tries[ticket] {
			all := c.rules.Jobs[p.job].Effect == Tokened && c.rules.Jobs[p.job].Group == 0
			if p.at >= a.rec.At && !p.never && !all {
				c.fail(2, r.At, "ask %d of owner %d declined though try %x.%d may have run", r.Ref, r.Owner, ticket, p.try)
			}
		}
	}
}

// excused tells whether a late answer was not the scheduler's to give in time.
func (c *checker) excused(a *ask) bool {
	s := c.sched(a.rec.Sched)
	return s.births != a.born || s.dead || s.paused > 0 || s.resumed > a.rec.Until-c.rules.Slack
}

// close checks that no ask was left without an answer.
func (c *checker) close(end float64) {
	for name, a := range c.asks {
		if a.answers == 0 && !a.gone && a.rec.Until < end && !c.excused(a) {
			c.fail(1, a.rec.Until, "ask %d of owner %d at %s got no answer", name.ref, name.owner, a.rec.Sched)
		}
	}
}
