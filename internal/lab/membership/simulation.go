package membership

import (
	"context"
	"fmt"
	"io"
	"runtime/debug"

	"ravenpond/internal/decide/membership"
	"ravenpond/internal/env"
	"ravenpond/internal/lab/seeds"
	"ravenpond/internal/lab/sim"
)

// Times of a seed in ms.
const (
	faultTime     = 25000 // in which things go wrong
	healLimit     = 12000 // by then all hold the same again
	recoveryLimit = 40000 // and by then all that a cold node bears is in use again
	excuseTime    = 6000  // after its last fault a process may yet be held for dead
)

// Result is what came of a seed.
type Result struct {
	Seed        uint64
	Processes   int
	Failure     string  // empty, if nothing is
	Convergence float64 // ms from the last fault until all held the same
}

// Play plays a seed: three to sixty processes, and faults of many kinds one upon another.
func Play(seed uint64, plant membership.Faults) (v Result) {
	v.Seed = seed
	defer func() {
		if p := recover(); p != nil {
			v.Failure = fmt.Sprintf("panic: %v\n%s", p, debug.Stack())
		}
	}()
	var old *recording
	sizes := []int{3, 3, 4, 5, 5, 7, 9, 9, 12, 20, 35, 60}
	n := sizes[int(seed)%len(sizes)]
	v.Processes = n
	c := newCluster(seed, n, func(w env.Environment) env.Environment {
		if old == nil {
			old = &recording{}
		}
		return recordingEnvironment{w, old}
	}, plant)
	fail := func(format string, args ...any) {
		if v.Failure == "" {
			v.Failure = fmt.Sprintf("at %.0f ms: ", c.Clock.TrueTime()) + fmt.Sprintf(format, args...)
		}
	}
	c.Advance(2000 + 8000*c.Random.Float64())
	excuse := func(p *Process, ms float64) { p.excusedUntil = max(p.excusedUntil, c.Clock.TrueTime()+ms+excuseTime) }
	for end := c.Clock.TrueTime() + faultTime; c.Clock.TrueTime() < end; {
		c.injectFault(excuse, old)
		c.Advance(200 + 3000*c.Random.Float64())
	}
	for _, p := range c.Processes { // all is well from here on
		if p.DeadSince > 0 {
			p.Start()
		}
		if p.Paused {
			p.Resume()
		}
		excuse(p, 0)
	}
	c.setLinks(func(_, _ *Process) bool { return true }, sim.DatagramLink{})
	c.Advance(100)
	if v.Convergence = c.AwaitConvergence(healLimit); v.Convergence > healLimit {
		_, why := c.Converged()
		fail("%s", why)
	}
	for range int(recoveryLimit / 1000) {
		if used := c.CurrentUse(); min(used[0], used[1]) > 0.999 {
			break
		}
		c.Advance(1000)
	}
	if used := c.CurrentUse(); min(used[0], used[1]) < 0.999 {
		fail("%.3f of what a cold node bears is in use when all is well, and %.3f of what is lent", used[0], used[1])
	}
	if c.AwaitConvergence(2000) > 2000 { // a suspicion of before may yet be refuted
		_, why := c.Converged()
		fail("in the calm: %s", why)
	}
	p := c.Processes[c.Random.IntN(n)] // one dies for good, and all that was ever heard of it comes again
	p.Kill()
	_, most := c.suspicionBounds()
	c.Advance(most + excuseTime)
	c.replay(c.Running()[0], old, len(old.datagrams))
	for range 6 {
		c.Advance(100)
		if ok, why := c.Converged(); !ok {
			fail("after a death and a replay: %s", why)
		}
	}
	if max(c.MaxUse[0], c.MaxUse[1]) > 1+1e-9 {
		fail("%.3f of what a cold node bears within a window, %.3f of what is lent", c.MaxUse[0], c.MaxUse[1])
	}
	if len(c.FalseDeaths) > 0 {
		fail("%s", c.FalseDeaths[0])
	}
	return v
}

// recording keeps some of what was heard, for a replay.
type recording struct{ datagrams []datagram }

type datagram struct {
	address string
	data    []byte
}

type recordingEnvironment struct {
	env.Environment
	*recording
}

func (r recordingEnvironment) ListenPacket(address string, f func([]byte)) (env.PacketConn, error) {
	return r.Environment.ListenPacket(address, func(b []byte) {
		if len(r.datagrams) < 4000 {
			r.datagrams = append(r.datagrams, datagram{address, append([]byte(nil), b...)})
		}
		f(b)
	})
}

// setLinks sets the ways between some.
func (c *Cluster) setLinks(hits func(from, to *Process) bool, to sim.DatagramLink) {
	for _, p := range c.Processes {
		for _, q := range c.Processes {
			if p != q && hits(p, q) {
				*c.Clock.DatagramLink(p.Name, q.Name) = to
			}
		}
	}
}

// injectFault draws something that goes wrong for a while.
func (c *Cluster) injectFault(excuse func(*Process, float64), old *recording) {
	p, q := c.Processes[c.Random.IntN(len(c.Processes))], c.Processes[c.Random.IntN(len(c.Processes))]
	ms := 300 + 6000*c.Random.Float64()*c.Random.Float64()
	later := func(f func()) { c.Clock.At(c.Clock.TrueTime()+ms, f) }
	switch c.Random.IntN(11) {
	case 0, 1:
		if p.DeadSince == 0 && !p.Paused {
			p.Kill()
			later(func() {
				if p.DeadSince > 0 {
					p.Start()
					excuse(p, 0)
				}
			})
		}
	case 2, 3:
		if p.DeadSince == 0 && !p.Paused {
			p.Pause()
			later(func() {
				if p.Paused {
					p.Resume()
					excuse(p, 0)
				}
			})
		}
	case 4: // one way alone
		one := func(a, b *Process) bool { return a == p && b == q }
		if len(c.Processes) < 5 { // if the third is gone too, nobody is left who could help
			excuse(p, ms)
			excuse(q, ms)
		}
		c.setLinks(one, sim.DatagramLink{Cut: true})
		later(func() { c.setLinks(one, sim.DatagramLink{}) })
	case 5: // parts that know nothing of each other
		side := c.Random.Uint64()
		cross := func(a, b *Process) bool { return side>>(a.index%64)&1 != side>>(b.index%64)&1 }
		c.setLinks(cross, sim.DatagramLink{Cut: true})
		for _, x := range c.Processes {
			excuse(x, ms)
		}
		later(func() { c.setLinks(cross, sim.DatagramLink{}) })
	case 6:
		c.setLinks(func(_, _ *Process) bool { return true }, sim.DatagramLink{Loss: 0.05, Duplication: 0.05})
		later(func() { c.setLinks(func(_, _ *Process) bool { return true }, sim.DatagramLink{}) })
	case 7: // slow answers
		from := func(a, _ *Process) bool { return a == p }
		c.setLinks(from, sim.DatagramLink{MaxDelay: 800})
		excuse(p, ms)
		later(func() { c.setLinks(from, sim.DatagramLink{}) })
	case 8: // one leaves on purpose
		if p.DeadSince == 0 && !p.Paused {
			p.Runner.Stop()
			p.Kill()
			later(func() {
				if p.DeadSince > 0 {
					p.Start()
					excuse(p, 0)
				}
			})
		}
	case 9: // many at once
		for _, x := range c.Processes {
			if x.DeadSince == 0 && !x.Paused && c.Random.IntN(10) < 7 {
				x.Kill()
			}
			excuse(x, ms)
		}
		later(func() {
			for _, x := range c.Processes {
				if x.DeadSince > 0 {
					x.Start()
				}
			}
		})
	case 10: // what was heard before comes again
		if p.DeadSince == 0 {
			c.replay(p, old, 400)
		}
	}
}

// replay brings again some of what was heard before.
func (c *Cluster) replay(p *Process, old *recording, most int) {
	port, err := p.Host.ListenPacket(fmt.Sprint("again-", c.Random.Uint64(), ":1"), func([]byte) {})
	if err != nil {
		return
	}
	for range min(most, len(old.datagrams)) {
		h := old.datagrams[c.Random.IntN(len(old.datagrams))]
		port.Send(h.address, h.data)
	}
}

// suspicionBounds are those of a suspicion now.
func (c *Cluster) suspicionBounds() (least, most float64) {
	c.Running()[0].Runner.WithDetector(func(d *membership.Detector) { least, most = d.SuspicionBounds() })
	return
}

// Seeds plays the seeds from a to b, the latter left out, so many at a time, in their order.
func Seeds(ctx context.Context, a, b uint64, workers int, plant membership.Faults) []Result {
	return seeds.Run(ctx, a, b, workers, func(seed uint64) Result { return Play(seed, plant) })
}

// Print writes what came of seeds; the last line counts those that broke.
func Print(w io.Writer, all []Result) (broken int) {
	played, longest := 0, 0.0
	for _, v := range all {
		if v.Processes == 0 {
			continue // broken off before it came up
		}
		played++
		if v.Failure != "" {
			if broken++; broken <= 20 {
				fmt.Fprintf(w, "seed %d, %d processes: %.1500s\n", v.Seed, v.Processes, v.Failure)
			}
			continue
		}
		longest = max(longest, v.Convergence)
	}
	fmt.Fprintf(w, "%d seeds of members; all held the same at most %.0f ms after the last fault\nbroken: %d\n", played, longest, broken)
	return broken
}

// Faults are faults that the seeds must find.
var Faults = []struct {
	Name  string
	Plant membership.Faults
}{
	{"a suspect does not answer for itself", membership.Faults{NoRefutation: true}},
	{"a suspect answers without a higher version", membership.Faults{SameVersion: true}},
	{"older news are taken", membership.Faults{AcceptStale: true}},
	{"replays are taken", membership.Faults{AcceptReplays: true}},
	{"who stood still accuses others", membership.Faults{IgnoreLocalHealth: true}},
	{"parts grow at once", membership.Faults{GrowShares: true}},
}
