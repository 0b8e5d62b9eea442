package consensus

import (
	"ravenpond/internal/decide/clusterstate"
	codec "ravenpond/internal/proto/book"
)

type proposal struct {
	number uint64
	body   []byte
}

// SetResultHandler sets the function that is called with the result of each own proposal.
func (r *Replica) SetResultHandler(f func(number uint64, refusal clusterstate.Refusal)) {
	r.onResult = f
}

// Propose queues a command, which f appends to its argument, and returns the command's number, or 0 if too many are queued. The command
// is sent repeatedly until its result is known.
func (r *Replica) Propose(f func(b []byte, number uint64) []byte) uint64 {
	if len(r.proposals) >= maxProposals {
		return 0
	}
	r.number++
	r.proposals = append(r.proposals, proposal{r.number, f(nil, r.number)})
	if len(r.proposals) == 1 {
		r.nextSendAt = r.now
	}
	return r.number
}

// sendProposal sends the first queued proposal to a voter, to another one at each attempt.
func (r *Replica) sendProposal() {
	w := r.proposals[0]
	if r.isVoting() {
		_ = r.engine.Propose(w.body) // dropped while there is no leader: it is sent again
		return
	}
	to := r.config.Voters[r.nextVoter%len(r.config.Voters)]
	r.nextVoter++
	if to != r.config.Name {
		r.sendMessage(to, codec.Proposal, w.body, 0, 0, 0, 0, 0)
	}
}

// onProposal proposes another replica's command unless the command's time is implausible.
func (r *Replica) onProposal(body []byte) {
	if !r.isVoting() {
		return
	}
	_ = codec.ReadCommand(body, func(string, string, uint32) {},
		func(_ string, _, _ uint64, at float64, _ uint32, _, _, _ string, _ uint64, _ uint32, _ string) {
			if at >= r.now-maxClockSkew*12 && at <= r.now+maxClockSkew { // an old command may have been sent repeatedly for long
				_ = r.engine.Propose(body)
			}
		})
}

// join proposes this process's incarnation. No other proposal of the incarnation has an effect before it.
func (r *Replica) join() {
	r.Propose(func(b []byte, number uint64) []byte {
		return codec.AppendCommand(b, r.config.Name, r.config.Life, number, r.now, codec.Act, r.config.Name, r.config.Zone, r.config.Region, 0, 0, "")
	})
}
