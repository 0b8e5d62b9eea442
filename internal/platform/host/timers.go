package host

import "ravenpond/logic"

// timerKind is the purpose of a timer. It determines what the timer's key means.
type timerKind uint8

const (
	timerModule          timerKind = iota // a timer of the module is due; the key is the module's own
	timerAttempt                          // an attempt timed out; the key is an attemptKey
	timerAttemptGrace                     // an attempt timed out, and the grace for unread answers has passed; attemptKey
	timerUnsent                           // the outcome of an attempt that was not sent is due; attemptKey
	timerCancelled                        // the outcome of a cancelled attempt is due; attemptKey
	timerDeadline                         // the client stops waiting; the key is the ID of the allocation
	timerStopUnconfirmed                  // the node has not confirmed in time that a task was stopped; attemptKey
	timerProbe                            // a health check timed out; the key is a probeKey
	timerProbeGrace                       // a health check timed out, and the grace for unread answers has passed; probeKey
	timerForget                           // an answered allocation may be dropped; the key is its ID
)

// graceTimers maps the kinds of timers that are postponed once, by Host.timeoutGrace, to the kinds that replace them.
var graceTimers = map[timerKind]timerKind{timerAttempt: timerAttemptGrace, timerProbe: timerProbeGrace}

// attemptKey packs the ID of an allocation and the low byte of an attempt's number into a key.
func attemptKey(alloc uint32, attempt int) uint64 {
	return uint64(alloc)<<8 | uint64(uint8(attempt))
}

func fromAttemptKey(key uint64) (alloc uint32, attempt int) { return uint32(key >> 8), int(uint8(key)) }

// probeKey packs a node and the sequence number of a health check into a key.
func probeKey(node, seq uint32) uint64 { return uint64(node)<<32 | uint64(seq) }

func fromProbeKey(key uint64) (node, seq uint32) { return uint32(key >> 32), uint32(key) }

// fireTimers fires all timers that are due, and then the deadlines of requests that are due within answerLead.
func (h *Host) fireTimers() {
	for timer, ok := h.timers.Next(h.now); ok; timer, ok = h.timers.Next(h.now) {
		if graceTimer, ok := graceTimers[timer.Kind]; ok && h.timeoutGrace > 0 {
			h.timers.Set(h.now+h.timeoutGrace, graceTimer, timer.Key)
			continue
		}
		h.onTimer(timer.Kind, timer.Key)
	}
	for timer, ok := h.deadlines.Next(h.now + h.answerLead); ok; timer, ok = h.deadlines.Next(h.now + h.answerLead) {
		h.onTimer(timer.Kind, timer.Key)
	}
}

func (h *Host) onTimer(kind timerKind, key uint64) {
	switch kind {
	case timerModule:
		h.callModule(func(m *logic.Scheduler) { m.OnTimer(h.now, key) })
	case timerProbe, timerProbeGrace:
		h.onProbeTimeout(fromProbeKey(key))
	case timerDeadline:
		h.onDeadline(uint32(key))
	case timerForget:
		if a := h.allocations[uint32(key)]; a != nil {
			h.forgetIfDone(a)
		}
	case timerAttempt, timerAttemptGrace:
		h.onAttemptTimeout(fromAttemptKey(key))
	case timerUnsent:
		if a := h.attemptInFlight(fromAttemptKey(key)); a != nil {
			h.complete(a, logic.NotSent, logic.ReasonUnknown, nil)
		}
	case timerCancelled, timerStopUnconfirmed:
		if a := h.attemptInFlight(fromAttemptKey(key)); a != nil {
			if a.migrating {
				h.effects.StopTask(a.id(), a.node)
			}
			h.complete(a, logic.Cancelled, logic.ReasonUnknown, nil)
		}
	}
}
