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
	w, err := encodeReady(rd)
	if err != nil {
		return err
	}
	if w.hard == nil && w.snapshot == nil && w.entries == nil {
		return nil
	}
	r.Stats.Writes++
	if err := r.effects.Save(w.hard, w.from, w.entries, w.snapshot, w.held); err != nil {
		return err
	}
	if w.snapshot != nil {
		if err := r.voter.storage.ApplySnapshot(rd.Snapshot); err != nil {
			return err
		}
	}
	if w.hard != nil {
		if err := r.voter.storage.SetHardState(rd.HardState); err != nil {
			return err
		}
	}
	return r.voter.storage.Append(rd.Entries)
}

// diskWrite is what Effects.Save gets.
type diskWrite struct {
	hard, snapshot []byte // nil: unchanged
	from           uint64 // index of the first entry, 0: none
	entries        [][]byte
	held           uint64 // index up to which the snapshot covers the log
}

func encodeReady(rd raft.Ready) (w diskWrite, err error) {
	if !raft.IsEmptyHardState(rd.HardState) {
		if w.hard, err = proto.Marshal(rd.HardState); err != nil {
			return w, err
		}
	}
	if !raft.IsEmptySnap(rd.Snapshot) {
		if w.snapshot, err = proto.Marshal(rd.Snapshot); err != nil {
			return w, err
		}
	}
	if w.snapshot != nil { // the snapshot replaces the log
		w.held = rd.Snapshot.GetMetadata().GetIndex()
		w.from = w.held + 1
	}
	for i, e := range rd.Entries {
		text, err := proto.Marshal(e)
		if err != nil {
			return w, err
		}
		if i == 0 {
			w.from = e.GetIndex()
		}
		w.entries = append(w.entries, text)
	}
	return w, nil
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
	if !r.voter.isLeader {
		return
	}
	for _, p := range state.Processes() { // followers would learn of it by their next probe; commits are rare and should take effect soon
		if !p.Inactive && !slices.Contains(r.config.Voters, p.Name) {
			r.sendProbeReply(p.Name, 0, state.Version())
		}
	}
}

// compactLog replaces old log entries by a snapshot.
func (r *Replica) compactLog() {
	v := r.state.Version()
	if v < r.voter.compactedTo+compactThreshold {
		return
	}
	text := r.state.Snapshot()
	if len(text) > maxStateBytes {
		return // the snapshot would not fit a message: the log is kept
	}
	snap, err := r.voter.storage.CreateSnapshot(v, r.voter.confState, text)
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
	r.voter.compactedTo = v
	_ = r.voter.storage.Compact(v - compactKeep)
}
