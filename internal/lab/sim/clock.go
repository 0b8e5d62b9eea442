// Package sim runs the program's own code, from connections to the engine, on one goroutine with a virtual clock, network and disks, and
// injects faults that are drawn from a seed.
//
// Input is a Script: a cluster, its load, and faults with their times. Simulation.Run plays it and returns a Result: the first rule or
// invariant that broke, counts, and a hash over all that passed. The same script gives the same trace, whatever the machine.
//
// Clock holds the true time and all events to come. Processes run on it as if each had a machine of its own: Process implements
// env.Environment. Other packages of the laboratory build their own clusters from Clock and Process.
//
// Concurrency: one clock, with all its processes, belongs to one goroutine; nothing is locked. RunSeeds plays many scripts at once, each on
// a clock of its own. Errors of scripts are returned by Parse and Script.Check; what breaks in a run is Result.Failure, and a panic of the
// program is such a failure.
package sim

import (
	"fmt"
	"io"
	"math/rand/v2"

	"github.com/cespare/xxhash/v2"

	"ravenpond/internal/lab/agenda"
)

// event is something that happens to an incarnation of a process, or to the network.
type event struct {
	process     *Process // nil: no process
	incarnation int
	run         func()
}

// Clock is the true time, in ms, and all events to come, with the network that links processes.
type Clock struct {
	rng           *rand.Rand
	now           float64 // ms
	events        agenda.Queue[event]
	steps         uint64 // events that ran code of a process
	trace         xxhash.Digest
	traceOut      io.Writer // gets the trace as text, unless it is nil
	processes     []*Process
	listeners     map[string]*listener
	links         map[[2]string]*link // by the names of both hosts, in order
	packetConns   map[string]*packetConn
	datagramLinks map[[2]string]*DatagramLink
}

// NewClock returns a clock at time 0, without processes.
func NewClock(seed uint64) *Clock {
	c := &Clock{
		rng: rand.New(rand.NewPCG(seed, 0x51)), listeners: map[string]*listener{}, links: map[[2]string]*link{},
		packetConns: map[string]*packetConn{}, datagramLinks: map[[2]string]*DatagramLink{},
	}
	c.trace.Reset()
	return c
}

// TrueTime is the true time, in ms.
func (c *Clock) TrueTime() float64 { return c.now }

// At calls f at a true time in ms, whatever becomes of any process.
func (c *Clock) At(ms float64, f func()) { c.schedule(nil, ms, f) }

// RunUntil runs all events before a true time in ms.
func (c *Clock) RunUntil(at float64) {
	for c.step(at) {
	}
}

// schedule has an event happen at a time in ms, or now if that is past. It is dropped if the process is not in its present incarnation by
// then.
func (c *Clock) schedule(p *Process, when float64, run func()) {
	e := event{process: p, run: run}
	if p != nil {
		e.incarnation = p.incarnation
	}
	c.events.Add(max(when, c.now), e)
}

// step runs the next event, if there is one before a time. It reports whether there was.
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

// tracef adds a line to the trace. What can't be written as text is lost; the hash holds it all the same.
func (c *Clock) tracef(format string, args ...any) {
	_, _ = fmt.Fprintf(&c.trace, "%.6f ", c.now)
	_, _ = fmt.Fprintf(&c.trace, format, args...)
	if c.traceOut != nil {
		_, _ = fmt.Fprintf(c.traceOut, "%.3f ", c.now)
		_, _ = fmt.Fprintf(c.traceOut, format, args...)
	}
}
