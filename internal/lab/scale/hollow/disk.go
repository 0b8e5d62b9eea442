package hollow

import (
	"slices"
	"sync/atomic"

	"ravenpond/internal/decide/consensus"
	"ravenpond/internal/env"
)

// silenceableEnv is an environment that can be muted: from then on no datagram is sent, as from a killed process.
type silenceableEnv struct {
	env.Environment
	muted atomic.Bool
}

// ListenPacket opens a datagram port that sends nothing once the environment is muted.
func (s *silenceableEnv) ListenPacket(address string, onReceive func(b []byte)) (env.PacketConn, error) {
	conn, err := s.Environment.ListenPacket(address, onReceive)
	if err != nil {
		return nil, err
	}
	return &silenceableConn{conn, s}, nil
}

// silenceableConn is a datagram port of a silenceableEnv.
type silenceableConn struct {
	env.PacketConn
	env *silenceableEnv
}

// Send sends a datagram unless the environment is muted.
func (c *silenceableConn) Send(to string, b []byte) {
	if !c.env.muted.Load() {
		c.PacketConn.Send(to, b)
	}
}

// memoryDisk is the storage of a hollow voter. It outlives the voter's incarnations but not the process, and only one goroutine uses it at a
// time.
type memoryDisk struct {
	saved consensus.PersistedState
	first uint64 // log index of the first saved entry
}

// Load returns the saved state.
func (d *memoryDisk) Load() (consensus.PersistedState, error) {
	return consensus.PersistedState{HardState: d.saved.HardState, Snapshot: d.saved.Snapshot, Entries: slices.Clone(d.saved.Entries)}, nil
}

// Save stores the hard state, the entries from firstIndex on and the snapshot, as far as they are given, and drops the entries up to
// snapshotIndex, which the snapshot covers.
func (d *memoryDisk) Save(hardState []byte, firstIndex uint64, entries [][]byte, snapshot []byte, snapshotIndex uint64) error {
	if hardState != nil {
		d.saved.HardState = slices.Clone(hardState)
	}
	if snapshot != nil {
		d.saved.Snapshot = slices.Clone(snapshot)
	}
	if firstIndex > 0 {
		d.overwrite(firstIndex, entries)
	}
	if drop := min(uint64(len(d.saved.Entries)), snapshotIndex+1-min(snapshotIndex+1, d.first)); drop > 0 {
		d.saved.Entries, d.first = slices.Clone(d.saved.Entries[drop:]), d.first+drop
	}
	return nil
}

// overwrite replaces the stored entries from firstIndex on.
func (d *memoryDisk) overwrite(firstIndex uint64, entries [][]byte) {
	if len(d.saved.Entries) == 0 || firstIndex < d.first {
		d.first, d.saved.Entries = firstIndex, nil
	}
	d.saved.Entries = d.saved.Entries[:min(len(d.saved.Entries), int(firstIndex-d.first))]
	for _, entry := range entries {
		d.saved.Entries = append(d.saved.Entries, slices.Clone(entry))
	}
}

// Close does nothing.
func (d *memoryDisk) Close() error { return nil }
