package scale

import (
	"bytes"
	"fmt"
	"runtime"
	"syscall"

	"golang.org/x/sys/unix"

	"ravenpond/internal/lab/scale/result"
)

// What a run may take of the machine, by rough measurement.
const (
	spareDescriptors    = 300
	memoryPerNode       = 60 << 10 // of the hollow process, with a connection
	memoryPerLink       = 30 << 10 // of a real process
	memoryPerMember     = 2 << 10  // of what each scheduler holds of each other
	memoryPerHollow     = 100 << 10
	memoryPerProcess    = 60 << 20
	memoryFraction      = 0.5 // of the machine's that a run may take
	maxNodesPerChild    = 5000
	maxChildDescriptors = 12_000 // descriptors that a process of hollow nodes takes for listeners and connections
)

// needs is what a run takes of the machine.
type needs struct {
	Descriptors uint64 // of the process that takes most
	Memory      uint64 // of all together
}

// need counts what a run takes.
func (t Trial) need() needs {
	links := t.Sizes.Nodes * t.Real
	perNode := 1 + t.Real // a listener, and a connection from each real process
	nodesChild := min(t.Sizes.Nodes+1, t.nodesPerChild()) * perNode
	most := max(nodesChild, t.Sizes.Nodes, t.Sizes.Schedulers) + spareDescriptors
	memory := t.Sizes.Nodes*memoryPerNode + links*memoryPerLink + t.Sizes.Schedulers*(memoryPerHollow+t.Sizes.Schedulers*memoryPerMember) +
		(t.Real+t.nodeChildren()+2)*memoryPerProcess
	return needs{Descriptors: uint64(most), Memory: uint64(memory)}
}

// nodesPerChild is how many nodes a hollow process holds at most: each takes a listener and a connection a real process.
func (t Trial) nodesPerChild() int { return min(maxNodesPerChild, maxChildDescriptors/(1+t.Real)) }

func (t Trial) nodeChildren() int { return (t.Sizes.Nodes + t.nodesPerChild()) / t.nodesPerChild() }

// refuse tells why a run does not fit on a machine with a bound of descriptors a process and so much memory; nil if it does.
func (n needs) refuse(descriptors, memory uint64) error {
	if n.Descriptors > descriptors {
		return fmt.Errorf("scale run: a process needs %d descriptors, the limit (ulimit -n) is %d", n.Descriptors, descriptors)
	}
	if most := uint64(memoryFraction * float64(memory)); n.Memory > most {
		return fmt.Errorf("scale run: %d MiB of memory are needed, a run may take %d", n.Memory>>20, most>>20)
	}
	return nil
}

// checkMachine refuses a run that does not fit on this machine.
func (t Trial) checkMachine() error {
	var limit syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &limit); err != nil {
		return fmt.Errorf("limit of descriptors: %w", err)
	}
	return t.need().refuse(limit.Cur, memoryOfMachine())
}

// memoryOfMachine is in bytes, 0 if it can't be told.
func memoryOfMachine() uint64 {
	var info unix.Sysinfo_t
	if unix.Sysinfo(&info) != nil {
		return 0
	}
	return uint64(info.Totalram) * uint64(info.Unit)
}

// machine is what a result says of this one.
func machine() result.Machine {
	m := result.Machine{CPUs: runtime.NumCPU(), MemoryBytes: memoryOfMachine(), GoVersion: runtime.Version()}
	var name unix.Utsname
	if unix.Uname(&name) == nil {
		m.Kernel = string(bytes.TrimRight(name.Release[:], "\x00"))
	}
	return m
}
