// Package members runs a detector of a site's schedulers on the datagrams and the clock of a world. One lock guards it,
// under which nothing waits.
package members

import (
	"fmt"
	"sync"

	"ravenpond/internal/decide/membership"
	"ravenpond/internal/env"
	codec "ravenpond/internal/proto/members"
)

// No datagram that the codec makes is too long for a world's port: this does not compile else.
const _ = uint(env.MaxDatagram - codec.MaxDatagramBytes)

// EventHandler hears of changes, one call at a time, and must not wait.
type EventHandler interface {
	OnChange(now float64, m membership.Member, was membership.State)
	OnNameTaken(now float64, address string)
	// LastHeard is what this process hears of a node: its life, and when last.
	LastHeard(node uint32) (life uint64, heard float64, ok bool)
}

// Runner is a detector that runs.
type Runner struct {
	environment env.Environment
	handler     EventHandler
	port        env.PacketConn
	address     string
	loop        env.Loop

	mu       sync.Mutex
	detector *membership.Detector
	stopped  bool
}

// Start opens the port for datagrams at the charter's address and runs a detector there until End.
// It is opened at another address if one is given, as where others reach it by a way round.
func Start(environment env.Environment, listen string, config membership.Config, handler EventHandler) (*Runner, error) {
	r := &Runner{environment: environment, handler: handler}
	r.mu.Lock()
	defer r.mu.Unlock()
	port, err := environment.ListenPacket(listen, r.onDatagram)
	if err != nil {
		return nil, fmt.Errorf("members: %w", err)
	}
	r.port = port
	if config.Address == "" { // where a port was left to the machine, the others are told which it is
		config.Address = port.Address()
	}
	r.address = config.Address
	r.detector = membership.New(effects{r}, environment.Now(), config)
	r.loop = environment.StartLoop(r.step)
	return r, nil
}

func (r *Runner) step() (wait float64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.stopped {
		return -1
	}
	r.detector.Tick(r.environment.Now())
	return max(0.1, r.detector.Next()-r.environment.Now())
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

// Address is where others reach it.
func (r *Runner) Address() string { return r.address }

// WithDetector calls f with the detector, which is f's for the call alone.
func (r *Runner) WithDetector(f func(d *membership.Detector)) {
	r.mu.Lock()
	defer r.mu.Unlock()
	f(r.detector)
}

// Stop tells the others that this process leaves, and ends.
func (r *Runner) Stop() {
	r.mu.Lock()
	if !r.stopped {
		r.detector.AnnounceLeave(r.environment.Now())
		r.stopped = true
	}
	r.mu.Unlock()
	r.port.Close()
	r.loop.Wake()
}

type effects struct{ *Runner }

func (e effects) Send(address string, b []byte) { e.port.Send(address, b) }

func (e effects) OnMemberChanged(m membership.Member, was membership.State) {
	e.handler.OnChange(e.environment.Now(), m, was)
}

func (e effects) LastNodeContact(node uint32) (life uint64, heard float64, ok bool) {
	return e.handler.LastHeard(node)
}

func (e effects) OnNameConflict(address string) { e.handler.OnNameTaken(e.environment.Now(), address) }
