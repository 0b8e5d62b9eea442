// Package consensus has a site's schedulers agree on the book: time and messages of others in, messages, writes and the book out.
// A few of them, the stewards, run the published Raft engine (go.etcd.io/raft, which does no I/O); all others follow. No message
// of it is on the path of a placement.
//
// Whether what a process holds is still so is told by a lease: it asks all stewards again and again for the last command on
// their disks. Once it holds all that more than half of them name, asked no longer ago than the lease, it holds every command
// that was agreed on before those asks: that command is on the disks of more than half, so one of those that answered names it
// or a later one. Until the lease is over it is sure; after that it acts by the last state in its careful reading.
//
// It guards against messages that are lost, late or twice, stewards that are killed, stopped, cut off or can't write, clocks
// that run apart, and a steward that lost its disk: that one never votes, as it may have voted already.
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

// Lease is how long after its asks a process is sure, in ms.
const Lease = 2500

// Times in milliseconds, and bounds.
const (
	tick      = 100  // of the engine
	beats     = 2    // ticks between two words of the leader
	elects    = 10   // ticks without them after which a steward may vote for another
	campaign  = 1200 // without them a steward stands for leader, after up to as long again
	askEach   = 500  // between two asks of the stewards
	again     = 300  // after which a command or a page that did not come is asked for again
	rate      = 0.01 // by which clocks run apart
	skew      = 5000 // a command that names a time further from a steward's clock is not taken
	pageBytes = 1000
	mostBook  = 56 << 10 // bytes of a book that fits one message
	mostQueue = 64       // own commands that wait
	compactAt = 256      // entries after which the log is cut
	keep      = 64       // entries that are kept for those that lag
	mostSize  = 16 << 10 // bytes of entries in a message

	mostRaised = 3 // times that a process takes it that its folder was lost: two by one name would go on for ever
)

// Edge carries out what the council decides.
type Edge interface {
	// Carry sends a message to a member, which may be lost.
	Carry(to string, body []byte)
	// Save writes what the engine must not forget, and returns when it is on the disk: the hard state, entries from an index on
	// in place of all that stood there (0: none are), and a snapshot, which holds all entries up to one. What is empty stays as
	// it is.
	Save(hard []byte, from uint64, entries [][]byte, snapshot []byte, held uint64) error
	Mode(line string)
}

// Saved is what a steward finds on its disk.
type Saved struct {
	Hard, Snapshot []byte
	Entries        [][]byte
}

// Charter says who a process is.
type Charter struct {
	Name, Zone, Region string
	Life               uint64
	Stewards           []string // names, the same at all
	Seed               uint64
	Plant              Plant
}

// Plant puts faults into a council, for tests that must find them; the zero value puts none.
type Plant struct {
	Unwritten bool // it answers before it has written
	OldPage   bool // an older book overwrites a newer one
	OneWord   bool // the word of one steward makes sure
	Endless   bool // a lease that ends by nothing
	Forgetful bool // a steward that lost its disk votes
}

// word is what a steward said when it was asked last.
type word struct {
	asked   float64
	written uint64
}

// Council is one process's part.
type Council struct {
	edge  Edge
	who   Charter
	rng   *rand.Rand
	now   float64
	book  *clusterstate.State
	sure  float64
	words map[string]word

	asks   [8]float64 // when the last rounds of asks were sent, by number
	asked  uint64
	askAt  float64
	tickAt float64

	queue  []waiting // own commands that have no effect yet; the first is on its way
	number uint64
	sendAt float64
	turn   int
	raised int

	page struct {
		from    string
		version uint64
		got     []byte
		at      float64
		tries   int
	}
	shown        []byte // the book in bytes, at a version
	shownVersion uint64
	before       []byte // and those shown before
	beforeIs     uint64

	self     uint64 // among the stewards, from 1; 0: none
	engine   *raft.RawNode
	disk     *raft.MemoryStorage
	fresh    bool // its disk was empty: it waits until all others have said that theirs are
	heard    map[string]bool
	halted   string
	standAt  float64 // when it stands for leader
	leads    bool
	since    uint64 // of the last cut of the log
	conf     *pb.ConfState
	Figures  Figures
	answered func(number uint64, r clusterstate.Refusal)
	leader   string // as far as is known
	reported func(from string, b []byte)
}

type waiting struct {
	number uint64
	body   []byte
}

// Figures count what a council did.
type Figures struct {
	Messages, Bytes, Writes, Commands, Elections, Pages uint64
}

// New begins a process's part. saved is what a steward finds on its disk.
func New(edge Edge, now float64, who Charter, saved Saved) (*Council, error) {
	c := &Council{edge: edge, who: who, rng: rand.New(rand.NewPCG(who.Seed, 0xb00c)), now: now, book: clusterstate.New(), words: map[string]word{},
		askAt: now, tickAt: now, heard: map[string]bool{}, answered: func(uint64, clusterstate.Refusal) {}, reported: func(string, []byte) {}}
	c.self = uint64(slices.Index(who.Stewards, who.Name) + 1)
	if c.self > 0 {
		if err := c.begin(saved); err != nil {
			return nil, err
		}
	}
	c.act()
	return c, nil
}

// begin begins a steward's engine on what was saved. All stewards begin from the same first snapshot, which holds nothing.
func (c *Council) begin(saved Saved) error {
	c.conf = &pb.ConfState{}
	for i := range c.who.Stewards {
		c.conf.Voters = append(c.conf.Voters, uint64(i+1))
	}
	c.disk = raft.NewMemoryStorage()
	first := &pb.Snapshot{Metadata: &pb.SnapshotMetadata{ConfState: c.conf, Index: proto.Uint64(1), Term: proto.Uint64(1)}}
	c.fresh = len(saved.Hard) == 0 && len(saved.Snapshot) == 0 && len(saved.Entries) == 0
	if len(saved.Snapshot) > 0 {
		first = &pb.Snapshot{}
		if err := proto.Unmarshal(saved.Snapshot, first); err != nil {
			return fmt.Errorf("council: snapshot: %w", err)
		}
	}
	if !slices.Equal(first.GetMetadata().GetConfState().GetVoters(), c.conf.Voters) {
		return fmt.Errorf("council: the folder is of %d stewards, the site file names %d", len(first.GetMetadata().GetConfState().GetVoters()), len(c.conf.Voters))
	}
	if err := c.disk.ApplySnapshot(first); err != nil {
		return fmt.Errorf("council: snapshot: %w", err)
	}
	if data := first.GetData(); len(data) > 0 {
		b, err := clusterstate.Read(data)
		if err != nil {
			return fmt.Errorf("council: snapshot: %w", err)
		}
		c.book = b
	}
	c.since = first.GetMetadata().GetIndex()
	if len(saved.Hard) > 0 {
		var hard pb.HardState
		if err := proto.Unmarshal(saved.Hard, &hard); err != nil {
			return fmt.Errorf("council: state: %w", err)
		}
		if err := c.disk.SetHardState(&hard); err != nil {
			return fmt.Errorf("council: state: %w", err)
		}
	}
	var entries []*pb.Entry
	for _, text := range saved.Entries {
		e := &pb.Entry{}
		if err := proto.Unmarshal(text, e); err != nil {
			return fmt.Errorf("council: entry: %w", err)
		}
		if e.GetIndex() > c.since {
			entries = append(entries, e)
		}
	}
	if err := c.disk.Append(entries); err != nil {
		return fmt.Errorf("council: entries: %w", err)
	}
	return c.run()
}

// run starts the engine on its disk.
func (c *Council) run() (err error) {
	defer func() {
		if p := recover(); p != nil { // the engine panics on a disk that can't be
			err = fmt.Errorf("council: the folder does not fit together: %v", p)
		}
	}()
	c.engine, err = raft.NewRawNode(&raft.Config{ID: c.self, ElectionTick: elects, HeartbeatTick: beats, Storage: c.disk,
		Applied: c.since, MaxSizePerMsg: mostSize, MaxInflightMsgs: 16, MaxUncommittedEntriesSize: mostBook, CheckQuorum: true, PreVote: true,
		Logger: quiet{}})
	c.stand()
	return err
}

// stand sets the time at which this steward stands for leader, if it hears of none till then.
func (c *Council) stand() { c.standAt = c.now + campaign*(1+c.rng.Float64()) }

// Book is the book as this process holds it. It must not be changed.
func (c *Council) Book() *clusterstate.State { return c.book }

// Sure is until when this process may act by it as it stands, ms; in the past: by its careful reading.
func (c *Council) Sure() float64 { return c.sure }

// Leads tells whether this process is the leader of the stewards, as far as it knows.
func (c *Council) Leads() bool { return c.leads }

// Halted says why this steward takes no part any more, empty if it does.
func (c *Council) Halted() string { return c.halted }

// Answered has f told what came of own commands.
func (c *Council) Answered(f func(number uint64, r clusterstate.Refusal)) { c.answered = f }

// Propose brings in a command of this process's own, which is appended by f under a number. It is said again until it is
// answered. 0: too many wait.
func (c *Council) Propose(f func(b []byte, number uint64) []byte) uint64 {
	if len(c.queue) >= mostQueue {
		return 0
	}
	c.number++
	c.queue = append(c.queue, waiting{c.number, f(nil, c.number)})
	if len(c.queue) == 1 {
		c.sendAt = c.now
	}
	return c.number
}

// Report sends a message of kind Report to the leader, as far as one is known: it is the leader's at once if that is here.
func (c *Council) Report(b []byte) {
	switch {
	case c.leads:
		c.reported(c.who.Name, b)
	case c.leader != "":
		c.hand(c.leader, b)
	}
}

// Reported has f take reports while this process leads.
func (c *Council) Reported(f func(from string, b []byte)) { c.reported = f }

// Next is when Tick is to be called at the latest.
func (c *Council) Next() float64 {
	at := min(c.tickAt, c.askAt)
	if len(c.queue) > 0 {
		at = min(at, c.sendAt)
	}
	return at
}

// Tick does what is due.
func (c *Council) Tick(now float64) {
	c.now = max(c.now, now)
	if c.now >= c.tickAt {
		c.tickAt = c.now + tick
		c.beat()
	}
	if c.now >= c.askAt {
		c.askAt = c.now + askEach
		c.askAll()
	}
	if len(c.queue) > 0 && c.now >= c.sendAt {
		c.sendAt = c.now + again
		c.send()
	}
	if c.page.from != "" && c.now-c.page.at > again {
		if c.page.tries++; c.page.tries > 3 {
			c.page.from = "" // another is asked when it shows that it is ahead
		} else {
			c.fetch()
		}
	}
	c.work()
}

// beat is the engine's time. It stands for leader by this process's own chance, so that a seed plays the same each time.
func (c *Council) beat() {
	if !c.serves() {
		return
	}
	if c.leads {
		c.engine.Tick()
		return
	}
	c.engine.TickQuiesced()
	if c.now >= c.standAt {
		c.stand()
		c.Figures.Elections++
		_ = c.engine.Campaign() // refused where it may not: then it waits as long again
	}
}

// serves tells whether this process's engine takes part.
func (c *Council) serves() bool {
	return c.engine != nil && c.halted == "" && (!c.fresh || c.who.Plant.Forgetful)
}

// send says the first of the own commands that wait to a steward, another one each time.
func (c *Council) send() {
	w := c.queue[0]
	if c.serves() {
		_ = c.engine.Propose(w.body) // dropped where there is no leader: it is said again
		return
	}
	to := c.who.Stewards[c.turn%len(c.who.Stewards)]
	c.turn++
	if to != c.who.Name {
		c.say(to, codec.Proposal, w.body, 0, 0, 0, 0, 0)
	}
}

// askAll asks all stewards for the last command on their disks.
func (c *Council) askAll() {
	c.asked++
	c.asks[c.asked%uint64(len(c.asks))] = c.now
	for _, name := range c.who.Stewards {
		switch {
		case name != c.who.Name:
			c.say(name, codec.Ask, nil, c.asked, c.book.Version(), 0, 0, 0)
		case c.serves():
			c.words[name] = word{c.now, c.written()}
		}
	}
	c.lease()
}

// written is the last command on this steward's disk, agreed on or not.
func (c *Council) written() uint64 {
	last, _ := c.disk.LastIndex()
	return last
}

// lease reckons until when this process is sure.
func (c *Council) lease() {
	var at []float64
	for _, w := range c.words {
		if w.written > 1 && w.written <= c.book.Version() { // a disk that holds nothing may have been lost: it says nothing
			at = append(at, w.asked)
		}
	}
	slices.SortFunc(at, func(x, y float64) int { return cmp.Compare(y, x) })
	need := len(c.who.Stewards)/2 + 1
	if c.who.Plant.OneWord {
		need = 1
	}
	if len(at) < need {
		return
	}
	until := at[need-1] + Lease*(1-rate)
	if c.who.Plant.Endless {
		until += 1e9
	}
	c.sure = max(c.sure, until)
}

func (c *Council) say(to string, kind uint32, body []byte, number, version, written, offset, total uint64) {
	b := codec.AppendMessage(nil, kind, body, number, version, written, offset, total)
	if kind == codec.Word && c.leads {
		b = codec.AppendLeads(b)
	}
	c.hand(to, b)
}

func (c *Council) hand(to string, b []byte) {
	c.Figures.Messages++
	c.Figures.Bytes += uint64(len(b))
	c.edge.Carry(to, b)
}

// Heard takes a message of another member.
func (c *Council) Heard(now float64, from string, b []byte) {
	c.now = max(c.now, now)
	_ = codec.ReadMessage(b, func(kind uint32, body []byte, number, version, written, offset, total uint64, leads bool) { // what can't be read is lost
		switch kind {
		case codec.Council:
			c.step(from, body)
		case codec.Ask:
			if c.engine != nil && c.halted == "" {
				c.say(from, codec.Word, nil, number, c.book.Version(), c.written(), 0, 0)
			}
		case codec.Word:
			c.told(from, number, version, written)
			if leads {
				c.leader = from
			} else if c.leader == from {
				c.leader = ""
			}
		case codec.Fetch:
			c.show(from, number, offset)
		case codec.Page:
			c.turned(from, body, version, offset, total)
		case codec.Proposal:
			c.taken(body)
		case codec.Report:
			if c.leads {
				c.reported(from, b)
			}
		}
	})
	c.work()
}

// step hands a message to the engine, if it is of a steward.
func (c *Council) step(from string, body []byte) {
	at := slices.Index(c.who.Stewards, from)
	var m pb.Message
	if !c.serves() || at < 0 || proto.Unmarshal(body, &m) != nil || m.GetFrom() != uint64(at+1) || m.GetTo() != c.self || raft.IsLocalMsg(m.GetType()) {
		return
	}
	switch m.GetType() {
	case pb.MsgApp, pb.MsgHeartbeat, pb.MsgSnap:
		c.stand()
	}
	_ = c.engine.Step(&m) // what the engine does not want is as if lost
}

// taken takes another's command, unless it names a time that can't be.
func (c *Council) taken(body []byte) {
	if !c.serves() {
		return
	}
	_ = codec.ReadCommand(body, func(string, string, uint32) {},
		func(_ string, _, _ uint64, at float64, _ uint32, _, _, _ string, _ uint64, _ uint32, _ string) {
			if at >= c.now-skew*12 && at <= c.now+skew { // an old one may have been said again for long
				_ = c.engine.Propose(body)
			}
		})
}

// told takes a steward's word.
func (c *Council) told(from string, number, version, written uint64) {
	if slices.Index(c.who.Stewards, from) < 0 {
		return
	}
	c.Ahead(c.now, from, version)
	if number > c.asked || c.asked-number >= uint64(len(c.asks)) {
		return
	}
	c.heard[from] = true
	if c.fresh && c.halted == "" && !c.who.Plant.Forgetful {
		switch {
		case written > 1:
			c.halt("its disk was empty, and others hold commands: it may have voted before")
		case len(c.heard) == len(c.who.Stewards)-1:
			c.fresh = false
			c.stand()
		}
	}
	if asked := c.asks[number%uint64(len(c.asks))]; asked >= c.words[from].asked {
		c.words[from] = word{asked, written}
		c.lease()
	}
}

// halt has this steward take no part any more in this life. It follows from then on.
func (c *Council) halt(why string) {
	c.halted, c.leads = why, false
	delete(c.words, c.who.Name)
	c.edge.Mode("steward halted: " + why)
}

// Ahead takes it that another holds a later version of the book.
func (c *Council) Ahead(now float64, from string, version uint64) {
	c.now = max(c.now, now)
	if version <= c.book.Version() || c.page.from != "" || c.serves() {
		return
	}
	c.page.from, c.page.version, c.page.got, c.page.tries = from, 0, nil, 0
	c.fetch()
}

func (c *Council) fetch() {
	c.page.at = c.now
	c.say(c.page.from, codec.Fetch, nil, c.page.version, 0, 0, uint64(len(c.page.got)), 0)
}

// show answers who fetches: a page of the book that it began with, if that is still shown, else the first of the present one.
func (c *Council) show(to string, version, offset uint64) {
	if c.shownVersion != c.book.Version() || c.shown == nil {
		c.before, c.beforeIs = c.shown, c.shownVersion
		c.shown, c.shownVersion = c.book.Snapshot(), c.book.Version()
	}
	text, is := c.shown, c.shownVersion
	if version == c.beforeIs && c.before != nil {
		text, is = c.before, c.beforeIs
	}
	if version != is || offset > uint64(len(text)) {
		text, is, offset = c.shown, c.shownVersion, 0
	}
	c.Figures.Pages++
	c.say(to, codec.Page, text[offset:min(offset+pageBytes, uint64(len(text)))], 0, is, 0, offset, uint64(len(text)))
}

// turned takes a page.
func (c *Council) turned(from string, body []byte, version, offset, total uint64) {
	p := &c.page
	if from != p.from || total > mostBook {
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
		c.fetch()
		return
	}
	text := p.got
	p.from, p.got = "", nil
	b, err := clusterstate.Read(text)
	if err != nil {
		c.edge.Mode(fmt.Sprintf("a page of %s is not taken: %v", from, err))
		return
	}
	if b.Version() > c.book.Version() || c.who.Plant.OldPage {
		c.hold(b)
	}
}

// hold takes a later book.
func (c *Council) hold(b *clusterstate.State) {
	c.book = b
	c.lease()
	if len(c.queue) == 0 {
		return
	}
	if number, refused, ok := b.LastResult(c.who.Name, c.who.Life); ok && number >= c.queue[0].number {
		c.queue = c.queue[1:] // they are said one after the other: it is the first's answer
		c.sendAt = c.now
		c.answered(number, refused)
	} else if p, there := b.Process(c.who.Name); there && p.Life > c.who.Life && c.raised < mostRaised { // this process's folder was lost
		c.raised++
		c.who.Life, c.number, c.queue = p.Life+1, 0, nil
		c.act()
	}
}

// act has this process act in its life: nothing that it proposes has an effect before.
func (c *Council) act() {
	c.Propose(func(b []byte, number uint64) []byte {
		return codec.AppendCommand(b, c.who.Name, c.who.Life, number, c.now, codec.Act, c.who.Name, c.who.Zone, c.who.Region, 0, 0, "")
	})
}

// Name is this process's.
func (c *Council) Name() string { return c.who.Name }

// Life is the life in which this process acts.
func (c *Council) Life() uint64 { return c.who.Life }

// work writes what the engine wants written, sends what it wants sent after that, and applies what is agreed on.
func (c *Council) work() {
	if !c.serves() {
		return
	}
	defer func() {
		if p := recover(); p != nil {
			c.halt(fmt.Sprint("the engine found itself broken: ", p))
		}
	}()
	for c.engine.HasReady() {
		rd := c.engine.Ready()
		if rd.SoftState != nil {
			if leads := rd.SoftState.RaftState == raft.StateLeader; leads != c.leads {
				c.leads = leads
				c.edge.Mode(fmt.Sprintf("leads=%t at version %d", leads, c.book.Version()))
			}
		}
		if c.who.Plant.Unwritten {
			c.sendAll(rd.Messages)
		}
		if err := c.save(rd); err != nil {
			c.halt("can't write: " + err.Error())
			return
		}
		if !c.who.Plant.Unwritten {
			c.sendAll(rd.Messages)
		}
		if !raft.IsEmptySnap(rd.Snapshot) {
			b, err := clusterstate.Read(rd.Snapshot.GetData())
			if err != nil {
				c.halt("a snapshot of the leader can't be read: " + err.Error())
				return
			}
			c.since = rd.Snapshot.GetMetadata().GetIndex()
			c.hold(b)
		}
		c.apply(rd.CommittedEntries)
		c.engine.Advance(rd)
	}
	c.cut()
}

func (c *Council) sendAll(all []*pb.Message) {
	for _, m := range all {
		body, err := proto.Marshal(m)
		if err != nil || m.GetTo() == 0 || m.GetTo() > uint64(len(c.who.Stewards)) {
			continue
		}
		c.say(c.who.Stewards[m.GetTo()-1], codec.Council, body, 0, 0, 0, 0, 0)
		if m.GetType() == pb.MsgSnap { // whether it came is seen by what its receiver says next
			c.engine.ReportSnapshot(m.GetTo(), raft.SnapshotFinish)
		}
	}
}

// save writes, and only then has the engine's own memory hold it.
func (c *Council) save(rd raft.Ready) error {
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
	if snapshot != nil { // what the log held is void
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
	c.Figures.Writes++
	if err := c.edge.Save(hard, from, entries, snapshot, held); err != nil {
		return err
	}
	if snapshot != nil {
		if err := c.disk.ApplySnapshot(rd.Snapshot); err != nil {
			return err
		}
	}
	if hard != nil {
		if err := c.disk.SetHardState(rd.HardState); err != nil {
			return err
		}
	}
	return c.disk.Append(rd.Entries)
}

// apply changes the book by what is agreed on.
func (c *Council) apply(entries []*pb.Entry) {
	if len(entries) == 0 {
		return
	}
	b := c.book.Clone()
	for _, e := range entries {
		if e.GetIndex() <= b.Version() {
			continue
		}
		command := e.GetData()
		if e.GetType() != pb.EntryNormal {
			command = nil
		}
		c.Figures.Commands++
		refused, err := b.Apply(e.GetIndex(), command)
		if err == nil {
			err = b.Check()
		}
		if err != nil {
			panic(err)
		}
		if refused != clusterstate.Taken {
			c.edge.Mode(fmt.Sprintf("command %d refused: %s", e.GetIndex(), refused))
		}
	}
	c.hold(b)
	if !c.leads {
		return
	}
	for _, p := range b.Processes() { // they would hear of it with their next ask: what is agreed on is rare, and to be acted on soon
		if !p.Out && slices.Index(c.who.Stewards, p.Name) < 0 {
			c.say(p.Name, codec.Word, nil, 0, b.Version(), c.written(), 0, 0)
		}
	}
}

// cut takes what is old out of the log, and writes the book in its place.
func (c *Council) cut() {
	v := c.book.Version()
	if v < c.since+compactAt {
		return
	}
	text := c.book.Snapshot()
	if len(text) > mostBook {
		return // it can't be carried: the log stays
	}
	snap, err := c.disk.CreateSnapshot(v, c.conf, text)
	if err != nil {
		return
	}
	whole, err := proto.Marshal(snap)
	if err != nil {
		return
	}
	if err := c.edge.Save(nil, 0, nil, whole, v); err != nil {
		c.halt("can't write: " + err.Error())
		return
	}
	c.Figures.Writes++
	c.since = v
	_ = c.disk.Compact(v - keep)
}

// quiet keeps the engine's lines out of the log; what must not happen still panics.
type quiet struct{}

func (quiet) Debug(...any)            {}
func (quiet) Debugf(string, ...any)   {}
func (quiet) Error(...any)            {}
func (quiet) Errorf(string, ...any)   {}
func (quiet) Info(...any)             {}
func (quiet) Infof(string, ...any)    {}
func (quiet) Warning(...any)          {}
func (quiet) Warningf(string, ...any) {}
func (quiet) Fatal(v ...any)          { panic(fmt.Sprint(v...)) }
func (quiet) Fatalf(f string, v ...any) {
	panic(fmt.Sprintf(f, v...))
}
func (quiet) Panic(v ...any)            { panic(fmt.Sprint(v...)) }
func (quiet) Panicf(f string, v ...any) { panic(fmt.Sprintf(f, v...)) }
