// Package budget divides the resources of a process: file descriptors among connections to clients and to nodes, and memory among open
// allocations. It prevents hundreds of clients that connect and send nothing from taking the descriptors that others require, and tables
// from growing until the process is killed for running out of memory.
//
// The package does no I/O, holds no state and returns no errors.
package budget

// Limits are the limits of each use of the process's resources.
type Limits struct {
	ClientConns      int
	NodeConns        int
	Open             int // allocations without a final answer
	OpenPerConn      int // open allocations of one client connection
	Held             int // allocations in any state, including those that run at nodes
	MemorySoftLimit  int // bytes; soft limit of the garbage collector, above which it runs more often
	LingeringConns   int // connections that the process has closed and whose peers have not closed them yet
	ProvisionalConns int // client connections beyond ClientConns that have sent nothing yet or are being rejected
}

const (
	reservedDescriptors = 16   // for standard streams, journal, poller and connections being accepted
	closingFraction     = 0.06 // of all descriptors, one half for lingering and one for provisional connections
	clientFraction      = 0.4  // of the remaining descriptors for clients; usual clients take at most a third of all descriptors
	softLimitFraction   = 0.7  // of the process's memory
	openPerMB           = 16   // open allocations per MB of memory
	openPerConnFraction = 0.25 // of the open allocations for one client connection
	heldPerOpen         = 8    // held allocations per open one; running allocations take less memory
	minDescriptors      = 8
	minOpen             = 64
	bytesPerMB          = 1 << 20
)

// Divide returns the limits for a number of file descriptors and MB of memory.
func Divide(descriptors, memoryMB int) Limits {
	closing := max(1, int(closingFraction/2*float64(descriptors)))
	rest := max(minDescriptors, descriptors-reservedDescriptors-2*closing)
	clients := int(clientFraction * float64(rest))
	open := max(minOpen, openPerMB*memoryMB)
	return Limits{
		ClientConns:      clients,
		NodeConns:        rest - clients,
		Open:             open,
		OpenPerConn:      int(openPerConnFraction * float64(open)),
		Held:             heldPerOpen * open,
		MemorySoftLimit:  int(softLimitFraction * float64(memoryMB) * bytesPerMB),
		LingeringConns:   closing,
		ProvisionalConns: closing,
	}
}
