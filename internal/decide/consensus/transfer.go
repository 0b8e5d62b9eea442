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

// encodedState is the encoded state at a version.
type encodedState struct {
	text    []byte
	version uint64
}

// snapshotCache keeps the state that followers fetch, and the one before it: their transfers go on when the state changes.
type snapshotCache struct{ current, previous encodedState }

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
	if r.snapshots.current.version != r.state.Version() || r.snapshots.current.text == nil {
		r.snapshots.previous = r.snapshots.current
		r.snapshots.current = encodedState{r.state.Snapshot(), r.state.Version()}
	}
	sent := r.snapshots.current
	if version == r.snapshots.previous.version && r.snapshots.previous.text != nil {
		sent = r.snapshots.previous
	}
	size := uint64(len(sent.text))
	if version != sent.version || offset > size {
		sent, offset = r.snapshots.current, 0
		size = uint64(len(sent.text))
	}
	r.Stats.Chunks++
	r.sendMessage(to, codec.Message{
		Kind:    codec.MessageChunk,
		Body:    sent.text[offset:min(offset+chunkBytes, size)],
		Version: sent.version,
		Offset:  offset,
		Total:   size,
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
	if len(r.queue.proposals) == 0 {
		return
	}
	if number, refusal, ok := state.LastResult(r.config.Name, r.config.Incarnation); ok && number >= r.queue.proposals[0].number {
		r.queue.proposals = r.queue.proposals[1:] // proposals are sent one at a time: it is the first one's result
		r.queue.nextSendAt = r.now
		r.onResult(number, refusal)
		return
	}
	// A later incarnation of this process is in the state if its data directory was lost.
	p, known := state.Process(r.config.Name)
	if known && p.Incarnation > r.config.Incarnation && r.queue.incarnationRaises < maxIncarnationRaises {
		r.queue.incarnationRaises++
		r.config.Incarnation, r.queue.lastNumber, r.queue.proposals = p.Incarnation+1, 0, nil
		r.join()
	}
}
