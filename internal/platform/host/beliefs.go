package host

import (
	"math"

	"ravenpond/logic"
)

// off sums up how far belief was from reports.
type off struct {
	reports       int
	cores, memory float64
}

// Belief is what the module holds of a node.
func (h *Host) Belief(node uint32) (b logic.Belief, ok bool) {
	h.words.Do("beliefs", func() { b, ok = h.mod.NodeBelief(node) })
	return b, ok
}

// BeliefError is by how many free cores and how much memory the module's belief was off at reports since it was last
// called, in the mean, and how many reports there were.
func (h *Host) BeliefError() (reports int, cores, memory float64) {
	m := h.off
	h.off = off{}
	n := float64(max(1, m.reports))
	return m.reports, m.cores / n, m.memory / n
}

// weigh holds belief against a report that is about to be told.
func (h *Host) weigh(node uint32, report []float64) {
	h.words.Do("mistakes", func() {
		if c, m, ok := h.mod.BeliefError(h.now, node, report); ok {
			h.off = off{h.off.reports + 1, h.off.cores + math.Abs(c), h.off.memory + math.Abs(m)}
		}
	})
}
