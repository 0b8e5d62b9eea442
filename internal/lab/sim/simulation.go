package sim

import (
	"bytes"
	"cmp"
	"fmt"
	"io"
	"math/rand/v2"
	"runtime/debug"
	"slices"
	"strconv"
	"strings"

	"github.com/rs/zerolog"

	"ravenpond/internal/audit"
	"ravenpond/internal/engine"
	"ravenpond/internal/proto/list"
	"ravenpond/internal/serve"
	"ravenpond/internal/site"
	"ravenpond/internal/standin"
	"ravenpond/internal/state"
)

const (
	clientsPerScheduler = 2 // owners' connections a scheduler
	maxShards           = 3
	services            = 5
	settleTime          = 9000 // ms after the last ask: all is answered, found and ended by then
	orderSlack          = 400  // ms that the order of events on two ways may be off by
)

const siteText = `<site name="lab">
  <cluster schedulers="%d" list="%s" ask-every="4s" step="1ms" tries="4" cores-limit="2" memory-limit="1.5" mean-cores="1"
           mean-memory="2"/>
  <rules drain-grace="800ms" cold-bears="8" cold-for="2s" cold-window="1s" answer-margin="200ms" settle="600ms"/>
  <zone name="east"/><zone name="west"/>
  <machine kind="plain" cores="16" memory="32"/>
  <job-type name="free" effect="restartable" target="800ms" expiry="2s" value="1"/>
  <job-type name="keyed" effect="tokened" group="zone" window="1500ms" target="800ms" expiry="2s" value="2" spread="node" most="3"/>
  <job-type name="once" effect="run-once" target="800ms" expiry="1500ms" value="3"/>
  <job-type name="every" effect="tokened" group="all" window="1500ms" target="800ms" expiry="2s" value="2"/>
  %s
  <limits open="300" owner-queue="300" node-queue="8192"/>
  <drains fleet="0.5" zone="1" machine="1" margin="0.1" guard="100ms"/>
  <shards count="%d" most="%d" connections="%s"/>
  <node-list address="list:1"/>
  <owners listen="owners:1"/>
</site>`

// jobs by their names: effect, group, and what the rules ask.
var jobRules = []audit.JobRules{
	{},
	{Semantics: audit.Idempotent, Scope: audit.ScopeZone, Window: 1500, Spread: audit.SpreadNode, MaxTogether: 3},
	{Semantics: audit.AtMostOnce},
	{Semantics: audit.Idempotent, Window: 1500},
}

// Result is what came of a script.
type Result struct {
	Script     Script
	Failure    string // the first thing that broke, "" if nothing did
	FailedRule int    // of it, 0: one of the program's own invariants
	Trace      uint64
	Steps      uint64
	Requests   int
	Served     int
	LostTasks  int     // tasks that owners were told are lost
	Violations int     // broken, where it goes on
	VirtualMs  float64 // of virtual time
}

// environment is the world of a script.
type environment struct {
	Script
	simulation     Simulation
	clock          *Clock
	testbed        *standin.Testbed
	rng            *rand.Rand
	fault          *ProgramFault
	auditor        *audit.Auditor
	site           *site.Config
	nodes          []*standin.Node
	hosts          map[string]*Process
	list           *standin.List
	schedulers     []*scheduler
	clients        []*standin.Client
	loadFactor     float64
	stalledClients map[int]float64 // owners that do not read, until a time
	lastKey        int
	wanted         map[uint64]tenantRequest    // by token
	requested      map[[2]uint64]tenantRequest // by owner and ref
	closedSince    map[string]float64          // tenants that take nothing, since all schedulers could know
	removedSince   map[string]float64          // and those that are removed
	limits         map[string]limit
	result         Result
}

// scheduler is a scheduler and its machine.
type scheduler struct {
	env               *environment
	name              string
	index             int
	process           *Process
	disk              *Disk
	maintenance       *maintenanceStore
	tenants           *tenantStore
	server            *serve.Server
	incarnations      int
	effectsUntilPanic int // effects until a shard panics, 0: not planned
}

// Simulation is how a script is played.
type Simulation struct {
	Script
	ProgramFault    *ProgramFault                                // a fault in the program, or none
	TraceOut        io.Writer                                    // is given the trace in words, if it is not nil
	Policy          engine.PolicyFactory                         // instead of the module
	OnRecord        func(*audit.Record)                          // is given each record
	OnSample        func(now float64, nodes []*standin.Node)     // is shown the nodes, each 50 ms
	Services        int                                          // of each job type, if not the usual
	OnUsage         func(now float64, tenant string, open []int) // is told, of each scheduler, how many of a limited tenant are open
	TaskRuntime     float64                                      // ms that work runs, if not the usual
	SettleTime      float64                                      // ms after the last ask, if not the usual
	WorkingSet      *site.WorkingSet                             // instead of the script's
	CountViolations bool                                         // goes on when a rule breaks, and counts: for policies that keep few
}

// Run plays a script, with a fault planted in the program or none; the trace is written in words if out is not nil.
func Run(s Script, plant *ProgramFault, out io.Writer) Result {
	return Simulation{Script: s, ProgramFault: plant, TraceOut: out}.Run()
}

// Run plays it.
func (g Simulation) Run() (v Result) {
	s, plant, out := g.Script, g.ProgramFault, g.TraceOut
	if plant == nil {
		plant = &ProgramFault{}
	}
	st := &environment{
		Script: s, simulation: g, clock: NewClock(s.Seed), fault: plant, hosts: map[string]*Process{}, loadFactor: 1, stalledClients: map[int]float64{},
		wanted: map[uint64]tenantRequest{}, requested: map[[2]uint64]tenantRequest{}, closedSince: map[string]float64{}, removedSince: map[string]float64{}, limits: map[string]limit{},
		rng: rand.New(rand.NewPCG(s.Seed, 0x57a6e)),
	}
	st.clock.traceOut = out
	defer func() {
		if p := recover(); p != nil {
			st.fail(0, fmt.Sprintf("panic: %v\n%s", p, debug.Stack()))
		}
		v = st.result
		for _, o := range st.clients {
			v.LostTasks += o.LostTasks()
		}
		v.Script, v.Trace, v.Steps, v.VirtualMs = s, st.clock.trace.Sum64(), st.clock.steps, st.clock.now
	}()
	if err := st.build(); err != nil {
		st.fail(0, err.Error())
		return
	}
	for _, f := range s.Faults {
		st.clock.schedule(nil, f.At, func() { st.inject(f) })
	}
	st.clock.schedule(nil, 200, st.sendNext)
	look, end := 0.0, s.Duration+settleTime
	if g.SettleTime > 0 {
		end = s.Duration + g.SettleTime
	}
	for st.result.Failure == "" && st.clock.step(end) {
		if st.clock.now >= look {
			look = st.clock.now + 50
			if g.OnSample != nil {
				g.OnSample(st.clock.now, st.nodes)
			}
			st.checkInvariants()
		}
	}
	if st.result.Failure == "" && !g.CountViolations {
		st.checkFinalState()
	}
	return
}

// fail notes what broke first.
func (st *environment) fail(rule int, what string) {
	if st.result.Failure == "" {
		st.result.FailedRule, st.result.Failure = rule, fmt.Sprintf("at %.0f ms: %s", st.clock.now, what)
	}
}

func (st *environment) newHost(name string) *Process {
	p := st.clock.NewProcess(name)
	st.hosts[name] = p
	return p
}

func (st *environment) build() error {
	how := "told"
	if st.ListPolled {
		how = "asked"
	}
	who := `<tenant name="a" share="0.6"/><tenant name="b" share="0.4"/>`
	if st.DynamicTenants {
		who = `<hosting tenants="3"/>`
	}
	place, faults := site.Read(strings.NewReader(fmt.Sprintf(siteText, st.Schedulers, how, who, st.Shards, maxShards, st.ConnectionSharing)))
	if len(faults) > 0 {
		return fmt.Errorf("site: %s", faults[0])
	}
	st.site = place
	rules := audit.Rules{
		Nodes: map[uint32]audit.Location{}, Jobs: jobRules, DrainGrace: place.DrainGrace, ListPolled: st.ListPolled,
		PollInterval: place.Cluster.ListMaxSilence, SlowStartLimit: int(place.Cluster.SlowStartLimit), SlowStartDuration: place.Cluster.SlowStartDuration,
		SlowStartWindow: place.Cluster.SlowStartWindow, Slack: orderSlack,
	}
	st.auditor = audit.NewAuditor(rules)
	st.testbed = standin.NewTestbed(st.newHost("world"))
	st.testbed.Trace.OnRecord = st.onRecord
	mk := standin.MachineConfig{
		Cores: 16, Memory: 32, CoresLimit: 2, MemoryLimit: 1.5, InspectTime: 4, QueueLimit: 30, ConcurrentStarts: 6, ProgramMissFactor: 3,
		ProgramCacheSize: 6, WarmupPace: 0.4, WarmupDuration: place.Cluster.SlowStartDuration, OverloadFactor: 1e9, OverloadWindow: 1000, SlowStartLimit: 8,
	}
	life := 1500.0
	if st.simulation.TaskRuntime > 0 {
		life = st.simulation.TaskRuntime
	}
	for job := range jobRules {
		mk.JobProfiles = append(mk.JobProfiles, standin.JobProfile{StartWork: 12, MeanRuntime: life, MeanUse: 0.5, Priority: job, Deduplicated: jobRules[job].Semantics == audit.Idempotent})
	}
	groups := []*standin.Group{standin.NewGroup(), standin.NewGroup()}
	for i := range st.Nodes {
		n := &standin.Node{
			ID: uint32(i + 1), Zone: place.Zones[i%2], Cell: place.Zones[i%2], Kind: "plain", Jobs: len(jobRules),
			Tenants: max(2, len(place.Tenants)),
		}
		name := fmt.Sprint("n", i+1)
		if err := st.testbedOn(name).StartNode(n, mk, groups[i%2], st.rng.Uint64(), st.ColdStart, name+":1"); err != nil {
			return err
		}
		st.nodes = append(st.nodes, n)
		rules.Nodes[n.ID] = audit.Location{Zone: n.Zone, Cell: n.Cell}
	}
	var err error
	if st.list, err = st.testbedOn("list").StartList(50, st.nodes, "list:1"); err != nil {
		return err
	}
	for i := range st.Schedulers {
		s := &scheduler{env: st, name: fmt.Sprint("s", i), index: i}
		s.process = st.newHost(s.name)
		s.process.clockError, s.process.drift = 20*st.rng.Float64(), 1e-4*(st.rng.Float64()-0.5)
		s.disk, s.maintenance = NewDisk(s.process), newMaintenanceStore(s.process)
		s.disk.DelayedSync = st.fault.DelayedSync
		s.tenants = newTenantStore(st)
		if !st.ColdStart {
			if err := state.NewFolder(s.disk).SaveList(st.initialList()); err != nil {
				return err
			}
		}
		s.process.onDeath = func() {
			st.testbed.Trace.Add(audit.Record{At: st.clock.now, Kind: audit.SchedulerKilled, Scheduler: s.name})
		}
		st.schedulers = append(st.schedulers, s)
		s.start()
		for range clientsPerScheduler {
			o := &standin.Client{ID: len(st.clients), Scheduler: s.name, SettleTime: place.SettleTime, SchedulerAddress: func() string {
				if s.process.dead {
					return ""
				}
				return s.name + ":1"
			}}
			if st.DynamicTenants {
				o.AuthToken = authTokenOf(tenantOf(o.ID))
			}
			st.testbedOn(fmt.Sprint("o", len(st.clients))).StartClient(o, st.rng.Uint64())
			st.clients = append(st.clients, o)
		}
	}
	return nil
}

// testbedOn gives the stand-ins' world as seen from a host: one clock, one trace, one lock.
func (st *environment) testbedOn(name string) *standin.Testbed {
	w := standin.NewTestbed(st.newHost(name))
	w.Trace.OnRecord = st.onRecord
	return w
}

// initialList is the list as it is at the beginning.
func (st *environment) initialList() []byte {
	l := state.NewNodeList()
	if l.Begin(list.KindFull, 0) != nil {
		return nil
	}
	for _, n := range st.nodes {
		l.Put(state.Entry{
			ID: n.ID, Address: n.Address(), Avail: 1, FreeCores: 32, FreeMemory: 48, Zone: n.Zone, Cell: n.Cell,
			Kind: n.Kind,
		})
	}
	l.End()
	return l.Encode()
}

func (st *environment) onRecord(r *audit.Record) {
	r.At = st.clock.now
	if r.Kind == audit.RequestSent {
		st.result.Requests++
	} else if r.Kind == audit.ResponseReceived && r.Detail == "served" {
		st.result.Served++
	}
	if all := st.connections("list", r.Scheduler); (r.Kind == audit.EndpointDelivered || r.Kind == audit.ListDelivered) && len(all) > 0 {
		later := *r
		all[len(all)-1].notifyDelivered(func() { st.observe(&later) }) // what is told counts when it is heard
		return
	}
	st.observe(r)
}

func (st *environment) observe(r *audit.Record) {
	r.At = st.clock.now
	st.clock.tracef("%s %s node %d owner %d ref %d try %x.%d job %d token %x service %x %s\n", r.Kind, r.Scheduler, r.Node, r.Client, r.RequestRef,
		r.Ticket, r.Attempt, r.Job, r.Token, r.Service, r.Detail)
	if r.Kind == audit.ResponseReceived && st.clock.now < st.stalledClients[r.Client] {
		r.At = 0 // when it came says nothing
	}
	if st.simulation.OnRecord != nil {
		st.simulation.OnRecord(r)
	}
	st.checkClosedTenant(r)
	if n := st.auditor.Add(r); st.simulation.CountViolations {
		st.result.Violations = n
	} else if n > 0 && st.result.Failure == "" {
		b := st.auditor.Finish()[0]
		st.fail(int(b.Rule), b.String())
	}
}

// start begins a life of a scheduler.
func (s *scheduler) start() {
	st := s.env
	s.incarnations++
	st.testbed.Trace.Add(audit.Record{At: st.clock.now, Kind: audit.SchedulerStarted, Scheduler: s.name})
	place := *st.site
	place.ClientsListen = s.name + ":1"
	if st.Members {
		place.Members = site.Members{Listen: fmt.Sprint("10.0.0.", 1+s.index, ":1"), Seeds: []string{"10.0.0.1:1", "10.0.0.2:1", "10.0.0.3:1"}, LeasedPart: 0.5}
	}
	place.WorkingSet = st.workingSet()
	place.Cluster.JobClasses = slices.Clone(place.Cluster.JobClasses)
	if st.fault.Site != nil {
		st.fault.Site(&place)
	}
	p := st.fault.Server
	wrap := p.WrapEffects
	p.WrapEffects = func(e engine.Effects) engine.Effects {
		if wrap != nil {
			e = wrap(e)
		}
		return panicInjector{e, s}
	}
	var err error
	s.server, err = serve.Start(s.process, serve.Config{
		Site: &place, Name: s.name, Index: s.index, Disk: s.disk,
		Maintenance: func() (serve.MaintenanceStore, error) { return s.maintenance.open(), nil },
		Tenants:     func() (serve.TenantStore, error) { return s.tenants, nil }, MemberKey: []byte("the laboratory's member key"), Seed: st.Seed + uint64(s.index)*977 + uint64(s.incarnations)*7919,
		Log: st.logger(s), Faults: p, Policy: st.simulation.Policy,
	})
	if err != nil && !s.process.dead {
		st.fail(0, fmt.Sprintf("scheduler %s does not begin: %v", s.name, err))
	}
}

// shardNames are those that nodes may know a scheduler by: itself, and its shards.
func (s *scheduler) shardNames() []string {
	return []string{s.name, s.name + ".0", s.name + ".1", s.name + ".2"}
}

// restartAfter starts a scheduler again after a while.
func (s *scheduler) restartAfter(after float64) {
	s.env.clock.schedule(nil, s.env.clock.now+after, func() {
		if s.process.dead {
			s.process.Start()
			s.start()
		}
	})
}

// logger is a scheduler's log: all of it goes into a trace in words.
func (st *environment) logger(s *scheduler) zerolog.Logger {
	log := zerolog.New(panicDetector{s}).Level(zerolog.WarnLevel)
	if st.clock.traceOut != nil {
		log = log.Level(zerolog.DebugLevel)
	}
	return log
}

// panicDetector looks for panics that no script asked for.
type panicDetector struct{ scheduler *scheduler }

func (l panicDetector) Write(b []byte) (int, error) {
	if bytes.Contains(b, []byte("fenced: panic")) && !bytes.Contains(b, []byte(plannedPanic)) {
		l.scheduler.env.fail(0, "scheduler "+l.scheduler.name+": "+string(bytes.TrimSpace(b)))
	}
	if out := l.scheduler.env.clock.traceOut; out != nil {
		fmt.Fprintf(out, "%.3f %s %s", l.scheduler.env.clock.now, l.scheduler.name, b)
	}
	return len(b), nil
}

// sendNext lets the next allocation be wanted.
func (st *environment) sendNext() {
	if st.clock.now > st.Duration {
		return
	}
	st.lastKey++
	job := []int{0, 0, 0, 1, 1, 2, 2, 3}[st.rng.IntN(8)]
	key, service := fmt.Sprint("k", st.lastKey), fmt.Sprint("v", job, st.rng.IntN(cmp.Or(st.simulation.Services, services)))
	tenant := tenantNames[st.rng.IntN(2)]
	o := st.clients[st.rng.IntN(len(st.clients))]
	if st.DynamicTenants {
		tenant = tenantOf(o.ID)
	}
	if o.Connected() {
		token := serve.Token(tenant, key)
		if st.DynamicTenants {
			st.wanted[token] = tenantRequest{tenant, st.clock.now}
		}
		o.Request(&standin.Demand{
			Key: key, Tenant: tenant, JobType: st.site.JobClasses[job], Service: service, Job: job,
			Semantics: jobRules[job].Semantics, Token: token, ServiceKey: serve.Service(tenant, service),
			Cores: 0.5 + st.rng.Float64(), Memory: 1, Timeout: st.site.Deadlines[job], LatencyObjective: 800, GiveUpAt: st.Duration,
		})
	}
	st.clock.schedule(nil, st.clock.now+st.rng.ExpFloat64()*1000/(st.Rate*st.loadFactor), st.sendNext)
}

// checkInvariants holds the program's own invariants.
func (st *environment) checkInvariants() {
	if st.simulation.CountViolations {
		return
	}
	st.checkTenantLimits()
	for _, s := range st.schedulers {
		if s.server == nil || s.process.dead || s.process.paused || st.clock.now < s.process.resumedAt+1000 { // what came meanwhile is read first
			continue
		}
		if err := s.server.CheckInvariants(); err != nil && st.clock.now > s.process.startedAt+1 {
			st.fail(0, fmt.Sprintf("scheduler %s: %v", s.name, err))
		}
	}
}

// checkFinalState checks, when all is quiet, that nothing is held that no one knows, and nothing was left unanswered.
func (st *environment) checkFinalState() {
	if breaks := st.auditor.Finish(); len(breaks) > 0 {
		st.fail(int(breaks[0].Rule), breaks[0].String())
	}
	for _, n := range st.nodes {
		if n.Lost || n.Machine.Hung {
			continue
		}
		for _, s := range st.schedulers {
			for _, name := range s.shardNames() {
				if n.IsConnected(name) {
					n.Machine.EachHeld(st.clock.now, name, func(ticket uint64, try uint8, _ bool, _, _ int, _, token uint64, _, _ float64) {
						if !s.process.dead && !s.server.KnowsAttempt(ticket, try) {
							st.fail(0, fmt.Sprintf("node %d holds try %x.%d of %x for %s, which does not know it", n.ID, ticket, try, token, name))
						}
					})
				}
			}
		}
	}
}

// connections gives the connections between two hosts, as the first has them.
func (st *environment) connections(a, b string) (all []*conn) {
	if p := st.hosts[a]; p != nil {
		for _, x := range p.conns {
			if x.remote.process.Name == b {
				all = append(all, x)
			}
		}
	}
	return all
}

func (st *environment) node(name string) *standin.Node {
	i, err := strconv.Atoi(strings.TrimPrefix(name, "n"))
	if err != nil || i < 1 || i > len(st.nodes) {
		return nil
	}
	return st.nodes[i-1]
}
