package consensus

import (
	"fmt"
	"slices"

	raft "go.etcd.io/raft/v3"
	pb "go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"

	"ravenpond/internal/decide/clusterstate"
)

// save writes to the disk first and to Raft's in-memory storage after that.
func (r *Replica) save(rd raft.Ready) error {
	var hard, snapshot []byte
	var entries [][]byte
	var from, held uint64
	var err error
	if !raft.IsEmptyHardState(rd.HardState) {
		if hard, err = proto.Marshal(rd.HardState); err != nil {
			return err
		}
	}
	if !raft.IsEmptySnap(rd.Snapshot) {
		if snapshot, err = proto.Marshal(rd.Snapshot); err != nil {
			return err
		}
	}
	if snapshot != nil { // the snapshot replaces the log
		held = rd.Snapshot.GetMetadata().GetIndex()
		from = held + 1
	}
	for i, e := range rd.Entries {
		text, err := proto.Marshal(e)
		if err != nil {
			return err
		}
		if i == 0 {
			from = e.GetIndex()
		}
		entries = append(entries, text)
	}
	if hard == nil && snapshot == nil && entries == nil {
		return nil
	}
	r.Stats.Writes++
	if err := r.effects.Save(hard, from, entries, snapshot, held); err != nil {
		return err
	}
	if snapshot != nil {
		if err := r.storage.ApplySnapshot(rd.Snapshot); err != nil {
			return err
		}
	}
	if hard != nil {
		if err := r.storage.SetHardState(rd.HardState); err != nil {
			return err
		}
	}
	return r.storage.Append(rd.Entries)
}

// apply applies committed entries to the state.
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
			r.effects.Log(fmt.Sprintf("command %d refused: %s", e.GetIndex(), refusal))
		}
	}
	r.adoptState(state)
	if !r.isLeader {
		return
	}
	for _, p := range state.Processes() { // followers would learn of it by their next probe; commits are rare and should take effect soon
		if !p.Inactive && slices.Index(r.config.Voters, p.Name) < 0 {
			r.sendProbeReply(p.Name, 0, state.Version())
		}
	}
}

// compactLog replaces old log entries by a snapshot.
func (r *Replica) compactLog() {
	v := r.state.Version()
	if v < r.compactedTo+compactThreshold {
		return
	}
	text := r.state.Snapshot()
	if len(text) > maxStateBytes {
		return // the snapshot would not fit a message: the log is kept
	}
	snap, err := r.storage.CreateSnapshot(v, r.confState, text)
	if err != nil {
		return
	}
	encoded, err := proto.Marshal(snap)
	if err != nil {
		return
	}
	if err := r.effects.Save(nil, 0, nil, encoded, v); err != nil {
		r.halt("can't write: " + err.Error())
		return
	}
	r.Stats.Writes++
	r.compactedTo = v
	_ = r.storage.Compact(v - compactKeep)
}
