package outcome

import "ravenpond/logic"

// EarlyEnd is an end that a node sent for an attempt which it has not answered yet. The answer may be late or lost.
type EarlyEnd struct {
	Unstarted logic.Outcome // what the cause says of an attempt that never started
	Started   logic.Outcome // what it says of a task that was running
	Reason    logic.Reason
	Noted     bool // the node sent notes on the task, which it does only while the task runs
}

// Ran reports whether the task had been running at its node, so that this is the end of a run and not the failure of an attempt. A note
// proves it. Without one, a refusal or an offer that never left prove the contrary; the causes of a normal end and of a cancellation, and
// the reasons for which a node removes what it holds, are given for running tasks only.
func (e EarlyEnd) Ran() bool {
	if e.Noted {
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

// IsRetrySafeAfterRun reports whether a client whose task ran and ended before it was answered may be told that a retry does no harm; else
// it is told that the request failed. No other attempt is made for the request in either case: the client gets the end of the run within a
// second, and an answer for a second run would follow it or stand in its place.
func IsRetrySafeAfterRun(effect logic.RetrySemantics, group logic.IdempotencyScope) bool {
	return IsRetrySafe(effect, group, false, true)
}
