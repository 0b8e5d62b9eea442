package consensus

import (
	"ravenpond/internal/decide/clusterstate"
	codec "ravenpond/internal/proto/clusterstate"
)

// proposal is a command of this replica whose result is not known yet.
type proposal struct {
	number    uint64
	build     func() (proposedAt float64, change clusterstate.Change)
	body      []byte  // the encoded command
	encodedAt float64 // ms
}

// proposalQueue holds this replica's commands without results. They are sent one at a time, in the order of their numbers.
type proposalQueue struct {
	proposals         []proposal
	lastNumber        uint64
	nextSendAt        float64
	nextVoter         int // index of the voter that the next attempt is sent to
	incarnationRaises int // number of times that the replica has raised its incarnation
}

// SetResultHandler sets the function that is called with the number and result of each command that this replica proposed.
func (r *Replica) SetResultHandler(f func(number uint64, refusal clusterstate.Refusal)) {
	r.onResult = f
}

// Propose queues a command and returns its number, or 0 if too many are queued. build returns the change and the time in ms at which it is
// proposed. The command is sent repeatedly until its result is known; if that takes longer than renewAge, build is called again.
func (r *Replica) Propose(build func() (proposedAt float64, change clusterstate.Change)) uint64 {
	if len(r.queue.proposals) >= maxProposals {
		return 0
	}
	r.queue.lastNumber++
	p := proposal{number: r.queue.lastNumber, build: build}
	r.encode(&p)
	r.queue.proposals = append(r.queue.proposals, p)
	if len(r.queue.proposals) == 1 {
		r.queue.nextSendAt = r.now
	}
	return r.queue.lastNumber
}

// encode builds and encodes a proposal.
func (r *Replica) encode(p *proposal) {
	command := clusterstate.Command{Proposer: r.config.Name, Incarnation: r.config.Incarnation, Number: p.number}
	command.ProposedAt, command.Change = p.build()
	p.body, p.encodedAt = command.Append(nil), r.now
}

// sendProposal sends the first queued proposal to a voter, to the next one at each attempt. A voter passes its own proposals to Raft.
func (r *Replica) sendProposal() {
	first := &r.queue.proposals[0]
	if r.now-first.encodedAt >= renewAge { // the number stays: whichever encoding is committed first has an effect, the other has none
		r.encode(first)
	}
	if r.isVoting() {
		_ = r.voter.engine.Propose(first.body) // Raft drops it while there is no leader; it is sent again
		return
	}
	to := r.config.Voters[r.queue.nextVoter%len(r.config.Voters)]
	r.queue.nextVoter++
	if to != r.config.Name {
		r.sendMessage(to, codec.Message{Kind: codec.MessageProposal, Body: first.body})
	}
}

// onProposal passes another replica's command to Raft unless its result is already in the state or its time is implausible. A proposer
// whose state lags repeats its command; without the first check, each repetition would add a log entry and a new version, which makes
// the proposer lag further.
func (r *Replica) onProposal(body []byte) {
	if !r.isVoting() {
		return
	}
	command, err := clusterstate.ReadCommand(body)
	if err != nil {
		return
	}
	if last, _, ok := r.state.LastResult(command.Proposer, command.Incarnation); ok && command.Number <= last {
		return
	}
	if command.ProposedAt >= r.now-maxCommandAge && command.ProposedAt <= r.now+maxClockSkew { // an old command may be a late repetition
		_ = r.voter.engine.Propose(body)
	}
}

// join proposes to activate this process's incarnation. It is the incarnation's first proposal, so no other one has an effect before it.
func (r *Replica) join() {
	r.Propose(func() (float64, clusterstate.Change) {
		return r.now, clusterstate.Activate{Process: r.config.Name, Zone: r.config.Zone, Region: r.config.Region}
	})
}
