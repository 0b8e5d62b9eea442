package sim

import (
	"math"
	"math/rand/v2"
	"time"

	"ravenpond/internal/env"
)

// clockOrigin is where the processes' clocks begin, in ms: code takes times near zero for long ago.
const clockOrigin = 24 * 3600e3

// Delays of timers and loops in ms.
const (
	maxTimerDelay = 0.02 // by which timers fire late
	minWakeDelay  = 0.002
	minTurnWait   = 0.01
)

// Process is a process of an operating system on a machine of its own. It implements env.Environment. When it is killed its connections
// and timers are gone; it may be started again.
type Process struct {
	Name string
	// SynchronousWrites hands what the process sends to the network in the call that sends it. Otherwise a writer does so a moment later.
	SynchronousWrites bool

	clock       *Clock
	rng         *rand.Rand
	incarnation int
	dead        bool

	paused    bool
	resumedAt float64 // true time in ms
	deferred  []event // that were due while it was paused

	clockError float64 // ms by which the machine's clock is wrong
	drift      float64 // fraction by which it runs fast
	startedAt  float64 // true time at the start of this incarnation, ms
	clockBase  float64 // the process's clock at that time, ms

	conns            []*conn
	cpu              *cpu // nil: its code takes no time
	effectsUntilKill int  // 0: no kill is planned
	onDeath          func()
}

// NewProcess starts a process.
func (c *Clock) NewProcess(name string) *Process {
	p := &Process{clock: c, Name: name, rng: rand.New(rand.NewPCG(c.rng.Uint64(), uint64(len(c.processes))))}
	c.processes = append(c.processes, p)
	p.Start()
	return p
}

// Start starts the next incarnation of the process.
func (p *Process) Start() {
	p.incarnation++
	p.dead, p.paused, p.deferred, p.effectsUntilKill, p.resumedAt = false, false, nil, 0, math.Inf(-1)
	p.startedAt, p.clockBase = p.clock.now, clockOrigin+p.clock.now+p.clockError
}

// Kill ends the process at once, as kill -9 does: what it handed to the network still arrives, and its connections are closed. With a
// power loss its peers are not told.
func (p *Process) Kill(powerLoss bool) {
	if p.dead {
		return
	}
	p.clock.tracef("kill %s %v\n", p.Name, powerLoss)
	p.dead = true
	p.incarnation++
	p.deferred = nil
	conns := p.conns
	p.conns = nil
	for _, c := range conns {
		c.dropWithProcess(powerLoss)
	}
	for _, l := range p.clock.listeners {
		if l.process == p {
			delete(p.clock.listeners, l.address)
		}
	}
	if p.onDeath != nil {
		p.onDeath()
	}
}

// KillAfterEffects kills the process within what it does, after so many effects: messages, dials and writes to its disk.
func (p *Process) KillAfterEffects(effects int) { p.effectsUntilKill = effects }

// effect counts an effect. It reports whether the process lives to carry it out.
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

// Pause stops the process as SIGSTOP does; its events wait for Resume.
func (p *Process) Pause() { p.paused = true }

// Paused reports whether the process is paused.
func (p *Process) Paused() bool { return p.paused }

// Resume runs a paused process again, with the events that waited.
func (p *Process) Resume() {
	if !p.paused || p.dead {
		return
	}
	p.paused, p.resumedAt = false, p.clock.now
	deferred := p.deferred
	p.deferred = nil
	for _, e := range deferred {
		p.clock.schedule(p, p.clock.now, e.run)
	}
}

// JumpClock moves the machine's clock by ms. The wall clock shows it; Now does not.
func (p *Process) JumpClock(ms float64) { p.clockError += ms }

// SetDrift makes the machine's clock fast by a fraction, slow if it is negative.
func (p *Process) SetDrift(fraction float64) { p.drift = fraction }

// Now implements env.Environment.
func (p *Process) Now() float64 { return p.clockBase + (p.clock.now-p.startedAt)*(1+p.drift) }

// WallClock implements env.Environment.
func (p *Process) WallClock() time.Time {
	ms := clockOrigin + p.clock.now*(1+p.drift) + p.clockError
	return env.Epoch.Add(time.Duration(ms * 1e6))
}

type timer struct{ stopped bool }

// Stop implements env.Timer.
func (t *timer) Stop() { t.stopped = true }

// After implements env.Environment. Timers fire a little late.
func (p *Process) After(ms float64, f func()) env.Timer {
	t := &timer{}
	if !p.dead {
		p.clock.schedule(p, p.clock.now+max(0, ms)/(1+p.drift)+maxTimerDelay*p.rng.Float64(), func() {
			if !t.stopped {
				f()
			}
		})
	}
	return t
}

// loop implements env.Loop.
type loop struct {
	process    *Process
	turn       func() float64
	woken      bool
	ended      bool
	generation int // of the planned turn: an earlier plan is void
}

// StartLoop implements env.Environment.
func (p *Process) StartLoop(turn func() float64) env.Loop {
	l := &loop{process: p, turn: turn}
	l.Wake()
	return l
}

// Wake implements env.Loop.
func (l *loop) Wake() {
	if l.woken || l.ended || l.process.dead {
		return
	}
	l.woken = true
	clock := l.process.clock
	clock.schedule(l.process, clock.now+minWakeDelay+maxTimerDelay*l.process.rng.Float64(), l.run)
}

// HasEnded implements env.Loop.
func (l *loop) HasEnded() bool { return l.ended }

func (l *loop) run() {
	if l.ended {
		return
	}
	l.woken = false
	l.generation++
	generation := l.generation
	l.process.charge(func(cost *CPUCost) float64 { return cost.Turn })
	wait := l.turn()
	if wait < 0 {
		l.ended = true
		return
	}
	clock := l.process.clock
	clock.schedule(l.process, clock.now+max(minTurnWait, wait), func() {
		if l.generation == generation && !l.woken {
			l.run()
		}
	})
}
