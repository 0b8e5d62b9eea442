// Package host runs one placement module on what a program hears: it gives each event and action the meaning that it
// has on the bench's wire. Tries are numbered and timed, what can't be sent comes back as not sent, and outcomes come
// in a later round than the action that brought them about. It is free of I/O, clocks and goroutines: events come with
// their times, effects go to an Edge, and calls come one at a time, never from inside an effect.
package host

import (
	"fmt"
	"maps"
	"math"
	"slices"

	"ravenpond/internal/besteffort"
	"ravenpond/internal/decide/outcome"
	"ravenpond/internal/decide/pausedetect"
	"ravenpond/internal/decide/watchdog"
	"ravenpond/internal/timers"
	"ravenpond/logic"
)

// Effects carries out effects.
type Effects interface {
	RequestPlacement(alloc uint32, try uint8, node uint32, left float64)
	CancelAttempt(alloc uint32, try uint8, node uint32) // a try that is out is waited for no more
	StopTask(alloc uint32, node uint32)                 // what stands at a node is to end
	AnswerRequest(alloc uint32, declined bool)          // final, but for served
	NotifyMove(alloc uint32)
	NotifyEnd(alloc uint32, verdict logic.Outcome) // what stood has ended, and its client is owed the news
	Forget(alloc uint32)                           // nothing more will be said of it
	Probe(node, seq uint32)
	PollEndpoints()
	LogLine(line string)
}

type timerKind uint8

const (
	timerModule          timerKind = iota // a timer of the module, by its key
	timerAttempt                          // a try's time-out, by tryKey
	timerAttemptGrace                     // that waited for answers which may lie unread
	timerUnsent                           // an offer that was not sent comes back, by tryKey
	timerCancelled                        // the outcome of a try that was called off, by tryKey
	timerDeadline                         // an allocation's expiry, by its number
	timerStopUnconfirmed                  // the end of waiting for a node to confirm an end, by tryKey
	timerProbe                            // a probe's time-out, by node and number
	timerProbeGrace                       // that waited likewise
	timerForget                           // an answered allocation may be forgotten, by its number
)

// graceTimers are time-outs that wait once for answers which may lie unread, and what they are then.
var graceTimers = map[timerKind]timerKind{timerAttempt: timerAttemptGrace, timerProbe: timerProbeGrace}

func attemptKey(allocID uint32, attempt int) uint64 {
	return uint64(allocID)<<8 | uint64(uint8(attempt))
}

type allocation struct {
	request              request
	node                 uint32
	deadline             float64
	sentAt               float64
	attempts             int
	attemptsBeforeModule int  // of them, those that the module in use did not make
	inFlight             bool // a try has no outcome yet
	running              bool // and it started
	moving               bool // its client is to request again
	answered             bool // the final answer is given, or none is owed any more
	endNotOwed           bool // the client is owed no word of its end
	noted                bool // the node sent notes on the attempt that is out
	outcomePending       bool // its outcome is on its way already
}

// request is what an allocation requests.
type request struct {
	jobType, tenant int
	service         uint64
	cores, memory   float64
}

// Host is one module with what the wire's side of it would keep.
type Host struct {
	effects       Effects
	module        *logic.Scheduler
	supervisor    moduleSupervisor
	diagnostics   besteffort.Guard // what is read for people alone
	beliefErrors  beliefErrorSum
	roundInterval float64
	maxAttempts   int
	now           float64
	lastRound     float64
	hasEvents     bool
	timers        timers.Heap[timerKind]
	allocations   map[uint32]*allocation
	lastID        uint32
	probes        map[uint32]pendingProbe
	stallDetector pausedetect.Detector
	openCount     int
	runningCount  int

	timeoutGrace float64
	probeTimeout float64
}

type pendingProbe struct {
	seq    uint32
	sentAt float64
}

// New starts a module.
func New(effects Effects, now float64, seed uint64, cluster *logic.Cluster) *Host {
	h := &Host{
		effects: effects, roundInterval: cluster.MinRoundInterval, maxAttempts: cluster.MaxAttempts, now: now, lastRound: math.Inf(-1), allocations: map[uint32]*allocation{},
		probes: map[uint32]pendingProbe{}, probeTimeout: outcome.ProbeTimeout(),
	}
	h.diagnostics.Report = func(what, why string) { h.effects.LogLine("words: " + what + " switched off: " + why) }
	h.supervisor.init(now, seed, cluster)
	h.module = logic.New(moduleEffects{h}, now, seed, cluster)
	return h
}

// OpenRequests is how many allocations have no final answer, Stands how many stand at nodes.
func (h *Host) OpenRequests() int { return h.openCount }
func (h *Host) RunningTasks() int { return h.runningCount }

// SetTimeoutGrace is how long, in ms, a time-out waits from now on when it runs out, as answers may lie unread.
func (h *Host) SetTimeoutGrace(ms float64) { h.timeoutGrace = ms }

// SetConnectTimeout says how long a connection to a node may take to be made, which a probe may have to wait for.
func (h *Host) SetConnectTimeout(ms float64) { h.probeTimeout = outcome.ProbeTimeoutFor(ms) }

// Round rings what is due and lets the module decide. Rounds come no closer than the step; one that comes too early
// does nothing.
func (h *Host) Round(now float64) {
	if now < h.lastRound+h.roundInterval {
		return
	}
	h.recordEvent(now)
	h.lastRound = h.now
	stalledFor, act := h.stallDetector.OnRound(h.now, h.hasEvents)
	h.hasEvents = false
	if stalledFor > 0 {
		h.effects.LogLine(fmt.Sprintf("stall: stood still %.0f ms, %d open, reads before it acts", stalledFor, h.openCount))
	}
	if !act || h.recoverModule() {
		return
	}
	for {
		timer, ok := h.timers.Next(h.now)
		if !ok {
			break
		}
		if graceTimer, ok := graceTimers[timer.Kind]; ok && h.timeoutGrace > 0 {
			h.timers.Set(h.now+h.timeoutGrace, graceTimer, timer.Key)
			continue
		}
		h.onTimer(timer.Kind, timer.Key)
	}
	h.callModule(func(m *logic.Scheduler) { m.Decide(h.now) })
}

// EarliestRound is when the next round may be.
func (h *Host) EarliestRound() float64 { return h.lastRound + h.roundInterval }

// NextRound is when Round is to be called at the latest.
func (h *Host) NextRound() float64 {
	at, ok := h.timers.First()
	if !ok {
		at = h.now + 1000
	}
	if h.hasEvents {
		at = h.now
	}
	if h.supervisor.failed {
		at = min(at, h.now+watchdog.CheckInterval())
	}
	return max(at, h.lastRound+h.roundInterval, h.stallDetector.ResumeAt())
}

func (h *Host) recordEvent(now float64) {
	h.now = max(h.now, now)
	h.hasEvents = true
}

func (h *Host) onTimer(kind timerKind, key uint64) {
	id, attempt := uint32(key>>8), int(uint8(key))
	switch kind {
	case timerModule:
		h.callModule(func(m *logic.Scheduler) { m.OnTimer(h.now, key) })
	case timerProbe, timerProbeGrace:
		node := uint32(key >> 32)
		if p, ok := h.probes[node]; ok && p.seq == uint32(key) {
			delete(h.probes, node)
			h.callModule(func(m *logic.Scheduler) {
				m.OnProbeResult(h.now, logic.ProbeResult{Node: node, Outcome: logic.TimedOut, Duration: h.now - p.sentAt})
			})
		}
	case timerDeadline:
		if a := h.allocations[uint32(key)]; a != nil && !a.answered {
			h.effects.AnswerRequest(uint32(key), false)
			h.expire(uint32(key), a)
		}
	case timerAttempt, timerAttemptGrace:
		if a := h.allocations[id]; a != nil && a.inFlight && !a.running && !a.outcomePending && a.attempts == attempt+1 {
			h.effects.CancelAttempt(id, uint8(attempt), a.node)
			h.complete(id, a, logic.TimedOut, logic.ReasonUnknown, nil)
		}
	case timerForget:
		if a := h.allocations[uint32(key)]; a != nil {
			h.forgetIfDone(uint32(key), a)
		}
	case timerUnsent:
		h.completeIfCurrent(id, attempt, logic.NotSent)
	case timerCancelled, timerStopUnconfirmed:
		if a := h.allocations[id]; a != nil && a.moving && a.inFlight && a.attempts == attempt+1 {
			h.effects.StopTask(id, a.node)
		}
		h.completeIfCurrent(id, attempt, logic.Cancelled)
	}
}

func (h *Host) completeIfCurrent(id uint32, attempt int, verdict logic.Outcome) {
	if a := h.allocations[id]; a != nil && a.inFlight && a.attempts == attempt+1 {
		h.complete(id, a, verdict, logic.ReasonUnknown, nil)
	}
}

// ListBegin, ListNode and ListEnd hand the node list to the module.
func (h *Host) ListBegin(now float64, kind logic.ListKind) {
	h.recordEvent(now)
	h.supervisor.list.begin(kind)
	h.callModule(func(m *logic.Scheduler) { m.OnListBegin(h.now, kind) })
}

func (h *Host) ListNode(node uint32, avail logic.Availability, since, freeCores, freeMemory float64, zone, cell, kind int) {
	h.supervisor.list.node(h.now, node, listEntry{avail, since, freeCores, freeMemory, zone, cell, kind, 0})
	h.callModule(func(m *logic.Scheduler) {
		m.OnListNode(h.now, logic.ListEntry{
			Node: node, Availability: avail, StartedAt: since, FreeCores: freeCores,
			FreeMemory: freeMemory, Zone: zone, Cell: cell, Kind: kind,
		})
	})
}

func (h *Host) ListEnd() {
	h.supervisor.list.end()
	h.pruneGoneNodes()
	h.callModule(func(m *logic.Scheduler) { m.OnListEnd(h.now) })
}

// Allocate takes an allocation and gives it a number.
func (h *Host) Allocate(now float64, jobType, tenant int, expiry float64, service uint64, cores, memory float64) uint32 {
	h.recordEvent(now)
	h.lastID++
	h.allocations[h.lastID] = &allocation{request: request{jobType, tenant, service, cores, memory}, deadline: expiry}
	h.openCount++
	h.timers.Set(expiry, timerDeadline, uint64(h.lastID))
	h.callModule(func(m *logic.Scheduler) {
		m.OnRequest(h.now, logic.Request{
			Allocation: h.lastID, Class: jobType, Tenant: tenant, Deadline: expiry,
			Service: service, Cores: cores, Memory: memory,
		})
	})
	return h.lastID
}

// RecoverTask takes what stands at a node already.
func (h *Host) RecoverTask(now float64, jobType, tenant int, service uint64, cores, memory float64, node uint32) uint32 {
	h.recordEvent(now)
	h.lastID++
	h.allocations[h.lastID] = &allocation{
		request: request{jobType, tenant, service, cores, memory}, node: node, sentAt: h.now, attempts: 1, inFlight: true,
		running: true, answered: true,
	}
	h.runningCount++
	h.callModule(func(m *logic.Scheduler) {
		m.OnRecovered(h.now, logic.Recovered{Request: logic.Request{
			Allocation: h.lastID, Class: jobType, Tenant: tenant,
			Service: service, Cores: cores, Memory: memory,
		}, Node: node})
	})
	return h.lastID
}

// OnStarted says that a try's node has answered that the task stands. False if it is waited for no more, so that what
// stands is to end.
func (h *Host) OnStarted(now float64, id uint32, attempt uint8) bool {
	a := h.allocations[id]
	if a == nil || !a.inFlight || a.running || a.outcomePending || a.answered || a.attempts != int(attempt)+1 || now >= a.deadline {
		return false
	}
	h.recordEvent(now)
	a.running = true
	h.runningCount++
	h.markAnswered(a)
	h.callModule(func(m *logic.Scheduler) { m.OnStarted(h.now, id, a.moduleAttempt(), h.now-a.sentAt) })
	return true
}

// OnOutcome says how a try, or what stood by it, has ended.
func (h *Host) OnOutcome(now float64, id uint32, attempt uint8, verdict logic.Outcome, reason logic.Reason, report []float64) {
	a := h.allocations[id]
	if a == nil || !a.inFlight || a.attempts != int(attempt)+1 || a.outcomePending {
		return
	}
	h.recordEvent(now)
	h.complete(id, a, verdict, reason, report)
}

// OnEarlyEnd says that a node told the end of an attempt before it answered it. Where the task had been running, the request gets its
// final answer at once and no other attempt; else the outcome is that of an attempt that never started. It tells whether the task had been
// running, so that an answer may still follow.
func (h *Host) OnEarlyEnd(now float64, id uint32, attempt uint8, end outcome.EarlyEnd, report []float64) (ran bool) {
	a := h.allocations[id]
	if a == nil || !a.inFlight || a.running || a.attempts != int(attempt)+1 || a.outcomePending {
		return false
	}
	h.recordEvent(now)
	end.Noted = a.noted
	ran = end.Ran()
	if ran && !a.answered {
		job := h.supervisor.cluster.JobClasses[a.request.jobType]
		h.effects.AnswerRequest(id, outcome.IsRetrySafeAfterRun(job.Semantics, job.IdempotencyScope))
		h.markAnswered(a)
		h.callModule(func(m *logic.Scheduler) { m.OnExpired(h.now, id) })
	}
	h.complete(id, a, end.Unstarted, end.Reason, report)
	return ran
}

// OnTaskLost says that what stands under a number was lost with its node.
func (h *Host) OnTaskLost(now float64, id uint32) {
	if a := h.allocations[id]; a != nil && a.running {
		h.recordEvent(now)
		h.complete(id, a, logic.ConnectionLost, logic.ReasonUnknown, nil)
	}
}

func (h *Host) complete(id uint32, a *allocation, verdict logic.Outcome, reason logic.Reason, report []float64) {
	if a.running {
		h.runningCount--
		if !a.endNotOwed {
			h.effects.NotifyEnd(id, verdict)
		}
	}
	a.inFlight, a.running, a.outcomePending = false, false, false
	h.recordBeliefError(a.node, report)
	h.callModule(func(m *logic.Scheduler) {
		m.OnOutcome(h.now, logic.AttemptResult{
			Allocation: id, Node: a.node, Attempt: a.moduleAttempt(),
			Duration: h.now - a.sentAt, Answered: a.answered, Reason: reason, Outcome: verdict, Report: report,
		})
	})
	h.forgetIfDone(id, a)
}

// OnNote says what a node tells of a task.
func (h *Host) OnNote(now float64, id uint32, kind logic.TaskMetric, value float64) {
	if a := h.allocations[id]; a != nil && a.inFlight {
		h.recordEvent(now)
		a.noted = true
		h.callModule(func(m *logic.Scheduler) {
			m.OnTaskMetric(h.now, logic.TaskSample{Allocation: id, Attempt: a.moduleAttempt(), Node: a.node, Metric: kind, Value: value})
		})
	}
}

// OnWithdrawn says that the client wants the allocation no more, whether it waits or stands; no word of it is owed.
func (h *Host) OnWithdrawn(now float64, id uint32) {
	a := h.allocations[id]
	if a == nil || a.endNotOwed {
		return
	}
	h.recordEvent(now)
	a.endNotOwed = true
	if a.running {
		h.effects.StopTask(id, a.node)
		h.timers.Set(h.now+outcome.EndTimeout(), timerStopUnconfirmed, attemptKey(id, a.attempts-1))
		h.callModule(func(m *logic.Scheduler) { m.OnExpired(h.now, id) })
		return
	}
	if !a.answered {
		h.expire(id, a)
	}
}

// expire ends an allocation that the module has not answered. A try that is out is called off.
func (h *Host) expire(id uint32, a *allocation) {
	h.markAnswered(a)
	h.callModule(func(m *logic.Scheduler) { m.OnExpired(h.now, id) })
	h.cancelAttempt(id, a)
	h.forgetIfDone(id, a)
}

// Close answers all that is open: it failed, as far as anybody can tell.
func (h *Host) Close(now float64) {
	h.recordEvent(now)
	h.answerAll(func(*allocation) bool { return false })
}

// answerAll gives all that is open its final answer: declined where that is harmless, else failed.
func (h *Host) answerAll(harmless func(*allocation) bool) {
	for _, id := range slices.Sorted(maps.Keys(h.allocations)) {
		if a := h.allocations[id]; a != nil && !a.answered {
			h.effects.AnswerRequest(id, harmless(a))
			h.expire(id, a)
		}
	}
}

func (h *Host) cancelAttempt(id uint32, a *allocation) {
	if a.inFlight && !a.running && !a.outcomePending {
		a.outcomePending = true
		h.effects.CancelAttempt(id, uint8(a.attempts-1), a.node)
		h.timers.Set(h.now+h.roundInterval, timerCancelled, attemptKey(id, a.attempts-1))
	}
}

func (h *Host) markAnswered(a *allocation) {
	if !a.answered {
		a.answered = true
		h.openCount--
	}
}

func (h *Host) forgetIfDone(id uint32, a *allocation) {
	if a.answered && !a.inFlight {
		delete(h.allocations, id)
		h.effects.Forget(id)
	}
}

// OnProbeResult says how a probe went.
func (h *Host) OnProbeResult(now float64, node, seq uint32, verdict logic.Outcome, report []float64) {
	if p, ok := h.probes[node]; ok && p.seq == seq {
		h.recordEvent(now)
		delete(h.probes, node)
		h.recordBeliefError(node, report)
		h.callModule(func(m *logic.Scheduler) {
			m.OnProbeResult(h.now, logic.ProbeResult{Node: node, Outcome: verdict, Duration: h.now - p.sentAt, Report: report})
		})
	}
}
