// Package council plays the schedulers that agree on a book by seeds, on the laboratory's clock and network: the program's own
// members, council and control, stewards' disks that outlive their processes, and faults. Held all along: who holds a book of a
// version holds the same bytes as all; what was agreed on is never lost; epochs are given once; and who is sure holds all that
// was agreed on longer ago than the lease.
package council

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
	codec "ravenpond/internal/proto/clusterstate"
)

// Times in ms.
const (
	lasts   = 20000 // of faults and commands
	settles = 12000 // after them all must hold one book
	stale   = consensus.Lease * 1.03
	looks   = 25
)

// Verdict is what came of a seed.
type Verdict struct {
	Seed                        uint64
	Broken                      string
	Commands, Answered, Leaders int
	Versions                    uint64
	Settled                     float64 // ms after the last fault until all held one book and were sure
}

type play struct {
	v      Verdict
	c      *sim.Clock
	rng    *rand.Rand
	plant  consensus.Faults
	procs  []*proc
	names  []string // of the stewards
	agreed map[uint64][]byte
	first  []mark // when each version was first held anywhere, in order
	lost   bool   // a steward's disk is
}

type mark struct {
	at      float64
	version uint64
}

type proc struct {
	g    *play
	name string
	p    *sim.Process
	life uint64
	r    *control.Runner
	disk *Disk
	held uint64 // the latest version in this life
}

// Disk is a steward's on the laboratory's clock; it outlives its process.
type Disk struct {
	Full bool // it takes nothing

	saved consensus.PersistedState
	from  uint64 // of the first entry
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
		if d.from == 0 || from < d.from {
			d.from, d.saved.Entries = from, nil
		}
		d.saved.Entries = append(d.saved.Entries[:min(len(d.saved.Entries), int(from-d.from))], entries...)
	}
	return nil
}

// Close lets it go.
func (d *Disk) Close() error { return nil }

// Deaf hears of no member and of no node.
type Deaf struct{}

// OnChange hears nothing.
func (Deaf) OnChange(float64, membership.Member, membership.State) {}

// OnNameTaken hears nothing.
func (Deaf) OnNameTaken(float64, string) {}

// LastHeard hears of no node.
func (Deaf) LastHeard(uint32) (life uint64, heard float64, ok bool) { return 0, 0, false }

// Begin begins the members and the control of a scheduler's life in a process of its name; disk is nil unless it is a steward.
func Begin(p *sim.Process, seed uint64, who consensus.Config, disk *Disk, site control.ZoneConfig) (*control.Runner, error) {
	var seeds []string
	for _, s := range who.Voters {
		seeds = append(seeds, s+":7")
	}
	m, err := members.Start(p, p.Name+":7", membership.Config{Site: "lab", Name: p.Name, Address: p.Name + ":7", Life: who.Incarnation, Key: []byte("a key"), Seeds: seeds, Seed: seed}, Deaf{})
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
func Play(seed uint64, plant consensus.Faults) (v Verdict) {
	g := &play{v: Verdict{Seed: seed}, c: sim.NewClock(seed), rng: rand.New(rand.NewPCG(seed, 0xc0)), plant: plant, agreed: map[uint64][]byte{}}
	defer func() {
		if p := recover(); p != nil {
			g.fail(fmt.Sprintf("panic: %v\n%s", p, debug.Stack()))
		}
		v = g.v
	}()
	number := 3 + g.rng.IntN(6)
	stewards := 3
	if number >= 5 && g.rng.IntN(2) == 0 {
		stewards = 5
	}
	for i := range number {
		if i < stewards {
			g.names = append(g.names, fmt.Sprint("s", i))
		}
	}
	for i := range number {
		x := &proc{g: g, name: fmt.Sprint("s", i)}
		x.p = g.c.NewProcess(x.name)
		if i < stewards {
			x.disk = &Disk{}
		}
		g.procs = append(g.procs, x)
	}
	for _, x := range g.procs {
		x.start()
	}
	g.faults()
	for at := 0.0; at < lasts; at += 150 + 900*g.rng.Float64() {
		g.c.At(2500+at, g.command)
	}
	for at := 0.0; at < lasts+settles && g.v.Broken == ""; at += looks {
		g.c.RunUntil(at)
		g.look()
	}
	if g.v.Broken == "" && g.v.Settled == 0 {
		g.fail("no one book at the end: " + g.all())
	}
	if g.v.Broken == "" {
		for _, x := range g.procs {
			if b := x.r.View().State; b.Now() > 0 {
				for _, y := range g.procs {
					if p, ok := b.Process(y.name); !ok || p.Incarnation != y.life {
						g.fail(fmt.Sprintf("%s holds %s in life %d, it acts in %d", x.name, y.name, p.Incarnation, y.life))
					}
				}
			}
		}
	}
	return g.v
}

func (g *play) fail(what string) {
	if g.v.Broken == "" {
		g.v.Broken = fmt.Sprintf("at %.0f ms: %s", g.c.TrueTime(), what)
	}
}

func (g *play) all() (s string) {
	for _, x := range g.procs {
		if x.r != nil {
			s += fmt.Sprintf(" %s version %d sure %.0f", x.name, x.r.View().State.Version(), x.r.View().LeaseExpiry-x.p.Now())
		}
	}
	return s
}

// start begins a life.
func (x *proc) start() {
	x.life++
	x.held = 0
	var err error
	who := consensus.Config{Zone: "z" + x.name[1:], Incarnation: x.life, Voters: x.g.names, Faults: x.g.plant}
	if x.r, err = Begin(x.p, x.g.rng.Uint64(), who, x.disk, control.ZoneConfig{}); err != nil {
		x.g.fail(err.Error())
	}
}

// kill ends a life, and begins the next after a while.
func (x *proc) kill(back float64) {
	if x.r == nil {
		return
	}
	x.r = nil
	x.p.Kill(x.g.rng.IntN(2) == 0)
	x.g.c.At(x.g.c.TrueTime()+back, func() {
		x.p.Start()
		x.start()
	})
}

// command has some process propose something.
func (g *play) command() {
	x := g.procs[g.rng.IntN(len(g.procs))]
	if x.r == nil {
		return
	}
	g.v.Commands++
	zone, to := "z"+fmt.Sprint(g.rng.IntN(len(g.procs))), clusterstate.ZoneState(g.rng.IntN(4))
	b := x.r.View().State
	z := b.Zone(zone)
	now := x.p.Now()
	x.r.Enqueue(func(c *consensus.Replica) {
		c.SetResultHandler(func(uint64, clusterstate.Refusal) { g.v.Answered++ })
		c.Propose(func(b []byte, number uint64) []byte {
			return codec.AppendCommand(b, x.name, c.Incarnation(), number, now, codec.CommandSetZoneState, zone, "", "", z.Version, uint32(to), "seed")
		})
	})
}

// faults plans what goes wrong.
func (g *play) faults() {
	at := func(f func()) {
		when := 3000 + (lasts-6000)*g.rng.Float64()
		g.c.At(when, f)
	}
	some := func() *proc { return g.procs[g.rng.IntN(len(g.procs))] }
	for range 3 + g.rng.IntN(8) {
		x, y, most := some(), some(), 300+3500*g.rng.Float64()
		switch g.rng.IntN(10) {
		case 0:
			at(func() { x.kill(most) })
		case 1: // in the midst of what it does
			at(func() {
				x.p.KillAfterEffects(1 + g.rng.IntN(12))
				g.c.At(g.c.TrueTime()+400, func() {
					if x.r != nil {
						x.kill(most)
					}
				})
			})
		case 2:
			at(func() {
				x.p.Pause()
				g.c.At(g.c.TrueTime()+most, x.p.Resume)
			})
		case 3:
			at(func() {
				g.c.Cut(x.name, y.name, true)
				g.c.At(g.c.TrueTime()+most, func() { g.c.Cut(x.name, y.name, false) })
			})
		case 4: // alone
			at(func() { g.part(most, x) })
		case 5: // halves
			at(func() { g.part(most, g.procs[:len(g.procs)/2]...) })
		case 6:
			at(func() {
				for _, a := range g.procs {
					for _, b := range g.procs {
						if a != b {
							g.c.DatagramLink(a.name, b.name).Loss, g.c.DatagramLink(a.name, b.name).Duplication = 0.2*g.rng.Float64(), 0.05
						}
					}
				}
				g.c.At(g.c.TrueTime()+most, func() {
					for _, a := range g.procs {
						for _, b := range g.procs {
							if a != b {
								*g.c.DatagramLink(a.name, b.name) = sim.DatagramLink{}
							}
						}
					}
				})
			})
		case 7: // a disk that is full for the rest of a life
			at(func() {
				if x.disk != nil && x.r != nil && !g.lost && g.sound() > len(g.names)/2+1 {
					x.disk.Full = true
					g.c.At(g.c.TrueTime()+most, func() {
						x.disk.Full = false
						x.kill(300)
					})
				}
			})
		case 9: // a steward comes back without its disk: it may have voted, so it must not again
			at(func() {
				if x.disk != nil && x.r != nil && !g.lost && g.sound() == len(g.names) {
					g.lost = true
					*x.disk = Disk{}
					x.kill(most)
				}
			})
		case 8: // many at once
			at(func() {
				for _, z := range g.procs {
					if g.rng.IntN(10) < 7 {
						z.kill(most * g.rng.Float64())
					}
				}
			})
		}
	}
	if g.rng.IntN(4) == 0 { // clocks that run apart
		for _, x := range g.procs {
			x.p.SetDrift(0.01 * (g.rng.Float64() - 0.5))
		}
	}
}

// sound is how many stewards' disks take something.
func (g *play) sound() (n int) {
	for _, x := range g.procs {
		if x.disk != nil && !x.disk.Full {
			n++
		}
	}
	return n
}

// part cuts some off from all others for a while.
func (g *play) part(ms float64, some ...*proc) {
	cut := func(is bool) {
		for _, x := range some {
			for _, y := range g.procs {
				if !slices.Contains(some, y) {
					g.c.Cut(x.name, y.name, is)
				}
			}
		}
	}
	cut(true)
	g.c.At(g.c.TrueTime()+ms, func() { cut(false) })
}

// look holds what must hold at every moment.
func (g *play) look() {
	now := g.c.TrueTime()
	one, sure := uint64(0), true
	for i, x := range g.procs {
		if x.r == nil {
			sure = false
			continue
		}
		view := x.r.View()
		v := view.State.Version()
		if v < x.held {
			g.fail(fmt.Sprintf("%s went back from version %d to %d", x.name, x.held, v))
		}
		if x.held = v; v > 0 {
			text := view.State.Snapshot()
			if was, ok := g.agreed[v]; ok && !bytes.Equal(was, text) {
				g.fail(fmt.Sprintf("%s holds another book of version %d than was held before", x.name, v))
			}
			g.agreed[v] = text
			if len(g.first) == 0 || v > g.first[len(g.first)-1].version {
				g.first = append(g.first, mark{now, v})
				g.v.Versions = v
			}
		}
		if x.p.Now() < view.LeaseExpiry { // it holds all that was held anywhere before its lease began
			for k := len(g.first) - 1; k >= 0; k-- {
				if m := g.first[k]; m.at < now-stale {
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
	if sure && now > lasts && g.v.Settled == 0 {
		g.v.Settled = now - lasts
	}
}

// Seeds plays the seeds from a to b, the latter left out, so many at a time.
func Seeds(ctx context.Context, a, b uint64, workers int, plant consensus.Faults) []Verdict {
	return slices.DeleteFunc(seeds.Each(ctx, a, b, workers, func(seed uint64) Verdict { return Play(seed, plant) }),
		func(v Verdict) bool { return v.Commands == 0 && v.Broken == "" })
}

// Cost is what the book costs at rest: messages and bytes a second that a steward and one who follows send for it, and writes
// to a steward's disk.
type Cost struct{ Steward, Follows, StewardBytes, FollowsBytes, Writes float64 }

// Rest plays so many processes, three of them stewards, to which nothing happens.
func Rest(seed uint64, number int) (c Cost) {
	const from, until = 8000, 28000
	g := &play{c: sim.NewClock(seed), rng: rand.New(rand.NewPCG(seed, 0xc0)), names: []string{"s0", "s1", "s2"}, agreed: map[uint64][]byte{}}
	for i := range number {
		x := &proc{g: g, name: fmt.Sprint("s", i)}
		x.p = g.c.NewProcess(x.name)
		if i < len(g.names) {
			x.disk = &Disk{}
		}
		g.procs = append(g.procs, x)
		x.start()
	}
	sum := func(by float64) {
		for i, x := range g.procs {
			x.r.Enqueue(func(k *consensus.Replica) {
				m, b, w := by*float64(k.Stats.Messages), by*float64(k.Stats.Bytes), by*float64(k.Stats.Writes)
				if i < len(g.names) {
					c.Steward, c.StewardBytes, c.Writes = c.Steward+m, c.StewardBytes+b, c.Writes+w
				} else {
					c.Follows, c.FollowsBytes = c.Follows+m, c.FollowsBytes+b
				}
			})
		}
	}
	g.c.At(from, func() { sum(-1) })
	g.c.At(until, func() { sum(1) })
	g.c.RunUntil(until + 500)
	span := float64(until-from) / 1000
	stewards, follow := float64(len(g.names))*span, float64(max(1, number-len(g.names)))*span
	return Cost{c.Steward / stewards, c.Follows / follow, c.StewardBytes / stewards, c.FollowsBytes / follow, c.Writes / stewards}
}
