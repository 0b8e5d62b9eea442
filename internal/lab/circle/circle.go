// Package circle plays detectors of many schedulers on the laboratory's clock and network: who knows of whom, how soon, and
// what goes wrong when processes are killed or stand still, when datagrams are lost, late, doubled, or go one way only.
package circle

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"

	"ravenpond/internal/decide/membership"
	"ravenpond/internal/lab/sim"
	"ravenpond/internal/members"
	"ravenpond/internal/outside"
)

// Circle is a site's processes.
type Circle struct {
	Clock *sim.Clock
	Rng   *rand.Rand
	All   []*Process
	// Wrap changes the world that detectors run in, to plant faults; nil changes nothing.
	Wrap func(outside.Environment) outside.Environment

	Plant membership.Faults

	Wrong   []string // deaths of those who lived, in words
	forgive float64  // until then a death of one who lives is to be expected
	deaths  []death
	took    [2][][][2]float64 // of cold nodes and of what is lent, by process: the parts that it took within the window, with their times
	Worst   [2]float64        // the most that all took within a window, as a part of the whole
}

// windows are those of what cold nodes bear and of what is lent, ms.
var windows = [2]float64{2500, 6000}

// shares are how many share each at a process.
func shares(d *membership.Detector, now float64) (all [2]int) {
	all[0], _ = d.Sharers(now)
	all[1], _ = d.Lent(now)
	return all
}

// death is that one process holds another for dead.
type death struct {
	who, by string
	at      float64
}

// Process is one of them.
type Process struct {
	c       *Circle
	Name    string
	P       *sim.Process
	Run     *members.Runner
	Life    uint64
	Key     []byte
	Addr    string
	place   int
	excused float64 // until then it may be held for dead
	Dead    float64 // since when it is, 0: it lives
	Paused  bool
	TakenBy string
}

var key = []byte("the laboratory's member key")

// New begins so many processes, the first three of which are the seeds of all.
func New(seed uint64, n int) *Circle { return Begin(seed, n, nil) }

// Begin begins so many processes in worlds that are wrapped.
func Begin(seed uint64, n int, wrap func(outside.Environment) outside.Environment) *Circle {
	return begin(seed, n, wrap, membership.Faults{})
}

func begin(seed uint64, n int, wrap func(outside.Environment) outside.Environment, plant membership.Faults) *Circle {
	c := &Circle{Plant: plant, took: [2][][][2]float64{make([][][2]float64, n), make([][][2]float64, n)}, Clock: sim.NewClock(seed), Rng: rand.New(rand.NewPCG(seed, 0xc1)), Wrap: wrap}
	for i := range n {
		name := fmt.Sprintf("m%03d", i)
		p := &Process{c: c, place: i, Name: name, P: c.Clock.NewProcess(name), Key: key, Addr: name + ":1"}
		c.All = append(c.All, p)
		p.Start()
	}
	return c
}

// Start begins a life of a process.
func (p *Process) Start() {
	if p.Dead > 0 {
		p.P.Start()
		p.Dead = 0
	}
	p.Life++
	var seeds []string
	for i := range min(3, len(p.c.All)) {
		seeds = append(seeds, p.c.All[i].Addr)
	}
	w := outside.Environment(p.P)
	if p.c.Wrap != nil {
		w = p.c.Wrap(w)
	}
	run, err := members.Start(w, p.Addr, membership.Config{
		Site: "lab", Name: p.Name, Address: p.Addr, Life: p.Life, Key: p.Key, Seeds: seeds,
		Seed: p.c.Rng.Uint64(), Place: p.place, Places: len(p.c.took[0]), Window: windows[0], Open: windows[1], Faults: p.c.Plant,
	}, told{p})
	if err != nil {
		panic(err)
	}
	p.Run = run
}

// Kill ends a process at once.
func (p *Process) Kill() {
	p.P.Kill(false)
	p.Dead = p.c.Clock.TrueTime()
}

// Pause has it stand still.
func (p *Process) Pause() { p.P.Pause(); p.Paused = true }

// Resume lets it run on.
func (p *Process) Resume() { p.P.Resume(); p.Paused = false }

// Forgive takes it that processes which live may be held for dead up to a time from now.
func (c *Circle) Forgive(ms float64) { c.forgive = max(c.forgive, c.Clock.TrueTime()+ms) }

type told struct{ p *Process }

func (t told) OnChange(_ float64, m membership.Member, was membership.State) {
	c := t.p.c
	if m.State != membership.Dead {
		return
	}
	now := c.Clock.TrueTime()
	c.deaths = append(c.deaths, death{m.Name, t.p.Name, now})
	if q := c.Named(m.Name); q.Dead == 0 && !q.Paused && now > max(c.forgive, q.excused) && m.Life >= q.Life { // not word of an earlier life
		c.Wrong = append(c.Wrong, fmt.Sprintf("%.0f ms: %s holds %s for dead, on the word of %s", now, t.p.Name, m.Name, m.By))
	}
}

func (t told) LastHeard(uint32) (life uint64, heard float64, ok bool) { return 0, 0, false }

func (t told) OnNameTaken(_ float64, address string) { t.p.TakenBy = address }

// Named is the process of a name.
func (c *Circle) Named(name string) *Process {
	for _, p := range c.All {
		if p.Name == name {
			return p
		}
	}
	return nil
}

// Pass lets time go by, and sums up what all may send to a cold node meanwhile.
func (c *Circle) Pass(ms float64) {
	for end := c.Clock.TrueTime() + ms; c.Clock.TrueTime() < end; {
		c.Clock.RunUntil(min(end, c.Clock.TrueTime()+50))
		c.weigh()
	}
}

func (c *Circle) weigh() {
	now, sum := c.Clock.TrueTime(), [2]float64{}
	for i, p := range c.All {
		var all [2]int
		if p.Dead == 0 && !p.Paused {
			p.Run.WithDetector(func(d *membership.Detector) { all = shares(d, p.P.Now()) })
		}
		for what, n := range all {
			took := &c.took[what][i]
			if n > 0 {
				*took = append(*took, [2]float64{now, 1 / float64(n)})
			}
			most := 0.0
			*took = slices.DeleteFunc(*took, func(x [2]float64) bool { return x[0] <= now-windows[what] })
			for _, x := range *took {
				most = max(most, x[1])
			}
			sum[what] += most
		}
	}
	for what := range sum {
		c.Worst[what] = max(c.Worst[what], sum[what])
	}
}

// Used is the part of what a cold node bears, and of what is lent, that all together may use now.
func (c *Circle) Used() (used [2]float64) {
	for _, p := range c.Living() {
		p.Run.WithDetector(func(d *membership.Detector) {
			for what, n := range shares(d, p.P.Now()) {
				if n > 0 {
					used[what] += 1 / float64(n)
				}
			}
		})
	}
	return used
}

// Living are the processes that live and run.
func (c *Circle) Living() (all []*Process) {
	for _, p := range c.All {
		if p.Dead == 0 && !p.Paused {
			all = append(all, p)
		}
	}
	return all
}

// Agreed tells whether each process that lives knows each other that lives for alive, no dead one for that, and all hold
// the same; else it says who does not.
func (c *Circle) Agreed() (ok bool, why string) {
	living := c.Living()
	var view uint64
	for i, p := range living {
		var got []string
		var v uint64
		p.Run.WithDetector(func(d *membership.Detector) {
			v = d.View()
			for _, m := range d.All() {
				if m.State == membership.Alive {
					got = append(got, m.Name)
				}
			}
		})
		var want []string
		for _, q := range living {
			if q != p {
				want = append(want, q.Name)
			}
		}
		if !slices.Equal(got, want) {
			return false, fmt.Sprintf("%s holds %v for alive, want %v", p.Name, got, want)
		}
		if i == 0 {
			view = v
		} else if v != view {
			return false, fmt.Sprintf("%s and %s hold other views", p.Name, living[0].Name)
		}
	}
	return true, ""
}

// Until lets time go by until all agree, for so long at most; it returns how long it took, infinite if they do not.
func (c *Circle) Until(most float64) float64 {
	from := c.Clock.TrueTime()
	for c.Clock.TrueTime() < from+most {
		if ok, _ := c.Agreed(); ok {
			return c.Clock.TrueTime() - from
		}
		c.Pass(50)
	}
	if ok, _ := c.Agreed(); ok {
		return most
	}
	return math.Inf(1)
}

// Known is how long it took each other process that lives to hold one for dead, from its death on, sorted.
func (c *Circle) Known(p *Process) (took []float64, all bool) {
	first := map[string]float64{}
	for _, d := range c.deaths {
		if d.who == p.Name && d.at >= p.Dead {
			if _, ok := first[d.by]; !ok {
				first[d.by] = d.at - p.Dead
			}
		}
	}
	for _, q := range c.Living() {
		if t, ok := first[q.Name]; ok {
			took = append(took, t)
		} else if q != p {
			return took, false
		}
	}
	slices.Sort(took)
	return took, true
}

// Sent is what all processes that live have sent, datagrams and bytes.
func (c *Circle) Sent() (datagrams, bytes uint64) {
	for _, p := range c.Living() {
		p.Run.WithDetector(func(d *membership.Detector) {
			datagrams += d.Stats.Sent
			bytes += d.Stats.Bytes
		})
	}
	return
}
