package consensus

import (
	"fmt"

	"ravenpond/internal/decide/clusterstate"
	codec "ravenpond/internal/proto/clusterstate"
)

// transfer is the state of fetching a snapshot from another replica in chunks.
type transfer struct {
	from        string // empty: no transfer is under way
	version     uint64 // of the snapshot
	received    []byte
	requestedAt float64
	attempts    int // repeated requests for the next chunk
}

// encodedState is the encoded state at a version.
type encodedState struct {
	data    []byte
	version uint64
}

// snapshotCache keeps the encoded state that followers fetch, and the one before it, so that transfers can finish after the state has changed.
type snapshotCache struct{ current, previous encodedState }

// OnNewerVersion tells the replica which version another member holds. A follower with an older version starts to fetch the state from that
// member, unless a transfer is under way.
func (r *Replica) OnNewerVersion(now float64, from string, version uint64) {
	r.now = max(r.now, now)
	if version <= r.state.Version() || r.transfer.from != "" || r.isVoting() {
		return
	}
	r.transfer = transfer{from: from}
	r.requestChunk()
}

// requestChunk requests the next chunk of the current transfer.
func (r *Replica) requestChunk() {
	r.transfer.requestedAt = r.now
	r.sendMessage(r.transfer.from, codec.Message{
		Kind:   codec.MessageFetchChunk,
		Number: r.transfer.version,
		Offset: uint64(len(r.transfer.received)),
	})
}

// sendChunk sends a chunk of the snapshot that the receiver has begun to fetch, or the first chunk of the current one if that snapshot is no
// longer cached.
func (r *Replica) sendChunk(to string, version, offset uint64) {
	if r.snapshots.current.version != r.state.Version() || r.snapshots.current.data == nil {
		r.snapshots.previous = r.snapshots.current
		r.snapshots.current = encodedState{r.state.Snapshot(), r.state.Version()}
	}
	sent := r.snapshots.current
	if version == r.snapshots.previous.version && r.snapshots.previous.data != nil {
		sent = r.snapshots.previous
	}
	size := uint64(len(sent.data))
	if version != sent.version || offset > size {
		sent, offset = r.snapshots.current, 0
		size = uint64(len(sent.data))
	}
	r.Stats.Chunks++
	r.sendMessage(to, codec.Message{
		Kind:    codec.MessageChunk,
		Body:    sent.data[offset:min(offset+chunkBytes, size)],
		Version: sent.version,
		Offset:  offset,
		Total:   size,
	})
}

// onChunk handles a chunk of the current transfer. The first chunk of another version restarts the transfer with that version.
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
	data := t.received
	t.from, t.received = "", nil
	state, err := clusterstate.ReadSnapshot(data)
	if err != nil {
		r.effects.Log(fmt.Sprintf("rejected the state fetched from %s: %v", from, err))
		return
	}
	if state.Version() > r.state.Version() || r.config.Faults.StaleTransfer {
		r.adoptState(state)
	}
}

// adoptState replaces the state by a later one. It reports the result of the first queued proposal if the new state contains it.
func (r *Replica) adoptState(state *clusterstate.State) {
	r.state = state
	r.renewLease()
	if len(r.queue.proposals) == 0 {
		return
	}
	if number, refusal, ok := state.LastResult(r.config.Name, r.config.Incarnation); ok && number >= r.queue.proposals[0].number {
		r.queue.proposals = r.queue.proposals[1:] // proposals are sent one at a time, so this is the result of the first
		r.queue.nextSendAt = r.now
		r.onResult(number, refusal)
		return
	}
	// The state contains a later incarnation of this process if the process lost its data directory.
	p, known := state.Process(r.config.Name)
	if known && p.Incarnation > r.config.Incarnation && r.queue.incarnationRaises < maxIncarnationRaises {
		r.queue.incarnationRaises++
		r.config.Incarnation, r.queue.lastNumber, r.queue.proposals = p.Incarnation+1, 0, nil
		r.join()
	}
}
