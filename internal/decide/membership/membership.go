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
	"math"
	"math/rand/v2"

	"ravenpond/internal/decide/fragment"
	"ravenpond/internal/decide/gossip"
	"ravenpond/internal/decide/reachability"
	"ravenpond/internal/decide/slowstart"
	"ravenpond/internal/timers"
)

// Times in milliseconds, unless another unit is given.
const (
	period              = 200  // between two probes
	ackTimeout          = 80   // time-out of a probe's ack before indirect probes are sent
	indirectProberCount = 3    // members that are asked for an indirect probe
	maxLocalHealth      = 8    // limit of the local health score, by which time-outs are multiplied
	suspicionPeriods    = 3    // least duration of a suspicion in periods, times the logarithm of the number of members
	minLogFactor        = 1.34 // least value of that logarithm
	maxSuspicionFactor  = 6    // factor of a suspicion's duration while nobody else suspects
	maxConfirmations    = 3    // further accusers that shorten a suspicion to its least duration
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

// Effects executes what the detector decides.
type Effects interface {
	// Send sends a datagram, which may be lost.
	Send(address string, datagram []byte)
	// OnMemberChanged reports a member whose state or incarnation has changed.
	OnMemberChanged(m Member, was State)
	// OnNameConflict reports that another process at an address uses this one's name.
	OnNameConflict(address string)
	// LastNodeContact returns the incarnation of a node that this process hears and when it was last heard, ms; false if it does not hear it.
	LastNodeContact(node uint32) (life uint64, heard float64, ok bool)
}

// Config identifies this process and the members that it contacts first.
type Config struct {
	Site, Name, Address string
	Incarnation         uint64 // incarnation, higher than that of any earlier start; raised if others know a higher one
	Key                 []byte // secret key of the site's members
	Seeds               []string
	Place               int     // index among the processes that share the slow-start budget, from 0
	Places              int     // number of places in the site file; 0: nothing is shared
	SlowStartWindow     float64 // of the slow-start budget, ms
	MaxOpenTime         float64 // longest time that an allocation is open and uses leased quota, ms; 0: no quota is leased
	Faults              Faults
	Seed                uint64 // of the random choices
}

// Faults injects faults for tests that must detect them. The zero value injects none.
type Faults struct {
	NoRefutation      bool // it does not refute suspicions
	SameVersion       bool // it refutes suspicions without a higher version
	AcceptStale       bool // older updates are accepted
	AcceptReplays     bool // replayed datagrams of any incarnation are accepted
	IgnoreLocalHealth bool // it never lowers its local health
	GrowShares        bool // shares of dead members are taken at once
}

type timerKind uint8

const (
	timerProbe     timerKind = iota // the next probe
	timerAck                        // the ack of the current probe
	timerSuspicion                  // the end of a suspicion, by member
	timerNack                       // the ack of an indirect probe for another member, by number
	timerLateAck                    // the end of waiting for a late ack, by number
	timerContact                    // contact of a dead or unknown member
	timerRemoval                    // removal of a member that is long gone
)

// Detector is one process's failure detector. It is not safe for concurrent use.
type Detector struct {
	effects Effects
	config  Config
	rng     *rand.Rand
	now     float64
	timers  timers.Heap[timerKind]

	version      uint64
	leaving      bool
	nameConflict bool
	members      map[string]*member
	byIndex      map[uint64]*member
	lastIndex    uint64
	names        []string // of all other members, sorted
	digest       uint64   // digest of the full state
	updates      []*member
	self         *member // this process
	probeOrder   []string
	probeIndex   int

	sequence         uint64 // last number of a probe, page, hello or message
	probe            probe
	indirectProbes   map[uint64]indirectProbe
	lateProbes       map[uint64]lateProbe
	hellos           map[string]uint64 // number of the last hello to an address
	contactIndex     int
	deadCount        int
	lastDeathAt      float64 // time of the last death, or of the start
	localHealth      int
	resumedAt        float64 // when the process last resumed from a pause
	lastSyncAt       float64
	hellosInWindow   float64 // hellos received within the present second
	helloWindowStart float64

	header      header          // of the datagram that is being read
	syncedNames map[string]bool // names in the page that is being read for which this process holds nothing newer

	carrier      Carrier // nil: none
	stateVersion uint64  // version of the cluster state that this process holds
	reassembler  fragment.Reassembler

	nodeGossip       gossip.Store
	nodeReachability reachability.Tracker
	slowStart        *slowstart.Holder // nil: nothing is shared
	quota            *slowstart.Holder // nil: nothing is lent

	// Stats are totals since the start.
	Stats Stats
}

// Stats counts what a detector did.
type Stats struct {
	Sent, Bytes, Got, Foreign, Malformed, Stale   uint64
	Probes, MissedProbes, Suspicions, Refutations uint64
	Deaths, Pauses, Syncs, Pages                  uint64
}

// New returns a detector without members, started at a time in ms.
func New(effects Effects, now float64, config Config) *Detector {
	if config.Incarnation == 0 {
		config.Incarnation = 1
	}
	d := &Detector{
		effects:        effects,
		config:         config,
		rng:            rand.New(rand.NewPCG(config.Seed, 0x3e3b)),
		now:            now,
		members:        map[string]*member{},
		byIndex:        map[uint64]*member{},
		indirectProbes: map[uint64]indirectProbe{},
		lateProbes:     map[uint64]lateProbe{},
		hellos:         map[string]uint64{},
		lastDeathAt:    now,
		lastSyncAt:     math.Inf(-1),
		resumedAt:      math.Inf(-1),
	}
	d.startLeases()
	d.self = &member{Member: Member{Name: config.Name, Address: config.Address, State: Alive, Since: now, By: config.Name}}
	d.updates = append(d.updates, d.self)
	d.digest ^= d.self.digest()
	d.announceSelf()
	d.timers.Set(now+period*d.rng.Float64(), timerProbe, 0)
	d.timers.Set(now, timerContact, 0)
	return d
}

// startLeases makes the holders of leases on the slow-start limit and on the quota, if these are shared.
func (d *Detector) startLeases() {
	c := &d.config
	if c.Places <= 0 || c.Places > maxPlaces {
		return
	}
	lease := slowstart.Config{
		Places:        c.Places,
		LeaseDuration: slowstart.MinLeaseDuration(c.Places, period),
		Window:        c.SlowStartWindow,
		ProbeInterval: 2 * period * float64(c.Places),
	}
	d.slowStart = slowstart.New(d.now, lease, c.Place)
	if c.MaxOpenTime > 0 {
		lease.Window = c.MaxOpenTime
		d.quota = slowstart.New(d.now, lease, c.Place)
	}
}

// announceSelf updates this process's own version and queues the update.
func (d *Detector) announceSelf() {
	d.setVersion(d.self, d.config.Incarnation, d.version)
	d.queueUpdate(d.self)
}

// Incarnation returns this process's incarnation.
func (d *Detector) Incarnation() uint64 { return d.config.Incarnation }

// Health returns the local health score: 0 is healthy, 8 the worst.
func (d *Detector) Health() int { return d.localHealth }

// HasNameConflict reports whether another process with a later incarnation uses this one's name. This process then takes no part any more.
func (d *Detector) HasNameConflict() bool { return d.nameConflict }

// Next returns the latest time in ms at which Tick must be called.
func (d *Detector) Next() float64 {
	at, _ := d.timers.First() // a probe is always due
	return at
}

// Tick executes what is due. A late call tells the detector that the process was paused.
func (d *Detector) Tick(now float64) {
	d.advance(now)
	for {
		timer, ok := d.timers.Next(d.now)
		if !ok {
			return
		}
		d.onTimer(timer.Kind, timer.Key)
	}
}

// onTimer executes what a timer was set for.
func (d *Detector) onTimer(kind timerKind, key uint64) {
	switch kind {
	case timerProbe:
		d.startProbe()
	case timerAck:
		if key == d.probe.number && d.probe.outstanding && !d.probe.answered {
			d.probeIndirectly()
		}
	case timerSuspicion:
		d.onSuspicionTimeout(d.byIndex[key])
	case timerNack:
		d.sendNack(key)
	case timerLateAck:
		d.onLateTimeout(key)
	case timerContact:
		d.sendNextHello()
	case timerRemoval:
		d.onRemovalTimer(d.byIndex[key])
	}
}

// advance sets the clock and detects a pause of the process: a timer that is long overdue. Datagrams that arrived meanwhile are unread and
// outdated, so nobody is accused for them and suspicions start again.
func (d *Detector) advance(now float64) {
	d.now = max(d.now, now)
	first, _ := d.timers.First()
	if d.now-first <= pauseThreshold || d.now-d.resumedAt <= pauseThreshold || d.config.Faults.IgnoreLocalHealth {
		return
	}
	d.resumedAt = d.now
	d.Stats.Pauses++
	d.localHealth = min(maxLocalHealth, d.localHealth+2)
	d.probe.outstanding = false
	for _, n := range d.names {
		if m := d.members[n]; m.State == Suspect {
			m.suspectedAt = d.now
		}
	}
}
