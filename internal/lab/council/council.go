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
	"ravenpond/internal/decide/book"
	"ravenpond/internal/decide/council"
	detector "ravenpond/internal/decide/members"
	"ravenpond/internal/lab/seeds"
	"ravenpond/internal/lab/sim"
	"ravenpond/internal/members"
	codec "ravenpond/internal/proto/book"
)

// Times in ms.
const (
	lasts   = 20000 // of faults and commands
	settles = 12000 // after them all must hold one book
	stale   = council.Lease * 1.03
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
	plant  council.Plant
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
	m    *members.Runner
	r    *control.Runner
	disk *disk
	held uint64 // the latest version in this life
}

// disk is a steward's, which outlives its process.
type disk struct {
	p        *sim.Process
	hard     []byte
	snapshot []byte
	from     uint64 // of the first entry
	entries  [][]byte
	full     bool
}

var errFull = errors.New("no space left on the disk")

func (d *disk) Load() (council.Saved, error) {
	return council.Saved{Hard: d.hard, Snapshot: d.snapshot, Entries: slices.Clone(d.entries)}, nil
}

func (d *disk) Save(hard []byte, from uint64, entries [][]byte, snapshot []byte, _ uint64) error {
	if d.full {
		return errFull
	}
	if hard != nil {
		d.hard = hard
	}
	if snapshot != nil {
		d.snapshot = snapshot
	}
	if from > 0 {
		if d.from == 0 || from < d.from {
			d.from, d.entries = from, nil
		}
		d.entries = append(d.entries[:min(len(d.entries), int(from-d.from))], entries...)
	}
	return nil
}

func (d *disk) Close() error { return nil }

// Play plays a seed.
func Play(seed uint64, plant council.Plant) (v Verdict) {
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
			x.disk = &disk{p: x.p}
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
		g.c.Until(at)
		g.look()
	}
	if g.v.Broken == "" && g.v.Settled == 0 {
		g.fail("no one book at the end: " + g.all())
	}
	if g.v.Broken == "" {
		for _, x := range g.procs {
			if b := x.r.View().Book; b.Now() > 0 {
				for _, y := range g.procs {
					if p, ok := b.Process(y.name); !ok || p.Life != y.life {
						g.fail(fmt.Sprintf("%s holds %s in life %d, it acts in %d", x.name, y.name, p.Life, y.life))
					}
				}
			}
		}
	}
	return g.v
}

func (g *play) fail(what string) {
	if g.v.Broken == "" {
		g.v.Broken = fmt.Sprintf("at %.0f ms: %s", g.c.True(), what)
	}
}

func (g *play) all() (s string) {
	for _, x := range g.procs {
		if x.r != nil {
			s += fmt.Sprintf(" %s version %d sure %.0f", x.name, x.r.View().Book.Version(), x.r.View().Sure-x.p.Now())
		}
	}
	return s
}

// start begins a life.
func (x *proc) start() {
	g := x.g
	x.life++
	x.held = 0
	who := detector.Charter{Site: "lab", Name: x.name, Address: x.name + ":7", Life: x.life, Key: []byte("a key"), Seeds: []string{"s0:7", "s1:7", "s2:7"}, Seed: g.rng.Uint64()}
	m, err := members.Begin(x.p, x.name+":7", who, deaf{})
	if err != nil {
		g.fail(err.Error())
		return
	}
	x.m = m
	var d control.Disk
	if x.disk != nil {
		d = x.disk
	}
	x.r, err = control.Begin(x.p, zerolog.Nop(), m, council.Charter{Name: x.name, Zone: "z" + x.name[1:], Life: x.life, Stewards: g.names, Seed: g.rng.Uint64(),
		Plant: g.plant}, d, control.Site{})
	if err != nil {
		g.fail(err.Error())
	}
}

type deaf struct{}

func (deaf) Changed(float64, detector.Member, detector.State) {}
func (deaf) Taken(float64, string)                            {}
func (deaf) Hears(uint32) (uint64, float64, bool)             { return 0, 0, false }

// kill ends a life, and begins the next after a while.
func (x *proc) kill(back float64) {
	if x.r == nil {
		return
	}
	x.r = nil
	x.p.Kill(x.g.rng.IntN(2) == 0)
	x.g.c.At(x.g.c.True()+back, func() {
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
	zone, to := "z"+fmt.Sprint(g.rng.IntN(len(g.procs))), book.State(g.rng.IntN(4))
	b := x.r.View().Book
	z := b.Zone(zone)
	now := x.p.Now()
	x.r.Ask(func(c *council.Council) {
		c.Answered(func(uint64, book.Refusal) { g.v.Answered++ })
		c.Propose(func(b []byte, number uint64) []byte {
			return codec.AppendCommand(b, x.name, c.Life(), number, now, codec.Verdict, zone, "", "", z.Version, uint32(to), "seed")
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
				x.p.KillIn(1 + g.rng.IntN(12))
				g.c.At(g.c.True()+400, func() {
					if x.r != nil {
						x.kill(most)
					}
				})
			})
		case 2:
			at(func() {
				x.p.Pause()
				g.c.At(g.c.True()+most, x.p.Resume)
			})
		case 3:
			at(func() {
				g.c.Cut(x.name, y.name, true)
				g.c.At(g.c.True()+most, func() { g.c.Cut(x.name, y.name, false) })
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
							g.c.Lane(a.name, b.name).Loss, g.c.Lane(a.name, b.name).Twice = 0.2*g.rng.Float64(), 0.05
						}
					}
				}
				g.c.At(g.c.True()+most, func() {
					for _, a := range g.procs {
						for _, b := range g.procs {
							if a != b {
								*g.c.Lane(a.name, b.name) = sim.Lane{}
							}
						}
					}
				})
			})
		case 7: // a disk that is full for the rest of a life
			at(func() {
				if x.disk != nil && x.r != nil && !g.lost && g.sound() > len(g.names)/2+1 {
					x.disk.full = true
					g.c.At(g.c.True()+most, func() {
						x.disk.full = false
						x.kill(300)
					})
				}
			})
		case 9: // a steward comes back without its disk: it may have voted, so it must not again
			at(func() {
				if x.disk != nil && x.r != nil && !g.lost && g.sound() == len(g.names) {
					g.lost = true
					*x.disk = disk{p: x.p}
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
			x.p.Drift(0.01 * (g.rng.Float64() - 0.5))
		}
	}
}

// sound is how many stewards' disks take something.
func (g *play) sound() (n int) {
	for _, x := range g.procs {
		if x.disk != nil && !x.disk.full {
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
	g.c.At(g.c.True()+ms, func() { cut(false) })
}

// look holds what must hold at every moment.
func (g *play) look() {
	now := g.c.True()
	one, sure := uint64(0), true
	for i, x := range g.procs {
		if x.r == nil {
			sure = false
			continue
		}
		view := x.r.View()
		v := view.Book.Version()
		if v < x.held {
			g.fail(fmt.Sprintf("%s went back from version %d to %d", x.name, x.held, v))
		}
		if x.held = v; v > 0 {
			text := view.Book.Snapshot()
			if was, ok := g.agreed[v]; ok && !bytes.Equal(was, text) {
				g.fail(fmt.Sprintf("%s holds another book of version %d than was held before", x.name, v))
			}
			g.agreed[v] = text
			if len(g.first) == 0 || v > g.first[len(g.first)-1].version {
				g.first = append(g.first, mark{now, v})
				g.v.Versions = v
			}
		}
		if x.p.Now() < view.Sure { // it holds all that was held anywhere before its lease began
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
func Seeds(ctx context.Context, a, b uint64, workers int, plant council.Plant) []Verdict {
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
			x.disk = &disk{p: x.p}
		}
		g.procs = append(g.procs, x)
		x.start()
	}
	sum := func(by float64) {
		for i, x := range g.procs {
			x.r.Ask(func(k *council.Council) {
				m, b, w := by*float64(k.Figures.Messages), by*float64(k.Figures.Bytes), by*float64(k.Figures.Writes)
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
	g.c.Until(until + 500)
	span := float64(until-from) / 1000
	stewards, follow := float64(len(g.names))*span, float64(max(1, number-len(g.names)))*span
	return Cost{c.Steward / stewards, c.Follows / follow, c.StewardBytes / stewards, c.FollowsBytes / follow, c.Writes / stewards}
}
