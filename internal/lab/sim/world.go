// Package sim runs the program's own code, from connections to the engine, on one goroutine, a virtual clock, a virtual
// network and virtual disks, with faults drawn from a seed. The same script gives the same trace.
package sim

import (
	"fmt"
	"io"
	"math"
	"math/rand/v2"
	"time"

	"github.com/cespare/xxhash/v2"

	"ravenpond/internal/lab/agenda"
	"ravenpond/internal/outside"
)

// event is something that happens, in a life of a process or in none.
type event struct {
	p    *Process
	life int
	run  func()
}

// Clock is the true time and all that is to happen.
type Clock struct {
	rng    *rand.Rand
	now    float64 // ms
	events agenda.Agenda[event]
	steps  uint64
	trace  xxhash.Digest
	procs  []*Process
	doors  map[string]*door
	ways   map[[2]string]*way
	ports  map[string]*port
	lanes  map[[2]string]*Lane
	out    io.Writer // is given the trace in words, if it is not nil
}

// NewClock begins a world.
func NewClock(seed uint64) *Clock {
	c := &Clock{
		rng: rand.New(rand.NewPCG(seed, 0x51)), doors: map[string]*door{}, ways: map[[2]string]*way{},
		ports: map[string]*port{}, lanes: map[[2]string]*Lane{},
	}
	c.trace.Reset()
	return c
}

// at has something happen, to a process unless that is nil or in a later life by then.
func (c *Clock) at(p *Process, when float64, run func()) {
	e := event{p: p, run: run}
	if p != nil {
		e.life = p.life
	}
	c.events.Add(max(when, c.now), e)
}

// step lets the next thing happen; false if nothing is left before a time.
func (c *Clock) step(until float64) bool {
	at, e, ok := c.events.Next(until)
	if !ok {
		c.now = max(c.now, until)
		return false
	}
	c.now = at
	switch {
	case e.p == nil:
		e.run()
	case e.p.life != e.life || e.p.dead:
	case e.p.paused:
		e.p.late = append(e.p.late, e)
	case e.p.core != nil:
		e.p.core.take(e)
	default:
		c.steps++
		e.run()
	}
	return true
}

// note writes something that happened into the trace's hash.
func (c *Clock) note(format string, args ...any) {
	fmt.Fprintf(&c.trace, "%.6f ", c.now)
	fmt.Fprintf(&c.trace, format, args...)
	if c.out != nil {
		fmt.Fprintf(c.out, "%.3f ", c.now)
		fmt.Fprintf(c.out, format, args...)
	}
}

// Process is an operating system's process on a host of its own: its clock, connections and what it is about to do
// are gone when it is killed.
type Process struct {
	c    *Clock
	Name string
	// Prompt has what the process sends leave with the call that sends it, not by a writer of its own.
	Prompt bool
	life   int
	dead   bool
	rng    *rand.Rand

	paused  bool
	resumed float64
	late    []event // what came while it stood still

	err   float64 // ms by which the machine's clock is wrong
	drift float64 // part by which it runs fast
	began float64 // true time and its clock's, at the start of this life
	base  float64

	conns   []*conn
	core    *core // nil: its code takes no time
	dieIn   int   // effects after which it is killed, 0: not planned
	onDeath func()
}

// NewProcess makes a process, which begins.
func (c *Clock) NewProcess(name string) *Process {
	p := &Process{c: c, Name: name, rng: rand.New(rand.NewPCG(c.rng.Uint64(), uint64(len(c.procs))))}
	c.procs = append(c.procs, p)
	p.Start()
	return p
}

// day is where all clocks begin, in ms: what began at their zero would count as of long ago.
const day = 24 * 3600e3

// Start begins a life.
func (p *Process) Start() {
	p.life++
	p.dead, p.paused, p.late, p.dieIn, p.resumed = false, false, nil, 0, math.Inf(-1)
	p.began, p.base = p.c.now, day+p.c.now+p.err
}

// Kill ends the life at once, as kill -9 does: what was handed to the network still arrives. With the power gone
// nothing is said to anyone any more.
func (p *Process) Kill(power bool) {
	if p.dead {
		return
	}
	p.c.note("kill %s %v\n", p.Name, power)
	p.dead = true
	p.life++
	p.late = nil
	conns := p.conns
	p.conns = nil
	for _, x := range conns {
		x.vanish(power)
	}
	for _, d := range p.c.doors {
		if d.p == p {
			delete(p.c.doors, d.address)
		}
	}
	if p.onDeath != nil {
		p.onDeath()
	}
}

// KillIn has the process killed in the midst of what it does, after so many effects.
func (p *Process) KillIn(effects int) { p.dieIn = effects }

// effect counts an effect; false if the process is dead.
func (p *Process) effect() bool {
	if p.dead {
		return false
	}
	if p.dieIn > 0 {
		if p.dieIn--; p.dieIn == 0 {
			p.Kill(false)
			return false
		}
	}
	return true
}

// Pause makes the process stand still, Resume lets it run on with what came meanwhile.
func (p *Process) Pause() { p.paused = true }

// Resume lets it run on.
func (p *Process) Resume() {
	if !p.paused || p.dead {
		return
	}
	p.paused, p.resumed = false, p.c.now
	late := p.late
	p.late = nil
	for _, e := range late {
		p.c.at(p, p.c.now, e.run)
	}
}

// Jump sets the machine's clock, in ms: the wall clock shows it, what counts time does not.
func (p *Process) Jump(ms float64) { p.err += ms }

// Now is the process's clock.
func (p *Process) Now() float64 { return p.base + (p.c.now-p.began)*(1+p.drift) }

// WallClock is the machine's clock.
func (p *Process) WallClock() time.Time {
	ms := day + p.c.now*(1+p.drift) + p.err
	return outside.Epoch.Add(time.Duration(ms * 1e6))
}

type timer struct{ stopped bool }

func (t *timer) Stop() { t.stopped = true }

// After calls f once, a little late as all timers are.
func (p *Process) After(ms float64, f func()) outside.Timer {
	t := &timer{}
	if !p.dead {
		p.c.at(p, p.c.now+max(0, ms)/(1+p.drift)+0.02*p.rng.Float64(), func() {
			if !t.stopped {
				f()
			}
		})
	}
	return t
}

type loop struct {
	p     *Process
	turn  func() float64
	woken bool
	ended bool
	gen   int // of the plan for the next turn
}

// StartLoop calls turn as it asks for and when woken.
func (p *Process) StartLoop(turn func() float64) outside.Loop {
	l := &loop{p: p, turn: turn}
	l.Wake()
	return l
}

func (l *loop) Wake() {
	if l.woken || l.ended || l.p.dead {
		return
	}
	l.woken = true
	l.p.c.at(l.p, l.p.c.now+0.002+0.02*l.p.rng.Float64(), l.run)
}

func (l *loop) HasEnded() bool { return l.ended }

func (l *loop) run() {
	if l.ended {
		return
	}
	l.woken = false
	l.gen++
	gen := l.gen
	l.p.costs(func(w *Work) float64 { return w.Turn })
	wait := l.turn()
	if wait < 0 {
		l.ended = true
		return
	}
	l.p.c.at(l.p, l.p.c.now+max(0.01, wait), func() {
		if l.gen == gen && !l.woken {
			l.run()
		}
	})
}

// Until lets happen what happens before a true time, in ms.
func (c *Clock) Until(at float64) {
	for c.step(at) {
	}
}

// True is the true time.
func (c *Clock) True() float64 { return c.now }

// Drift has the process's clock run fast by a part, or slow, from its next life on.
func (p *Process) Drift(part float64) { p.drift = part }

// Paused tells whether the process stands still.
func (p *Process) Paused() bool { return p.paused }
