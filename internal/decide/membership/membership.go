// Package membership implements the failure detector among a site's schedulers. Its inputs are datagrams and the time, its outputs
// datagrams and membership changes. It follows the SWIM and Lifeguard papers; docs/design/members.md compares the alternatives and derives
// the limits.
//
// Each process probes one member per period, in an order that is shuffled in each round. A member that does not answer is probed
// indirectly through a few other members and then suspected; it refutes the suspicion by announcing a higher version of itself. The
// time-out of a suspicion starts long and shrinks with each further process that suspects the member independently. A process whose own
// timers were late, or whose indirect probers do not reply, first assumes that it is at fault itself: its probes wait longer, and after a
// pause it suspects nobody for the outstanding probe and restarts all suspicions. Updates are piggybacked on probes and acks, a limited
// number of times each; a process whose digest differs from a peer's synchronizes its full state with the peer. Dead members are contacted
// at growing intervals until they are removed, so that the two sides of a partition find each other after it heals.
//
// The package tolerates lost, late, duplicate and replayed datagrams, one-way partitions, paused processes, reused names, and datagrams
// of other sites. The reported states are advisory: nothing that must happen at most once may depend on them alone.
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

// Times are in milliseconds; the other constants are counts and factors.
const (
	period              = 200         // interval between two probes
	ackTimeout          = 80          // time-out of a direct probe, after which indirect probes are requested
	indirectProberCount = 3           // number of members that are asked for an indirect probe
	maxLocalHealth      = 8           // worst local health score; time-outs are multiplied by the score plus 1
	suspicionPeriods    = 3           // shortest suspicion in periods, times the decimal logarithm of the number of members
	minLogFactor        = 1.34        // lower limit of that logarithm
	maxSuspicionFactor  = 6           // duration of a suspicion without confirmations, relative to the shortest one
	maxConfirmations    = 3           // further processes that have to suspect a member for the shortest suspicion
	retransmitFactor    = 3           // transmissions of an update, times the binary logarithm of the number of members
	syncInterval        = 1000        // shortest interval between two synchronizations of the full state
	maxSyncPages        = 128         // pages of one synchronization
	contactMinInterval  = 500         // interval between two hellos soon after a death
	contactMaxInterval  = 4000        // upper limit of that interval until contactSlowAfter
	contactSlowAfter    = 600e3       // time since the last death after which contactSlowInterval applies
	contactSlowInterval = 30000       // interval between two hellos long after the last death
	pauseThreshold      = 250         // lateness of a timer that indicates a pause of the process
	maxHellosPerSecond  = 64          // limit of the hellos that are answered per second
	maxMembers          = 4096        // limit of the number of members
	lagFactor           = 1.5         // wait for the ack of a slow member, relative to its lag
	minLateWait         = 3000        // shortest wait for a late ack
	lagDecay            = 0.8         // fraction of the lag that remains after each ack in time
	removeAfter         = 24 * 3600e3 // time after which a dead or left member is removed
	maxPlaces           = 4096        // limit of Config.Places: a datagram has to hold the set of places and updates too
	leaveNotices        = 8           // number of members that a leaving process notifies directly
)

// Effects executes the detector's decisions.
type Effects interface {
	// Send sends a datagram without a guarantee of delivery.
	Send(address string, datagram []byte)
	// OnMemberChanged reports a change of a member's state, and the previous state.
	OnMemberChanged(m Member, previous State)
	// OnNameConflict reports that another process, at the given address, uses this process's name and takes precedence.
	OnNameConflict(address string)
	// LastNodeContact returns the incarnation of a node and the time in ms of the last contact with it, or false if this process has no
	// contact with the node.
	LastNodeContact(node uint32) (incarnation uint64, lastContact float64, ok bool)
}

// Config identifies this process and the members that it contacts first.
type Config struct {
	Site, Name, Address string
	Incarnation         uint64   // higher than at any earlier start; the detector raises it if other members know a higher one
	Key                 []byte   // secret key of the site's members
	Seeds               []string // addresses that are contacted first
	Place               int      // index of this process among those that share the slow-start limit, from 0
	Places              int      // number of places in the site file; 0: no leases are held
	SlowStartWindow     float64  // window of the slow-start limit, ms
	MaxOpenTime         float64  // longest time for which an open allocation uses leased quota, ms; 0: no quota is leased
	Faults              Faults
	Seed                uint64 // seed of the random choices
}

// Faults injects faults for tests that must detect them. The zero value injects none.
type Faults struct {
	NoRefutation      bool // suspicions of this process are not refuted
	SameVersion       bool // suspicions are refuted without a higher version
	AcceptStale       bool // updates with an older incarnation or version are accepted
	AcceptReplays     bool // replayed datagrams of any incarnation are accepted
	IgnoreLocalHealth bool // pauses of the process are not detected
	GrowShares        bool // the number of sharers follows the alive members instead of the leases
}

// timerKind tells what a timer is set for. The timer's key depends on the kind.
type timerKind uint8

const (
	timerProbe     timerKind = iota // start of the next probe
	timerAck                        // time-out of the current probe's ack; the key is the probe's number
	timerSuspicion                  // end of a suspicion; the key is the member's index
	timerNack                       // time-out of a probe on behalf of another member; the key is the probe's number
	timerLateAck                    // time-out of a late ack; the key is the probe's number
	timerContact                    // hello to a dead member or an unknown seed
	timerRemoval                    // removal of a dead or left member; the key is the member's index
)

// Detector is the failure detector of one process. It is not safe for concurrent use.
type Detector struct {
	effects Effects
	config  Config
	rng     *rand.Rand
	now     float64 // ms
	timers  timers.Heap[timerKind]

	version      uint64 // version of this process within its incarnation
	leaving      bool
	nameConflict bool               // another process uses this one's name and takes precedence
	members      map[string]*member // other members by name
	byIndex      map[uint64]*member // the same by index, the key of their timers
	lastIndex    uint64
	names        []string  // names of all other members, sorted
	digest       uint64    // digest of the membership state
	updates      []*member // members with a queued update
	self         *member   // this process
	probeOrder   []string  // names of the members in this probe round
	probeIndex   int       // position in probeOrder of the next probe

	sequence         uint64 // number of the last probe, page, hello or message
	probe            probe
	indirectProbes   map[uint64]indirectProbe // by number of the probe
	lateProbes       map[uint64]lateProbe     // by number of the probe
	hellos           map[string]uint64        // number of the unanswered hello to an address
	contactIndex     int                      // counts hellos, to take the addresses in turn
	deadCount        int                      // number of dead and left members
	lastDeathAt      float64                  // time of the last death, or of the start, ms
	localHealth      int                      // local health score; 0: healthy
	resumedAt        float64                  // time at which the process last resumed from a pause, ms
	lastSyncAt       float64                  // ms
	hellosInWindow   float64                  // hellos received within the current second
	helloWindowStart float64                  // ms

	header      header          // parts of the datagram that is being decoded
	syncedNames map[string]bool // by name in the page that is being decoded: whether the page is at least as recent as this process; nil: no page

	messageHandler MessageHandler // nil: messages are dropped
	stateVersion   uint64         // version of the cluster state that this process holds
	reassembler    fragment.Reassembler

	nodeGossip       gossip.Store
	nodeReachability reachability.Tracker
	slowStart        *slowstart.Holder // leases on the slow-start limit; nil: not shared
	quota            *slowstart.Holder // leases on quota; nil: not shared

	// Stats holds the counters since the start.
	Stats Stats
}

// Stats holds a detector's counters. Foreign datagrams have no valid seal, stale ones belong to an earlier incarnation or are replays.
// members.json holds the counters in the order of the fields. The JSON keys are an interface.
type Stats struct {
	Sent, Bytes   uint64
	Received      uint64 `json:"Got"`
	Foreign       uint64
	Malformed     uint64 `json:"Bad"`
	Stale, Probes uint64
	MissedProbes  uint64 `json:"Missed"`
	Suspicions    uint64
	Refutations   uint64 `json:"Refuted"`
	Deaths        uint64
	Pauses        uint64 `json:"Stalls"`
	Syncs, Pages  uint64
}

// New returns a detector that knows no other members and starts at the given time in ms.
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

// startLeases creates the lease holders for the slow-start limit and for quota if these are shared.
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

// announceSelf applies the current incarnation and version to this process's entry and queues the update for gossip.
func (d *Detector) announceSelf() {
	d.setVersion(d.self, d.config.Incarnation, d.version)
	d.queueUpdate(d.self)
}

// Incarnation returns this process's incarnation.
func (d *Detector) Incarnation() uint64 { return d.config.Incarnation }

// Health returns the local health score, from 0 (healthy) to 8.
func (d *Detector) Health() int { return d.localHealth }

// HasNameConflict reports whether another process uses this one's name and takes precedence. This process then holds no leases and sends no
// messages.
func (d *Detector) HasNameConflict() bool { return d.nameConflict }

// Next returns the time in ms by which Tick must be called.
func (d *Detector) Next() float64 {
	at, _ := d.timers.First() // there always is a timer for the next probe
	return at
}

// Tick handles all expired timers. From a late call the detector concludes that the process was paused.
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

// onTimer handles an expired timer.
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

// advance sets the clock and detects a pause of the process by a timer that is overdue by more than pauseThreshold. Datagrams that arrived
// during the pause have not been read and are outdated, so the outstanding probe is dropped and all suspicions restart.
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
	for _, name := range d.names {
		if m := d.members[name]; m.State == Suspect {
			m.suspectedAt = d.now
		}
	}
}
