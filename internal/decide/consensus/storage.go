package consensus

import (
	"fmt"
	"slices"

	raft "go.etcd.io/raft/v3"
	pb "go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"

	"ravenpond/internal/decide/clusterstate"
)

// save writes what Raft wants stored, first to the disk, then to Raft's in-memory storage.
func (r *Replica) save(rd raft.Ready) error {
	write, err := encodeReady(rd)
	if err != nil {
		return err
	}
	if write.hardState == nil && write.snapshot == nil && write.entries == nil {
		return nil
	}
	r.Stats.Writes++
	if err := r.effects.Save(write.hardState, write.firstIndex, write.entries, write.snapshot, write.snapshotIndex); err != nil {
		return err
	}
	if write.snapshot != nil {
		if err := r.voter.storage.ApplySnapshot(rd.Snapshot); err != nil {
			return err
		}
	}
	if write.hardState != nil {
		if err := r.voter.storage.SetHardState(rd.HardState); err != nil {
			return err
		}
	}
	return r.voter.storage.Append(rd.Entries)
}

// diskWrite holds the arguments of Effects.Save.
type diskWrite struct {
	hardState, snapshot []byte // nil: unchanged
	firstIndex          uint64 // index of the first entry, 0: none
	entries             [][]byte
	snapshotIndex       uint64 // index of the last log entry that the snapshot covers
}

// encodeReady encodes what Raft wants stored.
func encodeReady(rd raft.Ready) (write diskWrite, err error) {
	if !raft.IsEmptyHardState(rd.HardState) {
		if write.hardState, err = proto.Marshal(rd.HardState); err != nil {
			return write, err
		}
	}
	if !raft.IsEmptySnap(rd.Snapshot) {
		if write.snapshot, err = proto.Marshal(rd.Snapshot); err != nil {
			return write, err
		}
	}
	if write.snapshot != nil { // a received snapshot replaces the whole log
		write.snapshotIndex = rd.Snapshot.GetMetadata().GetIndex()
		write.firstIndex = write.snapshotIndex + 1
	}
	for i, e := range rd.Entries {
		encoded, err := proto.Marshal(e)
		if err != nil {
			return write, err
		}
		if i == 0 {
			write.firstIndex = e.GetIndex()
		}
		write.entries = append(write.entries, encoded)
	}
	return write, nil
}

// apply applies committed log entries to a copy of the state and adopts it. The leader also tells active followers of the new version.
func (r *Replica) apply(entries []*pb.Entry) {
	if len(entries) == 0 {
		return
	}
	state := r.state.Clone()
	for _, e := range entries {
		if e.GetIndex() <= state.Version() {
			continue
		}
		command := e.GetData()
		if e.GetType() != pb.EntryNormal {
			command = nil
		}
		r.Stats.Commands++
		refusal, err := state.Apply(e.GetIndex(), command)
		if err == nil {
			err = state.Check()
		}
		if err != nil {
			panic(err)
		}
		if refusal != clusterstate.Accepted {
			r.effects.Log(fmt.Sprintf("command at log index %d refused: %s", e.GetIndex(), refusal))
		}
	}
	r.adoptState(state)
	if !r.voter.isLeader {
		return
	}
	for _, p := range state.Processes() { // their next probe would tell them too, but commits are rare and should take effect soon
		if !p.Inactive && !slices.Contains(r.config.Voters, p.Name) {
			r.sendProbeReply(p.Name, 0, state.Version())
		}
	}
}

// compactLog writes a snapshot of the state and drops old log entries, except the last ones, which lagging voters may need.
func (r *Replica) compactLog() {
	version := r.state.Version()
	if version < r.voter.compactedTo+compactThreshold {
		return
	}
	data := r.state.Snapshot()
	if len(data) > maxStateBytes {
		return // the snapshot would not fit one message, so the log is kept
	}
	snapshot, err := r.voter.storage.CreateSnapshot(version, r.voter.confState, data)
	if err != nil {
		return
	}
	encoded, err := proto.Marshal(snapshot)
	if err != nil {
		return
	}
	if err := r.effects.Save(nil, 0, nil, encoded, version); err != nil {
		r.halt("disk write failed: " + err.Error())
		return
	}
	r.Stats.Writes++
	r.voter.compactedTo = version
	_ = r.voter.storage.Compact(version - compactKeep)
}
