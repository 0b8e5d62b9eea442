// Package standin provides stand-ins for what surrounds a scheduler - nodes, the node list and clients - with the faults that tests and
// the laboratory inject into them.
//
// A Machine is the model of a node: it decides what a node does with placement requests, and has neither I/O nor a clock. Node puts a
// machine on the network, List is the node list, Client requests tasks. They run in a Testbed on any env.Environment, so the same
// stand-ins serve on sockets and on the laboratory's virtual network. What passes is recorded in the testbed's trace, which package audit
// checks.
//
// Locking: the testbed's lock guards all its machines and the state of their nodes; List and Client have locks of their own. List
// takes the testbed's lock while it holds its own, never the other way round.
//
// Errors are returned where an address can't be listened on. A peer that breaks a protocol is disconnected with a farewell that says why.
package standin

import (
	"sync"

	"ravenpond/internal/audit"
	"ravenpond/internal/env"
)

// anyLoopbackPort is where stand-ins listen that are given no address.
const anyLoopbackPort = "127.0.0.1:0"

// Testbed is what the stand-ins of one process share: an environment, a lock over all machines and a trace.
type Testbed struct {
	env.Environment
	startedAt float64 // ms of the environment's clock
	mu        sync.Mutex
	Trace     audit.Trace
}

// NewTestbed returns a testbed whose clock starts now.
func NewTestbed(environment env.Environment) *Testbed {
	return &Testbed{Environment: environment, startedAt: environment.Now()}
}

// Now is ms since the testbed was made.
func (tb *Testbed) Now() float64 { return tb.Environment.Now() - tb.startedAt }

// WithLock calls f, with the time, under the lock over all machines.
func (tb *Testbed) WithLock(f func(now float64)) {
	tb.mu.Lock()
	defer tb.mu.Unlock()
	f(tb.Now())
}
