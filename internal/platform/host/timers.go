package host

import "ravenpond/logic"

// timerKind says what a timer is for, and what its key means.
type timerKind uint8

const (
	timerModule          timerKind = iota // a timer of the module; its own key
	timerAttempt                          // an attempt timed out; attemptKey
	timerAttemptGrace                     // the same after the grace for answers that are not read yet
	timerUnsent                           // an attempt that was not sent gets its outcome; attemptKey
	timerCancelled                        // an attempt that was cancelled gets its outcome; attemptKey
	timerDeadline                         // the client stops waiting; allocation
	timerStopUnconfirmed                  // the node has not confirmed that a task was stopped; attemptKey
	timerProbe                            // a probe timed out; probeKey
	timerProbeGrace                       // the same after the grace
	timerForget                           // an allocation that was answered may be forgotten; allocation
)

// graceTimers are the kinds that are put off once, by Host.timeoutGrace, and the kinds that they become.
var graceTimers = map[timerKind]timerKind{timerAttempt: timerAttemptGrace, timerProbe: timerProbeGrace}

// attemptKey packs an allocation and the low byte of an attempt's number into a key.
func attemptKey(alloc uint32, attempt int) uint64 {
	return uint64(alloc)<<8 | uint64(uint8(attempt))
}

func fromAttemptKey(key uint64) (alloc uint32, attempt int) { return uint32(key >> 8), int(uint8(key)) }

// probeKey packs a node and a probe's number into a key.
func probeKey(node, seq uint32) uint64 { return uint64(node)<<32 | uint64(seq) }

func fromProbeKey(key uint64) (node, seq uint32) { return uint32(key >> 32), uint32(key) }

// fireTimers fires all timers that are due.
func (h *Host) fireTimers() {
	for {
		timer, ok := h.timers.Next(h.now)
		if !ok {
			return
		}
		if graceTimer, ok := graceTimers[timer.Kind]; ok && h.timeoutGrace > 0 {
			h.timers.Set(h.now+h.timeoutGrace, graceTimer, timer.Key)
			continue
		}
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
