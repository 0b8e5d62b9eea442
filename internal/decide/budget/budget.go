// Package budget divides what a process may use, so that no side takes what another needs: descriptors among clients
// and nodes, memory among what is open. It guards against clients that connect by hundreds and say nothing, and against
// tables that grow until the process is killed for its memory.
package budget

// Limits is what each side may use.
type Limits struct {
	ClientConns      int // connections
	NodeConns        int
	Open             int // allocations without a final answer
	OpenPerConn      int // of them on one connection
	Held             int // allocations of all kinds, what stands at nodes included
	MemorySoftLimit  int // bytes of memory from which the collector works harder
	LingeringConns   int // connections that were ended here and wait for their peers to close too
	ProvisionalConns int // clients' connections beyond their part, that have said nothing yet or are turned away
}

const (
	reservedDescriptors = 16   // descriptors that are neither clients' nor nodes': standard files, journal, the poller, accepts
	endingFraction      = 0.06 // part of all that connections hold which are being ended, or are not let in: half of it each
	clientFraction      = 0.4  // part of the others; usual clients hold a third of all at most
	softLimitFraction   = 0.7  // part of the memory
	openPerMB           = 16   // allocations open for each MB
	openPerConnFraction = 0.25 // part of them on one connection
	heldPerOpen         = 8    // what is held in all, for each that may be open: what stands takes less memory
)

// Divide divides descriptors and MB of memory.
func Divide(sockets, memoryMB int) Limits {
	each := max(1, int(endingFraction/2*float64(sockets)))
	left := max(8, sockets-reservedDescriptors-2*each)
	o := int(clientFraction * float64(left))
	open := max(64, openPerMB*memoryMB)
	return Limits{
		ClientConns: o, NodeConns: left - o, Open: open, OpenPerConn: int(openPerConnFraction * float64(open)), Held: heldPerOpen * open,
		MemorySoftLimit: int(softLimitFraction * float64(memoryMB) * (1 << 20)), LingeringConns: each, ProvisionalConns: each,
	}
}

// Purpose is what a connection to a node is wanted for.
type Purpose uint8

const (
	ForPlacement   Purpose = iota // an allocation that waits for it
	ForProbe                      // the module wants to know how a node is
	ForHealthCheck                // something stands at a node of which nothing is heard
)

// healthCheckInterval is how long ms a node is left alone, between two looks, where no descriptor is free for one: looks that take
// each other's connections away would go round in circles.
const healthCheckInterval = 3000

// NodeConnRequest is a connection to a node that is wanted, while so many are held.
type NodeConnRequest struct {
	Purpose    Purpose
	Held       int     // connections to nodes
	Idle       int     // of them, on which nothing is open
	Spare      int     // of those, more than one to their node, or to nodes where nothing stands
	SinceCheck float64 // ms since the node was last looked for
}

// Action is what to do about it.
type Action uint8

const (
	Connect Action = iota // make it
	Replace               // end the connection that was idle for longest, one that is spare first, then make it
	Skip                  // make none: a later time will do, or it counts as not sent
)

// DecideNodeConn decides about a connection to a node. All that a process may hold is a bound that is never passed: the one that
// is made beyond it fails, and looks like a node that can't be reached.
func (p Limits) DecideNodeConn(w NodeConnRequest) Action {
	switch {
	case w.Held < p.NodeConns:
		return Connect
	case w.Spare > 0 || w.Idle > 0 && (w.Purpose != ForHealthCheck || w.SinceCheck >= healthCheckInterval):
		return Replace
	}
	return Skip
}
