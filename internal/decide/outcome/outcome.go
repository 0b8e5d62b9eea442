// Package outcome decides what may be concluded about a placement try from what was seen of it when connections
// break, nodes restart and answers come late. It holds no state: the engine asks at each such moment.
//
// The ground rule: a try never ran only if that is proven, and there are three proofs. Its last byte was never
// handed to the kernel; the node said that it turned it away or handed it back; the node, still in the same life,
// had not seen it when it was claimed and barred it. All else may have run.
package outcome

import "ravenpond/logic"

// Times in milliseconds.
const (
	claimTimeout        = 1500 // a try whose connection broke waits so long for its node to say what became of it
	runningClaimTimeout = 8000 // and one that runs: its end can't be told from the break alone
	claimExtension      = 2000 // and so much longer each time that others still hear its node
	maxClaimTimeout     = 60000
	lateStartMargin     = 2500 // a start that came too late is kept for its owner's next ask, beyond the settle time
	attemptRetention    = 60000
)

// AttemptState is what follows for a try.
type AttemptState uint8

const (
	InProgress AttemptState = iota // it is still out or runs
	NeverRan                       // it provably never ran
	MayHaveRun                     // it may have run, and nothing more will be heard
	MustClaim                      // claim it when its node is back, for as long as Patience says
)

// AfterDisconnect decides about a try whose connection broke. left tells that its last byte may have left this machine.
func AfterDisconnect(left bool) AttemptState {
	if left {
		return MustClaim
	}
	return NeverRan
}

// ClaimTimeout is how long a try whose connection broke is waited for.
func ClaimTimeout(runs bool) float64 {
	if runs {
		return runningClaimTimeout
	}
	return claimTimeout
}

// ClaimExtension is how much longer a try that runs is waited for whose node has been silent here for so long, while others hear it in the
// same life; 0: no longer.
func ClaimExtension(silent float64, lives bool) float64 {
	if !lives || silent >= maxClaimTimeout {
		return 0
	}
	return claimExtension
}

// AfterReconnect decides about a try when its node is connected again. A node in another life has lost what it held,
// and the try may have run in the life before; one in the same life that doesn't name it must be asked, since
// an answer may have been lost on the way.
func AfterReconnect(sameLife, named bool) AttemptState {
	switch {
	case named:
		return InProgress
	case !sameLife:
		return MayHaveRun
	}
	return MustClaim
}

// AfterNodeRemoved decides about a try when the list no longer has its node and no connection stands.
func AfterNodeRemoved(linked, left bool) AttemptState {
	switch {
	case linked:
		return InProgress // what it holds runs on, and its answers still come
	case left:
		return MayHaveRun
	}
	return NeverRan
}

// LateAction is what to do with an allocation that started after its try had been given up.
type LateAction uint8

const (
	Stop  LateAction = iota // nobody is served by it
	Serve                   // its owner still waits, and no other try is out: it is the answer
	Await                   // another try is out: the one that ends first without a start leaves the other
	Keep                    // its owner was answered: hold it for the owner's next ask, then stop it
)

// OnLateStart decides about a late start. open tells that the owner still waits, out that another try is out.
// A restartable allocation is stopped once answered, as its owner starts another at once. One that must not
// take effect twice is kept: stopping it would waste the effect, and the owner's next ask finds it running.
func OnLateStart(effect logic.RetrySemantics, open, out bool) LateAction {
	switch {
	case open && !out:
		return Serve
	case open:
		return Await
	case effect == logic.Restartable:
		return Stop
	}
	return Keep
}

// LateStartRetention is how long a late start is kept for its owner's next ask. Owners wait the settle time first.
func LateStartRetention(settle float64) float64 { return 2*settle + lateStartMargin }

// AttemptRetention is how long a given up try is remembered, so that its late answers are understood.
func AttemptRetention() float64 { return attemptRetention }

// CountsAfterAbandon tells whether a try that was given up goes on to count where it was sent, until its node says what became of it: as
// long as it may run there, one more of its service could be one too many.
func CountsAfterAbandon(spread logic.SpreadScope) bool { return spread != logic.Anywhere }

// IsRetrySafe tells whether an owner that gives up may be told that asking again does no harm. A restartable one
// always may; any other only if nothing is out and no earlier try may have run, or its group drops the repeat
// wherever it goes.
func IsRetrySafe(effect logic.RetrySemantics, group logic.IdempotencyScope, out, mayHave bool) bool {
	return effect == logic.Restartable || !out && (!mayHave || effect == logic.Idempotent && group == logic.ScopeAll)
}

// IsRetrySafeAfterLoss tells whether an allocation may be declined as harmless when whoever knew the outcomes of its tries is lost: of
// those that are tried nobody can tell any more which provably never ran.
func IsRetrySafeAfterLoss(effect logic.RetrySemantics, tries int) bool {
	return effect == logic.Restartable || tries == 0
}

const (
	connectTimeout = 250 // an offer waits so long for a connection to its node
	probeTimeout   = 500 // a probe, from its sending or from the first dial for it
)

// MaxClaims is how often a given up try that must not take effect twice is claimed, and ClaimEvery the time between:
// all within the time that its owner waits before it asks again.
func MaxClaims() int { return 3 }

// ClaimInterval is the time between two claims.
func ClaimInterval(settle float64) float64 { return settle / 4 }

// ConnectTimeout is how long an offer waits for a connection before it provably was never sent.
func ConnectTimeout() float64 { return connectTimeout }

// ProbeTimeout is how long a probe's answer is waited for.
func ProbeTimeout() float64 { return probeTimeout }

// ProbeTimeoutFor is the same where a connection may take so long to be made: as long again is left for the answer.
func ProbeTimeoutFor(connect float64) float64 { return max(probeTimeout, 2*connect) }

// VerdictAfterDisconnect is the outcome of a try whose connection ended under it, to a node that can't be asked what became of it: it
// never ran only if not all of it was handed over.
func VerdictAfterDisconnect(whole bool) logic.Outcome {
	if whole {
		return logic.ConnectionLost
	}
	return logic.Unreachable
}

// VerdictWithoutConnection is the outcome of a try for which no connection came: not a byte of it left.
func VerdictWithoutConnection() logic.Outcome { return logic.Unreachable }

// VerdictAfterMalformed is the outcome of a try whose answer, or whose connection, can't be read any more: its node had it and took
// it up.
func VerdictAfterMalformed() logic.Outcome { return logic.ConnectionLost }

const (
	endTimeout = 1000 // a task that its owner ended counts as ended so long after its node was told
	linger     = 600  // a connection on which a try was given up stays for late answers
)

// EndTimeout is how long a node may take to confirm an end that it was told.
func EndTimeout() float64 { return endTimeout }

// Linger is how long a connection of no further use is still heard.
func Linger() float64 { return linger }
