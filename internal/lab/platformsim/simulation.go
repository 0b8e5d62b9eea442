// Package platformsim simulates `ravenpond platform` on the laboratory's clock and network: several schedulers between clients that request
// again what was lost, nodes that start, drain and end, and a journal service that moves and falls silent.
//
// Input is a seed, from which the cluster and its faults are drawn; in every fourth a scheduler is overloaded. Output is a Result: the first
// thing that broke, and counts. The rules are audited from what passes outside the schedulers. A panic, a module that was fenced, events
// that were switched off, an end that a client was not notified of in time and a task that is left over are failures too.
//
// Play belongs to one goroutine; Seeds plays many seeds at once.
package platformsim

import (
	"fmt"
	"io"
	"math/rand/v2"
	"runtime/debug"

	"ravenpond/internal/audit"
	"ravenpond/internal/env"
	"ravenpond/internal/lab/sim"
)

// Times of a simulation in ms.
const (
	firstRequestAt = 300
	activeTime     = 14000 // of requests and faults
	settleTime     = 9000  // after them
	runStep        = 50    // after which a failure ends the simulation
	orderSlack     = 400   // by which the order of events on two links may be wrong
	overloadSlack  = 60    // the same under overload, where no link is cut
	leftOverAge    = 8000 + 2*maxTaskRuntime
)

// Rules and limits of the simulated platform, as settingsText has them; times in ms.
const (
	drainGrace        = 400
	slowStartDuration = 4000
	slowStartWindow   = 1500
	slowStartLimit    = 6
	requestTimeout    = 2500
)

// overloadedSeeds is one in how many seeds overloads a scheduler.
const overloadedSeeds = 4

var jobRules = []audit.JobRules{
	{},
	{Semantics: audit.Idempotent, Scope: audit.ScopeZone, Window: 1500, Spread: audit.SpreadNode, MaxPerDomain: 3},
	{Semantics: audit.AtMostOnce},
}

var jobNames = []string{"batch", "marked", "single"}

// Faults are put into the program to show that the simulation finds them, or change how it is run. The zero value changes nothing.
type Faults struct {
	World              func(env.Environment) env.Environment // wraps what a scheduler runs in
	AlwaysOverload     bool                                  // each seed overloads a scheduler
	AsynchronousWrites bool                                  // schedulers send by writers, not in the call that sends
	InitialEvents      func(events []byte) []byte            // changes the events that a scheduler starts with
	Trace              io.Writer                             // gets all records as text, unless it is nil
}

// JobCounts are the requests of a job class.
type JobCounts struct{ Requests, Served int }

// Result is what came of a seed.
type Result struct {
	Seed             uint64
	Failure          string       // the first thing that broke, empty if nothing did
	Overloaded       bool         // a scheduler was overloaded
	Crowded          bool         // a crowd came
	Requests, Served int          // but for late ones
	Late             int          // requests to schedulers that had been told to end a while before
	Starts           int          // attempts that reached nodes
	Restored         int          // tasks that clients told a restarted scheduler of
	Resent           int          // requests that crossed the end of their connection
	Jobs             [3]JobCounts // by job class
}

// add adds the counts of another seed.
func (r *Result) add(other *Result) {
	r.Requests += other.Requests
	r.Late += other.Late
	r.Served += other.Served
	r.Starts += other.Starts
	r.Restored += other.Restored
	r.Resent += other.Resent
}

// simulation is a seed that is played.
type simulation struct {
	Faults
	result       Result
	clock        world
	rng          *rand.Rand
	auditor      *audit.Auditor
	rules        audit.Rules
	schedulers   []*scheduler
	nodes        []*node
	listChanges  []listChange // all so far, in order
	tasks        map[uint64]*task
	lastTask     uint64
	reportMode   string    // how nodes send load reports: with other messages, or in answer to probes
	overload     *overload // nil: code takes no time
	crowdFactor  int       // how many times the usual requests a crowd sends
	crowdFrom    float64   // true time in ms
	crowdTo      float64
	lateAttempts int // attempts that began long after their request was abandoned
}

// Play plays a seed, with faults in the program.
func Play(seed uint64, faults Faults) (result Result) {
	clock := &simWorld{Clock: sim.NewClock(seed), processes: map[string]*sim.Process{}}
	sm := newSimulation(seed, faults, clock)
	clock.sim = sm
	defer func() {
		if p := recover(); p != nil {
			sm.fail(fmt.Sprintf("panic: %v\n%s", p, debug.Stack()))
		}
		result = sm.result
	}()
	sm.build()
	sm.clock.At(firstRequestAt, sm.sendNext)
	for at := 0.0; at < activeTime+settleTime && sm.result.Failure == ""; at += runStep {
		clock.RunUntil(at)
	}
	sm.checkFinalState()
	return sm.result
}

// newSimulation returns a seed that is to be played in a world.
func newSimulation(seed uint64, faults Faults, clock world) *simulation {
	return &simulation{
		Faults: faults, result: Result{Seed: seed}, clock: clock, rng: rand.New(rand.NewPCG(seed, 0x70a7e)), tasks: map[uint64]*task{},
		reportMode: "piggyback",
	}
}

// build draws the cluster and its faults, and starts all.
func (sm *simulation) build() {
	if sm.rng.IntN(2) == 0 {
		sm.reportMode = "probe"
	}
	_, simulated := sm.clock.(*simWorld)
	if simulated && (sm.AlwaysOverload || sm.result.Seed%overloadedSeeds == 0) {
		sm.overload, sm.result.Overloaded = sm.drawOverload(), true
	}
	sm.rules = audit.Rules{
		Jobs: jobRules, Nodes: map[uint32]audit.Location{}, DrainGrace: drainGrace, SlowStartLimit: slowStartLimit,
		SlowStartDuration: slowStartDuration, SlowStartWindow: slowStartWindow, Slack: orderSlack,
	}
	if sm.overload != nil {
		sm.rules.Slack = overloadSlack
	}
	sm.auditor = audit.NewAuditor(sm.rules)
	schedulers, nodes := 2+sm.rng.IntN(3), 4+sm.rng.IntN(7)
	if sm.overload != nil {
		schedulers, nodes = 3+sm.rng.IntN(3), 12+sm.rng.IntN(5)
	}
	for i := range nodes {
		name := fmt.Sprint("n", i)
		sm.addNode(name, sm.clock.Address(name), false)
	}
	for i := range schedulers {
		sm.addScheduler(i, schedulers)
	}
	if sm.overload != nil {
		sm.overload.plan()
	} else {
		sm.drawFaults()
	}
}

// after calls f in so many ms.
func (sm *simulation) after(ms float64, f func()) { sm.clock.At(sm.clock.TrueTime()+ms, f) }

// fail notes the first thing that breaks.
func (sm *simulation) fail(what string) {
	if sm.result.Failure == "" {
		sm.result.Failure = fmt.Sprintf("at %.0f ms: %s", sm.clock.TrueTime(), what)
	}
}

// record audits a record, now.
func (sm *simulation) record(r audit.Record) {
	r.At = sm.clock.TrueTime()
	if sm.Trace != nil {
		_, _ = fmt.Fprintf(sm.Trace, "%.1f %s %s node %d ref %d try %x.%d job %d until %.0f %s\n", r.At, r.Kind, r.Scheduler, r.Node, r.RequestRef,
			r.Ticket, r.Attempt, r.Job, r.Deadline, r.Detail)
	}
	if sm.auditor.Add(&r) > 0 {
		sm.fail(sm.auditor.Finish()[0].String())
	}
}

// checkFinalState checks that each request was answered, and that no node holds a task that ought to have ended long ago.
func (sm *simulation) checkFinalState() {
	if sm.result.Failure != "" {
		return
	}
	if violations := sm.auditor.Finish(); len(violations) > 0 {
		sm.fail(violations[0].String())
	}
	for _, n := range sm.nodes {
		for id, att := range n.tasks {
			if att.receivedAt < activeTime-1000 && sm.clock.TrueTime()-att.receivedAt > leftOverAge {
				sm.fail(fmt.Sprintf("task %x still stands at %s", id, n.name))
			}
		}
	}
}
