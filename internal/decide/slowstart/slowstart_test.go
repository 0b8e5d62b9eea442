package slowstart

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
)

// world plays holders with their own clocks, ways that lose and delay, stops and restarts. A process that takes part sends
// as much as it may at any moment; what all send within a window is held against the whole.
type world struct {
	rng   *rand.Rand
	who   Config
	now   float64
	all   []*proc
	cut   map[[2]int]bool
	mails []mail
	worst float64 // the most that was ever sent in a window, as a part of the whole
	log   [][][2]float64
	plant plant
}

type plant struct {
	short  float64 // leases that givers reckon with, as a part of those that hold
	alone  bool    // a process reckons with those alone whom it counts itself
	early  bool    // who comes has leave at once
	forget bool    // a restart takes part at once
}

type proc struct {
	h      *Holder
	place  int
	rate   float64
	base   float64
	began  float64
	down   float64 // until then it is dead
	paused float64
	box    []mail
	next   float64
	turn   int
	life   int // an answer to another life's ask is nobody's, as the datagrams have it
}

type mail struct {
	at       float64
	from, to int
	ask      bool
	sent     float64
	given    bool
	counts   PlaceSet
	life     int
}

func (p *proc) clock(now float64) float64 { return p.base + (now-p.began)*p.rate }

func newWorld(seed uint64, places, procs int, pl plant) *world {
	w := &world{
		rng: rand.New(rand.NewPCG(seed, 5)), who: Config{Places: places, LeaseDuration: MinLeaseDuration(places, 200), Window: 1500},
		cut: map[[2]int]bool{}, plant: pl,
	}
	for i := range procs {
		p := &proc{place: i}
		w.all = append(w.all, p)
		w.log = append(w.log, nil)
		w.start(p)
	}
	return w
}

func (w *world) start(p *proc) {
	p.rate, p.base, p.began = 1+(w.rng.Float64()-0.5)*MaxClockDrift*0.9, 1e6*w.rng.Float64(), w.now
	who := w.who
	if w.plant.short > 0 {
		who.LeaseDuration *= w.plant.short
	}
	p.h = New(p.clock(w.now), who, p.place)
	p.h.config.LeaseDuration = who.LeaseDuration
	p.box, p.next = nil, w.now
	p.life++
	if w.plant.forget {
		p.h.startedAt = math.Inf(-1)
	}
	if w.plant.early {
		for i := range p.h.given {
			p.h.given[i].countedSince = math.Inf(-1)
		}
	}
}

func (w *world) post(m mail) {
	if w.cut[[2]int{m.from, m.to}] || w.rng.Float64() < 0.05 {
		return
	}
	m.at = w.now + 0.2 + 20*w.rng.Float64()
	if w.rng.IntN(20) == 0 {
		m.at += 3000 * w.rng.Float64() // very late
	}
	w.mails = append(w.mails, m)
}

// step lets 20 ms go by.
func (w *world) step() {
	w.now += 20
	kept := w.mails[:0]
	for _, m := range w.mails {
		if m.at > w.now {
			kept = append(kept, m)
			continue
		}
		if p := w.all[m.to]; p.down <= w.now {
			p.box = append(p.box, m)
		}
	}
	w.mails = kept
	for i, p := range w.all {
		if p.down > w.now || p.paused > w.now {
			continue
		}
		if p.down > 0 {
			p.down = 0
			w.start(p)
		}
		box := p.box
		p.box = nil
		for _, m := range box {
			if m.ask {
				given, counts := p.h.OnRequest(p.clock(w.now), w.all[m.from].place)
				if w.plant.early {
					p.h.given[min(w.all[m.from].place, len(p.h.given)-1)].countedSince = math.Inf(-1)
				}
				w.post(mail{from: i, to: m.from, sent: m.sent, given: given, counts: counts, life: m.life})
			} else if m.life == p.life {
				p.h.OnGrant(m.sent, w.all[m.from].place, m.given, m.counts)
			}
		}
		if w.now >= p.next {
			p.next = w.now + 200
			p.turn++ // all others in turn, as the detector probes
			if to := p.turn % len(w.all); to != i {
				w.post(mail{from: i, to: to, ask: true, sent: p.clock(w.now), life: p.life})
			}
		}
		now := p.clock(w.now)
		n := p.h.Sharers(now)
		if w.plant.short > 0 { // it goes on for as long as it was promised
			long := *p.h
			long.config.LeaseDuration = w.who.LeaseDuration
			n = long.Sharers(now)
		}
		if w.plant.alone && n > 0 {
			n = p.h.Counted(now).Len()
		}
		if n > 0 {
			w.log[i] = append(w.log[i], [2]float64{w.now, 1 / float64(n)})
		}
	}
	sum := 0.0
	for i := range w.log {
		for len(w.log[i]) > 0 && w.log[i][0][0] <= w.now-w.who.Window {
			w.log[i] = w.log[i][1:]
		}
		most := 0.0
		for _, x := range w.log[i] {
			most = max(most, x[1])
		}
		sum += most
	}
	w.worst = max(w.worst, sum)
}

// trouble draws something that goes wrong, or right again.
func (w *world) trouble() {
	i, j := w.rng.IntN(len(w.all)), w.rng.IntN(len(w.all))
	switch w.rng.IntN(9) {
	case 0:
		w.all[i].down = w.now + 20000*w.rng.Float64()*w.rng.Float64()
	case 1:
		w.all[i].paused = w.now + 12000*w.rng.Float64()
	case 2:
		w.cut[[2]int{i, j}] = true
	case 3, 4:
		side := w.rng.Uint64()
		for a := range w.all {
			for b := range w.all {
				w.cut[[2]int{a, b}] = side>>a&1 != side>>b&1
			}
		}
	case 5:
		for _, p := range w.all {
			if w.rng.IntN(10) < 7 {
				p.down = w.now + 1000
			}
		}
	default:
		clear(w.cut)
	}
}

// play plays a seed for some minutes; it returns the most that was sent in a window, and the part of the time in which the
// whole was in use at the end, undisturbed.
func play(seed uint64, places, procs int, pl plant) (worst, used float64) {
	w := newWorld(seed, places, procs, pl)
	for at := 0.0; w.now < 120000; {
		if w.step(); w.now > at {
			w.trouble()
			at = w.now + 12000*w.rng.Float64()
		}
	}
	worst = w.worst
	clear(w.cut)
	for _, p := range w.all {
		p.down, p.paused = min(p.down, w.now), 0
	}
	for end := w.now + 4*w.who.LeaseDuration + 10000; w.now < end; {
		w.step()
	}
	for _, p := range w.all {
		if n := p.h.Sharers(p.clock(w.now)); n > 0 {
			used += 1 / float64(n)
		}
	}
	return max(worst, w.worst), used
}

// TestNeverOver plays troubles: what all send within any window never passes the whole, and once they are over it is in
// use again but for the parts of those who take none.
func TestNeverOver(t *testing.T) {
	for _, c := range []struct{ places, procs int }{{1, 1}, {2, 2}, {3, 3}, {5, 5}, {9, 9}, {5, 8}, {9, 6}} {
		t.Run(fmt.Sprint(c.procs, " of ", c.places), func(t *testing.T) {
			for seed := range uint64(8) {
				worst, used := play(seed, c.places, c.procs, plant{})
				if worst > 1+1e-9 {
					t.Fatalf("seed %d: %.3f of the whole within a window", seed, worst)
				}
				if used < 0.99 {
					t.Errorf("seed %d: %.3f of the whole in use when all is well", seed, used)
				}
			}
		})
	}
}

// TestPlanted plants what the proof forbids, and looks that it is found.
func TestPlanted(t *testing.T) {
	for _, c := range []struct {
		name  string
		plant plant
	}{
		{"givers forget too soon", plant{short: 0.3}},
		{"each counts for itself alone", plant{alone: true}},
		{"leave is given at once", plant{early: true}},
		{"a restart takes part at once", plant{forget: true, early: true}},
	} {
		t.Run(c.name, func(t *testing.T) {
			for seed := range uint64(60) {
				if worst, _ := play(seed, 5, 5, c.plant); worst > 1+1e-9 {
					t.Logf("found by seed %d: %.2f of the whole", seed, worst)
					return
				}
			}
			t.Error("not found in 60 seeds")
		})
	}
}

// TestLost has one process die for good: its part goes to the others once its lease and a window are over, not before.
func TestLost(t *testing.T) {
	w := newWorld(3, 5, 5, plant{})
	for w.now < 40000 {
		w.step()
	}
	w.all[4].down = math.Inf(1)
	died := w.now
	for w.now < died+w.who.LeaseDuration+w.who.Window {
		w.step()
		for _, p := range w.all[:4] {
			if n := p.h.Sharers(p.clock(w.now)); n > 0 && n < 5 {
				t.Fatalf("%.0f ms after its death %d share", w.now-died, n)
			}
		}
	}
	for w.now < died+3*w.who.LeaseDuration {
		w.step()
	}
	for _, p := range w.all[:4] {
		if n := p.h.Sharers(p.clock(w.now)); n != 4 {
			t.Errorf("place %d reckons with %d", p.place, n)
		}
	}
}

// TestPairs walks every pair of views: of any two sets of places that two processes may have leave of, one place is in
// both, and whom that one counts both reckon with.
func TestPairs(t *testing.T) {
	for places := 1; places <= 6; places++ {
		for a := range 1 << places {
			for b := range 1 << places {
				who := Config{Places: places, LeaseDuration: 1000, Window: 100}
				begin := func(place int, view int) *Holder {
					h := New(0, who, place)
					for k := range places {
						if view>>k&1 == 1 && k != place {
							h.OnGrant(5000, k, true, PlaceSet{uint64(a&b) | 1<<k})
						}
					}
					return h
				}
				x, y := begin(0, a), begin(places-1, b)
				now := 5500.0 // all that they gave themselves is over by then
				if x.Sharers(now) == 0 || y.Sharers(now) == 0 {
					continue
				}
				if places > 1 && (a|1)&(b|1<<(places-1)) == 0 {
					t.Fatalf("%d places: %b and %b both take part, and nobody told both", places, a, b)
				}
				if x.Expiry(now) < now || x.Sharers(x.Expiry(now)+1) != 0 && places > 1 {
					t.Fatalf("%d places: lease of %b ends at %g, and it takes part after", places, a, x.Expiry(now))
				}
			}
		}
	}
}

// TestStrangers holds that places beyond those of the site file take no part, and are given nothing.
func TestStrangers(t *testing.T) {
	h := New(0, Config{Places: 3, LeaseDuration: 1000, Window: 100}, 3)
	for k := range 3 {
		h.OnGrant(9000, k, true, PlaceSet{7})
	}
	if n := h.Sharers(9001); n != 0 {
		t.Errorf("a fourth of three reckons with %d", n)
	}
	h = New(0, Config{Places: 3, LeaseDuration: 1000, Window: 100}, 0)
	if leave, _ := h.OnRequest(9000, 3); leave {
		t.Error("a fourth of three has leave")
	}
	if leave, _ := h.OnRequest(9000, -1); leave {
		t.Error("nobody has leave")
	}
}
