// Package platformsim simulates `ravenpond platform` on the simulated clock and network of package sim: several schedulers, clients that request
// running tasks again after a restart, nodes that start, drain and end, and journal services that move and fall silent.
//
// The input is a seed, from which the cluster and its faults are drawn; in every fourth seed a scheduler is overloaded. The output is a Result
// with the first failure and counts. The rules are audited from the events outside the schedulers. Other failures are a panic, a fenced module,
// events that were switched off, an end of which a client was not notified in time, and a task that is left over at a node.
//
// Play plays a seed on the goroutine that calls it; Seeds plays several seeds concurrently.
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

// Times of a simulation, in ms.
const (
	firstRequestAt = 300
	activeTime     = 14000                   // during which requests are sent and faults are injected
	settleTime     = 9000                    // after activeTime, until the final state is checked
	runStep        = 50                      // between two checks whether a failure ends the simulation
	orderSlack     = 400                     // tolerance of the audit: events on two links may be observed in the wrong order within it
	overloadSlack  = 60                      // the same under overload, where no link is cut
	leftOverAge    = 8000 + 2*maxTaskRuntime // of an attempt, beyond which its node must not hold the task any more
)

// Rules and limits of the simulated platform, which match settingsText; times in ms.
const (
	drainGrace        = 400
	slowStartDuration = 4000
	slowStartWindow   = 1500
	slowStartLimit    = 6
	requestTimeout    = 2500
)

// overloadedSeeds is the number of seeds of which one overloads a scheduler.
const overloadedSeeds = 4

var jobRules = []audit.JobRules{
	{},
	{Semantics: audit.Idempotent, Scope: audit.ScopeZone, Window: 1500, Spread: audit.SpreadNode, MaxPerDomain: 3},
	{Semantics: audit.AtMostOnce},
}

var jobNames = []string{"batch", "marked", "single"}

// Faults are injected into the scheduler to show that the simulation finds them, or change how a seed is played. The zero value changes nothing.
type Faults struct {
	WrapEnvironment    func(env.Environment) env.Environment // wraps the environment of each scheduler, unless it is nil
	AlwaysOverload     bool                                  // a scheduler is overloaded in each seed
	AsynchronousWrites bool                                  // schedulers write to connections asynchronously, not in the call that sends
	InitialEvents      func(events []byte) []byte            // changes the initial events of each scheduler, unless it is nil
	Trace              io.Writer                             // receives all audit records and the schedulers' logs as text, unless it is nil
}

// JobCounts counts the requests of a job class.
type JobCounts struct{ Requests, Served int }

// Result is the result of a seed.
type Result struct {
	Seed             uint64
	Failure          string       // the first failure, empty if there was none
	Overloaded       bool         // a scheduler was overloaded
	Crowded          bool         // there was a flash crowd
	Requests, Served int          // without late ones
	Late             int          // requests sent more than earlyRequestTime after their scheduler was stopped
	Starts           int          // attempts that reached nodes
	Restored         int          // running tasks that clients requested again from a restarted scheduler
	RestoredEnded    int          // those of them that had ended
	Undecidable      int          // ended tasks that are held, and whose reports were lost for good
	UnseenRestarts   int          // ended tasks that are held, as nothing told that their node had restarted since they were sent
	Replaced         int          // nodes that were replaced at their addresses
	LostReports      int          // reports of ends that were lost with their connections
	EndedByClient    int          // running tasks that their clients ended
	Resent           int          // requests sent again because they crossed the close of their connection
	Jobs             [3]JobCounts // by job class
}

// add adds the counts of another result.
func (r *Result) add(other *Result) {
	r.Requests += other.Requests
	r.Late += other.Late
	r.Served += other.Served
	r.Starts += other.Starts
	r.Restored += other.Restored
	r.RestoredEnded += other.RestoredEnded
	r.Undecidable += other.Undecidable
	r.UnseenRestarts += other.UnseenRestarts
	r.Resent += other.Resent
	r.LostReports += other.LostReports
	r.EndedByClient += other.EndedByClient
	r.Replaced += other.Replaced
}

// simulation is the state of a seed that is being played.
type simulation struct {
	Faults
	result      Result
	clock       world
	rng         *rand.Rand
	endingRNG   *rand.Rand      // for faults that end tasks unseen; a stream of its own, so that the other faults of a seed stay the same
	replaceRNG  *rand.Rand      // for nodes that are replaced, for the same reason
	clockRNG    *rand.Rand      // nil: no clocks of nodes are stepped
	loss        *messageLoss    // nil: no messages are lost with their connections
	restarts    *commonRestarts // nil: no scheduler and node restart together
	auditor     *audit.Auditor
	rules       audit.Rules
	schedulers  []*scheduler
	nodes       []*node
	listChanges []listChange // all changes so far, in order
	tasks       map[uint64]*task
	lastTask    uint64
	reportMode  string    // how nodes send load reports: with other messages ("piggyback") or in answer to probes ("probe")
	overload    *overload // nil without overload; code then takes no simulated time
	crowdFactor int       // request rate of a flash crowd as a multiple of the usual rate
	crowdFrom   float64   // true time in ms
	crowdTo     float64   // true time in ms
}

// Play plays a seed with injected faults.
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

// newSimulation returns the simulation of a seed in a world, before anything is started.
func newSimulation(seed uint64, faults Faults, clock world) *simulation {
	return &simulation{
		Faults: faults, result: Result{Seed: seed}, clock: clock, rng: rand.New(rand.NewPCG(seed, 0x70a7e)), endingRNG: rand.New(rand.NewPCG(seed, 0xe7d5)),
		replaceRNG: rand.New(rand.NewPCG(seed, 0xadd2)),
		tasks:      map[uint64]*task{}, reportMode: "piggyback",
	}
}

// build draws the cluster and its faults, and starts the nodes and schedulers.
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

// after calls f in ms milliseconds.
func (sm *simulation) after(ms float64, f func()) { sm.clock.At(sm.clock.TrueTime()+ms, f) }

// fail ends the simulation with a failure, unless there was one before.
func (sm *simulation) fail(reason string) {
	if sm.result.Failure == "" {
		sm.result.Failure = fmt.Sprintf("at %.0f ms: %s", sm.clock.TrueTime(), reason)
	}
}

// record passes a record to the auditor with the present time, and fails if it violates a rule.
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

// checkFinalState checks that each request was answered, and that no node holds a task that should have ended long ago.
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
				sm.fail(fmt.Sprintf("task %x is still held by %s long after it should have ended", id, n.name))
			}
		}
	}
}
