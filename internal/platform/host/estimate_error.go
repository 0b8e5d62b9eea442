package host

import (
	"math"

	"ravenpond/logic"
)

// EstimateError is the mean absolute difference between the module's estimates of the free capacity of nodes and the capacity in their load
// reports.
type EstimateError struct {
	Reports       int
	Cores, Memory float64
}

// estimateErrorSum accumulates the absolute differences between the module's estimates and the load reports.
type estimateErrorSum struct {
	reports       int
	cores, memory float64
}

// NodeEstimate returns the module's estimate of a node, for the log. ok is false if the module does not know the node, or if reading its estimates
// has panicked.
func (h *Host) NodeEstimate(node uint32) (estimate logic.NodeEstimate, ok bool) {
	h.diagnostics.Do("beliefs", func() { estimate, ok = h.module.NodeEstimate(node) })
	return estimate, ok
}

// TakeEstimateError returns the error of the module's estimates since the last call and starts a new measurement.
func (h *Host) TakeEstimateError() EstimateError {
	sum := h.estimateErrors
	h.estimateErrors = estimateErrorSum{}
	n := float64(max(1, sum.reports))
	return EstimateError{Reports: sum.reports, Cores: sum.cores / n, Memory: sum.memory / n}
}

// recordEstimateError compares the module's estimate of a node with a load report that the module has not received yet.
func (h *Host) recordEstimateError(node uint32, report []float64) {
	h.diagnostics.Do("mistakes", func() {
		if cores, memory, ok := h.module.EstimateError(h.now, node, report); ok {
			sum := &h.estimateErrors
			sum.reports, sum.cores, sum.memory = sum.reports+1, sum.cores+math.Abs(cores), sum.memory+math.Abs(memory)
		}
	})
}
