// Package membership simulates detectors of many schedulers on the laboratory's clock and network: who knows of whom, how soon, and
// what goes wrong when processes are killed or stand still, when datagrams are lost, late, doubled, or go one way only.
package membership

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"

	"ravenpond/internal/decide/membership"
	"ravenpond/internal/env"
	"ravenpond/internal/lab/sim"
	"ravenpond/internal/members"
)

// Cluster is a site's processes.
type Cluster struct {
	Clock     *sim.Clock
	Random    *rand.Rand
	Processes []*Process
	// Wrap changes the world that detectors run in, to plant faults; nil changes nothing.
	Wrap func(env.Environment) env.Environment

	Faults membership.Faults

	FalseDeaths  []string // deaths of those who lived, in words
	excusedUntil float64  // until then a death of one who lives is to be expected
	deaths       []deathReport
	used         [2][][][2]float64 // of cold nodes and of what is lent, by process: the parts that it took within the window, with their times
	MaxUse       [2]float64        // the most that all took within a window, as a part of the whole
}

// useWindows are those of what cold nodes bear and of what is lent, ms.
var useWindows = [2]float64{2500, 6000}

// sharers are how many share each at a process.
func sharers(d *membership.Detector, now float64) (all [2]int) {
	all[0], _ = d.SlowStartSharers(now)
	all[1], _ = d.QuotaSharers(now)
	return all
}

// deathReport is that one process holds another for dead.
type deathReport struct {
	member, reporter string
	at               float64
}

// Process is one of them.
type Process struct {
	cluster      *Cluster
	Name         string
	Host         *sim.Process
	Runner       *members.Runner
	Incarnation  uint64
	Key          []byte
	Address      string
	index        int
	excusedUntil float64 // until then it may be held for dead
	DeadSince    float64 // since when it is, 0: it lives
	Paused       bool
	NameTakenBy  string
}

var key = []byte("the laboratory's member key")

// New begins so many processes, the first three of which are the seeds of all.
func New(seed uint64, n int) *Cluster { return NewWithEnvironment(seed, n, nil) }

// NewWithEnvironment begins so many processes in worlds that are wrapped.
func NewWithEnvironment(seed uint64, n int, wrap func(env.Environment) env.Environment) *Cluster {
	return newCluster(seed, n, wrap, membership.Faults{})
}

func newCluster(seed uint64, n int, wrap func(env.Environment) env.Environment, plant membership.Faults) *Cluster {
	c := &Cluster{Faults: plant, used: [2][][][2]float64{make([][][2]float64, n), make([][][2]float64, n)}, Clock: sim.NewClock(seed), Random: rand.New(rand.NewPCG(seed, 0xc1)), Wrap: wrap}
	for i := range n {
		name := fmt.Sprintf("m%03d", i)
		p := &Process{cluster: c, index: i, Name: name, Host: c.Clock.NewProcess(name), Key: key, Address: name + ":1"}
		c.Processes = append(c.Processes, p)
		p.Start()
	}
	return c
}

// Start begins a life of a process.
func (p *Process) Start() {
	if p.DeadSince > 0 {
		p.Host.Start()
		p.DeadSince = 0
	}
	p.Incarnation++
	var seeds []string
	for i := range min(3, len(p.cluster.Processes)) {
		seeds = append(seeds, p.cluster.Processes[i].Address)
	}
	w := env.Environment(p.Host)
	if p.cluster.Wrap != nil {
		w = p.cluster.Wrap(w)
	}
	run, err := members.Start(w, p.Address, membership.Config{
		Site: "lab", Name: p.Name, Address: p.Address, Incarnation: p.Incarnation, Key: p.Key, Seeds: seeds,
		Seed: p.cluster.Random.Uint64(), Place: p.index, Places: len(p.cluster.used[0]), SlowStartWindow: useWindows[0], MaxOpenTime: useWindows[1], Faults: p.cluster.Faults,
	}, eventHandler{p})
	if err != nil {
		panic(err)
	}
	p.Runner = run
}

// Kill ends a process at once.
func (p *Process) Kill() {
	p.Host.Kill(false)
	p.DeadSince = p.cluster.Clock.TrueTime()
}

// Pause has it stand still.
func (p *Process) Pause() { p.Host.Pause(); p.Paused = true }

// Resume lets it run on.
func (p *Process) Resume() { p.Host.Resume(); p.Paused = false }

// Excuse takes it that processes which live may be held for dead up to a time from now.
func (c *Cluster) Excuse(ms float64) { c.excusedUntil = max(c.excusedUntil, c.Clock.TrueTime()+ms) }

type eventHandler struct{ process *Process }

func (t eventHandler) OnMemberChanged(_ float64, m membership.Member, was membership.State) {
	c := t.process.cluster
	if m.State != membership.Dead {
		return
	}
	now := c.Clock.TrueTime()
	c.deaths = append(c.deaths, deathReport{m.Name, t.process.Name, now})
	if q := c.Process(m.Name); q.DeadSince == 0 && !q.Paused && now > max(c.excusedUntil, q.excusedUntil) && m.Incarnation >= q.Incarnation { // not word of an earlier life
		c.FalseDeaths = append(c.FalseDeaths, fmt.Sprintf("%.0f ms: %s holds %s for dead, on the word of %s", now, t.process.Name, m.Name, m.By))
	}
}

func (t eventHandler) LastNodeContact(uint32) (life uint64, heard float64, ok bool) {
	return 0, 0, false
}

func (t eventHandler) OnNameConflict(_ float64, address string) { t.process.NameTakenBy = address }

// Process is the process of a name.
func (c *Cluster) Process(name string) *Process {
	for _, p := range c.Processes {
		if p.Name == name {
			return p
		}
	}
	return nil
}

// Advance lets time go by, and sums up what all may send to a cold node meanwhile.
func (c *Cluster) Advance(ms float64) {
	for end := c.Clock.TrueTime() + ms; c.Clock.TrueTime() < end; {
		c.Clock.RunUntil(min(end, c.Clock.TrueTime()+50))
		c.recordUse()
	}
}

func (c *Cluster) recordUse() {
	now, sum := c.Clock.TrueTime(), [2]float64{}
	for i, p := range c.Processes {
		var all [2]int
		if p.DeadSince == 0 && !p.Paused {
			p.Runner.WithDetector(func(d *membership.Detector) { all = sharers(d, p.Host.Now()) })
		}
		for what, n := range all {
			took := &c.used[what][i]
			if n > 0 {
				*took = append(*took, [2]float64{now, 1 / float64(n)})
			}
			most := 0.0
			*took = slices.DeleteFunc(*took, func(x [2]float64) bool { return x[0] <= now-useWindows[what] })
			for _, x := range *took {
				most = max(most, x[1])
			}
			sum[what] += most
		}
	}
	for what := range sum {
		c.MaxUse[what] = max(c.MaxUse[what], sum[what])
	}
}

// CurrentUse is the part of what a cold node bears, and of what is lent, that all together may use now.
func (c *Cluster) CurrentUse() (used [2]float64) {
	for _, p := range c.Running() {
		p.Runner.WithDetector(func(d *membership.Detector) {
			for what, n := range sharers(d, p.Host.Now()) {
				if n > 0 {
					used[what] += 1 / float64(n)
				}
			}
		})
	}
	return used
}

// Running are the processes that live and run.
func (c *Cluster) Running() (all []*Process) {
	for _, p := range c.Processes {
		if p.DeadSince == 0 && !p.Paused {
			all = append(all, p)
		}
	}
	return all
}

// Converged tells whether each process that lives knows each other that lives for alive, no dead one for that, and all hold
// the same; else it says who does not.
func (c *Cluster) Converged() (ok bool, why string) {
	living := c.Running()
	var view uint64
	for i, p := range living {
		var got []string
		var v uint64
		p.Runner.WithDetector(func(d *membership.Detector) {
			v = d.Digest()
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

// AwaitConvergence lets time go by until all agree, for so long at most; it returns how long it took, infinite if they do not.
func (c *Cluster) AwaitConvergence(most float64) float64 {
	from := c.Clock.TrueTime()
	for c.Clock.TrueTime() < from+most {
		if ok, _ := c.Converged(); ok {
			return c.Clock.TrueTime() - from
		}
		c.Advance(50)
	}
	if ok, _ := c.Converged(); ok {
		return most
	}
	return math.Inf(1)
}

// DetectionTimes is how long it took each other process that lives to hold one for dead, from its death on, sorted.
func (c *Cluster) DetectionTimes(p *Process) (took []float64, all bool) {
	first := map[string]float64{}
	for _, d := range c.deaths {
		if d.member == p.Name && d.at >= p.DeadSince {
			if _, ok := first[d.reporter]; !ok {
				first[d.reporter] = d.at - p.DeadSince
			}
		}
	}
	for _, q := range c.Running() {
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
func (c *Cluster) Sent() (datagrams, bytes uint64) {
	for _, p := range c.Running() {
		p.Runner.WithDetector(func(d *membership.Detector) {
			datagrams += d.Stats.Sent
			bytes += d.Stats.Bytes
		})
	}
	return
}
