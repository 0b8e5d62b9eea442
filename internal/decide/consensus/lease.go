package consensus

import (
	"cmp"
	"slices"

	codec "ravenpond/internal/proto/clusterstate"
)

// LeaseDuration is the duration of a read lease in ms, counted from when its probes were sent. Clock drift is deducted from it.
const LeaseDuration = 2500

// probeRounds is the number of rounds of probes, the latest ones, to which replies are accepted.
const probeRounds = 8

// lease is a replica's read lease.
type lease struct {
	expiry      float64               // ms
	replies     map[string]probeReply // latest reply by voter
	probeTimes  [probeRounds]float64  // when the latest rounds of probes were sent, by round number modulo probeRounds
	lastProbe   uint64                // number of the last round
	nextProbeAt float64
}

// probeReply is a voter's latest reply to a probe.
type probeReply struct {
	probedAt    float64 // when the probe was sent
	lastWritten uint64  // last log index on the voter's disk
}

// LeaseExpiry returns the time in ms until which the state is known to be current. From then on, callers act in degraded mode.
func (r *Replica) LeaseExpiry() float64 { return r.lease.expiry }

// probeVoters asks all voters for the last log index on their disks.
func (r *Replica) probeVoters() {
	r.lease.lastProbe++
	r.lease.probeTimes[r.lease.lastProbe%uint64(len(r.lease.probeTimes))] = r.now
	for _, name := range r.config.Voters {
		switch {
		case name != r.config.Name:
			r.sendMessage(name, codec.Message{Kind: codec.MessageProbe, Number: r.lease.lastProbe, Version: r.state.Version()})
		case r.isVoting():
			r.lease.replies[name] = probeReply{r.now, r.lastWritten()}
		}
	}
	r.renewLease()
}

// renewLease extends the lease if a quorum has reported log indexes that this replica has applied.
func (r *Replica) renewLease() {
	var probedAt []float64
	for _, reply := range r.lease.replies {
		if reply.lastWritten > 1 && reply.lastWritten <= r.state.Version() { // a voter with an empty disk may have lost its log: its index proves nothing
			probedAt = append(probedAt, reply.probedAt)
		}
	}
	slices.SortFunc(probedAt, func(x, y float64) int { return cmp.Compare(y, x) })
	quorum := len(r.config.Voters)/2 + 1
	if r.config.Faults.SingleVoter {
		quorum = 1
	}
	if len(probedAt) < quorum {
		return
	}
	expiry := probedAt[quorum-1] + LeaseDuration*(1-clockDrift)
	if r.config.Faults.EndlessLease {
		expiry += 1e9
	}
	r.lease.expiry = max(r.lease.expiry, expiry)
}

// onProbeReply handles a voter's reply to a probe.
func (r *Replica) onProbeReply(from string, m codec.Message) {
	if !slices.Contains(r.config.Voters, from) {
		return
	}
	r.OnNewerVersion(r.now, from, m.Version)
	if m.Number > r.lease.lastProbe || r.lease.lastProbe-m.Number >= uint64(len(r.lease.probeTimes)) {
		return
	}
	r.voter.answered[from] = true
	if r.voter.diskWasEmpty && r.voter.haltReason == "" && !r.config.Faults.VoteAfterLoss {
		switch {
		case m.LastLogIndex > 1:
			r.halt("its disk was empty, but other voters hold commands: it may have voted before it lost its disk")
		case len(r.voter.answered) == len(r.config.Voters)-1:
			r.voter.diskWasEmpty = false
			r.scheduleCampaign()
		}
	}
	if probedAt := r.lease.probeTimes[m.Number%uint64(len(r.lease.probeTimes))]; probedAt >= r.lease.replies[from].probedAt {
		r.lease.replies[from] = probeReply{probedAt, m.LastLogIndex}
		r.renewLease()
	}
}
