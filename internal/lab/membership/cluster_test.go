package membership

import (
	"fmt"
	"testing"

	"ravenpond/internal/decide/membership"
	"ravenpond/internal/env"
	"ravenpond/internal/lab/sim"
)

// TestJoin checks that processes find each other from the seeds alone, within 5 s.
func TestJoin(t *testing.T) {
	for _, n := range []int{2, 3, 9, 60} {
		c := New(1, n)
		elapsed := c.AwaitConvergence(10000)
		_, reason := c.Converged()
		t.Logf("%d processes converged in %.0f ms", n, elapsed)
		if elapsed > 5000 || len(c.FalseDeaths) > 0 {
			t.Errorf("%d processes: converged in %g ms (%s), false deaths %q; want at most 5000 ms and none", n, elapsed, reason, c.FalseDeaths)
		}
	}
}

// TestKill kills processes, one after another, and checks that all others detect each within 3.5 s.
func TestKill(t *testing.T) {
	for _, n := range []int{3, 9, 60} {
		t.Run(fmt.Sprint(n), func(t *testing.T) {
			c := New(2, n)
			c.AwaitConvergence(10000)
			for i := range 3 {
				p := c.Processes[n-1-i%(n-1)]
				p.Kill()
				c.Advance(6000)
				took, all := c.DetectionTimes(p)
				if !all || took[len(took)-1] > 3500 {
					t.Errorf("%s: got detection times %[3]v of %[2]d processes, want all within 3500 ms", p.Name, len(took), took)
				}
				p.Start()
				if ms := c.AwaitConvergence(6000); ms > 6000 {
					_, why := c.Converged()
					t.Errorf("no convergence within 6000 ms of a restart: %s", why)
				}
			}
			if len(c.FalseDeaths) > 0 {
				t.Error(c.FalseDeaths)
			}
		})
	}
}

// newConverged returns a cluster in which all processes know each other.
func newConverged(t *testing.T, seed uint64, n int) *Cluster {
	c := New(seed, n)
	if ms := c.AwaitConvergence(10000); ms > 10000 {
		_, reason := c.Converged()
		t.Fatalf("%d processes do not converge within 10000 ms: %s", n, reason)
	}
	return c
}

// checkConvergence checks that all agree within a time in ms, that no live process was declared dead, and that no limit was exceeded.
func checkConvergence(t *testing.T, c *Cluster, within float64) {
	t.Helper()
	if ms := c.AwaitConvergence(within); ms > within {
		_, reason := c.Converged()
		t.Errorf("no convergence within %.0f ms: %s", within, reason)
	}
	if len(c.FalseDeaths) > 0 {
		t.Errorf("got %d false deaths, want none; the first: %s", len(c.FalseDeaths), c.FalseDeaths[0])
	}
	if max(c.MaxShareSum[0], c.MaxShareSum[1]) > 1+1e-9 {
		t.Errorf("the shares within a window sum up to %.3f of the slow-start limit and %.3f of the leased quota, want at most 1", c.MaxShareSum[0], c.MaxShareSum[1])
	}
}

// TestPause pauses processes: they declare no process dead after they resume, are not declared dead before the shortest suspicion has
// passed, and rejoin.
func TestPause(t *testing.T) {
	for _, ms := range []float64{300, 1000, 3000, 10000} {
		for _, n := range []int{3, 9, 30} {
			t.Run(fmt.Sprint(ms, " ms, processes ", n), func(t *testing.T) {
				c := newConverged(t, 3, n)
				p := c.Processes[n-1]
				var minSuspicion float64
				p.Runner.WithDetector(func(d *membership.Detector) { minSuspicion, _ = d.SuspicionBounds() })
				p.Pause()
				from := c.Clock.TrueTime()
				c.Advance(ms)
				for _, d := range c.deaths {
					if d.at < from+minSuspicion {
						t.Errorf("%s declared it dead after %.0f ms, want at least %.0f ms", d.reporter, d.at-from, minSuspicion)
					}
				}
				before := len(c.deaths)
				p.Resume()
				c.ExpectDeaths(2000) // Some processes may be about to declare it dead.
				checkConvergence(t, c, 4000)
				for _, d := range c.deaths[before:] {
					if d.reporter == p.Name {
						t.Errorf("it resumed and declared %s dead", d.member)
					}
				}
			})
		}
	}
}

// TestLinks cuts or degrades some links for half a minute: no process that others still reach is declared dead.
func TestLinks(t *testing.T) {
	setLinks := func(c *Cluster, f func(from, to *Process) bool, does func(*sim.DatagramLink)) {
		for _, p := range c.Processes {
			for _, q := range c.Processes {
				if p != q && f(p, q) {
					does(c.Clock.DatagramLink(p.Name, q.Name))
				}
			}
		}
	}
	a, b := "m001", "m003"
	for _, x := range []struct {
		name string
		hits func(from, to *Process) bool
		does func(*sim.DatagramLink)
	}{
		{"a link cut in one direction", func(p, q *Process) bool { return p.Name == a && q.Name == b }, func(l *sim.DatagramLink) { l.Cut = true }},
		{
			"a link cut in both directions", func(p, q *Process) bool { return p.Name == a && q.Name == b || p.Name == b && q.Name == a },
			func(l *sim.DatagramLink) { l.Cut = true },
		},
		{"one process loses 30%", func(p, q *Process) bool { return p.Name == a || q.Name == a }, func(l *sim.DatagramLink) { l.Loss = 0.3 }},
		{"all links lose 5%", func(p, q *Process) bool { return true }, func(l *sim.DatagramLink) { l.Loss = 0.05 }},
		{"half of all datagrams duplicated", func(p, q *Process) bool { return true }, func(l *sim.DatagramLink) { l.Duplication = 0.5 }},
	} {
		t.Run(x.name, func(t *testing.T) {
			c := newConverged(t, 4, 9)
			setLinks(c, x.hits, x.does)
			c.Advance(30000)
			setLinks(c, x.hits, func(l *sim.DatagramLink) { *l = sim.DatagramLink{} })
			checkConvergence(t, c, 5000)
		})
	}
}

// TestSlowAnswers delays the datagrams of a fifth of the processes by up to a second. Before the others have adapted to the delay they may
// declare them dead; afterwards they wait for their answers.
func TestSlowAnswers(t *testing.T) {
	c := newConverged(t, 5, 10)
	slow := func(ms float64) {
		for _, p := range c.Processes[8:] {
			for _, q := range c.Processes {
				c.Clock.DatagramLink(p.Name, q.Name).MaxDelay = ms
			}
		}
	}
	slow(1000)
	c.ExpectDeaths(10000)
	c.Advance(10000)
	c.Advance(30000)
	slow(0)
	checkConvergence(t, c, 6000)
}

// TestPartition cuts the processes into parts that do not reach each other, and heals the partition: all converge on one view within five
// seconds on their own.
func TestPartition(t *testing.T) {
	for _, parts := range []int{2, 3} {
		for _, n := range []int{3, 9, 40} {
			t.Run(fmt.Sprint(parts, " parts, processes ", n), func(t *testing.T) {
				c := newConverged(t, 6, n)
				cut := func(on bool) {
					for i, p := range c.Processes {
						for j, q := range c.Processes {
							if i%parts != j%parts {
								c.Clock.DatagramLink(p.Name, q.Name).Cut = on
							}
						}
					}
				}
				cut(true)
				c.ExpectDeaths(20000)
				c.Advance(20000)
				cut(false)
				c.ExpectDeaths(2000) // Earlier death reports may still arrive before their refutations.
				checkConvergence(t, c, 5000)
			})
		}
	}
}

// TestRestarts restarts every process one after another, and then seven in ten at once.
func TestRestarts(t *testing.T) {
	c := newConverged(t, 7, 10)
	for _, p := range c.Processes {
		p.Kill()
		c.Advance(700)
		p.Start()
		c.Advance(300)
	}
	checkConvergence(t, c, 5000)
	for _, p := range c.Processes[:7] {
		p.Kill()
	}
	c.Advance(4000)
	checkConvergence(t, c, 4000)
	for _, p := range c.Processes[:7] {
		p.Start()
	}
	checkConvergence(t, c, 5000)
}

// TestLeaves has a process leave deliberately: the others know within 1.5 s, and consider it left and not dead.
func TestLeaves(t *testing.T) {
	c := newConverged(t, 8, 9)
	p := c.Processes[5]
	p.Runner.Stop()
	p.Kill()
	c.Advance(1500)
	for _, q := range c.Running() {
		q.Runner.WithDetector(func(d *membership.Detector) {
			for _, m := range d.All() {
				if m.Name == p.Name && m.State != membership.Left {
					t.Errorf("%s considers it %s, want left", q.Name, m.State)
				}
			}
		})
	}
	if len(c.deaths) > 0 {
		t.Errorf("got %d death reports, want 0", len(c.deaths))
	}
	p.Start()
	checkConvergence(t, c, 5000)
}

// TestDeadSeeds kills all seeds of the site: the other processes still agree, and each process that restarts finds them.
func TestDeadSeeds(t *testing.T) {
	c := newConverged(t, 9, 9)
	for _, p := range c.Processes[:3] {
		p.Kill()
	}
	c.Advance(5000)
	checkConvergence(t, c, 1000)
	c.Processes[7].Kill()
	c.Advance(4000)
	c.Processes[7].Start() // It knows only dead seeds; the others contact it.
	checkConvergence(t, c, 6000)
	for _, p := range c.Processes[:3] {
		p.Start()
	}
	checkConvergence(t, c, 6000)
}

// TestLostIncarnation starts a process with a lower incarnation than it had before, as after the loss of its state folder.
func TestLostIncarnation(t *testing.T) {
	c := newConverged(t, 10, 5)
	p := c.Processes[4]
	for range 3 {
		p.Kill()
		c.Advance(500)
		p.Start()
		checkConvergence(t, c, 5000)
	}
	p.Kill()
	p.Incarnation = 0
	c.Advance(500)
	p.Start()
	checkConvergence(t, c, 8000)
	p.Runner.WithDetector(func(d *membership.Detector) {
		if d.Incarnation() <= 4 {
			t.Errorf("got incarnation %d, want above 4", d.Incarnation())
		}
	})
}

// TestNameTaken starts a second process under a name that is in use: the first one detects that and gives up the name.
func TestNameTaken(t *testing.T) {
	c := newConverged(t, 11, 5)
	second := &Process{cluster: c, Name: "m002", Host: c.Clock.NewProcess("twin"), Key: key, Address: "twin:1", Incarnation: 6}
	second.Start()
	c.Advance(5000)
	if c.Processes[2].NameTakenBy != "twin:1" || second.NameTakenBy != "" {
		t.Errorf("name taken by: got %q at the first process and %q at the second, want twin:1 and none", c.Processes[2].NameTakenBy, second.NameTakenBy)
	}
	c.Processes[2].Runner.WithDetector(func(d *membership.Detector) {
		if !d.HasNameConflict() {
			t.Error("the first process goes on under the name of the second, want a name conflict")
		}
	})
}

// TestClockJump has the wall clocks of machines jump: no process is declared dead, as the detector uses a monotonic clock.
func TestClockJump(t *testing.T) {
	c := newConverged(t, 12, 5)
	for i, p := range c.Processes {
		p.Host.JumpClock(float64(i-2) * 3600e3)
		c.Advance(1000)
	}
	if len(c.deaths) > 0 {
		t.Errorf("got %d death reports, want 0", len(c.deaths))
	}
	checkConvergence(t, c, 1000)
}

// TestForeignDatagrams checks that a process with another key and a flood of random datagrams change no view.
func TestForeignDatagrams(t *testing.T) {
	c := newConverged(t, 13, 5)
	foreigner := &Process{cluster: c, Name: "foe", Host: c.Clock.NewProcess("foe"), Key: []byte("some other key"), Address: "foe:1"}
	foreigner.Start()
	noise, err := foreigner.Host.ListenPacket("noise:1", func([]byte) {})
	if err != nil {
		t.Fatal(err)
	}
	for i := range 20000 {
		b := make([]byte, c.Random.IntN(1400))
		for j := range b {
			b[j] = byte(c.Random.Uint32())
		}
		noise.Send(c.Processes[i%5].Address, b)
		if i%100 == 0 {
			c.Advance(10)
		}
	}
	c.Advance(3000)
	checkConvergence(t, c, 1000)
	foreign := uint64(0)
	for _, p := range c.Processes {
		p.Runner.WithDetector(func(d *membership.Detector) {
			foreign += d.Stats.Foreign
			if len(d.All()) != 4 {
				t.Errorf("%s knows %d members, want 4", p.Name, len(d.All()))
			}
		})
	}
	if foreign < 20000 {
		t.Errorf("got %d foreign datagrams counted, want at least 20000", foreign)
	}
}

// recordingEnv keeps every datagram that a process receives, for a replay.
type recordingEnv struct {
	env.Environment
	kept map[string][][]byte
}

func (r *recordingEnv) ListenPacket(address string, heard func([]byte)) (env.PacketConn, error) {
	return r.Environment.ListenPacket(address, func(b []byte) {
		r.kept[address] = append(r.kept[address], append([]byte(nil), b...))
		heard(b)
	})
}

// TestReplay replays all datagrams to the processes that received them, after deaths, restarts and new incarnations: no process is declared
// dead for it, and the cost is one hash for each.
func TestReplay(t *testing.T) {
	kept := map[string][][]byte{}
	c := NewWithEnvironment(14, 5, func(w env.Environment) env.Environment { return &recordingEnv{w, kept} })
	c.AwaitConvergence(5000)
	c.Advance(3000)
	c.Processes[4].Kill()
	c.Advance(6000)
	c.Processes[4].Start()
	c.Advance(4000)
	c.Processes[3].Kill() // It stays dead.
	c.Advance(7000)
	deaths := len(c.deaths)
	sender, err := c.Processes[0].Host.ListenPacket("again:1", func([]byte) {})
	if err != nil {
		t.Fatal(err)
	}
	recorded := map[string][][]byte{}
	for to, list := range kept {
		recorded[to] = list[:len(list):len(list)]
	}
	for _, p := range c.Processes {
		for i, b := range recorded[p.Address] {
			sender.Send(p.Address, b)
			if i%50 == 0 {
				c.Advance(20)
			}
		}
	}
	c.Advance(5000)
	if len(c.deaths) > deaths {
		t.Errorf("got %d more death reports after the replay, want 0", len(c.deaths)-deaths)
	}
	checkConvergence(t, c, 500)
}

// TestSeeds plays seeds with overlapping faults of many kinds, and checks that a seed played twice has the same result.
func TestSeeds(t *testing.T) {
	for _, v := range Seeds(t.Context(), 0, 48, 4, membership.Faults{}) {
		if v.Failure != "" {
			t.Errorf("seed %d, %d processes: %.600s", v.Seed, v.Processes, v.Failure)
		}
	}
	if a, b := Play(5, membership.Faults{}), Play(5, membership.Faults{}); a != b {
		t.Errorf("seed 5 played twice: got %+v and %+v, want the same", a, b)
	}
}

// TestInjectedFaults injects faults into the detector, each of which has to be found by the seeds.
func TestInjectedFaults(t *testing.T) {
	for _, p := range Faults {
		t.Run(p.Name, func(t *testing.T) {
			if p.Plant.IgnoreLocalHealth || p.Plant.AcceptReplays {
				t.Skip("covered by decide/membership and by TestReplayedLeave: it would take too many seeds")
			}
			for from := uint64(0); from < 48; from += 4 {
				for _, v := range Seeds(t.Context(), from, from+4, 4, p.Plant) {
					if v.Failure != "" {
						t.Logf("found by seed %d: %.160s", v.Seed, v.Failure)
						return
					}
				}
			}
			t.Error("no violation in seeds 0 to 47, want the injected fault to be found")
		})
	}
}

// TestReplayedLeave replays all that a process received over and over, after another one died: the dead process's share still goes to the
// others, unless replays are accepted.
func TestReplayedLeave(t *testing.T) {
	for _, accepted := range []bool{false, true} {
		kept := map[string][][]byte{}
		c := newCluster(15, 3, func(w env.Environment) env.Environment { return &recordingEnv{w, kept} }, membership.Faults{AcceptReplays: accepted})
		c.Advance(20000)
		c.Processes[2].Kill()
		sender, err := c.Processes[0].Host.ListenPacket("again:1", func([]byte) {})
		if err != nil {
			t.Fatal(err)
		}
		recorded := kept[c.Processes[0].Address]
		recorded = recorded[:len(recorded):len(recorded)]
		for range 20 {
			for _, b := range recorded {
				sender.Send(c.Processes[0].Address, b)
			}
			c.Advance(1000)
		}
		c.Processes[0].Runner.WithDetector(func(d *membership.Detector) {
			if n, _ := d.SlowStartSharers(c.Processes[0].Host.Now()); n != 2 && !accepted || n == 2 && accepted {
				t.Errorf("replays accepted %t: got %d sharers, want 2 only if they are not accepted", accepted, n)
			}
		})
	}
}
