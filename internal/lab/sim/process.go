package sim

import (
	"math"
	"math/rand/v2"
	"time"

	"ravenpond/internal/env"
)

// clockOrigin is the time in ms at which the processes' clocks start. It is not zero because code takes times near zero as long past.
const clockOrigin = 24 * 3600e3

// Delays of timers and loops in ms.
const (
	maxTimerDelay = 0.02  // most by which a timer fires late
	minWakeDelay  = 0.002 // between Wake and the turn of the loop
	minTurnWait   = 0.01  // between two turns of a loop
)

// Process simulates an operating-system process on a machine of its own. It implements env.Environment. A kill removes its connections and
// timers; afterwards it can be started again.
type Process struct {
	Name string
	// SynchronousWrites makes Send hand data to the network within the call. Otherwise a writer does so after a short delay.
	SynchronousWrites bool

	clock       *Clock
	rng         *rand.Rand
	incarnation int
	dead        bool

	unreachable bool // its machine has vanished, with what listened there
	paused      bool
	resumedAt   float64 // true time in ms
	deferred    []event // events that were due while the process was paused

	clockError float64 // error of the machine's wall clock, ms
	drift      float64 // fraction by which the machine's clock runs fast
	startedAt  float64 // true time at the start of this incarnation, ms
	clockBase  float64 // the process's clock at the start of this incarnation, ms

	conns            []*conn
	cpu              *cpu // nil: code takes no time
	effectsUntilKill int  // 0: no kill is planned
	onDeath          func()
}

// NewProcess returns a new process that has been started.
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
	p.unreachable = false
	p.startedAt, p.clockBase = p.clock.now, clockOrigin+p.clock.now+p.clockError
}

// Kill ends the process at once, as kill -9 does: data that it has handed to the network still arrives, and its connections are closed.
// After a power loss its peers are not notified.
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

// Vanish ends the process with its machine: its connections stay open and silent, and new ones to the addresses at which it listened never come
// up. When it is started again, or another process listens at its addresses, the old connections are reset once something is sent on them.
func (p *Process) Vanish() {
	if p.dead {
		return
	}
	p.unreachable = true
	for _, l := range p.clock.listeners {
		if l.process == p {
			p.clock.vanished[l.address] = p
		}
	}
	p.Kill(true)
}

// KillAfterEffects kills the process at its n-th effect from now, n being the argument. Effects are messages, dials and writes to its disk.
func (p *Process) KillAfterEffects(effects int) { p.effectsUntilKill = effects }

// effect counts an effect. It reports whether the process is alive to carry it out.
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

// Pause suspends the process as SIGSTOP does. Its events are deferred until Resume.
func (p *Process) Pause() { p.paused = true }

// Paused reports whether the process is paused.
func (p *Process) Paused() bool { return p.paused }

// Resume continues a paused process and runs the events that were deferred.
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

// JumpClock moves the machine's wall clock by ms. WallClock changes, Now does not.
func (p *Process) JumpClock(ms float64) { p.clockError += ms }

// SetDrift makes the machine's clock run fast by a fraction, or slow if the fraction is negative.
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

// After implements env.Environment. Timers fire up to maxTimerDelay late.
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
	generation int // of the planned turn; plans of earlier generations are void
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
