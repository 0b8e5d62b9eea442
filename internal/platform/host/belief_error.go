package host

import (
	"math"

	"ravenpond/logic"
)

// BeliefError is how far the module's belief of nodes' free capacity was off when reports came: mean absolute differences.
type BeliefError struct {
	Reports       int
	Cores, Memory float64
}

// beliefErrorSum sums up differences between belief and reports.
type beliefErrorSum struct {
	reports       int
	cores, memory float64
}

// Belief returns what the module believes of a node, for the log. It reports false if the node is unknown to the module.
func (h *Host) Belief(node uint32) (belief logic.Belief, ok bool) {
	h.diagnostics.Do("beliefs", func() { belief, ok = h.module.NodeBelief(node) })
	return belief, ok
}

// TakeBeliefError returns the error of the module's belief since the last call.
func (h *Host) TakeBeliefError() BeliefError {
	sum := h.beliefErrors
	h.beliefErrors = beliefErrorSum{}
	n := float64(max(1, sum.reports))
	return BeliefError{Reports: sum.reports, Cores: sum.cores / n, Memory: sum.memory / n}
}

// recordBeliefError compares the module's belief with a report that the module has not seen yet.
func (h *Host) recordBeliefError(node uint32, report []float64) {
	h.diagnostics.Do("mistakes", func() {
		if cores, memory, ok := h.module.BeliefError(h.now, node, report); ok {
			sum := &h.beliefErrors
			sum.reports, sum.cores, sum.memory = sum.reports+1, sum.cores+math.Abs(cores), sum.memory+math.Abs(memory)
		}
	})
}
