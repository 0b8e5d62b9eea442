package host

import "ravenpond/internal/decide/outcome"

// moduleEffects carries out the module's decisions on the host. It implements logic.Effects.
type moduleEffects struct{ host *Host }

// StartAttempt sends an attempt. The call is ignored if the allocation is unknown or was already dropped.
func (e moduleEffects) StartAttempt(id, node uint32, timeout float64) {
	if a := e.host.allocations[id]; a != nil {
		e.host.startAttempt(a, node, timeout)
	}
}

// Shed answers a request: its task does not run, and a retry is safe.
func (e moduleEffects) Shed(id uint32, _ float64) { e.answer(id, true) }

// Fail answers a request: its task may have run.
func (e moduleEffects) Fail(id uint32) { e.answer(id, false) }

// answer gives a request its final answer. The allocation is dropped in a later round, because the module still uses it in this one.
func (e moduleEffects) answer(id uint32, shed bool) {
	h := e.host
	if a := h.allocations[id]; a != nil && !a.answered {
		h.markAnswered(a)
		h.effects.AnswerRequest(id, shed)
		h.timers.Set(h.now+h.roundInterval, timerForget, uint64(id))
	}
}

// Cancel cancels an attempt. The number is the one that the current module uses for it.
func (e moduleEffects) Cancel(id uint32, attempt uint8) {
	if a := e.host.allocations[id]; a != nil && a.moduleAttempt() == attempt {
		e.host.cancelAttempt(a)
	}
}

// Migrate tells the client of a running task to request it again. The client also stops the task at its node: if the scheduler's stop arrived
// there first, the client would get no notification. The scheduler sends a stop only if the node does not confirm the end in time.
func (e moduleEffects) Migrate(id uint32) {
	h := e.host
	if a := h.allocations[id]; a != nil && a.running && !a.suppressEndNotification {
		a.suppressEndNotification, a.migrating = true, true
		h.effects.NotifyMigration(id)
		h.timers.Set(h.now+outcome.EndTimeout(), timerStopUnconfirmed, attemptKey(id, a.lastAttempt()))
	}
}

// Probe sends a health check to a node.
func (e moduleEffects) Probe(node uint32) { e.host.sendProbe(node) }

// WatchList polls the node list when a watch begins. The list is watched permanently, so nothing has to be done when a watch ends.
func (e moduleEffects) WatchList(active bool) {
	if active {
		e.host.effects.PollNodeList()
	}
}

// ReloadList polls the node list, as WatchList does.
func (e moduleEffects) ReloadList() { e.host.effects.PollNodeList() }

// SetTimer sets a timer of the module.
func (e moduleEffects) SetTimer(delay float64, key uint64) {
	e.host.timers.Set(e.host.now+max(0, delay), timerModule, key)
}

// Log writes a line to the log.
func (e moduleEffects) Log(line string) { e.host.effects.LogLine(line) }
