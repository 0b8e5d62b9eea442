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
	ownersEach = 2 // owners' connections a scheduler
	mostShards = 3
	services   = 5
	settles    = 9000 // ms after the last ask: all is answered, found and ended by then
	slack      = 400  // ms that the order of events on two ways may be off by
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
var rulesOfJobs = []audit.JobRules{
	{},
	{Effect: audit.Idempotent, Group: 1, Window: 1500, Spread: 1, MaxTogether: 3},
	{Effect: audit.AtMostOnce},
	{Effect: audit.Idempotent, Window: 1500},
}

// Verdict is what came of a script.
type Verdict struct {
	Script Script
	Broken string // the first thing that broke, "" if nothing did
	Rule   int    // of it, 0: one of the program's own invariants
	Trace  uint64
	Steps  uint64
	Asks   int
	Served int
	Lost   int     // tasks that owners were told are lost
	Rules  int     // broken, where it goes on
	Ms     float64 // of virtual time
}

// stage is the world of a script.
type stage struct {
	Script
	game   Game
	c      *Clock
	w      *standin.Testbed
	rng    *rand.Rand
	plant  *Plant
	watch  *audit.Auditor
	place  *site.Config
	nodes  []*standin.Node
	hosts  map[string]*Process
	list   *standin.List
	scheds []*sched
	owners []*standin.Client
	flood  float64
	deaf   map[int]float64 // owners that do not read, until a time
	keys   int
	wanted map[uint64]wanted    // by token
	asked  map[[2]uint64]wanted // by owner and ref
	shut   map[string]float64   // tenants that take nothing, since all schedulers could know
	gone   map[string]float64   // and those that are removed
	limits map[string]limit
	v      Verdict
}

// sched is a scheduler and its machine.
type sched struct {
	st     *stage
	name   string
	index  int
	p      *Process
	disk   *Disk
	store  *store
	clubs  *clubs
	server *serve.Server
	lives  int
	panics int // effects until a shard panics, 0: not planned
}

// Game is how a script is played.
type Game struct {
	Script
	Plant    *Plant                                       // a fault in the program, or none
	Out      io.Writer                                    // is given the trace in words, if it is not nil
	Policy   engine.PolicyFactory                         // instead of the module
	Seen     func(*audit.Record)                          // is given each record
	Moment   func(now float64, nodes []*standin.Node)     // is shown the nodes, each 50 ms
	Services int                                          // of each job type, if not the usual
	Uses     func(now float64, tenant string, open []int) // is told, of each scheduler, how many of a limited tenant are open
	Life     float64                                      // ms that work runs, if not the usual
	Settles  float64                                      // ms after the last ask, if not the usual
	Working  *site.WorkingSet                             // instead of the script's
	Lenient  bool                                         // goes on when a rule breaks, and counts: for policies that keep few
}

// Play plays a script, with a fault planted in the program or none; the trace is written in words if out is not nil.
func Play(s Script, plant *Plant, out io.Writer) Verdict {
	return Game{Script: s, Plant: plant, Out: out}.Play()
}

// Play plays it.
func (g Game) Play() (v Verdict) {
	s, plant, out := g.Script, g.Plant, g.Out
	if plant == nil {
		plant = &Plant{}
	}
	st := &stage{
		Script: s, game: g, c: NewClock(s.Seed), plant: plant, hosts: map[string]*Process{}, flood: 1, deaf: map[int]float64{},
		wanted: map[uint64]wanted{}, asked: map[[2]uint64]wanted{}, shut: map[string]float64{}, gone: map[string]float64{}, limits: map[string]limit{},
		rng: rand.New(rand.NewPCG(s.Seed, 0x57a6e)),
	}
	st.c.out = out
	defer func() {
		if p := recover(); p != nil {
			st.fail(0, fmt.Sprintf("panic: %v\n%s", p, debug.Stack()))
		}
		v = st.v
		for _, o := range st.owners {
			v.Lost += o.LostTasks()
		}
		v.Script, v.Trace, v.Steps, v.Ms = s, st.c.trace.Sum64(), st.c.steps, st.c.now
	}()
	if err := st.build(); err != nil {
		st.fail(0, err.Error())
		return
	}
	for _, f := range s.Faults {
		st.c.at(nil, f.At, func() { st.strike(f) })
	}
	st.c.at(nil, 200, st.ask)
	look, end := 0.0, s.Lasts+settles
	if g.Settles > 0 {
		end = s.Lasts + g.Settles
	}
	for st.v.Broken == "" && st.c.step(end) {
		if st.c.now >= look {
			look = st.c.now + 50
			if g.Moment != nil {
				g.Moment(st.c.now, st.nodes)
			}
			st.check()
		}
	}
	if st.v.Broken == "" && !g.Lenient {
		st.last()
	}
	return
}

// fail notes what broke first.
func (st *stage) fail(rule int, what string) {
	if st.v.Broken == "" {
		st.v.Rule, st.v.Broken = rule, fmt.Sprintf("at %.0f ms: %s", st.c.now, what)
	}
}

func (st *stage) host(name string) *Process {
	p := st.c.NewProcess(name)
	st.hosts[name] = p
	return p
}

func (st *stage) build() error {
	how := "told"
	if st.Asks {
		how = "asked"
	}
	who := `<tenant name="a" share="0.6"/><tenant name="b" share="0.4"/>`
	if st.Hosted {
		who = `<hosting tenants="3"/>`
	}
	place, faults := site.Read(strings.NewReader(fmt.Sprintf(siteText, st.Schedulers, how, who, st.Shards, mostShards, st.Share)))
	if len(faults) > 0 {
		return fmt.Errorf("site: %s", faults[0])
	}
	st.place = place
	rules := audit.Rules{
		Nodes: map[uint32]audit.Location{}, Jobs: rulesOfJobs, DrainGrace: place.DrainGrace, ListPolled: st.Asks,
		PollInterval: place.Cluster.ListMaxSilence, SlowStartLimit: int(place.Cluster.SlowStartLimit), SlowStartDuration: place.Cluster.SlowStartDuration,
		SlowStartWindow: place.Cluster.SlowStartWindow, Slack: slack,
	}
	st.watch = audit.NewAuditor(rules)
	st.w = standin.NewTestbed(st.host("world"))
	st.w.Trace.OnRecord = st.record
	mk := standin.MachineConfig{
		Cores: 16, Memory: 32, CoresLimit: 2, MemoryLimit: 1.5, InspectTime: 4, QueueLimit: 30, ConcurrentStarts: 6, ProgramMissFactor: 3,
		ProgramCacheSize: 6, WarmupPace: 0.4, WarmupDuration: place.Cluster.SlowStartDuration, OverloadFactor: 1e9, OverloadWindow: 1000, SlowStartLimit: 8,
	}
	life := 1500.0
	if st.game.Life > 0 {
		life = st.game.Life
	}
	for job := range rulesOfJobs {
		mk.JobProfiles = append(mk.JobProfiles, standin.JobProfile{StartWork: 12, MeanRuntime: life, MeanUse: 0.5, Priority: job, Deduplicated: rulesOfJobs[job].Effect == audit.Idempotent})
	}
	groups := []*standin.Group{standin.NewGroup(), standin.NewGroup()}
	for i := range st.Nodes {
		n := &standin.Node{
			ID: uint32(i + 1), Zone: place.Zones[i%2], Cell: place.Zones[i%2], Kind: "plain", Jobs: len(rulesOfJobs),
			Tenants: max(2, len(place.Tenants)),
		}
		name := fmt.Sprint("n", i+1)
		if err := st.on(name).StartNode(n, mk, groups[i%2], st.rng.Uint64(), st.Cold, name+":1"); err != nil {
			return err
		}
		st.nodes = append(st.nodes, n)
		rules.Nodes[n.ID] = audit.Location{Zone: n.Zone, Cell: n.Cell}
	}
	var err error
	if st.list, err = st.on("list").StartList(50, st.nodes, "list:1"); err != nil {
		return err
	}
	for i := range st.Schedulers {
		s := &sched{st: st, name: fmt.Sprint("s", i), index: i}
		s.p = st.host(s.name)
		s.p.err, s.p.drift = 20*st.rng.Float64(), 1e-4*(st.rng.Float64()-0.5)
		s.disk, s.store = NewDisk(s.p), newStore(s.p)
		s.disk.Lazy = st.plant.Lazy
		s.clubs = newClubs(st)
		if !st.Cold {
			if err := state.NewFolder(s.disk).SaveList(st.known()); err != nil {
				return err
			}
		}
		s.p.onDeath = func() { st.w.Trace.Add(audit.Record{At: st.c.now, Kind: audit.SchedulerKilled, Scheduler: s.name}) }
		st.scheds = append(st.scheds, s)
		s.start()
		for range ownersEach {
			o := &standin.Client{ID: len(st.owners), Scheduler: s.name, SettleTime: place.SettleTime, SchedulerAddress: func() string {
				if s.p.dead {
					return ""
				}
				return s.name + ":1"
			}}
			if st.Hosted {
				o.AuthToken = tokenOf(tenantOf(o.ID))
			}
			st.on(fmt.Sprint("o", len(st.owners))).StartClient(o, st.rng.Uint64())
			st.owners = append(st.owners, o)
		}
	}
	return nil
}

// on gives the stand-ins' world as seen from a host: one clock, one trace, one lock.
func (st *stage) on(name string) *standin.Testbed {
	w := standin.NewTestbed(st.host(name))
	w.Trace.OnRecord = st.record
	return w
}

// known is the list as it is at the beginning.
func (st *stage) known() []byte {
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

func (st *stage) record(r *audit.Record) {
	r.At = st.c.now
	if r.Kind == audit.RequestSent {
		st.v.Asks++
	} else if r.Kind == audit.ResponseReceived && r.Detail == "served" {
		st.v.Served++
	}
	if all := st.conns("list", r.Scheduler); (r.Kind == audit.EndpointDelivered || r.Kind == audit.ListDelivered) && len(all) > 0 {
		later := *r
		all[len(all)-1].taken(func() { st.recorded(&later) }) // what is told counts when it is heard
		return
	}
	st.recorded(r)
}

func (st *stage) recorded(r *audit.Record) {
	r.At = st.c.now
	st.c.note("%s %s node %d owner %d ref %d try %x.%d job %d token %x service %x %s\n", r.Kind, r.Scheduler, r.Node, r.Client, r.RequestRef,
		r.Ticket, r.Attempt, r.Job, r.Token, r.Service, r.Detail)
	if r.Kind == audit.ResponseReceived && st.c.now < st.deaf[r.Client] {
		r.At = 0 // when it came says nothing
	}
	if st.game.Seen != nil {
		st.game.Seen(r)
	}
	st.hosted(r)
	if n := st.watch.Add(r); st.game.Lenient {
		st.v.Rules = n
	} else if n > 0 && st.v.Broken == "" {
		b := st.watch.Finish()[0]
		st.fail(b.Rule, b.String())
	}
}

// start begins a life of a scheduler.
func (s *sched) start() {
	st := s.st
	s.lives++
	st.w.Trace.Add(audit.Record{At: st.c.now, Kind: audit.SchedulerStarted, Scheduler: s.name})
	place := *st.place
	place.ClientsListen = s.name + ":1"
	if st.Members {
		place.Members = site.Members{Listen: fmt.Sprint("10.0.0.", 1+s.index, ":1"), Seeds: []string{"10.0.0.1:1", "10.0.0.2:1", "10.0.0.3:1"}, LeasedPart: 0.5}
	}
	place.WorkingSet = st.workingSet()
	place.Cluster.JobClasses = slices.Clone(place.Cluster.JobClasses)
	if st.plant.Place != nil {
		st.plant.Place(&place)
	}
	p := st.plant.Serve
	wrap := p.WrapEffects
	p.WrapEffects = func(e engine.Effects) engine.Effects {
		if wrap != nil {
			e = wrap(e)
		}
		return panicky{e, s}
	}
	var err error
	s.server, err = serve.Start(s.p, serve.Config{
		Site: &place, Name: s.name, Index: s.index, Disk: s.disk,
		Maintenance: func() (serve.MaintenanceStore, error) { return s.store.open(), nil },
		Tenants:     func() (serve.TenantStore, error) { return s.clubs, nil }, MemberKey: []byte("the laboratory's member key"), Seed: st.Seed + uint64(s.index)*977 + uint64(s.lives)*7919,
		Log: st.logger(s), Faults: p, Policy: st.game.Policy,
	})
	if err != nil && !s.p.dead {
		st.fail(0, fmt.Sprintf("scheduler %s does not begin: %v", s.name, err))
	}
}

// names are those that nodes may know a scheduler by: itself, and its shards.
func (s *sched) names() []string {
	return []string{s.name, s.name + ".0", s.name + ".1", s.name + ".2"}
}

// back starts a scheduler again after a while.
func (s *sched) back(after float64) {
	s.st.c.at(nil, s.st.c.now+after, func() {
		if s.p.dead {
			s.p.Start()
			s.start()
		}
	})
}

// logger is a scheduler's log: all of it goes into a trace in words.
func (st *stage) logger(s *sched) zerolog.Logger {
	log := zerolog.New(fenceLog{s}).Level(zerolog.WarnLevel)
	if st.c.out != nil {
		log = log.Level(zerolog.DebugLevel)
	}
	return log
}

// fenceLog looks for panics that no script asked for.
type fenceLog struct{ s *sched }

func (l fenceLog) Write(b []byte) (int, error) {
	if bytes.Contains(b, []byte("fenced: panic")) && !bytes.Contains(b, []byte(planned)) {
		l.s.st.fail(0, "scheduler "+l.s.name+": "+string(bytes.TrimSpace(b)))
	}
	if out := l.s.st.c.out; out != nil {
		fmt.Fprintf(out, "%.3f %s %s", l.s.st.c.now, l.s.name, b)
	}
	return len(b), nil
}

// ask lets the next allocation be wanted.
func (st *stage) ask() {
	if st.c.now > st.Lasts {
		return
	}
	st.keys++
	job := []int{0, 0, 0, 1, 1, 2, 2, 3}[st.rng.IntN(8)]
	key, service := fmt.Sprint("k", st.keys), fmt.Sprint("v", job, st.rng.IntN(cmp.Or(st.game.Services, services)))
	tenant := clubNames[st.rng.IntN(2)]
	o := st.owners[st.rng.IntN(len(st.owners))]
	if st.Hosted {
		tenant = tenantOf(o.ID)
	}
	if o.Connected() {
		token := serve.Token(tenant, key)
		if st.Hosted {
			st.wanted[token] = wanted{tenant, st.c.now}
		}
		o.Request(&standin.Demand{
			Key: key, Tenant: tenant, JobType: st.place.JobClasses[job], Service: service, Job: job,
			Effect: rulesOfJobs[job].Effect, Token: token, ServiceKey: serve.Service(tenant, service),
			Cores: 0.5 + st.rng.Float64(), Memory: 1, Timeout: st.place.Deadlines[job], LatencyObjective: 800, GiveUpAt: st.Lasts,
		})
	}
	st.c.at(nil, st.c.now+st.rng.ExpFloat64()*1000/(st.Rate*st.flood), st.ask)
}

// check holds the program's own invariants.
func (st *stage) check() {
	if st.game.Lenient {
		return
	}
	st.overshoot()
	for _, s := range st.scheds {
		if s.server == nil || s.p.dead || s.p.paused || st.c.now < s.p.resumed+1000 { // what came meanwhile is read first
			continue
		}
		if err := s.server.CheckInvariants(); err != nil && st.c.now > s.p.began+1 {
			st.fail(0, fmt.Sprintf("scheduler %s: %v", s.name, err))
		}
	}
}

// last checks, when all is quiet, that nothing is held that no one knows, and nothing was left unanswered.
func (st *stage) last() {
	if breaks := st.watch.Finish(); len(breaks) > 0 {
		st.fail(breaks[0].Rule, breaks[0].String())
	}
	for _, n := range st.nodes {
		if n.Lost || n.Machine.Hung {
			continue
		}
		for _, s := range st.scheds {
			for _, name := range s.names() {
				if n.IsConnected(name) {
					n.Machine.EachHeld(st.c.now, name, func(ticket uint64, try uint8, _ bool, _, _ int, _, token uint64, _, _ float64) {
						if !s.p.dead && !s.server.KnowsAttempt(ticket, try) {
							st.fail(0, fmt.Sprintf("node %d holds try %x.%d of %x for %s, which does not know it", n.ID, ticket, try, token, name))
						}
					})
				}
			}
		}
	}
}

// conns gives the connections between two hosts, as the first has them.
func (st *stage) conns(a, b string) (all []*conn) {
	if p := st.hosts[a]; p != nil {
		for _, x := range p.conns {
			if x.far.p.Name == b {
				all = append(all, x)
			}
		}
	}
	return all
}

func (st *stage) node(name string) *standin.Node {
	i, err := strconv.Atoi(strings.TrimPrefix(name, "n"))
	if err != nil || i < 1 || i > len(st.nodes) {
		return nil
	}
	return st.nodes[i-1]
}
