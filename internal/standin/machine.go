// Package standin holds stand-ins for what surrounds a scheduler: nodes, the node list and owners, with the faults
// that a drill asks of them. A Machine is the model of a node, free of I/O and clocks; Node puts it on a socket.
package standin

import (
	"math/rand/v2"

	"ravenpond/internal/proto/node"
)

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
			m.settle(t, node.OutcomeRefused, 4)
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
