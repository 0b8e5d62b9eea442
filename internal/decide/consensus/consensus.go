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
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"

	raft "go.etcd.io/raft/v3"
	pb "go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"

	"ravenpond/internal/decide/clusterstate"
	codec "ravenpond/internal/proto/book"
)

// Lease is the validity of a read lease after its probes were sent, in ms.
const Lease = 2500

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
	chunkBytes       = 1000
	maxStateBytes    = 56 << 10 // of a state that fits one message
	maxProposals     = 64       // that wait for their results
	compactThreshold = 256      // log entries after which the log is compacted
	compactKeep      = 64       // log entries that are kept for lagging voters
	maxMessageBytes  = 16 << 10 // of log entries in a message

	maxIncarnationRaises = 3 // how often a process raises its incarnation: two processes of one name would do so for ever
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
	Life               uint64
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

// probeReply is a voter's latest reply to a probe.
type probeReply struct {
	probedAt float64
	written  uint64
}

// Replica is one process's replica of the cluster state. It is not safe for concurrent use.
type Replica struct {
	effects     Effects
	config      Config
	rng         *rand.Rand
	now         float64
	state       *clusterstate.State
	leaseExpiry float64
	probes      map[string]probeReply

	probeTimes  [8]float64 // when the latest rounds of probes were sent, by number
	lastProbe   uint64
	nextProbeAt float64
	nextTickAt  float64

	proposals         []proposal // without results yet; the first has been sent
	number            uint64
	nextSendAt        float64
	nextVoter         int
	incarnationRaises int

	transfer struct {
		from    string
		version uint64
		got     []byte
		at      float64
		tries   int
	}
	snapshot         []byte // the encoded state at a version
	snapshotVersion  uint64
	previousSnapshot []byte // the one sent before it
	previousVersion  uint64

	self           uint64 // Raft ID: position among the voters, from 1; 0: not a voter
	engine         *raft.RawNode
	disk           *raft.MemoryStorage
	emptyDisk      bool // the disk was empty: this voter waits until all others report empty disks
	answeredVoters map[string]bool
	haltReason     string
	campaignAt     float64 // when this voter campaigns
	isLeader       bool
	compactedTo    uint64 // index of the last compaction of the log
	conf           *pb.ConfState
	Stats          Stats
	onResult       func(number uint64, r clusterstate.Refusal)
	leader         string // last known, empty if none
	onReport       func(from string, b []byte)
}

type proposal struct {
	number uint64
	body   []byte
}

// Stats counts what a replica did.
type Stats struct {
	Messages, Bytes, Writes, Commands, Elections, Pages uint64
}

// New starts a replica at a time in ms. saved is what a voter finds on its disk; an error means that saved can't be used.
func New(edge Effects, now float64, who Config, saved PersistedState) (*Replica, error) {
	c := &Replica{effects: edge, config: who, rng: rand.New(rand.NewPCG(who.Seed, 0xb00c)), now: now, state: clusterstate.New(), probes: map[string]probeReply{},
		nextProbeAt: now, nextTickAt: now, answeredVoters: map[string]bool{}, onResult: func(uint64, clusterstate.Refusal) {}, onReport: func(string, []byte) {}}
	c.self = uint64(slices.Index(who.Voters, who.Name) + 1)
	if c.self > 0 {
		if err := c.startVoter(saved); err != nil {
			return nil, err
		}
	}
	c.join()
	return c, nil
}

// startVoter starts Raft on the saved state. All voters start from the same empty snapshot.
func (r *Replica) startVoter(saved PersistedState) error {
	r.conf = &pb.ConfState{}
	for i := range r.config.Voters {
		r.conf.Voters = append(r.conf.Voters, uint64(i+1))
	}
	r.disk = raft.NewMemoryStorage()
	first := &pb.Snapshot{Metadata: &pb.SnapshotMetadata{ConfState: r.conf, Index: proto.Uint64(1), Term: proto.Uint64(1)}}
	r.emptyDisk = len(saved.Hard) == 0 && len(saved.Snapshot) == 0 && len(saved.Entries) == 0
	if len(saved.Snapshot) > 0 {
		first = &pb.Snapshot{}
		if err := proto.Unmarshal(saved.Snapshot, first); err != nil {
			return fmt.Errorf("council: snapshot: %w", err)
		}
	}
	if !slices.Equal(first.GetMetadata().GetConfState().GetVoters(), r.conf.Voters) {
		return fmt.Errorf("council: the folder is of %d stewards, the site file names %d", len(first.GetMetadata().GetConfState().GetVoters()), len(r.conf.Voters))
	}
	if err := r.disk.ApplySnapshot(first); err != nil {
		return fmt.Errorf("council: snapshot: %w", err)
	}
	if data := first.GetData(); len(data) > 0 {
		b, err := clusterstate.Read(data)
		if err != nil {
			return fmt.Errorf("council: snapshot: %w", err)
		}
		r.state = b
	}
	r.compactedTo = first.GetMetadata().GetIndex()
	if len(saved.Hard) > 0 {
		var hard pb.HardState
		if err := proto.Unmarshal(saved.Hard, &hard); err != nil {
			return fmt.Errorf("council: state: %w", err)
		}
		if err := r.disk.SetHardState(&hard); err != nil {
			return fmt.Errorf("council: state: %w", err)
		}
	}
	var entries []*pb.Entry
	for _, text := range saved.Entries {
		e := &pb.Entry{}
		if err := proto.Unmarshal(text, e); err != nil {
			return fmt.Errorf("council: entry: %w", err)
		}
		if e.GetIndex() > r.compactedTo {
			entries = append(entries, e)
		}
	}
	if err := r.disk.Append(entries); err != nil {
		return fmt.Errorf("council: entries: %w", err)
	}
	return r.startRaft()
}

// startRaft starts Raft on its storage.
func (r *Replica) startRaft() (err error) {
	defer func() {
		if p := recover(); p != nil { // Raft panics on inconsistent storage
			err = fmt.Errorf("council: the folder does not fit together: %v", p)
		}
	}()
	r.engine, err = raft.NewRawNode(&raft.Config{ID: r.self, ElectionTick: electionTicks, HeartbeatTick: heartbeatTicks, Storage: r.disk,
		Applied: r.compactedTo, MaxSizePerMsg: maxMessageBytes, MaxInflightMsgs: 16, MaxUncommittedEntriesSize: maxStateBytes, CheckQuorum: true, PreVote: true,
		Logger: silentLogger{}})
	r.scheduleCampaign()
	return err
}

// scheduleCampaign sets the time at which this voter campaigns unless it hears from a leader before.
func (r *Replica) scheduleCampaign() { r.campaignAt = r.now + campaignTimeout*(1+r.rng.Float64()) }

// State returns the replicated state. The caller must not change it.
func (r *Replica) State() *clusterstate.State { return r.state }

// LeaseExpiry returns the time in ms until which the state is known to be current. After it, callers act in degraded mode.
func (r *Replica) LeaseExpiry() float64 { return r.leaseExpiry }

// IsLeader reports whether this replica believes that it is the leader.
func (r *Replica) IsLeader() bool { return r.isLeader }

// HaltReason returns why this voter has stopped voting, or an empty string.
func (r *Replica) HaltReason() string { return r.haltReason }

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

// Report sends a message of kind Report to the leader, if one is known. On the leader the report handler gets it at once.
func (r *Replica) Report(b []byte) {
	switch {
	case r.isLeader:
		r.onReport(r.config.Name, b)
	case r.leader != "":
		r.send(r.leader, b)
	}
}

// SetReportHandler sets the function that receives reports while this replica is the leader.
func (r *Replica) SetReportHandler(f func(from string, b []byte)) { r.onReport = f }

// Next returns the latest time in ms at which Tick must be called.
func (r *Replica) Next() float64 {
	at := min(r.nextTickAt, r.nextProbeAt)
	if len(r.proposals) > 0 {
		at = min(at, r.nextSendAt)
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
	if r.now >= r.nextProbeAt {
		r.nextProbeAt = r.now + probeInterval
		r.probeVoters()
	}
	if len(r.proposals) > 0 && r.now >= r.nextSendAt {
		r.nextSendAt = r.now + retryInterval
		r.sendProposal()
	}
	if r.transfer.from != "" && r.now-r.transfer.at > retryInterval {
		if r.transfer.tries++; r.transfer.tries > 3 {
			r.transfer.from = "" // the next replica that reports a newer version is asked
		} else {
			r.requestChunk()
		}
	}
	r.processReady()
}

// tickRaft ticks Raft. Campaigns are timed by the replica's own random source, so that simulations are reproducible.
func (r *Replica) tickRaft() {
	if !r.isVoting() {
		return
	}
	if r.isLeader {
		r.engine.Tick()
		return
	}
	r.engine.TickQuiesced()
	if r.now >= r.campaignAt {
		r.scheduleCampaign()
		r.Stats.Elections++
		_ = r.engine.Campaign() // an error means that it may not campaign now: the next attempt is scheduled
	}
}

// isVoting reports whether this replica is a voter that takes part.
func (r *Replica) isVoting() bool {
	return r.engine != nil && r.haltReason == "" && (!r.emptyDisk || r.config.Faults.VoteAfterLoss)
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

// probeVoters asks all voters for the last log index on their disks.
func (r *Replica) probeVoters() {
	r.lastProbe++
	r.probeTimes[r.lastProbe%uint64(len(r.probeTimes))] = r.now
	for _, name := range r.config.Voters {
		switch {
		case name != r.config.Name:
			r.sendMessage(name, codec.Ask, nil, r.lastProbe, r.state.Version(), 0, 0, 0)
		case r.isVoting():
			r.probes[name] = probeReply{r.now, r.lastWritten()}
		}
	}
	r.renewLease()
}

// lastWritten returns the last log index on this voter's disk, committed or not.
func (r *Replica) lastWritten() uint64 {
	last, _ := r.disk.LastIndex()
	return last
}

// renewLease extends the lease by the probes that a quorum answered.
func (r *Replica) renewLease() {
	var at []float64
	for _, w := range r.probes {
		if w.written > 1 && w.written <= r.state.Version() { // an empty disk may have been lost: it proves nothing
			at = append(at, w.probedAt)
		}
	}
	slices.SortFunc(at, func(x, y float64) int { return cmp.Compare(y, x) })
	need := len(r.config.Voters)/2 + 1
	if r.config.Faults.SingleVoter {
		need = 1
	}
	if len(at) < need {
		return
	}
	until := at[need-1] + Lease*(1-clockDrift)
	if r.config.Faults.EndlessLease {
		until += 1e9
	}
	r.leaseExpiry = max(r.leaseExpiry, until)
}

// sendMessage encodes and sends a message.
func (r *Replica) sendMessage(to string, kind uint32, body []byte, number, version, written, offset, total uint64) {
	b := codec.AppendMessage(nil, kind, body, number, version, written, offset, total)
	if kind == codec.Word && r.isLeader {
		b = codec.AppendLeads(b)
	}
	r.send(to, b)
}

func (r *Replica) send(to string, b []byte) {
	r.Stats.Messages++
	r.Stats.Bytes += uint64(len(b))
	r.effects.Send(to, b)
}

// OnMessage handles a message of another member. Malformed messages are dropped.
func (r *Replica) OnMessage(now float64, from string, b []byte) {
	r.now = max(r.now, now)
	_ = codec.ReadMessage(b, func(kind uint32, body []byte, number, version, written, offset, total uint64, leads bool) {
		switch kind {
		case codec.Council:
			r.stepRaft(from, body)
		case codec.Ask:
			if r.engine != nil && r.haltReason == "" {
				r.sendMessage(from, codec.Word, nil, number, r.state.Version(), r.lastWritten(), 0, 0)
			}
		case codec.Word:
			r.onProbeReply(from, number, version, written)
			if leads {
				r.leader = from
			} else if r.leader == from {
				r.leader = ""
			}
		case codec.Fetch:
			r.sendChunk(from, number, offset)
		case codec.Page:
			r.onChunk(from, body, version, offset, total)
		case codec.Proposal:
			r.onProposal(body)
		case codec.Report:
			if r.isLeader {
				r.onReport(from, b)
			}
		}
	})
	r.processReady()
}

// stepRaft passes a voter's message to Raft.
func (r *Replica) stepRaft(from string, body []byte) {
	at := slices.Index(r.config.Voters, from)
	var m pb.Message
	if !r.isVoting() || at < 0 || proto.Unmarshal(body, &m) != nil || m.GetFrom() != uint64(at+1) || m.GetTo() != r.self || raft.IsLocalMsg(m.GetType()) {
		return
	}
	switch m.GetType() {
	case pb.MsgApp, pb.MsgHeartbeat, pb.MsgSnap:
		r.scheduleCampaign()
	}
	_ = r.engine.Step(&m) // a message that Raft rejects counts as lost
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

// onProbeReply handles a voter's reply to a probe.
func (r *Replica) onProbeReply(from string, number, version, written uint64) {
	if slices.Index(r.config.Voters, from) < 0 {
		return
	}
	r.OnNewerVersion(r.now, from, version)
	if number > r.lastProbe || r.lastProbe-number >= uint64(len(r.probeTimes)) {
		return
	}
	r.answeredVoters[from] = true
	if r.emptyDisk && r.haltReason == "" && !r.config.Faults.VoteAfterLoss {
		switch {
		case written > 1:
			r.halt("its disk was empty, and others hold commands: it may have voted before")
		case len(r.answeredVoters) == len(r.config.Voters)-1:
			r.emptyDisk = false
			r.scheduleCampaign()
		}
	}
	if asked := r.probeTimes[number%uint64(len(r.probeTimes))]; asked >= r.probes[from].probedAt {
		r.probes[from] = probeReply{asked, written}
		r.renewLease()
	}
}

// halt makes this voter a follower for the rest of its incarnation.
func (r *Replica) halt(why string) {
	r.haltReason, r.isLeader = why, false
	delete(r.probes, r.config.Name)
	r.effects.Log("steward halted: " + why)
}

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
	r.sendMessage(r.transfer.from, codec.Fetch, nil, r.transfer.version, 0, 0, uint64(len(r.transfer.got)), 0)
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
	r.sendMessage(to, codec.Page, text[offset:min(offset+chunkBytes, uint64(len(text)))], 0, is, 0, offset, uint64(len(text)))
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
	} else if p, there := b.Process(r.config.Name); there && p.Life > r.config.Life && r.incarnationRaises < maxIncarnationRaises { // this process's data directory was lost
		r.incarnationRaises++
		r.config.Life, r.number, r.proposals = p.Life+1, 0, nil
		r.join()
	}
}

// join proposes this process's incarnation. No other proposal of the incarnation has an effect before it.
func (r *Replica) join() {
	r.Propose(func(b []byte, number uint64) []byte {
		return codec.AppendCommand(b, r.config.Name, r.config.Life, number, r.now, codec.Act, r.config.Name, r.config.Zone, r.config.Region, 0, 0, "")
	})
}

// Name returns the replica's name.
func (r *Replica) Name() string { return r.config.Name }

// Life returns the replica's incarnation.
func (r *Replica) Life() uint64 { return r.config.Life }

// processReady writes what Raft wants written, then sends its messages, then applies the committed entries.
func (r *Replica) processReady() {
	if !r.isVoting() {
		return
	}
	defer func() {
		if p := recover(); p != nil {
			r.halt(fmt.Sprint("the engine found itself broken: ", p))
		}
	}()
	for r.engine.HasReady() {
		rd := r.engine.Ready()
		if rd.SoftState != nil {
			if leads := rd.SoftState.RaftState == raft.StateLeader; leads != r.isLeader {
				r.isLeader = leads
				r.effects.Log(fmt.Sprintf("leads=%t at version %d", leads, r.state.Version()))
			}
		}
		if r.config.Faults.SendBeforeWrite {
			r.sendRaftMessages(rd.Messages)
		}
		if err := r.save(rd); err != nil {
			r.halt("can't write: " + err.Error())
			return
		}
		if !r.config.Faults.SendBeforeWrite {
			r.sendRaftMessages(rd.Messages)
		}
		if !raft.IsEmptySnap(rd.Snapshot) {
			b, err := clusterstate.Read(rd.Snapshot.GetData())
			if err != nil {
				r.halt("a snapshot of the leader can't be read: " + err.Error())
				return
			}
			r.compactedTo = rd.Snapshot.GetMetadata().GetIndex()
			r.adoptState(b)
		}
		r.apply(rd.CommittedEntries)
		r.engine.Advance(rd)
	}
	r.compactLog()
}

// sendRaftMessages sends Raft's messages to the other voters.
func (r *Replica) sendRaftMessages(all []*pb.Message) {
	for _, m := range all {
		body, err := proto.Marshal(m)
		if err != nil || m.GetTo() == 0 || m.GetTo() > uint64(len(r.config.Voters)) {
			continue
		}
		r.sendMessage(r.config.Voters[m.GetTo()-1], codec.Council, body, 0, 0, 0, 0, 0)
		if m.GetType() == pb.MsgSnap { // the receiver's next message shows whether it arrived
			r.engine.ReportSnapshot(m.GetTo(), raft.SnapshotFinish)
		}
	}
}

// save writes to the disk first and to Raft's in-memory storage after that.
func (r *Replica) save(rd raft.Ready) error {
	var hard, snapshot []byte
	var entries [][]byte
	var from, held uint64
	var err error
	if !raft.IsEmptyHardState(rd.HardState) {
		if hard, err = proto.Marshal(rd.HardState); err != nil {
			return err
		}
	}
	if !raft.IsEmptySnap(rd.Snapshot) {
		if snapshot, err = proto.Marshal(rd.Snapshot); err != nil {
			return err
		}
	}
	if snapshot != nil { // the snapshot replaces the log
		held = rd.Snapshot.GetMetadata().GetIndex()
		from = held + 1
	}
	for i, e := range rd.Entries {
		text, err := proto.Marshal(e)
		if err != nil {
			return err
		}
		if i == 0 {
			from = e.GetIndex()
		}
		entries = append(entries, text)
	}
	if hard == nil && snapshot == nil && entries == nil {
		return nil
	}
	r.Stats.Writes++
	if err := r.effects.Save(hard, from, entries, snapshot, held); err != nil {
		return err
	}
	if snapshot != nil {
		if err := r.disk.ApplySnapshot(rd.Snapshot); err != nil {
			return err
		}
	}
	if hard != nil {
		if err := r.disk.SetHardState(rd.HardState); err != nil {
			return err
		}
	}
	return r.disk.Append(rd.Entries)
}

// apply applies committed entries to the state.
func (r *Replica) apply(entries []*pb.Entry) {
	if len(entries) == 0 {
		return
	}
	b := r.state.Clone()
	for _, e := range entries {
		if e.GetIndex() <= b.Version() {
			continue
		}
		command := e.GetData()
		if e.GetType() != pb.EntryNormal {
			command = nil
		}
		r.Stats.Commands++
		refused, err := b.Apply(e.GetIndex(), command)
		if err == nil {
			err = b.Check()
		}
		if err != nil {
			panic(err)
		}
		if refused != clusterstate.Taken {
			r.effects.Log(fmt.Sprintf("command %d refused: %s", e.GetIndex(), refused))
		}
	}
	r.adoptState(b)
	if !r.isLeader {
		return
	}
	for _, p := range b.Processes() { // followers would learn of it by their next probe; commits are rare and should take effect soon
		if !p.Out && slices.Index(r.config.Voters, p.Name) < 0 {
			r.sendMessage(p.Name, codec.Word, nil, 0, b.Version(), r.lastWritten(), 0, 0)
		}
	}
}

// compactLog replaces old log entries by a snapshot.
func (r *Replica) compactLog() {
	v := r.state.Version()
	if v < r.compactedTo+compactThreshold {
		return
	}
	text := r.state.Snapshot()
	if len(text) > maxStateBytes {
		return // the snapshot would not fit a message: the log is kept
	}
	snap, err := r.disk.CreateSnapshot(v, r.conf, text)
	if err != nil {
		return
	}
	whole, err := proto.Marshal(snap)
	if err != nil {
		return
	}
	if err := r.effects.Save(nil, 0, nil, whole, v); err != nil {
		r.halt("can't write: " + err.Error())
		return
	}
	r.Stats.Writes++
	r.compactedTo = v
	_ = r.disk.Compact(v - compactKeep)
}

// silentLogger drops Raft's log lines. Fatal conditions still panic.
type silentLogger struct{}

func (silentLogger) Debug(...any)            {}
func (silentLogger) Debugf(string, ...any)   {}
func (silentLogger) Error(...any)            {}
func (silentLogger) Errorf(string, ...any)   {}
func (silentLogger) Info(...any)             {}
func (silentLogger) Infof(string, ...any)    {}
func (silentLogger) Warning(...any)          {}
func (silentLogger) Warningf(string, ...any) {}
func (silentLogger) Fatal(v ...any)          { panic(fmt.Sprint(v...)) }
func (silentLogger) Fatalf(f string, v ...any) {
	panic(fmt.Sprintf(f, v...))
}
func (silentLogger) Panic(v ...any)            { panic(fmt.Sprint(v...)) }
func (silentLogger) Panicf(f string, v ...any) { panic(fmt.Sprintf(f, v...)) }
