// Package standin holds stand-ins for what surrounds a scheduler: nodes, the node list and owners, with the faults
// that a drill asks of them. A Machine is the model of a node, free of I/O and clocks; Node puts it on a socket.
package standin

import (
	"math"
	"math/rand/v2"
	"slices"
	"strings"

	"ravenpond/internal/proto/node"
)

// Work is how a node sees a job type.
type Work struct {
	Start    float64 // ms of work to start one where the program is held
	Life     float64 // mean ms that one runs
	Use      float64 // mean part of what was asked that is used
	Priority int
	Token    bool // repeats are dropped by the group
}

// Make is how a machine is built.
type Make struct {
	Cores, Memory           float64
	CoresLimit, MemoryLimit float64
	Look                    float64 // ms to look at one ask
	Line                    int     // asks that may wait
	Starts                  int     // at a time
	NoProgram               float64 // times the work where the program is not held
	Programs                int     // kept after their last allocation
	ColdFrom                float64 // part of its pace at which it begins
	ColdFor                 float64
	Fall                    float64 // times what it can start, sent for FallFor, that push it over
	FallFor                 float64
	Bears                   int // offers within FallFor that it always bears
	CountsUse               bool
	PushesOut               bool
	Work                    []Work
}

// Voice is how a machine speaks to a scheduler, and what it did.
type Voice interface {
	Started(sched string, ticket uint64, try uint8, took float64)
	Settled(sched string, ticket uint64, try uint8, outcome, reason int, report []float64)
	Noted(sched string, ticket uint64, try uint8, kind int, value float64)
	Reported(sched string, seq uint64, report []float64)
	Claimed(sched string, ticket uint64, try uint8, claim, reason int)
	Ran(sched string, ticket uint64, try uint8)
	Fell()
}

// Group drops repeats of tokens among its nodes.
type Group struct{ holders map[uint64]*task }

// NewGroup makes a group. One goroutine at a time may use the machines of a group.
func NewGroup() *Group { return &Group{map[uint64]*task{}} }

type stage uint8

const (
	inLine stage = iota
	starting
	running
)

type name struct {
	sched  string
	ticket uint64
	try    uint8
}

type task struct {
	name
	m              *Machine
	stage          stage
	probe          uint64 // a probe in the line of offers, by its number
	isProbe        bool
	job, tenant    int
	service, token uint64
	cores, memory  float64
	use            [2]float64
	epoch          uint32
	came, until    float64
	ready          float64 // its look or start is done
}

// epochName is an allocation's at one scheduler process, whichever of its shards acts: ids are per name before a dot.
type epochName struct {
	sched string
	token uint64
}

func epochOf(t *task) epochName {
	base, _, _ := strings.Cut(t.sched, ".")
	return epochName{base, t.token}
}

type memory struct {
	at              float64
	outcome, reason int
}

const rememberFor, rememberMost = 60000, 1 << 16

// Trouble is what ails a machine.
type Trouble struct {
	Hang      bool    // takes offers and answers nothing
	Mute      float64 // part of answers to tries that are lost; probes work
	BadJob    int     // job type that fails here, -1: none
	BadPart   float64 // part of its tries
	BadQuiet  bool    // by silence, else with an error
	Stale     bool    // reports stay as they were
	Neighbour float64 // part of the machine that other programs use
	Pressure  float64 // times the usual use of its allocations
}

// Machine is the model of a node.
type Machine struct {
	Make
	Trouble
	voice     Voice
	rng       *rand.Rand
	group     *Group
	now, born float64
	cold      bool
	down      bool // fell over
	line      []*task
	lookDone  float64
	tasks     map[name]*task
	order     []*task // accepted, in order of acceptance
	programs  []uint64
	asked     [2]float64
	past      map[name]memory
	bars      map[name]bool
	epochs    map[epochName]uint32 // the highest seen
	offers    []float64
	lastNote  float64
	oldReport []float64
	draining  bool
	sends     bool // sends its allocations away bit by bit
	nextAway  float64
}

// NewMachine starts a machine; a cold one begins slowly.
func NewMachine(mk Make, voice Voice, group *Group, seed uint64, now float64, cold bool) *Machine {
	m := &Machine{Make: mk, voice: voice, group: group, rng: rand.New(rand.NewPCG(seed, 7))}
	m.BadJob, m.Pressure = -1, 1
	m.Restart(now, cold)
	return m
}

// Restart loses all that the machine held.
func (m *Machine) Restart(now float64, cold bool) {
	for _, t := range m.order {
		m.free(t)
	}
	m.now, m.born, m.cold, m.down, m.draining, m.sends = now, now, cold, false, false, false
	m.line, m.order, m.programs, m.asked, m.offers = nil, nil, nil, [2]float64{}, nil
	m.tasks, m.past, m.bars, m.epochs = map[name]*task{}, map[name]memory{}, map[name]bool{}, map[epochName]uint32{}
	m.oldReport = nil
}

// Up is how long the machine has run, in ms: since long ago where it did not begin cold.
func (m *Machine) Up(now float64) float64 {
	if !m.cold {
		return now - m.born + 3600e3
	}
	return now - m.born
}

// Down tells whether it fell over.
func (m *Machine) Down() bool { return m.down }

// Drain begins a drain: nothing new is accepted, and what runs ends by itself or is sent away bit by bit, or all
// at once.
func (m *Machine) Drain(now float64, sends, atOnce bool) {
	m.now, m.draining, m.sends, m.nextAway = now, true, sends, now
	for i := len(m.line) - 1; i >= 0; i-- {
		if t := m.line[i]; !t.isProbe {
			m.settle(t, node.Refused, 4)
		}
	}
	for atOnce && len(m.order) > 0 {
		m.away(m.order[0], 7)
	}
}

// Undrain ends a drain.
func (m *Machine) Undrain() { m.draining, m.sends = false, false }

// Holds is the number of allocations accepted.
func (m *Machine) Holds() int { return len(m.order) }

func (m *Machine) pace() float64 {
	if !m.cold || m.now >= m.born+m.ColdFor {
		return 1
	}
	return m.ColdFrom + (1-m.ColdFrom)*(m.now-m.born)/m.ColdFor
}

// Offer takes an offer into the line.
func (m *Machine) Offer(now float64, sched string, ticket uint64, try uint8, epoch uint32, timeout float64,
	job, tenant int, service, token uint64, cores, memory float64) {
	m.Tick(now)
	if m.down {
		return
	}
	n := name{sched, ticket, try}
	t := &task{name: n, m: m, job: job, tenant: tenant, service: service, token: token, cores: cores, memory: memory,
		epoch: epoch, came: now, until: now + timeout}
	m.overdriven()
	if m.down {
		return
	}
	m.tasks[n] = t
	switch {
	case m.bars[n], epoch < m.epochs[epochOf(t)]: // given up before it came, or of an owner that lost it
		m.settle(t, node.Refused, 4)
	case m.draining:
		m.settle(t, node.Refused, 4)
	case len(m.line) >= m.Line:
		m.settle(t, node.Refused, 3)
	default:
		m.epochs[epochOf(t)] = epoch
		m.enter(t)
	}
}

func (m *Machine) enter(t *task) {
	if len(m.line) == 0 {
		m.lookDone = m.now + m.Look/m.pace()
	}
	m.line = append(m.line, t)
}

// overdriven makes a cold machine fall that is sent far more than it can start.
func (m *Machine) overdriven() {
	if !m.cold || m.now >= m.born+m.ColdFor {
		return
	}
	m.offers = slices.DeleteFunc(m.offers, func(at float64) bool { return at <= m.now-m.FallFor })
	m.offers = append(m.offers, m.now)
	can := m.pace() * float64(m.Starts) * m.FallFor / (m.Work[0].Start * m.NoProgram)
	if len(m.offers) > m.Bears && float64(len(m.offers)) > m.Fall*can {
		m.Restart(m.now, true)
		m.down = true
		m.voice.Fell()
	}
}

// Recall hands back what does not run yet.
func (m *Machine) Recall(now float64, sched string, ticket uint64, try uint8) {
	m.Tick(now)
	n := name{sched, ticket, try}
	if t := m.tasks[n]; t != nil && t.stage != running {
		m.settle(t, node.Refused, 0)
	} else if t == nil {
		if _, ok := m.past[n]; !ok { // not seen yet: it will be turned away
			m.bars[n] = true
		}
	}
}

// Stop ends what runs.
func (m *Machine) Stop(now float64, sched string, ticket uint64, try uint8) {
	m.Tick(now)
	switch t := m.tasks[name{sched, ticket, try}]; {
	case t == nil:
	case t.stage == running:
		m.settle(t, node.Stopped, 0)
	default:
		m.settle(t, node.Refused, 0)
	}
}

// Claim tells what became of a try, and bars one never seen.
func (m *Machine) Claim(now float64, sched string, ticket uint64, try uint8) {
	m.Tick(now)
	n := name{sched, ticket, try}
	if t := m.tasks[n]; t != nil {
		claim := node.ClaimedWaits
		if t.stage == running {
			claim = node.ClaimedRuns
		}
		m.voice.Claimed(sched, ticket, try, claim, 0)
		return
	}
	p, ok := m.past[n]
	switch {
	case ok:
	case len(m.past) >= rememberMost:
		p.outcome = node.Unknown
	default:
		m.bars[n] = true
		p = memory{now, node.Barred, 0}
		m.past[n] = p
	}
	m.voice.Claimed(sched, ticket, try, node.ClaimedOutcome+p.outcome, p.reason)
}

// Probe puts a probe into the line of offers.
func (m *Machine) Probe(now float64, sched string, seq uint64) {
	m.Tick(now)
	m.enter(&task{name: name{sched: sched}, m: m, isProbe: true, probe: seq})
}

// Held calls for each thing held for a scheduler, in order of coming.
func (m *Machine) Held(now float64, sched string, each func(ticket uint64, try uint8, runs bool, job, tenant int,
	service, token uint64, cores, memory float64)) {
	m.Tick(now)
	for _, all := range [][]*task{m.order, m.line} {
		for _, t := range all {
			if t.sched == sched && !t.isProbe {
				each(t.ticket, t.try, t.stage == running, t.job, t.tenant, t.service, t.token, t.cores, t.memory)
			}
		}
	}
}

// Tick moves time.
func (m *Machine) Tick(now float64) {
	for {
		at, t := m.nextDone()
		if t == nil || at > now || m.Hang {
			break
		}
		m.now = max(m.now, at)
		m.done(t)
	}
	m.now = now
	if m.Hang {
		return
	}
	if m.sends && len(m.order) > 0 && now >= m.nextAway {
		m.nextAway = now + 150
		m.away(m.order[0], 7)
	}
	if now-m.lastNote >= 1000 {
		m.lastNote = now
		m.housekeep()
	}
}

// Next is when Tick has something to do.
func (m *Machine) Next() float64 {
	at, t := m.nextDone()
	if t == nil || m.Hang {
		at = math.Inf(1)
	}
	at = min(at, m.lastNote+1000)
	if m.sends && len(m.order) > 0 {
		at = min(at, m.nextAway)
	}
	return at
}

// nextDone is the next thing that gets done: a look, a start, an end.
func (m *Machine) nextDone() (float64, *task) {
	at, next := math.Inf(1), (*task)(nil)
	if len(m.line) > 0 {
		at, next = m.lookDone, m.line[0]
	}
	for _, t := range m.order {
		if t.stage == running && t.until < at {
			at, next = t.until, t
		} else if t.stage == starting && t.ready > 0 && t.ready < at {
			at, next = t.ready, t
		}
	}
	return at, next
}

func (m *Machine) done(t *task) {
	switch t.stage {
	case inLine:
		m.line = m.line[1:]
		if len(m.line) > 0 {
			m.lookDone = m.now + m.Look/m.pace()
		}
		if t.isProbe {
			m.voice.Reported(t.sched, t.probe, m.report())
		} else {
			m.look(t)
		}
	case starting:
		if m.now > t.until {
			m.settle(t, node.Refused, 4)
			return
		}
		if m.BadJob == t.job && m.rng.Float64() < m.BadPart {
			m.fail(t)
			return
		}
		t.stage = running
		took := m.now - t.came
		life := m.Work[t.job].Life * (0.25 + 1.5*m.rng.Float64())
		t.until = m.now + life
		m.voice.Ran(t.sched, t.ticket, t.try)
		m.voice.Started(t.sched, t.ticket, t.try, took)
		m.starts()
	case running:
		m.settle(t, node.Ended, 0)
	}
}

// fail lets a try of the ailing job type fail after it may have had an effect.
func (m *Machine) fail(t *task) {
	m.voice.Ran(t.sched, t.ticket, t.try)
	if m.BadQuiet {
		m.drop(t)
		m.past[t.name] = memory{m.now, node.Unknown, 0}
	} else {
		m.settle(t, node.Errored, 0)
	}
	m.starts()
}

func (m *Machine) look(t *task) {
	w := m.Work[t.job]
	if m.now > t.until {
		m.settle(t, node.Refused, 4)
		return
	}
	if w.Token {
		if h := m.group.holders[t.token]; h != nil && h.m == m && h.name != t.name && h.stage != running {
			h.m.settle(h, node.Refused, 0) // a copy that nobody waits for gives way
		} else if h != nil && h.name != t.name {
			m.settle(t, node.Refused, 4)
			return
		}
	}
	for m.PushesOut && m.full(t) > 0 {
		i := slices.IndexFunc(m.order, func(o *task) bool { return m.Work[o.job].Priority < w.Priority })
		if i < 0 {
			break
		}
		m.away(m.order[i], 6)
	}
	if why := m.full(t); why > 0 {
		m.settle(t, node.Refused, why)
		return
	}
	t.stage = starting
	if w.Token {
		m.group.holders[t.token] = t
	}
	part := w.Use * (0.8 + 0.4*m.rng.Float64())
	t.use = [2]float64{min(1, part) * t.cores, min(1, part*1.3) * t.memory}
	m.asked = [2]float64{m.asked[0] + t.cores, m.asked[1] + t.memory}
	m.order = append(m.order, t)
	m.starts()
}

func (m *Machine) full(t *task) int {
	switch {
	case m.asked[0]+t.cores > m.Cores*m.CoresLimit:
		return 1
	case m.asked[1]+t.memory > m.Memory*m.MemoryLimit:
		return 2
	}
	return 0
}

// starts begins starts while there are places for them.
func (m *Machine) starts() {
	under := 0
	for _, t := range m.order {
		if t.stage != starting {
			continue
		}
		if under++; under > m.Starts {
			return
		}
		if t.ready == 0 {
			work := m.Work[t.job].Start
			if !m.hasProgram(t) {
				work *= m.NoProgram
			}
			if c, _ := m.inUse(); c > m.Cores {
				work *= c / m.Cores
			}
			t.ready = m.now + work/m.pace()
		}
	}
}

func (m *Machine) hasProgram(t *task) bool {
	return slices.Contains(m.programs, t.service) || slices.ContainsFunc(m.order, func(o *task) bool {
		return o != t && o.service == t.service && o.stage == running
	})
}

// Flush forgets a part of the kept programs.
func (m *Machine) Flush(part float64) {
	m.programs = slices.DeleteFunc(m.programs, func(uint64) bool { return m.rng.Float64() < part })
}

func (m *Machine) inUse() (cores, memory float64) {
	cores, memory = m.Neighbour*m.Cores, m.Neighbour*m.Memory
	for _, t := range m.order {
		cores += t.use[0] * m.Pressure
		memory += t.use[1] * m.Pressure
	}
	return
}

// away ends an accepted task that has to go: one that does not run yet is handed back.
func (m *Machine) away(t *task, why int) {
	if t.stage == running {
		m.settle(t, node.Lost, why)
	} else {
		m.settle(t, node.Refused, 4)
	}
}

// settle ends a task or a try with an outcome.
func (m *Machine) settle(t *task, outcome, why int) {
	m.drop(t)
	m.past[t.name] = memory{m.now, outcome, why}
	m.voice.Settled(t.sched, t.ticket, t.try, outcome, why, m.report())
	m.starts()
}

func (m *Machine) free(t *task) {
	if m.group.holders[t.token] == t {
		delete(m.group.holders, t.token)
	}
}

func (m *Machine) drop(t *task) {
	m.free(t)
	delete(m.tasks, t.name)
	if t.stage == inLine {
		if i := slices.Index(m.line, t); i >= 0 {
			m.line = slices.Delete(m.line, i, i+1)
			if i == 0 && len(m.line) > 0 {
				m.lookDone = m.now + m.Look/m.pace()
			}
		}
		return
	}
	m.asked = [2]float64{m.asked[0] - t.cores, m.asked[1] - t.memory}
	m.order = slices.DeleteFunc(m.order, func(o *task) bool { return o == t })
	if t.stage == running && !slices.Contains(m.programs, t.service) {
		m.programs = append(m.programs, t.service)
		m.programs = m.programs[max(0, len(m.programs)-m.Programs):]
	}
}

// report is what is not asked for, or not in use, of cores and memory.
func (m *Machine) report() []float64 {
	if m.Stale && m.oldReport != nil {
		return m.oldReport
	}
	c, mem := m.asked[0], m.asked[1]
	if m.CountsUse {
		c, mem = m.inUse()
	}
	m.oldReport = []float64{m.Cores - c, m.Memory - mem}
	return m.oldReport
}

// Asked is the part of its room that is asked for, the larger of cores and memory.
func (m *Machine) Asked() float64 {
	return max(m.asked[0]/(m.Cores*m.CoresLimit), m.asked[1]/(m.Memory*m.MemoryLimit))
}

// Free is what nobody has asked for.
func (m *Machine) Free() (cores, memory float64) { return m.Cores - m.asked[0], m.Memory - m.asked[1] }

// housekeep notes use, evicts where memory runs out, and forgets what is long past.
func (m *Machine) housekeep() {
	for {
		_, mem := m.inUse()
		if mem <= m.Memory || len(m.order) == 0 {
			break
		}
		worst := slices.MinFunc(m.order, func(x, y *task) int { return m.Work[x.job].Priority - m.Work[y.job].Priority })
		m.away(worst, 5)
	}
	for _, t := range m.order {
		if t.stage == running && m.now-t.ready < 12000 { // use settles: later notes would tell nothing new
			m.voice.Noted(t.sched, t.ticket, t.try, 2, t.use[0]*m.Pressure)
			m.voice.Noted(t.sched, t.ticket, t.try, 3, t.use[1]*m.Pressure)
		}
	}
	for n, p := range m.past {
		if m.now-p.at > rememberFor {
			delete(m.past, n)
			delete(m.bars, n)
		}
	}
	if len(m.epochs) > rememberMost || len(m.bars) > rememberMost {
		m.epochs, m.bars = map[epochName]uint32{}, map[name]bool{}
	}
}
