package host

import "ravenpond/internal/decide/outcome"

// moduleEffects carries out the module's decisions. It implements logic.Effects.
type moduleEffects struct{ host *Host }

// StartAttempt sends an attempt. An allocation that is unknown, or was forgotten, is ignored.
func (e moduleEffects) StartAttempt(id, node uint32, timeout float64) {
	if a := e.host.allocations[id]; a != nil {
		e.host.startAttempt(a, node, timeout)
	}
}

// Shed gives a request the final answer that a retry does no harm.
func (e moduleEffects) Shed(id uint32, _ float64) { e.answer(id, true) }

// Fail gives a request the final answer that promises nothing.
func (e moduleEffects) Fail(id uint32) { e.answer(id, false) }

// answer gives a request its final answer. The allocation is forgotten in a later round: the module still uses it in this one.
func (e moduleEffects) answer(id uint32, shed bool) {
	h := e.host
	if a := h.allocations[id]; a != nil && !a.answered {
		h.markAnswered(a)
		h.effects.AnswerRequest(id, shed)
		h.timers.Set(h.now+h.roundInterval, timerForget, uint64(id))
	}
}

// Cancel cancels an attempt, by the number that the present module gave it.
func (e moduleEffects) Cancel(id uint32, attempt uint8) {
	if a := e.host.allocations[id]; a != nil && a.moduleAttempt() == attempt {
		e.host.cancelAttempt(a)
	}
}

// Migrate has a running task requested anew by its client, which also stops it at its node: a stop that arrived there first would leave the
// client without a notification. Only a node that does not confirm the end in time is told by the scheduler.
func (e moduleEffects) Migrate(id uint32) {
	h := e.host
	if a := h.allocations[id]; a != nil && a.running && !a.suppressEndNotification {
		a.suppressEndNotification, a.migrating = true, true
		h.effects.NotifyMove(id)
		h.timers.Set(h.now+outcome.EndTimeout(), timerStopUnconfirmed, attemptKey(id, a.lastAttempt()))
	}
}

// Probe sends a probe to a node.
func (e moduleEffects) Probe(node uint32) { e.host.sendProbe(node) }

// WatchList polls the node list. The list is watched all the time, so there is nothing to end.
func (e moduleEffects) WatchList(active bool) {
	if active {
		e.host.effects.PollEndpoints()
	}
}

// ReloadList polls the node list.
func (e moduleEffects) ReloadList() { e.host.effects.PollEndpoints() }

// SetTimer sets a timer of the module.
func (e moduleEffects) SetTimer(delay float64, key uint64) {
	e.host.timers.Set(e.host.now+max(0, delay), timerModule, key)
}

// Log writes a line to the log.
func (e moduleEffects) Log(line string) { e.host.effects.LogLine(line) }
