// Package month runs maintenance windows of a month on a virtual clock: several scheduler processes with skewed clocks,
// their real engines, keepers and codecs, and the stand-in nodes' model, with failures drawn from a seed. Time between
// windows is passed over in jumps, as nothing happens there that windows touch.
package month

import (
	"bytes"
	"cmp"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"ravenpond/internal/decide/calendar"
	"ravenpond/internal/decide/drainpace"
	"ravenpond/internal/engine"
	"ravenpond/internal/lab/agenda"
	"ravenpond/internal/proto/line"
	"ravenpond/internal/proto/node"
	"ravenpond/internal/standin"
	"ravenpond/internal/upkeep"
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

var limits = calendar.Limits{Fleet: 0.15, Zone: 0.25, Kind: 0.2, Cold: 20, ColdFor: 30 * time.Second, Margin: 1, Guard: guard}

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

// spot is a node.
type spot struct {
	w    *world
	id   uint32
	m    *standin.Machine
	out  [][2]float64 // true times at which it is out, from drain to end
	lost bool
	life uint64
	zone int
	cell int
	kind int
}

// proc is a scheduler process.
type proc struct {
	w       *world
	index   int
	skew    float64
	eng     *engine.Engine
	keep    *upkeep.Keeper
	store   *memory
	out     map[uint32]bool
	down    bool
	life    uint32
	next    float64
	keepAt  float64
	refs    uint64
	moved   int
	lostNow map[string]bool
	stuck   float64 // it stands still until then
	blind   float64 // until then it could not act on its tries that were out: it was down or stood still
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
				mk := standin.Make{Cores: 32, Memory: 64, CoresLimit: 2, MemoryLimit: 2, Look: 150, Line: 30, Starts: 3, NoProgram: 4,
					Programs: 6, ColdFrom: 0.2, ColdFor: 8000, Fall: 1e9, FallFor: 1000, Bears: 1 << 30}
				for job := range jobs { // run-once ones start so slowly that a try waits for seconds
					mk.Work = append(mk.Work, standin.Work{Start: 150 + 1650*float64(job/2), Life: 30000, Use: 0.5})
				}
				s.m = standin.NewMachine(mk, s, standin.NewGroup(), w.rng.Uint64(), 0, false)
				w.nodes = append(w.nodes, s)
				w.fleet = append(w.fleet, calendar.Node{ID: strconv.Itoa(int(s.id)), Zone: fmt.Sprint("z", z), Cell: fmt.Sprint("c", s.cell),
					Kind: fmt.Sprint("k", s.kind), Cores: 32, Memory: 64})
			}
		}
	}
	w.cal = &calendar.Calendar{Protected: []calendar.Protected{{ID: "deadline", Start: begin.Add((6*24 + 18) * time.Hour),
		Last: 5 * time.Hour, Lead: time.Hour, Rule: "FREQ=WEEKLY"}}}
	for i := range w.Days * 6 { // most near others, so that many meet, some back to back: a length and a lead apart
		start := begin.Add(time.Duration(w.rng.IntN(w.Days)) * 24 * time.Hour).Add(time.Duration(w.rng.IntN(4)) * 21 * time.Minute)
		win := calendar.Window{ID: fmt.Sprintf("w%03d", i), Reach: calendar.Cell, Place: fmt.Sprint("c", w.rng.IntN(zones*cells)),
			Start: start, Last: 20 * time.Minute, Lead: time.Minute, Slack: time.Duration(w.rng.IntN(3)) * 30 * time.Minute,
			Priority: w.rng.IntN(3), End: calendar.Ending(w.rng.IntN(2))}
		if w.rng.IntN(3) == 0 {
			win.Reach, win.Place = calendar.OneNode, strconv.Itoa(1+w.rng.IntN(len(w.nodes)))
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
			s.out = append(s.out, [2]float64{ms(v.Drain), ms(v.End)})
		}
	}
	for i := range w.Processes {
		p := &proc{w: w, index: i, skew: (2*w.rng.Float64() - 1) * skew, store: &memory{cal: w.calendarFor(i)},
			lostNow: map[string]bool{}}
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
		at := ms(v.Drain) + (w.rng.Float64()-0.5)*4000
		if v.Nominal.IsZero() || at < 1000 {
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
			all = append(all, [2]float64{ms(v.Drain) - 9000, ms(v.Drain) + 14000}, [2]float64{ms(v.Start) - 2000, ms(v.Start) + 1000},
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
		s.m.Tick(w.now)
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
		if s.m.Next() <= w.now {
			s.m.Tick(w.now)
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
			p.next = w.now + max(step, min(100, p.eng.Next()-p.clock()))
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

// late notes what comes to a node that is out.
func (s *spot) late(what string, ticket uint64) {
	for _, o := range s.out {
		if s.w.now > o[0]+grace+float64(guard)/1e6 && s.w.now < o[1]-float64(guard)/1e6 {
			s.w.fail(&s.w.rep.Late, "%s of %x at node %d, out for %.1f s", what, ticket, s.id, (s.w.now-o[0])/1000)
			return
		}
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
				p.eng.Unlinked(p.clock(), s.id, "lost")
			}
		}
	}
	tell := func(avail logic.Availability) {
		for _, p := range w.procs {
			w.after(500+w.rng.Float64()*3000, func() { p.list(zone, avail) })
		}
	}
	tell(logic.Gone)
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

func (p *proc) clock() float64 { return p.w.now + p.skew + 1e6 } // engines begin well above 0

// start begins a life of the process: its store is what outlived the last.
func (p *proc) start() {
	p.down, p.blind = false, p.w.now+6000
	p.life++
	p.out = map[uint32]bool{}
	p.w.rep.Restarts += int(min(1, p.life-1))
	cl := &logic.Cluster{Schedulers: p.w.Processes, Index: p.index, AskEvery: 1e12, Step: 2, MaxTries: 4, MayRecall: true, MayProbe: true,
		KindCores: []float64{32, 32}, KindMemory: []float64{64, 64}, CoresLimit: 2, MemoryLimit: 2, Report: []string{"x0", "x1"},
		ReportsCome: true, ColdBears: 100, ColdFor: 8000, FallWindow: 1000, MeanCores: 1, MeanMemory: 2, JobTypes: []logic.JobType{
			{Effect: logic.Restartable, Target: 2000, Value: 1, Kind: -1},
			{Effect: logic.Tokened, Group: logic.GroupAll, Window: 8000, Target: 2000, Value: 2, Kind: -1},
			{Effect: logic.RunOnce, Target: 2000, Value: 3, Kind: -1}}}
	p.eng = engine.New(hand{p}, p.clock(), engine.Terms{Cluster: cl, Shares: []float64{1}, Open: 500, Margin: 100, Settle: 3000,
		Life: p.life, Seed: p.w.rng.Uint64()})
	lim := limits
	if p.w.Plant == NoGuard {
		lim.Guard = 0
	}
	p.keep = &upkeep.Keeper{Store: p.store, Hands: hand{p}, Limits: lim, Manners: []drainpace.Manner{drainpace.Late, drainpace.Early, drainpace.RunOut}}
	p.eng.ListBegin(p.clock(), logic.ListCached)
	for _, s := range p.w.nodes {
		p.eng.ListNode(s.id, "x", logic.Ready, 0, 32, 64, s.zone, s.cell, s.kind)
	}
	p.eng.ListEnd()
	p.tick() // what an earlier life took out is known before anything is placed
	p.next, p.keepAt = p.w.now, p.w.now+1000
}

// stop kills the process; its connections break, what it ran runs on.
func (p *proc) stop() {
	p.down, p.blind = true, math.Inf(1)
	p.w.note("process %d down", p.index)
}

func (p *proc) list(zone int, avail logic.Availability) {
	if p.down {
		return
	}
	p.eng.ListBegin(p.clock(), logic.ListChanges)
	for _, s := range p.w.nodes {
		if s.zone == zone {
			p.eng.ListNode(s.id, "x", avail, 0, 32, 64, s.zone, s.cell, s.kind)
			id := strconv.Itoa(int(s.id))
			if delete(p.lostNow, id); avail == logic.Gone {
				p.lostNow[id] = true
			}
		}
	}
	p.eng.ListEnd()
}

// tick is the keeper's look, by the process's own clock.
func (p *proc) tick() {
	now := begin.Add(time.Duration((p.w.now + p.skew) * 1e6))
	if err := p.keep.Tick(now, p.w.fleet, p.lostNow); err != nil {
		panic(err) // the store is in memory
	}
}

func (p *proc) ask() {
	p.refs++
	p.w.nextID++
	job := p.w.rng.IntN(jobs)
	_ = p.eng.Allocate(p.clock(), 1, p.refs, job, 0, uint64(p.w.rng.IntN(12)), p.w.nextID, 1, 2, 8000, 1) // refs are never reused
	p.next = p.w.now
}

// hand is a process's edge and its keeper's hands. What it sends is encoded, travels, and is decoded at the node.
type hand struct{ p *proc }

// send carries a line to a node.
func (h hand) send(nd uint32, b []byte) {
	s, life := h.p.w.nodes[nd-1], h.p.life
	h.p.w.wire(func() {
		if !s.lost && h.p.life == life {
			s.hear(h.p, b)
		}
	})
}

func (h hand) Dial(nd uint32, _ string) {
	p, s, life := h.p, h.p.w.nodes[nd-1], h.p.life
	p.w.wire(func() {
		if p.down || p.life != life {
			return
		}
		if s.lost {
			p.eng.DialFailed(p.clock(), nd, "refused")
			return
		}
		p.eng.Linked(p.clock(), nd, s.life, 0)
		var b []byte
		s.m.Held(p.w.now, p.name(), func(ticket uint64, try uint8, runs bool, job, tenant int, service, token uint64, cores, memory float64) {
			state := 0
			if runs {
				state = 1
			}
			b = node.AppendHeld(b, ticket, try, state, job, tenant, service, token, cores, memory)
		})
		p.hear(s, node.AppendHeldAll(b))
	})
}

func (p *proc) name() string { return strconv.Itoa(p.index) }

func (h hand) Hang(uint32, string) {}
func (h hand) Offer(nd uint32, ticket uint64, try uint8, epoch uint32, timeout float64, jobType, tenant int, service, token uint64,
	cores, memory float64) {
	h.p.w.rep.Offers++
	h.p.w.note("offer %d %x.%d to %d", h.p.index, ticket, try, nd)
	h.send(nd, node.AppendOffer(nil, ticket, try, epoch, h.p.clock(), timeout, jobType, tenant, service, token, cores, memory))
}
func (h hand) Recall(nd uint32, ticket uint64, try uint8) {
	if h.p.w.Plant != NoRecall {
		h.send(nd, node.AppendRecall(nil, ticket, try))
	}
}
func (h hand) Stop(nd uint32, ticket uint64, try uint8) {
	h.send(nd, node.AppendStop(nil, ticket, try))
}
func (h hand) Claim(nd uint32, ticket uint64, try uint8) {
	h.send(nd, node.AppendClaim(nil, ticket, try))
}
func (h hand) Probe(nd uint32, seq uint64) { h.send(nd, node.AppendProbe(nil, seq)) }
func (h hand) Follow(bool)                 {}
func (h hand) Reload()                     {}
func (h hand) Leave(int, uint64, uint32, uint32, uint64, uint8) bool {
	return true
}
func (h hand) Lapsed(uint32, uint64)                     {}
func (h hand) Owned(int, uint64, uint32, uint32, uint64) {}
func (h hand) Known(int, uint64, uint32, bool)           {}
func (h hand) Adopt(int, uint64, int, uint64, float64, float64, uint32, uint64, uint8) (uint32, uint32, uint64, bool) {
	return 1, 0, 0, true
}
func (h hand) Dropped(int, uint64, uint64, uint32)  {}
func (h hand) Final(int, uint64, uint32, bool) bool { return true }
func (h hand) Answer(_ uint32, ref uint64, a engine.Answer, _ uint32, _ string, _ float64) {
	h.p.w.note("answer %d %d %s", h.p.index, ref, a)
}
func (h hand) Over(uint32, uint64, logic.Verdict, logic.Reason) {}
func (h hand) Mode(l string)                                    { h.p.w.note("%d %s", h.p.index, l) }

// Out and the others are the keeper's hands.
func (h hand) Out(nodes []string, out bool) {
	var ids []uint32
	for _, n := range nodes {
		id, _ := strconv.Atoi(n)
		ids = append(ids, uint32(id))
		if delete(h.p.out, uint32(id)); out {
			h.p.out[uint32(id)] = true
		}
	}
	h.p.eng.Calendar(h.p.clock(), ids, out)
}

func (h hand) Running(nodes []string) (there []int, all int) {
	there = make([]int, jobs)
	for _, n := range nodes {
		id, _ := strconv.Atoi(n)
		h.p.eng.Running(uint32(id), there)
	}
	return there, h.p.eng.Stats().Tries
}

func (h hand) MoveOff(nodes []string, job, most int) (n int) {
	may := make([]bool, jobs)
	may[job] = true
	for _, name := range nodes {
		id, _ := strconv.Atoi(name)
		n += h.p.eng.MoveOff(h.p.clock(), uint32(id), may, most-n)
	}
	h.p.moved += n
	return n
}

// hear decodes what came to a node.
func (s *spot) hear(p *proc, b []byte) {
	in := line.NewReader(bytes.NewReader(b))
	for {
		fields, err := in.Next()
		if err != nil {
			return
		}
		if err := node.DecodeScheduler(fields, arrival{s, p}); err != nil {
			panic(err) // our own codec
		}
	}
}

// hear decodes what came to a process.
func (p *proc) hear(s *spot, b []byte) {
	in := line.NewReader(bytes.NewReader(b))
	var buf [node.MaxReport]float64
	for {
		fields, err := in.Next()
		if err != nil {
			return
		}
		if err := node.DecodeNode(fields, reply{p, s}, buf[:]); err != nil {
			p.w.note("%d faults node %d: %v", p.index, s.id, err)
		}
	}
}
