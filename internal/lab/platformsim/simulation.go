// Package route plays the platform's route by seeds, on the laboratory's clock and network: several schedulers between
// owners that open what was lost again, nodes that come, drain and go, and a journal service that moves and falls
// silent. The rules are audited from what passed at the other ends; a panic, a module that was fenced and words that were
// switched off count as broken too, as does what is left standing at the end.
package platformsim

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"runtime/debug"
	"slices"
	"strings"

	"github.com/rs/zerolog"

	"ravenpond/internal/audit"
	"ravenpond/internal/env"
	"ravenpond/internal/lab/seeds"
	"ravenpond/internal/lab/sim"
	"ravenpond/internal/platform"
	"ravenpond/internal/settings"
)

// Times in ms.
const (
	activeTime        = 14000 // of asks and faults
	settleTime        = 9000  // after them
	orderSlack        = 400   // that the order of events on two ways may be off by
	drainGrace        = 400   // after word that a node drains
	slowStartDuration = 4000
	slowStartWindow   = 1500
	slowStartLimit    = 6
	expiry            = 2500
	noticeLimit       = 4000
	restoreDelay      = 250 // after a start an owner tells what stands
	stopGrace         = 600 // after a scheduler was told to end owners ask it no more, on a connection that is open
	reconnectWindow   = 400 // and so long they make new ones
)

const settingsText = `{"instances": %d, "self-index": %d, "discovery": "push", "step-ns": 2000000, "kinds": ["std"], "zones": ["east", "west"],
 "projects": [{"name": "acme", "portion": 1}],
 "policy-limits": {"cancel": true, "max-attempts": 4, "probes": true, "conn-idle-ns": 4000000000, "connect-timeout-ns": 500000000, "open-cap": 500},
 "family-info": {"cores-multiple": 2, "memory-multiple": 1.5, "cpu-of-kind": [16], "mem-of-kind": [32], "kind-by-class": [-1, -1, -1],
  "spread-over": ["silent", "machine", "silent"], "most-together": [9, 3, 9], "lists-free": true, "cold-bears": 6, "unit-cores": 1,
  "mean-memory": 2, "settle-ns": 600000000},
 "report": {"fields": ["x0", "x1"], "how": "%s"},
 "rules": {"cold-ns": 4000000000, "overload-for-ns": 1500000000, "ask-every-ns": 4000000000},
 "services": [
  {"name": "batch", "aim-ns": 700000000, "deadline-ns": 2500000000, "effect": "free", "worth": 1, "group": "all"},
  {"name": "marked", "aim-ns": 700000000, "deadline-ns": 2500000000, "effect": "guarded", "worth": 2, "group": "zone", "window-ns": 1500000000},
  {"name": "single", "aim-ns": 700000000, "deadline-ns": 2500000000, "effect": "single_shot", "worth": 3, "group": "all"}]}`

var jobs = []audit.JobRules{{}, {Semantics: audit.Idempotent, Scope: audit.ScopeZone, Window: 1500, Spread: audit.SpreadNode, MaxTogether: 3}, {Semantics: audit.AtMostOnce}}

var jobNames = []string{"batch", "marked", "single"}

// Faults is a fault planted in the program, to see that it is found.
type Faults struct {
	World              func(env.Environment) env.Environment // what a scheduler runs in
	AlwaysOverload     bool                                  // each seed gives one scheduler far more than it can do, not one in four
	AsynchronousWrites bool                                  // what is sent leaves by writers, in their turn
	InitialEvents      func(events []byte) []byte            // what it is told at a start
	Trace              io.Writer                             // is given what passed, in words, if it is not nil
}

// Result is what came of a seed.
type Result struct {
	Seed                               uint64
	Failure                            string // empty, if nothing is
	Overloaded                         bool   // a scheduler was given more than it could do
	Requests, Served, Starts, Restored int
	Jobs                               [3]struct{ Asks, Served int } // by job type
}

// simulation is a seed being played.
type simulation struct {
	result Result
	clock  *sim.Clock
	rng    *rand.Rand
	Faults
	auditor      *audit.Auditor
	rules        audit.Rules
	schedulers   []*scheduler
	nodes        []*node
	listChanges  []listChange // what the journal service has to tell
	tasks        map[uint64]*task
	lastTask     uint64
	reports      string
	overload     *overload // nil: code takes no time
	lateAttempts int       // attempts that began for owners that had left long before
}

// listChange is an event of the node list.
type listChange struct {
	name, address, zone, status string
	cell                        int
	since                       float64
}

// Play plays a seed.
func Play(seed uint64, plant Faults) (v Result) {
	g := &simulation{
		result: Result{Seed: seed}, clock: sim.NewClock(seed), rng: rand.New(rand.NewPCG(seed, 0x70a7e)), Faults: plant,
		tasks: map[uint64]*task{}, reports: "piggyback",
	}
	defer func() {
		if p := recover(); p != nil {
			g.fail(fmt.Sprintf("panic: %v\n%s", p, debug.Stack()))
		}
		v = g.result
	}()
	if g.rng.IntN(2) == 0 {
		g.reports = "probe"
	}
	if plant.AlwaysOverload || seed%4 == 0 {
		g.overload, g.result.Overloaded = g.drawOverload(), true
	}
	g.rules = audit.Rules{
		Jobs: jobs, Nodes: map[uint32]audit.Location{}, DrainGrace: drainGrace, SlowStartLimit: slowStartLimit, SlowStartDuration: slowStartDuration, SlowStartWindow: slowStartWindow,
		Slack: orderSlack,
	}
	if g.overload != nil {
		g.rules.Slack = overloadSlack
	}
	g.auditor = audit.NewAuditor(g.rules)
	number, nodes := 2+g.rng.IntN(3), 4+g.rng.IntN(7)
	if g.overload != nil {
		number, nodes = 3+g.rng.IntN(3), 12+g.rng.IntN(5)
	}
	for i := range nodes {
		g.addNode(fmt.Sprint("n", i), fmt.Sprintf("n%d:1", i), false)
	}
	for i := range number {
		g.addScheduler(i, number)
	}
	if g.overload != nil {
		g.overload.plan()
	} else {
		g.drawFaults()
	}
	g.clock.At(300, g.sendNext)
	for at := 0.0; at < activeTime+settleTime && g.result.Failure == ""; at += 50 {
		g.clock.RunUntil(at)
	}
	g.checkFinalState()
	return g.result
}

func (g *simulation) fail(what string) {
	if g.result.Failure == "" {
		g.result.Failure = fmt.Sprintf("at %.0f ms: %s", g.clock.TrueTime(), what)
	}
}

func (g *simulation) record(r audit.Record) {
	r.At = g.clock.TrueTime()
	if g.Trace != nil {
		fmt.Fprintf(g.Trace, "%.1f %s %s node %d ref %d try %x.%d job %d until %.0f %s\n", r.At, r.Kind, r.Scheduler, r.Node, r.RequestRef, r.Ticket, r.Attempt, r.Job, r.Deadline, r.Detail)
	}
	if g.auditor.Add(&r) > 0 {
		g.fail(g.auditor.Finish()[0].String())
	}
}

// checkFinalState holds that every ask has its answer, and that nothing stands that its owner was not told of.
func (g *simulation) checkFinalState() {
	if g.result.Failure != "" {
		return
	}
	if all := g.auditor.Finish(); len(all) > 0 {
		g.fail(all[0].String())
	}
	for _, n := range g.nodes {
		for id, s := range n.tasks {
			if s.receivedAt < activeTime-1000 && g.clock.TrueTime()-s.receivedAt > 8000+2*maxTaskRuntime {
				g.fail(fmt.Sprintf("task %x still stands at %s", id, n.name))
			}
		}
	}
}

// scheduler is a scheduler with what starts it again.
type scheduler struct {
	sim         *simulation
	index       int
	name        string
	process     *sim.Process
	server      *platform.Server
	journal     *journal
	incarnation int
	stoppedAt   float64 // told to end then, 0: it was not
	client      *client
	settings    string
}

func (g *simulation) addScheduler(i, of int) {
	s := &scheduler{sim: g, index: i, name: fmt.Sprint("s", i), settings: fmt.Sprintf(settingsText, of, i, g.reports)}
	s.process = g.clock.NewProcess(s.name)
	s.process.SynchronousWrites = !g.AsynchronousWrites
	if g.overload != nil {
		s.process.LimitCPU(g.overload.share, sim.MeasuredCost)
	}
	s.client = &client{sim: g, scheduler: s, process: g.clock.NewProcess("o-" + s.name)}
	g.schedulers = append(g.schedulers, s)
	s.start()
}

// Write takes the scheduler's log: lines that tell of what must never happen break the seed.
func (s *scheduler) Write(line []byte) (int, error) {
	for _, bad := range []string{"switched off", "module: fenced", "refused to offer"} {
		if bytes.Contains(line, []byte(bad)) {
			s.sim.fail(s.name + " says: " + string(line))
		}
	}
	return len(line), nil
}

// start begins a life: it is told all that the journal has, with events from 1 on.
func (s *scheduler) start() {
	g := s.sim
	s.incarnation++
	s.stoppedAt = 0
	s.journal = newJournal(g, fmt.Sprintf("journal-%s-%d:1", s.name, s.incarnation))
	if s.incarnation > 1 && g.rng.IntN(4) == 0 { // it says nothing yet
		s.journal.silence(2000 * g.rng.Float64())
	}
	c := s.configuration()
	world := env.Environment(s.process)
	if g.World != nil {
		world = g.World(world)
	}
	world = observedEnvironment{world, g}
	g.record(audit.Record{Kind: audit.SchedulerStarted, Scheduler: s.name})
	for _, n := range g.nodes { // what stands in the journal counts as told
		if n.status != "ready" {
			g.record(audit.Record{Kind: audit.EndpointDelivered, Scheduler: s.name, Node: n.id, Detail: n.status})
		}
	}
	s.server = platform.New(world, zerolog.New(s), c)
	if err := s.server.Start(c); err != nil {
		g.fail(err.Error())
		return
	}
	life := s.incarnation
	done := s.server.Done()
	env.Every(s.process, 20, func() bool {
		select {
		case <-done:
			s.process.After(1, func() {
				if left := sorted(s.client.pending); len(left) > 0 && s.incarnation == life {
					g.fail(fmt.Sprintf("rule 1: %s ended, and ask %d had no answer", s.name, left[0]))
				}
				s.kill(200)
			})
			return false
		default:
			return life == s.incarnation
		}
	})
	s.client.start()
}

func (s *scheduler) configuration() *platform.Configuration {
	known, err := settings.Read([]byte(s.settings))
	if err != nil {
		s.sim.fail(err.Error())
		return nil
	}
	events := s.journal.snapshot()
	if s.sim.InitialEvents != nil {
		events = s.sim.InitialEvents(events)
	}
	return &platform.Configuration{
		Name: s.name, Listen: s.name + ":1", Journal: s.journal.address, Seed: s.sim.rng.Uint64(), MemoryMB: 64, Sockets: 200,
		Deployment: known, InitialEvents: events,
	}
}

// kill ends its life, and begins the next after a while.
func (s *scheduler) kill(back float64) {
	if s.server == nil {
		return
	}
	s.server = nil
	s.process.Kill(false)
	s.sim.record(audit.Record{Kind: audit.SchedulerKilled, Scheduler: s.name})
	s.client.markDisconnected()
	s.sim.clock.At(s.sim.clock.TrueTime()+back, func() {
		s.process.Start()
		s.start()
	})
}

// stop tells it to end, as a planned restart does. Owners go on asking on the connection that they have, and make new
// ones for a while.
func (s *scheduler) stop() {
	if s.server == nil || s.stoppedAt > 0 {
		return
	}
	s.stoppedAt = s.sim.clock.TrueTime()
	s.server.Stop()
	lives := s.incarnation
	for range 2 {
		s.sim.clock.At(s.stoppedAt+reconnectWindow*s.sim.rng.Float64(), func() {
			if s.server != nil && s.incarnation == lives {
				s.client.dial(nil)
			}
		})
	}
}

// reload moves the journal service, and has the configuration read again.
func (s *scheduler) reload() {
	if s.server == nil {
		return
	}
	old := s.journal
	s.journal = old.moveTo(fmt.Sprintf("journal-%s-%d-%d:1", s.name, s.incarnation, s.sim.rng.Uint32()))
	s.server.ApplyConfiguration(s.configuration())
	old.close()
}

// journal is the journal service as one scheduler sees it. Its events count from the start of that scheduler's life.
type journal struct {
	sim         *simulation
	process     *sim.Process
	address     string
	events      []string
	subscribers []*subscriber
	silentUntil float64 // until then it says nothing
	silentSince float64 // when that began
	closed      bool
}

type subscriber struct {
	journal *journal
	conn    env.Conn
	closed  bool
}

func newJournal(g *simulation, address string) *journal {
	j := &journal{sim: g, address: address}
	var all []listChange
	seen := map[string]int{}
	for _, c := range g.listChanges { // the whole list, as it stands, gone and draining ones with it
		if i, ok := seen[c.name]; ok {
			all[i] = c
			continue
		}
		seen[c.name] = len(all)
		all = append(all, c)
	}
	j.add(true, all...)
	j.open()
	return j
}

func (j *journal) open() {
	j.process = j.sim.clock.NewProcess(j.address)
	if _, err := j.process.Listen(j.address, func(c env.Conn) {
		x := &subscriber{journal: j, conn: c}
		j.subscribers = append(j.subscribers, x)
		c.Start(x, 5000)
	}); err != nil {
		j.sim.fail(err.Error())
	}
	env.Every(j.process, 1000, func() bool { j.send(fmt.Sprintf(`{"pos":%d}`, len(j.events))); return !j.closed })
}

// moveTo is the same journal at another address.
func (j *journal) moveTo(address string) *journal {
	to := &journal{sim: j.sim, address: address, events: j.events}
	to.open()
	return to
}

// silence has it say nothing for a while.
func (j *journal) silence(ms float64) {
	j.silentSince = j.sim.clock.TrueTime()
	j.silentUntil = max(j.silentUntil, j.silentSince+ms)
}

func (j *journal) close() { j.closed = true; j.process.Kill(false) }

func (j *journal) snapshot() []byte {
	return fmt.Appendf(nil, `{"pos":%d,"entries":[%s]}`, len(j.events), strings.Join(j.events, ","))
}

// add takes an event up and tells it.
func (j *journal) add(whole bool, all ...listChange) {
	var entries []string
	for _, c := range all {
		entries = append(entries, fmt.Sprintf(
			`{"name":%q,"address":%q,"zone":%q,"type":"std","group":%d,"status":%q,"since_ms":%.0f,"room":[12,24]}`, c.name, c.address, c.zone, c.cell,
			c.status, c.since))
	}
	e := fmt.Sprintf(`{"pos":%d,"hosts":{"index":%d,"snapshot":%v,"endpoints":[%s]}}`, len(j.events)+1, len(j.events)+1, whole,
		strings.Join(entries, ","))
	j.events = append(j.events, e)
	j.send(e)
}

func (j *journal) send(line string) {
	for _, x := range j.subscribers {
		if !x.closed && j.sim.clock.TrueTime() >= j.silentUntil {
			x.send(line)
		}
	}
}

func (x *subscriber) send(line string) {
	x.conn.Send(func(b []byte) []byte { return append(append(b, line...), '\n') })
}

func (x *subscriber) OnClose(error) { x.closed = true }

func (x *subscriber) OnData(b []byte) {
	var from int
	if n, _ := fmt.Sscanf(string(b), "tail %d", &from); n != 1 || x.journal.sim.clock.TrueTime() < x.journal.silentUntil {
		return
	}
	for i := from; i < len(x.journal.events); i++ {
		x.send(x.journal.events[i])
	}
}

// announce has the journal tell of a node's state; it counts as told at each scheduler, at once or 4 s after silence began.
func (g *simulation) announce(n *node) {
	c := listChange{n.name, n.address, n.zone, n.status, n.cell, n.coldSince}
	g.listChanges = append(g.listChanges, c)
	n.announcements++
	all := []listChange{c}
	if g.rng.IntN(8) == 0 {
		all = append(all, c) // named twice
	}
	for _, s := range g.schedulers {
		s.journal.add(false, all...)
		if n.status == "ready" { // it may know at once
			g.record(audit.Record{Kind: audit.EndpointDelivered, Scheduler: s.name, Node: n.id, Detail: n.status})
			continue
		}
		at := g.clock.TrueTime()
		if at < s.journal.silentUntil { // what it would have told counts so long after its silence began
			at = max(at, s.journal.silentSince+noticeLimit)
		}
		lives, status, count := s.incarnation, n.status, n.announcements
		g.clock.At(at, func() {
			if s.incarnation == lives && n.announcements == count {
				g.record(audit.Record{Kind: audit.EndpointDelivered, Scheduler: s.name, Node: n.id, Detail: status})
			}
		})
	}
}

// Seeds plays the seeds from a to b, the latter left out, so many at a time; what came of them is in their order.
func Seeds(ctx context.Context, a, b uint64, workers int) []Result {
	all := seeds.Run(ctx, a, b, workers, func(seed uint64) Result { return Play(seed, Faults{}) })
	return slices.DeleteFunc(all, func(v Result) bool { return v.Requests == 0 && v.Failure == "" }) // broken off before it came up
}

// CountFailures is how many broke something.
func CountFailures(all []Result) (n int) {
	for _, v := range all {
		if v.Failure != "" {
			n++
		}
	}
	return n
}

// Print writes what came of seeds; the last line counts those that broke.
func Print(w io.Writer, all []Result) {
	told, asks, served, starts, found := 0, 0, 0, 0, 0
	for _, v := range all {
		asks, served, starts, found = asks+v.Requests, served+v.Served, starts+v.Starts, found+v.Restored
		if v.Failure != "" {
			if told++; told <= 20 {
				fmt.Fprintf(w, "seed %d: %.1500s\n", v.Seed, v.Failure)
			}
		}
	}
	fmt.Fprintf(w, "%d seeds of the platform's route: %d asks, %d served, %d starts at nodes, %d found again\nbroken: %d\n", len(all), asks,
		served, starts, found, CountFailures(all))
}
