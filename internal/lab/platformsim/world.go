package platformsim

import (
	"github.com/rs/zerolog"

	"ravenpond/internal/env"
	"ravenpond/internal/lab/sim"
	"ravenpond/internal/platform"
)

// world is the clock, the hosts and the network of a simulation. Its callbacks run one at a time.
type world interface {
	// TrueTime returns the time since the start of the simulation in ms.
	TrueTime() float64
	// UnixTime returns the time in Unix ms.
	UnixTime() float64
	// At calls f at a true time, in ms.
	At(ms float64, f func())
	// NewHost starts a host.
	NewHost(name string) host
	// Address returns the address at which a host listens.
	Address(name string) string
	// SetCut cuts the link between two hosts, or restores it.
	SetCut(a, b string, cut bool)
	// IsCut returns whether the link between two hosts is cut.
	IsCut(a, b string) bool
	// Launch starts a scheduler process and calls ready once clients can connect to it.
	Launch(s *scheduler, config *platform.Configuration, ready func(program))
	// EndDelay returns the time after the end of a process by which everything that it sent has arrived, in ms.
	EndDelay() float64
}

// host is the environment of a simulated node, client or journal service. It can be killed with its connections and timers, and started again.
type host interface {
	env.Environment
	Kill(powerLoss bool)
	Vanish() // ends with its machine: connections are silent, and new ones never come up until it is started again
	Start()
}

// program is a scheduler process.
type program interface {
	Stop()                                 // SIGTERM
	Reload(config *platform.Configuration) // SIGHUP, with a new configuration
	Kill()                                 // SIGKILL
	Done() <-chan struct{}                 // closed when it has ended by itself
	Backlog() float64                      // ms by which the process is behind, 0 if unknown
}

// simWorld is a world on the simulated clock and network of package sim. Schedulers run in this process.
type simWorld struct {
	*sim.Clock
	sim       *simulation
	processes map[string]*sim.Process // of schedulers, by name
}

// addProcess adds the simulated process of a scheduler.
func (w *simWorld) addProcess(name string) {
	process := w.NewProcess(name)
	process.SynchronousWrites = !w.sim.AsynchronousWrites
	if w.sim.overload != nil {
		process.LimitCPU(w.sim.overload.share, sim.MeasuredCost)
	}
	w.processes[name] = process
}

// UnixTime implements world.
func (w *simWorld) UnixTime() float64 {
	return w.processes["s0"].Now() + float64(env.Epoch.UnixMilli())
}

// NewHost implements world.
func (w *simWorld) NewHost(name string) host { return w.NewProcess(name) }

// Address implements world.
func (w *simWorld) Address(name string) string { return name + ":1" }

// EndDelay implements world.
func (w *simWorld) EndDelay() float64 { return 1 }

// Launch implements world.
func (w *simWorld) Launch(s *scheduler, config *platform.Configuration, ready func(program)) {
	sm := w.sim
	process := w.processes[s.name]
	if s.incarnation > 1 {
		process.Start()
	}
	environment := env.Environment(process)
	if sm.WrapEnvironment != nil {
		environment = sm.WrapEnvironment(environment)
	}
	environment = observedEnvironment{environment, sm, s}
	server := platform.New(environment, zerolog.New(s), config)
	if err := server.Start(config); err != nil {
		sm.fail(err.Error())
		return
	}
	ready(&simProgram{process, server})
}

// simProgram is a scheduler that runs in this process. It implements program.
type simProgram struct {
	process *sim.Process
	server  *platform.Server
}

// Stop implements program.
func (p *simProgram) Stop() { p.server.Stop() }

// Reload implements program.
func (p *simProgram) Reload(config *platform.Configuration) { p.server.ApplyConfiguration(config) }

// Done implements program.
func (p *simProgram) Done() <-chan struct{} { return p.server.Done() }

// Backlog implements program.
func (p *simProgram) Backlog() float64 { return p.process.Backlog() }

// Kill implements program. The simulated process can be started for the next incarnation at once.
func (p *simProgram) Kill() {
	p.process.Kill(false)
}
