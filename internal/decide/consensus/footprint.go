package consensus

import (
	"math"

	"google.golang.org/protobuf/proto"
)

// Bounds of a Footprint, for tests and measurements.
const (
	// MaxProposals is the maximum number of own commands that wait for their results.
	MaxProposals = maxProposals
	// MaxLogEntries is the maximum number of committed log entries, as long as the log can be compacted.
	MaxLogEntries = compactThreshold + compactKeep
	// MaxSnapshotBytes is the size of a snapshot above which the log is not compacted and followers reject the snapshot.
	MaxSnapshotBytes = maxStateBytes
)

// Footprint is the size of a replica's data structures.
type Footprint struct {
	Proposals     int // own commands without a result
	ProposalBytes int
	LogEntries    int // in a voter's memory
	LogBytes      int
	SnapshotBytes int // size of the current state, encoded
	TransferBytes int // encoded states cached for followers, and the part of a fetched one that has been received
}

// Footprint returns the size of the replica's data structures.
func (r *Replica) Footprint() Footprint {
	f := Footprint{
		Proposals:     len(r.queue.proposals),
		SnapshotBytes: len(r.state.Snapshot()),
		TransferBytes: len(r.snapshots.current.data) + len(r.snapshots.previous.data) + len(r.transfer.received),
	}
	for _, p := range r.queue.proposals {
		f.ProposalBytes += len(p.body)
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
