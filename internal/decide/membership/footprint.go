package membership

import (
	"unsafe"

	"ravenpond/internal/decide/fragment"
)

// Footprint is the number of entries in each of a detector's structures, and their memory. Bytes count the records and their strings, not
// the overhead of maps and the allocator.
type Footprint struct {
	Members            int // other members, including dead ones
	MemberBytes        int
	SuspicionReporters int // processes that report a suspicion, over all suspects
	Timers             int
	IndirectProbes     int // unanswered probes on behalf of other members
	LateProbes         int // probes that got no ack in time
	Hellos             int // addresses that have not answered a hello yet
	Updates            int // queued updates of members
	NodeUpdates        int // stored updates of nodes
	UnreachableNodes   int // nodes that other schedulers are asked about
	Fragments          fragment.Footprint
}

// Footprint returns the present sizes.
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
		f.SuspicionReporters += len(m.reporters)
		f.MemberBytes += int(unsafe.Sizeof(*m)) + len(m.Name) + len(m.Address) + len(m.By)
		for reporter := range m.reporters {
			f.MemberBytes += len(reporter)
		}
	}
	return f
}
