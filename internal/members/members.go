// Package members runs a detector of a site's schedulers on the datagrams and the clock of a world. One lock guards it,
// under which nothing waits.
package members

import (
	"fmt"
	"sync"

	"ravenpond/internal/decide/membership"
	"ravenpond/internal/outside"
	codec "ravenpond/internal/proto/members"
)

// No datagram that the codec makes is too long for a world's port: this does not compile else.
const _ = uint(outside.MaxDatagram - codec.MaxDatagramBytes)

// Told hears of changes, one call at a time, and must not wait.
type Told interface {
	Changed(now float64, m membership.Member, was membership.State)
	Taken(now float64, address string)
	// Hears is what this process hears of a node: its life, and when last.
	Hears(node uint32) (life uint64, heard float64, ok bool)
}

// Runner is a detector that runs.
type Runner struct {
	w       outside.Environment
	told    Told
	port    outside.PacketConn
	address string
	loop    outside.Loop

	mu   sync.Mutex
	d    *membership.Detector
	over bool
}

// Begin opens the port for datagrams at the charter's address and runs a detector there until End.
// It is opened at another address if one is given, as where others reach it by a way round.
func Begin(w outside.Environment, listen string, who membership.Config, told Told) (*Runner, error) {
	r := &Runner{w: w, told: told}
	r.mu.Lock()
	defer r.mu.Unlock()
	port, err := w.ListenPacket(listen, r.heard)
	if err != nil {
		return nil, fmt.Errorf("members: %w", err)
	}
	r.port = port
	if who.Address == "" { // where a port was left to the machine, the others are told which it is
		who.Address = port.Address()
	}
	r.address = who.Address
	r.d = membership.New(edge{r}, w.Now(), who)
	r.loop = w.StartLoop(r.turn)
	return r, nil
}

func (r *Runner) turn() (wait float64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.over {
		return -1
	}
	r.d.Tick(r.w.Now())
	return max(0.1, r.d.Next()-r.w.Now())
}

func (r *Runner) heard(b []byte) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.over {
		return
	}
	before := r.d.Next()
	r.d.Heard(r.w.Now(), b)
	if r.d.Next() < before {
		r.loop.Wake()
	}
}

// Address is where others reach it.
func (r *Runner) Address() string { return r.address }

// See calls f with the detector, which is f's for the call alone.
func (r *Runner) See(f func(d *membership.Detector)) {
	r.mu.Lock()
	defer r.mu.Unlock()
	f(r.d)
}

// End tells the others that this process leaves, and ends.
func (r *Runner) End() {
	r.mu.Lock()
	if !r.over {
		r.d.Leave(r.w.Now())
		r.over = true
	}
	r.mu.Unlock()
	r.port.StopAccepting()
	r.loop.Wake()
}

type edge struct{ *Runner }

func (e edge) Send(address string, b []byte) { e.port.Send(address, b) }

func (e edge) Changed(m membership.Member, was membership.State) { e.told.Changed(e.w.Now(), m, was) }

func (e edge) Hears(node uint32) (life uint64, heard float64, ok bool) { return e.told.Hears(node) }

func (e edge) Taken(address string) { e.told.Taken(e.w.Now(), address) }
