// Package host runs one placement module (package logic) for the platform's scheduler.
//
// The scheduler reports events to a Host with their times: requests, answers of nodes, outcomes, the node list. The Host passes them to the
// module and carries out the module's decisions through Effects. Between the two it keeps what the module relies on: it numbers and times
// attempts, reports as not sent what can't be sent, delivers outcomes in a later round than the action that caused them, gives each request
// exactly one final answer, and replaces a module that panics.
//
// A Host does no I/O, reads no clock and starts no goroutine. It has no lock: calls come one at a time, and never from inside an effect. All
// times are in milliseconds on the caller's clock.
package host

import (
	"fmt"
	"math"

	"ravenpond/internal/besteffort"
	"ravenpond/internal/decide/outcome"
	"ravenpond/internal/decide/pausedetect"
	"ravenpond/internal/decide/watchdog"
	"ravenpond/internal/timers"
	"ravenpond/logic"
)

// Effects carries out what a Host decides. Its methods must not call the Host.
type Effects interface {
	// RequestPlacement sends an attempt to a node, which may answer it within timeout ms.
	RequestPlacement(alloc uint32, attempt uint8, node uint32, timeout float64)
	// CancelAttempt says that an attempt in flight is no longer waited for.
	CancelAttempt(alloc uint32, attempt uint8, node uint32)
	// StopTask ends a running task at its node.
	StopTask(alloc, node uint32)
	// AnswerRequest gives a request its final answer other than that its task runs: shed if a retry does no harm, else failed.
	AnswerRequest(alloc uint32, shed bool)
	// NotifyMove tells the client to request a running task anew, elsewhere.
	NotifyMove(alloc uint32)
	// NotifyEnd tells the client that its running task has ended.
	NotifyEnd(alloc uint32, verdict logic.Outcome)
	// Forget is the last call for an allocation.
	Forget(alloc uint32)
	// Probe sends a health check to a node. Its result goes to OnProbeResult with the same number.
	Probe(node, seq uint32)
	// PollEndpoints asks for the changes of the node list, or for word that it can't be read.
	PollEndpoints()
	// LogLine writes a line about the module to the log.
	LogLine(line string)
}

// idleRoundDelay is how long a Host without timers waits for its next round, in ms.
const idleRoundDelay = 1000

// Host is one placement module with its allocations, timers and probes.
type Host struct {
	effects       Effects
	module        *logic.Scheduler
	supervisor    moduleSupervisor
	diagnostics   besteffort.Guard // guards reads of the module that serve the log alone
	beliefErrors  beliefErrorSum
	roundInterval float64 // least time between rounds
	maxAttempts   int     // for each allocation
	now           float64 // time of the last event or round
	lastRound     float64
	hasEvents     bool // since the last round
	timers        timers.Heap[timerKind]
	allocations   map[uint32]*allocation
	lastID        uint32 // of allocations and probes, which share numbers: a late answer to a probe never fits an allocation
	probes        map[uint32]pendingProbe
	pauseDetector pausedetect.Detector
	openCount     int // allocations without a final answer
	runningCount  int // allocations that run at nodes
	timeoutGrace  float64
	probeTimeout  float64
}

// New returns a Host with a new module. The seed is that of the module's random draws.
func New(effects Effects, now float64, seed uint64, cluster *logic.Cluster) *Host {
	h := &Host{
		effects: effects, roundInterval: cluster.MinRoundInterval, maxAttempts: cluster.MaxAttempts, now: now, lastRound: math.Inf(-1),
		allocations: map[uint32]*allocation{}, probes: map[uint32]pendingProbe{}, probeTimeout: outcome.ProbeTimeout(),
	}
	h.diagnostics.Report = func(what, why string) { h.effects.LogLine("words: " + what + " switched off: " + why) }
	h.supervisor.init(now, seed, cluster)
	h.module = logic.New(moduleEffects{h}, now, seed, cluster)
	return h
}

// OpenRequests returns how many allocations have no final answer.
func (h *Host) OpenRequests() int { return h.openCount }

// RunningTasks returns how many allocations run at nodes.
func (h *Host) RunningTasks() int { return h.runningCount }

// SetTimeoutGrace sets how long time-outs of attempts and probes are put off when they fire, in ms, because answers may have been received
// that are not read yet.
func (h *Host) SetTimeoutGrace(ms float64) { h.timeoutGrace = ms }

// SetConnectTimeout sets how long connecting to a node may take, in ms: a probe may have to wait for that.
func (h *Host) SetConnectTimeout(ms float64) { h.probeTimeout = outcome.ProbeTimeoutFor(ms) }

// Round fires the timers that are due and lets the module decide. It does nothing before EarliestRound. After a pause of the process a round
// only takes note of it, so that what was received meanwhile is read before time-outs fire.
func (h *Host) Round(now float64) {
	if now < h.EarliestRound() {
		return
	}
	h.recordEvent(now)
	h.lastRound = h.now
	pausedFor, act := h.pauseDetector.OnRound(h.now, h.hasEvents)
	h.hasEvents = false
	if pausedFor > 0 {
		h.effects.LogLine(fmt.Sprintf("stall: stood still %.0f ms, %d open, reads before it acts", pausedFor, h.openCount))
	}
	if !act || h.recoverModule() {
		return
	}
	h.fireTimers()
	h.callModule(func(m *logic.Scheduler) { m.Decide(h.now) })
}

// EarliestRound returns when the next round may be.
func (h *Host) EarliestRound() float64 { return h.lastRound + h.roundInterval }

// NextRound returns when Round has to be called at the latest.
func (h *Host) NextRound() float64 {
	at, ok := h.timers.First()
	if !ok {
		at = h.now + idleRoundDelay
	}
	if h.hasEvents {
		at = h.now
	}
	if h.supervisor.failed {
		at = min(at, h.now+watchdog.CheckInterval())
	}
	return max(at, h.EarliestRound(), h.pauseDetector.ResumeAt())
}

// recordEvent advances the time to that of an event.
func (h *Host) recordEvent(now float64) {
	h.now = max(h.now, now)
	h.hasEvents = true
}

// Close gives all open requests their final answer: they failed, as far as anybody can tell.
func (h *Host) Close(now float64) {
	h.recordEvent(now)
	h.answerAll(func(*allocation) bool { return false })
}
