// Package month runs maintenance windows of a month on a virtual clock: several scheduler processes with skewed clocks,
// their real engines, keepers and codecs, and the stand-in nodes' model, with failures drawn from a seed. Time between
// windows is passed over in jumps, as nothing happens there that windows touch.
package month

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

// Plant names a fault that the run must find.
type Plant string

// Faults that can be planted.
const (
	None       Plant = ""
	NoGuard    Plant = "guard band left out"
	PerProcess Plant = "overlap checked per process"
	NoRecall   Plant = "try not recalled"
)

// Run is one month.
type Run struct {
	Seed      uint64
	Days      int
	Processes int
	Plant     Plant
}

// Report is what came of it.
type Report struct {
	Windows, Kept, Postponed, Refused int
	Offers, Starts, Moved             int
	Restarts, Lost                    int
	Late                              int // offers or starts at a node that is out for longer than the grace
	Overlaps                          int // instants at which more was out than may be
	Trace                             uint64
	First                             string // the first break
}

const (
	guard = 4 * time.Second
	skew  = 3500.0 // ms that a clock is off at most, within the guard
	grace = 2000.0
	step  = 20.0
	zones = 3
	cells = 8 // a zone
	each  = 5 // nodes a cell
	jobs  = 3
)

var begin = time.Date(2026, 3, 2, 0, 0, 0, 0, time.UTC)

var limits = calendar.Limits{Fleet: 0.15, Zone: 0.25, Kind: 0.2, MaxWarmingUp: 20, WarmUp: 30 * time.Second, LoadMargin: 1, ClockGuard: guard}

// world is the true state.
type world struct {
	Run
	rng    *rand.Rand
	now    float64 // ms from begin
	nodes  []*spot
	procs  []*proc
	fleet  []calendar.Node
	truth  []calendar.Verdict // of the whole calendar, by the true fleet
	cal    *calendar.Calendar
	events agenda.Agenda[func()]
	rep    Report
	trace  xxhash.Digest
	nextID uint64
}

func (w *world) after(ms float64, run func()) {
	w.events.Add(w.now+ms, run)
}

func (w *world) wire(run func()) { w.after(0.3+w.rng.Float64()*20, run) }

func (w *world) note(format string, args ...any) {
	fmt.Fprintf(&w.trace, "%.3f ", w.now)
	fmt.Fprintf(&w.trace, format+"\n", args...)
}

func (w *world) fail(count *int, format string, args ...any) {
	*count++
	if w.rep.First == "" {
		w.rep.First = begin.Add(time.Duration(w.now*1e6)).Format(time.DateTime) + ": " + fmt.Sprintf(format, args...)
	}
}

// Play runs the month.
func (r Run) Play() Report {
	w := &world{Run: r, rng: rand.New(rand.NewPCG(r.Seed, 41))}
	w.trace.Reset()
	w.build()
	w.draw()
	for _, at := range w.busy() {
		w.jump(at[0])
		for w.now < at[1] {
			w.step()
		}
	}
	w.rep.Trace = w.trace.Sum64()
	for _, p := range w.procs {
		w.rep.Moved += p.moved
	}
	return w.rep
}

func (w *world) build() {
	for z := range zones {
		for c := range cells {
			for i := range each {
				s := &spot{w: w, id: uint32(len(w.nodes) + 1), zone: z, cell: z*cells + c, kind: (c + i) % 2, life: 1}
				mk := standin.MachineConfig{
					Cores: 32, Memory: 64, CoresLimit: 2, MemoryLimit: 2, InspectTime: 150, QueueLimit: 30, ConcurrentStarts: 3, ProgramMissFactor: 4,
					ProgramCacheSize: 6, WarmupPace: 0.2, WarmupDuration: 8000, OverloadFactor: 1e9, OverloadWindow: 1000, SlowStartLimit: 1 << 30,
				}
				for job := range jobs { // run-once ones start so slowly that a try waits for seconds
					mk.JobProfiles = append(mk.JobProfiles, standin.JobProfile{StartWork: 150 + 1650*float64(job/2), MeanRuntime: 30000, MeanUse: 0.5})
				}
				s.m = standin.NewMachine(mk, s, standin.NewGroup(), w.rng.Uint64(), 0, false)
				w.nodes = append(w.nodes, s)
				w.fleet = append(w.fleet, calendar.Node{
					ID: strconv.Itoa(int(s.id)), Zone: fmt.Sprint("z", z), Cell: fmt.Sprint("c", s.cell),
					Kind: fmt.Sprint("k", s.kind), Cores: 32, Memory: 64,
				})
			}
		}
	}
	w.cal = &calendar.Calendar{Protected: []calendar.ProtectedTime{{
		ID: "deadline", Start: begin.Add((6*24 + 18) * time.Hour),
		Duration: 5 * time.Hour, Lead: time.Hour, Rule: "FREQ=WEEKLY",
	}}}
	for i := range w.Days * 6 { // most near others, so that many meet, some back to back: a length and a lead apart
		start := begin.Add(time.Duration(w.rng.IntN(w.Days)) * 24 * time.Hour).Add(time.Duration(w.rng.IntN(4)) * 21 * time.Minute)
		win := calendar.Window{
			ID: fmt.Sprintf("w%03d", i), Scope: calendar.Cell, Target: fmt.Sprint("c", w.rng.IntN(zones*cells)),
			Start: start, Duration: 20 * time.Minute, Lead: time.Minute, Slack: time.Duration(w.rng.IntN(3)) * 30 * time.Minute,
			Priority: w.rng.IntN(3), Ending: calendar.Ending(w.rng.IntN(2)),
		}
		if w.rng.IntN(3) == 0 {
			win.Scope, win.Target = calendar.OneNode, strconv.Itoa(1+w.rng.IntN(len(w.nodes)))
		}
		if w.rng.IntN(8) == 0 {
			win.Rule = "FREQ=WEEKLY"
		}
		w.cal.Windows = append(w.cal.Windows, win)
	}
	w.truth = calendar.Plan(w.cal, w.fleet, limits, nil, begin, begin.AddDate(0, 0, w.Days))
	for _, v := range w.truth {
		w.rep.Windows++
		switch v.Outcome {
		case calendar.Kept:
			w.rep.Kept++
		case calendar.Postponed:
			w.rep.Postponed++
		case calendar.Refused:
			w.rep.Refused++
			continue
		}
		for _, n := range v.Nodes {
			id, _ := strconv.Atoi(n)
			s := w.nodes[id-1]
			s.out = append(s.out, [2]float64{ms(v.DrainStart), ms(v.End)})
		}
	}
	for i := range w.Processes {
		p := &proc{
			w: w, index: i, skew: (2*w.rng.Float64() - 1) * skew, store: &memory{cal: w.calendarFor(i)},
			lostNow: map[string]bool{},
		}
		w.procs = append(w.procs, p)
		p.start()
	}
}

// calendarFor is the whole calendar, unless overlaps are to be looked for by each process in its part alone.
func (w *world) calendarFor(process int) *calendar.Calendar {
	if w.Plant != PerProcess {
		return w.cal
	}
	part := &calendar.Calendar{Protected: w.cal.Protected}
	for i, win := range w.cal.Windows {
		if i%w.Processes == process {
			part.Windows = append(part.Windows, win)
		}
	}
	return part
}

func ms(t time.Time) float64 { return float64(t.Sub(begin)) / 1e6 }

// draw lays the month's failures at the windows' most delicate moments: a process is down when one opens, nodes of a
// hall are lost, another process stands still.
func (w *world) draw() {
	for _, v := range w.truth {
		if v.Outcome == calendar.Refused {
			continue
		}
		at := ms(v.DrainStart) + (w.rng.Float64()-0.5)*4000
		if v.ScheduledStart.IsZero() || at < 1000 {
			continue
		}
		switch w.rng.IntN(6) {
		case 0:
			p, back := w.procs[w.rng.IntN(w.Processes)], 500+w.rng.Float64()*5000
			w.after(at, func() { p.stop() })
			w.after(at+back, func() { p.start() })
		case 1:
			zone := w.rng.IntN(zones)
			w.after(at, func() { w.lose(zone) })
		case 2:
			p := w.procs[w.rng.IntN(w.Processes)]
			w.after(at, func() { p.stuck, p.blind = w.now+3000, w.now+6000 })
		}
	}
}

// busy gives the spans of true time in which windows open or close, merged.
func (w *world) busy() (all [][2]float64) {
	for _, v := range w.truth {
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

// jump passes time in which no window opens or closes; what was due meanwhile happens in its order.
func (w *world) jump(to float64) {
	for at, run, ok := w.events.Next(to); ok; at, run, ok = w.events.Next(to) {
		w.now = max(w.now, at)
		run()
	}
	if to > w.now {
		w.now = to
	}
	for _, s := range w.nodes {
		s.m.Advance(w.now)
	}
	for _, p := range w.procs {
		p.next, p.keepAt = w.now, w.now
	}
}

// step is a step of true time.
func (w *world) step() {
	w.now += step
	for _, run, ok := w.events.Next(w.now); ok; _, run, ok = w.events.Next(w.now) {
		run()
	}
	for _, s := range w.nodes {
		if s.m.NextEvent() <= w.now {
			s.m.Advance(w.now)
		}
	}
	for _, p := range w.procs {
		if p.down || w.now < p.stuck {
			continue
		}
		if w.rng.Float64() < 0.12*step/20 {
			p.ask()
		}
		if w.now >= p.keepAt {
			p.keepAt = w.now + 1000
			p.tick()
		}
		if w.now >= p.next {
			p.eng.Round(p.clock())
			p.next = w.now + max(step, min(100, p.eng.NextRound()-p.clock()))
		}
	}
	if math.Mod(w.now, 500) < step {
		w.overlaps()
	}
}

// overlaps holds what any process has out against the limits.
func (w *world) overlaps() {
	out, zone, kind := 0, [zones]int{}, [2]int{}
	for _, s := range w.nodes {
		for _, p := range w.procs {
			if p.out[s.id] && !p.down {
				out++
				zone[s.zone]++
				kind[s.kind]++
				break
			}
		}
	}
	n := len(w.nodes)
	switch {
	case float64(out) > limits.Fleet*float64(n):
		w.fail(&w.rep.Overlaps, "%d of %d nodes out", out, n)
	case slices.Max(zone[:]) > int(limits.Zone*cells*each):
		w.fail(&w.rep.Overlaps, "%d of a zone out", slices.Max(zone[:]))
	case slices.Max(kind[:]) > int(limits.Kind*float64(n)/2):
		w.fail(&w.rep.Overlaps, "%d of a kind out", slices.Max(kind[:]))
	}
	t := begin.Add(time.Duration(w.now * 1e6))
	if h := t.Sub(begin.Add((6*24 + 17) * time.Hour)); out > 0 && h >= 0 && h%(7*24*time.Hour) < 6*time.Hour {
		w.fail(&w.rep.Overlaps, "%d nodes out at a protected time", out)
	}
}

// lose takes a hall away for a while; the lists hear of it seconds later.
func (w *world) lose(zone int) {
	w.rep.Lost++
	w.note("hall %d lost", zone)
	for _, s := range w.nodes {
		if s.zone != zone {
			continue
		}
		s.lost = true
		s.m.Restart(w.now, true)
		for _, p := range w.procs {
			if !p.down {
				p.eng.OnDisconnected(p.clock(), s.id, "lost")
			}
		}
	}
	tell := func(avail logic.Availability) {
		for _, p := range w.procs {
			w.after(500+w.rng.Float64()*3000, func() { p.list(zone, avail) })
		}
	}
	tell(logic.Unavailable)
	w.after(6000, func() {
		for _, s := range w.nodes {
			if s.zone == zone {
				s.lost = false
				s.life++
			}
		}
		tell(logic.Ready)
	})
}
