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

type due uint8

const (
	dueWake      due = iota // a timer of the module, by its key
	dueTry                  // a try's time-out, by tryKey
	dueTryLate              // that waited for answers which may lie unread
	dueUnsent               // an offer that was not sent comes back, by tryKey
	dueCalled               // the outcome of a try that was called off, by tryKey
	dueLapse                // an allocation's expiry, by its number
	dueEnd                  // the end of waiting for a node to confirm an end, by tryKey
	dueProbe                // a probe's time-out, by node and number
	dueProbeLate            // that waited likewise
	dueSweep                // an answered allocation may be forgotten, by its number
)

// waits are time-outs that wait once for answers which may lie unread, and what they are then.
var waits = map[due]due{dueTry: dueTryLate, dueProbe: dueProbeLate}

func tryKey(alloc uint32, try int) uint64 { return uint64(alloc)<<8 | uint64(uint8(try)) }

type alloc struct {
	request  request
	node     uint32
	expiry   float64
	sentAt   float64
	tries    int
	before   int  // of them, those that the module in use did not make
	out      bool // a try has no outcome yet
	stands   bool // and it started
	moved    bool // its client is to request again
	over     bool // the final answer is given, or none is owed any more
	unheard  bool // the client is owed no word of its end
	noted    bool // the node sent notes on the attempt that is out
	awaiting bool // its outcome is on its way already
}

// request is what an allocation requests.
type request struct {
	jobType, tenant int
	service         uint64
	cores, memory   float64
}

// Host is one module with what the wire's side of it would keep.
type Host struct {
	edge   Effects
	mod    *logic.Scheduler
	fence  fence
	words  besteffort.Guard // what is read for people alone
	off    off
	step   float64
	most   int
	now    float64
	last   float64
	news   bool
	bells  timers.Heap[due]
	allocs map[uint32]*alloc
	count  uint32
	probes map[uint32]probe
	stalls pausedetect.Detector
	open   int
	stands int

	patience float64
	probeFor float64
}

type probe struct {
	seq uint32
	at  float64
}

// New starts a module.
func New(edge Effects, now float64, seed uint64, cl *logic.Cluster) *Host {
	h := &Host{
		edge: edge, step: cl.MinRoundInterval, most: cl.MaxAttempts, now: now, last: math.Inf(-1), allocs: map[uint32]*alloc{},
		probes: map[uint32]probe{}, probeFor: outcome.ProbeTimeout(),
	}
	h.words.Tell = func(what, why string) { h.edge.LogLine("words: " + what + " switched off: " + why) }
	h.fence.begin(now, seed, cl)
	h.mod = logic.New(acts{h}, now, seed, cl)
	return h
}

// OpenRequests is how many allocations have no final answer, Stands how many stand at nodes.
func (h *Host) OpenRequests() int { return h.open }
func (h *Host) RunningTasks() int { return h.stands }

// SetTimeoutGrace is how long, in ms, a time-out waits from now on when it runs out, as answers may lie unread.
func (h *Host) SetTimeoutGrace(ms float64) { h.patience = ms }

// SetConnectTimeout says how long a connection to a node may take to be made, which a probe may have to wait for.
func (h *Host) SetConnectTimeout(ms float64) { h.probeFor = outcome.ProbeTimeoutFor(ms) }

// Round rings what is due and lets the module decide. Rounds come no closer than the step; one that comes too early
// does nothing.
func (h *Host) Round(now float64) {
	if now < h.last+h.step {
		return
	}
	h.hear(now)
	h.last = h.now
	stood, act := h.stalls.OnRound(h.now, h.news)
	h.news = false
	if stood > 0 {
		h.edge.LogLine(fmt.Sprintf("stall: stood still %.0f ms, %d open, reads before it acts", stood, h.open))
	}
	if !act || h.down() {
		return
	}
	for {
		b, ok := h.bells.Next(h.now)
		if !ok {
			break
		}
		if late, ok := waits[b.Kind]; ok && h.patience > 0 {
			h.bells.Set(h.now+h.patience, late, b.Key)
			continue
		}
		h.ring(b.Kind, b.Key)
	}
	h.tell(func(m *logic.Scheduler) { m.Decide(h.now) })
}

// EarliestRound is when the next round may be.
func (h *Host) EarliestRound() float64 { return h.last + h.step }

// NextRound is when Round is to be called at the latest.
func (h *Host) NextRound() float64 {
	at, ok := h.bells.First()
	if !ok {
		at = h.now + 1000
	}
	if h.news {
		at = h.now
	}
	if h.fence.down {
		at = min(at, h.now+watchdog.CheckInterval())
	}
	return max(at, h.last+h.step, h.stalls.ResumeAt())
}

func (h *Host) hear(now float64) {
	h.now = max(h.now, now)
	h.news = true
}

func (h *Host) ring(what due, key uint64) {
	id, try := uint32(key>>8), int(uint8(key))
	switch what {
	case dueWake:
		h.tell(func(m *logic.Scheduler) { m.OnTimer(h.now, key) })
	case dueProbe, dueProbeLate:
		node := uint32(key >> 32)
		if p, ok := h.probes[node]; ok && p.seq == uint32(key) {
			delete(h.probes, node)
			h.tell(func(m *logic.Scheduler) {
				m.OnProbeResult(h.now, logic.ProbeResult{Node: node, Outcome: logic.TimedOut, Duration: h.now - p.at})
			})
		}
	case dueLapse:
		if a := h.allocs[uint32(key)]; a != nil && !a.over {
			h.edge.AnswerRequest(uint32(key), false)
			h.lapse(uint32(key), a)
		}
	case dueTry, dueTryLate:
		if a := h.allocs[id]; a != nil && a.out && !a.stands && !a.awaiting && a.tries == try+1 {
			h.edge.CancelAttempt(id, uint8(try), a.node)
			h.settle(id, a, logic.TimedOut, logic.ReasonUnknown, nil)
		}
	case dueSweep:
		if a := h.allocs[uint32(key)]; a != nil {
			h.sweep(uint32(key), a)
		}
	case dueUnsent:
		h.late(id, try, logic.NotSent)
	case dueCalled, dueEnd:
		if a := h.allocs[id]; a != nil && a.moved && a.out && a.tries == try+1 {
			h.edge.StopTask(id, a.node)
		}
		h.late(id, try, logic.Cancelled)
	}
}

func (h *Host) late(id uint32, try int, v logic.Outcome) {
	if a := h.allocs[id]; a != nil && a.out && a.tries == try+1 {
		h.settle(id, a, v, logic.ReasonUnknown, nil)
	}
}

// ListBegin, ListNode and ListEnd hand the node list to the module.
func (h *Host) ListBegin(now float64, kind logic.ListKind) {
	h.hear(now)
	h.fence.list.begin(kind)
	h.tell(func(m *logic.Scheduler) { m.OnListBegin(h.now, kind) })
}

func (h *Host) ListNode(node uint32, avail logic.Availability, since, freeCores, freeMemory float64, zone, cell, kind int) {
	h.fence.list.node(h.now, node, entry{avail, since, freeCores, freeMemory, zone, cell, kind, 0})
	h.tell(func(m *logic.Scheduler) {
		m.OnListNode(h.now, logic.ListEntry{
			Node: node, Availability: avail, StartedAt: since, FreeCores: freeCores,
			FreeMemory: freeMemory, Zone: zone, Cell: cell, Kind: kind,
		})
	})
}

func (h *Host) ListEnd() {
	h.fence.list.end()
	h.prune()
	h.tell(func(m *logic.Scheduler) { m.OnListEnd(h.now) })
}

// Allocate takes an allocation and gives it a number.
func (h *Host) Allocate(now float64, jobType, tenant int, expiry float64, service uint64, cores, memory float64) uint32 {
	h.hear(now)
	h.count++
	h.allocs[h.count] = &alloc{request: request{jobType, tenant, service, cores, memory}, expiry: expiry}
	h.open++
	h.bells.Set(expiry, dueLapse, uint64(h.count))
	h.tell(func(m *logic.Scheduler) {
		m.OnRequest(h.now, logic.Request{
			Allocation: h.count, Class: jobType, Tenant: tenant, Deadline: expiry,
			Service: service, Cores: cores, Memory: memory,
		})
	})
	return h.count
}

// RecoverTask takes what stands at a node already.
func (h *Host) RecoverTask(now float64, jobType, tenant int, service uint64, cores, memory float64, node uint32) uint32 {
	h.hear(now)
	h.count++
	h.allocs[h.count] = &alloc{
		request: request{jobType, tenant, service, cores, memory}, node: node, sentAt: h.now, tries: 1, out: true,
		stands: true, over: true,
	}
	h.stands++
	h.tell(func(m *logic.Scheduler) {
		m.OnRecovered(h.now, logic.Recovered{Request: logic.Request{
			Allocation: h.count, Class: jobType, Tenant: tenant,
			Service: service, Cores: cores, Memory: memory,
		}, Node: node})
	})
	return h.count
}

// OnStarted says that a try's node has answered that the task stands. False if it is waited for no more, so that what
// stands is to end.
func (h *Host) OnStarted(now float64, id uint32, try uint8) bool {
	a := h.allocs[id]
	if a == nil || !a.out || a.stands || a.awaiting || a.over || a.tries != int(try)+1 || now >= a.expiry {
		return false
	}
	h.hear(now)
	a.stands = true
	h.stands++
	h.answered(a)
	h.tell(func(m *logic.Scheduler) { m.OnStarted(h.now, id, a.told(), h.now-a.sentAt) })
	return true
}

// OnOutcome says how a try, or what stood by it, has ended.
func (h *Host) OnOutcome(now float64, id uint32, try uint8, verdict logic.Outcome, why logic.Reason, report []float64) {
	a := h.allocs[id]
	if a == nil || !a.out || a.tries != int(try)+1 || a.awaiting {
		return
	}
	h.hear(now)
	h.settle(id, a, verdict, why, report)
}

// OnEarlyEnd says that a node told the end of an attempt before it answered it. Where the task had been running, the request gets its
// final answer at once and no other attempt; else the outcome is that of an attempt that never started. It tells whether the task had been
// running, so that an answer may still follow.
func (h *Host) OnEarlyEnd(now float64, id uint32, attempt uint8, end outcome.EarlyEnd, report []float64) (ran bool) {
	a := h.allocs[id]
	if a == nil || !a.out || a.stands || a.tries != int(attempt)+1 || a.awaiting {
		return false
	}
	h.hear(now)
	end.Noted = a.noted
	ran = end.Ran()
	if ran && !a.over {
		job := h.fence.cl.JobClasses[a.request.jobType]
		h.edge.AnswerRequest(id, outcome.IsRetrySafeAfterRun(job.Semantics, job.IdempotencyScope))
		h.answered(a)
		h.tell(func(m *logic.Scheduler) { m.OnExpired(h.now, id) })
	}
	h.settle(id, a, end.Unstarted, end.Reason, report)
	return ran
}

// OnTaskLost says that what stands under a number was lost with its node.
func (h *Host) OnTaskLost(now float64, id uint32) {
	if a := h.allocs[id]; a != nil && a.stands {
		h.hear(now)
		h.settle(id, a, logic.ConnectionLost, logic.ReasonUnknown, nil)
	}
}

func (h *Host) settle(id uint32, a *alloc, v logic.Outcome, why logic.Reason, report []float64) {
	if a.stands {
		h.stands--
		if !a.unheard {
			h.edge.NotifyEnd(id, v)
		}
	}
	a.out, a.stands, a.awaiting = false, false, false
	h.weigh(a.node, report)
	h.tell(func(m *logic.Scheduler) {
		m.OnOutcome(h.now, logic.AttemptResult{
			Allocation: id, Node: a.node, Attempt: a.told(),
			Duration: h.now - a.sentAt, Answered: a.over, Reason: why, Outcome: v, Report: report,
		})
	})
	h.sweep(id, a)
}

// OnNote says what a node tells of a task.
func (h *Host) OnNote(now float64, id uint32, kind logic.TaskMetric, value float64) {
	if a := h.allocs[id]; a != nil && a.out {
		h.hear(now)
		a.noted = true
		h.tell(func(m *logic.Scheduler) {
			m.OnTaskMetric(h.now, logic.TaskSample{Allocation: id, Attempt: a.told(), Node: a.node, Metric: kind, Value: value})
		})
	}
}

// OnWithdrawn says that the client wants the allocation no more, whether it waits or stands; no word of it is owed.
func (h *Host) OnWithdrawn(now float64, id uint32) {
	a := h.allocs[id]
	if a == nil || a.unheard {
		return
	}
	h.hear(now)
	a.unheard = true
	if a.stands {
		h.edge.StopTask(id, a.node)
		h.bells.Set(h.now+outcome.EndTimeout(), dueEnd, tryKey(id, a.tries-1))
		h.tell(func(m *logic.Scheduler) { m.OnExpired(h.now, id) })
		return
	}
	if !a.over {
		h.lapse(id, a)
	}
}

// lapse ends an allocation that the module has not answered. A try that is out is called off.
func (h *Host) lapse(id uint32, a *alloc) {
	h.answered(a)
	h.tell(func(m *logic.Scheduler) { m.OnExpired(h.now, id) })
	h.callOff(id, a)
	h.sweep(id, a)
}

// Close answers all that is open: it failed, as far as anybody can tell.
func (h *Host) Close(now float64) {
	h.hear(now)
	h.answerAll(func(*alloc) bool { return false })
}

// answerAll gives all that is open its final answer: declined where that is harmless, else failed.
func (h *Host) answerAll(harmless func(*alloc) bool) {
	for _, id := range slices.Sorted(maps.Keys(h.allocs)) {
		if a := h.allocs[id]; a != nil && !a.over {
			h.edge.AnswerRequest(id, harmless(a))
			h.lapse(id, a)
		}
	}
}

func (h *Host) callOff(id uint32, a *alloc) {
	if a.out && !a.stands && !a.awaiting {
		a.awaiting = true
		h.edge.CancelAttempt(id, uint8(a.tries-1), a.node)
		h.bells.Set(h.now+h.step, dueCalled, tryKey(id, a.tries-1))
	}
}

func (h *Host) answered(a *alloc) {
	if !a.over {
		a.over = true
		h.open--
	}
}

func (h *Host) sweep(id uint32, a *alloc) {
	if a.over && !a.out {
		delete(h.allocs, id)
		h.edge.Forget(id)
	}
}

// OnProbeResult says how a probe went.
func (h *Host) OnProbeResult(now float64, node, seq uint32, verdict logic.Outcome, report []float64) {
	if p, ok := h.probes[node]; ok && p.seq == seq {
		h.hear(now)
		delete(h.probes, node)
		h.weigh(node, report)
		h.tell(func(m *logic.Scheduler) {
			m.OnProbeResult(h.now, logic.ProbeResult{Node: node, Outcome: verdict, Duration: h.now - p.at, Report: report})
		})
	}
}
