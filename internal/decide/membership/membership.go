// Package membership is the failure detector among a site's schedulers. Datagrams and time go in; datagrams and membership changes come
// out. It follows the SWIM and Lifeguard papers; docs/design/members.md compares the alternatives and derives the limits.
//
// Each process probes one member per period, in an order that is shuffled in each round. A member that does not answer is probed
// indirectly through a few others and then suspected; it refutes the suspicion by a higher version of itself. The time-out of a
// suspicion starts long and shrinks with each further process that suspects independently. A process that was late itself, or whose
// helpers are silent, first assumes that it is at fault: its probes wait longer, and after a pause it accuses nobody. Updates are
// piggybacked on probes and acks, a limited number of times each; a process whose digest differs from a peer's synchronizes its full
// state with the peer. Dead members are contacted for ever at growing intervals, so that two halves of a partition find each other.
//
// The package tolerates lost, late, duplicate and replayed datagrams, one-way partitions, paused processes, reused names, and datagrams
// of other sites. Its verdicts are advisory: nothing that must happen at most once may rest on them alone.
package membership

import (
	"cmp"
	"math"
	"math/rand/v2"
	"slices"

	"ravenpond/internal/decide/fragment"
	"ravenpond/internal/decide/gossip"
	"ravenpond/internal/decide/reachability"
	"ravenpond/internal/decide/slowstart"
	codec "ravenpond/internal/proto/members"
	"ravenpond/internal/timers"
)

// Period is the time between two probes of a healthy process, in ms.
const Period = period

// Times in milliseconds, unless another unit is given.
const (
	period              = 200  // between two probes
	ackTimeout          = 80   // time-out of a probe's ack before indirect probes are sent
	helperCount         = 3    // members that are asked for an indirect probe
	maxLocalHealth      = 8    // limit of the local health score, by which time-outs are multiplied
	suspicionPeriods    = 3    // least duration of a suspicion in periods, times the logarithm of the number of members
	minLogFactor        = 1.34 // least value of that logarithm
	maxSuspicionFactor  = 6    // factor of a suspicion's duration while nobody else suspects
	maxAccusers         = 3    // further accusers that shorten a suspicion to its least duration
	retransmitFactor    = 3    // transmissions of an update, times the logarithm of the number of members
	syncInterval        = 1000 // between two synchronizations of the full state
	maxSyncPages        = 128  // of one synchronization
	contactMinInterval  = 500  // between two contacts of dead members, soon after a death
	contactMaxInterval  = 4000 // the same, later
	contactSlowAfter    = 600e3
	contactSlowInterval = 30000 // between two contacts after that time
	pauseThreshold      = 250   // lateness of a timer that indicates a pause of the process
	maxHellosPerSecond  = 64    // hellos that are answered per second
	maxMembers          = 4096  // limit of the number of members
	lagFactor           = 1.5   // factor of a slow member's lag that its ack is waited for
	minLateWait         = 3000  // least time that a late ack is waited for
	lagDecay            = 0.8   // part of the lag that remains after each ack in time
	removeAfter         = 24 * 3600e3
	maxPlaces           = 4096 // limit of the places that share: their set has to fit beside the updates
	leaveNotices        = 8    // members that are told at once that a process leaves
)

// State is the state of a member.
type State uint8

// States, in the order of their precedence at one version.
const (
	Alive   State = codec.Alive
	Suspect State = codec.Suspect
	Dead    State = codec.Dead
	Left    State = codec.Left
)

func (s State) String() string {
	return [...]string{"unknown", "alive", "suspect", "dead", "left"}[min(s, 5)%5]
}

// Member is what this process knows of a member.
type Member struct {
	Name, Address string
	Life, Version uint64
	State         State
	Since         float64 // when the state was entered, ms
	By            string  // who reported the state
	Heard         float64 // when its last own datagram arrived, ms; 0: never
}

// Effects executes what the detector decides.
type Effects interface {
	// Send sends a datagram, which may be lost.
	Send(address string, datagram []byte)
	// Changed reports a member whose state or incarnation has changed.
	Changed(m Member, was State)
	// Taken reports that another process at an address uses this one's name.
	Taken(address string)
	// Hears returns the incarnation of a node that this process hears and when it was last heard, ms; false if it does not hear it.
	Hears(node uint32) (life uint64, heard float64, ok bool)
}

// Carrier receives messages that other parts of the program send over the members' datagrams.
type Carrier interface {
	// Carried delivers a message. The receiver owns its body.
	Carried(from string, body []byte)
	// Ahead reports a member that holds a later version of the cluster state than this process.
	Ahead(from string, version uint64)
}

// Config identifies this process and the members that it contacts first.
type Config struct {
	Site, Name, Address string
	Life                uint64 // incarnation, higher than that of any earlier start; raised if others know a higher one
	Key                 []byte // secret key of the site's members
	Seeds               []string
	Place               int     // index among the processes that share the slow-start budget, from 0
	Places              int     // number of places in the site file; 0: nothing is shared
	Window              float64 // of the slow-start budget, ms
	Open                float64 // longest time that an allocation is open and uses leased quota, ms; 0: no quota is leased
	Faults              Faults
	Seed                uint64 // of the random choices
}

// Faults injects faults for tests that must detect them. The zero value injects none.
type Faults struct {
	Silent   bool // it does not refute suspicions
	Same     bool // it refutes suspicions without a higher version
	Stale    bool // older updates are accepted
	Replayed bool // replayed datagrams of any incarnation are accepted
	Healthy  bool // it never lowers its local health
	Grows    bool // shares of dead members are taken at once
}

type due uint8

const (
	dueProbe     due = iota // the next probe
	dueAck                  // the ack of the current probe
	dueSuspicion            // the end of a suspicion, by member
	dueNack                 // the ack of an indirect probe for another member, by number
	dueLate                 // the end of waiting for a late ack, by number
	dueContact              // contact of a dead or unknown member
	dueRemoval              // removal of a member that is long gone
)

// member is a member with the detector's bookkeeping.
type member struct {
	Member
	index           uint64
	highestCount    uint64 // highest count received from it
	receivedMask    uint64 // which of the 64 counts up to it were received
	sentCount       uint64 // count of datagrams sent to it
	suspectAt       float64
	accusers        map[string]bool
	fromDeathReport bool    // the suspicion began with a report of its death, of which it may not know yet
	place           int     // its place, from 1; 0: unknown
	transmissions   int     // of its update so far; -1: no update is queued
	lag             float64 // decaying latency of its late acks, ms
}

// indirectProbe is a probe made for another member.
type indirectProbe struct {
	asker, target string
	number        uint64 // number of the asker's probe
}

// lateProbe is a probe without an ack in time.
type lateProbe struct {
	name string
	sent float64
}

// Detector is one process's failure detector. It is not safe for concurrent use.
type Detector struct {
	effects Effects
	config  Config
	rng     *rand.Rand
	now     float64
	timers  timers.Heap[due]

	version    uint64
	leaving    bool
	taken      bool
	members    map[string]*member
	byIndex    map[uint64]*member
	lastIndex  uint64
	names      []string // of all other members, sorted
	digest     uint64   // digest of the full state
	updates    []*member
	self       *member // this process
	probeOrder []string
	probeIndex int

	sequence uint64 // last number of a probe, page, hello or message
	probe    struct {
		name     string
		number   uint64
		sent     float64
		asked    int
		nacks    int
		answered bool
		out      bool
	}
	indirectProbes map[uint64]indirectProbe
	lateProbes     map[uint64]lateProbe
	hellos         map[string]uint64 // number of the last hello to an address
	contactIndex   int
	deadCount      int
	lastDeathAt    float64 // time of the last death, or of the start
	localHealth    int
	resumedAt      float64 // when the process last resumed from a pause
	lastSyncAt     float64
	recentHellos   float64 // hellos received within the present second
	helloWindowAt  float64

	header struct {
		place        int // of the sender, from 1; 0: none
		given, lent  bool
		counted      []byte
		lentCounted  []byte
		silent       []uint32 // nodes that the sender can't reach and asks for
		m            *member
		kind         uint32
		number, view uint64
		target       string
		after, until string
	}
	syncedNames map[string]bool // names in the page that is being read for which this process holds nothing newer

	carrier      Carrier // nil: none
	stateVersion uint64  // version of the cluster state that this process holds
	reassembler  fragment.Whole

	nodeGossip       gossip.Board
	nodeReachability reachability.Board
	slowStart        *slowstart.Holder // nil: nothing is shared
	quota            *slowstart.Holder // nil: nothing is lent

	// Stats are totals since the start.
	Stats Stats
}

// Stats counts what a detector did.
type Stats struct {
	Sent, Bytes, Got, Foreign, Bad, Stale uint64
	Probes, Missed, Suspicions, Refuted   uint64
	Deaths, Stalls, Syncs, Pages          uint64
}

// New returns a detector without members, started at a time in ms.
func New(edge Effects, now float64, who Config) *Detector {
	d := &Detector{effects: edge, config: who, rng: rand.New(rand.NewPCG(who.Seed, 0x3e3b)), now: now, members: map[string]*member{},
		byIndex: map[uint64]*member{}, indirectProbes: map[uint64]indirectProbe{}, lateProbes: map[uint64]lateProbe{}, hellos: map[string]uint64{}, lastDeathAt: now, lastSyncAt: math.Inf(-1),
		resumedAt: math.Inf(-1)}
	if d.config.Life == 0 {
		d.config.Life = 1
	}
	if who.Places > 0 && who.Places <= maxPlaces {
		lease := slowstart.Config{Places: who.Places, Lease: slowstart.LeaseFor(who.Places, period), Window: who.Window,
			Turn: 2 * period * float64(who.Places)}
		d.slowStart = slowstart.New(now, lease, who.Place)
		if lease.Window = who.Open; who.Open > 0 {
			d.quota = slowstart.New(now, lease, who.Place)
		}
	}
	d.self = &member{Member: Member{Name: who.Name, Address: who.Address, State: Alive, Since: now, By: who.Name}, transmissions: 0}
	d.updates = append(d.updates, d.self)
	d.digest ^= d.self.digest()
	d.announceSelf()
	d.timers.Set(now+period*d.rng.Float64(), dueProbe, 0)
	d.timers.Set(now, dueContact, 0)
	return d
}

// announceSelf updates this process's own version and queues the update.
func (d *Detector) announceSelf() {
	d.setVersion(d.self, d.config.Life, d.version)
	d.queueUpdate(d.self)
}

// setVersion sets a member's incarnation and version, and updates the digest.
func (d *Detector) setVersion(m *member, life, version uint64) {
	d.digest ^= m.digest()
	m.Life, m.Version = life, version
	d.digest ^= m.digest()
}

// Life returns this process's incarnation.
func (d *Detector) Life() uint64 { return d.config.Life }

// Health returns the local health score: 0 is healthy, 8 the worst.
func (d *Detector) Health() int { return d.localHealth }

// Taken reports whether another process with a later incarnation uses this one's name. This process then takes no part any more.
func (d *Detector) Taken() bool { return d.taken }

// All returns all other members, sorted by name.
func (d *Detector) All() []Member {
	all := make([]Member, 0, len(d.names))
	for _, n := range d.names {
		all = append(all, d.members[n].Member)
	}
	return all
}

// Sharers returns how many processes share the slow-start budget at most, or 0 if this one has no lease on a share, and the time in ms
// until which this holds without further replies.
func (d *Detector) Sharers(now float64) (n int, until float64) {
	return d.sharers(d.slowStart, now)
}

// Lent returns how many processes share the leased quota at most, or 0 if this one has no lease on a share, and the time in ms until
// which this holds without further replies.
func (d *Detector) Lent(now float64) (n int, until float64) {
	return d.sharers(d.quota, now)
}

// sharers returns the number of sharers by a lease and the lease's end.
func (d *Detector) sharers(h *slowstart.Holder, now float64) (n int, until float64) {
	if h == nil || d.taken || d.leaving {
		return 0, now
	}
	if d.config.Faults.Grows {
		alive, _, _, _ := d.Count()
		return alive + 1, math.Inf(1)
	}
	return h.Sharers(now), h.Until(now)
}

// NodeLost records that this process no longer hears an incarnation of a node. The others are asked for it.
func (d *Detector) NodeLost(now float64, node uint32, life uint64) {
	d.nodeReachability.Lost(now, node, life)
}

// NodeBack records that this process hears a node again.
func (d *Detector) NodeBack(node uint32) { d.nodeReachability.Back(node) }

// NodeLives reports whether others hear the incarnation of a node that is silent here.
func (d *Detector) NodeLives(now float64, node uint32, life uint64) bool {
	return d.nodeReachability.Lives(now, node, life)
}

// NodesEnded yields each lost node once whose incarnation has ended according to others.
func (d *Detector) NodesEnded(yield func(node uint32, life uint64)) { d.nodeReachability.Ended(yield) }

// List records an answer of this process's node list. Its changes are gossiped.
func (d *Detector) List(now float64, version uint64, each func(yield func(node uint32, ready, gone bool))) {
	d.nodeGossip.Own(now, version, each)
}

// Held returns, sorted, the nodes that are not ready according to others that know a later version of the node list.
func (d *Detector) Held(now float64) []uint32 { return d.nodeGossip.Held(now) }

// Carries sets the receiver of messages.
func (d *Detector) Carries(c Carrier) { d.carrier = c }

// Holds sets the version of the cluster state that this process holds. Each probe carries it.
func (d *Detector) Holds(version uint64) { d.stateVersion = version }

// Carry sends a message to a member in as many datagrams as needed, each of which may be lost. It reports whether the member is known
// and not gone.
func (d *Detector) Carry(now float64, to string, body []byte) bool {
	d.now = max(d.now, now)
	m := d.members[to]
	if m == nil || m.State >= Dead || d.taken {
		return false
	}
	d.sequence++
	parts := fragment.Cut(body, codec.MostPart)
	for i, p := range parts {
		m.sentCount++
		b := codec.Begin(nil, d.config.Site, d.config.Name, d.config.Address, d.config.Life, m.sentCount, m.Life, codec.Carry, d.sequence, "", 0, "", "")
		d.transmit(m.Address, codec.Part(b, i, len(parts), p))
	}
	return len(parts) > 0
}

// Leaves returns how many others grant this process its lease, and how many grants it needs.
func (d *Detector) Leaves(now float64) (has, needs int) {
	if d.slowStart == nil {
		return 0, 0
	}
	return d.slowStart.Leaves(now), d.config.Places / 2
}

// Count returns the number of other members in each state.
func (d *Detector) Count() (alive, suspect, dead, left int) {
	for _, m := range d.members {
		switch m.State {
		case Alive:
			alive++
		case Suspect:
			suspect++
		case Dead:
			dead++
		case Left:
			left++
		}
	}
	return
}

// View returns a digest of the full state, equal in processes whose states are equal.
func (d *Detector) View() uint64 { return d.digest }

// Next returns the latest time in ms at which Tick must be called.
func (d *Detector) Next() float64 {
	at, _ := d.timers.First() // a probe is always due
	return at
}

// Tick executes what is due. A late call tells the detector that the process was paused.
func (d *Detector) Tick(now float64) {
	d.advance(now)
	for {
		b, ok := d.timers.Next(d.now)
		if !ok {
			return
		}
		switch b.What {
		case dueProbe:
			d.startProbe()
		case dueAck:
			if b.Key == d.probe.number && d.probe.out && !d.probe.answered {
				d.probeIndirectly()
			}
		case dueSuspicion:
			if m := d.byIndex[b.Key]; m != nil && m.State == Suspect {
				d.evaluateSuspicion(m)
			}
		case dueNack:
			if h, ok := d.indirectProbes[b.Key]; ok {
				delete(d.indirectProbes, b.Key)
				if asker := d.members[h.asker]; asker != nil {
					d.sendTo(asker, codec.Nack, h.number, "")
				}
			}
		case dueLate:
			if w, ok := d.lateProbes[b.Key]; ok {
				delete(d.lateProbes, b.Key)
				if m := d.members[w.name]; m != nil && m.State == Alive && m.Heard < w.sent {
					d.suspect(m, d.config.Name)
				}
			}
		case dueContact:
			d.contactLost()
		case dueRemoval:
			if m := d.byIndex[b.Key]; m != nil && m.State >= Dead && d.now-m.Since >= removeAfter {
				d.removeMember(m)
			}
		}
	}
}

// advance sets the clock and detects a pause of the process: a timer that is long overdue. Datagrams that arrived meanwhile are unread and
// outdated, so nobody is accused for them and suspicions start again.
func (d *Detector) advance(now float64) {
	d.now = max(d.now, now)
	first, _ := d.timers.First()
	if d.now-first <= pauseThreshold || d.now-d.resumedAt <= pauseThreshold || d.config.Faults.Healthy {
		return
	}
	d.resumedAt = d.now
	d.Stats.Stalls++
	d.localHealth = min(maxLocalHealth, d.localHealth+2)
	d.probe.out = false
	for _, n := range d.names {
		if m := d.members[n]; m.State == Suspect {
			m.suspectAt = d.now
		}
	}
}

// scaled returns a time-out of own probes, multiplied by the local health score.
func (d *Detector) scaled(ms float64) float64 { return ms * float64(1+d.localHealth) }

// startProbe ends the last probe and probes the next member.
func (d *Detector) startProbe() {
	d.timers.Set(d.now+d.scaled(period)*(0.95+0.1*d.rng.Float64()), dueProbe, 0)
	if p := &d.probe; p.out && !p.answered {
		d.Stats.Missed++
		if m := d.members[p.name]; m != nil && m.State <= Suspect {
			d.localHealth = min(maxLocalHealth, d.localHealth+p.asked-p.nacks) // silent helpers: this process may be at fault
			if p.asked == 0 {
				d.localHealth = min(maxLocalHealth, d.localHealth+1)
			}
			if m.lag == 0 {
				d.suspect(m, d.config.Name)
			}
			if len(d.lateProbes) < maxMembers {
				d.lateProbes[p.number] = lateProbe{p.name, p.sent}
				d.timers.Set(p.sent+max(minLateWait, lagFactor*m.lag), dueLate, p.number)
			}
		}
	}
	d.probe.out = false
	m := d.nextProbed()
	if m == nil {
		return
	}
	d.sequence++
	d.Stats.Probes++
	d.probe.name, d.probe.number, d.probe.sent, d.probe.asked, d.probe.nacks = m.Name, d.sequence, d.now, 0, 0
	d.probe.answered, d.probe.out = false, true
	d.sendTo(m, codec.Ping, d.sequence, "")
	d.timers.Set(d.now+d.scaled(ackTimeout), dueAck, d.sequence)
}

// nextProbed returns the next member in the probe order that is not known to be gone, nil if there is none.
func (d *Detector) nextProbed() *member {
	for range len(d.probeOrder) + 1 {
		if d.probeIndex >= len(d.probeOrder) {
			d.probeOrder, d.probeIndex = d.probeOrder[:0], 0
			for _, n := range d.names {
				if m := d.members[n]; m.State <= Suspect {
					d.probeOrder = append(d.probeOrder, n)
				}
			}
			d.rng.Shuffle(len(d.probeOrder), func(i, j int) { d.probeOrder[i], d.probeOrder[j] = d.probeOrder[j], d.probeOrder[i] })
			if len(d.probeOrder) == 0 {
				return nil
			}
		}
		m := d.members[d.probeOrder[d.probeIndex]]
		d.probeIndex++
		if m != nil && m.State <= Suspect {
			return m
		}
	}
	return nil
}

// probeIndirectly asks a few others to probe the member that did not answer.
func (d *Detector) probeIndirectly() {
	target := d.members[d.probe.name]
	if target == nil {
		return
	}
	for _, m := range d.sample(helperCount, func(m *member) bool { return m.State == Alive && m != target }) {
		d.probe.asked++
		d.sendTo(m, codec.Ask, d.probe.number, target.Name)
	}
	d.sendTo(target, codec.Ping, d.probe.number, "") // once more: a single datagram is easily lost
}

// sample returns up to n random members that satisfy a condition.
func (d *Detector) sample(n int, sort func(*member) bool) (all []*member) {
	if len(d.names) == 0 {
		return nil
	}
	const step = 1299709 // a prime above any number of members: visits all in an order unrelated to their names
	start := d.rng.IntN(len(d.names))
	for i := range len(d.names) {
		if m := d.members[d.names[(start+i*step)%len(d.names)]]; sort(m) {
			if all = append(all, m); len(all) == n {
				break
			}
		}
	}
	return all
}

// suspect suspects a member, or adds an accuser to its suspicion.
func (d *Detector) suspect(m *member, by string) {
	if m.State == Suspect {
		d.addAccuser(m, by)
		return
	}
	d.Stats.Suspicions++
	d.setState(m, Suspect, by)
	d.startSuspicion(m, by)
}

// startSuspicion starts the time-out of a suspicion with its first accuser.
func (d *Detector) startSuspicion(m *member, by string) {
	m.suspectAt, m.accusers, m.fromDeathReport = d.now, map[string]bool{by: true}, false
	d.evaluateSuspicion(m)
}

// addAccuser adds an accuser to a suspicion, which shortens it.
func (d *Detector) addAccuser(m *member, by string) {
	if by == m.Name || m.accusers[by] || len(m.accusers) > maxAccusers {
		return
	}
	m.accusers[by], m.By = true, by
	d.queueUpdate(m) // each accuser is gossiped
	d.evaluateSuspicion(m)
}

// evaluateSuspicion declares a suspect dead after its time-out, or sets a timer for the rest of it.
func (d *Detector) evaluateSuspicion(m *member) {
	least, most := d.Bounds()
	lasts := most
	if k := min(maxAccusers, d.presentCount()-1); k < 1 {
		lasts = least
	} else {
		lasts = max(least, most-(most-least)*math.Log(float64(len(m.accusers)))/math.Log(float64(k+1)))
	}
	if at := m.suspectAt + lasts; d.now < at {
		d.timers.Set(at, dueSuspicion, m.index)
		return
	}
	d.Stats.Deaths++
	m.accusers = nil
	d.setState(m, Dead, d.config.Name)
}

// Bounds returns the duration of a suspicion in ms, with enough accusers and with only one.
func (d *Detector) Bounds() (least, most float64) {
	least = suspicionPeriods * period * max(minLogFactor, math.Log10(float64(d.presentCount()+1)))
	return least, least * maxSuspicionFactor
}

// presentCount returns how many others are not known to be gone.
func (d *Detector) presentCount() (n int) { return len(d.members) - d.deadCount }

// setState changes a member's state and queues the update.
func (d *Detector) setState(m *member, to State, by string) {
	was := m.State
	d.digest ^= m.digest()
	if was >= Dead {
		d.deadCount--
	}
	if to >= Dead {
		d.deadCount++
		d.timers.Set(d.now+removeAfter, dueRemoval, m.index)
		if to == Dead {
			d.lastDeathAt = d.now
		}
		if d.slowStart != nil {
			d.slowStart.Gone(m.place - 1)
		}
		if d.quota != nil {
			d.quota.Gone(m.place - 1)
		}
	}
	if to != was {
		m.Since = d.now
	}
	m.State, m.By = to, by
	d.digest ^= m.digest()
	d.queueUpdate(m)
	if to != was {
		d.effects.Changed(m.Member, was)
	}
}

// queueUpdate piggybacks an update of a member on the next datagrams.
func (d *Detector) queueUpdate(m *member) {
	if m.transmissions < 0 {
		d.updates = append(d.updates, m)
	}
	m.transmissions = 0
}

// retransmitLimit returns how often an update is sent.
func (d *Detector) retransmitLimit() int {
	return retransmitFactor * int(math.Ceil(math.Log2(float64(d.presentCount()+2))))
}

// addMember adds a member; nil if there are too many.
func (d *Detector) addMember(name, address string, life, version uint64) *member {
	if len(d.members) >= maxMembers {
		return nil
	}
	d.lastIndex++
	m := &member{Member: Member{Name: name, Address: address, Life: life, Version: version, Since: d.now}, index: d.lastIndex, transmissions: -1}
	d.members[name], d.byIndex[m.index] = m, m
	at, _ := slices.BinarySearch(d.names, name)
	d.names = slices.Insert(d.names, at, name)
	d.digest ^= m.digest()
	if len(d.probeOrder) > 0 { // at a random position of the round
		d.probeOrder = slices.Insert(d.probeOrder, d.probeIndex+d.rng.IntN(len(d.probeOrder)-d.probeIndex+1), name)
	}
	return m
}

// removeMember forgets a member.
func (d *Detector) removeMember(m *member) {
	d.digest ^= m.digest()
	delete(d.members, m.Name)
	delete(d.byIndex, m.index)
	d.deadCount--
	if at, ok := slices.BinarySearch(d.names, m.Name); ok {
		d.names = slices.Delete(d.names, at, at+1)
	}
	d.updates = slices.DeleteFunc(d.updates, func(x *member) bool { return x == m })
}

// digest returns a member's part of the digest: its versions and whether it is gone. Suspicions are transient and left out.
func (m *member) digest() uint64 {
	h := uint64(14695981039346656037)
	mix := func(v uint64) { h = (h ^ v) * 0x9e3779b97f4a7c15; h ^= h >> 29 }
	for i := range len(m.Name) {
		mix(uint64(m.Name[i]))
	}
	mix(m.Life)
	mix(m.Version)
	there := uint64(0)
	if m.State >= Dead {
		there = uint64(m.State)
	}
	mix(there)
	return h
}

// contactLost sends a hello to one dead member or unknown seed after the other, without end.
func (d *Detector) contactLost() {
	gap := min(contactMaxInterval, max(contactMinInterval, (d.now-d.lastDeathAt)/10))
	if d.now-d.lastDeathAt > contactSlowAfter {
		gap = contactSlowInterval
	}
	var strangers []string
	for _, a := range d.config.Seeds {
		if a != d.config.Address && !d.isKnownAddress(a) {
			strangers = append(strangers, a)
		}
	}
	for _, n := range d.names {
		if m := d.members[n]; m.State == Dead {
			strangers = append(strangers, m.Address)
		}
	}
	if len(strangers) > 0 && !d.leaving {
		d.contactIndex++
		d.sendHello(strangers[d.contactIndex%len(strangers)])
	}
	d.timers.Set(d.now+gap*(0.8+0.4*d.rng.Float64()), dueContact, 0)
}

// isKnownAddress reports whether a member at an address is known, dead or alive.
func (d *Detector) isKnownAddress(address string) bool {
	for _, m := range d.members {
		if m.Address == address {
			return true
		}
	}
	return false
}

// sendHello sends a hello to an address.
func (d *Detector) sendHello(address string) {
	d.sequence++
	if len(d.hellos) >= maxMembers {
		clear(d.hellos)
	}
	d.hellos[address] = d.sequence
	d.sendBare(address, 0, codec.Hello, d.sequence, "", d.digest)
}

// Leave announces that this process ends intentionally.
func (d *Detector) Leave(now float64) {
	d.now = max(d.now, now)
	d.leaving = true
	d.version++
	d.digest ^= d.self.digest()
	d.self.State = Left
	d.digest ^= d.self.digest()
	d.announceSelf()
	for _, m := range d.sample(leaveNotices, func(m *member) bool { return m.State <= Suspect }) {
		d.sequence++
		d.sendTo(m, codec.Ping, d.sequence, "")
	}
}

// sendTo sends a datagram with updates to a member. A member that is not alive here gets this update first, so that it can refute it.
func (d *Detector) sendTo(m *member, kind uint32, number uint64, target string) {
	m.sentCount++
	var first *member
	if m.State != Alive {
		first = m
	}
	d.sendWithUpdates(m.Address, m.Life, m.sentCount, kind, number, target, first)
}

// sendWithUpdates sends a datagram with leases, reachability and as many updates as fit.
func (d *Detector) sendWithUpdates(address string, life, count uint64, kind uint32, number uint64, target string, first *member) {
	b := codec.Begin(nil, d.config.Site, d.config.Name, d.config.Address, d.config.Life, count, life, kind, number, target, d.digest, "", "")
	b = codec.Book(b, d.stateVersion)
	switch {
	case d.slowStart == nil || d.leaving || d.taken:
	case kind == codec.Ping:
		b = codec.Lease(b, d.config.Place, false, nil, false, nil)
	case kind == codec.Ack && d.header.kind == codec.Ping && d.header.place > 0: // not an ack that is forwarded for another member
		given, counted := d.slowStart.Asked(d.now, d.header.place-1)
		var lent bool
		var lentCounted slowstart.Set
		if d.quota != nil {
			lent, lentCounted = d.quota.Asked(d.now, d.header.place-1)
		}
		b = codec.Lease(b, d.config.Place, given, counted.Bytes(), lent, lentCounted.Bytes())
	}
	switch {
	case kind == codec.Ping:
		d.nodeReachability.Ask(d.now, func(node uint32) (ok bool) {
			b, ok = codec.Silent(b, node)
			return ok
		})
	case kind == codec.Ack && d.header.kind == codec.Ping:
		for _, node := range d.header.silent {
			if life, heard, ok := d.effects.Hears(node); ok {
				b, _ = codec.Hears(b, node, life, d.now-heard)
			}
		}
	}
	if first != nil {
		b, _ = appendUpdate(b, first)
	}
	slices.SortStableFunc(d.updates, func(x, y *member) int { return cmp.Compare(x.transmissions, y.transmissions) })
	most, kept := d.retransmitLimit(), d.updates[:0]
	full := false
	for _, m := range d.updates {
		if !full && m != first {
			var ok bool
			if b, ok = appendUpdate(b, m); ok {
				m.transmissions++
			} else {
				full = true
			}
		}
		if m.transmissions >= most {
			m.transmissions = -1
		} else {
			kept = append(kept, m)
		}
	}
	clear(d.updates[len(kept):])
	d.updates = kept
	d.nodeGossip.Ride(most, func(node uint32, version uint64, gone bool) (ok bool) {
		b, ok = codec.Word(b, node, version, gone)
		return ok
	})
	d.transmit(address, b)
}

// appendUpdate appends a member's update; false if it does not fit.
func appendUpdate(b []byte, m *member) ([]byte, bool) {
	return codec.News(b, m.Name, m.Address, m.Life, m.Version, uint32(m.State), m.By)
}

// sendBare sends a datagram without count and updates, to a process that may not know this one's incarnation.
func (d *Detector) sendBare(address string, life uint64, kind uint32, number uint64, target string, view uint64) {
	d.transmit(address, codec.Begin(nil, d.config.Site, d.config.Name, d.config.Address, d.config.Life, 0, life, kind, number, target, view, "", ""))
}

// transmit seals and sends a datagram.
func (d *Detector) transmit(address string, b []byte) {
	b = codec.Seal(b, d.config.Key, address)
	d.Stats.Sent++
	d.Stats.Bytes += uint64(len(b))
	d.effects.Send(address, b)
}
