// Package outcome decides what may be concluded about a placement attempt from what was seen of it when connections break, nodes restart
// and answers arrive late. It holds no state: the caller asks at each such moment.
//
// An attempt never ran only if that is proven, and there are three proofs. Its last byte was never handed to the kernel; the node said that
// it rejected or returned it; or the node, still in the same incarnation, had not received it when it was claimed, and barred it. Any
// other attempt may have run.
//
// The package does no I/O and returns no errors. All times are milliseconds.
package outcome

import "ravenpond/logic"

// AttemptState is what is known of an attempt.
type AttemptState uint8

// States of an attempt.
const (
	InProgress AttemptState = iota // it is open or runs
	NeverRan                       // it provably never ran
	MayHaveRun                     // it may have run, and nothing more will be heard
	MustClaim                      // it is to be claimed when its node is connected again, within ClaimTimeout
)

// AfterDisconnect returns the state of an attempt whose connection broke. left says that its last byte may have left this machine.
func AfterDisconnect(left bool) AttemptState {
	if left {
		return MustClaim
	}
	return NeverRan
}

// AfterReconnect returns the state of an attempt whose node is connected again. A node in another incarnation has lost what it held, and
// the attempt may have run in the earlier one; a node in the same incarnation that does not name the attempt must be asked, because an
// answer may have been lost on the way.
func AfterReconnect(sameIncarnation, named bool) AttemptState {
	switch {
	case named:
		return InProgress
	case !sameIncarnation:
		return MayHaveRun
	}
	return MustClaim
}

// AfterNodeRemoved returns the state of an attempt whose node is no longer on the node list. connected says that a connection to the node
// is open, left that the attempt's last byte may have left this machine.
func AfterNodeRemoved(connected, left bool) AttemptState {
	switch {
	case connected:
		return InProgress // what the node holds runs on, and its answers still arrive
	case left:
		return MayHaveRun
	}
	return NeverRan
}

// IsRetrySafe reports whether a client that gives up may be told that a retry does no harm. A restartable request is always safe; any other
// only if no attempt is open and no earlier one may have run, or its group drops the repeat wherever it goes.
func IsRetrySafe(effect logic.RetrySemantics, group logic.IdempotencyScope, attemptOpen, mayHaveRun bool) bool {
	if effect == logic.Restartable {
		return true
	}
	dropsRepeats := effect == logic.Idempotent && group == logic.ScopeAll
	return !attemptOpen && (!mayHaveRun || dropsRepeats)
}

// IsRetrySafeAfterLoss reports whether a request may be shed as safe to retry when the outcomes of its attempts are lost: nobody knows any
// more which of them never ran.
func IsRetrySafeAfterLoss(effect logic.RetrySemantics, attempts int) bool {
	return effect == logic.Restartable || attempts == 0
}

// VerdictAfterDisconnect returns the outcome of an attempt whose connection ended, to a node that cannot be asked what became of it: it
// never ran only if not all of it was handed over.
func VerdictAfterDisconnect(handedOver bool) logic.Outcome {
	if handedOver {
		return logic.ConnectionLost
	}
	return logic.Unreachable
}

// VerdictWithoutConnection returns the outcome of an attempt for which no connection was made: not a byte of it left.
func VerdictWithoutConnection() logic.Outcome { return logic.Unreachable }

// VerdictAfterMalformed returns the outcome of an attempt whose answer or connection cannot be read any more: its node had accepted it.
func VerdictAfterMalformed() logic.Outcome { return logic.ConnectionLost }
