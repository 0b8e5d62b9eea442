package standin

import (
	"math/rand/v2"

	"ravenpond/internal/proto/node"
)

// MachineConfig holds the parameters of a machine. Times and durations are in ms, memory in GiB.
type MachineConfig struct {
	Cores, Memory           float64
	CoresLimit, MemoryLimit float64 // multiples of Cores and Memory that may be reserved
	InspectTime             float64 // time to inspect one placement request
	QueueLimit              int     // maximum number of placement requests that wait for inspection
	ConcurrentStarts        int
	ProgramMissFactor       float64 // factor by which a start takes longer if the program is not cached
	ProgramCacheSize        int     // number of programs that are kept after their last task
	WarmupPace              float64 // fraction of full pace at which a cold machine begins
	WarmupDuration          float64
	OverloadFactor          float64 // multiple of what a cold machine can start within OverloadWindow beyond which it breaks down
	OverloadWindow          float64
	SlowStartLimit          int  // number of placements within OverloadWindow that a cold machine always tolerates
	ReportsUse              bool // load reports are based on use instead of reservations
	Preempts                bool // a task may preempt one of lower priority
	JobProfiles             []JobProfile
}

// EventHandler receives the messages of a machine to schedulers and the events in it. Durations are in ms.
type EventHandler interface {
	// OnStarted reports that the attempt runs; took is the time since it was received.
	OnStarted(id AttemptID, took float64)
	// OnConcluded reports the outcome of an attempt.
	OnConcluded(id AttemptID, conclusion Conclusion)
	// OnNote reports the resource use of a running task; kind is an index into node.NoteNames.
	OnNote(id AttemptID, kind int, value float64)
	// OnReport answers a probe with a load report.
	OnReport(scheduler string, seq uint64, report []float64)
	// OnClaimed answers a claim; claim is an index into node.ClaimNames, reason one into node.ReasonNames.
	OnClaimed(id AttemptID, claim, reason int)
	// OnRun reports that the attempt has its effect now.
	OnRun(id AttemptID)
	// OnOverload reports that the machine broke down under overload.
	OnOverload()
}

// Conclusion is the outcome of an attempt.
type Conclusion struct {
	Outcome int       // index into node.OutcomeNames
	Reason  int       // index into node.ReasonNames
	Report  []float64 // load after the outcome
}

// Faults are the faults injected into a machine. The zero value, except for FailingJob and UseFactor, injects none.
type Faults struct {
	Hung            bool    // the machine accepts placement requests and answers nothing
	AnswerLoss      float64 // fraction of answers to attempts that are lost; answers to probes are not
	FailingJob      int     // job class whose attempts fail, -1 for none
	FailingFraction float64 // fraction of the attempts of FailingJob that fail
	FailSilently    bool    // attempts fail without an answer instead of with an error
	StaleReports    bool    // load reports no longer change
	ExternalUse     float64 // fraction of the machine that other programs use
	UseFactor       float64 // factor by which tasks use more than usual
}

// Machine is the model of a node. It has neither I/O nor a clock: each call passes the time in ms, which never goes backwards. All machines of
// one Group may be used by one goroutine at a time.
type Machine struct {
	MachineConfig
	Faults
	events          EventHandler
	rng             *rand.Rand
	group           *Group
	now, startedAt  float64
	cold            bool
	down            bool    // whether it broke down under overload
	queue           []*task // placement requests and probes that wait for inspection
	inspectedAt     float64 // when the inspection of the first in the queue ends
	tasks           map[AttemptID]*task
	accepted        []*task // in order of acceptance
	programs        []uint64
	reserved        [2]float64 // cores and memory
	outcomes        map[AttemptID]pastOutcome
	barred          map[AttemptID]bool // attempts that are rejected if they ever arrive
	epochs          map[epochKey]uint32
	placements      []float64 // times of placements in the last overload window
	lastMaintenance float64
	lastReport      []float64
	draining        bool
	evicting        bool // whether it drains by evicting its tasks one after the other
	nextEviction    float64
}

// NewMachine returns a machine that starts at the time now. A cold machine has to warm up.
func NewMachine(config MachineConfig, events EventHandler, group *Group, seed uint64, now float64, cold bool) *Machine {
	m := &Machine{MachineConfig: config, events: events, group: group, rng: rand.New(rand.NewPCG(seed, 7))}
	m.FailingJob, m.UseFactor = -1, 1
	m.Restart(now, cold)
	return m
}

// Restart drops everything that the machine holds.
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

// warmUptime is added to the uptime of a machine that did not start cold, in ms.
const warmUptime = 3600e3

// Uptime returns the time in ms since the machine started, plus one hour if it did not start cold.
func (m *Machine) Uptime(now float64) float64 {
	if !m.cold {
		return now - m.startedAt + warmUptime
	}
	return now - m.startedAt
}

// IsDown reports whether the machine broke down under overload.
func (m *Machine) IsDown() bool { return m.down }

// Drain begins a drain: the machine accepts nothing new and refuses what is queued. Running tasks end by themselves or, with evict, are evicted
// one after the other. With atOnce they are evicted immediately.
func (m *Machine) Drain(now float64, evict, atOnce bool) {
	m.now, m.draining, m.evicting, m.nextEviction = now, true, evict, now
	for i := len(m.queue) - 1; i >= 0; i-- {
		if t := m.queue[i]; !t.isProbe {
			m.conclude(t, node.OutcomeRefused, reasonNotAccepting)
		}
	}
	for atOnce && len(m.accepted) > 0 {
		m.evict(m.accepted[0], reasonDrained)
	}
}

// Undrain ends a drain.
func (m *Machine) Undrain() { m.draining, m.evicting = false, false }

// TaskCount returns the number of accepted tasks, running or starting.
func (m *Machine) TaskCount() int { return len(m.accepted) }

// pace returns the fraction of full pace at which the machine works at present.
func (m *Machine) pace() float64 {
	if !m.cold || m.now >= m.startedAt+m.WarmupDuration {
		return 1
	}
	return m.WarmupPace + (1-m.WarmupPace)*(m.now-m.startedAt)/m.WarmupDuration
}
