package engine

import (
	"cmp"
	"encoding/binary"
	"math"
	"slices"
)

// AppendState appends an encoding of the engine's state, with times relative to now, so that two engines that will behave alike
// give the same bytes. The policy's state is not included. The model checker (lab/modelcheck) uses it to explore all states.
func (e *Engine) AppendState(b []byte) []byte {
	w := stateWriter{bytes: b, now: e.now}
	e.writeAllocations(&w)
	e.writeAbandoned(&w)
	for i := range e.nodes {
		n := &e.nodes[i]
		w.numbers(float64(n.availability), float64(n.incarnation))
		w.flags(n.excluded, n.sameIncarnation, n.connected, n.ready, n.probing)
	}
	w.numbers(float64(len(e.deferred)), float64(len(e.claims)), e.NextRound()-e.now, e.roundedLag())
	return w.bytes
}

func (e *Engine) writeAllocations(w *stateWriter) {
	var slots []int
	for slot := range e.allocations {
		if e.isInUse(slot) {
			slots = append(slots, slot)
		}
	}
	slices.SortFunc(slots, func(x, y int) int {
		return cmp.Compare(e.allocations[x].attempt.Ticket, e.allocations[y].attempt.Ticket)
	})
	for _, slot := range slots {
		a := &e.allocations[slot]
		w.numbers(float64(a.id), float64(a.attempt.Number), float64(a.phase), float64(a.request.Client),
			float64(a.request.Number), float64(a.attempt.Ticket), float64(a.epoch),
			w.relative(a.deadline), w.relative(a.dueAt), w.relative(a.confirmBy),
			float64(a.nodeIndex), float64(a.lateStart.Ticket), float64(a.lateStart.Number))
		w.flags(a.answered, a.recalled, a.attempted, a.recovered, a.stopping, a.mayHaveRun, a.reported)
	}
}

func (e *Engine) writeAbandoned(w *stateWriter) {
	for _, id := range e.abandonedMatching(func(abandonedAttempt) bool { return true }) {
		entry := e.abandoned[id]
		w.numbers(float64(id.Ticket), float64(id.Number), float64(entry.allocationID), float64(entry.nodeIndex),
			float64(entry.policyID), w.relative(entry.sentAt))
		w.flags(entry.started, entry.stopped)
	}
}

// stateWriter encodes values into a byte slice.
type stateWriter struct {
	bytes []byte
	now   float64
}

func (w *stateWriter) numbers(values ...float64) {
	for _, v := range values {
		w.bytes = binary.LittleEndian.AppendUint64(w.bytes, math.Float64bits(v))
	}
}

func (w *stateWriter) flags(values ...bool) {
	for _, v := range values {
		if v {
			w.bytes = append(w.bytes, 1)
		} else {
			w.bytes = append(w.bytes, 0)
		}
	}
}

// relative returns t relative to now, or -1 if t is 0, which stands for no time.
func (w *stateWriter) relative(t float64) float64 {
	if t == 0 {
		return -1
	}
	return t - w.now
}
