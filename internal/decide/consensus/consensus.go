// Package consensus replicates the cluster state among a site's schedulers. Its inputs are the time and received messages; its outputs
// are messages, disk writes and the new state. The voters run Raft (go.etcd.io/raft, which does no I/O). All other processes are
// followers: they fetch the state from replicas that report a newer version. No placement decision waits for a message of this package.
//
// A read lease tells a replica whether its state is current. The replica periodically probes all voters for the last log index on their
// disks. Once it has applied the indexes that a quorum reported, and those probes were sent within the lease duration, it holds every
// command that was committed before the probes were sent: a committed command is on the disks of a quorum, so at least one voter that
// answered reported its index or a later one. When the lease expires, the replica acts on its last state in degraded mode.
//
// The package tolerates lost, late and duplicate messages, voters that crash, pause, are partitioned or fail to write, clock drift, and
// a voter that lost its disk: such a voter never votes again, because it may have voted before the loss.
package consensus

import (
	"math/rand/v2"
	"slices"

	"ravenpond/internal/decide/clusterstate"
	codec "ravenpond/internal/proto/clusterstate"
)

// Times in milliseconds, sizes in bytes, and limits.
const (
	raftTick         = 100  // time between two ticks of Raft
	heartbeatTicks   = 2    // ticks between two heartbeats of the leader
	electionTicks    = 10   // ticks without a heartbeat after which a voter may vote for another leader
	campaignTimeout  = 1200 // time without a heartbeat before a voter campaigns; up to the same time again is added at random
	probeInterval    = 500  // time between two rounds of probes
	retryInterval    = 300  // time after which a proposal or a request for a chunk is sent again
	clockDrift       = 0.01 // relative drift between two clocks that the lease allows for
	maxClockSkew     = 5000 // a voter drops a proposal whose time is further ahead of its clock
	maxCommandAge    = 60e3 // a voter drops a proposal whose time is further behind its clock
	renewAge         = 30e3 // age at which a command that is still queued is encoded again with the current time
	chunkBytes       = 1000
	maxStateBytes    = 56 << 10 // size of an encoded state that fits one message
	maxProposals     = 64       // own commands that wait for their results
	compactThreshold = 256      // log entries after which the log is compacted
	compactKeep      = 64       // log entries that are kept for lagging voters
	maxMessageBytes  = 16 << 10 // log entries in one message

	maxChunkAttempts     = 3      // repeated requests for one chunk, after the first
	seedStream           = 0xb00c // stream of the random source, so that it differs from others with the same seed
	maxIncarnationRaises = 3      // limit per process, because two processes with the same name would raise their incarnations forever
)

// Effects executes what a replica decides.
type Effects interface {
	// Send sends a message to a member. The message may be lost.
	Send(to string, body []byte)
	// Save writes Raft's hard state, log entries and snapshot, and returns when they are on the disk. The entries replace all stored
	// ones with index firstIndex or later; firstIndex 0 means that there are none. The snapshot covers all entries up to snapshotIndex.
	// Empty arguments leave what is stored unchanged.
	Save(hardState []byte, firstIndex uint64, entries [][]byte, snapshot []byte, snapshotIndex uint64) error
	// Log writes a log line for operators.
	Log(line string)
}

// PersistedState is what a voter reads from its disk when it starts: Raft's hard state, snapshot and log entries, each encoded.
type PersistedState struct {
	HardState, Snapshot []byte
	Entries             [][]byte
}

// Config identifies a replica and the voters of its site.
type Config struct {
	Name, Zone, Region string
	Incarnation        uint64
	Voters             []string // names, the same and in the same order in all replicas
	Seed               uint64
	Faults             Faults
}

// Faults injects faults for tests that must detect them. The zero value injects none.
type Faults struct {
	SendBeforeWrite bool // a voter sends Raft's messages before it has written what Raft wants stored
	StaleTransfer   bool // a fetched state replaces a newer one
	SingleVoter     bool // the reply of one voter suffices for a read lease
	EndlessLease    bool // a read lease never expires
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
	leader     string // the last known one, empty if none is known
	onResult   func(number uint64, r clusterstate.Refusal)
	onReport   func(from string, b []byte)

	lease     lease
	queue     proposalQueue
	transfer  transfer
	snapshots snapshotCache
	voter     voter
}

// Stats counts what a replica has done: messages and bytes sent, disk writes, commands applied and election campaigns started.
type Stats struct {
	Messages, Bytes, Writes, Commands, Elections uint64

	Chunks uint64 `json:"Pages"` // chunks of snapshots sent; the JSON key is part of the format of members.json
}

// New starts a replica. now is the time in ms, saved what a voter read from its disk. It returns an error if saved can't be used.
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

// State returns the replica's cluster state. The caller must not change it.
func (r *Replica) State() *clusterstate.State { return r.state }

// IsLeader reports whether this replica believes that it is the leader.
func (r *Replica) IsLeader() bool { return r.voter.isLeader }

// HaltReason returns why this voter has stopped voting, or an empty string.
func (r *Replica) HaltReason() string { return r.voter.haltReason }

// Report sends an encoded message of kind codec.MessageZoneReport to the leader, if one is known. On the leader itself, the report handler
// gets it at once.
func (r *Replica) Report(body []byte) {
	switch {
	case r.voter.isLeader:
		r.onReport(r.config.Name, body)
	case r.leader != "":
		r.send(r.leader, body)
	}
}

// SetReportHandler sets the function that receives zone reports while this replica is the leader.
func (r *Replica) SetReportHandler(f func(from string, b []byte)) { r.onReport = f }

// Next returns the latest time in ms at which Tick must be called.
func (r *Replica) Next() float64 {
	at := min(r.nextTickAt, r.lease.nextProbeAt)
	if len(r.queue.proposals) > 0 {
		at = min(at, r.queue.nextSendAt)
	}
	return at
}

// Tick advances the replica's clock to now and executes what is due.
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

// sendMessage encodes and sends a message. A probe reply also says whether this replica is the leader.
func (r *Replica) sendMessage(to string, m codec.Message) {
	m.FromLeader = m.Kind == codec.MessageProbeReply && r.voter.isLeader
	r.send(to, codec.AppendMessage(nil, &m))
}

// sendProbeReply answers a probe. Number 0 means that there was none: the receiver learns of a new version without having probed.
func (r *Replica) sendProbeReply(to string, number, version uint64) {
	r.sendMessage(to, codec.Message{Kind: codec.MessageProbeReply, Number: number, Version: version, LastLogIndex: r.lastWritten()})
}

func (r *Replica) send(to string, body []byte) {
	r.Stats.Messages++
	r.Stats.Bytes += uint64(len(body))
	r.effects.Send(to, body)
}

// OnMessage handles a message from another member. Malformed messages are dropped.
func (r *Replica) OnMessage(now float64, from string, body []byte) {
	r.now = max(r.now, now)
	if m, err := codec.ReadMessage(body); err == nil {
		r.handle(from, m, body)
	}
	r.processReady()
}

// handle handles a decoded message; b is its encoded form.
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

// Name returns the replica's name, which is that of its process.
func (r *Replica) Name() string { return r.config.Name }

// Incarnation returns the replica's current incarnation. It is higher than the configured one if the cluster state already contained a later
// incarnation of this process.
func (r *Replica) Incarnation() uint64 { return r.config.Incarnation }
