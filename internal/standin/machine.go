package standin

import (
	"math/rand/v2"

	"ravenpond/internal/proto/node"
)

// MachineConfig says how a machine is built. Times and durations are ms, memory is GiB.
type MachineConfig struct {
	Cores, Memory           float64
	CoresLimit, MemoryLimit float64 // factors up to which cores and memory may be reserved
	InspectTime             float64 // to inspect one placement request
	QueueLimit              int     // placement requests that may wait for inspection
	ConcurrentStarts        int
	ProgramMissFactor       float64 // by which a start takes longer where the program is not cached
	ProgramCacheSize        int     // programs kept after their last task
	WarmupPace              float64 // fraction of its pace at which a cold machine starts
	WarmupDuration          float64
	OverloadFactor          float64 // times what it can start within OverloadWindow that break a cold machine down
	OverloadWindow          float64
	SlowStartLimit          int  // placements within OverloadWindow that a cold machine always takes
	ReportsUse              bool // load reports hold what is in use, not what is reserved
	Preempts                bool // a task may displace one of lower priority
	JobProfiles             []JobProfile
}

// EventHandler gets what a machine sends to schedulers, and what happens in it. Durations are ms.
type EventHandler interface {
	// OnStarted: the attempt runs, so long after it was received.
	OnStarted(id AttemptID, took float64)
	// OnConcluded: the attempt has an outcome.
	OnConcluded(id AttemptID, conclusion Conclusion)
	// OnNote: a running task uses so much; kind is one of node.NoteNames.
	OnNote(id AttemptID, kind int, value float64)
	// OnReport answers a probe with a load report.
	OnReport(scheduler string, seq uint64, report []float64)
	// OnClaimed answers a claim; claim is one of node.ClaimNames, reason one of node.ReasonNames.
	OnClaimed(id AttemptID, claim, reason int)
	// OnRun: the attempt has its effect now.
	OnRun(id AttemptID)
	// OnOverload: the machine broke down.
	OnOverload()
}

// Conclusion is the outcome of an attempt.
type Conclusion struct {
	Outcome int       // one of node.OutcomeNames
	Reason  int       // one of node.ReasonNames
	Report  []float64 // load after it
}

// Faults are injected into a machine; the zero value, but for FailingJob and UseFactor, injects none.
type Faults struct {
	Hung            bool    // it takes placement requests and answers nothing
	AnswerLoss      float64 // fraction of answers to attempts that are lost; probes are answered
	FailingJob      int     // job class that fails here, -1: none
	FailingFraction float64 // of its attempts
	FailSilently    bool    // they fail without an answer, else with an error
	StaleReports    bool    // load reports stay as they were
	ForeignUse      float64 // fraction of the machine that other programs use
	UseFactor       float64 // by which tasks use more than usual
}

// Machine is the model of a node. It has neither I/O nor a clock: each call passes the time, in ms, which never goes back. Machines of
// one Group belong to one goroutine at a time.
type Machine struct {
	MachineConfig
	Faults
	events          EventHandler
	rng             *rand.Rand
	group           *Group
	now, startedAt  float64
	cold            bool
	down            bool    // it broke down under overload
	queue           []*task // placement requests and probes that wait for inspection
	inspectedAt     float64 // when the first of the queue is inspected
	tasks           map[AttemptID]*task
	accepted        []*task // in order of acceptance
	programs        []uint64
	reserved        [2]float64 // cores and memory
	outcomes        map[AttemptID]pastOutcome
	barred          map[AttemptID]bool // attempts that are rejected if they ever arrive
	epochs          map[epochKey]uint32
	placements      []float64 // times in the last overload window
	lastMaintenance float64
	lastReport      []float64
	draining        bool
	evicting        bool // it drains by evicting its tasks one after the other
	nextEviction    float64
}

// NewMachine returns a machine that starts now; a cold one warms up.
func NewMachine(config MachineConfig, events EventHandler, group *Group, seed uint64, now float64, cold bool) *Machine {
	m := &Machine{MachineConfig: config, events: events, group: group, rng: rand.New(rand.NewPCG(seed, 7))}
	m.FailingJob, m.UseFactor = -1, 1
	m.Restart(now, cold)
	return m
}

// Restart drops all that the machine holds.
func (m *Machine) Restart(now float64, cold bool) {
	for _, t := range m.accepted {
		m.releaseToken(t)
	}
	m.now, m.startedAt, m.cold, m.down, m.draining, m.evicting = now, now, cold, false, false, false
	m.queue, m.accepted, m.programs, m.reserved, m.placements = nil, nil, nil, [2]float64{}, nil
	m.tasks, m.outcomes = map[AttemptID]*task{}, map[AttemptID]pastOutcome{}
	m.barred, m.epochs = map[AttemptID]bool{}, map[epochKey]uint32{}
	m.lastReport = nil
}

// longAgo is added to the uptime of a machine that did not start cold, ms.
const longAgo = 3600e3

// Uptime is how long the machine has run, in ms: for over an hour where it did not start cold.
func (m *Machine) Uptime(now float64) float64 {
	if !m.cold {
		return now - m.startedAt + longAgo
	}
	return now - m.startedAt
}

// IsDown reports whether it broke down under overload.
func (m *Machine) IsDown() bool { return m.down }

// Drain begins a drain: nothing new is accepted, and what is queued is handed back. Running tasks end by themselves, or are evicted one
// after the other, or all at once.
func (m *Machine) Drain(now float64, evict, atOnce bool) {
	m.now, m.draining, m.evicting, m.nextEviction = now, true, evict, now
	for i := len(m.queue) - 1; i >= 0; i-- {
		if t := m.queue[i]; !t.isProbe {
			m.conclude(t, node.OutcomeRefused, reasonNotHere)
		}
	}
	for atOnce && len(m.accepted) > 0 {
		m.evict(m.accepted[0], reasonSentAway)
	}
}

// Undrain ends a drain.
func (m *Machine) Undrain() { m.draining, m.evicting = false, false }

// TaskCount is the number of accepted tasks, running or starting.
func (m *Machine) TaskCount() int { return len(m.accepted) }

// pace is the fraction of its full pace at which the machine works now.
func (m *Machine) pace() float64 {
	if !m.cold || m.now >= m.startedAt+m.WarmupDuration {
		return 1
	}
	return m.WarmupPace + (1-m.WarmupPace)*(m.now-m.startedAt)/m.WarmupDuration
}
