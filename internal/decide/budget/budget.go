// Package budget divides a process's resources, so that no side takes what another needs: file descriptors among clients and nodes, memory
// among open allocations. It guards against clients that connect by hundreds and send nothing, and against tables that grow until the
// process is killed for its memory.
//
// The package does no I/O, holds no state and returns no errors.
package budget

// Limits is what each side may use.
type Limits struct {
	ClientConns      int
	NodeConns        int
	Open             int // allocations without a final answer
	OpenPerConn      int // of them on one client connection
	Held             int // allocations of all kinds, including those that run at nodes
	MemorySoftLimit  int // bytes, from which the garbage collector works harder
	LingeringConns   int // connections that were closed here and wait for their peers to close too
	ProvisionalConns int // client connections beyond ClientConns that have sent nothing yet or are rejected
}

const (
	reservedDescriptors = 16   // standard files, journal, poller and accepts
	endingFraction      = 0.06 // of all descriptors for lingering and provisional connections, half of it each
	clientFraction      = 0.4  // of the others for clients; usual clients hold a third of all at most
	softLimitFraction   = 0.7  // of the memory
	openPerMB           = 16   // open allocations for each MB of memory
	openPerConnFraction = 0.25 // of them on one connection
	heldPerOpen         = 8    // allocations held for each that may be open: those that run take less memory
	minDescriptors      = 8
	minOpen             = 64
	bytesPerMB          = 1 << 20
)

// Divide divides descriptors and MB of memory.
func Divide(descriptors, memoryMB int) Limits {
	ending := max(1, int(endingFraction/2*float64(descriptors)))
	rest := max(minDescriptors, descriptors-reservedDescriptors-2*ending)
	clients := int(clientFraction * float64(rest))
	open := max(minOpen, openPerMB*memoryMB)
	return Limits{
		ClientConns:      clients,
		NodeConns:        rest - clients,
		Open:             open,
		OpenPerConn:      int(openPerConnFraction * float64(open)),
		Held:             heldPerOpen * open,
		MemorySoftLimit:  int(softLimitFraction * float64(memoryMB) * bytesPerMB),
		LingeringConns:   ending,
		ProvisionalConns: ending,
	}
}
