package consensus

import (
	"errors"
	"slices"

	"ravenpond/internal/decide/consensus"
)

var errFull = errors.New("no space left on the disk")

// Disk is a voter's storage. It outlives its process, and keeps all entries: none is dropped for a snapshot.
type Disk struct {
	Full bool // an injected fault: Save fails

	saved consensus.PersistedState
	first uint64 // index of the first entry, 0: no entries
}

// Load implements control.Storage.
func (d *Disk) Load() (consensus.PersistedState, error) {
	return consensus.PersistedState{HardState: d.saved.HardState, Snapshot: d.saved.Snapshot, Entries: slices.Clone(d.saved.Entries)}, nil
}

// Save implements control.Storage.
func (d *Disk) Save(hard []byte, from uint64, entries [][]byte, snapshot []byte, _ uint64) error {
	if d.Full {
		return errFull
	}
	if hard != nil {
		d.saved.HardState = hard
	}
	if snapshot != nil {
		d.saved.Snapshot = snapshot
	}
	if from > 0 {
		if d.first == 0 || from < d.first {
			d.first, d.saved.Entries = from, nil
		}
		d.saved.Entries = append(d.saved.Entries[:min(len(d.saved.Entries), int(from-d.first))], entries...)
	}
	return nil
}

// Close implements control.Storage.
func (d *Disk) Close() error { return nil }
