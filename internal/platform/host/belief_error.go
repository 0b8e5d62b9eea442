package host

import (
	"math"

	"ravenpond/logic"
)

// beliefErrorSum sums up how far belief was from reports.
type beliefErrorSum struct {
	reports       int
	cores, memory float64
}

// Belief is what the module holds of a node.
func (h *Host) Belief(node uint32) (b logic.Belief, ok bool) {
	h.diagnostics.Do("beliefs", func() { b, ok = h.module.NodeBelief(node) })
	return b, ok
}

// BeliefError is by how many free cores and how much memory the module's belief was off at reports since it was last
// called, in the mean, and how many reports there were.
func (h *Host) BeliefError() (reports int, cores, memory float64) {
	m := h.beliefErrors
	h.beliefErrors = beliefErrorSum{}
	n := float64(max(1, m.reports))
	return m.reports, m.cores / n, m.memory / n
}

// recordBeliefError holds belief against a report that is about to be told.
func (h *Host) recordBeliefError(node uint32, report []float64) {
	h.diagnostics.Do("mistakes", func() {
		if c, m, ok := h.module.BeliefError(h.now, node, report); ok {
			h.beliefErrors = beliefErrorSum{h.beliefErrors.reports + 1, h.beliefErrors.cores + math.Abs(c), h.beliefErrors.memory + math.Abs(m)}
		}
	})
}
