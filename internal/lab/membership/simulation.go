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
	faultTime     = 25000 // in which faults start
	healLimit     = 12000 // within which all hold the same view after the last fault
	recoveryLimit = 40000 // within which the slow-start limit and the leased quota are in full use again
	deathGrace    = 6000  // for which a process may still be declared dead after its last fault
)

// Result is the outcome of a seed.
type Result struct {
	Seed        uint64
	Processes   int
	Failure     string  // the first violation, empty if there was none
	Convergence float64 // ms from the last fault until all held the same view
}

// Play simulates a seed: three to sixty processes, with overlapping faults of many kinds.
func Play(seed uint64, faults membership.Faults) (result Result) {
	result.Seed = seed
	defer func() {
		if p := recover(); p != nil {
			result.Failure = fmt.Sprintf("panic: %v\n%s", p, debug.Stack())
		}
	}()
	var recorded *recording
	sizes := []int{3, 3, 4, 5, 5, 7, 9, 9, 12, 20, 35, 60}
	n := sizes[int(seed)%len(sizes)]
	result.Processes = n
	c := newCluster(seed, n, func(w env.Environment) env.Environment {
		if recorded == nil {
			recorded = &recording{}
		}
		return recordingEnvironment{w, recorded}
	}, faults)
	fail := func(format string, args ...any) {
		if result.Failure == "" {
			result.Failure = fmt.Sprintf("at %.0f ms: ", c.Clock.TrueTime()) + fmt.Sprintf(format, args...)
		}
	}
	c.Advance(2000 + 8000*c.Random.Float64())
	expectDeath := func(p *Process, ms float64) {
		p.deathExpectedUntil = max(p.deathExpectedUntil, c.Clock.TrueTime()+ms+deathGrace)
	}
	for end := c.Clock.TrueTime() + faultTime; c.Clock.TrueTime() < end; {
		c.injectFault(expectDeath, recorded)
		c.Advance(200 + 3000*c.Random.Float64())
	}
	for _, p := range c.Processes { // All faults end here.
		if p.DeadSince > 0 {
			p.Start()
		}
		if p.Paused {
			p.Resume()
		}
		expectDeath(p, 0)
	}
	c.setLinks(func(_, _ *Process) bool { return true }, sim.DatagramLink{})
	c.Advance(100)
	if result.Convergence = c.AwaitConvergence(healLimit); result.Convergence > healLimit {
		_, reason := c.Converged()
		fail("%s", reason)
	}
	for range int(recoveryLimit / 1000) {
		if used := c.CurrentShareSum(); min(used[0], used[1]) > 0.999 {
			break
		}
		c.Advance(1000)
	}
	if used := c.CurrentShareSum(); min(used[0], used[1]) < 0.999 {
		fail("a fraction of %.3f of the slow-start limit and of %.3f of the leased quota is in use after the faults, want 0.999", used[0], used[1])
	}
	if c.AwaitConvergence(2000) > 2000 { // A suspicion from before may still be refuted.
		_, reason := c.Converged()
		fail("after convergence, without faults: %s", reason)
	}
	p := c.Processes[c.Random.IntN(n)] // One process dies for good, and recorded datagrams are replayed.
	p.Kill()
	_, maxSuspicion := c.suspicionBounds()
	c.Advance(maxSuspicion + deathGrace)
	c.replay(c.Running()[0], recorded, len(recorded.datagrams))
	for range 6 {
		c.Advance(100)
		if ok, reason := c.Converged(); !ok {
			fail("after a death and a replay: %s", reason)
		}
	}
	if max(c.MaxShareSum[0], c.MaxShareSum[1]) > 1+1e-9 {
		fail("the shares within a window sum up to %.3f of the slow-start limit and %.3f of the leased quota, want at most 1", c.MaxShareSum[0], c.MaxShareSum[1])
	}
	if len(c.FalseDeaths) > 0 {
		fail("%s", c.FalseDeaths[0])
	}
	return result
}

// recording keeps the first received datagrams, for a replay.
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

// setLinks sets the datagram links that hits selects.
func (c *Cluster) setLinks(hits func(from, link *Process) bool, link sim.DatagramLink) {
	for _, p := range c.Processes {
		for _, q := range c.Processes {
			if p != q && hits(p, q) {
				*c.Clock.DatagramLink(p.Name, q.Name) = link
			}
		}
	}
}

// injectFault draws a fault that lasts for a while.
func (c *Cluster) injectFault(expectDeath func(*Process, float64), recorded *recording) {
	p, q := c.Processes[c.Random.IntN(len(c.Processes))], c.Processes[c.Random.IntN(len(c.Processes))]
	ms := 300 + 6000*c.Random.Float64()*c.Random.Float64()
	afterwards := func(f func()) { c.Clock.At(c.Clock.TrueTime()+ms, f) }
	switch c.Random.IntN(11) {
	case 0, 1:
		if p.DeadSince == 0 && !p.Paused {
			p.Kill()
			afterwards(func() {
				if p.DeadSince > 0 {
					p.Start()
					expectDeath(p, 0)
				}
			})
		}
	case 2, 3:
		if p.DeadSince == 0 && !p.Paused {
			p.Pause()
			afterwards(func() {
				if p.Paused {
					p.Resume()
					expectDeath(p, 0)
				}
			})
		}
	case 4: // A link is cut in one direction.
		link := func(a, b *Process) bool { return a == p && b == q }
		if len(c.Processes) < 5 { // If the third process is dead too, no process is left for indirect probes.
			expectDeath(p, ms)
			expectDeath(q, ms)
		}
		c.setLinks(link, sim.DatagramLink{Cut: true})
		afterwards(func() { c.setLinks(link, sim.DatagramLink{}) })
	case 5: // The processes are partitioned.
		side := c.Random.Uint64()
		cross := func(a, b *Process) bool { return side>>(a.index%64)&1 != side>>(b.index%64)&1 }
		c.setLinks(cross, sim.DatagramLink{Cut: true})
		for _, x := range c.Processes {
			expectDeath(x, ms)
		}
		afterwards(func() { c.setLinks(cross, sim.DatagramLink{}) })
	case 6:
		c.setLinks(func(_, _ *Process) bool { return true }, sim.DatagramLink{Loss: 0.05, Duplication: 0.05})
		afterwards(func() { c.setLinks(func(_, _ *Process) bool { return true }, sim.DatagramLink{}) })
	case 7: // A process answers slowly.
		answers := func(a, _ *Process) bool { return a == p }
		c.setLinks(answers, sim.DatagramLink{MaxDelay: 800})
		expectDeath(p, ms)
		afterwards(func() { c.setLinks(answers, sim.DatagramLink{}) })
	case 8: // A process leaves deliberately.
		if p.DeadSince == 0 && !p.Paused {
			p.Runner.Stop()
			p.Kill()
			afterwards(func() {
				if p.DeadSince > 0 {
					p.Start()
					expectDeath(p, 0)
				}
			})
		}
	case 9: // Many processes are killed at once.
		for _, x := range c.Processes {
			if x.DeadSince == 0 && !x.Paused && c.Random.IntN(10) < 7 {
				x.Kill()
			}
			expectDeath(x, ms)
		}
		afterwards(func() {
			for _, x := range c.Processes {
				if x.DeadSince > 0 {
					x.Start()
				}
			}
		})
	case 10: // Recorded datagrams are replayed.
		if p.DeadSince == 0 {
			c.replay(p, recorded, 400)
		}
	}
}

// replay sends random recorded datagrams again, up to a limit.
func (c *Cluster) replay(p *Process, recorded *recording, limit int) {
	port, err := p.Host.ListenPacket(fmt.Sprint("again-", c.Random.Uint64(), ":1"), func([]byte) {})
	if err != nil {
		return
	}
	for range min(limit, len(recorded.datagrams)) {
		d := recorded.datagrams[c.Random.IntN(len(recorded.datagrams))]
		port.Send(d.address, d.data)
	}
}

// suspicionBounds returns the present bounds in ms of a suspicion's duration.
func (c *Cluster) suspicionBounds() (least, most float64) {
	c.Running()[0].Runner.WithDetector(func(d *membership.Detector) { least, most = d.SuspicionBounds() })
	return
}

// Seeds plays the seeds from a up to but not including b, as many at a time as there are workers, and returns the results in their order.
func Seeds(ctx context.Context, a, b uint64, workers int, faults membership.Faults) []Result {
	return seeds.Run(ctx, a, b, workers, func(seed uint64) Result { return Play(seed, faults) })
}

// Print writes the outcome of seeds; the last line counts those with a violation.
func Print(w io.Writer, all []Result) (failed int) {
	played, longest := 0, 0.0
	for _, v := range all {
		if v.Processes == 0 {
			continue // The context ended before the seed was played.
		}
		played++
		if v.Failure != "" {
			if failed++; failed <= 20 {
				fmt.Fprintf(w, "seed %d, %d processes: %.1500s\n", v.Seed, v.Processes, v.Failure)
			}
			continue
		}
		longest = max(longest, v.Convergence)
	}
	fmt.Fprintf(w, "%d seeds of members; all held the same at most %.0f ms after the last fault\nbroken: %d\n", played, longest, failed)
	return failed
}

// Faults are the faults that the seeds have to find when they are injected.
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
