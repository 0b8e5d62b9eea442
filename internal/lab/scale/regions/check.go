package regions

import (
	"fmt"
	"slices"

	"ravenpond/internal/control"
	"ravenpond/internal/decide/consensus"
)

// Bounds of what a process may hold. Those of the program are named there; the others follow from the number of processes.
const (
	accusersPerMember = 4                      // the program counts one more than the three that end a suspicion soonest
	timersPerMember   = 8                      // a suspicion's timers, the reminder to forget a dead one, a probe's
	timersOfItself    = 64                     // probes, calls and pings for others
	maxHellos         = 8                      // beside one for each member: the seeds
	fragmentsPerPeer  = 8                      // messages of which parts are missing
	logSlack          = consensus.MaxProposals // entries that are not agreed on yet
	maxEntryBytes     = 4096                   // of a log's entry on the mean: a plan for half of the zones is the largest
	updatesPerMember  = 2

	// growth by which the last quarter of the cut may exceed the first, as a part and in items or bytes.
	growthFactor     = 0.5
	growthSlackItems = 16
	growthSlackBytes = 4096
)

// Violation is a reading that breaks a bound.
type Violation struct {
	Process   string    `json:"process"`
	Structure Structure `json:"structure"`
	Seconds   float64   `json:"seconds"` // from the cut on
	Value     int       `json:"value"`
	Bound     int       `json:"bound"`
	Growth    bool      `json:"growth"` // the bound follows from the first quarter of the cut
}

func (v Violation) String() string {
	kind := "bound"
	if v.Growth {
		kind = "growth to"
	}
	return fmt.Sprintf("%s at %.0f s: %s %d, %s %d", v.Process, v.Seconds, v.Structure, v.Value, kind, v.Bound)
}

// Check holds all readings against the bounds, and the last quarter of the cut against the first. The first violation of each
// process and structure is given. Verdicts are by counts alone, never by time that the machine took.
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

// bounds are the most of each structure at a process, 0: no bound but that of growth.
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
	bounds[TransferBytes] = 3 * consensus.MaxSnapshotBytes // two shown, one half fetched
	bounds[Reports] = c.Processes
	bounds[Verdicts] = 3 * c.Zones
	return bounds
}

// sawtooth are structures that fill up to a bound by design: the log is cut when it is full, the queue of commands refuses.
var sawtooth = []Structure{LogEntries, LogBytes, DiskEntries, DiskBytes, Proposals, ProposalBytes}

// growth holds the last quarter of the cut against the first: what still grows there grows for as long as the cut lasts. A
// process that started again, or came to lead, in between is held against the largest of all processes.
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

// largest is the largest reading of a structure at any process.
func largest(minutes []Minute, s Structure) (value int) {
	for _, m := range minutes {
		for i := range m.Readings {
			value = max(value, m.Readings[i].Sizes[s])
		}
	}
	return value
}
