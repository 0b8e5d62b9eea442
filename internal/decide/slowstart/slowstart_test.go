package slowstart

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
)

// simulation runs holders with their own clocks over a network that loses and delays messages, with pauses and restarts. A process that
// holds a lease sends as much as it may at any time; the sum over all processes within a window is compared with the limit.
type simulation struct {
	rng       *rand.Rand
	config    Config
	now       float64
	processes []*process
	cut       map[[2]int]bool
	messages  []message
	maxUsed   float64        // largest fraction of the limit that was used within a window
	usage     [][][2]float64 // by process: times, and the fraction of the limit used at each
	faults    faults
}

// faults breaks what the proof relies on. The zero value injects none.
type faults struct {
	leaseFactor  float64 // grants are counted for this multiple of the lease duration; 0 stands for 1
	countsAlone  bool    // a process ignores the places that the others count
	grantsAtOnce bool    // a new process gets grants at once
	joinsAtOnce  bool    // a restarted process uses the limit at once
}

type process struct {
	holder        *Holder
	place         int
	rate          float64 // of its clock, relative to the simulation's
	clockBase     float64
	startedAt     float64
	downUntil     float64 // end of its downtime, 0 while it is up
	pausedUntil   float64
	inbox         []message
	nextRequestAt float64
	lastAsked     int
	incarnation   int // answers to requests of an earlier incarnation are dropped, as they are with real datagrams
}

type message struct {
	at          float64
	from, to    int
	request     bool
	requestedAt float64
	granted     bool
	counted     PlaceSet
	incarnation int
}

func (p *process) clock(now float64) float64 { return p.clockBase + (now-p.startedAt)*p.rate }

func newSimulation(seed uint64, places, procs int, injected faults) *simulation {
	w := &simulation{
		rng: rand.New(rand.NewPCG(seed, 5)), config: Config{Places: places, LeaseDuration: MinLeaseDuration(places, 200), Window: 1500},
		cut: map[[2]int]bool{}, faults: injected,
	}
	for i := range procs {
		p := &process{place: i}
		w.processes = append(w.processes, p)
		w.usage = append(w.usage, nil)
		w.start(p)
	}
	return w
}

func (w *simulation) start(p *process) {
	p.rate, p.clockBase, p.startedAt = 1+(w.rng.Float64()-0.5)*MaxClockDrift*0.9, 1e6*w.rng.Float64(), w.now
	holderConfig := w.config
	if w.faults.leaseFactor > 0 {
		holderConfig.LeaseDuration *= w.faults.leaseFactor
	}
	p.holder = New(p.clock(w.now), holderConfig, p.place)
	p.holder.config.LeaseDuration = holderConfig.LeaseDuration
	p.inbox, p.nextRequestAt = nil, w.now
	p.incarnation++
	if w.faults.joinsAtOnce {
		p.holder.startedAt = math.Inf(-1)
	}
	if w.faults.grantsAtOnce {
		for i := range p.holder.given {
			p.holder.given[i].countedSince = math.Inf(-1)
		}
	}
}

func (w *simulation) send(m message) {
	if w.cut[[2]int{m.from, m.to}] || w.rng.Float64() < 0.05 {
		return
	}
	m.at = w.now + 0.2 + 20*w.rng.Float64()
	if w.rng.IntN(20) == 0 {
		m.at += 3000 * w.rng.Float64() // one message of 20 arrives very late
	}
	w.messages = append(w.messages, m)
}

// step advances the simulation by 20 ms.
func (w *simulation) step() {
	w.now += 20
	w.deliver()
	for i, p := range w.processes {
		if p.downUntil > w.now || p.pausedUntil > w.now {
			continue
		}
		if p.downUntil > 0 {
			p.downUntil = 0
			w.start(p)
		}
		w.receive(i)
		w.request(i)
		if n := w.sharers(p); n > 0 {
			w.usage[i] = append(w.usage[i], [2]float64{w.now, 1 / float64(n)})
		}
	}
	w.measure()
}

// deliver puts the messages that have arrived into the inboxes. Messages to a process that is down are lost.
func (w *simulation) deliver() {
	inFlight := w.messages[:0]
	for _, m := range w.messages {
		if m.at > w.now {
			inFlight = append(inFlight, m)
		} else if p := w.processes[m.to]; p.downUntil <= w.now {
			p.inbox = append(p.inbox, m)
		}
	}
	w.messages = inFlight
}

// receive lets a process handle the messages in its inbox.
func (w *simulation) receive(index int) {
	p := w.processes[index]
	inbox := p.inbox
	p.inbox = nil
	for _, m := range inbox {
		place := w.processes[m.from].place
		if !m.request {
			if m.incarnation == p.incarnation {
				p.holder.OnGrant(m.requestedAt, place, m.granted, m.counted)
			}
			continue
		}
		granted, counted := p.holder.OnRequest(p.clock(w.now), place)
		if w.faults.grantsAtOnce {
			p.holder.given[min(place, len(p.holder.given)-1)].countedSince = math.Inf(-1)
		}
		w.send(message{from: index, to: m.from, requestedAt: m.requestedAt, granted: granted, counted: counted, incarnation: m.incarnation})
	}
}

// request lets a process ask the others in turn, in the way that the failure detector probes them.
func (w *simulation) request(index int) {
	p := w.processes[index]
	if w.now < p.nextRequestAt {
		return
	}
	p.nextRequestAt = w.now + 200
	p.lastAsked++
	if to := p.lastAsked % len(w.processes); to != index {
		w.send(message{from: index, to: to, request: true, requestedAt: p.clock(w.now), incarnation: p.incarnation})
	}
}

// sharers returns how many processes share the limit as a process sees it, with the injected faults.
func (w *simulation) sharers(p *process) int {
	now := p.clock(w.now)
	n := p.holder.Sharers(now)
	if w.faults.leaseFactor > 0 { // its own leases last for the full duration
		fullLease := *p.holder
		fullLease.config.LeaseDuration = w.config.LeaseDuration
		n = fullLease.Sharers(now)
	}
	if w.faults.countsAlone && n > 0 {
		n = p.holder.Counted(now).Len()
	}
	return n
}

// measure adds up the largest fraction of the limit that each process used within the last window.
func (w *simulation) measure() {
	sum := 0.0
	for i := range w.usage {
		for len(w.usage[i]) > 0 && w.usage[i][0][0] <= w.now-w.config.Window {
			w.usage[i] = w.usage[i][1:]
		}
		largest := 0.0
		for _, use := range w.usage[i] {
			largest = max(largest, use[1])
		}
		sum += largest
	}
	w.maxUsed = max(w.maxUsed, sum)
}

// injectFault injects a random fault, or heals all partitions.
func (w *simulation) injectFault() {
	i, j := w.rng.IntN(len(w.processes)), w.rng.IntN(len(w.processes))
	switch w.rng.IntN(9) {
	case 0:
		w.processes[i].downUntil = w.now + 20000*w.rng.Float64()*w.rng.Float64()
	case 1:
		w.processes[i].pausedUntil = w.now + 12000*w.rng.Float64()
	case 2:
		w.cut[[2]int{i, j}] = true
	case 3, 4:
		side := w.rng.Uint64()
		for a := range w.processes {
			for b := range w.processes {
				w.cut[[2]int{a, b}] = side>>a&1 != side>>b&1
			}
		}
	case 5:
		for _, p := range w.processes {
			if w.rng.IntN(10) < 7 {
				p.downUntil = w.now + 1000
			}
		}
	default:
		clear(w.cut)
	}
}

// simulate runs a seed for two minutes with random faults and then without. It returns the largest fraction of the limit that was used
// within a window, and the fraction that is in use at the end.
func simulate(seed uint64, places, procs int, injected faults) (worst, used float64) {
	w := newSimulation(seed, places, procs, injected)
	for nextFaultAt := 0.0; w.now < 120000; {
		if w.step(); w.now > nextFaultAt {
			w.injectFault()
			nextFaultAt = w.now + 12000*w.rng.Float64()
		}
	}
	worst = w.maxUsed
	clear(w.cut)
	for _, p := range w.processes {
		p.downUntil, p.pausedUntil = min(p.downUntil, w.now), 0
	}
	for end := w.now + 4*w.config.LeaseDuration + 10000; w.now < end; {
		w.step()
	}
	for _, p := range w.processes {
		if n := p.holder.Sharers(p.clock(w.now)); n > 0 {
			used += 1 / float64(n)
		}
	}
	return max(worst, w.maxUsed), used
}

// TestNeverAboveLimit checks, with random faults, that all processes together never exceed the limit within any window, and that once the
// faults are over, the whole limit is in use again.
func TestNeverAboveLimit(t *testing.T) {
	for _, c := range []struct{ places, procs int }{{1, 1}, {2, 2}, {3, 3}, {5, 5}, {9, 9}, {5, 8}, {9, 6}} {
		t.Run(fmt.Sprint(c.procs, " of ", c.places), func(t *testing.T) {
			for seed := range uint64(8) {
				worst, used := simulate(seed, c.places, c.procs, faults{})
				if worst > 1+1e-9 {
					t.Fatalf("seed %d: %.3f of the limit used within a window, want at most 1", seed, worst)
				}
				if used < 0.99 {
					t.Errorf("seed %d: %.3f of the limit in use without faults, want at least 0.99", seed, used)
				}
			}
		})
	}
}

// TestFaultsAreDetected breaks one assumption of the proof at a time, and checks that the simulation then exceeds the limit.
func TestFaultsAreDetected(t *testing.T) {
	for _, c := range []struct {
		name   string
		faults faults
	}{
		{"grants are forgotten too early", faults{leaseFactor: 0.3}},
		{"each process uses only the places that it counts itself", faults{countsAlone: true}},
		{"new processes get grants at once", faults{grantsAtOnce: true}},
		{"restarted processes use the limit at once", faults{joinsAtOnce: true, grantsAtOnce: true}},
	} {
		t.Run(c.name, func(t *testing.T) {
			for seed := range uint64(60) {
				if worst, _ := simulate(seed, 5, 5, c.faults); worst > 1+1e-9 {
					t.Logf("seed %d detects the fault: %.2f of the limit used", seed, worst)
					return
				}
			}
			t.Error("fault not detected by any of 60 seeds")
		})
	}
}

// TestDeadProcess checks that the share of a process that died goes to the others after its lease and a window, and not before.
func TestDeadProcess(t *testing.T) {
	w := newSimulation(3, 5, 5, faults{})
	for w.now < 40000 {
		w.step()
	}
	w.processes[4].downUntil = math.Inf(1)
	diedAt := w.now
	for w.now < diedAt+w.config.LeaseDuration+w.config.Window {
		w.step()
		for _, p := range w.processes[:4] {
			if n := p.holder.Sharers(p.clock(w.now)); n > 0 && n < 5 {
				t.Fatalf("%.0f ms after the death: got %d sharers, want 5", w.now-diedAt, n)
			}
		}
	}
	for w.now < diedAt+3*w.config.LeaseDuration {
		w.step()
	}
	for _, p := range w.processes[:4] {
		if n := p.holder.Sharers(p.clock(w.now)); n != 4 {
			t.Errorf("place %d: got %d sharers, want 4", p.place, n)
		}
	}
}

// TestQuorumsIntersect tries every pair of sets of places that give grants to two processes: if both processes hold a lease, the process of
// some place has given a grant to both.
func TestQuorumsIntersect(t *testing.T) {
	for places := 1; places <= 6; places++ {
		for a := range 1 << places {
			for b := range 1 << places {
				checkViews(t, places, a, b)
			}
		}
	}
}

// checkViews checks the processes of the first and of the last place, which have grants from the sets of places a and b.
func checkViews(t *testing.T, places, a, b int) {
	t.Helper()
	holder := func(place int, granters int) *Holder {
		h := New(0, Config{Places: places, LeaseDuration: 1000, Window: 100}, place)
		for k := range places {
			if granters>>k&1 == 1 && k != place {
				h.OnGrant(5000, k, true, PlaceSet{uint64(a&b) | 1<<k})
			}
		}
		return h
	}
	x, y := holder(0, a), holder(places-1, b)
	now := 5500.0 // what earlier incarnations granted has expired
	if x.Sharers(now) == 0 || y.Sharers(now) == 0 {
		return
	}
	if places > 1 && (a|1)&(b|1<<(places-1)) == 0 {
		t.Fatalf("%d places: grants from %b and from %b both give a lease, but no place gave a grant to both processes", places, a, b)
	}
	if x.Expiry(now) < now || x.Sharers(x.Expiry(now)+1) != 0 && places > 1 {
		t.Fatalf("%d places: lease from %b expires at %g, want an expiry from 5500 on and no lease after it", places, a, x.Expiry(now))
	}
}

// TestUnknownPlaces checks that a process whose place is not in the site file holds no lease, and gets no grant.
func TestUnknownPlaces(t *testing.T) {
	h := New(0, Config{Places: 3, LeaseDuration: 1000, Window: 100}, 3)
	for k := range 3 {
		h.OnGrant(9000, k, true, PlaceSet{7})
	}
	if n := h.Sharers(9001); n != 0 {
		t.Errorf("place 3 of 3 places from 0: got %d sharers, want 0", n)
	}
	h = New(0, Config{Places: 3, LeaseDuration: 1000, Window: 100}, 0)
	if granted, _ := h.OnRequest(9000, 3); granted {
		t.Error("place 3 of 3 places from 0 got a grant")
	}
	if granted, _ := h.OnRequest(9000, -1); granted {
		t.Error("a process without a place got a grant")
	}
}
