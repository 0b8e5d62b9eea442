// Package host runs one placement module (package logic), an instance of the placement policy, for the platform's scheduler.
//
// The scheduler reports timestamped events to a Host: requests, answers of nodes, outcomes, the node list. The Host passes them to the module
// and carries out the module's decisions through Effects. In between it provides the guarantees that the module relies on: it numbers and
// times attempts, reports attempts that cannot be sent as NotSent, delivers each outcome in a later round than the action that caused it,
// gives each request exactly one final answer, and replaces a module that panics.
//
// A Host does no I/O, reads no clock and starts no goroutine. It has no lock: its methods must be called one at a time, and never from within
// an effect. All times are in milliseconds on the caller's clock.
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

// Effects carries out the decisions of a Host. Its methods must not call the Host.
type Effects interface {
	// RequestPlacement sends an attempt to a node, which has timeout ms to answer it.
	RequestPlacement(alloc uint32, attempt uint8, node uint32, timeout float64)
	// CancelAttempt cancels an attempt in flight. Its result is no longer awaited.
	CancelAttempt(alloc uint32, attempt uint8, node uint32)
	// MayHaveReachedOtherNode returns whether the last attempt may have reached another node than the one that it was sent to.
	MayHaveReachedOtherNode(alloc uint32) bool
	// StopTask asks a node to stop a running task.
	StopTask(alloc, node uint32)
	// AnswerRequest sends the final answer to a request whose task does not run: shed if a retry is safe, else failed.
	AnswerRequest(alloc uint32, shed bool)
	// NotifyMigration tells the client to request its running task again, so that it is placed on another node.
	NotifyMigration(alloc uint32)
	// NotifyEnd notifies the client that its running task has ended.
	NotifyEnd(alloc uint32, verdict logic.Outcome)
	// Forget is the last call for an allocation. mayHaveRun says that one of its attempts may have run.
	Forget(alloc uint32, mayHaveRun bool)
	// Probe sends a health check to a node. The caller passes its result to OnProbeResult with the same sequence number.
	Probe(node, seq uint32)
	// PollNodeList requests the changes of the node list. The answer may also be that the list cannot be read.
	PollNodeList()
	// LogLine writes a line about the module or the host to the log.
	LogLine(line string)
}

// idleRoundDelay is the time to the next round of a Host without timers, ms.
const idleRoundDelay = 1000

// Host runs one placement module and holds its allocations, timers and probes.
type Host struct {
	effects        Effects
	module         *logic.Scheduler
	supervisor     moduleSupervisor
	diagnostics    besteffort.Guard // guards reads of the module that are needed only for the log
	estimateErrors estimateErrorSum
	roundInterval  float64 // minimum time between rounds
	maxAttempts    int     // per allocation
	now            float64 // time of the last event or round
	lastRound      float64
	hasEvents      bool // an event was reported since the last round
	timers         timers.Heap[timerKind]
	deadlines      timers.Heap[timerKind] // when clients stop waiting; timers of kind timerDeadline
	allocations    map[uint32]*allocation
	lastID         uint32 // last ID of an allocation or probe; they share one sequence, so a late probe answer never matches an allocation
	probes         map[uint32]pendingProbe
	pauseDetector  pausedetect.Detector
	openCount      int // number of allocations without a final answer
	runningCount   int // number of allocations whose tasks run on nodes
	timeoutGrace   float64
	answerLead     float64
	probeTimeout   float64
}

// New returns a Host with a new module. The seed initializes the module's random numbers.
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

// OpenRequests returns how many allocations have no final answer yet.
func (h *Host) OpenRequests() int { return h.openCount }

// RunningTasks returns how many allocations have a running task.
func (h *Host) RunningTasks() int { return h.runningCount }

// SetTimeoutGrace sets by how many ms the time-outs of attempts and probes are postponed once when they fire, because answers may have been
// received that are not read yet.
func (h *Host) SetTimeoutGrace(ms float64) { h.timeoutGrace = ms }

// SetAnswerLead sets by how many ms before their deadlines open requests are answered, because an answer that is decided later would leave
// after the deadline.
func (h *Host) SetAnswerLead(ms float64) { h.answerLead = ms }

// SetConnectTimeout sets how long connecting to a node may take, in ms. The time-out of probes allows for it, because a probe may have to wait
// for a connection.
func (h *Host) SetConnectTimeout(ms float64) { h.probeTimeout = outcome.ProbeTimeoutFor(ms) }

// Round fires the timers that are due and lets the module decide. It does nothing before EarliestRound. After a pause of the process, a round
// only records the pause, so that messages received in the meantime are read before time-outs fire.
func (h *Host) Round(now float64) {
	if now < h.EarliestRound() {
		return
	}
	h.recordEvent(now)
	h.lastRound = h.now
	pausedFor, act := h.pauseDetector.OnRound(h.now, h.hasEvents)
	h.hasEvents = false
	if pausedFor > 0 {
		h.effects.LogLine(fmt.Sprintf("process was paused for %.0f ms with %d open allocations; processing received messages before acting",
			pausedFor, h.openCount))
	}
	if !act || h.recoverModule() {
		return
	}
	h.fireTimers()
	h.callModule(func(m *logic.Scheduler) { m.Decide(h.now) })
}

// ResumeAt returns when the process may act again after a pause: until then messages that were received during the pause may be unread. It is in
// the past unless a round has just recorded a pause.
func (h *Host) ResumeAt() float64 { return h.pauseDetector.ResumeAt() }

// EarliestRound returns the earliest time of the next round.
func (h *Host) EarliestRound() float64 { return h.lastRound + h.roundInterval }

// NextRound returns the time by which Round must be called.
func (h *Host) NextRound() float64 {
	at, ok := h.timers.First()
	if !ok {
		at = h.now + idleRoundDelay
	}
	if deadline, ok := h.deadlines.First(); ok {
		at = min(at, deadline-h.answerLead)
	}
	if h.hasEvents {
		at = h.now
	}
	if h.supervisor.failed {
		at = min(at, h.now+watchdog.CheckInterval())
	}
	return max(at, h.EarliestRound(), h.pauseDetector.ResumeAt())
}

// recordEvent advances the host's time to that of an event and marks that the next round has events to handle.
func (h *Host) recordEvent(now float64) {
	h.now = max(h.now, now)
	h.hasEvents = true
}

// Close answers all open requests as failed, which does not promise that their tasks never ran.
func (h *Host) Close(now float64) {
	h.recordEvent(now)
	h.answerAll(func(*allocation) bool { return false })
}
