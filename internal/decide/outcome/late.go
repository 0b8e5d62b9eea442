package outcome

import "ravenpond/logic"

// LateAction is what to do with a task that started after its attempt had been abandoned.
type LateAction uint8

// Actions for a late start.
const (
	Stop  LateAction = iota // stop the task: no client uses it
	Serve                   // answer the client with it: the client still waits, and no other attempt is open
	Await                   // wait for the other open attempt: if either ends without a start, the other one is used
	Keep                    // keep it for the client's next request, then stop it: the client has been answered
)

// OnLateStart returns what to do with a late start. waiting says that the client still waits, attemptOpen that another attempt is open. A
// restartable task is stopped if the client has been answered, because the client starts another one at once. A task that must not take
// effect twice is kept: stopping it would waste its effect, and the client's next request finds it running.
func OnLateStart(semantics logic.RetrySemantics, waiting, attemptOpen bool) LateAction {
	switch {
	case waiting && !attemptOpen:
		return Serve
	case waiting:
		return Await
	case semantics == logic.Restartable:
		return Stop
	}
	return Keep
}

// CountsAfterAbandon reports whether an abandoned attempt counts towards the spread limits of its service at its node until the node reports
// its outcome: as long as it may run there, another task of the service could exceed the limit.
func CountsAfterAbandon(spread logic.SpreadScope) bool { return spread != logic.Anywhere }
