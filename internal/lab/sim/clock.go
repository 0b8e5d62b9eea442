// Package sim is a deterministic simulator. It runs the program's own code, from connections to the engine, on one goroutine with a virtual
// clock, network and disks, and injects faults that are drawn from a seed.
//
// Its input is a Script: a cluster, its load, and faults with their times. Simulation.Run runs it and returns a Result: the first rule or
// invariant that was violated, counts, and a hash over the trace of all events. The same script gives the same trace on every machine.
//
// Clock holds the true time and all future events. Processes run on it as if each had a machine of its own: Process implements
// env.Environment. Other packages in internal/lab build their own clusters from Clock and Process.
//
// Concurrency: a clock and all its processes belong to one goroutine, and nothing is locked. Batch.Run runs many scripts at once, each on
// a clock of its own. Parse and Script.Check return the errors of scripts; Result.Failure describes a failure during a run, and a panic of
// the program is such a failure.
package sim

import (
	"fmt"
	"io"
	"math/rand/v2"

	"github.com/cespare/xxhash/v2"

	"ravenpond/internal/lab/agenda"
)

// event is a callback that runs in an incarnation of a process, or in the network.
type event struct {
	process     *Process // nil for an event of the network or the simulation
	incarnation int
	run         func()
}

// Clock holds the true time in ms, all future events, and the network between processes.
type Clock struct {
	rng           *rand.Rand
	now           float64 // ms
	events        agenda.Queue[event]
	steps         uint64 // number of events that ran code of a process
	trace         xxhash.Digest
	traceOut      io.Writer // receives the trace as text, unless it is nil
	processes     []*Process
	listeners     map[string]*listener
	vanished      map[string]*Process // by the address at which a process listened whose machine has vanished
	links         map[[2]string]*link // by the names of both hosts, in alphabetical order
	packetConns   map[string]*packetConn
	datagramLinks map[[2]string]*DatagramLink
}

// NewClock returns a clock at time 0, without processes.
func NewClock(seed uint64) *Clock {
	c := &Clock{
		rng: rand.New(rand.NewPCG(seed, 0x51)), listeners: map[string]*listener{}, vanished: map[string]*Process{}, links: map[[2]string]*link{},
		packetConns: map[string]*packetConn{}, datagramLinks: map[[2]string]*DatagramLink{},
	}
	c.trace.Reset()
	return c
}

// TrueTime returns the true time in ms.
func (c *Clock) TrueTime() float64 { return c.now }

// At calls f at a true time in ms. The call does not depend on any process being alive.
func (c *Clock) At(ms float64, f func()) { c.schedule(nil, ms, f) }

// RunUntil runs all events before a true time in ms.
func (c *Clock) RunUntil(at float64) {
	for c.step(at) {
	}
}

// schedule adds an event at a time in ms, or now if that time has passed. The event is dropped if the process is no longer in its present
// incarnation by then.
func (c *Clock) schedule(p *Process, when float64, run func()) {
	e := event{process: p, run: run}
	if p != nil {
		e.incarnation = p.incarnation
	}
	c.events.Add(max(when, c.now), e)
}

// step runs the next event if it is due by the given time. It reports whether there was one.
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

// tracef adds a line to the trace. Errors of the text output are ignored, as the hash includes the line in any case.
func (c *Clock) tracef(format string, args ...any) {
	_, _ = fmt.Fprintf(&c.trace, "%.6f ", c.now)
	_, _ = fmt.Fprintf(&c.trace, format, args...)
	if c.traceOut != nil {
		_, _ = fmt.Fprintf(c.traceOut, "%.3f ", c.now)
		_, _ = fmt.Fprintf(c.traceOut, format, args...)
	}
}
