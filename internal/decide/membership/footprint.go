package membership

import (
	"unsafe"

	"ravenpond/internal/decide/fragment"
)

// Footprint is the size of what a detector holds, by structure. Bytes are those of the records and their texts, without what
// maps and the allocator add.
type Footprint struct {
	Members          int // others, the dead with them
	MemberBytes      int
	Accusers         int // of all suspects
	Timers           int
	IndirectProbes   int // probes made for others that were not answered yet
	LateProbes       int // probes that were not answered in time
	Hellos           int // addresses whose answer to a hello is awaited
	Updates          int // of members, that are still told
	NodeUpdates      int // of nodes
	UnreachableNodes int // that others are asked for
	Fragments        fragment.Footprint
}

// Footprint counts what the detector holds.
func (d *Detector) Footprint() Footprint {
	f := Footprint{
		Members:          len(d.members),
		Timers:           d.timers.Len(),
		IndirectProbes:   len(d.indirectProbes),
		LateProbes:       len(d.lateProbes),
		Hellos:           len(d.hellos),
		Updates:          len(d.updates),
		NodeUpdates:      d.nodeGossip.Len(),
		UnreachableNodes: d.nodeReachability.Unreachable(),
		Fragments:        d.reassembler.Footprint(),
	}
	for _, m := range d.members {
		f.Accusers += len(m.reporters)
		f.MemberBytes += int(unsafe.Sizeof(*m)) + len(m.Name) + len(m.Address) + len(m.By)
		for reporter := range m.reporters {
			f.MemberBytes += len(reporter)
		}
	}
	return f
}
