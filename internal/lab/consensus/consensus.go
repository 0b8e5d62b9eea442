// Package council plays the schedulers that agree on a book by seeds, on the laboratory's clock and network: the program's own
// members, council and control, stewards' disks that outlive their processes, and faults. Held all along: who holds a book of a
// version holds the same bytes as all; what was agreed on is never lost; epochs are given once; and who is sure holds all that
// was agreed on longer ago than the lease.
package consensus

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"runtime/debug"
	"slices"

	"github.com/rs/zerolog"

	"ravenpond/internal/control"
	"ravenpond/internal/decide/clusterstate"
	"ravenpond/internal/decide/consensus"
	"ravenpond/internal/decide/membership"
	"ravenpond/internal/lab/seeds"
	"ravenpond/internal/lab/sim"
	"ravenpond/internal/members"
)

// Times in ms.
const (
	activeTime    = 20000 // of faults and commands
	settleTime    = 12000 // after them all must hold one book
	maxStaleness  = consensus.Lease * 1.03
	checkInterval = 25
)

// Result is what came of a seed.
type Result struct {
	Seed                        uint64
	Failure                     string
	Commands, Answered, Leaders int
	Versions                    uint64
	Convergence                 float64 // ms after the last fault until all held one book and were sure
}

type simulation struct {
	result    Result
	clock     *sim.Clock
	rng       *rand.Rand
	faulty    consensus.Faults
	processes []*process
	voters    []string // of the stewards
	snapshots map[uint64][]byte
	firstHeld []versionMark // when each version was first held anywhere, in order
	diskLost  bool          // a steward's disk is
}

type versionMark struct {
	at      float64
	version uint64
}

type process struct {
	sim         *simulation
	name        string
	host        *sim.Process
	incarnation uint64
	runner      *control.Runner
	disk        *Disk
	lastVersion uint64 // the latest version in this life
}

// Disk is a steward's on the laboratory's clock; it outlives its process.
type Disk struct {
	Full bool // it takes nothing

	saved consensus.PersistedState
	first uint64 // of the first entry
}

var errFull = errors.New("no space left on the disk")

// Load gives what was saved.
func (d *Disk) Load() (consensus.PersistedState, error) {
	return consensus.PersistedState{Hard: d.saved.Hard, Snapshot: d.saved.Snapshot, Entries: slices.Clone(d.saved.Entries)}, nil
}

// Save keeps it.
func (d *Disk) Save(hard []byte, from uint64, entries [][]byte, snapshot []byte, _ uint64) error {
	if d.Full {
		return errFull
	}
	if hard != nil {
		d.saved.Hard = hard
	}
	if snapshot != nil {
		d.saved.Snapshot = snapshot
	}
	if from > 0 {
		if d.first == 0 || from < d.first {
			d.first, d.saved.Entries = from, nil
		}
		d.saved.Entries = append(d.saved.Entries[:min(len(d.saved.Entries), int(from-d.first))], entries...)
	}
	return nil
}

// Close lets it go.
func (d *Disk) Close() error { return nil }

// SilentMembers hears of no member and of no node.
type SilentMembers struct{}

// OnChange hears nothing.
func (SilentMembers) OnChange(float64, membership.Member, membership.State) {}

// OnNameTaken hears nothing.
func (SilentMembers) OnNameTaken(float64, string) {}

// LastHeard hears of no node.
func (SilentMembers) LastHeard(uint32) (life uint64, heard float64, ok bool) { return 0, 0, false }

// Begin begins the members and the control of a scheduler's life in a process of its name; disk is nil unless it is a steward.
func Begin(p *sim.Process, seed uint64, who consensus.Config, disk *Disk, site control.ZoneConfig) (*control.Runner, error) {
	var seeds []string
	for _, s := range who.Voters {
		seeds = append(seeds, s+":7")
	}
	m, err := members.Start(p, p.Name+":7", membership.Config{Site: "lab", Name: p.Name, Address: p.Name + ":7", Incarnation: who.Incarnation, Key: []byte("a key"), Seeds: seeds, Seed: seed}, SilentMembers{})
	if err != nil {
		return nil, err
	}
	var d control.Storage
	if disk != nil {
		d = disk
	}
	who.Name, who.Seed = p.Name, seed+1
	return control.Start(p, zerolog.Nop(), m, who, d, site)
}

// Play plays a seed.
func Play(seed uint64, plant consensus.Faults) (v Result) {
	g := &simulation{result: Result{Seed: seed}, clock: sim.NewClock(seed), rng: rand.New(rand.NewPCG(seed, 0xc0)), faulty: plant, snapshots: map[uint64][]byte{}}
	defer func() {
		if p := recover(); p != nil {
			g.fail(fmt.Sprintf("panic: %v\n%s", p, debug.Stack()))
		}
		v = g.result
	}()
	number := 3 + g.rng.IntN(6)
	stewards := 3
	if number >= 5 && g.rng.IntN(2) == 0 {
		stewards = 5
	}
	for i := range number {
		if i < stewards {
			g.voters = append(g.voters, fmt.Sprint("s", i))
		}
	}
	for i := range number {
		x := &process{sim: g, name: fmt.Sprint("s", i)}
		x.host = g.clock.NewProcess(x.name)
		if i < stewards {
			x.disk = &Disk{}
		}
		g.processes = append(g.processes, x)
	}
	for _, x := range g.processes {
		x.start()
	}
	g.scheduleFaults()
	for at := 0.0; at < activeTime; at += 150 + 900*g.rng.Float64() {
		g.clock.At(2500+at, g.proposeCommand)
	}
	for at := 0.0; at < activeTime+settleTime && g.result.Failure == ""; at += checkInterval {
		g.clock.RunUntil(at)
		g.checkInvariants()
	}
	if g.result.Failure == "" && g.result.Convergence == 0 {
		g.fail("no one book at the end: " + g.describe())
	}
	if g.result.Failure == "" {
		for _, x := range g.processes {
			if b := x.runner.View().State; b.Now() > 0 {
				for _, y := range g.processes {
					if p, ok := b.Process(y.name); !ok || p.Incarnation != y.incarnation {
						g.fail(fmt.Sprintf("%s holds %s in life %d, it acts in %d", x.name, y.name, p.Incarnation, y.incarnation))
					}
				}
			}
		}
	}
	return g.result
}

func (g *simulation) fail(what string) {
	if g.result.Failure == "" {
		g.result.Failure = fmt.Sprintf("at %.0f ms: %s", g.clock.TrueTime(), what)
	}
}

func (g *simulation) describe() (s string) {
	for _, x := range g.processes {
		if x.runner != nil {
			s += fmt.Sprintf(" %s version %d sure %.0f", x.name, x.runner.View().State.Version(), x.runner.View().LeaseExpiry-x.host.Now())
		}
	}
	return s
}

// start begins a life.
func (x *process) start() {
	x.incarnation++
	x.lastVersion = 0
	var err error
	who := consensus.Config{Zone: "z" + x.name[1:], Incarnation: x.incarnation, Voters: x.sim.voters, Faults: x.sim.faulty}
	if x.runner, err = Begin(x.host, x.sim.rng.Uint64(), who, x.disk, control.ZoneConfig{}); err != nil {
		x.sim.fail(err.Error())
	}
}

// kill ends a life, and begins the next after a while.
func (x *process) kill(back float64) {
	if x.runner == nil {
		return
	}
	x.runner = nil
	x.host.Kill(x.sim.rng.IntN(2) == 0)
	x.sim.clock.At(x.sim.clock.TrueTime()+back, func() {
		x.host.Start()
		x.start()
	})
}

// proposeCommand has some process propose something.
func (g *simulation) proposeCommand() {
	x := g.processes[g.rng.IntN(len(g.processes))]
	if x.runner == nil {
		return
	}
	g.result.Commands++
	zone, to := "z"+fmt.Sprint(g.rng.IntN(len(g.processes))), clusterstate.ZoneState(g.rng.IntN(4))
	b := x.runner.View().State
	z := b.Zone(zone)
	now := x.host.Now()
	x.runner.Enqueue(func(c *consensus.Replica) {
		c.SetResultHandler(func(uint64, clusterstate.Refusal) { g.result.Answered++ })
		c.Propose(func() (float64, clusterstate.Change) {
			return now, clusterstate.SetZoneState{Zone: zone, SeenVersion: z.Version, State: to, Cause: "seed"}
		})
	})
}

// scheduleFaults plans what goes wrong.
func (g *simulation) scheduleFaults() {
	at := func(f func()) {
		when := 3000 + (activeTime-6000)*g.rng.Float64()
		g.clock.At(when, f)
	}
	some := func() *process { return g.processes[g.rng.IntN(len(g.processes))] }
	for range 3 + g.rng.IntN(8) {
		x, y, most := some(), some(), 300+3500*g.rng.Float64()
		switch g.rng.IntN(10) {
		case 0:
			at(func() { x.kill(most) })
		case 1: // in the midst of what it does
			at(func() {
				x.host.KillAfterEffects(1 + g.rng.IntN(12))
				g.clock.At(g.clock.TrueTime()+400, func() {
					if x.runner != nil {
						x.kill(most)
					}
				})
			})
		case 2:
			at(func() {
				x.host.Pause()
				g.clock.At(g.clock.TrueTime()+most, x.host.Resume)
			})
		case 3:
			at(func() {
				g.clock.Cut(x.name, y.name, true)
				g.clock.At(g.clock.TrueTime()+most, func() { g.clock.Cut(x.name, y.name, false) })
			})
		case 4: // alone
			at(func() { g.isolate(most, x) })
		case 5: // halves
			at(func() { g.isolate(most, g.processes[:len(g.processes)/2]...) })
		case 6:
			at(func() {
				for _, a := range g.processes {
					for _, b := range g.processes {
						if a != b {
							g.clock.DatagramLink(a.name, b.name).Loss, g.clock.DatagramLink(a.name, b.name).Duplication = 0.2*g.rng.Float64(), 0.05
						}
					}
				}
				g.clock.At(g.clock.TrueTime()+most, func() {
					for _, a := range g.processes {
						for _, b := range g.processes {
							if a != b {
								*g.clock.DatagramLink(a.name, b.name) = sim.DatagramLink{}
							}
						}
					}
				})
			})
		case 7: // a disk that is full for the rest of a life
			at(func() {
				if x.disk != nil && x.runner != nil && !g.diskLost && g.workingDisks() > len(g.voters)/2+1 {
					x.disk.Full = true
					g.clock.At(g.clock.TrueTime()+most, func() {
						x.disk.Full = false
						x.kill(300)
					})
				}
			})
		case 9: // a steward comes back without its disk: it may have voted, so it must not again
			at(func() {
				if x.disk != nil && x.runner != nil && !g.diskLost && g.workingDisks() == len(g.voters) {
					g.diskLost = true
					*x.disk = Disk{}
					x.kill(most)
				}
			})
		case 8: // many at once
			at(func() {
				for _, z := range g.processes {
					if g.rng.IntN(10) < 7 {
						z.kill(most * g.rng.Float64())
					}
				}
			})
		}
	}
	if g.rng.IntN(4) == 0 { // clocks that run apart
		for _, x := range g.processes {
			x.host.SetDrift(0.01 * (g.rng.Float64() - 0.5))
		}
	}
}

// workingDisks is how many stewards' disks take something.
func (g *simulation) workingDisks() (n int) {
	for _, x := range g.processes {
		if x.disk != nil && !x.disk.Full {
			n++
		}
	}
	return n
}

// isolate cuts some off from all others for a while.
func (g *simulation) isolate(ms float64, some ...*process) {
	cut := func(is bool) {
		for _, x := range some {
			for _, y := range g.processes {
				if !slices.Contains(some, y) {
					g.clock.Cut(x.name, y.name, is)
				}
			}
		}
	}
	cut(true)
	g.clock.At(g.clock.TrueTime()+ms, func() { cut(false) })
}

// checkInvariants holds what must hold at every moment.
func (g *simulation) checkInvariants() {
	now := g.clock.TrueTime()
	one, sure := uint64(0), true
	for i, x := range g.processes {
		if x.runner == nil {
			sure = false
			continue
		}
		view := x.runner.View()
		v := view.State.Version()
		if v < x.lastVersion {
			g.fail(fmt.Sprintf("%s went back from version %d to %d", x.name, x.lastVersion, v))
		}
		if x.lastVersion = v; v > 0 {
			text := view.State.Snapshot()
			if was, ok := g.snapshots[v]; ok && !bytes.Equal(was, text) {
				g.fail(fmt.Sprintf("%s holds another book of version %d than was held before", x.name, v))
			}
			g.snapshots[v] = text
			if len(g.firstHeld) == 0 || v > g.firstHeld[len(g.firstHeld)-1].version {
				g.firstHeld = append(g.firstHeld, versionMark{now, v})
				g.result.Versions = v
			}
		}
		if x.host.Now() < view.LeaseExpiry { // it holds all that was held anywhere before its lease began
			for k := len(g.firstHeld) - 1; k >= 0; k-- {
				if m := g.firstHeld[k]; m.at < now-maxStaleness {
					if m.version > v {
						g.fail(fmt.Sprintf("%s is sure of version %d, %d was held %.0f ms ago", x.name, v, m.version, now-m.at))
					}
					break
				}
			}
		} else {
			sure = false
		}
		if i == 0 {
			one = v
		}
		sure = sure && v == one
	}
	if sure && now > activeTime && g.result.Convergence == 0 {
		g.result.Convergence = now - activeTime
	}
}

// Seeds plays the seeds from a to b, the latter left out, so many at a time.
func Seeds(ctx context.Context, a, b uint64, workers int, plant consensus.Faults) []Result {
	return slices.DeleteFunc(seeds.Run(ctx, a, b, workers, func(seed uint64) Result { return Play(seed, plant) }),
		func(v Result) bool { return v.Commands == 0 && v.Failure == "" })
}

// Cost is what the book costs at rest: messages and bytes a second that a steward and one who follows send for it, and writes
// to a steward's disk.
type Cost struct{ Voter, Follower, VoterBytes, FollowerBytes, Writes float64 }

// MeasureAtRest plays so many processes, three of them stewards, to which nothing happens.
func MeasureAtRest(seed uint64, number int) (c Cost) {
	const from, until = 8000, 28000
	g := &simulation{clock: sim.NewClock(seed), rng: rand.New(rand.NewPCG(seed, 0xc0)), voters: []string{"s0", "s1", "s2"}, snapshots: map[uint64][]byte{}}
	for i := range number {
		x := &process{sim: g, name: fmt.Sprint("s", i)}
		x.host = g.clock.NewProcess(x.name)
		if i < len(g.voters) {
			x.disk = &Disk{}
		}
		g.processes = append(g.processes, x)
		x.start()
	}
	sum := func(by float64) {
		for i, x := range g.processes {
			x.runner.Enqueue(func(k *consensus.Replica) {
				m, b, w := by*float64(k.Stats.Messages), by*float64(k.Stats.Bytes), by*float64(k.Stats.Writes)
				if i < len(g.voters) {
					c.Voter, c.VoterBytes, c.Writes = c.Voter+m, c.VoterBytes+b, c.Writes+w
				} else {
					c.Follower, c.FollowerBytes = c.Follower+m, c.FollowerBytes+b
				}
			})
		}
	}
	g.clock.At(from, func() { sum(-1) })
	g.clock.At(until, func() { sum(1) })
	g.clock.RunUntil(until + 500)
	span := float64(until-from) / 1000
	stewards, follow := float64(len(g.voters))*span, float64(max(1, number-len(g.voters)))*span
	return Cost{c.Voter / stewards, c.Follower / follow, c.VoterBytes / stewards, c.FollowerBytes / follow, c.Writes / stewards}
}
