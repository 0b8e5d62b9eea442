package sim

import (
	"fmt"
	"io"
	"math/rand/v2"
	"runtime/debug"

	"ravenpond/internal/audit"
	"ravenpond/internal/engine"
	"ravenpond/internal/site"
	"ravenpond/internal/standin"
)

// Times of a simulation in ms.
const (
	firstRequestAt = 200
	sampleInterval = 50
	settleTime     = 9000 // time after the last request in which all requests are answered and all tasks are recovered and end
	orderSlack     = 400  // time by which the order of events on two links may be wrong
)

// Simulation is a script with the options of its run.
type Simulation struct {
	Script
	ProgramFault    *ProgramFault                                // fault in the program, nil: none
	TraceOut        io.Writer                                    // receives the trace as text, unless it is nil
	Policy          engine.PolicyFactory                         // scheduling policy, nil: the scheduling module
	OnRecord        func(*audit.Record)                          // is called with each record, unless it is nil
	OnSample        func(now float64, nodes []*standin.Node)     // is called with the nodes every 50 ms, unless it is nil
	OnUsage         func(now float64, tenant string, open []int) // is called with a limited tenant's open allocations by scheduler, unless it is nil
	Services        int                                          // number of services of each job class, 0: 5
	TaskRuntime     float64                                      // mean run time of a task in ms, 0: 1,500
	SettleTime      float64                                      // time that the run goes on after the last request in ms, 0: 9,000
	WorkingSet      *site.WorkingSet                             // working set of the schedulers, nil: the script's
	CountViolations bool                                         // rule violations are counted and do not end the run, for policies that violate many
}

// Result is the result of a script's run.
type Result struct {
	Script     Script
	Failure    string // first failure, empty if there was none
	FailedRule int    // rule that the failure violates, 0: an invariant of the program
	Trace      uint64 // hash over the trace
	Steps      uint64 // events that ran code of the program
	Requests   int
	Served     int
	LostTasks  int // tasks that clients were notified were lost
	Violations int // rule violations, counted with CountViolations
	VirtualMs  float64
}

// Run runs a script, with a fault in the program unless fault is nil. It writes the trace as text to out unless out is nil.
func Run(s Script, fault *ProgramFault, out io.Writer) Result {
	return Simulation{Script: s, ProgramFault: fault, TraceOut: out}.Run()
}

// Run runs the simulation to its end or to the first failure. A panic is a failure.
func (sim Simulation) Run() (result Result) {
	e := newEnvironment(sim)
	defer func() {
		if p := recover(); p != nil {
			e.fail(0, fmt.Sprintf("panic: %v\n%s", p, debug.Stack()))
		}
		result = e.finalResult()
	}()
	if err := e.build(); err != nil {
		e.fail(0, err.Error())
		return e.result
	}
	for _, f := range e.Faults {
		e.clock.schedule(nil, f.At, func() { e.inject(f) })
	}
	e.clock.schedule(nil, firstRequestAt, e.sendNextRequest)
	end := e.Duration + settleTime
	if sim.SettleTime > 0 {
		end = e.Duration + sim.SettleTime
	}
	nextSample := 0.0
	for e.result.Failure == "" && e.clock.step(end) {
		if e.clock.now >= nextSample {
			nextSample = e.clock.now + sampleInterval
			if sim.OnSample != nil {
				sim.OnSample(e.clock.now, e.nodes)
			}
			e.checkInvariants()
		}
	}
	if e.result.Failure == "" && !sim.CountViolations {
		e.checkFinalState()
	}
	return e.result
}

// environment is the state of a running simulation: the simulated cluster and the data of the checks.
type environment struct {
	Script
	simulation     Simulation
	fault          *ProgramFault
	clock          *Clock
	rng            *rand.Rand
	testbed        *standin.Testbed // its trace records the faults
	auditor        *audit.Auditor
	site           *site.Config
	hosts          map[string]*Process // by name
	nodes          []*standin.Node
	list           *standin.List
	schedulers     []*scheduler
	clients        []*standin.Client
	loadFactor     float64
	stalledClients map[int]float64 // time in ms until which a client does not read, by client ID
	lastKey        int
	tenants        tenantChecks
	result         Result
}

func newEnvironment(sim Simulation) *environment {
	e := &environment{
		Script: sim.Script, simulation: sim, fault: sim.ProgramFault, clock: NewClock(sim.Seed), rng: rand.New(rand.NewPCG(sim.Seed, 0x57a6e)),
		hosts: map[string]*Process{}, loadFactor: 1, stalledClients: map[int]float64{}, tenants: newTenantChecks(),
	}
	if e.fault == nil {
		e.fault = &ProgramFault{}
	}
	e.clock.traceOut = sim.TraceOut
	return e
}

// fail records a failure, if it is the first one.
func (e *environment) fail(rule int, what string) {
	if e.result.Failure == "" {
		e.result.FailedRule, e.result.Failure = rule, fmt.Sprintf("at %.0f ms: %s", e.clock.now, what)
	}
}

func (e *environment) finalResult() Result {
	r := e.result
	for _, c := range e.clients {
		r.LostTasks += c.LostTasks()
	}
	r.Script, r.Trace, r.Steps, r.VirtualMs = e.Script, e.clock.trace.Sum64(), e.clock.steps, e.clock.now
	return r
}

// onRecord receives the records of testbeds. What the node list delivers is observed only when the scheduler has read it.
func (e *environment) onRecord(r *audit.Record) {
	r.At = e.clock.now
	switch {
	case r.Kind == audit.RequestSent:
		e.result.Requests++
	case r.Kind == audit.ResponseReceived && r.Detail == audit.AnswerServed:
		e.result.Served++
	case r.Kind == audit.EndpointDelivered || r.Kind == audit.ListDelivered:
		if conns := e.connections("list", r.Scheduler); len(conns) > 0 {
			later := *r
			conns[len(conns)-1].notifyDelivered(func() { e.observe(&later) })
			return
		}
	}
	e.observe(r)
}

// observe adds a record to the trace and audits it.
func (e *environment) observe(r *audit.Record) {
	r.At = e.clock.now
	e.clock.tracef("%s %s node %d owner %d ref %d try %x.%d job %d token %x service %x %s\n", r.Kind, r.Scheduler, r.Node, r.Client, r.RequestRef,
		r.Ticket, r.Attempt, r.Job, r.Token, r.Service, r.Detail)
	if r.Kind == audit.ResponseReceived && e.clock.now < e.stalledClients[r.Client] {
		r.At = 0 // the answer may have arrived long ago
	}
	if e.simulation.OnRecord != nil {
		e.simulation.OnRecord(r)
	}
	e.checkClosedTenant(r)
	if n := e.auditor.Add(r); e.simulation.CountViolations {
		e.result.Violations = n
	} else if n > 0 && e.result.Failure == "" {
		first := e.auditor.Finish()[0]
		e.fail(int(first.Rule), first.String())
	}
}
