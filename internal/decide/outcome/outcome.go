// Package outcome decides what may be concluded about a placement attempt from what is known of it when connections break, nodes restart and
// answers arrive late. It holds no state: the caller asks at each such event.
//
// An attempt counts as never run only if that is proven. There are three proofs: its last byte was never handed to the kernel; the node
// reported that it rejected or returned it; or the node, still in the same incarnation, had not received it when it was claimed, and refuses
// it from then on. Any other attempt may have run. To claim an attempt is to ask its node what became of it.
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
	MayHaveRun                     // it may have run, and no further message about it will arrive
	MustClaim                      // it must be claimed once its node is connected again, within ClaimTimeout
)

// AfterDisconnect returns the state of an attempt whose connection broke. maybeSent says that its last byte may have left this machine.
func AfterDisconnect(maybeSent bool) AttemptState {
	if maybeSent {
		return MustClaim
	}
	return NeverRan
}

// AfterReconnect returns the state of an attempt whose node is connected again. reported says that the node reported the attempt among those
// that it holds. A node in another incarnation has lost what it held, and the attempt may have run in the earlier one. A node in the same
// incarnation that does not report the attempt must be asked, because an answer may have been lost in transit.
func AfterReconnect(sameIncarnation, reported bool) AttemptState {
	switch {
	case reported:
		return InProgress
	case !sameIncarnation:
		return MayHaveRun
	}
	return MustClaim
}

// AfterNodeRemoved returns the state of an attempt whose node is no longer on the node list. connected says that a connection to the node
// is open, maybeSent that the attempt's last byte may have left this machine.
func AfterNodeRemoved(connected, maybeSent bool) AttemptState {
	switch {
	case connected:
		return InProgress // what the node holds continues to run, and its answers still arrive
	case maybeSent:
		return MayHaveRun
	}
	return NeverRan
}

// IsRetrySafe reports whether a client that gives up may be told that a retry does no harm. A restartable request is always safe. Any other
// is safe only if no attempt is open, and either no earlier one may have run or duplicates are dropped at whichever node the retry reaches.
func IsRetrySafe(semantics logic.RetrySemantics, scope logic.IdempotencyScope, attemptOpen, mayHaveRun bool) bool {
	if semantics == logic.Restartable {
		return true
	}
	dropsDuplicates := semantics == logic.Idempotent && scope == logic.ScopeAll
	return !attemptOpen && (!mayHaveRun || dropsDuplicates)
}

// IsRetrySafeAfterLoss reports whether a request may be shed as safe to retry after the outcomes of its attempts were lost: it is no longer
// known which of them never ran.
func IsRetrySafeAfterLoss(semantics logic.RetrySemantics, attempts int) bool {
	return semantics == logic.Restartable || attempts == 0
}

// MayHaveRunAfter reports whether a task whose attempt had this outcome, and that did not count as running, may have run all the same.
func MayHaveRunAfter(verdict logic.Outcome) bool {
	switch verdict {
	case logic.Rejected, logic.Unreachable, logic.NotSent:
		return false
	case logic.Completed, logic.Errored, logic.TimedOut, logic.ConnectionLost, logic.Cancelled:
	}
	return true
}

// VerdictAfterDisconnect returns the outcome of an attempt whose connection ended, for a node that cannot be asked what became of it. The
// attempt provably never ran only if part of it was not handed to the kernel.
func VerdictAfterDisconnect(handedOver bool) logic.Outcome {
	if handedOver {
		return logic.ConnectionLost
	}
	return logic.Unreachable
}

// VerdictWithoutConnection returns the outcome of an attempt for which no connection was made: no byte of it was sent.
func VerdictWithoutConnection() logic.Outcome { return logic.Unreachable }

// VerdictAfterMalformed returns the outcome of an attempt if malformed data arrives on its connection: the node may have accepted it.
func VerdictAfterMalformed() logic.Outcome { return logic.ConnectionLost }
