// Package budget divides what a process may use, so that no side takes what another needs: descriptors among clients
// and nodes, memory among what is open. It guards against clients that connect by hundreds and say nothing, and against
// tables that grow until the process is killed for its memory.
package budget

// Parts is what each side may use.
type Parts struct {
	Clients     int // connections
	Nodes       int
	Open        int // allocations without a final answer
	OnOne       int // of them on one connection
	Held        int // allocations of all kinds, what stands at nodes included
	SoftCap     int // bytes of memory from which the collector works harder
	Lingers     int // connections that were ended here and wait for their peers to close too
	Provisional int // clients' connections beyond their part, that have said nothing yet or are turned away
}

const (
	kept      = 16   // descriptors that are neither clients' nor nodes': standard files, journal, the poller, accepts
	ending    = 0.06 // part of all that connections hold which are being ended, or are not let in: half of it each
	clients   = 0.4  // part of the others; usual clients hold a third of all at most
	soft      = 0.7  // part of the memory
	openEach  = 16   // allocations open for each MB
	onOnePart = 0.25 // part of them on one connection
	heldTimes = 8    // what is held in all, for each that may be open: what stands takes less memory
)

// Divide divides descriptors and MB of memory.
func Divide(sockets, memoryMB int) Parts {
	each := max(1, int(ending/2*float64(sockets)))
	left := max(8, sockets-kept-2*each)
	o := int(clients * float64(left))
	open := max(64, openEach*memoryMB)
	return Parts{
		Clients: o, Nodes: left - o, Open: open, OnOne: int(onOnePart * float64(open)), Held: heldTimes * open,
		SoftCap: int(soft * float64(memoryMB) * (1 << 20)), Lingers: each, Provisional: each,
	}
}

// Purpose is what a connection to a node is wanted for.
type Purpose uint8

const (
	Offer Purpose = iota // an allocation that waits for it
	Probe                // the module wants to know how a node is
	Look                 // something stands at a node of which nothing is heard
)

// lookAgain is how long ms a node is left alone, between two looks, where no descriptor is free for one: looks that take
// each other's connections away would go round in circles.
const lookAgain = 3000

// Wants is a connection to a node that is wanted, while so many are held.
type Wants struct {
	For    Purpose
	Held   int     // connections to nodes
	Idle   int     // of them, on which nothing is open
	Spare  int     // of those, more than one to their node, or to nodes where nothing stands
	Looked float64 // ms since the node was last looked for
}

// Does is what to do about it.
type Does uint8

const (
	Make   Does = iota // make it
	Trade              // end the connection that was idle for longest, one that is spare first, then make it
	Forego             // make none: a later time will do, or it counts as not sent
)

// Node decides about a connection to a node. All that a process may hold is a bound that is never passed: the one that
// is made beyond it fails, and looks like a node that can't be reached.
func (p Parts) Node(w Wants) Does {
	switch {
	case w.Held < p.Nodes:
		return Make
	case w.Spare > 0 || w.Idle > 0 && (w.For != Look || w.Looked >= lookAgain):
		return Trade
	}
	return Forego
}
