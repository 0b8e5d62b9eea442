package consensus

import (
	"math"

	"google.golang.org/protobuf/proto"
)

// Bounds of a Footprint, for tests and measurements.
const (
	// MaxProposals is how many own commands wait for their results at most.
	MaxProposals = maxProposals
	// MaxLogEntries is how many committed commands the log holds at most as long as it can be compacted.
	MaxLogEntries = compactThreshold + compactKeep
	// MaxSnapshotBytes is the size of a snapshot beyond which the log is not compacted and followers can't receive it.
	MaxSnapshotBytes = maxStateBytes
)

// Footprint is the size of what a replica holds, by structure.
type Footprint struct {
	Proposals     int // own commands without a result
	ProposalBytes int
	LogEntries    int // in memory, at a voter
	LogBytes      int
	SnapshotBytes int // of the state as it is held
	TransferBytes int // of snapshots that are sent, and of one that is half received
}

// Footprint counts what the replica holds.
func (r *Replica) Footprint() Footprint {
	f := Footprint{
		Proposals:     len(r.queue.proposals),
		SnapshotBytes: len(r.state.Snapshot()),
		TransferBytes: len(r.snapshots.current.text) + len(r.snapshots.previous.text) + len(r.transfer.received),
	}
	for _, w := range r.queue.proposals {
		f.ProposalBytes += len(w.body)
	}
	if r.voter.storage == nil {
		return f
	}
	first, errFirst := r.voter.storage.FirstIndex()
	last, errLast := r.voter.storage.LastIndex()
	if errFirst != nil || errLast != nil || last < first {
		return f
	}
	entries, err := r.voter.storage.Entries(first, last+1, math.MaxUint64)
	if err != nil {
		return f
	}
	f.LogEntries = len(entries)
	for _, e := range entries {
		f.LogBytes += proto.Size(e)
	}
	return f
}
