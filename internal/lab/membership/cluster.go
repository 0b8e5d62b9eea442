// Package membership simulates the failure detectors of many schedulers on the simulated clock and network of package sim. It checks and
// measures which process knows of which others and how soon, when processes are killed or paused and when datagrams are lost, delayed,
// duplicated, or pass in one direction only.
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

// Cluster is the simulated processes of a site.
type Cluster struct {
	Clock     *sim.Clock
	Random    *rand.Rand
	Processes []*Process
	// Wrap wraps the environment that a detector runs in, to observe it or to inject faults; nil: not wrapped.
	Wrap func(env.Environment) env.Environment

	Faults membership.Faults // injected into the detectors

	FalseDeaths        []string // descriptions of the deaths that were declared of live processes
	deathExpectedUntil float64  // until this time a live process may be declared dead
	deaths             []deathReport
	shareUse           [2][][][2]float64 // of the slow-start limit and the leased quota, by process: times and shares within the window
	MaxShareSum        [2]float64        // largest sum over all processes of their largest share within the window
}

// shareWindows are the windows in ms of the slow-start limit and of the leased quota.
var shareWindows = [2]float64{2500, 6000}

// shareCounts returns among how many processes a detector shares the slow-start limit and the leased quota; 0: the process has no share.
func shareCounts(d *membership.Detector, now float64) (counts [2]int) {
	counts[0], _ = d.SlowStartSharers(now)
	counts[1], _ = d.QuotaSharers(now)
	return counts
}

// deathReport says that one process has declared another dead.
type deathReport struct {
	member, reporter string
	at               float64
}

// Process is a simulated scheduler process.
type Process struct {
	cluster            *Cluster
	Name               string
	Host               *sim.Process
	Runner             *members.Runner
	Incarnation        uint64
	Key                []byte
	Address            string
	index              int
	deathExpectedUntil float64 // until this time it may be declared dead while it lives
	DeadSince          float64 // true time in ms of its death, 0: it lives
	Paused             bool
	NameTakenBy        string
}

var key = []byte("the laboratory's member key")

// New starts n processes; all have the first three as their seeds.
func New(seed uint64, n int) *Cluster { return NewWithEnvironment(seed, n, nil) }

// NewWithEnvironment starts n processes in wrapped environments.
func NewWithEnvironment(seed uint64, n int, wrap func(env.Environment) env.Environment) *Cluster {
	return newCluster(seed, n, wrap, membership.Faults{})
}

func newCluster(seed uint64, n int, wrap func(env.Environment) env.Environment, faults membership.Faults) *Cluster {
	c := &Cluster{Faults: faults, shareUse: [2][][][2]float64{make([][][2]float64, n), make([][][2]float64, n)}, Clock: sim.NewClock(seed), Random: rand.New(rand.NewPCG(seed, 0xc1)), Wrap: wrap}
	for i := range n {
		name := fmt.Sprintf("m%03d", i)
		p := &Process{cluster: c, index: i, Name: name, Host: c.Clock.NewProcess(name), Key: key, Address: name + ":1"}
		c.Processes = append(c.Processes, p)
		p.Start()
	}
	return c
}

// Start starts the next incarnation of a process.
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
	environment := env.Environment(p.Host)
	if p.cluster.Wrap != nil {
		environment = p.cluster.Wrap(environment)
	}
	runner, err := members.Start(environment, p.Address, membership.Config{
		Site: "lab", Name: p.Name, Address: p.Address, Incarnation: p.Incarnation, Key: p.Key, Seeds: seeds,
		Seed: p.cluster.Random.Uint64(), Place: p.index, Places: len(p.cluster.shareUse[0]), SlowStartWindow: shareWindows[0], MaxOpenTime: shareWindows[1], Faults: p.cluster.Faults,
	}, eventHandler{p})
	if err != nil {
		panic(err)
	}
	p.Runner = runner
}

// Kill kills a process.
func (p *Process) Kill() {
	p.Host.Kill(false)
	p.DeadSince = p.cluster.Clock.TrueTime()
}

// Pause pauses a process.
func (p *Process) Pause() { p.Host.Pause(); p.Paused = true }

// Resume has a paused process continue.
func (p *Process) Resume() { p.Host.Resume(); p.Paused = false }

// ExpectDeaths allows live processes to be declared dead for a time in ms from now.
func (c *Cluster) ExpectDeaths(ms float64) {
	c.deathExpectedUntil = max(c.deathExpectedUntil, c.Clock.TrueTime()+ms)
}

type eventHandler struct{ process *Process }

func (h eventHandler) OnMemberChanged(_ float64, m membership.Member, previous membership.State) {
	c := h.process.cluster
	if m.State != membership.Dead {
		return
	}
	now := c.Clock.TrueTime()
	c.deaths = append(c.deaths, deathReport{m.Name, h.process.Name, now})
	if q := c.Process(m.Name); q.DeadSince == 0 && !q.Paused && now > max(c.deathExpectedUntil, q.deathExpectedUntil) && m.Incarnation >= q.Incarnation { // Reports of an earlier incarnation are not false.
		c.FalseDeaths = append(c.FalseDeaths, fmt.Sprintf("%.0f ms: %s declares %s dead, as reported by %s", now, h.process.Name, m.Name, m.By))
	}
}

func (h eventHandler) LastNodeContact(uint32) (incarnation uint64, heard float64, ok bool) {
	return 0, 0, false
}

func (h eventHandler) OnNameConflict(_ float64, address string) { h.process.NameTakenBy = address }

// Process returns the process of a name, nil if there is none.
func (c *Cluster) Process(name string) *Process {
	for _, p := range c.Processes {
		if p.Name == name {
			return p
		}
	}
	return nil
}

// Advance runs the simulation for a time in ms, and records the shares that processes hold meanwhile.
func (c *Cluster) Advance(ms float64) {
	for end := c.Clock.TrueTime() + ms; c.Clock.TrueTime() < end; {
		c.Clock.RunUntil(min(end, c.Clock.TrueTime()+50))
		c.recordShares()
	}
}

func (c *Cluster) recordShares() {
	now, sum := c.Clock.TrueTime(), [2]float64{}
	for i, p := range c.Processes {
		var counts [2]int
		if p.DeadSince == 0 && !p.Paused {
			p.Runner.WithDetector(func(d *membership.Detector) { counts = shareCounts(d, p.Host.Now()) })
		}
		for resource, n := range counts {
			used := &c.shareUse[resource][i]
			if n > 0 {
				*used = append(*used, [2]float64{now, 1 / float64(n)})
			}
			largest := 0.0
			*used = slices.DeleteFunc(*used, func(x [2]float64) bool { return x[0] <= now-shareWindows[resource] })
			for _, x := range *used {
				largest = max(largest, x[1])
			}
			sum[resource] += largest
		}
	}
	for resource := range sum {
		c.MaxShareSum[resource] = max(c.MaxShareSum[resource], sum[resource])
	}
}

// CurrentShareSum returns the fractions of the slow-start limit and of the leased quota that all running processes may use now together.
func (c *Cluster) CurrentShareSum() (used [2]float64) {
	for _, p := range c.Running() {
		p.Runner.WithDetector(func(d *membership.Detector) {
			for resource, n := range shareCounts(d, p.Host.Now()) {
				if n > 0 {
					used[resource] += 1 / float64(n)
				}
			}
		})
	}
	return used
}

// Running returns the processes that are neither dead nor paused.
func (c *Cluster) Running() (all []*Process) {
	for _, p := range c.Processes {
		if p.DeadSince == 0 && !p.Paused {
			all = append(all, p)
		}
	}
	return all
}

// Converged reports whether each running process considers exactly the other running ones alive, and all hold the same view. If not, the
// reason names a process that does not.
func (c *Cluster) Converged() (ok bool, reason string) {
	running := c.Running()
	var digest uint64
	for i, p := range running {
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
		for _, q := range running {
			if q != p {
				want = append(want, q.Name)
			}
		}
		if !slices.Equal(got, want) {
			return false, fmt.Sprintf("%s considers %v alive, want %v", p.Name, got, want)
		}
		if i == 0 {
			digest = v
		} else if v != digest {
			return false, fmt.Sprintf("%s and %s hold different views", p.Name, running[0].Name)
		}
	}
	return true, ""
}

// AwaitConvergence advances time until all processes agree, up to a limit in ms. It returns how long that took, infinity if they do not agree.
func (c *Cluster) AwaitConvergence(limit float64) float64 {
	began := c.Clock.TrueTime()
	for c.Clock.TrueTime() < began+limit {
		if ok, _ := c.Converged(); ok {
			return c.Clock.TrueTime() - began
		}
		c.Advance(50)
	}
	if ok, _ := c.Converged(); ok {
		return limit
	}
	return math.Inf(1)
}

// DetectionTimes returns, sorted, how many ms after its death each other running process declared a process dead, and whether all have.
func (c *Cluster) DetectionTimes(p *Process) (times []float64, all bool) {
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
			times = append(times, t)
		} else if q != p {
			return times, false
		}
	}
	slices.Sort(times)
	return times, true
}

// Sent returns the datagrams and bytes that all running processes have sent.
func (c *Cluster) Sent() (datagrams, bytes uint64) {
	for _, p := range c.Running() {
		p.Runner.WithDetector(func(d *membership.Detector) {
			datagrams += d.Stats.Sent
			bytes += d.Stats.Bytes
		})
	}
	return
}
