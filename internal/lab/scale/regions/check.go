package regions

import (
	"fmt"
	"slices"

	"ravenpond/internal/control"
	"ravenpond/internal/decide/consensus"
)

// Upper bounds on the structures of a process. Limits that the program itself enforces are taken from its packages; the others
// are multiples of the number of processes.
const (
	accusersPerMember = 4                      // membership counts one more than the three accusers that shorten a suspicion the most
	timersPerMember   = 8                      // timers of a suspicion, of the removal of a dead member and of a probe
	timersOfItself    = 64                     // probes, calls and indirect probes
	maxHellos         = 8                      // hellos to seeds, in addition to one for each member
	fragmentsPerPeer  = 8                      // incomplete messages
	logSlack          = consensus.MaxProposals // entries that are not committed yet
	maxEntryBytes     = 4096                   // mean size of a log entry; the largest entry is a plan for half of the zones
	updatesPerMember  = 2

	// Growth by which the last quarter of the cut may exceed the first: a fraction, plus a number of items or bytes.
	growthFactor     = 0.5
	growthSlackItems = 16
	growthSlackBytes = 4096
)

// Violation is a reading that exceeds a bound.
type Violation struct {
	Process   string    `json:"process"`
	Structure Structure `json:"structure"`
	Seconds   float64   `json:"seconds"` // since the cut
	Value     int       `json:"value"`
	Bound     int       `json:"bound"`
	Growth    bool      `json:"growth"` // the bound is derived from the first quarter of the cut
}

func (v Violation) String() string {
	kind := "bound"
	if v.Growth {
		kind = "growth to"
	}
	return fmt.Sprintf("%s at %.0f s: %s %d, %s %d", v.Process, v.Seconds, v.Structure, v.Value, kind, v.Bound)
}

// Check compares all readings with the bounds, and the last quarter of the cut with the first. It returns the first violation of
// each process and structure. It judges counts only, never the time that the machine took.
func (r *Report) Check() (violations []Violation) {
	bounds := r.Config.bounds()
	seen := map[string]bool{}
	add := func(v Violation) {
		if key := fmt.Sprint(v.Process, v.Structure, v.Growth); !seen[key] {
			seen[key] = true
			violations = append(violations, v)
		}
	}
	for _, m := range r.Minutes {
		for i := range m.Readings {
			for s, bound := range bounds {
				if bound > 0 && m.Readings[i].Sizes[s] > bound {
					add(Violation{Process: m.Readings[i].Process, Structure: Structure(s), Seconds: m.Seconds, Value: m.Readings[i].Sizes[s], Bound: bound})
				}
			}
		}
	}
	for _, v := range r.growth() {
		add(v)
	}
	return violations
}

// bounds returns the upper bound of each structure at a process; 0 means that only its growth is checked.
func (c Config) bounds() (bounds [structures]int) {
	others := c.Processes - 1
	bounds[Members] = others
	bounds[Accusers] = accusersPerMember * others
	bounds[Timers] = timersPerMember*others + timersOfItself
	bounds[Hellos] = others + maxHellos
	bounds[Updates] = updatesPerMember * c.Processes
	bounds[UnreachableNodes] = c.Zones * probedNodes
	bounds[Fragments] = fragmentsPerPeer * others
	bounds[PendingMessages] = control.MaxPendingMessages
	bounds[PendingCalls] = control.MaxPendingMessages
	bounds[Proposals] = consensus.MaxProposals
	bounds[LogEntries] = consensus.MaxLogEntries + logSlack
	bounds[LogBytes] = bounds[LogEntries] * maxEntryBytes
	bounds[DiskEntries] = bounds[LogEntries]
	bounds[DiskBytes] = bounds[LogBytes] + consensus.MaxSnapshotBytes
	bounds[SnapshotBytes] = consensus.MaxSnapshotBytes
	bounds[TransferBytes] = 3 * consensus.MaxSnapshotBytes // two snapshots that are served and one that is partly received
	bounds[Reports] = c.Processes
	bounds[Verdicts] = 3 * c.Zones
	return bounds
}

// sawtooth lists structures that fill up to a bound by design: the log is truncated when it is full, and the queue of proposals
// rejects commands.
var sawtooth = []Structure{LogEntries, LogBytes, DiskEntries, DiskBytes, Proposals, ProposalBytes}

// growth compares the last quarter of the cut with the first: a structure that still grows there grows for as long as the cut
// lasts. The reference is the largest value of all processes, because a process may have restarted or become the leader in between.
func (r *Report) growth() (violations []Violation) {
	var cut []Minute
	for _, m := range r.Minutes {
		if m.Phase == During {
			cut = append(cut, m)
		}
	}
	quarter := len(cut) / 4
	if quarter == 0 {
		return nil
	}
	first, last := cut[:quarter], cut[len(cut)-quarter:]
	for s := range structures {
		if slices.Contains(sawtooth, s) {
			continue
		}
		allowance := growthSlackItems
		if s.IsBytes() {
			allowance = growthSlackBytes
		}
		bound := int((1+growthFactor)*float64(largest(first, s))) + allowance
		for _, m := range last {
			for _, reading := range m.Readings {
				if reading.Sizes[s] > bound {
					violations = append(violations, Violation{Process: reading.Process, Structure: s, Seconds: m.Seconds, Value: reading.Sizes[s], Bound: bound, Growth: true})
				}
			}
		}
	}
	return violations
}

// largest returns the largest reading of a structure at any process.
func largest(minutes []Minute, s Structure) (value int) {
	for _, m := range minutes {
		for i := range m.Readings {
			value = max(value, m.Readings[i].Sizes[s])
		}
	}
	return value
}
