package hollow

import (
	"slices"
	"sync/atomic"

	"ravenpond/internal/decide/consensus"
	"ravenpond/internal/env"
)

// silencer is a world whose datagrams can be lost from a moment on, as those of a process that is killed.
type silencer struct {
	env.Environment
	silent atomic.Bool
}

// ListenPacket takes datagrams; none leaves once the world is silent.
func (s *silencer) ListenPacket(address string, heard func(b []byte)) (env.PacketConn, error) {
	port, err := s.Environment.ListenPacket(address, heard)
	if err != nil {
		return nil, err
	}
	return &silencedPort{port, s}, nil
}

type silencedPort struct {
	env.PacketConn
	world *silencer
}

// Send hands a datagram to the network unless the world is silent.
func (p *silencedPort) Send(to string, b []byte) {
	if !p.world.silent.Load() {
		p.PacketConn.Send(to, b)
	}
}

// memoryDisk is a hollow voter's, which outlives its incarnations but not the process. One goroutine at a time uses it.
type memoryDisk struct {
	saved consensus.PersistedState
	from  uint64 // number of the first entry
}

// Load gives what was saved.
func (d *memoryDisk) Load() (consensus.PersistedState, error) {
	return consensus.PersistedState{Hard: d.saved.Hard, Snapshot: d.saved.Snapshot, Entries: slices.Clone(d.saved.Entries)}, nil
}

// Save keeps it, and drops the entries that a snapshot holds.
func (d *memoryDisk) Save(hard []byte, from uint64, entries [][]byte, snapshot []byte, held uint64) error {
	if hard != nil {
		d.saved.Hard = slices.Clone(hard)
	}
	if snapshot != nil {
		d.saved.Snapshot = slices.Clone(snapshot)
	}
	if from > 0 {
		d.overwrite(from, entries)
	}
	if drop := min(uint64(len(d.saved.Entries)), held+1-min(held+1, d.from)); drop > 0 {
		d.saved.Entries, d.from = slices.Clone(d.saved.Entries[drop:]), d.from+drop
	}
	return nil
}

func (d *memoryDisk) overwrite(from uint64, entries [][]byte) {
	if len(d.saved.Entries) == 0 || from < d.from {
		d.from, d.saved.Entries = from, nil
	}
	d.saved.Entries = d.saved.Entries[:min(len(d.saved.Entries), int(from-d.from))]
	for _, entry := range entries {
		d.saved.Entries = append(d.saved.Entries, slices.Clone(entry))
	}
}

// Close lets it go.
func (d *memoryDisk) Close() error { return nil }
