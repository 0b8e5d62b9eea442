// Package members runs the failure detector of package decide/membership with the datagrams and the clock of an environment.
//
// One lock protects the detector. It is taken for datagrams, for the timers of the environment's loop and by WithDetector, and nothing blocks
// while it is held. The event handler is called with the lock held.
package members

import (
	"fmt"
	"sync"

	"ravenpond/internal/decide/membership"
	"ravenpond/internal/env"
	codec "ravenpond/internal/proto/members"
)

// Compile-time check that every datagram of the codec fits into the environment's packets: a negative constant does not compile.
const _ = uint(env.MaxDatagram - codec.MaxDatagramBytes)

// minWait is the minimum time between two steps of the loop, in ms.
const minWait = 0.1

// EventHandler handles the detector's events and tells it when this process last heard from a node. Its methods are called one at a time, with
// the runner's lock held, and must not block or call the runner.
type EventHandler interface {
	// OnMemberChanged handles a change of a member's state or incarnation. previous is its state before the change.
	OnMemberChanged(now float64, m membership.Member, previous membership.State)
	// OnNameConflict handles a name conflict: another process, at an address, uses the name of this one.
	OnNameConflict(now float64, address string)
	// LastNodeContact returns a node's incarnation and the time in ms when this process last heard from it, and false if it does not hear from the node.
	LastNodeContact(node uint32) (incarnation uint64, at float64, ok bool)
}

// Runner runs a detector. Its methods may be called concurrently.
type Runner struct {
	environment env.Environment
	handler     EventHandler
	connection  env.PacketConn
	address     string
	loop        env.Loop

	mu       sync.Mutex
	detector *membership.Detector // protected by mu
	stopped  bool                 // protected by mu
}

// Start listens for datagrams at an address and runs a detector until Stop. Other members use the address in the config; if that is empty,
// they use the address that the environment chose.
func Start(environment env.Environment, listen string, config membership.Config, handler EventHandler) (*Runner, error) {
	r := &Runner{environment: environment, handler: handler}
	r.mu.Lock() // a datagram that arrives before the detector exists waits for the lock
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

// step runs the detector's due actions and returns the time in ms until the next step, or -1 after Stop.
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

// Address returns the address at which other members reach this process.
func (r *Runner) Address() string { return r.address }

// WithDetector calls f with the detector and with the lock held. f must not keep the detector.
func (r *Runner) WithDetector(f func(d *membership.Detector)) {
	r.mu.Lock()
	defer r.mu.Unlock()
	f(r.detector)
}

// Stop announces to the other members that this process leaves, and stops the runner. It does not wait for the loop's last step.
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

// effects executes the detector's decisions. Its methods are called with the runner's lock held.
type effects struct{ *Runner }

// Send implements membership.Effects.
func (e effects) Send(address string, datagram []byte) { e.connection.Send(address, datagram) }

// OnMemberChanged implements membership.Effects.
func (e effects) OnMemberChanged(m membership.Member, previous membership.State) {
	e.handler.OnMemberChanged(e.environment.Now(), m, previous)
}

// OnNameConflict implements membership.Effects.
func (e effects) OnNameConflict(address string) {
	e.handler.OnNameConflict(e.environment.Now(), address)
}

// LastNodeContact implements membership.Effects.
func (e effects) LastNodeContact(node uint32) (incarnation uint64, at float64, ok bool) {
	return e.handler.LastNodeContact(node)
}
