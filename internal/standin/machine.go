// Package standin holds stand-ins for what surrounds a scheduler: nodes, the node list and owners, with the faults
// that a drill asks of them. A Machine is the model of a node, free of I/O and clocks; Node puts it on a socket.
package standin

import (
	"math/rand/v2"

	"ravenpond/internal/proto/node"
)

// MachineConfig is how a machine is built.
type MachineConfig struct {
	Cores, Memory           float64
	CoresLimit, MemoryLimit float64
	InspectTime             float64 // ms to look at one ask
	QueueLimit              int     // asks that may wait
	ConcurrentStarts        int     // at a time
	ProgramMissFactor       float64 // times the work where the program is not held
	ProgramCacheSize        int     // kept after their last allocation
	WarmupPace              float64 // part of its pace at which it begins
	WarmupDuration          float64
	OverloadFactor          float64 // times what it can start, sent for FallFor, that push it over
	OverloadWindow          float64
	SlowStartLimit          int // offers within FallFor that it always bears
	ReportsUse              bool
	Preempts                bool
	JobProfiles             []JobProfile
}

// EventHandler is how a machine speaks to a scheduler, and what it did.
type EventHandler interface {
	OnStarted(sched string, ticket uint64, try uint8, took float64)
	OnConcluded(sched string, ticket uint64, try uint8, outcome, reason int, report []float64)
	OnNote(sched string, ticket uint64, try uint8, kind int, value float64)
	OnReport(sched string, seq uint64, report []float64)
	OnClaimed(sched string, ticket uint64, try uint8, claim, reason int)
	OnRun(sched string, ticket uint64, try uint8)
	OnOverload()
}

// Faults is what ails a machine.
type Faults struct {
	Hung            bool    // takes offers and answers nothing
	AnswerLoss      float64 // part of answers to tries that are lost; probes work
	FailingJob      int     // job type that fails here, -1: none
	FailingFraction float64 // part of its tries
	FailSilently    bool    // by silence, else with an error
	StaleReports    bool    // reports stay as they were
	ForeignUse      float64 // part of the machine that other programs use
	UseFactor       float64 // times the usual use of its allocations
}

// Machine is the model of a node.
type Machine struct {
	MachineConfig
	Faults
	events         EventHandler
	rng            *rand.Rand
	group          *Group
	now, startedAt float64
	cold           bool
	down           bool // fell over
	queue          []*task
	inspectedAt    float64
	tasks          map[attemptID]*task
	accepted       []*task // accepted, in order of acceptance
	programs       []uint64
	reserved       [2]float64
	outcomes       map[attemptID]pastOutcome
	barred         map[attemptID]bool
	epochs         map[epochKey]uint32 // the highest seen
	placements     []float64
	lastUseNote    float64
	lastReport     []float64
	draining       bool
	evicting       bool // sends its allocations away bit by bit
	nextEviction   float64
}

// NewMachine starts a machine; a cold one begins slowly.
func NewMachine(mk MachineConfig, voice EventHandler, group *Group, seed uint64, now float64, cold bool) *Machine {
	m := &Machine{MachineConfig: mk, events: voice, group: group, rng: rand.New(rand.NewPCG(seed, 7))}
	m.FailingJob, m.UseFactor = -1, 1
	m.Restart(now, cold)
	return m
}

// Restart loses all that the machine held.
func (m *Machine) Restart(now float64, cold bool) {
	for _, t := range m.accepted {
		m.releaseToken(t)
	}
	m.now, m.startedAt, m.cold, m.down, m.draining, m.evicting = now, now, cold, false, false, false
	m.queue, m.accepted, m.programs, m.reserved, m.placements = nil, nil, nil, [2]float64{}, nil
	m.tasks, m.outcomes, m.barred, m.epochs = map[attemptID]*task{}, map[attemptID]pastOutcome{}, map[attemptID]bool{}, map[epochKey]uint32{}
	m.lastReport = nil
}

// Uptime is how long the machine has run, in ms: since long ago where it did not begin cold.
func (m *Machine) Uptime(now float64) float64 {
	if !m.cold {
		return now - m.startedAt + 3600e3
	}
	return now - m.startedAt
}

// IsDown tells whether it fell over.
func (m *Machine) IsDown() bool { return m.down }

// Drain begins a drain: nothing new is accepted, and what runs ends by itself or is sent away bit by bit, or all
// at once.
func (m *Machine) Drain(now float64, sends, atOnce bool) {
	m.now, m.draining, m.evicting, m.nextEviction = now, true, sends, now
	for i := len(m.queue) - 1; i >= 0; i-- {
		if t := m.queue[i]; !t.isProbe {
			m.conclude(t, node.OutcomeRefused, 4)
		}
	}
	for atOnce && len(m.accepted) > 0 {
		m.evict(m.accepted[0], 7)
	}
}

// Undrain ends a drain.
func (m *Machine) Undrain() { m.draining, m.evicting = false, false }

// TaskCount is the number of allocations accepted.
func (m *Machine) TaskCount() int { return len(m.accepted) }

func (m *Machine) pace() float64 {
	if !m.cold || m.now >= m.startedAt+m.WarmupDuration {
		return 1
	}
	return m.WarmupPace + (1-m.WarmupPace)*(m.now-m.startedAt)/m.WarmupDuration
}
