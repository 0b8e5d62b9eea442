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

	"ravenpond/internal/env"
	"ravenpond/internal/lab/agenda"
)

// event is something that happens, in a life of a process or in none.
type event struct {
	process     *Process
	incarnation int
	run         func()
}

// Clock is the true time and all that is to happen.
type Clock struct {
	rng           *rand.Rand
	now           float64 // ms
	events        agenda.Queue[event]
	steps         uint64
	trace         xxhash.Digest
	processes     []*Process
	listeners     map[string]*listener
	links         map[[2]string]*link
	packetConns   map[string]*packetConn
	datagramLinks map[[2]string]*DatagramLink
	traceOut      io.Writer // is given the trace in words, if it is not nil
}

// NewClock begins a world.
func NewClock(seed uint64) *Clock {
	c := &Clock{
		rng: rand.New(rand.NewPCG(seed, 0x51)), listeners: map[string]*listener{}, links: map[[2]string]*link{},
		packetConns: map[string]*packetConn{}, datagramLinks: map[[2]string]*DatagramLink{},
	}
	c.trace.Reset()
	return c
}

// schedule has something happen, to a process unless that is nil or in a later life by then.
func (c *Clock) schedule(p *Process, when float64, run func()) {
	e := event{process: p, run: run}
	if p != nil {
		e.incarnation = p.incarnation
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
	case e.process == nil:
		e.run()
	case e.process.incarnation != e.incarnation || e.process.dead:
	case e.process.paused:
		e.process.deferred = append(e.process.deferred, e)
	case e.process.cpu != nil:
		e.process.cpu.submit(e)
	default:
		c.steps++
		e.run()
	}
	return true
}

// tracef writes something that happened into the trace's hash.
func (c *Clock) tracef(format string, args ...any) {
	fmt.Fprintf(&c.trace, "%.6f ", c.now)
	fmt.Fprintf(&c.trace, format, args...)
	if c.traceOut != nil {
		fmt.Fprintf(c.traceOut, "%.3f ", c.now)
		fmt.Fprintf(c.traceOut, format, args...)
	}
}

// Process is an operating system's process on a host of its own: its clock, connections and what it is about to do
// are gone when it is killed.
type Process struct {
	clock *Clock
	Name  string
	// SynchronousWrites has what the process sends leave with the call that sends it, not by a writer of its own.
	SynchronousWrites bool
	incarnation       int
	dead              bool
	rng               *rand.Rand

	paused    bool
	resumedAt float64
	deferred  []event // what came while it stood still

	clockError float64 // ms by which the machine's clock is wrong
	drift      float64 // part by which it runs fast
	startedAt  float64 // true time and its clock's, at the start of this life
	clockBase  float64

	conns            []*conn
	cpu              *cpu // nil: its code takes no time
	effectsUntilKill int  // effects after which it is killed, 0: not planned
	onDeath          func()
}

// NewProcess makes a process, which begins.
func (c *Clock) NewProcess(name string) *Process {
	p := &Process{clock: c, Name: name, rng: rand.New(rand.NewPCG(c.rng.Uint64(), uint64(len(c.processes))))}
	c.processes = append(c.processes, p)
	p.Start()
	return p
}

// clockOrigin is where all clocks begin, in ms: what began at their zero would count as of long ago.
const clockOrigin = 24 * 3600e3

// Start begins a life.
func (p *Process) Start() {
	p.incarnation++
	p.dead, p.paused, p.deferred, p.effectsUntilKill, p.resumedAt = false, false, nil, 0, math.Inf(-1)
	p.startedAt, p.clockBase = p.clock.now, clockOrigin+p.clock.now+p.clockError
}

// Kill ends the life at once, as kill -9 does: what was handed to the network still arrives. With the power gone
// nothing is said to anyone any more.
func (p *Process) Kill(power bool) {
	if p.dead {
		return
	}
	p.clock.tracef("kill %s %v\n", p.Name, power)
	p.dead = true
	p.incarnation++
	p.deferred = nil
	conns := p.conns
	p.conns = nil
	for _, x := range conns {
		x.dropWithProcess(power)
	}
	for _, d := range p.clock.listeners {
		if d.process == p {
			delete(p.clock.listeners, d.address)
		}
	}
	if p.onDeath != nil {
		p.onDeath()
	}
}

// KillAfterEffects has the process killed in the midst of what it does, after so many effects.
func (p *Process) KillAfterEffects(effects int) { p.effectsUntilKill = effects }

// effect counts an effect; false if the process is dead.
func (p *Process) effect() bool {
	if p.dead {
		return false
	}
	if p.effectsUntilKill > 0 {
		if p.effectsUntilKill--; p.effectsUntilKill == 0 {
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
	p.paused, p.resumedAt = false, p.clock.now
	late := p.deferred
	p.deferred = nil
	for _, e := range late {
		p.clock.schedule(p, p.clock.now, e.run)
	}
}

// JumpClock sets the machine's clock, in ms: the wall clock shows it, what counts time does not.
func (p *Process) JumpClock(ms float64) { p.clockError += ms }

// Now is the process's clock.
func (p *Process) Now() float64 { return p.clockBase + (p.clock.now-p.startedAt)*(1+p.drift) }

// WallClock is the machine's clock.
func (p *Process) WallClock() time.Time {
	ms := clockOrigin + p.clock.now*(1+p.drift) + p.clockError
	return env.Epoch.Add(time.Duration(ms * 1e6))
}

type timer struct{ stopped bool }

func (t *timer) Stop() { t.stopped = true }

// After calls f once, a little late as all timers are.
func (p *Process) After(ms float64, f func()) env.Timer {
	t := &timer{}
	if !p.dead {
		p.clock.schedule(p, p.clock.now+max(0, ms)/(1+p.drift)+0.02*p.rng.Float64(), func() {
			if !t.stopped {
				f()
			}
		})
	}
	return t
}

type loop struct {
	process    *Process
	turn       func() float64
	woken      bool
	ended      bool
	generation int // of the plan for the next turn
}

// StartLoop calls turn as it asks for and when woken.
func (p *Process) StartLoop(turn func() float64) env.Loop {
	l := &loop{process: p, turn: turn}
	l.Wake()
	return l
}

func (l *loop) Wake() {
	if l.woken || l.ended || l.process.dead {
		return
	}
	l.woken = true
	l.process.clock.schedule(l.process, l.process.clock.now+0.002+0.02*l.process.rng.Float64(), l.run)
}

func (l *loop) HasEnded() bool { return l.ended }

func (l *loop) run() {
	if l.ended {
		return
	}
	l.woken = false
	l.generation++
	gen := l.generation
	l.process.charge(func(w *CPUCost) float64 { return w.Turn })
	wait := l.turn()
	if wait < 0 {
		l.ended = true
		return
	}
	l.process.clock.schedule(l.process, l.process.clock.now+max(0.01, wait), func() {
		if l.generation == gen && !l.woken {
			l.run()
		}
	})
}

// RunUntil lets happen what happens before a true time, in ms.
func (c *Clock) RunUntil(at float64) {
	for c.step(at) {
	}
}

// TrueTime is the true time.
func (c *Clock) TrueTime() float64 { return c.now }

// SetDrift has the process's clock run fast by a part, or slow, from its next life on.
func (p *Process) SetDrift(part float64) { p.drift = part }

// Paused tells whether the process stands still.
func (p *Process) Paused() bool { return p.paused }
