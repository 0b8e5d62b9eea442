package consensus

import (
	"fmt"

	"ravenpond/internal/decide/clusterstate"
	codec "ravenpond/internal/proto/book"
)

// OnNewerVersion tells the replica that another member holds a version. A follower that is behind starts a state transfer.
func (r *Replica) OnNewerVersion(now float64, from string, version uint64) {
	r.now = max(r.now, now)
	if version <= r.state.Version() || r.transfer.from != "" || r.isVoting() {
		return
	}
	r.transfer.from, r.transfer.version, r.transfer.got, r.transfer.tries = from, 0, nil, 0
	r.requestChunk()
}

// requestChunk asks for the next chunk of the state transfer.
func (r *Replica) requestChunk() {
	r.transfer.at = r.now
	r.sendMessage(r.transfer.from, codec.MessageFetchChunk, nil, r.transfer.version, 0, 0, uint64(len(r.transfer.got)), 0)
}

// sendChunk sends a chunk of the snapshot that the receiver started with, or the first chunk of the current one if that is gone.
func (r *Replica) sendChunk(to string, version, offset uint64) {
	if r.snapshotVersion != r.state.Version() || r.snapshot == nil {
		r.previousSnapshot, r.previousVersion = r.snapshot, r.snapshotVersion
		r.snapshot, r.snapshotVersion = r.state.Snapshot(), r.state.Version()
	}
	text, is := r.snapshot, r.snapshotVersion
	if version == r.previousVersion && r.previousSnapshot != nil {
		text, is = r.previousSnapshot, r.previousVersion
	}
	if version != is || offset > uint64(len(text)) {
		text, is, offset = r.snapshot, r.snapshotVersion, 0
	}
	r.Stats.Pages++
	r.sendMessage(to, codec.MessageChunk, text[offset:min(offset+chunkBytes, uint64(len(text)))], 0, is, 0, offset, uint64(len(text)))
}

// onChunk handles a chunk of the state transfer.
func (r *Replica) onChunk(from string, body []byte, version, offset, total uint64) {
	p := &r.transfer
	if from != p.from || total > maxStateBytes {
		return
	}
	if version != p.version {
		if offset != 0 {
			return
		}
		p.version, p.got = version, nil
	}
	if offset != uint64(len(p.got)) {
		return
	}
	p.got, p.tries = append(p.got, body...), 0
	if uint64(len(p.got)) < total {
		r.requestChunk()
		return
	}
	text := p.got
	p.from, p.got = "", nil
	b, err := clusterstate.Read(text)
	if err != nil {
		r.effects.Log(fmt.Sprintf("a page of %s is not taken: %v", from, err))
		return
	}
	if b.Version() > r.state.Version() || r.config.Faults.StaleTransfer {
		r.adoptState(b)
	}
}

// adoptState replaces the state by a later one and reports the result of the first proposal.
func (r *Replica) adoptState(b *clusterstate.State) {
	r.state = b
	r.renewLease()
	if len(r.proposals) == 0 {
		return
	}
	if number, refused, ok := b.LastResult(r.config.Name, r.config.Life); ok && number >= r.proposals[0].number {
		r.proposals = r.proposals[1:] // proposals are sent one at a time: it is the first one's result
		r.nextSendAt = r.now
		r.onResult(number, refused)
	} else if p, there := b.Process(r.config.Name); there && p.Incarnation > r.config.Life && r.incarnationRaises < maxIncarnationRaises { // this process's data directory was lost
		r.incarnationRaises++
		r.config.Life, r.number, r.proposals = p.Incarnation+1, 0, nil
		r.join()
	}
}
