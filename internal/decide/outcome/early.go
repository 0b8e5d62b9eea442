package outcome

import "ravenpond/logic"

// EarlyEnd is the end of an attempt that a node sent before its answer to that attempt arrived. The answer may be late or lost.
type EarlyEnd struct {
	Unstarted    logic.Outcome // what the cause of the end means for an attempt that never started
	Started      logic.Outcome // what it means for a task that was running
	Reason       logic.Reason
	NoteReceived bool // the node sent notes about the task, which it does only while the task runs
}

// Ran reports whether the task ran at its node, so that this is the end of a run and not the failure of an attempt. A note proves that it
// ran. Without one, a rejection or an offer that was never sent proves that it did not. Completion, cancellation and the reasons for which a
// node removes tasks are given for running tasks only.
func (e EarlyEnd) Ran() bool {
	if e.NoteReceived {
		return true
	}
	switch e.Unstarted {
	case logic.Rejected, logic.NotSent:
		return false
	}
	switch e.Started {
	case logic.Completed, logic.Cancelled:
		return true
	}
	switch e.Reason {
	case logic.Evicted, logic.Preempted, logic.Displaced:
		return true
	}
	return false
}

// IsRetrySafeAfterRun reports whether a client whose task ran and ended before the client was answered may be told that a retry does no
// harm; otherwise it is told that the request failed. In neither case is another attempt made for the request: the client gets the end of
// the run within a second, and an answer for a second run would follow that end or replace it.
func IsRetrySafeAfterRun(semantics logic.RetrySemantics, scope logic.IdempotencyScope) bool {
	return IsRetrySafe(semantics, scope, false, true)
}
