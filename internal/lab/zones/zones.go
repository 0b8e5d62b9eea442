// Package zones plays the loss of zones by seeds: processes in four zones of two regions with the program's own members, council,
// control and decisions on zones, over nodes of which only is kept which of them answer whom. Held all along: no zone is closed
// that most others hear; never more than half; a process that is sure sends nothing to a zone that was closed long enough ago;
// nobody passes its share; and a lost zone is left by all, and comes back by steps.
package zones

import (
	"context"
	"fmt"
	"math"
	"math/rand/v2"
	"runtime/debug"
	"slices"

	"ravenpond/internal/control"
	"ravenpond/internal/decide/clusterstate"
	"ravenpond/internal/decide/consensus"
	"ravenpond/internal/decide/zones"
	lab "ravenpond/internal/lab/council"
	"ravenpond/internal/lab/seeds"
	"ravenpond/internal/lab/sim"
)

// Times in ms, and sizes.
const (
	begins  = 6000 // of faults: by then there is a book
	settles = 40000
	looks   = 50
	senses  = 250  // between two sums
	silent  = 1000 // after which a node that is not heard counts as silent
	stale   = consensus.Lease*1.03 + 200

	eachNodes = 10
	eachRoom  = 640.0 // cores of a zone
)

var all = []zones.Location{{Name: "a", Region: "one"}, {Name: "b", Region: "one"}, {Name: "c", Region: "two"}, {Name: "d", Region: "two"}}

// Plant is a fault planted in the program, to see that it is found.
type Plant struct {
	Alone    bool // the word of one other zone closes a zone
	Careless bool // what the book last said counts for ever
	Uncapped bool // shares of the plan are not kept to
}

// Verdict is what came of a seed.
type Verdict struct {
	Seed     uint64
	Broken   string
	Fault    string
	Closings int
	Left     float64 // ms from the loss of a zone until all who could know had left it
	Back     float64 // ms from its return until all sent there as before
}

type play struct {
	v      Verdict
	plant  Plant
	c      *sim.Clock
	rng    *rand.Rand
	procs  []*proc
	names  []string
	dead   map[string]bool       // zones whose nodes answer nobody
	quiet  map[string]int        // nodes of a zone that answer nobody
	cuts   map[[2]string]bool    // ways from zone to zone that are cut
	broken map[[2]string]bool    // ways from a process to a zone
	lately map[[2]string]float64 // when a process last heard a zone
	shut   map[string]float64    // since when zones are closed in a book that somebody holds
	load   float64               // part of all room
	used   map[string]float64    // cores in use by zone
	lostAt map[string]float64
	backAt float64
	want   string // the zone that is to be left
	ends   float64
	may    func(zone string) bool // a zone may be closed, for what has happened to it
}

type proc struct {
	g     *play
	name  string
	zone  string
	p     *sim.Process
	life  uint64
	r     *control.Runner
	reach *zones.Selector
	parts map[string]float64
	own   map[string]float64
	disk  *lab.Disk

	sure   bool
	surely map[string]float64
}

// Play plays a seed.
func Play(seed uint64, plant Plant) (v Verdict) {
	g := &play{
		v: Verdict{Seed: seed}, plant: plant, c: sim.NewClock(seed), rng: rand.New(rand.NewPCG(seed, 0x20e5)), dead: map[string]bool{}, quiet: map[string]int{},
		cuts: map[[2]string]bool{}, broken: map[[2]string]bool{}, lately: map[[2]string]float64{}, shut: map[string]float64{}, used: map[string]float64{}, lostAt: map[string]float64{},
		may: func(string) bool { return false },
	}
	defer func() {
		if p := recover(); p != nil {
			g.fail(fmt.Sprintf("panic: %v\n%s", p, debug.Stack()))
		}
		v = g.v
	}()
	number := 8 + g.rng.IntN(5)
	g.load = 0.35 + 0.4*g.rng.Float64()
	g.names = []string{"p0", "p1", "p2"} // of three zones
	for i := range number {
		x := &proc{g: g, name: fmt.Sprint("p", i), zone: all[i%len(all)].Name, own: map[string]float64{}, parts: map[string]float64{}}
		x.p = g.c.NewProcess(x.name)
		if i < len(g.names) {
			x.disk = &lab.Disk{}
		}
		g.procs = append(g.procs, x)
	}
	for _, x := range g.procs {
		x.start()
	}
	g.ends = begins
	g.faults()
	for at := 0.0; at < g.ends+settles && g.v.Broken == ""; at += looks {
		g.c.RunUntil(at)
		g.look()
		g.work()
	}
	if g.v.Broken == "" {
		g.last()
	}
	return g.v
}

func (g *play) fail(what string) {
	if g.v.Broken == "" {
		g.v.Broken = fmt.Sprintf("at %.0f ms, %s: %s", g.c.TrueTime(), g.v.Fault, what)
	}
}

func (x *proc) start() {
	g := x.g
	x.life++
	var names []string
	for _, z := range all {
		names = append(names, z.Name)
	}
	site := control.ZoneConfig{Zones: names, Latency: func(from, to string) float64 {
		if (from < "c") == (to < "c") {
			return 1
		}
		return 10
	}, Judge: zones.Controller{FaultSingleZone: g.plant.Alone}}
	var err error
	who := consensus.Config{Zone: x.zone, Incarnation: x.life, Voters: g.names}
	if x.r, err = lab.Begin(x.p, g.rng.Uint64(), who, x.disk, site); err != nil {
		g.fail(err.Error())
		return
	}
	x.sure, x.surely, x.parts = false, nil, map[string]float64{}
	x.reach = &zones.Selector{OwnZone: x.zone, Zones: all, LocalityAware: true, FaultIgnoreLease: g.plant.Careless}
	life := x.life
	var sense func()
	sense = func() {
		if x.life == life && x.r != nil {
			x.r.Report(x.sums())
			x.p.After(senses, sense)
		}
	}
	x.p.After(senses*g.rng.Float64(), sense)
}

// hears tells whether nodes of a zone answer a process now.
func (x *proc) hears(zone string) bool {
	g := x.g
	return !g.dead[zone] && !g.cuts[[2]string{x.zone, zone}] && !g.broken[[2]string{x.name, zone}]
}

// sums is what a process hears of the zones: silence shows after a while.
func (x *proc) sums() map[string]zones.Summary {
	g, sums := x.g, map[string]zones.Summary{}
	for _, z := range all {
		s := zones.Summary{Nodes: eachNodes, Capacity: eachRoom, Used: g.used[z.Name]}
		if g.c.TrueTime()-g.lately[[2]string{x.name, z.Name}] < silent {
			s.Reachable = eachNodes - g.quiet[z.Name]
		}
		sums[z.Name] = s
	}
	return sums
}

// work has each process place its part of the load by where it may: near, and where there is room.
func (g *play) work() {
	now := g.c.TrueTime()
	used := map[string]float64{}
	for _, x := range g.procs {
		if x.r == nil {
			continue
		}
		for _, z := range all {
			if x.hears(z.Name) {
				g.lately[[2]string{x.name, z.Name}] = now
			}
		}
		if x.p.Paused() {
			for z, c := range x.own {
				used[z] += c
			}
			continue
		}
		view := x.r.View()
		sure := x.p.Now() < view.LeaseExpiry
		sums := x.sums()
		if x.sure { // what it sent to when it was sure last
			x.surely = x.parts
		}
		x.sure = sure
		was := x.surely
		x.parts = x.reach.Update(x.p.Now(), view.State, sure, sums, 0, x.own, view.State.ActiveProcesses(x.zone))
		if g.plant.Uncapped && sure && view.State.Zone(x.zone).State == clusterstate.Closed {
			for z := range x.parts {
				if view.State.Zone(z).State == clusterstate.Open {
					x.parts[z] = 1
				}
			}
		}
		g.holds(x, view, sure, was)
		demand := g.load * eachRoom * float64(len(all)) / float64(len(g.procs))
		weight := 0.0
		for z, part := range x.parts {
			if x.hears(z) {
				weight += part * max(0, eachRoom-g.used[z])
			}
		}
		total := 0.0
		for z := range x.own {
			total += x.own[z]
		}
		for _, z := range all { // a fiftieth of the work ends in a look, as much and what is missing begins
			c := x.own[z.Name] * 0.98
			if !x.hears(z.Name) {
				c = x.own[z.Name] * 0.9
			}
			if part := x.parts[z.Name]; part > 0 && x.hears(z.Name) && weight > 0 {
				c += min(0.1*demand, max(0, demand-0.98*total)) * part * max(0, eachRoom-g.used[z.Name]) / weight
			}
			x.own[z.Name] = c
			used[z.Name] += c
		}
	}
	g.used = used
}

// holds holds what a process does against what it must not do.
func (g *play) holds(x *proc, view *control.View, sure bool, was map[string]float64) {
	for _, z := range all {
		part := x.parts[z.Name]
		if at, ok := g.shut[z.Name]; ok && part > 0 && g.c.TrueTime()-at > stale && (sure || z.Name != x.zone && was[z.Name] == 0) {
			g.fail(fmt.Sprintf("%s of %s sends to %s, closed for %.0f ms; sure %v", x.name, x.zone, z.Name, g.c.TrueTime()-at, sure))
		}
		plan, _ := view.State.Plan()
		if home := view.State.Zone(x.zone); home.State == clusterstate.Closed && plan > home.Version && z.Name != x.zone && part > 0 { // it keeps to its share
			if most := float64(view.State.Share(x.zone, z.Name)) / float64(view.State.ActiveProcesses(x.zone)); x.own[z.Name] > most {
				g.fail(fmt.Sprintf("%s of %s uses %.0f cores of %s, its share is %.0f, and sends more", x.name, x.zone, x.own[z.Name], z.Name, most))
			}
		}
		if !sure && was != nil && part > was[z.Name]+1e-9 && z.Name != x.zone && was[z.Name] == 0 {
			g.fail(fmt.Sprintf("%s is not sure and opens %s", x.name, z.Name))
		}
	}
}

// look holds the verdicts against what has happened.
func (g *play) look() {
	now := g.c.TrueTime()
	var newest *clusterstate.State
	for _, x := range g.procs {
		if x.r != nil && (newest == nil || x.r.View().State.Version() > newest.Version()) {
			newest = x.r.View().State
		}
	}
	if newest == nil {
		return
	}
	closed := 0
	for _, z := range all {
		s := newest.Zone(z.Name).State
		if s == clusterstate.Closed {
			closed++
			if _, ok := g.shut[z.Name]; !ok {
				g.shut[z.Name] = now
				g.v.Closings++
				if !g.may(z.Name) {
					g.fail(fmt.Sprintf("zone %s was closed (%s), use %.0f", z.Name, newest.Zone(z.Name).Cause, g.used[z.Name]))
				}
			}
		} else {
			delete(g.shut, z.Name)
		}
		if g.used[z.Name] > 0.95*eachRoom && g.load < 0.55 {
			g.fail(fmt.Sprintf("zone %s is filled to %.2f at a load of %.2f", z.Name, g.used[z.Name]/eachRoom, g.load))
		}
	}
	if closed > len(all)/2 {
		g.fail(fmt.Sprintf("%d of %d zones are closed", closed, len(all)))
	}
	if at, ok := g.lostAt[g.want]; ok && g.v.Left == 0 && g.left(g.want) {
		g.v.Left = now - at
	}
	if g.backAt > 0 && now > g.backAt && g.v.Back == 0 && g.sends() {
		g.v.Back = now - g.backAt
	}
}

// left tells whether all who run and are not cut off with a zone send nothing there.
func (g *play) left(zone string) bool {
	for _, x := range g.procs {
		knows := x.r != nil && !x.p.Paused() && x.r.View().State.Version() > 0 // who has just begun hears of it first
		if knows && !(x.zone == zone && !g.dead[zone]) && x.parts[zone] > 0 {
			return false
		}
	}
	_, shut := g.shut[zone]
	return shut
}

// sends tells whether all send to their own zones again, wholly.
func (g *play) sends() bool {
	for _, x := range g.procs {
		if x.r == nil || x.parts[x.zone] < 1 || x.p.Now() >= x.r.View().LeaseExpiry {
			return false
		}
	}
	return len(g.shut) == 0
}

// last holds that all is as before.
func (g *play) last() {
	switch {
	case !g.sends() && g.v.Closings < 3: // one that came and went rests for long
		g.fail(fmt.Sprintf("not as before: closed %v", g.shut))
	case g.want != "" && g.v.Left == 0:
		g.fail("the lost zone was not left by all")
	}
}

func (x *proc) kill(back float64) {
	if x.r == nil {
		return
	}
	x.r = nil
	x.own = map[string]float64{}
	x.p.Kill(false)
	x.g.c.At(x.g.c.TrueTime()+back, func() {
		x.p.Start()
		x.start()
	})
}

// leads is the leader, if there is one.
func (g *play) leads(f func(x *proc)) {
	for _, x := range g.procs {
		if x.r != nil && x.disk != nil {
			x.r.Enqueue(func(c *consensus.Replica) {
				if c.IsLeader() {
					f(x)
				}
			})
		}
	}
}

// lose has a zone's nodes answer nobody from a time on, for a while.
func (g *play) lose(at float64, zone string, ms float64) {
	g.c.At(at, func() { g.dead[zone], g.lostAt[zone] = true, at })
	g.c.At(at+ms, func() { g.dead[zone] = false })
	g.backAt = max(g.backAt, at+ms)
	g.ends = max(g.ends, at+ms)
}

// part cuts a zone off from others, or from all: nodes and schedulers.
func (g *play) part(at float64, zone string, others []string, ms float64) {
	cut := func(is bool) {
		for _, o := range others {
			g.cuts[[2]string{zone, o}], g.cuts[[2]string{o, zone}] = is, is
			for _, x := range g.procs {
				for _, y := range g.procs {
					if x.zone == zone && y.zone == o {
						g.c.Cut(x.name, y.name, is)
					}
				}
			}
		}
	}
	g.c.At(at, func() { cut(true) })
	g.c.At(at+ms, func() { cut(false) })
	g.ends = max(g.ends, at+ms)
}

// faults plans what goes wrong: one thing by the seed, and beside it some trouble with processes.
func (g *play) faults() {
	zone := all[g.rng.IntN(len(all))].Name
	others := slices.DeleteFunc([]string{"a", "b", "c", "d"}, func(z string) bool { return z == zone })
	at, ms := begins+2000*g.rng.Float64(), 6000+8000*g.rng.Float64()
	lost := func(z string) bool { return z == zone }
	switch g.v.Seed % 8 {
	case 0, 1:
		g.v.Fault, g.want, g.may = "zone "+zone+" lost", zone, lost
		g.lose(at, zone, ms)
	case 2:
		g.v.Fault, g.want, g.may = "zone "+zone+" cut off", zone, lost
		g.c.At(at, func() { g.lostAt[zone] = at })
		g.part(at, zone, others, ms)
		g.backAt = at + ms
	case 3:
		g.v.Fault, g.may = "zone "+zone+" comes and goes", lost
		for i := range 60 {
			g.lose(at+float64(i)*10000, zone, 5000)
		}
		g.lostAt = map[string]float64{}
	case 4: // no verdict follows from these
		g.v.Fault = "ways from one process and one zone are broken, a fifth of a zone is silent"
		x := g.procs[g.rng.IntN(len(g.procs))]
		g.c.At(at, func() {
			g.broken[[2]string{x.name, zone}] = true
			g.quiet[others[0]] = 2
		})
		g.part(at+500, others[1], others[2:3], ms)
		g.c.At(at+ms, func() { clear(g.broken); clear(g.quiet) })
	case 5:
		g.v.Fault, g.may = "zone "+zone+" lost, leaders killed", lost
		g.lose(at, zone, ms)
		for range 2 {
			g.c.At(at+3500*g.rng.Float64(), func() { g.leads(func(x *proc) { g.c.At(g.c.TrueTime()+1, func() { x.kill(2500) }) }) })
		}
	case 6:
		g.v.Fault, g.may = "two stewards stopped, zone "+zone+" lost", lost
		g.c.At(at, func() { g.procs[0].p.Pause(); g.procs[1].p.Pause() })
		g.c.At(at+10000, func() { g.procs[0].p.Resume(); g.procs[1].p.Resume() })
		g.lose(at+1000, zone, 15000)
	case 7:
		g.v.Fault, g.may = "regions cut from each other", func(string) bool { return true }
		for _, z := range []string{"a", "b"} {
			g.part(at, z, []string{"c", "d"}, ms)
		}
	}
	if g.v.Seed%8 == 0 { // undisturbed: the time that it takes
		return
	}
	if g.rng.IntN(3) == 0 { // many processes are killed in the midst of it
		g.c.At(at+ms/2, func() {
			for _, x := range g.procs {
				if g.rng.IntN(10) < 7 {
					x.kill(500 + 1500*g.rng.Float64())
				}
			}
		})
	}
	if g.rng.IntN(3) == 0 { // all are stopped and let go
		g.c.At(at+ms/3, func() {
			for _, x := range g.procs {
				x.p.Pause()
			}
		})
		g.c.At(at+ms/3+4000, func() {
			for _, x := range g.procs {
				x.p.Resume()
			}
		})
	}
}

// Seeds plays the seeds from a to b, the latter left out, so many at a time.
func Seeds(ctx context.Context, a, b uint64, workers int, plant Plant) []Verdict {
	return slices.DeleteFunc(seeds.Each(ctx, a, b, workers, func(seed uint64) Verdict { return Play(seed, plant) }),
		func(v Verdict) bool { return v.Fault == "" && v.Broken == "" })
}

// Times are the times to leave a lost zone, and to be as before, of all seeds that had them; sorted.
func Times(vs []Verdict) (left, back []float64) {
	for _, v := range vs {
		if v.Left > 0 {
			left = append(left, v.Left)
		}
		if v.Back > 0 {
			back = append(back, v.Back)
		}
	}
	slices.Sort(left)
	slices.Sort(back)
	return left, back
}

// At gives a quantile of sorted figures.
func At(sorted []float64, q float64) float64 {
	if len(sorted) == 0 {
		return math.NaN()
	}
	return sorted[min(len(sorted)-1, int(q*float64(len(sorted))))]
}
