package host

import (
	"fmt"

	"ravenpond/internal/decide/outcome"
)

// moduleEffects carries out what the module decides.
type moduleEffects struct{ *Host }

func (h moduleEffects) StartAttempt(id, node uint32, timeout float64) {
	a := h.allocations[id]
	if a == nil {
		return // an id that was never given, or is long over: there is nobody to tell
	}
	if a.inFlight {
		h.effects.LogLine(fmt.Sprintf("refused to offer %d while its try %d is out", id, a.attempts-1))
		return
	}
	a.node, a.sentAt, a.inFlight, a.noted = node, h.now, true, false
	a.attempts++
	key := attemptKey(id, a.attempts-1)
	left := a.deadline - h.now
	if timeout > 0 {
		left = min(left, timeout)
	}
	if a.answered || left <= 0 || a.attempts > h.maxAttempts {
		a.outcomePending = true
		h.timers.Set(h.now+h.roundInterval, timerUnsent, key)
		return
	}
	h.timers.Set(h.now+left, timerAttempt, key)
	h.effects.RequestPlacement(id, uint8(a.attempts-1), node, left)
}

func (h moduleEffects) Shed(id uint32, _ float64) { h.answer(id, true) }

func (h moduleEffects) Fail(id uint32) { h.answer(id, false) }

func (h moduleEffects) answer(id uint32, declined bool) {
	if a := h.allocations[id]; a != nil && !a.answered {
		h.markAnswered(a)
		h.effects.AnswerRequest(id, declined)
		h.timers.Set(h.now+h.roundInterval, timerForget, uint64(id))
	}
}

func (h moduleEffects) Cancel(id uint32, try uint8) {
	if a := h.allocations[id]; a != nil && a.moduleAttempt() == try {
		h.cancelAttempt(id, a)
	}
}

func (h moduleEffects) Migrate(id uint32) {
	if a := h.allocations[id]; a != nil && a.running && !a.endNotOwed {
		a.endNotOwed, a.moving = true, true
		h.effects.NotifyMove(id) // ends it at its node too: a cut that came first there would leave the client untold
		h.timers.Set(h.now+outcome.EndTimeout(), timerStopUnconfirmed, attemptKey(id, a.attempts-1))
	}
}

func (h moduleEffects) Probe(node uint32) {
	h.lastID++ // probes and allocations share numbers, so that a late answer never fits a later probe
	p := pendingProbe{seq: h.lastID, sentAt: h.now}
	h.probes[node] = p
	h.timers.Set(h.now+h.probeTimeout, timerProbe, uint64(node)<<32|uint64(p.seq))
	h.effects.Probe(node, p.seq)
}

func (h moduleEffects) WatchList(active bool) {
	if active {
		h.effects.PollEndpoints()
	}
}

func (h moduleEffects) ReloadList() { h.effects.PollEndpoints() }

func (h moduleEffects) SetTimer(delay float64, key uint64) {
	h.timers.Set(h.now+max(0, delay), timerModule, key)
}

func (h moduleEffects) Log(line string) { h.effects.LogLine(line) }
