// Package standin provides stand-ins for the peers of a scheduler - nodes, the node list and clients - with the faults that tests and the
// simulations of internal/lab inject into them.
//
// A Machine is the model of a node: it decides how a node handles placement requests, and has neither I/O nor a clock. Node connects a machine to
// the network, List is the node list, and Client requests tasks. They run in a Testbed on any env.Environment, so the same stand-ins work on
// sockets and on the virtual network of internal/lab/sim. Events are recorded in the testbed's trace, which package audit checks.
//
// Locking: the testbed's lock guards all its machines and the state of their nodes. List and Client have their own locks. List acquires the
// testbed's lock while it holds its own, never the other way round.
//
// Errors are returned where listening on an address fails. A peer that violates a protocol is disconnected with a BYE message that gives the
// reason.
package standin

import (
	"sync"

	"ravenpond/internal/audit"
	"ravenpond/internal/env"
)

// anyLoopbackPort is the listen address of a List without an address of its own.
const anyLoopbackPort = "127.0.0.1:0"

// Testbed is the shared state of the stand-ins of one process: an environment, a lock over all machines and a trace.
type Testbed struct {
	env.Environment
	startedAt float64 // ms of the environment's clock
	mu        sync.Mutex
	Trace     audit.Trace
}

// NewTestbed returns a testbed whose clock starts at 0 now.
func NewTestbed(environment env.Environment) *Testbed {
	return &Testbed{Environment: environment, startedAt: environment.Now()}
}

// Now returns the time in ms since the testbed was created.
func (tb *Testbed) Now() float64 { return tb.Environment.Now() - tb.startedAt }

// WithLock calls f with the current time while it holds the lock over all machines.
func (tb *Testbed) WithLock(f func(now float64)) {
	tb.mu.Lock()
	defer tb.mu.Unlock()
	f(tb.Now())
}
