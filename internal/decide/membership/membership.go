// Package membership decides who of a site's schedulers is there: datagrams and time in, datagrams and verdicts out. It follows
// the published SWIM and Lifeguard papers; docs/design/members.md says which ways were weighed and why each bound holds.
//
// Each process probes one other a period, in an order that is shuffled anew each round. One that does not answer is asked
// for through a few others; then it is suspected, which it may refute by a higher version of itself. A suspicion begins
// long and shrinks with each other process that suspects on its own account. A process that was late itself, or whose
// helpers say nothing, takes the fault for its own first: its probes wait longer, and one that stood still accuses nobody.
// News ride on probes and answers, each a few times; who holds another view than a peer exchanges the whole with it. The
// dead are asked again, ever more slowly and for ever, so that two halves find each other.
//
// It guards against lost, late, doubled and replayed datagrams, links that are cut one way, processes that stand still,
// names that come back, and strangers. What it says of others is advice: nothing that may happen once rests on it alone.
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

// Period is the time between two probes of a process that is well, ms.
const Period = period

// Times in milliseconds.
const (
	period     = 200  // between two probes
	reply      = 80   // that a probe's answer may take before others are asked
	helpers    = 3    // who are asked
	sick       = 8    // the most that a process thinks ill of itself; its times grow as many times
	patience   = 3    // periods that a suspicion lasts at least, times the logarithm of the number of members
	few        = 1.34 // which is reckoned with where they are few
	doubtful   = 6    // times as long where nobody else suspects
	agree      = 3    // others who make it as short as it gets
	retell     = 3    // times the logarithm of their number that members are told an item
	syncEach   = 1000 // between two exchanges of all that is held
	mostPages  = 128  // of such an exchange
	askFirst   = 500  // between two calls to one who is dead, soon after its death
	askLast    = 4000 // later
	askOld     = 600e3
	askOldest  = 30000 // and after that
	late       = 250   // by which a process is late that stood still
	mostHello  = 64    // hellos that are answered a second
	mostAll    = 4096  // members at most
	slack      = 1.5   // times its last lag that a slow member's answer is waited for
	slowest    = 3000  // and for so long it is taken for an answer at all
	fade       = 0.8   // part of a lag that is kept at each answer in time
	forget     = 24 * 3600e3
	mostPlaces = 4096 // of which leave is given: whom one counts has to fit beside the news
	farewells  = 8    // members who are told at once that one leaves
)

// State is what is held of a member.
type State uint8

// States, in the order in which they count at one version.
const (
	Alive   State = codec.Alive
	Suspect State = codec.Suspect
	Dead    State = codec.Dead
	Left    State = codec.Left
)

func (s State) String() string {
	return [...]string{"unknown", "alive", "suspect", "dead", "left"}[min(s, 5)%5]
}

// Member is what is held of one.
type Member struct {
	Name, Address string
	Life, Version uint64
	State         State
	Since         float64 // of the state, ms
	By            string  // who says so
	Heard         float64 // its last own word, ms, 0: none
}

// Edge carries out what the detector decides.
type Edge interface {
	// Send hands a datagram to the network, which may lose it.
	Send(address string, datagram []byte)
	// Changed tells of a member whose state or life has changed.
	Changed(m Member, was State)
	// Taken tells that another process goes by this one's name, and where.
	Taken(address string)
	// Hears is what this process hears of a node: in which life, and when last, ms; false if it does not.
	Hears(node uint32) (life uint64, heard float64, ok bool)
}

// Carrier takes messages that others of the program send by this one's datagrams.
type Carrier interface {
	// Carried is a whole message, which is the taker's from then on.
	Carried(from string, body []byte)
	// Ahead is that another holds a later version of the book than this process said it does.
	Ahead(from string, version uint64)
}

// Charter says who this process is, and whom it asks first.
type Charter struct {
	Site, Name, Address string
	Life                uint64 // higher than that of any earlier start; one that is not is raised when others say so
	Key                 []byte // the site's member key
	Seeds               []string
	Place               int     // among all that share what cold nodes bear, from 0
	Places              int     // of the site file; 0: nothing is shared
	Window              float64 // ms in which a node bears what it bears
	Open                float64 // ms that an allocation may be open: what is lent of limits stays in use for so long; 0: nothing is lent
	Plant               Plant
	Seed                uint64 // of the chance by which it chooses
}

// Plant puts faults into a detector, for tests that must find them; the zero value puts none.
type Plant struct {
	Silent   bool // it does not answer for itself
	Same     bool // it answers for itself without a higher version
	Stale    bool // older news are taken
	Replayed bool // what came before is taken again, from any life
	Healthy  bool // it never takes a fault for its own
	Grows    bool // parts of those held for dead are taken at once
}

type due uint8

const (
	dueProbe  due = iota // the next probe
	dueReply             // an answer to the one that is out
	dueJudge             // a suspicion's end, by member
	dueNack              // a ping made for another, by number
	dueLate              // the end of waiting for a slow one's answer, by number
	dueCall              // a call to one who is dead or was never met
	dueForget            // a member that is long gone
)

// member is one with what the detector keeps of it.
type member struct {
	Member
	index     uint64
	high      uint64 // of its counts to this process, and which of the 64 below it came
	came      uint64
	counts    uint64 // of datagrams to it
	suspectAt float64
	accusers  map[string]bool
	hearsay   bool    // the suspicion began with word of its death, of which it may know nothing yet
	place     int     // that it names, counted from 1; 0: none
	told      int     // times that news of it were sent, -1: none are due
	lag       float64 // ms that its answers took which came after their time, fading
}

// helped is a ping made for another.
type helped struct {
	asker, target string
	number        uint64 // of the asker's probe
}

// waits is a probe that was not answered in time.
type waits struct {
	name string
	sent float64
}

// Detector is one process's view of all.
type Detector struct {
	edge  Edge
	who   Charter
	rng   *rand.Rand
	now   float64
	bells timers.Heap[due]

	version uint64
	leaving bool
	taken   bool
	all     map[string]*member
	byIndex map[uint64]*member
	indices uint64
	names   []string // of all others, sorted
	view    uint64   // digest of what is held
	news    []*member
	me      *member // news of this process
	ring    []string
	at      int

	count uint64 // numbers of probes, pages and hellos
	probe struct {
		name     string
		number   uint64
		sent     float64
		asked    int
		nacks    int
		answered bool
		out      bool
	}
	helped  map[uint64]helped
	waits   map[uint64]waits
	hellos  map[string]uint64 // the last hello to an address, by its number
	callAt  int
	dead    int
	lastOff float64 // the last death, or the start
	health  int
	stoodAt float64 // when it woke last from standing still
	syncAt  float64
	greeted float64 // hellos answered lately
	greetAt float64

	head struct {
		place        int // of its sender, counted from 1; 0: none
		given, lent  bool
		counted      []byte
		lentCounted  []byte
		silent       []uint32 // nodes that its sender asks for
		m            *member
		kind         uint32
		number, view uint64
		target       string
		after, until string
	}
	page map[string]bool // names told by the page that is being read, of which nothing newer is held

	carrier Carrier // nil: nothing is carried
	book    uint64  // the version of the book that this process holds
	whole   fragment.Whole

	words gossip.Board
	nodes reachability.Board
	share *slowstart.Holder // nil: nothing is shared
	lent  *slowstart.Holder // nil: nothing is lent

	// Figures, since the start.
	Figures Figures
}

// Figures count what the detector did.
type Figures struct {
	Sent, Bytes, Got, Foreign, Bad, Stale uint64
	Probes, Missed, Suspicions, Refuted   uint64
	Deaths, Stalls, Syncs, Pages          uint64
}

// New begins a detector that knows nobody yet.
func New(edge Edge, now float64, who Charter) *Detector {
	d := &Detector{edge: edge, who: who, rng: rand.New(rand.NewPCG(who.Seed, 0x3e3b)), now: now, all: map[string]*member{},
		byIndex: map[uint64]*member{}, helped: map[uint64]helped{}, waits: map[uint64]waits{}, hellos: map[string]uint64{}, lastOff: now, syncAt: math.Inf(-1),
		stoodAt: math.Inf(-1)}
	if d.who.Life == 0 {
		d.who.Life = 1
	}
	if who.Places > 0 && who.Places <= mostPlaces {
		lease := slowstart.Charter{Places: who.Places, Lease: slowstart.LeaseFor(who.Places, period), Window: who.Window,
			Turn: 2 * period * float64(who.Places)}
		d.share = slowstart.New(now, lease, who.Place)
		if lease.Window = who.Open; who.Open > 0 {
			d.lent = slowstart.New(now, lease, who.Place)
		}
	}
	d.me = &member{Member: Member{Name: who.Name, Address: who.Address, State: Alive, Since: now, By: who.Name}, told: 0}
	d.news = append(d.news, d.me)
	d.view ^= d.me.digest()
	d.renew()
	d.bells.Set(now+period*d.rng.Float64(), dueProbe, 0)
	d.bells.Set(now, dueCall, 0)
	return d
}

// renew takes this process's own number into its news and the digest.
func (d *Detector) renew() {
	d.number(d.me, d.who.Life, d.version)
	d.tell(d.me)
}

// number gives a member another number, in the digest too.
func (d *Detector) number(m *member, life, version uint64) {
	d.view ^= m.digest()
	m.Life, m.Version = life, version
	d.view ^= m.digest()
}

// Life is the life of this process, as the others know it.
func (d *Detector) Life() uint64 { return d.who.Life }

// Health is how ill this process thinks of itself, from 0 to 8.
func (d *Detector) Health() int { return d.health }

// Taken tells whether another process goes by this one's name, with a later life: this one takes part in nothing more.
func (d *Detector) Taken() bool { return d.taken }

// All is what is held of the others, by name.
func (d *Detector) All() []Member {
	all := make([]Member, 0, len(d.names))
	for _, n := range d.names {
		all = append(all, d.all[n].Member)
	}
	return all
}

// Sharers is how many share what a cold node bears, as far as this process has to reckon with, 0 if it takes no part; and
// until when that holds at the latest if nobody says anything more.
func (d *Detector) Sharers(now float64) (n int, until float64) {
	return d.lease(d.share, now)
}

// Lent is how many share what is lent of limits, as far as this process has to reckon with, 0 if it has no lease on it; and until when
// that holds at the latest.
func (d *Detector) Lent(now float64) (n int, until float64) {
	return d.lease(d.lent, now)
}

func (d *Detector) lease(h *slowstart.Holder, now float64) (n int, until float64) {
	if h == nil || d.taken || d.leaving {
		return 0, now
	}
	if d.who.Plant.Grows {
		alive, _, _, _ := d.Count()
		return alive + 1, math.Inf(1)
	}
	return h.Sharers(now), h.Until(now)
}

// NodeLost says that this process hears a node no more, which it knew in such a life: the others are asked for it.
func (d *Detector) NodeLost(now float64, node uint32, life uint64) { d.nodes.Lost(now, node, life) }

// NodeBack says that it hears a node.
func (d *Detector) NodeBack(node uint32) { d.nodes.Back(node) }

// NodeLives tells whether others hear a node that is silent here, in the life in which it was lost.
func (d *Detector) NodeLives(now float64, node uint32, life uint64) bool {
	return d.nodes.Lives(now, node, life)
}

// NodesEnded gives nodes whose life is over in which they were lost here, each once.
func (d *Detector) NodesEnded(yield func(node uint32, life uint64)) { d.nodes.Ended(yield) }

// List tells of an answer of this process's own node list, whose news go to the others.
func (d *Detector) List(now float64, version uint64, each func(yield func(node uint32, ready, gone bool))) {
	d.words.Own(now, version, each)
}

// Held are the nodes that others say are not ready by a later version of the list than this process's, sorted.
func (d *Detector) Held(now float64) []uint32 { return d.words.Held(now) }

// Carries has messages that others send taken by c.
func (d *Detector) Carries(c Carrier) { d.carrier = c }

// Holds says which version of the book this process holds; the others hear of it with each probe.
func (d *Detector) Holds(version uint64) { d.book = version }

// Carry sends a message to another in as many datagrams as it needs, any of which may be lost. It tells whether one by that name
// is known who may hear it.
func (d *Detector) Carry(now float64, to string, body []byte) bool {
	d.now = max(d.now, now)
	m := d.all[to]
	if m == nil || m.State >= Dead || d.taken {
		return false
	}
	d.count++
	parts := fragment.Cut(body, codec.MostPart)
	for i, p := range parts {
		m.counts++
		b := codec.Begin(nil, d.who.Site, d.who.Name, d.who.Address, d.who.Life, m.counts, m.Life, codec.Carry, d.count, "", 0, "", "")
		d.out(m.Address, codec.Part(b, i, len(parts), p))
	}
	return len(parts) > 0
}

// Leaves is how many others give this process leave to take part, and how many it needs.
func (d *Detector) Leaves(now float64) (has, needs int) {
	if d.share == nil {
		return 0, 0
	}
	return d.share.Leaves(now), d.who.Places / 2
}

// Count is how many others are held in each state.
func (d *Detector) Count() (alive, suspect, dead, left int) {
	for _, m := range d.all {
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

// View is a digest of what is held of all, the same at processes that hold the same.
func (d *Detector) View() uint64 { return d.view }

// Next is when Tick is to be called at the latest.
func (d *Detector) Next() float64 {
	at, _ := d.bells.First() // a probe is always due
	return at
}

// Tick does what is due. One that comes late has the process find out that it stood still.
func (d *Detector) Tick(now float64) {
	d.wake(now)
	for {
		b, ok := d.bells.Next(d.now)
		if !ok {
			return
		}
		switch b.What {
		case dueProbe:
			d.nextProbe()
		case dueReply:
			if b.Key == d.probe.number && d.probe.out && !d.probe.answered {
				d.askOthers()
			}
		case dueJudge:
			if m := d.byIndex[b.Key]; m != nil && m.State == Suspect {
				d.judge(m)
			}
		case dueNack:
			if h, ok := d.helped[b.Key]; ok {
				delete(d.helped, b.Key)
				if asker := d.all[h.asker]; asker != nil {
					d.say(asker, codec.Nack, h.number, "")
				}
			}
		case dueLate:
			if w, ok := d.waits[b.Key]; ok {
				delete(d.waits, b.Key)
				if m := d.all[w.name]; m != nil && m.State == Alive && m.Heard < w.sent {
					d.suspect(m, d.who.Name)
				}
			}
		case dueCall:
			d.call()
		case dueForget:
			if m := d.byIndex[b.Key]; m != nil && m.State >= Dead && d.now-m.Since >= forget {
				d.drop(m)
			}
		}
	}
}

// wake takes the time, and finds out whether the process stood still: something was due long ago. What came meanwhile lies
// unread, and is old when it is read, so nobody is accused for it and suspicions begin anew.
func (d *Detector) wake(now float64) {
	d.now = max(d.now, now)
	first, _ := d.bells.First()
	if d.now-first <= late || d.now-d.stoodAt <= late || d.who.Plant.Healthy {
		return
	}
	d.stoodAt = d.now
	d.Figures.Stalls++
	d.health = min(sick, d.health+2)
	d.probe.out = false
	for _, n := range d.names {
		if m := d.all[n]; m.State == Suspect {
			m.suspectAt = d.now
		}
	}
}

// slow is a time of this process's own probes: longer, the less it trusts itself.
func (d *Detector) slow(ms float64) float64 { return ms * float64(1+d.health) }

// nextProbe ends the last probe and begins one of the next member in the ring.
func (d *Detector) nextProbe() {
	d.bells.Set(d.now+d.slow(period)*(0.95+0.1*d.rng.Float64()), dueProbe, 0)
	if p := &d.probe; p.out && !p.answered {
		d.Figures.Missed++
		if m := d.all[p.name]; m != nil && m.State <= Suspect {
			d.health = min(sick, d.health+p.asked-p.nacks) // helpers say nothing: it may be me
			if p.asked == 0 {
				d.health = min(sick, d.health+1)
			}
			if m.lag == 0 {
				d.suspect(m, d.who.Name)
			}
			if len(d.waits) < mostAll {
				d.waits[p.number] = waits{p.name, p.sent}
				d.bells.Set(p.sent+max(slowest, slack*m.lag), dueLate, p.number)
			}
		}
	}
	d.probe.out = false
	m := d.pick()
	if m == nil {
		return
	}
	d.count++
	d.Figures.Probes++
	d.probe.name, d.probe.number, d.probe.sent, d.probe.asked, d.probe.nacks = m.Name, d.count, d.now, 0, 0
	d.probe.answered, d.probe.out = false, true
	d.say(m, codec.Ping, d.count, "")
	d.bells.Set(d.now+d.slow(reply), dueReply, d.count)
}

// pick is the next member of the ring that is not known to be gone.
func (d *Detector) pick() *member {
	for range len(d.ring) + 1 {
		if d.at >= len(d.ring) {
			d.ring, d.at = d.ring[:0], 0
			for _, n := range d.names {
				if m := d.all[n]; m.State <= Suspect {
					d.ring = append(d.ring, n)
				}
			}
			d.rng.Shuffle(len(d.ring), func(i, j int) { d.ring[i], d.ring[j] = d.ring[j], d.ring[i] })
			if len(d.ring) == 0 {
				return nil
			}
		}
		m := d.all[d.ring[d.at]]
		d.at++
		if m != nil && m.State <= Suspect {
			return m
		}
	}
	return nil
}

// askOthers has a few others ping the member that did not answer.
func (d *Detector) askOthers() {
	target := d.all[d.probe.name]
	if target == nil {
		return
	}
	for _, m := range d.some(helpers, func(m *member) bool { return m.State == Alive && m != target }) {
		d.probe.asked++
		d.say(m, codec.Ask, d.probe.number, target.Name)
	}
	d.say(target, codec.Ping, d.probe.number, "") // and once more: one datagram is easily lost
}

// some is up to n members of a sort, drawn by chance.
func (d *Detector) some(n int, sort func(*member) bool) (all []*member) {
	if len(d.names) == 0 {
		return nil
	}
	const step = 1299709 // a prime beyond any number of members: a walk over all, in an order that hides that of their names
	start := d.rng.IntN(len(d.names))
	for i := range len(d.names) {
		if m := d.all[d.names[(start+i*step)%len(d.names)]]; sort(m) {
			if all = append(all, m); len(all) == n {
				break
			}
		}
	}
	return all
}

// suspect takes a member for suspect on somebody's word.
func (d *Detector) suspect(m *member, by string) {
	if m.State == Suspect {
		d.accuse(m, by)
		return
	}
	d.Figures.Suspicions++
	d.set(m, Suspect, by)
	d.accused(m, by)
}

// accused begins a suspicion with its first accuser.
func (d *Detector) accused(m *member, by string) {
	m.suspectAt, m.accusers, m.hearsay = d.now, map[string]bool{by: true}, false
	d.judge(m)
}

// accuse adds an accuser to a suspicion, which ends the sooner.
func (d *Detector) accuse(m *member, by string) {
	if by == m.Name || m.accusers[by] || len(m.accusers) > agree {
		return
	}
	m.accusers[by], m.By = true, by
	d.tell(m) // others hear of each accuser
	d.judge(m)
}

// judge declares a suspect dead if its time is over, and else comes back when it will be.
func (d *Detector) judge(m *member) {
	least, most := d.Bounds()
	lasts := most
	if k := min(agree, d.living()-1); k < 1 {
		lasts = least
	} else {
		lasts = max(least, most-(most-least)*math.Log(float64(len(m.accusers)))/math.Log(float64(k+1)))
	}
	if at := m.suspectAt + lasts; d.now < at {
		d.bells.Set(at, dueJudge, m.index)
		return
	}
	d.Figures.Deaths++
	m.accusers = nil
	d.set(m, Dead, d.who.Name)
}

// Bounds is how long a suspicion lasts, ms: where enough others share it, and where nobody does.
func (d *Detector) Bounds() (least, most float64) {
	least = patience * period * max(few, math.Log10(float64(d.living()+1)))
	return least, least * doubtful
}

// living is how many others are not known to be gone.
func (d *Detector) living() (n int) { return len(d.all) - d.dead }

// set gives a member another state, and has all hear of it.
func (d *Detector) set(m *member, to State, by string) {
	was := m.State
	d.view ^= m.digest()
	if was >= Dead {
		d.dead--
	}
	if to >= Dead {
		d.dead++
		d.bells.Set(d.now+forget, dueForget, m.index)
		if to == Dead {
			d.lastOff = d.now
		}
		if d.share != nil {
			d.share.Gone(m.place - 1)
		}
		if d.lent != nil {
			d.lent.Gone(m.place - 1)
		}
	}
	if to != was {
		m.Since = d.now
	}
	m.State, m.By = to, by
	d.view ^= m.digest()
	d.tell(m)
	if to != was {
		d.edge.Changed(m.Member, was)
	}
}

// tell has news of a member ride on what is sent.
func (d *Detector) tell(m *member) {
	if m.told < 0 {
		d.news = append(d.news, m)
	}
	m.told = 0
}

// often is how often an item is told.
func (d *Detector) often() int { return retell * int(math.Ceil(math.Log2(float64(d.living()+2)))) }

// add takes a member in.
func (d *Detector) add(name, address string, life, version uint64) *member {
	if len(d.all) >= mostAll {
		return nil
	}
	d.indices++
	m := &member{Member: Member{Name: name, Address: address, Life: life, Version: version, Since: d.now}, index: d.indices, told: -1}
	d.all[name], d.byIndex[m.index] = m, m
	at, _ := slices.BinarySearch(d.names, name)
	d.names = slices.Insert(d.names, at, name)
	d.view ^= m.digest()
	if len(d.ring) > 0 { // its turn comes anywhere in the round
		d.ring = slices.Insert(d.ring, d.at+d.rng.IntN(len(d.ring)-d.at+1), name)
	}
	return m
}

func (d *Detector) drop(m *member) {
	d.view ^= m.digest()
	delete(d.all, m.Name)
	delete(d.byIndex, m.index)
	d.dead--
	if at, ok := slices.BinarySearch(d.names, m.Name); ok {
		d.names = slices.Delete(d.names, at, at+1)
	}
	d.news = slices.DeleteFunc(d.news, func(x *member) bool { return x == m })
}

// digest is a member's part of the view: its number, and whether it is there. Suspicions pass, and are left out.
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

// call says hello to one of the dead or, while nobody is known, to the seeds in turn. It is never given up.
func (d *Detector) call() {
	gap := min(askLast, max(askFirst, (d.now-d.lastOff)/10))
	if d.now-d.lastOff > askOld {
		gap = askOldest
	}
	var strangers []string
	for _, a := range d.who.Seeds {
		if a != d.who.Address && !d.met(a) {
			strangers = append(strangers, a)
		}
	}
	for _, n := range d.names {
		if m := d.all[n]; m.State == Dead {
			strangers = append(strangers, m.Address)
		}
	}
	if len(strangers) > 0 && !d.leaving {
		d.callAt++
		d.hello(strangers[d.callAt%len(strangers)])
	}
	d.bells.Set(d.now+gap*(0.8+0.4*d.rng.Float64()), dueCall, 0)
}

// met tells whether anybody is known at an address, dead or alive.
func (d *Detector) met(address string) bool {
	for _, m := range d.all {
		if m.Address == address {
			return true
		}
	}
	return false
}

func (d *Detector) hello(address string) {
	d.count++
	if len(d.hellos) >= mostAll {
		clear(d.hellos)
	}
	d.hellos[address] = d.count
	d.send(address, 0, codec.Hello, d.count, "", d.view)
}

// Leave tells that this process ends on purpose.
func (d *Detector) Leave(now float64) {
	d.now = max(d.now, now)
	d.leaving = true
	d.version++
	d.view ^= d.me.digest()
	d.me.State = Left
	d.view ^= d.me.digest()
	d.renew()
	for _, m := range d.some(farewells, func(m *member) bool { return m.State <= Suspect }) {
		d.count++
		d.say(m, codec.Ping, d.count, "")
	}
}

// say sends something to a member, with news on it. Who is not held for alive hears that first, so that it can refute.
func (d *Detector) say(m *member, kind uint32, number uint64, target string) {
	m.counts++
	var first *member
	if m.State != Alive {
		first = m
	}
	d.sendNews(m.Address, m.Life, m.counts, kind, number, target, first)
}

func (d *Detector) sendNews(address string, life, count uint64, kind uint32, number uint64, target string, first *member) {
	b := codec.Begin(nil, d.who.Site, d.who.Name, d.who.Address, d.who.Life, count, life, kind, number, target, d.view, "", "")
	b = codec.Book(b, d.book)
	switch {
	case d.share == nil || d.leaving || d.taken:
	case kind == codec.Ping:
		b = codec.Lease(b, d.who.Place, false, nil, false, nil)
	case kind == codec.Ack && d.head.kind == codec.Ping && d.head.place > 0: // not one that is passed on for another
		given, counted := d.share.Asked(d.now, d.head.place-1)
		var lent bool
		var lentCounted slowstart.Set
		if d.lent != nil {
			lent, lentCounted = d.lent.Asked(d.now, d.head.place-1)
		}
		b = codec.Lease(b, d.who.Place, given, counted.Bytes(), lent, lentCounted.Bytes())
	}
	switch {
	case kind == codec.Ping:
		d.nodes.Ask(d.now, func(node uint32) (ok bool) {
			b, ok = codec.Silent(b, node)
			return ok
		})
	case kind == codec.Ack && d.head.kind == codec.Ping:
		for _, node := range d.head.silent {
			if life, heard, ok := d.edge.Hears(node); ok {
				b, _ = codec.Hears(b, node, life, d.now-heard)
			}
		}
	}
	if first != nil {
		b, _ = item(b, first)
	}
	slices.SortStableFunc(d.news, func(x, y *member) int { return cmp.Compare(x.told, y.told) })
	most, kept := d.often(), d.news[:0]
	full := false
	for _, m := range d.news {
		if !full && m != first {
			var ok bool
			if b, ok = item(b, m); ok {
				m.told++
			} else {
				full = true
			}
		}
		if m.told >= most {
			m.told = -1
		} else {
			kept = append(kept, m)
		}
	}
	clear(d.news[len(kept):])
	d.news = kept
	d.words.Ride(most, func(node uint32, version uint64, gone bool) (ok bool) {
		b, ok = codec.Word(b, node, version, gone)
		return ok
	})
	d.out(address, b)
}

func item(b []byte, m *member) ([]byte, bool) {
	return codec.News(b, m.Name, m.Address, m.Life, m.Version, uint32(m.State), m.By)
}

// send sends what has no count and no news: to one whose life is not known to know this one's.
func (d *Detector) send(address string, life uint64, kind uint32, number uint64, target string, view uint64) {
	d.out(address, codec.Begin(nil, d.who.Site, d.who.Name, d.who.Address, d.who.Life, 0, life, kind, number, target, view, "", ""))
}

func (d *Detector) out(address string, b []byte) {
	b = codec.Seal(b, d.who.Key, address)
	d.Figures.Sent++
	d.Figures.Bytes += uint64(len(b))
	d.edge.Send(address, b)
}
