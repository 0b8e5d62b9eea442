package scale

import (
	"bytes"
	"fmt"
	"runtime"
	"syscall"

	"golang.org/x/sys/unix"

	"ravenpond/internal/lab/scale/result"
)

// Rough measurements of what parts of a run need, and limits on what a run may use. Memory is in bytes.
const (
	spareDescriptors    = 300       // of a process, besides those of listeners and connections
	memoryPerNode       = 60 << 10  // in the hollow process, with a connection
	memoryPerLink       = 30 << 10  // in a real process, for each connection to a node
	memoryPerMember     = 2 << 10   // in each scheduler, for each other scheduler
	memoryPerScheduler  = 100 << 10 // for each scheduler
	memoryPerProcess    = 60 << 20  // for each operating system process
	memoryFraction      = 0.5       // of the machine's memory that a run may use
	maxNodesPerChild    = 5000
	maxChildDescriptors = 12_000 // descriptors for listeners and connections of one process of hollow nodes
)

// resourceNeeds holds the resources that a run needs.
type resourceNeeds struct {
	Descriptors uint64 // file descriptors of the process that needs the most
	Memory      uint64 // bytes, of all processes together
}

// estimateNeeds estimates the resources that a run needs.
func (t Trial) estimateNeeds() resourceNeeds {
	links := t.Sizes.Nodes * t.Real
	perNode := 1 + t.Real // a listener, and a connection from each real process
	nodesChild := min(t.Sizes.Nodes+1, t.nodesPerChild()) * perNode
	most := max(nodesChild, t.Sizes.Nodes, t.Sizes.Schedulers) + spareDescriptors
	memory := t.Sizes.Nodes*memoryPerNode + links*memoryPerLink + t.Sizes.Schedulers*(memoryPerScheduler+t.Sizes.Schedulers*memoryPerMember) +
		(t.Real+t.nodeChildren()+2)*memoryPerProcess
	return resourceNeeds{Descriptors: uint64(most), Memory: uint64(memory)}
}

// nodesPerChild returns the maximum number of nodes in a hollow process: each node needs descriptors for a listener and for a
// connection from each real process.
func (t Trial) nodesPerChild() int { return min(maxNodesPerChild, maxChildDescriptors/(1+t.Real)) }

func (t Trial) nodeChildren() int { return (t.Sizes.Nodes + t.nodesPerChild()) / t.nodesPerChild() }

// checkLimits returns an error if a run does not fit on a machine with a limit of descriptors per process and an amount of memory in
// bytes.
func (n resourceNeeds) checkLimits(descriptors, memory uint64) error {
	if n.Descriptors > descriptors {
		return fmt.Errorf("scale run: a process needs %d descriptors, the limit (ulimit -n) is %d", n.Descriptors, descriptors)
	}
	if most := uint64(memoryFraction * float64(memory)); n.Memory > most {
		return fmt.Errorf("scale run: %d MiB of memory needed, a run may use %d MiB", n.Memory>>20, most>>20)
	}
	return nil
}

// checkMachine returns an error if a run does not fit on this machine.
func (t Trial) checkMachine() error {
	var limit syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &limit); err != nil {
		return fmt.Errorf("read the limit of file descriptors: %w", err)
	}
	return t.estimateNeeds().checkLimits(limit.Cur, machineMemory())
}

// machineMemory returns the machine's memory in bytes, or 0 if it is unknown.
func machineMemory() uint64 {
	var info unix.Sysinfo_t
	if unix.Sysinfo(&info) != nil {
		return 0
	}
	return uint64(info.Totalram) * uint64(info.Unit)
}

// describeMachine returns the description of this machine for results.
func describeMachine() result.Machine {
	m := result.Machine{CPUs: runtime.NumCPU(), MemoryBytes: machineMemory(), GoVersion: runtime.Version()}
	var name unix.Utsname
	if unix.Uname(&name) == nil {
		m.Kernel = string(bytes.TrimRight(name.Release[:], "\x00"))
	}
	return m
}
