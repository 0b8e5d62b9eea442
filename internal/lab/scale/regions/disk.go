package regions

import (
	"slices"

	"ravenpond/internal/decide/consensus"
)

// disk is an in-memory control.Storage of a voter. As the program's store does, it drops entries that a snapshot covers. It
// outlives the process.
type disk struct {
	keepsAll bool // injected fault: no entry is dropped

	hard, snapshot []byte
	first          uint64 // index of the first entry; 0 if there is none
	entries        [][]byte
}

// Load returns the saved state.
func (d *disk) Load() (consensus.PersistedState, error) {
	return consensus.PersistedState{HardState: d.hard, Snapshot: d.snapshot, Entries: slices.Clone(d.entries)}, nil
}

// Save stores the hard state and the snapshot unless they are nil, replaces the entries from an index on, and drops the entries
// up to held.
func (d *disk) Save(hard []byte, from uint64, entries [][]byte, snapshot []byte, held uint64) error {
	if hard != nil {
		d.hard = hard
	}
	if snapshot != nil {
		d.snapshot = snapshot
	}
	if from > 0 {
		if len(d.entries) == 0 || from < d.first {
			d.first, d.entries = from, nil
		}
		d.entries = append(d.entries[:min(len(d.entries), int(from-d.first))], entries...)
	}
	d.drop(held)
	return nil
}

// drop removes the entries up to and including an index.
func (d *disk) drop(held uint64) {
	if d.keepsAll || len(d.entries) == 0 || held < d.first {
		return
	}
	gone := min(len(d.entries), int(held-d.first)+1)
	d.entries = slices.Clone(d.entries[gone:])
	d.first += uint64(gone)
}

// Close does nothing.
func (d *disk) Close() error { return nil }

// size returns the number of entries on the disk, and the size of all its contents in bytes.
func (d *disk) size() (entries, bytes int) {
	bytes = len(d.hard) + len(d.snapshot)
	for _, e := range d.entries {
		bytes += len(e)
	}
	return len(d.entries), bytes
}
