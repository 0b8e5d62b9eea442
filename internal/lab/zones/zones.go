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
	lab "ravenpond/internal/lab/consensus"
	"ravenpond/internal/lab/seeds"
	"ravenpond/internal/lab/sim"
)

// Times in ms, and sizes.
const (
	faultsFrom     = 6000 // of faults: by then there is a book
	settleTime     = 40000
	checkInterval  = 50
	reportInterval = 250  // between two sums
	silenceTimeout = 1000 // after which a node that is not heard counts as silent
	maxStaleness   = consensus.Lease*1.03 + 200

	nodesPerZone = 10
	zoneCapacity = 640.0 // cores of a zone
)

var zoneList = []zones.Location{{Name: "a", Region: "one"}, {Name: "b", Region: "one"}, {Name: "c", Region: "two"}, {Name: "d", Region: "two"}}

// Faults is a fault planted in the program, to see that it is found.
type Faults struct {
	SingleWitness  bool // the word of one other zone closes a zone
	StaleVerdicts  bool // what the book last said counts for ever
	UncappedShares bool // shares of the plan are not kept to
}

// Result is what came of a seed.
type Result struct {
	Seed       uint64
	Failure    string
	Fault      string
	Closings   int
	Evacuation float64 // ms from the loss of a zone until all who could know had left it
	Recovery   float64 // ms from its return until all sent there as before
}

type simulation struct {
	result      Result
	faulty      Faults
	clock       *sim.Clock
	rng         *rand.Rand
	processes   []*process
	voters      []string
	lostZones   map[string]bool       // zones whose nodes answer nobody
	silentNodes map[string]int        // nodes of a zone that answer nobody
	zoneCuts    map[[2]string]bool    // ways from zone to zone that are cut
	brokenLinks map[[2]string]bool    // ways from a process to a zone
	lastHeard   map[[2]string]float64 // when a process last heard a zone
	closedSince map[string]float64    // since when zones are closed in a book that somebody holds
	load        float64               // part of all room
	usedCores   map[string]float64    // cores in use by zone
	lostAt      map[string]float64
	restoredAt  float64
	targetZone  string // the zone that is to be left
	faultsUntil float64
	mayClose    func(zone string) bool // a zone may be closed, for what has happened to it
}

type process struct {
	sim         *simulation
	name        string
	zone        string
	host        *sim.Process
	incarnation uint64
	runner      *control.Runner
	reach       *zones.Selector
	shares      map[string]float64
	placed      map[string]float64
	disk        *lab.Disk

	leaseValid      bool
	lastValidShares map[string]float64
}

// Play plays a seed.
func Play(seed uint64, plant Faults) (v Result) {
	g := &simulation{
		result: Result{Seed: seed}, faulty: plant, clock: sim.NewClock(seed), rng: rand.New(rand.NewPCG(seed, 0x20e5)), lostZones: map[string]bool{}, silentNodes: map[string]int{},
		zoneCuts: map[[2]string]bool{}, brokenLinks: map[[2]string]bool{}, lastHeard: map[[2]string]float64{}, closedSince: map[string]float64{}, usedCores: map[string]float64{}, lostAt: map[string]float64{},
		mayClose: func(string) bool { return false },
	}
	defer func() {
		if p := recover(); p != nil {
			g.fail(fmt.Sprintf("panic: %v\n%s", p, debug.Stack()))
		}
		v = g.result
	}()
	number := 8 + g.rng.IntN(5)
	g.load = 0.35 + 0.4*g.rng.Float64()
	g.voters = []string{"p0", "p1", "p2"} // of three zones
	for i := range number {
		x := &process{sim: g, name: fmt.Sprint("p", i), zone: zoneList[i%len(zoneList)].Name, placed: map[string]float64{}, shares: map[string]float64{}}
		x.host = g.clock.NewProcess(x.name)
		if i < len(g.voters) {
			x.disk = &lab.Disk{}
		}
		g.processes = append(g.processes, x)
	}
	for _, x := range g.processes {
		x.start()
	}
	g.faultsUntil = faultsFrom
	g.scheduleFaults()
	for at := 0.0; at < g.faultsUntil+settleTime && g.result.Failure == ""; at += checkInterval {
		g.clock.RunUntil(at)
		g.checkVerdicts()
		g.placeLoad()
	}
	if g.result.Failure == "" {
		g.checkFinalState()
	}
	return g.result
}

func (g *simulation) fail(what string) {
	if g.result.Failure == "" {
		g.result.Failure = fmt.Sprintf("at %.0f ms, %s: %s", g.clock.TrueTime(), g.result.Fault, what)
	}
}

func (x *process) start() {
	g := x.sim
	x.incarnation++
	var names []string
	for _, z := range zoneList {
		names = append(names, z.Name)
	}
	site := control.ZoneConfig{Zones: names, Latency: func(from, to string) float64 {
		if (from < "c") == (to < "c") {
			return 1
		}
		return 10
	}, Controller: zones.Controller{FaultSingleZone: g.faulty.SingleWitness}}
	var err error
	who := consensus.Config{Zone: x.zone, Incarnation: x.incarnation, Voters: g.voters}
	if x.runner, err = lab.Begin(x.host, g.rng.Uint64(), who, x.disk, site); err != nil {
		g.fail(err.Error())
		return
	}
	x.leaseValid, x.lastValidShares, x.shares = false, nil, map[string]float64{}
	x.reach = &zones.Selector{OwnZone: x.zone, Zones: zoneList, LocalityAware: true, FaultIgnoreLease: g.faulty.StaleVerdicts}
	life := x.incarnation
	var sense func()
	sense = func() {
		if x.incarnation == life && x.runner != nil {
			x.runner.Report(x.zoneReport())
			x.host.After(reportInterval, sense)
		}
	}
	x.host.After(reportInterval*g.rng.Float64(), sense)
}

// reaches tells whether nodes of a zone answer a process now.
func (x *process) reaches(zone string) bool {
	g := x.sim
	return !g.lostZones[zone] && !g.zoneCuts[[2]string{x.zone, zone}] && !g.brokenLinks[[2]string{x.name, zone}]
}

// zoneReport is what a process hears of the zones: silence shows after a while.
func (x *process) zoneReport() map[string]zones.Summary {
	g, sums := x.sim, map[string]zones.Summary{}
	for _, z := range zoneList {
		s := zones.Summary{Nodes: nodesPerZone, Capacity: zoneCapacity, Used: g.usedCores[z.Name]}
		if g.clock.TrueTime()-g.lastHeard[[2]string{x.name, z.Name}] < silenceTimeout {
			s.Reachable = nodesPerZone - g.silentNodes[z.Name]
		}
		sums[z.Name] = s
	}
	return sums
}

// placeLoad has each process place its part of the load by where it may: near, and where there is room.
func (g *simulation) placeLoad() {
	now := g.clock.TrueTime()
	used := map[string]float64{}
	for _, x := range g.processes {
		if x.runner == nil {
			continue
		}
		for _, z := range zoneList {
			if x.reaches(z.Name) {
				g.lastHeard[[2]string{x.name, z.Name}] = now
			}
		}
		if x.host.Paused() {
			for z, c := range x.placed {
				used[z] += c
			}
			continue
		}
		view := x.runner.View()
		sure := x.host.Now() < view.LeaseExpiry
		sums := x.zoneReport()
		if x.leaseValid { // what it sent to when it was sure last
			x.lastValidShares = x.shares
		}
		x.leaseValid = sure
		was := x.lastValidShares
		x.shares = x.reach.Update(zones.Input{Now: x.host.Now(), State: view.State, LeaseValid: sure, Summaries: sums, OwnCores: x.placed, Processes: view.State.ActiveProcesses(x.zone)})
		if g.faulty.UncappedShares && sure && view.State.Zone(x.zone).State == clusterstate.Closed {
			for z := range x.shares {
				if view.State.Zone(z).State == clusterstate.Open {
					x.shares[z] = 1
				}
			}
		}
		g.checkShares(x, view, sure, was)
		demand := g.load * zoneCapacity * float64(len(zoneList)) / float64(len(g.processes))
		weight := 0.0
		for z, part := range x.shares {
			if x.reaches(z) {
				weight += part * max(0, zoneCapacity-g.usedCores[z])
			}
		}
		total := 0.0
		for z := range x.placed {
			total += x.placed[z]
		}
		for _, z := range zoneList { // a fiftieth of the work ends in a look, as much and what is missing begins
			c := x.placed[z.Name] * 0.98
			if !x.reaches(z.Name) {
				c = x.placed[z.Name] * 0.9
			}
			if part := x.shares[z.Name]; part > 0 && x.reaches(z.Name) && weight > 0 {
				c += min(0.1*demand, max(0, demand-0.98*total)) * part * max(0, zoneCapacity-g.usedCores[z.Name]) / weight
			}
			x.placed[z.Name] = c
			used[z.Name] += c
		}
	}
	g.usedCores = used
}

// checkShares holds what a process does against what it must not do.
func (g *simulation) checkShares(x *process, view *control.View, sure bool, was map[string]float64) {
	for _, z := range zoneList {
		part := x.shares[z.Name]
		if at, ok := g.closedSince[z.Name]; ok && part > 0 && g.clock.TrueTime()-at > maxStaleness && (sure || z.Name != x.zone && was[z.Name] == 0) {
			g.fail(fmt.Sprintf("%s of %s sends to %s, closed for %.0f ms; sure %v", x.name, x.zone, z.Name, g.clock.TrueTime()-at, sure))
		}
		plan, _ := view.State.Plan()
		if home := view.State.Zone(x.zone); home.State == clusterstate.Closed && plan > home.Version && z.Name != x.zone && part > 0 { // it keeps to its share
			if most := float64(view.State.Share(x.zone, z.Name)) / float64(view.State.ActiveProcesses(x.zone)); x.placed[z.Name] > most {
				g.fail(fmt.Sprintf("%s of %s uses %.0f cores of %s, its share is %.0f, and sends more", x.name, x.zone, x.placed[z.Name], z.Name, most))
			}
		}
		if !sure && was != nil && part > was[z.Name]+1e-9 && z.Name != x.zone && was[z.Name] == 0 {
			g.fail(fmt.Sprintf("%s is not sure and opens %s", x.name, z.Name))
		}
	}
}

// checkVerdicts holds the verdicts against what has happened.
func (g *simulation) checkVerdicts() {
	now := g.clock.TrueTime()
	var newest *clusterstate.State
	for _, x := range g.processes {
		if x.runner != nil && (newest == nil || x.runner.View().State.Version() > newest.Version()) {
			newest = x.runner.View().State
		}
	}
	if newest == nil {
		return
	}
	closed := 0
	for _, z := range zoneList {
		s := newest.Zone(z.Name).State
		if s == clusterstate.Closed {
			closed++
			if _, ok := g.closedSince[z.Name]; !ok {
				g.closedSince[z.Name] = now
				g.result.Closings++
				if !g.mayClose(z.Name) {
					g.fail(fmt.Sprintf("zone %s was closed (%s), use %.0f", z.Name, newest.Zone(z.Name).Cause, g.usedCores[z.Name]))
				}
			}
		} else {
			delete(g.closedSince, z.Name)
		}
		if g.usedCores[z.Name] > 0.95*zoneCapacity && g.load < 0.55 {
			g.fail(fmt.Sprintf("zone %s is filled to %.2f at a load of %.2f", z.Name, g.usedCores[z.Name]/zoneCapacity, g.load))
		}
	}
	if closed > len(zoneList)/2 {
		g.fail(fmt.Sprintf("%d of %d zones are closed", closed, len(zoneList)))
	}
	if at, ok := g.lostAt[g.targetZone]; ok && g.result.Evacuation == 0 && g.evacuated(g.targetZone) {
		g.result.Evacuation = now - at
	}
	if g.restoredAt > 0 && now > g.restoredAt && g.result.Recovery == 0 && g.recovered() {
		g.result.Recovery = now - g.restoredAt
	}
}

// evacuated tells whether all who run and are not cut off with a zone send nothing there.
func (g *simulation) evacuated(zone string) bool {
	for _, x := range g.processes {
		knows := x.runner != nil && !x.host.Paused() && x.runner.View().State.Version() > 0 // who has just begun hears of it first
		if knows && !(x.zone == zone && !g.lostZones[zone]) && x.shares[zone] > 0 {
			return false
		}
	}
	_, shut := g.closedSince[zone]
	return shut
}

// recovered tells whether all send to their own zones again, wholly.
func (g *simulation) recovered() bool {
	for _, x := range g.processes {
		if x.runner == nil || x.shares[x.zone] < 1 || x.host.Now() >= x.runner.View().LeaseExpiry {
			return false
		}
	}
	return len(g.closedSince) == 0
}

// checkFinalState holds that all is as before.
func (g *simulation) checkFinalState() {
	switch {
	case !g.recovered() && g.result.Closings < 3: // one that came and went rests for long
		g.fail(fmt.Sprintf("not as before: closed %v", g.closedSince))
	case g.targetZone != "" && g.result.Evacuation == 0:
		g.fail("the lost zone was not left by all")
	}
}

func (x *process) kill(back float64) {
	if x.runner == nil {
		return
	}
	x.runner = nil
	x.placed = map[string]float64{}
	x.host.Kill(false)
	x.sim.clock.At(x.sim.clock.TrueTime()+back, func() {
		x.host.Start()
		x.start()
	})
}

// eachLeader is the leader, if there is one.
func (g *simulation) eachLeader(f func(x *process)) {
	for _, x := range g.processes {
		if x.runner != nil && x.disk != nil {
			x.runner.Enqueue(func(c *consensus.Replica) {
				if c.IsLeader() {
					f(x)
				}
			})
		}
	}
}

// loseZone has a zone's nodes answer nobody from a time on, for a while.
func (g *simulation) loseZone(at float64, zone string, ms float64) {
	g.clock.At(at, func() { g.lostZones[zone], g.lostAt[zone] = true, at })
	g.clock.At(at+ms, func() { g.lostZones[zone] = false })
	g.restoredAt = max(g.restoredAt, at+ms)
	g.faultsUntil = max(g.faultsUntil, at+ms)
}

// partition cuts a zone off from others, or from all: nodes and schedulers.
func (g *simulation) partition(at float64, zone string, others []string, ms float64) {
	cut := func(is bool) {
		for _, o := range others {
			g.zoneCuts[[2]string{zone, o}], g.zoneCuts[[2]string{o, zone}] = is, is
			for _, x := range g.processes {
				for _, y := range g.processes {
					if x.zone == zone && y.zone == o {
						g.clock.Cut(x.name, y.name, is)
					}
				}
			}
		}
	}
	g.clock.At(at, func() { cut(true) })
	g.clock.At(at+ms, func() { cut(false) })
	g.faultsUntil = max(g.faultsUntil, at+ms)
}

// scheduleFaults plans what goes wrong: one thing by the seed, and beside it some trouble with processes.
func (g *simulation) scheduleFaults() {
	zone := zoneList[g.rng.IntN(len(zoneList))].Name
	others := slices.DeleteFunc([]string{"a", "b", "c", "d"}, func(z string) bool { return z == zone })
	at, ms := faultsFrom+2000*g.rng.Float64(), 6000+8000*g.rng.Float64()
	lost := func(z string) bool { return z == zone }
	switch g.result.Seed % 8 {
	case 0, 1:
		g.result.Fault, g.targetZone, g.mayClose = "zone "+zone+" lost", zone, lost
		g.loseZone(at, zone, ms)
	case 2:
		g.result.Fault, g.targetZone, g.mayClose = "zone "+zone+" cut off", zone, lost
		g.clock.At(at, func() { g.lostAt[zone] = at })
		g.partition(at, zone, others, ms)
		g.restoredAt = at + ms
	case 3:
		g.result.Fault, g.mayClose = "zone "+zone+" comes and goes", lost
		for i := range 60 {
			g.loseZone(at+float64(i)*10000, zone, 5000)
		}
		g.lostAt = map[string]float64{}
	case 4: // no verdict follows from these
		g.result.Fault = "ways from one process and one zone are broken, a fifth of a zone is silent"
		x := g.processes[g.rng.IntN(len(g.processes))]
		g.clock.At(at, func() {
			g.brokenLinks[[2]string{x.name, zone}] = true
			g.silentNodes[others[0]] = 2
		})
		g.partition(at+500, others[1], others[2:3], ms)
		g.clock.At(at+ms, func() { clear(g.brokenLinks); clear(g.silentNodes) })
	case 5:
		g.result.Fault, g.mayClose = "zone "+zone+" lost, leaders killed", lost
		g.loseZone(at, zone, ms)
		for range 2 {
			g.clock.At(at+3500*g.rng.Float64(), func() { g.eachLeader(func(x *process) { g.clock.At(g.clock.TrueTime()+1, func() { x.kill(2500) }) }) })
		}
	case 6:
		g.result.Fault, g.mayClose = "two stewards stopped, zone "+zone+" lost", lost
		g.clock.At(at, func() { g.processes[0].host.Pause(); g.processes[1].host.Pause() })
		g.clock.At(at+10000, func() { g.processes[0].host.Resume(); g.processes[1].host.Resume() })
		g.loseZone(at+1000, zone, 15000)
	case 7:
		g.result.Fault, g.mayClose = "regions cut from each other", func(string) bool { return true }
		for _, z := range []string{"a", "b"} {
			g.partition(at, z, []string{"c", "d"}, ms)
		}
	}
	if g.result.Seed%8 == 0 { // undisturbed: the time that it takes
		return
	}
	if g.rng.IntN(3) == 0 { // many processes are killed in the midst of it
		g.clock.At(at+ms/2, func() {
			for _, x := range g.processes {
				if g.rng.IntN(10) < 7 {
					x.kill(500 + 1500*g.rng.Float64())
				}
			}
		})
	}
	if g.rng.IntN(3) == 0 { // all are stopped and let go
		g.clock.At(at+ms/3, func() {
			for _, x := range g.processes {
				x.host.Pause()
			}
		})
		g.clock.At(at+ms/3+4000, func() {
			for _, x := range g.processes {
				x.host.Resume()
			}
		})
	}
}

// Seeds plays the seeds from a to b, the latter left out, so many at a time.
func Seeds(ctx context.Context, a, b uint64, workers int, plant Faults) []Result {
	return slices.DeleteFunc(seeds.Run(ctx, a, b, workers, func(seed uint64) Result { return Play(seed, plant) }),
		func(v Result) bool { return v.Fault == "" && v.Failure == "" })
}

// RecoveryTimes are the times to leave a lost zone, and to be as before, of all seeds that had them; sorted.
func RecoveryTimes(vs []Result) (left, back []float64) {
	for _, v := range vs {
		if v.Evacuation > 0 {
			left = append(left, v.Evacuation)
		}
		if v.Recovery > 0 {
			back = append(back, v.Recovery)
		}
	}
	slices.Sort(left)
	slices.Sort(back)
	return left, back
}

// Quantile gives a quantile of sorted figures.
func Quantile(sorted []float64, q float64) float64 {
	if len(sorted) == 0 {
		return math.NaN()
	}
	return sorted[min(len(sorted)-1, int(q*float64(len(sorted))))]
}
