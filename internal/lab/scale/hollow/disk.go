package hollow

import (
	"slices"
	"sync/atomic"

	"ravenpond/internal/decide/consensus"
	"ravenpond/internal/env"
)

// silenceableEnv is a world whose datagrams can be lost from a moment on, as those of a process that is killed.
type silenceableEnv struct {
	env.Environment
	muted atomic.Bool
}

// ListenPacket takes datagrams; none leaves once the world is silent.
func (s *silenceableEnv) ListenPacket(address string, heard func(b []byte)) (env.PacketConn, error) {
	port, err := s.Environment.ListenPacket(address, heard)
	if err != nil {
		return nil, err
	}
	return &silenceablePort{port, s}, nil
}

type silenceablePort struct {
	env.PacketConn
	env *silenceableEnv
}

// Send hands a datagram to the network unless the world is silent.
func (p *silenceablePort) Send(to string, b []byte) {
	if !p.env.muted.Load() {
		p.PacketConn.Send(to, b)
	}
}

// memoryDisk is a hollow voter's, which outlives its incarnations but not the process. One goroutine at a time uses it.
type memoryDisk struct {
	saved consensus.PersistedState
	first uint64 // number of the first entry
}

// Load gives what was saved.
func (d *memoryDisk) Load() (consensus.PersistedState, error) {
	return consensus.PersistedState{HardState: d.saved.HardState, Snapshot: d.saved.Snapshot, Entries: slices.Clone(d.saved.Entries)}, nil
}

// Save keeps it, and drops the entries that a snapshot holds.
func (d *memoryDisk) Save(hard []byte, from uint64, entries [][]byte, snapshot []byte, held uint64) error {
	if hard != nil {
		d.saved.HardState = slices.Clone(hard)
	}
	if snapshot != nil {
		d.saved.Snapshot = slices.Clone(snapshot)
	}
	if from > 0 {
		d.overwrite(from, entries)
	}
	if drop := min(uint64(len(d.saved.Entries)), held+1-min(held+1, d.first)); drop > 0 {
		d.saved.Entries, d.first = slices.Clone(d.saved.Entries[drop:]), d.first+drop
	}
	return nil
}

func (d *memoryDisk) overwrite(from uint64, entries [][]byte) {
	if len(d.saved.Entries) == 0 || from < d.first {
		d.first, d.saved.Entries = from, nil
	}
	d.saved.Entries = d.saved.Entries[:min(len(d.saved.Entries), int(from-d.first))]
	for _, entry := range entries {
		d.saved.Entries = append(d.saved.Entries, slices.Clone(entry))
	}
}

// Close lets it go.
func (d *memoryDisk) Close() error { return nil }
