package consensus

import (
	"fmt"

	"ravenpond/internal/decide/clusterstate"
	codec "ravenpond/internal/proto/clusterstate"
)

// transfer is the transfer of a snapshot from another replica, in chunks.
type transfer struct {
	from        string // empty: no transfer is under way
	version     uint64 // of the snapshot
	received    []byte
	requestedAt float64
	attempts    int // for the next chunk
}

// OnNewerVersion tells the replica that another member holds a version. A follower that is behind starts a state transfer.
func (r *Replica) OnNewerVersion(now float64, from string, version uint64) {
	r.now = max(r.now, now)
	if version <= r.state.Version() || r.transfer.from != "" || r.isVoting() {
		return
	}
	r.transfer = transfer{from: from}
	r.requestChunk()
}

// requestChunk asks for the next chunk of the state transfer.
func (r *Replica) requestChunk() {
	r.transfer.requestedAt = r.now
	r.sendMessage(r.transfer.from, codec.Message{
		Kind:   codec.MessageFetchChunk,
		Number: r.transfer.version,
		Offset: uint64(len(r.transfer.received)),
	})
}

// sendChunk sends a chunk of the snapshot that the receiver started with, or the first chunk of the current one if that is gone.
func (r *Replica) sendChunk(to string, version, offset uint64) {
	if r.snapshotVersion != r.state.Version() || r.snapshot == nil {
		r.previousSnapshot, r.previousVersion = r.snapshot, r.snapshotVersion
		r.snapshot, r.snapshotVersion = r.state.Snapshot(), r.state.Version()
	}
	text, textVersion := r.snapshot, r.snapshotVersion
	if version == r.previousVersion && r.previousSnapshot != nil {
		text, textVersion = r.previousSnapshot, r.previousVersion
	}
	if version != textVersion || offset > uint64(len(text)) {
		text, textVersion, offset = r.snapshot, r.snapshotVersion, 0
	}
	r.Stats.Chunks++
	r.sendMessage(to, codec.Message{
		Kind:    codec.MessageChunk,
		Body:    text[offset:min(offset+chunkBytes, uint64(len(text)))],
		Version: textVersion,
		Offset:  offset,
		Total:   uint64(len(text)),
	})
}

// onChunk handles a chunk of the state transfer. A chunk of another version starts the transfer again from its first byte.
func (r *Replica) onChunk(from string, m codec.Message) {
	t := &r.transfer
	if from != t.from || m.Total > maxStateBytes {
		return
	}
	if m.Version != t.version {
		if m.Offset != 0 {
			return
		}
		t.version, t.received = m.Version, nil
	}
	if m.Offset != uint64(len(t.received)) {
		return
	}
	t.received, t.attempts = append(t.received, m.Body...), 0
	if uint64(len(t.received)) < m.Total {
		r.requestChunk()
		return
	}
	text := t.received
	t.from, t.received = "", nil
	state, err := clusterstate.Read(text)
	if err != nil {
		r.effects.Log(fmt.Sprintf("a page of %s is not taken: %v", from, err))
		return
	}
	if state.Version() > r.state.Version() || r.config.Faults.StaleTransfer {
		r.adoptState(state)
	}
}

// adoptState replaces the state by a later one and reports the result of the first proposal.
func (r *Replica) adoptState(state *clusterstate.State) {
	r.state = state
	r.renewLease()
	if len(r.proposals) == 0 {
		return
	}
	if number, refusal, ok := state.LastResult(r.config.Name, r.config.Incarnation); ok && number >= r.proposals[0].number {
		r.proposals = r.proposals[1:] // proposals are sent one at a time: it is the first one's result
		r.nextSendAt = r.now
		r.onResult(number, refusal)
	} else if p, there := state.Process(r.config.Name); there && p.Incarnation > r.config.Incarnation && r.incarnationRaises < maxIncarnationRaises { // this process's data directory was lost
		r.incarnationRaises++
		r.config.Incarnation, r.lastProposal, r.proposals = p.Incarnation+1, 0, nil
		r.join()
	}
}
