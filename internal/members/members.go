// Package members runs a process's failure detector, see decide/membership, on the datagrams and the clock of an environment.
//
// One lock guards the detector. Datagrams, the timers of the environment's loop and callers of WithDetector take it in turn, and nothing waits
// while it is held. The event handler is called under the lock.
package members

import (
	"fmt"
	"sync"

	"ravenpond/internal/decide/membership"
	"ravenpond/internal/env"
	codec "ravenpond/internal/proto/members"
)

// Every datagram of the codec fits the environment's packets: a negative constant does not compile.
const _ = uint(env.MaxDatagram - codec.MaxDatagramBytes)

// minWait is the shortest time between two steps of the loop, ms.
const minWait = 0.1

// EventHandler handles the detector's events, and answers what this process knows of nodes. Its methods are called one at a time, under the
// runner's lock, and must not wait or call the runner.
type EventHandler interface {
	// OnChange handles a change of a member's state or incarnation. previous is its state before.
	OnChange(now float64, m membership.Member, previous membership.State)
	// OnNameTaken handles that another process, at an address, uses this one's name.
	OnNameTaken(now float64, address string)
	// LastHeard returns a node's incarnation and when this process last heard from it, ms, and false if it does not hear from the node.
	LastHeard(node uint32) (incarnation uint64, at float64, ok bool)
}

// Runner runs a detector. Its methods may be called by any goroutine.
type Runner struct {
	environment env.Environment
	handler     EventHandler
	connection  env.PacketConn
	address     string
	loop        env.Loop

	mu       sync.Mutex
	detector *membership.Detector // guarded by mu
	stopped  bool                 // guarded by mu
}

// Start listens for datagrams at an address and runs a detector until Stop. The address that others use is that of the config; if it is empty,
// it is the one that the environment chose.
func Start(environment env.Environment, listen string, config membership.Config, handler EventHandler) (*Runner, error) {
	r := &Runner{environment: environment, handler: handler}
	r.mu.Lock() // a datagram that arrives meanwhile waits for the detector
	defer r.mu.Unlock()
	connection, err := environment.ListenPacket(listen, r.onDatagram)
	if err != nil {
		return nil, fmt.Errorf("members: %w", err)
	}
	r.connection = connection
	if config.Address == "" {
		config.Address = connection.Address()
	}
	r.address = config.Address
	r.detector = membership.New(effects{r}, environment.Now(), config)
	r.loop = environment.StartLoop(r.step)
	return r, nil
}

// step does what is due and returns the time in ms until the next step, or -1 after Stop.
func (r *Runner) step() (wait float64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.stopped {
		return -1
	}
	r.detector.Tick(r.environment.Now())
	return max(minWait, r.detector.Next()-r.environment.Now())
}

func (r *Runner) onDatagram(datagram []byte) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.stopped {
		return
	}
	before := r.detector.Next()
	r.detector.OnDatagram(r.environment.Now(), datagram)
	if r.detector.Next() < before {
		r.loop.Wake()
	}
}

// Address returns the address at which others reach this process.
func (r *Runner) Address() string { return r.address }

// WithDetector calls f with the detector, which f must not keep.
func (r *Runner) WithDetector(f func(d *membership.Detector)) {
	r.mu.Lock()
	defer r.mu.Unlock()
	f(r.detector)
}

// Stop tells the other members that this process leaves, and stops the runner. It does not wait for the loop's last step.
func (r *Runner) Stop() {
	r.mu.Lock()
	if !r.stopped {
		r.detector.AnnounceLeave(r.environment.Now())
		r.stopped = true
	}
	r.mu.Unlock()
	r.connection.Close()
	r.loop.Wake()
}

// effects executes what the detector decides, under the runner's lock.
type effects struct{ *Runner }

// Send implements membership.Effects.
func (e effects) Send(address string, datagram []byte) { e.connection.Send(address, datagram) }

// OnMemberChanged implements membership.Effects.
func (e effects) OnMemberChanged(m membership.Member, previous membership.State) {
	e.handler.OnChange(e.environment.Now(), m, previous)
}

// OnNameConflict implements membership.Effects.
func (e effects) OnNameConflict(address string) { e.handler.OnNameTaken(e.environment.Now(), address) }

// LastNodeContact implements membership.Effects.
func (e effects) LastNodeContact(node uint32) (incarnation uint64, at float64, ok bool) {
	return e.handler.LastHeard(node)
}
