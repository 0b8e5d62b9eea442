package regions

import (
	"ravenpond/internal/control"
	"ravenpond/internal/decide/membership"
)

// Phase is a phase of a run.
type Phase string

// The phases of a run, in their order.
const (
	Before Phase = "before"
	During Phase = "cut"
	Healed Phase = "healed"
)

// Structure is a data structure of a process that may grow.
type Structure int

// Structures that are read. Sizes in bytes cover records and texts, without the overhead of maps and of the allocator.
const (
	Members Structure = iota
	MemberBytes
	Accusers
	Timers
	Probes  // indirect probes and late probes
	Hellos  // addresses that have not answered a hello yet
	Updates // updates on members and nodes that are still disseminated
	UnreachableNodes
	Fragments // incomplete messages
	FragmentBytes
	PendingMessages
	PendingMessageBytes
	PendingCalls
	Proposals
	ProposalBytes
	LogEntries
	LogBytes
	DiskEntries
	DiskBytes
	SnapshotBytes
	TransferBytes
	Reports // reports of processes, at the leader
	ReportBytes
	Verdicts // records on zones, at the leader
	structures
)

var structureNames = [structures]string{
	"members", "member bytes", "accusers", "timers", "probes", "hellos", "updates", "unreachable nodes",
	"fragments", "fragment bytes", "pending messages", "pending message bytes", "pending calls", "proposals", "proposal bytes",
	"log entries", "log bytes", "disk entries", "disk bytes", "snapshot bytes", "transfer bytes", "reports", "report bytes", "verdicts",
}

func (s Structure) String() string { return structureNames[s] }

// IsBytes reports whether a structure is measured in bytes.
func (s Structure) IsBytes() bool {
	switch s {
	case MemberBytes, FragmentBytes, PendingMessageBytes, ProposalBytes, LogBytes, DiskBytes, SnapshotBytes, TransferBytes, ReportBytes:
		return true
	}
	return false
}

// Reading holds the sizes and rates of one process at one time.
type Reading struct {
	Process            string          `json:"process"`
	Sizes              [structures]int `json:"sizes"` // by Structure
	DatagramsPerSecond float64         `json:"datagramsPerSecond"`
	BytesPerSecond     float64         `json:"bytesPerSecond"` // of datagrams
	Alive              int             `json:"alive"`          // other processes that it considers alive
	Version            uint64          `json:"version"`        // of the cluster state
	LeaseValid         bool            `json:"leaseValid"`     // the process may act on the cluster state that it has
}

// Total returns the sum of all structures that are measured in bytes.
func (r *Reading) Total() (bytes int) {
	for s := range structures {
		if s.IsBytes() {
			bytes += r.Sizes[s]
		}
	}
	return bytes
}

// Minute holds one reading of each process.
type Minute struct {
	Phase    Phase     `json:"phase"`
	Seconds  float64   `json:"seconds"` // since the cut; before the cut, since the end of the warm-up
	Readings []Reading `json:"readings"`
}

// read takes a reading of all processes.
func (s *cluster) read(phase Phase) {
	m := Minute{Phase: phase, Seconds: (s.clock.TrueTime() - s.cutAt) / 1000, Readings: make([]Reading, len(s.processes))}
	if phase == Before {
		m.Seconds = (s.clock.TrueTime() - float64(s.config.Warm.Milliseconds())) / 1000
	}
	for i, p := range s.processes {
		p.read(&m.Readings[i])
	}
	s.clock.RunUntil(s.clock.TrueTime() + readDuration)
	s.report.Minutes = append(s.report.Minutes, m)
}

// read fills in a reading; the sizes of control are filled in asynchronously by its loop.
func (p *process) read(r *Reading) {
	r.Process = p.name
	view := p.control.View()
	r.Version, r.LeaseValid = view.State.Version(), p.env.Now() < view.LeaseExpiry
	p.readMembers(r)
	if p.disk != nil {
		r.Sizes[DiskEntries], r.Sizes[DiskBytes] = p.disk.size()
	}
	p.control.Measure(func(f control.Footprint) { r.addControl(f, p.backlog) })
}

func (p *process) readMembers(r *Reading) {
	p.members.WithDetector(func(d *membership.Detector) {
		f := d.Footprint()
		r.Sizes[Members], r.Sizes[MemberBytes], r.Sizes[Accusers] = f.Members, f.MemberBytes, f.SuspicionReporters
		r.Sizes[Timers] = f.Timers
		r.Sizes[Probes] = f.IndirectProbes + f.LateProbes
		r.Sizes[Hellos] = f.Hellos
		r.Sizes[Updates] = f.Updates + f.NodeUpdates
		r.Sizes[UnreachableNodes] = f.UnreachableNodes
		r.Sizes[Fragments], r.Sizes[FragmentBytes] = f.Fragments.Messages, f.Fragments.Bytes
		r.Alive = d.Count().Alive
		if seconds := (p.cluster.clock.TrueTime() - p.readAt) / 1000; seconds > 0 {
			r.DatagramsPerSecond = float64(d.Stats.Sent-p.lastSent) / seconds
			r.BytesPerSecond = float64(d.Stats.Bytes-p.lastSentBytes) / seconds
		}
		p.lastSent, p.lastSentBytes, p.readAt = d.Stats.Sent, d.Stats.Bytes, p.cluster.clock.TrueTime()
	})
}

func (r *Reading) addControl(f control.Footprint, backlog *messageBacklog) {
	r.Sizes[PendingMessages], r.Sizes[PendingMessageBytes], r.Sizes[PendingCalls] = f.PendingMessages, f.PendingMessageBytes, f.PendingCalls
	if backlog != nil {
		r.Sizes[PendingMessages] += len(backlog.messages)
	}
	c := f.Replica
	r.Sizes[Proposals], r.Sizes[ProposalBytes] = c.Proposals, c.ProposalBytes
	r.Sizes[LogEntries], r.Sizes[LogBytes] = c.LogEntries, c.LogBytes
	r.Sizes[SnapshotBytes], r.Sizes[TransferBytes] = c.SnapshotBytes, c.TransferBytes
	r.Sizes[Reports], r.Sizes[ReportBytes], r.Sizes[Verdicts] = f.Zones.Reports, f.Zones.ReportBytes, f.Zones.ZoneRecords
}
