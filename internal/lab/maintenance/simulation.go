// Package maintenance simulates the maintenance windows of a month on a virtual clock. Several scheduler processes with skewed clocks run the real
// engine, maintenance controller and codecs against the stand-in nodes' model, with failures drawn from a seed. The time between windows is skipped,
// as nothing happens there that affects windows.
package maintenance

import (
	"cmp"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"ravenpond/internal/decide/calendar"
	"ravenpond/internal/lab/agenda"
	"ravenpond/internal/standin"
	"ravenpond/logic"
)

// Fault names a fault that is injected into a run. The checks must find it.
type Fault string

// Faults that can be injected.
const (
	None               Fault = ""
	NoClockGuard       Fault = "no clock guard"
	OverlapsPerProcess Fault = "overlap checked per process"
	NoRecall           Fault = "attempts not recalled"
)

// Month is the configuration of a simulation.
type Month struct {
	Seed      uint64
	Days      int
	Processes int
	Fault     Fault
}

// Report is the outcome of a simulation.
type Report struct {
	Windows, Kept, Postponed, Refused int
	Offers, Starts, MovedOff          int
	Restarts, Lost                    int
	LatePlacements                    int // offers or starts at a node after its drain grace
	Overlaps                          int // checks at which more nodes were draining than the limits allow
	Trace                             uint64
	FirstFailure                      string // the first violation of any kind
}

const (
	guardBand    = 4 * time.Second
	maxSkew      = 3500.0 // ms by which a process's clock may be off, below guardBand
	drainGrace   = 2000.0 // ms
	stepLength   = 20.0   // ms
	zoneCount    = 3
	cellsPerZone = 8
	nodesPerCell = 5
	jobClasses   = 3
)

var epoch = time.Date(2026, 3, 2, 0, 0, 0, 0, time.UTC)

var limits = calendar.Limits{Fleet: 0.15, Zone: 0.25, Kind: 0.2, MaxWarmingUp: 20, WarmUp: 30 * time.Second, LoadMargin: 1, ClockGuard: guardBand}

// simulation is a simulation that is running, with the true state of the cluster.
type simulation struct {
	Month
	rng       *rand.Rand
	now       float64 // ms since epoch
	nodes     []*simNode
	processes []*process
	fleet     []calendar.Node
	plan      []calendar.Verdict // of the whole calendar and the true fleet
	calendar  *calendar.Calendar
	events    agenda.Queue[func()]
	report    Report
	trace     xxhash.Digest
	nextID    uint64
}

// schedule schedules a function to run after ms.
func (w *simulation) schedule(ms float64, run func()) {
	w.events.Add(w.now+ms, run)
}

// sendDelayed schedules the delivery of a message after a random network delay.
func (w *simulation) sendDelayed(run func()) { w.schedule(0.3+w.rng.Float64()*20, run) }

// tracef adds a line to the trace, of which only the hash is kept.
func (w *simulation) tracef(format string, args ...any) {
	fmt.Fprintf(&w.trace, "%.3f ", w.now)
	fmt.Fprintf(&w.trace, format+"\n", args...)
}

// fail counts a violation, and keeps the description of the first one.
func (w *simulation) fail(count *int, format string, args ...any) {
	*count++
	if w.report.FirstFailure == "" {
		w.report.FirstFailure = epoch.Add(time.Duration(w.now*1e6)).Format(time.DateTime) + ": " + fmt.Sprintf(format, args...)
	}
}

// Play runs the simulation.
func (r Month) Play() Report {
	w := &simulation{Month: r, rng: rand.New(rand.NewPCG(r.Seed, 41))}
	w.trace.Reset()
	w.build()
	w.drawFaults()
	for _, at := range w.activeSpans() {
		w.skipTo(at[0])
		for w.now < at[1] {
			w.advance()
		}
	}
	w.report.Trace = w.trace.Sum64()
	for _, p := range w.processes {
		w.report.MovedOff += p.evicted
	}
	return w.report
}

// build creates the nodes, the calendar and its plan, and starts the processes.
func (w *simulation) build() {
	w.addNodes()
	w.drawWindows()
	w.applyPlan()
	for i := range w.Processes {
		p := &process{
			sim: w, index: i, skew: (2*w.rng.Float64() - 1) * maxSkew, store: &memoryStore{calendar: w.calendarFor(i)},
			lostNodes: map[string]bool{},
		}
		w.processes = append(w.processes, p)
		p.start()
	}
}

func (w *simulation) addNodes() {
	for z := range zoneCount {
		for c := range cellsPerZone {
			for i := range nodesPerCell {
				s := &simNode{sim: w, id: uint32(len(w.nodes) + 1), zone: z, cell: z*cellsPerZone + c, kind: (c + i) % 2, incarnation: 1}
				mk := standin.MachineConfig{
					Cores: 32, Memory: 64, CoresLimit: 2, MemoryLimit: 2, InspectTime: 150, QueueLimit: 30, ConcurrentStarts: 3, ProgramMissFactor: 4,
					ProgramCacheSize: 6, WarmupPace: 0.2, WarmupDuration: 8000, OverloadFactor: 1e9, OverloadWindow: 1000, SlowStartLimit: 1 << 30,
				}
				for job := range jobClasses { // at-most-once tasks start so slowly that attempts wait for seconds
					mk.JobProfiles = append(mk.JobProfiles, standin.JobProfile{StartWork: 150 + 1650*float64(job/2), MeanRuntime: 30000, MeanUse: 0.5})
				}
				s.machine = standin.NewMachine(mk, s, standin.NewGroup(), w.rng.Uint64(), 0, false)
				w.nodes = append(w.nodes, s)
				w.fleet = append(w.fleet, calendar.Node{
					ID: strconv.Itoa(int(s.id)), Zone: fmt.Sprint("z", z), Cell: fmt.Sprint("c", s.cell),
					Kind: fmt.Sprint("k", s.kind), Cores: 32, Memory: 64,
				})
			}
		}
	}
}

// drawWindows draws the maintenance windows. Most are close to others, so that many overlap and some are back to back.
func (w *simulation) drawWindows() {
	w.calendar = &calendar.Calendar{Protected: []calendar.ProtectedTime{{
		ID: "deadline", Start: epoch.Add((6*24 + 18) * time.Hour),
		Duration: 5 * time.Hour, Lead: time.Hour, Rule: "FREQ=WEEKLY",
	}}}
	for i := range w.Days * 6 {
		start := epoch.Add(time.Duration(w.rng.IntN(w.Days)) * 24 * time.Hour).Add(time.Duration(w.rng.IntN(4)) * 21 * time.Minute)
		win := calendar.Window{
			ID: fmt.Sprintf("w%03d", i), Scope: calendar.Cell, Target: fmt.Sprint("c", w.rng.IntN(zoneCount*cellsPerZone)),
			Start: start, Duration: 20 * time.Minute, Lead: time.Minute, Slack: time.Duration(w.rng.IntN(3)) * 30 * time.Minute,
			Priority: w.rng.IntN(3), Ending: calendar.Ending(w.rng.IntN(2)),
		}
		if w.rng.IntN(3) == 0 {
			win.Scope, win.Target = calendar.OneNode, strconv.Itoa(1+w.rng.IntN(len(w.nodes)))
		}
		if w.rng.IntN(8) == 0 {
			win.Rule = "FREQ=WEEKLY"
		}
		w.calendar.Windows = append(w.calendar.Windows, win)
	}
}

// applyPlan plans the windows for the true fleet, and stores at each node when it is in maintenance.
func (w *simulation) applyPlan() {
	w.plan = calendar.Plan(w.calendar, w.fleet, limits, nil, epoch, epoch.AddDate(0, 0, w.Days))
	for _, v := range w.plan {
		w.report.Windows++
		switch v.Outcome {
		case calendar.Kept:
			w.report.Kept++
		case calendar.Postponed:
			w.report.Postponed++
		case calendar.Refused:
			w.report.Refused++
			continue
		}
		for _, n := range v.Nodes {
			id, _ := strconv.Atoi(n)
			s := w.nodes[id-1]
			s.maintenance = append(s.maintenance, [2]float64{ms(v.DrainStart), ms(v.End)})
		}
	}
}

// calendarFor returns the calendar of a process: the whole one, or with the fault OverlapsPerProcess a part of its own, so that each process checks for
// overlaps within its part only.
func (w *simulation) calendarFor(process int) *calendar.Calendar {
	if w.Fault != OverlapsPerProcess {
		return w.calendar
	}
	part := &calendar.Calendar{Protected: w.calendar.Protected}
	for i, win := range w.calendar.Windows {
		if i%w.Processes == process {
			part.Windows = append(part.Windows, win)
		}
	}
	return part
}

// ms converts a time to ms since epoch.
func ms(t time.Time) float64 { return float64(t.Sub(epoch)) / 1e6 }

// drawFaults schedules failures within 2 s of the start of the windows' drains, where they are most likely to cause violations: a process is down, the
// nodes of a zone are lost, or a process is paused.
func (w *simulation) drawFaults() {
	for _, v := range w.plan {
		if v.Outcome == calendar.Refused {
			continue
		}
		at := ms(v.DrainStart) + (w.rng.Float64()-0.5)*4000
		if v.ScheduledStart.IsZero() || at < 1000 {
			continue
		}
		switch w.rng.IntN(6) {
		case 0:
			p, downTime := w.processes[w.rng.IntN(w.Processes)], 500+w.rng.Float64()*5000
			w.schedule(at, func() { p.stop() })
			w.schedule(at+downTime, func() { p.start() })
		case 1:
			zone := w.rng.IntN(zoneCount)
			w.schedule(at, func() { w.loseZone(zone) })
		case 2:
			p := w.processes[w.rng.IntN(w.Processes)]
			w.schedule(at, func() { p.pausedUntil, p.unresponsiveUntil = w.now+3000, w.now+6000 })
		}
	}
}

// activeSpans returns the merged spans of true time, in ms, around the drain start, the start and the end of each window.
func (w *simulation) activeSpans() (all [][2]float64) {
	for _, v := range w.plan {
		if v.Outcome != calendar.Refused {
			all = append(all, [2]float64{ms(v.DrainStart) - 9000, ms(v.DrainStart) + 14000}, [2]float64{ms(v.Start) - 2000, ms(v.Start) + 1000},
				[2]float64{ms(v.End) - 5000, ms(v.End) + 7000})
		}
	}
	slices.SortFunc(all, func(x, y [2]float64) int { return cmp.Compare(x[0], y[0]) })
	merged := all[:0]
	for _, s := range all {
		if n := len(merged); n > 0 && s[0] <= merged[n-1][1] {
			merged[n-1][1] = max(merged[n-1][1], s[1])
		} else {
			merged = append(merged, s)
		}
	}
	return merged
}

// skipTo skips time in which no window begins or ends. Events that are due meanwhile run in their order.
func (w *simulation) skipTo(to float64) {
	for at, run, ok := w.events.Next(to); ok; at, run, ok = w.events.Next(to) {
		w.now = max(w.now, at)
		run()
	}
	if to > w.now {
		w.now = to
	}
	for _, s := range w.nodes {
		s.machine.Advance(w.now)
	}
	for _, p := range w.processes {
		p.nextRound, p.nextTick = w.now, w.now
	}
}

// advance advances true time by one step.
func (w *simulation) advance() {
	w.now += stepLength
	for _, run, ok := w.events.Next(w.now); ok; _, run, ok = w.events.Next(w.now) {
		run()
	}
	for _, s := range w.nodes {
		if s.machine.NextEvent() <= w.now {
			s.machine.Advance(w.now)
		}
	}
	for _, p := range w.processes {
		if p.down || w.now < p.pausedUntil {
			continue
		}
		if w.rng.Float64() < 0.12*stepLength/20 {
			p.request()
		}
		if w.now >= p.nextTick {
			p.nextTick = w.now + 1000
			p.tickController()
		}
		if w.now >= p.nextRound {
			p.engine.Round(p.clock())
			p.nextRound = w.now + max(stepLength, min(100, p.engine.NextRound()-p.clock()))
		}
	}
	if math.Mod(w.now, 500) < stepLength {
		w.checkOverlaps()
	}
}

// checkOverlaps checks the nodes that any process is draining against the limits and the protected times.
func (w *simulation) checkOverlaps() {
	draining, zone, kind := 0, [zoneCount]int{}, [2]int{}
	for _, s := range w.nodes {
		for _, p := range w.processes {
			if p.draining[s.id] && !p.down {
				draining++
				zone[s.zone]++
				kind[s.kind]++
				break
			}
		}
	}
	n := len(w.nodes)
	switch {
	case float64(draining) > limits.Fleet*float64(n):
		w.fail(&w.report.Overlaps, "%d of %d nodes draining at once, more than the limit of the fleet", draining, n)
	case slices.Max(zone[:]) > int(limits.Zone*cellsPerZone*nodesPerCell):
		w.fail(&w.report.Overlaps, "%d nodes of one zone draining at once, more than the limit of a zone", slices.Max(zone[:]))
	case slices.Max(kind[:]) > int(limits.Kind*float64(n)/2):
		w.fail(&w.report.Overlaps, "%d nodes of one machine kind draining at once, more than the limit of a kind", slices.Max(kind[:]))
	}
	t := epoch.Add(time.Duration(w.now * 1e6))
	if h := t.Sub(epoch.Add((6*24 + 17) * time.Hour)); draining > 0 && h >= 0 && h%(7*24*time.Hour) < 6*time.Hour {
		w.fail(&w.report.Overlaps, "%d nodes draining in a protected time", draining)
	}
}

// loseZone makes the nodes of a zone unreachable for 6 s. The processes' node lists show the change after 0.5 s to 3.5 s.
func (w *simulation) loseZone(zone int) {
	w.report.Lost++
	w.tracef("zone %d lost", zone)
	for _, s := range w.nodes {
		if s.zone != zone {
			continue
		}
		s.lost = true
		s.machine.Restart(w.now, true)
		for _, p := range w.processes {
			if !p.down {
				p.engine.OnDisconnected(p.clock(), s.id)
			}
		}
	}
	updateLists := func(avail logic.Availability) {
		for _, p := range w.processes {
			w.schedule(500+w.rng.Float64()*3000, func() { p.updateList(zone, avail) })
		}
	}
	updateLists(logic.Unavailable)
	w.schedule(6000, func() {
		for _, s := range w.nodes {
			if s.zone == zone {
				s.lost = false
				s.incarnation++
			}
		}
		updateLists(logic.Ready)
	})
}
