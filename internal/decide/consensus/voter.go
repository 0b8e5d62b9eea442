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

// voter is the state that a replica needs to take part in Raft. A follower does not use it, except for answered.
type voter struct {
	raftID       uint64 // position among the voters, from 1; 0: not a voter
	engine       *raft.RawNode
	storage      *raft.MemoryStorage
	confState    *pb.ConfState
	campaignAt   float64 // when this voter campaigns
	isLeader     bool
	compactedTo  uint64          // log index of the last snapshot
	diskWasEmpty bool            // this voter does not vote until all others have reported empty disks
	answered     map[string]bool // voters that have answered a probe
	haltReason   string          // why this voter has stopped voting, empty if it has not
}

// startVoter starts Raft from the saved state. A voter without a saved snapshot starts from an empty one, which is the same on all voters.
func (r *Replica) startVoter(saved PersistedState) error {
	r.voter.confState = &pb.ConfState{}
	for i := range r.config.Voters {
		r.voter.confState.Voters = append(r.voter.confState.Voters, uint64(i+1))
	}
	r.voter.storage = raft.NewMemoryStorage()
	r.voter.diskWasEmpty = len(saved.HardState) == 0 && len(saved.Snapshot) == 0 && len(saved.Entries) == 0
	if err := r.loadSnapshot(saved.Snapshot); err != nil {
		return err
	}
	if err := r.loadHardState(saved.HardState); err != nil {
		return err
	}
	if err := r.loadEntries(saved.Entries); err != nil {
		return err
	}
	return r.startRaft()
}

// loadSnapshot loads the saved snapshot, or the empty one if none was saved.
func (r *Replica) loadSnapshot(encoded []byte) error {
	snapshot := &pb.Snapshot{Metadata: &pb.SnapshotMetadata{ConfState: r.voter.confState, Index: proto.Uint64(1), Term: proto.Uint64(1)}}
	if len(encoded) > 0 {
		snapshot = &pb.Snapshot{}
		if err := proto.Unmarshal(encoded, snapshot); err != nil {
			return fmt.Errorf("consensus: decode snapshot: %w", err)
		}
	}
	if voters := snapshot.GetMetadata().GetConfState().GetVoters(); !slices.Equal(voters, r.voter.confState.Voters) {
		return fmt.Errorf("consensus: the stored state has %d voters, the site file names %d", len(voters), len(r.voter.confState.Voters))
	}
	if err := r.voter.storage.ApplySnapshot(snapshot); err != nil {
		return fmt.Errorf("consensus: load snapshot: %w", err)
	}
	if data := snapshot.GetData(); len(data) > 0 {
		state, err := clusterstate.ReadSnapshot(data)
		if err != nil {
			return fmt.Errorf("consensus: load state from snapshot: %w", err)
		}
		r.state = state
	}
	r.voter.compactedTo = snapshot.GetMetadata().GetIndex()
	return nil
}

// loadHardState loads the saved hard state, if there is one.
func (r *Replica) loadHardState(data []byte) error {
	if len(data) == 0 {
		return nil
	}
	var hard pb.HardState
	if err := proto.Unmarshal(data, &hard); err != nil {
		return fmt.Errorf("consensus: decode hard state: %w", err)
	}
	if err := r.voter.storage.SetHardState(&hard); err != nil {
		return fmt.Errorf("consensus: load hard state: %w", err)
	}
	return nil
}

// loadEntries loads the saved log entries that the snapshot does not cover.
func (r *Replica) loadEntries(encoded [][]byte) error {
	var entries []*pb.Entry
	for _, data := range encoded {
		e := &pb.Entry{}
		if err := proto.Unmarshal(data, e); err != nil {
			return fmt.Errorf("consensus: decode log entry: %w", err)
		}
		if e.GetIndex() > r.voter.compactedTo {
			entries = append(entries, e)
		}
	}
	if err := r.voter.storage.Append(entries); err != nil {
		return fmt.Errorf("consensus: load log entries: %w", err)
	}
	return nil
}

// startRaft starts Raft on the loaded storage.
func (r *Replica) startRaft() (err error) {
	defer func() {
		if p := recover(); p != nil { // Raft panics on inconsistent storage
			err = fmt.Errorf("consensus: the stored hard state, snapshot and log are inconsistent: %v", p)
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

// scheduleCampaign sets the time at which this voter campaigns unless it hears from a leader before that.
func (r *Replica) scheduleCampaign() {
	r.voter.campaignAt = r.now + campaignTimeout*(1+r.rng.Float64())
}

// tickRaft ticks Raft. The replica's own random source determines the times of campaigns, so that simulations are reproducible.
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
		_ = r.voter.engine.Campaign() // Raft returns an error if it may not campaign now; the next attempt is scheduled
	}
}

// isVoting reports whether this replica is a voter that may vote: it has not halted, and does not wait because its disk was empty.
func (r *Replica) isVoting() bool {
	return r.voter.engine != nil && r.voter.haltReason == "" && (!r.voter.diskWasEmpty || r.config.Faults.VoteAfterLoss)
}

// lastWritten returns the last log index on this voter's disk, whether committed or not.
func (r *Replica) lastWritten() uint64 {
	last, _ := r.voter.storage.LastIndex()
	return last
}

// stepRaft passes a message from another voter to Raft.
func (r *Replica) stepRaft(from string, body []byte) {
	sender := slices.Index(r.config.Voters, from)
	var m pb.Message
	if !r.isVoting() || sender < 0 || proto.Unmarshal(body, &m) != nil || m.GetFrom() != uint64(sender+1) || m.GetTo() != r.voter.raftID || raft.IsLocalMsg(m.GetType()) {
		return
	}
	switch m.GetType() {
	case pb.MsgApp, pb.MsgHeartbeat, pb.MsgSnap:
		r.scheduleCampaign()
	}
	_ = r.voter.engine.Step(&m) // a message that Raft rejects is treated as lost
}

// halt makes this voter a follower until the process restarts.
func (r *Replica) halt(reason string) {
	r.voter.haltReason, r.voter.isLeader = reason, false
	delete(r.lease.replies, r.config.Name)
	r.effects.Log("voter halted: " + reason)
}

// processReady handles Raft's output: it writes to the disk, then sends messages, then applies the committed entries. A panic halts the voter.
func (r *Replica) processReady() {
	if !r.isVoting() {
		return
	}
	defer func() {
		if p := recover(); p != nil {
			r.halt(fmt.Sprint("panic in Raft or while applying its entries: ", p))
		}
	}()
	for r.voter.engine.HasReady() {
		rd := r.voter.engine.Ready()
		if rd.SoftState != nil {
			if isLeader := rd.RaftState == raft.StateLeader; isLeader != r.voter.isLeader {
				r.voter.isLeader = isLeader
				r.effects.Log(fmt.Sprintf("leader=%t at version %d", isLeader, r.state.Version()))
			}
		}
		if r.config.Faults.SendBeforeWrite {
			r.sendRaftMessages(rd.Messages)
		}
		if err := r.save(rd); err != nil {
			r.halt("disk write failed: " + err.Error())
			return
		}
		if !r.config.Faults.SendBeforeWrite {
			r.sendRaftMessages(rd.Messages)
		}
		if !raft.IsEmptySnap(rd.Snapshot) {
			state, err := clusterstate.ReadSnapshot(rd.Snapshot.GetData())
			if err != nil {
				r.halt("can't load the leader's snapshot: " + err.Error())
				return
			}
			r.voter.compactedTo = rd.Snapshot.GetMetadata().GetIndex()
			r.adoptState(state)
		}
		r.apply(rd.CommittedEntries)
		r.voter.engine.Advance(rd)
	}
	r.compactLog()
}

// sendRaftMessages sends Raft's messages to the other voters.
func (r *Replica) sendRaftMessages(messages []*pb.Message) {
	for _, m := range messages {
		body, err := proto.Marshal(m)
		if err != nil || m.GetTo() == 0 || m.GetTo() > uint64(len(r.config.Voters)) {
			continue
		}
		r.sendMessage(r.config.Voters[m.GetTo()-1], codec.Message{Kind: codec.MessageRaft, Body: body})
		if m.GetType() == pb.MsgSnap { // Raft learns from the receiver's next message whether the snapshot arrived
			r.voter.engine.ReportSnapshot(m.GetTo(), raft.SnapshotFinish)
		}
	}
}
