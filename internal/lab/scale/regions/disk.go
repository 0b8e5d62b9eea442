package regions

import (
	"slices"

	"ravenpond/internal/decide/consensus"
)

// disk keeps what a voter saves, as the program's store does: entries that a snapshot holds are dropped. It outlives the
// process.
type disk struct {
	keepsAll bool // planted: nothing is dropped

	hard, snapshot []byte
	first          uint64 // index of the first entry, 0: there is none
	entries        [][]byte
}

// Load gives what was saved.
func (d *disk) Load() (consensus.PersistedState, error) {
	return consensus.PersistedState{HardState: d.hard, Snapshot: d.snapshot, Entries: slices.Clone(d.entries)}, nil
}

// Save keeps it.
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

// drop lets the entries up to an index go.
func (d *disk) drop(held uint64) {
	if d.keepsAll || len(d.entries) == 0 || held < d.first {
		return
	}
	gone := min(len(d.entries), int(held-d.first)+1)
	d.entries = slices.Clone(d.entries[gone:])
	d.first += uint64(gone)
}

// Close lets the disk go.
func (d *disk) Close() error { return nil }

// size is how many entries the disk holds, and the bytes of all that it holds.
func (d *disk) size() (entries, bytes int) {
	bytes = len(d.hard) + len(d.snapshot)
	for _, e := range d.entries {
		bytes += len(e)
	}
	return len(d.entries), bytes
}
