package consensus

import (
	"fmt"
	"slices"

	raft "go.etcd.io/raft/v3"
	pb "go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"

	"ravenpond/internal/decide/clusterstate"
	codec "ravenpond/internal/proto/clusterstate"
)

// voter is the part of a replica that takes part in Raft. A follower does not use it, except for answered.
type voter struct {
	raftID       uint64 // position among the voters, from 1; 0: not a voter
	engine       *raft.RawNode
	storage      *raft.MemoryStorage
	confState    *pb.ConfState
	campaignAt   float64 // when this voter campaigns
	isLeader     bool
	compactedTo  uint64          // index of the last compaction of the log
	diskWasEmpty bool            // this voter waits until all others report empty disks
	answered     map[string]bool // voters that have answered a probe
	haltReason   string          // why this voter has stopped voting, empty: it has not
}

// startVoter starts Raft on the saved state. All voters start from the same empty snapshot.
func (r *Replica) startVoter(saved PersistedState) error {
	r.voter.confState = &pb.ConfState{}
	for i := range r.config.Voters {
		r.voter.confState.Voters = append(r.voter.confState.Voters, uint64(i+1))
	}
	r.voter.storage = raft.NewMemoryStorage()
	r.voter.diskWasEmpty = len(saved.Hard) == 0 && len(saved.Snapshot) == 0 && len(saved.Entries) == 0
	if err := r.loadSnapshot(saved.Snapshot); err != nil {
		return err
	}
	if err := r.loadHardState(saved.Hard); err != nil {
		return err
	}
	if err := r.loadEntries(saved.Entries); err != nil {
		return err
	}
	return r.startRaft()
}

// loadSnapshot loads the saved snapshot, or the empty one if none was saved.
func (r *Replica) loadSnapshot(text []byte) error {
	snapshot := &pb.Snapshot{Metadata: &pb.SnapshotMetadata{ConfState: r.voter.confState, Index: proto.Uint64(1), Term: proto.Uint64(1)}}
	if len(text) > 0 {
		snapshot = &pb.Snapshot{}
		if err := proto.Unmarshal(text, snapshot); err != nil {
			return fmt.Errorf("council: snapshot: %w", err)
		}
	}
	if voters := snapshot.GetMetadata().GetConfState().GetVoters(); !slices.Equal(voters, r.voter.confState.Voters) {
		return fmt.Errorf("council: the folder is of %d stewards, the site file names %d", len(voters), len(r.voter.confState.Voters))
	}
	if err := r.voter.storage.ApplySnapshot(snapshot); err != nil {
		return fmt.Errorf("council: snapshot: %w", err)
	}
	if data := snapshot.GetData(); len(data) > 0 {
		state, err := clusterstate.Read(data)
		if err != nil {
			return fmt.Errorf("council: snapshot: %w", err)
		}
		r.state = state
	}
	r.voter.compactedTo = snapshot.GetMetadata().GetIndex()
	return nil
}

// loadHardState loads the saved hard state, if there is one.
func (r *Replica) loadHardState(text []byte) error {
	if len(text) == 0 {
		return nil
	}
	var hard pb.HardState
	if err := proto.Unmarshal(text, &hard); err != nil {
		return fmt.Errorf("council: state: %w", err)
	}
	if err := r.voter.storage.SetHardState(&hard); err != nil {
		return fmt.Errorf("council: state: %w", err)
	}
	return nil
}

// loadEntries loads the saved log entries that the snapshot does not cover.
func (r *Replica) loadEntries(texts [][]byte) error {
	var entries []*pb.Entry
	for _, text := range texts {
		e := &pb.Entry{}
		if err := proto.Unmarshal(text, e); err != nil {
			return fmt.Errorf("council: entry: %w", err)
		}
		if e.GetIndex() > r.voter.compactedTo {
			entries = append(entries, e)
		}
	}
	if err := r.voter.storage.Append(entries); err != nil {
		return fmt.Errorf("council: entries: %w", err)
	}
	return nil
}

// startRaft starts Raft on its storage.
func (r *Replica) startRaft() (err error) {
	defer func() {
		if p := recover(); p != nil { // Raft panics on inconsistent storage
			err = fmt.Errorf("council: the folder does not fit together: %v", p)
		}
	}()
	r.voter.engine, err = raft.NewRawNode(&raft.Config{
		ID: r.voter.raftID, ElectionTick: electionTicks, HeartbeatTick: heartbeatTicks, Storage: r.voter.storage,
		Applied: r.voter.compactedTo, MaxSizePerMsg: maxMessageBytes, MaxInflightMsgs: 16, MaxUncommittedEntriesSize: maxStateBytes, CheckQuorum: true, PreVote: true,
		Logger: silentLogger{},
	})
	r.scheduleCampaign()
	return err
}

// scheduleCampaign sets the time at which this voter campaigns unless it hears from a leader before.
func (r *Replica) scheduleCampaign() {
	r.voter.campaignAt = r.now + campaignTimeout*(1+r.rng.Float64())
}

// tickRaft ticks Raft. Campaigns are timed by the replica's own random source, so that simulations are reproducible.
func (r *Replica) tickRaft() {
	if !r.isVoting() {
		return
	}
	if r.voter.isLeader {
		r.voter.engine.Tick()
		return
	}
	r.voter.engine.TickQuiesced()
	if r.now >= r.voter.campaignAt {
		r.scheduleCampaign()
		r.Stats.Elections++
		_ = r.voter.engine.Campaign() // an error means that it may not campaign now: the next attempt is scheduled
	}
}

// isVoting reports whether this replica is a voter that takes part.
func (r *Replica) isVoting() bool {
	return r.voter.engine != nil && r.voter.haltReason == "" && (!r.voter.diskWasEmpty || r.config.Faults.VoteAfterLoss)
}

// lastWritten returns the last log index on this voter's disk, committed or not.
func (r *Replica) lastWritten() uint64 {
	last, _ := r.voter.storage.LastIndex()
	return last
}

// stepRaft passes a voter's message to Raft.
func (r *Replica) stepRaft(from string, body []byte) {
	voter := slices.Index(r.config.Voters, from)
	var m pb.Message
	if !r.isVoting() || voter < 0 || proto.Unmarshal(body, &m) != nil || m.GetFrom() != uint64(voter+1) || m.GetTo() != r.voter.raftID || raft.IsLocalMsg(m.GetType()) {
		return
	}
	switch m.GetType() {
	case pb.MsgApp, pb.MsgHeartbeat, pb.MsgSnap:
		r.scheduleCampaign()
	}
	_ = r.voter.engine.Step(&m) // a message that Raft rejects counts as lost
}

// halt makes this voter a follower for the rest of its incarnation.
func (r *Replica) halt(reason string) {
	r.voter.haltReason, r.voter.isLeader = reason, false
	delete(r.lease.replies, r.config.Name)
	r.effects.Log("steward halted: " + reason)
}

// processReady writes what Raft wants written, then sends its messages, then applies the committed entries.
func (r *Replica) processReady() {
	if !r.isVoting() {
		return
	}
	defer func() {
		if p := recover(); p != nil {
			r.halt(fmt.Sprint("the engine found itself broken: ", p))
		}
	}()
	for r.voter.engine.HasReady() {
		rd := r.voter.engine.Ready()
		if rd.SoftState != nil {
			if leads := rd.RaftState == raft.StateLeader; leads != r.voter.isLeader {
				r.voter.isLeader = leads
				r.effects.Log(fmt.Sprintf("leads=%t at version %d", leads, r.state.Version()))
			}
		}
		if r.config.Faults.SendBeforeWrite {
			r.sendRaftMessages(rd.Messages)
		}
		if err := r.save(rd); err != nil {
			r.halt("can't write: " + err.Error())
			return
		}
		if !r.config.Faults.SendBeforeWrite {
			r.sendRaftMessages(rd.Messages)
		}
		if !raft.IsEmptySnap(rd.Snapshot) {
			b, err := clusterstate.Read(rd.Snapshot.GetData())
			if err != nil {
				r.halt("a snapshot of the leader can't be read: " + err.Error())
				return
			}
			r.voter.compactedTo = rd.Snapshot.GetMetadata().GetIndex()
			r.adoptState(b)
		}
		r.apply(rd.CommittedEntries)
		r.voter.engine.Advance(rd)
	}
	r.compactLog()
}

// sendRaftMessages sends Raft's messages to the other voters.
func (r *Replica) sendRaftMessages(all []*pb.Message) {
	for _, m := range all {
		body, err := proto.Marshal(m)
		if err != nil || m.GetTo() == 0 || m.GetTo() > uint64(len(r.config.Voters)) {
			continue
		}
		r.sendMessage(r.config.Voters[m.GetTo()-1], codec.Message{Kind: codec.MessageRaft, Body: body})
		if m.GetType() == pb.MsgSnap { // the receiver's next message shows whether it arrived
			r.voter.engine.ReportSnapshot(m.GetTo(), raft.SnapshotFinish)
		}
	}
}
