// Package route plays the platform's route by seeds, on the laboratory's clock and network: several schedulers between
// owners that open what was lost again, nodes that come, drain and go, and a journal service that moves and falls
// silent. The rules are audited from what passed at the other ends; a panic, a module that was fenced and words that were
// switched off count as broken too, as does what is left standing at the end.
package route

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
	"ravenpond/internal/lab/seeds"
	"ravenpond/internal/lab/sim"
	"ravenpond/internal/outside"
	"ravenpond/internal/platform"
	"ravenpond/internal/settings"
)

// Times in ms.
const (
	lasts   = 14000 // of asks and faults
	settles = 9000  // after them
	slack   = 400   // that the order of events on two ways may be off by
	grace   = 400   // after word that a node drains
	coldFor = 4000
	window  = 1500
	bears   = 6
	expiry  = 2500
	toldIn  = 4000
	retell  = 250 // after a start an owner tells what stands
	shut    = 600 // after a scheduler was told to end owners ask it no more, on a connection that is open
	comeFor = 400 // and so long they make new ones
)

const facing = `{"instances": %d, "self-index": %d, "discovery": "push", "step-ns": 2000000, "kinds": ["std"], "zones": ["east", "west"],
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

var jobs = []audit.JobRules{{}, {Effect: audit.Idempotent, Group: 1, Window: 1500, Spread: 1, MaxTogether: 3}, {Effect: audit.AtMostOnce}}

var jobNames = []string{"batch", "marked", "single"}

// Plant is a fault planted in the program, to see that it is found.
type Plant struct {
	World func(outside.Environment) outside.Environment // what a scheduler runs in
	Busy  bool                                          // each seed gives one scheduler far more than it can do, not one in four
	Loose bool                                          // what is sent leaves by writers, in their turn
	Known func(events []byte) []byte                    // what it is told at a start
	Trace io.Writer                                     // is given what passed, in words, if it is not nil
}

// Verdict is what came of a seed.
type Verdict struct {
	Seed                        uint64
	Broken                      string // empty, if nothing is
	Flood                       bool   // a scheduler was given more than it could do
	Asks, Served, Starts, Found int
	Jobs                        [3]struct{ Asks, Served int } // by job type
}

// play is a seed being played.
type play struct {
	v   Verdict
	c   *sim.Clock
	rng *rand.Rand
	Plant
	watch   *audit.Auditor
	rules   audit.Rules
	scheds  []*sched
	nodes   []*node
	list    []change // what the journal service has to tell
	tasks   map[uint64]*task
	count   uint64
	reports string
	busy    *flood // nil: code takes no time
	lateFor int    // attempts that began for owners that had left long before
}

// change is an event of the node list.
type change struct {
	name, address, zone, status string
	cell                        int
	since                       float64
}

// Play plays a seed.
func Play(seed uint64, plant Plant) (v Verdict) {
	g := &play{
		v: Verdict{Seed: seed}, c: sim.NewClock(seed), rng: rand.New(rand.NewPCG(seed, 0x70a7e)), Plant: plant,
		tasks: map[uint64]*task{}, reports: "piggyback",
	}
	defer func() {
		if p := recover(); p != nil {
			g.fail(fmt.Sprintf("panic: %v\n%s", p, debug.Stack()))
		}
		v = g.v
	}()
	if g.rng.IntN(2) == 0 {
		g.reports = "probe"
	}
	if plant.Busy || seed%4 == 0 {
		g.busy, g.v.Flood = g.drawFlood(), true
	}
	g.rules = audit.Rules{
		Jobs: jobs, Nodes: map[uint32]audit.Location{}, DrainGrace: grace, SlowStartLimit: bears, SlowStartDuration: coldFor, SlowStartWindow: window,
		Slack: slack,
	}
	if g.busy != nil {
		g.rules.Slack = busySlack
	}
	g.watch = audit.NewAuditor(g.rules)
	number, nodes := 2+g.rng.IntN(3), 4+g.rng.IntN(7)
	if g.busy != nil {
		number, nodes = 3+g.rng.IntN(3), 12+g.rng.IntN(5)
	}
	for i := range nodes {
		g.addNode(fmt.Sprint("n", i), fmt.Sprintf("n%d:1", i), false)
	}
	for i := range number {
		g.addSched(i, number)
	}
	if g.busy != nil {
		g.busy.plan()
	} else {
		g.drawFaults()
	}
	g.c.At(300, g.ask)
	for at := 0.0; at < lasts+settles && g.v.Broken == ""; at += 50 {
		g.c.RunUntil(at)
	}
	g.last()
	return g.v
}

func (g *play) fail(what string) {
	if g.v.Broken == "" {
		g.v.Broken = fmt.Sprintf("at %.0f ms: %s", g.c.TrueTime(), what)
	}
}

func (g *play) record(r audit.Record) {
	r.At = g.c.TrueTime()
	if g.Trace != nil {
		fmt.Fprintf(g.Trace, "%.1f %s %s node %d ref %d try %x.%d job %d until %.0f %s\n", r.At, r.Kind, r.Scheduler, r.Node, r.RequestRef, r.Ticket, r.Attempt, r.Job, r.Deadline, r.Detail)
	}
	if g.watch.Add(&r) > 0 {
		g.fail(g.watch.Finish()[0].String())
	}
}

// last holds that every ask has its answer, and that nothing stands that its owner was not told of.
func (g *play) last() {
	if g.v.Broken != "" {
		return
	}
	if all := g.watch.Finish(); len(all) > 0 {
		g.fail(all[0].String())
	}
	for _, n := range g.nodes {
		for id, s := range n.runs {
			if s.at < lasts-1000 && g.c.TrueTime()-s.at > 8000+2*life {
				g.fail(fmt.Sprintf("task %x still stands at %s", id, n.name))
			}
		}
	}
}

// sched is a scheduler with what starts it again.
type sched struct {
	g       *play
	index   int
	name    string
	p       *sim.Process
	s       *platform.Server
	journal *journal
	lives   int
	ends    float64 // told to end then, 0: it was not
	owner   *owner
	facts   string
}

func (g *play) addSched(i, of int) {
	s := &sched{g: g, index: i, name: fmt.Sprint("s", i), facts: fmt.Sprintf(facing, of, i, g.reports)}
	s.p = g.c.NewProcess(s.name)
	s.p.SynchronousWrites = !g.Loose
	if g.busy != nil {
		s.p.LimitCPU(g.busy.share, sim.MeasuredCost)
	}
	s.owner = &owner{g: g, s: s, p: g.c.NewProcess("o-" + s.name)}
	g.scheds = append(g.scheds, s)
	s.start()
}

// Write takes the scheduler's log: lines that tell of what must never happen break the seed.
func (s *sched) Write(line []byte) (int, error) {
	for _, bad := range []string{"switched off", "module: fenced", "refused to offer"} {
		if bytes.Contains(line, []byte(bad)) {
			s.g.fail(s.name + " says: " + string(line))
		}
	}
	return len(line), nil
}

// start begins a life: it is told all that the journal has, with events from 1 on.
func (s *sched) start() {
	g := s.g
	s.lives++
	s.ends = 0
	s.journal = newJournal(g, fmt.Sprintf("journal-%s-%d:1", s.name, s.lives))
	if s.lives > 1 && g.rng.IntN(4) == 0 { // it says nothing yet
		s.journal.hush(2000 * g.rng.Float64())
	}
	c := s.configuration()
	world := outside.Environment(s.p)
	if g.World != nil {
		world = g.World(world)
	}
	world = watched{world, g}
	g.record(audit.Record{Kind: audit.SchedulerStarted, Scheduler: s.name})
	for _, n := range g.nodes { // what stands in the journal counts as told
		if n.status != "ready" {
			g.record(audit.Record{Kind: audit.EndpointDelivered, Scheduler: s.name, Node: n.id, Detail: n.status})
		}
	}
	s.s = platform.New(world, zerolog.New(s), c)
	if err := s.s.Start(c); err != nil {
		g.fail(err.Error())
		return
	}
	life := s.lives
	done := s.s.Done()
	outside.Every(s.p, 20, func() bool {
		select {
		case <-done:
			s.p.After(1, func() {
				if left := sorted(s.owner.asks); len(left) > 0 && s.lives == life {
					g.fail(fmt.Sprintf("rule 1: %s ended, and ask %d had no answer", s.name, left[0]))
				}
				s.kill(200)
			})
			return false
		default:
			return life == s.lives
		}
	})
	s.owner.begin()
}

func (s *sched) configuration() *platform.Configuration {
	known, err := settings.Read([]byte(s.facts))
	if err != nil {
		s.g.fail(err.Error())
		return nil
	}
	events := s.journal.known()
	if s.g.Known != nil {
		events = s.g.Known(events)
	}
	return &platform.Configuration{
		Name: s.name, Listen: s.name + ":1", Journal: s.journal.address, Seed: s.g.rng.Uint64(), MemoryMB: 64, Sockets: 200,
		Known: known, Events: events,
	}
}

// kill ends its life, and begins the next after a while.
func (s *sched) kill(back float64) {
	if s.s == nil {
		return
	}
	s.s = nil
	s.p.Kill(false)
	s.g.record(audit.Record{Kind: audit.SchedulerKilled, Scheduler: s.name})
	s.owner.lost()
	s.g.c.At(s.g.c.TrueTime()+back, func() {
		s.p.Start()
		s.start()
	})
}

// term tells it to end, as a planned restart does. Owners go on asking on the connection that they have, and make new
// ones for a while.
func (s *sched) term() {
	if s.s == nil || s.ends > 0 {
		return
	}
	s.ends = s.g.c.TrueTime()
	s.s.Stop()
	lives := s.lives
	for range 2 {
		s.g.c.At(s.ends+comeFor*s.g.rng.Float64(), func() {
			if s.s != nil && s.lives == lives {
				s.owner.dial(nil)
			}
		})
	}
}

// hangUp moves the journal service, and has the configuration read again.
func (s *sched) hangUp() {
	if s.s == nil {
		return
	}
	old := s.journal
	s.journal = old.moved(fmt.Sprintf("journal-%s-%d-%d:1", s.name, s.lives, s.g.rng.Uint32()))
	s.s.Take(s.configuration())
	old.close()
}

// journal is the journal service as one scheduler sees it. Its events count from the start of that scheduler's life.
type journal struct {
	g       *play
	p       *sim.Process
	address string
	events  []string
	conns   []*tail
	silent  float64 // until then it says nothing
	since   float64 // when that began
	gone    bool
}

type tail struct {
	j    *journal
	conn outside.Conn
	over bool
}

func newJournal(g *play, address string) *journal {
	j := &journal{g: g, address: address}
	var all []change
	seen := map[string]int{}
	for _, c := range g.list { // the whole list, as it stands, gone and draining ones with it
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
	j.p = j.g.c.NewProcess(j.address)
	if _, err := j.p.Listen(j.address, func(c outside.Conn) {
		x := &tail{j: j, conn: c}
		j.conns = append(j.conns, x)
		c.Start(x, 5000)
	}); err != nil {
		j.g.fail(err.Error())
	}
	outside.Every(j.p, 1000, func() bool { j.say(fmt.Sprintf(`{"pos":%d}`, len(j.events))); return !j.gone })
}

// moved is the same journal at another address.
func (j *journal) moved(address string) *journal {
	to := &journal{g: j.g, address: address, events: j.events}
	to.open()
	return to
}

// hush has it say nothing for a while.
func (j *journal) hush(ms float64) {
	j.since = j.g.c.TrueTime()
	j.silent = max(j.silent, j.since+ms)
}

func (j *journal) close() { j.gone = true; j.p.Kill(false) }

func (j *journal) known() []byte {
	return fmt.Appendf(nil, `{"pos":%d,"entries":[%s]}`, len(j.events), strings.Join(j.events, ","))
}

// add takes an event up and tells it.
func (j *journal) add(whole bool, all ...change) {
	var entries []string
	for _, c := range all {
		entries = append(entries, fmt.Sprintf(
			`{"name":%q,"address":%q,"zone":%q,"type":"std","group":%d,"status":%q,"since_ms":%.0f,"room":[12,24]}`, c.name, c.address, c.zone, c.cell,
			c.status, c.since))
	}
	e := fmt.Sprintf(`{"pos":%d,"hosts":{"index":%d,"snapshot":%v,"endpoints":[%s]}}`, len(j.events)+1, len(j.events)+1, whole,
		strings.Join(entries, ","))
	j.events = append(j.events, e)
	j.say(e)
}

func (j *journal) say(line string) {
	for _, x := range j.conns {
		if !x.over && j.g.c.TrueTime() >= j.silent {
			x.send(line)
		}
	}
}

func (x *tail) send(line string) {
	x.conn.Send(func(b []byte) []byte { return append(append(b, line...), '\n') })
}

func (x *tail) OnClose(error) { x.over = true }

func (x *tail) OnData(b []byte) {
	var from int
	if n, _ := fmt.Sscanf(string(b), "tail %d", &from); n != 1 || x.j.g.c.TrueTime() < x.j.silent {
		return
	}
	for i := from; i < len(x.j.events); i++ {
		x.send(x.j.events[i])
	}
}

// tells has the journal tell of a node's state; it counts as told at each scheduler, at once or 4 s after silence began.
func (g *play) tells(n *node) {
	c := change{n.name, n.address, n.zone, n.status, n.cell, n.since}
	g.list = append(g.list, c)
	n.changes++
	all := []change{c}
	if g.rng.IntN(8) == 0 {
		all = append(all, c) // named twice
	}
	for _, s := range g.scheds {
		s.journal.add(false, all...)
		if n.status == "ready" { // it may know at once
			g.record(audit.Record{Kind: audit.EndpointDelivered, Scheduler: s.name, Node: n.id, Detail: n.status})
			continue
		}
		at := g.c.TrueTime()
		if at < s.journal.silent { // what it would have told counts so long after its silence began
			at = max(at, s.journal.since+toldIn)
		}
		lives, status, count := s.lives, n.status, n.changes
		g.c.At(at, func() {
			if s.lives == lives && n.changes == count {
				g.record(audit.Record{Kind: audit.EndpointDelivered, Scheduler: s.name, Node: n.id, Detail: status})
			}
		})
	}
}

// Seeds plays the seeds from a to b, the latter left out, so many at a time; what came of them is in their order.
func Seeds(ctx context.Context, a, b uint64, workers int) []Verdict {
	all := seeds.Each(ctx, a, b, workers, func(seed uint64) Verdict { return Play(seed, Plant{}) })
	return slices.DeleteFunc(all, func(v Verdict) bool { return v.Asks == 0 && v.Broken == "" }) // broken off before it came up
}

// Broken is how many broke something.
func Broken(all []Verdict) (n int) {
	for _, v := range all {
		if v.Broken != "" {
			n++
		}
	}
	return n
}

// Print writes what came of seeds; the last line counts those that broke.
func Print(w io.Writer, all []Verdict) {
	told, asks, served, starts, found := 0, 0, 0, 0, 0
	for _, v := range all {
		asks, served, starts, found = asks+v.Asks, served+v.Served, starts+v.Starts, found+v.Found
		if v.Broken != "" {
			if told++; told <= 20 {
				fmt.Fprintf(w, "seed %d: %.1500s\n", v.Seed, v.Broken)
			}
		}
	}
	fmt.Fprintf(w, "%d seeds of the platform's route: %d asks, %d served, %d starts at nodes, %d found again\nbroken: %d\n", len(all), asks,
		served, starts, found, Broken(all))
}
