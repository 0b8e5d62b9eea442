// Package consensus replicates the cluster state among a site's schedulers. Time and received messages go in; messages, disk writes and
// the new state come out. The voters run Raft (go.etcd.io/raft, which does no I/O); all other processes are followers. No placement
// waits for a message of this package.
//
// A read lease tells a replica whether its state is current. It probes all voters periodically for the last log index on their disks.
// Once the replica has applied the index that a quorum reported, and those probes were sent within the lease time, it holds every
// command that was committed before the probes were sent: a committed command is on the disks of a quorum, so at least one voter that
// answered reported its index or a later one. When the lease expires, the replica acts on its last state in degraded mode.
//
// The package tolerates lost, late and duplicate messages, voters that crash, pause, are partitioned or fail to write, clock drift, and
// a voter that lost its disk: such a voter never votes again, because it may have voted before.
package consensus

import (
	"math/rand/v2"
	"slices"

	"ravenpond/internal/decide/clusterstate"
	codec "ravenpond/internal/proto/clusterstate"
)

// Times in milliseconds, sizes in bytes, and limits.
const (
	raftTick         = 100  // between two ticks of Raft
	heartbeatTicks   = 2    // ticks between two heartbeats of the leader
	electionTicks    = 10   // ticks without a heartbeat after which a voter may vote for another leader
	campaignTimeout  = 1200 // time without a heartbeat before a voter campaigns; up to as long again is added at random
	probeInterval    = 500  // between two probes of the voters
	retryInterval    = 300  // after which a proposal or a request for a chunk is sent again
	clockDrift       = 0.01 // relative drift between two clocks that the lease allows for
	maxClockSkew     = 5000 // a voter rejects a command whose time is further ahead of its clock
	maxCommandAge    = 60e3 // a voter rejects a command whose time is further behind its clock
	renewAge         = 30e3 // age at which a command that is still queued is encoded anew
	chunkBytes       = 1000
	maxStateBytes    = 56 << 10 // of a state that fits one message
	maxProposals     = 64       // that wait for their results
	compactThreshold = 256      // log entries after which the log is compacted
	compactKeep      = 64       // log entries that are kept for lagging voters
	maxMessageBytes  = 16 << 10 // of log entries in a message

	maxChunkAttempts     = 3      // for one chunk, after the first
	seedStream           = 0xb00c // of the random source, so that it differs from others of the same seed
	maxIncarnationRaises = 3      // how often a process raises its incarnation: two processes of one name would do so for ever
)

// Effects executes what a replica decides.
type Effects interface {
	// Send sends a message to a member. The message may be lost.
	Send(to string, body []byte)
	// Save writes Raft's hard state, log entries and snapshot, and returns when they are on the disk. The entries replace all that
	// are stored from index from on (0: none); the snapshot covers all entries up to index held. Empty arguments leave what is
	// stored unchanged.
	Save(hard []byte, from uint64, entries [][]byte, snapshot []byte, held uint64) error
	// Log writes a line for operators.
	Log(line string)
}

// PersistedState is what a voter finds on its disk when it starts.
type PersistedState struct {
	Hard, Snapshot []byte
	Entries        [][]byte
}

// Config identifies a replica and the voters of its site.
type Config struct {
	Name, Zone, Region string
	Incarnation        uint64
	Voters             []string // names, the same in all replicas
	Seed               uint64
	Faults             Faults
}

// Faults injects faults for tests that must detect them. The zero value injects none.
type Faults struct {
	SendBeforeWrite bool // a voter sends before it has written
	StaleTransfer   bool // an older state overwrites a newer one
	SingleVoter     bool // the reply of one voter suffices for a lease
	EndlessLease    bool // a lease never expires
	VoteAfterLoss   bool // a voter that lost its disk votes
}

// Replica is one process's replica of the cluster state. It is not safe for concurrent use.
type Replica struct {
	Stats Stats

	effects    Effects
	config     Config
	rng        *rand.Rand
	now        float64
	nextTickAt float64
	state      *clusterstate.State
	leader     string // last known, empty if none
	onResult   func(number uint64, r clusterstate.Refusal)
	onReport   func(from string, b []byte)

	lease     lease
	queue     proposalQueue
	transfer  transfer
	snapshots snapshotCache
	voter     voter
}

// Stats counts what a replica did.
type Stats struct {
	Messages, Bytes, Writes, Commands, Elections uint64

	Chunks uint64 `json:"Pages"` // chunks of snapshots sent; the key stays, members.json has it
}

// New starts a replica at a time in ms. saved is what a voter finds on its disk; an error means that saved can't be used.
func New(effects Effects, now float64, config Config, saved PersistedState) (*Replica, error) {
	replica := &Replica{
		effects:    effects,
		config:     config,
		rng:        rand.New(rand.NewPCG(config.Seed, seedStream)),
		now:        now,
		nextTickAt: now,
		state:      clusterstate.New(),
		onResult:   func(uint64, clusterstate.Refusal) {},
		onReport:   func(string, []byte) {},
		lease:      lease{replies: map[string]probeReply{}, nextProbeAt: now},
		voter:      voter{raftID: uint64(slices.Index(config.Voters, config.Name) + 1), answered: map[string]bool{}},
	}
	if replica.voter.raftID > 0 {
		if err := replica.startVoter(saved); err != nil {
			return nil, err
		}
	}
	replica.join()
	return replica, nil
}

// State returns the replicated state. The caller must not change it.
func (r *Replica) State() *clusterstate.State { return r.state }

// IsLeader reports whether this replica believes that it is the leader.
func (r *Replica) IsLeader() bool { return r.voter.isLeader }

// HaltReason returns why this voter has stopped voting, or an empty string.
func (r *Replica) HaltReason() string { return r.voter.haltReason }

// Report sends a message of kind Report to the leader, if one is known. On the leader the report handler gets it at once.
func (r *Replica) Report(b []byte) {
	switch {
	case r.voter.isLeader:
		r.onReport(r.config.Name, b)
	case r.leader != "":
		r.send(r.leader, b)
	}
}

// SetReportHandler sets the function that receives reports while this replica is the leader.
func (r *Replica) SetReportHandler(f func(from string, b []byte)) { r.onReport = f }

// Next returns the latest time in ms at which Tick must be called.
func (r *Replica) Next() float64 {
	at := min(r.nextTickAt, r.lease.nextProbeAt)
	if len(r.queue.proposals) > 0 {
		at = min(at, r.queue.nextSendAt)
	}
	return at
}

// Tick advances the clock and executes what is due.
func (r *Replica) Tick(now float64) {
	r.now = max(r.now, now)
	if r.now >= r.nextTickAt {
		r.nextTickAt = r.now + raftTick
		r.tickRaft()
	}
	if r.now >= r.lease.nextProbeAt {
		r.lease.nextProbeAt = r.now + probeInterval
		r.probeVoters()
	}
	if len(r.queue.proposals) > 0 && r.now >= r.queue.nextSendAt {
		r.queue.nextSendAt = r.now + retryInterval
		r.sendProposal()
	}
	if r.transfer.from != "" && r.now-r.transfer.requestedAt > retryInterval {
		if r.transfer.attempts++; r.transfer.attempts > maxChunkAttempts {
			r.transfer.from = "" // the next replica that reports a newer version is asked
		} else {
			r.requestChunk()
		}
	}
	r.processReady()
}

// sendMessage encodes and sends a message.
func (r *Replica) sendMessage(to string, m codec.Message) {
	m.FromLeader = m.Kind == codec.MessageProbeReply && r.voter.isLeader
	r.send(to, codec.AppendMessage(nil, &m))
}

// sendProbeReply answers a probe. Number 0 stands for none: the receiver learns the version without having asked.
func (r *Replica) sendProbeReply(to string, number, version uint64) {
	r.sendMessage(to, codec.Message{Kind: codec.MessageProbeReply, Number: number, Version: version, Written: r.lastWritten()})
}

func (r *Replica) send(to string, b []byte) {
	r.Stats.Messages++
	r.Stats.Bytes += uint64(len(b))
	r.effects.Send(to, b)
}

// OnMessage handles a message of another member. Malformed messages are dropped.
func (r *Replica) OnMessage(now float64, from string, b []byte) {
	r.now = max(r.now, now)
	if m, err := codec.ReadMessage(b); err == nil {
		r.handle(from, m, b)
	}
	r.processReady()
}

// handle handles a message, whose encoded form is b.
func (r *Replica) handle(from string, m codec.Message, b []byte) {
	switch m.Kind {
	case codec.MessageRaft:
		r.stepRaft(from, m.Body)
	case codec.MessageProbe:
		if r.voter.engine != nil && r.voter.haltReason == "" {
			r.sendProbeReply(from, m.Number, r.state.Version())
		}
	case codec.MessageProbeReply:
		r.onProbeReply(from, m)
		if m.FromLeader {
			r.leader = from
		} else if r.leader == from {
			r.leader = ""
		}
	case codec.MessageFetchChunk:
		r.sendChunk(from, m.Number, m.Offset)
	case codec.MessageChunk:
		r.onChunk(from, m)
	case codec.MessageProposal:
		r.onProposal(m.Body)
	case codec.MessageZoneReport:
		if r.voter.isLeader {
			r.onReport(from, b)
		}
	}
}

// Name returns the replica's name.
func (r *Replica) Name() string { return r.config.Name }

// Incarnation returns the replica's incarnation.
func (r *Replica) Incarnation() uint64 { return r.config.Incarnation }
