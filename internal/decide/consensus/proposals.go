package consensus

import (
	"ravenpond/internal/decide/clusterstate"
	codec "ravenpond/internal/proto/clusterstate"
)

// proposal is an own command without a result yet.
type proposal struct {
	number  uint64
	encode  func(b []byte, number uint64) []byte // appends the command, with the time of the call
	body    []byte
	encoded float64 // when body was encoded, ms
}

// SetResultHandler sets the function that is called with the result of each own proposal.
func (r *Replica) SetResultHandler(f func(number uint64, refusal clusterstate.Refusal)) {
	r.onResult = f
}

// Propose queues a command, which f appends to its argument, and returns the command's number, or 0 if too many are queued. The command
// is sent repeatedly until its result is known; f is called again where that takes long, so it uses the time of its call.
func (r *Replica) Propose(f func(b []byte, number uint64) []byte) uint64 {
	if len(r.proposals) >= maxProposals {
		return 0
	}
	r.lastProposal++
	r.proposals = append(r.proposals, proposal{number: r.lastProposal, encode: f, body: f(nil, r.lastProposal), encoded: r.now})
	if len(r.proposals) == 1 {
		r.nextSendAt = r.now
	}
	return r.lastProposal
}

// sendProposal sends the first queued proposal to a voter, to another one at each attempt.
func (r *Replica) sendProposal() {
	first := &r.proposals[0]
	if r.now-first.encoded >= renewAge { // the number stays: whichever form is committed first has the effect, the other none
		first.body, first.encoded = first.encode(nil, first.number), r.now
	}
	if r.isVoting() {
		_ = r.engine.Propose(first.body) // dropped while there is no leader: it is sent again
		return
	}
	to := r.config.Voters[r.nextVoter%len(r.config.Voters)]
	r.nextVoter++
	if to != r.config.Name {
		r.sendMessage(to, codec.MessageProposal, first.body, 0, 0, 0, 0, 0)
	}
}

// onProposal proposes another replica's command unless its result is in the state already, or its time is implausible. A proposer
// whose state lags repeats its command; without the first check each repetition would be a log entry and a new version, which
// makes the proposer lag further.
func (r *Replica) onProposal(body []byte) {
	if !r.isVoting() {
		return
	}
	_ = codec.ReadCommand(body, func(string, string, uint32) {},
		func(name string, incarnation, number uint64, at float64, _ uint32, _, _, _ string, _ uint64, _ uint32, _ string) {
			if last, _, ok := r.state.LastResult(name, incarnation); ok && number <= last {
				return
			}
			if at >= r.now-maxCommandAge && at <= r.now+maxClockSkew { // an old command may have been sent repeatedly for long
				_ = r.engine.Propose(body)
			}
		})
}

// join proposes this process's incarnation. No other proposal of the incarnation has an effect before it.
func (r *Replica) join() {
	r.Propose(func(b []byte, number uint64) []byte {
		return codec.AppendCommand(b, r.config.Name, r.config.Incarnation, number, r.now, codec.CommandActivate, r.config.Name, r.config.Zone, r.config.Region, 0, 0, "")
	})
}
