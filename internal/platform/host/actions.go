package host

import (
	"fmt"

	"ravenpond/internal/decide/outcome"
)

// acts carries out what the module decides.
type acts struct{ *Host }

func (h acts) StartAttempt(id, node uint32, timeout float64) {
	a := h.allocs[id]
	if a == nil {
		return // an id that was never given, or is long over: there is nobody to tell
	}
	if a.out {
		h.edge.LogLine(fmt.Sprintf("refused to offer %d while its try %d is out", id, a.tries-1))
		return
	}
	a.node, a.sentAt, a.out, a.noted = node, h.now, true, false
	a.tries++
	key := tryKey(id, a.tries-1)
	left := a.expiry - h.now
	if timeout > 0 {
		left = min(left, timeout)
	}
	if a.over || left <= 0 || a.tries > h.most {
		a.awaiting = true
		h.bells.Set(h.now+h.step, dueUnsent, key)
		return
	}
	h.bells.Set(h.now+left, dueTry, key)
	h.edge.RequestPlacement(id, uint8(a.tries-1), node, left)
}

func (h acts) Shed(id uint32, _ float64) { h.answer(id, true) }

func (h acts) Fail(id uint32) { h.answer(id, false) }

func (h acts) answer(id uint32, declined bool) {
	if a := h.allocs[id]; a != nil && !a.over {
		h.answered(a)
		h.edge.AnswerRequest(id, declined)
		h.bells.Set(h.now+h.step, dueSweep, uint64(id))
	}
}

func (h acts) Cancel(id uint32, try uint8) {
	if a := h.allocs[id]; a != nil && a.told() == try {
		h.callOff(id, a)
	}
}

func (h acts) Migrate(id uint32) {
	if a := h.allocs[id]; a != nil && a.stands && !a.unheard {
		a.unheard, a.moved = true, true
		h.edge.NotifyMove(id) // ends it at its node too: a cut that came first there would leave the client untold
		h.bells.Set(h.now+outcome.EndTimeout(), dueEnd, tryKey(id, a.tries-1))
	}
}

func (h acts) Probe(node uint32) {
	h.count++ // probes and allocations share numbers, so that a late answer never fits a later probe
	p := probe{seq: h.count, at: h.now}
	h.probes[node] = p
	h.bells.Set(h.now+h.probeFor, dueProbe, uint64(node)<<32|uint64(p.seq))
	h.edge.Probe(node, p.seq)
}

func (h acts) WatchList(active bool) {
	if active {
		h.edge.PollEndpoints()
	}
}

func (h acts) ReloadList() { h.edge.PollEndpoints() }

func (h acts) SetTimer(delay float64, key uint64) { h.bells.Set(h.now+max(0, delay), dueWake, key) }

func (h acts) Log(line string) { h.edge.LogLine(line) }
